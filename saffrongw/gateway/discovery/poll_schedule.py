"""When a gateway polls discovery, for what, and how long it waits for the answer.

Pure: the caller passes the time and the random numbers. All times and spans are in seconds; a span
is the range of a random delay. ``poll_timing`` explains how spans are derived.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .poll_timing import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    DELTA_COST_S,
    FINAL_READ_S,
    FULL_FETCH_COST_S,
    FULL_FETCH_DELAY_S,
    MAX_ANSWER_TIMEOUT_S,
    MAX_DOUBLINGS,
    MAX_LOAD_FACTOR,
    MAX_RETRY_AFTER_S,
    MAX_RETRY_SPAN_S,
    MAX_SPAN_AFTER_SILENCE_S,
    MAX_START_QUEUE_S,
    MAX_WATCH_S,
    MIN_BACKOFF_BOUND_S,
    MIN_BACKOFF_S,
    MIN_REJECTION_SPAN_S,
    MIN_WATCH_S,
    NO_CLIENTS_FACTOR,
    NOTIFICATION_DEADLINE_S,
    QUICK_ANSWER_S,
    SLOW_ANSWER_S,
    TARGET_UTILISATION,
    WATCH_MARGIN_S,
    WATCH_UTILISATION,
)


class PollAction(Enum):
    """What the client has to do now."""

    CONNECT = "connect"
    # Close the silent connection; the client then calls ``lost``.
    ABORT = "abort"


@dataclass(frozen=True, slots=True)
class PollRequest:
    """One poll: for changes since ``version``, or for the complete list if that is None.

    ``watch_s`` is how long the service may wait for a change before it answers (0: it answers at
    once), ``timeout_s`` how long the client waits for the answer.
    """

    version: int | None
    watch_s: float
    timeout_s: float


@dataclass(eq=False)
class PollSchedule:
    """The state of one gateway's polls: the known version, the poll in flight, the next action.

    The client reports events (``connected``, ``answered``, ``rejected``, ``lost``), and calls
    ``due`` at the time ``next_at`` to learn what to do.
    """

    gateways: int
    rng: random.Random
    # Version of the list that was received last; None if there is none.
    version: int | None = None
    # From the settings (0: not set); applies if it is shorter than the default.
    notification_deadline_s: float = 0.0
    # Length of a watch (0: derived from the size of the fleet).
    watch_s: float = 0.0
    answer_timeout_s: float = ANSWER_TIMEOUT_S
    has_clients: Callable[[], bool] = lambda: True
    # Lists are pushed: polls are answered by an agent on this machine.
    pushed: bool = False
    # Time from the notification of a drain until no new request may go to the endpoint.
    drain_grace_s: float = 1.0

    load_factor: float = field(init=False, default=1.0)
    # Failed connections in a row.
    failures: int = field(init=False, default=0)
    in_flight: PollRequest | None = field(init=False, default=None)
    sent_at: float = field(init=False, default=0.0)
    is_connecting: bool = field(init=False, default=False)
    # First poll of the next connection, if the service closed the last one after its answer.
    next_request: PollRequest | None = field(init=False, default=None)
    # The answer is late, and the event loop reads once more, as it may lie unread in the socket.
    is_final_read: bool = field(init=False, default=False)
    # The current connection is being closed because its answer did not come in time.
    was_silent: bool = field(init=False, default=False)
    connect_at: float | None = field(init=False, default=None)
    # When the poll in flight is abandoned.
    timeout_at: float | None = field(init=False, default=None)
    # When the list was last known to be current.
    current_at: float = field(init=False, default=0.0)
    full_fetch_at: float | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        """Apply the defaults that depend on other values."""
        self.gateways = max(1, self.gateways)
        self.notification_deadline_s = min(
            NOTIFICATION_DEADLINE_S, self.notification_deadline_s or NOTIFICATION_DEADLINE_S
        )
        self.watch_s = self.watch_s or self._default_watch()

    # -- spans --

    def fleet_load(self, cost_s: float) -> float:
        """Return how long one poll by every gateway keeps the service busy.

        It is 0 for an agent on this machine.
        """
        return 0.0 if self.pushed else self.gateways * cost_s

    @property
    def connect_timeout_s(self) -> float:
        """The time in which a connection has to be established."""
        if self.pushed:
            return min(CONNECT_TIMEOUT_S, self.drain_grace_s / 2)
        return CONNECT_TIMEOUT_S

    def first_poll_span(self) -> float:
        """Return the span over which the first polls of all gateways are spread."""
        load_s = self.fleet_load(FULL_FETCH_COST_S if self.version is None else DELTA_COST_S)
        span_s = max(0.0, load_s - MAX_START_QUEUE_S) / TARGET_UTILISATION
        # Without a list, no request can go to a draining endpoint: the deadline does not matter.
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
        # Waiting for a silent connection has used up most of the time until the deadline.
        return min(span_s, MAX_SPAN_AFTER_SILENCE_S) if self.was_silent else span_s

    def span_after_rejection(self, now: float) -> float:
        """Return the span of the delay after the service rejected a poll for lack of capacity.

        It grows with the fleet because a rejection costs the service too.
        """
        load_s = self.load_factor * self.fleet_load(DELTA_COST_S)
        shortest_s = max(MIN_REJECTION_SPAN_S, load_s / TARGET_UTILISATION)
        remaining_s = self.current_at + self.notification_deadline_s + self.drain_grace_s - now
        return self._bounded(max(shortest_s, abs(remaining_s) / 2))

    def _default_watch(self) -> float:
        return min(MAX_WATCH_S, max(MIN_WATCH_S, self.fleet_load(DELTA_COST_S) / WATCH_UTILISATION))

    def _bounded(self, span_s: float) -> float:
        """Limit a span between two attempts so that the notification deadline can be met."""
        return min(span_s, self.drain_grace_s / 4 if self.pushed else MAX_RETRY_SPAN_S)

    def _answer_timeout(self) -> float:
        """Return the timeout of a poll that does not watch.

        The service's work for an abandoned poll is wasted. So the timeout allows for the queue of
        the whole fleet and for a slow service, up to the limit set by the notification deadline.
        For an agent on this machine, neither is needed.
        """
        if self.pushed:
            return min(self.answer_timeout_s, self.drain_grace_s / 2)
        slow_s = self.answer_timeout_s * self.load_factor
        return min(MAX_ANSWER_TIMEOUT_S, max(slow_s, self.fleet_load(FULL_FETCH_COST_S)))

    def _draw(self, span_s: float) -> float:
        return span_s * (1 - self.rng.random())

    # -- next action --

    def next_at(self) -> float | None:
        """Return when ``due`` has to be called at the latest; None if no action is scheduled."""
        times = [at for at in (self.connect_at, self.timeout_at) if at is not None]
        return min(times) if times else None

    def due(self, now: float) -> PollAction | None:
        """Return what to do now, if anything."""
        if self.timeout_at is not None and now >= self.timeout_at:
            if not self.is_final_read:
                # The process may have been suspended: an answer that arrived meanwhile is read
                # before the poll is abandoned.
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

    # -- events --

    def begin(self, now: float, at_once: bool = False) -> None:
        """Start polling, or start over with another service."""
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
        """Start over with another service at once; versions of the old one mean nothing to it."""
        self.version = None
        self.begin(now, at_once=True)

    def connected(self, now: float) -> PollRequest:
        """Return the first poll of a new connection.

        Changes may have been missed, so it asks for an immediate answer rather than a watch, unless
        the service closed the previous connection right after an answer.
        """
        self.is_connecting = False
        request = self.next_request or PollRequest(self.version, 0.0, self._answer_timeout())
        self.next_request = None
        return self._sent(now, request)

    def answered(
        self, now: float, version: int, connection_closes: bool = False
    ) -> PollRequest | None:
        """Record an answer that was applied; return the next poll, which is to be sent at once.

        Returns None if the service closes the connection after its answer, as HTTP allows: the same
        poll is then sent on a new connection, which is opened at once.
        """
        if self.in_flight is not None:
            self._update_load_factor(self.in_flight, now - self.sent_at)
        self.failures = 0
        self.current_at = now
        request = self._next_poll(now, version)
        if not connection_closes:
            return self._sent(now, request)
        self._clear_in_flight()
        self.next_request = request
        self.connect_at = now
        return None

    def rejected(self, now: float, retry_after_s: float = 0.0) -> None:
        """Record that the service has no capacity (503); the client closes the connection."""
        self._clear_in_flight()
        self.next_request = None
        span_s = self.span_after_rejection(now)
        earliest = now + min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))
        self.connect_at = earliest + self._draw(span_s)

    def lost(self, now: float) -> None:
        """Record that the connection ended, could not be established, or was abandoned."""
        if self.connect_at is not None and not self.is_connecting:
            # Rejected, or closed after an answer: the next connection is scheduled already.
            return
        is_watching = self.in_flight is not None and self.in_flight.watch_s > 0
        if is_watching and not self.was_silent:
            # A watch delivers all changes until its connection breaks, if the break is detected.
            self.current_at = now
        elif self.was_silent and self.in_flight is not None and not is_watching:
            # A silent watch says nothing of the service's load; other polls are answered at once.
            self._raise_load_factor()
        self._clear_in_flight()
        self.next_request = None
        span_s = self.span_after_loss()
        self.was_silent = False
        self.failures += 1
        self.connect_at = now + self._draw(span_s)

    # -- state --

    def _next_poll(self, now: float, version: int) -> PollRequest:
        """Record the version of an answer, and return the poll that follows it."""
        was_full_fetch = self.in_flight is None or self.in_flight.version is None
        if was_full_fetch:
            self.full_fetch_at = None
        # A lower version shows that the registry restarted and counts from the beginning.
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
