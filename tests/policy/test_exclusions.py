"""Administrative exclusions: no attempts whatever is listed, and slow start when they end."""

from __future__ import annotations

from conftest import SECOND, Bench, entry, listed, of

from saffrongw.policy.actions import SendAttempt
from saffrongw.policy.events import (
    AttemptOutcome,
    EndpointListKind,
    EndpointState,
    ExclusionChanged,
)

REMOVED = EndpointState.REMOVED


def exclude(bench: Bench, number: int, excluded=True, source="operator") -> None:
    bench.feed(ExclusionChanged(entry(number).endpoint_id, source, excluded))


def endpoints_used(bench: Bench, requests: int, first=1, **more) -> list[bytes]:
    """Return where so many requests go; each is served at once."""
    endpoints = []
    for number in range(first, first + requests):
        sends = of(bench.ask(number, customer=number, **more), SendAttempt)
        endpoints += [send.endpoint_id for send in sends]
        for send in sends:
            bench.outcome(number, send.endpoint_id, AttemptOutcome.SERVED)
        bench.run(SECOND // 100)
    return endpoints


def test_nothing_goes_to_an_excluded_endpoint_until_it_is_restored(bench):
    exclude(bench, 0)
    assert set(endpoints_used(bench, 60)) == {entry(n).endpoint_id for n in (1, 2, 3)}
    exclude(bench, 0, excluded=False)
    assert entry(0).endpoint_id in endpoints_used(bench, 200, first=100)


def test_an_excluded_endpoint_stays_excluded_whatever_is_listed(bench):
    exclude(bench, 0)
    bench.feed(listed(entry(0, REMOVED), kind=EndpointListKind.DELTA))
    bench.feed(listed(entry(0), kind=EndpointListKind.DELTA))
    bench.feed(listed(*(entry(n) for n in range(4))))
    bench.feed(listed(entry(0, started_at_us=bench.now), kind=EndpointListKind.DELTA))
    assert entry(0).endpoint_id not in endpoints_used(bench, 60)


def test_a_warming_endpoint_stays_excluded_when_it_has_warmed_up(bench):
    bench.feed(listed(entry(0, started_at_us=bench.now), kind=EndpointListKind.DELTA))
    exclude(bench, 0)
    bench.run(bench.settings.slow_start_duration_us + SECOND)
    assert entry(0).endpoint_id not in endpoints_used(bench, 60)


def test_an_endpoint_that_is_not_listed_yet_is_excluded_when_it_comes(bench):
    exclude(bench, 9)
    bench.feed(listed(entry(9), kind=EndpointListKind.DELTA))
    assert entry(9).endpoint_id not in endpoints_used(bench, 60)


def test_each_source_ends_its_own_exclusion_once(bench):
    exclude(bench, 0)
    exclude(bench, 0)
    exclude(bench, 0, source="other")
    exclude(bench, 0, excluded=False)
    assert entry(0).endpoint_id not in endpoints_used(bench, 60)
    exclude(bench, 0, excluded=False, source="other")
    assert bench.gateway.exclusions.sources == {}
    assert entry(0).endpoint_id in endpoints_used(bench, 20, first=100)


def test_ending_an_exclusion_that_was_not_made_changes_nothing(bench):
    known = bench.gateway.endpoints.by_id[entry(0).endpoint_id]
    exclude(bench, 0, excluded=False)
    assert bench.gateway.endpoints.by_id[entry(0).endpoint_id] is known


def test_a_restored_endpoint_warms_up_though_the_list_is_late(bench):
    """Rule 4: a complete list with the start before the exclusion comes once more."""
    exclude(bench, 0)
    bench.run(5 * SECOND)
    exclude(bench, 0, excluded=False)
    bench.feed(listed(*(entry(n) for n in range(4))))
    host = bench.gateway.endpoints.by_id[entry(0).endpoint_id]
    assert host.entry.started_at_us == bench.now
    assert [h.entry.endpoint_id for h in bench.gateway.endpoints.warming.endpoints] == [
        entry(0).endpoint_id
    ]
    endpoints = endpoints_used(bench, 400)
    assert (
        1 <= endpoints.count(entry(0).endpoint_id) < 0.15 * len(endpoints)
    )  # a fair part would be a quarter
    bench.run(bench.settings.slow_start_duration_us)
    assert bench.gateway.slow_start.is_warm(host)


def test_a_start_that_the_list_names_replaces_the_assumed_one(bench):
    exclude(bench, 0)
    started_at_us = bench.now + 2 * SECOND
    bench.run(5 * SECOND)
    bench.feed(listed(entry(0, started_at_us=started_at_us), kind=EndpointListKind.DELTA))
    exclude(bench, 0, excluded=False)
    assert bench.gateway.endpoints.by_id[entry(0).endpoint_id].entry.started_at_us == started_at_us


def test_a_restored_endpoint_gets_one_request_at_once(bench):
    exclude(bench, 0)
    bench.run(SECOND)
    exclude(bench, 0, excluded=False)
    assert endpoints_used(bench, 1) == [entry(0).endpoint_id]
    assert bench.gateway.endpoints.unproven == {}


def test_a_restored_endpoint_that_is_removed_is_not_waited_for(bench):
    exclude(bench, 0)
    exclude(bench, 0, excluded=False)
    bench.feed(listed(entry(0, REMOVED), kind=EndpointListKind.DELTA))
    assert len(endpoints_used(bench, 3)) == 3
    assert bench.gateway.endpoints.unproven == {}


def test_a_retry_with_an_idempotency_key_does_not_go_to_an_excluded_endpoint():
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(0, cell=1), entry(1, cell=1), entry(2, cell=2)))
    (send,) = of(bench.ask(1, kind=1), SendAttempt)
    first, other = (
        send.endpoint_id,
        entry(1).endpoint_id if send.endpoint_id == entry(0).endpoint_id else entry(0).endpoint_id,
    )
    if first == entry(2).endpoint_id:
        bench.feed(ExclusionChanged(first, "operator", True))
    else:
        bench.feed(ExclusionChanged(other, "operator", True))
        bench.feed(ExclusionChanged(first, "operator", True))
    actions = bench.outcome(1, first, AttemptOutcome.CONNECTION_LOST)
    assert not of(actions, SendAttempt)


def test_restored_endpoints_are_forgotten_after_the_slow_start(bench):
    for number in range(4):
        exclude(bench, number)
        exclude(bench, number, excluded=False)
    bench.run(bench.settings.slow_start_duration_us)
    exclude(bench, 1)
    assert bench.gateway.exclusions.restored == {}


def test_avoided_counts_excluded_draining_and_failing_endpoints(bench):
    gateway = bench.gateway
    assert gateway.avoided(bench.now) == 0
    exclude(bench, 0)
    bench.feed(listed(entry(1, EndpointState.DRAINING), kind=EndpointListKind.DELTA))
    (
        gateway.endpoints.by_id[entry(2).endpoint_id].failure_score,
        gateway.endpoints.by_id[entry(2).endpoint_id].updated_at_us,
    ) = (
        3.0,
        bench.now,
    )
    assert gateway.avoided(bench.now) == 3
    assert gateway.avoided(bench.now + 60 * SECOND) == 2
