"""Estimates of the rate of each voter's clock relative to ours.

Bounded clock drift is the only assumption behind mutual exclusion, so it is monitored. A voter's
clock reading in an answer was taken between the sending of our request and the arrival of the
answer. Two readings far enough apart bound the rate from both sides. If even these bounds lie
outside what two correct clocks can show, one of the two is wrong; if most voters' clocks disagree
with ours, it is ours. No I/O; times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from .gateway_id import GatewayId
from .timing import Timing

# A baseline older than this is replaced: clock rates change with the temperature and the host.
MAX_BASELINE_AGE_US = 600_000_000


@dataclass(frozen=True, slots=True)
class Reading:
    """A voter's clock reading, taken between ``after`` and ``before`` on our clock."""

    their_clock: int
    after: int
    before: int


@dataclass(frozen=True, slots=True)
class Baseline:
    """The first reading of one incarnation of a voter."""

    incarnation: int
    reading: Reading


def rate_bounds(first: Reading, last: Reading) -> tuple[float, float] | None:
    """Return the lowest and highest possible rate of their clock relative to ours.

    None if their clock went backwards.
    """
    their_elapsed = last.their_clock - first.their_clock
    min_elapsed, max_elapsed = last.after - first.before, last.before - first.after
    if their_elapsed < 0:
        return None
    if min_elapsed <= 0:
        return their_elapsed / max_elapsed if max_elapsed > 0 else 0.0, float("inf")
    return their_elapsed / max_elapsed, their_elapsed / min_elapsed


class ClockDriftEstimates:
    """Estimated rates of the voters' clocks, by name, for the incarnation that answered last."""

    def __init__(self, timing: Timing) -> None:
        """Start without readings; ``timing`` bounds the believable rates."""
        self.timing = timing
        self.baselines: dict[str, Baseline] = {}
        self.rates: dict[str, tuple[float, float]] = {}
        # Voters whose clock rate can't be right if ours is.
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
        """Return whether a majority of the voters' clocks disagrees with ours: ours is wrong."""
        return len(self.wrong) >= majority
