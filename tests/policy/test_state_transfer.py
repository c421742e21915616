"""What a process transfers to its successor: nothing is granted twice, nothing is lost."""

from __future__ import annotations

import dataclasses
import json

import pytest
from conftest import SECOND, SETTINGS, T0, Bench, entry, listed, of

from saffrongw.policy import state_transfer
from saffrongw.policy.actions import AdmitRequest, RejectRequest, SendAttempt
from saffrongw.policy.events import AdmissionCheckArrived, AttemptOutcome, ExclusionChanged

CEILED = 2


def successor_of(old: Bench, endpoints=4) -> Bench:
    """Return a successor that has adopted all rows, through JSON as on the wire."""
    new = Bench(endpoints=endpoints, now=old.now, seed=2)
    for row in json.loads(json.dumps(list(state_transfer.export(old.gateway)))):
        state_transfer.adopt(new.gateway, new.now, row)
    return new


def served(bench: Bench, requests: range, **more) -> int:
    """Return how many of these requests are sent; each is served at once."""
    count = 0
    for number in requests:
        for send in of(bench.ask(number, **more), SendAttempt):
            bench.outcome(number, send.endpoint_id, AttemptOutcome.SERVED)
            count += 1
    return count


def test_a_quota_that_is_spent_stays_spent(bench):
    spent = served(bench, range(1, 30), size=1)
    assert 1 <= spent <= 10
    new = successor_of(bench)
    assert served(new, range(1, 30), size=1) == 0
    new.run(4 * SECOND)  # two units a second, open again at 60% of ten
    assert 1 <= served(new, range(30, 60), size=1) <= 8


def test_a_ceiling_goes_on_where_it_was():
    bench = Bench()
    served(bench, range(1, 40), plan=CEILED, size=1)
    bench.run(SECOND)
    bench.gateway.quota_counters.refill(bench.gateway.quota_counters.customers[7])
    new = successor_of(bench)
    quota, old_quota = (one.gateway.quota_counters.customers[7] for one in (new, bench))
    assert quota.ceiling_units == old_quota.ceiling_units < 16


def test_counters_go_on_under_the_same_start_so_that_peers_add_nothing_twice(bench):
    assert served(bench, range(1, 2)) == 1
    node_index = bench.settings.node_index
    start, value = bench.gateway.quota_counters.customers[7].counters[node_index]
    new = successor_of(bench)
    assert served(new, range(1, 3)) == 2
    assert new.gateway.quota_counters.customers[7].counters[node_index] == (
        start,
        value + 2,
    )  # a third of the burst is its own
    assert 7 in new.gateway.quota_counters.changed


def test_the_predecessor_rejects_new_requests_and_retries_the_ones_it_sent(bench):
    (send,) = of(bench.ask(1), SendAttempt)
    successor_of(bench)
    assert of(bench.ask(2), RejectRequest)
    assert not of(bench.feed(AdmissionCheckArrived(3, 9, 0, 0, 1.0, 0, 3)), AdmitRequest)
    retries = bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECT_FAILED)
    assert of(retries, SendAttempt)  # it has taken its units


def test_an_excluded_endpoint_stays_excluded_and_a_restored_one_stays_warming(bench):
    bench.feed(ExclusionChanged(entry(0).endpoint_id, "operator", True))
    bench.feed(ExclusionChanged(entry(1).endpoint_id, "operator", True))
    bench.run(SECOND)
    bench.feed(ExclusionChanged(entry(1).endpoint_id, "operator", False))
    back = bench.now
    bench.run(SECOND)
    new = successor_of(bench)
    assert new.gateway.exclusions.sources == {entry(0).endpoint_id: {"operator": T0}}
    assert new.gateway.endpoints.by_id[entry(1).endpoint_id].entry.started_at_us == back
    assert [host.entry.endpoint_id for host in new.gateway.endpoints.warming.endpoints] == [
        entry(1).endpoint_id
    ]
    new.feed(listed(*(entry(n) for n in range(4))))
    sends = [of(new.ask(n, customer=n), SendAttempt) for n in range(1, 40)]
    assert entry(0).endpoint_id not in {send.endpoint_id for found in sends for send in found}


def test_scores_of_endpoints_are_transferred(bench):
    bench.ask(1)
    (send,) = of(bench.log, SendAttempt)
    bench.outcome(1, send.endpoint_id, AttemptOutcome.TIMED_OUT, duration_us=SECOND)
    old = bench.gateway
    new = successor_of(bench).gateway
    ours, theirs = (one.endpoints.by_id[send.endpoint_id] for one in (new, old))
    assert ours.decayed_latency(bench.now, SECOND) == theirs.decayed_latency(bench.now, SECOND)
    assert ours.decayed_failures(bench.now, SECOND) == theirs.decayed_failures(bench.now, SECOND)
    assert new.latency.typical_us == old.latency.typical_us
    assert new.latency.sample_counts == old.latency.sample_counts
    assert new.retry_policy.budget == old.retry_policy.budget


def test_attempts_in_flight_at_the_predecessor_count_under_a_concurrency_limit():
    bench = Bench()
    assert of(bench.ask(1, plan=1, size=1), SendAttempt)
    assert of(bench.ask(2, plan=1, size=1), SendAttempt)
    new = successor_of(bench)
    assert of(new.ask(1, plan=1, size=1), RejectRequest)


def test_a_customer_that_is_known_already_is_not_overwritten(bench):
    served(bench, range(1, 10), size=1)
    new = Bench(now=bench.now)
    served(new, range(1, 5), size=1)
    known = dataclasses.replace(new.gateway.quota_counters.customers[7])
    for row in state_transfer.export(bench.gateway):
        state_transfer.adopt(new.gateway, new.now, row)
    assert new.gateway.quota_counters.customers[7] == known


@pytest.mark.parametrize(
    "row",
    [
        [],
        ["nothing"],
        ["learnt"],
        ["account", 1],
        ["account", 1, [0, 99, 1], 1, 1, [], 1, 1, [], True, 0, [], 0, 0, False, False],
        ["account", 1, [0, 0, 1], "x", 1, [], 1, 1, [], True, 0, [], 0, 0, False, False],
        ["account", 1, [0, 0, 1], 1, 1, [[1]], 1, 1, [], True, 0, [], 0, 0, False, False],
        ["excluded", "a", {"operator": "x"}],
        ["excluded", "\u4e00", {"operator": 1}],
        ["host", "a"],
        {"account": 1},
        "account",
    ],
)
def test_a_malformed_row_is_named_and_changes_no_customer(row):
    bench = Bench(node_count=SETTINGS.node_count)
    with pytest.raises(state_transfer.MalformedRowError):
        state_transfer.adopt(bench.gateway, bench.now, row)
    assert bench.gateway.quota_counters.customers == {} == bench.gateway.exclusions.sources
    assert served(bench, range(1, 3)) == 2
