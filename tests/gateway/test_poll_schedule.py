"""The poll schedule: its spans follow the formula and meet the notification deadline."""

from __future__ import annotations

import itertools
import random

import pytest

from saffrongw.gateway.discovery.poll_schedule import PollAction, PollRequest, PollSchedule
from saffrongw.gateway.discovery.poll_timing import (
    ANSWER_TIMEOUT_S,
    DELTA_COST_S,
    FINAL_READ_S,
    FULL_FETCH_COST_S,
    FULL_FETCH_DELAY_S,
    MAX_LOAD_FACTOR,
    MAX_RETRY_AFTER_S,
    MAX_RETRY_SPAN_S,
    MAX_START_QUEUE_S,
    NOTIFICATION_DEADLINE_S,
    TARGET_UTILISATION,
    WATCH_MARGIN_S,
    WATCH_NOTIFICATION_DEADLINE_S,
)

SIZES = (3, 40, 200, 1000)


def schedule_of(gateways: int = 200, version: int | None = 7, **more) -> PollSchedule:
    schedule = PollSchedule(gateways, random.Random(1), version, **more)
    schedule.begin(0.0)
    return schedule


def connected(now: float = 0.0, **more) -> PollSchedule:
    """Return a schedule whose first poll is in flight."""
    schedule = schedule_of(**more)
    assert schedule.due(schedule.next_at()) is PollAction.CONNECT
    schedule.connected(now)
    return schedule


def test_first_poll_fetches_changes_without_watching_and_later_polls_watch():
    schedule = schedule_of(gateways=3)
    assert schedule.next_at() == 0.0
    assert schedule.due(0.0) is PollAction.CONNECT
    assert schedule.connected(0.0) == PollRequest(7, 0.0, ANSWER_TIMEOUT_S)
    assert schedule.answered(0.01, 9) == PollRequest(9, 2.0, 2.0 + WATCH_MARGIN_S)
    # No list is known.
    assert schedule_of(gateways=3, version=None).connected(0.0).version is None
    # Version 0 is a known list, too: one that never changed.
    assert schedule_of(gateways=3, version=0).connected(0.0) == PollRequest(
        0, 0.0, ANSWER_TIMEOUT_S
    )


@pytest.mark.parametrize("gateways", [3, 100, 200, 1000])
def test_first_polls_of_the_fleet_queue_no_longer_than_the_service_lets_polls_wait(gateways):
    spans = {
        version: max(schedule_of(gateways, version).first_poll_span() for _ in range(3))
        for version in (None, 7)
    }
    for version, cost in ((None, FULL_FETCH_COST_S), (7, DELTA_COST_S)):
        load_s = gateways * cost
        span_s = max(0.0, load_s - MAX_START_QUEUE_S) / TARGET_UTILISATION
        if version and span_s > MAX_RETRY_SPAN_S:
            # The notification deadline takes precedence, at the cost of a longer queue.
            assert spans[version] == MAX_RETRY_SPAN_S
            assert gateways > 700
            continue
        assert spans[version] == pytest.approx(span_s)
        # The work that arrives in the span, less what the worker does in it.
        assert load_s - spans[version] <= MAX_START_QUEUE_S + 1e-9


def test_watches_without_changes_use_no_more_than_a_tenth_of_the_worker():
    for gateways in (3, 40, 200, 600):
        assert gateways * DELTA_COST_S / schedule_of(gateways).watch_s <= 0.1 + 1e-9
    assert schedule_of(3).watch_s == 2.0


def test_after_a_rejection_waits_for_retry_after_plus_up_to_half_of_the_time_to_the_deadline():
    # It started at 0, and is rejected at 2.
    remaining_s = NOTIFICATION_DEADLINE_S + 1.0 - 2.0
    for retry_after_s in (0.0, 7.0):
        waits = []
        for seed in range(50):
            schedule = PollSchedule(200, random.Random(seed), 7)
            schedule.begin(0.0)
            schedule.due(schedule.next_at())
            schedule.connected(1.0)
            schedule.rejected(2.0, retry_after_s)
            # The rejection also closes the connection, which must not add a second delay.
            schedule.lost(2.0)
            waits.append(schedule.next_at() - 2.0)
        assert min(waits) >= retry_after_s
        assert retry_after_s + 0.8 * remaining_s / 2 < max(waits) <= retry_after_s + remaining_s / 2
    schedule = connected()
    schedule.rejected(1.0, 1e9)
    assert schedule.next_at() < 1.0 + MAX_RETRY_AFTER_S + 100


