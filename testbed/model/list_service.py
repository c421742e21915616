"""A model of a list service with one worker and a FIFO queue of calls. Does no I/O; times are in seconds.

The worker handles one call at a time. A whole list costs more work than changes. A call that has waited too long is
refused when its turn comes, which costs some work as well. Calls whose caller has left are handled all the same, as a
service notices that only when it writes the answer.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Said(Enum):
    """The kind of answer that a call got."""

    WHOLE = "whole list"
    CHANGES = "changes"
    REFUSED = "turned away"


@dataclass(frozen=True, slots=True)
class Costs:
    """Cost of one call in seconds of the worker's time; ``patience``: longest time in the queue before refusal."""

    whole: float = 0.025
    changes: float = 0.005
    refusal: float = 0.0025
    patience: float = 1.0
    keeps_changes: bool = True  # False: every call gets the whole list, at its cost


@dataclass(slots=True)
class QueuedCall:
    """A queued call."""

    came: float
    whole: bool
    tag: Any


@dataclass(slots=True)
class Desk:
    """The queue and its single worker."""

    costs: Costs = field(default_factory=Costs)
    waiting: deque[QueuedCall] = field(default_factory=deque)
    current_call: tuple[float, QueuedCall, Said] | None = None  # end time, call, kind of answer
    down: bool = False  # no queued call is started
    refusing: bool = False  # every call is refused
    worked: float = 0.0
    counts: Counter[Said] = field(default_factory=Counter)
    came: list[float] = field(default_factory=list)  # arrival times; the owner may clear them

    def arrive(self, now: float, whole: bool, tag: Any) -> None:
        """Queues a call."""
        self.came.append(now)
        self.waiting.append(QueuedCall(now, whole or not self.costs.keeps_changes, tag))
        self._start_next(now)

    def due(self) -> float | None:
        """When the call being handled ends; None: there is none."""
        return self.current_call[0] if self.current_call else None

    def advance(self, now: float) -> list[tuple[Any, Said]]:
        """Advances to ``now`` and returns the calls that ended, with their answers."""
        done = []
        while self.current_call and self.current_call[0] <= now:
            ended, call, answer = self.current_call
            self.current_call = None
            self.counts[answer] += 1
            done.append((call.tag, answer))
            self._start_next(ended)
        return done

    def switch(self, now: float, down: bool = False, refusing: bool = False) -> None:
        """Sets whether the service is down and whether it refuses every call."""
        self.down, self.refusing = down, refusing
        self._start_next(now)

    def _start_next(self, now: float) -> None:
        if self.current_call or self.down or not self.waiting:
            return
        call = self.waiting.popleft()
        costs = self.costs
        if self.refusing or now - call.came > costs.patience:
            answer, cost = Said.REFUSED, costs.refusal
        elif call.whole:
            answer, cost = Said.WHOLE, costs.whole
        else:
            answer, cost = Said.CHANGES, costs.changes
        self.worked += cost
        self.current_call = now + cost, call, answer
