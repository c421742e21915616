"""Administrative exclusions: no attempts, whatever discovery lists, and slow start at their end."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, entry, listed, of_type

from saffrongw.policy.actions import SendAttempt
from saffrongw.policy.events import (
    AttemptOutcome,
    EndpointListKind,
    EndpointState,
    ExclusionChanged,
)

REMOVED = EndpointState.REMOVED


def exclude(harness: GatewayHarness, number: int, excluded=True, source="operator") -> None:
    harness.handle(ExclusionChanged(entry(number).endpoint_id, source, excluded))


def endpoints_used(harness: GatewayHarness, requests: int, first=1, **more) -> list[bytes]:
    """Return the endpoints to which this many requests are sent; each is served immediately."""
    endpoints = []
    for number in range(first, first + requests):
        sends = of_type(harness.send_request(number, customer=number, **more), SendAttempt)
        endpoints += [send.endpoint_id for send in sends]
        for send in sends:
            harness.end_attempt(number, send.endpoint_id, AttemptOutcome.SERVED)
        harness.run(SECOND // 100)
    return endpoints


def test_nothing_goes_to_an_excluded_endpoint_until_it_is_restored(harness):
    exclude(harness, 0)
    assert set(endpoints_used(harness, 60)) == {entry(n).endpoint_id for n in (1, 2, 3)}
    exclude(harness, 0, excluded=False)
    assert entry(0).endpoint_id in endpoints_used(harness, 200, first=100)


def test_an_excluded_endpoint_stays_excluded_whatever_is_listed(harness):
    exclude(harness, 0)
    harness.handle(listed(entry(0, REMOVED), kind=EndpointListKind.DELTA))
    harness.handle(listed(entry(0), kind=EndpointListKind.DELTA))
    harness.handle(listed(*(entry(n) for n in range(4))))
    harness.handle(listed(entry(0, started_at_us=harness.now), kind=EndpointListKind.DELTA))
    assert entry(0).endpoint_id not in endpoints_used(harness, 60)


def test_a_warming_endpoint_stays_excluded_when_it_has_warmed_up(harness):
    harness.handle(listed(entry(0, started_at_us=harness.now), kind=EndpointListKind.DELTA))
    exclude(harness, 0)
    harness.run(harness.settings.slow_start_duration_us + SECOND)
    assert entry(0).endpoint_id not in endpoints_used(harness, 60)


def test_an_endpoint_that_is_not_listed_yet_is_excluded_when_it_comes(harness):
    exclude(harness, 9)
    harness.handle(listed(entry(9), kind=EndpointListKind.DELTA))
    assert entry(9).endpoint_id not in endpoints_used(harness, 60)


def test_each_source_ends_its_own_exclusion_once(harness):
    exclude(harness, 0)
    exclude(harness, 0)
    exclude(harness, 0, source="other")
    exclude(harness, 0, excluded=False)
    assert entry(0).endpoint_id not in endpoints_used(harness, 60)
    exclude(harness, 0, excluded=False, source="other")
    assert harness.gateway.exclusions.sources == {}
    assert entry(0).endpoint_id in endpoints_used(harness, 20, first=100)


def test_ending_an_exclusion_that_was_not_made_changes_nothing(harness):
    known = harness.gateway.endpoints.by_id[entry(0).endpoint_id]
    exclude(harness, 0, excluded=False)
    assert harness.gateway.endpoints.by_id[entry(0).endpoint_id] is known


def test_a_restored_endpoint_warms_up_though_the_list_is_late(harness):
    """Rule 4, though a late endpoint list still names a start before the exclusion."""
    exclude(harness, 0)
    harness.run(5 * SECOND)
    exclude(harness, 0, excluded=False)
    harness.handle(listed(*(entry(n) for n in range(4))))
    endpoint = harness.gateway.endpoints.by_id[entry(0).endpoint_id]
    assert endpoint.entry.started_at_us == harness.now
    assert [
        endpoint.entry.endpoint_id for endpoint in harness.gateway.endpoints.warming.endpoints
    ] == [entry(0).endpoint_id]
    endpoints = endpoints_used(harness, 400)
    assert (
        1 <= endpoints.count(entry(0).endpoint_id) < 0.15 * len(endpoints)
    )  # an even share would be a quarter
    harness.run(harness.settings.slow_start_duration_us)
    assert harness.gateway.slow_start.is_warm(endpoint)


def test_a_start_that_the_list_names_replaces_the_assumed_one(harness):
    exclude(harness, 0)
    started_at_us = harness.now + 2 * SECOND
    harness.run(5 * SECOND)
    harness.handle(listed(entry(0, started_at_us=started_at_us), kind=EndpointListKind.DELTA))
    exclude(harness, 0, excluded=False)
    assert (
        harness.gateway.endpoints.by_id[entry(0).endpoint_id].entry.started_at_us == started_at_us
    )


def test_a_restored_endpoint_gets_one_request_at_once(harness):
    exclude(harness, 0)
    harness.run(SECOND)
    exclude(harness, 0, excluded=False)
    assert endpoints_used(harness, 1) == [entry(0).endpoint_id]
    assert harness.gateway.endpoints.untried == {}


def test_a_restored_endpoint_that_is_removed_delays_no_request(harness):
    exclude(harness, 0)
    exclude(harness, 0, excluded=False)
    harness.handle(listed(entry(0, REMOVED), kind=EndpointListKind.DELTA))
    assert len(endpoints_used(harness, 3)) == 3
    assert harness.gateway.endpoints.untried == {}


def test_a_retry_with_an_idempotency_key_does_not_go_to_an_excluded_endpoint():
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(0, cell=1), entry(1, cell=1), entry(2, cell=2)))
    (send,) = of_type(harness.send_request(1, kind=1), SendAttempt)
    first, other = (
        send.endpoint_id,
        entry(1).endpoint_id if send.endpoint_id == entry(0).endpoint_id else entry(0).endpoint_id,
    )
    if first == entry(2).endpoint_id:
        harness.handle(ExclusionChanged(first, "operator", True))
    else:
        harness.handle(ExclusionChanged(other, "operator", True))
        harness.handle(ExclusionChanged(first, "operator", True))
    actions = harness.end_attempt(1, first, AttemptOutcome.CONNECTION_LOST)
    assert not of_type(actions, SendAttempt)


def test_restored_endpoints_are_forgotten_after_the_slow_start(harness):
    for number in range(4):
        exclude(harness, number)
        exclude(harness, number, excluded=False)
    harness.run(harness.settings.slow_start_duration_us)
    exclude(harness, 1)
    assert harness.gateway.exclusions.restored == {}


def test_avoided_counts_excluded_draining_and_failing_endpoints(harness):
    gateway = harness.gateway
    assert gateway.avoided(harness.now) == 0
    exclude(harness, 0)
    harness.handle(listed(entry(1, EndpointState.DRAINING), kind=EndpointListKind.DELTA))
    (
        gateway.endpoints.by_id[entry(2).endpoint_id].failure_score,
        gateway.endpoints.by_id[entry(2).endpoint_id].updated_at_us,
    ) = (
        3.0,
        harness.now,
    )
    assert gateway.avoided(harness.now) == 3
    assert gateway.avoided(harness.now + 60 * SECOND) == 2
