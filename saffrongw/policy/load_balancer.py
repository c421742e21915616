"""The load balancer: sends each attempt to the endpoint with the lowest expected latency."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Sequence

from .decision_context import DecisionContext
from .endpoints import Endpoint, EndpointRegistry
from .latency_model import LatencyModel
from .outlier_detection import DECAY_US, OutlierDetection
from .request_state import RequestState
from .retry_policy import RetryPolicy
from .slow_start import SlowStart

# Load that every endpoint is assumed to have besides this gateway's attempts in flight. It evens
# out the estimates while few attempts are in flight.
BASE_LOAD = 2.0
# Weight of an endpoint's own latency score against the fleet's when endpoints are compared: with
# full weight a single slow answer would leave an endpoint without requests.
OWN_LATENCY_WEIGHT = 0.4
# Increase of the expected latency, as a multiple of it, per failure in an endpoint's or a zone's
# failure score, and for an endpoint that the request has tried before.
FAILURE_PENALTY = 3.0
# Size of the random sample of endpoints that are compared for one attempt.
MAX_CANDIDATES = 12
# Largest random increase of the expected latency, as a fraction: it keeps gateways with the same
# scores from all choosing the same endpoint.
JITTER = 0.1


class LoadBalancer:
    """Chooses the endpoint of each attempt."""

    def __init__(
        self,
        endpoints: EndpointRegistry,
        outlier_detection: OutlierDetection,
        slow_start: SlowStart,
        retry_policy: RetryPolicy,
        latency: LatencyModel,
        generator: random.Random,
        context: DecisionContext,
    ) -> None:
        """Use the state of the other components; the load balancer has none of its own."""
        self._endpoints = endpoints
        self._outlier_detection = outlier_detection
        self._slow_start = slow_start
        self._retry_policy = retry_policy
        self._latency = latency
        self._random = generator
        self._context = context

    def choose(self, request: RequestState) -> Endpoint | None:
        """Return the endpoint for the next attempt, or None if no endpoint is allowed."""
        if warming := self._slow_start.choose(request):
            return warming
        kind = request.event.kind
        if not request.attempts:
            # Every endpoint in the warm pool is allowed for a first attempt: no further checks.
            return self._lowest_cost(self._sample(self._endpoints.warm.endpoints), kind, ())
        pool = self._endpoints.warm.endpoints
        if ran := request.attempts_that_may_have_run():
            scope = request.request_class.deduplication_scope
            pool = self._endpoints.deduplicating_with(ran[0].endpoint, scope)
        candidates = [
            endpoint
            for endpoint in self._sample(pool)
            if self._slow_start.is_warm(endpoint) and self._retry_policy.may_send(request, endpoint)
        ]
        return self._lowest_cost(candidates, kind, [a.endpoint for a in request.attempts])

    def _sample(self, pool: list[Endpoint]) -> list[Endpoint]:
        if len(pool) <= MAX_CANDIDATES:
            return pool
        return self._random.sample(pool, MAX_CANDIDATES)

    def _lowest_cost(
        self, candidates: Sequence[Endpoint], kind: int, tried: Collection[Endpoint]
    ) -> Endpoint | None:
        """Return the candidate with the lowest expected latency.

        Unlike ``expected_latency_us`` it adds jitter, the failures of the zone and a penalty for
        endpoints that the request has tried. The formula is inlined in one loop, because most of
        the CPU time of a request is spent here.
        """
        now_us = self._context.now_us
        draw = self._random.random
        typical_us = self._latency.typical_us[kind]
        outliers = self._outlier_detection
        decay_us = outliers.endpoint_decay_us
        fleet = outliers.fleet_score.decayed_latency(now_us, DECAY_US)
        zone_factors: dict[int, float] = {}
        best, best_cost = None, math.inf
        for endpoint in candidates:
            decay = math.exp((endpoint.updated_at_us - now_us) / decay_us)
            cost = (
                typical_us
                * (fleet + (endpoint.latency_score - fleet) * decay * OWN_LATENCY_WEIGHT)
                * (endpoint.in_flight + BASE_LOAD)
                / endpoint.typical_load
            )
            if endpoint.failure_score:
                cost *= 1 + FAILURE_PENALTY * endpoint.failure_score * decay
            if endpoint.in_flight and now_us - endpoint.last_progress_at_us > cost:
                cost = now_us - endpoint.last_progress_at_us
            zone = endpoint.entry.zone
            if (zone_factor := zone_factors.get(zone)) is None:
                failures = outliers.zone_scores[zone].decayed_failures(now_us, DECAY_US)
                zone_factor = zone_factors[zone] = 1 + FAILURE_PENALTY * failures
            cost *= zone_factor * (1 + JITTER * draw())
            if tried and endpoint in tried:
                cost *= 1 + FAILURE_PENALTY
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def expected_latency_us(self, endpoint: Endpoint, kind: int) -> float:
        """Return the expected latency of one more request at an endpoint.

        The estimate uses the endpoint's latency and failure scores, its present load against the
        load under which the latencies were measured, and how long it has not answered. Failures
        count only while attempts are in flight: otherwise an idle fleet with failures would shed
        every request, and no success could ever lower the failure scores.
        """
        now_us = self._context.now_us
        outliers = self._outlier_detection
        decay_us = outliers.endpoint_decay_us
        fleet = outliers.fleet_score.decayed_latency(now_us, DECAY_US)
        # Without recent samples of its own, an endpoint's score decays towards the fleet's.
        latency_score = endpoint.decayed_latency(now_us, decay_us, fleet)
        failures = endpoint.decayed_failures(now_us, decay_us)
        expected_us = (
            self._latency.typical_us[kind]
            * latency_score
            * (1 + FAILURE_PENALTY * failures * (endpoint.in_flight > 0))
            * (endpoint.in_flight + BASE_LOAD)
            / endpoint.typical_load
        )
        if endpoint.in_flight:
            # A stalled or dead endpoint: it is at least as slow as the time without an answer.
            expected_us = max(expected_us, now_us - endpoint.last_progress_at_us)
        return expected_us
