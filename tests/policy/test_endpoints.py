"""Endpoint lists: what is draining or removed gets nothing (rule 3)."""

from __future__ import annotations

import pytest
from conftest import SECOND, Bench, entry, listed, of
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
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(1), entry(2)))
    bench.feed(listed(entry(1, state=state), kind=EndpointListKind.DELTA))
    for request in range(1, 9):
        for send in of(bench.ask(request, customer=request), SendAttempt):
            assert send.endpoint_id == entry(2).endpoint_id
            for retry in of(
                bench.outcome(request, send.endpoint_id, AttemptOutcome.OVERLOADED), SendAttempt
            ):
                assert retry.endpoint_id == entry(2).endpoint_id


def test_a_complete_list_removes_what_it_lacks_for_waiting_requests_too():
    bench = Bench(endpoints=2)
    bench.feed(listed())
    assert not of(bench.ask(1), SendAttempt)
    assert not of(bench.run(2 * SECOND), SendAttempt)
    assert final_answers(bench, 1) == [RejectRequest(1, 0)]


def test_a_failed_list_call_changes_nothing(bench):
    bench.feed(EndpointListReceived(EndpointListKind.FAILED, 9, ()))
    assert of(bench.ask(1), SendAttempt)


def test_records_of_removed_endpoints_are_forgotten():
    """A long day replaces every endpoint many times, each in a cell of its own."""
    bench = Bench(endpoints=0)
    gateway = bench.gateway
    for number in range(200):
        bench.now += SECOND
        born = entry(number % 250, cell=number, started_at_us=bench.now)
        bench.feed(listed(born, kind=EndpointListKind.DELTA))
        bench.ask(number, customer=number)
        removed = entry(
            number % 250, state=EndpointState.REMOVED, cell=number, started_at_us=bench.now
        )
        bench.feed(listed(removed, kind=EndpointListKind.DELTA))
    remaining = (
        gateway.endpoints.by_id,
        gateway.endpoints.by_cell,
        gateway.endpoints.by_zone,
        gateway.endpoints.warming_queue,
        gateway.endpoints.warm.endpoints,
        gateway.endpoints.warming.endpoints,
    )
    assert [len(one) for one in remaining] == [0] * 6


def test_an_endpoint_that_a_complete_list_lacks_is_forgotten(bench):
    bench.feed(listed(entry(1)))
    assert list(bench.gateway.endpoints.by_id) == [entry(1).endpoint_id]


def test_a_start_in_the_future_counts_as_a_start_now(bench):
    bench.feed(
        listed(entry(9, started_at_us=bench.now + 1000 * SECOND), kind=EndpointListKind.DELTA)
    )
    bench.now += bench.settings.slow_start_duration_us
    bench.ask(1)
    assert not bench.gateway.endpoints.warming.endpoints
    assert not bench.gateway.endpoints.warming_queue


def test_an_attempt_at_a_removed_endpoint_still_ends(bench):
    bench.ask(1)
    sent = of(bench.log, SendAttempt)[-1]
    bench.feed(listed(kind=EndpointListKind.COMPLETE))
    bench.outcome(1, sent.endpoint_id, AttemptOutcome.SERVED)
    assert bench.gateway.lifecycle.attempts == bench.gateway.lifecycle.requests == {}
