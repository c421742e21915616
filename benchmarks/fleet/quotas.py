"""What a fleet lets through beyond quotas on a quiet day, beside a policy that sees the true books late.

    python -m benchmarks.fleet.quotas             the table: 3, 40 and 200 gateways, three seeds

The decision modules as they are on the virtual clock (see ``ceilings``): hosts answer at once, nobody dies, messages
take 2.5 to 18 ms and 3% of them are lost. The field keeps each customer's true store. The policy beside it gets the
same tries and admits one where the true store, as its own admissions left it, held its units ``late`` ago. A try beyond
the store takes nothing and costs ``over_cost`` of its worth; the cost is per worth asked for inside the quotas.
"""

from __future__ import annotations

import argparse
import random
from collections import deque
from dataclasses import dataclass, field

from saffrongw.policy.settings import Plan

from .ceilings import SECOND, Store, World

QUIET = Plan(1.1, 5.5, 0, 1.2, 0.0, 1.0, 0.0, 0.0, 0.0)  # small, refilled slowly
BRISK = Plan(7.0, 13.0, 0, 1.6, 0.0, 0.8, 15.0, 28.0, 2.8)  # larger, refilled fast, with a ceiling


@dataclass(slots=True)
class Late:
    """One customer's books under the policy that sees them late."""

    quota: float
    at: int = 0
    past: deque[tuple[int, float]] = field(
        default_factory=deque
    )  # when, and what the store held then

    def admits(self, now: int, plan: Plan, late: int) -> bool:
        """Whether it held a unit so long ago."""
        while len(self.past) > 1 and self.past[1][0] <= now - late:
            self.past.popleft()
        at, held = self.past[0] if self.past else (0, plan.burst)
        since = max(0, now - late - at) / SECOND
        return min(plan.burst, held + plan.rate * since) >= 1.0

    def take(self, now: int, plan: Plan) -> bool:
        """One more is sent on; whether it was inside."""
        self.quota = min(plan.burst, self.quota + plan.rate * (now - self.at) / SECOND)
        self.at, inside = now, self.quota >= 1.0
        self.quota -= inside
        self.past.append((now, self.quota))
        return inside


class Day(World):
    """A quiet day of one plan: most customers use a part of their quota, some nearly all, some far more."""

    late: int = SECOND

    def __post_init__(self) -> None:
        self.inside = self.beyond = self.late_inside = self.late_beyond = self.offered = 0
        self.books: dict[int, Late] = {}
        self.ideal: dict[int, Late] = {}
        super().__post_init__()

    def _next(self, customer: int, rate: float, first: int) -> None:
        """``rate`` is drawn anew by kind; a spiky one asks five times as much for 4 of 18 seconds."""
        draw = random.Random(f"{self.seed}:{customer}")
        kind, plan = draw.random(), self.plan
        times = 3.6 if kind < 0.1 else 0.95 if kind < 0.27 else draw.uniform(0.24, 0.48)
        if 0.27 <= kind < 0.44 and (self.fleet.now / SECOND + draw.uniform(0, 18)) % 18 < 4:
            times = 5.0
        at = self.fleet.now + int(self.random.expovariate(plan.rate * times) * SECOND)
        self.fleet.at(at, lambda: self._arrives(customer, rate, first))

    def _arrives(self, customer: int, rate: float, first: int) -> None:
        now, plan = self.fleet.now, self.plan
        counted = self.from_at <= now
        ideal = self.ideal.setdefault(customer, Late(plan.burst))
        if ideal.admits(now, plan, 0):
            ideal.take(now, plan)
            self.offered += counted
        book = self.books.setdefault(customer, Late(plan.burst))
        if book.admits(now, plan, self.late):
            inside = book.take(now, plan)
            self.late_inside += inside and counted
            self.late_beyond += counted and not inside
        super()._arrives(customer, rate, first)

    def sent(self, node_index: int, request: int) -> None:
        """Inside where the true store holds its units, which it then takes."""
        customer, units = self.in_flight.pop(request)
        store: Store = self.stores[customer]
        store.lift(self.fleet.now, self.plan)
        inside = store.quota >= units
        store.ceiling -= units
        store.lowest = min(store.lowest, store.ceiling)
        store.quota -= units * inside
        if self.from_at <= self.fleet.now:
            self.inside += inside
            self.beyond += not inside

    def costs(self) -> tuple[float, float]:
        """Of the fleet and of the policy beside it: worth sent on beyond quotas by its cost, over that asked inside."""
        cost = self.plan.over_quota_cost / max(1, self.offered)
        return self.beyond * cost, self.late_beyond * cost

    def serves(self) -> tuple[float, float]:
        """What both sent on inside, of what was asked inside."""
        return self.inside / max(1, self.offered), self.late_inside / max(1, self.offered)


def played(
    gateways: int,
    spread: int,
    plan: Plan,
    seed: int,
    seconds: int = 40,
    customers: int = 60,
    **more,
) -> Day:
    """One day; its first seconds, in which all gateways meet their customers anew, are counted too."""
    day = Day(gateways, spread, customers, plan=plan, seed=seed, **more)
    day.fleet.run(seconds * SECOND)
    return day


SIZES = ((3, 3), (40, 16), (200, 23), (200, 100))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    print(
        f"{'gateways':>8} {'set':>4} {'plan':6} {'cost':>6} {'late 1 s':>8} {'more':>6} {'serves':>7} {'late':>6}"
    )
    for gateways, spread in SIZES:
        for name, plan in (("quiet", QUIET), ("brisk", BRISK)):
            days = [played(gateways, spread, plan, seed) for seed in seeds]
            (ours, theirs), (serves, late) = (
                [sum(pair[i] for pair in pairs) / len(days) for i in (0, 1)]
                for pairs in ([day.costs() for day in days], [day.serves() for day in days])
            )
            figures = f"{ours:6.3f} {theirs:8.3f} {ours - theirs:6.3f} {serves:7.3f} {late:6.3f}"
            print(f"{gateways:8} {spread:4} {name:6} {figures}")


if __name__ == "__main__":
    main()
