"""Admission of handshakes: half-open limit, token bucket, order and deadlines, on a virtual clock."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.certs.handshakes import HandshakeLimits, Handshakes, HandshakeStage

LIMITS = HandshakeLimits(
    max_half_open=4,
    timeout_us=1_000_000,
    cpu_share=0.25,
    burst_us=3_000,
    full_cost_us=1_000,
    resumed_cost_us=300,
)


def send_hello(handshakes: Handshakes, now: int, *keys) -> None:
    for key in keys:
        assert handshakes.accept(now, key) == (True, None)
        handshakes.hello_received(key)


def test_a_burst_begins_at_once_and_the_rest_at_the_rate_of_the_cpu_share():
    handshakes = Handshakes(LIMITS, 0)
    send_hello(handshakes, 0, "a", "b", "c", "d")
    assert handshakes.begin(0) == ["a", "b", "c"]
    assert handshakes.next_at(0) == 4_001  # 1,000 us of CPU at a quarter of the core
    assert handshakes.begin(3_999) == []
    assert handshakes.begin(4_001) == ["d"]


def test_a_resumed_handshake_returns_unused_tokens():
    handshakes = Handshakes(LIMITS, 0)
    send_hello(handshakes, 0, "a", "b", "c", "d")
    handshakes.begin(0)
    handshakes.succeeded("a", True)
    assert handshakes.begin(0) == []  # 700 tokens were returned
    handshakes.succeeded("b", True)
    assert handshakes.begin(0) == ["d"]
    assert handshakes.counts["resumed"] == 2


def test_at_the_half_open_limit_the_oldest_without_a_hello_is_evicted():
    handshakes = Handshakes(LIMITS, 0)
    for key in "abcd":
        handshakes.accept(0, key)
    handshakes.hello_received("a")
    assert handshakes.accept(1, "e") == (True, "b")
    for key in "cde":
        handshakes.hello_received(key)
    assert handshakes.accept(2, "f") == (
        False,
        None,
    )  # all have sent their hellos, so none is evicted
    assert handshakes.stage("f") is None


def test_a_silent_connection_expires_and_a_running_handshake_does_not():
    handshakes = Handshakes(LIMITS, 0)
    handshakes.accept(0, "a")
    send_hello(handshakes, 0, "b")
    handshakes.begin(0)
    assert handshakes.expire(999_999) == []
    assert handshakes.expire(1_000_000) == ["a"]
    assert handshakes.stage("b") is HandshakeStage.RUNNING
    assert handshakes.remaining_us(1_000_000, "b") == 0


def test_a_validation_begins_without_tokens():
    handshakes = Handshakes(LIMITS, 0)
    send_hello(handshakes, 0, "a", "b", "c")
    handshakes.begin(0)
    handshakes.accept(0, "check")
    handshakes.begin_unlimited(0, "check")
    assert handshakes.stage("check") is HandshakeStage.RUNNING


def test_handshakes_of_a_flood_stay_within_the_cpu_share():
    """10,000 connections a second for 4 s: full handshakes take at most a quarter of the core and the burst."""
    limits = HandshakeLimits(
        max_half_open=256,
        timeout_us=1_000_000,
        cpu_share=0.25,
        burst_us=50_000,
        full_cost_us=1_000,
        resumed_cost_us=300,
    )
    handshakes, begun = Handshakes(limits, 0), 0
    for now in range(0, 4_000_000, 100):
        accepted, _ = handshakes.accept(now, now)
        if accepted:
            handshakes.hello_received(now)
        handshakes.expire(now)
        for key in handshakes.begin(now):
            begun += 1
            handshakes.succeeded(key, False)
        assert len(handshakes) <= 256
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
def test_any_order_of_events_keeps_each_connection_in_one_stage_within_the_limits(events):
    handshakes, now, alive = Handshakes(LIMITS, 0), 0, set()
    for what, key in events:
        now += 40_000
        if what == "accept" and key not in alive:
            accepted, evicted = handshakes.accept(now, key)
            alive.discard(evicted)
            if accepted:
                alive.add(key)
        elif what == "ready":
            handshakes.hello_received(key)
        elif what == "begin":
            handshakes.begin(now)
        elif what == "done" and handshakes.stage(key) is HandshakeStage.RUNNING:
            handshakes.succeeded(key, key % 2 == 0)
            alive.discard(key)
        elif what == "gone":
            handshakes.ended(key)
            alive.discard(key)
        elif what == "late":
            alive -= set(handshakes.expire(now))
        groups = [
            set(g) for g in (handshakes.awaiting_hello, handshakes.queued, handshakes.running)
        ]
        assert set().union(*groups) == alive
        assert sum(map(len, groups)) == len(alive) <= LIMITS.max_half_open
        assert handshakes.tokens + LIMITS.full_cost_us >= 0 and handshakes.tokens <= LIMITS.burst_us
