"""When and how often turns of tasks run, and how a new holder uses the reported progress."""

from __future__ import annotations

import pytest

from saffrongw.leases.messages import TaskProgress, TurnState
from saffrongw.leases.spec import SECOND_US, TaskSpec
from saffrongw.leases.task_schedule import (
    MIN_RETRY_WAIT_US,
    CallOutcome,
    CancelCall,
    SendReport,
    TaskCall,
    TaskSchedule,
)

WALL = 1_700_000_000 * SECOND_US
AT_LEAST_ONCE = TaskSpec("t", 10 * SECOND_US, "at-least", SECOND_US, 0.0)
AT_MOST_ONCE = TaskSpec("t", 10 * SECOND_US, "at-most", SECOND_US, 0.0)
TURN = WALL // (10 * SECOND_US)


class Holder:
    """The schedule of a gateway that holds a lease with one task."""

    def __init__(
        self,
        spec: TaskSpec,
        last: TaskProgress | None = None,
        memory_since_us: int = 1,
        wall: int = WALL,
    ) -> None:
        self.schedule, self.spec, self.now, self.wall, self.remaining_us = (
            TaskSchedule(),
            spec,
            0,
            wall,
            8 * SECOND_US,
        )
        self.schedule.lease_gained(
            0, "s0/1", 5, [spec], {spec.task_id: last} if last else {}, memory_since_us
        )

    def due(self) -> list:
        return self.schedule.due(self.now, self.wall, lambda _: self.remaining_us)

    def wait(self, span: int) -> list:
        self.now += span
        self.wall += span
        return self.due()

    def confirm(self, report: SendReport) -> list:
        return self.schedule.progress_confirmed(
            self.now, report.lease, report.progress, lambda _: self.remaining_us
        )

    def end(self, outcome: CallOutcome, turn: int = TURN) -> list:
        return self.schedule.call_finished(self.now, self.wall, "t", turn, outcome)


def progress_at(turn: int, state: TurnState) -> TaskProgress:
    return TaskProgress(AT_LEAST_ONCE.task_id, turn, 4, int(state))


@pytest.mark.parametrize(
    ("spec", "last", "expected_action"),
    [
        (AT_LEAST_ONCE, None, TaskCall),
        (AT_LEAST_ONCE, progress_at(TURN - 1, TurnState.DONE), TaskCall),
        (AT_LEAST_ONCE, progress_at(TURN, TurnState.STARTED), TaskCall),
        (AT_LEAST_ONCE, progress_at(TURN, TurnState.DONE), None),
        (AT_LEAST_ONCE, progress_at(TURN, TurnState.FAILED), None),
        (AT_MOST_ONCE, progress_at(TURN - 1, TurnState.DONE), SendReport),
        (AT_MOST_ONCE, progress_at(TURN, TurnState.STARTED), None),
        (AT_MOST_ONCE, progress_at(TURN, TurnState.DONE), None),
    ],
)
def test_a_new_holder_runs_the_turn_unless_its_end_is_known(spec, last, expected_action):
    actions = Holder(spec, last).due()
    assert [type(one) for one in actions] == ([expected_action] if expected_action else [])
    if expected_action is TaskCall:
        assert actions == [TaskCall("t", "s0/1", TURN, 5)]


def test_an_at_most_once_turn_starts_after_a_majority_has_stored_its_start():
    holder = Holder(AT_MOST_ONCE)
    (report,) = holder.due()
    assert report.progress[0].state == TurnState.STARTED
    assert holder.wait(SECOND_US) == []
    assert holder.confirm(report) == [TaskCall("t", "s0/1", TURN, 5)]
    (ended,) = holder.end(CallOutcome.UNKNOWN)
    assert ended.progress[0].state == TurnState.FAILED
    holder.confirm(ended)
    assert holder.wait(SECOND_US) == []
    assert [type(one) for one in holder.wait(10 * SECOND_US)] == [SendReport]


