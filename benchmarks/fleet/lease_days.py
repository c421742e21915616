"""Simulated lease runs under random faults, takeover times, and message traffic.

    python -m benchmarks.fleet.lease_days days --count 10000 --jobs 8
    python -m benchmarks.fleet.lease_days takeover --count 200
    python -m benchmarks.fleet.lease_days traffic

A "day" is a run of 120 s on the virtual clock, with 5 voters and 20 other gateways, leases of 5 s,
and faults between 20 s and 90 s.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from rich.console import Console
from rich.table import Table

from benchmarks.fleet.leases import SimulatedFleet, SimulatedNode
from saffrongw.leases.candidates import shard_name
from saffrongw.leases.spec import TaskSpec
from saffrongw.leases.timing import SECOND_US, Timing
from testbed.simulation.clock import Link
from testbed.simulation.machine import Machine, Sent

DAY_US, FAULTS_FROM_US, FAULTS_UNTIL_US = 120 * SECOND_US, 20 * SECOND_US, 90 * SECOND_US
SPECS = tuple(
    TaskSpec(f"{once}-{n}", (2 + n) * SECOND_US, once, SECOND_US // 2)
    for once in ("at-least", "at-most")
    for n in range(2)
)


def drain_node(machine: Machine, now: int) -> Sent:
    """Start to drain a simulated node."""
    if not isinstance(machine, SimulatedNode):
        raise TypeError(f"no simulated node: {machine!r}")
    return machine.drain(now)


class Faults:
    """Kinds of faults; each draws its own times and nodes."""

    def __init__(self, simulation: SimulatedFleet, draw: random.Random) -> None:
        """Plan faults for a fleet."""
        self.simulation, self.draw, self.fleet = simulation, draw, simulation.fleet

    def span(self, min_s: float, max_s: float) -> tuple[int, int]:
        """Draw the start and the end of a fault."""
        length = int(self.draw.uniform(min_s, max_s) * SECOND_US)
        begin = self.draw.randrange(
            FAULTS_FROM_US, max(FAULTS_FROM_US + 1, FAULTS_UNTIL_US - length)
        )
        return begin, begin + length

    def _links(self, begin: int, end: int, **changes: float | bool | tuple[int, int]) -> None:
        fleet, plain = self.fleet, self.fleet.plain

        def put(values: dict) -> None:
            for name, value in values.items():
                setattr(plain, name, value)
                for link in fleet.links.values():
                    setattr(link, name, value)

        before = {name: getattr(plain, name) for name in changes}
        fleet.at(begin, lambda: put(changes))
        fleet.at(end, lambda: put(before))

    def loss(self) -> None:
        """Lose 10% to 40% of all messages."""
        self._links(*self.span(5, 40), loss=self.draw.uniform(0.1, 0.4))

    def noise(self) -> None:
        """Duplicate and reorder messages."""
        self._links(*self.span(5, 40), double=0.3, reorder=0.3, reorder_by=SECOND_US)

    def delay(self) -> None:
        """Delay each message by up to 10 s."""
        max_delay_us = int(self.draw.uniform(0.2, 10) * SECOND_US)
        self._links(*self.span(5, 30), delay=(0, max_delay_us))

    def _sides(self) -> list[list[str]]:
        names = list(self.simulation.names)
        self.draw.shuffle(names)
        at = self.draw.randrange(1, len(names))
        return [names[:at], names[at:]]

    def split(self, one_way: bool = False) -> None:
        """Partition the fleet into two sides."""
        begin, end = self.span(5, 40)
        sides = self._sides()
        self.fleet.at(begin, lambda: self.fleet.at(end, self.fleet.split(sides, one_way)))

    def one_way(self) -> None:
        """Partition the fleet in one direction only."""
        self.split(True)

    def _some_nodes(self) -> list[str]:
        return self.draw.sample(
            self.simulation.names, self.draw.randint(1, len(self.simulation.names))
        )

    def stop(self) -> None:
        """Pause some nodes, for shorter or longer than a lease."""
        begin, end = self.span(0.5, 20)
        for name in self._some_nodes():
            self.fleet.at(begin, partial(self.fleet.stop, name))
            self.fleet.at(end + self.draw.randrange(SECOND_US), partial(self.fleet.go_on, name))

    def kill(self) -> None:
        """Kill and restart some nodes, each at its own time."""
        for name in self._some_nodes():
            begin, end = self.span(0.1, 10)
            self.fleet.at(begin, partial(self.fleet.kill, name))
            self.fleet.at(end, partial(self.fleet.start, name))

    def all_voters(self) -> None:
        """Kill and restart all voters at once."""
        begin, end = self.span(0.1, 3)
        for name in self.simulation.voters:
            self.fleet.at(begin, partial(self.fleet.kill, name))
            self.fleet.at(end, partial(self.fleet.start, name))

    def drain(self) -> None:
        """Drain, stop and restart some nodes."""
        for name in self._some_nodes():
            begin, end = self.span(0.5, 5)
            self.fleet.at(begin, partial(self.fleet.call, name, drain_node))
            self.fleet.at(begin + SECOND_US // 5, partial(self.fleet.kill, name))
            self.fleet.at(end, partial(self.fleet.start, name))

    def clock_back(self) -> None:
        """Set the wall clocks of 8 machines back by an hour, and restart their nodes."""
        begin, _ = self.span(1, 2)
        for name in self.draw.sample(self.simulation.names, 8):
            self.fleet.at(
                begin, partial(self.simulation.walls.__setitem__, name, -3_600 * SECOND_US)
            )
            # A running node has read its wall clock base already: the change shows after a restart.
            self.fleet.at(begin + SECOND_US, partial(self.fleet.kill, name))
            self.fleet.at(begin + 2 * SECOND_US, partial(self.fleet.start, name))

    def receiver(self) -> None:
        """Make the receiver unavailable, and lose half of its answers until 10 s later."""
        begin, end = self.span(5, 20)

        def make_unavailable() -> None:
            self.simulation.receiver.unavailable_until, self.simulation.answer_loss = end, 0.5

        self.fleet.at(begin, make_unavailable)
        self.fleet.at(end + 10 * SECOND_US, lambda: setattr(self.simulation, "answer_loss", 0.0))


KINDS = (
    "loss",
    "noise",
    "delay",
    "split",
    "one_way",
    "stop",
    "kill",
    "all_voters",
    "drain",
    "clock_back",
    "receiver",
)


def day(
    seed: str,
    kinds: tuple[str, ...] | None = None,
    plant_fault: Callable[[SimulatedFleet], None] | None = None,
) -> tuple:
    """Run one day; return its kinds of faults, its fleet and its turn counts."""
    draw = random.Random(seed)
    timing = Timing(5 * SECOND_US, 0.01)
    simulation = SimulatedFleet(
        seed, 5, 20, 2, timing, SPECS, Link(delay=(200, draw.choice((2_000, 20_000, 100_000))))
    )
    if plant_fault:
        plant_fault(simulation)
    faults = Faults(simulation, draw)
    kinds = kinds if kinds is not None else tuple(draw.sample(KINDS, draw.choice((1, 1, 2, 3))))
    for kind in kinds:
        getattr(faults, kind)()
    simulation.fleet.run(DAY_US)
    return kinds, simulation, simulation.turn_counts(DAY_US - 5 * SECOND_US, 12 * SECOND_US)


def run_day_in_worker(seed: str) -> tuple[tuple[str, ...], list[str], Counter[str], int]:
    """Run one day in a worker process; return its fault kinds, breaches, turn counts and gains."""
    kinds, simulation, turns = day(seed)
    tally: Counter[str] = Counter(turns)
    at_max_once = Counter(
        (c.task, c.turn)
        for c in simulation.receiver.calls
        if c.accepted and c.task.startswith("at-most")
    )
    tally["at-most repeated"] = sum(n - 1 for n in at_max_once.values())
    return (
        kinds,
        [f"{seed}: {breach.at_us / 1e6:.3f} s: {breach.text}" for breach in simulation.breaches],
        tally,
        len(simulation.gains),
    )


def days(count: int, jobs: int, first: int) -> int:
    """Run many days and print a table by kind of fault; return 1 if there was any breach."""
    began = time.monotonic()
    totals: Counter[str] = Counter()
    by_kind: defaultdict[str, Counter[str]] = defaultdict(Counter)
    breaches: list[str] = []
    with ProcessPoolExecutor(jobs) as pool:
        seeds = [f"day {n}" for n in range(first, first + count)]
        for kinds, day_breaches, tally, gains in pool.map(run_day_in_worker, seeds, chunksize=8):
            breaches += day_breaches
            for bucket in (
                totals,
                by_kind[kinds[0] if len(kinds) == 1 else f"{len(kinds)} kinds at once"],
            ):
                bucket.update(tally)
                bucket["days"] += 1
                bucket["gains"] += gains
                bucket["overlaps"] += len(day_breaches)
    table = Table(
        title=f"{count} days, 5 voters, 20 others, leases of 5 s;"
        f" {time.monotonic() - began:.0f} s on {jobs} cores"
    )
    columns = (
        "days",
        "gains",
        "overlaps",
        "turns",
        "missed",
        "repeated",
        "at-most repeated",
        "older accepted",
    )
    table.add_column("fault")
    for name in columns:
        table.add_column(name, justify="right")
    for kind, bucket in [*sorted(by_kind.items()), ("all", totals)]:
        table.add_row(kind, *(str(bucket[name]) for name in columns))
    Console(width=140).print(table)
    for line in breaches[:20]:
        print(line)
    return 1 if breaches else 0


def percentile(some: list[float], part: float) -> float:
    """Return a percentile of an unsorted list."""
    return sorted(some)[min(len(some) - 1, int(len(some) * part))]


def taken_over(seed: str, how: str) -> float:
    """Return the seconds from the loss of a holder to the next acquisition of its lease."""
    draw = random.Random(seed)
    simulation = SimulatedFleet(
        seed, 3, 5, 1, Timing(5 * SECOND_US, 0.01), (), Link(delay=(200, 5_000))
    )
    fleet, lease = simulation.fleet, shard_name(0, 1)
    fleet.run(int(draw.uniform(20, 30) * SECOND_US))
    holder, at, before = simulation.holder(lease), fleet.now, len(simulation.gains)
    if holder is None:
        raise RuntimeError(f"{seed}: nobody holds the lease")
    if how == "kill":
        fleet.kill(holder)
    elif how == "drain":
        fleet.call(holder, drain_node)
    else:  # Partitioned away from the majority.
        others = [name for name in simulation.names if name != holder]
        fleet.split([[holder], others])
    fleet.run(at + 30 * SECOND_US)
    assert not simulation.breaches, simulation.breaches
    return (simulation.gains[before][0] - at) / SECOND_US


def takeover(count: int) -> int:
    """Print takeover times for three ways to lose a holder."""
    table = Table(title=f"a lease of 5 s taken over, seconds, {count} seeds each")
    for name in ("holder", "p50", "p90", "p99", "most"):
        table.add_column(name, justify="right")
    for how in ("kill", "drain", "cut off"):
        waits_s = [taken_over(f"{how} {n}", how) for n in range(count)]
        table.add_row(how, *(f"{percentile(waits_s, p):.3f}" for p in (0.5, 0.9, 0.99, 1.0)))
    Console(width=100).print(table)
    return 0


def traffic() -> int:
    """Print messages and bytes a second without faults, by numbers of gateways and tasks."""
    table = Table(title="at rest, leases of 10 s: datagrams and bytes a second sent, 3 voters")
    for name in (
        "gateways",
        "tasks",
        "shards",
        "a gateway",
        "bytes",
        "a voter sends",
        "it gets",
        "us a datagram",
    ):
        table.add_column(name, justify="right")
    for gateways in (3, 20, 200):
        for tasks, shards in ((1, 1), (50, 16), (500, 32)):
            specs = tuple(TaskSpec(f"t{n}", 60 * SECOND_US) for n in range(tasks))
            link = Link(delay=(200, 2_000))
            simulation = SimulatedFleet(
                "traffic", 3, gateways - 3, shards, Timing(), specs, link, True
            )
            fleet = simulation.fleet
            fleet.run(120 * SECOND_US)
            counts, sent, got = fleet.counts.copy(), fleet.sent.copy(), fleet.got.copy()
            began = time.perf_counter()
            fleet.run(240 * SECOND_US)
            spent_s = time.perf_counter() - began
            more = fleet.counts - counts
            voters = sum(fleet.sent[v] - sent[v] for v in simulation.voters) / 3 / 120
            received = sum(fleet.got[v] - got[v] for v in simulation.voters) / 3 / 120
            row = (
                *(gateways, tasks, shards, f"{more['sent'] / 120 / gateways:.2f}"),
                *(f"{more['bytes'] / 120 / gateways:.0f}", f"{voters:.1f}", f"{received:.1f}"),
                f"{spent_s * 1e6 / max(1, more['sent']):.0f}",
            )
            table.add_row(*map(str, row))
    Console(width=120).print(table)
    return 0


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    what = parser.add_subparsers(dest="what", required=True)
    one = what.add_parser("days")
    one.add_argument("--count", type=int, default=1_000)
    one.add_argument("--jobs", type=int, default=6)
    one.add_argument("--first", type=int, default=0)
    what.add_parser("takeover").add_argument("--count", type=int, default=200)
    what.add_parser("traffic")
    options = parser.parse_args()
    if options.what == "days":
        return days(options.count, options.jobs, options.first)
    return takeover(options.count) if options.what == "takeover" else traffic()


if __name__ == "__main__":
    raise SystemExit(main())
