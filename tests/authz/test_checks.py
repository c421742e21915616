"""The scheduler of checks without sockets: breaker, choice of endpoint, cache, coalescing, hedging, limits."""

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
BREAKER_SETTINGS = BreakerSettings(
    window_us=2 * S,
    min_outcomes=10,
    failure_share=0.5,
    max_consecutive_failures=5,
    open_us=S,
    max_open_us=4 * S,
    successes_to_close=2,
)


def fail(breaker: Breaker, now: int, times: int = 1) -> None:
    for _ in range(times):
        breaker.check_ended(now, True, breaker.check_started())


def completed(effects) -> list[tuple[int, ReplyKind, str]]:
    return [(e.request, e.reply.kind, e.source) for e in effects if isinstance(e, CompleteRequest)]


# -- the breaker ------------------------------------------------------------------------------------------------


def test_consecutive_failures_open_the_breaker_unless_a_success_is_between_them():
    breaker = Breaker(BREAKER_SETTINGS, 1)
    fail(breaker, 0, 4)
    breaker.check_ended(0, False, False)
    fail(breaker, 0, 4)
    assert breaker.state is BreakerState.CLOSED
    fail(breaker, 0)
    assert breaker.state is BreakerState.OPEN
    assert not breaker.allows_check(0)


def test_a_share_of_failures_in_the_window_opens_the_breaker():
    breaker = Breaker(BREAKER_SETTINGS, 1)
    for number in range(9):
        breaker.check_ended(number, number % 2 == 0, False)
    assert breaker.state is BreakerState.CLOSED
    breaker.check_ended(9, True, False)
    assert breaker.state is BreakerState.OPEN


def test_outcomes_older_than_the_window_are_not_counted():
    breaker = Breaker(BREAKER_SETTINGS, 1)
    for number in range(20):
        breaker.check_ended(number * S, number % 2 == 0, False)
    assert breaker.state is BreakerState.CLOSED
    assert len(breaker.outcomes) <= 3


def test_a_half_open_breaker_allows_one_trial_at_a_time_and_two_successes_close_it():
    breaker = Breaker(BREAKER_SETTINGS, 1)
    fail(breaker, 0, 5)
    now = breaker.half_open_at_us
    assert S * 0.75 <= now <= S * 1.25
    assert not breaker.allows_check(now - 1)
    assert breaker.allows_check(now)
    trial = breaker.check_started()
    assert trial
    assert not breaker.allows_check(now)
    breaker.check_ended(now, False, trial)
    assert breaker.state is BreakerState.HALF_OPEN
    assert breaker.allows_check(now)
    breaker.check_ended(now, False, breaker.check_started())
    assert breaker.state is BreakerState.CLOSED


def test_a_failed_trial_doubles_the_open_time_up_to_a_bound():
    breaker, now, open_times_us = Breaker(BREAKER_SETTINGS, 1), 0, []
    fail(breaker, now, 5)
    for _ in range(5):
        open_times_us.append(breaker.half_open_at_us - now)
        now = breaker.half_open_at_us
        assert breaker.allows_check(now)
        breaker.check_ended(now, True, breaker.check_started())
    assert round(open_times_us[0] / S) == 1
    assert max(open_times_us) <= 4 * S * 1.25
    assert open_times_us[3] > open_times_us[0]


def test_a_half_open_breaker_ignores_outcomes_of_checks_sent_before_it_opened():
    breaker = Breaker(BREAKER_SETTINGS, 1)
    fail(breaker, 0, 5)
    assert breaker.allows_check(breaker.half_open_at_us)
    breaker.check_ended(breaker.half_open_at_us, False, False)
    breaker.check_ended(breaker.half_open_at_us, True, False)
    assert breaker.state is BreakerState.HALF_OPEN


def test_a_cancelled_trial_allows_the_next_one():
    breaker = Breaker(BREAKER_SETTINGS, 1)
    fail(breaker, 0, 5)
    now = breaker.half_open_at_us
    assert breaker.allows_check(now)
    trial = breaker.check_started()
    breaker.check_cancelled(trial)
    assert breaker.allows_check(now)


