"""Slow start: an endpoint that has just started gets a growing part of its share (rule 4)."""

from __future__ import annotations

from .decision_context import DecisionContext
from .durations import SECOND_US
from .endpoints import Endpoint, EndpointRegistry
from .events import EndpointState
from .request_state import RequestState
from .retry_policy import RetryPolicy
from .settings import Settings

# Part that is used of the share that a warming endpoint's lowest promised capacity allows.
SAFETY_FACTOR = 0.9
# Utilization of its cores that a warming endpoint is brought to, and the most times its share is
# raised for that.
TARGET_CPU_UTILIZATION = 0.8
MAX_SHARE_FACTOR = 3.0
# A utilization below this is taken for this.
MIN_CPU_UTILIZATION = 0.05
# A load report that is older tells nothing.
MAX_LOAD_REPORT_AGE_US = 2 * SECOND_US


class SlowStart:
    """Decides which endpoints are warm and which attempts a warming endpoint gets."""

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
        """Tell whether an endpoint has been running for the duration of the slow start."""
        started_at_us = endpoint.entry.started_at_us
        return not started_at_us or self._context.now_us - started_at_us >= self._duration_us

    def add(self, endpoint: Endpoint) -> None:
        """Put an endpoint that is new, restarted or restored into the pool of its age."""
        endpoints = self._endpoints
        (endpoints.warm if self.is_warm(endpoint) else endpoints.warming).add(endpoint)
        endpoints.warming_queue.append(endpoint)

    def choose(self, request: RequestState) -> Endpoint | None:
        """Return a restored or warming endpoint that should get this attempt, or None.

        Each attempt draws one of all endpoints; a warming one takes it with the probability that
        its age allows, so that many gateways together keep within its capacity.
        """
        endpoints = self._endpoints
        while endpoints.warming_queue and self.is_warm(endpoints.warming_queue[0]):
            endpoints.promote_first_warming()
        if endpoints.unproven and (restored := self._choose_restored(request)):
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
        """Return the part of a warm endpoint's share that a warming one gets now."""
        now_us = self._context.now_us
        age = max(0, now_us - endpoint.entry.started_at_us) / self._duration_us
        ramp = self._initial_weight + (1 - self._initial_weight) * age
        # Reckoned as if no more requests came than all endpoints can serve.
        share = SAFETY_FACTOR * ramp
        if now_us - endpoint.load_reported_at_us < MAX_LOAD_REPORT_AGE_US:
            utilization = max(MIN_CPU_UTILIZATION, endpoint.cpu_utilization)
            share *= min(MAX_SHARE_FACTOR, max(1.0, TARGET_CPU_UTILIZATION / utilization))
        return share

    def _choose_restored(self, request: RequestState) -> Endpoint | None:
        # A restored endpoint gets one request soon: the draw alone may take seconds.
        unproven = self._endpoints.unproven
        for endpoint_id in list(unproven):
            endpoint = self._endpoints.by_id.get(endpoint_id)
            if endpoint is None or endpoint.entry.state is not EndpointState.READY:
                del unproven[endpoint_id]
            elif self._retry_policy.may_send(request, endpoint):
                return endpoint
        return None
