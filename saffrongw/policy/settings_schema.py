"""The JSON form of the settings, mapped to the types of the policy.

The simulator's first message and ``LB_CONFIG`` carry the same text; its keys are named in this module alone.
"""

from __future__ import annotations

import json

from .settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    Plan,
    RequestClass,
    Settings,
)

EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
REPORTS = {
    "inline": LoadReportSource.INLINE,
    "on_probe": LoadReportSource.HEALTH_CHECK,
    "off": LoadReportSource.NONE,
}


class SettingsError(Exception):
    """The settings are not JSON, lack a key or have a value of the wrong kind."""


def parse_settings(raw: bytes) -> Settings:
    """The settings text as our own type; unknown keys are passed over, missing ones named."""
    try:
        s = json.loads(raw)
    except ValueError:
        raise SettingsError("settings are not JSON") from None
    try:
        return _settings(s)
    except KeyError as missing:
        raise SettingsError(f"settings lack the key {missing.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise SettingsError(f"settings have a value of the wrong kind: {wrong}") from None


def _settings(s: dict) -> Settings:
    info, may, rules, charges, report = (
        s["familyInfo"],
        s["permissions"],
        s["rules"],
        s["charges"],
        s["loadReport"],
    )
    return Settings(
        node_index=int(s["rank"]),
        node_count=int(s["balancers"]),
        zone=int(s["locality"]),
        classes=tuple(_request_class(c) for c in s["classes"]),
        plans=tuple(_plan(p) for p in s["packages"]),
        may_send_gossip=bool(may["peers"]),
        may_probe=bool(may["probes"]),
        may_cancel=bool(may["cancel"]),
        may_hedge=bool(may["secondCopies"]),
        max_attempts=int(may["maxAttempts"]),
        max_retry_after_us=int(may["maxRetryAfter"]) if may["retryAfter"] else 0,
        gossip_intake=float(info["peerIntake"]),
        gossip_cost=float(charges["peer"]),
        health_check_cost=float(charges["probe"]),
        wasted_attempt_cost=float(charges["waste"]),
        cross_zone_cost=float(charges["crossZone"]),
        has_shared_counter=bool(info["sharedCounter"]),
        polls_endpoint_list=s["discovery"] == "on_request",
        notification_deadline_us=int(rules["askWithin"]),
        load_report_source=REPORTS[report["how"]],
        load_report_fields=tuple(report["names"]),
        slow_start_weight=float(rules["coldFrom"]),
        slow_start_duration_us=int(rules["warmWithin"]),
        overload_multiple=float(rules["fallMultiple"]),
        overload_duration_us=int(rules["overloadFor"]),
        drain_grace_us=int(rules["drainGrace"]),
        connect_timeout_us=int(may.get("connectTimeout", 0)),
    )


def _request_class(c: dict) -> RequestClass:
    return RequestClass(
        latency_objective_us=int(c["target"]),
        deadline_us=int(c["deadline"]),
        priority_weight=float(c["credit"]),
        late_priority_weight=float(c["lateWorth"]),
        idempotency=EFFECTS[c["effect"]],
        deduplication_scope=DeduplicationScope(c["group"]),
        deduplication_window_us=int(c["dedupWindow"]),
    )


def _plan(p: dict) -> Plan:
    return Plan(
        rate=float(p["perSecond"]),
        burst=float(p["peakUnits"]),
        concurrency_limit=int(p["open"]),
        price=float(p["pays"]),
        over_quota_revenue=float(p["beyondEarns"]),
        over_quota_cost=float(p["overrunCost"]),
        ceiling_rate=float(p["hardRate"]),
        ceiling_burst=float(p["capDepth"]),
        ceiling_slack=float(p["capSlack"]),
    )
