"""Retries: no effect twice (rule 2), and no multiplied load."""

from __future__ import annotations

import pytest
from conftest import SECOND, Bench, entry, listed, of
from policy_rig import final_answers

from saffrongw.policy.actions import (
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)
from saffrongw.policy.retry_policy import FINAL_ANSWER_MARGIN_US

SAFE_KIND, CELL_KIND, UNSAFE_KIND, ALL_KIND, ZONE_KIND = range(5)
NEVER_RAN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
MAY_HAVE_RUN = (
    AttemptOutcome.ERROR,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.CANCELLED,
)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected(bench, outcome):
    send = of(bench.ask(1, kind=UNSAFE_KIND), SendAttempt)[0]
    bench.now += 10_000
    actions = bench.outcome(1, send.endpoint_id, outcome)
    assert not of(actions, (SendAttempt, RejectRequest))
    assert of(actions, FailRequest) == [FailRequest(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_a_non_idempotent_request_that_never_ran_is_retried(bench, outcome):
    send = of(bench.ask(1, kind=UNSAFE_KIND), SendAttempt)[0]
    assert of(bench.outcome(1, send.endpoint_id, outcome), SendAttempt)


def test_a_non_idempotent_request_is_not_hedged(bench):
    bench.ask(1, kind=UNSAFE_KIND)
    assert not of(bench.run(3 * SECOND), SendAttempt)


@pytest.mark.parametrize(("kind", "near"), [(CELL_KIND, "cell"), (ZONE_KIND, "zone")])
def test_a_request_with_an_idempotency_key_stays_in_its_deduplication_scope(kind, near):
    for seed in range(12):
        bench = Bench(endpoints=0, seed=seed)
        where = {entry(i).endpoint_id: i % 2 for i in range(6)}
        bench.feed(listed(*(entry(i, **{near: i % 2}) for i in range(6))))
        send = of(bench.ask(1, kind=kind), SendAttempt)[0]
        bench.now += 10_000
        retries = of(
            bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt
        )
        assert [where[a.endpoint_id] for a in retries] == [where[send.endpoint_id]]


def test_a_request_with_an_idempotency_key_fails_if_its_scope_has_no_endpoint():
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(1, cell=1)))
    send = of(bench.ask(1, kind=CELL_KIND), SendAttempt)[0]
    bench.feed(listed(entry(2, cell=2)))
    bench.now += 10_000
    assert not of(bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt)
    bench.run(2 * SECOND)
    assert final_answers(bench, 1) == [FailRequest(1)]


def test_a_request_with_an_idempotency_key_is_not_retried_after_its_window(bench):
    send = of(bench.ask(1, kind=ALL_KIND, left=4 * SECOND), SendAttempt)[0]
    bench.now += SECOND + 1
    assert not of(bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt)
    bench.run(4 * SECOND)
    assert final_answers(bench, 1) == [RejectRequest(1, 0)]


@pytest.mark.parametrize("connects", [0, 250_000])
def test_a_retry_that_could_connect_after_the_deduplication_window_is_not_sent(
    connects,
):
    """An attempt begins when its connection is up: it would run again after the window."""
    for early in (False, True):
        bench = Bench(connect_timeout_us=connects)
        send = of(bench.ask(1, kind=ALL_KIND, left=4 * SECOND), SendAttempt)[0]
        bench.now += SECOND - FINAL_ANSWER_MARGIN_US - connects - early
        retries = of(
            bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt
        )
        assert bool(retries) is early


def test_retries_of_errors_stay_within_the_budget():
    bench = Bench(endpoints=4)
    sends = 0
    for request in range(1, 201):
        out = of(bench.ask(request, customer=request), SendAttempt)
        attempt = 0
        while out:
            sends += 1
            out = of(
                bench.outcome(request, out[0].endpoint_id, AttemptOutcome.ERROR, attempt=attempt),
                SendAttempt,
            )
            attempt += 1
        bench.run(50_000)
    assert sends < 200 * 1.15
