"""Estimates of how fast each voter's clock runs by ours.

Bounded clock rates are the one assumption that safety rests on, so they are watched. A reading of
another clock that came in an answer was taken between our question and its arrival. Two readings
with enough time between them bound the rate from both sides. Where even the bound lies outside what
two correct clocks can do, one of the two is wrong; if most voters disagree with ours, it is ours.
No I/O; times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .gateway_id import GatewayId
from .timing import Timing

# A first reading older than this is replaced: rates change with temperature and hosts.
MAX_BASELINE_AGE_US = 600_000_000


@dataclass(frozen=True, slots=True)
class Reading:
    """A voter's clock, read between two moments of ours."""

    their_clock: int
    after: int
    before: int


@dataclass(frozen=True, slots=True)
class Baseline:
    """The first reading of one incarnation of a voter."""

    incarnation: int
    reading: Reading


def rate_bounds(first: Reading, last: Reading) -> tuple[float, float] | None:
    """Return the lowest and highest rate at which their clock may have run by ours.

    None if nothing is known.
    """
    theirs = last.their_clock - first.their_clock
    shortest, longest = last.after - first.before, last.before - first.after
    if theirs < 0:
        return None
    if shortest <= 0:
        return theirs / longest if longest > 0 else 0.0, float("inf")
    return theirs / longest, theirs / shortest


class ClockDriftEstimates:
    """Estimated rates of the voters' clocks, by name, for the incarnation that answered last."""

    def __init__(self, timing: Timing) -> None:
        """Start without readings; ``timing`` bounds the believable rates."""
        self.timing = timing
        self.baselines: dict[str, Baseline] = {}
        self.rates: dict[str, tuple[float, float]] = {}
        # Voters whose clock rate can't be right, if ours is.
        self.wrong: set[str] = set()

    def add(self, voter: GatewayId, reading: Reading) -> None:
        """Add a reading of a voter's clock."""
        baseline = self.baselines.get(voter.name)
        previous, first = (
            (baseline.incarnation, baseline.reading) if baseline is not None else (0, reading)
        )
        if previous != voter.incarnation or reading.before - first.after > MAX_BASELINE_AGE_US:
            self.baselines[voter.name] = Baseline(voter.incarnation, reading)
            if previous != voter.incarnation:
                self.rates.pop(voter.name, None)
                self.wrong.discard(voter.name)
            return
        bounds = rate_bounds(first, reading)
        if bounds is None:
            return
        lowest, highest = self.timing.believable_rates
        self.rates[voter.name] = bounds
        if bounds[0] > highest or bounds[1] < lowest:
            self.wrong.add(voter.name)
        elif lowest <= bounds[0] and bounds[1] <= highest:
            self.wrong.discard(voter.name)

    def retain(self, voters: tuple[str, ...]) -> None:
        """Drop the estimates of all but these voters."""
        for name in [name for name in self.baselines if name not in voters]:
            del self.baselines[name]
        for name in [name for name in self.rates if name not in voters]:
            del self.rates[name]
        self.wrong &= set(voters)

    def own_clock_is_wrong(self, majority: int) -> bool:
        """Return whether so many voters' clocks disagree with ours that ours must be wrong."""
        return len(self.wrong) >= majority
