"""The voters' votes to recall a lease from its holder."""

from __future__ import annotations

from saffrongw.leases.recall_votes import RecallVotes

HELD = {"s0/2", "s1/2"}


def test_a_lease_is_recalled_once_a_majority_recalls_it():
    votes = RecallVotes()
    assert votes.count("v0", ("s0/2",), HELD, 2) == []
    assert votes.count("v0", ("s0/2",), HELD, 2) == []
    assert votes.count("v1", ("s0/2",), HELD, 2) == ["s0/2"]
    assert votes.count("v2", ("s0/2",), HELD, 2) == []


def test_a_vote_ends_with_an_answer_that_no_longer_recalls_the_lease():
    votes = RecallVotes()
    votes.count("v0", ("s0/2",), HELD, 2)
    votes.count("v0", (), HELD, 2)
    assert votes.count("v1", ("s0/2",), HELD, 2) == []


def test_votes_on_a_lease_that_is_not_held_or_was_released_do_not_count():
    votes = RecallVotes()
    votes.count("v0", ("s0/2", "s9/9"), HELD, 2)
    votes.discard("s0/2")
    assert votes.count("v1", ("s0/2", "s9/9"), HELD, 2) == []
    votes.clear()
    assert votes.count("v2", ("s0/2",), HELD, 2) == []
