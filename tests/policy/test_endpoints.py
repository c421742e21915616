"""Endpoint lists: draining and removed endpoints get no attempts (rule 3)."""

from __future__ import annotations

import pytest
from conftest import SECOND, GatewayHarness, entry, listed, of_type
from policy_rig import final_answers

from saffrongw.policy.actions import (
    RejectRequest,
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_no_attempt_goes_to_a_draining_or_removed_endpoint(state):
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1), entry(2)))
    harness.handle(listed(entry(1, state=state), kind=EndpointListKind.DELTA))
    for request in range(1, 9):
        for send in of_type(harness.send_request(request, customer=request), SendAttempt):
            assert send.endpoint_id == entry(2).endpoint_id
            for retry in of_type(
                harness.end_attempt(request, send.endpoint_id, AttemptOutcome.OVERLOADED),
                SendAttempt,
            ):
                assert retry.endpoint_id == entry(2).endpoint_id


def test_a_complete_list_removes_what_it_lacks_for_waiting_requests_too():
    harness = GatewayHarness(endpoints=2)
    harness.handle(listed())
    assert not of_type(harness.send_request(1), SendAttempt)
    assert not of_type(harness.run(2 * SECOND), SendAttempt)
    assert final_answers(harness, 1) == [RejectRequest(1, 0)]


def test_a_failed_list_call_changes_nothing(harness):
    harness.handle(EndpointListReceived(EndpointListKind.FAILED, 9, ()))
    assert of_type(harness.send_request(1), SendAttempt)


def test_records_of_removed_endpoints_are_forgotten():
    """Long runs replace every endpoint many times, each in a new cell: records must not accumulate."""
    harness = GatewayHarness(endpoints=0)
    gateway = harness.gateway
    for number in range(200):
        harness.now += SECOND
        started = entry(number % 250, cell=number, started_at_us=harness.now)
        harness.handle(listed(started, kind=EndpointListKind.DELTA))
        harness.send_request(number, customer=number)
        removed = entry(
            number % 250, state=EndpointState.REMOVED, cell=number, started_at_us=harness.now
        )
        harness.handle(listed(removed, kind=EndpointListKind.DELTA))
    remaining = (
        gateway.endpoints.by_id,
        gateway.endpoints.by_cell,
        gateway.endpoints.by_zone,
        gateway.endpoints.warming_queue,
        gateway.endpoints.warm.endpoints,
        gateway.endpoints.warming.endpoints,
    )
    assert [len(one) for one in remaining] == [0] * 6


def test_an_endpoint_that_a_complete_list_lacks_is_forgotten(harness):
    harness.handle(listed(entry(1)))
    assert list(harness.gateway.endpoints.by_id) == [entry(1).endpoint_id]


def test_a_start_in_the_future_counts_as_a_start_now(harness):
    harness.handle(
        listed(entry(9, started_at_us=harness.now + 1000 * SECOND), kind=EndpointListKind.DELTA)
    )
    harness.now += harness.settings.slow_start_duration_us
    harness.send_request(1)
    assert not harness.gateway.endpoints.warming.endpoints
    assert not harness.gateway.endpoints.warming_queue


def test_an_attempt_at_a_removed_endpoint_still_ends(harness):
    harness.send_request(1)
    sent = of_type(harness.log, SendAttempt)[-1]
    harness.handle(listed(kind=EndpointListKind.COMPLETE))
    harness.end_attempt(1, sent.endpoint_id, AttemptOutcome.SERVED)
    assert harness.gateway.lifecycle.attempts == harness.gateway.lifecycle.requests == {}
