"""When a gateway asks its source of lists: spans by the formula, and what a whole fleet makes of them."""

from __future__ import annotations

import itertools
import random

import pytest

from benchmarks.fleet.lists import Before, Start, play
from saffrongw.gateway.discovery.poll_schedule import (
    ANSWER_WITHIN,
    APART_MOST,
    CHANGES,
    CONFIRM,
    ONE_TURN,
    PACE_MOST,
    QUEUE,
    RETRY_AFTER_MOST,
    TOLD_AFTER,
    TOLD_AFTER_WAIT,
    USE,
    WATCH_PATIENCE,
    WHOLE,
    PollRequest,
    PollSchedule,
)

SIZES = (3, 40, 200, 1000)


def asking(gateways: int = 200, version: int | None = 7, **more) -> PollSchedule:
    new = PollSchedule(gateways, random.Random(1), version, **more)
    new.begin(0.0)
    return new


def connected(now: float = 0.0, **more) -> PollSchedule:
    """One whose first call is out."""
    new = asking(**more)
    assert new.due(new.next_at()) == "connect"
    new.connected(now)
    return new


def test_it_first_asks_for_what_is_newer_without_waiting_then_watches():
    new = asking(gateways=3)
    assert new.next_at() == 0.0 and new.due(0.0) == "connect"
    assert new.connected(0.0) == PollRequest(7, 0.0, ANSWER_WITHIN)
    assert new.answered(0.01, 9) == PollRequest(9, 2.0, 2.0 + WATCH_PATIENCE)
    assert asking(gateways=3, version=None).connected(0.0).version is None  # nothing is known
    assert asking(gateways=3, version=0).connected(0.0) == PollRequest(
        0, 0.0, ANSWER_WITHIN
    )  # a list that never changed


@pytest.mark.parametrize("gateways", [3, 100, 200, 1000])
def test_the_first_calls_of_all_make_a_queue_no_longer_than_calls_may_wait(gateways):
    spans = {
        version: max(asking(gateways, version).first() for _ in range(3)) for version in (None, 7)
    }
    for version, cost in ((None, WHOLE), (7, CHANGES)):
        load = gateways * cost
        span = max(0.0, load - QUEUE) / USE
        if (
            version and span > APART_MOST
        ):  # what changed counts as told: then the queue has to be longer
            assert spans[version] == APART_MOST and gateways > 700
            continue
        assert spans[version] == pytest.approx(span)
        assert (
            load - spans[version] <= QUEUE + 1e-9
        )  # what comes in the span, less what is done in it


def test_watches_without_news_take_a_tenth_of_the_worker_at_most():
    for gateways in (3, 40, 200, 600):
        assert gateways * CHANGES / asking(gateways).wait <= 0.1 + 1e-9
    assert asking(3).wait == 2.0


def test_after_a_refusal_it_waits_as_the_service_says_and_a_draw_of_half_of_what_the_clock_leaves_besides():
    left = TOLD_AFTER + 1.0 - 2.0  # it began at 0, and is refused at 2
    for said in (0.0, 7.0):
        waits = []
        for seed in range(50):
            new = PollSchedule(200, random.Random(seed), 7)
            new.begin(0.0)
            new.due(new.next_at())
            new.connected(1.0)
            new.refused(2.0, said)
            new.lost(2.0)  # its connection is closed for that: no second wait
            waits.append(new.next_at() - 2.0)
        assert min(waits) >= said
        assert said + 0.8 * left / 2 < max(waits) <= said + left / 2
    new = connected()
    new.refused(1.0, 1e9)
    assert new.next_at() < 1.0 + RETRY_AFTER_MOST + 100


