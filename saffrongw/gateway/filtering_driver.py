"""The driver of a gateway with extensions.

A gateway without extensions uses the plain ``Driver`` and does not load this module.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ClassVar

from ..policy.actions import Action, AdmitRequest, RejectRequest
from ..policy.events import AdmissionCheckArrived, AttemptOutcome, Event
from ..policy.settings import Settings
from .driver import REPLY_TRANSIT_US, Driver
from .extension_faults import ExtensionFaults
from .extensions import Ending, Extensions
from .filter_chain import FilterChain
from .observers import ObservedUpstream, ObserverNotifier
from .reasons import EndedBy
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


class FilteringDriver(Driver):
    """Runs the filters on each request before the policy, and notifies the observers."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        extensions: Extensions,
    ) -> None:
        """Create a driver with these filters and observers."""
        super().__init__(settings, seed, loop)
        self.max_retry_after_us = settings.max_retry_after_us
        self.faults = ExtensionFaults()
        self.filter_chain = FilterChain(
            self, extensions.filters, extensions.time_share, len(settings.plans), self.faults
        )
        self.observers = ObserverNotifier(extensions.observers, self.faults)
        # Admission checks in progress by id, with the policy's decision once there is one.
        self.admission_checks: dict[int, AdmitRequest | RejectRequest | None] = {}
        # The request that is being closed because its client disconnected.
        self.disconnecting: ClientRequest | None = None
        if extensions.observers:
            self.handle_by_policy = self._handle_observed

    # -- filters ----------------------------------------------------------------------------------

    def request_arrived(
        self, terms: RequestTerms, parts: tuple[bytes, ...], send_reply: SendReply
    ) -> ClientRequest:
        """Register a client's request, then pass it to the filters and on to the policy."""
        request = self._register_request(terms, parts, send_reply)
        if self.filter_chain.filters:
            self.filter_chain.start(request, terms)
        else:
            self.feed(request.event)
        return request

    def request_continued(self, request: ClientRequest, terms: RequestTerms) -> None:
        """Pass a request that all filters accepted to the policy, with the time that is left."""
        time_left_us = max(0, request.deadline_us - self.clock())
        spent_us = request.event.time_left_us - time_left_us
        time_left_us = min(time_left_us, terms.timeout_us - REPLY_TRANSIT_US - spent_us)
        time_left_us = max(US_PER_MS, time_left_us)
        request.event = request.event._replace(plan=terms.plan, time_left_us=time_left_us)
        deadline_us = self.clock() + time_left_us
        # A filter shortened the timeout.
        if deadline_us < request.deadline_us:
            request.deadline_us = deadline_us
            if request.deadline_timer:
                request.deadline_timer.cancel()
            request.deadline_timer = self._call_at(deadline_us, self._deadline_passed, request)
        self.feed(request.event)

    def request_rejected(self, request: ClientRequest, retry_after_us: int) -> None:
        """Send the final reply of a rejection by a filter."""
        retry_after_us = min(retry_after_us, self.max_retry_after_us)
        request.ended_by = EndedBy.FILTER
        self._send_final_reply(request, busy_reply(retry_after_us))

    def request_aborted(self, request: ClientRequest) -> None:
        """Send the final reply of a failure by a filter."""
        request.ended_by = EndedBy.FILTER
        self._send_final_reply(request, FAILED)

    def call_after_us(
        self, delay_us: int, callback: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Call back after at least this delay."""
        return self._call_after(delay_us, callback, *args)

    def client_disconnected(self, request: ClientRequest) -> None:
        """End a request whose client has disconnected, and notify the filters that saw it."""
        self.disconnecting = request
        super().client_disconnected(request)
        self.disconnecting = None

    def _close_request(self, request: ClientRequest) -> None:
        super()._close_request(request)
        is_disconnect = request is self.disconnecting
        self.filter_chain.end(
            request, Ending.CLIENT_DISCONNECTED if is_disconnect else Ending.ANSWERED
        )

    # -- admission checks for other proxies -------------------------------------------------------

    def check_admission(
        self,
        customer: int,
        plan: int,
        kind: int,
        units: float,
        replica_set_first: int,
        replica_set_size: int,
    ) -> AdmitRequest | RejectRequest | None:
        """Decide whether to admit a request that another proxy forwards, with the same counters.

        Returns None if the policy made no decision.
        """
        self.last_request_id += 1
        check_id = self.last_request_id
        self.admission_checks[check_id] = None
        self.feed(
            AdmissionCheckArrived(
                check_id, customer, plan, kind, units, replica_set_first, replica_set_size
            )
        )
        return self.admission_checks.pop(check_id)

    def _admit_request(self, action: AdmitRequest) -> None:
        if action.request in self.admission_checks:
            self.admission_checks[action.request] = action

    def _reject_request(self, action: RejectRequest) -> None:
        if action.request in self.admission_checks:
            self.admission_checks[action.request] = action
        else:
            super()._reject_request(action)

    _ACTION_HANDLERS: ClassVar = Driver._ACTION_HANDLERS | {
        AdmitRequest: _admit_request,
        RejectRequest: _reject_request,
    }

    # -- observers --------------------------------------------------------------------------------

    def _handle_observed(self, now_us: int, event: Event) -> list[Action]:
        self.observers.event_received(now_us, event)
        actions = self.gateway.handle(now_us, event)
        self.observers.actions_decided(now_us, event, actions)
        return actions

    def connect_upstream(self, upstream: Upstream) -> None:
        """Send attempts to this upstream, after notifying the observers, if any."""
        if self.observers.observers:
            upstream = ObservedUpstream(upstream, self.observers)
        super().connect_upstream(upstream)

    def wrap_upstream(self, wrap: Callable[[Upstream], Upstream]) -> None:
        """Insert a decorator between the driver and its upstream."""
        self.cluster = wrap(self.cluster)

    def attempt_ended(
        self,
        attempt: UpstreamAttempt,
        outcome: AttemptOutcome,
        value: FinalReply | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """Record an attempt's outcome, after notifying the observers."""
        if not attempt.is_ended:
            self.observers.attempt_ended(attempt, outcome)
        super().attempt_ended(attempt, outcome, value, report)

    def _send_final_reply(self, request: ClientRequest, reply: FinalReply) -> None:
        if not request.is_finished:
            self.observers.answered(request, reply)
        super()._send_final_reply(request, reply)
