"""Quota counters: merging, limits, and when customers are forgotten."""

from __future__ import annotations

import itertools

from conftest import PLAIN, SECOND, GatewayHarness, of_type
from hypothesis import given, settings
from hypothesis import strategies as st
from policy_rig import (
    NOW_TICK,
    confirmed_gateway,
    count_admitted,
    quota_row,
    receive_rows,
)

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.customer_quota import CounterEntry
from saffrongw.policy.events import (
    AttemptOutcome,
)


def test_the_burst_is_admitted_until_it_is_nearly_spent_and_refills():
    harness = confirmed_gateway()
    assert count_admitted(harness, 20) == 8  # of ten; below a quarter of the burst all are rejected
    harness.now += SECOND
    assert count_admitted(harness, 20, start=100) == 0
    harness.now += SECOND
    assert count_admitted(harness, 20, start=200) == 4  # of six; a quarter of the burst remains


def test_units_that_peers_admitted_are_counted():
    harness = confirmed_gateway()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 3.0)], headroom=7.0, total=3.0))
    receive_rows(harness, 2, quota_row([(2, NOW_TICK - 9, 2.0)], headroom=8.0, total=2.0))
    assert count_admitted(harness, 20) == 3


def test_a_total_covers_counters_that_were_never_received():
    """One row's total informs a gateway that missed messages or has just started."""
    harness = GatewayHarness()
    receive_rows(harness, 1, quota_row([(2, NOW_TICK - 9, 1.0)], headroom=1.0, total=500.0))
    assert count_admitted(harness, 20) == 0


def test_a_coordinator_adds_up_the_reports_of_all_gateways():
    harness = confirmed_gateway()
    for sender in (1, 2):
        receive_rows(
            harness, sender, quota_row([(sender, NOW_TICK - 9, 4.0)], total=4.0), is_report=True
        )
    assert harness.gateway.quota_counters.customers[7].spent_units == 8.0


def test_a_restarted_peer_gets_no_fresh_allowance():
    harness = confirmed_gateway()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 90, 6.0)], total=6.0))
    receive_rows(
        harness, 1, quota_row([(1, NOW_TICK - 1, 1.0)], total=1.0), is_report=True
    )  # a later start: the counter of a new incarnation
    assert harness.gateway.quota_counters.customers[7].counters[1] == (NOW_TICK - 1, 1.0)
    assert harness.gateway.quota_counters.customers[7].spent_units == 7.0


def test_the_counter_of_an_earlier_incarnation_leaves_the_own_counter_unchanged():
    harness = GatewayHarness()
    count_admitted(harness, 1)
    before = harness.gateway.quota_counters.customers[7].counters[0]
    receive_rows(harness, 1, quota_row([(0, NOW_TICK - 500, 6.0)], total=7.0))
    assert harness.gateway.quota_counters.customers[7].counters[0] == before
    assert harness.gateway.quota_counters.customers[7].spent_units == 7.0


def test_overspending_does_not_lock_a_customer_out():
    harness = confirmed_gateway()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 500.0)], total=500.0))
    harness.now += 4 * SECOND
    assert count_admitted(harness, 20) > 0


def test_an_idle_customer_with_a_full_quota_is_forgotten():
    harness = confirmed_gateway()
    count_admitted(harness, 1)
    harness.run(10 * SECOND)
    for i in range(50, 60):
        harness.send_request(i, customer=1_000 + i, size=1)
    assert 7 not in harness.gateway.quota_counters.customers
    assert 7 not in harness.gateway.quota_counters.changed
    harness.run(SECOND)


COUNTER = st.tuples(
    st.sampled_from([1, 2]), st.integers(NOW_TICK - 50, NOW_TICK - 1), st.integers(0, 40).map(float)
)


ROWS = st.lists(
    st.tuples(st.lists(COUNTER, max_size=3), st.integers(0, 60).map(float)), min_size=1, max_size=4
)


