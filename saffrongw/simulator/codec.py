"""Codec of the binary wire: bytes to our events, our actions to bytes. It decides nothing."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from ..policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpointList,
)
from ..policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    SharedCounterAnswered,
    StreamStarted,
    TimerFired,
)
from ..policy.settings import Settings
from ..policy.settings_schema import SettingsError, parse_settings

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct("<fB6sBQBH")

_INIT = struct.Struct("<HQII")
_LIST = struct.Struct("<HII")
_LIST_RECEIVED = struct.Struct("<HBHQ")
_REQUEST = struct.Struct("<HIBHQIfffH")
_GATEWAY = struct.Struct("<H")
_PROBED = struct.Struct("<HIH6sB4f")
_CALL = struct.Struct("<HI")
_COUNTED = struct.Struct("<HfIHQ")
_PEER = struct.Struct("<HHII")
_STREAM = struct.Struct("<HIH6sI")
_TIMER = struct.Struct("<HQ")
_OUTCOME = struct.Struct("<HIH6sHIBHHB4f")

_SEND = struct.Struct("<BHI6sQ")
_CANCEL = struct.Struct("<BHIH")
_CHECK_HEALTH = struct.Struct("<BH6s")
_BARE = struct.Struct("<BH")
_SET_TIMER = struct.Struct("<BHIQ")
_TEXT = struct.Struct("<BHII")
_FINAL = struct.Struct("<BHI")
_GOSSIP = struct.Struct("<BHHII")
_SUBSCRIBE = struct.Struct("<BHB")
_REJECT = struct.Struct("<BHII")

RETRY_BIT = 2

OUTCOMES = {
    100: AttemptOutcome.SERVED,
    301: AttemptOutcome.ERROR,
    302: AttemptOutcome.OVERLOADED,
    303: AttemptOutcome.TIMED_OUT,
    304: AttemptOutcome.CONNECT_FAILED,
    305: AttemptOutcome.CONNECTION_LOST,
    306: AttemptOutcome.CANCELLED,
    307: AttemptOutcome.NOT_SENT,
}


class WireError(Exception):
    """What came in is not of this wire."""


@dataclass(frozen=True, slots=True)
class Start:
    """A gateway comes up."""

    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway is gone without warning."""


@dataclass(slots=True)
class Decoder:
    """Decodes frames; keeps the numbered server lists, which travel once for each process."""

    lists: dict[int, tuple[EndpointEntry, ...]] = field(default_factory=dict)

    def frame(self, count: int, body: bytes) -> list[tuple[int, Start | Stop | Event]]:
        """All events of one batch, each with its gateway's number."""
        if len(body) < count * EVENT_SIZE:
            raise WireError(f"frame of {len(body)} bytes is too short for {count} records")
        tail = body[count * EVENT_SIZE :]
        events = []
        for i in range(count):
            at = i * EVENT_SIZE
            code = body[at]
            reader = _READERS.get(code)
            if reader is None:
                raise WireError(f"unknown record code {code}")
            event = reader(self, body, at + 1, tail)
            if event is not None:
                events.append(event)
        return events


