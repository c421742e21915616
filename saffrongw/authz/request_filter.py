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

RETIRE_TIMEOUT_S = 10.0  # for checks in flight when a reload replaces their client
RETIRE_POLL_S = 0.05  # between two looks whether those checks have ended


@dataclass(frozen=True, slots=True)
class FailureRules:
    """The operators' rules for requests without a usable reply, and for changes of the plan.

    ``modes`` maps (class, plan) to a fail mode, with "" for all; ``allowed_plans`` maps a plan to
    those that an authoriser may put its requests under.
    """

    default_mode: str = "closed"
    modes: Mapping[tuple[str, str], str] = field(default_factory=dict)
    allowed_plans: Mapping[str, tuple[str, ...]] = field(default_factory=dict)

    def fail_mode(self, cls: str, plan: str) -> str:
        """Return ``open`` or ``closed`` for a request without a usable reply.

        The most specific rule wins: class and plan, then class, then plan.
        """
        for key in ((cls, plan), (cls, ""), ("", plan)):
            if key in self.modes:
                return self.modes[key]
        return self.default_mode

    def allows_plan(self, plan: str, to: str) -> bool:
        """Return whether an authoriser may put a request of one plan under another."""
        return to in self.allowed_plans.get(plan, ())


class CheckClient:
    """Carries out checks, by one set of settings and rules and over one set of channels."""

    def __init__(
        self,
        settings: CheckSettings,
        rules: FailureRules,
        names: RequestNames,
        channels: list[AuthzChannel],
        gateway: str,
        seed: int,
    ) -> None:
        """Start without checks over these channels."""
        self.rules, self.names, self.gateway, self.channels = rules, names, gateway, channels
        self.loop = asyncio.get_running_loop()
        self.checks = CheckScheduler(settings, [channel.address for channel in channels], seed)
        self.pending_requests: dict[int, tuple[FilteredRequest, asyncio.Future[Verdict]]] = {}
        self.check_tasks: dict[int, asyncio.Task] = {}  # by check id
        self.messages: dict[int, bytes] = {}  # by check id; a hedge sends the same one
        self.hedge_timers: dict[int, asyncio.TimerHandle] = {}
        self.last_warning_s = 0.0

    async def close(self) -> None:
        """Cancel the checks in flight and close the channels."""
        self._carry_out(self.checks.cancel_all())
        await asyncio.gather(
            *(channel.close() for channel in self.channels), return_exceptions=True
        )

    async def retire(self) -> None:
        """Close once the checks in flight have ended, at the latest after ``RETIRE_TIMEOUT_S``."""
        for _ in range(int(RETIRE_TIMEOUT_S / RETIRE_POLL_S)):
            if not self.checks.checks_in_flight:
                break
            await asyncio.sleep(RETIRE_POLL_S)
        await self.close()

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns() // 1000

    # -- requests ----------------------------------------------------------------------------------

    def check(self, request: FilteredRequest) -> Verdict | asyncio.Future[Verdict]:
        """Return the verdict where the cache or the limits give it, else a future of it."""
        number = request.number
        remaining_us = request.terms.timeout_us
        effects = self.checks.request_arrived(self._now(), number, cache_key(request), remaining_us)
        if len(effects) == 1 and isinstance(effects[0], CompleteRequest):
            return self._verdict(request, effects[0].reply)
        future: asyncio.Future[Verdict] = self.loop.create_future()
        self.pending_requests[number] = request, future
        self._carry_out(effects, request)
        return future

    def request_ended(self, number: int) -> None:
        """Stop waiting for a request's verdict; cancel its check unless other requests share it."""
        if self.pending_requests.pop(number, None):
            self._carry_out(self.checks.request_ended(number))

    def _verdict(self, request: FilteredRequest, reply: CheckReply) -> Verdict:
        """Return the verdict of a reply by the rules.

        Nothing was sent upstream yet, so a retry is harmless in any case. A denial is a ``Reject``
        only where the authoriser says that a retry may succeed, else an ``Abort``.
        """
        terms = request.terms
        plan = self.names.plans[terms.plan]
        if reply.kind is ReplyKind.ALLOW:
            if reply.plan and reply.plan != plan and self.rules.allows_plan(plan, reply.plan):
                return Continue({"plan": self.names.plans.index(reply.plan)})
            return Continue()
        if reply.kind is ReplyKind.RETRY_LATER:
            return Reject(reply.retry_after_us)
        if reply.kind is ReplyKind.DENY:
            return Abort()
        return (
            Continue()
            if self.rules.fail_mode(self.names.classes[terms.kind], plan) == "open"
            else Reject()
        )

    # -- effects -----------------------------------------------------------------------------------

    def _carry_out(
        self, effects: list[CheckEffect], request: FilteredRequest | None = None
    ) -> None:
        for effect in effects:
            if isinstance(effect, CompleteRequest):
                if pending := self.pending_requests.pop(effect.request, None):
                    pending_request, future = pending
                    if not future.done():
                        future.set_result(self._verdict(pending_request, effect.reply))
            elif isinstance(effect, SendCheck):
                if request is not None:
                    unix_us = time.time_ns() // 1000
                    self.messages[effect.check_id] = encode_check(
                        request, self.names, self.gateway, unix_us
                    )
                task = self.loop.create_task(
                    self._run_check(effect, self.messages[effect.check_id])
                )
                self.check_tasks[effect.check_id] = task
            elif isinstance(effect, CancelCheck):
                self._drop_check(effect.check_id, cancel=True)
            elif isinstance(effect, ScheduleHedge):
                self.hedge_timers[effect.check_id] = self.loop.call_later(
                    effect.delay_us / 1e6, self._send_hedge, effect.check_id
                )

    def _send_hedge(self, check_id: int) -> None:
        self.hedge_timers.pop(check_id, None)
        message = self.messages.get(check_id)
        for effect in self.checks.send_hedge(self._now(), check_id):
            self.messages[effect.check_id] = message
            self._carry_out([effect])

    def _drop_check(self, check_id: int, cancel: bool = False) -> None:
        self.messages.pop(check_id, None)
        task, timer = self.check_tasks.pop(check_id, None), self.hedge_timers.pop(check_id, None)
        if task and cancel:
            task.cancel()
        if timer:
            timer.cancel()

    async def _run_check(self, check: SendCheck, message: bytes) -> None:
        """Send a check and pass its reply or its failure to the scheduler."""
        try:
            async with asyncio.timeout(check.timeout_us / 1e6):
                body = await self.channels[check.endpoint_index].check(
                    message, check.timeout_us / 1e6
                )
            reply = parse_reply(body)
        except (AuthzChannelError, InvalidReplyError, TimeoutError) as error:
            reason = (
                "deadline"
                if isinstance(error, TimeoutError)
                else getattr(error, "kind", "bad reply")
            )
            self._drop_check(check.check_id)
            self._log_failure(check, error)
            self._carry_out(self.checks.check_failed(self._now(), check.check_id, reason))
        else:
            self._drop_check(check.check_id)
            self._carry_out(self.checks.reply_received(self._now(), check.check_id, reply))

    def _log_failure(self, check: SendCheck, error: Exception) -> None:
        """Log a failed check, at most one a second: without an authoriser every check fails."""
        if self.loop.time() - self.last_warning_s >= 1:
            self.last_warning_s = self.loop.time()
            name = self.channels[check.endpoint_index].address
            log.warning("authz: no answer of %s: %.200s", name, str(error) or type(error).__name__)


