"""The acceptor, message by message: restarts, duplicates, foreign messages, tokens, offers."""

from __future__ import annotations

from consensus_rig import LEASE, NAMES, TIMING, ConsensusRig

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import MAX_CANDIDATES, Candidates
from saffrongw.leases.claim import LeaseGained, LeaseLost
from saffrongw.leases.messages import (
    Announce,
    AnnounceReply,
    Ballot,
    Nack,
    NackReason,
    Offer,
    Prepare,
    ProgressStored,
    Promise,
    Propose,
    Release,
    ReportProgress,
    TaskProgress,
)
from saffrongw.leases.suspensions import Suspensions
from saffrongw.leases.timing import SECOND_US


def test_after_a_grant_expires_the_next_holder_gets_a_higher_token():
    rig = ConsensusRig("a", "b")
    first = rig.acquire("a")
    assert first
    assert not rig.acquire("b")
    rig.advance(TIMING.holder_duration_us)
    assert not rig.token("a")
    assert not rig.acquire("b")  # the acceptors' duration is longer than the holder's
    rig.advance(TIMING.duration_us - TIMING.holder_duration_us)
    assert rig.acquire("b") > first


def test_an_acceptor_that_restarts_is_silent_for_one_duration():
    rig = ConsensusRig("a")
    rig.acquire("a")
    rig.acceptors["v0"] = rig.acceptor("v0")
    assert rig.send_to("v0", "b", Prepare(LEASE, Ballot(9, "b", 1))) == []
    rig.advance(TIMING.silence_us - 1)
    assert rig.send_to("v0", "b", Propose(LEASE, Ballot(9, "b", 1), 1, TIMING.duration_us, 5)) == []
    rig.advance(1)
    assert isinstance(rig.send_to("v0", "b", Prepare(LEASE, Ballot(9, "b", 1)))[0], Promise)


def test_a_promise_forgotten_at_a_restart_does_not_let_another_take_a_held_lease():
    """A renewal reaches an acceptor after its restart, and a promise of that acceptor from before
    the restart reaches a competing proposer. Found by the explorer."""
    rig = ConsensusRig("a", "b")
    assert rig.acquire("a")
    a, b = rig.proposers["a"], rig.proposers["b"]
    rig.acceptors["v1"] = rig.acceptor("v1")
    rig.acceptors["v1"].silent_until_us = rig.now  # as if it had started one duration ago
    rig.acceptors["v1"].due(rig.now, rig.wall)
    b.propose(rig.now, LEASE, ballot_number=1)
    requests = dict(b.due(rig.now))
    (old,) = rig.send_to("v1", "b", requests["v1"])
    rig.acceptors["v1"] = rig.acceptor("v1")
    for step, reachable in (
        (1, ("v0", "v2")),
        (2, ("v0", "v2")),
        (3, ("v0", "v1")),
        (4, ("v0", "v1")),
    ):
        rig.advance(TIMING.renew_after_us)
        rig.deliver("a", a.due(rig.now), reachable)
        assert rig.token("a"), step
    rig.now += TIMING.duration_us // 2
    # A proposer that was paused and does not notice that its round has ended.
    b.claims[LEASE].round_deadline_us = 1 << 60
    out = b.handle(rig.now, "v1", old)
    for answer in rig.send_to("v2", "b", requests["v2"]):
        out += b.handle(rig.now, "v2", answer)
    assert isinstance(out[0][1], Propose)
    rig.deliver("b", out)
    assert rig.token("a")
    assert not rig.token("b")


def test_tokens_grow_after_all_acceptors_lose_their_memory():
    rig = ConsensusRig("a", "b")
    first = rig.acquire("a")
    for name in NAMES:
        rig.acceptors[name] = rig.acceptor(name)
    rig.advance(TIMING.silence_us)
    assert rig.acquire("b") > first


def test_tokens_grow_from_the_disk_when_wall_clocks_were_set_back():
    rig = ConsensusRig("a", "b")
    first = rig.acquire("a")
    for name in NAMES:
        rig.acceptors[name] = Acceptor(
            name, TIMING, Candidates(1), Suspensions(), rig.now, first + 500, first + 9_000
        )
    rig.now += TIMING.silence_us
    hour_ago = rig.wall - 3_600 * SECOND_US
    for acceptor in rig.acceptors.values():
        acceptor.due(rig.now, hour_ago)
    assert rig.acquire("b") > first + 500


def test_a_token_above_the_reserved_ones_is_rejected():
    rig = ConsensusRig("a")
    for acceptor in rig.acceptors.values():
        acceptor.reserved_token = 5
    assert not rig.acquire("a")
    ballot = Ballot(7, "a", 1)
    assert (
        rig.send_to("v0", "a", Propose(LEASE, ballot, 1, TIMING.duration_us, 99))[0].reason
        == NackReason.TOKEN
    )


def test_a_released_lease_is_free_at_once_and_duplicates_of_its_proposals_are_rejected():
    rig = ConsensusRig("a", "b")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    claim = proposer.claims[LEASE]
    duplicate = Propose(LEASE, claim.ballot, claim.round, TIMING.duration_us, claim.fencing_token)
    rig.deliver("a", proposer.release(LEASE, "test"))
    assert isinstance(proposer.events[-1], LeaseLost)
    renewal = Propose(
        LEASE, claim.ballot, claim.round + 1, TIMING.duration_us, claim.fencing_token, False
    )
    for late in (duplicate, renewal):
        assert isinstance(rig.send_to("v0", "a", late)[0], Nack)
    assert rig.acquire("b")


