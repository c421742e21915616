"""Which voter set is in force, while one replaces another.

Sets are numbered by the operator file. An answer counts only between two gateways that are at the
same set, so a quorum is always of one set. A voter of a new set first makes sure that no quorum of
any former set can form again: for each former set that its file lists, a majority of that set's
voters have replied that *their* files are at this set or a later one (on their disks, so a restart
does not undo it). Then it is silent for one lease duration, as after a start: what the former sets
granted has expired by then. So two sets may have no member in common, files may be changed in any
order, and a gateway that never gets the new file is granted nothing any more. The price is a pause
of about one duration in which an expired lease is not granted again. No I/O; times are
microseconds.
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
    """What one voter knows of the change from former voter sets to its own."""

    own: VoterSet
    former: tuple[VoterSet, ...] = ()
    # By number of a former set: its voters that have left it.
    sealed: dict[int, set[str]] = field(default_factory=dict)
    next_query_us: int = 0

    def _is_sealed(self, former: VoterSet) -> bool:
        return len(self.sealed.get(former.number, ())) >= former.majority

    def complete(self) -> bool:
        """Return whether no former set can grant anything any more."""
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
