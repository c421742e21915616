"""The messages of the hand-over channel: their names on the wire, their limits and their codec.

Two versions of the program speak this protocol with each other, so no name, order or limit in this
module may change. A packet is a JSON list: the message's kind, then its values. File descriptors
are sent along with it (``SCM_RIGHTS``). ``policy/state_transfer.py`` defines the state rows.
"""

from __future__ import annotations

import contextlib
import json
import logging
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import NamedTuple

from ...policy import state_transfer
from ...policy.events import EndpointEntry, EndpointId, EndpointState
from ..config import Address, DiscoveredEndpoint
from ..recent_requests import RememberedRequest

log = logging.getLogger(__name__)

Message = list  # of JSON values, the kind first

MAX_PACKET_BYTES = 32 * 1024
# Descriptors that are sent with one packet.
MAX_PACKET_FDS = 2
# Rows in one packet, fewer if they are long.
MAX_PACKET_ROWS = 24
# Size of a packet of rows without the rows: its kind and brackets.
ROWS_OVERHEAD_BYTES = 64
# Bytes of a partial command in one packet: escaped in JSON, they can become six times as long.
PARTIAL_COMMAND_CHUNK_BYTES = 4 * 1024
# A client waits no longer for a reply.
MAX_WAITED_US = 3_600_000_000


class MessageKind(StrEnum):
    """The first value of each message, as it is sent on the wire."""

    # From the running process: its listener, and its gossip socket if it has one.
    SOCKETS = "sockets"
    # From the running process: rows of its endpoint list.
    ENDPOINTS = "listed"
    # From the running process: rows of the policy's state.
    STATE_ROWS = "rows"
    # From the running process: all that the successor needs to prepare has been sent.
    GREETED = "greeted"
    # From the successor: it is ready to serve.
    READY = "ready"
    # From the running process: the successor serves from now on.
    GO = "go"
    # From the running process: another successor has connected; this one must not serve.
    REPLACED = "replaced"
    # From the running process: a client's idle connection, how many bytes of its commands follow,
    # and for how long (us) these have waited. Versions without the last of these ignore it.
    CLIENT = "client"
    # From the running process: the next bytes of that partial command.
    PARTIAL_COMMAND = "begun"
    # From the running process: an idle connection to an endpoint.
    UPSTREAM = "host"
    # From either: an operator has excluded an endpoint or readmitted it.
    EXCLUSION = "exclusion"
    # From either: an operator has started draining or ended it.
    QUIESCED = "quiesced"
    # From the running process: requests that may have run. A version without it logs and skips it.
    RECENT_REQUESTS = "recent"


class MalformedMessageError(ValueError):
    """A packet, or a value in it, that no version of the program sends."""


class Exclusion(NamedTuple):
    """An operator's exclusion or readmission of one endpoint."""

    endpoint_id: EndpointId
    excluded: bool


class UpstreamConnectionOffer(NamedTuple):
    """The endpoint to which a handed-over connection leads, and when that endpoint started (us)."""

    endpoint_id: EndpointId
    started_at_us: int


@contextlib.contextmanager
def _decoding(kind: str) -> Iterator[None]:
    """Raise ``MalformedMessageError`` with the message's kind if a value can't be converted."""
    try:
        yield
    except (ValueError, LookupError, TypeError) as error:
        raise MalformedMessageError(f"{kind}: {error!r}") from error


def encode(message: Iterable[object]) -> bytes:
    """Encode one message as a packet."""
    return json.dumps(tuple(message), separators=(",", ":")).encode()


def decode(packet: bytes) -> Message:
    """Decode a packet; raises ``MalformedMessageError`` if it is no list starting with a kind."""
    try:
        message = json.loads(packet)
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f"not JSON: {error!r}") from error
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise MalformedMessageError("the packet is not a list that starts with a kind")
    return message


def decode_rows(message: Message) -> list[list]:
    """Return the rows of a message."""
    with _decoding(message[0]):
        return list(message[1])


