"""Codec of the binary wire: bytes to our events, our actions to bytes. It decides nothing."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from ..policy import interface as api
from ..policy.settings_schema import SettingsError, parse_settings

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct("<fB6sBQBH")

_INIT = struct.Struct("<HQII")
_LIST = struct.Struct("<HII")
_LIST_NEWS = struct.Struct("<HBHQ")
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
_SERVER_ONLY = struct.Struct("<BH6s")
_BARE = struct.Struct("<BH")
_SET_TIMER = struct.Struct("<BHIQ")
_TEXT = struct.Struct("<BHII")
_FINAL = struct.Struct("<BHI")
_TELL = struct.Struct("<BHHII")
_WATCH = struct.Struct("<BHB")
_REFUSE = struct.Struct("<BHII")

BIT_REPEAT = 2

OUTCOMES = {
    100: api.Outcome.SERVED,
    301: api.Outcome.ERROR,
    302: api.Outcome.FULL,
    303: api.Outcome.TIMED_OUT,
    304: api.Outcome.NOT_CONNECTED,
    305: api.Outcome.BROKEN,
    306: api.Outcome.CANCELLED,
    307: api.Outcome.NEVER_SENT,
}


class WireError(Exception):
    """What came in is not of this wire."""


@dataclass(frozen=True, slots=True)
class Start:
    """A gateway comes up."""

    settings: api.Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway is gone without warning."""


@dataclass(slots=True)
class Decoder:
    """Decodes frames; keeps the numbered server lists, which travel once for each process."""

    lists: dict[int, tuple[api.ServerEntry, ...]] = field(default_factory=dict)

    def frame(self, count: int, body: bytes) -> list[tuple[int, Start | Stop | api.Event]]:
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
        raise WireError(f"offset {offset} with length {length} lies outside a tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _outcome(code: int) -> api.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _init(_: Decoder, body: bytes, at: int, tail: bytes):
    gateway, seed, offset, length = _INIT.unpack_from(body, at)
    try:
        settings = parse_settings(_cut(tail, offset, length))
    except SettingsError as error:
        raise WireError(str(error)) from None
    return gateway, Start(settings, seed)


def _roster(decoder: Decoder, body: bytes, at: int, tail: bytes) -> None:
    number, offset, count = _LIST.unpack_from(body, at)
    raw = _cut(tail, offset, count * ENTRY.size)
    entries = []
    for share, _kind, server, zone, launched, phase, cell in ENTRY.iter_unpack(raw):
        if phase > 2:
            raise WireError(f"unknown phase {phase}")
        entries.append(api.ServerEntry(server, api.Phase(phase), zone, cell, launched, share))
    decoder.lists[number] = tuple(entries)


def _roster_change(decoder: Decoder, body: bytes, at: int, _: bytes):
    gateway, kind, number, version = _LIST_NEWS.unpack_from(body, at)
    if kind > 3:
        raise WireError(f"unknown kind of list {kind}")
    kind = api.ListKind(kind)
    if kind is api.ListKind.FAILED:
        return gateway, api.ServerListed(kind, version, ())
    if number not in decoder.lists:
        raise WireError(f"list {number} was never sent")
    return gateway, api.ServerListed(kind, version, decoder.lists[number])


def _order(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request, kind, plan, customer, left, units, size, first, bits = _REQUEST.unpack_from(body, at)
    return gateway, api.RequestArrived(
        request, customer, plan, kind, units, left, int(first), int(size), bool(bits & BIT_REPEAT)
    )


def _teardown(_: Decoder, body: bytes, at: int, __: bytes):
    return _GATEWAY.unpack_from(body, at)[0], Stop()


def _probed(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, took, reason, server, n, *values = _PROBED.unpack_from(body, at)
    return gateway, api.ProbeEnded(server, _outcome(reason), took, tuple(values[:n]))


def _client_gone(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request = _CALL.unpack_from(body, at)
    return gateway, api.ClientGone(request)


def _counted(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, value, took, reason, name = _COUNTED.unpack_from(body, at)
    return gateway, api.CounterAnswered(name, _outcome(reason), value, took)


def _neighbour(_: Decoder, body: bytes, at: int, tail: bytes):
    gateway, sender, offset, length = _PEER.unpack_from(body, at)
    return gateway, api.PeerMessage(sender, _cut(tail, offset, length))


def _flowing(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request, attempt, server, took = _STREAM.unpack_from(body, at)
    return gateway, api.StreamStarted(request, attempt, server, took)


def _bell(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, token = _TIMER.unpack_from(body, at)
    return gateway, api.TimerFired(token)


def _answer(_: Decoder, body: bytes, at: int, __: bytes):
    fields = _OUTCOME.unpack_from(body, at)
    gateway, request, attempt, server, reason, took, settled, use, cost, n, *values = fields
    return gateway, api.AttemptEnded(
        request, attempt, server, _outcome(reason), took, bool(settled), use, float(cost), tuple(values[:n])
    )


_READERS = {
    1: _bell,
    2: _neighbour,
    3: _client_gone,
    4: _flowing,
    5: _order,
    6: _answer,
    7: _init,
    8: _teardown,
    9: _roster_change,
    10: _counted,
    11: _probed,
    12: _roster,
}


@dataclass(slots=True)
class Encoder:
    """Collects the actions of one reply."""

    records: list[bytes] = field(default_factory=list)
    tail: bytearray = field(default_factory=bytearray)

    def add(self, gateway: int, action: api.Action) -> None:
        """One action of one gateway."""
        match action:
            case api.Send():
                raw = _SEND.pack(65, gateway, action.request, action.server, action.give_up_at)
            case api.Refuse():
                raw = _REFUSE.pack(66, gateway, action.request, action.retry_after)
            case api.Fail():
                raw = _FINAL.pack(67, gateway, action.request)
            case api.Cancel():
                raw = _CANCEL.pack(68, gateway, action.request, action.attempt)
            case api.SetTimer():
                raw = _SET_TIMER.pack(69, gateway, action.span, action.token)
            case api.Probe():
                raw = _SERVER_ONLY.pack(70, gateway, action.server)
            case api.TellPeer():
                raw = _TELL.pack(72, gateway, action.peer, *self._put(action.body))
            case api.AskList():
                raw = _WATCH.pack(75, gateway, 1)
            case api.FetchList():
                raw = _BARE.pack(76, gateway)
            case _:
                raise TypeError(f"no action of the wire: {action!r}")
        self.records.append(raw.ljust(ACTION_SIZE, b"\0"))

    def bug(self, gateway: int, text: str) -> None:
        """The decisions failed."""
        self.records.append(_TEXT.pack(74, gateway, *self._put(text.encode())).ljust(ACTION_SIZE, b"\0"))

    def reply(self) -> bytes:
        """The whole reply frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(body)) + body

    def _put(self, body: bytes) -> tuple[int, int]:
        at = len(self.tail)
        self.tail += body
        return at, len(body)
