"""Voter and asker, one exchange at a time: late, doubled, old and foreign messages, restarts, holds, numbers."""

from __future__ import annotations

import pytest

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import STANDING_MOST, Candidates, shard_of
from saffrongw.leases.messages import (
    Accept,
    Free,
    Hold,
    Note,
    Prepare,
    Promise,
    Propose,
    Refuse,
    Release,
    Roster,
    Stand,
    Tell,
    Told,
    Why,
)
from saffrongw.leases.proposer import Gained, Lost, Proposer, Stage
from saffrongw.leases.suspensions import SuspensionError, Suspensions
from saffrongw.leases.timing import MS, SECOND, Timing

TIMING = Timing(10 * SECOND, 0.01)
WALL = 1_700_000_000 * SECOND
LEASE = "s0/1"
NAMES = ("v0", "v1", "v2")


class Rig:
    """Three voters and as many askers as are named; messages arrive when the test says so."""

    def __init__(self, *askers: str, silent: bool = False) -> None:
        self.now = 100 * SECOND
        self.voters = {name: self.voter(name) for name in NAMES}
        self.askers = {name: Proposer(name, 1, NAMES, TIMING, lambda: 0.5) for name in askers}
        if not silent:
            for voter in self.voters.values():
                voter.silent_until = self.now
                voter.due(self.now, self.wall)

    def voter(self, name: str) -> Acceptor:
        return Acceptor(name, TIMING, Candidates(1), Suspensions(), self.now)

    @property
    def wall(self) -> int:
        return WALL + self.now

    def to(self, voter: str, sender: str, message, life: int = 1) -> list:
        return [m for _, m in self.voters[voter].handle(self.now, self.wall, sender, life, message)]

    def pass_on(self, sender: str, out, to=NAMES) -> None:
        """Deliver what an asker sent, and the answers, until nothing is left."""
        asker, waiting = self.askers[sender], list(out)
        while waiting:
            voter, message = waiting.pop(0)
            if voter in to:
                for answer in self.to(voter, sender, message):
                    waiting += asker.handle(self.now, voter, answer)

    def ask(self, name: str, to=NAMES) -> int:
        """Ask for the lease; the number that it is held under, 0 where it is not."""
        asker = self.askers[name]
        promised = [e.promised[0] for v in self.voters.values() for e in v.entries.values()]
        asker.want(self.now, LEASE, n=max(promised, default=0))  # as the offer of a voter says
        self.pass_on(name, asker.due(self.now), to)
        return self.number(name)

    def number(self, name: str) -> int:
        held = self.askers[name].held(self.now)
        return held[0].number if held else 0

    def wait(self, span: int) -> None:
        self.now += span
        for voter in self.voters.values():
            voter.due(self.now, self.wall)


def test_the_holder_ends_before_the_voter_for_every_pair_of_rates_within_the_bound():
    for drift in (0.0, 0.001, 0.01, 0.05, 0.2):
        timing = Timing(10 * SECOND, drift)
        assert timing.held / (1 - drift) <= timing.span / (1 + drift)
        assert timing.held > 0.6 * timing.span
        least, most = timing.rates
        assert least * most == pytest.approx(1)


@pytest.mark.parametrize("wrong", [{"span": 10 * MS}, {"drift": 0.3}, {"drift": -0.1}])
def test_spans_that_leave_no_room_are_refused(wrong):
    with pytest.raises(ValueError, match=r"span|drift"):
        Timing(**wrong)


def test_one_holds_until_its_end_and_the_next_one_has_a_higher_number():
    rig = Rig("a", "b")
    first = rig.ask("a")
    assert first and not rig.ask("b")
    rig.wait(TIMING.held)
    assert not rig.number("a")
    assert not rig.ask("b")  # voters wait longer than the holder
    rig.wait(TIMING.span - TIMING.held)
    assert rig.ask("b") > first


def test_a_renewal_keeps_the_number_and_a_lost_round_is_made_up_for():
    rig = Rig("a", "b")
    first = rig.ask("a")
    for lost in (False, True, False, True):
        rig.wait(TIMING.renew_after)
        out = rig.askers["a"].due(rig.now)
        assert {type(message) for _, message in out} == {Propose}
        rig.pass_on("a", out, () if lost else NAMES)
        if lost:
            rig.wait(TIMING.again_after)
            rig.pass_on("a", rig.askers["a"].due(rig.now))
        assert rig.number("a") == first
        assert not rig.ask("b")


