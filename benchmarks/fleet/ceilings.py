"""Requests that rate ceilings reject while a fleet starts, compared with the true unit balances.

    python -m benchmarks.fleet.ceilings     rejections after a mass restart, by message loss

The gateways run the real policy and its gossip on the virtual clock. Endpoints answer after a
fixed time and never fail, so that only quotas and ceilings reject. The world keeps each customer's
true balances, which no gateway can know: that of the ceiling, from which the first attempt of
every request takes units, and that of the quota. A request is rejected in vain if half of the
quota or more is unused at that time.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from saffrongw.policy.actions import (
    Action,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendGossip,
    SetTimer,
)
from saffrongw.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from saffrongw.policy.gateway import Gateway
from saffrongw.policy.request_state import RequestState
from saffrongw.policy.settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    Plan,
    RequestClass,
    Settings,
)
from testbed.simulation.clock import Fleet, Link
from testbed.simulation.machine import Machine, Sent

SECOND, MS = 1_000_000, 1_000  # microseconds
# The gateways' clock at true time 0: far from 0, as on a machine that has run for long.
T0 = 1_000_000 * SECOND
ATTEMPT_DURATION_US = 40 * MS
NEVER_US = 1 << 62
ENDPOINT = b"h"
KIND = RequestClass(
    800 * MS, 2 * SECOND, 3.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0
)
PLAN = Plan(8.0, 20.0, 0, 1.0, 0.0, 1.0, 18.0, 45.0, 4.0)


def settings(node_index: int, gateways: int, plan: Plan = PLAN) -> Settings:
    """Return the settings of one gateway, with one class and one plan."""
    return Settings(
        node_index=node_index,
        node_count=gateways,
        zone=0,
        classes=(KIND,),
        plans=(plan,),
        may_send_gossip=True,
        may_probe=False,
        may_cancel=True,
        may_hedge=True,
        max_attempts=4,
        max_retry_after_us=SECOND,
        gossip_intake=40.0,
        gossip_cost=0.01,
        health_check_cost=0.01,
        wasted_attempt_cost=0.03,
        cross_zone_cost=0.01,
        has_shared_counter=False,
        polls_endpoint_list=False,
        notification_deadline_us=10 * SECOND,
        load_report_source=LoadReportSource.NONE,
        load_report_fields=(),
        slow_start_weight=0.25,
        slow_start_duration_us=18 * SECOND,
        overload_multiple=3.0,
        overload_duration_us=3 * SECOND,
        drain_grace_us=SECOND,
    )


@dataclass(slots=True)
class CustomerStore:
    """The true unit balances of a customer's ceiling and quota."""

    ceiling: float
    quota: float
    refilled_at: int = 0
    lowest: float = 0.0

    def refill(self, now: int, plan: Plan) -> None:
        """Add the units for the time since the last refill."""
        span, self.refilled_at = (now - self.refilled_at) / SECOND, now
        self.ceiling = min(plan.ceiling_burst, self.ceiling + plan.ceiling_rate * span)
        self.quota = min(plan.burst, self.quota + plan.rate * span)

    def take(self, units: float) -> None:
        """Take the units of a request's first attempt."""
        self.ceiling -= units
        self.lowest = min(self.lowest, self.ceiling)
        self.quota = max(0.0, self.quota - units)