def test_attempts_after_rejections_spread_over_the_fleet_load_within_the_maximum_span():
    for gateways in SIZES:
        shortest_s = min(MAX_RETRY_SPAN_S, max(1.0, gateways * DELTA_COST_S / TARGET_UTILISATION))
        for now in range(0, 60, 3):
            span_s = schedule_of(gateways).span_after_rejection(float(now))
            assert shortest_s <= span_s <= MAX_RETRY_SPAN_S
        # The deadline has just expired.
        expired_at = NOTIFICATION_DEADLINE_S + 1.0
        assert schedule_of(gateways).span_after_rejection(expired_at) == shortest_s
        # After a minute without capacity, the span is the maximum.
        assert schedule_of(gateways).span_after_rejection(60.0) == MAX_RETRY_SPAN_S
    # The settings may set a shorter deadline.
    assert schedule_of(3, notification_deadline_s=2.0).span_after_rejection(0.0) == 1.5


def test_backoff_to_an_unreachable_service_grows_with_the_fleet_size():
    small, large = schedule_of(gateways=3), schedule_of(gateways=200)
    assert small.span_after_loss() == 0.05
    assert large.span_after_loss() == pytest.approx(200 * DELTA_COST_S / TARGET_UTILISATION)
    for each in (small, large):
        for now in range(12):
            assert each.due(each.next_at()) is PollAction.CONNECT
            each.lost(float(now))
    assert small.span_after_loss() == 1.0
    assert large.span_after_loss() == MAX_RETRY_SPAN_S
    assert MAX_RETRY_SPAN_S < 200 * FULL_FETCH_COST_S / TARGET_UTILISATION


def test_a_gateway_without_clients_backs_off_for_longer():
    assert (
        schedule_of(has_clients=lambda: False).span_after_loss()
        == 2 * schedule_of().span_after_loss()
    )


def test_a_silent_poll_is_abandoned_and_only_one_that_does_not_watch_raises_the_load_factor():
    schedule = connected()
    assert schedule.due(schedule.next_at() - 0.001) is None
    # The answer may be unread in the socket: the event loop reads once more.
    assert schedule.due(schedule.next_at()) is None
    assert schedule.due(schedule.next_at()) is PollAction.ABORT
    schedule.lost(10.0)
    assert schedule.load_factor == 2.0
    schedule.due(schedule.next_at())
    schedule.connected(20.0)
    schedule.answered(20.01, 8)
    assert schedule.load_factor == 1.0
    assert schedule.due(schedule.next_at()) is None
    assert schedule.due(schedule.next_at()) is PollAction.ABORT
    schedule.lost(40.0)
    assert schedule.load_factor == 1.0


def test_slow_answers_raise_the_load_factor_and_quick_ones_lower_it():
    schedule = connected(now=0.0)
    schedule.answered(0.9, 8)
    assert schedule.load_factor == 2.0
    schedule.lost(1.0)
    schedule.due(schedule.next_at())
    schedule.connected(2.0)
    schedule.answered(2.01, 8)
    assert schedule.load_factor == 1.0


def test_a_registry_with_restarted_versions_is_fully_fetched_and_each_start_fetches_once_later():
    schedule = connected()
    # The known version was 7.
    assert schedule.answered(0.1, 3).version is None
    assert schedule.answered(0.2, 3).version == 3
    schedule = connected()
    assert schedule.answered(0.1, 7) == PollRequest(7, 10.0, 10.0 + WATCH_MARGIN_S)
    full_fetch = schedule.answered(3 * FULL_FETCH_DELAY_S, 8)
    assert full_fetch.version is None
    assert schedule.answered(3 * FULL_FETCH_DELAY_S + 0.1, 8).version == 8
    # Only once.
    assert schedule.answered(9 * FULL_FETCH_DELAY_S, 8).version == 8


def test_a_changed_service_is_fully_fetched_at_once():
    schedule = connected()
    schedule.change_service(5.0)
    assert schedule.next_at() == 5.0
    assert schedule.due(5.0) is PollAction.CONNECT
    assert schedule.connected(5.0).version is None