def test_an_answer_of_an_earlier_round_counts_for_nothing():
    rig = Rig("a")
    rig.ask("a")
    asker = rig.askers["a"]
    claim = asker.claims[LEASE]
    old = Accept(LEASE, claim.ballot, claim.round)
    rig.wait(TIMING.renew_after)
    asker.due(rig.now)
    until = claim.held_until
    for voter in NAMES:
        asker.handle(rig.now, voter, old)
    assert claim.held_until == until


def test_a_doubled_answer_is_one_voter():
    rig = Rig("a")
    asker = rig.askers["a"]
    asker.want(rig.now, LEASE)
    out = dict(asker.due(rig.now))
    promise = rig.to("v0", "a", out["v0"])[0]
    assert asker.handle(rig.now, "v0", promise) == asker.handle(rig.now, "v0", promise) == []
    assert asker.claims[LEASE].stage is Stage.PREPARING


def test_a_grant_that_arrives_after_its_span_is_worth_nothing():
    rig = Rig("a")
    asker = rig.askers["a"]
    asker.want(rig.now, LEASE)
    late = []
    for voter, message in asker.due(rig.now):
        for answer in rig.to(voter, "a", message):
            for to, proposal in asker.handle(rig.now, voter, answer):
                late += [(to, answer) for answer in rig.to(to, "a", proposal)]
    rig.wait(TIMING.held)
    for voter, answer in late:
        asker.handle(rig.now, voter, answer)
    assert not rig.number("a")
    assert asker.counts["late"] == 1 and not asker.events


def test_a_ballot_is_never_used_again_so_an_old_answer_can_not_count():
    rig = Rig("a")
    rig.ask("a")
    asker = rig.askers["a"]
    old = asker.claims[LEASE].ballot
    asker.give_back(rig.now, LEASE, "test")
    asker.want(rig.now, LEASE)
    asker.due(rig.now)
    assert asker.claims[LEASE].ballot > old


def test_a_voter_that_starts_anew_is_silent_for_the_longest_span():
    rig = Rig("a")
    rig.ask("a")
    rig.voters["v0"] = rig.voter("v0")
    assert rig.to("v0", "b", Prepare(LEASE, (9, "b", 1))) == []
    rig.wait(TIMING.silence - 1)
    assert rig.to("v0", "b", Propose(LEASE, (9, "b", 1), 1, TIMING.span, 5)) == []
    rig.wait(1)
    assert isinstance(rig.to("v0", "b", Prepare(LEASE, (9, "b", 1)))[0], Promise)


def test_a_promise_that_a_voter_has_forgotten_lets_nobody_take_what_another_holds():
    """The explorer's story: a renewal reaches a voter after its restart, a promise of that voter from before it."""
    rig = Rig("a", "b")
    assert rig.ask("a")
    a, b = rig.askers["a"], rig.askers["b"]
    rig.voters["v1"] = rig.voter("v1")
    rig.voters["v1"].silent_until = rig.now  # as if it had started a span ago
    rig.voters["v1"].due(rig.now, rig.wall)
    b.want(rig.now, LEASE, n=1)
    asked = dict(b.due(rig.now))
    (old,) = rig.to("v1", "b", asked["v1"])
    rig.voters["v1"] = rig.voter("v1")
    for step, to in ((1, ("v0", "v2")), (2, ("v0", "v2")), (3, ("v0", "v1")), (4, ("v0", "v1"))):
        rig.wait(TIMING.renew_after)
        rig.pass_on("a", a.due(rig.now), to)
        assert rig.number("a"), step
    rig.now += TIMING.span // 2
    b.claims[LEASE].ends = 1 << 60  # it stood still, and believes that no time went by
    out = b.handle(rig.now, "v1", old)
    for answer in rig.to("v2", "b", asked["v2"]):
        out += b.handle(rig.now, "v2", answer)
    assert isinstance(out[0][1], Propose)
    rig.pass_on("b", out)
    assert rig.number("a") and not rig.number("b")


