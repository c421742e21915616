"""Starts clients' requests at once while the loop's turn has time, and queues the others.

Bytes are read and framed as they arrive, so no request grows old unseen in the kernel. A turn that
would take long is cut short: what it could not start goes to the policy's ``Shedder``, which
decides what is started next and what is rejected. Endpoints' replies are handled in between: they
belong to requests in flight, which go first.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Protocol, cast

from ..policy.load_shedding import LoadShedder, QueuedRequest
from .driver import Driver
from .request_types import RequestTerms, busy_reply

# The part of a turn in which requests are started as they are read.
START_AT_ONCE_S = 0.004

# The time in a turn for requests that wait, however long the turn was reading.
QUEUE_TURN_S = 0.010


class PendingRequest(Protocol):
    """A request that waits; one of both happens, unless its client disconnects."""

    def start(self) -> None:
        """Start the request."""

    def reject(self, reply: bytes) -> None:
        """Reject the request with this reply."""


class AdmissionQueue:
    """Stands between the clients' connections and the driver."""

    def __init__(self, driver: Driver, loop: asyncio.AbstractEventLoop) -> None:
        """Use the settings of the driver's policy."""
        self.driver = driver
        self.loop = loop
        settings = driver.gateway.settings
        self.shedder = LoadShedder(settings.classes, settings.plans)
        self.max_retry_after_us = settings.max_retry_after_us
        # Within a turn of the loop whose end was asked for.
        self.is_turn_open = False
        self.turn_started_at_s = 0.0
        # The reply to what is rejected in this turn.
        self.rejection = self._make_rejection(0)
        # Until the next turn: customers (16 digits) and classes with plans (``CLASS,t=PLAN``) of
        # which requests are certain to be rejected.
        self.saturated: set[bytes] = set()

    def may_start(self) -> bool:
        """Whether one more request may be started now."""
        now_s = monotonic()
        if not self.is_turn_open:
            # Not by ``loop.time()``: each timer that is set advances it within the turn.
            self.is_turn_open = True
            self.turn_started_at_s = now_s
            self.loop.call_soon(self._run_queue)
        return now_s - self.turn_started_at_s < START_AT_ONCE_S and not self.shedder.count

    @property
    def is_overloaded(self) -> bool:
        """Whether requests wait."""
        return self.shedder.count > 0

    def enqueue(
        self, terms: RequestTerms, class_and_plan: bytes, customer: bytes, queued: PendingRequest
    ) -> QueuedRequest | None:
        """Let a request wait; return None where it was rejected at once."""
        now = self.driver.clock()
        if self.driver.gateway.exceeds_quota(now, terms.customer, terms.plan, terms.units):
            self.saturated.add(customer)
            queued.reject(self._update_rejection(now))
            return None
        waiting = QueuedRequest(
            terms.customer, terms.plan, terms.kind, now + terms.timeout_us, queued
        )
        shed = self.shedder.offer(now, waiting)
        if shed is None:
            return waiting
        shed_request = cast("PendingRequest", shed.tag)
        shed_request.reject(self._update_rejection(now))
        if shed is not waiting:
            return waiting
        too_many = self.shedder.exceeds_fair_share(terms.customer)
        self.saturated.add(customer if too_many else class_and_plan)
        return None

    def remove(self, waiting: QueuedRequest) -> None:
        """Forget a request that waits: its client has disconnected."""
        self.shedder.drop(waiting)

    def reject_all(self) -> None:
        """Reject all that waits: nothing is started any more."""
        rejection = busy_reply(0)
        for waiting in self.shedder.clear():
            queued = cast("PendingRequest", waiting.tag)
            queued.reject(rejection)

    def _update_rejection(self, now: int) -> bytes:
        """Return the reply to what is shed now; nothing of it was sent, so a retry is harmless."""
        self.rejection = self._make_rejection(now)
        return self.rejection

    def _make_rejection(self, now: int) -> bytes:
        return busy_reply(self.shedder.retry_after_us(now, self.max_retry_after_us))

    def _run_queue(self) -> None:
        """Start what waits, for a while: all that arrived in this turn has been read."""
        self.is_turn_open = False
        self.saturated.clear()
        if not self.shedder.count:
            return
        try:
            self._start_waiting()
            # Those that waited longest are given up only after a turn in which they could be
            # started: a process that was stopped for a while would otherwise reject all that
            # arrived meanwhile.
            now = self.driver.clock()
            for expired in self.shedder.pop_expired(now):
                queued = cast("PendingRequest", expired.tag)
                queued.reject(self._update_rejection(now))
        finally:
            # Also where one of them raised: the others must not wait for ever.
            if self.shedder.count:
                self.is_turn_open = True
                self.turn_started_at_s = monotonic()
                self.loop.call_soon(self._run_queue)

    def _start_waiting(self) -> None:
        end_s = monotonic() + QUEUE_TURN_S
        while (waiting := self.shedder.take(self.driver.clock())) is not None:
            queued = cast("PendingRequest", waiting.tag)
            queued.start()
            if monotonic() >= end_s:
                break
