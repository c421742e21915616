"""The lease: one holder at a time while clocks differ by what is allowed, and no duty that is blocked for ever."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.certs.lease import Keep, Lease, Take, Terms, Wait, capped, decide, held

TERMS = Terms(30.0, 2.0)


def test_none_is_there_so_it_is_taken():
    assert decide(100.0, "a", None, TERMS) == Take(Lease("a", 1, 130.0))


def test_the_holder_keeps_it_and_renews_at_half():
    lease = Lease("a", 3, 130.0)
    assert decide(105.0, "a", lease, TERMS) == Keep(115.0)
    assert decide(116.0, "a", lease, TERMS) == Take(Lease("a", 3, 146.0))


def test_another_waits_until_the_end_and_the_skew():
    lease = Lease("a", 3, 130.0)
    assert decide(131.9, "b", lease, TERMS) == Wait(132.0)
    assert decide(132.0, "b", lease, TERMS) == Take(Lease("b", 4, 162.0))


def test_a_holder_that_was_stopped_is_found_out_by_its_term():
    mine, taken = Lease("a", 3, 130.0), Lease("b", 4, 162.0)
    assert held(127.9, "a", 3, mine, TERMS)
    assert not held(128.0, "a", 3, mine, TERMS)
    assert not held(110.0, "a", 3, taken, TERMS)
    assert not held(
        110.0, "a", 3, Lease("a", 5, 160.0), TERMS
    )  # it was taken, lost and taken again meanwhile
    assert not held(110.0, "a", 3, None, TERMS)


def test_its_own_lease_that_ran_out_is_taken_with_a_new_term():
    assert decide(140.0, "a", Lease("a", 3, 130.0), TERMS) == Take(Lease("a", 4, 170.0))


def test_a_lease_from_a_clock_that_was_a_year_ahead_blocks_for_one_span_at_most():
    wrong = Lease("a", 3, 1e9)
    cut = capped(100.0, wrong, TERMS)
    assert cut.until == 134.0
    assert decide(136.0, "b", cut, TERMS) == Take(Lease("b", 4, 166.0))


@pytest.mark.parametrize("terms", [(30.0, 10.0), (0.0, 0.0), (5.0, -1.0)])
def test_terms_that_can_not_hold_are_refused(terms):
    with pytest.raises(ValueError, match="third"):
        Terms(*terms)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.floats(-1.0, 1.0), min_size=2, max_size=5),
    st.lists(st.tuples(st.integers(0, 4), st.floats(0, 20), st.booleans()), max_size=80),
)
def test_with_clocks_that_differ_by_the_skew_never_two_act(offsets, turns):
    """Each turn one gateway looks, a while later; some are stopped and act on what they believed."""
    lease, now, believed = None, 1_000.0, {}
    for who, pause, looks in turns:
        who, now = who % len(offsets), now + pause
        if looks:
            own = now + offsets[who]
            found = capped(own, lease, TERMS) if lease else None
            what = decide(own, str(who), found, TERMS)
            if isinstance(what, Take):
                assert lease is None or what.lease.term >= lease.term
                lease = what.lease
            believed[who] = lease.term if lease.holder == str(who) else 0
        acting = [
            w
            for w, term in believed.items()
            if term and held(now + offsets[w], str(w), term, lease, TERMS)
        ]
        assert len(acting) <= 1
        # Also by what each believes alone, without a look: its lease may have ended, but no other's has begun.