def test_refusals_are_answered_by_tries_spread_over_the_fleets_load_and_never_far_apart():
    for gateways in SIZES:
        least = min(APART_MOST, max(1.0, gateways * CHANGES / USE))
        for late in range(0, 60, 3):
            assert least <= asking(gateways).after_refusal(float(late)) <= APART_MOST
        assert asking(gateways).after_refusal(TOLD_AFTER + 1.0) == least  # it has just run out
        assert (
            asking(gateways).after_refusal(60.0) == APART_MOST
        )  # no room for a minute: as far apart as may be
    assert (
        asking(3, ask_within=2.0).after_refusal(0.0) == 1.5
    )  # the settings may count it as told sooner


def test_a_service_that_is_gone_is_tried_again_over_a_span_of_the_fleet():
    small, large = asking(gateways=3), asking(gateways=200)
    assert small.after_loss() == 0.05 and large.after_loss() == pytest.approx(200 * CHANGES / USE)
    for each in (small, large):
        for now in range(12):
            assert each.due(each.next_at()) == "connect"
            each.lost(float(now))
    assert small.after_loss() == 1.0 and large.after_loss() == APART_MOST < 200 * WHOLE / USE


def test_who_has_no_clients_yet_waits_longer():
    assert asking(has_clients=lambda: False).after_loss() == 2 * asking().after_loss()


def test_a_silent_answer_is_given_up_and_only_a_call_that_does_not_watch_tells_of_load():
    new = connected()
    assert new.due(new.next_at() - 0.001) == ""
    assert new.due(new.next_at()) == ""  # it may lie unread: the loop reads once more
    assert new.due(new.next_at()) == "abort"
    new.lost(10.0)
    assert new.pace == 2.0
    new.due(new.next_at())
    new.connected(20.0)
    new.answered(20.01, 8)
    assert new.pace == 1.0
    assert new.due(new.next_at()) == ""
    assert new.due(new.next_at()) == "abort"
    new.lost(40.0)
    assert new.pace == 1.0


def test_answers_that_took_long_stretch_the_spans_and_quick_ones_shrink_them_again():
    new = connected(now=0.0)
    new.answered(0.9, 8)
    assert new.pace == 2.0
    new.lost(1.0)
    new.due(new.next_at())
    new.connected(2.0)
    new.answered(2.01, 8)
    assert new.pace == 1.0


def test_a_registry_that_counts_anew_is_asked_for_the_whole_list_and_later_once_in_any_case():
    new = connected()
    assert new.answered(0.1, 3).version is None  # it knew 7
    assert new.answered(0.2, 3).version == 3
    new = connected()
    assert new.answered(0.1, 7) == PollRequest(7, 10.0, 10.0 + WATCH_PATIENCE)
    late = new.answered(3 * CONFIRM, 8)
    assert late.version is None
    assert new.answered(3 * CONFIRM + 0.1, 8).version == 8
    assert new.answered(9 * CONFIRM, 8).version == 8  # once


def test_another_service_is_asked_at_once_for_everything():
    new = connected()
    new.move(5.0)
    assert new.next_at() == 5.0 and new.due(5.0) == "connect"
    assert new.connected(5.0).version is None


def test_an_answer_that_came_while_the_process_stood_still_is_read_before_it_is_given_up():
    new = connected()
    late = new.next_at() + 5.0
    assert new.due(late) == "" and new.next_at() == late + ONE_TURN
    new.answered(late + ONE_TURN, 8)
    assert new.due(late + ONE_TURN) == "" and not new.gave_up


def test_behind_an_answer_that_closes_its_connection_the_watch_goes_on_at_once_on_the_next():
    new = connected(gateways=3)
    assert new.answered(0.1, 8, closes=True) is None
    new.lost(0.1)
    assert new.next_at() == 0.1 and new.due(0.1) == "connect"
    assert new.connected(0.1) == PollRequest(8, 2.0, 2.0 + WATCH_PATIENCE)
    new.lost(0.2)  # and one that is lost without an answer is asked what it missed
    new.due(new.next_at())
    assert new.connected(0.3).wait == 0.0


# -- the told clock -------------------------------------------------------------------------------------------


