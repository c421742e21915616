"""Which of discovery's news count: older ones undo no newer ones. Pure.

An agent is sent changes late and not always in their order, and after a reload another agent may lag behind the first.
A host that was heard to drain must not come back by an older line that says it serves. What was heard counts for
``REMEMBER`` seconds: after that a registry that started anew and counts its versions from the beginning is believed.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from ...policy.events import EndpointId, EndpointState
from ..config import DiscoveredEndpoint, EndpointList

REMEMBER = 30.0  # seconds


class WatchEventFilter:
    """What was heard of each host lately: with which version, when, and the line itself."""

    def __init__(self) -> None:
        self.heard: OrderedDict[EndpointId, tuple[int, float, DiscoveredEndpoint | None]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self.heard)

    def sift(self, listed: EndpointList, now: float) -> EndpointList:
        """A list, or changes, without what is older than what was heard; now in seconds of any steady clock.

        In a whole list, hosts of which something newer was heard stand as they were heard.
        """
        while self.heard and next(iter(self.heard.values()))[1] < now - REMEMBER:
            self.heard.popitem(last=False)
        hosts, named = [], set()
        for host in listed.hosts:
            server = host.entry.endpoint_id
            named.add(server)
            known = self.heard.get(server)
            if known and known[0] > listed.version:
                if listed.whole and known[2]:
                    hosts.append(known[2])
                continue
            hosts.append(host)
            gone = host.entry.state is EndpointState.REMOVED
            self._note(server, listed.version, now, None if gone else host)
        if listed.whole:
            for server, (version, _, line) in list(self.heard.items()):
                if server in named:
                    continue
                if version > listed.version:
                    if line:
                        hosts.append(line)
                else:  # left out of the whole list: it is gone, as of this version
                    self._note(server, listed.version, now, None)
        return replace(listed, hosts=tuple(hosts))

    def _note(
        self, server: EndpointId, version: int, now: float, line: DiscoveredEndpoint | None
    ) -> None:
        self.heard[server] = version, now, line
        self.heard.move_to_end(server)
