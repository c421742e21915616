"""What a gateway is told (settings, events) and what it answers (actions).

Times are integers in microseconds of the caller's clock. Servers are opaque, sortable bytes; requests and
customers are integers. What comes with every request is a named tuple, as that is made fastest. Nothing here
decides anything: the decisions are in ``rules.py``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar, NamedTuple

Server = bytes


class Effect(enum.Enum):
    """What a repeat of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """Which servers together drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(enum.Enum):
    """How an attempt ended, or how a probe or a counter call went."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"


class Phase(enum.Enum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.Enum):
    """How a server list relates to the one before it."""

    CHANGES = 0
    WHOLE = 1
    CACHED = 2
    FAILED = 3


class Reports(enum.Enum):
    """Where load reports come from."""

    INLINE = "inline"
    ON_PROBE = "on probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    aim: int
    deadline: int
    worth: float
    late_worth: float
    effect: Effect
    group: Group
    window: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan; zero rate, open or ceiling_rate means no such limit."""

    rate: float
    burst: float
    open: int
    price: float
    beyond_earns: float
    beyond_costs: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told when it starts."""

    rank: int
    gateways: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    may_tell_peers: bool
    may_probe: bool
    may_cancel: bool
    may_copy: bool
    max_attempts: int
    max_retry_after: int
    peer_intake: float
    peer_charge: float
    probe_charge: float
    waste_charge: float
    cross_zone_charge: float
    has_counter: bool
    asks_for_list: bool
    ask_within: int
    reports: Reports
    report_names: tuple[str, ...]
    cold_from: float
    warm_within: int
    fall_multiple: float
    overload_for: int
    drain_grace: int
    connect_timeout: int = 0  # us: how long after it was decided a send may begin


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of a server list; launched 0 means long ago."""

    server: Server
    phase: Phase
    zone: int
    cell: int
    launched: int
    size: float


@dataclass(frozen=True, slots=True)
class ServerListed:
    """Discovery told something."""

    topic: ClassVar[str] = "server_listed"

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


class RequestArrived(NamedTuple):
    """A client's request; the set names the gateways that the customer may use."""

    topic = "request_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    time_left: int
    set_first: int
    set_size: int
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class CheckArrived:
    """Another proxy asks whether it may send a request on: decided by quota and ceiling alone, at once."""

    topic: ClassVar[str] = "check_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    set_first: int
    set_size: int


class AttemptEnded(NamedTuple):
    """An attempt's outcome; answered means that the request needs no more answer."""

    topic = "attempt_ended"

    request: int
    attempt: int
    server: Server
    outcome: Outcome
    took: int
    answered: bool
    use: int
    true_units: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: no deadline runs any more."""

    topic: ClassVar[str] = "stream_started"

    request: int
    attempt: int
    server: Server
    took: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    topic: ClassVar[str] = "client_gone"

    request: int


class TimerFired(NamedTuple):
    """A timer that was set is up."""

    topic = "timer_fired"

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What came of a probe."""

    topic: ClassVar[str] = "probe_ended"

    server: Server
    outcome: Outcome
    took: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway; untrusted."""

    topic: ClassVar[str] = "peer_message"

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """What came of a call to the shared counter."""

    topic: ClassVar[str] = "counter_answered"

    name: int
    outcome: Outcome
    value: float
    took: int


@dataclass(frozen=True, slots=True)
class ExclusionChanged:
    """A typed hint: a source (an operator's call, say) keeps a server out of choice, or no longer does.

    It stands whatever discovery says, until the same source takes it back. A server put back counts as
    launched at that moment, unless discovery names a launch since ``since``, when it was excluded (us; 0: as
    of now).
    """

    topic: ClassVar[str] = "exclusion_changed"

    server: Server
    source: str
    excluded: bool
    since: int = 0


Event = (
    ServerListed
    | RequestArrived
    | CheckArrived
    | AttemptEnded
    | StreamStarted
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | CounterAnswered
    | ExclusionChanged
)


class Send(NamedTuple):
    """Begin an attempt; give_up_at 0 leaves it to the client's patience."""

    request: int
    server: Server
    give_up_at: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


class Refuse(NamedTuple):
    """Final answer: not served, and trying again is harmless."""

    request: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class Admit:
    """Answer to a check: it is let in, and its units are taken as by a first send."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a span."""

    span: int
    token: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send bytes to one peer."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its state."""

    server: Server


@dataclass(frozen=True, slots=True)
class AskList:
    """Subscribe to discovery."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


Action = Send | Cancel | Refuse | Fail | Admit | SetTimer | TellPeer | Probe | AskList | FetchList
