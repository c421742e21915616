"""Turns of tasks: when they are due, how often they are done, what a new holder makes of what it is told."""

from __future__ import annotations

import pytest

from saffrongw.leases.messages import Note, State
from saffrongw.leases.spec import SECOND, LeaseSpec
from saffrongw.leases.task_schedule import RETRY_LEAST, Call, Cancel, Outcome, Say, TaskSchedule

WALL = 1_700_000_000 * SECOND
LEAST = LeaseSpec("t", 10 * SECOND, "at-least", SECOND, 0.0)
MOST = LeaseSpec("t", 10 * SECOND, "at-most", SECOND, 0.0)
TURN = WALL // (10 * SECOND)


class Holder:
    """One holder of a lease with one task."""

    def __init__(
        self, spec: LeaseSpec, last: Note | None = None, known_from: int = 1, wall: int = WALL
    ) -> None:
        self.turns, self.spec, self.now, self.wall, self.left = (
            TaskSchedule(),
            spec,
            0,
            wall,
            8 * SECOND,
        )
        self.turns.gained(0, wall, "s0/1", 5, [spec], {spec.id: last} if last else {}, known_from)

    def due(self) -> list:
        return self.turns.due(self.now, self.wall, lambda lease: self.left)

    def wait(self, span: int) -> list:
        self.now += span
        self.wall += span
        return self.due()

    def confirm(self, said: Say) -> list:
        return self.turns.confirmed(self.now, said.lease, said.notes, lambda lease: self.left)

    def end(self, outcome: Outcome, turn: int = TURN) -> list:
        return self.turns.finished(self.now, self.wall, "t", turn, outcome)


def note(turn: int, state: State) -> Note:
    return Note(LEAST.id, turn, 4, int(state))


@pytest.mark.parametrize(
    ("spec", "last", "does"),
    [
        (LEAST, None, Call),
        (LEAST, note(TURN - 1, State.DONE), Call),
        (LEAST, note(TURN, State.BEGUN), Call),
        (LEAST, note(TURN, State.DONE), None),
        (LEAST, note(TURN, State.FAILED), None),
        (MOST, note(TURN - 1, State.DONE), Say),
        (MOST, note(TURN, State.BEGUN), None),
        (MOST, note(TURN, State.DONE), None),
    ],
)
def test_a_new_holder_neither_repeats_what_is_known_done_nor_skips_a_turn(spec, last, does):
    todo = Holder(spec, last).due()
    assert [type(one) for one in todo] == ([does] if does else [])
    if does is Call:
        assert todo == [Call("t", "s0/1", TURN, 5)]


def test_at_most_once_waits_for_a_majority_to_note_that_it_begins():
    holder = Holder(MOST)
    (said,) = holder.due()
    assert said.notes[0].state == State.BEGUN and holder.wait(SECOND) == []
    assert holder.confirm(said) == [Call("t", "s0/1", TURN, 5)]
    (ended,) = holder.end(Outcome.UNKNOWN)
    assert ended.notes[0].state == State.FAILED
    holder.confirm(ended)
    assert holder.wait(SECOND) == []
    assert [type(one) for one in holder.wait(10 * SECOND)] == [Say]


def test_at_most_once_does_not_begin_when_the_note_took_the_rest_of_the_lease():
    holder = Holder(MOST)
    (said,) = holder.due()
    holder.left = SECOND // 2
    assert holder.confirm(said) == [] and holder.due() == []
    assert holder.turns.counts["late"] == 1


def test_a_turn_that_may_have_been_forgotten_is_left_out_where_it_must_not_be_repeated():
    holder = Holder(MOST, known_from=WALL - SECOND)
    assert holder.due() == [] and holder.turns.counts["left_out"] == 1
    assert [type(one) for one in holder.wait(10 * SECOND)] == [Say]
    assert [type(one) for one in Holder(LEAST, known_from=WALL - SECOND).due()] == [Call]


def test_a_failed_call_is_tried_again_within_its_turn_and_then_given_up():
    holder = Holder(LEAST)
    holder.due()
    assert holder.end(Outcome.FAILED) == [] and holder.due() == []
    assert holder.wait(10 * RETRY_LEAST) == [Call("t", "s0/1", TURN, 5)]
    holder.now += 10 * SECOND
    holder.wall += 10 * SECOND
    (said,) = holder.end(Outcome.UNKNOWN)
    assert said.notes[0].state == State.FAILED
    assert holder.confirm(said) == [] and holder.due() == [Call("t", "s0/1", TURN + 1, 5)]


def test_missed_turns_are_counted_and_only_the_last_one_is_done():
    holder = Holder(LEAST, note(TURN - 4, State.DONE))
    assert holder.due() == [Call("t", "s0/1", TURN, 5)]
    assert holder.turns.counts["missed"] == 3


def test_a_call_that_needs_more_than_is_left_of_the_lease_does_not_begin():
    holder = Holder(LEAST)
    holder.left = SECOND
    assert holder.due() == [] and holder.turns.counts["late"] == 1
    holder.left = 5 * SECOND
    assert holder.wait(RETRY_LEAST) == [Call("t", "s0/1", TURN, 5)]


@pytest.mark.parametrize(("on_loss", "todo"), [("abandon", [Cancel("t")]), ("finish", [])])
def test_what_becomes_of_a_call_when_its_lease_is_lost(on_loss, todo):
    spec = LeaseSpec("t", 10 * SECOND, "at-least", SECOND, 0.0, on_loss=on_loss)
    holder = Holder(spec)
    holder.due()
    assert holder.turns.lost("s0/1") == todo
    said = holder.end(Outcome.DONE)
    assert [type(one) for one in said] == ([Say] if on_loss == "finish" else [])
    assert holder.wait(30 * SECOND) == []


def test_a_clock_that_is_an_hour_behind_neither_repeats_turns_nor_stops_them():
    holder = Holder(LEAST, note(TURN, State.DONE), wall=WALL - 3_600 * SECOND)
    assert holder.due() == [] and holder.turns.counts["clock_behind"] == 1
    for number in range(1, 4):
        todo = holder.wait(10 * SECOND)
        assert todo == [Call("t", "s0/1", TURN + number, 5)]
        (said,) = holder.end(Outcome.DONE, TURN + number)
        holder.confirm(said)
        assert holder.due() == []


def test_tasks_of_one_period_are_spread_over_the_jitter():
    offsets = {LeaseSpec(f"t{n}", 100 * SECOND, jitter=0.5).offset for n in range(200)}
    assert len(offsets) > 190 and min(offsets) >= 0 and max(offsets) < 50 * SECOND
