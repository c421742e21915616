"""The lease: one holder at a time while clocks differ by what is allowed, and no duty that is blocked for ever."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.certs.lease import (
    HoldLease,
    LeaseRecord,
    LeaseTerms,
    TakeLease,
    WaitForLease,
    clamp_to_clock,
    decide,
    is_held,
)

TERMS = LeaseTerms(30.0, 2.0)


def test_none_is_there_so_it_is_taken():
    assert decide(100.0, "a", None, TERMS) == TakeLease(LeaseRecord("a", 1, 130.0))


def test_the_holder_keeps_it_and_renews_at_half():
    lease = LeaseRecord("a", 3, 130.0)
    assert decide(105.0, "a", lease, TERMS) == HoldLease(115.0)
    assert decide(116.0, "a", lease, TERMS) == TakeLease(LeaseRecord("a", 3, 146.0))


def test_another_waits_until_the_end_and_the_skew():
    lease = LeaseRecord("a", 3, 130.0)
    assert decide(131.9, "b", lease, TERMS) == WaitForLease(132.0)
    assert decide(132.0, "b", lease, TERMS) == TakeLease(LeaseRecord("b", 4, 162.0))


def test_a_holder_that_was_stopped_is_found_out_by_its_term():
    mine, taken = LeaseRecord("a", 3, 130.0), LeaseRecord("b", 4, 162.0)
    assert is_held(127.9, "a", 3, mine, TERMS)
    assert not is_held(128.0, "a", 3, mine, TERMS)
    assert not is_held(110.0, "a", 3, taken, TERMS)
    assert not is_held(
        110.0, "a", 3, LeaseRecord("a", 5, 160.0), TERMS
    )  # it was taken, lost and taken again meanwhile
    assert not is_held(110.0, "a", 3, None, TERMS)


def test_its_own_lease_that_ran_out_is_taken_with_a_new_term():
    assert decide(140.0, "a", LeaseRecord("a", 3, 130.0), TERMS) == TakeLease(
        LeaseRecord("a", 4, 170.0)
    )


def test_a_lease_from_a_clock_that_was_a_year_ahead_blocks_for_one_span_at_most():
    wrong = LeaseRecord("a", 3, 1e9)
    cut = clamp_to_clock(100.0, wrong, TERMS)
    assert cut.until == 134.0
    assert decide(136.0, "b", cut, TERMS) == TakeLease(LeaseRecord("b", 4, 166.0))


@pytest.mark.parametrize("terms", [(30.0, 10.0), (0.0, 0.0), (5.0, -1.0)])
def test_terms_that_can_not_hold_are_refused(terms):
    with pytest.raises(ValueError, match="third"):
        LeaseTerms(*terms)


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
            found = clamp_to_clock(own, lease, TERMS) if lease else None
            what = decide(own, str(who), found, TERMS)
            if isinstance(what, TakeLease):
                assert lease is None or what.lease.term >= lease.term
                lease = what.lease
            believed[who] = lease.term if lease.holder == str(who) else 0
        acting = [
            w
            for w, term in believed.items()
            if term and is_held(now + offsets[w], str(w), term, lease, TERMS)
        ]
        assert len(acting) <= 1
        # Also by what each believes alone, without a look: its lease may have ended, but no other's has begun.
