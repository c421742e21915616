"""Outlier detection: scores of latency and failures by endpoint, by zone and over the fleet.

Nothing is ejected outright: a score makes an endpoint look slower to the load balancer and decays
with time, so that traffic returns gently. When all endpoints fail, none stays shut out.
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

# Weight of the newest sample in every moving average here.
SAMPLE_WEIGHT = 0.15
# After this time a score has decayed to about a third. A gateway that meets each endpoint more
# rarely remembers it until about the next meeting, or it would meet every bad one as if for the
# first time.
DECAY_US = 3 * SECOND_US
MAX_DECAY_US = 10 * SECOND_US
# Times the typical latency that one sample may count for.
MAX_LATENCY_RATIO = 8.0
# Part of a failure that an error or a lost connection counts for: any endpoint may now and then
# spoil one answer.
PARTIAL_FAILURE = 0.1
# Most failures that are remembered: a longer fault is not forgiven later than a short one.
MAX_FAILURE_SCORE = 1 / SAMPLE_WEIGHT
# Decayed failures from which an endpoint counts as ejected: it looks seven times slower.
EJECTION_FAILURE_SCORE = 2.0

_RESPONSES = frozenset({AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED})
_LATENCY_SAMPLES = frozenset({AttemptOutcome.SERVED, AttemptOutcome.TIMED_OUT})
_NO_FAILURES = frozenset({AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT})
_PARTIAL_FAILURES = frozenset({AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_LOST})


class OutlierDetection:
    """Keeps the health scores; the endpoints' own stand in their records."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointRegistry,
        latency: LatencyModel,
        context: DecisionContext,
    ) -> None:
        """Start without any outcome."""
        self._endpoints = endpoints
        self._latency = latency
        self._context = context
        fields = settings.load_report_fields
        self._utilization_field = fields.index("util") if "util" in fields else None
        self.fleet_score = HealthScore(0)
        self.zone_scores: dict[int, HealthScore] = {}
        # How long the scores of endpoints are remembered, by how often outcomes come.
        self.endpoint_decay_us = DECAY_US
        self._last_outcome_at_us = context.now_us
        self._mean_outcome_interval_us = 0.0

    def add_zones(self, entries: Sequence[EndpointEntry]) -> None:
        """Keep a score for each zone that the endpoint list names."""
        for entry in entries:
            if entry.state is not EndpointState.REMOVED:
                self.zone_scores.setdefault(entry.zone, HealthScore(0))

    def record(self, attempt: AttemptState, kind: int, event: AttemptEnded) -> None:
        """Take the outcome of an attempt into the scores and the typical latency of its class."""
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
        # The zone's score keeps a gateway that is cut off from a zone from trying each endpoint.
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
        # The fleet's score tells of an overload of all endpoints to a gateway that meets each of
        # them too seldom to learn it from their own.
        endpoint = attempt.endpoint
        ratio = min(MAX_LATENCY_RATIO, duration_us / self._latency.typical_us[kind])
        for score in (endpoint, self.fleet_score):
            score.latency_score += SAMPLE_WEIGHT * (ratio - score.latency_score)
        endpoint.typical_load += SAMPLE_WEIGHT * (attempt.load_when_sent - endpoint.typical_load)
        self._latency.add_sample(kind, duration_us)

    def count_avoided(self, now_us: int) -> int:
        """Count the listed endpoints that are excluded, draining or look ejected now."""
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
