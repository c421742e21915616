"""Byte layout of the messages between gateways: no decision, only packing.

A message is a head and rows. Numbers are LEB128 variable-length integers unless a size is given.

    head  u8 format, u8 flags (1: answer this, 2: spread this), u32 send time in ms (its low bits)
    row   customer, plan, first gateway of its set, size of the set, how many of the set the receiver hands
          it on to, room, all units known to be spent, rights of its ceiling wanted (flag 2) or given, all in
          1/16 units, number of counts, counts
    count place in the set (0: its first gateway), age of its start in 1/16 s, value in 1/16 units
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FORMAT = 2
SIZE_MOST = 256  # bytes: what the transport carries
HEAD = 6  # bytes of a head
SCALE = 16  # parts of a unit and of a second that travel
TICK = 1000 // SCALE  # ms in one step of a start
CLOCK = 1 << 32  # ms after which send times repeat
VARINT_MOST = 9  # bytes: 63 bits


@dataclass(frozen=True, slots=True)
class Row:
    """What a message tells of one customer; counts are (rank, start in ticks, value)."""

    customer: int
    plan: int
    replica_set_first: int
    replica_set_size: int
    reach: int
    room: float
    total: float
    rights: float
    counts: tuple[tuple[int, int, float], ...]


@dataclass(frozen=True, slots=True)
class Message:
    """A decoded message; sent in ms."""

    sent: int
    ask: bool
    keep: bool
    rows: tuple[Row, ...]


def _put(out: bytearray, *values: int) -> None:
    for value in values:
        while value > 0x7F:
            out.append(value & 0x7F | 0x80)
            value >>= 7
        out.append(value)


def _read_varint(body: bytes, at: int) -> tuple[int, int]:
    byte = body[at]
    if byte < 0x80:
        return byte, at + 1
    value = 0
    for i in range(VARINT_MOST):
        byte = body[at + i]
        value |= (byte & 0x7F) << (7 * i)
        if byte < 0x80:
            return value, at + i + 1
    raise ValueError("number too long")


def pack_row(row: Row, sent: int, ranks: int) -> bytes:
    """One row as bytes; starts are told as ages at the send time."""
    out, first, ticks = bytearray(), row.replica_set_first, sent // TICK
    _put(out, row.customer, row.plan, first, row.replica_set_size, row.reach)
    _put(
        out, int(row.room * SCALE), int(row.total * SCALE), int(row.rights * SCALE), len(row.counts)
    )
    for node_index, start, value in row.counts:
        _put(out, (node_index - first) % ranks, max(0, ticks - start), int(value * SCALE))
    return bytes(out)


def fit(rows: Iterable[bytes]) -> list[bytes]:
    """As many of the rows, from the first on, as one message holds."""
    taken: list[bytes] = []
    space = SIZE_MOST - HEAD
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        taken.append(row)
    return taken


def pack(sent: int, ask: bool, keep: bool, rows: list[bytes]) -> bytes:
    """A whole message."""
    return bytes((FORMAT, ask + 2 * keep)) + (sent % CLOCK).to_bytes(4, "little") + b"".join(rows)


def unpack(body: bytes, now: int, ranks: int, plans: int) -> Message | None:
    """The message, or None where the bytes are none or name what does not exist.

    Of the send times that the low bits may mean, the one nearest to now (in ms) is taken.
    """
    try:
        if body[0] != FORMAT or body[1] > 3 or not HEAD <= len(body) <= SIZE_MOST:
            return None
        sent = int.from_bytes(body[2:HEAD], "little")
        sent += (now - sent + CLOCK // 2) // CLOCK * CLOCK
        ticks, rows, at = sent // TICK, [], HEAD
        while at < len(body):
            head = []
            for _ in range(9):
                value, at = _read_varint(body, at)
                head.append(value)
            customer, plan, first, size, reach, room, total, rights, number = head
            if (
                plan >= plans
                or first >= ranks
                or not 1 <= size <= ranks
                or reach >= size
                or number > size
            ):
                return None
            counts = []
            for _ in range(number):
                place, at = _read_varint(body, at)
                age, at = _read_varint(body, at)
                value, at = _read_varint(body, at)
                if place >= size:
                    return None
                counts.append(((first + place) % ranks, ticks - age, value / SCALE))
            amounts = room / SCALE, total / SCALE, rights / SCALE
            rows.append(Row(customer, plan, first, size, reach, *amounts, tuple(counts)))
        return Message(sent, body[1] & 1 == 1, body[1] & 2 == 2, tuple(rows))
    except (IndexError, ValueError):
        return None