def test_an_at_most_once_turn_does_not_start_when_too_little_of_the_lease_remains():
    holder = Holder(AT_MOST_ONCE)
    (report,) = holder.due()
    holder.remaining_us = SECOND_US // 2
    assert holder.confirm(report) == []
    assert holder.due() == []
    assert holder.schedule.counters["late"] == 1


def test_an_at_most_once_turn_from_before_the_voters_memory_is_skipped():
    holder = Holder(AT_MOST_ONCE, memory_since_us=WALL - SECOND_US)
    assert holder.due() == []
    assert holder.schedule.counters["left_out"] == 1
    assert [type(one) for one in holder.wait(10 * SECOND_US)] == [SendReport]
    assert [type(one) for one in Holder(AT_LEAST_ONCE, memory_since_us=WALL - SECOND_US).due()] == [
        TaskCall
    ]


def test_a_failed_call_is_retried_within_its_turn_and_then_reported():
    holder = Holder(AT_LEAST_ONCE)
    holder.due()
    assert holder.end(CallOutcome.FAILED) == []
    assert holder.due() == []
    assert holder.wait(10 * MIN_RETRY_WAIT_US) == [TaskCall("t", "s0/1", TURN, 5)]
    holder.now += 10 * SECOND_US
    holder.wall += 10 * SECOND_US
    (report,) = holder.end(CallOutcome.UNKNOWN)
    assert report.progress[0].state == TurnState.FAILED
    assert holder.confirm(report) == []
    assert holder.due() == [TaskCall("t", "s0/1", TURN + 1, 5)]


def test_missed_turns_are_counted_and_only_the_latest_turn_runs():
    holder = Holder(AT_LEAST_ONCE, progress_at(TURN - 4, TurnState.DONE))
    assert holder.due() == [TaskCall("t", "s0/1", TURN, 5)]
    assert holder.schedule.counters["missed"] == 3


def test_a_call_longer_than_the_rest_of_the_lease_does_not_start():
    holder = Holder(AT_LEAST_ONCE)
    holder.remaining_us = SECOND_US
    assert holder.due() == []
    assert holder.schedule.counters["late"] == 1
    holder.remaining_us = 5 * SECOND_US
    assert holder.wait(MIN_RETRY_WAIT_US) == [TaskCall("t", "s0/1", TURN, 5)]


@pytest.mark.parametrize(("on_loss", "actions"), [("abandon", [CancelCall("t")]), ("finish", [])])
def test_a_running_call_is_cancelled_or_finishes_when_its_lease_is_lost(on_loss, actions):
    spec = TaskSpec("t", 10 * SECOND_US, "at-least", SECOND_US, 0.0, on_loss=on_loss)
    holder = Holder(spec)
    holder.due()
    assert holder.schedule.lease_lost("s0/1") == actions
    report = holder.end(CallOutcome.DONE)
    assert [type(one) for one in report] == ([SendReport] if on_loss == "finish" else [])
    assert holder.wait(30 * SECOND_US) == []


def test_a_clock_an_hour_behind_neither_repeats_nor_stops_the_schedule():
    holder = Holder(AT_LEAST_ONCE, progress_at(TURN, TurnState.DONE), wall=WALL - 3_600 * SECOND_US)
    assert holder.due() == []
    assert holder.schedule.counters["clock_behind"] == 1
    for number in range(1, 4):
        actions = holder.wait(10 * SECOND_US)
        assert actions == [TaskCall("t", "s0/1", TURN + number, 5)]
        (report,) = holder.end(CallOutcome.DONE, TURN + number)
        holder.confirm(report)
        assert holder.due() == []


def test_tasks_of_one_period_are_spread_over_the_jitter():
    offsets = {TaskSpec(f"t{n}", 100 * SECOND_US, jitter=0.5).offset_us for n in range(200)}
    assert len(offsets) > 190
    assert min(offsets) >= 0
    assert max(offsets) < 50 * SECOND_US
