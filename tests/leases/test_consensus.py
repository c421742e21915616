"""Voter and proposer, one exchange at a time: late, doubled, old and foreign messages, restarts, holds, numbers."""

from __future__ import annotations

import pytest

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import MAX_CANDIDATES, Candidates, shard_of
from saffrongw.leases.claim import ClaimStage, LeaseGained, LeaseLost
from saffrongw.leases.messages import (
    Accept,
    Announce,
    AnnounceReply,
    Ballot,
    GatewayId,
    Nack,
    NackReason,
    Offer,
    Prepare,
    ProgressStored,
    Promise,
    Propose,
    Release,
    ReportProgress,
    Suspension,
    TaskProgress,
)
from saffrongw.leases.proposer import Proposer
from saffrongw.leases.suspensions import SuspensionError, Suspensions
from saffrongw.leases.timing import MILLISECOND_US, SECOND_US, Timing

TIMING = Timing(10 * SECOND_US, 0.01)
WALL = 1_700_000_000 * SECOND_US
LEASE = "s0/1"
NAMES = ("v0", "v1", "v2")


class Rig:
    """Three voters and as many proposers as are named; messages arrive when the test says so."""

    def __init__(self, *proposers: str, silent: bool = False) -> None:
        self.now = 100 * SECOND_US
        self.acceptors = {name: self.acceptor(name) for name in NAMES}
        self.proposers = {
            name: Proposer(GatewayId(name, 1), NAMES, TIMING, lambda: 0.5) for name in proposers
        }
        if not silent:
            for acceptor in self.acceptors.values():
                acceptor.silent_until_us = self.now
                acceptor.due(self.now, self.wall)

    def acceptor(self, name: str) -> Acceptor:
        return Acceptor(name, TIMING, Candidates(1), Suspensions(), self.now)

    @property
    def wall(self) -> int:
        return WALL + self.now

    def to(self, voter: str, sender: str, message, incarnation: int = 1) -> list:
        return [
            m
            for _, m in self.acceptors[voter].handle(
                self.now, self.wall, GatewayId(sender, incarnation), message
            )
        ]

    def pass_on(self, sender: str, out, to=NAMES) -> None:
        """Deliver what a proposer sent, and the answers, until nothing is left."""
        proposer, waiting = self.proposers[sender], list(out)
        while waiting:
            voter, message = waiting.pop(0)
            if voter in to:
                for answer in self.to(voter, sender, message):
                    waiting += proposer.handle(self.now, voter, answer)

    def acquire(self, name: str, to=NAMES) -> int:
        """Acquire the lease; return the token it is held under, 0 where it is not."""
        proposer = self.proposers[name]
        promised = [e.promised.number for v in self.acceptors.values() for e in v.records.values()]
        proposer.propose(
            self.now, LEASE, ballot_number=max(promised, default=0)
        )  # as the offer of a voter says
        self.pass_on(name, proposer.due(self.now), to)
        return self.token(name)

    def token(self, name: str) -> int:
        held = self.proposers[name].held(self.now)
        return held[0].fencing_token if held else 0

    def wait(self, span: int) -> None:
        self.now += span
        for acceptor in self.acceptors.values():
            acceptor.due(self.now, self.wall)


def test_the_holder_ends_before_the_voter_for_every_pair_of_rates_within_the_bound():
    for drift in (0.0, 0.001, 0.01, 0.05, 0.2):
        timing = Timing(10 * SECOND_US, drift)
        assert timing.holder_duration_us / (1 - drift) <= timing.duration_us / (1 + drift)
        assert timing.holder_duration_us > 0.6 * timing.duration_us
        slowest, fastest = timing.believable_rates
        assert slowest * fastest == pytest.approx(1)


@pytest.mark.parametrize(
    "wrong", [{"duration_us": 10 * MILLISECOND_US}, {"max_drift": 0.3}, {"max_drift": -0.1}]
)
def test_spans_that_leave_no_room_are_refused(wrong):
    with pytest.raises(ValueError, match=r"span|drift"):
        Timing(**wrong)


def test_one_holds_until_its_end_and_the_next_one_has_a_higher_number():
    rig = Rig("a", "b")
    first = rig.acquire("a")
    assert first and not rig.acquire("b")
    rig.wait(TIMING.holder_duration_us)
    assert not rig.token("a")
    assert not rig.acquire("b")  # voters wait longer than the holder
    rig.wait(TIMING.duration_us - TIMING.holder_duration_us)
    assert rig.acquire("b") > first


