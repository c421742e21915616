"""Admission of requests and admission checks by quota, concurrency limit and expected latency."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, entry, listed, of_type
from policy_rig import (
    NOW_TICK,
    confirmed_gateway,
    count_admitted,
    quota_row,
    receive_rows,
    sent_messages,
    serve_one,
)

from saffrongw.policy.actions import (
    AdmitRequest,
    RejectRequest,
    SendAttempt,
    SendGossip,
)
from saffrongw.policy.events import (
    AdmissionCheckArrived,
    AttemptOutcome,
)


def check(harness: GatewayHarness, number: int, customer=7, plan=0, units=1.0, first=0, size=1):
    return harness.handle(AdmissionCheckArrived(number, customer, plan, 0, units, first, size))


def send(harness: GatewayHarness, number: int) -> bool:
    """Send a request of the same customer, serve it if it was admitted; return whether it was."""
    sent = of_type(harness.send_request(number, size=1), SendAttempt)
    for action in sent:
        harness.end_attempt(number, action.endpoint_id, AttemptOutcome.SERVED)
    return bool(sent)


def test_a_check_spends_units_like_a_first_attempt(harness):
    """Checks and requests share one quota, which is exhausted below a quarter of the burst."""
    admitted = [bool(of_type(check(harness, n), AdmitRequest)) for n in range(1, 13)]
    other = GatewayHarness()
    assert admitted == [send(other, n) for n in range(1, 13)]
    assert admitted == [True] * 8 + [False] * 4
    assert of_type(harness.send_request(100, size=1), RejectRequest)


def test_requests_and_checks_spend_the_same_quota(harness):
    assert all(send(harness, number) for number in range(1, 6))
    assert [bool(of_type(check(harness, 50 + n), AdmitRequest)) for n in range(5)] == [True] * 3 + [
        False
    ] * 2


def test_a_rejected_check_spends_no_units_and_gets_a_retry_after(harness):
    for number in range(1, 11):
        check(harness, number)
    (rejection,) = of_type(check(harness, 11), RejectRequest)
    assert 0 <= rejection.retry_after_us <= harness.settings.max_retry_after_us
    total = harness.gateway.quota_counters.customers[7].spent_units
    check(harness, 12)
    assert harness.gateway.quota_counters.customers[7].spent_units == total


def test_a_check_leaves_no_request_and_no_timer(harness):
    before = len(harness.timers)
    check(harness, 1)
    assert harness.gateway.lifecycle.requests == {}
    assert harness.gateway.lifecycle.attempts == {}
    assert len(harness.timers) == before


def test_checks_and_requests_together_stay_within_a_ceiling():
    harness = GatewayHarness()
    harness.run(30 * SECOND)
    check(harness, 1, plan=2)  # spends from the ceiling's part, which then refills for 5 s
    harness.run(5 * SECOND)
    admitted = sum(bool(of_type(check(harness, 10 + n, plan=2), AdmitRequest)) for n in range(40))
    admitted += sum(
        bool(of_type(harness.send_request(100 + n, plan=2, size=1), SendAttempt)) for n in range(40)
    )
    assert 0 < admitted <= 16 + 2  # the burst of the ceiling and its slack


def test_checks_are_gossiped_as_attempts_are(harness):
    harness.log.clear()
    check(harness, 1, size=3)
    assert of_type(harness.log, SendGossip) or harness.gateway.quota_counters.changed


def test_requests_that_exceed_the_capacity_are_rejected_at_once():
    harness = GatewayHarness(endpoints=2)
    for request in range(1, 41):
        serve_one(harness, request, lambda _: 60_000)
    sends = [
        s
        for r in range(100, 200)
        for s in of_type(harness.send_request(r, customer=r), SendAttempt)
    ]
    assert 0 < len(sends) < 50
    assert not [
        a for a in harness.run(SECOND // 10) if isinstance(a, RejectRequest)
    ]  # none was queued first


def test_a_slow_class_at_idle_endpoints_is_not_shed():
    """A high typical latency alone must not cause load shedding, even near the objective."""
    harness = GatewayHarness(endpoints=1)
    assert all(serve_one(harness, r, lambda _: 110_000) for r in range(1, 60))


def test_an_unconfirmed_customer_gets_a_share_of_its_burst():
    assert count_admitted(GatewayHarness(), 20) == 3  # a third of ten


def test_a_new_customer_gets_one_request_though_its_share_is_smaller():
    assert count_admitted(GatewayHarness(), 3, units=8.0) == 1


def test_a_concurrency_limit_counts_recent_admissions_of_peers():
    harness = confirmed_gateway()
    assert len(of_type(harness.send_request(1, plan=1), SendAttempt)) == 1
    receive_rows(harness, 1, quota_row([(1, NOW_TICK, 1.0)], total=2.0))
    assert of_type(harness.send_request(2, plan=1), RejectRequest)


def test_without_gossip_a_gateway_admits_its_share():
    harness = GatewayHarness(may_send_gossip=False)
    assert count_admitted(harness, 20) == 3
    assert not sent_messages([*harness.log, *harness.run(2 * SECOND)])


def test_a_waiting_request_outlives_its_customers_idle_record():
    """Dropping the record while a request waited once left a changed customer without a record."""
    harness = confirmed_gateway(endpoints=0)
    harness.send_request(1, left=9 * SECOND)
    for i in range(50, 60):
        harness.send_request(i, customer=1_000 + i, size=1)
    assert 7 not in harness.gateway.quota_counters.customers
    harness.handle(listed(entry(1)))
    assert 1 in [send.request for send in of_type(harness.run(100_000), SendAttempt)]
    assert harness.gateway.quota_counters.customers[7].spent_units == 1.0


def test_a_rejected_client_gets_a_retry_after_if_its_quota_reopens_soon():
    """A client that waited too long would spend quota on a late answer: it gets no Retry-After."""
    harness = GatewayHarness(node_count=1)
    for request in range(1, 60):
        harness.send_request(request, size=1)
        harness.end_attempt(request, harness.log[-1].endpoint_id, AttemptOutcome.SERVED) if of_type(
            harness.log[-1:], SendAttempt
        ) else None
    (rejection, *_) = of_type(harness.log, RejectRequest)
    assert rejection.retry_after_us == 0  # its quota needs seconds
    for request in range(60, 200):
        harness.run(25_000)
        (answer, *_) = harness.send_request(request, size=1)
        if answer.retry_after_us:
            break
    retry_after_us = answer.retry_after_us
    assert 0 < retry_after_us <= 75_000  # 0.15 of the latency objective
    harness.run(retry_after_us + 1)
    assert of_type(harness.send_request(200, size=1), SendAttempt)


def test_a_replica_set_of_one_gets_its_full_quota(harness):
    """No peer can ever confirm it: if it counted as unconfirmed, it would get only one burst."""
    sent = 0
    for number in range(60):
        actions = of_type(harness.send_request(number, customer=5, size=1), SendAttempt)
        sent += len(actions)
        if actions:
            harness.end_attempt(number, actions[0].endpoint_id, AttemptOutcome.SERVED)
        harness.run(SECOND)
    assert sent == 60
