"""Outlier detection: latency and failure scores of each endpoint, each zone and the whole fleet.

No endpoint is ejected outright. Its scores raise the latency that the load balancer expects of it,
and they decay with time, so that traffic returns gradually. If all endpoints fail, all stay usable.
"""

from __future__ import annotations

from collections.abc import Sequence

from .decision_context import DecisionContext
from .durations import SECOND_US
from .endpoints import Endpoint, EndpointRegistry
from .events import AttemptEnded, AttemptOutcome, EndpointEntry, EndpointState
from .health_score import HealthScore
from .latency_model import LatencyModel
from .request_state import AttemptState
from .settings import Settings

# Weight of the newest sample in the moving averages of latency scores, loads and outcome intervals.
SAMPLE_WEIGHT = 0.15
# Time constants of the exponential decay of scores: after one, a third is left. An endpoint's score
# decays more slowly, up to the maximum, where this gateway sends it requests less often: the score
# of a bad endpoint would otherwise be gone before the next request.
DECAY_US = 3 * SECOND_US
MAX_DECAY_US = 10 * SECOND_US
# Latency score: the highest ratio of measured to typical latency that one sample counts as.
MAX_LATENCY_RATIO = 8.0
# Failure score: what an error or a lost connection adds, where other failures add 1. A healthy
# endpoint may also fail a request now and then.
PARTIAL_FAILURE = 0.1
# The highest failure score: recovery takes no longer after a long fault than after a short one.
MAX_FAILURE_SCORE = 1 / SAMPLE_WEIGHT
# Failure score from which an endpoint is reported as ejected: its expected latency is seven times
# as high as without failures.
EJECTION_FAILURE_SCORE = 2.0

_RESPONSES = frozenset({AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED})
_LATENCY_SAMPLES = frozenset({AttemptOutcome.SERVED, AttemptOutcome.TIMED_OUT})
_NO_FAILURES = frozenset({AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT})
_PARTIAL_FAILURES = frozenset({AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_LOST})


class OutlierDetection:
    """Updates all health scores; owns those of zones and the fleet (``Endpoint`` has its own)."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointRegistry,
        latency: LatencyModel,
        context: DecisionContext,
    ) -> None:
        """Start without recorded outcomes."""
        self._endpoints = endpoints
        self._latency = latency
        self._context = context
        fields = settings.load_report_fields
        self._utilization_field = fields.index("util") if "util" in fields else None
        self.fleet_score = HealthScore(0)
        self.zone_scores: dict[int, HealthScore] = {}
        # Decay time constant of the endpoints' scores; it follows the interval between outcomes.
        self.endpoint_decay_us = DECAY_US
        self._last_outcome_at_us = context.now_us
        self._mean_outcome_interval_us = 0.0

    def add_zones(self, entries: Sequence[EndpointEntry]) -> None:
        """Create a score for each zone in the endpoint list that has none."""
        for entry in entries:
            if entry.state is not EndpointState.REMOVED:
                self.zone_scores.setdefault(entry.zone, HealthScore(0))

    def record(self, attempt: AttemptState, kind: int, event: AttemptEnded) -> None:
        """Update the scores, and the typical latency of the class, with an attempt's outcome."""
        now_us = self._context.now_us
        endpoint = attempt.endpoint
        zone_score = self.zone_scores[endpoint.entry.zone]
        self._update_decay(now_us)
        endpoint.apply_decay(now_us, self.endpoint_decay_us)
        zone_score.apply_decay(now_us, DECAY_US)
        self.fleet_score.apply_decay(now_us, DECAY_US)
        outcome = event.outcome
        if outcome in _RESPONSES:
            endpoint.last_progress_at_us = now_us
        if event.report and self._utilization_field is not None:
            endpoint.cpu_utilization = event.report[self._utilization_field]
            endpoint.load_reported_at_us = now_us
        if outcome in _LATENCY_SAMPLES:
            self._record_latency(attempt, kind, event.duration_us)
        # With a score of the zone, a gateway that is cut off from it need not try each endpoint.
        for score in (endpoint, zone_score):
            if outcome is AttemptOutcome.SERVED:
                score.failure_score /= 2
            elif outcome not in _NO_FAILURES:
                failure = PARTIAL_FAILURE if outcome in _PARTIAL_FAILURES else 1.0
                score.failure_score = min(score.failure_score + failure, MAX_FAILURE_SCORE)

    def _update_decay(self, now_us: int) -> None:
        interval_us = min(MAX_DECAY_US, now_us - self._last_outcome_at_us)
        self._mean_outcome_interval_us += SAMPLE_WEIGHT * (
            interval_us - self._mean_outcome_interval_us
        )
        self._last_outcome_at_us = now_us
        expected_us = self._mean_outcome_interval_us * len(self._endpoints.by_id)
        self.endpoint_decay_us = int(min(MAX_DECAY_US, max(DECAY_US, expected_us)))

    def _record_latency(self, attempt: AttemptState, kind: int, duration_us: int) -> None:
        # The fleet's score lets a gateway detect an overload of all endpoints, even if it sends to
        # each of them too rarely to detect it from their own scores.
        endpoint = attempt.endpoint
        ratio = min(MAX_LATENCY_RATIO, duration_us / self._latency.typical_us[kind])
        for score in (endpoint, self.fleet_score):
            score.latency_score += SAMPLE_WEIGHT * (ratio - score.latency_score)
        endpoint.typical_load += SAMPLE_WEIGHT * (attempt.load_when_sent - endpoint.typical_load)
        self._latency.add_sample(kind, duration_us)

    def count_avoided(self, now_us: int) -> int:
        """Count the listed endpoints that are excluded, draining or ejected as outliers."""
        excluded = self._endpoints.exclusions.sources
        return sum(
            endpoint_id in excluded or self._is_avoided(endpoint, now_us)
            for endpoint_id, endpoint in self._endpoints.by_id.items()
        )

    def _is_avoided(self, endpoint: Endpoint, now_us: int) -> bool:
        if endpoint.entry.state is not EndpointState.READY:
            return True
        failures = endpoint.decayed_failures(now_us, self.endpoint_decay_us)
        return failures >= EJECTION_FAILURE_SCORE
