"""The endpoints that discovery listed, and the pools from which the load balancer chooses."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from .events import (
    EndpointEntry,
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    ExclusionChanged,
)
from .exclusions import AdministrativeExclusions
from .health_score import HealthScore
from .settings import DeduplicationScope


@dataclass(slots=True, eq=False)
class Endpoint(HealthScore):
    """One endpoint: its entry of the endpoint list, its health score and its load."""

    entry: EndpointEntry = field(kw_only=True)
    in_flight: int = 0
    # When it last answered, or was last sent an attempt while it had none in flight.
    last_progress_at_us: int = 0
    # Moving average of the load (attempts in flight) under which its latencies were measured.
    typical_load: float = 2.0
    # CPU utilization (0 to 1) in its last load report, and when that report arrived.
    cpu_utilization: float = 1.0
    load_reported_at_us: int = 0

    def deduplication_domain(self, scope: DeduplicationScope) -> int:
        """Return the cell or zone within which endpoints recognize each other's requests, or 0."""
        if scope is DeduplicationScope.CELL:
            return self.entry.cell
        if scope is DeduplicationScope.ZONE:
            return self.entry.zone
        return 0


class EndpointPool:
    """A list of endpoints to sample from, with constant-time addition and removal."""

    def __init__(self) -> None:
        """Start empty."""
        self.endpoints: list[Endpoint] = []
        self._positions: dict[EndpointId, int] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint unless it is in the pool already."""
        if endpoint.entry.endpoint_id not in self._positions:
            self._positions[endpoint.entry.endpoint_id] = len(self.endpoints)
            self.endpoints.append(endpoint)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint if it is in the pool; the last endpoint moves to its position."""
        position = self._positions.pop(endpoint_id, None)
        if position is not None:
            last = self.endpoints.pop()
            if position < len(self.endpoints):
                self.endpoints[position] = last
                self._positions[last.entry.endpoint_id] = position


