"""The events that a gateway's policy handles.

Times and durations are integers in microseconds of the caller's clock. Endpoint identifiers are
opaque, sortable bytes; requests and customers are integers. Events that every request causes are
named tuples, because they are the fastest to create.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar, NamedTuple

EndpointId = bytes


class AttemptOutcome(enum.Enum):
    """How an attempt, a health check or a call to the shared counter ended."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "not connected"
    CONNECTION_LOST = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"


class EndpointState(enum.Enum):
    """The state of an endpoint in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(enum.Enum):
    """How an endpoint list relates to the one before it."""

    DELTA = 0
    COMPLETE = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of an endpoint list; a ``started_at_us`` of 0 means long ago."""

    endpoint_id: EndpointId
    state: EndpointState
    zone: int
    cell: int
    started_at_us: int
    size: float


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """Discovery delivered an endpoint list, or the call for it failed."""

    topic: ClassVar[str] = "endpoint_list_received"

    kind: EndpointListKind
    version: int
    entries: tuple[EndpointEntry, ...]


class RequestArrived(NamedTuple):
    """A client sent a request.

    The replica set is the range of gateways that serve the customer; ``kind`` is the index of the
    request's class, ``plan`` that of the customer's plan.
    """

    @property
    def topic(self) -> str:
        """The event's name in log lines."""
        return "request_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    time_left_us: int
    replica_set_first: int
    replica_set_size: int
    is_retry: bool


@dataclass(frozen=True, slots=True)
class AdmissionCheckArrived:
    """Another proxy asks whether it may forward a request.

    The check is answered immediately, by quota, concurrency limit and rate ceiling alone.
    """

    topic: ClassVar[str] = "admission_check_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    replica_set_first: int
    replica_set_size: int


class AttemptEnded(NamedTuple):
    """An attempt ended; ``is_answered`` means that the request needs no further answer."""

    @property
    def topic(self) -> str:
        """The event's name in log lines."""
        return "attempt_ended"

    request: int
    attempt: int
    endpoint_id: EndpointId
    outcome: AttemptOutcome
    duration_us: int
    is_answered: bool
    use: int
    actual_units: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed reply has begun: the deadline no longer applies."""

    topic: ClassVar[str] = "stream_started"

    request: int
    attempt: int
    endpoint_id: EndpointId
    duration_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client disconnected: its request needs no answer."""

    topic: ClassVar[str] = "client_disconnected"

    request: int


class TimerFired(NamedTuple):
    """A timer that was set has expired."""

    @property
    def topic(self) -> str:
        """The event's name in log lines."""
        return "timer_fired"

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check of an endpoint ended."""

    topic: ClassVar[str] = "health_check_ended"

    endpoint_id: EndpointId
    outcome: AttemptOutcome
    duration_us: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip datagram arrived from another gateway; its bytes are untrusted."""

    topic: ClassVar[str] = "gossip_received"

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SharedCounterAnswered:
    """A call to the shared counter ended."""

    topic: ClassVar[str] = "shared_counter_answered"

    name: int
    outcome: AttemptOutcome
    value: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class ExclusionChanged:
    """A source (for example an operator's call) excludes an endpoint or ends its exclusion.

    An exclusion stays in force until the same source ends it, whatever discovery lists. A restored
    endpoint counts as started at the end of its exclusion, unless discovery names a start after
    ``since``, the time of the exclusion (in microseconds; 0: the time of the event).
    """

    topic: ClassVar[str] = "exclusion_changed"

    endpoint_id: EndpointId
    source: str
    excluded: bool
    since: int = 0


Event = (
    EndpointListReceived
    | RequestArrived
    | AdmissionCheckArrived
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
    | SharedCounterAnswered
    | ExclusionChanged
)
