"""Ceilings over a fleet that starts: the decision modules as they are, their messages, and the true stores.

    python -m benchmarks.fleet.ceilings           the table: what is refused after a mass restart, by how messages fare

Gateways are machines of the virtual clock. Hosts here answer at once and never fail, so that only quotas and ceilings
refuse. The field keeps each customer's true stores, which no gateway can know: the ceiling's, drawn from by the first
send of every request, and the quota's. A try refused with half of the quota or more unused is one refused in vain.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

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
from testbed.simulation.machine import Sent

SECOND, MS = 1_000_000, 1_000
T0 = 1_000_000 * SECOND  # the clock at true time 0: long after any start
SERVER = b"h"
KIND = RequestClass(
    800 * MS, 2 * SECOND, 3.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0
)
PLAN = Plan(8.0, 20.0, 0, 1.0, 0.0, 1.0, 18.0, 45.0, 4.0)


def settings(node_index: int, gateways: int, plan: Plan = PLAN) -> Settings:
    """Of one gateway; one class, one plan."""
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
class Store:
    """A customer's true stores."""

    ceiling: float
    quota: float
    at: int = 0
    lowest: float = 0.0

    def lift(self, now: int, plan: Plan) -> None:
        """Let both fill."""
        span, self.at = (now - self.at) / SECOND, now
        self.ceiling = min(plan.ceiling_burst, self.ceiling + plan.ceiling_rate * span)
        self.quota = min(plan.burst, self.quota + plan.rate * span)

    def take(self, units: float) -> None:
        """One request's first send."""
        self.ceiling -= units
        self.lowest = min(self.lowest, self.ceiling)
        self.quota = max(0.0, self.quota - units)


class Node:
    """One life of one gateway."""

    def __init__(self, world: World, node_index: int, now: int) -> None:
        self.world, self.node_index, self.timers, self.orders = world, node_index, [], 0
        self.gateway = world.kind(
            settings(node_index, world.gateways, world.plan), node_index + 17 * now, now
        )
        entry = EndpointEntry(SERVER, EndpointState.READY, 0, 0, 0, 1.0)
        self.first = self._do(now, self.gateway.start(now - world.loads))
        self.first += self.feed(now, EndpointListReceived(EndpointListKind.COMPLETE, 1, (entry,)))

    def next_at(self) -> int:
        """The next timer."""
        return self.timers[0][0] if self.timers else 1 << 62

    def due(self, now: int) -> Sent:
        """Timers and answers whose time has come."""
        out, self.first = self.first, []
        while self.timers and self.timers[0][0] <= now:
            out += self.feed(now, heapq.heappop(self.timers)[2])
        return out

    def receive(self, now: int, sender: str, message: bytes) -> Sent:
        """A datagram."""
        return self.feed(now, GossipReceived(int(sender[1:]), message))

    def feed(self, now: int, event: Event) -> Sent:
        """One event to the module."""
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
                self.world.sent(self.node_index, action.request)
                end = AttemptEnded(
                    action.request, 0, SERVER, AttemptOutcome.SERVED, 40 * MS, True, 0, 0.0, ()
                )
                self._later(now + 40 * MS, end)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.world.refused(action.request)
        return out