def heard(
    new: PollSchedule, silent: tuple[float, float], connects: bool = True, delay: float = 0.002
) -> float:
    """When the first answer after the silence comes. What is asked in it is never answered; connections come up
    then only if it ``connects``. Each answer takes ``delay``, a watch its time."""
    at, answer = new.begin(0.0, at_once=True) or 0.0, None
    while True:
        due = new.next_at()
        if answer is not None and (due is None or answer <= due):
            at = answer
            answer = None
            if at >= silent[1]:
                return at
            call = new.answered(at, 7)
        else:
            at = max(at, due)
            what = new.due(at)
            if what == "abort":
                answer = None
                new.lost(at)
            if what != "connect":
                continue
            if not connects and silent[0] <= at < silent[1]:
                new.lost(at + delay)
                continue
            call = new.connected(at)
        took = call.wait or delay
        swallowed = silent[0] <= at < silent[1] or (
            call.wait and at < silent[1] and at + took >= silent[0]
        )
        answer = None if swallowed else at + took


@pytest.mark.parametrize("grace", [0.25, 1.0])
@pytest.mark.parametrize("gateways", SIZES)
def test_what_an_agent_has_on_its_return_is_heard_within_the_grace(gateways, grace):
    """Herd at 200 gateways broke the drain rule by it: a doubled pace and a draw of 6 s after 8 s of silence."""
    for connects in (True, False):
        for seed in range(60):
            back = 12.0 + seed * 0.173
            new = PollSchedule(gateways, random.Random(seed), 7, 10.0, pushed=True, grace=grace)
            assert heard(new, (3.0, back), connects) <= back + grace


@pytest.mark.parametrize("grace", [0.25, 1.0])
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("gateways", SIZES)
def test_what_a_silent_watch_misses_is_heard_before_it_binds(gateways, pushed, grace):
    for pace in (1.0, PACE_MOST):
        for seed in range(40):
            new = PollSchedule(gateways, random.Random(seed), 7, 10.0, pushed=pushed, grace=grace)
            new.begin(0.0, at_once=True)
            new.due(0.0)
            new.connected(0.0)
            new.pace = pace
            new.answered(1.0, 7)
            fell, new.pace = 1.0, pace
            while (what := new.due(at := new.next_at())) != "connect":
                if what == "abort":
                    new.lost(at)
            call = new.connected(at)
            told = max(fell + TOLD_AFTER, fell + new.wait + TOLD_AFTER_WAIT)
            # the answer itself: at once by an agent, behind all the others by a service
            took = 0.002 if pushed else min(QUEUE, gateways * CHANGES)
            assert call.wait == 0.0 and at + took <= told + grace


@pytest.mark.parametrize("gateways", SIZES)
def test_a_call_that_may_not_wait_and_a_service_that_is_gone_keep_the_told_clock(gateways):
    """A service far away: what happens counts as told 6 s later, whatever the fleet's size and the pace."""
    for seed in range(60):
        for pace in (1.0, PACE_MOST):
            new = PollSchedule(gateways, random.Random(seed), 7, 10.0, has_clients=lambda: False)
            new.begin(0.0, at_once=True)
            new.due(0.0)
            new.pace = pace
            new.connected(0.0)
            while (
                what := new.due(at := new.next_at())
            ) != "connect":  # this call is never answered
                if what == "abort":
                    new.lost(at)
            assert at + min(QUEUE, gateways * CHANGES) <= TOLD_AFTER
            for _ in range(12):  # gone: each try takes its second to fail
                new.lost(at + 1.0)
                assert new.next_at() <= at + 1.0 + APART_MOST
                at = new.next_at()
                new.due(at)
    assert 1.0 + APART_MOST + 1.0 <= TOLD_AFTER


def refused_until(new: PollSchedule, room: float, late: float = 1.0) -> tuple[list[float], float]:
    """When it tried in vain from its refusal at 0 on, and when it heard an answer, which takes ``late``."""
    new.begin(0.0, at_once=True)
    tries, at = [], 0.0
    while at < room:
        assert new.due(at) == "connect"
        new.connected(at)
        new.refused(at)
        new.lost(at)
        tries.append(at)
        at = new.next_at()
    return tries[1:], at + late


