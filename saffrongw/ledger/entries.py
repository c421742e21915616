"""What is known of a request from its events, and what that means after a crash. Pure.

Times in microseconds of Unix time. The truth table stands in ``docs/notes/ledger.md``.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any

NOT_RUN = {
    "full",
    "not connected",
    "never sent",
}  # outcomes after which an attempt has certainly not run
SUM_BYTES = 8


class Meaning(Enum):
    """What an entry says of its request."""

    NEVER_SENT = "never sent"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"  # a good answer was seen; whether the client got it is not known
    ANSWERED = "answered"  # a good answer was on its way to the client


class Kind(Enum):
    """Events of an entry."""

    INTENT = "intent"  # an attempt is about to be sent; the first holds the request's terms
    WHOLE = "whole"  # its last byte has left
    OUTCOME = "outcome"
    ANSWER = "answer"  # the final answer
    IMPORTED = "imported"  # a host's own list says so
    CLASSED = "classed"  # by recovery after the life that it belongs to


class DamageError(Exception):
    """A row that is not what was written; it names which."""


@dataclass(frozen=True, slots=True)
class Event:
    """One row: life and number name the request, data hangs on the kind."""

    life: int
    number: int
    kind: Kind
    at: int
    data: Mapping[str, Any]

    def text(self) -> str:
        """The data as it is stored."""
        return json.dumps(self.data, sort_keys=True, separators=(",", ":"))


def checksum(life: int, number: int, kind: str, at: int, text: str) -> bytes:
    """Of one row: a bit that flipped in any of it shows."""
    return blake2b(f"{life}|{number}|{kind}|{at}|{text}".encode(), digest_size=SUM_BYTES).digest()


def read(seq: int, life: int, number: int, kind: str, at: int, text: str, total: bytes) -> Event:
    """A stored row; ``DamageError`` where it is not what was written."""
    try:
        if checksum(life, number, kind, at, text) != total:
            raise DamageError(f"row {seq}: its checksum does not fit")
        return Event(life, number, Kind(kind), at, json.loads(text))
    except (ValueError, TypeError, AttributeError):
        raise DamageError(f"row {seq}: it can't be read") from None


@dataclass(slots=True)
class Try:
    """One attempt."""

    ordinal: int
    host: str
    born: int  # us; 0 for long ago
    intended: int
    whole: int = 0  # when its last byte left; 0: not known
    outcome: str = ""
    ended: int = 0


@dataclass(slots=True)
class Entry:
    """One request."""

    life: int
    number: int
    customer: int = 0
    client_id: str = ""
    plan: str = ""
    cls: str = ""
    body_bytes: int = 0
    digest: str = ""
    body: str = ""  # hex, only where the operators ask for it
    taken: int = 0
    tries: dict[int, Try] = field(default_factory=dict)
    answer: str = ""  # served, refused, failed
    answered: int = 0
    classed: str = ""
    imported: str = ""  # the host that lists it as issued

    @property
    def name(self) -> str:
        """How it is called on the command line."""
        return f"{self.life}-{self.number}"

    def add(self, event: Event) -> None:
        """One more event, in the order in which they were written."""
        data = event.data
        if event.kind is Kind.INTENT:
            if "customer" in data:
                self.customer, self.client_id = int(data["customer"]), str(data["id"])
                self.plan, self.cls = str(data["plan"]), str(data["class"])
                self.body_bytes, self.digest = int(data["bytes"]), str(data["digest"])
                self.body, self.taken = str(data.get("body", "")), int(data["taken"])
            ordinal = int(data["ordinal"])
            self.tries[ordinal] = Try(ordinal, str(data["host"]), int(data["born"]), event.at)
        elif event.kind in (Kind.WHOLE, Kind.OUTCOME):
            one = self.tries.get(int(data["ordinal"]))
            if one is None:
                return
            if event.kind is Kind.WHOLE:
                one.whole = event.at
            else:
                one.outcome, one.ended = str(data["outcome"]), event.at
        elif event.kind is Kind.ANSWER:
            self.answer, self.answered = str(data["answer"]), event.at
        elif event.kind is Kind.CLASSED:
            self.classed = str(data["meaning"])
        elif event.kind is Kind.IMPORTED:
            self.imported = str(data["host"])

    @property
    def ran(self) -> bool:
        """Whether a good answer was seen."""
        return self.answer == "served" or any(t.outcome == "served" for t in self.tries.values())

    @property
    def meaning(self) -> Meaning:
        """By the truth table."""
        if self.answer == "served":
            return Meaning.ANSWERED
        if self.ran or self.imported:
            return Meaning.RAN
        if all(t.outcome in NOT_RUN for t in self.tries.values()):
            return Meaning.NEVER_SENT
        return Meaning.MAY_HAVE_RUN

    @property
    def settled(self) -> bool:
        """Whether nothing is left to find out: what may have run is open until a host's list says."""
        return self.meaning is not Meaning.MAY_HAVE_RUN and bool(
            self.answer or self.classed or self.imported
        )


def entries_of(events: Iterable[Event]) -> dict[tuple[int, int], Entry]:
    """Entries by life and number."""
    found: dict[tuple[int, int], Entry] = {}
    for event in events:
        key = event.life, event.number
        if key not in found:
            found[key] = Entry(*key)
        found[key].add(event)
    return found


def recover(entries: Iterable[Entry], life: int, now: int) -> list[Event]:
    """What a new life writes of the entries of older ones that were left open. It sends nothing."""
    return [
        Event(
            entry.life,
            entry.number,
            Kind.CLASSED,
            now,
            {"meaning": entry.meaning.value, "by": life},
        )
        for entry in entries
        if entry.life < life and not entry.classed and not entry.answer
    ]


def explain(entry: Entry, when) -> str:
    """What is known, what is not and why, in sentences; ``when`` turns a time into text."""
    said = [
        f"Request {entry.client_id} of customer {entry.customer:016x} ({entry.plan}, {entry.cls}) was taken "
        f"at {when(entry.taken)} in life {entry.life}."
    ]
    for one in entry.tries.values():
        text = f"Attempt {one.ordinal + 1} to {one.host} was written down at {when(one.intended)}"
        if one.outcome:
            text += f" and ended {one.outcome} at {when(one.ended)}"
            if one.outcome in NOT_RUN:
                text += ", so it did not run"
            elif one.outcome != "served":
                text += ", so it may have run"
        else:
            text += (
                "; the gateway ended before it knew more, so it may have been sent and may have run"
            )
        said.append(text + ".")
    answers = {
        Meaning.ANSWERED: f"Its good answer was given to the client at {when(entry.answered)}: it ran, once.",
        Meaning.RAN: "A good answer was seen: it ran, once. Whether the client got the answer is not known.",
        Meaning.NEVER_SENT: "Nothing of it ran: it is safe to ask again.",
        Meaning.MAY_HAVE_RUN: "Whether it ran is not known here: import the host's list of issued reports to tell.",
    }
    if entry.imported:
        said.append(f"The list of {entry.imported} says that it was issued.")
    if entry.answer and entry.answer != "served":
        said.append(
            f"The client was told that it {'was refused' if entry.answer == 'refused' else 'failed'}."
        )
    said.append(answers[entry.meaning])
    return " ".join(said)