class EndpointRegistry:
    """All listed endpoints by identifier, and the usable ones in pools.

    An endpoint that is ready and not excluded is in the pools of its cell and its zone, and either
    in ``warm`` or in ``warming``, as ``SlowStart`` decides.
    """

    def __init__(self, exclusions: AdministrativeExclusions) -> None:
        """Start without endpoints."""
        self.by_id: dict[EndpointId, Endpoint] = {}
        self.warm = EndpointPool()
        self.warming = EndpointPool()
        self.by_cell: dict[int, EndpointPool] = {}
        self.by_zone: dict[int, EndpointPool] = {}
        # Endpoints in the order in which they became usable, until they have warmed up.
        self.warming_queue: deque[Endpoint] = deque()
        # Restored endpoints to which no attempt was sent since their exclusion ended.
        self.untried: dict[EndpointId, None] = {}
        self.exclusions = exclusions

    def apply_list(self, event: EndpointListReceived, now_us: int) -> list[Endpoint]:
        """Apply an endpoint list; return the usable endpoints that are new or have restarted."""
        if event.kind is not EndpointListKind.DELTA:
            listed = {entry.endpoint_id for entry in event.entries}
            for endpoint_id in [known for known in self.by_id if known not in listed]:
                self._remove(self.by_id[endpoint_id])
        started: list[Endpoint] = []
        for entry in event.entries:
            if entry.state is not EndpointState.REMOVED:
                self._apply_entry(self._with_plausible_start(entry, now_us), now_us, started)
            elif (endpoint := self.by_id.get(entry.endpoint_id)) is not None:
                self._remove(endpoint)
        return started

    def _with_plausible_start(self, entry: EndpointEntry, now_us: int) -> EndpointEntry:
        # With a start in the future the endpoint might never finish warming up.
        if entry.started_at_us > now_us:
            entry = replace(entry, started_at_us=now_us)
        restored = self.exclusions.restored.get(entry.endpoint_id)
        if restored and entry.started_at_us < restored.excluded_at_us:
            # The list is older than the endpoint's restart during the exclusion.
            entry = replace(entry, started_at_us=restored.restored_at_us)
        return entry

    def _apply_entry(self, entry: EndpointEntry, now_us: int, started: list[Endpoint]) -> None:
        endpoint = self.by_id.get(entry.endpoint_id)
        ready = entry.state is EndpointState.READY
        restarted = endpoint is None or entry.started_at_us > endpoint.entry.started_at_us
        was_ready = endpoint is not None and endpoint.entry.state is EndpointState.READY
        if endpoint is not None and (restarted or not ready):
            self._remove_from_pools(endpoint)
        if endpoint is None or restarted:
            endpoint = self.by_id[entry.endpoint_id] = Endpoint(now_us, entry=entry)
        endpoint.entry = entry
        if ready and (restarted or not was_ready):
            if entry.endpoint_id in self.exclusions.sources:
                return
            self._add_to_pools(endpoint)
            started.append(endpoint)

    def change_exclusion(
        self, event: ExclusionChanged, now_us: int, remember_us: int
    ) -> Endpoint | None:
        """Apply an administrative exclusion or its end; return the endpoint that became usable.

        For ``remember_us`` after the end of its exclusion an endpoint counts as started at that
        end, unless the endpoint list names a start during the exclusion.
        """
        self.exclusions.prune_restored(now_us - remember_us)
        if event.excluded:
            if self.exclusions.add(event.endpoint_id, event.source, event.since or now_us):
                self.untried.pop(event.endpoint_id, None)
                if endpoint := self.by_id.get(event.endpoint_id):
                    self._remove_from_pools(endpoint)
            return None
        excluded_at_us = self.exclusions.withdraw(event.endpoint_id, event.source, now_us)
        endpoint = self.by_id.get(event.endpoint_id)
        if (
            excluded_at_us is None
            or endpoint is None
            or endpoint.entry.state is not EndpointState.READY
        ):
            return None
        return self._restore(endpoint, excluded_at_us, now_us)

    def _restore(self, endpoint: Endpoint, excluded_at_us: int, now_us: int) -> Endpoint:
        self._remove_from_warming_queue(endpoint)
        listed_start_us = endpoint.entry.started_at_us
        started_at_us = listed_start_us if listed_start_us >= excluded_at_us else now_us
        entry = replace(endpoint.entry, started_at_us=started_at_us)
        restored = self.by_id[entry.endpoint_id] = Endpoint(now_us, entry=entry)
        self._add_to_pools(restored)
        self.untried[entry.endpoint_id] = None
        return restored

    def promote_first_warming(self) -> None:
        """Move the first endpoint of the queue to the warm pool, if it is still usable."""
        endpoint = self.warming_queue.popleft()
        endpoint_id = endpoint.entry.endpoint_id
        if (
            self.by_id.get(endpoint_id) is endpoint
            and endpoint_id not in self.exclusions.sources
            and endpoint.entry.state is EndpointState.READY
        ):
            self.warming.remove(endpoint_id)
            self.warm.add(endpoint)

    def deduplicating_with(self, endpoint: Endpoint, scope: DeduplicationScope) -> list[Endpoint]:
        """Return the usable endpoints that recognize the idempotency keys of this one's requests.

        Those of a cell or a zone include endpoints that are warming up.
        """
        if scope is DeduplicationScope.ALL:
            return self.warm.endpoints
        pools = self.by_cell if scope is DeduplicationScope.CELL else self.by_zone
        pool = pools.get(endpoint.deduplication_domain(scope))
        return pool.endpoints if pool else []

    def _remove(self, endpoint: Endpoint) -> None:
        # Attempts in flight refer to the endpoint's record until they end.
        self._remove_from_pools(endpoint)
        endpoint_id = endpoint.entry.endpoint_id
        self.untried.pop(endpoint_id, None)
        endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        del self.by_id[endpoint_id]
        self._remove_from_warming_queue(endpoint)

    def _remove_from_warming_queue(self, endpoint: Endpoint) -> None:
        self.warming_queue = deque(other for other in self.warming_queue if other is not endpoint)

    def _add_to_pools(self, endpoint: Endpoint) -> None:
        self.by_cell.setdefault(endpoint.entry.cell, EndpointPool()).add(endpoint)
        self.by_zone.setdefault(endpoint.entry.zone, EndpointPool()).add(endpoint)

    def _remove_from_pools(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        self.warm.remove(entry.endpoint_id)
        self.warming.remove(entry.endpoint_id)
        for pools, key in ((self.by_cell, entry.cell), (self.by_zone, entry.zone)):
            if pool := pools.get(key):
                pool.remove(entry.endpoint_id)
                # Replacement endpoints may come in new cells each time: without this, the empty
                # pools of old cells would accumulate.
                if not pool.endpoints:
                    del pools[key]