def test_a_renewal_keeps_the_number_and_a_lost_round_is_made_up_for():
    rig = Rig("a", "b")
    first = rig.acquire("a")
    for lost in (False, True, False, True):
        rig.wait(TIMING.renew_after_us)
        out = rig.proposers["a"].due(rig.now)
        assert {type(message) for _, message in out} == {Propose}
        rig.pass_on("a", out, () if lost else NAMES)
        if lost:
            rig.wait(TIMING.resend_after_us)
            rig.pass_on("a", rig.proposers["a"].due(rig.now))
        assert rig.token("a") == first
        assert not rig.acquire("b")


def test_an_answer_of_an_earlier_round_counts_for_nothing():
    rig = Rig("a")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    claim = proposer.claims[LEASE]
    old = Accept(LEASE, claim.ballot, claim.round)
    rig.wait(TIMING.renew_after_us)
    proposer.due(rig.now)
    until = claim.held_until_us
    for voter in NAMES:
        proposer.handle(rig.now, voter, old)
    assert claim.held_until_us == until


def test_a_doubled_answer_is_one_voter():
    rig = Rig("a")
    proposer = rig.proposers["a"]
    proposer.propose(rig.now, LEASE)
    out = dict(proposer.due(rig.now))
    promise = rig.to("v0", "a", out["v0"])[0]
    assert proposer.handle(rig.now, "v0", promise) == proposer.handle(rig.now, "v0", promise) == []
    assert proposer.claims[LEASE].stage is ClaimStage.PREPARING


def test_a_grant_that_arrives_after_its_span_is_worth_nothing():
    rig = Rig("a")
    proposer = rig.proposers["a"]
    proposer.propose(rig.now, LEASE)
    late = []
    for voter, message in proposer.due(rig.now):
        for answer in rig.to(voter, "a", message):
            for to, proposal in proposer.handle(rig.now, voter, answer):
                late += [(to, answer) for answer in rig.to(to, "a", proposal)]
    rig.wait(TIMING.holder_duration_us)
    for voter, answer in late:
        proposer.handle(rig.now, voter, answer)
    assert not rig.token("a")
    assert proposer.counters["late"] == 1 and not proposer.events


def test_a_ballot_is_never_used_again_so_an_old_answer_can_not_count():
    rig = Rig("a")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    old = proposer.claims[LEASE].ballot
    proposer.release(LEASE, "test")
    proposer.propose(rig.now, LEASE)
    proposer.due(rig.now)
    assert proposer.claims[LEASE].ballot > old


def test_a_voter_that_starts_anew_is_silent_for_the_longest_span():
    rig = Rig("a")
    rig.acquire("a")
    rig.acceptors["v0"] = rig.acceptor("v0")
    assert rig.to("v0", "b", Prepare(LEASE, Ballot(9, "b", 1))) == []
    rig.wait(TIMING.silence_us - 1)
    assert rig.to("v0", "b", Propose(LEASE, Ballot(9, "b", 1), 1, TIMING.duration_us, 5)) == []
    rig.wait(1)
    assert isinstance(rig.to("v0", "b", Prepare(LEASE, Ballot(9, "b", 1)))[0], Promise)


def test_a_promise_that_a_voter_has_forgotten_lets_nobody_take_what_another_holds():
    """The explorer's story: a renewal reaches a voter after its restart, a promise of that voter from before it."""
    rig = Rig("a", "b")
    assert rig.acquire("a")
    a, b = rig.proposers["a"], rig.proposers["b"]
    rig.acceptors["v1"] = rig.acceptor("v1")
    rig.acceptors["v1"].silent_until_us = rig.now  # as if it had started a span ago
    rig.acceptors["v1"].due(rig.now, rig.wall)
    b.propose(rig.now, LEASE, ballot_number=1)
    requests = dict(b.due(rig.now))
    (old,) = rig.to("v1", "b", requests["v1"])
    rig.acceptors["v1"] = rig.acceptor("v1")
    for step, to in ((1, ("v0", "v2")), (2, ("v0", "v2")), (3, ("v0", "v1")), (4, ("v0", "v1"))):
        rig.wait(TIMING.renew_after_us)
        rig.pass_on("a", a.due(rig.now), to)
        assert rig.token("a"), step
    rig.now += TIMING.duration_us // 2
    b.claims[LEASE].round_deadline_us = 1 << 60  # it stood still, and believes that no time went by
    out = b.handle(rig.now, "v1", old)
    for answer in rig.to("v2", "b", requests["v2"]):
        out += b.handle(rig.now, "v2", answer)
    assert isinstance(out[0][1], Propose)
    rig.pass_on("b", out)
    assert rig.token("a") and not rig.token("b")


