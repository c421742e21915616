"""Simulation of how a fleet gets its endpoint list with the gateways' ``PollSchedule``.

    python -m benchmarks.fleet.lists              the table: fleets of 3 to 1,000 gateways
    python -m benchmarks.fleet.lists --before     the same with the previous version's schedule

The list service has one worker; time is virtual. A gateway is current once it has received an
answer since the event: its start, or the end of an outage. The shortest time is the one in which
the service could answer all gateways back to back, each with the cheapest poll that updates it.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple, cast

from saffrongw.gateway.discovery.poll_schedule import PollAction, PollRequest, PollSchedule
from testbed.model.list_service import Costs, Desk, Said
from testbed.simulation.clock import Fleet, Link
from testbed.simulation.machine import Sent

from .earlier_schedule import EarlierSchedule

US_PER_S = 1_000_000
SERVICE = "lists"
VERSION = 41
NEVER_US = 1 << 60
# Start time of the single gateway in scenarios where it starts alone.
ALONE_START_S = 60.0
# Gateways that start together do so within this time.
START_SPREAD_S = 0.05
# The load of watches is measured over this time at the end of a simulation.
IDLE_SPAN_S = 60
# More wake-ups per gateway mean that it is woken without work to do.
MAX_WAKES_PER_GATEWAY = 2_000


class Poll(NamedTuple):
    """A gateway's message to the service."""

    connection: int
    version: int | None
    watch_s: float


class Answer(NamedTuple):
    """The service's message to a gateway."""

    connection: int
    result: Said


class Watch(NamedTuple):
    """A poll that is held open until the list changes or its time is up."""

    ends_at_us: int
    gateway: str
    connection: int


class ListService:
    """The list service on the virtual clock."""

    def __init__(self, costs: Costs) -> None:
        """Create an idle service."""
        self.queue = Desk(costs)
        self.watches: list[Watch] = []

    def next_at(self) -> int:
        """Return when ``due`` is to be called."""
        due_s = self.queue.due()
        times = [int(due_s * US_PER_S) + 1] if due_s is not None else []
        if not self.queue.down:
            times += [watch.ends_at_us for watch in self.watches]
        return min(times, default=NEVER_US)

    def receive(self, now: int, sender: str, message: tuple[int, int | None, float]) -> Sent:
        """Queue a poll; a watch costs nothing until it ends, as the list never changes here."""
        poll = Poll(*message)
        if poll.watch_s:
            ends_at_us = now + int(poll.watch_s * US_PER_S)
            self.watches.append(Watch(ends_at_us, sender, poll.connection))
        else:
            self.queue.arrive(now / US_PER_S, poll.version is None, (sender, poll.connection))
        return self.due(now)

    def due(self, now: int) -> Sent:
        """Send finished answers, and queue the watches that have ended."""
        answers = [
            (gateway, Answer(connection, result))
            for (gateway, connection), result in self.queue.advance((now + 1) / US_PER_S)
        ]
        if not self.queue.down:
            for watch in [watch for watch in self.watches if watch.ends_at_us <= now]:
                self.watches.remove(watch)
                self.queue.arrive(now / US_PER_S, False, (watch.gateway, watch.connection))
        return answers


class Gateway:
    """The polls of one gateway; answers with an earlier connection number are ignored."""

    def __init__(
        self, schedule: PollSchedule, is_up: Callable[[], bool], now: int, has_clients: bool
    ) -> None:
        """Start to poll."""
        self.schedule = schedule
        self.is_up = is_up
        self.has_clients = has_clients
        self.connection = 0
        self.current_at_us: int | None = None
        schedule.begin(now / US_PER_S)

    def next_at(self) -> int:
        """Return when ``due`` is to be called."""
        at_s = self.schedule.next_at()
        return NEVER_US if at_s is None else int(at_s * US_PER_S) + 1

    def _send(self, request: PollRequest) -> Sent:
        return [(SERVICE, Poll(self.connection, request.version, request.watch_s))]

    def due(self, now: int) -> Sent:
        """Carry out the schedule's next action."""
        now_s = now / US_PER_S
        action = self.schedule.due(now_s)
        if action is None:
            return []
        self.connection += 1
        if action is PollAction.CONNECT and self.is_up():
            return self._send(self.schedule.connected(now_s))
        self.schedule.lost(now_s)
        return []

    def receive(self, now: int, _sender: str, message: tuple[int, Said]) -> Sent:
        """Handle an answer."""
        answer = Answer(*message)
        now_s = now / US_PER_S
        if answer.connection != self.connection:
            return []
        if answer.result is Said.REFUSED:
            self.connection += 1
            self.schedule.rejected(now_s)
            self.schedule.lost(now_s)
            return []
        if self.current_at_us is None:
            self.current_at_us = now
        request = self.schedule.answered(now_s, VERSION)
        return self._send(request) if request else []