class Node:
    """One incarnation of one gateway."""

    def __init__(self, world: World, node_index: int, now: int) -> None:
        """Start the gateway, with one endpoint."""
        self.world, self.node_index = world, node_index
        # Due time, sequence number, event.
        self.timers: list[tuple[int, int, Event]] = []
        self.orders = 0
        self.gateway = world.kind(
            settings(node_index, world.gateways, world.plan), node_index + 17 * now, now
        )
        entry = EndpointEntry(ENDPOINT, EndpointState.READY, 0, 0, 0, 1.0)
        self.first = self._do(now, self.gateway.start(now - world.load_time))
        self.first += self.feed(now, EndpointListReceived(EndpointListKind.COMPLETE, 1, (entry,)))

    def next_at(self) -> int:
        """Return when the next timer is due."""
        return self.timers[0][0] if self.timers else NEVER_US

    def due(self, now: int) -> Sent:
        """Handle the timers and outcomes that are due."""
        out, self.first = self.first, []
        while self.timers and self.timers[0][0] <= now:
            out += self.feed(now, heapq.heappop(self.timers)[2])
        return out

    def receive(self, now: int, sender: str, message: bytes) -> Sent:
        """Handle a datagram."""
        return self.feed(now, GossipReceived(int(sender[1:]), message))

    def feed(self, now: int, event: Event) -> Sent:
        """Handle one event."""
        return self._do(now, self.gateway.handle(now, event))

    def _later(self, at: int, event: Event) -> None:
        self.orders += 1
        heapq.heappush(self.timers, (at, self.orders, event))

    def _do(self, now: int, actions: list[Action]) -> Sent:
        out: Sent = []
        for action in actions:
            if isinstance(action, SetTimer):
                self._later(now + action.delay_us, TimerFired(action.token))
            elif isinstance(action, SendGossip):
                out.append((f"g{action.peer}", action.body))
            elif isinstance(action, SendAttempt):
                self.world.sent(action.request)
                end = AttemptEnded(
                    action.request,
                    0,
                    ENDPOINT,
                    AttemptOutcome.SERVED,
                    ATTEMPT_DURATION_US,
                    True,
                    0,
                    0.0,
                    (),
                )
                self._later(now + ATTEMPT_DURATION_US, end)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.world.rejected(action.request)
        return out


@dataclass
class World:
    """Gateways, customers and the outcomes of their requests."""

    gateways: int = 60
    spread: int = 16
    customers: int = 60
    # Requests a second of most customers.
    rate: tuple[float, float] = (1.0, 4.0)
    # Share of the customers that request several times their quota.
    heavy: float = 0.1
    heavy_rate: float = 26.0
    link: Link = field(default_factory=lambda: Link(delay=(2_500, 18_000), loss=0.03))
    kind: Callable[..., Gateway] = Gateway
    plan: Plan = PLAN
    # How long a process loads before it handles its first event.
    load_time: int = 400 * MS
    seed: int = 1

    def __post_init__(self) -> None:
        """Start all gateways and draw each customer's first request."""
        self.fleet = Fleet(f"ceilings:{self.seed}", self.link)
        self.random = random.Random(self.seed)
        self.stores: dict[int, CustomerStore] = {}
        self.in_flight: dict[int, tuple[int, float]] = {}
        self.number = 0
        self.counts: Counter[str] = Counter()
        # Only requests within this time window are counted.
        self.counted_from, self.counted_until = 0, NEVER_US
        for node_index in range(self.gateways):
            self.fleet.add(
                f"g{node_index}",
                lambda name, _incarnation, now, _random: Node(self, int(name[1:]), now),
                offset=T0,
            )
        for customer in range(1, self.customers + 1):
            self.stores[customer] = CustomerStore(self.plan.ceiling_burst, self.plan.burst)
            rate = (
                self.heavy_rate
                if customer <= self.heavy * self.customers
                else self.random.uniform(*self.rate)
            )
            self._next(customer, rate, self.random.randrange(self.gateways))

    def _next(self, customer: int, rate: float, first: int) -> None:
        at = self.fleet.now + int(self.random.expovariate(rate) * SECOND)
        self.fleet.at(at, lambda: self._arrives(customer, rate, first))

    def _arrives(self, customer: int, rate: float, first: int) -> None:
        self._next(customer, rate, first)
        node_index = (first + self.random.randrange(self.spread)) % self.gateways
        node = self.fleet.nodes[f"g{node_index}"]
        if node.machine is None:
            return
        self.number += 1
        self.in_flight[self.number] = customer, 1.0
        if self.counted_from <= self.fleet.now < self.counted_until:
            self.counts["tries"] += 1
        event = RequestArrived(
            self.number, customer, 0, 0, 1.0, 2 * SECOND, first, self.spread, False
        )
        self.fleet.call(f"g{node_index}", lambda machine, now: _feed(machine, now, event))

    def sent(self, request: int) -> None:
        """Record a first attempt: take its units from the true balances."""
        customer, units = self.in_flight.pop(request)
        store = self.stores[customer]
        store.refill(self.fleet.now, self.plan)
        store.take(units)
        self.counts["sent"] += 1

    def rejected(self, request: int) -> None:
        """Record a rejection or failure that the gateway answered itself."""
        customer, _ = self.in_flight.pop(request)
        store = self.stores[customer]
        store.refill(self.fleet.now, self.plan)
        if self.counted_from <= self.fleet.now < self.counted_until:
            self.counts["refused"] += 1
            self.counts["in vain"] += store.quota >= self.plan.burst / 2

    def restart(self, at: int, share: float, down_for: int = SECOND) -> None:
        """Kill a share of the gateways at once; each restarts without state after ``down_for``."""
        for name in self.random.sample(sorted(self.fleet.nodes), int(share * self.gateways)):
            self.fleet.at(at, partial(self.fleet.kill, name))
            self.fleet.at(at + down_for, partial(self.fleet.start, name))

    def count_window(self, start: int, span: int) -> None:
        """Count only the requests in this time window."""
        self.counted_from, self.counted_until = start, start + span

    @property
    def lowest(self) -> float:
        """Return the lowest true balance of any ceiling."""
        return min(store.lowest for store in self.stores.values())


