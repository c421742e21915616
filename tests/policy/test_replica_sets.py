"""Replica sets of any position and size."""

from __future__ import annotations

import pytest
from conftest import SECOND, Bench
from policy_rig import (
    count_admitted,
    sent_messages,
)


@pytest.mark.parametrize(
    ("gateways", "first", "size"), [(1, 0, 1), (60, 0, 1), (60, 55, 12), (60, 7, 60)]
)
def test_a_replica_set_of_any_position_and_size_gets_its_messages(gateways, first, size):
    bench = Bench(node_count=gateways)
    assert count_admitted(bench, 1, first=first, size=size) == 1
    members = {(first + i) % gateways for i in range(size)}
    assert {p for p, _ in sent_messages([*bench.log, *bench.run(2 * SECOND)])} <= members - {0}
