"""Counts the voters that recall a lease from its holder, for another gateway to hold it."""

from __future__ import annotations

from collections.abc import Container


class RecallVotes:
    """The voters that recall each lease, according to their last answers."""

    def __init__(self) -> None:
        """Start without votes."""
        self._voters: dict[str, set[str]] = {}

    def clear(self) -> None:
        """Forget all votes; called when the voter set changes."""
        self._voters.clear()

    def discard(self, lease: str) -> None:
        """Forget the votes on a lease; called when it is released."""
        self._voters.pop(lease, None)

    def count(
        self, voter: str, recalled: tuple[str, ...], claimed: Container[str], majority: int
    ) -> list[str]:
        """Count a voter's answer, and return the leases that a majority recalls now."""
        for lease in recalled:
            if lease in claimed:
                self._voters.setdefault(lease, set()).add(voter)
        decided: list[str] = []
        for lease, voters in list(self._voters.items()):
            if lease not in recalled:
                voters.discard(voter)
            if not voters or lease not in claimed:
                del self._voters[lease]
            elif len(voters) >= majority:
                del self._voters[lease]
                decided.append(lease)
        return decided