@dataclass
class World:
    """Gateways, customers and what became of their tries."""

    gateways: int = 60
    spread: int = 16
    customers: int = 60
    rate: tuple[float, float] = (1.0, 4.0)  # tries a second of most
    heavy: float = 0.1  # share of customers that ask for several times their quota
    heavy_rate: float = 26.0
    link: Link = field(default_factory=lambda: Link(delay=(2_500, 18_000), loss=0.03))
    kind: Callable[..., Gateway] = Gateway
    plan: Plan = PLAN
    loads: int = 400 * MS  # of a process, until it decides
    seed: int = 1

    def __post_init__(self) -> None:
        self.fleet, self.random = (
            Fleet(f"ceilings:{self.seed}", self.link),
            random.Random(self.seed),
        )
        self.stores: dict[int, Store] = {}
        self.in_flight: dict[int, tuple[int, float]] = {}
        self.number = 0
        self.counts: Counter[str] = Counter()
        self.from_at, self.until = 0, 1 << 62  # the tries that are counted: by their time
        for node_index in range(self.gateways):
            self.fleet.add(
                f"g{node_index}",
                lambda name, _life, now, _r: Node(self, int(name[1:]), now),
                offset=T0,
            )
        for customer in range(1, self.customers + 1):
            self.stores[customer] = Store(self.plan.ceiling_burst, self.plan.burst)
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
        if self.from_at <= self.fleet.now < self.until:
            self.counts["tries"] += 1
        event = RequestArrived(
            self.number, customer, 0, 0, 1.0, 2 * SECOND, first, self.spread, False
        )
        self.fleet.call(f"g{node_index}", lambda machine, now: machine.feed(now, event))

    def sent(self, node_index: int, request: int) -> None:
        """A first send: the true stores lose its units."""
        customer, units = self.in_flight.pop(request)
        store = self.stores[customer]
        store.lift(self.fleet.now, self.plan)
        store.take(units)
        self.counts["sent"] += 1

    def refused(self, request: int) -> None:
        """A final answer of the gateway's own."""
        customer, _ = self.in_flight.pop(request)
        store = self.stores[customer]
        store.lift(self.fleet.now, self.plan)
        if self.from_at <= self.fleet.now < self.until:
            self.counts["refused"] += 1
            self.counts["in vain"] += store.quota >= self.plan.burst / 2

    def restart(self, at: int, share: float, away: int = SECOND) -> None:
        """Kill a share of the gateways at one moment; they are back, with nothing, after a while."""
        for name in self.random.sample(sorted(self.fleet.nodes), int(share * self.gateways)):
            self.fleet.at(at, lambda name=name: self.fleet.kill(name))
            self.fleet.at(at + away, lambda name=name: self.fleet.start(name))

    def window(self, from_at: int, span: int) -> None:
        """Count only the tries of this time."""
        self.from_at, self.until = from_at, from_at + span

    @property
    def lowest(self) -> float:
        """The least that any ceiling's store held (units)."""
        return min(store.lowest for store in self.stores.values())


def rejecting_at_once(settings: Settings, seed: int, now_us: int) -> Gateway:
    """Build a gateway as it was: one that lacks ceiling units rejects, and requests the next ones."""
    gateway = Gateway(settings, seed, now_us)

    def begin_grant_wait(request: RequestState) -> bool:
        if request.lacks_ceiling and request.quota is not None:
            gateway.coordinator_reports.report(request.quota)
        return False

    setattr(gateway.admission, "begin_grant_wait", begin_grant_wait)  # noqa: B010
    return gateway


def row(world: World, event: int = 0, share: float = 0.0) -> tuple[float, float, float]:
    """Refused in vain and refused at all, of the tries in the 4 s after the event; the lowest store."""
    if share:
        world.restart(event, share)
    world.window(event + (SECOND if share else 0), 4 * SECOND)
    world.fleet.run(event + 6 * SECOND)
    tries = max(1, world.counts["tries"])
    return world.counts["in vain"] / tries, world.counts["refused"] / tries, world.lowest


LINKS = {
    "3% lost": Link(delay=(2_500, 18_000), loss=0.03),
    "30% lost, doubled, reordered": Link((2_500, 18_000), 0.3, 0.2, 0.2, 400_000),
    "every message lost": Link(loss=1.0),
}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    print(
        f"{'gateways':>8} {'event':22} {'messages':30} {'version':8} {'in vain':>8} {'refused':>8} {'lowest':>7}"
    )
    for gateways, spread in ((60, 16), (200, 23)):
        for event, share in (("all start", 0.0), ("7 in 10 restart", 0.7)):
            for name, link in LINKS.items():
                for version, kind in (("before", rejecting_at_once), ("now", Gateway)):
                    rows = [
                        row(
                            World(gateways, spread, gateways, link=link, kind=kind, seed=s),
                            10 * SECOND * bool(share),
                            share,
                        )
                        for s in seeds
                    ]
                    vain, refused = (sum(r[i] for r in rows) / len(rows) for i in (0, 1))
                    lowest = min(r[2] for r in rows)
                    print(
                        f"{gateways:8} {event:22} {name:30} {version:8} {vain:8.3f} {refused:8.3f} {lowest:7.2f}"
                    )


if __name__ == "__main__":
    main()