def _cut(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(
            f"offset {offset} with length {length} lies outside a tail of {len(tail)} bytes"
        )
    return tail[offset : offset + length]


def _outcome(code: int) -> AttemptOutcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _start(_: Decoder, body: bytes, at: int, tail: bytes):
    gateway, seed, offset, length = _INIT.unpack_from(body, at)
    try:
        settings = parse_settings(_cut(tail, offset, length))
    except SettingsError as error:
        raise WireError(str(error)) from None
    return gateway, Start(settings, seed)


def _endpoint_list(decoder: Decoder, body: bytes, at: int, tail: bytes) -> None:
    number, offset, count = _LIST.unpack_from(body, at)
    raw = _cut(tail, offset, count * ENTRY.size)
    entries = []
    for share, _kind, endpoint_id, zone, started_at_us, state, cell in ENTRY.iter_unpack(raw):
        if state > 2:
            raise WireError(f"unknown phase {state}")
        entries.append(
            EndpointEntry(endpoint_id, EndpointState(state), zone, cell, started_at_us, share)
        )
    decoder.lists[number] = tuple(entries)


def _endpoint_list_received(decoder: Decoder, body: bytes, at: int, _: bytes):
    gateway, kind, number, version = _LIST_RECEIVED.unpack_from(body, at)
    if kind > 3:
        raise WireError(f"unknown kind of list {kind}")
    kind = EndpointListKind(kind)
    if kind is EndpointListKind.FAILED:
        return gateway, EndpointListReceived(kind, version, ())
    if number not in decoder.lists:
        raise WireError(f"list {number} was never sent")
    return gateway, EndpointListReceived(kind, version, decoder.lists[number])


def _request_arrived(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request, kind, plan, customer, left, units, size, first, bits = _REQUEST.unpack_from(
        body, at
    )
    return gateway, RequestArrived(
        request, customer, plan, kind, units, left, int(first), int(size), bool(bits & RETRY_BIT)
    )


def _stop(_: Decoder, body: bytes, at: int, __: bytes):
    return _GATEWAY.unpack_from(body, at)[0], Stop()


def _health_check_ended(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, duration_us, reason, endpoint_id, n, *values = _PROBED.unpack_from(body, at)
    return gateway, HealthCheckEnded(endpoint_id, _outcome(reason), duration_us, tuple(values[:n]))


def _client_disconnected(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request = _CALL.unpack_from(body, at)
    return gateway, ClientDisconnected(request)


def _shared_counter_answered(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, value, duration_us, reason, name = _COUNTED.unpack_from(body, at)
    return gateway, SharedCounterAnswered(name, _outcome(reason), value, duration_us)


def _gossip_received(_: Decoder, body: bytes, at: int, tail: bytes):
    gateway, sender, offset, length = _PEER.unpack_from(body, at)
    return gateway, GossipReceived(sender, _cut(tail, offset, length))


def _stream_started(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request, attempt, endpoint_id, duration_us = _STREAM.unpack_from(body, at)
    return gateway, StreamStarted(request, attempt, endpoint_id, duration_us)


def _timer_fired(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, token = _TIMER.unpack_from(body, at)
    return gateway, TimerFired(token)


def _attempt_ended(_: Decoder, body: bytes, at: int, __: bytes):
    fields = _OUTCOME.unpack_from(body, at)
    gateway, request, attempt, endpoint_id, reason, duration_us, settled, use, cost, n, *values = (
        fields
    )
    return gateway, AttemptEnded(
        request,
        attempt,
        endpoint_id,
        _outcome(reason),
        duration_us,
        bool(settled),
        use,
        float(cost),
        tuple(values[:n]),
    )


_READERS = {
    1: _timer_fired,
    2: _gossip_received,
    3: _client_disconnected,
    4: _stream_started,
    5: _request_arrived,
    6: _attempt_ended,
    7: _start,
    8: _stop,
    9: _endpoint_list_received,
    10: _shared_counter_answered,
    11: _health_check_ended,
    12: _endpoint_list,
}


@dataclass(slots=True)
class Encoder:
    """Collects the actions of one reply."""

    records: list[bytes] = field(default_factory=list)
    tail: bytearray = field(default_factory=bytearray)

    def add(self, gateway: int, action: Action) -> None:
        """One action of one gateway."""
        match action:
            case SendAttempt():
                raw = _SEND.pack(
                    65, gateway, action.request, action.endpoint_id, action.deadline_us
                )
            case RejectRequest():
                raw = _REJECT.pack(66, gateway, action.request, action.retry_after_us)
            case FailRequest():
                raw = _FINAL.pack(67, gateway, action.request)
            case CancelAttempt():
                raw = _CANCEL.pack(68, gateway, action.request, action.attempt)
            case SetTimer():
                raw = _SET_TIMER.pack(69, gateway, action.delay_us, action.token)
            case CheckHealth():
                raw = _CHECK_HEALTH.pack(70, gateway, action.endpoint_id)
            case SendGossip():
                raw = _GOSSIP.pack(72, gateway, action.peer, *self._put(action.body))
            case SubscribeEndpointList():
                raw = _SUBSCRIBE.pack(75, gateway, 1)
            case FetchEndpointList():
                raw = _BARE.pack(76, gateway)
            case _:
                raise TypeError(f"no action of the wire: {action!r}")
        self.records.append(raw.ljust(ACTION_SIZE, b"\0"))

    def bug(self, gateway: int, text: str) -> None:
        """The decisions failed."""
        self.records.append(
            _TEXT.pack(74, gateway, *self._put(text.encode())).ljust(ACTION_SIZE, b"\0")
        )

    def reply(self) -> bytes:
        """The whole reply frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(body)) + body

    def _put(self, body: bytes) -> tuple[int, int]:
        at = len(self.tail)
        self.tail += body
        return at, len(body)
