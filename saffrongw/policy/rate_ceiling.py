"""Rate ceilings: the part of a customer's ceiling that this gateway may use by itself (rule 5).

All parts together are the whole ceiling, so that it holds with every message lost. Half belongs to
the customer's coordinator, which passes on what others need as token grants (``token_grants.py``).
"""

from __future__ import annotations

from .customer_quota import CustomerQuota
from .durations import SECOND_US
from .replica_sets import ReplicaSets
from .settings import Plan, Settings


class RateCeiling:
    """Computes and refills this gateway's parts of ceilings; customers' records hold the units."""

    def __init__(self, settings: Settings, replica_sets: ReplicaSets) -> None:
        """Use the plans of the settings."""
        self._plans = settings.plans
        self._replica_sets = replica_sets

    def local_part(self, quota: CustomerQuota) -> float:
        """Return this gateway's part of the customer's ceiling."""
        is_coordinator = self._replica_sets.coordinator(quota) == self._replica_sets.node_index
        return (1 + quota.set_size * is_coordinator) / (2 * quota.set_size)

    def local_burst(self, quota: CustomerQuota) -> float:
        """Return the units that this gateway's part holds when it is full."""
        return self._plans[quota.plan].ceiling_burst * self.local_part(quota)

    def refill(self, quota: CustomerQuota, plan: Plan, span_us: int) -> None:
        """Add the units of a span of time, from nothing at the start of the process.

        Token grants may have lifted the units above the part; that lasts only until the requests
        that wait for them are forwarded.
        """
        gained = plan.ceiling_rate * self.local_part(quota) * span_us / SECOND_US
        quota.ceiling_units = max(
            quota.ceiling_units, min(self.local_burst(quota), quota.ceiling_units + gained)
        )

    def time_until_us(self, quota: CustomerQuota, units: float) -> int:
        """Return how long refilling takes to so many units; negative if they are there."""
        rate = self._plans[quota.plan].ceiling_rate * self.local_part(quota)
        return int((units - quota.ceiling_units) / rate * SECOND_US)

    def discard_excess(self, quota: CustomerQuota) -> None:
        """Discard the units above this gateway's part."""
        if self._plans[quota.plan].ceiling_rate:
            quota.ceiling_units = min(quota.ceiling_units, self.local_burst(quota))
