"""Entries, which sum up the events of a request, and whether the request ran. Pure.

Times are Unix times in microseconds. The truth table is in ``docs/notes/ledger.md``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from . import events
from .events import EntryKey, Event, EventKind

# Outcomes of attempts that certainly did not run.
NOT_RUN_OUTCOMES = frozenset({"full", "not connected", "never sent"})
# The outcome of an attempt, and the answer to a client, after a good reply.
SERVED = "served"


class ExecutionStatus(Enum):
    """Whether a request ran; the values are stored and shown."""

    NEVER_SENT = "never sent"
    MAY_HAVE_RUN = "may have run"
    # An endpoint served it or lists it as issued; whether the client was answered is not known.
    RAN = "ran"
    # A good answer was about to be written to the client.
    ANSWERED = "answered"


@dataclass(slots=True)
class RecordedAttempt:
    """The recorded state of one attempt of a request."""

    ordinal: int
    endpoint: str
    # 0: long ago.
    endpoint_started_at_us: int
    intended_at_us: int
    # When its last byte was sent; 0: not known.
    fully_sent_at_us: int = 0
    # Empty: not known.
    outcome: str = ""
    ended_at_us: int = 0


@dataclass(slots=True)
class Entry:
    """The recorded state of one request."""

    incarnation: int
    request_number: int
    customer: int = 0
    client_request_id: str = ""
    plan: str = ""
    request_class: str = ""
    body_bytes: int = 0
    digest: str = ""
    # Empty unless ``bodies`` is set in the operator file.
    body_hex: str = ""
    received_at_us: int = 0
    attempts: dict[int, RecordedAttempt] = field(default_factory=dict)
    # Served, refused or failed; empty without a final answer.
    answer: str = ""
    answered_at_us: int = 0
    # The status that recovery recorded, if it did.
    classification: str = ""
    # The endpoint that lists it as issued, if one does.
    imported_from: str = ""

    @property
    def name(self) -> str:
        """Its name on the command line."""
        return f"{self.incarnation}-{self.request_number}"

    @property
    def key(self) -> EntryKey:
        """Its key in the ledger."""
        return EntryKey(self.incarnation, self.request_number)

    def apply(self, event: Event) -> None:
        """Add one event; events must be added in the order in which they were written."""
        match event.kind:
            case EventKind.INTENT:
                self._add_attempt(event)
            case EventKind.FULLY_SENT:
                if attempt := self.attempts.get(event.ordinal):
                    attempt.fully_sent_at_us = event.at_us
            case EventKind.OUTCOME:
                if attempt := self.attempts.get(event.ordinal):
                    attempt.outcome = event.outcome
                    attempt.ended_at_us = event.at_us
            case EventKind.ANSWER:
                self.answer = event.answer
                self.answered_at_us = event.at_us
            case EventKind.CLASSIFIED:
                self.classification = event.classification
            case EventKind.IMPORTED:
                self.imported_from = event.endpoint

    def _add_attempt(self, event: Event) -> None:
        request = event.request
        if request is not None:
            self.customer = request.customer
            self.client_request_id = request.client_request_id
            self.plan = request.plan
            self.request_class = request.request_class
            self.body_bytes = request.body_bytes
            self.digest = request.digest
            self.body_hex = request.body_hex or ""
            self.received_at_us = request.received_at_us
        self.attempts[event.ordinal] = RecordedAttempt(
            event.ordinal, event.endpoint, event.endpoint_started_at_us, event.at_us
        )

    @property
    def has_run(self) -> bool:
        """Whether an endpoint served it."""
        return self.answer == SERVED or any(
            attempt.outcome == SERVED for attempt in self.attempts.values()
        )

    @property
    def status(self) -> ExecutionStatus:
        """Whether it ran, according to the truth table."""
        if self.answer == SERVED:
            return ExecutionStatus.ANSWERED
        if self.has_run or self.imported_from:
            return ExecutionStatus.RAN
        if all(attempt.outcome in NOT_RUN_OUTCOMES for attempt in self.attempts.values()):
            return ExecutionStatus.NEVER_SENT
        return ExecutionStatus.MAY_HAVE_RUN

    @property
    def is_settled(self) -> bool:
        """Whether its status is final.

        A request that may have run stays unsettled until an endpoint's list names it.
        """
        is_known = self.status is not ExecutionStatus.MAY_HAVE_RUN
        return is_known and bool(self.answer or self.classification or self.imported_from)


def build_entries(found: Iterable[Event]) -> dict[EntryKey, Entry]:
    """Combine events into entries, by their keys."""
    entries: dict[EntryKey, Entry] = {}
    for event in found:
        key = event.key
        if key not in entries:
            entries[key] = Entry(*key)
        entries[key].apply(event)
    return entries


def classify_open(entries: Iterable[Entry], incarnation: int, now_us: int) -> list[Event]:
    """Return the events that classify the entries which older incarnations left open.

    Recovery only records: it sends no request again.
    """
    return [
        events.classified(entry.key, now_us, entry.status.value, incarnation)
        for entry in entries
        if entry.incarnation < incarnation and not entry.classification and not entry.answer
    ]