def test_gateways_that_lost_an_authoriser_together_send_trials_at_different_times():
    half_open_times = set()
    for seed in range(20):
        breaker = Breaker(BREAKER_SETTINGS, seed)
        fail(breaker, 0, 5)
        half_open_times.add(breaker.half_open_at_us)
    assert len(half_open_times) == 20


def test_the_choice_prefers_the_less_loaded_endpoint_and_omits_open_breakers():
    generator = random.Random(1)
    one, two = (
        AuthoriserEndpoint("one", BREAKER_SETTINGS, 1),
        AuthoriserEndpoint("two", BREAKER_SETTINGS, 2),
    )
    one.latency_us, two.latency_us = 10 * MS, 10 * MS
    one.in_flight = 5
    assert choose_endpoint([one, two], 0, generator) is two
    assert choose_endpoint([one, two], 0, generator, exclude=two) is one
    fail(two.breaker, 0, 5)
    assert choose_endpoint([one, two], 0, generator) is one
    fail(one.breaker, 0, 5)
    assert choose_endpoint([one, two], 0, generator) is None
    assert choose_endpoint(
        [one, two], max(one.breaker.half_open_at_us, two.breaker.half_open_at_us), generator
    ) in (
        one,
        two,
    )


# -- checks ----------------------------------------------------------------------------------------------------------


def new_scheduler(**changes) -> CheckScheduler:
    addresses = changes.pop("addresses", ["a"])
    return CheckScheduler(CheckSettings(**({"breaker": BREAKER_SETTINGS} | changes)), addresses, 1)


def sent_check(effects) -> SendCheck:
    (check,) = [e for e in effects if isinstance(e, SendCheck)]
    return check


def test_a_check_has_a_timeout_within_its_limits_and_its_reply_completes_the_request():
    scheduler = new_scheduler(time_share=0.25, max_timeout_us=500 * MS)
    assert sent_check(scheduler.request_arrived(0, 1, "k1", 800 * MS)).timeout_us == 200 * MS
    assert sent_check(scheduler.request_arrived(0, 2, "k2", 10 * S)).timeout_us == 500 * MS
    assert sent_check(scheduler.request_arrived(0, 3, "k3", 1)).timeout_us == 5 * MS
    assert completed(scheduler.reply_received(9, 1, ALLOW)) == [(1, ReplyKind.ALLOW, "asked")]
    assert scheduler.reply_received(10, 1, DENY) == []
    assert scheduler.counts["late reply"] == 1


def test_requests_with_equal_keys_share_one_check_and_its_reply():
    scheduler = new_scheduler()
    first = sent_check(scheduler.request_arrived(0, 1, "k", S))
    assert scheduler.request_arrived(1, 2, "k", S) == []
    assert completed(scheduler.reply_received(9, first.check_id, DENY)) == [
        (1, ReplyKind.DENY, "asked"),
        (2, ReplyKind.DENY, "joined"),
    ]


def test_a_request_with_less_time_than_the_check_in_flight_sends_its_own():
    scheduler = new_scheduler()
    scheduler.request_arrived(0, 1, "k", 2 * S)
    assert sent_check(scheduler.request_arrived(1, 2, "k", 100 * MS)).timeout_us == 25 * MS


def test_replies_are_cached_for_their_stated_lifetime_up_to_the_limit():
    scheduler = new_scheduler(max_cache_lifetime_us=10 * S)
    for number, lifetime_us, expires_at in ((1, 3 * S, 3 * S), (2, 99 * S, 10 * S), (3, 0, 0)):
        check_id = sent_check(scheduler.request_arrived(0, number, f"k{number}", S)).check_id
        scheduler.reply_received(0, check_id, CheckReply(ReplyKind.DENY, lifetime_us=lifetime_us))
        if expires_at:
            assert completed(
                scheduler.request_arrived(expires_at - 1, 10 + number, f"k{number}", S)
            ) == [(10 + number, ReplyKind.DENY, "cached")]
        assert completed(scheduler.request_arrived(expires_at, 20 + number, f"k{number}", S)) == []
        scheduler.request_ended(20 + number)


