"""Feeds events to one ``Gateway`` and carries out its actions: clock, timers, numbers, deadlines, answers.

A ``Call`` is a client's request from its last byte to its one final answer. Only ``_finish`` answers it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar, NamedTuple, Protocol

from ..policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpointList,
)
from ..policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    Event,
    ExclusionChanged,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from ..policy.rules import Gateway
from ..policy.settings import Settings
from .config import EndpointList
from .metrics import Metrics
from .signals import process_started_us
from .streaming_reply import StreamingReply

log = logging.getLogger(__name__)

MS = 1_000  # microseconds
# The client's clock started when it sent: so much before its time is up the last answer must be on its way.
ON_THE_WAY = 10 * MS
FAILED = b"-ERR failed\r\n"


def busy_reply(retry_after: int) -> bytes:
    """A refusal; retry_after in us, 0 says nothing."""
    wait = -(-retry_after // MS)  # a client that came back earlier would be refused again
    return b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n"


class RequestTerms(NamedTuple):
    """What a client's command says of its request; wait in microseconds."""

    customer: int
    kind: int
    plan: int
    wait: int
    units: float
    spread: int
    first: int
    is_retry: bool


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request: what goes to hosts, and how it stands."""

    event: RequestArrived
    parts: tuple[
        bytes, ...
    ]  # command, customer, id, terms before and after the value of ``d``, perhaps body
    until: int  # clock time by which it must be answered
    answer: Callable[[bytes | StreamingReply], None]
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    guard: asyncio.TimerHandle | None = None
    finished: bool = False


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One send of a call to a host; it ends exactly once."""

    call: ClientRequest
    number: int
    endpoint_id: EndpointId
    sent: int
    deadline_us: int
    timer: asyncio.TimerHandle | None = None
    link: object = None  # where hosts.py keeps what carries it
    whole: bool = False  # its last byte has left: from then on it may run
    ended: bool = False


class Upstream(Protocol):
    """What the driver needs of ``hosts.py``."""

    def send(self, attempt: UpstreamAttempt) -> None:
        """Begin an attempt."""

    def give_up(self, attempt: UpstreamAttempt) -> None:
        """Stop waiting for an attempt."""

    def told(self, listed: EndpointList) -> list[UpstreamAttempt]:
        """Discovery's list has changed; the attempts that can't begin any more."""

    def rest_at(self, endpoint_id: EndpointId) -> list[UpstreamAttempt]:
        """A host is taken out by hand: its idle connections are closed; the attempts that can't begin."""

    def take_back(self, attempt: UpstreamAttempt) -> bool:
        """Whether an attempt's first byte has not left yet; it never will."""


class Clock:
    """Unix time in microseconds, read once and then advanced by the monotonic clock: it never jumps."""

    def __init__(self) -> None:
        self.base = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (self.base + time.monotonic_ns()) // 1_000


