"""How a fleet gets its list: the gateways' ``Asking`` against a list service with one worker, on the virtual clock.

    python -m benchmarks.fleet.lists              the table: fleets of 3 to 1,000, every kind of start
    python -m benchmarks.fleet.lists --before     the same with the waits of the version before

Current is a gateway that has heard an answer since the event: its start, or the end of a silence. Least is the time in
which the service could serve them all if they came in a row, each with the call that the service could answer most
cheaply.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from saffrongw.gateway.discovery.poll_schedule import PollRequest, PollSchedule
from testbed.model.list_service import Costs, Desk, Said
from testbed.simulation.clock import Fleet, Link
from testbed.simulation.machine import Sent

SECOND = 1_000_000
SERVICE = "lists"
VERSION = 41
NEVER = 1 << 60


class Service:
    """The desk as a machine; a message is (connection, version or None, wait)."""

    def __init__(self, costs: Costs) -> None:
        self.desk = Desk(costs)
        self.watching: list[tuple[int, str, int]] = []  # ends at, who, connection
        self.now = 0

    def next_at(self) -> int:
        due = self.desk.due()
        times = [int(due * SECOND) + 1] if due is not None else []
        if not self.desk.down:
            times += [at for at, _, _ in self.watching]
        return min(times, default=NEVER)

    def receive(self, now: int, sender: str, message: tuple[int, int | None, float]) -> Sent:
        connection, version, wait = message
        if wait:  # a watch costs nothing until it is answered; nothing changes here
            self.watching.append((now + int(wait * SECOND), sender, connection))
        else:
            self.desk.arrive(now / SECOND, version is None, (sender, connection))
        return self.due(now)

    def due(self, now: int) -> Sent:
        self.now = now
        out = [
            (who, (connection, said))
            for (who, connection), said in self.desk.advance((now + 1) / SECOND)
        ]
        if not self.desk.down:
            for watch in [w for w in self.watching if w[0] <= now]:
                self.watching.remove(watch)
                self.desk.arrive(now / SECOND, False, watch[1:])
        return out


class Gateway:
    """One gateway's watch. A connection is a number: what comes on an older one is not heard."""

    def __init__(self, asking: PollSchedule, alive: Callable[[], bool], now: int) -> None:
        self.asking, self.alive, self.connection = asking, alive, 0
        self.current_at: int | None = None
        self.calls = 0
        asking.begin(now / SECOND)

    def next_at(self) -> int:
        at = self.asking.next_at()
        return NEVER if at is None else int(at * SECOND) + 1

    def _call(self, call: PollRequest) -> Sent:
        self.calls += not call.wait
        return [(SERVICE, (self.connection, call.version, call.wait))]

    def due(self, now: int) -> Sent:
        what = self.asking.due(now / SECOND)
        if what == "connect":
            self.connection += 1
            if self.alive():
                return self._call(self.asking.connected(now / SECOND))
            self.asking.lost(now / SECOND)
        elif what == "abort":
            self.connection += 1
            self.asking.lost(now / SECOND)
        return []

    def receive(self, now: int, sender: str, message: tuple[int, Said]) -> Sent:
        connection, said = message
        if connection != self.connection:
            return []
        if said is Said.REFUSED:
            self.connection += 1
            self.asking.refused(now / SECOND)
            self.asking.lost(now / SECOND)
            return []
        if self.current_at is None:
            self.current_at = now
        return self._call(self.asking.answered(now / SECOND, VERSION))


class Before(PollSchedule):
    """The waits of the version before: at once, the whole list, again within a second, or within ``ask_within``."""

    refusals = 0  # in a row

    def first(self) -> float:
        return 0.0

    def refused(self, now: float, retry_after: float = 0.0) -> None:
        super().refused(now, retry_after)
        self.refusals += 1

    def after_loss(self) -> float:
        return min(1.0, 0.05 * 2 ** min(16, self.failures))

    def after_refusal(self, now: float) -> float:
        return self.ask_within * min(4, 2 ** min(16, self.refusals))

    def begin(self, now: float, at_once: bool = False) -> None:
        super().begin(now, at_once)
        self.version, self.wait, self.confirm_at = None, 2.0, None

    def answered(self, now: float, version: int, closes: bool = False) -> PollRequest | None:
        self.refusals = 0
        return super().answered(now, version, closes)

    def connected(self, now: float) -> PollRequest:
        if not self.refusals:
            self.version = None
        return super().connected(now)

    def _patience(self) -> float:
        return 1.0


@dataclass
class Start:
    """One story: who starts when, and what the service does."""

    gateways: int
    costs: Costs = field(default_factory=Costs)
    kind: type[PollSchedule] = PollSchedule
    stale: bool = True  # a list is known from before: what is newer is enough
    clients: float = 1.0  # share of gateways that have clients at once
    twice_after: float = 0.0  # all are killed and start again after so many seconds
    down: tuple[float, float] = (0.0, 0.0)  # the service is silent from / until (s)
    refusing: tuple[float, float] = (0.0, 0.0)
    alone: bool = False  # all but one run already, and are current
    ask_within: float = 10.0
    length: float = 180.0
    seed: int = 1


