"""The typical latency of each request class, learned from the attempts that were served."""

from __future__ import annotations

from collections.abc import Sequence

from .settings import RequestClass

# Part of the latency objective that an idle endpoint is first thought to need, and the most that
# the typical latency can become: in an overload of all endpoints an idle one must still seem worth
# a try, or the end of the overload goes unnoticed.
MAX_TYPICAL_OBJECTIVE_PART = 0.25
# Weight of the newest sample in the moving average.
MIN_SAMPLE_WEIGHT = 0.15 / 5


class LatencyModel:
    """Moving averages of the latency by request class, in microseconds.

    ``typical_us`` and ``sample_counts`` are indexed by the number of the class.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        """Start with the first guess for each class, which weighs as much as one sample."""
        self._max_typical_us = [
            MAX_TYPICAL_OBJECTIVE_PART * request_class.latency_objective_us
            for request_class in classes
        ]
        self.typical_us = list(self._max_typical_us)
        self.sample_counts = [0] * len(classes)

    def add_sample(self, kind: int, duration_us: int) -> None:
        """Take one measured latency into the average of its class."""
        # The first guess counts as one sample: a gateway that has just started would otherwise
        # shed a burst because of it.
        self.sample_counts[kind] += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (1 + self.sample_counts[kind]))
        typical_us = self.typical_us[kind]
        self.typical_us[kind] = min(
            self._max_typical_us[kind], typical_us + weight * (duration_us - typical_us)
        )
