"""The JSON form of the settings, mapped to the types of the policy.

The simulator's first message and ``LB_CONFIG`` carry the same text; its keys are named in this module alone.
"""

from __future__ import annotations

import json

from . import interface as api

EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
REPORTS = {"inline": api.Reports.INLINE, "on_probe": api.Reports.ON_PROBE, "off": api.Reports.NONE}


class SettingsError(Exception):
    """The settings are not JSON, lack a key or have a value of the wrong kind."""


def parse_settings(raw: bytes) -> api.Settings:
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


def _settings(s: dict) -> api.Settings:
    info, may, rules, charges, report = (
        s["familyInfo"],
        s["permissions"],
        s["rules"],
        s["charges"],
        s["loadReport"],
    )
    return api.Settings(
        rank=int(s["rank"]),
        gateways=int(s["balancers"]),
        zone=int(s["locality"]),
        classes=tuple(_request_class(c) for c in s["classes"]),
        plans=tuple(_plan(p) for p in s["packages"]),
        may_tell_peers=bool(may["peers"]),
        may_probe=bool(may["probes"]),
        may_cancel=bool(may["cancel"]),
        may_copy=bool(may["secondCopies"]),
        max_attempts=int(may["maxAttempts"]),
        max_retry_after=int(may["maxRetryAfter"]) if may["retryAfter"] else 0,
        peer_intake=float(info["peerIntake"]),
        peer_charge=float(charges["peer"]),
        probe_charge=float(charges["probe"]),
        waste_charge=float(charges["waste"]),
        cross_zone_charge=float(charges["crossZone"]),
        has_counter=bool(info["sharedCounter"]),
        asks_for_list=s["discovery"] == "on_request",
        ask_within=int(rules["askWithin"]),
        reports=REPORTS[report["how"]],
        report_names=tuple(report["names"]),
        cold_from=float(rules["coldFrom"]),
        warm_within=int(rules["warmWithin"]),
        fall_multiple=float(rules["fallMultiple"]),
        overload_for=int(rules["overloadFor"]),
        drain_grace=int(rules["drainGrace"]),
        connect_timeout=int(may.get("connectTimeout", 0)),
    )


def _request_class(c: dict) -> api.RequestClass:
    return api.RequestClass(
        aim=int(c["target"]),
        deadline=int(c["deadline"]),
        worth=float(c["credit"]),
        late_worth=float(c["lateWorth"]),
        effect=EFFECTS[c["effect"]],
        group=api.Group(c["group"]),
        window=int(c["dedupWindow"]),
    )


def _plan(p: dict) -> api.Plan:
    return api.Plan(
        rate=float(p["perSecond"]),
        burst=float(p["peakUnits"]),
        open=int(p["open"]),
        price=float(p["pays"]),
        beyond_earns=float(p["beyondEarns"]),
        beyond_costs=float(p["overrunCost"]),
        ceiling_rate=float(p["hardRate"]),
        ceiling_burst=float(p["capDepth"]),
        ceiling_slack=float(p["capSlack"]),
    )
