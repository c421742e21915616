"""The request lifecycle: exactly one final answer in time, whatever happens (rule 1)."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, entry, listed, of_type
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

IDEMPOTENT_KIND, CELL_KIND, NON_IDEMPOTENT_KIND, ALL_KIND, ZONE_KIND = range(5)


def test_a_request_without_endpoints_waits_and_is_rejected_in_time():
    harness = GatewayHarness(endpoints=0)
    assert not of_type(harness.send_request(1, left=SECOND), (RejectRequest, FailRequest))
    harness.run(SECOND - 1)
    assert final_answers(harness, 1) == [RejectRequest(1, 0)]


def test_a_waiting_request_is_sent_when_an_endpoint_comes():
    harness = GatewayHarness(endpoints=0)
    harness.send_request(1)
    harness.run(100_000)
    harness.handle(listed(entry(1)))
    assert len(of_type(harness.run(100_000), SendAttempt)) == 1


def test_a_timeout_at_the_deadline_is_answered_at_once(harness):
    send = of_type(harness.send_request(1, kind=NON_IDEMPOTENT_KIND), SendAttempt)[0]
    harness.now += 2 * SECOND
    harness.end_attempt(1, send.endpoint_id, AttemptOutcome.TIMED_OUT, duration_us=2 * SECOND)
    assert final_answers(harness, 1) == [FailRequest(1)]
    harness.run(5 * SECOND)
    assert len(final_answers(harness, 1)) == 1


def test_nothing_follows_an_answer_or_a_disconnected_client(harness):
    send = of_type(harness.send_request(1), SendAttempt)[0]
    harness.end_attempt(1, send.endpoint_id, AttemptOutcome.SERVED)
    other = of_type(harness.send_request(2), SendAttempt)[0]
    harness.handle(ClientDisconnected(2))
    later = harness.end_attempt(2, other.endpoint_id, AttemptOutcome.ERROR)
    later += harness.run(3 * SECOND)
    assert not of_type(later, (SendAttempt, RejectRequest, FailRequest))


def test_events_of_unknown_requests_are_ignored(harness):
    assert harness.end_attempt(99, entry(1).endpoint_id, AttemptOutcome.SERVED) == []
    assert harness.handle(TimerFired(99)) == []
    assert harness.handle(ClientDisconnected(99)) == []


def test_an_attempt_is_cancelled_when_its_client_disconnects(harness):
    harness.send_request(1)
    assert of_type(harness.handle(ClientDisconnected(1)), CancelAttempt) == [CancelAttempt(1, 0)]


def test_attempts_stay_within_the_limit():
    harness = GatewayHarness(max_attempts=2)
    send = of_type(harness.send_request(1), SendAttempt)[0]
    send = of_type(
        harness.end_attempt(1, send.endpoint_id, AttemptOutcome.OVERLOADED), SendAttempt
    )[0]
    actions = harness.end_attempt(1, send.endpoint_id, AttemptOutcome.OVERLOADED, attempt=1)
    assert of_type(actions, (SendAttempt, RejectRequest)) == [RejectRequest(1, 0)]


def test_a_request_without_an_endpoint_ends_before_half_its_time_is_over():
    """A client that waited until its deadline would have no time to try another gateway."""
    harness = GatewayHarness(endpoints=0)
    harness.send_request(1, left=2 * SECOND)
    start, done = harness.now, []
    while not of_type(done, RejectRequest) and harness.now < start + 3 * SECOND:
        done = harness.run(10_000)
    assert harness.now - start < SECOND


def test_a_request_that_was_not_connected_ends_after_half_its_time(harness):
    harness.send_request(1, left=2 * SECOND)
    harness.now += SECOND
    sent = of_type(harness.log, SendAttempt)[-1]
    assert of_type(
        harness.end_attempt(1, sent.endpoint_id, AttemptOutcome.CONNECT_FAILED), RejectRequest
    )