@dataclass(frozen=True)
class Result:
    """Figures of one story; seconds count from the start, or from the end of a silence."""

    gateways: int
    current: int
    half: float
    nine: float
    last: float
    last_with_clients: float
    least: float
    calls: int
    busiest: float  # of calls in a second, over what the service could do in it
    refused: int
    idle: float  # share of the worker that watches without news take at the end


def play(start: Start) -> Result:
    """Play one story to its end."""
    fleet = Fleet(f"lists:{start.seed}", Link(delay=(200, 1_000)))
    service = Service(start.costs)
    fleet.add(SERVICE, lambda *_: service)
    event = start.down[1] or start.twice_after
    draw = random.Random(start.seed)
    lone = start.gateways - 1

    def make(name: str, _life: int, now: int, numbers: random.Random) -> Gateway:
        has = draw.random() < start.clients
        version = VERSION - 1 if start.stale else None
        asking = start.kind(
            start.gateways, numbers, version, start.ask_within, has_clients=lambda: has
        )
        gateway = Gateway(asking, lambda: not service.desk.down, now)
        gateway.has = has
        return gateway

    names = [f"g{number}" for number in range(start.gateways)]
    for number, name in enumerate(names):
        late = (
            60 * SECOND if start.alone and number == lone else int(draw.uniform(0, 0.05) * SECOND)
        )
        fleet.add(name, make, start=late)
    if start.alone:
        event = 60.0
    if start.twice_after:
        for name in names:
            fleet.at(int(start.twice_after * SECOND), lambda name=name: fleet.start(name))

    def switch(name: str, on: bool) -> None:
        service.desk.switch(fleet.now / SECOND, **{name: on})
        fleet.call(SERVICE, lambda machine, now: machine.due(now))

    for span, name in ((start.down, "down"), (start.refusing, "refusing")):
        for at, on in zip(span, (True, False), strict=True) if span[1] else ():
            fleet.at(int(at * SECOND), lambda name=name, on=on: switch(name, on))
    before = service.desk.counts.copy()

    def mark() -> None:
        nonlocal before
        before = service.desk.counts.copy()
        service.desk.came.clear()
        for name in names if not start.alone else names[lone:]:
            if (machine := fleet.nodes[name].machine) is not None:
                machine.current_at = None

    fleet.at(int(event * SECOND), mark)
    fleet.run(int((event + start.length) * SECOND))
    assert fleet.counts["wakes"] < 2_000 * start.gateways, "a machine that is woken for nothing"
    gateways = [fleet.nodes[name].machine for name in (names[lone:] if start.alone else names)]
    times = sorted((g.current_at / SECOND - event) for g in gateways if g.current_at is not None)
    busy = sorted(
        g.current_at / SECOND - event for g in gateways if g.current_at is not None and g.has
    )
    until = times[-1] if times else start.length
    came = [at - event for at in service.desk.came]
    calls = [at for at in came if at <= until]
    counts = service.desk.counts - before
    cheapest = (
        start.costs.changes if start.stale and start.costs.keeps_changes else start.costs.whole
    )
    seconds = [sum(at <= c < at + 1 for c in calls) for at in calls]
    late = [at for at in came if at > start.length - 60]

    def at(share: float) -> float:
        place = max(1, round(share * len(gateways)))
        return times[place - 1] if place <= len(times) else float("inf")

    return Result(
        len(gateways), len(times), at(0.5), at(0.9), until, busy[-1] if busy else 0.0,
        len(gateways) * cheapest, len(calls), max(seconds, default=0) * cheapest, counts[Said.REFUSED],
        len(late) / 60 * start.costs.changes,
    )  # fmt: skip


STORIES: dict[str, dict] = {
    "all at once": {},
    "all at once, nothing known": {"stale": False},
    "all at once, whole lists only": {"costs": Costs(keeps_changes=False)},
    "half have no clients": {"clients": 0.5},
    "twice within 10 s": {"twice_after": 8.0},
    "60 s of silence": {"down": (5.0, 65.0)},
    "down at the start, for 60 s": {"down": (0.0, 60.0)},
    "503 for 30 s at the start": {"refusing": (0.0, 30.0)},
    "a quarter of the speed": {"costs": Costs(0.1, 0.02, 0.01)},
    "one alone": {"alone": True},
}


def table(
    kind: type[PollSchedule], sizes: tuple[int, ...], out: Callable[[str], None] = print
) -> None:
    """One row for each story and size."""
    out(f"{'start':30} {'fleet':>5} {'calls':>6} {'each':>5} {'busiest':>7} {'away':>5} {'half s':>7} {'nine s':>7} "
        f"{'last s':>7} {'clients':>7} {'least s':>7} {'x least':>7} {'idle':>5} {'not':>4}")  # fmt: skip
    for name, how in STORIES.items():
        for size in sizes:
            r = play(Start(size, kind=kind, **how))
            out(f"{name:30} {size:5} {r.calls:6} {r.calls / r.gateways:5.2f} {r.busiest:7.2f} {r.refused:5} "
                f"{r.half:7.2f} {r.nine:7.2f} {r.last:7.2f} {r.last_with_clients:7.2f} "
                f"{r.least:7.2f} {r.last / r.least:7.2f} {r.idle:5.2f} {r.gateways - r.current:4}")  # fmt: skip


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", action="store_true")
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 50, 200, 1000])
    chosen = parser.parse_args()
    table(Before if chosen.before else PollSchedule, tuple(chosen.sizes))


if __name__ == "__main__":
    main()
