"""Endpoints that are administratively excluded, and those whose exclusion ended recently."""

from __future__ import annotations

from typing import NamedTuple

from .events import EndpointId


class RestoredSpan(NamedTuple):
    """When an endpoint was excluded and when its exclusion ended."""

    excluded_at_us: int
    restored_at_us: int


class AdministrativeExclusions:
    """The exclusions of each endpoint by source; several sources may exclude the same endpoint."""

    def __init__(self) -> None:
        """Start without exclusions."""
        # By endpoint: the start of the exclusion by each source.
        self.sources: dict[EndpointId, dict[str, int]] = {}
        # Recently restored endpoints: the end of the exclusion counts as their start, unless the
        # endpoint list names a start during the exclusion.
        self.restored: dict[EndpointId, RestoredSpan] = {}

    def add(self, endpoint_id: EndpointId, source: str, since_us: int) -> bool:
        """Add a source's exclusion of an endpoint; return whether it is the endpoint's only one."""
        sources = self.sources.get(endpoint_id)
        if sources is None:
            self.sources[endpoint_id] = {source: since_us}
            return True
        sources.setdefault(source, since_us)
        return False

    def withdraw(self, endpoint_id: EndpointId, source: str, now_us: int) -> int | None:
        """End a source's exclusion; return its start if no other source excludes the endpoint."""
        sources = self.sources.get(endpoint_id)
        if sources is None or source not in sources:
            return None
        since_us = sources.pop(source)
        if sources:
            return None
        del self.sources[endpoint_id]
        self.restored[endpoint_id] = RestoredSpan(since_us, now_us)
        return since_us

    def prune_restored(self, until_us: int) -> None:
        """Forget the restored endpoints whose exclusion ended at this time or earlier."""
        expired = [
            endpoint_id
            for endpoint_id, span in self.restored.items()
            if span.restored_at_us <= until_us
        ]
        for endpoint_id in expired:
            del self.restored[endpoint_id]
