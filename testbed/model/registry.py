"""The registry of hosts, and the changes of it that each gateway's agent has received. Does no I/O.

An agent logs changes in the order of their arrival. A watch is answered with the changes that arrived after its last
answer, even where those have older versions than changes answered before.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

# Changes that an agent keeps for watches; a watch that lags further behind gets the whole list.
MAX_LOGGED_CHANGES = 2_000


@dataclass(frozen=True, slots=True)
class Line:
    """One host in the registry; ``born_ms`` is Unix time, 0 for a host that started long ago."""

    host: str
    zone: str
    block: int
    health: str = "SERVING"
    born_ms: int = 0

    def shown(self, dial: str) -> dict[str, Any]:
        """The line as the protocol's JSON object."""
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
    """One version of the registry: a line that was added or changed."""

    seq: int
    line: Line


class Registry:
    """The authoritative list of hosts, with a version that each change increments."""

    def __init__(self) -> None:
        self.seq, self.lines = 0, {}

    def put(self, line: Line) -> Change:
        """Adds or replaces a host."""
        self.seq += 1
        self.lines[line.host] = line
        return Change(self.seq, line)

    def health(self, host: str, health: str) -> Change:
        """Changes a host's health; ``DELETED`` removes the host."""
        change = self.put(replace(self.lines[host], health=health))
        if health == "DELETED":
            del self.lines[host]
        return change


class Agent:
    """The changes and the host list that one gateway's agent has received."""

    def __init__(self) -> None:
        self.lines: dict[str, Line] = {}
        self.log: list[Change] = []
        self.dropped = 0  # changes no longer in the log
        self.seq = 0  # version of the last answer
        self.change_counts: dict[int, int] = {}  # version of an answer -> changes received by then
        self.hidden: frozenset[str] = frozenset()  # hosts that whole lists omit (a fault)
        self.shrunk = False  # the next answer to a watch is a whole list

    def receive(self, change: Change) -> None:
        """Receives one change, possibly after newer ones."""
        self.log.append(change)
        if change.line.health == "DELETED":
            self.lines.pop(change.line.host, None)
        else:
            self.lines[change.line.host] = change.line
        if len(self.log) > MAX_LOGGED_CHANGES:
            cut = len(self.log) - MAX_LOGGED_CHANGES
            del self.log[:cut]
            self.dropped += cut
            self.change_counts = {
                seq: change_count
                for seq, change_count in self.change_counts.items()
                if change_count >= self.dropped
            }

    @property
    def count(self) -> int:
        """How many changes have been received."""
        return self.dropped + len(self.log)

    def news(self, index: int) -> bool:
        """Whether there are changes for a watch whose last answer had version ``index``."""
        return self.shrunk or self.change_counts.get(index, -1) < self.count

    def whole(self) -> tuple[int, bool, tuple[Line, ...]]:
        """Answers with the whole list: (version, True, lines)."""
        self.shrunk = False
        return (
            self._record_answered_version(max([self.seq, *(c.seq for c in self.log)])),
            True,
            tuple(line for line in self.lines.values() if line.host not in self.hidden),
        )

    def since(self, index: int) -> tuple[int, bool, tuple[Line, ...]]:
        """Answers with the changes received after the answer of version ``index``, only the last for each host."""
        change_count = self.change_counts.get(index)
        if change_count is None or change_count < self.dropped or self.shrunk:
            return self.whole()
        changes = self.log[change_count - self.dropped :]
        lines = {change.line.host: change.line for change in changes}
        return (
            self._record_answered_version(changes[-1].seq if changes else index),
            False,
            tuple(lines.values()),
        )

    def _record_answered_version(self, seq: int) -> int:
        self.seq, self.change_counts[seq] = seq, self.count
        return seq