def test_numbers_grow_though_every_voter_has_forgotten_all():
    rig = Rig("a", "b")
    first = rig.ask("a")
    for name in NAMES:
        rig.voters[name] = rig.voter(name)
    rig.wait(TIMING.silence)
    assert rig.ask("b") > first


def test_numbers_grow_from_the_disk_where_wall_clocks_were_set_back():
    rig = Rig("a", "b")
    first = rig.ask("a")
    for name in NAMES:
        rig.voters[name] = Acceptor(
            name, TIMING, Candidates(1), Suspensions(), rig.now, first + 500, first + 9_000
        )
    rig.now += TIMING.silence
    hour_ago = rig.wall - 3_600 * SECOND
    for voter in rig.voters.values():
        voter.due(rig.now, hour_ago)
    assert rig.ask("b") > first + 500


def test_a_number_that_the_disk_does_not_vouch_for_is_not_granted():
    rig = Rig("a")
    for voter in rig.voters.values():
        voter.reserved = 5
    assert not rig.ask("a")
    ballot = (7, "a", 1)
    assert rig.to("v0", "a", Propose(LEASE, ballot, 1, TIMING.span, 99))[0].why == Why.NUMBERS


def test_a_lease_given_back_is_free_at_once_and_a_late_copy_of_its_proposal_takes_nothing():
    rig = Rig("a", "b")
    rig.ask("a")
    asker = rig.askers["a"]
    claim = asker.claims[LEASE]
    copy = Propose(LEASE, claim.ballot, claim.round, TIMING.span, claim.number)
    rig.pass_on("a", asker.give_back(rig.now, LEASE, "test"))
    assert isinstance(asker.events[-1], Lost)
    renewal = Propose(LEASE, claim.ballot, claim.round + 1, TIMING.span, claim.number, False)
    for late in (copy, renewal):
        assert isinstance(rig.to("v0", "a", late)[0], Refuse)
    assert rig.ask("b")


def test_a_late_renewal_from_before_a_release_does_not_take_the_place_of_what_was_granted_since():
    """Virtual day 200046: the holder gave back and had it again; then came copies of its former renewal and release."""
    rig = Rig("a", "b")
    rig.ask("a")
    asker = rig.askers["a"]
    claim = asker.claims[LEASE]
    former = claim.ballot
    renewal = Propose(LEASE, former, claim.round + 1, TIMING.span, claim.number, False)
    asker.give_back(rig.now, LEASE, "test")  # its releases are slow
    assert rig.ask("a") and asker.claims[LEASE].ballot > former
    for name in rig.voters:
        assert rig.to(name, "a", renewal)[0].why == Why.OLDER
        rig.to(name, "a", Release(LEASE, former))
    assert asker.held(rig.now)
    assert not rig.ask("b")


def test_what_a_failed_round_left_at_a_few_voters_is_freed():
    rig = Rig("a", "b")
    asker = rig.askers["a"]
    asker.want(rig.now, LEASE)
    promises = [(v, rig.to(v, "a", m)[0]) for v, m in asker.due(rig.now)]
    proposals = [p for v, promise in promises for p in asker.handle(rig.now, v, promise)]
    rig.to("v0", "a", proposals[0][1])  # one voter has it, nobody answers
    rig.now += TIMING.round_most
    rig.pass_on("a", asker.due(rig.now))
    assert rig.ask("b", ("v0", "v1"))


def test_nobody_asks_for_another_and_nothing_is_known_of_other_names():
    rig = Rig()
    assert rig.to("v0", "b", Prepare(LEASE, (1, "a", 1)))[0].why == Why.UNKNOWN
    assert rig.to("v0", "a", Prepare(LEASE, (1, "a", 2)))[0].why == Why.UNKNOWN
    for n in range(10_000):
        assert rig.to("v0", "a", Prepare(f"x{n}", (1, "a", 1)))[0].why == Why.UNKNOWN
        rig.to("v0", "a", Tell(f"x{n}", 1, (Note(b"x", 1, 1, 1),)))
        rig.to("v0", "a", Release(f"x{n}", (1, "a", 1)))
    assert len(rig.voters["v0"].entries) <= 1


