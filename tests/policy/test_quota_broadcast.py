"""Broadcasts of exhausted quotas, and periodic gossip of changes."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, of_type
from policy_rig import (
    NOW_TICK,
    confirmed_gateway,
    count_admitted,
    quota_row,
    receive_rows,
    sent_messages,
)

from saffrongw.policy.actions import (
    SendGossip,
)
from saffrongw.policy.customer_quota import CustomerQuota


def test_a_nearly_spent_quota_reaches_each_gateway_of_a_large_set_exactly_once():
    """Broadcasts have a bounded fan-out; forwarding must reach each other gateway exactly once."""
    rest, reached = 60, []
    harness = GatewayHarness(node_count=80, gossip_intake=1_000.0)
    receive_rows(
        harness,
        1,
        quota_row([(1, NOW_TICK - 9, 9.0)], headroom=1.0, total=9.0, size=rest),
        is_report=True,
    )
    waiting = sent_messages(harness.log)
    assert 0 < len(waiting) <= 13
    while waiting:
        node_index, message = waiting.pop()
        reached.append(node_index)
        other = GatewayHarness(node_count=80, node_index=node_index, gossip_intake=1_000.0)
        waiting += sent_messages(receive_rows(other, 0, *message.rows))
    assert sorted(reached) == list(range(1, rest))


def test_broadcasts_to_large_sets_leave_messages_to_reports():
    """In sets of 40 gateways, broadcasts for a few customers would use up the message budget."""
    harness = GatewayHarness(node_count=40, gossip_intake=40.0)
    for customer in range(40):
        row = quota_row(
            [(1, NOW_TICK - 9, 9.0)],
            headroom=1.0,
            total=9.0,
            size=40,
            customer=customer,
            forward_count=39,
        )
        receive_rows(harness, 1, row, is_report=True)
    spread = len(of_type(harness.log, SendGossip))
    assert 5 < spread < 20  # broadcasts get half of one second's message budget
    customer_of_other_coordinator = next(
        c
        for c in range(100, 200)
        if harness.gateway.replica_sets.coordinator(quota_of(harness, c)) != 0
    )
    actions = harness.send_request(1, customer=customer_of_other_coordinator, size=40)
    assert of_type(actions, SendGossip)  # the report is sent immediately


def quota_of(harness: GatewayHarness, customer: int) -> CustomerQuota:
    return CustomerQuota(customer, 0, 0, 40, 10.0, harness.now)


def test_a_quota_with_headroom_is_not_broadcast():
    harness = confirmed_gateway()
    receive_rows(harness, 1, quota_row([(1, NOW_TICK - 9, 2.0)], total=2.0), is_report=True)
    assert not sent_messages(harness.log)


def test_changes_go_to_a_random_peer_each_interval():
    harness = confirmed_gateway()
    count_admitted(harness, 1)
    rows = [row for _, m in sent_messages(harness.run(SECOND)) if not m.is_report for row in m.rows]
    assert [row.customer for row in rows] == [7]
    assert rows[0].counters[0][2] == 1.0


def test_messages_carry_only_customers_that_the_receiver_serves():
    harness = GatewayHarness(node_count=9)
    for i in range(1, 9):
        harness.send_request(i, customer=i, first=0, size=2)  # gateways 0 and 1
        harness.send_request(100 + i, customer=100 + i, first=0, size=9)
    seen = [
        (p, row.customer)
        for p, m in sent_messages([*harness.log, *harness.run(9 * SECOND)])
        for row in m.rows
    ]
    assert seen
    assert all(peer == 1 or customer > 100 for peer, customer in seen)


def test_a_replica_set_that_shrinks_to_one_does_not_stop_the_gossip(harness):
    harness.send_request(1, customer=5, size=3)
    harness.send_request(2, customer=5, size=1)
    harness.run(SECOND)
    assert not harness.gateway.quota_counters.changed
