"""A list service with one worker, as a queue of calls that cost it work. Pure: time in seconds goes in.

It does one call at a time, in the order of their coming. Whole lists are dearer than changes; a call that has waited
for too long is turned away when its turn comes, and costs work even then. What a caller no longer waits for is done
all the same: a service learns that only when it writes.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Said(Enum):
    """What a call got."""

    WHOLE = "whole list"
    CHANGES = "changes"
    REFUSED = "turned away"


@dataclass(frozen=True, slots=True)
class Costs:
    """Of one call, in seconds of the worker; patience: how long a call may wait for its turn."""

    whole: float = 0.025
    changes: float = 0.005
    refusal: float = 0.0025
    patience: float = 1.0
    keeps_changes: bool = True  # False: every call gets, and costs, the whole list


@dataclass(slots=True)
class Waiting:
    """A call that waits for its turn."""

    came: float
    whole: bool
    tag: Any


@dataclass(slots=True)
class Desk:
    """The queue and its worker."""

    costs: Costs = field(default_factory=Costs)
    waiting: deque[Waiting] = field(default_factory=deque)
    doing: tuple[float, Waiting, Said] | None = None  # ends at, which, with what
    down: bool = False  # nothing is begun
    refusing: bool = False  # all are turned away
    worked: float = 0.0
    counts: Counter[Said] = field(default_factory=Counter)
    came: list[float] = field(default_factory=list)  # when each call came; the caller may empty it

    def arrive(self, now: float, whole: bool, tag: Any) -> None:
        """A call has come."""
        self.came.append(now)
        self.waiting.append(Waiting(now, whole or not self.costs.keeps_changes, tag))
        self._begin(now)

    def due(self) -> float | None:
        """When the one in work is done."""
        return self.doing[0] if self.doing else None

    def advance(self, now: float) -> list[tuple[Any, Said]]:
        """Let time pass; the calls that are done, with what they get."""
        done = []
        while self.doing and self.doing[0] <= now:
            ended, call, said = self.doing
            self.doing = None
            self.counts[said] += 1
            done.append((call.tag, said))
            self._begin(ended)
        return done

    def switch(self, now: float, down: bool = False, refusing: bool = False) -> None:
        """It falls silent or is back, refuses all or no longer."""
        self.down, self.refusing = down, refusing
        self._begin(now)

    def _begin(self, now: float) -> None:
        if self.doing or self.down or not self.waiting:
            return
        call = self.waiting.popleft()
        costs = self.costs
        if self.refusing or now - call.came > costs.patience:
            said, cost = Said.REFUSED, costs.refusal
        elif call.whole:
            said, cost = Said.WHOLE, costs.whole
        else:
            said, cost = Said.CHANGES, costs.changes
        self.worked += cost
        self.doing = now + cost, call, said
