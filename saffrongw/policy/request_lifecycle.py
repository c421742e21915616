"""The request lifecycle: arrival, admission, attempts and retries, and exactly one final answer.

Only ``_send`` sends attempts, and only ``_end`` sends final answers that are the gateway's own.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from .actions import (
    AdmitRequest,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from .admission import Admission
from .coordinator_reports import CoordinatorReports
from .customer_quota import CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US
from .endpoints import Endpoint, EndpointRegistry
from .events import (
    AdmissionCheckArrived,
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    RequestArrived,
)
from .load_balancer import BASE_LOAD, LoadBalancer
from .outlier_detection import OutlierDetection
from .peer_reachability import PeerReachability
from .quota_counters import QuotaCounters
from .rate_ceiling import RateCeiling
from .request_state import AttemptState, RequestState
from .retry_policy import FINAL_ANSWER_MARGIN_US, NEVER_RAN, RetryPolicy
from .settings import Settings
from .timer_tokens import request_token

# How often a request that found no usable endpoint retries the load balancer.
ENDPOINT_POLL_INTERVAL_US = 20 * MS_US
# Fraction of its time until the deadline after which a request that no endpoint can have run is
# rejected: the client needs the rest to try another gateway.
MAX_ENDPOINT_WAIT_FRACTION = 0.45
# The longest Retry-After, as a fraction of the latency objective: a client that waited longer would
# spend quota on an answer that misses the objective.
MAX_RETRY_AFTER_OBJECTIVE_FRACTION = 0.15


class AttemptKey(NamedTuple):
    """A request's number and the index of its attempt."""

    request: int
    attempt: int


class OpenAttempt(NamedTuple):
    """An attempt in flight and its request, which may already have its final answer."""

    attempt: AttemptState
    request: RequestState


