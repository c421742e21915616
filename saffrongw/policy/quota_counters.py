"""Quota counters: one grow-only counter (CRDT) for each customer and gateway, and their limit.

A request is admitted if the limit exceeds the sum of the customer's counters by at least the
request's units. Merging keeps the newer incarnation, then the larger value, so that messages may be
lost, repeated and reordered.
"""

from __future__ import annotations

from collections import deque

from . import gossip_codec
from .customer_quota import CounterEntry, CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US, SECOND_US
from .gossip_codec import GossipRow
from .peer_reachability import MIN_UNREACHABLE_FRACTION, PeerReachability
from .rate_ceiling import RateCeiling
from .settings import Plan, Settings

# Hysteresis of quotas, as fractions of the burst: with less headroom than the first a quota is
# exhausted and rejects requests, until its headroom has refilled to the second.
EXHAUSTED_BURST_FRACTION = 0.25
REOPEN_BURST_FRACTION = 0.6
# Counters in one gossip row, the last changed ones; its total includes all others.
MAX_RECENT_NODES = 3
# In a partition, the fraction of a quota that is divided evenly among the replica set; the rest is
# divided by the gateways' usage before the partition.
EVEN_SHARE_FRACTION = 0.2
# Customers that one event checks for being idle, to bound its work.
MAX_IDLE_CHECKS = 3
# The shortest idle time after which a customer with a rate ceiling is forgotten: a new record's
# part of the ceiling starts empty.
MIN_CEILING_MEMORY_US = 10 * SECOND_US

_NEVER_COUNTED = CounterEntry(-1, 0.0)


