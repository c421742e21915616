"""Leases that nobody gets until a time, by an operator's word. Pure; times of holds in Unix seconds.

Every gateway and voter keeps all of them and tells them with what it sends anyway, so a voter that has started anew
hears them again. Of two for one lease the later one counts, on every gateway alike.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import HOLDS_MOST, Hold

LONGEST = 7 * 86_400.0  # seconds
TEXT_MOST = 120


class SuspensionError(ValueError):
    """What an operator asked for can't be kept."""


class Suspensions:
    """All that are known; bounded, and each ends by itself."""

    def __init__(self) -> None:
        self._all: dict[str, Hold] = {}

    def put(self, lease: str, until: float, who: str, why: str, now: float) -> Hold:
        """Put one in force, or (``until`` 0) end it; ``HoldError`` where it can't be."""
        if until and not now < until <= now + LONGEST:
            raise SuspensionError(f"a hold ends within {LONGEST / 86_400:.0f} days")
        if not who or max(len(who), len(why)) > TEXT_MOST:
            raise SuspensionError(
                f"who and why have up to {TEXT_MOST} characters, and who is not empty"
            )
        if until and lease not in self._all and len(self.all(now * 1e6)) >= HOLDS_MOST:
            raise SuspensionError(f"{HOLDS_MOST} holds are in force, no more are kept")
        old = self._all.get(lease)
        hold = Hold(lease, until, who, why, max(now, old.at + 0.001 if old else 0.0))
        self.merge((hold,), now * 1e6)
        return hold

    def merge(self, told: Iterable[Hold], wall: float) -> None:
        """What another one knows; ``wall`` in Unix us. An end is kept for as long as its beginning may be about."""
        for hold in told:
            old = self._all.get(hold.lease)
            if old is not None and old.at >= hold.at:
                continue
            if hold.until > wall / 1e6 + LONGEST or hold.at > wall / 1e6 + LONGEST:
                continue  # from a clock that is wrong
            if old is None and len(self._all) >= 2 * HOLDS_MOST:
                continue
            self._all[hold.lease] = hold
        self._forget(wall)

    def _forget(self, wall: float) -> None:
        for lease, hold in list(self._all.items()):
            if max(hold.until, hold.at + 3_600) < wall / 1e6:
                del self._all[lease]

    def on(self, lease: str, wall: float) -> Hold | None:
        """The hold in force on a lease."""
        hold = self._all.get(lease)
        return hold if hold and hold.until > wall / 1e6 else None

    def all(self, wall: float) -> tuple[Hold, ...]:
        """What others are told: those in force first, then those that were ended by hand."""
        self._forget(wall)
        return tuple(sorted(self._all.values(), key=lambda hold: -hold.until)[:HOLDS_MOST])
