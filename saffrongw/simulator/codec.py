"""Codec of the simulator's binary protocol: decodes frames to events and encodes actions.

A frame is a header, records of one size, and a tail for data of variable size. All numbers are
little-endian. The simulator defines the codes of records and outcomes.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

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

_START = struct.Struct("<HQII")
_ENDPOINT_LIST = struct.Struct("<HII")
_ENDPOINT_LIST_RECEIVED = struct.Struct("<HBHQ")
_REQUEST_ARRIVED = struct.Struct("<HIBHQIfffH")
_STOP = struct.Struct("<H")
_HEALTH_CHECK_ENDED = struct.Struct("<HIH6sB4f")
_CLIENT_DISCONNECTED = struct.Struct("<HI")
_SHARED_COUNTER_ANSWERED = struct.Struct("<HfIHQ")
_GOSSIP_RECEIVED = struct.Struct("<HHII")
_STREAM_STARTED = struct.Struct("<HIH6sI")
_TIMER_FIRED = struct.Struct("<HQ")
_ATTEMPT_ENDED = struct.Struct("<HIH6sHIBHHB4f")

_SEND_ATTEMPT = struct.Struct("<BHI6sQ")
_CANCEL_ATTEMPT = struct.Struct("<BHIH")
_CHECK_HEALTH = struct.Struct("<BH6s")
_FETCH_ENDPOINT_LIST = struct.Struct("<BH")
_SET_TIMER = struct.Struct("<BHIQ")
_POLICY_ERROR = struct.Struct("<BHII")
_FAIL_REQUEST = struct.Struct("<BHI")
_SEND_GOSSIP = struct.Struct("<BHHII")
_SUBSCRIBE_ENDPOINT_LIST = struct.Struct("<BHB")
_REJECT_REQUEST = struct.Struct("<BHII")

RETRY_FLAG = 2

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
    """A frame is malformed or names what does not exist."""


@dataclass(frozen=True, slots=True)
class Start:
    """A gateway starts with these settings and this seed of its random numbers."""

    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway was killed without warning."""


class GatewayEvent(NamedTuple):
    """An event and the number of the gateway that receives it."""

    gateway: int
    event: Start | Stop | Event


@dataclass(slots=True)
class Decoder:
    """Decodes frames; stores the numbered endpoint lists, which are sent once to each process."""

    lists: dict[int, tuple[EndpointEntry, ...]] = field(default_factory=dict)

    def frame(self, count: int, body: bytes) -> list[GatewayEvent]:
        """Decode the records of one frame; raise ``WireError`` if it is malformed."""
        if len(body) < count * EVENT_SIZE:
            raise WireError(f"frame of {len(body)} bytes is too short for {count} records")
        tail = body[count * EVENT_SIZE :]
        events = []
        for offset in range(0, count * EVENT_SIZE, EVENT_SIZE):
            code = body[offset]
            reader = _READERS.get(code)
            if reader is None:
                raise WireError(f"unknown record code {code}")
            event = reader(self, body, offset + 1, tail)
            if event is not None:
                events.append(event)
        return events


def _slice_tail(tail: bytes, start: int, length: int) -> bytes:
    if start + length > len(tail):
        raise WireError(
            f"offset {start} with length {length} lies outside a tail of {len(tail)} bytes"
        )
    return tail[start : start + length]


def _outcome(code: int) -> AttemptOutcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _start(_decoder: Decoder, body: bytes, offset: int, tail: bytes) -> GatewayEvent:
    gateway, seed, start, length = _START.unpack_from(body, offset)
    try:
        settings = parse_settings(_slice_tail(tail, start, length))
    except SettingsError as error:
        raise WireError(str(error)) from None
    return GatewayEvent(gateway, Start(settings, seed))


def _endpoint_list(decoder: Decoder, body: bytes, offset: int, tail: bytes) -> None:
    number, start, count = _ENDPOINT_LIST.unpack_from(body, offset)
    raw = _slice_tail(tail, start, count * ENTRY.size)
    entries = []
    for size, _kind, endpoint_id, zone, started_at_us, state, cell in ENTRY.iter_unpack(raw):
        if state > 2:
            raise WireError(f"unknown endpoint state {state}")
        entries.append(
            EndpointEntry(endpoint_id, EndpointState(state), zone, cell, started_at_us, size)
        )
    decoder.lists[number] = tuple(entries)


def _endpoint_list_received(
    decoder: Decoder, body: bytes, offset: int, _tail: bytes
) -> GatewayEvent:
    gateway, kind, number, version = _ENDPOINT_LIST_RECEIVED.unpack_from(body, offset)
    if kind > 3:
        raise WireError(f"unknown kind of list {kind}")
    kind = EndpointListKind(kind)
    if kind is EndpointListKind.FAILED:
        return GatewayEvent(gateway, EndpointListReceived(kind, version, ()))
    if number not in decoder.lists:
        raise WireError(f"list {number} was never sent")
    return GatewayEvent(gateway, EndpointListReceived(kind, version, decoder.lists[number]))


