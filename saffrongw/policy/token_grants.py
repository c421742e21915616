"""Token grants: units of a rate ceiling that a customer's coordinator passes on to other gateways.

The coordinator deducts a grant from its own part before it sends it: a lost message can only cause
rejections, never exceed the ceiling.
"""

from __future__ import annotations

from .actions import SetTimer
from .customer_quota import CustomerQuota, PendingGrant
from .decision_context import DecisionContext
from .durations import MS_US
from .gossip_codec import GossipRow
from .gossip_sender import GossipSender
from .quota_counters import QuotaCounters
from .rate_ceiling import RateCeiling
from .replica_sets import ReplicaSets
from .timer_tokens import GRANTS_DUE

# How long a coordinator keeps a grant pending: the request that needed it waits no longer.
PENDING_GRANT_LIFETIME_US = 150 * MS_US
# Grants that arrive more than this after they were sent are ignored.
MAX_GRANT_AGE_US = 200 * MS_US
# Fraction of the coordinator's burst that it grants only to gateways with waiting requests.
RESERVED_CEILING_FRACTION = 0.5
# Delay of the timer for pending grants beyond the expected time of the refill.
REFILL_MARGIN_US = 5 * MS_US


class TokenGrants:
    """Sends grants as the coordinator, accepts them as any gateway; owns the pending ones."""

    def __init__(
        self,
        counters: QuotaCounters,
        rate_ceiling: RateCeiling,
        replica_sets: ReplicaSets,
        sender: GossipSender,
        context: DecisionContext,
    ) -> None:
        """Start without pending grants."""
        self._counters = counters
        self._rate_ceiling = rate_ceiling
        self._replica_sets = replica_sets
        self._sender = sender
        self._context = context
        # Customers with pending grants, an ordered set; ``CustomerQuota`` holds the grants.
        self.pending_customers: dict[int, None] = {}

    def accept(self, quota: CustomerQuota, row: GossipRow, age_us: int, sent_ms: int) -> None:
        """Add the grants of a row, unless it is repeated or late; no more than were requested."""
        if row.grants and age_us <= MAX_GRANT_AGE_US and sent_ms > quota.last_grant_sent_ms:
            granted = min(row.grants, quota.requested_grants)
            if granted:
                quota.last_grant_sent_ms = sent_ms
                quota.ceiling_units += granted
                quota.requested_grants -= granted

    def grant(
        self, quota: CustomerQuota, node_index: int, wanted: float, has_waiting: bool
    ) -> float:
        """Deduct a grant for another gateway from this gateway's part; return its units.

        A gateway with waiting requests gets all that it needs: now, or as a pending grant once
        enough has refilled. Any other gateway gets only what exceeds the reserve.
        """
        if not wanted or self._replica_sets.coordinator(quota) != self._replica_sets.node_index:
            return 0.0
        burst = self._rate_ceiling.local_burst(quota)
        # The part never holds more than its burst: a larger grant would stay pending until it
        # expires.
        wanted = min(wanted, burst)
        reserve = RESERVED_CEILING_FRACTION * burst * (not has_waiting)
        granted = max(0.0, min(wanted, quota.ceiling_units - reserve))
        if has_waiting and (granted < wanted or quota.pending_grants):
            self._postpone(quota, node_index, wanted)
            return 0.0
        quota.ceiling_units -= granted
        return granted

    def _postpone(self, quota: CustomerQuota, node_index: int, wanted: float) -> None:
        if not self.pending_customers:
            delay_us = self._time_until_us(quota, wanted)
            self._context.actions.append(SetTimer(delay_us, GRANTS_DUE))
        pending = quota.pending_grants.get(node_index)
        since_us = pending.since_us if pending else self._context.now_us
        quota.pending_grants[node_index] = PendingGrant(since_us, wanted)
        self.pending_customers[quota.customer] = None

    def send_pending(self) -> None:
        """Send the pending grants for which enough has refilled, those that wait longest first."""
        soonest_us = PENDING_GRANT_LIFETIME_US
        for customer in list(self.pending_customers):
            quota = self._counters.customers.get(customer)
            if quota is None:
                del self.pending_customers[customer]
                continue
            soonest_us = min(soonest_us, self._send_pending_of(quota))
            if not quota.pending_grants:
                del self.pending_customers[customer]
        if self.pending_customers:
            self._context.actions.append(SetTimer(soonest_us, GRANTS_DUE))

    def _send_pending_of(self, quota: CustomerQuota) -> int:
        """Send a customer's pending grants; return the delay until the next try."""
        self._counters.refill(quota)
        for node_index, pending in list(quota.pending_grants.items()):
            # An expired grant is only deleted: its request waits no longer.
            if self._context.now_us - pending.since_us < PENDING_GRANT_LIFETIME_US:
                if quota.ceiling_units < pending.units or self._sender.refill_budget() < 1:
                    return self._time_until_us(quota, pending.units)
                quota.ceiling_units -= pending.units
                row = self._sender.pack_row(quota, 0, pending.units)
                self._sender.send(node_index, [row])
            del quota.pending_grants[node_index]
        return PENDING_GRANT_LIFETIME_US

    def _time_until_us(self, quota: CustomerQuota, units: float) -> int:
        return REFILL_MARGIN_US + max(0, self._rate_ceiling.time_until_us(quota, units))
