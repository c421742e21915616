"""Settings, builders and the gateway harness that the tests share; all figures are arbitrary."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from saffrongw.policy.actions import Action, SetTimer
from saffrongw.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)
from saffrongw.policy.gateway import Gateway
from saffrongw.policy.settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    Plan,
    RequestClass,
    Settings,
)

SECOND = 1_000_000
T0 = 1_000 * SECOND  # start of the test clock: endpoints that started at 0 are warm

IDEMPOTENT = RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0
)
KEYED_CELL = RequestClass(
    500_000, 4 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, SECOND
)
NON_IDEMPOTENT = RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0
)
KEYED_ALL = dataclasses.replace(KEYED_CELL, deduplication_scope=DeduplicationScope.ALL)
KEYED_ZONE = dataclasses.replace(KEYED_CELL, deduplication_scope=DeduplicationScope.ZONE)
PLAIN = Plan(2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CONCURRENCY_LIMITED = Plan(2.0, 10.0, 2, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
WITH_CEILING = Plan(4.0, 8.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)
OVER_QUOTA_REVENUE = Plan(2.0, 10.0, 0, 1.0, 0.5, 0.0, 0.0, 0.0, 0.0)

SETTINGS = Settings(
    node_index=0,
    node_count=3,
    zone=0,
    classes=(IDEMPOTENT, KEYED_CELL, NON_IDEMPOTENT, KEYED_ALL, KEYED_ZONE),
    plans=(PLAIN, CONCURRENCY_LIMITED, WITH_CEILING, OVER_QUOTA_REVENUE),
    may_send_gossip=True,
    may_probe=True,
    may_cancel=True,
    may_hedge=True,
    max_attempts=4,
    max_retry_after_us=SECOND,
    gossip_intake=50.0,
    gossip_cost=0.01,
    health_check_cost=0.01,
    wasted_attempt_cost=0.03,
    cross_zone_cost=0.0,
    has_shared_counter=False,
    polls_endpoint_list=False,
    notification_deadline_us=10 * SECOND,
    load_report_source=LoadReportSource.NONE,
    load_report_fields=(),
    slow_start_weight=0.25,
    slow_start_duration_us=10 * SECOND,
    overload_multiple=2.0,
    overload_duration_us=2 * SECOND,
    drain_grace_us=SECOND // 2,
)


def entry(number: int, state=EndpointState.READY, cell=0, zone=0, started_at_us=0) -> EndpointEntry:
    """Return an entry of an endpoint list."""
    return EndpointEntry(bytes((10, 0, 0, number, 0, 80)), state, zone, cell, started_at_us, 1.0)


def listed(*entries: EndpointEntry, kind=EndpointListKind.COMPLETE) -> EndpointListReceived:
    """Return the event of an endpoint list from discovery."""
    return EndpointListReceived(kind, 1, tuple(entries))


class GatewayHarness:
    """One gateway with a manual clock that fires its timers."""

    def __init__(self, endpoints=4, now=T0, seed=1, **changes) -> None:
        self.now = now
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.gateway = Gateway(self.settings, seed, now)
        self.log: list[Action] = list(self.gateway.start())
        self.timers: list[tuple[int, int]] = []
        self._note(self.log)
        if endpoints:
            self.handle(listed(*(entry(i) for i in range(endpoints))))

    def _note(self, actions) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.token))

    def handle(self, event: Event) -> list[Action]:
        """Handle an event at the present time; return the resulting actions."""
        actions = list(self.gateway.handle(self.now, event))
        self._note(actions)
        self.log += actions
        return actions

    def run(self, span: int) -> list[Action]:
        """Advance the clock, firing the timers that are due; return the resulting actions."""
        end, done = self.now + span, []
        while due := [t for t in self.timers if t[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            done += self.handle(TimerFired(first[1]))
        self.now = end
        return done

    def send_request(
        self, request: int, kind=0, customer=7, plan=0, units=1.0, left=2 * SECOND, first=0, size=3
    ):
        """Handle a client's request; return the resulting actions."""
        return self.handle(
            RequestArrived(request, customer, plan, kind, units, left, first, size, False)
        )

    def end_attempt(
        self,
        request: int,
        endpoint_id: bytes,
        outcome: AttemptOutcome,
        attempt=0,
        duration_us=50_000,
        is_answered=None,
    ):
        """Handle the end of an attempt; return the resulting actions."""
        if is_answered is None:
            is_answered = outcome is AttemptOutcome.SERVED
        return self.handle(
            AttemptEnded(
                request, attempt, endpoint_id, outcome, duration_us, is_answered, 0, 0.0, ()
            )
        )


def of_type(actions, kind) -> list:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def harness() -> GatewayHarness:
    """Return a gateway with four warm endpoints."""
    return GatewayHarness()


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests() -> list[str]:
    """Return the tests that KNOWN-RED.txt lists: each entry begins with a test's id."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line.strip() for line in lines if line.startswith("tests/")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the tests that KNOWN-RED.txt lists, and pass over their failures."""
    listed = set(known_red_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that were passed over."""
    for nodeid in known_red_tests():
        terminalreporter.write_line(f"known red: {nodeid}")