class AuthzFilter:
    """The request filter of one gateway, and a service that opens and closes its channels.

    Settings, rules and channels can change in service: checks in flight end by the old ones.
    """

    name = "authz"

    def __init__(
        self,
        settings: CheckSettings,
        rules: FailureRules,
        names: RequestNames,
        open_channels: Callable[[], list[AuthzChannel]],
        gateway: str,
        seed: int,
    ) -> None:
        """Keep the settings; ``start`` opens the channels."""
        self.names, self.gateway, self.seed = names, gateway, seed
        self.settings, self.rules, self.open_channels = settings, rules, open_channels
        self.fallback: Verdict = Reject()
        self.client: CheckClient | None = None
        self.clients_by_request: dict[int, CheckClient] = {}  # of requests that wait for a check
        self.background_tasks: set[asyncio.Task] = set()

    async def start(self, _driver: Driver | None = None) -> None:
        """Open the channels without waiting for connections.

        An authoriser may start later than the gateway.
        """
        self.reconfigure(self.settings, self.rules, self.open_channels)

    def reconfigure(
        self,
        settings: CheckSettings,
        rules: FailureRules,
        open_channels: Callable[[], list[AuthzChannel]],
    ) -> None:
        """Use other settings, rules and channels for the requests that follow.

        Raises ``OSError`` where a TLS file can't be read; nothing has changed then.
        """
        self.prepare(settings, rules, open_channels).commit()

    def prepare(
        self,
        settings: CheckSettings,
        rules: FailureRules,
        open_channels: Callable[[], list[AuthzChannel]],
    ) -> PreparedReload:
        """Open channels for a change; raise ``OSError`` where a TLS file can't be read."""
        new = CheckClient(settings, rules, self.names, open_channels(), self.gateway, self.seed)

        def commit() -> None:
            old, self.client = self.client, new
            self.settings, self.rules, self.open_channels = settings, rules, open_channels
            # The verdict where this filter raises or all filters together exceed their time share.
            self.fallback = Continue() if rules.default_mode == "open" else Reject()
            if old:
                self._run_in_background(old.retire())

        return PreparedReload(commit, lambda: self._run_in_background(new.close()))

    def _run_in_background(self, closing: Coroutine[Any, Any, None]) -> None:
        """Close a replaced or unused client while requests go on."""
        task = asyncio.get_running_loop().create_task(closing)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def on_request(self, request: FilteredRequest) -> Verdict | Awaitable[Verdict]:
        """Return the verdict, or a future of it where the request waits for a check."""
        client = self.client
        verdict = client.check(request)
        if isinstance(verdict, asyncio.Future):
            self.clients_by_request[request.number] = client
        return verdict

    def on_end(self, request: FilteredRequest, _ending: Ending) -> None:
        """Cancel the check of a request that has ended, unless other requests share it."""
        if client := self.clients_by_request.pop(request.number, None):
            client.request_ended(request.number)

    async def stop(self) -> None:
        """Cancel the checks in flight and close the channels."""
        for task in self.background_tasks:
            task.cancel()
        if self.client:
            await self.client.close()
