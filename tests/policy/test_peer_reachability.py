"""What a gateway grants in a partition, and how it learns that the partition is over."""

from __future__ import annotations

import pytest
from conftest import SECOND, Bench, of
from policy_rig import (
    confirmed_bench,
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


def receive_quota_row(bench: Bench, sender: int, counts, total: float) -> None:
    """Receive a peer's row on the customer."""
    sent = bench.now // MS
    row = GossipRow(CUSTOMER, 0, 0, SIZE, 0, 10.0, total, 0.0, tuple(counts))
    body = gossip_codec.pack_message(sent, False, False, [gossip_codec.pack_row(row, sent, SIZE)])
    bench.feed(GossipReceived(sender, body))


def request_once(bench: Bench, number: int) -> list:
    actions = bench.ask(number, customer=CUSTOMER, size=SIZE)
    for send in of(actions, SendAttempt):
        bench.outcome(number, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
    return actions


def partitioned_gateway(node_index: int, own: int, total: float) -> Bench:
    """Return a gateway that knows the customer's use and its own part, and is then cut off."""
    bench = Bench(node_index=node_index, node_count=SIZE)
    receive_quota_row(bench, (node_index + 1) % SIZE, (), 0.0)
    for number in range(own):
        request_once(bench, number + 1)
    receive_quota_row(bench, (node_index + 1) % SIZE, (), total)
    bench.gateway.quota_counters.refill(bench.gateway.quota_counters.customers[CUSTOMER])
    bench.gateway.reachability.unreachable_fraction = 1.0
    return bench


def test_in_a_partition_each_gateway_has_the_part_of_the_quota_that_its_use_was():
    total = 6.0
    parts = []
    for node_index, own in ((0, 4), (1, 2), *((node_index, 0) for node_index in range(2, SIZE))):
        bench = partitioned_gateway(node_index, own, total)
        parts.append(
            bench.gateway.quota_counters.share(bench.gateway.quota_counters.customers[CUSTOMER])
        )
    assert parts[0] > 0.5
    assert parts[1] > 0.25
    assert 0 < parts[2] < 1 / SIZE
    assert sum(parts) == pytest.approx(1.0)
    stranger = Bench(node_index=3, node_count=SIZE)
    request_once(stranger, 1)
    # It received nothing about the customer: an even part.
    stranger.gateway.reachability.unreachable_fraction = 1.0
    counters = stranger.gateway.quota_counters
    assert counters.share(counters.customers[CUSTOMER]) == pytest.approx(1 / SIZE)


def test_the_part_in_a_partition_stays_that_of_before_it():
    bench = partitioned_gateway(0, 2, 8.0)
    account = bench.gateway.quota_counters.customers[CUSTOMER]
    before = bench.gateway.quota_counters.share(account)
    for number in range(100, 160):
        request_once(bench, number)
        bench.now += SECOND // 4
        bench.gateway.reachability.unreachable_fraction = 1.0
    assert bench.gateway.quota_counters.share(account) == before


def test_a_partitioned_gateway_that_rejects_still_reports_and_so_learns_that_it_is_over():
    bench = Bench(node_index=0, node_count=SIZE)
    receive_quota_row(bench, 1, (), 0.0)
    account = bench.gateway.quota_counters.customers[CUSTOMER]
    coordinator = bench.gateway.replica_sets.coordinator(account)
    if coordinator == 0:
        pytest.skip("its own keeper")
    bench.gateway.reachability.unreachable_fraction = 1.0
    for number in range(1, 41):
        account.limit = account.spent_units  # nothing of it is left to grant
        actions = request_once(bench, number)
        assert not of(actions, SendAttempt)
        if of(actions, SendGossip):
            bench.now += 20 * MS
            receive_quota_row(bench, coordinator, (), 0.0)
        bench.run(250 * MS)
        if bench.gateway.reachability.unreachable_fraction < 0.25:
            break
    assert bench.gateway.reachability.unreachable_fraction < 0.25


def test_a_connected_gateway_reports_nothing_for_what_it_rejects():
    bench = Bench(node_index=0, node_count=SIZE)
    receive_quota_row(bench, 1, (), 500.0)
    account = bench.gateway.quota_counters.customers[CUSTOMER]
    account.limit = account.spent_units
    assert not of(request_once(bench, 1), SendGossip)


def test_in_a_partition_a_part_is_left_to_silent_peers():
    bench = confirmed_bench(node_count=3)
    for i in range(1, 200):
        bench.ask(i, customer=i)
        bench.run(50_000)
    assert bench.gateway.reachability.unreachable_fraction > 0.5
    receive_rows(bench, 1, quota_row([]))
    assert count_admitted(bench, 20, start=900) <= 6


def test_a_gateway_that_stood_still_does_not_take_peers_for_silent():
    bench = Bench(node_count=60)
    for i in range(1, 20):
        bench.ask(i, customer=i, size=50)
    bench.now += 2 * SECOND  # no event in between: its own timers are late
    bench.run(1)
    assert bench.gateway.reachability.unreachable_fraction == 0.0