class QuotaCounters:
    """Owns the records of all customers that this gateway knows."""

    def __init__(
        self,
        settings: Settings,
        reachability: PeerReachability,
        rate_ceiling: RateCeiling,
        context: DecisionContext,
    ) -> None:
        """Start without customers."""
        self._plans = settings.plans
        self._node_index = settings.node_index
        self._node_count = settings.node_count
        self._reachability = reachability
        self._rate_ceiling = rate_ceiling
        self._context = context
        self.customers: dict[int, CustomerQuota] = {}
        # From this time on this gateway knows all requests that it sent, across hot restarts too.
        self.started_at_us = context.now_us
        # Customers whose counters changed since they were last gossiped, an ordered set.
        self.changed: dict[int, None] = {}
        # Customers whose quota is exhausted, an ordered set, the latest last.
        self.exhausted: dict[int, None] = {}
        # Customers in the order in which ``drop_idle`` checks them.
        self.idle_queue: deque[int] = deque()

    def get_or_create(
        self, customer: int, plan: int, set_first: int, set_size: int, trusted: bool
    ) -> CustomerQuota:
        """Return a customer's record; create it if there is none.

        ``trusted`` values come from a request, not from a peer; they replace those in the record.
        """
        set_size = max(1, min(set_size, self._node_count))
        quota = self.customers.get(customer)
        if quota is None:
            # This gateway has spent nothing of a new customer's ceiling since its start, so its
            # part has been refilling since then.
            quota = CustomerQuota(
                customer, plan, set_first, set_size, self._plans[plan].burst, self.started_at_us
            )
            quota.last_admitted_us = self._context.now_us
            # Without peers in its replica set, or without gossip, nobody could ever confirm it.
            quota.is_unconfirmed = set_size > 1 and not self._reachability.gossip_disabled
            self.customers[customer] = quota
            self.idle_queue.append(customer)
        elif trusted:
            quota.plan, quota.set_first, quota.set_size = plan, set_first, set_size
        return quota

    def refill(self, quota: CustomerQuota) -> None:
        """Raise the limit for the time since the last call; the headroom stays within the burst."""
        plan = self._plans[quota.plan]
        now_us = self._context.now_us
        span_us = now_us - quota.refilled_at_us
        quota.refilled_at_us = now_us
        if plan.ceiling_rate:
            self._rate_ceiling.refill(quota, plan, span_us)
        reachability = self._reachability
        spent_units = quota.spent_units
        if (
            reachability.unreachable_fraction < MIN_UNREACHABLE_FRACTION
            and not reachability.gossip_disabled
        ):
            own_units = quota.counters.get(self._node_index, _NEVER_COUNTED)[1]
            # If they are equal, no usage of other gateways is known yet: the fraction would be 1.
            if own_units < spent_units:
                quota.local_usage_fraction = own_units / spent_units
        share = self.share(quota)
        burst = plan.burst * share
        # Units spent beyond the limit are not charged later: the limit rises to the spent units.
        limit = max(spent_units, quota.limit + plan.rate * share * span_us / SECOND_US)
        quota.limit = limit = min(limit, spent_units + burst)
        was_exhausted = quota.is_exhausted
        threshold = (REOPEN_BURST_FRACTION if was_exhausted else EXHAUSTED_BURST_FRACTION) * burst
        quota.is_exhausted = limit - spent_units < threshold
        if quota.is_exhausted != was_exhausted:
            if was_exhausted:
                self.exhausted.pop(quota.customer, None)
            else:
                self.exhausted[quota.customer] = None

    def share(self, quota: CustomerQuota) -> float:
        """Return the fraction of the quota that this gateway may grant.

        The rest is left to unreachable gateways. If no peer is reachable, each gateway has an even
        share of ``EVEN_SHARE_FRACTION`` and, of the rest, its fraction of the usage before the
        partition: together they grant the quota once, where the customer's requests arrive.
        """
        reachability = self._reachability
        unreachable = 1.0 if reachability.gossip_disabled else reachability.unreachable_fraction
        if unreachable < MIN_UNREACHABLE_FRACTION:
            return 1.0
        part = 1 / quota.set_size
        if quota.local_usage_fraction is not None:
            by_use = (1 - EVEN_SHARE_FRACTION) * quota.local_usage_fraction
            part = by_use + EVEN_SHARE_FRACTION / quota.set_size
        return 1 - unreachable * (1 - part)

    def exceeds(self, now_us: int, customer: int, plan: int, units: float) -> bool:
        """Return whether the quota would certainly reject a request; changes no state."""
        quota = self.customers.get(customer)
        rate = self._plans[plan].rate
        if quota is None or not rate:
            return False
        share = self.share(quota)
        headroom = quota.headroom + rate * share * (now_us - quota.refilled_at_us) / SECOND_US
        if quota.is_exhausted:
            # The threshold refers to this gateway's share: in a partition the headroom never
            # reaches that fraction of the whole burst.
            return headroom < REOPEN_BURST_FRACTION * share * self._plans[plan].burst
        return headroom < units

    def retry_after_us(self, quota: CustomerQuota, units: float, max_us: float) -> int:
        """Return the wait until the quota admits ``units``; 0 if unknown or above ``max_us``."""
        plan = self._plans[quota.plan]
        if not plan.rate:
            return 0
        needed = REOPEN_BURST_FRACTION * plan.burst if quota.is_exhausted else units
        span_us = int(max(0.0, needed - quota.headroom) / plan.rate * SECOND_US)
        return span_us if span_us <= max_us else 0

    def spend(self, quota: CustomerQuota, units: float) -> None:
        """Count the units of an admitted request."""
        now_us = self._context.now_us
        quota.last_admitted_us = now_us
        own = quota.counters.get(self._node_index)
        start_tick, counted = own or (now_us // MS_US // gossip_codec.TICK_MS, 0.0)
        entry = CounterEntry(start_tick, counted + units)
        quota.spent_units += self.merge_counter(quota, self._node_index, entry)
        if self._plans[quota.plan].ceiling_rate:
            quota.ceiling_units -= units
        if quota.set_size > 1 and not self._reachability.gossip_disabled:
            self.changed[quota.customer] = None

    def merge_counter(self, quota: CustomerQuota, node_index: int, entry: CounterEntry) -> float:
        """Replace a gateway's counter if this one is newer; return by how many units it grew.

        A later start wins, then more units. The units of an earlier incarnation stay counted.
        """
        known = quota.counters.get(node_index, _NEVER_COUNTED)
        if entry <= known:
            return 0.0
        quota.counters[node_index] = entry
        others = [node for node in quota.recent_nodes if node != node_index]
        quota.recent_nodes = (*others, node_index)[-MAX_RECENT_NODES:]
        same_incarnation = entry.start_tick == known.start_tick
        growth = entry.units - known.units if same_incarnation else entry.units
        quota.counted_units += growth
        return growth

    def merge_row(
        self, quota: CustomerQuota, row: GossipRow, sender: int, age_us: int, is_report: bool
    ) -> None:
        """Merge the counters, the total and the limit of a peer's row."""
        plan = self._plans[quota.plan]
        reported = 0.0
        for node_index, start_tick, units in row.counters:
            # Only this gateway changes its own counter. A peer may send that of an earlier
            # incarnation, which is included in the row's total.
            if node_index == self._node_index:
                continue
            growth = self.merge_counter(quota, node_index, CounterEntry(start_tick, units))
            if growth:
                # Only the coordinator passes on reported growth: rows that it broadcasts reach all
                # gateways by themselves.
                if is_report and node_index == sender:
                    reported += growth
                admissions = (*quota.remote_admissions_us, self._context.now_us)
                quota.remote_admissions_us = admissions[-max(1, plan.concurrency_limit) :]
        if reported:
            self.changed[quota.customer] = None
        # The row's total includes counters that did not fit into it or were lost in transit.
        quota.spent_units = max(quota.spent_units + reported, quota.counted_units, row.spent_units)
        remote_limit = row.spent_units + row.headroom + plan.rate * age_us / SECOND_US
        quota.limit = max(quota.limit, remote_limit)
        self.refill(quota)

    def drop_idle(self) -> None:
        """Check a few customers, and forget those that are idle and whose quota is full.

        Their records contain no information, and customers that never return would use up memory.
        """
        for _ in range(min(MAX_IDLE_CHECKS, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            if self._may_be_forgotten(self.customers[customer]):
                del self.customers[customer]
                self.changed.pop(customer, None)
            else:
                self.idle_queue.append(customer)

    def _may_be_forgotten(self, quota: CustomerQuota) -> bool:
        plan = self._plans[quota.plan]
        share = self.share(quota)
        gained = plan.rate * (self._context.now_us - quota.refilled_at_us) / SECOND_US
        # The cheap checks come first: most customers are in use, or their quota is not full yet.
        if (
            quota.in_flight
            or quota.waiting_requests
            or quota.limit - quota.spent_units + gained < plan.burst * share
        ):
            return False
        self.refill(quota)
        idle_us = self._context.now_us - quota.last_admitted_us
        return (
            quota.headroom >= plan.burst * share
            and idle_us >= self._min_memory_us(quota, plan, share)
            and quota.ceiling_units >= self._rate_ceiling.local_burst(quota)
        )

    @staticmethod
    def _min_memory_us(quota: CustomerQuota, plan: Plan, share: float) -> float:
        # Without a confirmation by other gateways, or in a partition, the headroom here may not
        # include all spent units. If the record is kept for the time in which the whole quota
        # refills, forgetting it cannot grant more than the quota.
        min_memory_us = 0.0
        if plan.rate and (quota.is_unconfirmed or share < 1):
            min_memory_us = plan.burst / plan.rate * SECOND_US
        return max(min_memory_us, MIN_CEILING_MEMORY_US if plan.ceiling_rate else 0.0)
