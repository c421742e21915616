"""Renewal on a clock that is handed in: 90 days in milliseconds, authorities that fail, clocks that jump."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from saffrongw.certs.messages import FailureKind, RenewalWindow
from saffrongw.certs.renewal import (
    BACKOFFS,
    DAY,
    HOUR,
    MINUTE,
    Alarm,
    CertificateState,
    Failures,
    RenewalRules,
    alarm,
    due_at,
    next_attempt_at,
    next_failures,
    window_question_at,
)

RULES = RenewalRules()
START = 1_000 * DAY
LIFE = 90 * DAY
FRESH = CertificateState(START, START + LIFE, draw=0.5)


def lived(outcome, until: float, state=FRESH, authorities=1, now=START, jump=lambda now: now):
    """Days on a virtual clock: every try, as (time, authority), until one succeeds or the time is over."""
    tries = []
    while now < until:
        at = next_attempt_at(now, state, RULES)
        if at > now:
            now = jump(at)
            continue
        tries.append((now, state.failures.authority))
        wrong = outcome(now, state.failures.authority)
        if wrong is None:
            return tries, now
        kind, after = wrong
        kept = next_failures(now, state, kind, "", after, 0.5, authorities)
        assert kept.next_at > now
        state = replace(state, failures=kept)
    return tries, None


def test_due_with_a_third_of_the_life_left_spread_by_its_draw():
    assert due_at(replace(FRESH, draw=0.0), RULES) == START + 60 * DAY
    assert due_at(replace(FRESH, draw=1.0), RULES) == pytest.approx(START + 51 * DAY)
    assert due_at(CertificateState(), RULES) == 0.0
    assert due_at(replace(FRESH, wanted=True), RULES) == 0.0


def test_the_authoritys_window_counts_but_not_into_the_ground():
    window = RenewalWindow(START + 40 * DAY, START + 42 * DAY, 0)
    assert due_at(replace(FRESH, window=window), RULES) == START + 41 * DAY
    past_the_end = RenewalWindow(START + 95 * DAY, START + 96 * DAY, 0)
    assert due_at(replace(FRESH, window=past_the_end), RULES) == START + 75 * DAY
    revoked = RenewalWindow(START - DAY, START - HOUR, 0)
    assert due_at(replace(FRESH, window=revoked), RULES) < START


def test_an_authority_that_is_away_for_hours_around_the_due_time_is_asked_until_it_is_back():
    back = START + 56 * DAY + 9 * HOUR
    tries, done = lived(
        lambda now, _: None if now >= back else (FailureKind.UNREACHABLE, 0), START + LIFE
    )
    assert back <= done <= back + 1.25 * HOUR
    assert START + LIFE - done > 30 * DAY
    assert len(tries) < 40


def test_away_for_the_whole_window_and_beyond_the_end_it_is_renewed_within_a_minute_of_its_return():
    back = START + LIFE + 5 * HOUR
    tries, done = lived(
        lambda now, _: None if now >= back else (FailureKind.UNREACHABLE, 0), back + DAY
    )
    assert back <= done <= back + MINUTE
    assert len(tries) < 3_000  # and it was not hammered: an hour's pause until the last ones
    early = [at for at, _ in tries if at < START + 85 * DAY]
    assert min(b - a for a, b in itertools.pairwise(early[8:])) >= HOUR


@pytest.mark.parametrize("kind", list(FailureKind))
def test_pauses_grow_to_their_most_and_stay_there(kind):
    state, now, spans = CertificateState(START, START + 10 * 365 * DAY), START, []
    for _ in range(60):
        kept = next_failures(now, state, kind, "", 0, 0.0, 1)
        spans.append(kept.next_at - now)
        now, state = kept.next_at, replace(state, failures=kept)
    assert spans[0] == BACKOFFS[kind].initial_s
    assert spans == sorted(spans)
    assert spans[-1] == BACKOFFS[kind].max_s


def test_another_kind_of_failure_begins_anew():
    first = replace(FRESH, failures=Failures(FailureKind.CHALLENGE.value, 7, START, START, START))
    assert next_failures(START, first, FailureKind.UNREACHABLE, "", 0, 0.0, 1).count == 1


def test_an_authoritys_word_is_kept_also_near_the_end():
    late = replace(FRESH, end=START + DAY)
    kept = next_failures(START, late, FailureKind.RATE, "", 5 * DAY, 0.0, 1)
    assert kept.next_at == START + 5 * DAY
    assert next_attempt_at(START + HOUR, replace(late, failures=kept), RULES) == START + 5 * DAY


def test_the_next_authority_is_asked_where_the_first_fails():
    def outcome(now, authority):
        return (FailureKind.UNREACHABLE, 0) if authority == 0 else None

    tries, done = lived(outcome, START + LIFE, authorities=2)
    assert [a for _, a in tries] == [0, 0, 0, 1]
    assert done - tries[0][0] < 15 * MINUTE
    limited, _ = lived(
        lambda now, a: (FailureKind.RATE, 3 * DAY) if a == 0 else None, START + LIFE, authorities=2
    )
    assert [a for _, a in limited] == [0, 1]
    assert limited[1][0] - limited[0][0] <= 2 * MINUTE  # the second has not asked us to wait


def test_two_authorities_that_both_fail_are_asked_in_turn_and_not_in_a_storm():
    tries, done = lived(
        lambda now, _: (FailureKind.UNREACHABLE, 0), START + 60 * DAY, authorities=2
    )
    assert done is None
    assert {a for _, a in tries} == {0, 1}
    assert len(tries) < 24 * 8 * 3


def test_a_clock_that_was_ahead_does_not_silence_us():
    """A failure was kept by a clock a year ahead; it came back."""
    ahead = next_failures(
        START + 365 * DAY,
        replace(FRESH, end=START + 366 * DAY),
        FailureKind.UNREACHABLE,
        "",
        0,
        0.5,
        1,
    )
    state = replace(FRESH, failures=ahead)
    now = START + 70 * DAY
    assert next_attempt_at(now, state, RULES) <= now + 1.25 * HOUR


def test_a_clock_that_jumps_a_day_ahead_or_back_renews_in_time():
    for jump in (DAY, -DAY):
        jumped = []

        def moved(at, jump=jump, jumped=jumped):
            if at > START + 50 * DAY and not jumped:
                jumped.append(at)
                return at + jump
            return at

        _, done = lived(lambda now, _: None, START + LIFE, jump=moved)
        assert START + LIFE - done > 28 * DAY


def test_without_a_certificate_it_is_tried_at_least_every_ten_minutes():
    state, now = CertificateState(), START
    for _ in range(30):
        kept = next_failures(now, state, FailureKind.CHALLENGE, "", 0, 1.0, 1)
        assert kept.next_at - now <= 12.5 * MINUTE
        now, state = kept.next_at, replace(state, failures=kept)


def test_alarms_rise_as_the_end_nears():
    at = lambda left: alarm(START + LIFE * (1 - left), FRESH, RULES)  # noqa: E731
    assert [at(x) for x in (0.9, 0.3, 0.2, 0.1, 0.03, 0.0, -0.1)] == [
        Alarm.NONE,
        Alarm.NONE,
        Alarm.NOTICE,
        Alarm.WARNING,
        Alarm.CRITICAL,
        Alarm.ENDED,
        Alarm.ENDED,
    ]
    assert alarm(START, CertificateState(), RULES) is Alarm.NOTICE
    assert alarm(START, CertificateState(failures=Failures("away", 3)), RULES) is Alarm.CRITICAL


def test_the_window_is_asked_for_again_when_its_time_has_come_or_lies_absurdly_far():
    assert window_question_at(START, FRESH) == START
    assert (
        window_question_at(START, replace(FRESH, window=RenewalWindow(0, 1, START + HOUR)))
        == START + HOUR
    )
    assert (
        window_question_at(START, replace(FRESH, window=RenewalWindow(0, 1, START + 400 * DAY)))
        == START
    )


def test_500_names_of_one_moment_do_not_renew_at_one_moment():
    import random

    dues = sorted(
        due_at(replace(FRESH, draw=random.Random(f"n{i}.example").random()), RULES)
        for i in range(500)
    )
    assert dues[-1] - dues[0] > 8 * DAY
    busiest = max(sum(1 for d in dues if at <= d < at + HOUR) for at in dues)
    assert busiest <= 12
