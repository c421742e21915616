"""The life of a request: one final answer in time, whatever happens (rule 1)."""

from __future__ import annotations

from conftest import SECOND, Bench, entry, listed, of
from policy_rig import final_answers

from saffrongw.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    TimerFired,
)

SAFE_KIND, CELL_KIND, UNSAFE_KIND, ALL_KIND, ZONE_KIND = range(5)


def test_a_request_without_endpoints_waits_and_is_rejected_in_time():
    bench = Bench(endpoints=0)
    assert not of(bench.ask(1, left=SECOND), (RejectRequest, FailRequest))
    bench.run(SECOND - 1)
    assert final_answers(bench, 1) == [RejectRequest(1, 0)]


def test_a_waiting_request_is_sent_when_an_endpoint_comes():
    bench = Bench(endpoints=0)
    bench.ask(1)
    bench.run(100_000)
    bench.feed(listed(entry(1)))
    assert len(of(bench.run(100_000), SendAttempt)) == 1


def test_a_timeout_at_the_deadline_is_answered_at_once(bench):
    send = of(bench.ask(1, kind=UNSAFE_KIND), SendAttempt)[0]
    bench.now += 2 * SECOND
    bench.outcome(1, send.endpoint_id, AttemptOutcome.TIMED_OUT, duration_us=2 * SECOND)
    assert final_answers(bench, 1) == [FailRequest(1)]
    bench.run(5 * SECOND)
    assert len(final_answers(bench, 1)) == 1


def test_nothing_follows_an_answer_or_a_disconnected_client(bench):
    send = of(bench.ask(1), SendAttempt)[0]
    bench.outcome(1, send.endpoint_id, AttemptOutcome.SERVED)
    other = of(bench.ask(2), SendAttempt)[0]
    bench.feed(ClientDisconnected(2))
    later = bench.outcome(2, other.endpoint_id, AttemptOutcome.ERROR)
    later += bench.run(3 * SECOND)
    assert not of(later, (SendAttempt, RejectRequest, FailRequest))


def test_events_of_unknown_requests_are_ignored(bench):
    assert bench.outcome(99, entry(1).endpoint_id, AttemptOutcome.SERVED) == []
    assert bench.feed(TimerFired(99)) == []
    assert bench.feed(ClientDisconnected(99)) == []


def test_an_attempt_is_cancelled_when_its_client_disconnects(bench):
    bench.ask(1)
    assert of(bench.feed(ClientDisconnected(1)), CancelAttempt) == [CancelAttempt(1, 0)]


def test_attempts_stay_within_the_limit():
    bench = Bench(max_attempts=2)
    send = of(bench.ask(1), SendAttempt)[0]
    send = of(bench.outcome(1, send.endpoint_id, AttemptOutcome.OVERLOADED), SendAttempt)[0]
    actions = bench.outcome(1, send.endpoint_id, AttemptOutcome.OVERLOADED, attempt=1)
    assert of(actions, (SendAttempt, RejectRequest)) == [RejectRequest(1, 0)]


def test_a_request_without_an_endpoint_ends_before_half_its_time_is_over():
    """A client that waits until the end has no time left to try another gateway."""
    bench = Bench(endpoints=0)
    bench.ask(1, left=2 * SECOND)
    start, done = bench.now, []
    while not of(done, RejectRequest) and bench.now < start + 3 * SECOND:
        done = bench.run(10_000)
    assert bench.now - start < SECOND


def test_a_request_that_was_not_connected_ends_after_half_its_time(bench):
    bench.ask(1, left=2 * SECOND)
    bench.now += SECOND
    sent = of(bench.log, SendAttempt)[-1]
    assert of(bench.outcome(1, sent.endpoint_id, AttemptOutcome.CONNECT_FAILED), RejectRequest)
