"""Which handshakes begin: places, budget, order, times; by a clock that is handed in."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.certs.handshakes import HandshakeLimits, Handshakes, HandshakeStage

BOUNDS = HandshakeLimits(
    half_open=4, within=1_000_000, share=0.25, burst=3_000, full=1_000, resumed=300
)


def ready(shakes: Handshakes, now: int, *keys) -> None:
    for key in keys:
        assert shakes.accept(now, key) == (True, None)
        shakes.ready(now, key)


def test_a_burst_begins_at_once_and_the_rest_by_the_share_of_the_core():
    shakes = Handshakes(BOUNDS, 0)
    ready(shakes, 0, "a", "b", "c", "d")
    assert shakes.begin(0) == ["a", "b", "c"]
    assert shakes.next_at(0) == 4_001  # 1,000 us of CPU at a quarter of the core
    assert shakes.begin(3_999) == []
    assert shakes.begin(4_001) == ["d"]


def test_a_resumed_one_gives_back_what_it_did_not_cost():
    shakes = Handshakes(BOUNDS, 0)
    ready(shakes, 0, "a", "b", "c", "d")
    shakes.begin(0)
    shakes.done(0, "a", True)
    assert shakes.begin(0) == []  # 700 came back
    shakes.done(0, "b", True)
    assert shakes.begin(0) == ["d"]
    assert shakes.counts["resumed"] == 2


def test_beyond_the_places_the_longest_without_a_hello_makes_room():
    shakes = Handshakes(BOUNDS, 0)
    for key in "abcd":
        shakes.accept(0, key)
    shakes.ready(0, "a")
    assert shakes.accept(1, "e") == (True, "b")
    for key in "cde":
        shakes.ready(1, key)
    assert shakes.accept(2, "f") == (False, None)  # all have sent theirs: those are kept
    assert shakes.place("f") is None


def test_who_sends_nothing_is_late_and_who_has_begun_ends_by_itself():
    shakes = Handshakes(BOUNDS, 0)
    shakes.accept(0, "a")
    ready(shakes, 0, "b")
    shakes.begin(0)
    assert shakes.late(999_999) == []
    assert shakes.late(1_000_000) == ["a"]
    assert shakes.place("b") is HandshakeStage.BEGUN
    assert shakes.left(1_000_000, "b") == 0


def test_an_authoritys_check_begins_without_tokens():
    shakes = Handshakes(BOUNDS, 0)
    ready(shakes, 0, "a", "b", "c")
    shakes.begin(0)
    shakes.accept(0, "check")
    shakes.unrationed(0, "check")
    assert shakes.place("check") is HandshakeStage.BEGUN


def test_a_flood_costs_no_more_than_the_share():
    """10,000 a second for 4 s: begun full handshakes take a quarter of the core and the burst, no more."""
    bounds = HandshakeLimits(
        half_open=256, within=1_000_000, share=0.25, burst=50_000, full=1_000, resumed=300
    )
    shakes, begun = Handshakes(bounds, 0), 0
    for now in range(0, 4_000_000, 100):
        stays, _ = shakes.accept(now, now)
        if stays:
            shakes.ready(now, now)
        shakes.late(now)
        for key in shakes.begin(now):
            begun += 1
            shakes.done(now, key, False)
        assert len(shakes) <= 256
    assert 1_000 <= begun <= 1_050


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["accept", "ready", "begin", "done", "gone", "late"]),
            st.integers(0, 12),
        ),
        max_size=120,
    )
)
def test_any_order_of_events_keeps_each_connection_in_one_place_and_all_bounded(events):
    shakes, now, alive = Handshakes(BOUNDS, 0), 0, set()
    for what, key in events:
        now += 40_000
        if what == "accept" and key not in alive:
            stays, victim = shakes.accept(now, key)
            alive.discard(victim)
            if stays:
                alive.add(key)
        elif what == "ready":
            shakes.ready(now, key)
        elif what == "begin":
            shakes.begin(now)
        elif what == "done" and shakes.place(key) is HandshakeStage.BEGUN:
            shakes.done(now, key, key % 2 == 0)
            alive.discard(key)
        elif what == "gone":
            shakes.gone(key)
            alive.discard(key)
        elif what == "late":
            alive -= set(shakes.late(now))
        groups = [set(g) for g in (shakes.asked, shakes.waiting, shakes.begun)]
        assert set().union(*groups) == alive
        assert sum(map(len, groups)) == len(alive) <= BOUNDS.half_open
        assert shakes.tokens + BOUNDS.full >= 0 and shakes.tokens <= BOUNDS.burst
