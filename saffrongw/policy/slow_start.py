"""Slow start: the share of a newly started endpoint grows with its age (rule 4)."""

from __future__ import annotations

from .decision_context import DecisionContext
from .durations import SECOND_US
from .endpoints import Endpoint, EndpointRegistry
from .events import EndpointState
from .request_state import RequestState
from .retry_policy import RetryPolicy
from .settings import Settings

# Safety margin below the slow-start ramp, the lowest capacity that a warming endpoint promises.
SAFETY_FACTOR = 0.9
# A warming endpoint that reports idle cores gets more than the ramp allows: its share is scaled up
# towards this CPU utilization, by at most this factor.
TARGET_CPU_UTILIZATION = 0.8
MAX_SHARE_FACTOR = 3.0
# Lower reported CPU utilizations count as this one.
MIN_CPU_UTILIZATION = 0.05
# Older load reports are ignored in the slow start.
MAX_LOAD_REPORT_AGE_US = 2 * SECOND_US


class SlowStart:
    """Decides which endpoints are warm, and which attempts go to warming ones."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointRegistry,
        retry_policy: RetryPolicy,
        context: DecisionContext,
    ) -> None:
        """Use the registry's pools of warm and warming endpoints."""
        self._duration_us = settings.slow_start_duration_us
        self._initial_weight = settings.slow_start_weight
        self._endpoints = endpoints
        self._retry_policy = retry_policy
        self._context = context

    def is_warm(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has been running for the duration of the slow start."""
        started_at_us = endpoint.entry.started_at_us
        return not started_at_us or self._context.now_us - started_at_us >= self._duration_us

    def add(self, endpoint: Endpoint) -> None:
        """Add a new, restarted or restored endpoint to the warm or the warming pool, by its age."""
        endpoints = self._endpoints
        (endpoints.warm if self.is_warm(endpoint) else endpoints.warming).add(endpoint)
        endpoints.warming_queue.append(endpoint)

    def choose(self, request: RequestState) -> Endpoint | None:
        """Return a restored or warming endpoint that should get this attempt, or None.

        Each attempt draws one of all endpoints at random. A warming endpoint accepts it with the
        probability that its age allows, so that many gateways together stay within its capacity.
        """
        endpoints = self._endpoints
        while endpoints.warming_queue and self.is_warm(endpoints.warming_queue[0]):
            endpoints.promote_first_warming()
        if endpoints.untried and (restored := self._choose_restored(request)):
            return restored
        warming = endpoints.warming.endpoints
        drawn = request.slow_start_draw * (len(warming) + len(endpoints.warm.endpoints))
        index, chance = divmod(drawn, 1)
        if index >= len(warming):
            return None
        endpoint = warming[int(index)]
        accepted = chance < self._share(endpoint) and self._retry_policy.may_send(request, endpoint)
        return endpoint if accepted else None

    def _share(self, endpoint: Endpoint) -> float:
        """Return a warming endpoint's present share, as a fraction of a warm endpoint's share."""
        now_us = self._context.now_us
        age = max(0, now_us - endpoint.entry.started_at_us) / self._duration_us
        ramp = self._initial_weight + (1 - self._initial_weight) * age
        # Assumes that the total load does not exceed the capacity of all endpoints.
        share = SAFETY_FACTOR * ramp
        if now_us - endpoint.load_reported_at_us < MAX_LOAD_REPORT_AGE_US:
            utilization = max(MIN_CPU_UTILIZATION, endpoint.cpu_utilization)
            share *= min(MAX_SHARE_FACTOR, max(1.0, TARGET_CPU_UTILIZATION / utilization))
        return share

    def _choose_restored(self, request: RequestState) -> Endpoint | None:
        # A restored endpoint gets the next request: by the random draw alone, its first request
        # could take seconds to come.
        untried = self._endpoints.untried
        for endpoint_id in list(untried):
            endpoint = self._endpoints.by_id.get(endpoint_id)
            if endpoint is None or endpoint.entry.state is not EndpointState.READY:
                del untried[endpoint_id]
            elif self._retry_policy.may_send(request, endpoint):
                return endpoint
        return None
