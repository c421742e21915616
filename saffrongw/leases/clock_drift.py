"""How fast a voter's clock runs by ours: the one thing on which safety rests, and so looked at. Pure; us.

A reading of the other clock that came in an answer was taken between our question and the answer. Two readings with
enough time in between bound the rate from both sides. Where even the bound lies outside what two right clocks can do,
one of the two is wrong: with most voters so, it is ours.
"""

from __future__ import annotations

from dataclasses import dataclass

from .timing import Timing

KEPT_FOR = 600_000_000  # us after which a first reading is taken anew: rates change with temperature and hosts


@dataclass(frozen=True, slots=True)
class Reading:
    """Their clock, read between two moments of ours."""

    theirs: int
    after: int
    before: int


def bounds(first: Reading, last: Reading) -> tuple[float, float] | None:
    """The least and the greatest rate at which their clock may have run by ours; None where nothing can be said."""
    theirs = last.theirs - first.theirs
    least, most = last.after - first.before, last.before - first.after
    if theirs < 0:
        return None
    if least <= 0:
        return theirs / most if most > 0 else 0.0, float("inf")
    return theirs / most, theirs / least


class ClockDriftEstimates:
    """Readings of each voter's clock, by name and life."""

    def __init__(self, timing: Timing) -> None:
        self.timing = timing
        self.first: dict[str, tuple[int, Reading]] = {}
        self.rate: dict[str, tuple[float, float]] = {}
        self.wrong: set[str] = set()

    def read(self, name: str, life: int, reading: Reading) -> None:
        """One more."""
        life_then, first = self.first.get(name, (0, reading))
        if life_then != life or reading.before - first.after > KEPT_FOR:
            self.first[name] = (life, reading)
            if life_then != life:
                self.rate.pop(name, None)
                self.wrong.discard(name)
            return
        found = bounds(first, reading)
        if found is None:
            return
        least, most = self.timing.rates
        self.rate[name] = found
        if found[0] > most or found[1] < least:
            self.wrong.add(name)
        elif least <= found[0] and found[1] <= most:
            self.wrong.discard(name)

    def forget_but(self, voters: tuple[str, ...]) -> None:
        """Another set of voters."""
        for kept in (self.first, self.rate):
            for name in [name for name in kept if name not in voters]:
                del kept[name]
        self.wrong &= set(voters)

    def ours_is_wrong(self, majority: int) -> bool:
        """Whether so many voters' clocks differ from ours that ours must be the wrong one."""
        return len(self.wrong) >= majority
