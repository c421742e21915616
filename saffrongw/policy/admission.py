"""Admission: whether a request is within its customer's quota, limits and rate ceiling."""

from __future__ import annotations

from .actions import SetTimer
from .coordinator_reports import CoordinatorReports
from .customer_quota import CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US
from .latency_model import LatencyModel
from .peer_reachability import PeerReachability
from .quota_counters import QuotaCounters
from .rate_ceiling import RateCeiling
from .replica_sets import ReplicaSets
from .request_state import RequestState
from .retry_policy import FINAL_ANSWER_MARGIN_US
from .settings import Plan, Settings
from .timer_tokens import request_token

# How long a request waits for token grants.
MAX_GRANT_WAIT_US = 200 * MS_US
# Part of the latency objective beyond the typical latency; a request expected to take longer is
# shed.
SHEDDING_OBJECTIVE_PART = 0.25


class Admission:
    """Decides on first attempts and admission checks; owns whether a successor has taken over."""

    def __init__(
        self,
        settings: Settings,
        counters: QuotaCounters,
        rate_ceiling: RateCeiling,
        replica_sets: ReplicaSets,
        reachability: PeerReachability,
        reports: CoordinatorReports,
        latency: LatencyModel,
        context: DecisionContext,
    ) -> None:
        """Start as the process that admits."""
        self._plans = settings.plans
        self._counters = counters
        self._rate_ceiling = rate_ceiling
        self._replica_sets = replica_sets
        self._reachability = reachability
        self._reports = reports
        self._latency = latency
        self._context = context
        # A successor has the counters: this process admits nothing more.
        self.is_handed_over = False

    def admits(self, request: RequestState) -> bool:
        """Tell whether quota, concurrency limit and rate ceiling admit a request now.

        Every first attempt and every admission check passes here.
        """
        if self.is_handed_over:
            return False
        event = request.event
        # Looked up anew each time: a waiting request may outlive an idle record.
        quota = self._counters.open(
            event.customer,
            event.plan,
            event.replica_set_first,
            event.replica_set_size,
            trusted=True,
        )
        request.quota = quota
        self._counters.refill(quota)
        plan = self._plans[quota.plan]
        if plan.concurrency_limit and self._reaches_concurrency_limit(quota, plan, event.kind):
            return False
        if plan.rate and (quota.is_exhausted or self._headroom(quota, plan) < event.units):
            if self._reachability.seems_partitioned():
                # Otherwise nothing is reported, and nobody learns that the partition is over.
                self._reports.report(quota)
            return False
        request.lacks_ceiling = plan.ceiling_rate > 0 and quota.ceiling_units < event.units
        return not request.lacks_ceiling

    def _reaches_concurrency_limit(self, quota: CustomerQuota, plan: Plan, kind: int) -> bool:
        # What other gateways admitted lately is taken to be in flight for the typical latency.
        now_us = self._context.now_us
        typical_us = self._latency.typical_us[kind]
        remote = sum(now_us - at_us < typical_us for at_us in quota.remote_admissions_us)
        return quota.in_flight + remote >= plan.concurrency_limit

    def _headroom(self, quota: CustomerQuota, plan: Plan) -> float:
        own = quota.counters.get(self._replica_sets.node_index)
        if quota.is_unconfirmed and own is not None:
            # Until a peer confirms the customer it gets a share, and at least one request.
            return min(quota.headroom, plan.burst / quota.set_size - own.units)
        return quota.headroom

    def begin_grant_wait(self, request: RequestState) -> bool:
        """Let a request wait for token grants if only the local part of its ceiling is short.

        Tell whether it waits: it does so once, and not where no grants can come in time.
        """
        quota = request.quota
        if quota is None or not request.lacks_ceiling or self.is_handed_over:
            return False
        number, units = request.event.request, request.event.units
        coordinator = self._replica_sets.coordinator(quota)
        if not request.waited_for_grants:
            quota.waiting_requests[number] = units
            self._reports.report(quota)
        wait_us = MAX_GRANT_WAIT_US
        if coordinator == self._replica_sets.node_index or self._reachability.is_isolated:
            # Nobody can be asked: only what refills in time counts.
            wait_us = self._rate_ceiling.time_until_us(quota, units) + MS_US
        time_left_us = request.deadline_us - FINAL_ANSWER_MARGIN_US - self._context.now_us
        if (
            request.waited_for_grants
            or self._reachability.is_unresponsive(coordinator)
            or wait_us > min(MAX_GRANT_WAIT_US, time_left_us)
        ):
            quota.waiting_requests.pop(number, None)
            return False
        request.waited_for_grants = True
        self._context.actions.append(SetTimer(wait_us, request_token(number)))
        return True

    def max_expected_latency_us(self, request: RequestState) -> float:
        """Return the longest expected latency with which a request is not shed."""
        typical_us = self._latency.typical_us[request.event.kind]
        available_us = min(request.request_class.latency_objective_us, request.time_left_us)
        return typical_us + SHEDDING_OBJECTIVE_PART * max(0.0, available_us - typical_us)

    def retry_after_us(self, request: RequestState, max_us: float) -> int:
        """Return when the customer's quota admits the request; 0 if unknown or above ``max_us``."""
        if request.quota is None:
            return 0
        return self._counters.retry_after_us(request.quota, request.event.units, max_us)
