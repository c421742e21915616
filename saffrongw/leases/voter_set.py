"""Which set of voters is in force, while one takes the place of another. Pure; us.

Sets are numbered by the operator file. An answer counts only between two that are at the same set, so a quorum is
always of one set. A voter of a new set first makes sure that no quorum of any former set can come together again: for
each former set that its file lists, a majority of that set's voters have said that *their* files are at this set or
beyond (on their disks, so a restart does not undo it). Then it is silent for a whole span, as after a start: what the
former sets granted has run out by then. So two sets may have nobody in common, files may be changed in any order, and
a gateway that never hears of it gets nothing any more. The price is a pause of about a span in which a lease
that ran out is not given anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field

ASK_EVERY = 500_000


@dataclass(frozen=True, slots=True)
class VoterSet:
    """One set, by its number; names of its voters."""

    number: int
    voters: tuple[str, ...]

    @property
    def majority(self) -> int:
        """How many of it can grant."""
        return len(self.voters) // 2 + 1


@dataclass(slots=True)
class Succession:
    """What one voter of the set in force (or to be) knows of the former ones."""

    own: VoterSet
    former: tuple[VoterSet, ...] = ()
    sealed: dict[int, set[str]] = field(default_factory=dict)  # by former set: who has left it
    ask_at: int = 0

    def done(self) -> bool:
        """Whether no former set can grant anything any more."""
        return all(len(self.sealed.get(one.number, ())) >= one.majority for one in self.former)

    def due(self, now: int) -> list[str]:
        """Whom to ask now whether they have left the former sets."""
        if self.done() or now < self.ask_at:
            return []
        self.ask_at = now + ASK_EVERY
        return sorted(
            {
                name
                for one in self.former
                if len(self.sealed.get(one.number, ())) < one.majority
                for name in one.voters
                if name not in self.sealed.get(one.number, ())
            }
        )

    def told(self, name: str, number: int) -> None:
        """One says that its file is at this set or beyond."""
        if number < self.own.number:
            return
        for one in self.former:
            if name in one.voters:
                self.sealed.setdefault(one.number, set()).add(name)
