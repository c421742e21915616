"""Replica sets: membership and coordinators at any position and size."""

from __future__ import annotations

import pytest
from conftest import SECOND, GatewayHarness
from policy_rig import (
    count_admitted,
    sent_messages,
)

from saffrongw.policy.customer_quota import CustomerQuota
from saffrongw.policy.replica_sets import ReplicaSets


@pytest.mark.parametrize(
    ("gateways", "first", "size"), [(1, 0, 1), (60, 0, 1), (60, 55, 12), (60, 7, 60)]
)
def test_a_replica_set_of_any_position_and_size_gets_its_messages(gateways, first, size):
    harness = GatewayHarness(node_count=gateways)
    assert count_admitted(harness, 1, first=first, size=size) == 1
    members = {(first + i) % gateways for i in range(size)}
    assert {p for p, _ in sent_messages([*harness.log, *harness.run(2 * SECOND)])} <= members - {0}


def test_positions_wrap_around_the_fleet():
    replica_sets = ReplicaSets(node_index=1, node_count=10)
    quota = CustomerQuota(7, 0, 8, 4, 10.0, 0)
    assert [replica_sets.member(quota, position) for position in range(5)] == [8, 9, 0, 1, 8]
    assert [replica_sets.position(node, 8) for node in (8, 9, 0, 1)] == [0, 1, 2, 3]
    assert [node for node in range(10) if replica_sets.contains(node, 8, 4)] == [0, 1, 8, 9]


def test_candidates_for_coordinator_are_different_members_of_the_replica_set():
    replica_sets = ReplicaSets(node_index=1, node_count=10)
    for customer in range(50):
        quota = CustomerQuota(customer, 0, 8, 4, 10.0, 0)
        candidates = [replica_sets.coordinator(quota, number) for number in range(3)]
        assert len(set(candidates)) == 3
        assert set(candidates) <= {8, 9, 0, 1}
