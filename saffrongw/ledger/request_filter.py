"""Delays attempts of non-idempotent requests until a record of them is durable.

The request filter rejects such requests while the ledger can't be written to, a decorator of the
upstream delays their attempts, and the observer records outcomes and replies.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from pathlib import Path

from saffrongw.gateway.extensions import (
    Continue,
    Ending,
    FilteredRequest,
    Observer,
    Reject,
    Verdict,
)
from saffrongw.gateway.filtering_driver import FilteringDriver
from saffrongw.gateway.observers import UpstreamDecorator
from saffrongw.gateway.request_types import ClientRequest, Upstream, UpstreamAttempt

from ..policy.events import AttemptOutcome
from . import events
from .entries import SERVED
from .events import EntryKey, RecordedRequest
from .schema import now_us
from .writer import LedgerWriter

DIGEST_BYTES = 16
# Backoff between two looks whether the last byte of an attempt was sent.
MIN_SENT_POLL_S = 0.002
MAX_SENT_POLL_S = 0.2
# How long the gateway's start waits for the ledger to open before clients are served.
OPEN_TIMEOUT_S = 0.5
OPEN_POLL_S = 0.01
# Indexes into ``ClientRequest.parts``; not every request has a body.
BODY_PART = 5
CLIENT_REQUEST_ID_PART = 2

# Outcomes of attempts and answers to clients, as they are stored.
NEVER_SENT = "never sent"
NOT_CONNECTED = "not connected"
REFUSED = "refused"
FAILED = "failed"


class _RecordingUpstream(UpstreamDecorator):
    """Sends attempts upstream, those of recorded classes once their record is durable."""

    def __init__(self, inner: Upstream, ledger: LedgerFilter) -> None:
        super().__init__(inner)
        self.ledger = ledger

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt at once, or when its record is durable."""
        if attempt.request.event.kind in self.ledger.request_classes:
            self.ledger.record_and_send(attempt, self.inner)
        else:
            super().send(attempt)


@dataclass(slots=True)
class _RecordedEntry:
    """The entry of a request with a durable record, and the numbers of its recorded attempts."""

    key: EntryKey
    ordinals: set[int] = field(default_factory=set)


