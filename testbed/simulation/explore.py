"""Explores all interleavings of a small case breadth first. Independent of saffrongw.

A case defines the initial state, the steps from a state and the invariants. States with equal keys are explored once:
a case can so merge states that differ only in irrelevant names or ages. The search is breadth first, so the trace of
the first breach found is a shortest one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

S = TypeVar("S")  # a state as the case holds it


class Case(Protocol[S]):
    """A state space with invariants."""

    def first(self) -> S:
        """The initial state."""

    def next(self, state: S) -> Iterable[tuple[str, S]]:
        """The possible steps from a state: a description and the state after each."""

    def key(self, state: S) -> Hashable:
        """A hashable key, equal for states that are equivalent."""

    def breach(self, state: S) -> str:
        """The violated invariant; empty if there is none."""


@dataclass(slots=True)
class Found:
    """The result of an exploration."""

    states: int = 0
    steps: int = 0  # transitions between states
    deepest: int = 0
    whole: bool = False  # the whole state space was explored
    breach: str = ""
    story: list[str] = field(default_factory=list)

    def text(self) -> str:
        """A readable summary, with the trace of a breach."""
        head = f"{self.states} states, {self.steps} steps, depth {self.deepest}"
        head += "" if self.whole else ", not all of them"
        if not self.breach:
            return f"{head}: no breach"
        lines = [f"{number:3}. {line}" for number, line in enumerate(self.story, 1)]
        return "\n".join([f"{head}: {self.breach}", *lines])


class Explorer(Generic[S]):
    """Explores the states of a case, ``most`` at most."""

    def __init__(self, case: Case[S], most: int = 2_000_000) -> None:
        self.case, self.most = case, most

    def run(self) -> Found:
        """Explores until all states are seen, an invariant is violated or ``most`` is reached."""
        case, found = self.case, Found()
        first = case.first()
        parents: dict[Hashable, tuple[Hashable | None, str]] = {case.key(first): (None, "")}
        queue = deque([(first, case.key(first), 0)])
        while queue:
            state, key, depth = queue.popleft()
            found.states += 1
            found.deepest = max(found.deepest, depth)
            if wrong := case.breach(state):
                found.breach = wrong
                found.story = self._trace(parents, key)
                return found
            if found.states >= self.most:
                return found
            for words, after in case.next(state):
                found.steps += 1
                new = case.key(after)
                if new not in parents:
                    parents[new] = (key, words)
                    queue.append((after, new, depth + 1))
        found.whole = True
        return found

    @staticmethod
    def _trace(parents: dict[Hashable, tuple[Hashable | None, str]], key: Hashable) -> list[str]:
        lines: list[str] = []
        at: Hashable | None = key
        while at is not None:
            at, words = parents[at]
            if words:
                lines.append(words)
        return lines[::-1]
