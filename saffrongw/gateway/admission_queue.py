"""Starts clients' requests as they are read, and queues those that exceed the iteration's budget.

Bytes are read and framed as they arrive, so that no request ages unnoticed in the kernel's buffers.
The time that one event loop iteration spends on starting requests is limited: those that it could
not start go to the policy's ``LoadShedder``, which decides which are started next and which are
rejected. Endpoints' replies are handled between iterations, because they belong to requests in
flight, which take precedence.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Protocol, cast

from ..policy.load_shedding import LoadShedder, QueuedRequest
from .driver import Driver
from .reasons import RejectionReason
from .request_types import RequestTerms, busy_reply

# For this long after the first request of an event loop iteration, requests are started as they are
# read.
IMMEDIATE_START_BUDGET_S = 0.004

# Time per iteration for starting queued requests, however long the iteration spent reading.
QUEUE_RUN_BUDGET_S = 0.010


class PendingRequest(Protocol):
    """A queued request; it is either started or rejected, unless its client disconnects."""

    def start(self) -> None:
        """Start the request."""

    def reject(self, reply: bytes, reason: RejectionReason = RejectionReason.OVERLOAD) -> None:
        """Reject the request with this reply."""


class AdmissionQueue:
    """Queues requests between the clients' connections and the driver."""

    def __init__(self, driver: Driver, loop: asyncio.AbstractEventLoop) -> None:
        """Use the settings of the driver's policy."""
        self.driver = driver
        self.loop = loop
        settings = driver.gateway.settings
        self.shedder = LoadShedder(settings.classes, settings.plans)
        self.max_retry_after_us = settings.max_retry_after_us
        # Whether ``_run_queue`` is scheduled for the end of this event loop iteration.
        self.is_run_scheduled = False
        self.iteration_started_at_s = 0.0
        # The reply to requests that are rejected in this iteration.
        self.rejection = self._make_rejection(0)
        # Customers (16 digits) and class-plan pairs (``CLASS,t=PLAN``) whose further requests are
        # certain to be rejected in this iteration.
        self.saturated: set[bytes] = set()

    def may_start(self) -> bool:
        """Whether one more request may be started now."""
        now_s = monotonic()
        if not self.is_run_scheduled:
            # Not ``loop.time()``: setting a timer advances it within the iteration.
            self.is_run_scheduled = True
            self.iteration_started_at_s = now_s
            self.loop.call_soon(self._run_queue)
        return (
            now_s - self.iteration_started_at_s < IMMEDIATE_START_BUDGET_S
            and not self.shedder.count
        )

    @property
    def is_overloaded(self) -> bool:
        """Whether requests are queued."""
        return self.shedder.count > 0

    def enqueue(
        self, terms: RequestTerms, class_and_plan: bytes, customer: bytes, pending: PendingRequest
    ) -> QueuedRequest | None:
        """Queue a request; return None if it was rejected instead."""
        now_us = self.driver.clock()
        if self.driver.gateway.exceeds_quota(now_us, terms.customer, terms.plan, terms.units):
            self.saturated.add(customer)
            pending.reject(self._update_rejection(now_us))
            return None
        queued = QueuedRequest(
            terms.customer, terms.plan, terms.kind, now_us + terms.timeout_us, pending
        )
        shed = self.shedder.offer(now_us, queued)
        if shed is None:
            return queued
        shed_request = cast("PendingRequest", shed.tag)
        shed_request.reject(self._update_rejection(now_us))
        if shed is not queued:
            return queued
        too_many = self.shedder.exceeds_fair_share(terms.customer)
        self.saturated.add(customer if too_many else class_and_plan)
        return None

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a queued request whose client has disconnected."""
        self.shedder.drop(queued)

    def reject_all(self) -> None:
        """Reject all queued requests, because no request is started any more."""
        rejection = busy_reply(0)
        for queued in self.shedder.clear():
            pending = cast("PendingRequest", queued.tag)
            pending.reject(rejection, RejectionReason.SHUTDOWN)

    def _update_rejection(self, now_us: int) -> bytes:
        """Return the reply to a request shed now; it was never sent on, so a retry is harmless."""
        self.rejection = self._make_rejection(now_us)
        return self.rejection

    def _make_rejection(self, now_us: int) -> bytes:
        return busy_reply(self.shedder.retry_after_us(now_us, self.max_retry_after_us))

    def _run_queue(self) -> None:
        """Start queued requests within the time budget; this iteration's input has been read."""
        self.is_run_scheduled = False
        self.saturated.clear()
        if not self.shedder.count:
            return
        try:
            self._start_queued()
            # Expired requests are rejected only after a run in which they could have been started:
            # otherwise a process that was suspended for a while would reject all requests that
            # arrived meanwhile.
            now_us = self.driver.clock()
            for expired in self.shedder.pop_expired(now_us):
                pending = cast("PendingRequest", expired.tag)
                pending.reject(self._update_rejection(now_us))
        finally:
            # Even if starting a request raised: the others must not stay queued for ever.
            if self.shedder.count:
                self.is_run_scheduled = True
                self.iteration_started_at_s = monotonic()
                self.loop.call_soon(self._run_queue)

    def _start_queued(self) -> None:
        end_s = monotonic() + QUEUE_RUN_BUDGET_S
        while (queued := self.shedder.take(self.driver.clock())) is not None:
            pending = cast("PendingRequest", queued.tag)
            pending.start()
            if monotonic() >= end_s:
                break