def test_an_answer_that_arrived_while_the_process_was_suspended_is_read_before_the_abort():
    schedule = connected()
    resumed_at = schedule.next_at() + 5.0
    assert schedule.due(resumed_at) is None
    assert schedule.next_at() == resumed_at + FINAL_READ_S
    schedule.answered(resumed_at + FINAL_READ_S, 8)
    assert schedule.due(resumed_at + FINAL_READ_S) is None
    assert not schedule.was_silent


def test_after_an_answer_that_closes_the_connection_the_next_one_watches_at_once():
    schedule = connected(gateways=3)
    assert schedule.answered(0.1, 8, connection_closes=True) is None
    schedule.lost(0.1)
    assert schedule.next_at() == 0.1
    assert schedule.due(0.1) is PollAction.CONNECT
    assert schedule.connected(0.1) == PollRequest(8, 2.0, 2.0 + WATCH_MARGIN_S)
    # After a connection that was lost without an answer, the first poll does not watch.
    schedule.lost(0.2)
    schedule.due(schedule.next_at())
    assert schedule.connected(0.3).watch_s == 0.0


# -- the notification deadline --


def received_at(
    schedule: PollSchedule,
    silence: tuple[float, float],
    connects: bool = True,
    delay_s: float = 0.002,
) -> float:
    """Return when the first answer after a silence is received.

    Polls sent during the silence are never answered; connections are established during it only if
    ``connects`` is set. An answer takes ``delay_s``, or the length of the watch.
    """
    silent_from, silent_until = silence
    schedule.begin(0.0, at_once=True)
    now = 0.0
    answer_at = None
    while True:
        due_at = schedule.next_at()
        if answer_at is not None and (due_at is None or answer_at <= due_at):
            now = answer_at
            answer_at = None
            if now >= silent_until:
                return now
            request = schedule.answered(now, 7)
        else:
            now = max(now, due_at)
            action = schedule.due(now)
            if action is PollAction.ABORT:
                answer_at = None
                schedule.lost(now)
            if action is not PollAction.CONNECT:
                continue
            if not connects and silent_from <= now < silent_until:
                schedule.lost(now + delay_s)
                continue
            request = schedule.connected(now)
        duration_s = request.watch_s or delay_s
        ends_at = now + duration_s if request.watch_s else now
        # A watch is also lost if the silence begins before it ends.
        is_unanswered = now < silent_until and ends_at >= silent_from
        answer_at = None if is_unanswered else now + duration_s


def next_connection(schedule: PollSchedule) -> float:
    """Leave the poll in flight without an answer; return when the next connection is opened."""
    while True:
        at = schedule.next_at()
        action = schedule.due(at)
        if action is PollAction.CONNECT:
            return at
        if action is PollAction.ABORT:
            schedule.lost(at)


@pytest.mark.parametrize("grace_s", [0.25, 1.0])
@pytest.mark.parametrize("gateways", SIZES)
def test_changes_of_a_returning_agent_are_received_within_the_drain_grace(gateways, grace_s):
    """A doubled load factor and a backoff of 6 s after 8 s of silence exceeded the grace once."""
    for connects in (True, False):
        for seed in range(60):
            back_at = 12.0 + seed * 0.173
            schedule = PollSchedule(
                gateways, random.Random(seed), 7, 10.0, pushed=True, drain_grace_s=grace_s
            )
            assert received_at(schedule, (3.0, back_at), connects) <= back_at + grace_s


@pytest.mark.parametrize("grace_s", [0.25, 1.0])
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("gateways", SIZES)
def test_changes_missed_by_a_silent_watch_are_received_in_time(gateways, pushed, grace_s):
    for load_factor in (1.0, MAX_LOAD_FACTOR):
        for seed in range(40):
            schedule = PollSchedule(
                gateways, random.Random(seed), 7, 10.0, pushed=pushed, drain_grace_s=grace_s
            )
            schedule.begin(0.0, at_once=True)
            schedule.due(0.0)
            schedule.connected(0.0)
            schedule.load_factor = load_factor
            schedule.answered(1.0, 7)
            silent_from = 1.0
            schedule.load_factor = load_factor
            connect_at = next_connection(schedule)
            request = schedule.connected(connect_at)
            notified_at = max(
                silent_from + NOTIFICATION_DEADLINE_S,
                silent_from + schedule.watch_s + WATCH_NOTIFICATION_DEADLINE_S,
            )
            # An agent answers at once, a remote service after the polls of all other gateways.
            answer_s = 0.002 if pushed else min(MAX_START_QUEUE_S, gateways * DELTA_COST_S)
            assert request.watch_s == 0.0
            assert connect_at + answer_s <= notified_at + grace_s


