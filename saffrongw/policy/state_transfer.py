"""What one process of a gateway tells its successor, as plain rows: counts, exclusions, marks of hosts.

Pure. A row is a list that JSON holds: its kind, then its values; server ids are text. Both processes read
one clock and are one gateway to all others (the same rank, the same starts of counts), so that the successor
goes on with the counts and grants nobody a fresh allowance. Only one of the two decides first sends at a
time: after ``export`` the old one refuses what it has not sent (``Gateway.handed_over``).
"""

from __future__ import annotations

from collections.abc import Iterator

from .events import (
    EndpointEntry,
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    ExclusionChanged,
)
from .exclusions import RestoredSpan
from .health_score import HealthScore
from .rules import Gateway
from .state import Account

Row = list


class OddRow(ValueError):
    """A row that no process of this version writes."""


def text_of(endpoint_id: EndpointId) -> str:
    """A server's id as JSON holds it, whatever its bytes."""
    return endpoint_id.decode("latin-1")


def server_of(text: str) -> EndpointId:
    """The id again; ``UnicodeError`` where it is none."""
    return text.encode("latin-1")


def export(gateway: Gateway) -> Iterator[Row]:
    """All rows. From the first on nothing new may be begun by this gateway."""
    gateway.handed_over = True
    yield [
        "learnt",
        gateway.latency.typical_us,
        gateway.latency.sample_counts,
        gateway.retry_policy.budget,
        gateway.unheard,
        gateway.started,
    ]
    yield ["heard", [[node_index, at] for node_index, at in gateway.heard.items()]]
    yield ["met", *_marks(gateway.outlier_detection.fleet_score)]
    for zone, known in gateway.outlier_detection.zone_scores.items():
        yield ["zone", zone, *_marks(known)]
    yield from exclusions(gateway)
    for endpoint_id, host in gateway.endpoints.by_id.items():
        if host.updated_at_us:
            yield ["host", text_of(endpoint_id), *_marks(host), host.typical_load]
    for account in gateway.accounts.values():
        yield [
            "account",
            account.customer,
            list(account.key),
            account.limit,
            account.risen,
            [[node_index, start, value] for node_index, (start, value) in account.counts.items()],
            account.spent,
            account.total,
            list(account.news),
            account.fresh,
            account.out,
            list(account.others),
            account.ceiling,
            account.used,
            account.closed,
            account.customer in gateway.changed,
        ]


def exclusions(gateway: Gateway) -> Iterator[Row]:
    """What is out by hand, and what was put back lately."""
    for endpoint_id, sources in gateway.exclusions.sources.items():
        yield ["excluded", text_of(endpoint_id), sources]
    for endpoint_id, (since, until) in gateway.exclusions.restored.items():
        yield ["returned", text_of(endpoint_id), since, until]


def _marks(known: HealthScore) -> tuple[int, float, float]:
    return known.updated_at_us, known.latency_score, known.failure_score


def adopt(gateway: Gateway, now: int, row: Row) -> None:
    """Take over one row; ``OddRow`` where it makes no sense. Nothing that is known better is overwritten."""
    try:
        method = _ADOPT[row[0]]
        method(gateway, now, *row[1:])
    except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as wrong:
        raise OddRow(f"{str(row)[:80]}: {wrong!r}") from None


def _learnt(
    gateway: Gateway,
    now: int,
    usual: list,
    learnt: list,
    budget: float,
    unheard: float,
    started: int,
) -> None:
    if len(usual) == len(learnt) == len(gateway.latency.typical_us):
        gateway.latency.typical_us = [float(span) for span in usual]
        gateway.latency.sample_counts = [int(times) for times in learnt]
    gateway.retry_policy.budget, gateway.unheard = float(budget), float(unheard)
    gateway.started = min(gateway.started, int(started))


def _heard(gateway: Gateway, now: int, heard: list) -> None:
    for node_index, at in heard:
        gateway.heard[int(node_index)] = max(int(at), gateway.heard.get(node_index, 0))


def _known(known: HealthScore, seen: int, slow: float, fails: float) -> None:
    if seen >= known.updated_at_us or (known.latency_score, known.failure_score) == (
        1.0,
        0.0,
    ):  # listed lately, and not met
        known.updated_at_us, known.latency_score, known.failure_score = (
            int(seen),
            float(slow),
            float(fails),
        )


def _met(gateway: Gateway, now: int, *marks) -> None:
    _known(gateway.outlier_detection.fleet_score, *marks)


def _zone(gateway: Gateway, now: int, zone: int, *marks) -> None:
    _known(gateway.outlier_detection.zone_scores.setdefault(int(zone), HealthScore(0)), *marks)


def _excluded(gateway: Gateway, now: int, endpoint_id: str, sources: dict) -> None:
    for source, since in sources.items():
        gateway.handle(now, ExclusionChanged(server_of(endpoint_id), str(source), True, int(since)))


def _returned(gateway: Gateway, now: int, endpoint_id: str, since: int, until: int) -> None:
    """It is taken to have started when it was put back, as the old process takes it."""
    name = server_of(endpoint_id)
    if name in gateway.exclusions.sources:
        return
    gateway.exclusions.restored[name] = RestoredSpan(int(since), int(until))
    host = gateway.endpoints.by_id.get(name)
    if host and host.entry.started_at_us < since:
        entry = host.entry
        gone = EndpointEntry(
            name, EndpointState.REMOVED, entry.zone, entry.cell, entry.started_at_us, entry.size
        )
        for line in (
            gone,
            entry,
        ):  # listed anew, it gets its launch and its pool by the ordinary way
            gateway.handle(now, EndpointListReceived(EndpointListKind.DELTA, 0, (line,)))


def _host(
    gateway: Gateway,
    now: int,
    endpoint_id: str,
    seen: int,
    slow: float,
    fails: float,
    typical: float,
) -> None:
    if host := gateway.endpoints.by_id.get(server_of(endpoint_id)):
        _known(host, seen, slow, fails)
        host.typical_load = float(typical)


def _account(
    gateway: Gateway,
    now: int,
    customer: int,
    key: list,
    limit: float,
    risen: int,
    counts: list,
    spent: float,
    total: float,
    news: list,
    fresh: bool,
    out: int,
    others: list,
    ceiling: float,
    used: int,
    closed: bool,
    changed: bool,
) -> None:
    plan, first, size = (int(part) for part in key)
    if customer in gateway.accounts or not 0 <= plan < len(gateway.s.plans):
        return
    if not 0 <= first < gateway.s.node_count or not 1 <= size <= gateway.s.node_count:
        raise ValueError("the set is out of range")
    account = Account(int(customer), (plan, first, size), float(limit), int(risen), used=int(used))
    account.counts = {
        int(node_index): (int(start), float(value)) for node_index, start, value in counts
    }
    account.spent, account.total, account.ceiling = float(spent), float(total), float(ceiling)
    account.news, account.fresh, account.closed = (
        tuple(int(node_index) for node_index in news),
        bool(fresh),
        bool(closed),
    )
    # What is out at the old process is taken to be out for as long as usual, like what others approved.
    account.others = (*(int(at) for at in others), *[now] * int(out))[
        -max(1, gateway.s.plans[plan].concurrency_limit) :
    ]
    gateway.accounts[account.customer] = account
    gateway.idle_queue.append(account.customer)
    if changed:
        gateway.changed[account.customer] = None


_ADOPT = {
    "learnt": _learnt,
    "heard": _heard,
    "met": _met,
    "zone": _zone,
    "excluded": _excluded,
    "returned": _returned,
    "host": _host,
    "account": _account,
}
