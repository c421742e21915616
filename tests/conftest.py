"""Settings and shorthands for the tests: all figures here are made up."""

from __future__ import annotations

import dataclasses

import pytest

from orchidlane import interface as api
from orchidlane.rules import Gateway

SECOND = 1_000_000
T0 = 1_000 * SECOND  # a clock time well after any start

SAFE = api.RequestClass(500_000, 2 * SECOND, 1.0, 0.0, api.Effect.SAFE, api.Group.ALL, 0)
KEYED_CELL = api.RequestClass(500_000, 4 * SECOND, 1.0, 0.0, api.Effect.KEYED, api.Group.CELL, SECOND)
UNSAFE = api.RequestClass(500_000, 2 * SECOND, 1.0, 0.0, api.Effect.UNSAFE, api.Group.ALL, 0)
KEYED_ALL = dataclasses.replace(KEYED_CELL, group=api.Group.ALL)
KEYED_ZONE = dataclasses.replace(KEYED_CELL, group=api.Group.ZONE)
PLAIN = api.Plan(2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CAPPED = api.Plan(2.0, 10.0, 2, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CEILED = api.Plan(4.0, 8.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)
IDLE_EARNS = api.Plan(2.0, 10.0, 0, 1.0, 0.5, 0.0, 0.0, 0.0, 0.0)

SETTINGS = api.Settings(
    rank=0,
    gateways=3,
    zone=0,
    classes=(SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE),
    plans=(PLAIN, CAPPED, CEILED, IDLE_EARNS),
    may_tell_peers=True,
    may_probe=True,
    may_cancel=True,
    may_copy=True,
    max_attempts=4,
    max_retry_after=SECOND,
    peer_intake=50.0,
    peer_charge=0.01,
    probe_charge=0.01,
    waste_charge=0.03,
    cross_zone_charge=0.0,
    has_counter=False,
    asks_for_list=False,
    ask_within=10 * SECOND,
    reports=api.Reports.NONE,
    report_names=(),
    cold_from=0.25,
    warm_within=10 * SECOND,
    fall_multiple=2.0,
    overload_for=2 * SECOND,
    drain_grace=SECOND // 2,
)


def entry(number: int, phase=api.Phase.READY, cell=0, zone=0, launched=0) -> api.ServerEntry:
    """A line of a server list."""
    return api.ServerEntry(bytes((10, 0, 0, number, 0, 80)), phase, zone, cell, launched, 1.0)


def listed(*entries: api.ServerEntry, kind=api.ListKind.WHOLE) -> api.ServerListed:
    """News of discovery."""
    return api.ServerListed(kind, 1, tuple(entries))


class Bench:
    """One gateway with a clock, its requests numbered from 1."""

    def __init__(self, servers=4, now=T0, seed=1, **changes) -> None:
        self.now = now
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.gateway = Gateway(self.settings, seed, now)
        self.log: list[api.Action] = list(self.gateway.start())
        self.timers: list[tuple[int, int]] = []
        self._note(self.log)
        if servers:
            self.feed(listed(*(entry(i) for i in range(servers))))

    def _note(self, actions) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.span, action.token))

    def feed(self, event: api.Event) -> list[api.Action]:
        """One event now; the actions that it led to."""
        actions = list(self.gateway.handle(self.now, event))
        self._note(actions)
        self.log += actions
        return actions

    def run(self, span: int) -> list[api.Action]:
        """Let time pass and the timers fire."""
        end, done = self.now + span, []
        while due := [t for t in self.timers if t[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            done += self.feed(api.TimerFired(first[1]))
        self.now = end
        return done

    def ask(self, request: int, kind=0, customer=7, plan=0, units=1.0, left=2 * SECOND, first=0, size=3):
        """A client's request."""
        return self.feed(api.RequestArrived(request, customer, plan, kind, units, left, first, size, False))

    def outcome(
        self, request: int, server: bytes, outcome: api.Outcome, attempt=0, took=50_000, answered=None
    ):
        """How an attempt ended."""
        if answered is None:
            answered = outcome is api.Outcome.SERVED
        return self.feed(api.AttemptEnded(request, attempt, server, outcome, took, answered, 0, 0.0, ()))


def of(actions, kind) -> list:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def bench() -> Bench:
    """A gateway with four warm servers."""
    return Bench()
