"""The state that a gateway process transfers to its successor in a hot restart, as JSON rows.

A row is a list of its kind and its values; endpoint identifiers are text. The kinds and the order
of values must not change, because two versions exchange them during an upgrade.

Both processes read the same clock and are one gateway to all others, with the same node index and
the same starts of counters: the successor continues the counters, and no customer gets its quota
twice. Only one of them admits requests at a time: after ``export`` the old process rejects all
requests that it has not sent.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from .customer_quota import CounterEntry, CustomerQuota
from .endpoints import Endpoint
from .events import (
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    ExclusionChanged,
)
from .exclusions import RestoredSpan
from .gateway import Gateway
from .health_score import HealthScore

Row = list[Any]


class MalformedRowError(ValueError):
    """A row is of an unknown kind, or its values do not fit its kind."""


class QuotaRow(NamedTuple):
    """The values of an ``account`` row in their order; most are fields of ``CustomerQuota``."""

    customer: int
    # Plan, first gateway and size of the replica set.
    plan_and_set: list[int]
    limit: float
    refilled_at_us: int
    # Node index, start in ticks and units of each counter.
    counters: list[list[Any]]
    counted_units: float
    spent_units: float
    recent_nodes: list[int]
    is_unconfirmed: bool
    in_flight: int
    remote_admissions_us: list[int]
    ceiling_units: float
    last_admitted_us: int
    is_exhausted: bool
    # Whether the counters changed since they were last gossiped.
    changed: bool


def endpoint_id_to_text(endpoint_id: EndpointId) -> str:
    """Return an endpoint identifier, which may be any bytes, as text for JSON."""
    return endpoint_id.decode("latin-1")


def endpoint_id_from_text(text: str) -> EndpointId:
    """Return the identifier from its text; raise ``UnicodeError`` if the text is not valid."""
    return text.encode("latin-1")


def export(gateway: Gateway) -> Iterator[Row]:
    """Yield all rows; from the first row on, this gateway admits no more requests."""
    gateway.handed_over = True
    counters = gateway.quota_counters
    reachability = gateway.reachability
    yield [
        "learnt",
        gateway.latency.typical_us,
        gateway.latency.sample_counts,
        gateway.retry_policy.budget,
        reachability.unreachable_fraction,
        counters.started_at_us,
    ]
    yield ["heard", [[node, at_us] for node, at_us in reachability.last_received_us.items()]]
    yield ["met", *_score_values(gateway.outlier_detection.fleet_score)]
    for zone, score in gateway.outlier_detection.zone_scores.items():
        yield ["zone", zone, *_score_values(score)]
    yield from exclusions(gateway)
    for endpoint_id, endpoint in gateway.endpoints.by_id.items():
        if endpoint.updated_at_us:
            text = endpoint_id_to_text(endpoint_id)
            yield ["host", text, *_score_values(endpoint), endpoint.typical_load]
    for quota in counters.customers.values():
        yield ["account", *_quota_row(quota, quota.customer in counters.changed)]


def exclusions(gateway: Gateway) -> Iterator[Row]:
    """Yield the administrative exclusions and the recently restored endpoints."""
    for endpoint_id, sources in gateway.exclusions.sources.items():
        yield ["excluded", endpoint_id_to_text(endpoint_id), sources]
    for endpoint_id, span in gateway.exclusions.restored.items():
        yield ["returned", endpoint_id_to_text(endpoint_id), *span]


def _score_values(score: HealthScore) -> tuple[int, float, float]:
    return score.updated_at_us, score.latency_score, score.failure_score


def _quota_row(quota: CustomerQuota, changed: bool) -> QuotaRow:
    return QuotaRow(
        quota.customer,
        [quota.plan, quota.set_first, quota.set_size],
        quota.limit,
        quota.refilled_at_us,
        [[node, entry.start_tick, entry.units] for node, entry in quota.counters.items()],
        quota.counted_units,
        quota.spent_units,
        list(quota.recent_nodes),
        quota.is_unconfirmed,
        quota.in_flight,
        list(quota.remote_admissions_us),
        quota.ceiling_units,
        quota.last_admitted_us,
        quota.is_exhausted,
        changed,
    )


def adopt(gateway: Gateway, now_us: int, row: Row) -> None:
    """Take over one row; raise ``MalformedRowError`` if it is malformed.

    Customers that this gateway already knows, and its newer scores, are not overwritten.
    """
    try:
        _ADOPTERS[row[0]](gateway, now_us, *row[1:])
    except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise MalformedRowError(f"{str(row)[:80]}: {error!r}") from None


def _adopt_learned(
    gateway: Gateway,
    _now_us: int,
    typical_us: list[float],
    sample_counts: list[int],
    retry_budget: float,
    unreachable_fraction: float,
    started_at_us: int,
) -> None:
    latency = gateway.latency
    if len(typical_us) == len(sample_counts) == len(latency.typical_us):
        latency.typical_us = [float(duration_us) for duration_us in typical_us]
        latency.sample_counts = [int(count) for count in sample_counts]
    gateway.retry_policy.budget = float(retry_budget)
    gateway.reachability.unreachable_fraction = float(unreachable_fraction)
    counters = gateway.quota_counters
    counters.started_at_us = min(counters.started_at_us, int(started_at_us))


def _adopt_received(gateway: Gateway, _now_us: int, received: list[list[int]]) -> None:
    last_received_us = gateway.reachability.last_received_us
    for node, at_us in received:
        last_received_us[int(node)] = max(int(at_us), last_received_us.get(node, 0))


def _adopt_score(
    score: HealthScore, updated_at_us: float, latency_score: float, failure_score: float
) -> None:
    # A score at its initial values contains no outcomes, so that any other one may replace it.
    is_unused = (score.latency_score, score.failure_score) == (1.0, 0.0)
    if updated_at_us >= score.updated_at_us or is_unused:
        score.updated_at_us = int(updated_at_us)
        score.latency_score = float(latency_score)
        score.failure_score = float(failure_score)


def _adopt_fleet_score(gateway: Gateway, _now_us: int, *values: float) -> None:
    _adopt_score(gateway.outlier_detection.fleet_score, *values)


def _adopt_zone_score(gateway: Gateway, _now_us: int, zone: int, *values: float) -> None:
    zone_scores = gateway.outlier_detection.zone_scores
    _adopt_score(zone_scores.setdefault(int(zone), HealthScore(0)), *values)


def _adopt_exclusion(gateway: Gateway, now_us: int, text: str, sources: dict[str, int]) -> None:
    """Exclude an endpoint, unless this process was told to readmit it since that row was made."""
    endpoint_id = endpoint_id_from_text(text)
    restored = gateway.exclusions.restored.get(endpoint_id)
    for source, since_us in sources.items():
        if restored is None or int(since_us) > restored.restored_at_us:
            gateway.handle(now_us, ExclusionChanged(endpoint_id, str(source), True, int(since_us)))


def _adopt_restored(
    gateway: Gateway, now_us: int, text: str, excluded_at_us: int, restored_at_us: int
) -> None:
    """Count a restored endpoint as started when it was restored, as the old process does."""
    endpoint_id = endpoint_id_from_text(text)
    if endpoint_id in gateway.exclusions.sources:
        return
    gateway.exclusions.restored[endpoint_id] = RestoredSpan(
        int(excluded_at_us), int(restored_at_us)
    )
    endpoint = gateway.endpoints.by_id.get(endpoint_id)
    if endpoint and endpoint.entry.started_at_us < excluded_at_us:
        _relist(gateway, now_us, endpoint)


def _relist(gateway: Gateway, now_us: int, endpoint: Endpoint) -> None:
    # Removing and listing it again applies the assumed start, and puts it into the right pool.
    entry = endpoint.entry
    removed = dataclasses.replace(entry, state=EndpointState.REMOVED)
    for line in (removed, entry):
        gateway.handle(now_us, EndpointListReceived(EndpointListKind.DELTA, 0, (line,)))


def _adopt_endpoint(
    gateway: Gateway,
    _now_us: int,
    text: str,
    updated_at_us: int,
    latency_score: float,
    failure_score: float,
    typical_load: float,
) -> None:
    if endpoint := gateway.endpoints.by_id.get(endpoint_id_from_text(text)):
        _adopt_score(endpoint, updated_at_us, latency_score, failure_score)
        endpoint.typical_load = float(typical_load)


def _adopt_quota(gateway: Gateway, now_us: int, *values: object) -> None:
    row = QuotaRow._make(values)
    settings, counters = gateway.settings, gateway.quota_counters
    plan, set_first, set_size = (int(number) for number in row.plan_and_set)
    if row.customer in counters.customers or not 0 <= plan < len(settings.plans):
        return
    if not 0 <= set_first < settings.node_count or not 1 <= set_size <= settings.node_count:
        raise ValueError(f"the replica set {set_first}, {set_size} is out of range")
    quota = _quota_from_row(row, plan, set_first, set_size)
    # Attempts in flight at the old process count as in flight for the typical latency, as the
    # admissions of other gateways do.
    admissions = (*(int(at) for at in row.remote_admissions_us), *[now_us] * int(row.in_flight))
    quota.remote_admissions_us = admissions[-max(1, settings.plans[plan].concurrency_limit) :]
    counters.customers[quota.customer] = quota
    counters.idle_queue.append(quota.customer)
    if row.changed:
        counters.changed[quota.customer] = None


def _quota_from_row(row: QuotaRow, plan: int, set_first: int, set_size: int) -> CustomerQuota:
    return CustomerQuota(
        int(row.customer),
        plan,
        set_first,
        set_size,
        float(row.limit),
        int(row.refilled_at_us),
        counters={
            int(node): CounterEntry(int(start_tick), float(units))
            for node, start_tick, units in row.counters
        },
        counted_units=float(row.counted_units),
        spent_units=float(row.spent_units),
        recent_nodes=tuple(int(node) for node in row.recent_nodes),
        is_unconfirmed=bool(row.is_unconfirmed),
        ceiling_units=float(row.ceiling_units),
        last_admitted_us=int(row.last_admitted_us),
        is_exhausted=bool(row.is_exhausted),
    )


_ADOPTERS: dict[str, Callable[..., None]] = {
    "learnt": _adopt_learned,
    "heard": _adopt_received,
    "met": _adopt_fleet_score,
    "zone": _adopt_zone_score,
    "excluded": _adopt_exclusion,
    "returned": _adopt_restored,
    "host": _adopt_endpoint,
    "account": _adopt_quota,
}
