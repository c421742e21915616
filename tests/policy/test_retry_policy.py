"""Retries: no request takes effect twice (rule 2), and retries do not multiply the load."""

from __future__ import annotations

import pytest
from conftest import SECOND, GatewayHarness, entry, listed, of_type
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

IDEMPOTENT_KIND, CELL_KIND, NON_IDEMPOTENT_KIND, ALL_KIND, ZONE_KIND = range(5)
NEVER_RAN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
MAY_HAVE_RUN = (
    AttemptOutcome.ERROR,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.CANCELLED,
)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected(
    harness, outcome
):
    send = of_type(harness.send_request(1, kind=NON_IDEMPOTENT_KIND), SendAttempt)[0]
    harness.now += 10_000
    actions = harness.end_attempt(1, send.endpoint_id, outcome)
    assert not of_type(actions, (SendAttempt, RejectRequest))
    assert of_type(actions, FailRequest) == [FailRequest(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_a_non_idempotent_request_that_never_ran_is_retried(harness, outcome):
    send = of_type(harness.send_request(1, kind=NON_IDEMPOTENT_KIND), SendAttempt)[0]
    assert of_type(harness.end_attempt(1, send.endpoint_id, outcome), SendAttempt)


def test_a_non_idempotent_request_is_not_hedged(harness):
    harness.send_request(1, kind=NON_IDEMPOTENT_KIND)
    assert not of_type(harness.run(3 * SECOND), SendAttempt)


@pytest.mark.parametrize(("kind", "near"), [(CELL_KIND, "cell"), (ZONE_KIND, "zone")])
def test_a_request_with_an_idempotency_key_stays_in_its_deduplication_scope(kind, near):
    for seed in range(12):
        harness = GatewayHarness(endpoints=0, seed=seed)
        where = {entry(i).endpoint_id: i % 2 for i in range(6)}
        harness.handle(listed(*(entry(i, **{near: i % 2}) for i in range(6))))
        send = of_type(harness.send_request(1, kind=kind), SendAttempt)[0]
        harness.now += 10_000
        retries = of_type(
            harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt
        )
        assert [where[a.endpoint_id] for a in retries] == [where[send.endpoint_id]]


def test_a_request_with_an_idempotency_key_fails_if_its_scope_has_no_endpoint():
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1, cell=1)))
    send = of_type(harness.send_request(1, kind=CELL_KIND), SendAttempt)[0]
    harness.handle(listed(entry(2, cell=2)))
    harness.now += 10_000
    assert not of_type(
        harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt
    )
    harness.run(2 * SECOND)
    assert final_answers(harness, 1) == [FailRequest(1)]


@pytest.mark.parametrize("kind", [CELL_KIND, ZONE_KIND, ALL_KIND])
def test_a_request_with_an_idempotency_key_is_not_retried_where_its_connection_broke(kind):
    """Guards against a second run by the process that has taken over the address (issue 59, e)."""
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1)))
    send = of_type(harness.send_request(1, kind=kind, left=900_000), SendAttempt)[0]
    harness.now += 10_000
    actions = harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST)
    actions += harness.run(SECOND)
    assert not of_type(actions, SendAttempt)


@pytest.mark.parametrize("outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT])
def test_a_request_with_an_idempotency_key_is_retried_where_it_failed_otherwise(outcome):
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1)))
    send = of_type(harness.send_request(1, kind=CELL_KIND, left=900_000), SendAttempt)[0]
    harness.now += 10_000
    assert of_type(harness.end_attempt(1, send.endpoint_id, outcome), SendAttempt)


def test_a_repeatable_request_is_retried_where_its_connection_broke(harness):
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1)))
    send = of_type(harness.send_request(1, kind=IDEMPOTENT_KIND), SendAttempt)[0]
    harness.now += 10_000
    actions = harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST)
    assert of_type(actions, SendAttempt)


def test_a_request_with_an_idempotency_key_is_not_retried_after_its_window(harness):
    send = of_type(harness.send_request(1, kind=ALL_KIND, left=4 * SECOND), SendAttempt)[0]
    harness.now += SECOND + 1
    assert not of_type(
        harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt
    )
    harness.run(4 * SECOND)
    assert final_answers(harness, 1) == [RejectRequest(1, 0)]


@pytest.mark.parametrize("connects", [0, 250_000])
def test_a_retry_that_could_connect_after_the_deduplication_window_is_not_sent(
    connects,
):
    """An attempt is sent once it is connected, which could be after the deduplication window."""
    for early in (False, True):
        harness = GatewayHarness(connect_timeout_us=connects)
        send = of_type(harness.send_request(1, kind=ALL_KIND, left=4 * SECOND), SendAttempt)[0]
        harness.now += SECOND - FINAL_ANSWER_MARGIN_US - connects - early
        retries = of_type(
            harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt
        )
        assert bool(retries) is early


def test_retries_of_errors_stay_within_the_budget():
    harness = GatewayHarness(endpoints=4)
    sends = 0
    for request in range(1, 201):
        out = of_type(harness.send_request(request, customer=request), SendAttempt)
        attempt = 0
        while out:
            sends += 1
            out = of_type(
                harness.end_attempt(
                    request, out[0].endpoint_id, AttemptOutcome.ERROR, attempt=attempt
                ),
                SendAttempt,
            )
            attempt += 1
        harness.run(50_000)
    assert sends < 200 * 1.15
