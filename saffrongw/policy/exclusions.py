"""Endpoints that are administratively excluded, and those whose exclusion ended lately."""

from __future__ import annotations

from typing import NamedTuple

from .events import EndpointId


class RestoredSpan(NamedTuple):
    """When an endpoint was excluded and when its exclusion ended."""

    excluded_at_us: int
    restored_at_us: int


class AdministrativeExclusions:
    """Who excluded which endpoint, and since when; several sources may exclude the same one."""

    def __init__(self) -> None:
        """Start without exclusions."""
        # By endpoint: the sources that exclude it, each with its start.
        self.sources: dict[EndpointId, dict[str, int]] = {}
        # Endpoints that count as restarted at the end of their exclusion.
        self.restored: dict[EndpointId, RestoredSpan] = {}

    def add(self, endpoint_id: EndpointId, source: str, since_us: int) -> bool:
        """Let a source exclude an endpoint; tell whether it was usable before."""
        sources = self.sources.get(endpoint_id)
        if sources is None:
            self.sources[endpoint_id] = {source: since_us}
            return True
        sources.setdefault(source, since_us)
        return False

    def withdraw(self, endpoint_id: EndpointId, source: str, now_us: int) -> int | None:
        """End a source's exclusion; return its start if it was the endpoint's last one."""
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
        """Forget the exclusions that ended at this time or before."""
        expired = [
            endpoint_id
            for endpoint_id, span in self.restored.items()
            if span.restored_at_us <= until_us
        ]
        for endpoint_id in expired:
            del self.restored[endpoint_id]
