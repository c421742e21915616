"""How long everything of a lease lasts: one inequality, and every constant derived from it. Pure; spans in us.

Clocks are never compared. Each one only has to run at a rate between ``1 - drift`` and ``1 + drift`` of true time.
A holder counts ``held`` by its own clock from *before* it asked, a voter counts ``span`` from its answer, so the holder
begins first. It has ended first, whatever both clocks do within the bound, if and only if

    held / (1 - drift)  <=  span / (1 + drift)                                                    (1)

A voter that starts with empty memory may have answered anything just before. By (1) all that it can have granted is
over once ``span`` has passed by its own clock: for so long it stays silent. The same holds for a set of voters that
follows another one (``sets.py``).
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000
SECOND = 1_000_000
GRAIN = 2 * MS  # us by which a look at the clock may be late; taken off what a holder may use
DRIFT_MOST = 0.2


@dataclass(frozen=True, slots=True)
class Timing:
    """``span``: what a voter grants, us by its clock. ``drift``: by which part clocks' rates may be off."""

    span: int = 10 * SECOND
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not 0 <= self.drift <= DRIFT_MOST:
            raise ValueError(f"drift must lie between 0 and {DRIFT_MOST}")
        if self.span < 100 * MS:
            raise ValueError("a span of less than 100 ms leaves no time to ask")

    @property
    def held(self) -> int:
        """By (1), less the grain of the clock: how long a holder may act, by its clock, from before it asked."""
        return int(self.span * (1 - self.drift) / (1 + self.drift)) - GRAIN

    @property
    def silence(self) -> int:
        """By (1): how long a voter without memory answers nothing, by its clock."""
        return self.span

    @property
    def rates(self) -> tuple[float, float]:
        """The rates at which one right clock may be seen to run by another right one."""
        return (1 - self.drift) / (1 + self.drift), (1 + self.drift) / (1 - self.drift)

    @property
    def renew_after(self) -> int:
        """A third of what is held: two whole rounds of asking may fail."""
        return self.held // 3

    @property
    def again_after(self) -> int:
        """When a question without an answer is asked once more."""
        return max(20 * MS, min(SECOND, self.held // 20))

    @property
    def round_most(self) -> int:
        """After this a round of asking is given up."""
        return min(4 * self.again_after, self.held // 3)

    @property
    def push_every(self) -> int:
        """How often voters offer a lease that nobody holds."""
        return max(100 * MS, min(500 * MS, self.span // 10))

    @property
    def stagger(self) -> int:
        """So much later than the first one asks, the second of those to whom a free lease is offered."""
        return max(30 * MS, min(150 * MS, self.span // 50))

    @property
    def stand_every(self) -> int:
        """How often a gateway tells the voters that it stands: a voter that has started hears all in its silence."""
        return min(30 * SECOND, int(0.9 * self.span))
