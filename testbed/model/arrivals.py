"""Clients' requests drawn ahead from the scenario's seed: when, whose, through which gateways, with which retries.

Pure: the same scenario gives the same arrivals, whatever the gateways do (an open loop).
"""

from __future__ import annotations

import bisect
import hashlib
import itertools
import random
from dataclasses import dataclass

from .scenario import Clients, Plan, Scenario


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer: its quota's plan, its set of gateways, what it asks for."""

    number: int
    plan: Plan
    first: int
    spread: int
    rate: float  # requests a second that it asks for
    heeds: bool


@dataclass(frozen=True, slots=True)
class Try:
    """One try of a request, if it comes to that: through which gateway, after which wait, for how long."""

    gateway: int
    pause: int  # us after the end of the try before it
    wait: int  # us that the client waits
    leaves: int  # us after which the client goes away; 0: stays


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a client, from its first try on."""

    at: int  # us since the run began
    intent: int
    customer: Customer
    cls: int
    key: str
    tries: tuple[Try, ...]


def customers_of(scenario: Scenario) -> list[Customer]:
    """All customers, by seed."""
    found, random_ = [], random.Random(f"{scenario.seed}:customers")
    number = 1
    for plan in scenario.plan:
        least, most = scenario.spread(plan)
        for place in range(plan.customers):
            spread = random_.randint(least, most)
            use = random_.uniform(*plan.use)
            if place < plan.heavy:
                use = plan.heavy_x
            elif random_.random() < plan.full:
                use = random_.uniform(0.85, 0.97)
            heeds = random_.random() < scenario.clients.heed
            first = random_.randrange(scenario.gateways)
            found.append(Customer(number, plan, first, spread, use * plan.rate, heeds))
            number += 1
    return found


class Weights:
    """How a customer's requests are spread over its set, changing from time to time and at shifts."""

    def __init__(self, scenario: Scenario, customer: Customer) -> None:
        self.random = random.Random(f"{scenario.seed}:weights:{customer.number}")
        self.customer, self.gateways, clients = customer, scenario.gateways, scenario.clients
        changes, at = [0.0], 0.0
        while at < scenario.length_s:
            at += self.random.uniform(*clients.shift_s)
            changes.append(at)
        for number, fault in enumerate(scenario.fault):
            chosen = (
                random.Random(f"{scenario.seed}:shift:{number}:{customer.number}").random()
                < fault.share
            )
            if fault.kind == "shift" and chosen:
                changes.append(fault.at)
        self.starts = sorted(changes)
        self.sums = [self._draw(clients) for _ in self.starts]

    def _draw(self, clients: Clients) -> list[float]:
        parts = [self.random.lognormvariate(0, clients.skew) for _ in range(self.customer.spread)]
        return list(itertools.accumulate(parts))

    def gateway(self, at: float, lot: float) -> int:
        """The gateway for a request at a time, by a number from 0 to 1."""
        sums = self.sums[bisect.bisect_right(self.starts, at) - 1]
        place = min(bisect.bisect_right(sums, lot * sums[-1]), len(sums) - 1)
        return (self.customer.first + place) % self.gateways


def _times(scenario: Scenario, rate: float, random_: random.Random) -> list[float]:
    """Arrivals of a Poisson process whose rate the bursts raise, by thinning."""
    bursts = [(f.at, f.at + f.for_s, f.times) for f in scenario.fault if f.kind == "burst"]
    most = max([1.0, *(times for _, _, times in bursts)])
    found, at = [], 0.0
    if rate <= 0:
        return found
    while (at := at + random_.expovariate(rate * most)) < scenario.length_s:
        now = max([1.0, *(times for begin, end, times in bursts if begin <= at < end)])
        if random_.random() * most < now:
            found.append(at)
    return found


def draw(scenario: Scenario) -> list[Arrival]:
    """All arrivals in the order of their times."""
    found: list[Arrival] = []
    shares = list(itertools.accumulate(c.share for c in scenario.cls))
    clients = scenario.clients
    for customer in customers_of(scenario):
        random_ = random.Random(f"{scenario.seed}:arrivals:{customer.number}")
        weights = Weights(scenario, customer)
        for at in _times(scenario, customer.rate, random_):
            cls = min(bisect.bisect_right(shares, random_.random() * shares[-1]), len(shares) - 1)
            deadline, tries = scenario.cls[cls].deadline_ms * 1000, []
            for number in range(clients.retries + 1):
                pause = (
                    random_.uniform(*clients.backoff_ms) * 1000 * 2 ** (number - 1) if number else 0
                )
                wait = int(deadline * random_.uniform(*clients.patience))
                leaves = (
                    int(wait * random_.uniform(0.02, 0.9))
                    if random_.random() < clients.leave
                    else 0
                )
                gateway = weights.gateway(at, random_.random())
                tries.append(Try(gateway, int(pause), wait // 1000 * 1000, leaves))
            key = f"{random_.getrandbits(64):016x}"
            found.append(Arrival(int(at * 1e6), 0, customer, cls, key, tuple(tries)))
    found.sort(key=lambda arrival: (arrival.at, arrival.customer.number))
    return [
        Arrival(a.at, number, a.customer, a.cls, a.key, a.tries)
        for number, a in enumerate(found, 1)
    ]


def denied(scenario: Scenario, customer: int) -> bool:
    """Whether the authorisers of a scenario deny a customer."""
    share = scenario.authoriser.deny if scenario.authoriser.count else 0.0
    return share > 0 and random.Random(f"{scenario.seed}:deny:{customer}").random() < share


def digest(arrivals: list[Arrival]) -> str:
    """A short name for a list of arrivals: equal lists have equal names on every machine."""
    hashed = hashlib.sha256()
    for a in arrivals:
        hashed.update(repr((a.at, a.intent, a.customer.number, a.cls, a.key, a.tries)).encode())
    return hashed.hexdigest()[:16]