class RequestLifecycle:
    """Owns the requests without a final answer and the attempts in flight."""

    def __init__(
        self,
        settings: Settings,
        counters: QuotaCounters,
        rate_ceiling: RateCeiling,
        reachability: PeerReachability,
        reports: CoordinatorReports,
        admission: Admission,
        endpoints: EndpointRegistry,
        outlier_detection: OutlierDetection,
        retry_policy: RetryPolicy,
        load_balancer: LoadBalancer,
        generator: random.Random,
        context: DecisionContext,
    ) -> None:
        """Start without requests."""
        self._classes = settings.classes
        self._max_attempts = settings.max_attempts
        self._max_retry_after_us = settings.max_retry_after_us
        self._may_cancel = settings.may_cancel
        self._counters = counters
        self._rate_ceiling = rate_ceiling
        self._reachability = reachability
        self._reports = reports
        self._admission = admission
        self._endpoints = endpoints
        self._outlier_detection = outlier_detection
        self._retry_policy = retry_policy
        self._load_balancer = load_balancer
        self._random = generator
        self._context = context
        self.requests: dict[int, RequestState] = {}
        self.attempts: dict[AttemptKey, OpenAttempt] = {}

    def request_arrived(self, event: RequestArrived) -> None:
        """Start handling a client's request."""
        request = RequestState(
            event,
            self._classes[event.kind],
            self._context.now_us + event.time_left_us,
            event.time_left_us,
            self._random.random(),
        )
        self.requests[event.request] = request
        self._retry_policy.deposit()
        self.advance(request)
        self._counters.drop_idle()

    def admission_check_arrived(self, event: AdmissionCheckArrived) -> None:
        """Admit or reject a request that another proxy forwards.

        Admission spends the request's units exactly as a first attempt of this gateway does.
        """
        request = RequestState(event, self._classes[event.kind], self._context.now_us, 0)
        if self._admission.admits(request) and request.quota is not None:
            self._spend(request.quota, event.units)
            self._context.actions.append(AdmitRequest(event.request))
        else:
            # The proxy obeys Retry-After, so it gets any value up to the configured maximum; the
            # gateway's own clients get only those within a fraction of the latency objective.
            wait_us = self._admission.retry_after_us(request, self._max_retry_after_us)
            self._context.actions.append(RejectRequest(event.request, wait_us))
        self._counters.drop_idle()

    def advance(self, request: RequestState) -> None:
        """Send the next attempt of a request, let it wait, or give its final answer."""
        now_us = self._context.now_us
        last_send_us = self._last_send_us(request)
        attempt_count = len(request.attempts)
        if now_us >= last_send_us or attempt_count >= self._max_attempts:
            self._end(request)
            return
        is_first = attempt_count == 0
        if is_first and not self._admission.admits(request):
            if not self._admission.begin_grant_wait(request):
                self._end(request)
            return
        endpoint = self._load_balancer.choose(request)
        if endpoint is None:
            delay_us = min(ENDPOINT_POLL_INTERVAL_US, last_send_us - now_us)
            timer = SetTimer(delay_us, request_token(request.event.request))
            self._context.actions.append(timer)
        elif is_first and self._must_be_shed(request, endpoint):
            self._end(request)
        else:
            self._send(request, endpoint)

    def _last_send_us(self, request: RequestState) -> int:
        """Return the time at and after which no further attempt is sent."""
        last_send_us = request.deadline_us - FINAL_ANSWER_MARGIN_US
        if any(attempt.may_have_run for attempt in request.attempts):
            return last_send_us
        reserved_us = int((1 - MAX_ENDPOINT_WAIT_FRACTION) * request.time_left_us)
        return min(last_send_us, request.deadline_us - reserved_us)

    def _must_be_shed(self, request: RequestState, endpoint: Endpoint) -> bool:
        """Return whether even the best endpoint would answer a request too late."""
        expected_us = self._load_balancer.expected_latency_us(endpoint, request.event.kind)
        return expected_us > self._admission.max_expected_latency_us(request)

    def resume_waiting(self, quota: CustomerQuota) -> None:
        """Retry the requests that wait for token grants; discard the units that remain."""
        for number in list(quota.waiting_requests):
            request = self.requests[number]
            if quota.ceiling_units >= request.event.units:
                self.advance(request)
        self._rate_ceiling.discard_excess(quota)

    def _send(self, request: RequestState, endpoint: Endpoint) -> None:
        """Send the next attempt of a request."""
        event, quota = request.event, request.quota
        assert quota is not None  # set by admission, which every first attempt passes
        now_us = self._context.now_us
        self._endpoints.untried.pop(endpoint.entry.endpoint_id, None)
        attempts = request.attempts
        if not attempts:
            quota.waiting_requests.pop(event.request, None)
            self._spend(quota, event.units)
        if not endpoint.in_flight:
            endpoint.last_progress_at_us = now_us
        attempt = AttemptState(endpoint, quota, now_us, endpoint.in_flight + BASE_LOAD)
        endpoint.in_flight += 1
        quota.in_flight += 1
        key = AttemptKey(event.request, len(attempts))
        self.attempts[key] = OpenAttempt(attempt, request)
        attempts.append(attempt)
        request.slow_start_draw = self._random.random()
        self._context.actions.append(
            SendAttempt(event.request, endpoint.entry.endpoint_id, request.deadline_us)
        )

    def _spend(self, quota: CustomerQuota, units: float) -> None:
        self._counters.spend(quota, units)
        if quota.set_size > 1 and not self._reachability.gossip_disabled:
            self._reports.report(quota)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Record an attempt's outcome, then retry its request or give its final answer."""
        ended = self.close_attempt(AttemptKey(event.request, event.attempt))
        if ended is None:
            return
        attempt = ended.attempt
        self._outlier_detection.record(attempt, ended.request.event.kind, event)
        attempt.may_have_run = event.outcome not in NEVER_RAN
        attempt.connection_lost = event.outcome is AttemptOutcome.CONNECTION_LOST
        request = self.requests.get(event.request)
        if request is None:
            return
        if event.is_answered:
            self._drop(request)
        elif self._retry_policy.may_retry(request, attempt.may_have_run):
            self.advance(request)
        else:
            self._end(request)

    def close_attempt(self, key: AttemptKey) -> OpenAttempt | None:
        """Remove an attempt from those in flight; return it, or None if it is unknown."""
        ended = self.attempts.pop(key, None)
        if ended is not None:
            ended.attempt.in_flight = False
            ended.attempt.endpoint.in_flight -= 1
            ended.attempt.quota.in_flight -= 1
        return ended

    def _end(self, request: RequestState) -> None:
        """Give the final answer: reject if the client may safely send it again, else fail."""
        number = request.event.request
        if self._retry_policy.may_reject(request):
            objective_us = request.request_class.latency_objective_us
            max_us = min(
                MAX_RETRY_AFTER_OBJECTIVE_FRACTION * objective_us, self._max_retry_after_us
            )
            wait_us = self._admission.retry_after_us(request, max_us)
            self._context.actions.append(RejectRequest(number, wait_us))
        else:
            self._context.actions.append(FailRequest(number))
        self._drop(request)

    def _drop(self, request: RequestState) -> None:
        """Forget a request that needs no answer any more, and cancel its attempt in flight."""
        number = request.event.request
        self.requests.pop(number, None)
        if request.quota:
            request.quota.waiting_requests.pop(number, None)
        if self._may_cancel and request.has_attempt_in_flight():
            last_attempt = len(request.attempts) - 1
            self._context.actions.append(CancelAttempt(number, last_attempt))

    def client_disconnected(self, event: ClientDisconnected) -> None:
        """Forget the request of a client that disconnected."""
        if request := self.requests.get(event.request):
            self._drop(request)

    def request_timer_fired(self, number: int) -> None:
        """Retry a request that waits for an endpoint or for token grants."""
        request = self.requests.get(number)
        if request and not request.has_attempt_in_flight():
            self.advance(request)
