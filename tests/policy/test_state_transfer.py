"""State transfer in a hot restart: no quota is granted twice, and no state is lost."""

from __future__ import annotations

import dataclasses
import json

import pytest
from conftest import SECOND, SETTINGS, T0, GatewayHarness, entry, listed, of_type

from saffrongw.policy import state_transfer
from saffrongw.policy.actions import AdmitRequest, RejectRequest, SendAttempt
from saffrongw.policy.events import AdmissionCheckArrived, AttemptOutcome, ExclusionChanged

WITH_CEILING = 2


def successor_of(old: GatewayHarness, endpoints=4) -> GatewayHarness:
    """Return a successor that has adopted all rows, encoded as JSON as in a hot restart."""
    new = GatewayHarness(endpoints=endpoints, now=old.now, seed=2)
    for row in json.loads(json.dumps(list(state_transfer.export(old.gateway)))):
        state_transfer.adopt(new.gateway, new.now, row)
    return new


def served(harness: GatewayHarness, requests: range, **more) -> int:
    """Return how many of these requests are sent; each is served immediately."""
    count = 0
    for number in requests:
        for send in of_type(harness.send_request(number, **more), SendAttempt):
            harness.end_attempt(number, send.endpoint_id, AttemptOutcome.SERVED)
            count += 1
    return count


def test_a_quota_that_is_spent_stays_spent(harness):
    spent = served(harness, range(1, 30), size=1)
    assert 1 <= spent <= 10
    new = successor_of(harness)
    assert served(new, range(1, 30), size=1) == 0
    new.run(4 * SECOND)  # at two units per second; the quota reopens at 60% of ten
    assert 1 <= served(new, range(30, 60), size=1) <= 8


def test_a_successor_continues_with_the_ceiling_units_of_its_predecessor():
    harness = GatewayHarness()
    served(harness, range(1, 40), plan=WITH_CEILING, size=1)
    harness.run(SECOND)
    harness.gateway.quota_counters.refill(harness.gateway.quota_counters.customers[7])
    new = successor_of(harness)
    quota, old_quota = (one.gateway.quota_counters.customers[7] for one in (new, harness))
    assert quota.ceiling_units == old_quota.ceiling_units < 16


def test_a_successors_counters_keep_their_start_so_that_peers_count_nothing_twice(harness):
    assert served(harness, range(1, 2)) == 1
    node_index = harness.settings.node_index
    start, value = harness.gateway.quota_counters.customers[7].counters[node_index]
    new = successor_of(harness)
    assert served(new, range(1, 3)) == 2
    assert new.gateway.quota_counters.customers[7].counters[node_index] == (
        start,
        value + 2,
    )  # still within its share, a third of the burst
    assert 7 in new.gateway.quota_counters.changed


def test_the_predecessor_rejects_new_requests_and_retries_the_ones_it_sent(harness):
    (send,) = of_type(harness.send_request(1), SendAttempt)
    successor_of(harness)
    assert of_type(harness.send_request(2), RejectRequest)
    assert not of_type(harness.handle(AdmissionCheckArrived(3, 9, 0, 0, 1.0, 0, 3)), AdmitRequest)
    retries = harness.end_attempt(1, send.endpoint_id, AttemptOutcome.CONNECT_FAILED)
    assert of_type(retries, SendAttempt)  # the first attempt has spent its units already


def test_an_excluded_endpoint_stays_excluded_and_a_restored_one_stays_warming(harness):
    harness.handle(ExclusionChanged(entry(0).endpoint_id, "operator", True))
    harness.handle(ExclusionChanged(entry(1).endpoint_id, "operator", True))
    harness.run(SECOND)
    harness.handle(ExclusionChanged(entry(1).endpoint_id, "operator", False))
    back = harness.now
    harness.run(SECOND)
    new = successor_of(harness)
    assert new.gateway.exclusions.sources == {entry(0).endpoint_id: {"operator": T0}}
    assert new.gateway.endpoints.by_id[entry(1).endpoint_id].entry.started_at_us == back
    assert [endpoint.entry.endpoint_id for endpoint in new.gateway.endpoints.warming.endpoints] == [
        entry(1).endpoint_id
    ]
    new.handle(listed(*(entry(n) for n in range(4))))
    sends = [of_type(new.send_request(n, customer=n), SendAttempt) for n in range(1, 40)]
    assert entry(0).endpoint_id not in {send.endpoint_id for found in sends for send in found}


def test_an_endpoint_readmitted_at_the_successor_during_the_export_is_not_excluded_again(harness):
    """Rows sent before the old process heard of the call excluded the endpoint for good."""
    endpoint_id = entry(0).endpoint_id
    harness.handle(ExclusionChanged(endpoint_id, "operator", True))
    new = successor_of(harness)
    rows = list(state_transfer.exclusions(harness.gateway))
    new.run(SECOND)
    new.handle(ExclusionChanged(endpoint_id, "operator", False))
    for row in rows:
        state_transfer.adopt(new.gateway, new.now, row)
    assert new.gateway.exclusions.sources == {}
    # An exclusion after that is adopted.
    harness.now = new.now
    harness.handle(ExclusionChanged(endpoint_id, "operator", False))
    harness.run(SECOND)
    harness.handle(ExclusionChanged(endpoint_id, "operator", True))
    for row in state_transfer.exclusions(harness.gateway):
        state_transfer.adopt(new.gateway, new.now, row)
    assert new.gateway.exclusions.sources == {endpoint_id: {"operator": harness.now}}


def test_scores_of_endpoints_are_transferred(harness):
    harness.send_request(1)
    (send,) = of_type(harness.log, SendAttempt)
    harness.end_attempt(1, send.endpoint_id, AttemptOutcome.TIMED_OUT, duration_us=SECOND)
    old = harness.gateway
    new = successor_of(harness).gateway
    ours, theirs = (one.endpoints.by_id[send.endpoint_id] for one in (new, old))
    assert ours.decayed_latency(harness.now, SECOND) == theirs.decayed_latency(harness.now, SECOND)
    assert ours.decayed_failures(harness.now, SECOND) == theirs.decayed_failures(
        harness.now, SECOND
    )
    assert new.latency.typical_us == old.latency.typical_us
    assert new.latency.sample_counts == old.latency.sample_counts
    assert new.retry_policy.budget == old.retry_policy.budget


def test_attempts_in_flight_at_the_predecessor_count_under_a_concurrency_limit():
    harness = GatewayHarness()
    assert of_type(harness.send_request(1, plan=1, size=1), SendAttempt)
    assert of_type(harness.send_request(2, plan=1, size=1), SendAttempt)
    new = successor_of(harness)
    assert of_type(new.send_request(1, plan=1, size=1), RejectRequest)


def test_a_customer_that_is_known_already_is_not_overwritten(harness):
    served(harness, range(1, 10), size=1)
    new = GatewayHarness(now=harness.now)
    served(new, range(1, 5), size=1)
    known = dataclasses.replace(new.gateway.quota_counters.customers[7])
    for row in state_transfer.export(harness.gateway):
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
    harness = GatewayHarness(node_count=SETTINGS.node_count)
    with pytest.raises(state_transfer.MalformedRowError):
        state_transfer.adopt(harness.gateway, harness.now, row)
    assert harness.gateway.quota_counters.customers == {} == harness.gateway.exclusions.sources
    assert served(harness, range(1, 3)) == 2
