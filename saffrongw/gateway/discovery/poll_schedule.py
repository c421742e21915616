"""When a gateway polls discovery, for what, and how long it waits for the answer.

Pure: the caller passes the time and the random numbers; all times and spans are in seconds.

Two constraints bind every span.

*The notification deadline* goes first: a change counts as notified at a certain moment whether or
not the gateway received it, and from ``drain_grace_s`` later on no new request may go to an
endpoint that drains. Where lists are pushed (``pushed``), discovery's address is an agent on the
gateway's own machine that answers at once, at no cost, and what it has counts as notified in that
moment. So a poll is always in flight, or is again soon: with R for the random delay before a new
connection and P for the answer timeout,

    P + R  =  grace / 2 + grace / 4  <  grace,

also while the agent is silent, as it may be back at any moment.

A watch (a long poll) of ``watch_s`` seconds that falls silent delivers nothing until ``watch_s`` is
over; what it misses counts as notified ``WATCH_NOTIFICATION_DEADLINE_S`` after that, or
``NOTIFICATION_DEADLINE_S`` after it fell silent, if that is later. Detected, delayed and answered:

    watch_s + WATCH_MARGIN_S + R + answer  <=  watch_s + WATCH_NOTIFICATION_DEADLINE_S + grace.

Where lists are polled, the service is remote and one for all gateways, what happens counts as
notified ``NOTIFICATION_DEADLINE_S`` later, and the spans below are cut where they would pass that.
After a silence and after a connection that failed:

    MAX_ANSWER_TIMEOUT_S + MAX_SPAN_AFTER_SILENCE_S + answer  <=  NOTIFICATION_DEADLINE_S + grace,
    CONNECT_TIMEOUT_S + MAX_RETRY_SPAN_S + answer             <=  NOTIFICATION_DEADLINE_S + grace.

The same deadline holds after a rejection (503). A service that rejects all polls for that long
can't notify in time; one that has capacity again is polled within ``MAX_RETRY_SPAN_S`` at the
latest.

*The load on the service* comes second. With G gateways, a poll that costs the service c seconds of
its worker, and polls drawn evenly over a span S, the worker is busy for G c / S of the time. Every
span here is that equation solved for S,

    S = load_factor * G * c / TARGET_UTILISATION,

with c = ``FULL_FETCH_COST_S`` or ``DELTA_COST_S``: estimates for a service that nobody has measured
yet. ``load_factor`` (1 to ``MAX_LOAD_FACTOR``) corrects them by what is observed of polls that
don't watch: an answer that took longer than ``SLOW_ANSWER_S`` doubles it, and so does an answer
that did not come in time; an answer quicker than ``QUICK_ANSWER_S``, to any poll, halves it. A
rejection leaves it as it is. So spans grow with the fleet and with the slowness of the service, up
to what the notification deadline leaves; for three gateways all of them are negligible.

- *First poll.* Only changes since the list that is known already, since that is cheap. The queue
  that all gateways make by polling in one moment, G c, does no harm while it is shorter than the
  service lets polls wait: a gateway delays by a draw of what it is longer (``first_poll_span``). So
  one that starts alone among 200 polls within 0.7 s, among 100 at once.
- *After a lost connection*: backoff, a draw of S for changes, doubled with each failure up to S for
  full fetches; twice that for a gateway that has served no client yet.
- *After a rejection* (503): a draw of half of what the notification deadline leaves since the list
  was last known to be current, so that there are several attempts before it binds, or of half of
  the time since it expired; of S for changes or a second at the least; after ``Retry-After`` at the
  earliest.
- *Watches* last long enough for answers without changes to use ``WATCH_UTILISATION`` of the worker
  at most.
- *One full fetch* some time after a start that only polled for changes, in case a registry began to
  count anew and has passed the version that this gateway knew.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Time of the service's worker that a poll is assumed to cost.
FULL_FETCH_COST_S = 0.025
DELTA_COST_S = 0.005
# Shares of the worker's time: for polls of gateways that start, and for watches without changes.
TARGET_UTILISATION = 0.8
WATCH_UTILISATION = 0.1
# Queue at the service that a start of all gateways may make.
MAX_START_QUEUE_S = 0.5
MAX_LOAD_FACTOR = 8.0
# Until a change counts as notified: since it happened, and since the end of a silent watch.
NOTIFICATION_DEADLINE_S = 6.0
WATCH_NOTIFICATION_DEADLINE_S = 2.0
# Bound of the answer timeout, however large the fleet: the next poll has to be answered before the
# deadline too.
MAX_ANSWER_TIMEOUT_S = 4.5
# Bound of the span between two attempts: connecting needs its time as well.
MAX_RETRY_SPAN_S = 4.0
# The same after a silence: what was missed counts as notified soon after.
MAX_SPAN_AFTER_SILENCE_S = 0.25
# How late an answer may be after a watch's time: a part of ``WATCH_NOTIFICATION_DEADLINE_S``.
WATCH_MARGIN_S = 0.75
# Time for the event loop to read once more before a poll whose answer may lie unread is abandoned.
FINAL_READ_S = 0.01
# Answer timeout of a small fleet. A poll that is abandoned sooner is behind all others in the
# service's queue when it is sent again.
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Answers that took longer, or less, tell of the service's load.
SLOW_ANSWER_S = 0.5
QUICK_ANSWER_S = 0.1
# Backoff after a lost connection, however small the fleet: span of the first draw, and the least
# bound that doubling ends at.
MIN_BACKOFF_S = 0.05
MIN_BACKOFF_BOUND_S = 1.0
# Span of the draw after a rejection, however small the fleet.
MIN_REJECTION_SPAN_S = 1.0
# Doublings of the backoff that are counted; it is bounded long before.
MAX_DOUBLINGS = 16
# ``Retry-After`` that is honoured.
MAX_RETRY_AFTER_S = 120.0
# Length of a watch: a silent agent is detected only after that.
MIN_WATCH_S = 2.0
MAX_WATCH_S = 30.0
# From the start to the one full fetch, and the least span of the draw that is added.
FULL_FETCH_DELAY_S = 60.0
# A gateway without clients waits so many times as long.
NO_CLIENTS_FACTOR = 2.0


class PollAction(Enum):
    """What the client is to do now."""

    CONNECT = "connect"
    # The connection is silent: close it; ``lost`` is to follow.
    ABORT = "abort"


@dataclass(frozen=True, slots=True)
class PollRequest:
    """One poll: for changes since ``version``, or for the complete list where that is None.

    ``watch_s`` is how long the service may wait for a change (0: it answers at once), ``timeout_s``
    when the answer is due.
    """

    version: int | None
    watch_s: float
    timeout_s: float


class PollSchedule:
    """The state of one gateway's polls: what it knows, what is in flight, and when it acts next.

    It is notified of what happens (``connected``, ``answered``, ``rejected``, ``lost``) and says
    what to do when ``next_at`` has come (``due``).
    """

    def __init__(
        self,
        gateways: int,
        draw: random.Random,
        version: int | None = None,
        notification_deadline_s: float = 0.0,
        watch_s: float | None = None,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
        has_clients: Callable[[], bool] = lambda: True,
        pushed: bool = False,
        drain_grace_s: float = 1.0,
    ) -> None:
        """Begin with nothing in flight.

        ``version`` is that of the known list; ``notification_deadline_s`` that of the settings (0:
        not set), which counts where it is shorter than the default; ``pushed`` says that an agent
        on this machine answers; ``drain_grace_s`` is the time from the notification of a drain
        until it binds.
        """
        self.gateways = max(1, gateways)
        self.random = draw
        self.pushed = pushed
        self.drain_grace_s = drain_grace_s
        self.answer_timeout_s = answer_timeout_s
        self.has_clients = has_clients
        self.notification_deadline_s = (
            min(NOTIFICATION_DEADLINE_S, notification_deadline_s)
            if notification_deadline_s
            else NOTIFICATION_DEADLINE_S
        )
        self.watch_s = self._default_watch() if watch_s is None else watch_s
        # Version of the list that was received last; None: there is none.
        self.version = version
        self.load_factor = 1.0
        # Failed connections in a row.
        self.failures = 0
        self.in_flight: PollRequest | None = None
        self.sent_at = 0.0
        self.is_connecting = False
        # For the next connection, where the service closed the last one behind its answer.
        self.next_request: PollRequest | None = None
        # The answer in flight is late; it may have been received but not read yet.
        self.is_final_read = False
        # The connection that is to be lost next was silent.
        self.was_silent = False
        self.connect_at: float | None = None
        # When the poll in flight is abandoned.
        self.timeout_at: float | None = None
        # When the list was last known to be current.
        self.current_at = 0.0
        self.full_fetch_at: float | None = None

    # -- spans --

    def fleet_load(self, cost_s: float) -> float:
        """Return for how long a poll of every gateway keeps the service busy.

        It is 0 for an agent on this machine.
        """
        return 0.0 if self.pushed else self.gateways * cost_s

    @property
    def connect_timeout_s(self) -> float:
        """Seconds in which a connection has to be established."""
        if self.pushed:
            return min(CONNECT_TIMEOUT_S, self.drain_grace_s / 2)
        return CONNECT_TIMEOUT_S

    def first_poll_span(self) -> float:
        """Return the span over which the first polls of all gateways are drawn."""
        load_s = self.fleet_load(FULL_FETCH_COST_S if self.version is None else DELTA_COST_S)
        span_s = max(0.0, load_s - MAX_START_QUEUE_S) / TARGET_UTILISATION
        # With no list known, no request can go to an endpoint that drains: no deadline binds.
        return span_s if self.version is None else self._bounded(span_s)

    def span_after_loss(self) -> float:
        """Return the span of the backoff when a connection has failed."""
        shortest_s, longest_s = (
            self.load_factor * self.fleet_load(cost_s) / TARGET_UTILISATION
            for cost_s in (DELTA_COST_S, FULL_FETCH_COST_S)
        )
        shortest_s = max(MIN_BACKOFF_S, shortest_s)
        longest_s = max(MIN_BACKOFF_BOUND_S, longest_s)
        backoff_s = min(longest_s, shortest_s * 2 ** min(MAX_DOUBLINGS, self.failures))
        factor = 1.0 if self.has_clients() else NO_CLIENTS_FACTOR
        span_s = self._bounded(backoff_s * factor)
        # A silence has used up most of the time that the deadline leaves.
        return min(span_s, MAX_SPAN_AFTER_SILENCE_S) if self.was_silent else span_s

    def span_after_rejection(self, now: float) -> float:
        """Return the span of the draw when the service has no capacity.

        It grows with the fleet because a rejection costs the service too.
        """
        load_s = self.load_factor * self.fleet_load(DELTA_COST_S)
        shortest_s = max(MIN_REJECTION_SPAN_S, load_s / TARGET_UTILISATION)
        remaining_s = self.current_at + self.notification_deadline_s + self.drain_grace_s - now
        return self._bounded(max(shortest_s, abs(remaining_s) / 2))

    def _default_watch(self) -> float:
        return min(MAX_WATCH_S, max(MIN_WATCH_S, self.fleet_load(DELTA_COST_S) / WATCH_UTILISATION))

    def _bounded(self, span_s: float) -> float:
        """Bound a span between two attempts by what the notification deadline leaves."""
        return min(span_s, self.drain_grace_s / 4 if self.pushed else MAX_RETRY_SPAN_S)

    def _answer_timeout(self) -> float:
        """Return the timeout of a poll that does not watch.

        An abandoned poll makes the service's work useless. So the queue of the whole fleet and a
        slow service are waited for, as far as the notification deadline allows; an agent on this
        machine has neither.
        """
        if self.pushed:
            return min(self.answer_timeout_s, self.drain_grace_s / 2)
        slow_s = self.answer_timeout_s * self.load_factor
        return min(MAX_ANSWER_TIMEOUT_S, max(slow_s, self.fleet_load(FULL_FETCH_COST_S)))

    def _draw(self, span_s: float) -> float:
        return span_s * (1 - self.random.random())

    # -- what to do --

    def next_at(self) -> float | None:
        """Return when ``due`` is to be called, at the latest; None while nothing is awaited."""
        times = [at for at in (self.connect_at, self.timeout_at) if at is not None]
        return min(times) if times else None

    def due(self, now: float) -> PollAction | None:
        """Return what to do now, if anything."""
        if self.timeout_at is not None and now >= self.timeout_at:
            if not self.is_final_read:
                # Guards an answer that arrived while the process stood still: it is read first.
                self.is_final_read = True
                self.timeout_at = now + FINAL_READ_S
                return None
            self.timeout_at = None
            self.was_silent = True
            return PollAction.ABORT
        if self.connect_at is not None and now >= self.connect_at:
            self.connect_at = None
            self.is_connecting = True
            return PollAction.CONNECT
        return None

    # -- what happens --

    def begin(self, now: float, at_once: bool = False) -> None:
        """Start, or start anew with another service."""
        self.failures = 0
        self.load_factor = 1.0
        self.current_at = now
        self._clear_in_flight()
        self.was_silent = False
        self.next_request = None
        self.connect_at = now if at_once else now + self._draw(self.first_poll_span())
        full_fetch_span_s = max(
            FULL_FETCH_DELAY_S, self.fleet_load(FULL_FETCH_COST_S) / WATCH_UTILISATION
        )
        self.full_fetch_at = now + FULL_FETCH_DELAY_S + self._draw(full_fetch_span_s)

    def change_service(self, now: float) -> None:
        """Begin anew with another service, at once: versions of the old one mean nothing there."""
        self.version = None
        self.begin(now, at_once=True)

    def connected(self, now: float) -> PollRequest:
        """Return the first poll of a new connection.

        It does not watch, as changes may have been missed.
        """
        self.is_connecting = False
        request = self.next_request or PollRequest(self.version, 0.0, self._answer_timeout())
        self.next_request = None
        return self._sent(now, request)

    def answered(
        self, now: float, version: int, connection_closes: bool = False
    ) -> PollRequest | None:
        """Take note of an answer that was applied, and return the next poll, to be sent at once.

        None where the service closes the connection behind its answer, as HTTP allows: the poll is
        sent on the next connection, at once, and watches as it would have on this one.
        """
        if self.in_flight is not None:
            self._update_load_factor(self.in_flight, now - self.sent_at)
        self.failures = 0
        self.current_at = now
        request = self._following(now, version)
        if not connection_closes:
            return self._sent(now, request)
        self._clear_in_flight()
        self.next_request = request
        self.connect_at = now
        return None

    def rejected(self, now: float, retry_after_s: float = 0.0) -> None:
        """Take note that the service has no capacity (503); the connection is to be closed."""
        self._clear_in_flight()
        self.next_request = None
        span_s = self.span_after_rejection(now)
        earliest = now + min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))
        self.connect_at = earliest + self._draw(span_s)

    def lost(self, now: float) -> None:
        """Take note that the connection ended, was never established, or was abandoned."""
        if self.connect_at is not None and not self.is_connecting:
            # Rejected, or closed behind an answer: the next connection is scheduled already.
            return
        is_watching = self.in_flight is not None and self.in_flight.watch_s > 0
        if is_watching and not self.was_silent:
            # A watch whose connection was seen to break had delivered all changes up to then.
            self.current_at = now
        elif self.was_silent and self.in_flight is not None and not is_watching:
            # Only a poll that does not watch tells of the service's load by its silence.
            self._raise_load_factor()
        self._clear_in_flight()
        self.next_request = None
        span_s = self.span_after_loss()
        self.was_silent = False
        self.failures += 1
        self.connect_at = now + self._draw(span_s)

    # -- state --

    def _following(self, now: float, version: int) -> PollRequest:
        """Take over the version that was answered, and return the poll that follows."""
        was_full_fetch = self.in_flight is None or self.in_flight.version is None
        if was_full_fetch:
            self.full_fetch_at = None
        # A lower version: the registry counts from the beginning.
        has_restarted = not was_full_fetch and version < (self.version or 0)
        self.version = None if has_restarted else version
        full_fetch_is_due = self.full_fetch_at is not None and now >= self.full_fetch_at
        if has_restarted or full_fetch_is_due:
            return PollRequest(None, 0.0, self._answer_timeout())
        return PollRequest(version, self.watch_s, self.watch_s + WATCH_MARGIN_S)

    def _update_load_factor(self, request: PollRequest, duration_s: float) -> None:
        if not request.watch_s and duration_s > SLOW_ANSWER_S:
            self._raise_load_factor()
        elif duration_s < QUICK_ANSWER_S:
            self.load_factor = max(1.0, self.load_factor / 2)

    def _raise_load_factor(self) -> None:
        self.load_factor = min(MAX_LOAD_FACTOR, 2 * self.load_factor)

    def _sent(self, now: float, request: PollRequest) -> PollRequest:
        self.in_flight = request
        self.sent_at = now
        self.timeout_at = now + request.timeout_s
        self.is_final_read = False
        return request

    def _clear_in_flight(self) -> None:
        self.in_flight = None
        self.timeout_at = None
        self.is_connecting = False
        self.is_final_read = False
