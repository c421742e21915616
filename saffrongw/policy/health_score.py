"""A latency score and a failure score that decay exponentially unless outcomes renew them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class HealthScore:
    """What recent attempts met at one endpoint, in one zone or in the whole fleet.

    ``latency_score`` is the mean ratio of measured to typical latency (1.0: as usual), and
    ``failure_score`` a count of recent failures, halved by each success. Both were last brought up
    to date at ``updated_at_us`` and decay by ``exp(-age / decay_us)``. Each has a method of its
    own, because the comparison of endpoints mostly needs one of them and runs for each request.
    """

    updated_at_us: int
    latency_score: float = 1.0
    failure_score: float = 0.0

    def decayed_latency(self, now_us: int, decay_us: int, prior: float = 1.0) -> float:
        """Return the latency score, decayed towards ``prior`` by its age."""
        decay = math.exp((self.updated_at_us - now_us) / decay_us)
        return prior + (self.latency_score - prior) * decay

    def decayed_failures(self, now_us: int, decay_us: int) -> float:
        """Return the failure score, decayed towards zero by its age."""
        return self.failure_score * math.exp((self.updated_at_us - now_us) / decay_us)

    def apply_decay(self, now_us: int, decay_us: int) -> None:
        """Bring both scores up to date, before an outcome is added to them."""
        if now_us != self.updated_at_us:
            decay = math.exp((self.updated_at_us - now_us) / decay_us)
            self.latency_score = 1 + (self.latency_score - 1) * decay
            self.failure_score *= decay
            self.updated_at_us = now_us