def _feed(machine: Machine, now: int, event: Event) -> Sent:
    assert isinstance(machine, Node)
    return machine.feed(now, event)


def rejecting_at_once(settings: Settings, seed: int, now_us: int) -> Gateway:
    """Build a gateway that does not wait for grants, as the previous version did.

    It rejects a request at once if units are missing, and asks for units for later requests.
    """
    gateway = Gateway(settings, seed, now_us)

    def begin_grant_wait(request: RequestState) -> bool:
        if request.lacks_ceiling and request.quota is not None:
            gateway.coordinator_reports.report(request.quota)
        return False

    setattr(gateway.admission, "begin_grant_wait", begin_grant_wait)  # noqa: B010
    return gateway


class Rejections(NamedTuple):
    """Shares of requests rejected in vain and in total, and the lowest ceiling balance."""

    in_vain: float
    at_all: float
    lowest: float


def measure(world: World, event: int = 0, share: float = 0.0) -> Rejections:
    """Measure 4 s of requests after a restart of a share of the fleet, or after its start."""
    if share:
        world.restart(event, share)
    world.count_window(event + (SECOND if share else 0), 4 * SECOND)
    world.fleet.run(event + 6 * SECOND)
    tries = max(1, world.counts["tries"])
    return Rejections(
        world.counts["in vain"] / tries, world.counts["refused"] / tries, world.lowest
    )


LINKS = {
    "3% lost": Link(delay=(2_500, 18_000), loss=0.03),
    "30% lost, doubled, reordered": Link((2_500, 18_000), 0.3, 0.2, 0.2, 400_000),
    "every message lost": Link(loss=1.0),
}


EVENTS = (("all start", 0.0), ("7 in 10 restart", 0.7))
VERSIONS: tuple[tuple[str, Callable[..., Gateway]], ...] = (
    ("before", rejecting_at_once),
    ("now", Gateway),
)


def print_row(
    fleet: tuple[int, int], event: tuple[str, float], link: tuple[str, Link], seeds: range
) -> None:
    """Print the rejections of both versions; ``fleet`` is its size and its replica set size."""
    gateways, spread = fleet
    event_name, share = event
    start = 10 * SECOND * bool(share)
    for version, kind in VERSIONS:
        results = []
        for seed in seeds:
            world = World(gateways, spread, gateways, link=link[1], kind=kind, seed=seed)
            results.append(measure(world, start, share))
        in_vain = sum(result.in_vain for result in results) / len(results)
        at_all = sum(result.at_all for result in results) / len(results)
        lowest = min(result.lowest for result in results)
        figures = f"{in_vain:8.3f} {at_all:8.3f} {lowest:7.2f}"
        print(f"{gateways:8} {event_name:22} {link[0]:30} {version:8} {figures}")


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    columns = f"{'in vain':>8} {'refused':>8} {'lowest':>7}"
    print(f"{'gateways':>8} {'event':22} {'messages':30} {'version':8} {columns}")
    for fleet, event, link in itertools.product(((60, 16), (200, 23)), EVENTS, LINKS.items()):
        print_row(fleet, event, link, seeds)


if __name__ == "__main__":
    main()