class LedgerFilter(Observer):
    """Request filter, observer and service that keep a ledger of some request classes."""

    name = "ledger"
    fallback: Verdict = Reject()

    driver: FilteringDriver
    writer: LedgerWriter

    def __init__(
        self,
        folder: Path,
        request_classes: frozenset[int],
        class_names: Sequence[str],
        plan_names: Sequence[str],
        max_pending: int,
        retention_s: float,
        max_bytes: int,
        with_bodies: bool,
    ) -> None:
        """Keep the settings; ``start`` opens the ledger. ``LedgerWriter`` explains the limits."""
        self.folder = folder
        self.request_classes = request_classes
        self.class_names = class_names
        self.plan_names = plan_names
        self.max_pending = max_pending
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        self.with_bodies = with_bodies
        # By request number.
        self.entries: dict[int, _RecordedEntry] = {}

    # -- the service --

    async def start(self, driver: FilteringDriver) -> None:
        """Open the ledger; if that fails, the gateway still serves the classes not recorded."""
        self.driver = driver
        self.writer = LedgerWriter(
            self.folder,
            asyncio.get_running_loop(),
            self.max_pending,
            self.retention_s,
            self.max_bytes,
        )
        driver.wrap_upstream(lambda inner: _RecordingUpstream(inner, self))
        self.writer.start()
        for _ in range(int(OPEN_TIMEOUT_S / OPEN_POLL_S)):
            if self.writer.first_open_done.is_set():
                break
            await asyncio.sleep(OPEN_POLL_S)

    async def stop(self) -> None:
        """Write the queued events and close the ledger."""
        await asyncio.get_running_loop().run_in_executor(None, self.writer.stop)

    # -- the request filter --

    def on_request(self, request: FilteredRequest) -> Verdict:
        """Reject a request that can't be recorded now, before it takes units from a quota."""
        if request.terms.kind in self.request_classes and not self.writer.is_ready:
            return Reject()
        return Continue()

    def on_end(self, request: FilteredRequest, ending: Ending) -> None:
        """Do nothing.

        ``answered`` records the answer; ``attempt_ended`` records the outcomes of attempts, also
        after the client has disconnected.
        """

    # -- attempts --

    def record_and_send(self, attempt: UpstreamAttempt, upstream: Upstream) -> None:
        """Record an attempt, then send it; it is not sent if it can't be recorded."""
        call = attempt.request
        number = call.event.request
        entry = self.entries.get(number)
        # Reopening the store begins a new incarnation; later attempts of a request keep the
        # incarnation of its first, so that all of its events are in one entry.
        key = entry.key if entry else EntryKey(self.writer.incarnation, number)
        endpoint_started_at_us = self._endpoint_started_at_us(attempt)
        request = None if entry else self._recorded_request(call)
        event = events.intent(
            key,
            now_us(),
            attempt.index,
            attempt.endpoint_id.decode("utf-8", "replace"),
            endpoint_started_at_us,
            request,
        )

        def callback(is_durable: bool) -> None:
            if is_durable:
                self._send(attempt, upstream, key)
            else:
                self.driver.attempt_ended(attempt, AttemptOutcome.NOT_SENT)

        if not self.writer.write_intent(event, callback):
            asyncio.get_running_loop().call_soon(
                self.driver.attempt_ended, attempt, AttemptOutcome.NOT_SENT
            )

    def _send(self, attempt: UpstreamAttempt, upstream: Upstream, key: EntryKey) -> None:
        """Send an attempt whose record is durable, unless it has ended meanwhile."""
        call = attempt.request
        entry = self.entries.setdefault(key.request_number, _RecordedEntry(key))
        entry.ordinals.add(attempt.index)
        # It may have timed out, or its client disconnected, while the record was written.
        if attempt.is_ended or call.is_finished:
            self.writer.record(events.outcome(entry.key, now_us(), attempt.index, NEVER_SENT))
            if not attempt.is_ended:
                self.driver.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
            if call.is_finished:
                self._drop_entry(call)
            return
        # So that the endpoint's latency does not include the time to write the record.
        attempt.sent_at_us = self.driver.clock()
        upstream.send(attempt)
        self._record_fully_sent(attempt, MIN_SENT_POLL_S)

    def _record_fully_sent(self, attempt: UpstreamAttempt, poll_s: float) -> None:
        """Record that the last byte was sent, or look again later.

        It is usually sent at once, but later where a connection has to be opened first.
        """
        if attempt.is_fully_sent:
            entry = self._find_entry(attempt)
            if entry:
                self.writer.record(events.fully_sent(entry.key, now_us(), attempt.index))
        elif not attempt.is_ended:
            next_poll_s = min(2 * poll_s, MAX_SENT_POLL_S)
            asyncio.get_running_loop().call_later(
                poll_s, self._record_fully_sent, attempt, next_poll_s
            )

    def _endpoint_started_at_us(self, attempt: UpstreamAttempt) -> int:
        endpoint = self.driver.gateway.endpoints.by_id.get(attempt.endpoint_id)
        return endpoint.entry.started_at_us if endpoint else 0

    def _recorded_request(self, call: ClientRequest) -> RecordedRequest:
        event, parts = call.event, call.parts
        body = parts[BODY_PART] if len(parts) > BODY_PART else b""
        return RecordedRequest(
            customer=event.customer,
            client_request_id=parts[CLIENT_REQUEST_ID_PART].decode("ascii", "replace"),
            plan=self.plan_names[event.plan],
            request_class=self.class_names[event.kind],
            body_bytes=len(body),
            digest=blake2b(body, digest_size=DIGEST_BYTES).hexdigest(),
            body_hex=body.hex() if self.with_bodies else None,
            received_at_us=now_us(),
        )

    def _find_entry(self, attempt: UpstreamAttempt) -> _RecordedEntry | None:
        """Return the entry of an attempt; None where the attempt has no durable record."""
        entry = self.entries.get(attempt.request.event.request)
        return entry if entry is not None and attempt.index in entry.ordinals else None

    def _drop_entry(self, call: ClientRequest, ending: UpstreamAttempt | None = None) -> None:
        """Forget the entry of a finished request once its last attempt has ended.

        ``ending`` is an attempt that is ending now.
        """
        if all(attempt.is_ended or attempt is ending for attempt in call.attempts):
            self.entries.pop(call.event.request, None)

    # -- the observer --

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Record the outcome of a recorded attempt, without waiting until it is durable."""
        entry = self._find_entry(attempt)
        if entry is None:
            return
        # An attempt that ended before its last byte was sent has not run: endpoints execute a
        # request only once they have all of it.
        has_not_run = not attempt.is_fully_sent and outcome in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CANCELLED,
        )
        text = NOT_CONNECTED if has_not_run else outcome.value
        self.writer.record(events.outcome(entry.key, now_us(), attempt.index, text))
        if attempt.request.is_finished:
            self._drop_entry(attempt.request, ending=attempt)

    def answered(self, call: ClientRequest, reply: bytes) -> None:
        """Record the final answer, just before it is written to the client."""
        entry = self.entries.get(call.event.request)
        if entry is None:
            return
        self.writer.record(events.answer(entry.key, now_us(), _answer_text(reply)))
        self._drop_entry(call)


def _answer_text(reply: bytes) -> str:
    if reply[:1] == b"$":
        return SERVED
    return REFUSED if reply.startswith(b"-BUSY") else FAILED
