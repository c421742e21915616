"""The lease: one holder at a time while clocks differ by at most the skew, and none that blocks for ever."""

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


def test_a_missing_lease_is_taken():
    assert decide(100.0, "a", None, TERMS) == TakeLease(LeaseRecord("a", 1, 130.0))


def test_the_holder_renews_after_half_of_the_span():
    lease = LeaseRecord("a", 3, 130.0)
    assert decide(105.0, "a", lease, TERMS) == HoldLease(115.0)
    assert decide(116.0, "a", lease, TERMS) == TakeLease(LeaseRecord("a", 3, 146.0))


def test_another_process_waits_until_the_end_plus_the_skew():
    lease = LeaseRecord("a", 3, 130.0)
    assert decide(131.9, "b", lease, TERMS) == WaitForLease(132.0)
    assert decide(132.0, "b", lease, TERMS) == TakeLease(LeaseRecord("b", 4, 162.0))


def test_a_lease_is_not_held_under_an_old_term_or_near_its_end():
    mine, taken = LeaseRecord("a", 3, 130.0), LeaseRecord("b", 4, 162.0)
    assert is_held(127.9, "a", 3, mine, TERMS)
    assert not is_held(128.0, "a", 3, mine, TERMS)
    assert not is_held(110.0, "a", 3, taken, TERMS)
    assert not is_held(
        110.0, "a", 3, LeaseRecord("a", 5, 160.0), TERMS
    )  # lost and taken again meanwhile, so the term differs
    assert not is_held(110.0, "a", 3, None, TERMS)


def test_the_holder_takes_its_own_expired_lease_with_a_new_term():
    assert decide(140.0, "a", LeaseRecord("a", 3, 130.0), TERMS) == TakeLease(
        LeaseRecord("a", 4, 170.0)
    )


def test_a_lease_written_by_a_clock_a_year_ahead_blocks_for_one_span_at_most():
    wrong = LeaseRecord("a", 3, 1e9)
    cut = clamp_to_clock(100.0, wrong, TERMS)
    assert cut.until == 134.0
    assert decide(136.0, "b", cut, TERMS) == TakeLease(LeaseRecord("b", 4, 166.0))


@pytest.mark.parametrize("terms", [(30.0, 10.0), (0.0, 0.0), (5.0, -1.0)])
def test_a_skew_of_a_third_of_the_span_or_more_is_rejected(terms):
    with pytest.raises(ValueError, match="third"):
        LeaseTerms(*terms)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.floats(-1.0, 1.0), min_size=2, max_size=5),
    st.lists(st.tuples(st.integers(0, 4), st.floats(0, 20), st.booleans()), max_size=80),
)
def test_at_most_one_process_acts_while_clocks_differ_by_the_skew(offsets, turns):
    """In each turn, one gateway checks the lease or acts on the term that it last saw, as after a suspension."""
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
        # ``believed`` may be outdated: a holder that has not checked again must not act beside another.
