"""Drops watch events that are older than the state last received of their endpoint.

Pure: the caller passes the time.

Watch events may arrive late and out of order, and after a reload another discovery agent may lag
behind the first. An older event that reports an endpoint as ready must not revert a newer one that
reported it as draining. Received versions are remembered for ``RETENTION_S``: after that, lower
versions are accepted, as the registry may have restarted and counts from the beginning.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import NamedTuple

from ...policy.events import EndpointId, EndpointState
from ..config import DiscoveredEndpoint, EndpointList

# How long older versions are dropped after one was received.
RETENTION_S = 30.0


class ReceivedVersion(NamedTuple):
    """The state last received of one endpoint; ``endpoint`` is None if it was removed."""

    version: int
    received_at_s: float
    endpoint: DiscoveredEndpoint | None


class WatchEventFilter:
    """Remembers the version last received of each endpoint, and drops older ones."""

    def __init__(self) -> None:
        """Start with no versions received."""
        # Ordered by the time of receipt, the oldest first.
        self._received: OrderedDict[EndpointId, ReceivedVersion] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of endpoints that are remembered."""
        return len(self._received)

    def drop_older(self, listed: EndpointList, now_s: float) -> EndpointList:
        """Return a complete list, or changes, with outdated states dropped.

        In a complete list an outdated state is replaced by the newer one received before. ``now_s``
        is the time of any monotonic clock.
        """
        self._expire(now_s)
        endpoints = [
            endpoint
            for received in listed.endpoints
            if (endpoint := self._newest(received, listed, now_s)) is not None
        ]
        if listed.is_complete:
            endpoints += self._newer_than_complete(listed, now_s)
        return replace(listed, endpoints=tuple(endpoints))

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - RETENTION_S
        while self._received and next(iter(self._received.values())).received_at_s < oldest_s:
            self._received.popitem(last=False)

    def _newest(
        self, endpoint: DiscoveredEndpoint, listed: EndpointList, now_s: float
    ) -> DiscoveredEndpoint | None:
        """Return the newest known state of a listed endpoint; None to drop it from the list."""
        endpoint_id = endpoint.entry.endpoint_id
        known = self._received.get(endpoint_id)
        if known is not None and known.version > listed.version:
            return known.endpoint if listed.is_complete else None
        is_removed = endpoint.entry.state is EndpointState.REMOVED
        self._remember(endpoint_id, listed.version, now_s, None if is_removed else endpoint)
        return endpoint

    def _newer_than_complete(self, listed: EndpointList, now_s: float) -> list[DiscoveredEndpoint]:
        """Return endpoints that a complete list omits but that were received with a newer version.

        The other endpoints that it omits are recorded as removed in its version.
        """
        named = {endpoint.entry.endpoint_id for endpoint in listed.endpoints}
        newer = []
        for endpoint_id, known in list(self._received.items()):
            if endpoint_id in named:
                continue
            if known.version <= listed.version:
                self._remember(endpoint_id, listed.version, now_s, None)
            elif known.endpoint is not None:
                newer.append(known.endpoint)
        return newer

    def _remember(
        self,
        endpoint_id: EndpointId,
        version: int,
        now_s: float,
        endpoint: DiscoveredEndpoint | None,
    ) -> None:
        self._received[endpoint_id] = ReceivedVersion(version, now_s, endpoint)
        self._received.move_to_end(endpoint_id)
