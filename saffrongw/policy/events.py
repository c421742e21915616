"""The events that a gateway's policy handles.

Times and durations are integers in microseconds of the caller's clock. Endpoint identifiers are
opaque, sortable bytes; requests and customers are integers. The events of every request are named
tuples, the fastest to create.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar, NamedTuple

EndpointId = bytes


class AttemptOutcome(enum.Enum):
    """How an attempt ended, or how a probe or a counter call went."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "not connected"
    CONNECTION_LOST = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"


class EndpointState(enum.Enum):
    """What discovery says of a server."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(enum.Enum):
    """How a server list relates to the one before it."""

    DELTA = 0
    COMPLETE = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of a server list; launched 0 means long ago."""

    endpoint_id: EndpointId
    state: EndpointState
    zone: int
    cell: int
    started_at_us: int
    size: float


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """Discovery told something."""

    topic: ClassVar[str] = "endpoint_list_received"

    kind: EndpointListKind
    version: int
    entries: tuple[EndpointEntry, ...]


class RequestArrived(NamedTuple):
    """A client's request; the set names the gateways that the customer may use."""

    topic = "request_arrived"

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
    """Another proxy asks whether it may send a request on: decided by quota and ceiling alone, at once."""

    topic: ClassVar[str] = "admission_check_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    replica_set_first: int
    replica_set_size: int


class AttemptEnded(NamedTuple):
    """An attempt's outcome; answered means that the request needs no more answer."""

    topic = "attempt_ended"

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
    """A streamed answer has begun: no deadline runs any more."""

    topic: ClassVar[str] = "stream_started"

    request: int
    attempt: int
    endpoint_id: EndpointId
    duration_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    topic: ClassVar[str] = "client_disconnected"

    request: int


class TimerFired(NamedTuple):
    """A timer that was set is up."""

    topic = "timer_fired"

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """What came of a probe."""

    topic: ClassVar[str] = "health_check_ended"

    endpoint_id: EndpointId
    outcome: AttemptOutcome
    duration_us: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Bytes from another gateway; untrusted."""

    topic: ClassVar[str] = "gossip_received"

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SharedCounterAnswered:
    """What came of a call to the shared counter."""

    topic: ClassVar[str] = "shared_counter_answered"

    name: int
    outcome: AttemptOutcome
    value: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class ExclusionChanged:
    """A typed hint: a source (an operator's call, say) keeps a server out of choice, or no longer does.

    It stands whatever discovery says, until the same source takes it back. A server put back counts as
    launched at that moment, unless discovery names a launch since ``since``, when it was excluded (us; 0: as
    of now).
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
