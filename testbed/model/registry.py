"""The registry of hosts and what each gateway's agent has been sent of it. Pure.

Each agent keeps what has come in the order in which it came: a watch is answered with what came after its last answer,
even where that is older news than what it told before.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

LOG_MOST = (
    2_000  # changes an agent keeps for watches; a watch that is further back gets the whole list
)


@dataclass(frozen=True, slots=True)
class Line:
    """One host in the registry; born in ms Unix time, 0 for long ago."""

    host: str
    zone: str
    block: int
    health: str = "SERVING"
    born_ms: int = 0

    def shown(self, dial: str) -> dict[str, Any]:
        """In the protocol's form."""
        return {
            "host": self.host,
            "dial": dial,
            "site": self.zone,
            "class": "std-2core",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """One version: a line that is new, or became so."""

    seq: int
    line: Line


class Registry:
    """The truth: versions counted up, the list as it stands."""

    def __init__(self) -> None:
        self.seq, self.lines = 0, {}

    def put(self, line: Line) -> Change:
        """A host that is new or has changed."""
        self.seq += 1
        self.lines[line.host] = line
        return Change(self.seq, line)

    def health(self, host: str, health: str) -> Change:
        """A host drains or is gone."""
        change = self.put(replace(self.lines[host], health=health))
        if health == "DELETED":
            del self.lines[host]
        return change


class Agent:
    """What one gateway's agent has been sent."""

    def __init__(self) -> None:
        self.lines: dict[str, Line] = {}
        self.log: list[Change] = []
        self.dropped = 0  # changes no longer in the log
        self.seq = 0  # as last told
        self.places: dict[int, int] = {}  # seq as told -> how many changes had come by then
        self.hidden: frozenset[str] = frozenset()  # left out of whole lists, wrongly
        self.shrunk = False  # the next answer to a watch is a whole list

    def receive(self, change: Change) -> None:
        """One change has come, perhaps later than newer ones."""
        self.log.append(change)
        if change.line.health == "DELETED":
            self.lines.pop(change.line.host, None)
        else:
            self.lines[change.line.host] = change.line
        if len(self.log) > LOG_MOST:
            cut = len(self.log) - LOG_MOST
            del self.log[:cut]
            self.dropped += cut
            self.places = {
                seq: place for seq, place in self.places.items() if place >= self.dropped
            }

    @property
    def count(self) -> int:
        """How many changes have come."""
        return self.dropped + len(self.log)

    def news(self, index: int) -> bool:
        """Whether a watch that was told ``index`` has something to hear."""
        return self.shrunk or self.places.get(index, -1) < self.count

    def whole(self) -> tuple[int, bool, tuple[Line, ...]]:
        """The whole list: its version, that it is whole, its lines."""
        self.shrunk = False
        return (
            self._told(max([self.seq, *(c.seq for c in self.log)])),
            True,
            tuple(line for line in self.lines.values() if line.host not in self.hidden),
        )

    def since(self, index: int) -> tuple[int, bool, tuple[Line, ...]]:
        """What came after the answer that had this version, in its order, the last word on each host only."""
        place = self.places.get(index)
        if place is None or place < self.dropped or self.shrunk:
            return self.whole()
        changes = self.log[place - self.dropped :]
        lines = {change.line.host: change.line for change in changes}
        return self._told(changes[-1].seq if changes else index), False, tuple(lines.values())

    def _told(self, seq: int) -> int:
        self.seq, self.places[seq] = seq, self.count
        return seq