def test_numbers_grow_though_every_voter_has_forgotten_all():
    rig = Rig("a", "b")
    first = rig.acquire("a")
    for name in NAMES:
        rig.acceptors[name] = rig.acceptor(name)
    rig.wait(TIMING.silence_us)
    assert rig.acquire("b") > first


def test_numbers_grow_from_the_disk_where_wall_clocks_were_set_back():
    rig = Rig("a", "b")
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


def test_a_number_that_the_disk_does_not_vouch_for_is_not_granted():
    rig = Rig("a")
    for acceptor in rig.acceptors.values():
        acceptor.reserved_token = 5
    assert not rig.acquire("a")
    ballot = Ballot(7, "a", 1)
    assert (
        rig.to("v0", "a", Propose(LEASE, ballot, 1, TIMING.duration_us, 99))[0].reason
        == NackReason.TOKEN
    )


def test_a_lease_given_back_is_free_at_once_and_a_late_copy_of_its_proposal_takes_nothing():
    rig = Rig("a", "b")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    claim = proposer.claims[LEASE]
    late_copy = Propose(LEASE, claim.ballot, claim.round, TIMING.duration_us, claim.fencing_token)
    rig.pass_on("a", proposer.release(LEASE, "test"))
    assert isinstance(proposer.events[-1], LeaseLost)
    renewal = Propose(
        LEASE, claim.ballot, claim.round + 1, TIMING.duration_us, claim.fencing_token, False
    )
    for late in (late_copy, renewal):
        assert isinstance(rig.to("v0", "a", late)[0], Nack)
    assert rig.acquire("b")


def test_a_late_renewal_from_before_a_release_does_not_take_the_place_of_what_was_granted_since():
    """Virtual day 200046: the holder gave back and had it again; then came copies of its former renewal and release."""
    rig = Rig("a", "b")
    rig.acquire("a")
    proposer = rig.proposers["a"]
    claim = proposer.claims[LEASE]
    former = claim.ballot
    renewal = Propose(
        LEASE, former, claim.round + 1, TIMING.duration_us, claim.fencing_token, False
    )
    proposer.release(LEASE, "test")  # its releases are slow
    assert rig.acquire("a") and proposer.claims[LEASE].ballot > former
    for name in rig.acceptors:
        assert rig.to(name, "a", renewal)[0].reason == NackReason.OUTBID
        rig.to(name, "a", Release(LEASE, former))
    assert proposer.held(rig.now)
    assert not rig.acquire("b")


def test_what_a_failed_round_left_at_a_few_voters_is_freed():
    rig = Rig("a", "b")
    proposer = rig.proposers["a"]
    proposer.propose(rig.now, LEASE)
    promises = [(v, rig.to(v, "a", m)[0]) for v, m in proposer.due(rig.now)]
    proposals = [p for v, promise in promises for p in proposer.handle(rig.now, v, promise)]
    rig.to("v0", "a", proposals[0][1])  # one voter has it, nobody answers
    rig.now += TIMING.max_round_us
    rig.pass_on("a", proposer.due(rig.now))
    assert rig.acquire("b", ("v0", "v1"))


def test_nobody_asks_for_another_and_nothing_is_known_of_other_names():
    rig = Rig()
    assert rig.to("v0", "b", Prepare(LEASE, Ballot(1, "a", 1)))[0].reason == NackReason.UNKNOWN
    assert rig.to("v0", "a", Prepare(LEASE, Ballot(1, "a", 2)))[0].reason == NackReason.UNKNOWN
    for n in range(10_000):
        assert (
            rig.to("v0", "a", Prepare(f"x{n}", Ballot(1, "a", 1)))[0].reason == NackReason.UNKNOWN
        )
        rig.to("v0", "a", ReportProgress(f"x{n}", 1, (TaskProgress(b"x", 1, 1, 1),)))
        rig.to("v0", "a", Release(f"x{n}", Ballot(1, "a", 1)))
    assert len(rig.acceptors["v0"].records) <= 1


