"""Encoding and decoding of the gossip messages between gateways.

A message is a header and rows. Numbers are LEB128 variable-length integers unless a size is given;
units are encoded in sixteenths.

    header  u8 format, u8 flags (1: answer requested, 2: report), u32 send time in ms (low bits)
    row     customer, plan, first gateway of its replica set, size of the set, number of gateways in
            the set to which the receiver forwards the row, headroom, all units known to be spent,
            token grants (requested in a report, else given), number of counters, counters
    counter position in the replica set, age of its start in ticks, units
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

FORMAT = 2
# The largest datagram that the transport carries.
MAX_MESSAGE_BYTES = 256
HEADER_BYTES = 6
# Resolution of amounts in messages: steps per unit (and per second for starts of counters).
UNIT_SCALE = 16
# Resolution of the starts of counters.
TICK_MS = 1000 // UNIT_SCALE
# Send times in messages wrap around after this time.
SEND_TIME_WRAP_MS = 1 << 32
# Longest encoding of a number: 63 bits.
MAX_VARINT_BYTES = 9

_ANSWER_FLAG = 1
_REPORT_FLAG = 2
_ROW_NUMBERS = 9


class GossipFormatError(ValueError):
    """A number in a message is too long, or a row has an out-of-range plan, set or counter."""


class CounterRow(NamedTuple):
    """One gateway's counter in a message; the start is in ticks of ``TICK_MS``."""

    node_index: int
    start_tick: int
    units: float


class GossipRow(NamedTuple):
    """One customer's quota in a message; ``grants`` are requested in a report, else given."""

    customer: int
    plan: int
    replica_set_first: int
    replica_set_size: int
    forward_count: int
    headroom: float
    spent_units: float
    grants: float
    counters: tuple[CounterRow, ...]


class GossipMessage(NamedTuple):
    """A decoded message."""

    sent_ms: int
    wants_answer: bool
    is_report: bool
    rows: tuple[GossipRow, ...]


def pack_row(row: GossipRow, sent_ms: int, node_count: int) -> bytes:
    """Pack one row; starts of counters are encoded as their age at the send time."""
    packed = bytearray()
    sent_ticks = sent_ms // TICK_MS
    set_first = row.replica_set_first
    _append_varints(
        packed,
        row.customer,
        row.plan,
        set_first,
        row.replica_set_size,
        row.forward_count,
        int(row.headroom * UNIT_SCALE),
        int(row.spent_units * UNIT_SCALE),
        int(row.grants * UNIT_SCALE),
        len(row.counters),
    )
    for node_index, start_tick, units in row.counters:
        position = (node_index - set_first) % node_count
        age_ticks = max(0, sent_ticks - start_tick)
        _append_varints(packed, position, age_ticks, int(units * UNIT_SCALE))
    return bytes(packed)


def fit_rows(rows: Iterable[bytes]) -> list[bytes]:
    """Return the first rows, as many as fit into one message."""
    taken: list[bytes] = []
    space = MAX_MESSAGE_BYTES - HEADER_BYTES
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        taken.append(row)
    return taken


def pack_message(sent_ms: int, wants_answer: bool, is_report: bool, rows: list[bytes]) -> bytes:
    """Pack a message from a header and packed rows."""
    flags = _ANSWER_FLAG * wants_answer + _REPORT_FLAG * is_report
    low_bits = (sent_ms % SEND_TIME_WRAP_MS).to_bytes(4, "little")
    return bytes((FORMAT, flags)) + low_bits + b"".join(rows)


def unpack_message(
    body: bytes, now_ms: int, node_count: int, plan_count: int
) -> GossipMessage | None:
    """Decode a message; return None if it is malformed or has out-of-range values.

    The send time is the one nearest to ``now_ms`` with the low bits of the header.
    """
    if not HEADER_BYTES <= len(body) <= MAX_MESSAGE_BYTES:
        return None
    flags = body[1]
    if body[0] != FORMAT or flags > _ANSWER_FLAG + _REPORT_FLAG:
        return None
    low_bits = int.from_bytes(body[2:HEADER_BYTES], "little")
    wraps = (now_ms - low_bits + SEND_TIME_WRAP_MS // 2) // SEND_TIME_WRAP_MS
    sent_ms = low_bits + wraps * SEND_TIME_WRAP_MS
    rows: list[GossipRow] = []
    offset = HEADER_BYTES
    try:
        while offset < len(body):
            row, offset = _read_row(body, offset, sent_ms // TICK_MS, node_count, plan_count)
            rows.append(row)
    except (IndexError, GossipFormatError):
        return None
    return GossipMessage(sent_ms, flags & _ANSWER_FLAG != 0, flags & _REPORT_FLAG != 0, tuple(rows))


def _read_row(
    body: bytes, offset: int, sent_ticks: int, node_count: int, plan_count: int
) -> tuple[GossipRow, int]:
    """Decode a row; return it and the offset of the next byte."""
    numbers = []
    for _ in range(_ROW_NUMBERS):
        number, offset = _read_varint(body, offset)
        numbers.append(number)
    customer, plan, set_first, set_size, forward_count, *amounts, counter_count = numbers
    if plan >= plan_count or set_first >= node_count or not 1 <= set_size <= node_count:
        raise GossipFormatError(f"plan {plan} or replica set {set_first}, {set_size} is unknown")
    if forward_count >= set_size or counter_count > set_size:
        raise GossipFormatError(f"a set of {set_size} has fewer gateways than the row names")
    counters = []
    for _ in range(counter_count):
        position, offset = _read_varint(body, offset)
        age_ticks, offset = _read_varint(body, offset)
        units, offset = _read_varint(body, offset)
        if position >= set_size:
            raise GossipFormatError(f"position {position} lies outside a set of {set_size}")
        node_index = (set_first + position) % node_count
        counters.append(CounterRow(node_index, sent_ticks - age_ticks, units / UNIT_SCALE))
    headroom, spent_units, grants = (amount / UNIT_SCALE for amount in amounts)
    row = GossipRow(
        customer,
        plan,
        set_first,
        set_size,
        forward_count,
        headroom,
        spent_units,
        grants,
        tuple(counters),
    )
    return row, offset


def _append_varints(packed: bytearray, *numbers: int) -> None:
    for number in numbers:
        rest = number
        while rest > 0x7F:
            packed.append(rest & 0x7F | 0x80)
            rest >>= 7
        packed.append(rest)


def _read_varint(body: bytes, offset: int) -> tuple[int, int]:
    """Decode a number; return it and the offset of the next byte."""
    byte = body[offset]
    if byte < 0x80:
        return byte, offset + 1
    number = 0
    for index in range(MAX_VARINT_BYTES):
        byte = body[offset + index]
        number |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return number, offset + index + 1
    raise GossipFormatError(f"a number at offset {offset} is longer than {MAX_VARINT_BYTES} bytes")
