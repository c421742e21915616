"""Gossip from other gateways is merged and answered, or ignored if it is malformed."""

from __future__ import annotations

import sys

from conftest import GatewayHarness
from policy_rig import (
    NOW_MS,
    NOW_TICK,
    confirmed_gateway,
    quota_row,
    receive_rows,
    sent_messages,
)

from saffrongw.policy import gossip_codec
from saffrongw.policy.events import (
    GossipReceived,
)


def test_a_message_that_requests_an_answer_gets_the_known_total():
    harness = confirmed_gateway()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 4.0)], total=4.0))
    ((peer, message),) = sent_messages(
        receive_rows(
            harness,
            2,
            quota_row([(2, NOW_TICK - 9, 1.0)], total=1.0),
            wants_answer=True,
            is_report=True,
        )
    )
    assert peer == 2
    assert message.rows[0].spent_units == 5.0


def count_policy_calls(gateways: int) -> int:
    """Count the function calls in the policy for the same events, by the size of the fleet."""
    harness = GatewayHarness(node_count=gateways, endpoints=4, gossip_intake=1_000.0)
    count = 0

    def trace(frame, kind, _):
        nonlocal count
        count += kind == "call" and "saffrongw/policy" in frame.f_code.co_filename

    sys.setprofile(trace)
    try:
        for i in range(1, 30):
            harness.send_request(i, customer=i % 5, size=gateways)
            receive_rows(
                harness,
                1 + i % 3,
                quota_row([(1, NOW_TICK, i / 4)], total=i / 2, customer=i % 5, size=gateways),
                is_report=True,
            )
            harness.run(50_000)
    finally:
        sys.setprofile(None)
    return count


def test_work_per_event_does_not_grow_with_the_fleet():
    """If each event iterates over the whole replica set, large fleets run out of CPU."""
    assert count_policy_calls(400) < 4 * count_policy_calls(4)
    assert count_policy_calls(400) < 1.2 * count_policy_calls(100)


def test_malformed_or_implausible_messages_change_nothing():
    harness = confirmed_gateway()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 4.0)], total=4.0))
    quota = harness.gateway.quota_counters.customers[7]
    before = (
        dict(quota.counters),
        quota.spent_units,
        harness.gateway.reachability.unreachable_fraction,
    )
    row = gossip_codec.pack_row(quota_row([(1, NOW_TICK - 9, 3.0)]), NOW_MS, 3)
    good = gossip_codec.pack_message(NOW_MS, False, False, [row])
    for cut in range(7, len(good)):
        harness.handle(GossipReceived(1, good[:cut]))
    harness.handle(GossipReceived(1, b"\xff" * 256))
    harness.handle(GossipReceived(77, good))
    harness.handle(GossipReceived(1, good))  # repeated and outdated
    receive_rows(
        harness, 1, quota_row([(1, NOW_TICK - 9, 90.0)], total=90.0), sent=NOW_MS + 3_600_000
    )
    receive_rows(
        harness, 1, quota_row([(1, NOW_TICK - 9, 90.0)], total=90.0, size=9)
    )  # a replica set larger than the fleet
    receive_rows(
        harness, 1, quota_row([(1, NOW_TICK - 9, 90.0)], total=90.0, forward_count=3)
    )  # forwarded to more gateways than the set has
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 90.0)], total=90.0, plan=99))
    assert (
        dict(quota.counters),
        quota.spent_units,
        harness.gateway.reachability.unreachable_fraction,
    ) == before
    assert list(harness.gateway.quota_counters.customers) == [7]


def test_a_row_on_a_replica_set_without_this_gateway_is_ignored():
    harness = GatewayHarness()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 4.0)], first=1, size=2))
    assert harness.gateway.quota_counters.customers == {}
