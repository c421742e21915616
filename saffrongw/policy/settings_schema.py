"""Parses the JSON form of the settings into the types of the policy.

The simulator's start record and the configuration file (``LB_CONFIG``) contain the same JSON; only
this module knows its keys.
"""

from __future__ import annotations

import json
from typing import Any

from .settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    Plan,
    RequestClass,
    Settings,
)

IDEMPOTENCY_BY_KEY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
LOAD_REPORT_SOURCE_BY_KEY = {
    "inline": LoadReportSource.INLINE,
    "on_probe": LoadReportSource.HEALTH_CHECK,
    "off": LoadReportSource.NONE,
}


class SettingsError(Exception):
    """The settings are not JSON, lack a key or have a value of the wrong type."""


def parse_settings(raw: bytes) -> Settings:
    """Parse the settings from JSON; unknown keys are ignored.

    Raises ``SettingsError``, which names the missing key or describes the value of the wrong type.
    """
    try:
        document = json.loads(raw)
    except ValueError:
        raise SettingsError("settings are not JSON") from None
    try:
        return _settings(document)
    except KeyError as missing:
        raise SettingsError(f"settings lack the key {missing.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings have a value of the wrong kind: {error}") from None


def _settings(document: dict[str, Any]) -> Settings:
    info = document["familyInfo"]
    permissions = document["permissions"]
    rules = document["rules"]
    charges = document["charges"]
    report = document["loadReport"]
    return Settings(
        node_index=int(document["rank"]),
        node_count=int(document["balancers"]),
        zone=int(document["locality"]),
        classes=tuple(_request_class(item) for item in document["classes"]),
        plans=tuple(_plan(item) for item in document["packages"]),
        may_send_gossip=bool(permissions["peers"]),
        may_probe=bool(permissions["probes"]),
        may_cancel=bool(permissions["cancel"]),
        may_hedge=bool(permissions["secondCopies"]),
        max_attempts=int(permissions["maxAttempts"]),
        max_retry_after_us=int(permissions["maxRetryAfter"]) if permissions["retryAfter"] else 0,
        gossip_intake=float(info["peerIntake"]),
        gossip_cost=float(charges["peer"]),
        health_check_cost=float(charges["probe"]),
        wasted_attempt_cost=float(charges["waste"]),
        cross_zone_cost=float(charges["crossZone"]),
        has_shared_counter=bool(info["sharedCounter"]),
        polls_endpoint_list=document["discovery"] == "on_request",
        notification_deadline_us=int(rules["askWithin"]),
        load_report_source=LOAD_REPORT_SOURCE_BY_KEY[report["how"]],
        load_report_fields=tuple(report["names"]),
        slow_start_weight=float(rules["coldFrom"]),
        slow_start_duration_us=int(rules["warmWithin"]),
        overload_multiple=float(rules["fallMultiple"]),
        overload_duration_us=int(rules["overloadFor"]),
        drain_grace_us=int(rules["drainGrace"]),
        connect_timeout_us=int(permissions.get("connectTimeout", 0)),
    )


def _request_class(item: dict[str, Any]) -> RequestClass:
    return RequestClass(
        latency_objective_us=int(item["target"]),
        deadline_us=int(item["deadline"]),
        priority_weight=float(item["credit"]),
        late_priority_weight=float(item["lateWorth"]),
        idempotency=IDEMPOTENCY_BY_KEY[item["effect"]],
        deduplication_scope=DeduplicationScope(item["group"]),
        deduplication_window_us=int(item["dedupWindow"]),
    )


def _plan(item: dict[str, Any]) -> Plan:
    return Plan(
        rate=float(item["perSecond"]),
        burst=float(item["peakUnits"]),
        concurrency_limit=int(item["open"]),
        price=float(item["pays"]),
        over_quota_revenue=float(item["beyondEarns"]),
        over_quota_cost=float(item["overrunCost"]),
        ceiling_rate=float(item["hardRate"]),
        ceiling_burst=float(item["capDepth"]),
        ceiling_slack=float(item["capSlack"]),
    )
