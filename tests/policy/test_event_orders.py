"""Each order of two or three events after the first attempt leads to exactly one final answer."""

from __future__ import annotations

import itertools

import pytest
from conftest import SECOND, GatewayHarness, entry, listed

from saffrongw.policy.actions import FailRequest, RejectRequest, SendAttempt
from saffrongw.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointListKind,
    EndpointState,
    GossipReceived,
    TimerFired,
)
from saffrongw.policy.request_lifecycle import AttemptKey
from saffrongw.policy.settings import DeduplicationScope, Idempotency

NEVER_RAN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
KINDS = {0: "safe", 1: "keyed by cell", 2: "unsafe", 3: "keyed by all", 4: "keyed by zone"}
EVENTS = ("deadline", "window over", "drains", "gone", "cell empties", "client", "peer", "timer")
OUTCOMES = tuple(AttemptOutcome)


class Case:
    """One request at one gateway; checks each action against rules 1 to 3."""

    def __init__(self, kind: int) -> None:
        self.harness = GatewayHarness(endpoints=0, connect_timeout_us=50_000)
        # Two cells and two zones of two endpoints each.
        self.harness.handle(listed(*(entry(n, cell=n % 2, zone=n // 2) for n in range(4))))
        self.cls = self.harness.settings.classes[kind]
        self.sent: list[tuple[bytes, int]] = []
        self.outcomes: dict[int, AttemptOutcome] = {}
        self.drained: set[bytes] = set()
        self.finals = 0
        self.over = False
        self._read(self.harness.send_request(1, kind=kind, left=4 * SECOND))
        assert len(self.sent) == 1

    def _read(self, actions) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                assert not self.over, "an attempt after the final answer"
                assert action.endpoint_id not in self.drained, (
                    "an attempt at a draining or removed endpoint"
                )
                self._may_repeat(action.endpoint_id)
                self.sent.append((action.endpoint_id, self.harness.now))
            elif isinstance(action, (RejectRequest, FailRequest)):
                assert not self.over, "a second final answer"
                self.over, self.finals = True, self.finals + 1
                ran = [n for n in range(len(self.sent)) if self.outcomes.get(n) not in NEVER_RAN]
                if isinstance(action, RejectRequest) and ran:
                    assert self.cls.idempotency is Idempotency.IDEMPOTENT or (
                        self.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and self.cls.deduplication_scope is DeduplicationScope.ALL
                    ), "a rejection of a request that may have run"

    def _may_repeat(self, endpoint_id: bytes) -> None:
        ran = [
            index for index in range(len(self.sent)) if self.outcomes.get(index) not in NEVER_RAN
        ]
        if not ran or self.cls.idempotency is Idempotency.IDEMPOTENT:
            return
        assert self.cls.idempotency is Idempotency.IDEMPOTENCY_KEY, (
            "a retry of a non-idempotent request that may have run"
        )
        first, at = self.sent[ran[0]]
        assert self.harness.now + 50_000 < at + self.cls.deduplication_window_us, (
            "a retry after the deduplication window"
        )
        if self.cls.deduplication_scope is DeduplicationScope.CELL:
            assert first[3] % 2 == endpoint_id[3] % 2, "a retry in another cell"
        elif self.cls.deduplication_scope is DeduplicationScope.ZONE:
            assert first[3] // 2 == endpoint_id[3] // 2, "a retry in another zone"

    def ends(self, outcome: AttemptOutcome) -> None:
        """End the attempt in flight with this outcome."""
        index = len(self.sent) - 1
        if index in self.outcomes:
            return
        self.outcomes[index] = outcome
        served = outcome is AttemptOutcome.SERVED and not self.over
        self.over = self.over or served
        self.finals += served
        self._read(
            self.harness.end_attempt(
                1, self.sent[index][0], outcome, attempt=index, is_answered=self.over
            )
        )

    def happens(self, name: str) -> None:
        """Cause the event of this name."""
        harness, endpoint_id = self.harness, self.sent[-1][0]
        if name == "deadline":
            harness.now += 4 * SECOND
            self.ends(AttemptOutcome.TIMED_OUT)
        elif name == "window over":
            harness.now += SECOND
        elif name in ("drains", "gone"):
            state = EndpointState.DRAINING if name == "drains" else EndpointState.REMOVED
            self.drained.add(endpoint_id)
            removed = entry(
                endpoint_id[3], state, cell=endpoint_id[3] % 2, zone=endpoint_id[3] // 2
            )
            self._read(harness.handle(listed(removed, kind=EndpointListKind.DELTA)))
        elif name == "cell empties":
            rest = [n for n in range(4) if n % 2 != endpoint_id[3] % 2]
            self.drained = {
                entry(n).endpoint_id for n in range(4) if n not in rest
            }  # the other endpoints are listed as ready
            self._read(harness.handle(listed(*(entry(n, cell=n % 2, zone=n // 2) for n in rest))))
        elif name == "client":
            if not self.over:
                self.over = True
                self.finals += 1  # the request needs no answer any more
                self._read(harness.handle(ClientDisconnected(1)))
        elif name == "peer":
            self._read(harness.handle(GossipReceived(1, b"\xff" * 30)))
        elif name == "timer":
            self._read(harness.handle(TimerFired(2)))
        else:
            self.ends(AttemptOutcome[name])


@pytest.mark.parametrize("kind", KINDS, ids=KINDS.values())
def test_every_order_of_events_gets_one_answer_and_no_attempt_against_the_rules(kind):
    names = EVENTS + tuple(outcome.name for outcome in OUTCOMES)
    for order in (*itertools.permutations(names, 2), *itertools.permutations(names, 3)):
        case = Case(kind)
        try:
            for name in order:
                case.happens(name)
            for _ in range(6):  # end the attempts that are still in flight
                case.ends(AttemptOutcome.CONNECTION_LOST)
                case._read(case.harness.run(SECOND))
            case.ends(AttemptOutcome.TIMED_OUT)
            assert case.finals == 1, "not exactly one final answer"
            assert not case.harness.gateway.lifecycle.requests
            assert not case.harness.gateway.lifecycle.attempts
        except AssertionError as wrong:
            raise AssertionError(f"{order}: {wrong}") from wrong


@pytest.mark.parametrize("kind", [1, 2, 4])
def test_a_planted_retry_against_the_rules_is_caught(kind, monkeypatch):
    """Planted fault: a request that may have run is retried at any endpoint, at any time."""
    monkeypatch.setattr("saffrongw.policy.retry_policy.RetryPolicy.may_send", lambda *_: True)
    monkeypatch.setattr(
        "saffrongw.policy.request_lifecycle.RequestLifecycle.attempt_ended",
        lambda self, event: (
            self.close_attempt(AttemptKey(event.request, event.attempt)),
            self.advance(request) if (request := self.requests.get(event.request)) else None,
        ),
    )
    with pytest.raises(AssertionError):
        test_every_order_of_events_gets_one_answer_and_no_attempt_against_the_rules(kind)
