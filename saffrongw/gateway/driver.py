"""Feeds events to the policy and carries out its actions.

The driver owns timers, request ids, deadlines and final replies. Every request gets exactly one
final reply, and only ``Driver._send_final_reply`` sends it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, ClassVar

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
    EndpointListKind,
    EndpointListReceived,
    Event,
    ExclusionChanged,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from ..policy.gateway import Gateway
from ..policy.settings import Settings
from .clock import Clock
from .config import EndpointList
from .metrics import Metrics
from .reasons import EndedBy, RejectionReason
from .recent_requests import RecentRequests
from .request_log import RequestLog
from .request_types import (
    FAILED,
    US_PER_MS,
    ClientRequest,
    FinalReply,
    RequestTerms,
    SendReply,
    Upstream,
    UpstreamAttempt,
    busy_reply,
)
from .signals import process_started_us

log = logging.getLogger(__name__)

# Allowance for network transit: the client's timeout counts from the sending of its command, so the
# final reply must be sent this long before the timeout.
REPLY_TRANSIT_US = 10 * US_PER_MS

# After such an outcome of its attempt, the endpoint has not run the request.
NEVER_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT}
)


def _request_id_of(event: Event) -> int:
    """Return the id of the request that an event concerns, or an unassigned id if none."""
    if isinstance(event, TimerFired):
        return event.token - 1
    return getattr(event, "request", 0)


class Driver:
    """Owns the policy, its timers, and the requests whose final reply is pending.

    Other components set three attributes: ``send_gossip`` (the gossip transport), ``is_overloaded``
    (the downstream) and ``is_successor`` (hot restart: another process still serves the same
    addresses and will hand over to this one).
    """

    def __init__(self, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        """Create the policy with these settings; ``seed`` determines its random choices."""
        self.loop = loop
        self.clock = Clock()
        self.gateway = Gateway(settings, seed, self.clock())
        # Passes an event to the policy; a derived driver may wrap it.
        self.handle_by_policy: Callable[[int, Event], list[Action]] = self.gateway.handle
        self.metrics = Metrics(len(settings.classes))
        self.recent_requests = RecentRequests(settings.classes, self.clock)
        # Set by ``bootstrap`` where the operators ask for it.
        self.request_log: RequestLog | None = None
        # Set by ``connect_upstream`` before ``start``.
        self.cluster: Upstream
        self.send_gossip: Callable[[int, bytes], None] = lambda _peer, _body: None
        self.requests: dict[int, ClientRequest] = {}
        self.last_request_id = 0
        self.pending_events: deque[Event] = deque()
        self.is_handling = False
        self.is_successor = False
        self.is_overloaded: Callable[[], bool] = lambda: False

    def connect_upstream(self, upstream: Upstream) -> None:
        """Send attempts to this upstream; called once, before ``start``."""
        self.cluster = upstream

    def start(self, cached: EndpointList) -> None:
        """Start the policy with the cached endpoint list, before any client is served."""
        now_us = self.clock()
        self._execute(
            self.gateway.start(now_us if self.is_successor else process_started_us(now_us))
        )
        self.endpoint_list_received(cached, cached=True)

    # -- events -----------------------------------------------------------------------------------

    def request_arrived(
        self, terms: RequestTerms, parts: tuple[bytes, ...], send_reply: SendReply
    ) -> ClientRequest:
        """Start a client's request that has just been read completely."""
        request = self._register_request(terms, parts, send_reply)
        self.feed(request.event)
        return request

    def _register_request(
        self, terms: RequestTerms, parts: tuple[bytes, ...], send_reply: SendReply
    ) -> ClientRequest:
        """Give a request its id, record it and start its deadline timer.

        From here on it must get a final reply.
        """
        self.last_request_id += 1
        time_left_us = max(US_PER_MS, terms.timeout_us - REPLY_TRANSIT_US)
        event = RequestArrived(
            self.last_request_id,
            terms.customer,
            terms.plan,
            terms.kind,
            terms.units,
            time_left_us,
            terms.replica_set_first,
            terms.replica_set_size,
            terms.is_retry,
        )
        request = ClientRequest(event, parts, self.clock() + time_left_us, send_reply)
        self.requests[self.last_request_id] = request
        request.deadline_timer = self._call_at(request.deadline_us, self._deadline_passed, request)
        if self.request_log:
            self.request_log.started(request)
        return request

    def client_disconnected(self, request: ClientRequest) -> None:
        """End a request whose client has closed its connection: it needs no final reply."""
        if not request.is_finished:
            if self.request_log:
                self.request_log.abandoned(request)
            self._close_request(request)
            self.feed(ClientDisconnected(request.event.request))
            # Unsent attempts are withdrawn even where the settings forbid cancelling started ones.
            for attempt in tuple(request.attempts):
                if not attempt.is_ended and self.cluster.withdraw(attempt):
                    self.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
            self.recent_requests.request_ended(request)

    def attempt_ended(
        self,
        attempt: UpstreamAttempt,
        outcome: AttemptOutcome,
        value: FinalReply | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """Record an attempt's outcome.

        The first served value is sent to the client before the policy is notified.
        A streaming reply counts as served from its first bytes; the policy is not notified of how
        its transfer ends.
        """
        if attempt.is_ended:
            return
        attempt.is_ended = True
        self.metrics.outcomes[outcome] += 1
        if self.request_log:
            self.request_log.attempt_ended(attempt, outcome)
        if attempt.timeout_timer:
            attempt.timeout_timer.cancel()
        request = attempt.request
        request.has_possibly_run |= attempt.is_fully_sent and outcome not in NEVER_RUN_OUTCOMES
        if value is not None and not request.is_finished:
            self._send_final_reply(request, value)
        duration_us = self.clock() - attempt.sent_at_us
        self.feed(
            AttemptEnded(
                request.event.request,
                attempt.index,
                attempt.endpoint_id,
                outcome,
                duration_us,
                request.is_finished,
                0,
                0.0,
                report,
            )
        )
        if request.is_finished and all(each.is_ended for each in request.attempts):
            self._release_request(request)

    def endpoint_list_received(self, endpoints: EndpointList, cached: bool = False) -> None:
        """Apply an endpoint list from discovery, or the cached one at start-up."""
        kind = EndpointListKind.COMPLETE if endpoints.is_complete else EndpointListKind.DELTA
        if cached:
            kind = EndpointListKind.CACHED
        unstartable = self.cluster.update_endpoints(endpoints)
        entries = tuple(endpoint.entry for endpoint in endpoints.endpoints)
        self.feed(EndpointListReceived(kind, endpoints.version, entries))
        # Reported after the new list, because the policy picks the endpoints of retries from it.
        for attempt in unstartable:
            self.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    @property
    def held_request_bytes(self) -> int:
        """The length of the requests that have no final reply, or an attempt in flight."""
        return sum(len(part) for each in self.requests.values() for part in each.parts)

    def exclusion_changed(self, event: ExclusionChanged) -> None:
        """Apply an operator's exclusion of an endpoint, or the end of an exclusion."""
        self.feed(event)
        if event.excluded:
            for attempt in self.cluster.close_idle_connections(event.endpoint_id):
                self.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def gossip_received(self, sender: int, body: bytes) -> None:
        """Pass a peer's datagram to the policy."""
        self.feed(GossipReceived(sender, body))

    def feed(self, event: Event) -> None:
        """Pass one event to the policy.

        Events that its actions cause are queued until all of these actions have been executed.
        """
        self.pending_events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.pending_events:
                self._handle_event(self.pending_events.popleft())
        finally:
            self.is_handling = False

    def _handle_event(self, event: Event) -> None:
        try:
            actions = self.handle_by_policy(self.clock(), event)
        except Exception:
            # An exception in the policy must fail only the request concerned.
            log.exception("driver: policy failed: event=%s", event.topic)
            self._fail_request_of(event)
            # Timers that were already set are kept: the policy rearms the gossip timer first, and
            # without it gossip would stop.
            actions = [
                action for action in self.gateway.context.actions if isinstance(action, SetTimer)
            ]
        self._execute(actions)

    def _fail_request_of(self, event: Event) -> None:
        """Fail the request that an event concerns, if any."""
        request = self.requests.get(_request_id_of(event))
        if request is not None and not request.is_finished:
            self._fail_without_policy(request, EndedBy.POLICY_EXCEPTION)

    # -- actions ----------------------------------------------------------------------------------

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self._ACTION_HANDLERS[type(action)](self, action)

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return
        now_us = self.clock()
        deadline_us = min(action.deadline_us or request.deadline_us, request.deadline_us)
        attempt = UpstreamAttempt(
            request, len(request.attempts), action.endpoint_id, now_us, deadline_us
        )
        request.attempts.append(attempt)
        if self.request_log:
            self.request_log.attempt_started(attempt)
        # Nothing is sent after the request's final reply or its deadline.
        if request.is_finished or now_us >= request.deadline_us:
            self.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
            return
        # An attempt with the same deadline as its request needs no timer: the request's deadline
        # timer ends it.
        if deadline_us < request.deadline_us:
            attempt.timeout_timer = self._call_at(deadline_us, self._attempt_timed_out, attempt)
        self.cluster.send(attempt)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if not attempt.is_ended:
            self.cluster.cancel(attempt)
            self.attempt_ended(attempt, AttemptOutcome.CANCELLED)

    def _reject_request(self, action: RejectRequest) -> None:
        if request := self.requests.get(action.request):
            self.metrics.rejected[RejectionReason.POLICY] += 1
            request.ended_by = EndedBy.POLICY
            self._send_final_reply(request, busy_reply(action.retry_after_us))

    def _fail_request(self, action: FailRequest) -> None:
        if request := self.requests.get(action.request):
            request.ended_by = EndedBy.POLICY
            self._send_final_reply(request, FAILED)

    def _set_timer(self, action: SetTimer) -> None:
        self._call_after(action.delay_us, self.feed, TimerFired(action.token))

    def _send_gossip(self, action: SendGossip) -> None:
        self.send_gossip(action.peer, action.body)

    def _ignore(self, action: Action) -> None:
        """Do nothing: discovery is always subscribed to, and this policy sends no health checks."""

    _ACTION_HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        SendAttempt: _send_attempt,
        CancelAttempt: _cancel_attempt,
        RejectRequest: _reject_request,
        FailRequest: _fail_request,
        SetTimer: _set_timer,
        SendGossip: _send_gossip,
        SubscribeEndpointList: _ignore,
        FetchEndpointList: _ignore,
        CheckHealth: _ignore,
    }

    # -- final replies and deadlines --------------------------------------------------------------

    def _send_final_reply(self, request: ClientRequest, reply: FinalReply) -> None:
        """Send the final reply, if none was sent; every final reply is sent from here."""
        if not request.is_finished:
            if self.request_log:
                self.request_log.ended(request, reply)
            self._close_request(request)
            if isinstance(reply, bytes):
                self.metrics.count_reply(request.event.kind, reply)
            else:
                reply.count_in(self.metrics, request.event.kind)
            self.recent_requests.request_ended(request)
            request.send_reply(reply)

    def _close_request(self, request: ClientRequest) -> None:
        """Mark a request as finished and forget it.

        Called once for each request, however it ends.
        """
        request.is_finished = True
        for attempt in request.attempts:
            if not attempt.is_ended:
                # Kept for one event loop iteration: the policy may cancel attempts in flight.
                self.loop.call_soon(self.requests.pop, request.event.request, None)
                return
        self._release_request(request)

    def _release_request(self, request: ClientRequest) -> None:
        """Free a finished request whose attempts have all ended.

        Its timer would hold it until the client's deadline, and the reference cycle with its
        attempts until the garbage collector runs.
        """
        if request.deadline_timer:
            request.deadline_timer.cancel()
        self.requests.pop(request.event.request, None)
        request.attempts.clear()

    def _attempt_timed_out(self, attempt: UpstreamAttempt) -> None:
        """End an attempt that got no reply in time.

        One that was not sent completely cannot have been executed: it counts as a failed connect.
        """
        if not attempt.is_ended:
            self.cluster.cancel(attempt)
            if attempt.is_fully_sent:
                self.attempt_ended(attempt, AttemptOutcome.TIMED_OUT)
            else:
                self.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def _deadline_passed(self, request: ClientRequest) -> None:
        """End all attempts in flight.

        Fail the request if the policy then leaves it without a final reply.
        """
        # Iterates over a copy: ending an attempt may add others or clear the list.
        for attempt in tuple(request.attempts):
            self._attempt_timed_out(attempt)
        if not request.is_finished:
            log.warning("driver: request left unanswered: request=%d", request.event.request)
            self._fail_without_policy(request, EndedBy.DEADLINE)

    def fail_all_requests(self) -> None:
        """Fail all requests in flight, because the process is about to be killed."""
        for request in tuple(self.requests.values()):
            if not request.is_finished:
                self._fail_without_policy(request, EndedBy.SHUTDOWN)

    def _fail_without_policy(self, request: ClientRequest, ended_by: EndedBy) -> None:
        """Fail a request without a decision of the policy, and make the policy forget it."""
        request.ended_by = ended_by
        self._send_final_reply(request, FAILED)
        self.feed(ClientDisconnected(request.event.request))

    def _call_after(
        self, delay_us: int, callback: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Call back after at least this delay, rounded up: the loop counts whole milliseconds."""
        return self.loop.call_later((delay_us // US_PER_MS + 1) / 1_000, callback, *args)

    def _call_at(
        self, when_us: int, callback: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        return self._call_after(max(0, when_us - self.clock()), callback, *args)
