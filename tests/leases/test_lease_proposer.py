"""The proposer, message by message: late, duplicate and lost answers, renewals, releases."""

from __future__ import annotations

from consensus_rig import LEASE, NAMES, TIMING, ConsensusRig

from saffrongw.leases.claim import ClaimStage
from saffrongw.leases.messages import (
    Accept,
    Propose,
)


def test_a_renewal_has_the_same_token_and_a_lost_round_is_repeated():
    rig = ConsensusRig("a", "b")
    first = rig.acquire("a")
    for lost in (False, True, False, True):
        rig.advance(TIMING.renew_after_us)
        out = rig.proposers["a"].due(rig.now)
        assert {type(message) for _, message in out} == {Propose}
        rig.deliver("a", out, () if lost else NAMES)
        if lost:
            rig.advance(TIMING.resend_after_us)
            rig.deliver("a", rig.proposers["a"].due(rig.now))
        assert rig.token("a") == first
        assert not rig.acquire("b")


def test_an_accept_of_an_earlier_round_is_ignored():
    rig = ConsensusRig("a")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    claim = proposer.claims[LEASE]
    old = Accept(LEASE, claim.ballot, claim.round)
    rig.advance(TIMING.renew_after_us)
    proposer.due(rig.now)
    until = claim.held_until_us
    for voter in NAMES:
        proposer.handle(rig.now, voter, old)
    assert claim.held_until_us == until


def test_a_duplicate_promise_counts_as_one_voter():
    rig = ConsensusRig("a")
    proposer = rig.proposers["a"]
    proposer.propose(rig.now, LEASE)
    out = dict(proposer.due(rig.now))
    promise = rig.send_to("v0", "a", out["v0"])[0]
    assert proposer.handle(rig.now, "v0", promise) == proposer.handle(rig.now, "v0", promise) == []
    assert proposer.claims[LEASE].stage is ClaimStage.PREPARING


def test_accepts_that_arrive_after_the_duration_are_void():
    rig = ConsensusRig("a")
    proposer = rig.proposers["a"]
    proposer.propose(rig.now, LEASE)
    late = []
    for voter, message in proposer.due(rig.now):
        for answer in rig.send_to(voter, "a", message):
            for to, proposal in proposer.handle(rig.now, voter, answer):
                late += [(to, answer) for answer in rig.send_to(to, "a", proposal)]
    rig.advance(TIMING.holder_duration_us)
    for voter, answer in late:
        proposer.handle(rig.now, voter, answer)
    assert not rig.token("a")
    assert proposer.counters["late"] == 1
    assert not proposer.events


def test_a_released_lease_is_proposed_under_a_new_ballot():
    rig = ConsensusRig("a")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    old = proposer.claims[LEASE].ballot
    proposer.release(LEASE, "test")
    proposer.propose(rig.now, LEASE)
    proposer.due(rig.now)
    assert proposer.claims[LEASE].ballot > old


def test_a_failed_round_releases_what_a_minority_granted():
    rig = ConsensusRig("a", "b")
    proposer = rig.proposers["a"]
    proposer.propose(rig.now, LEASE)
    promises = [(v, rig.send_to(v, "a", m)[0]) for v, m in proposer.due(rig.now)]
    proposals = [p for v, promise in promises for p in proposer.handle(rig.now, v, promise)]
    rig.send_to("v0", "a", proposals[0][1])  # one voter grants the lease, and its answer is lost
    rig.now += TIMING.max_round_us
    rig.deliver("a", proposer.due(rig.now))
    assert rig.acquire("b", ("v0", "v1"))
