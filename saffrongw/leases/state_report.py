"""The state of leases for /admin/leases, and their metrics for /admin/stats.

The keys and metric names are a public interface and must not follow renames in the code. They come
from this module, the counters' keys, and the values of ``CallOutcome`` and ``TaskPhase``.
"""

from __future__ import annotations

from typing import Any

from .acceptor import Acceptor
from .messages import Suspension
from .node import LeaseNode
from .node_driver import NodeDriver
from .spec import TaskSpec
from .timing import MILLISECOND_US, SECOND_US

JsonObject = dict[str, Any]

# Shown for the time since something that has not happened.
NEVER_MS = -1


def metrics_of(driver: NodeDriver) -> list[tuple[str, int]]:
    """Return counters since the start and current values, by their names in /admin/stats.

    Durations are in ms.
    """
    node, now = driver.node, driver.clock.now()
    rows = _node_metrics(driver, now)
    rows += _counter_metrics(driver)
    if node.acceptor:
        rows += _acceptor_metrics(driver, node.acceptor)
    return rows


def _node_metrics(driver: NodeDriver, now: int) -> list[tuple[str, int]]:
    node = driver.node
    held = node.proposer.held(now)
    since_us = node.since_majority_us(now)
    confirmed_before_us = [
        now - (claim.held_until_us - node.timing.holder_duration_us) for claim in held
    ]
    oldest_ms = max(confirmed_before_us, default=NEVER_MS * MILLISECOND_US) // MILLISECOND_US
    return [
        ("leases.held", len(held)),
        ("leases.oldest_confirmation_ms", oldest_ms),
        (
            "leases.since_majority_ms",
            since_us // MILLISECOND_US if since_us is not None else NEVER_MS,
        ),
        ("leases.our_clock_is_wrong", int(bool(node.proposer.stop_reason))),
        ("leases.voters_not_believed", len(node.clock_drift.wrong)),
        ("leases.set", node.voter_set.number),
        ("leases.set_seen", max(node.foreign_set_number, node.voter_set.number)),
        ("leases.set_is_sealed", int(node.transition.complete())),
        ("leases.holds", len(node.suspensions.all(driver.clock.wall(now)))),
    ]


def _counter_metrics(driver: NodeDriver) -> list[tuple[str, int]]:
    node, runner = driver.node, driver.runner
    proposer_counters = node.proposer.counters.items()
    return [
        *((f"leases.{name.replace(' ', '_')}", count) for name, count in proposer_counters),
        *((f"leases.{name}", count) for name, count in node.counters.items()),
        ("leases.malformed", driver.malformed_count),
        ("leases.queue_full", runner.queue_full_count),
        *((f"tasks.{name}", count) for name, count in driver.schedule.counters.items()),
        ("tasks.running", len(runner.running)),
        ("tasks.waiting", len(runner.queue)),
    ]


def _acceptor_metrics(driver: NodeDriver, acceptor: Acceptor) -> list[tuple[str, int]]:
    return [
        ("voter.silent_ms", driver.silent_for_us() // MILLISECOND_US),
        ("voter.standing", len(acceptor.candidates.by_name)),
        ("voter.turned_away", acceptor.candidates.rejected_count),
        *((f"voter.{name}", count) for name, count in acceptor.counters.items()),
    ]


def state_of(driver: NodeDriver, specs_by_lease: dict[str, list[TaskSpec]]) -> JsonObject:
    """Return this gateway's view of leases and tasks, the JSON object of /admin/leases."""
    node, now = driver.node, driver.clock.now()
    wall = driver.clock.wall(now)
    acceptor = node.acceptor
    since_us = node.since_majority_us(now)
    lease_rows = _lease_rows(node, specs_by_lease, now, wall)
    return {
        "gateway": node.name,
        "life": f"{node.gateway.incarnation:x}",
        "set": node.voter_set.number,
        "set_seen": max(node.foreign_set_number, node.voter_set.number),
        "sealed": node.transition.complete(),
        "voters": list(node.voter_set.voters),
        "is_voter": acceptor is not None,
        "silent_ms": driver.silent_for_us() // MILLISECOND_US,
        "since_majority_ms": since_us // MILLISECOND_US if since_us is not None else None,
        "standing": sorted(acceptor.candidates.by_name) if acceptor else [],
        "clock": node.proposer.stop_reason,
        "not_believed": sorted(node.clock_drift.wrong),
        "given_back": node.proposer.counters["given back"],
        "held": sorted(claim.lease for claim in node.proposer.held(now)),
        "leases": [lease_rows[lease] for lease in sorted(lease_rows)],
        "tasks": _task_rows(driver, specs_by_lease, wall),
        "holds": [
            {"lease": one.lease, **_suspension_row(one)}
            for one in node.suspensions.all(wall)
            if one.until_s * SECOND_US > wall
        ],
    }


def _suspension_row(suspension: Suspension) -> JsonObject:
    return {
        "until": suspension.until_s,
        "who": suspension.operator,
        "why": suspension.reason,
    }


def _lease_rows(
    node: LeaseNode, specs_by_lease: dict[str, list[TaskSpec]], now: int, wall: int
) -> dict[str, JsonObject]:
    """Return the leases that this gateway holds; on a voter, all leases."""
    rows: dict[str, JsonObject] = {}
    for grant in node.acceptor.rows(now) if node.acceptor else ():
        rows[grant.lease] = {
            "lease": grant.lease,
            "holder": grant.holder,
            "number": grant.fencing_token,
            "left_ms": grant.remaining_us // MILLISECOND_US,
        }
    for claim in node.proposer.held(now):
        rows[claim.lease] = {
            "lease": claim.lease,
            "holder": node.name,
            "number": claim.fencing_token,
            "left_ms": (claim.held_until_us - now) // MILLISECOND_US,
        }
    for lease, row in rows.items():
        row["tasks"] = [spec.name for spec in specs_by_lease.get(lease, [])]
        suspension = node.suspensions.active(lease, wall)
        row["hold"] = suspension and _suspension_row(suspension)
    return rows


def _task_rows(
    driver: NodeDriver, specs_by_lease: dict[str, list[TaskSpec]], wall: int
) -> list[JsonObject]:
    return [
        _task_row(driver, lease, spec, wall)
        for lease, specs in specs_by_lease.items()
        for spec in specs
    ]


def _task_row(driver: NodeDriver, lease: str, spec: TaskSpec, wall: int) -> JsonObject:
    task = driver.schedule.tasks.get(spec.name)
    last = task.last_progress if task else None
    ended = driver.runner.results.get(spec.name)
    return {
        "task": spec.name,
        "lease": lease,
        "ours": task is not None,
        "phase": task.phase.value if task else "",
        "turn_now": spec.turn_at(wall),
        "last_turn": last.turn if last else None,
        "last_number": last.fencing_token if last else None,
        "last_end": ended.result.outcome.value if ended else "",
        "detail": ended.result.detail if ended else "",
    }
