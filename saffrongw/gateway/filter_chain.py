"""The driver with stages and observers plugged in; a gateway without any runs the plain ``Driver``.

A request is counted, listed among the open calls and guarded by its timer before its first stage begins, so the
driver's one final answer holds throughout: also when a stage hangs, the client leaves or the gateway drains.
"""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import ClassVar

from ..policy.actions import Action, AdmitRequest, RejectRequest
from ..policy.events import AdmissionCheckArrived, AttemptOutcome, EndpointId, Event
from ..policy.settings import Settings
from .config import EndpointList
from .driver import (
    FAILED,
    MS,
    ON_THE_WAY,
    ClientRequest,
    Driver,
    RequestTerms,
    Upstream,
    UpstreamAttempt,
    busy_reply,
)
from .extensions import (
    Abort,
    Ending,
    Extensions,
    FilteredRequest,
    FilterError,
    Observer,
    Reject,
    RequestFilter,
    apply,
)
from .streaming_reply import StreamingReply

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class FilterRun:
    """One request's way through the stages."""

    call: ClientRequest
    request: FilteredRequest
    seen: list[RequestFilter] = field(default_factory=list)  # those that are owed its end
    task: asyncio.Task | None = None
    late: asyncio.TimerHandle | None = None


class ObservedCluster:
    """Something between the driver and its hosts: all that it does not override is passed on."""

    def __init__(self, inner: Upstream) -> None:
        self.inner = inner

    def send(self, attempt: UpstreamAttempt) -> None:
        """Begin an attempt."""
        self.inner.send(attempt)

    def give_up(self, attempt: UpstreamAttempt) -> None:
        """Stop waiting for an attempt."""
        self.inner.give_up(attempt)

    def told(self, listed: EndpointList) -> list[UpstreamAttempt]:
        """Discovery's list has changed; the attempts that can't begin any more."""
        return self.inner.told(listed)

    def rest_at(self, server: EndpointId) -> list[UpstreamAttempt]:
        """A host is taken out by hand: its idle connections are closed; the attempts that can't begin."""
        return self.inner.rest_at(server)

    def take_back(self, attempt: UpstreamAttempt) -> bool:
        """Whether an attempt's first byte has not left yet; it never will."""
        return self.inner.take_back(attempt)


class _ToldHosts(ObservedCluster):
    """Observers are told of each attempt before it is sent."""

    def __init__(self, inner: Upstream, driver: FilteringDriver) -> None:
        super().__init__(inner)
        self.driver = driver

    def send(self, attempt: UpstreamAttempt) -> None:
        self.driver._tell_observers("attempt_began", attempt)
        super().send(attempt)


