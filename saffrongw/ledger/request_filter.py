"""Between the driver and its hosts: an attempt of an unsafe class is sent only once its intent is on the disk."""

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
from .entries import Event, Kind
from .store import now_us
from .writer import Writer

DIGEST_BYTES = 16
WHOLE_FIRST, WHOLE_MOST = (
    0.002,
    0.2,
)  # seconds between two looks whether a request's last byte has left
UP_WITHIN = 0.5  # seconds at the start for the ledger to open before clients are served


class _GatedHosts(UpstreamDecorator):
    """Sends to hosts, those of unsafe classes once they are written down."""

    def __init__(self, inner: Upstream, ledger: LedgerFilter) -> None:
        super().__init__(inner)
        self.ledger = ledger

    def send(self, attempt: UpstreamAttempt) -> None:
        """At once, or when the intent is durable."""
        if attempt.request.event.kind in self.ledger.kinds:
            self.ledger.intend(attempt, self.inner)
        else:
            super().send(attempt)


@dataclass(slots=True)
class _Entered:
    """A request whose first intent is on the disk: the life that it is written under, attempts that are recorded."""

    life: int
    ordinals: set[int] = field(default_factory=set)


class LedgerFilter(Observer):
    """Stage, observer and service in one: refuses while nothing can be written, gates sends, records what follows."""

    name = "ledger"
    fallback: Verdict = Reject()

    def __init__(
        self,
        folder: Path,
        kinds: frozenset[int],
        classes: Sequence[str],
        plans: Sequence[str],
        queue_most: int,
        keep: float,
        most: int,
        bodies: bool,
    ) -> None:
        self.folder, self.kinds, self.classes, self.plans = folder, kinds, classes, plans
        self.queue_most, self.keep, self.most, self.bodies = queue_most, keep, most, bodies
        self.entered: dict[int, _Entered] = {}  # requests with an intent
        self.writer: Writer | None = None

    async def start(self, driver: FilteringDriver) -> None:
        """Open the ledger; a gateway whose ledger can't be opened serves all but unsafe requests."""
        self.driver = driver
        self.writer = Writer(
            self.folder, asyncio.get_running_loop(), self.queue_most, self.keep, self.most
        )
        driver.wrap_upstream(lambda inner: _GatedHosts(inner, self))
        self.writer.start()
        for _ in range(int(UP_WITHIN / 0.01)):
            if self.writer.tried.is_set():
                break
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Write what waits."""
        await asyncio.get_running_loop().run_in_executor(None, self.writer.stop)

    # -- the stage ------------------------------------------------------------------------------------------------

    def on_request(self, request: FilteredRequest) -> Verdict:
        """Refused at once and harmlessly where it could not be written down; nothing was counted yet."""
        if request.terms.kind in self.kinds and not self.writer.ready:
            return Reject()
        return Continue()

    def on_end(self, request: FilteredRequest, ending: Ending) -> None:
        """Its answer is recorded by ``answered``; a client that left is seen by what its attempts came to."""

    # -- the gate -------------------------------------------------------------------------------------------------

    def intend(self, attempt: UpstreamAttempt, hosts: Upstream) -> None:
        """Write down, then send; what could not be written down is not sent."""
        call = attempt.request
        number, ordinal = call.event.request, attempt.index
        data = {
            "ordinal": ordinal,
            "host": attempt.endpoint_id.decode("utf-8", "replace"),
            "born": self._born(attempt),
        }
        entered = self.entered.get(number)
        if entered is None:
            data |= self._terms(call)
        # A store that was opened anew has begun a new life; what belongs to an entry stays with it.
        life = entered.life if entered else self.writer.life
        event = Event(life, number, Kind.INTENT, now_us(), data)

        def done(good: bool) -> None:
            if not good:
                self.driver.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
                return
            self.entered.setdefault(number, _Entered(life)).ordinals.add(ordinal)
            # Its time may have been up, or its client gone, before it was written.
            if attempt.is_ended or call.is_finished:
                self._follow(number, Kind.OUTCOME, ordinal=ordinal, outcome="never sent")
                if not attempt.is_ended:
                    self.driver.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
                if call.is_finished:
                    self._forget(call)
                return
            attempt.sent_at_us = self.driver.clock()  # the disk's time is not the host's
            hosts.send(attempt)
            self._whole(attempt, WHOLE_FIRST)

        if not self.writer.intend(event, done):
            asyncio.get_running_loop().call_soon(
                self.driver.attempt_ended, attempt, AttemptOutcome.NOT_SENT
            )

    def _whole(self, attempt: UpstreamAttempt, wait: float) -> None:
        """Record when the last byte has left: at once as a rule, else where a connection has to be opened first."""
        if attempt.is_fully_sent:
            if self._recorded(attempt):
                self._follow(attempt.request.event.request, Kind.WHOLE, ordinal=attempt.index)
        elif not attempt.is_ended:
            asyncio.get_running_loop().call_later(
                wait, self._whole, attempt, min(2 * wait, WHOLE_MOST)
            )

    def _born(self, attempt: UpstreamAttempt) -> int:
        host = self.driver.gateway.endpoints.by_id.get(attempt.endpoint_id)
        return host.entry.started_at_us if host else 0

    def _terms(self, call: ClientRequest) -> dict:
        event, parts = call.event, call.parts
        body = parts[5] if len(parts) > 5 else b""
        terms = {
            "customer": event.customer,
            "id": parts[2].decode("ascii", "replace"),
            "plan": self.plans[event.plan],
            "class": self.classes[event.kind],
            "bytes": len(body),
            "digest": blake2b(body, digest_size=DIGEST_BYTES).hexdigest(),
            "taken": now_us(),
        }
        return terms | {"body": body.hex()} if self.bodies else terms

    def _follow(self, number: int, kind: Kind, **data) -> None:
        self.writer.follow(Event(self.entered[number].life, number, kind, now_us(), data))

    def _recorded(self, attempt: UpstreamAttempt) -> bool:
        """Whether this attempt's intent is on the disk."""
        entered = self.entered.get(attempt.request.event.request)
        return entered is not None and attempt.index in entered.ordinals

    def _forget(self, call: ClientRequest, ending: UpstreamAttempt | None = None) -> None:
        """An answered call is kept no longer than the last of its attempts is out."""
        if all(a.is_ended or a is ending for a in call.attempts):
            self.entered.pop(call.event.request, None)

    # -- the observer -----------------------------------------------------------------------------------------------

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Recorded in a group: it delays nobody."""
        number = attempt.request.event.request
        if self._recorded(attempt):
            never = not attempt.is_fully_sent and outcome in (
                AttemptOutcome.TIMED_OUT,
                AttemptOutcome.CANCELLED,
            )
            # What was given up before its last byte had left has not run: hosts begin at the last byte.
            said = "not connected" if never else outcome.value
            self._follow(number, Kind.OUTCOME, ordinal=attempt.index, outcome=said)
            if attempt.request.is_finished:
                self._forget(attempt.request, ending=attempt)

    def answered(self, call: ClientRequest, reply: bytes) -> None:
        """The final answer is about to be written."""
        number = call.event.request
        if number in self.entered:
            kind = (
                "served"
                if reply[:1] == b"$"
                else "refused"
                if reply.startswith(b"-BUSY")
                else "failed"
            )
            self._follow(number, Kind.ANSWER, answer=kind)
            self._forget(call)
