"""The state of each certificate: its note, failures not yet stored, and the row for operators."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from . import renewal
from .certificate_store import CertificatePair, CertificateStore
from .documents import CertNote, DocumentError
from .loaded_certificates import LoadedCertificates
from .renewal import Alarm, CertificateState, RenewalRules
from .table import CertsTable, CertTable

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CertificateRow:
    """One certificate as operators see it; ``next_at`` is None if it is not renewed."""

    id: str
    names: tuple[str, ...]
    days_left: float | None
    issuer: str
    alarm: Alarm
    next_at: float | None
    failures: renewal.Failures
    ordering: bool


def spread_position(certificate_id: str) -> float:
    """Return a certificate's position in the renewal spread, 0 to 1.

    It is the same on each gateway and after each restart.
    """
    return random.Random(certificate_id).random()


def certificate_state(
    pair: CertificatePair | None, note: CertNote, position: float, names: tuple[str, ...]
) -> CertificateState:
    """Return the input of the renewal decisions about one certificate.

    Its renewal is due at once if it does not cover ``names``.
    """
    covers_all = pair is None or all(pair.facts.covers(name) for name in names)
    return CertificateState(
        start=pair.facts.start if pair else None,
        end=pair.facts.end if pair else None,
        window=note.window,
        failures=note.failures,
        draw=position,
        wanted=note.wanted or not covers_all,
    )


class CertificateStatus:
    """The most recently read notes of all certificates, and failures that could not be stored."""

    def __init__(
        self,
        table: CertsTable,
        store: CertificateStore,
        loaded: LoadedCertificates,
        now: Callable[[], float],
    ) -> None:
        """Start without notes; ``now`` returns Unix seconds."""
        self.table, self.store, self.loaded, self.now = table, store, loaded, now
        self.notes: dict[str, CertNote] = {}
        self.unsaved_failures: dict[str, renewal.Failures] = {}

    @property
    def rules(self) -> RenewalRules:
        """The renewal rules of the operator's table."""
        table = self.table.renewal
        return RenewalRules(table.lead, table.notice, table.warning, table.critical)

    def read_notes(self) -> dict[str, CertNote]:
        """Read the notes of all certificates; a malformed one is treated as empty. Blocks."""
        found = {}
        for certificate_id in {*self.store.ids(), *(entry.id for entry in self.table.certificate)}:
            try:
                found[certificate_id] = self.store.note(certificate_id)
            except DocumentError as error:
                log.warning("certs: malformed note: error=%s", error)
                found[certificate_id] = CertNote()
        return found

    def note(self, certificate_id: str) -> CertNote:
        """Return a certificate's last read note; empty if the table has named it only since."""
        return self.notes.get(certificate_id, CertNote())

    def state(self, entry: CertTable) -> CertificateState:
        """Return the state of a certificate of the table, including failures not yet stored."""
        note = self.note(entry.id)
        unsaved = self.unsaved_failures.get(entry.id)
        if unsaved and unsaved.at >= note.failures.at:
            note = replace(note, failures=unsaved)
        pair = self.loaded.pairs.get(entry.id)
        return certificate_state(pair, note, spread_position(entry.id), entry.names)

    def rows(self, ordering: frozenset[str] = frozenset()) -> list[CertificateRow]:
        """Return every certificate, the most urgent first.

        ``ordering`` has the identifiers of those being ordered.
        """
        now = self.now()
        managed = {entry.id: entry for entry in self.table.certificate}
        rows = [
            self._row(now, certificate_id, managed.get(certificate_id), certificate_id in ordering)
            for certificate_id in {*managed, *self.loaded.pairs}
        ]
        return sorted(
            rows, key=lambda row: (row.days_left is not None, row.days_left or 0.0, row.id)
        )

    def _row(
        self, now: float, certificate_id: str, entry: CertTable | None, is_ordering: bool
    ) -> CertificateRow:
        pair, note = self.loaded.pairs.get(certificate_id), self.note(certificate_id)
        names = entry.names if entry else note.names
        state = certificate_state(pair, note, spread_position(certificate_id), names)
        is_renewed = entry is not None and (not note.imported or state.wanted)
        return CertificateRow(
            id=certificate_id,
            names=pair.facts.names if pair else names,
            days_left=(pair.facts.end - now) / renewal.DAY if pair else None,
            issuer=pair.facts.issuer if pair else "",
            alarm=renewal.alarm(now, state, self.rules),
            next_at=renewal.next_attempt_at(now, state, self.rules) if is_renewed else None,
            failures=note.failures,
            ordering=is_ordering,
        )
