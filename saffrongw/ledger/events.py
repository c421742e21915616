"""Events of the ledger and their stored form: rows with a checksum and JSON data. Pure.

Only this module knows the names inside stored rows. Times are Unix times in microseconds.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

CHECKSUM_BYTES = 8


class EventKind(Enum):
    """The kinds of events; the values are stored."""

    # An attempt is about to be sent; the first intent of a request also describes the request.
    INTENT = "intent"
    # The last byte of an attempt has been sent.
    FULLY_SENT = "whole"
    # An attempt has ended.
    OUTCOME = "outcome"
    # The final answer to the client.
    ANSWER = "answer"
    # An endpoint's own list names the request as issued.
    IMPORTED = "imported"
    # A later incarnation has classified the entry as it began.
    CLASSIFIED = "classed"


class DamagedRowError(Exception):
    """A stored row differs from what was written; the message names the row."""


class EntryKey(NamedTuple):
    """Identifies a request: the incarnation of the gateway and the request's number in it.

    Each opening of the store begins an incarnation.
    """

    incarnation: int
    request_number: int


class EventRow(NamedTuple):
    """A row of the events table, in the order of its columns."""

    sequence: int
    incarnation: int
    request_number: int
    kind: str
    at_us: int
    data: str
    checksum: bytes


@dataclass(frozen=True, slots=True)
class Event:
    """One event of an entry; ``data`` has other keys for each kind of event."""

    incarnation: int
    request_number: int
    kind: EventKind
    at_us: int
    data: Mapping[str, Any]

    @property
    def key(self) -> EntryKey:
        """The entry that it belongs to."""
        return EntryKey(self.incarnation, self.request_number)

    @property
    def ordinal(self) -> int:
        """The number of the attempt, from 0; for intents, last bytes and outcomes."""
        return int(self.data["ordinal"])

    @property
    def endpoint(self) -> str:
        """The endpoint of an intent or of an import."""
        return str(self.data["host"])

    @property
    def endpoint_started_at_us(self) -> int:
        """When the endpoint of an intent started; 0 for long ago."""
        return int(self.data["born"])

    @property
    def outcome(self) -> str:
        """The outcome of an attempt."""
        return str(self.data["outcome"])

    @property
    def answer(self) -> str:
        """The final answer: served, refused or failed."""
        return str(self.data["answer"])

    @property
    def classification(self) -> str:
        """The execution status that recovery recorded."""
        return str(self.data["meaning"])

    @property
    def request(self) -> RecordedRequest | None:
        """The request as the first intent of its entry describes it; None in later intents."""
        data = self.data
        if "customer" not in data:
            return None
        return RecordedRequest(
            customer=int(data["customer"]),
            client_request_id=str(data["id"]),
            plan=str(data["plan"]),
            request_class=str(data["class"]),
            body_bytes=int(data["bytes"]),
            digest=str(data["digest"]),
            body_hex=str(data["body"]) if "body" in data else None,
            received_at_us=int(data["taken"]),
        )

    def to_json(self) -> str:
        """Return the data as it is stored."""
        return json.dumps(self.data, sort_keys=True, separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class RecordedRequest:
    """The recorded properties of a request."""

    customer: int
    client_request_id: str
    plan: str
    request_class: str
    body_bytes: int
    # Hex digits of a BLAKE2b digest of the body.
    digest: str
    # Hex digits; None where bodies are not recorded.
    body_hex: str | None
    received_at_us: int

    def to_data(self) -> dict[str, Any]:
        """Return the part of an intent's data that describes the request."""
        data = {
            "customer": self.customer,
            "id": self.client_request_id,
            "plan": self.plan,
            "class": self.request_class,
            "bytes": self.body_bytes,
            "digest": self.digest,
            "taken": self.received_at_us,
        }
        return data if self.body_hex is None else data | {"body": self.body_hex}


def intent(
    key: EntryKey,
    at_us: int,
    ordinal: int,
    endpoint: str,
    endpoint_started_at_us: int,
    request: RecordedRequest | None = None,
) -> Event:
    """Return the event that an attempt is about to be sent.

    Only the first one of an entry has ``request``.
    """
    data = {"ordinal": ordinal, "host": endpoint, "born": endpoint_started_at_us}
    if request is not None:
        data |= request.to_data()
    return Event(*key, EventKind.INTENT, at_us, data)


def fully_sent(key: EntryKey, at_us: int, ordinal: int) -> Event:
    """Return the event that the last byte of an attempt has been sent."""
    return Event(*key, EventKind.FULLY_SENT, at_us, {"ordinal": ordinal})


def outcome(key: EntryKey, at_us: int, ordinal: int, text: str) -> Event:
    """Return the event that an attempt has ended."""
    return Event(*key, EventKind.OUTCOME, at_us, {"ordinal": ordinal, "outcome": text})


def answer(key: EntryKey, at_us: int, text: str) -> Event:
    """Return the event that the client gets its final answer."""
    return Event(*key, EventKind.ANSWER, at_us, {"answer": text})


def imported(key: EntryKey, at_us: int, endpoint: str, issued_at_us: int) -> Event:
    """Return the event that an endpoint's list names the request as issued."""
    return Event(*key, EventKind.IMPORTED, at_us, {"host": endpoint, "issued": issued_at_us})


def classified(key: EntryKey, at_us: int, status: str, by_incarnation: int) -> Event:
    """Return the event that a later incarnation has classified the entry."""
    return Event(*key, EventKind.CLASSIFIED, at_us, {"meaning": status, "by": by_incarnation})


def checksum(incarnation: int, request_number: int, kind: str, at_us: int, data: str) -> bytes:
    """Return the checksum of a row, over all columns but the sequence."""
    text = f"{incarnation}|{request_number}|{kind}|{at_us}|{data}"
    return blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()


def to_columns(event: Event) -> tuple[int, int, str, int, str, bytes]:
    """Return an event as the columns of a new row; the database assigns its sequence."""
    columns = (
        event.incarnation,
        event.request_number,
        event.kind.value,
        event.at_us,
        event.to_json(),
    )
    return (*columns, checksum(*columns))


def parse_row(row: EventRow) -> Event:
    """Return the event of a stored row; raise ``DamagedRowError`` where the row is damaged."""
    try:
        expected = checksum(row.incarnation, row.request_number, row.kind, row.at_us, row.data)
        if expected != row.checksum:
            raise DamagedRowError(f"row {row.sequence}: its checksum does not fit")
        return Event(
            row.incarnation,
            row.request_number,
            EventKind(row.kind),
            row.at_us,
            json.loads(row.data),
        )
    except (ValueError, TypeError, AttributeError):
        raise DamagedRowError(f"row {row.sequence}: it can't be read") from None


def to_inbox_line(event: Event) -> str:
    """Return an imported event as a line of a file in the inbox."""
    key = {"life": event.incarnation, "number": event.request_number}
    return json.dumps({**key, **event.data})


@dataclass(frozen=True, slots=True)
class InboxLine:
    """A parsed line of a file in the inbox.

    Reading a missing or malformed value raises one of ``INBOX_ERRORS``.
    """

    raw: dict[str, Any]

    @property
    def key(self) -> EntryKey:
        """The entry that it belongs to."""
        return EntryKey(int(self.raw["life"]), int(self.raw["number"]))

    @property
    def endpoint(self) -> str:
        """The endpoint whose list names the request."""
        return self.raw["host"]

    def to_event(self, at_us: int) -> Event:
        """Return the imported event."""
        return imported(self.key, at_us, str(self.endpoint), int(self.raw["issued"]))


# What parsing a malformed inbox line raises.
INBOX_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
