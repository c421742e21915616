"""Renewal decisions on a virtual clock: 90 days, authorities that fail, clocks that jump."""

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


def simulate_attempts(
    outcome, until: float, state=FRESH, authorities=1, now=START, jump=lambda now: now
):
    """Return all attempts as (time, authority), and the time of the first success or None."""
    attempts = []
    while now < until:
        at = next_attempt_at(now, state, RULES)
        if at > now:
            now = jump(at)
            continue
        attempts.append((now, state.failures.authority))
        failure = outcome(now, state.failures.authority)
        if failure is None:
            return attempts, now
        kind, after = failure
        kept = next_failures(now, state, kind, "", after, 0.5, authorities)
        assert kept.next_at > now
        state = replace(state, failures=kept)
    return attempts, None


def test_a_renewal_is_due_at_a_third_of_the_lifetime_minus_the_spread():
    assert due_at(replace(FRESH, draw=0.0), RULES) == START + 60 * DAY
    assert due_at(replace(FRESH, draw=1.0), RULES) == pytest.approx(START + 51 * DAY)
    assert due_at(CertificateState(), RULES) == 0.0
    assert due_at(replace(FRESH, wanted=True), RULES) == 0.0


def test_the_renewal_window_is_followed_up_to_half_the_lead_time():
    window = RenewalWindow(START + 40 * DAY, START + 42 * DAY, 0)
    assert due_at(replace(FRESH, window=window), RULES) == START + 41 * DAY
    past_the_end = RenewalWindow(START + 95 * DAY, START + 96 * DAY, 0)
    assert due_at(replace(FRESH, window=past_the_end), RULES) == START + 75 * DAY
    revoked = RenewalWindow(START - DAY, START - HOUR, 0)
    assert due_at(replace(FRESH, window=revoked), RULES) < START


def test_an_outage_of_hours_at_the_due_time_delays_the_renewal_until_it_ends():
    back = START + 56 * DAY + 9 * HOUR
    attempts, done = simulate_attempts(
        lambda now, _: None if now >= back else (FailureKind.UNREACHABLE, 0), START + LIFE
    )
    assert back <= done <= back + 1.25 * HOUR
    assert START + LIFE - done > 30 * DAY
    assert len(attempts) < 40


def test_after_an_outage_beyond_the_expiry_the_renewal_follows_within_a_minute():
    back = START + LIFE + 5 * HOUR
    attempts, done = simulate_attempts(
        lambda now, _: None if now >= back else (FailureKind.UNREACHABLE, 0), back + DAY
    )
    assert back <= done <= back + MINUTE
    assert (
        len(attempts) < 3_000
    )  # the authority is not flooded: the backoff is an hour until shortly before the expiry
    early = [at for at, _ in attempts if at < START + 85 * DAY]
    assert min(b - a for a, b in itertools.pairwise(early[8:])) >= HOUR


@pytest.mark.parametrize("kind", list(FailureKind))
def test_backoffs_grow_to_their_maximum_and_stay_there(kind):
    state, now, spans = CertificateState(START, START + 10 * 365 * DAY), START, []
    for _ in range(60):
        kept = next_failures(now, state, kind, "", 0, 0.0, 1)
        spans.append(kept.next_at - now)
        now, state = kept.next_at, replace(state, failures=kept)
    assert spans[0] == BACKOFFS[kind].initial_s
    assert spans == sorted(spans)
    assert spans[-1] == BACKOFFS[kind].max_s


def test_another_kind_of_failure_resets_the_count():
    first = replace(FRESH, failures=Failures(FailureKind.CHALLENGE.value, 7, START, START, START))
    assert next_failures(START, first, FailureKind.UNREACHABLE, "", 0, 0.0, 1).count == 1


def test_retry_after_is_respected_near_the_expiry():
    late = replace(FRESH, end=START + DAY)
    kept = next_failures(START, late, FailureKind.RATE, "", 5 * DAY, 0.0, 1)
    assert kept.next_at == START + 5 * DAY
    assert next_attempt_at(START + HOUR, replace(late, failures=kept), RULES) == START + 5 * DAY


def test_the_next_authority_is_tried_after_failures_of_the_first():
    def outcome(now, authority):
        return (FailureKind.UNREACHABLE, 0) if authority == 0 else None

    attempts, done = simulate_attempts(outcome, START + LIFE, authorities=2)
    assert [a for _, a in attempts] == [0, 0, 0, 1]
    assert done - attempts[0][0] < 15 * MINUTE
    limited, _ = simulate_attempts(
        lambda now, a: (FailureKind.RATE, 3 * DAY) if a == 0 else None, START + LIFE, authorities=2
    )
    assert [a for _, a in limited] == [0, 1]
    assert (
        limited[1][0] - limited[0][0] <= 2 * MINUTE
    )  # the Retry-After of the first does not apply to the second


def test_two_failing_authorities_are_tried_alternately_and_at_a_bounded_rate():
    attempts, done = simulate_attempts(
        lambda now, _: (FailureKind.UNREACHABLE, 0), START + 60 * DAY, authorities=2
    )
    assert done is None
    assert {a for _, a in attempts} == {0, 1}
    assert len(attempts) < 24 * 8 * 3


def test_a_failure_stored_by_a_clock_ahead_does_not_block_attempts():
    """The clock was a year ahead when the failure was stored, and is right now."""
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


def test_a_clock_jump_of_a_day_does_not_delay_the_renewal_too_long():
    for jump in (DAY, -DAY):
        jumped = []

        def moved(at, jump=jump, jumped=jumped):
            if at > START + 50 * DAY and not jumped:
                jumped.append(at)
                return at + jump
            return at

        _, done = simulate_attempts(lambda now, _: None, START + LIFE, jump=moved)
        assert START + LIFE - done > 28 * DAY


def test_without_a_certificate_the_backoff_is_at_most_ten_minutes_plus_jitter():
    state, now = CertificateState(), START
    for _ in range(30):
        kept = next_failures(now, state, FailureKind.CHALLENGE, "", 0, 1.0, 1)
        assert kept.next_at - now <= 12.5 * MINUTE
        now, state = kept.next_at, replace(state, failures=kept)


def test_alarm_levels_rise_towards_the_expiry():
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


def test_the_window_is_requested_when_due_or_if_the_stored_time_is_implausible():
    assert window_question_at(START, FRESH) == START
    assert (
        window_question_at(START, replace(FRESH, window=RenewalWindow(0, 1, START + HOUR)))
        == START + HOUR
    )
    assert (
        window_question_at(START, replace(FRESH, window=RenewalWindow(0, 1, START + 400 * DAY)))
        == START
    )


def test_renewals_of_500_certificates_issued_together_are_spread():
    import random

    dues = sorted(
        due_at(replace(FRESH, draw=random.Random(f"n{i}.example").random()), RULES)
        for i in range(500)
    )
    assert dues[-1] - dues[0] > 8 * DAY
    busiest = max(sum(1 for d in dues if at <= d < at + HOUR) for at in dues)
    assert busiest <= 12
