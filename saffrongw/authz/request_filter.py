"""The request filter that asks an external authorisation server about each request."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

from saffrongw.gateway.components import PreparedReload
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.extensions import Abort, Continue, Ending, FilteredRequest, Reject, Verdict

from .attributes import InvalidReplyError, RequestNames, cache_key, encode_check, parse_reply
from .channel import AuthzChannel, AuthzChannelError
from .checks import (
    CancelCheck,
    CheckEffect,
    CheckReply,
    CheckScheduler,
    CheckSettings,
    CompleteRequest,
    ReplyKind,
    ScheduleHedge,
    SendCheck,
)

log = logging.getLogger(__name__)

RETIRE_TIMEOUT_S = 10.0  # seconds for checks that are out when figures change
RETIRE_POLL_S = 0.05  # seconds between two looks at them


@dataclass(frozen=True, slots=True)
class FailureRules:
    """What the operators say of replies: fail modes by (class, plan), "" for all.

    What may be narrowed.
    """

    fail: str = "closed"
    fail_for: Mapping[tuple[str, str], str] = field(default_factory=dict)
    may_narrow_plan: Mapping[str, tuple[str, ...]] = field(default_factory=dict)

    def mode(self, cls: str, plan: str) -> str:
        """``open`` or ``closed`` where no authoriser was reached: the most exact line counts."""
        for key in ((cls, plan), (cls, ""), ("", plan)):
            if key in self.fail_for:
                return self.fail_for[key]
        return self.fail

    def narrows(self, plan: str, to: str) -> bool:
        """Whether an authoriser may put a request of one plan under another."""
        return to in self.may_narrow_plan.get(plan, ())


class CheckClient:
    """Checks by one set of figures over one set of channels."""

    def __init__(
        self,
        figures: CheckSettings,
        rules: FailureRules,
        names: RequestNames,
        channels: list[AuthzChannel],
        gateway: str,
        seed: int,
    ) -> None:
        """Start without checks over these channels."""
        self.rules, self.names, self.gateway, self.channels = rules, names, gateway, channels
        self.loop = asyncio.get_running_loop()
        self.checks = CheckScheduler(figures, [channel.name for channel in channels], seed)
        self.waiting: dict[int, tuple[FilteredRequest, asyncio.Future[Verdict]]] = {}
        self.out: dict[int, asyncio.Task] = {}  # by flight
        self.messages: dict[int, bytes] = {}  # by flight, for hedges
        self.timers: dict[int, asyncio.TimerHandle] = {}
        self.warned = 0.0

    async def close(self) -> None:
        """Call off what is out and close the channels."""
        self._run(self.checks.drop())
        await asyncio.gather(
            *(channel.close() for channel in self.channels), return_exceptions=True
        )

    async def retire(self) -> None:
        """Let what is out end by its own deadlines, then close."""
        for _ in range(int(RETIRE_TIMEOUT_S / RETIRE_POLL_S)):
            if not self.checks.flights:
                break
            await asyncio.sleep(RETIRE_POLL_S)
        await self.close()

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns() // 1000

    # -- requests ----------------------------------------------------------------------------------

    def ask(self, request: FilteredRequest) -> Verdict | asyncio.Future[Verdict]:
        """Settled at once from the cache or where no check may be sent.

        Else when the check has ended.
        """
        number = request.number
        left = request.terms.timeout_us
        effects = self.checks.enter(self._now(), number, cache_key(request), left)
        if len(effects) == 1 and isinstance(effects[0], CompleteRequest):
            return self._verdict(request, effects[0].reply)
        future: asyncio.Future[Verdict] = self.loop.create_future()
        self.waiting[number] = request, future
        self._run(effects, request)
        return future

    def leave(self, number: int) -> None:
        """The request is over.

        A check that nobody waits for is called off, and what it would say is not heard.
        """
        if self.waiting.pop(number, None):
            self._run(self.checks.leave(number))

    def _verdict(self, request: FilteredRequest, reply: CheckReply) -> Verdict:
        """By the rules: a denial is a refusal only if trying again is harmless and useful.

        Nothing was sent yet, so it is harmless; the authoriser says whether it is of use.
        """
        terms = request.terms
        plan = self.names.plans[terms.plan]
        if reply.kind is ReplyKind.ALLOW:
            if reply.plan and reply.plan != plan and self.rules.narrows(plan, reply.plan):
                return Continue({"plan": self.names.plans.index(reply.plan)})
            return Continue()
        if reply.kind is ReplyKind.LATER:
            return Reject(reply.retry_after)
        if reply.kind is ReplyKind.DENY:
            return Abort()
        return (
            Continue()
            if self.rules.mode(self.names.classes[terms.kind], plan) == "open"
            else Reject()
        )

    # -- effects -----------------------------------------------------------------------------------

    def _run(self, effects: list[CheckEffect], request: FilteredRequest | None = None) -> None:
        for effect in effects:
            if isinstance(effect, CompleteRequest):
                if waits := self.waiting.pop(effect.request, None):
                    of, future = waits
                    if not future.done():
                        future.set_result(self._verdict(of, effect.reply))
            elif isinstance(effect, SendCheck):
                if request is not None:
                    at = time.time_ns() // 1000
                    self.messages[effect.flight] = encode_check(
                        request, self.names, self.gateway, at
                    )
                task = self.loop.create_task(self._ask(effect, self.messages[effect.flight]))
                self.out[effect.flight] = task
            elif isinstance(effect, CancelCheck):
                self._drop_check(effect.flight, cancel=True)
            elif isinstance(effect, ScheduleHedge):
                self.timers[effect.flight] = self.loop.call_later(
                    effect.after / 1e6, self._hedge, effect.flight
                )

    def _hedge(self, flight: int) -> None:
        self.timers.pop(flight, None)
        message = self.messages.get(flight)
        for effect in self.checks.hedge(self._now(), flight):
            self.messages[effect.flight] = message
            self._run([effect])

    def _drop_check(self, flight: int, cancel: bool = False) -> None:
        self.messages.pop(flight, None)
        task, timer = self.out.pop(flight, None), self.timers.pop(flight, None)
        if task and cancel:
            task.cancel()
        if timer:
            timer.cancel()

    async def _ask(self, ask: SendCheck, message: bytes) -> None:
        """One check, from its first byte to its one end."""
        try:
            async with asyncio.timeout(ask.timeout_us / 1e6):
                body = await self.channels[ask.endpoint].check(message, ask.timeout_us / 1e6)
            reply = parse_reply(body)
        except (AuthzChannelError, InvalidReplyError, TimeoutError) as wrong:
            why = (
                "deadline"
                if isinstance(wrong, TimeoutError)
                else getattr(wrong, "kind", "bad reply")
            )
            self._drop_check(ask.flight)
            self._warn(ask, wrong)
            self._run(self.checks.failed(self._now(), ask.flight, why))
        else:
            self._drop_check(ask.flight)
            self._run(self.checks.answered(self._now(), ask.flight, reply))

    def _warn(self, ask: SendCheck, wrong: Exception) -> None:
        """One line a second at most: an authoriser that is away fails every check."""
        if self.loop.time() - self.warned >= 1:
            self.warned = self.loop.time()
            name = self.channels[ask.endpoint].name
            log.warning("authz: no answer of %s: %.200s", name, str(wrong) or type(wrong).__name__)


class AuthzFilter:
    """The stage of one gateway, and a service of its process.

    Figures, rules and channels can change in service: what is out ends by the old ones.
    """

    name = "authz"

    def __init__(
        self,
        figures: CheckSettings,
        rules: FailureRules,
        names: RequestNames,
        channels: Callable[[], list[AuthzChannel]],
        gateway: str,
        seed: int,
    ) -> None:
        """Keep the settings; ``start`` opens the channels."""
        self.names, self.gateway, self.seed = names, gateway, seed
        self.figures, self.rules, self.make = figures, rules, channels
        self.fallback: Verdict = Reject()
        self.client: CheckClient | None = None
        self.clients_by_request: dict[int, CheckClient] = {}  # by request that waits
        self.retiring: set[asyncio.Task] = set()

    async def start(self, _driver: Driver | None = None) -> None:
        """Open the channels; nothing is waited for.

        An authoriser may come up later than the gateway.
        """
        self.change(self.figures, self.rules, self.make)

    def change(
        self,
        figures: CheckSettings,
        rules: FailureRules,
        channels: Callable[[], list[AuthzChannel]],
    ) -> None:
        """From now on by these.

        ``OSError`` where a file of TLS can't be read, and then nothing has changed.
        """
        self.prepare(figures, rules, channels).commit()

    def prepare(
        self,
        figures: CheckSettings,
        rules: FailureRules,
        channels: Callable[[], list[AuthzChannel]],
    ) -> PreparedReload:
        """Open channels for a change; ``OSError`` where a file of TLS can't be read."""
        new = CheckClient(figures, rules, self.names, channels(), self.gateway, self.seed)

        def commit() -> None:
            old, self.client = self.client, new
            self.figures, self.rules, self.make = figures, rules, channels
            # What holds where this filter itself fails or the filters' share of time is over.
            self.fallback = Continue() if rules.fail == "open" else Reject()
            if old:
                self._end(old.retire())

        return PreparedReload(commit, lambda: self._end(new.close()))

    def _end(self, ending: Coroutine[Any, Any, None]) -> None:
        """End an earlier or unused set of checks beside the requests."""
        task = asyncio.get_running_loop().create_task(ending)
        self.retiring.add(task)
        task.add_done_callback(self.retiring.discard)

    def on_request(self, request: FilteredRequest) -> Verdict | Awaitable[Verdict]:
        """A verdict at once, or when the check has ended."""
        client = self.client
        verdict = client.ask(request)
        if isinstance(verdict, asyncio.Future):
            self.clients_by_request[request.number] = client
        return verdict

    def on_end(self, request: FilteredRequest, _ending: Ending) -> None:
        """The request is over."""
        if client := self.clients_by_request.pop(request.number, None):
            client.leave(request.number)

    async def stop(self) -> None:
        """Call off what is out and close the channels."""
        for task in self.retiring:
            task.cancel()
        if self.client:
            await self.client.close()
