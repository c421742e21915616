"""The order in which candidates are offered leases."""

from __future__ import annotations

from saffrongw.leases.candidates import Candidates, shard_of
from saffrongw.leases.gateway_id import GatewayId


def test_a_candidate_that_joins_or_leaves_moves_one_lease_in_n():
    shards = 128
    candidates = Candidates(shards)
    for n in range(10):
        candidates.announce(0, GatewayId(f"g{n}", 1), (), False, 1 << 60)
    before = {lease: candidates.order(lease)[0] for lease in candidates.leases()}
    assert max(list(before.values()).count(f"g{n}") for n in range(10)) <= 3 * shards / 10
    candidates.announce(0, GatewayId("g10", 1), (), False, 1 << 60)
    moved = {lease for lease, first in before.items() if candidates.order(lease)[0] != first}
    assert {candidates.order(lease)[0] for lease in moved} == {"g10"}
    assert 0 < len(moved) <= 2.5 * shards / 11
    candidates.remove("g10")
    assert {lease: candidates.order(lease)[0] for lease in candidates.leases()} == before
    shards_with_tasks = {shard_of(f"t{n}", 16) for n in range(500)}
    assert len(shards_with_tasks) == 16
