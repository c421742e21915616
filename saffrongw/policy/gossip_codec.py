"""Byte layout of the gossip messages between gateways: packing only, no decision.

A message is a header and rows. Numbers are LEB128 variable-length integers unless a size is given;
units of quotas travel in sixteenths.

    header  u8 format, u8 flags (1: answer this, 2: a report), u32 send time in ms (its low bits)
    row     customer, plan, first gateway of its replica set, size of the set, how many gateways of
            the set the receiver forwards it to, headroom, all units known to be spent, token grants
            that are requested (in a report) or given, number of counters, counters
    counter position in the replica set, age of its start in 1/16 s, units
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

FORMAT = 2
# What the transport carries.
MAX_MESSAGE_BYTES = 256
HEADER_BYTES = 6
# Parts of a unit and of a second that travel.
UNIT_SCALE = 16
# One step of a counter's start.
TICK_MS = 1000 // UNIT_SCALE
# After so long the low bits of send times repeat.
SEND_TIME_WRAP_MS = 1 << 32
# Bytes of a number: 63 bits.
MAX_VARINT_BYTES = 9

_ANSWER_FLAG = 1
_REPORT_FLAG = 2
_ROW_NUMBERS = 9


class GossipFormatError(ValueError):
    """A message has a number that is too long, or a row names what does not exist."""


class CounterRow(NamedTuple):
    """One gateway's counter as it travels; the start is in ticks of ``TICK_MS``."""

    node_index: int
    start_tick: int
    units: float


class GossipRow(NamedTuple):
    """What a message tells of one customer; ``grants`` are requested in a report, else given."""

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
    """Pack one row; starts of counters travel as ages at the send time."""
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
    """Take as many of the rows, from the first on, as one message holds."""
    taken: list[bytes] = []
    space = MAX_MESSAGE_BYTES - HEADER_BYTES
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        taken.append(row)
    return taken


def pack_message(sent_ms: int, wants_answer: bool, is_report: bool, rows: list[bytes]) -> bytes:
    """Join packed rows to a message."""
    flags = _ANSWER_FLAG * wants_answer + _REPORT_FLAG * is_report
    low_bits = (sent_ms % SEND_TIME_WRAP_MS).to_bytes(4, "little")
    return bytes((FORMAT, flags)) + low_bits + b"".join(rows)


def unpack_message(
    body: bytes, now_ms: int, node_count: int, plan_count: int
) -> GossipMessage | None:
    """Decode a message; None if the bytes are malformed or name what does not exist.

    Of the send times that the low bits may mean, the one nearest to ``now_ms`` is taken.
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
    """Read a row; return it and the offset behind it."""
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
    """Read a number; return it and the offset behind it."""
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
