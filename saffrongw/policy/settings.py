"""The settings that the platform gives a gateway.

Durations are integers in microseconds, rates are in units per second. ``settings_schema.py`` parses
the settings from JSON.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Idempotency(enum.Enum):
    """Whether a request that may have run can be sent again.

    Always, only to endpoints that recognize its idempotency key, or never: it could take effect
    twice.
    """

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(enum.Enum):
    """Which endpoints together recognize the idempotency key of a repeated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReportSource(enum.Enum):
    """Where endpoints report their load: in their replies, to health checks, or not at all."""

    INLINE = "inline"
    HEALTH_CHECK = "on probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    ``late_priority_weight`` is the weight of a reply that misses the latency objective. Endpoints
    recognize an idempotency key for the length of the deduplication window.
    """

    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan of customers; a rate, concurrency limit or ceiling rate of 0 means unlimited."""

    rate: float
    burst: float
    concurrency_limit: int
    price: float
    over_quota_revenue: float
    over_quota_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that the platform gives a gateway at its start."""

    node_index: int
    node_count: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    may_send_gossip: bool
    may_probe: bool
    may_cancel: bool
    may_hedge: bool
    max_attempts: int
    max_retry_after_us: int
    gossip_intake: float
    gossip_cost: float
    health_check_cost: float
    wasted_attempt_cost: float
    cross_zone_cost: float
    has_shared_counter: bool
    polls_endpoint_list: bool
    notification_deadline_us: int
    load_report_source: LoadReportSource
    load_report_fields: tuple[str, ...]
    slow_start_weight: float
    slow_start_duration_us: int
    overload_multiple: float
    overload_duration_us: int
    drain_grace_us: int
    # How long an attempt may wait for its connection before it is sent.
    connect_timeout_us: int = 0
