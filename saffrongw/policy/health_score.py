"""Health scores of endpoints, zones and the fleet, which decay exponentially with time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class HealthScore:
    """The latency and failures of recent attempts at one endpoint, in one zone or in the fleet.

    ``latency_score`` is a moving average of the ratio of measured to typical latency (1.0: as
    usual), and ``failure_score`` a count of recent failures that each success halves. Both are
    values at ``updated_at_us`` and decay by ``exp(-age / decay_us)``. They have separate methods,
    because most callers need only one of them, for each request.
    """

    updated_at_us: int
    latency_score: float = 1.0
    failure_score: float = 0.0

    def decayed_latency(self, now_us: int, decay_us: int, prior: float = 1.0) -> float:
        """Return the latency score at a time, decayed towards ``prior``."""
        decay = math.exp((self.updated_at_us - now_us) / decay_us)
        return prior + (self.latency_score - prior) * decay

    def decayed_failures(self, now_us: int, decay_us: int) -> float:
        """Return the failure score at a time, decayed towards zero."""
        return self.failure_score * math.exp((self.updated_at_us - now_us) / decay_us)

    def apply_decay(self, now_us: int, decay_us: int) -> None:
        """Apply the decay to both scores, before an outcome is added to them."""
        if now_us != self.updated_at_us:
            decay = math.exp((self.updated_at_us - now_us) / decay_us)
            self.latency_score = 1 + (self.latency_score - 1) * decay
            self.failure_score *= decay
            self.updated_at_us = now_us