def merge_rows(rows) -> tuple:
    """Return the counters and the headroom after these rows, all received at the same time."""
    harness = confirmed_gateway()
    for counts, headroom in rows:
        receive_rows(harness, 1, quota_row(counts, headroom=headroom))
    quota = harness.gateway.quota_counters.customers[7]
    return quota.counters, quota.headroom


@settings(derandomize=True, max_examples=60, deadline=None)
@given(ROWS)
def test_counters_merge_to_the_same_result_in_any_order_and_with_repeats(rows):
    results = [merge_rows(order)[0] for order in itertools.islice(itertools.permutations(rows), 6)]
    results.append(merge_rows(rows + rows[::-1])[0])
    assert all(r == results[0] for r in results)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(ROWS)
def test_headroom_stays_between_zero_and_the_burst_after_any_merge(rows):
    assert 0 <= merge_rows(rows)[1] <= PLAIN.burst


def test_a_changed_replica_set_retains_the_counters_and_leaves_nothing_when_forgotten():
    """Such a customer once stayed among the changed ones without a record (incident)."""
    harness = confirmed_gateway(node_count=4)
    assert count_admitted(harness, 20, first=0, size=3) == 8
    assert count_admitted(harness, 20, start=100, first=3, size=2) == 0
    harness.run(20 * SECOND)
    for i in range(200, 210):
        harness.send_request(i, customer=1_000 + i, size=1)
    assert 7 not in harness.gateway.quota_counters.customers
    harness.run(SECOND)


def test_customers_with_a_single_request_are_forgotten():
    """Including unconfirmed ones, ones with a rate ceiling and ones in a replica set of one."""
    harness = GatewayHarness()
    for number in range(60):
        for sent in of_type(
            harness.send_request(
                number, customer=number, plan=(0, 2)[number % 2], size=1 + number % 3
            ),
            SendAttempt,
        ):
            harness.end_attempt(number, sent.endpoint_id, AttemptOutcome.SERVED)
        harness.run(50_000)
    gateway = harness.gateway
    assert len(gateway.quota_counters.customers) > 20
    harness.run(60 * SECOND)
    counters = gateway.quota_counters
    remaining = [counters.customers, counters.idle_queue, counters.changed]
    remaining += [gateway.coordinator_reports.due, gateway.gossip_sender.awaited_answers]
    assert [len(one) for one in remaining] == [0] * 5


def test_forgetting_a_customer_grants_no_more_than_its_quota():
    """A forgotten customer starts with a full burst again, but must stay within burst and rate."""
    harness, granted, start = GatewayHarness(), 0, None
    start = harness.now
    for number in range(2_000):
        sent = of_type(harness.send_request(number, size=3), SendAttempt)
        granted += len(sent)
        if sent:
            harness.end_attempt(number, sent[0].endpoint_id, AttemptOutcome.SERVED)
        harness.run(20_000)
    seconds = (harness.now - start) / SECOND
    assert granted <= PLAIN.burst + PLAIN.rate * seconds


def test_a_counter_takes_the_larger_value_of_one_incarnation():
    counters = confirmed_gateway().gateway.quota_counters
    quota = counters.customers[7]
    assert counters.merge_counter(quota, 1, CounterEntry(NOW_TICK, 4.0)) == 4.0
    assert counters.merge_counter(quota, 1, CounterEntry(NOW_TICK, 3.0)) == 0.0
    assert counters.merge_counter(quota, 1, CounterEntry(NOW_TICK, 6.0)) == 2.0
    assert quota.counters[1] == CounterEntry(NOW_TICK, 6.0)
    assert quota.counted_units == 6.0


def test_the_counter_of_a_later_incarnation_replaces_a_larger_one():
    counters = confirmed_gateway().gateway.quota_counters
    quota = counters.customers[7]
    counters.merge_counter(quota, 1, CounterEntry(NOW_TICK - 9, 4.0))
    assert counters.merge_counter(quota, 1, CounterEntry(NOW_TICK, 1.0)) == 1.0
    assert counters.merge_counter(quota, 1, CounterEntry(NOW_TICK - 9, 9.0)) == 0.0
    assert quota.counters[1] == CounterEntry(NOW_TICK, 1.0)
    assert quota.counted_units == 5.0