@dataclass
class FleetStart:
    """One scenario: start times of the gateways and faults of the service."""

    gateways: int
    costs: Costs = field(default_factory=Costs)
    schedule_type: type[PollSchedule] = PollSchedule
    # The gateways know an earlier list, so that changes are enough.
    has_known_list: bool = True
    # Share of gateways that have clients from the start.
    with_clients_share: float = 1.0
    # Time after which all gateways are killed and restarted; 0: no restart.
    restart_after_s: float = 0.0
    # Start and end (s) of the time in which the service is down, or rejects all polls.
    down: tuple[float, float] = (0.0, 0.0)
    rejecting: tuple[float, float] = (0.0, 0.0)
    # Only one gateway starts; the others already run and are current.
    alone: bool = False
    notification_deadline_s: float = 10.0
    length_s: float = 180.0
    seed: int = 1

    @property
    def event_s(self) -> float:
        """Return the time of the event from which times are measured."""
        return ALONE_START_S if self.alone else self.down[1] or self.restart_after_s

    @property
    def cheapest_poll_s(self) -> float:
        """Return the service's cost of the cheapest poll that brings a gateway up to date."""
        is_delta = self.has_known_list and self.costs.keeps_changes
        return self.costs.changes if is_delta else self.costs.whole


@dataclass(frozen=True)
class FleetResult:
    """Figures of one scenario; times count from the event."""

    gateways: int
    current_count: int
    half_current_s: float
    nine_tenths_current_s: float
    all_current_s: float
    # When all gateways that have clients were current.
    clients_current_s: float
    shortest_s: float
    polls: int
    # Polls in the busiest second, as a share of the service's capacity.
    peak_load: float
    rejected: int
    # Share of the worker's time spent on watches without changes at the end.
    idle_load: float


class FleetSimulation:
    """One scenario on the virtual clock."""

    def __init__(self, start: FleetStart) -> None:
        """Build the fleet and schedule its starts and faults."""
        self.start = start
        self.fleet = Fleet(f"lists:{start.seed}", Link(delay=(200, 1_000)))
        self.service = ListService(start.costs)
        self.random = random.Random(start.seed)
        self.names = [f"g{number}" for number in range(start.gateways)]
        self.measured = self.names[-1:] if start.alone else self.names
        self.counts_before: Counter[Said] = Counter()
        self.fleet.add(SERVICE, lambda *_: self.service)
        self._schedule_starts()
        self._schedule_faults()
        self.fleet.at(int(start.event_s * US_PER_S), self._begin_measurement)

    def _gateway(self, _name: str, _incarnation: int, now: int, numbers: random.Random) -> Gateway:
        start = self.start
        has_clients = self.random.random() < start.with_clients_share
        schedule = start.schedule_type(
            start.gateways,
            numbers,
            VERSION - 1 if start.has_known_list else None,
            start.notification_deadline_s,
            has_clients=lambda: has_clients,
        )
        return Gateway(schedule, lambda: not self.service.queue.down, now, has_clients)

    def _schedule_starts(self) -> None:
        for name in self.names:
            if self.start.alone and name == self.names[-1]:
                start_us = int(ALONE_START_S * US_PER_S)
            else:
                start_us = int(self.random.uniform(0, START_SPREAD_S) * US_PER_S)
            self.fleet.add(name, self._gateway, start=start_us)
        if self.start.restart_after_s:
            restart_us = int(self.start.restart_after_s * US_PER_S)
            for name in self.names:
                self.fleet.at(restart_us, partial(self.fleet.start, name))

    def _schedule_faults(self) -> None:
        faults = ((self.start.down, "down"), (self.start.rejecting, "refusing"))
        for (from_s, until_s), fault in faults:
            if not until_s:
                continue
            for at_s, is_on in ((from_s, True), (until_s, False)):
                self.fleet.at(int(at_s * US_PER_S), partial(self._switch, fault, is_on))

    def _switch(self, fault: str, is_on: bool) -> None:
        self.service.queue.switch(self.fleet.now / US_PER_S, **{fault: is_on})
        self.fleet.call(SERVICE, lambda machine, now: machine.due(now))

    def _begin_measurement(self) -> None:
        """Reset counters and current times at the event."""
        self.counts_before = self.service.queue.counts.copy()
        self.service.queue.came.clear()
        for gateway in self._running():
            gateway.current_at_us = None

    def _running(self) -> list[Gateway]:
        """Return the measured gateways that are running."""
        machines = [self.fleet.nodes[name].machine for name in self.measured]
        return [cast(Gateway, machine) for machine in machines if machine is not None]

    def run(self) -> FleetResult:
        """Run to the end of the scenario."""
        start = self.start
        self.fleet.run(int((start.event_s + start.length_s) * US_PER_S))
        assert self.fleet.counts["wakes"] < MAX_WAKES_PER_GATEWAY * start.gateways
        gateways = self._running()
        times_s = self._current_times(gateways)
        clients_s = self._current_times([gateway for gateway in gateways if gateway.has_clients])
        until_s = times_s[-1] if times_s else start.length_s
        arrived_s = [at_s - start.event_s for at_s in self.service.queue.came]
        polls_s = [at_s for at_s in arrived_s if at_s <= until_s]
        peak = max((sum(at <= other < at + 1 for other in polls_s) for at in polls_s), default=0)
        at_end = [at_s for at_s in arrived_s if at_s > start.length_s - IDLE_SPAN_S]
        return FleetResult(
            gateways=len(gateways),
            current_count=len(times_s),
            half_current_s=quantile(times_s, 0.5, len(gateways)),
            nine_tenths_current_s=quantile(times_s, 0.9, len(gateways)),
            all_current_s=until_s,
            clients_current_s=clients_s[-1] if clients_s else 0.0,
            shortest_s=len(gateways) * start.cheapest_poll_s,
            polls=len(polls_s),
            peak_load=peak * start.cheapest_poll_s,
            rejected=(self.service.queue.counts - self.counts_before)[Said.REFUSED],
            idle_load=len(at_end) / IDLE_SPAN_S * start.costs.changes,
        )

    def _current_times(self, gateways: list[Gateway]) -> list[float]:
        """Return when each gateway became current, in order and in seconds from the event."""
        return sorted(
            gateway.current_at_us / US_PER_S - self.start.event_s
            for gateway in gateways
            if gateway.current_at_us is not None
        )


