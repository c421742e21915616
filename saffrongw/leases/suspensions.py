"""Leases that operators have suspended: they are granted to no gateway until a given time.

Every gateway stores all suspensions and sends them with its announcements, so a voter that restarts
learns them again. Of two suspensions of a lease, every gateway keeps the one that was set later. No
I/O; times of a suspension are Unix seconds, ``wall`` is Unix us.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import MAX_SUSPENSIONS, Suspension
from .timing import SECOND_US

MAX_SUSPENSION_S = 7 * 86_400.0
DAY_S = 86_400
MAX_TEXT_CHARACTERS = 120
# How long the end of a suspension is stored, at the least, after it was set.
MIN_STORED_S = 3_600


class SuspensionError(ValueError):
    """A suspension that an operator requested is out of bounds; the message says why."""


class Suspensions:
    """All known suspensions, bounded in number; each ends at its own time."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_lease: dict[str, Suspension] = {}

    def put(
        self, lease: str, until_s: float, operator: str, reason: str, now_s: float
    ) -> Suspension:
        """Suspend a lease, or end its suspension with ``until_s`` 0.

        Raise ``SuspensionError`` for a time or a text out of bounds, or too many suspensions.
        """
        if until_s and not now_s < until_s <= now_s + MAX_SUSPENSION_S:
            raise SuspensionError(f"a hold ends within {MAX_SUSPENSION_S / DAY_S:.0f} days")
        if not operator or max(len(operator), len(reason)) > MAX_TEXT_CHARACTERS:
            raise SuspensionError(
                f"who and why have up to {MAX_TEXT_CHARACTERS} characters, and who is not empty"
            )
        is_new = bool(until_s) and lease not in self._by_lease
        if is_new and len(self.all(now_s * 1e6)) >= MAX_SUSPENSIONS:
            raise SuspensionError(f"{MAX_SUSPENSIONS} holds are in force, no more are kept")
        previous = self._by_lease.get(lease)
        set_at_s = max(now_s, previous.set_at_s + 0.001 if previous else 0.0)
        suspension = Suspension(lease, until_s, operator, reason, set_at_s)
        self.merge((suspension,), now_s * 1e6)
        return suspension

    def merge(self, received: Iterable[Suspension], wall: float) -> None:
        """Merge the suspensions that another gateway has sent.

        An ended suspension is stored for as long as other gateways may still send its start.
        """
        latest_s = wall / SECOND_US + MAX_SUSPENSION_S
        for suspension in received:
            previous = self._by_lease.get(suspension.lease)
            if previous is not None and previous.set_at_s >= suspension.set_at_s:
                continue
            # Such a time was set by a wrong clock.
            if suspension.until_s > latest_s or suspension.set_at_s > latest_s:
                continue
            if previous is None and len(self._by_lease) >= 2 * MAX_SUSPENSIONS:
                continue
            self._by_lease[suspension.lease] = suspension
        self._expire(wall)

    def _expire(self, wall: float) -> None:
        for lease, suspension in list(self._by_lease.items()):
            if max(suspension.until_s, suspension.set_at_s + MIN_STORED_S) < wall / SECOND_US:
                del self._by_lease[lease]

    def active(self, lease: str, wall: float) -> Suspension | None:
        """Return the suspension that is in force on a lease."""
        suspension = self._by_lease.get(lease)
        return suspension if suspension and suspension.until_s > wall / SECOND_US else None

    def all(self, wall: float) -> tuple[Suspension, ...]:
        """Return the suspensions to send to other gateways.

        Those in force come first, then those that an operator has ended.
        """
        self._expire(wall)
        latest_first = sorted(self._by_lease.values(), key=lambda one: -one.until_s)
        return tuple(latest_first[:MAX_SUSPENSIONS])