def test_ten_thousand_names_that_stand_are_bounded_and_go_again():
    rig = Rig()
    voter = rig.voters["v0"]
    for n in range(10_000):
        rig.to("v0", f"g{n}", Stand(1, (f"x{n}",), False, False, ()))
    assert len(voter.standing.all) == STANDING_MOST
    assert len(voter.entries) <= 1 + 512
    assert voter.standing.turned_away == 10_000 - STANDING_MOST
    rig.wait(3_600 * SECOND)
    rig.wait(TIMING.span)
    assert not voter.standing.all and len(voter.entries) == 1


def test_a_voter_refuses_a_longer_span_than_it_grants():
    rig = Rig()
    assert rig.to("v0", "a", Propose(LEASE, (1, "a", 1), 1, TIMING.span + 1, 5))[0].why == Why.SPAN


def test_a_hold_bars_everyone_until_its_end():
    rig = Rig("a")
    until = rig.wall / 1e6 + 30
    for voter in rig.voters.values():
        voter.holds.put(LEASE, until, "night shift", "wrong table", rig.wall / 1e6)
    assert not rig.ask("a")
    rig.wait(31 * SECOND)
    assert rig.ask("a")


def test_the_later_word_on_a_hold_counts_everywhere():
    one, other = Suspensions(), Suspensions()
    one.put("s0/1", 2_000.0, "a", "", 1_000.0)
    other.merge(one.all(1e9), 1e9)
    other.put("s0/1", 0.0, "b", "", 1_010.0)
    one.merge(other.all(1.01e9), 1.01e9)
    other.merge((Hold("s0/1", 2_000.0, "a", "", 1_000.0),), 1.01e9)
    assert one.on("s0/1", 1.02e9) is other.on("s0/1", 1.02e9) is None
    with pytest.raises(SuspensionError):
        one.put("s0/1", 1e12, "a", "", 1_000.0)


def test_what_is_noted_comes_with_the_next_grant():
    rig = Rig("a", "b")
    number = rig.ask("a")
    note = Note(b"task", 7, number, 3)
    for voter in ("v0", "v1"):
        assert rig.to(voter, "a", Tell(LEASE, 5, (note,))) == [Told(LEASE, 5)]
        rig.to(voter, "a", Tell(LEASE, 6, (Note(b"task", 6, number, 3),)))
    rig.wait(TIMING.span)
    rig.ask("b", ("v1", "v2"))
    gained = rig.askers["b"].events[-1]
    assert isinstance(gained, Gained) and gained.notes == {b"task": note}


def test_a_free_lease_is_offered_down_the_order_and_not_to_one_whose_lease_ran_out():
    rig = Rig("a")
    voter = rig.voters["v0"]
    for name in ("a", "g1", "g2", "g3", "g4"):
        roster = rig.to("v0", name, Stand(1, (), False, False, ()))[0]
        assert isinstance(roster, Roster)
    voter.standing.all["a"].since = 0
    rig.ask("a")
    rig.now += TIMING.span
    order = voter.standing.order(LEASE)
    offered = [to for to, message in voter.due(rig.now, rig.wall) if isinstance(message, Free)]
    assert offered == [name for name in order if name != "a"][:2]
    rig.now += TIMING.push_every
    more = [to for to, message in voter.due(rig.now, rig.wall) if isinstance(message, Free)]
    assert more and not set(more) & set(offered)


def test_one_that_joins_or_leaves_moves_one_lease_in_n():
    shards = 128
    standing = Candidates(shards)
    for n in range(10):
        standing.stand(0, f"g{n}", 1, (), False, 1 << 60)
    before = {lease: standing.order(lease)[0] for lease in standing.leases()}
    assert max(list(before.values()).count(f"g{n}") for n in range(10)) <= 3 * shards / 10
    standing.stand(0, "g10", 1, (), False, 1 << 60)
    moved = {lease for lease, first in before.items() if standing.order(lease)[0] != first}
    assert {standing.order(lease)[0] for lease in moved} == {"g10"}
    assert 0 < len(moved) <= 2.5 * shards / 11
    standing.leave("g10")
    assert {lease: standing.order(lease)[0] for lease in standing.leases()} == before
    few = {shard_of(f"t{n}", 16) for n in range(500)}
    assert len(few) == 16
