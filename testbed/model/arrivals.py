"""Draws all client requests in advance from the scenario's seed: times, customers, gateways and retries.

The load is open-loop: the same scenario gives the same arrivals, whatever the gateways do.
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
    """One customer: its plan, its set of gateways and its request rate."""

    number: int
    plan: Plan
    first: int
    spread: int
    rate: float  # requests a second
    heeds: bool


@dataclass(frozen=True, slots=True)
class Try:
    """One attempt of a request, made if the attempts before it fail."""

    gateway: int
    pause: int  # us after the end of the attempt before it
    wait: int  # us that the client waits for an answer
    leaves: int  # us after which the client disconnects; 0: never


@dataclass(frozen=True, slots=True)
class Arrival:
    """One client request with all its possible attempts."""

    at: int  # us since the run began
    intent: int
    customer: Customer
    cls: int
    key: str
    tries: tuple[Try, ...]


def customers_of(scenario: Scenario) -> list[Customer]:
    """Draws all customers from the scenario's seed."""
    result, rng = [], random.Random(f"{scenario.seed}:customers")
    number = 1
    for plan in scenario.plan:
        least, most = scenario.spread(plan)
        for place in range(plan.customers):
            spread = rng.randint(least, most)
            use = rng.uniform(*plan.use)
            if place < plan.heavy:
                use = plan.heavy_x
            elif rng.random() < plan.full:
                use = rng.uniform(0.85, 0.97)
            heeds = rng.random() < scenario.clients.heed
            first = rng.randrange(scenario.gateways)
            result.append(Customer(number, plan, first, spread, use * plan.rate, heeds))
            number += 1
    return result


class Weights:
    """How a customer's requests are distributed over its gateways; redrawn at random times and at ``shift`` faults."""

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
        self.change_times = sorted(changes)
        self.cumulative_weights = [self._draw(clients) for _ in self.change_times]

    def _draw(self, clients: Clients) -> list[float]:
        weights = [self.random.lognormvariate(0, clients.skew) for _ in range(self.customer.spread)]
        return list(itertools.accumulate(weights))

    def gateway(self, at: float, lot: float) -> int:
        """The gateway for a request at time ``at``; ``lot`` is a random number from 0 to 1."""
        cumulative_weights = self.cumulative_weights[bisect.bisect_right(self.change_times, at) - 1]
        place = min(
            bisect.bisect_right(cumulative_weights, lot * cumulative_weights[-1]),
            len(cumulative_weights) - 1,
        )
        return (self.customer.first + place) % self.gateways


def _arrival_times(scenario: Scenario, rate: float, rng: random.Random) -> list[float]:
    """Arrival times of a Poisson process whose rate bursts raise, drawn by thinning."""
    bursts = [(f.at, f.at + f.for_s, f.times) for f in scenario.fault if f.kind == "burst"]
    most = max([1.0, *(times for _, _, times in bursts)])
    result, at = [], 0.0
    if rate <= 0:
        return result
    while (at := at + rng.expovariate(rate * most)) < scenario.length_s:
        now = max([1.0, *(times for begin, end, times in bursts if begin <= at < end)])
        if rng.random() * most < now:
            result.append(at)
    return result


def draw(scenario: Scenario) -> list[Arrival]:
    """Draws all arrivals, in the order of their times."""
    result: list[Arrival] = []
    shares = list(itertools.accumulate(c.share for c in scenario.cls))
    clients = scenario.clients
    for customer in customers_of(scenario):
        rng = random.Random(f"{scenario.seed}:arrivals:{customer.number}")
        weights = Weights(scenario, customer)
        for at in _arrival_times(scenario, customer.rate, rng):
            cls = min(bisect.bisect_right(shares, rng.random() * shares[-1]), len(shares) - 1)
            deadline, tries = scenario.cls[cls].deadline_ms * 1000, []
            for number in range(clients.retries + 1):
                pause = rng.uniform(*clients.backoff_ms) * 1000 * 2 ** (number - 1) if number else 0
                wait = int(deadline * rng.uniform(*clients.patience))
                leaves = int(wait * rng.uniform(0.02, 0.9)) if rng.random() < clients.leave else 0
                gateway = weights.gateway(at, rng.random())
                tries.append(Try(gateway, int(pause), wait // 1000 * 1000, leaves))
            key = f"{rng.getrandbits(64):016x}"
            result.append(Arrival(int(at * 1e6), 0, customer, cls, key, tuple(tries)))
    result.sort(key=lambda arrival: (arrival.at, arrival.customer.number))
    return [
        Arrival(a.at, number, a.customer, a.cls, a.key, a.tries)
        for number, a in enumerate(result, 1)
    ]


def denied(scenario: Scenario, customer: int) -> bool:
    """Whether the authorisers of a scenario deny a customer."""
    share = scenario.authoriser.deny if scenario.authoriser.count else 0.0
    return share > 0 and random.Random(f"{scenario.seed}:deny:{customer}").random() < share


def digest(arrivals: list[Arrival]) -> str:
    """A short hash of a list of arrivals, the same on every machine."""
    hashed = hashlib.sha256()
    for a in arrivals:
        hashed.update(repr((a.at, a.intent, a.customer.number, a.cls, a.key, a.tries)).encode())
    return hashed.hexdigest()[:16]
