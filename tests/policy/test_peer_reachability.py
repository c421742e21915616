"""Quotas in a partition, and how a gateway detects that the partition is over."""

from __future__ import annotations

import pytest
from conftest import SECOND, GatewayHarness, of_type
from policy_rig import (
    confirmed_gateway,
    count_admitted,
    quota_row,
    receive_rows,
)

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    SendAttempt,
    SendGossip,
)
from saffrongw.policy.events import (
    AttemptOutcome,
    GossipReceived,
)
from saffrongw.policy.gossip_codec import GossipRow

MS = 1_000
SIZE, CUSTOMER = 8, 7


def receive_quota_row(harness: GatewayHarness, sender: int, counts, total: float) -> None:
    """Receive a message from a peer with a row on the customer."""
    sent = harness.now // MS
    row = GossipRow(CUSTOMER, 0, 0, SIZE, 0, 10.0, total, 0.0, tuple(counts))
    body = gossip_codec.pack_message(sent, False, False, [gossip_codec.pack_row(row, sent, SIZE)])
    harness.handle(GossipReceived(sender, body))


def request_once(harness: GatewayHarness, number: int) -> list:
    actions = harness.send_request(number, customer=CUSTOMER, size=SIZE)
    for send in of_type(actions, SendAttempt):
        harness.end_attempt(number, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
    return actions


def partitioned_gateway(node_index: int, own: int, total: float) -> GatewayHarness:
    """Return a partitioned gateway that knows its own and the total usage of the customer."""
    harness = GatewayHarness(node_index=node_index, node_count=SIZE)
    receive_quota_row(harness, (node_index + 1) % SIZE, (), 0.0)
    for number in range(own):
        request_once(harness, number + 1)
    receive_quota_row(harness, (node_index + 1) % SIZE, (), total)
    harness.gateway.quota_counters.refill(harness.gateway.quota_counters.customers[CUSTOMER])
    harness.gateway.reachability.unreachable_fraction = 1.0
    return harness


def test_in_a_partition_each_gateways_share_follows_its_earlier_usage():
    total = 6.0
    parts = []
    for node_index, own in ((0, 4), (1, 2), *((node_index, 0) for node_index in range(2, SIZE))):
        harness = partitioned_gateway(node_index, own, total)
        parts.append(
            harness.gateway.quota_counters.share(harness.gateway.quota_counters.customers[CUSTOMER])
        )
    assert parts[0] > 0.5
    assert parts[1] > 0.25
    assert 0 < parts[2] < 1 / SIZE
    assert sum(parts) == pytest.approx(1.0)
    stranger = GatewayHarness(node_index=3, node_count=SIZE)
    request_once(stranger, 1)
    # A gateway that received nothing about the customer gets an even share.
    stranger.gateway.reachability.unreachable_fraction = 1.0
    counters = stranger.gateway.quota_counters
    assert counters.share(counters.customers[CUSTOMER]) == pytest.approx(1 / SIZE)


def test_the_share_does_not_change_during_a_partition():
    harness = partitioned_gateway(0, 2, 8.0)
    quota = harness.gateway.quota_counters.customers[CUSTOMER]
    before = harness.gateway.quota_counters.share(quota)
    for number in range(100, 160):
        request_once(harness, number)
        harness.now += SECOND // 4
        harness.gateway.reachability.unreachable_fraction = 1.0
    assert harness.gateway.quota_counters.share(quota) == before


def test_a_partitioned_gateway_reports_rejections_and_so_detects_the_end_of_the_partition():
    harness = GatewayHarness(node_index=0, node_count=SIZE)
    receive_quota_row(harness, 1, (), 0.0)
    quota = harness.gateway.quota_counters.customers[CUSTOMER]
    coordinator = harness.gateway.replica_sets.coordinator(quota)
    if coordinator == 0:
        pytest.skip("this gateway is the customer's coordinator")
    harness.gateway.reachability.unreachable_fraction = 1.0
    for number in range(1, 41):
        quota.limit = quota.spent_units  # no headroom
        actions = request_once(harness, number)
        assert not of_type(actions, SendAttempt)
        if of_type(actions, SendGossip):
            harness.now += 20 * MS
            receive_quota_row(harness, coordinator, (), 0.0)
        harness.run(250 * MS)
        if harness.gateway.reachability.unreachable_fraction < 0.25:
            break
    assert harness.gateway.reachability.unreachable_fraction < 0.25


def test_a_connected_gateway_reports_nothing_for_what_it_rejects():
    harness = GatewayHarness(node_index=0, node_count=SIZE)
    receive_quota_row(harness, 1, (), 500.0)
    quota = harness.gateway.quota_counters.customers[CUSTOMER]
    quota.limit = quota.spent_units
    assert not of_type(request_once(harness, 1), SendGossip)


def test_in_a_partition_a_share_of_the_quota_is_left_to_silent_peers():
    harness = confirmed_gateway(node_count=3)
    for i in range(1, 200):
        harness.send_request(i, customer=i)
        harness.run(50_000)
    assert harness.gateway.reachability.unreachable_fraction > 0.5
    receive_rows(harness, 1, quota_row([]))
    assert count_admitted(harness, 20, start=900) <= 6


def test_a_gateway_that_was_paused_does_not_count_its_peers_as_silent():
    harness = GatewayHarness(node_count=60)
    for i in range(1, 20):
        harness.send_request(i, customer=i, size=50)
    harness.now += 2 * SECOND  # without timers in between, as if the process was paused
    harness.run(1)
    assert harness.gateway.reachability.unreachable_fraction == 0.0
