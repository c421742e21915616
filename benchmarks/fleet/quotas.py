"""Over-quota admissions of a fleet without faults, against a policy that sees true quotas late.

    python -m benchmarks.fleet.quotas     the table: 3, 40 and 200 gateways, three seeds

The gateways run the real policy on the virtual clock (see ``ceilings``): no gateway dies, messages
take 2.5 to 18 ms and 3% of them are lost. The world keeps the true unit balance of each customer's
quota. The reference policy gets the same requests and keeps its own true balances; it admits a
request if the balance held the request's units a fixed delay ago. A request beyond the quota takes
no units and costs ``over_quota_cost`` of its revenue; the cost is given per unit of revenue
requested within the quotas.
"""

from __future__ import annotations

import argparse
import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from saffrongw.policy.settings import Plan

from .ceilings import SECOND, World

# A small quota, refilled slowly.
QUIET = Plan(1.1, 5.5, 0, 1.2, 0.0, 1.0, 0.0, 0.0, 0.0)
# A larger quota, refilled fast, with a ceiling.
BRISK = Plan(7.0, 13.0, 0, 1.6, 0.0, 0.8, 15.0, 28.0, 2.8)


class PastUnits(NamedTuple):
    """The balance of a quota at a time."""

    at: int
    units: float


class OursAndDelayed(NamedTuple):
    """A figure of the fleet, and of the reference policy with delayed balances."""

    ours: float
    delayed: float


@dataclass(slots=True)
class DelayedQuota:
    """One customer's quota under the reference policy, which sees the balance late."""

    units: float
    refilled_at: int = 0
    past: deque[PastUnits] = field(default_factory=deque)

    def admits(self, now: int, plan: Plan, delay: int) -> bool:
        """Return whether the quota held a unit ``delay`` us ago."""
        while len(self.past) > 1 and self.past[1].at <= now - delay:
            self.past.popleft()
        at, units = self.past[0] if self.past else PastUnits(0, plan.burst)
        since = max(0, now - delay - at) / SECOND
        return min(plan.burst, units + plan.rate * since) >= 1.0

    def take(self, now: int, plan: Plan) -> bool:
        """Count a forwarded request; return whether it was within the quota."""
        self.units = min(plan.burst, self.units + plan.rate * (now - self.refilled_at) / SECOND)
        self.refilled_at, inside = now, self.units >= 1.0
        self.units -= inside
        self.past.append(PastUnits(now, self.units))
        return inside


class QuietDay(World):
    """A run without faults on one plan: most customers use part of their quota, some far more."""

    delay: int = SECOND

    def __post_init__(self) -> None:
        """Start the fleet and the reference quotas."""
        self.inside = self.over_quota = self.delayed_inside = self.delayed_over_quota = 0
        self.requested_inside = 0
        self.delayed: dict[int, DelayedQuota] = {}
        self.ideal: dict[int, DelayedQuota] = {}
        super().__post_init__()

    def _next(self, customer: int, rate: float, first: int) -> None:
        """Schedule a customer's next request; bursty ones send 5 times their rate for 4 of 18 s.

        ``rate`` is ignored: the rate follows from the customer's kind.
        """
        draw = random.Random(f"{self.seed}:{customer}")
        kind, plan = draw.random(), self.plan
        times = 3.6 if kind < 0.1 else 0.95 if kind < 0.27 else draw.uniform(0.24, 0.48)
        if 0.27 <= kind < 0.44 and (self.fleet.now / SECOND + draw.uniform(0, 18)) % 18 < 4:
            times = 5.0
        at = self.fleet.now + int(self.random.expovariate(plan.rate * times) * SECOND)
        self.fleet.at(at, lambda: self._arrives(customer, rate, first))

    def _arrives(self, customer: int, rate: float, first: int) -> None:
        now, plan = self.fleet.now, self.plan
        is_counted = self.counted_from <= now
        ideal = self.ideal.setdefault(customer, DelayedQuota(plan.burst))
        if ideal.admits(now, plan, 0):
            ideal.take(now, plan)
            self.requested_inside += is_counted
        delayed = self.delayed.setdefault(customer, DelayedQuota(plan.burst))
        if delayed.admits(now, plan, self.delay):
            inside = delayed.take(now, plan)
            self.delayed_inside += inside and is_counted
            self.delayed_over_quota += is_counted and not inside
        super()._arrives(customer, rate, first)

    def sent(self, request: int) -> None:
        """Record a first attempt; it is within the quota if the true balance covers its units."""
        customer, units = self.in_flight.pop(request)
        store = self.stores[customer]
        store.refill(self.fleet.now, self.plan)
        inside = store.quota >= units
        store.ceiling -= units
        store.lowest = min(store.lowest, store.ceiling)
        store.quota -= units * inside
        if self.counted_from <= self.fleet.now:
            self.inside += inside
            self.over_quota += not inside

    def costs(self) -> OursAndDelayed:
        """Return the cost of over-quota requests per unit of revenue requested within quotas."""
        cost = self.plan.over_quota_cost / max(1, self.requested_inside)
        return OursAndDelayed(self.over_quota * cost, self.delayed_over_quota * cost)

    def served_inside(self) -> OursAndDelayed:
        """Return the forwarded share of the requests within quotas."""
        requested = max(1, self.requested_inside)
        return OursAndDelayed(self.inside / requested, self.delayed_inside / requested)


def run_quiet_day(
    gateways: int,
    spread: int,
    plan: Plan,
    seed: int,
    seconds: int = 40,
    customers: int = 60,
) -> QuietDay:
    """Run one simulation, counting from the start, when all customers are new to the gateways."""
    day = QuietDay(gateways, spread, customers, plan=plan, seed=seed)
    day.fleet.run(seconds * SECOND)
    return day


def mean(figures: list[OursAndDelayed]) -> OursAndDelayed:
    """Return the means of both figures."""
    count = len(figures)
    return OursAndDelayed(
        sum(figure.ours for figure in figures) / count,
        sum(figure.delayed for figure in figures) / count,
    )


SIZES = ((3, 3), (40, 16), (200, 23), (200, 100))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    columns = f"{'cost':>6} {'late 1 s':>8} {'more':>6} {'serves':>7} {'late':>6}"
    print(f"{'gateways':>8} {'set':>4} {'plan':6} {columns}")
    for gateways, spread in SIZES:
        for name, plan in (("quiet", QUIET), ("brisk", BRISK)):
            days = [run_quiet_day(gateways, spread, plan, seed) for seed in seeds]
            cost = mean([day.costs() for day in days])
            served = mean([day.served_inside() for day in days])
            figures = f"{cost.ours:6.3f} {cost.delayed:8.3f} {cost.ours - cost.delayed:6.3f}"
            figures += f" {served.ours:7.3f} {served.delayed:6.3f}"
            print(f"{gateways:8} {spread:4} {name:6} {figures}")


if __name__ == "__main__":
    main()