@pytest.mark.parametrize("gateways", SIZES)
def test_unanswered_polls_and_an_unreachable_service_meet_the_notification_deadline(gateways):
    """Changes at a remote service count as notified 6 s later, whatever the fleet and the load."""
    for seed in range(60):
        for load_factor in (1.0, MAX_LOAD_FACTOR):
            schedule = PollSchedule(
                gateways, random.Random(seed), 7, 10.0, has_clients=lambda: False
            )
            schedule.begin(0.0, at_once=True)
            schedule.due(0.0)
            schedule.load_factor = load_factor
            schedule.connected(0.0)
            at = next_connection(schedule)
            assert at + min(MAX_START_QUEUE_S, gateways * DELTA_COST_S) <= NOTIFICATION_DEADLINE_S
            # Unreachable: each attempt fails after the connect timeout of 1 s.
            for _ in range(12):
                schedule.lost(at + 1.0)
                assert schedule.next_at() <= at + 1.0 + MAX_RETRY_SPAN_S
                at = schedule.next_at()
                schedule.due(at)
    assert 1.0 + MAX_RETRY_SPAN_S + 1.0 <= NOTIFICATION_DEADLINE_S


def rejected_until(
    schedule: PollSchedule, capacity_at: float, answer_s: float = 1.0
) -> tuple[list[float], float]:
    """Reject polls from 0 on; return the times of later rejected polls, and of the first answer."""
    schedule.begin(0.0, at_once=True)
    attempts = []
    now = 0.0
    while now < capacity_at:
        assert schedule.due(now) is PollAction.CONNECT
        schedule.connected(now)
        schedule.rejected(now)
        schedule.lost(now)
        attempts.append(now)
        now = schedule.next_at()
    return attempts[1:], now + answer_s


@pytest.mark.parametrize("gateways", SIZES)
def test_a_service_that_rejected_polls_answers_before_missed_changes_take_effect(gateways):
    """Missed changes take effect 6 s later, so a backoff by the settings' deadline is too slow.

    Gateways whose first watch was rejected used to wait for that deadline and its doubles, 10 to
    80 s, and sent requests to draining endpoints for up to 20 s.
    """
    min_attempts = 3 if gateways <= 200 else 1
    for seed in range(200):
        for capacity_at in (0.5, 1.5, 3.0):
            schedule = PollSchedule(
                gateways, random.Random(seed), 7, 10.0, has_clients=lambda: False
            )
            _, answered_at = rejected_until(schedule, capacity_at)
            assert answered_at <= (
                NOTIFICATION_DEADLINE_S + 1.0
                if gateways <= 200
                else capacity_at + MAX_RETRY_SPAN_S + 1.0
            )
        schedule = PollSchedule(gateways, random.Random(seed), 7, 10.0)
        attempts, answered_at = rejected_until(schedule, 40.0)
        assert sum(at <= NOTIFICATION_DEADLINE_S + 1.0 for at in attempts) >= min_attempts
        assert answered_at <= 40.0 + MAX_RETRY_SPAN_S + 1.0
        assert all(
            later - earlier <= MAX_RETRY_SPAN_S for earlier, later in itertools.pairwise(attempts)
        )


def test_a_broken_watch_leaves_the_list_current_up_to_the_break():
    schedule = connected(gateways=3)
    schedule.answered(0.1, 8)
    # The connection is reset, which is detected at once.
    schedule.lost(30.0)
    schedule.due(schedule.next_at())
    schedule.connected(30.1)
    remaining_s = 30.0 + NOTIFICATION_DEADLINE_S + 1.0 - 30.1
    assert schedule.span_after_rejection(30.1) == pytest.approx(remaining_s / 2)
    schedule = connected(gateways=3)
    schedule.answered(0.1, 8)
    while schedule.due(schedule.next_at()) is not PollAction.ABORT:
        pass
    # The connection is silent: it may have delivered nothing since the poll.
    schedule.lost(3.0)
    remaining_s = 0.1 + NOTIFICATION_DEADLINE_S + 1.0 - 3.0
    assert schedule.span_after_rejection(3.0) == pytest.approx(remaining_s / 2)
