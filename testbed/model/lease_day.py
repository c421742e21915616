"""A day of leases with real processes: how many gateways, which faults, drawn from a seed. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass

KINDS = ("stop", "kill", "term", "voters", "split", "one_way", "delay", "noise", "loss", "receiver")

LENGTHS = {
    "stop": (0.3, 3.0),
    "kill": (0.05, 1.5),
    "term": (0.05, 1.0),
    "voters": (0.05, 0.5),
}  # seconds


@dataclass(frozen=True, slots=True)
class LeaseFault:
    """One fault: seconds from the day's begin, its length, whom it hits (numbers of gateways; empty, for ``split`` and
    ``stop`` and ``kill``: whoever holds the first task's lease then)."""

    kind: str
    at: float
    for_s: float
    whom: tuple[int, ...] = ()
    size: float = 0.0  # of a delay in seconds, or a chance

    def words(self) -> str:
        """For findings."""
        who = " of " + " ".join(f"n{n}" for n in self.whom) if self.whom else ""
        return f"{self.kind}{who} from {self.at:.2f} s for {self.for_s:.2f} s"


@dataclass(frozen=True, slots=True)
class LeaseDay:
    """The whole day; spans in seconds. The first ``voters`` gateways are the voters."""

    seed: int = 1
    gateways: int = 6
    voters: int = 3
    span_s: float = 1.0
    shards: int = 2
    tasks: int = 4
    every_s: float = 0.25
    length_s: float = 12.0
    drift: float = 0.01
    voters_stand: bool = True  # voters do tasks as well
    settles: bool = True  # it ends quiet for so long that every lease has to be held again
    faults: tuple[LeaseFault, ...] = ()

    @property
    def quiet_from(self) -> float:
        """From when on nothing is broken any more."""
        return max((f.at + f.for_s for f in self.faults), default=0.0)


def drawn(seed: int) -> LeaseDay:
    """A day of mixed faults; the last 4 s are quiet."""
    draw = random.Random(f"leases {seed}")
    gateways = draw.randint(5, 8)
    day = LeaseDay(seed, gateways, draw.choice((3, 3, 5)))
    last, faults = day.length_s - 4.0, []
    for _ in range(draw.randint(2, 5)):
        kind = draw.choice(KINDS)
        for_s = draw.uniform(*LENGTHS.get(kind, (1.0, 5.0)))
        at = draw.uniform(2.5, max(2.6, last - for_s))
        whom: tuple[int, ...] = ()
        if kind in ("stop", "kill", "term"):
            whom = tuple(sorted(draw.sample(range(gateways), draw.randint(1, 3))))
        elif kind in ("split", "one_way"):
            whom = tuple(sorted(draw.sample(range(gateways), draw.randint(1, gateways - 1))))
        elif kind == "voters":
            whom = tuple(range(day.voters))
        size = {"delay": draw.choice((0.1, 0.5, 2.0, 10.0)), "loss": draw.uniform(0.1, 0.5)}.get(
            kind, 0.3
        )
        faults.append(LeaseFault(kind, at, for_s, whom, size))
    faults.sort(key=lambda fault: fault.at)
    return LeaseDay(seed, gateways, day.voters, faults=tuple(faults))
