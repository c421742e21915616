"""Rate ceilings: the part of a customer's ceiling that each gateway may spend on its own (rule 5).

A rate ceiling is a token bucket. The parts of all gateways add up to the ceiling, so that it holds
even if every message between them is lost. Half of it is divided evenly among the replica set. The
other half belongs to the customer's coordinator, which passes units on to gateways that lack them,
as token grants (``token_grants.py``).
"""

from __future__ import annotations

from .customer_quota import CustomerQuota
from .durations import SECOND_US
from .replica_sets import ReplicaSets
from .settings import Plan, Settings


class RateCeiling:
    """Computes and refills this gateway's parts of ceilings; ``CustomerQuota`` holds the units."""

    def __init__(self, settings: Settings, replica_sets: ReplicaSets) -> None:
        """Use the plans of the settings."""
        self._plans = settings.plans
        self._replica_sets = replica_sets

    def local_part(self, quota: CustomerQuota) -> float:
        """Return this gateway's part of the customer's ceiling, as a fraction of it."""
        is_coordinator = self._replica_sets.coordinator(quota) == self._replica_sets.node_index
        return (1 + quota.set_size * is_coordinator) / (2 * quota.set_size)

    def local_burst(self, quota: CustomerQuota) -> float:
        """Return the most units that this gateway's part holds."""
        return self._plans[quota.plan].ceiling_burst * self.local_part(quota)

    def refill(self, quota: CustomerQuota, plan: Plan, span_us: int) -> None:
        """Add the units of a span of time, up to the burst of this gateway's part.

        Units above that burst, which token grants have added, are kept here; they are discarded
        once the requests that wait for them were sent (``discard_excess``).
        """
        gained = plan.ceiling_rate * self.local_part(quota) * span_us / SECOND_US
        quota.ceiling_units = max(
            quota.ceiling_units, min(self.local_burst(quota), quota.ceiling_units + gained)
        )

    def time_until_us(self, quota: CustomerQuota, units: float) -> int:
        """Return the time until the part has refilled to so many units; negative if it has."""
        rate = self._plans[quota.plan].ceiling_rate * self.local_part(quota)
        return int((units - quota.ceiling_units) / rate * SECOND_US)

    def discard_excess(self, quota: CustomerQuota) -> None:
        """Discard the units above the burst of this gateway's part."""
        if self._plans[quota.plan].ceiling_rate:
            quota.ceiling_units = min(quota.ceiling_units, self.local_burst(quota))
