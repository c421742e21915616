"""Scenarios that test leases with real processes: the number of gateways and the faults, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

KINDS = ("stop", "kill", "term", "voters", "split", "one_way", "delay", "noise", "loss", "receiver")

FAULT_LENGTHS_S = {
    "stop": (0.3, 3.0),
    "kill": (0.05, 1.5),
    "term": (0.05, 1.0),
    "voters": (0.05, 0.5),
}  # seconds


@dataclass(frozen=True, slots=True)
class LeaseFault:
    """One fault: its start in seconds, its length and the gateways affected (by number; empty, for ``split``, ``stop``
    and ``kill``: the holder of the first task's lease at that time)."""

    kind: str
    at: float
    for_s: float
    whom: tuple[int, ...] = ()
    size: float = 0.0  # a delay in seconds, or a probability

    def words(self) -> str:
        """A description for findings."""
        who = " of " + " ".join(f"n{n}" for n in self.whom) if self.whom else ""
        return f"{self.kind}{who} from {self.at:.2f} s for {self.for_s:.2f} s"


@dataclass(frozen=True, slots=True)
class LeaseDay:
    """One scenario; times in seconds. The first ``voters`` gateways are the voters."""

    seed: int = 1
    gateways: int = 6
    voters: int = 3
    span_s: float = 1.0
    shards: int = 2
    tasks: int = 4
    every_s: float = 0.25
    length_s: float = 12.0
    drift: float = 0.01
    voters_stand: bool = True  # voters run tasks as well
    settles: bool = True  # the fault-free end is long enough for every lease to be held again
    faults: tuple[LeaseFault, ...] = ()

    @property
    def quiet_from(self) -> float:
        """The time at which the last fault ends."""
        return max((f.at + f.for_s for f in self.faults), default=0.0)


def drawn(seed: int) -> LeaseDay:
    """Draws a scenario of mixed faults; the last 4 s have none."""
    draw = random.Random(f"leases {seed}")
    gateways = draw.randint(5, 8)
    day = LeaseDay(seed, gateways, draw.choice((3, 3, 5)))
    last, faults = day.length_s - 4.0, []
    for _ in range(draw.randint(2, 5)):
        kind = draw.choice(KINDS)
        for_s = draw.uniform(*FAULT_LENGTHS_S.get(kind, (1.0, 5.0)))
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