@pytest.mark.parametrize("gateways", SIZES)
def test_a_service_that_had_no_room_is_heard_before_what_it_did_not_tell_binds(gateways):
    """Gateways that were turned away as they began their watch sent to draining hosts for up to 20 s: they waited for
    ``ask_within`` and its doubles, 10 to 80 s, while changes counted as told 6 s later."""
    least = 3 if gateways <= 200 else 1
    for seed in range(200):
        for room in (0.5, 1.5, 3.0):
            new = PollSchedule(gateways, random.Random(seed), 7, 10.0, has_clients=lambda: False)
            tries, heard = refused_until(new, room)
            assert heard <= (TOLD_AFTER + 1.0 if gateways <= 200 else room + APART_MOST + 1.0)
        tries, heard = refused_until(PollSchedule(gateways, random.Random(seed), 7, 10.0), 40.0)
        assert sum(at <= TOLD_AFTER + 1.0 for at in tries) >= least
        assert heard <= 40.0 + APART_MOST + 1.0
        assert all(late - soon <= APART_MOST for soon, late in itertools.pairwise(tries))


def test_a_watch_that_breaks_had_told_everything_up_to_then():
    new = connected(gateways=3)
    new.answered(0.1, 8)
    new.lost(30.0)  # reset: noticed at once
    new.due(new.next_at())
    new.connected(30.1)
    assert new.after_refusal(30.1) == pytest.approx((30.0 + TOLD_AFTER + 1.0 - 30.1) / 2)
    new = connected(gateways=3)
    new.answered(0.1, 8)
    while new.due(new.next_at()) != "abort":
        pass
    new.lost(3.0)  # silent: it may have told nothing since its call
    assert new.after_refusal(3.0) == pytest.approx((0.1 + TOLD_AFTER + 1.0 - 3.0) / 2)


# -- the fleet on the virtual clock ---------------------------------------------------------------------------


def test_two_hundred_that_start_at_once_are_current_soon_and_hardly_any_is_turned_away():
    result = play(Start(200, length=30.0))
    assert result.current == 200 and result.calls <= 1.5 * 200
    assert result.busiest <= 1.2 and result.refused < 0.05 * 200
    assert result.last <= 1.5 * result.least
    before = play(Start(200, length=30.0, kind=Before))  # what it mends is seen by the same eyes
    assert (
        before.calls > 3 * result.calls and before.refused > 200 and before.last > 5 * result.last
    )


def test_a_service_that_comes_back_after_a_minute_is_not_met_by_all_at_once():
    result = play(Start(200, down=(5.0, 65.0), length=60.0))
    assert result.current == 200 and result.calls <= 1.5 * 200
    assert result.busiest <= 1.2 and result.refused < 0.05 * 200
    assert result.last <= 1.5 * 200 * WHOLE


def test_all_that_start_a_second_time_within_10_s_are_served_again():
    result = play(Start(200, twice_after=8.0, length=30.0))
    assert result.current == 200 and result.last <= 1.5 * result.least and result.refused < 10


@pytest.mark.parametrize("gateways", [50, 200])
def test_all_that_were_turned_away_for_30_s_are_current_soon_after_there_is_room(gateways):
    result = play(Start(gateways, refusing=(0.0, 30.0), length=120.0))
    assert result.current == gateways and result.last <= 30.0 + APART_MOST + 1.0
    assert (
        result.busiest <= 2.0 and result.refused <= 30 * gateways
    )  # one try a second of each, at most
    before = play(Start(gateways, refusing=(0.0, 30.0), length=120.0, kind=Before))
    assert before.last > 2 * result.last - 30.0


def test_one_that_starts_alone_among_200_is_current_within_a_second():
    result = play(Start(200, alone=True, length=30.0))
    assert result.current == 1 and result.last < 1.0
