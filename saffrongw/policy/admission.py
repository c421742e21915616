"""Admission: checks a request against its customer's quota, concurrency limit and rate ceiling."""

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

# The longest time that a request waits for token grants (units of its customer's rate ceiling).
MAX_GRANT_WAIT_US = 200 * MS_US
# Load shedding: a request may exceed the typical latency by this fraction of the time between the
# typical latency and its latency objective; if it is expected to take longer, it is shed.
SHEDDING_OBJECTIVE_FRACTION = 0.25


class Admission:
    """Decides whether first attempts and admission checks are admitted; stops at a hand-over."""

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
        """Start as the process that admits requests."""
        self._plans = settings.plans
        self._counters = counters
        self._rate_ceiling = rate_ceiling
        self._replica_sets = replica_sets
        self._reachability = reachability
        self._reports = reports
        self._latency = latency
        self._context = context
        # In a hot restart: the successor owns the counters, and this process admits nothing more.
        self.is_handed_over = False

    def admits(self, request: RequestState) -> bool:
        """Return whether quota, concurrency limit and rate ceiling admit a request now.

        Every first attempt and every admission check must pass this check.
        """
        if self.is_handed_over:
            return False
        event = request.event
        # Not cached in the request: the record may be dropped as idle while the request waits.
        quota = self._counters.get_or_create(
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
                # An answer to the report shows that the partition is over. Nothing else would be
                # sent while all requests are rejected, and the gateway would never notice.
                self._reports.report(quota)
            return False
        request.lacks_ceiling = plan.ceiling_rate > 0 and quota.ceiling_units < event.units
        return not request.lacks_ceiling

    def _reaches_concurrency_limit(self, quota: CustomerQuota, plan: Plan, kind: int) -> bool:
        # A request that another gateway admitted counts as in flight for the typical latency.
        now_us = self._context.now_us
        typical_us = self._latency.typical_us[kind]
        remote = sum(now_us - at_us < typical_us for at_us in quota.remote_admissions_us)
        return quota.in_flight + remote >= plan.concurrency_limit

    def _headroom(self, quota: CustomerQuota, plan: Plan) -> float:
        own = quota.counters.get(self._replica_sets.node_index)
        if quota.is_unconfirmed and own is not None:
            # Until a peer has sent a row on the customer, this gateway grants only an even share of
            # the burst, but at least one request.
            return min(quota.headroom, plan.burst / quota.set_size - own.units)
        return quota.headroom

    def begin_grant_wait(self, request: RequestState) -> bool:
        """Let a request wait for token grants if only this gateway's part of the ceiling is short.

        Return whether it waits. A request waits only once, and only if grants can come in time.
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
        if coordinator == self._replica_sets.node_index or self._reachability.gossip_disabled:
            # There is no other coordinator to request grants from: only this gateway's own part of
            # the ceiling can refill in time.
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
        """Return the highest expected latency at which a request is not shed."""
        typical_us = self._latency.typical_us[request.event.kind]
        available_us = min(request.request_class.latency_objective_us, request.time_left_us)
        return typical_us + SHEDDING_OBJECTIVE_FRACTION * max(0.0, available_us - typical_us)

    def retry_after_us(self, request: RequestState, max_us: float) -> int:
        """Return the wait until the quota admits the request; 0 if unknown or above ``max_us``."""
        if request.quota is None:
            return 0
        return self._counters.retry_after_us(request.quota, request.event.units, max_us)