class Driver:
    """The one Gateway with its clock and timers, and the bookkeeping of answers owed."""

    def __init__(self, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.clock = loop, Clock()
        self.gateway = Gateway(settings, seed, self.clock())
        self.figures = Metrics(len(settings.classes))
        self.hosts: Upstream | None = None
        self.tell_peer: Callable[[int, bytes], None] = lambda rank, body: None
        self.calls: dict[int, ClientRequest] = {}
        self.last_number = 0
        self.pending: deque[Event] = deque()
        self.feeding = False
        self.succeeds = False  # another process with our addresses still runs, and gives way
        self.pressed: Callable[[], bool] = lambda: False  # whether requests wait for the core

    def start(self, known: EndpointList) -> None:
        """The first actions, and the list as it was last known, before any client is served."""
        now = self.clock()
        self._carry_out(self.gateway.start(now if self.succeeds else process_started_us(now)))
        self.listed(known, cached=True)

    # -- events ---------------------------------------------------------------------------------------------

    def arrived(
        self, terms: RequestTerms, parts: tuple[bytes, ...], answer: Callable[[bytes], None]
    ) -> ClientRequest:
        """A client's request, its last byte just read; the client's own ids stay outside the module."""
        call = self._take(terms, parts, answer)
        self.feed(call.event)
        return call

    def _take(
        self, terms: RequestTerms, parts: tuple[bytes, ...], answer: Callable[[bytes], None]
    ) -> ClientRequest:
        """From here on an answer is owed: counted, listed and guarded."""
        self.last_number += 1
        left = max(MS, terms.wait - ON_THE_WAY)
        event = RequestArrived(
            self.last_number,
            terms.customer,
            terms.plan,
            terms.kind,
            terms.units,
            left,
            terms.first,
            terms.spread,
            terms.is_retry,
        )
        call = ClientRequest(event, parts, self.clock() + left, answer)
        self.calls[self.last_number] = call
        call.guard = self._at(call.until, self._time_up, call)
        return call

    def client_gone(self, call: ClientRequest) -> None:
        """The client has closed its connection: nothing is owed any more."""
        if not call.finished:
            self._close(call)
            self.feed(ClientDisconnected(call.event.request))
            for attempt in tuple(call.attempts):  # also where what has begun may not be called off
                if not attempt.ended and self.hosts.take_back(attempt):
                    self.attempt_ended(attempt, AttemptOutcome.NOT_SENT)

    def attempt_ended(
        self,
        attempt: UpstreamAttempt,
        outcome: AttemptOutcome,
        value: bytes | StreamingReply | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """What came of an attempt; the first one served answers the client before the module is told.

        A long value counts from its first bytes; that it can't be finished is no matter of the decisions any more.
        """
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer:
            attempt.timer.cancel()
        call = attempt.call
        if value is not None and not call.finished:
            self._finish(call, value)
        took = self.clock() - attempt.sent
        self.feed(
            AttemptEnded(
                call.event.request,
                attempt.number,
                attempt.endpoint_id,
                outcome,
                took,
                call.finished,
                0,
                0.0,
                report,
            )
        )
        if call.finished and call.event.request not in self.calls:
            call.attempts.clear()  # attempts and call would hold each other until the collector comes by

    def listed(self, listed: EndpointList, cached: bool = False) -> None:
        """Discovery told something."""
        kind = EndpointListKind.COMPLETE if listed.is_complete else EndpointListKind.DELTA
        if cached:
            kind = EndpointListKind.CACHED
        stranded = self.hosts.told(listed)
        self.feed(
            EndpointListReceived(
                kind, listed.version, tuple(host.entry for host in listed.endpoints)
            )
        )
        for attempt in stranded:  # only now: where they go next depends on the list
            self.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def excluded(self, event: ExclusionChanged) -> None:
        """A host is taken out by hand, or put back."""
        self.feed(event)
        for attempt in self.hosts.rest_at(event.endpoint_id) if event.excluded else ():
            self.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def peer_said(self, sender: int, body: bytes) -> None:
        """A datagram of another gateway."""
        self.feed(GossipReceived(sender, body))

    def feed(self, event: Event) -> None:
        """One event to the module; what an action leads to at once waits until all of them are done."""
        self.pending.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.pending:
                self._handle(self.pending.popleft())
        finally:
            self.feeding = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self.gateway.handle(self.clock(), event)
        except (
            Exception
        ):  # guards against a fault of the decisions taking all held requests with it
            log.exception("the decisions failed on %s", event.topic)
            number = (
                event.token - 1 if isinstance(event, TimerFired) else getattr(event, "request", 0)
            )
            call = self.calls.get(number)
            if call is not None and not call.finished:
                self._fail_for_good(call)
            # Guards the gossip's own timer, which it sets anew before all else.
            actions = [action for action in self.gateway.actions if isinstance(action, SetTimer)]
        self._carry_out(actions)

    # -- actions --------------------------------------------------------------------------------------------

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self._DO[type(action)](self, action)

    def _send(self, action: SendAttempt) -> None:
        call = self.calls.get(action.request)
        if call is None:
            return
        now = self.clock()
        deadline_us = min(action.deadline_us or call.until, call.until)
        attempt = UpstreamAttempt(call, len(call.attempts), action.endpoint_id, now, deadline_us)
        call.attempts.append(attempt)
        # Guards rule 1: nothing more after the final answer, nor too late for one.
        if call.finished or now >= call.until:
            self.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
            return
        if (
            deadline_us < call.until
        ):  # else the call's own timer ends it: one less for every attempt
            attempt.timer = self._at(deadline_us, self._timed_out, attempt)
        self.hosts.send(attempt)

    def _cancel(self, action: CancelAttempt) -> None:
        call = self.calls.get(action.request)
        if call is None or action.attempt >= len(call.attempts):
            return
        attempt = call.attempts[action.attempt]
        if not attempt.ended:
            self.hosts.give_up(attempt)
            self.attempt_ended(attempt, AttemptOutcome.CANCELLED)

    def _refuse(self, action: RejectRequest) -> None:
        if call := self.calls.get(action.request):
            self._finish(call, busy_reply(action.retry_after_us))

    def _fail(self, action: FailRequest) -> None:
        if call := self.calls.get(action.request):
            self._finish(call, FAILED)

    def _set_timer(self, action: SetTimer) -> None:
        self._after(action.delay_us, self.feed, TimerFired(action.token))

    def _tell(self, action: SendGossip) -> None:
        self.tell_peer(action.peer, action.body)

    def _nothing(self, action: Action) -> None:
        """The watch on discovery runs in any case, and these decisions send no probes."""

    _DO: ClassVar = {
        SendAttempt: _send,
        CancelAttempt: _cancel,
        RejectRequest: _refuse,
        FailRequest: _fail,
        SetTimer: _set_timer,
        SendGossip: _tell,
        SubscribeEndpointList: _nothing,
        FetchEndpointList: _nothing,
        CheckHealth: _nothing,
    }

    # -- answers and deadlines ------------------------------------------------------------------------------

    def _finish(self, call: ClientRequest, reply: bytes | StreamingReply) -> None:
        """Every final answer passes here, once for each call."""
        if not call.finished:
            self._close(call)
            if isinstance(reply, bytes):
                self.figures.answered(call.event.kind, reply)
            else:
                reply.answers(self.figures, call.event.kind)
            call.answer(reply)

    def _close(self, call: ClientRequest) -> None:
        call.finished = True
        for attempt in call.attempts:
            if (
                not attempt.ended
            ):  # a Cancel of what is still out may follow: kept for one turn of the loop
                self.loop.call_soon(self.calls.pop, call.event.request, None)
                return
        call.guard.cancel()
        self.calls.pop(call.event.request, None)

    def _timed_out(self, attempt: UpstreamAttempt) -> None:
        """Nothing came in time. What never left whole has certainly not run."""
        if not attempt.ended:
            self.hosts.give_up(attempt)
            outcome = AttemptOutcome.TIMED_OUT if attempt.whole else AttemptOutcome.CONNECT_FAILED
            self.attempt_ended(attempt, outcome)

    def _time_up(self, call: ClientRequest) -> None:
        """Ends what is out. Guards the deadline: what the module leaves unanswered then is failed."""
        for attempt in tuple(call.attempts):  # each end may add to them, or let them go
            self._timed_out(attempt)
        if not call.finished:
            log.warning("a request was left unanswered by the decisions")
            self._fail_for_good(call)

    def fail_all(self) -> None:
        """The process is about to be killed: what is still held is answered as failed, which promises nothing."""
        for call in tuple(self.calls.values()):
            if not call.finished:
                self._fail_for_good(call)

    def _fail_for_good(self, call: ClientRequest) -> None:
        """Answered without the decisions, which forget it."""
        self._finish(call, FAILED)
        self.feed(ClientDisconnected(call.event.request))

    def _after(self, span: int, callback: Callable, *args) -> asyncio.TimerHandle:
        """Call back no earlier than a span from now: the loop counts whole milliseconds."""
        return self.loop.call_later((span // MS + 1) / 1_000, callback, *args)

    def _at(self, when: int, callback: Callable, *args) -> asyncio.TimerHandle:
        return self._after(max(0, when - self.clock()), callback, *args)
