"""Admission of requests and checks by quota, concurrency limit and expected latency."""

from __future__ import annotations

from conftest import SECOND, Bench, entry, listed, of
from policy_rig import (
    NOW_TICK,
    confirmed_bench,
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


def check(bench: Bench, number: int, customer=7, plan=0, units=1.0, first=0, size=1):
    return bench.feed(AdmissionCheckArrived(number, customer, plan, 0, units, first, size))


def send(bench: Bench, number: int) -> bool:
    """Send a request of the same customer; tell whether it was admitted, and serve it."""
    sent = of(bench.ask(number, size=1), SendAttempt)
    for action in sent:
        bench.outcome(number, action.endpoint_id, AttemptOutcome.SERVED)
    return bool(sent)


def test_a_check_takes_units_as_a_first_attempt_does(bench):
    """As many are admitted as requests on the same quota: it is exhausted below a quarter."""
    let_in = [bool(of(check(bench, n), AdmitRequest)) for n in range(1, 13)]
    other = Bench()
    assert let_in == [send(other, n) for n in range(1, 13)]
    assert let_in == [True] * 8 + [False] * 4
    assert of(bench.ask(100, size=1), RejectRequest)


def test_a_request_takes_units_that_a_check_would_have_had(bench):
    assert all(send(bench, number) for number in range(1, 6))
    assert [bool(of(check(bench, 50 + n), AdmitRequest)) for n in range(5)] == [True] * 3 + [
        False
    ] * 2


def test_a_rejected_check_takes_no_units_and_gets_a_retry_after(bench):
    for number in range(1, 11):
        check(bench, number)
    (refused,) = of(check(bench, 11), RejectRequest)
    assert 0 <= refused.retry_after_us <= bench.settings.max_retry_after_us
    total = bench.gateway.quota_counters.customers[7].spent_units
    check(bench, 12)
    assert bench.gateway.quota_counters.customers[7].spent_units == total


def test_a_check_leaves_no_request_and_no_timer(bench):
    before = len(bench.timers)
    check(bench, 1)
    assert bench.gateway.lifecycle.requests == {}
    assert bench.gateway.lifecycle.attempts == {}
    assert len(bench.timers) == before


def test_checks_and_requests_together_stay_within_a_ceiling():
    bench = Bench()
    bench.run(30 * SECOND)
    check(bench, 1, plan=2)  # its account's part of the ceiling fills from here
    bench.run(5 * SECOND)
    let_in = sum(bool(of(check(bench, 10 + n, plan=2), AdmitRequest)) for n in range(40))
    let_in += sum(bool(of(bench.ask(100 + n, plan=2, size=1), SendAttempt)) for n in range(40))
    assert 0 < let_in <= 16 + 2  # the burst of the ceiling and its slack


def test_checks_are_gossiped_as_attempts_are(bench):
    bench.log.clear()
    check(bench, 1, size=3)
    assert of(bench.log, SendGossip) or bench.gateway.quota_counters.changed


def test_requests_that_exceed_the_capacity_are_rejected_at_once():
    bench = Bench(endpoints=2)
    for request in range(1, 41):
        serve_one(bench, request, lambda _: 60_000)
    sends = [s for r in range(100, 200) for s in of(bench.ask(r, customer=r), SendAttempt)]
    assert 0 < len(sends) < 50
    assert not [
        a for a in bench.run(SECOND // 10) if isinstance(a, RejectRequest)
    ]  # none was held first


def test_a_slow_class_at_idle_endpoints_is_not_shed():
    """The typical latency itself is no reason to shed, however near to the objective it is."""
    bench = Bench(endpoints=1)
    assert all(serve_one(bench, r, lambda _: 110_000) for r in range(1, 60))


def test_an_unconfirmed_customer_gets_a_share_of_its_burst():
    assert count_admitted(Bench(), 20) == 3  # a third of ten


def test_a_new_customer_gets_one_request_though_its_share_is_smaller():
    assert count_admitted(Bench(), 3, units=8.0) == 1


def test_a_concurrency_limit_counts_recent_admissions_of_peers():
    bench = confirmed_bench()
    assert len(of(bench.ask(1, plan=1), SendAttempt)) == 1
    receive_rows(bench, 1, quota_row([(1, NOW_TICK, 1.0)], total=2.0))
    assert of(bench.ask(2, plan=1), RejectRequest)


def test_without_gossip_a_gateway_admits_its_share():
    bench = Bench(may_send_gossip=False)
    assert count_admitted(bench, 20) == 3
    assert not sent_messages([*bench.log, *bench.run(2 * SECOND)])


def test_a_waiting_request_outlives_its_customers_idle_record():
    """The record was once dropped while the request waited, and a change of nobody was left."""
    bench = confirmed_bench(endpoints=0)
    bench.ask(1, left=9 * SECOND)
    for i in range(50, 60):
        bench.ask(i, customer=1_000 + i, size=1)
    assert 7 not in bench.gateway.quota_counters.customers
    bench.feed(listed(entry(1)))
    assert 1 in [send.request for send in of(bench.run(100_000), SendAttempt)]
    assert bench.gateway.quota_counters.customers[7].spent_units == 1.0


def test_a_rejected_client_gets_a_retry_after_if_its_quota_reopens_soon():
    """No Retry-After where a client that waits so long would spend quota on a late answer."""
    bench = Bench(node_count=1)
    for request in range(1, 60):
        bench.ask(request, size=1)
        bench.outcome(request, bench.log[-1].endpoint_id, AttemptOutcome.SERVED) if of(
            bench.log[-1:], SendAttempt
        ) else None
    (refused, *_) = of(bench.log, RejectRequest)
    assert refused.retry_after_us == 0  # its quota needs seconds
    for request in range(60, 200):
        bench.run(25_000)
        (answer, *_) = bench.ask(request, size=1)
        if answer.retry_after_us:
            break
    retry_after_us = answer.retry_after_us
    assert 0 < retry_after_us <= 75_000  # 0.15 of the aim
    bench.run(retry_after_us + 1)
    assert of(bench.ask(200, size=1), SendAttempt)


def test_a_replica_set_of_one_gets_its_full_quota(bench):
    """No peer can ever confirm it: unconfirmed, it would be rejected after its first burst."""
    sent = 0
    for number in range(60):
        actions = of(bench.ask(number, customer=5, size=1), SendAttempt)
        sent += len(actions)
        if actions:
            bench.outcome(number, actions[0].endpoint_id, AttemptOutcome.SERVED)
        bench.run(SECOND)
    assert sent == 60
