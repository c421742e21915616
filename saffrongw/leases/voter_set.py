"""The replacement of one voter set by another.

The operator file numbers the sets. Answers count only between two gateways at the same set, so a
quorum never mixes sets. A voter of a new set first makes sure that no quorum of a former set can
form again: for each former set that its file lists, it waits until a majority of that set's voters
have replied that their own files are at this set or a later one. Those files are on disk, so a
restart does not undo this. The voter is then silent for one lease duration, as after a start, until
all grants of the former sets have expired.

So two sets need no common member, files may be changed in any order, and a gateway that never gets
the new file is granted nothing any more. The cost is a pause of about one duration in which an
expired lease is not granted again. No I/O; times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SEAL_QUERY_INTERVAL_US = 500_000


@dataclass(frozen=True, slots=True)
class VoterSet:
    """A numbered set of voters, by name."""

    number: int
    voters: tuple[str, ...]

    @property
    def majority(self) -> int:
        """Return how many voters make a quorum."""
        return len(self.voters) // 2 + 1


@dataclass(slots=True)
class VoterSetTransition:
    """One voter's progress in the change from former voter sets to its own."""

    own: VoterSet
    former: tuple[VoterSet, ...] = ()
    # The voters that have left each former set, by the set's number.
    sealed: dict[int, set[str]] = field(default_factory=dict)
    next_query_us: int = 0

    def _is_sealed(self, former: VoterSet) -> bool:
        return len(self.sealed.get(former.number, ())) >= former.majority

    def complete(self) -> bool:
        """Return whether no former set can grant a lease any more."""
        return all(self._is_sealed(one) for one in self.former)

    def due(self, now: int) -> list[str]:
        """Return the voters of former sets to query now."""
        if self.complete() or now < self.next_query_us:
            return []
        self.next_query_us = now + SEAL_QUERY_INTERVAL_US
        return sorted(
            {
                name
                for one in self.former
                if not self._is_sealed(one)
                for name in one.voters
                if name not in self.sealed.get(one.number, ())
            }
        )

    def record_reply(self, name: str, set_number: int) -> None:
        """Record that a gateway's file is at this set or a later one."""
        if set_number < self.own.number:
            return
        for one in self.former:
            if name in one.voters:
                self.sealed.setdefault(one.number, set()).add(name)