def test_ten_thousand_names_that_stand_are_bounded_and_go_again():
    rig = Rig()
    acceptor = rig.acceptors["v0"]
    for n in range(10_000):
        rig.to("v0", f"g{n}", Announce(1, (f"x{n}",), False, False, ()))
    assert len(acceptor.candidates.by_name) == MAX_CANDIDATES
    assert len(acceptor.records) <= 1 + 512
    assert acceptor.candidates.rejected_count == 10_000 - MAX_CANDIDATES
    rig.wait(3_600 * SECOND_US)
    rig.wait(TIMING.duration_us)
    assert not acceptor.candidates.by_name and len(acceptor.records) == 1


def test_a_voter_refuses_a_longer_span_than_it_grants():
    rig = Rig()
    assert (
        rig.to("v0", "a", Propose(LEASE, Ballot(1, "a", 1), 1, TIMING.duration_us + 1, 5))[0].reason
        == NackReason.DURATION
    )


def test_a_hold_bars_everyone_until_its_end():
    rig = Rig("a")
    until = rig.wall / 1e6 + 30
    for acceptor in rig.acceptors.values():
        acceptor.suspensions.put(LEASE, until, "night shift", "wrong table", rig.wall / 1e6)
    assert not rig.acquire("a")
    rig.wait(31 * SECOND_US)
    assert rig.acquire("a")


def test_the_later_word_on_a_hold_counts_everywhere():
    one, other = Suspensions(), Suspensions()
    one.put("s0/1", 2_000.0, "a", "", 1_000.0)
    other.merge(one.all(1e9), 1e9)
    other.put("s0/1", 0.0, "b", "", 1_010.0)
    one.merge(other.all(1.01e9), 1.01e9)
    other.merge((Suspension("s0/1", 2_000.0, "a", "", 1_000.0),), 1.01e9)
    assert one.active("s0/1", 1.02e9) is other.active("s0/1", 1.02e9) is None
    with pytest.raises(SuspensionError):
        one.put("s0/1", 1e12, "a", "", 1_000.0)


def test_what_is_noted_comes_with_the_next_grant():
    rig = Rig("a", "b")
    token = rig.acquire("a")
    note = TaskProgress(b"task", 7, token, 3)
    for voter in ("v0", "v1"):
        assert rig.to(voter, "a", ReportProgress(LEASE, 5, (note,))) == [ProgressStored(LEASE, 5)]
        rig.to(voter, "a", ReportProgress(LEASE, 6, (TaskProgress(b"task", 6, token, 3),)))
    rig.wait(TIMING.duration_us)
    rig.acquire("b", ("v1", "v2"))
    gained = rig.proposers["b"].events[-1]
    assert isinstance(gained, LeaseGained) and gained.progress == {b"task": note}


def test_a_free_lease_is_offered_down_the_order_and_not_to_one_whose_lease_ran_out():
    rig = Rig("a")
    acceptor = rig.acceptors["v0"]
    for name in ("a", "g1", "g2", "g3", "g4"):
        reply = rig.to("v0", name, Announce(1, (), False, False, ()))[0]
        assert isinstance(reply, AnnounceReply)
    acceptor.candidates.by_name["a"].since_us = 0
    rig.acquire("a")
    rig.now += TIMING.duration_us
    order = acceptor.candidates.order(LEASE)
    offered_first = [
        to for to, message in acceptor.due(rig.now, rig.wall) if isinstance(message, Offer)
    ]
    assert offered_first == [name for name in order if name != "a"][:2]
    rig.now += TIMING.offer_interval_us
    offered_next = [
        to for to, message in acceptor.due(rig.now, rig.wall) if isinstance(message, Offer)
    ]
    assert offered_next and not set(offered_next) & set(offered_first)


def test_one_that_joins_or_leaves_moves_one_lease_in_n():
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
    few = {shard_of(f"t{n}", 16) for n in range(500)}
    assert len(few) == 16