def _request_arrived(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, request, kind, plan, customer, time_left_us, units, size, first, flags = (
        _REQUEST_ARRIVED.unpack_from(body, offset)
    )
    return GatewayEvent(
        gateway,
        RequestArrived(
            request,
            customer,
            plan,
            kind,
            units,
            time_left_us,
            int(first),
            int(size),
            bool(flags & RETRY_FLAG),
        ),
    )


def _stop(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    (gateway,) = _STOP.unpack_from(body, offset)
    return GatewayEvent(gateway, Stop())


def _health_check_ended(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, duration_us, outcome_code, endpoint_id, value_count, *values = (
        _HEALTH_CHECK_ENDED.unpack_from(body, offset)
    )
    return GatewayEvent(
        gateway,
        HealthCheckEnded(
            endpoint_id, _outcome(outcome_code), duration_us, tuple(values[:value_count])
        ),
    )


def _client_disconnected(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, request = _CLIENT_DISCONNECTED.unpack_from(body, offset)
    return GatewayEvent(gateway, ClientDisconnected(request))


def _shared_counter_answered(
    _decoder: Decoder, body: bytes, offset: int, _tail: bytes
) -> GatewayEvent:
    gateway, value, duration_us, outcome_code, name = _SHARED_COUNTER_ANSWERED.unpack_from(
        body, offset
    )
    return GatewayEvent(
        gateway, SharedCounterAnswered(name, _outcome(outcome_code), value, duration_us)
    )


def _gossip_received(_decoder: Decoder, body: bytes, offset: int, tail: bytes) -> GatewayEvent:
    gateway, sender, start, length = _GOSSIP_RECEIVED.unpack_from(body, offset)
    return GatewayEvent(gateway, GossipReceived(sender, _slice_tail(tail, start, length)))


def _stream_started(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, request, attempt, endpoint_id, duration_us = _STREAM_STARTED.unpack_from(body, offset)
    return GatewayEvent(gateway, StreamStarted(request, attempt, endpoint_id, duration_us))


def _timer_fired(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, token = _TIMER_FIRED.unpack_from(body, offset)
    return GatewayEvent(gateway, TimerFired(token))


def _attempt_ended(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    fields = _ATTEMPT_ENDED.unpack_from(body, offset)
    (
        gateway,
        request,
        attempt,
        endpoint_id,
        outcome_code,
        duration_us,
        is_answered,
        use,
        units,
        value_count,
        *values,
    ) = fields
    return GatewayEvent(
        gateway,
        AttemptEnded(
            request,
            attempt,
            endpoint_id,
            _outcome(outcome_code),
            duration_us,
            bool(is_answered),
            use,
            float(units),
            tuple(values[:value_count]),
        ),
    )


_READERS: dict[int, Callable[[Decoder, bytes, int, bytes], GatewayEvent | None]] = {
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


class RecordCode:
    """Record codes in a reply."""

    SEND_ATTEMPT = 65
    REJECT_REQUEST = 66
    FAIL_REQUEST = 67
    CANCEL_ATTEMPT = 68
    SET_TIMER = 69
    CHECK_HEALTH = 70
    SEND_GOSSIP = 72
    POLICY_ERROR = 74
    SUBSCRIBE_ENDPOINT_LIST = 75
    FETCH_ENDPOINT_LIST = 76


@dataclass(slots=True)
class Encoder:
    """Collects the records of one reply."""

    records: list[bytes] = field(default_factory=list)
    tail: bytearray = field(default_factory=bytearray)

    def add(self, gateway: int, action: Action) -> None:
        """Append a gateway's action; raise ``TypeError`` if the protocol has no record for it."""
        match action:
            case SendAttempt():
                record = _SEND_ATTEMPT.pack(
                    RecordCode.SEND_ATTEMPT,
                    gateway,
                    action.request,
                    action.endpoint_id,
                    action.deadline_us,
                )
            case RejectRequest():
                record = _REJECT_REQUEST.pack(
                    RecordCode.REJECT_REQUEST, gateway, action.request, action.retry_after_us
                )
            case FailRequest():
                record = _FAIL_REQUEST.pack(RecordCode.FAIL_REQUEST, gateway, action.request)
            case SetTimer():
                record = _SET_TIMER.pack(
                    RecordCode.SET_TIMER, gateway, action.delay_us, action.token
                )
            case SendGossip():
                start, length = self._append_to_tail(action.body)
                record = _SEND_GOSSIP.pack(
                    RecordCode.SEND_GOSSIP, gateway, action.peer, start, length
                )
            case _:
                record = _pack_infrequent_action(gateway, action)
        self._append(record)

    def add_policy_error(self, gateway: int, text: str) -> None:
        """Append the text of an exception that the policy raised."""
        start, length = self._append_to_tail(text.encode())
        self._append(_POLICY_ERROR.pack(RecordCode.POLICY_ERROR, gateway, start, length))

    def reply(self) -> bytes:
        """Return the reply frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(body)) + body

    def _append(self, record: bytes) -> None:
        self.records.append(record.ljust(ACTION_SIZE, b"\0"))

    def _append_to_tail(self, body: bytes) -> tuple[int, int]:
        """Append bytes to the tail; return their offset in it and their length."""
        start = len(self.tail)
        self.tail += body
        return start, len(body)


def _pack_infrequent_action(gateway: int, action: Action) -> bytes:
    match action:
        case CancelAttempt():
            return _CANCEL_ATTEMPT.pack(
                RecordCode.CANCEL_ATTEMPT, gateway, action.request, action.attempt
            )
        case CheckHealth():
            return _CHECK_HEALTH.pack(RecordCode.CHECK_HEALTH, gateway, action.endpoint_id)
        case SubscribeEndpointList():
            return _SUBSCRIBE_ENDPOINT_LIST.pack(RecordCode.SUBSCRIBE_ENDPOINT_LIST, gateway, 1)
        case FetchEndpointList():
            return _FETCH_ENDPOINT_LIST.pack(RecordCode.FETCH_ENDPOINT_LIST, gateway)
        case _:
            raise TypeError(f"the protocol has no record for action {action!r}")