def test_the_retry_after_time_of_a_cached_reply_counts_from_its_arrival():
    scheduler = new_scheduler()
    check_id = sent_check(scheduler.request_arrived(0, 1, "k", S)).check_id
    scheduler.reply_received(
        0, check_id, CheckReply(ReplyKind.RETRY_LATER, retry_after_us=5 * S, lifetime_us=9 * S)
    )
    (effect,) = scheduler.request_arrived(2 * S, 2, "k", S)
    assert effect.reply.retry_after_us == 3 * S
    (effect,) = scheduler.request_arrived(6 * S, 3, "k", S)
    assert effect.reply.retry_after_us == 0


def test_the_cache_is_bounded_and_evicts_the_least_recently_used_reply():
    scheduler = new_scheduler(max_cache_entries=2)
    for number in range(3):
        scheduler.reply_received(
            0,
            sent_check(scheduler.request_arrived(0, number, number, S)).check_id,
            CheckReply(ReplyKind.ALLOW, lifetime_us=S),
        )
        scheduler.request_arrived(0, 100 + number, 0, S)
    assert set(scheduler.cache) == {0, 2}


def test_failed_checks_are_not_cached():
    scheduler = new_scheduler()
    scheduler.check_failed(
        0, sent_check(scheduler.request_arrived(0, 1, "k", S)).check_id, "deadline"
    )
    assert not scheduler.cache


def test_requests_beyond_the_limit_or_with_all_breakers_open_are_completed_at_once():
    scheduler = new_scheduler(max_in_flight=2)
    scheduler.request_arrived(0, 1, "a", S), scheduler.request_arrived(0, 2, "b", S)
    assert completed(scheduler.request_arrived(0, 3, "c", S)) == [
        (3, ReplyKind.UNAVAILABLE, "full")
    ]
    for check_id in (1, 2):
        scheduler.check_failed(0, check_id, "x")
    for number in range(3):
        scheduler.check_failed(
            0, sent_check(scheduler.request_arrived(0, 10 + number, f"n{number}", S)).check_id, "x"
        )
    assert completed(scheduler.request_arrived(0, 4, "d", S)) == [
        (4, ReplyKind.UNAVAILABLE, "open")
    ]


def test_the_end_of_the_last_request_of_a_check_cancels_the_check():
    scheduler = new_scheduler()
    check_id = sent_check(scheduler.request_arrived(0, 1, "k", S)).check_id
    scheduler.request_arrived(0, 2, "k", S)
    assert scheduler.request_ended(1) == []
    assert scheduler.request_ended(2) == [CancelCheck(check_id)]
    assert scheduler.endpoints[0].in_flight == 0
    assert scheduler.reply_received(1, check_id, ALLOW) == []
    assert (
        not scheduler.checks_in_flight
        and not scheduler.check_ids_by_request
        and not scheduler.check_ids_by_key
    )


def test_a_hedge_goes_to_another_endpoint_and_the_first_reply_counts():
    scheduler = new_scheduler(addresses=["a", "b"], hedge_after_us=10 * MS)
    effects = scheduler.request_arrived(0, 1, "k", S)
    first = sent_check(effects)
    assert ScheduleHedge(first.check_id, 10 * MS) in effects
    second = sent_check(scheduler.send_hedge(10 * MS, first.check_id))
    assert second.endpoint_index != first.endpoint_index
    assert scheduler.send_hedge(11 * MS, first.check_id) == []
    effects = scheduler.reply_received(20 * MS, second.check_id, DENY)
    assert CancelCheck(first.check_id) in effects
    assert completed(effects) == [(1, ReplyKind.DENY, "asked")]
    assert scheduler.reply_received(21 * MS, first.check_id, ALLOW) == []
    assert [e.in_flight for e in scheduler.endpoints] == [0, 0]