class FilteringDriver(Driver):
    """A ``Driver`` whose requests pass stages first, and whose doings observers are told."""

    def __init__(
        self, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop, plugs: Extensions
    ) -> None:
        self.plugs = plugs
        super().__init__(settings, seed, loop)
        self.runs: dict[ClientRequest, FilterRun] = {}  # for as long as their calls are open
        # Checks for others that are being decided.
        self.decided: dict[int, AdmitRequest | RejectRequest | None] = {}
        self.leaving: ClientRequest | None = None  # whose client has just gone
        self.faults: Counter[str] = Counter()  # by stage or observer
        if plugs.observers:
            self._decide_plainly = self.gateway.handle
            self.gateway.handle = self._judge

    # -- stages ---------------------------------------------------------------------------------------------

    def arrived(
        self, terms: RequestTerms, parts: tuple[bytes, ...], answer: Callable[[bytes], None]
    ) -> ClientRequest:
        """A client's request: counted and guarded first, then the stages, then the decision module."""
        call = self._take(terms, parts, answer)
        if not self.plugs.stages:
            self.feed(call.event)
            return call
        body = len(parts[5]) if len(parts) > 5 else 0
        run = FilterRun(
            call, FilteredRequest(call.event.request, parts[2], terms, body, call.until)
        )
        self.runs[call] = run
        self._through(run, terms, 0)
        return call

    def _through(self, run: FilterRun, terms: RequestTerms, place: int) -> None:
        """The stages from this one on, as far as they answer at once."""
        stages = self.plugs.stages
        while place < len(stages):
            stage = stages[place]
            run.seen.append(stage)
            try:
                verdict = stage.on_request(run.request)
            except Exception as wrong:  # guards the path against a fault of a plugged-in part
                verdict = self._faulty(stage, wrong)
            if inspect.isawaitable(verdict):
                if run.late is None:  # all stages together share one stretch of time
                    share = int(self.plugs.time_share * (run.call.until - self.clock()))
                    run.late = self._after(max(0, share), self._too_late, run)
                run.task = self.loop.create_task(self._wait(run, stage, verdict, terms, place))
                return
            if (terms := self._apply(run, stage, verdict, terms)) is None:
                return
            place += 1
        self._decide(run, terms)

    async def _wait(
        self, run: FilterRun, stage: RequestFilter, verdict, terms: RequestTerms, place: int
    ) -> None:
        try:
            verdict = await verdict
        except asyncio.CancelledError:
            if run.call.finished:  # by us: its end was told
                raise
            # ``_too_late`` cancelled it, or the stage's own work was cancelled: a stage that took too long.
            verdict = self._faulty(
                stage, TimeoutError("no verdict in its share of the request's time")
            )
        except Exception as wrong:
            verdict = self._faulty(stage, wrong)
        run.task = None
        if not run.call.finished and (terms := self._apply(run, stage, verdict, terms)) is not None:
            self._through(run, terms, place + 1)

    def _too_late(self, run: FilterRun) -> None:
        if run.task and not run.call.finished:
            run.late = None  # what comes after this stage gets its share of what is left
            run.task.cancel()

    def _faulty(self, stage: RequestFilter | Observer, wrong: BaseException):
        self.faults[stage.name] += 1
        log.warning("%s: %.200r", stage.name, wrong)
        return getattr(stage, "fallback", None)

    def _apply(
        self, run: FilterRun, stage: RequestFilter, verdict, terms: RequestTerms
    ) -> RequestTerms | None:
        """The terms to go on with; None where the request is answered."""
        plans = len(self.gateway.settings.plans)
        try:
            result = apply(verdict, terms, plans)
        except FilterError as wrong:
            try:
                result = apply(self._faulty(stage, wrong), terms, plans)
            except FilterError:
                result = (
                    Reject()
                )  # not even its fallback is a verdict; nothing was sent, so this is harmless
        if isinstance(result, Reject):
            self._finish(
                run.call, busy_reply(min(result.retry_after, self.gateway.settings.max_retry_after_us))
            )
            return None
        if isinstance(result, Abort):
            self._finish(run.call, FAILED)
            return None
        if result is not terms:
            run.request = replace(run.request, terms=result)
        return result

    def _decide(self, run: FilterRun, terms: RequestTerms) -> None:
        """All stages let it on: the decision module is told, with the time that is left by now."""
        call = run.call
        if run.late:
            run.late.cancel()
            run.late = None
        rest = max(0, call.until - self.clock())
        spent = call.event.time_left_us - rest
        left = max(MS, min(rest, terms.wait - ON_THE_WAY - spent))
        call.event = call.event._replace(plan=terms.plan, time_left_us=left)
        until = self.clock() + left
        if until < call.until:  # a stage shortened the wait
            call.until = until
            call.guard.cancel()
            call.guard = self._at(until, self._time_up, call)
        self.feed(call.event)

    def client_gone(self, call: ClientRequest) -> None:
        """The client has closed its connection: the stages that saw the request hear so."""
        self.leaving = call
        super().client_gone(call)
        self.leaving = None

    def _close(self, call: ClientRequest) -> None:
        super()._close(call)
        self._end_stages(call, Ending.CLIENT_GONE if call is self.leaving else Ending.ANSWERED)

    def _end_stages(self, call: ClientRequest, ending: Ending) -> None:
        run = self.runs.pop(call, None)
        if run is None:
            return
        if run.late:
            run.late.cancel()
        if run.task:
            run.task.cancel()
        for stage in run.seen:
            try:
                stage.on_end(run.request, ending)
            except Exception as wrong:
                self._faulty(stage, wrong)

    # -- decisions for others -------------------------------------------------------------------------------

    def decide(
        self, customer: int, plan: int, kind: int, units: float, first: int, spread: int
    ) -> AdmitRequest | RejectRequest | None:
        """Whether a request that somebody else sends on is let in, by the same counts; None: not decided."""
        self.last_number += 1
        number = self.last_number
        self.decided[number] = None
        self.feed(AdmissionCheckArrived(number, customer, plan, kind, units, first, spread))
        return self.decided.pop(number)

    def _admit(self, action: AdmitRequest) -> None:
        if action.request in self.decided:
            self.decided[action.request] = action

    def _refuse(self, action: RejectRequest) -> None:
        if action.request in self.decided:
            self.decided[action.request] = action
        else:
            super()._refuse(action)

    _DO: ClassVar = Driver._DO | {AdmitRequest: _admit, RejectRequest: _refuse}

    # -- observers ------------------------------------------------------------------------------------------

    def _tell_observers(self, what: str, *args) -> None:
        for observer in self.plugs.observers:
            try:
                getattr(observer, what)(*args)
            except Exception as wrong:  # guards the path: an observer can't raise into it
                self._faulty(observer, wrong)

    def _judge(self, now: int, event: Event) -> list[Action]:
        self._tell_observers("event_in", now, event)
        actions = self._decide_plainly(now, event)
        self._tell_observers("actions_out", now, event, tuple(actions))
        return actions

    def wrap_hosts(self, wrap: Callable[[Upstream], Upstream]) -> None:
        """Put something between the driver and its hosts."""
        self._hosts = wrap(self._hosts)

    @property
    def hosts(self) -> Upstream | None:
        """Where attempts are sent; with observers they hear of each first."""
        return self._hosts

    @hosts.setter
    def hosts(self, hosts: Upstream | None) -> None:
        self._hosts = _ToldHosts(hosts, self) if hosts and self.plugs.observers else hosts

    def attempt_ended(
        self,
        attempt: UpstreamAttempt,
        outcome: AttemptOutcome,
        value: bytes | StreamingReply | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """What came of an attempt."""
        if not attempt.ended:
            self._tell_observers("attempt_ended", attempt, outcome)
        super().attempt_ended(attempt, outcome, value, report)

    def _finish(self, call: ClientRequest, reply: bytes | StreamingReply) -> None:
        if not call.finished:
            self._tell_observers(
                "answered", call, reply if isinstance(reply, bytes) else reply.head
            )
        super()._finish(call, reply)
