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
KINDS = {
    0: "idempotent",
    1: "keyed by cell",
    2: "non-idempotent",
    3: "keyed by all",
    4: "keyed by zone",
}
EVENTS = (
    "deadline",
    "window expired",
    "draining",
    "removed",
    "cell removed",
    "client disconnects",
    "malformed gossip",
    "timer fires",
)
OUTCOMES = tuple(AttemptOutcome)


class Case:
    """One request at one gateway; checks each action against rules 1 to 3."""

    def __init__(self, kind: int) -> None:
        self.harness = GatewayHarness(endpoints=0, connect_timeout_us=50_000)
        # Two cells and two zones of two endpoints each.
        self.harness.handle(listed(*(entry(n, cell=n % 2, zone=n // 2) for n in range(4))))
        self.request_class = self.harness.settings.classes[kind]
        self.sent: list[tuple[bytes, int]] = []
        self.outcomes: dict[int, AttemptOutcome] = {}
        self.drained: set[bytes] = set()
        self.final_answers = 0
        self.is_answered = False
        self._check(self.harness.send_request(1, kind=kind, left=4 * SECOND))
        assert len(self.sent) == 1

    def _check(self, actions) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                assert not self.is_answered, "an attempt after the final answer"
                assert action.endpoint_id not in self.drained, (
                    "an attempt at a draining or removed endpoint"
                )
                self._check_retry(action.endpoint_id)
                self.sent.append((action.endpoint_id, self.harness.now))
            elif isinstance(action, (RejectRequest, FailRequest)):
                assert not self.is_answered, "a second final answer"
                self.is_answered, self.final_answers = True, self.final_answers + 1
                ran = [n for n in range(len(self.sent)) if self.outcomes.get(n) not in NEVER_RAN]
                if isinstance(action, RejectRequest) and ran:
                    assert self.request_class.idempotency is Idempotency.IDEMPOTENT or (
                        self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and self.request_class.deduplication_scope is DeduplicationScope.ALL
                    ), "a rejection of a request that may have run"

    def _check_retry(self, endpoint_id: bytes) -> None:
        ran = [
            index for index in range(len(self.sent)) if self.outcomes.get(index) not in NEVER_RAN
        ]
        if not ran or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY, (
            "a retry of a non-idempotent request that may have run"
        )
        first, at = self.sent[ran[0]]
        assert self.harness.now + 50_000 < at + self.request_class.deduplication_window_us, (
            "a retry after the deduplication window"
        )
        if self.request_class.deduplication_scope is DeduplicationScope.CELL:
            assert first[3] % 2 == endpoint_id[3] % 2, "a retry in another cell"
        elif self.request_class.deduplication_scope is DeduplicationScope.ZONE:
            assert first[3] // 2 == endpoint_id[3] // 2, "a retry in another zone"

    def end_attempt(self, outcome: AttemptOutcome) -> None:
        """End the attempt in flight with this outcome."""
        index = len(self.sent) - 1
        if index in self.outcomes:
            return
        self.outcomes[index] = outcome
        served = outcome is AttemptOutcome.SERVED and not self.is_answered
        self.is_answered = self.is_answered or served
        self.final_answers += served
        self._check(
            self.harness.end_attempt(
                1, self.sent[index][0], outcome, attempt=index, is_answered=self.is_answered
            )
        )

    def trigger(self, name: str) -> None:
        """Cause the event of this name."""
        harness, endpoint_id = self.harness, self.sent[-1][0]
        if name == "deadline":
            harness.now += 4 * SECOND
            self.end_attempt(AttemptOutcome.TIMED_OUT)
        elif name == "window expired":
            harness.now += SECOND
        elif name in ("draining", "removed"):
            state = EndpointState.DRAINING if name == "draining" else EndpointState.REMOVED
            self.drained.add(endpoint_id)
            removed = entry(
                endpoint_id[3], state, cell=endpoint_id[3] % 2, zone=endpoint_id[3] // 2
            )
            self._check(harness.handle(listed(removed, kind=EndpointListKind.DELTA)))
        elif name == "cell removed":
            rest = [n for n in range(4) if n % 2 != endpoint_id[3] % 2]
            self.drained = {
                entry(n).endpoint_id for n in range(4) if n not in rest
            }  # the other endpoints are listed as ready
            self._check(harness.handle(listed(*(entry(n, cell=n % 2, zone=n // 2) for n in rest))))
        elif name == "client disconnects":
            if not self.is_answered:
                self.is_answered = True
                self.final_answers += 1  # the request needs no answer any more
                self._check(harness.handle(ClientDisconnected(1)))
        elif name == "malformed gossip":
            self._check(harness.handle(GossipReceived(1, b"\xff" * 30)))
        elif name == "timer fires":
            self._check(harness.handle(TimerFired(2)))
        else:
            self.end_attempt(AttemptOutcome[name])


@pytest.mark.parametrize("kind", KINDS, ids=KINDS.values())
def test_every_order_of_events_gets_one_answer_and_no_attempt_against_the_rules(kind):
    names = EVENTS + tuple(outcome.name for outcome in OUTCOMES)
    for order in (*itertools.permutations(names, 2), *itertools.permutations(names, 3)):
        case = Case(kind)
        try:
            for name in order:
                case.trigger(name)
            for _ in range(6):  # end the attempts that are still in flight
                case.end_attempt(AttemptOutcome.CONNECTION_LOST)
                case._check(case.harness.run(SECOND))
            case.end_attempt(AttemptOutcome.TIMED_OUT)
            assert case.final_answers == 1, "not exactly one final answer"
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