def quantile(times_s: list[float], share: float, count: int) -> float:
    """Return when this share of ``count`` gateways was current; infinite if it never was."""
    position = max(1, round(share * count))
    return times_s[position - 1] if position <= len(times_s) else float("inf")


def simulate(start: FleetStart) -> FleetResult:
    """Run one scenario."""
    return FleetSimulation(start).run()


SCENARIOS: dict[str, dict[str, Any]] = {
    "all at once": {},
    "all at once, nothing known": {"has_known_list": False},
    "all at once, full fetches only": {"costs": Costs(keeps_changes=False)},
    "half have no clients": {"with_clients_share": 0.5},
    "twice within 10 s": {"restart_after_s": 8.0},
    "60 s of silence": {"down": (5.0, 65.0)},
    "down at the start, for 60 s": {"down": (0.0, 60.0)},
    "503 for 30 s at the start": {"rejecting": (0.0, 30.0)},
    "a quarter of the speed": {"costs": Costs(0.1, 0.02, 0.01)},
    "one alone": {"alone": True},
}


def row(name: str, size: int, result: FleetResult) -> str:
    """Return one row of the table."""
    return (
        f"{name:30} {size:5} {result.polls:6} {result.polls / result.gateways:5.2f} "
        f"{result.peak_load:7.2f} {result.rejected:8} {result.half_current_s:7.2f} "
        f"{result.nine_tenths_current_s:7.2f} {result.all_current_s:7.2f} "
        f"{result.clients_current_s:7.2f} {result.shortest_s:10.2f} "
        f"{result.all_current_s / result.shortest_s:7.2f} {result.idle_load:5.2f} "
        f"{result.gateways - result.current_count:4}"
    )


def print_table(schedule_type: type[PollSchedule], sizes: tuple[int, ...]) -> None:
    """Print one row for each scenario and size."""
    print(
        f"{'start':30} {'fleet':>5} {'polls':>6} {'each':>5} {'peak':>7} {'rejected':>8} "
        f"{'half s':>7} {'nine s':>7} {'all s':>7} {'clients':>7} {'shortest s':>10} "
        f"{'x short':>7} {'idle':>5} {'not':>4}"
    )
    for name, options in SCENARIOS.items():
        for size in sizes:
            result = simulate(FleetStart(size, schedule_type=schedule_type, **options))
            print(row(name, size, result))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", action="store_true")
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 50, 200, 1000])
    options = parser.parse_args()
    print_table(EarlierSchedule if options.before else PollSchedule, tuple(options.sizes))


if __name__ == "__main__":
    main()
