"""Explores every interleaving of small cases.

No lease ever has two holders, and each planted fault is found with a shortest sequence of steps.
"""

from __future__ import annotations

import pytest

from benchmarks.fleet import lease_planted_faults as planted
from benchmarks.fleet.lease_explorer import LeaseCase
from testbed.simulation.explore import Explorer

PLANTED = {
    "no silence after a restart": {
        "acceptor": planted.NotSilentAcceptor,
        "restarts": 1,
        "ticks": 2,
        "first_leads": True,
    },
    "the holder's duration as long as the acceptor's": {
        "timing": planted.LongHolderTiming,
        "first_leads": True,
    },
    "majority less one": {"proposer": planted.MinorityProposer, "ticks": 1},
    "a token that does not grow": {
        "proposer": planted.SameTokenProposer,
        "acceptor": planted.AnyTokenAcceptor,
        "first_leads": True,
    },
    "an answer counted twice": {
        "proposer": planted.DoubleCountProposer,
        "answers_stay": True,
        "ticks": 1,
    },
    "a grant on top of another's": {"acceptor": planted.DoubleGrantAcceptor, "first_leads": True},
    "clocks beyond the bound": {"rates": (2.0, 0.5), "ticks": 2, "first_leads": True},
}
CORRECT = {
    "two propose": {"ticks": 2},
    "one restarts": {"ticks": 3, "restarts": 1, "first_leads": True},
    "one message is doubled": {"ticks": 2, "duplicates": 1, "first_leads": True},
    "renewed": {"ticks": 3, "renews": True, "proposers": 1, "restarts": 1},
    "rejected and released": {"ticks": 3, "proposers": 1, "rejections": True, "releases": True},
}


@pytest.mark.parametrize("name", CORRECT)
def test_no_state_has_two_holders_and_a_free_lease_can_be_acquired(name):
    found = Explorer(LeaseCase(**CORRECT[name], regain=True)).run()
    assert found.whole, found.text()
    assert not found.breach, found.text()
    assert found.states > 500


@pytest.mark.parametrize("name", PLANTED)
def test_each_planted_fault_is_found_with_a_short_sequence_of_steps(name):
    found = Explorer(LeaseCase(**PLANTED[name])).run()
    assert found.breach, found.text()
    assert "hold" in found.breach
    assert 5 <= len(found.story) <= 25
    assert found.story[0].endswith("asks")
    # The same case without the fault has no breach within as many states.
    without_fault = {
        k: v
        for k, v in PLANTED[name].items()
        if k not in ("acceptor", "proposer", "timing", "rates")
    }
    assert not Explorer(LeaseCase(**without_fault), found.states).run().breach
