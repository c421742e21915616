"""Every interleaving of small cases: no breach, and each planted fault is found with its story."""

from __future__ import annotations

import pytest

from benchmarks.fleet import lease_explorer as case
from testbed.simulation.explore import Explorer

PLANTED = {
    "no silence after a restart": {
        "acceptor": case.NotSilent,
        "restarts": 1,
        "ticks": 2,
        "first_asks": True,
    },
    "the holder's span as long as the voter's": {"timing": case.LongHolder, "first_asks": True},
    "majority less one": {"proposer": case.Minority, "ticks": 1},
    "a number that doesn't grow": {
        "proposer": case.SameNumber,
        "acceptor": case.Careless,
        "first_asks": True,
    },
    "an answer counted twice": {"proposer": case.CountsTwice, "answers_stay": True, "ticks": 1},
    "a grant on top of another's": {"acceptor": case.GrantsHeld, "first_asks": True},
    "clocks beyond the bound": {"rates": (2.0, 0.5), "ticks": 2, "first_asks": True},
}
TRUE = {
    "two ask": {"ticks": 2},
    "one restarts": {"ticks": 3, "restarts": 1, "first_asks": True},
    "one voter doubles": {"ticks": 2, "doubles": 1, "first_asks": True},
    "renewed": {"ticks": 3, "renews": True, "proposers": 1, "restarts": 1},
    "refused and released": {"ticks": 3, "proposers": 1, "refusals": True, "releases": True},
}


@pytest.mark.parametrize("name", TRUE)
def test_no_state_has_two_holders_and_a_free_lease_can_be_had(name):
    found = Explorer(case.LeaseCase(**TRUE[name], regain=True)).run()
    assert found.whole, found.text()
    assert not found.breach, found.text()
    assert found.states > 500


@pytest.mark.parametrize("name", PLANTED)
def test_each_planted_fault_has_a_shortest_story(name):
    found = Explorer(case.LeaseCase(**PLANTED[name])).run()
    assert found.breach, found.text()
    assert "hold" in found.breach
    assert 5 <= len(found.story) <= 25
    assert found.story[0].endswith("asks")
    # The same case without the fault has no breach within as many states.
    plain = {
        k: v
        for k, v in PLANTED[name].items()
        if k not in ("acceptor", "proposer", "timing", "rates")
    }
    assert not Explorer(case.LeaseCase(**plain), found.states).run().breach