def test_a_hedged_check_fails_only_when_both_checks_have_failed():
    scheduler = new_scheduler(addresses=["a", "b"], hedge_after_us=10 * MS)
    first = sent_check(scheduler.request_arrived(0, 1, "k", S))
    second = sent_check(scheduler.send_hedge(10 * MS, first.check_id))
    assert scheduler.check_failed(20 * MS, first.check_id, "reset") == []
    assert completed(scheduler.check_failed(21 * MS, second.check_id, "reset")) == [
        (1, ReplyKind.UNAVAILABLE, "asked")
    ]


def test_the_end_of_a_request_cancels_both_of_its_hedged_checks():
    scheduler = new_scheduler(addresses=["a", "b"], hedge_after_us=10 * MS)
    first = sent_check(scheduler.request_arrived(0, 1, "k", S))
    second = sent_check(scheduler.send_hedge(10 * MS, first.check_id))
    assert set(scheduler.request_ended(1)) == {
        CancelCheck(first.check_id),
        CancelCheck(second.check_id),
    }
    assert not scheduler.checks_in_flight


def test_cancel_all_completes_every_request_once_and_cancels_every_check():
    scheduler = new_scheduler(addresses=["a", "b"], hedge_after_us=10 * MS)
    first = sent_check(scheduler.request_arrived(0, 1, "k", S))
    scheduler.send_hedge(10 * MS, first.check_id)
    scheduler.request_arrived(0, 2, "j", S)
    effects = scheduler.cancel_all()
    assert sorted(completed(effects)) == sorted(
        [(1, ReplyKind.UNAVAILABLE, "asked"), (2, ReplyKind.UNAVAILABLE, "asked")], key=str
    )
    assert not scheduler.checks_in_flight and not scheduler.check_ids_by_request


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
def test_every_request_is_completed_exactly_once_or_ends_and_no_state_is_left(events, coalesce):
    """In any order of events, checks in flight stay within the limit and each request gets one reply."""
    scheduler = new_scheduler(
        addresses=["a", "b"], hedge_after_us=10 * MS, max_in_flight=5, coalesce=coalesce
    )
    now, number, waiting, sent_ids, completed_requests = 0, 0, set(), [], []

    def carry_out(effects) -> None:
        for effect in effects:
            if isinstance(effect, CompleteRequest):
                assert effect.request in waiting
                waiting.discard(effect.request)
                completed_requests.append(effect.request)
            elif isinstance(effect, SendCheck):
                sent_ids.append(effect.check_id)
            elif isinstance(effect, CancelCheck):
                sent_ids.remove(effect.check_id)

    for kind, index, gap in events:
        now += gap
        if kind == "enter":
            number += 1
            waiting.add(number)
            carry_out(scheduler.request_arrived(now, number, index, S))
        elif kind == "leave" and waiting:
            ended = sorted(waiting)[index % len(waiting)]
            waiting.discard(ended)
            carry_out(scheduler.request_ended(ended))
        elif sent_ids:
            check_id = sent_ids[index % len(sent_ids)]
            if kind == "hedge":
                carry_out(scheduler.send_hedge(now, check_id))
            else:
                sent_ids.remove(check_id)
                reply = CheckReply(ReplyKind.ALLOW, lifetime_us=index * 50 * MS)
                carry_out(
                    scheduler.reply_received(now, check_id, reply)
                    if kind == "answer"
                    else scheduler.check_failed(now, check_id, "x")
                )
        assert len(scheduler.checks_in_flight) == len(sent_ids) <= 5
    while sent_ids:
        carry_out(scheduler.check_failed(now, sent_ids.pop(0), "end"))
    assert not waiting
    assert len(completed_requests) == len(set(completed_requests))
    assert (
        not scheduler.checks_in_flight
        and not scheduler.check_ids_by_request
        and not scheduler.check_ids_by_key
    )
    assert [e.in_flight for e in scheduler.endpoints] == [0, 0]