def decode_length(message: Message) -> int:
    """Return how many bytes of a partial command follow a client's connection."""
    with _decoding(message[0]):
        return int(message[1])


def decode_waited_us(message: Message) -> int:
    """Return for how long the commands that follow a client's connection have waited."""
    with _decoding(message[0]):
        waited_us = int(message[2]) if len(message) > 2 else 0
    return min(max(0, waited_us), MAX_WAITED_US)


def encode_bytes(data: bytes) -> str:
    """Encode bytes as text, as JSON has no bytes."""
    return data.decode("latin-1")


def decode_bytes(message: Message) -> bytes:
    """Decode the bytes that a message carries as text."""
    with _decoding(message[0]):
        if not isinstance(message[1], str):
            raise TypeError(f"not a text: {message[1]!r:.80}")
        return message[1].encode("latin-1")


def decode_upstream(message: Message) -> UpstreamConnectionOffer:
    """Decode the endpoint to which a handed-over upstream connection leads."""
    with _decoding(message[0]):
        return UpstreamConnectionOffer(
            state_transfer.endpoint_id_from_text(message[1]), int(message[2])
        )


def decode_exclusion(message: Message) -> Exclusion:
    """Decode an operator's exclusion or readmission of one endpoint."""
    with _decoding(message[0]):
        if not isinstance(message[1], str):
            raise TypeError(f"not an endpoint id: {message[1]!r:.80}")
        return Exclusion(state_transfer.endpoint_id_from_text(message[1]), bool(message[2]))


def decode_quiesced(message: Message) -> bool:
    """Decode whether the other process drains."""
    with _decoding(message[0]):
        return bool(message[1])


def encode_endpoint(entry: EndpointEntry, started_at_us: int, address: Address) -> list:
    """Encode an endpoint as a row; ``started_at_us`` is that of the incarnation connected to."""
    return [
        state_transfer.endpoint_id_to_text(entry.endpoint_id),
        entry.state.value,
        entry.zone,
        entry.cell,
        started_at_us,
        entry.size,
        *address,
    ]


def decode_endpoint(row: list) -> DiscoveredEndpoint:
    """Decode the endpoint of a row; raises ``MalformedMessageError`` if the row is malformed."""
    with _decoding(MessageKind.ENDPOINTS):
        endpoint_id, state, zone, cell, started_at_us, size, host, port = row
        entry = EndpointEntry(
            state_transfer.endpoint_id_from_text(str(endpoint_id)),
            EndpointState(state),
            int(zone),
            int(cell),
            int(started_at_us),
            float(size),
        )
        return DiscoveredEndpoint(entry, (str(host), int(port)))


def encode_remembered(remembered: RememberedRequest) -> list:
    """Encode a request that may have run as a row."""
    customer, request_id, time_left_us = remembered
    return [encode_bytes(customer), encode_bytes(request_id), time_left_us]


def decode_remembered(row: list) -> RememberedRequest:
    """Decode a request of a row; raises ``MalformedMessageError`` if the row is malformed."""
    with _decoding(MessageKind.RECENT_REQUESTS):
        customer, request_id, time_left_us = row
        return RememberedRequest(
            str(customer).encode("latin-1"), str(request_id).encode("latin-1"), int(time_left_us)
        )


def pack_rows(rows: Iterable[list]) -> list[list[list]]:
    """Group rows so that each group fits a packet; a row that is too long is logged and omitted."""
    groups: list[list[list]] = []
    group: list[list] = []
    group_bytes = 0
    max_bytes = MAX_PACKET_BYTES - ROWS_OVERHEAD_BYTES
    for row in rows:
        row_bytes = len(json.dumps(row, separators=(",", ":"))) + 1
        if row_bytes > max_bytes:
            log.warning("hot_restart: row left out: bytes=%d max=%d", row_bytes, max_bytes)
            continue
        if group and (len(group) >= MAX_PACKET_ROWS or group_bytes + row_bytes > max_bytes):
            groups.append(group)
            group, group_bytes = [], 0
        group.append(row)
        group_bytes += row_bytes
    if group:
        groups.append(group)
    return groups
