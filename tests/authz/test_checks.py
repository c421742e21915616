"""The asking side's decisions, without a socket: breaker, choice, cache, coalescing, hedging, bounds."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.authz.breaker import (
    AuthoriserEndpoint,
    Breaker,
    BreakerSettings,
    BreakerState,
    choose_endpoint,
)
from saffrongw.authz.checks import (
    CancelCheck,
    CheckReply,
    CheckScheduler,
    CheckSettings,
    CompleteRequest,
    ReplyKind,
    ScheduleHedge,
    SendCheck,
)

MS, S = 1_000, 1_000_000
ALLOW, DENY = CheckReply(ReplyKind.ALLOW), CheckReply(ReplyKind.DENY)
FIGURES = BreakerSettings(
    window_us=2 * S,
    min_outcomes=10,
    failure_share=0.5,
    max_consecutive_failures=5,
    open_us=S,
    max_open_us=4 * S,
    successes=2,
)


def fail(breaker: Breaker, now: int, times: int = 1) -> None:
    for _ in range(times):
        breaker.ended(now, True, breaker.began())


def settled(effects) -> list[tuple[int, ReplyKind, str]]:
    return [(e.request, e.reply.kind, e.source) for e in effects if isinstance(e, CompleteRequest)]


# -- the breaker ------------------------------------------------------------------------------------------------


def test_failures_in_a_row_open_it_and_one_success_between_them_does_not():
    breaker = Breaker(FIGURES, 1)
    fail(breaker, 0, 4)
    breaker.ended(0, False, False)
    fail(breaker, 0, 4)
    assert breaker.state is BreakerState.CLOSED
    fail(breaker, 0)
    assert breaker.state is BreakerState.OPEN
    assert not breaker.may(0)


def test_a_share_of_failures_in_the_window_opens_it():
    breaker = Breaker(FIGURES, 1)
    for number in range(9):
        breaker.ended(number, number % 2 == 0, False)
    assert breaker.state is BreakerState.CLOSED
    breaker.ended(9, True, False)
    assert breaker.state is BreakerState.OPEN


def test_what_is_older_than_the_window_does_not_count():
    breaker = Breaker(FIGURES, 1)
    for number in range(20):
        breaker.ended(number * S, number % 2 == 0, False)
    assert breaker.state is BreakerState.CLOSED
    assert len(breaker.outcomes) <= 3


def test_one_trial_at_a_time_and_two_good_ones_close_it():
    breaker = Breaker(FIGURES, 1)
    fail(breaker, 0, 5)
    now = breaker.until
    assert S * 0.75 <= now <= S * 1.25
    assert not breaker.may(now - 1)
    assert breaker.may(now)
    trial = breaker.began()
    assert trial
    assert not breaker.may(now)
    breaker.ended(now, False, trial)
    assert breaker.state is BreakerState.HALF_OPEN
    assert breaker.may(now)
    breaker.ended(now, False, breaker.began())
    assert breaker.state is BreakerState.CLOSED


def test_a_trial_that_fails_doubles_the_time_up_to_a_bound():
    breaker, now, spans = Breaker(FIGURES, 1), 0, []
    fail(breaker, now, 5)
    for _ in range(5):
        spans.append(breaker.until - now)
        now = breaker.until
        assert breaker.may(now)
        breaker.ended(now, True, breaker.began())
    assert round(spans[0] / S) == 1
    assert max(spans) <= 4 * S * 1.25
    assert spans[3] > spans[0]


def test_an_outcome_of_before_says_nothing_of_the_trials():
    breaker = Breaker(FIGURES, 1)
    fail(breaker, 0, 5)
    assert breaker.may(breaker.until)
    breaker.ended(breaker.until, False, False)
    breaker.ended(breaker.until, True, False)
    assert breaker.state is BreakerState.HALF_OPEN


def test_a_trial_that_was_called_off_makes_room_for_the_next():
    breaker = Breaker(FIGURES, 1)
    fail(breaker, 0, 5)
    now = breaker.until
    assert breaker.may(now)
    trial = breaker.began()
    breaker.abandoned(trial)
    assert breaker.may(now)


def test_gateways_that_lost_an_authoriser_together_do_not_all_try_it_together():
    untils = set()
    for seed in range(20):
        breaker = Breaker(FIGURES, seed)
        fail(breaker, 0, 5)
        untils.add(breaker.until)
    assert len(untils) == 20


def test_the_choice_goes_by_load_and_leaves_the_shut_alone():
    lots = random.Random(1)
    one, two = AuthoriserEndpoint("one", FIGURES, 1), AuthoriserEndpoint("two", FIGURES, 2)
    one.latency, two.latency = 10 * MS, 10 * MS
    one.out = 5
    assert choose_endpoint([one, two], 0, lots) is two
    assert choose_endpoint([one, two], 0, lots, but=two) is one
    fail(two.breaker, 0, 5)
    assert choose_endpoint([one, two], 0, lots) is one
    fail(one.breaker, 0, 5)
    assert choose_endpoint([one, two], 0, lots) is None
    assert choose_endpoint([one, two], max(one.breaker.until, two.breaker.until), lots) in (
        one,
        two,
    )


# -- checks ----------------------------------------------------------------------------------------------------------


def checks(**changes) -> CheckScheduler:
    names = changes.pop("names", ["a"])
    return CheckScheduler(CheckSettings(**({"breaker": FIGURES} | changes)), names, 1)


def asked(effects) -> SendCheck:
    (ask,) = [e for e in effects if isinstance(e, SendCheck)]
    return ask


def test_a_check_is_asked_within_its_share_and_bounds_and_settles_its_request():
    c = checks(time_share=0.25, max_timeout_us=500 * MS)
    assert asked(c.enter(0, 1, "k1", 800 * MS)).timeout_us == 200 * MS
    assert asked(c.enter(0, 2, "k2", 10 * S)).timeout_us == 500 * MS
    assert asked(c.enter(0, 3, "k3", 1)).timeout_us == 5 * MS
    assert settled(c.answered(9, 1, ALLOW)) == [(1, ReplyKind.ALLOW, "asked")]
    assert c.answered(10, 1, DENY) == []
    assert c.counts["answer too late"] == 1


def test_equal_checks_are_asked_once_and_all_hear():
    c = checks()
    first = asked(c.enter(0, 1, "k", S))
    assert c.enter(1, 2, "k", S) == []
    assert settled(c.answered(9, first.flight, DENY)) == [
        (1, ReplyKind.DENY, "asked"),
        (2, ReplyKind.DENY, "joined"),
    ]


def test_who_has_less_time_than_the_check_that_is_out_asks_anew():
    c = checks()
    c.enter(0, 1, "k", 2 * S)
    assert asked(c.enter(1, 2, "k", 100 * MS)).timeout_us == 25 * MS


def test_answers_are_kept_as_long_as_they_say_and_no_longer_than_allowed():
    c = checks(max_cached_us=10 * S)
    for number, lifetime, until in ((1, 3 * S, 3 * S), (2, 99 * S, 10 * S), (3, 0, 0)):
        flight = asked(c.enter(0, number, f"k{number}", S)).flight
        c.answered(0, flight, CheckReply(ReplyKind.DENY, lifetime=lifetime))
        if until:
            assert settled(c.enter(until - 1, 10 + number, f"k{number}", S)) == [
                (10 + number, ReplyKind.DENY, "cached")
            ]
        assert settled(c.enter(until, 20 + number, f"k{number}", S)) == []
        c.leave(20 + number)


def test_a_kept_time_to_come_back_runs_down():
    c = checks()
    flight = asked(c.enter(0, 1, "k", S)).flight
    c.answered(0, flight, CheckReply(ReplyKind.LATER, retry_after=5 * S, lifetime=9 * S))
    (effect,) = c.enter(2 * S, 2, "k", S)
    assert effect.reply.retry_after == 3 * S
    (effect,) = c.enter(6 * S, 3, "k", S)
    assert effect.reply.retry_after == 0


def test_the_cache_is_bounded_and_drops_what_was_used_longest_ago():
    c = checks(cache_entries=2)
    for number in range(3):
        c.answered(
            0, asked(c.enter(0, number, number, S)).flight, CheckReply(ReplyKind.ALLOW, lifetime=S)
        )
        c.enter(0, 100 + number, 0, S)
    assert set(c.cache) == {0, 2}


def test_nothing_unreached_is_kept():
    c = checks()
    c.failed(0, asked(c.enter(0, 1, "k", S)).flight, "deadline")
    assert not c.cache


def test_beyond_the_bound_and_with_all_shut_requests_are_settled_at_once():
    c = checks(in_flight=2)
    c.enter(0, 1, "a", S), c.enter(0, 2, "b", S)
    assert settled(c.enter(0, 3, "c", S)) == [(3, ReplyKind.UNREACHED, "full")]
    for flight in (1, 2):
        c.failed(0, flight, "x")
    for number in range(3):
        c.failed(0, asked(c.enter(0, 10 + number, f"n{number}", S)).flight, "x")
    assert settled(c.enter(0, 4, "d", S)) == [(4, ReplyKind.UNREACHED, "open")]


def test_who_leaves_calls_off_a_check_that_nobody_else_waits_for():
    c = checks()
    flight = asked(c.enter(0, 1, "k", S)).flight
    c.enter(0, 2, "k", S)
    assert c.leave(1) == []
    assert c.leave(2) == [CancelCheck(flight)]
    assert c.endpoints[0].out == 0
    assert c.answered(1, flight, ALLOW) == []
    assert not c.flights and not c.of and not c.joinable


def test_a_hedge_goes_elsewhere_and_the_first_answer_counts():
    c = checks(names=["a", "b"], hedge_after_us=10 * MS)
    effects = c.enter(0, 1, "k", S)
    first = asked(effects)
    assert ScheduleHedge(first.flight, 10 * MS) in effects
    second = asked(c.hedge(10 * MS, first.flight))
    assert second.endpoint != first.endpoint
    assert c.hedge(11 * MS, first.flight) == []
    done = c.answered(20 * MS, second.flight, DENY)
    assert CancelCheck(first.flight) in done
    assert settled(done) == [(1, ReplyKind.DENY, "asked")]
    assert c.answered(21 * MS, first.flight, ALLOW) == []
    assert [e.out for e in c.endpoints] == [0, 0]


def test_a_hedged_check_fails_only_when_both_have():
    c = checks(names=["a", "b"], hedge_after_us=10 * MS)
    first = asked(c.enter(0, 1, "k", S))
    second = asked(c.hedge(10 * MS, first.flight))
    assert c.failed(20 * MS, first.flight, "reset") == []
    assert settled(c.failed(21 * MS, second.flight, "reset")) == [(1, ReplyKind.UNREACHED, "asked")]


def test_who_leaves_a_hedged_check_calls_off_both():
    c = checks(names=["a", "b"], hedge_after_us=10 * MS)
    first = asked(c.enter(0, 1, "k", S))
    second = asked(c.hedge(10 * MS, first.flight))
    assert set(c.leave(1)) == {CancelCheck(first.flight), CancelCheck(second.flight)}
    assert not c.flights


def test_the_end_settles_all_and_calls_all_off():
    c = checks(names=["a", "b"], hedge_after_us=10 * MS)
    first = asked(c.enter(0, 1, "k", S))
    c.hedge(10 * MS, first.flight)
    c.enter(0, 2, "j", S)
    done = c.drop()
    assert sorted(settled(done)) == sorted(
        [(1, ReplyKind.UNREACHED, "asked"), (2, ReplyKind.UNREACHED, "asked")], key=str
    )
    assert not c.flights and not c.of


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["enter", "enter", "leave", "answer", "fail", "hedge"]),
        st.integers(0, 9),
        st.integers(0, 300 * MS),
    ),
    max_size=120,
)


@settings(max_examples=200)
@given(EVENTS, st.booleans())
def test_every_request_is_settled_exactly_once_or_left_and_nothing_stays(events, coalesce):
    """Any order of events: one reply for each request, bounded flights, and all of it empty at the end."""
    c = checks(names=["a", "b"], hedge_after_us=10 * MS, in_flight=5, coalesce=coalesce)
    now, number, waiting, out, seen = 0, 0, set(), [], []

    def take(effects) -> None:
        for effect in effects:
            if isinstance(effect, CompleteRequest):
                assert effect.request in waiting
                waiting.discard(effect.request)
                seen.append(effect.request)
            elif isinstance(effect, SendCheck):
                out.append(effect.flight)
            elif isinstance(effect, CancelCheck):
                out.remove(effect.flight)

    for kind, place, gap in events:
        now += gap
        if kind == "enter":
            number += 1
            waiting.add(number)
            take(c.enter(now, number, place, S))
        elif kind == "leave" and waiting:
            gone = sorted(waiting)[place % len(waiting)]
            waiting.discard(gone)
            take(c.leave(gone))
        elif out:
            flight = out[place % len(out)]
            if kind == "hedge":
                take(c.hedge(now, flight))
            else:
                out.remove(flight)
                reply = CheckReply(ReplyKind.ALLOW, lifetime=place * 50 * MS)
                take(
                    c.answered(now, flight, reply)
                    if kind == "answer"
                    else c.failed(now, flight, "x")
                )
        assert len(c.flights) == len(out) <= 5
    while out:
        take(c.failed(now, out.pop(0), "end"))
    assert not waiting
    assert len(seen) == len(set(seen))
    assert not c.flights and not c.of and not c.joinable
    assert [e.out for e in c.endpoints] == [0, 0]