def test_a_late_renewal_from_before_a_release_does_not_replace_a_later_grant():
    """A holder releases a lease and acquires it again; then delayed copies of its former renewal
    and release arrive. Found on virtual day 200046."""
    rig = ConsensusRig("a", "b")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    claim = proposer.claims[LEASE]
    former = claim.ballot
    renewal = Propose(
        LEASE, former, claim.round + 1, TIMING.duration_us, claim.fencing_token, False
    )
    proposer.release(LEASE, "test")  # its release messages are delayed
    assert rig.acquire("a")
    assert proposer.claims[LEASE].ballot > former
    for name in rig.acceptors:
        assert rig.send_to(name, "a", renewal)[0].reason == NackReason.OUTBID
        rig.send_to(name, "a", Release(LEASE, former))
    assert proposer.held(rig.now)
    assert not rig.acquire("b")


def test_foreign_ballots_and_unknown_leases_are_rejected_and_not_stored():
    rig = ConsensusRig()
    assert rig.send_to("v0", "b", Prepare(LEASE, Ballot(1, "a", 1)))[0].reason == NackReason.UNKNOWN
    assert rig.send_to("v0", "a", Prepare(LEASE, Ballot(1, "a", 2)))[0].reason == NackReason.UNKNOWN
    for n in range(10_000):
        assert (
            rig.send_to("v0", "a", Prepare(f"x{n}", Ballot(1, "a", 1)))[0].reason
            == NackReason.UNKNOWN
        )
        rig.send_to("v0", "a", ReportProgress(f"x{n}", 1, (TaskProgress(b"x", 1, 1, 1),)))
        rig.send_to("v0", "a", Release(f"x{n}", Ballot(1, "a", 1)))
    assert len(rig.acceptors["v0"].records) <= 1


def test_candidates_and_their_leases_are_bounded_and_expire():
    rig = ConsensusRig()
    acceptor = rig.acceptors["v0"]
    for n in range(10_000):
        rig.send_to("v0", f"g{n}", Announce(1, (f"x{n}",), False, False, ()))
    assert len(acceptor.candidates.by_name) == MAX_CANDIDATES
    assert len(acceptor.records) <= 1 + 512
    assert acceptor.candidates.rejected_count == 10_000 - MAX_CANDIDATES
    rig.advance(3_600 * SECOND_US)
    rig.advance(TIMING.duration_us)
    assert not acceptor.candidates.by_name
    assert len(acceptor.records) == 1


def test_a_proposal_for_a_longer_duration_is_rejected():
    rig = ConsensusRig()
    assert (
        rig.send_to("v0", "a", Propose(LEASE, Ballot(1, "a", 1), 1, TIMING.duration_us + 1, 5))[
            0
        ].reason
        == NackReason.DURATION
    )


def test_a_suspended_lease_is_granted_to_nobody_until_the_end():
    rig = ConsensusRig("a")
    until = rig.wall / 1e6 + 30
    for acceptor in rig.acceptors.values():
        acceptor.suspensions.put(LEASE, until, "night shift", "wrong table", rig.wall / 1e6)
    assert not rig.acquire("a")
    rig.advance(31 * SECOND_US)
    assert rig.acquire("a")


def test_reported_progress_comes_with_the_next_grant():
    rig = ConsensusRig("a", "b")
    token = rig.acquire("a")
    latest = TaskProgress(b"task", 7, token, 3)
    for voter in ("v0", "v1"):
        assert rig.send_to(voter, "a", ReportProgress(LEASE, 5, (latest,))) == [
            ProgressStored(LEASE, 5)
        ]
        rig.send_to(voter, "a", ReportProgress(LEASE, 6, (TaskProgress(b"task", 6, token, 3),)))
    rig.advance(TIMING.duration_us)
    rig.acquire("b", ("v1", "v2"))
    gained = rig.proposers["b"].events[-1]
    assert isinstance(gained, LeaseGained)
    assert gained.progress == {b"task": latest}


def test_a_free_lease_goes_in_order_and_last_to_one_whose_grant_expired():
    rig = ConsensusRig("a")
    acceptor = rig.acceptors["v0"]
    for name in ("a", "g1", "g2", "g3", "g4"):
        reply = rig.send_to("v0", name, Announce(1, (), False, False, ()))[0]
        assert isinstance(reply, AnnounceReply)
    acceptor.candidates.by_name["a"].since_us = 0
    rig.acquire("a")
    rig.now += TIMING.duration_us
    order = acceptor.candidates.order(LEASE)
    first_candidates = [
        to for to, message in acceptor.due(rig.now, rig.wall) if isinstance(message, Offer)
    ]
    assert first_candidates == [name for name in order if name != "a"][:2]
    rig.now += TIMING.offer_interval_us
    next_candidates = [
        to for to, message in acceptor.due(rig.now, rig.wall) if isinstance(message, Offer)
    ]
    assert next_candidates
    assert not set(next_candidates) & set(first_candidates)
