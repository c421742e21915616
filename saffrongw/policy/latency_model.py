"""The typical latency of each request class, learned from served and timed-out attempts."""

from __future__ import annotations

from collections.abc import Sequence

from .settings import RequestClass

# Initial and highest typical latency, as a fraction of the latency objective. In an overload of
# all endpoints, the expected latency at an idle one must stay below the shedding threshold:
# otherwise every request is shed, and the gateway never measures that the overload is over.
MAX_TYPICAL_OBJECTIVE_FRACTION = 0.25
# Weight of the newest sample in the moving average, once there are enough samples.
MIN_SAMPLE_WEIGHT = 0.15 / 5


class LatencyModel:
    """Moving averages of the latency by request class, in microseconds.

    ``typical_us`` and ``sample_counts`` have one item for each class, in the order of the settings.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        """Start with an initial estimate for each class."""
        self._max_typical_us = [
            MAX_TYPICAL_OBJECTIVE_FRACTION * request_class.latency_objective_us
            for request_class in classes
        ]
        self.typical_us = list(self._max_typical_us)
        self.sample_counts = [0] * len(classes)

    def add_sample(self, kind: int, duration_us: int) -> None:
        """Update the average of a class with one measured latency."""
        # The initial estimate counts as only one sample: with more weight, it would make a gateway
        # that has just started shed a burst at idle endpoints.
        self.sample_counts[kind] += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (1 + self.sample_counts[kind]))
        typical_us = self.typical_us[kind]
        self.typical_us[kind] = min(
            self._max_typical_us[kind], typical_us + weight * (duration_us - typical_us)
        )
