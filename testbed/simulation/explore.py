"""All interleavings of a small case, breadth first, with states hashed and counted. Knows no machine of ours.

A case says how a state looks, what may happen next, and what must never be. A state is a value that can be hashed;
those that differ only in names that do not matter, or in how long ago something was, are one if the case makes them
equal. Breadth first means that the first breach found is a shortest one; it is told as a story, step by step.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

S = TypeVar("S")  # a state as the case holds it


class Case(Protocol[S]):
    """What is explored."""

    def first(self) -> S:
        """Where it begins."""

    def next(self, state: S) -> Iterable[tuple[str, S]]:
        """All that may happen, each with words for it."""

    def key(self, state: S) -> Hashable:
        """Equal for states that need not be told apart."""

    def breach(self, state: S) -> str:
        """What is wrong in a state; empty: nothing."""


@dataclass(slots=True)
class Found:
    """What an exploration came to."""

    states: int = 0
    steps: int = 0  # between states
    deepest: int = 0
    whole: bool = False  # every state was seen
    breach: str = ""
    story: list[str] = field(default_factory=list)

    def text(self) -> str:
        """For people."""
        head = f"{self.states} states, {self.steps} steps, depth {self.deepest}"
        head += "" if self.whole else ", not all of them"
        if not self.breach:
            return f"{head}: no breach"
        lines = [f"{number:3}. {line}" for number, line in enumerate(self.story, 1)]
        return "\n".join([f"{head}: {self.breach}", *lines])


class Explorer(Generic[S]):
    """Walks a case."""

    def __init__(self, case: Case[S], most: int = 2_000_000) -> None:
        self.case, self.most = case, most

    def run(self) -> Found:
        """Every state, until a breach or ``most`` states."""
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
                found.story = self._story(parents, key)
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
    def _story(parents: dict[Hashable, tuple[Hashable | None, str]], key: Hashable) -> list[str]:
        lines: list[str] = []
        at: Hashable | None = key
        while at is not None:
            at, words = parents[at]
            if words:
                lines.append(words)
        return lines[::-1]
