"""Quota counters: a grow-only counter (CRDT) by customer and gateway, and the limit above them.

A request is admitted while the limit exceeds the sum of all counters by its units. Merging keeps
the newer incarnation, then the larger value, so that messages may be lost, repeated and reordered.
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

# Parts of the burst: a customer with less headroom counts as exhausted, until so much is back.
EXHAUSTED_BELOW = 0.25
REOPEN_ABOVE = 0.6
# Counters in one gossip row; older ones are within its total.
MAX_RECENT_NODES = 3
# Part of a quota that is shared out evenly while nobody is reachable; the rest goes by use.
EVEN_SHARE_PART = 0.2
# Customers that one call looks at, to bound the work of an event.
MAX_IDLE_CHECKS = 3
# A customer with a rate ceiling is remembered so long, because a new one's part starts empty.
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
        # Since when all that this gateway forwarded is known to it.
        self.started_at_us = context.now_us
        # Customers whose counters changed since they were last gossiped.
        self.changed: dict[int, None] = {}
        # Customers whose quota is nearly spent, the latest last.
        self.exhausted: dict[int, None] = {}
        # Customers in the order in which they are next checked for being idle.
        self.idle_queue: deque[int] = deque()

    def open(
        self, customer: int, plan: int, set_first: int, set_size: int, trusted: bool
    ) -> CustomerQuota:
        """Return a customer's record, a new one if there is none.

        ``trusted`` values, those of a request and not of a peer, replace what the record holds.
        """
        set_size = max(1, min(set_size, self._node_count))
        quota = self.customers.get(customer)
        if quota is None:
            # A new customer had nothing of its ceiling here since the start: its part has been
            # filling since then.
            quota = CustomerQuota(
                customer, plan, set_first, set_size, self._plans[plan].burst, self.started_at_us
            )
            quota.last_admitted_us = self._context.now_us
            # Without peers there is nobody who could confirm it.
            quota.is_unconfirmed = set_size > 1 and not self._reachability.is_isolated
            self.customers[customer] = quota
            self.idle_queue.append(customer)
        elif trusted:
            quota.plan, quota.set_first, quota.set_size = plan, set_first, set_size
        return quota

    def refill(self, quota: CustomerQuota) -> None:
        """Raise the limit by the time since the last call; the headroom stays within the burst."""
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
            and not reachability.is_isolated
        ):
            own_units = quota.counters.get(self._node_index, _NEVER_COUNTED)[1]
            # Otherwise nobody has sent anything of other gateways.
            if own_units < spent_units:
                quota.local_usage_part = own_units / spent_units
        share = self.share(quota)
        burst = plan.burst * share
        # Debt: what went beyond the quota took nothing from it, so the limit never lies below.
        limit = max(spent_units, quota.limit + plan.rate * share * span_us / SECOND_US)
        quota.limit = limit = min(limit, spent_units + burst)
        was_exhausted = quota.is_exhausted
        threshold = (REOPEN_ABOVE if was_exhausted else EXHAUSTED_BELOW) * burst
        quota.is_exhausted = limit - spent_units < threshold
        if quota.is_exhausted != was_exhausted:
            if was_exhausted:
                self.exhausted.pop(quota.customer, None)
            else:
                self.exhausted[quota.customer] = None

    def share(self, quota: CustomerQuota) -> float:
        """Return the part of the quota that this gateway may grant.

        The rest is left to unreachable gateways. With nobody reachable, each has the part that its
        use was before and an even part of the rest: all together grant the quota once, and where
        the customer's requests come there is headroom.
        """
        reachability = self._reachability
        unreachable = 1.0 if reachability.is_isolated else reachability.unreachable_fraction
        if unreachable < MIN_UNREACHABLE_FRACTION:
            return 1.0
        part = 1 / quota.set_size
        if quota.local_usage_part is not None:
            by_use = (1 - EVEN_SHARE_PART) * quota.local_usage_part
            part = by_use + EVEN_SHARE_PART / quota.set_size
        return 1 - unreachable * (1 - part)

    def exceeds(self, now_us: int, customer: int, plan: int, units: float) -> bool:
        """Tell whether a request would certainly be rejected for its quota; changes nothing."""
        quota = self.customers.get(customer)
        rate = self._plans[plan].rate
        if quota is None or not rate:
            return False
        share = self.share(quota)
        headroom = quota.headroom + rate * share * (now_us - quota.refilled_at_us) / SECOND_US
        if quota.is_exhausted:
            # It reopens at a part of what this gateway may grant.
            return headroom < REOPEN_ABOVE * share * self._plans[plan].burst
        return headroom < units

    def retry_after_us(self, quota: CustomerQuota, units: float, max_us: float) -> int:
        """Return when the quota admits so many units (us from now); 0 if unknown or too late."""
        plan = self._plans[quota.plan]
        if not plan.rate:
            return 0
        needed = REOPEN_ABOVE * plan.burst if quota.is_exhausted else units
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
        if quota.set_size > 1 and not self._reachability.is_isolated:
            self.changed[quota.customer] = None

    def merge_counter(self, quota: CustomerQuota, node_index: int, entry: CounterEntry) -> float:
        """Take a counter if it is newer than the known one; return by how many units it grew.

        A later start wins, then more units. What an earlier incarnation spent stays counted.
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
            # This gateway's own counter is its own; an earlier incarnation's is within the total.
            if node_index == self._node_index:
                continue
            growth = self.merge_counter(quota, node_index, CounterEntry(start_tick, units))
            if growth:
                # What a coordinator broadcasts reaches all gateways without being passed on.
                if is_report and node_index == sender:
                    reported += growth
                admissions = (*quota.remote_admissions_us, self._context.now_us)
                quota.remote_admissions_us = admissions[-max(1, plan.concurrency_limit) :]
        if reported:
            self.changed[quota.customer] = None
        # The total covers counters that did not fit into the row or were lost before.
        quota.spent_units = max(quota.spent_units + reported, quota.counted_units, row.spent_units)
        remote_limit = row.spent_units + row.headroom + plan.rate * age_us / SECOND_US
        quota.limit = max(quota.limit, remote_limit)
        self.refill(quota)

    def drop_idle(self) -> None:
        """Forget a few customers that are idle and whose quota is full.

        Their records say nothing; customers that came once would otherwise use memory for good.
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
        # Most often it is in use, or its quota is not full yet.
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
        # Where no other gateway has confirmed the customer, its headroom here does not tell all
        # that was spent: within the time that fills a quota anew, forgetting grants no more than
        # the quota itself.
        min_memory_us = 0.0
        if plan.rate and (quota.is_unconfirmed or share < 1):
            min_memory_us = plan.burst / plan.rate * SECOND_US
        return max(min_memory_us, MIN_CEILING_MEMORY_US if plan.ceiling_rate else 0.0)
