"""Checks for others: decided at once by quota and ceiling, on the counts that our own sends use."""

from __future__ import annotations

from conftest import SECOND, Bench, of

from saffrongw.policy.actions import AdmitRequest, RejectRequest, SendAttempt, SendGossip
from saffrongw.policy.events import AdmissionCheckArrived, AttemptOutcome


def check(bench: Bench, number: int, customer=7, plan=0, units=1.0, first=0, size=1):
    return bench.feed(AdmissionCheckArrived(number, customer, plan, 0, units, first, size))


def send(bench: Bench, number: int) -> bool:
    """A request of the same customer, served at once where it is sent on."""
    sent = of(bench.ask(number, size=1), SendAttempt)
    for action in sent:
        bench.outcome(number, action.endpoint_id, AttemptOutcome.SERVED)
    return bool(sent)


def test_a_check_takes_units_as_a_first_send_does(bench):
    """As many as sends are let in on the same quota: it closes below a quarter of its burst."""
    let_in = [bool(of(check(bench, n), AdmitRequest)) for n in range(1, 13)]
    other = Bench()
    assert let_in == [send(other, n) for n in range(1, 13)]
    assert let_in == [True] * 8 + [False] * 4
    assert of(bench.ask(100, size=1), RejectRequest)


def test_a_send_takes_what_a_check_would_have_had(bench):
    assert all(send(bench, number) for number in range(1, 6))
    assert [bool(of(check(bench, 50 + n), AdmitRequest)) for n in range(5)] == [True] * 3 + [
        False
    ] * 2


def test_a_check_that_is_turned_away_takes_nothing_and_says_when(bench):
    for number in range(1, 11):
        check(bench, number)
    (refused,) = of(check(bench, 11), RejectRequest)
    assert 0 <= refused.retry_after_us <= bench.settings.max_retry_after_us
    total = bench.gateway.quota_counters.customers[7].spent_units
    check(bench, 12)
    assert bench.gateway.quota_counters.customers[7].spent_units == total


def test_a_check_leaves_no_request_and_no_timer_behind(bench):
    before = len(bench.timers)
    check(bench, 1)
    assert bench.gateway.lifecycle.requests == {}
    assert bench.gateway.lifecycle.attempts == {}
    assert len(bench.timers) == before


def test_a_ceiling_holds_over_checks_and_sends_together():
    bench = Bench()
    bench.run(30 * SECOND)
    check(bench, 1, plan=2)  # its account's part of the ceiling fills from here
    bench.run(5 * SECOND)
    let_in = sum(bool(of(check(bench, 10 + n, plan=2), AdmitRequest)) for n in range(40))
    let_in += sum(bool(of(bench.ask(100 + n, plan=2, size=1), SendAttempt)) for n in range(40))
    assert 0 < let_in <= 16 + 2  # the burst of the ceiling and its slack


def test_checks_are_told_to_peers_as_sends_are(bench):
    bench.log.clear()
    check(bench, 1, size=3)
    assert of(bench.log, SendGossip) or bench.gateway.quota_counters.changed
