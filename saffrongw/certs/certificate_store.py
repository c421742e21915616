"""Stores the certificates of a site in its shared folder: versions, pending keys and notes.

    certs/ID/note.json          order, failures, renewal window (``documents.py``)
    certs/ID/pending.key        the key of the order in progress
    certs/ID/current            the name of the version in service
    certs/ID/FINGERPRINT/       cert.pem and key.pem of one version
    news                        changes whenever a certificate is installed

``CertificateSite`` holds all stores of one folder.
"""

from __future__ import annotations

import re
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from saffrongw.gateway.extensions import LeaderGuard

from . import chain, documents
from .account_store import AccountStore
from .challenge_store import ChallengeStore
from .documents import CertNote, DocumentError
from .lease import LeaseTerms
from .ordering_lease import OrderingLease, OrderingTerm
from .shared_folder import SharedFolder, StoreError, store_error

# Versions kept of each certificate, including the current one.
MAX_VERSIONS = 3
_ID = re.compile(r"[a-z0-9*_][a-z0-9.\-*_]{0,120}")
_VERSION = re.compile(r"[0-9a-f]{32}")


@dataclass(frozen=True, slots=True)
class CertificatePair:
    """A certificate that may serve.

    The files of certificate and key, and what the certificate says.
    """

    id: str
    cert: Path
    key: Path
    facts: chain.CertificateFacts


class CertificateStore:
    """Reads and installs the certificates of a shared folder."""

    def __init__(
        self, folder: SharedFolder, lease: OrderingLease, now: Callable[[], float]
    ) -> None:
        """Use the certificates of a shared folder; ``now`` returns Unix seconds."""
        self.folder, self.lease, self.now = folder, lease, now
        self.path = folder.path / "certs"

    def ids(self) -> list[str]:
        """Return the identifiers of all certificates in the folder."""
        try:
            return sorted(
                path.name
                for path in self.path.iterdir()
                if _ID.fullmatch(path.name) and path.is_dir()
            )
        except OSError as error:
            raise store_error(error, self.path) from None

    def note(self, certificate_id: str) -> CertNote:
        """Return the note of a certificate; ``DocumentError`` if it is malformed."""
        path = self._directory(certificate_id) / "note.json"
        raw = self.folder.read(path)
        return CertNote() if raw is None else documents.cert(raw, str(path))

    def amend(
        self,
        certificate_id: str,
        change: Callable[[CertNote], CertNote],
        term: OrderingTerm | None,
    ) -> None:
        """Change the note of a certificate durably.

        The note is read and written under one lock, so that concurrent changes by an operator and
        an order do not overwrite each other. A malformed note is replaced.
        """
        with self.lease.guarded(term):
            try:
                note = self.note(certificate_id)
            except DocumentError:
                note = CertNote()
            self._write_note(certificate_id, change(note))

    def request_renewal(self, certificate_id: str) -> None:
        """Make a renewal due now, at an operator's request."""

        def request(note: CertNote) -> CertNote:
            failures = replace(note.failures, next_at=0.0, forced=False)
            return replace(note, wanted=True, failures=failures)

        self.amend(certificate_id, request, None)

    def pending_key(self, certificate_id: str, kind: str, term: OrderingTerm | None) -> bytes:
        """Return the key for the order in progress; a new one is stored before it is used."""
        path = self._directory(certificate_id) / "pending.key"
        found = self.folder.read(path)
        if found is not None and _is_key(found):
            return found
        created = chain.new_key(kind)
        with self.lease.guarded(term):
            self.folder.make_directory(self._directory(certificate_id))
            self.folder.write(path, created)
        return created

    def drop_pending_key(self, certificate_id: str, term: OrderingTerm | None) -> None:
        """Delete the pending key because it was rejected, or is the key in service."""
        with self.lease.guarded(term):
            self._remove_pending_key(certificate_id)

    def install(
        self,
        certificate_id: str,
        cert: bytes,
        key: bytes,
        note: CertNote,
        term: OrderingTerm | None,
    ) -> None:
        """Put a certificate into service with its key.

        After an interruption at any point, either the old pair or the new one serves. Installing
        the same certificate again changes nothing.
        """
        facts = chain.facts_of(chain.parse(cert))
        with self.lease.guarded(term):
            directory = self._directory(certificate_id)
            version = directory / facts.fingerprint[:32]
            self.folder.make_directory(directory)
            self.folder.make_directory(version)
            self.folder.write(version / "key.pem", key)
            self.folder.write(version / "cert.pem", cert)
            self.folder.sync(directory)
            self.folder.write(directory / "current", version.name.encode())
            self._write_note(certificate_id, note)
            self._remove_pending_key(certificate_id)
            self._prune(certificate_id)
            self._mark_changed()

    def finish_interrupted_install(self, certificate_id: str, term: OrderingTerm | None) -> None:
        """Clear the order of a certificate that is already in service.

        A crash during the installation can leave the order in the note and the pending key behind;
        the next renewal would then resume a finished order.
        """
        pending = self.folder.read(self._directory(certificate_id) / "pending.key")
        pair = self.pair(certificate_id)
        if pending is None or pair is None or self.folder.read(pair.key) != pending:
            return
        with self.lease.guarded(term):
            note = self.note(certificate_id)
            note = replace(note, order=None, failures=documents.NO_FAILURES, wanted=False)
            self._write_note(certificate_id, note)
            self._remove_pending_key(certificate_id)
            self._mark_changed()

    def current_version(self, certificate_id: str) -> str:
        """Return the name of the version in service, or an empty string."""
        raw = self.folder.read(self._directory(certificate_id) / "current") or b""
        found = raw.decode("ascii", "replace").strip()
        return found if _VERSION.fullmatch(found) else ""

    def pair(self, certificate_id: str, names: tuple[str, ...] = ()) -> CertificatePair | None:
        """Return the pair that may serve, or None.

        This is the current version or, if it cannot be used, the newest kept one that can; an
        expired one serves as the last resort.
        """
        versions = self._versions(certificate_id)
        for allow_expired in (False, True):
            for version in versions:
                pair = self._usable_pair(certificate_id, version, names, allow_expired)
                if pair is not None:
                    return pair
        return None

    def _versions(self, certificate_id: str) -> list[Path]:
        """Return the directories of all versions, the current one first, then the newest."""
        directory, current = self._directory(certificate_id), self.current_version(certificate_id)
        if not directory.exists():
            return []
        try:
            found = [path for path in directory.iterdir() if path.is_dir()]
            found.sort(key=lambda path: (path.name == current, path.stat().st_mtime), reverse=True)
        except OSError as error:
            raise store_error(error, directory) from None
        return found

    def _usable_pair(
        self, certificate_id: str, version: Path, names: tuple[str, ...], allow_expired: bool
    ) -> CertificatePair | None:
        cert = self.folder.read(version / "cert.pem")
        key = self.folder.read(version / "key.pem")
        if cert is None or key is None:
            return None
        try:
            facts = chain.check_pair(cert, key, names, self.now(), allow_expired)
        except chain.ChainError:
            return None
        return CertificatePair(certificate_id, version / "cert.pem", version / "key.pem", facts)

    def files(self, pair: CertificatePair) -> tuple[bytes, bytes]:
        """Return certificate and key of a pair as PEM."""
        return self.folder.read(pair.cert) or b"", self.folder.read(pair.key) or b""

    def change_marker(self) -> bytes:
        """Return bytes that change whenever a certificate is installed."""
        return self.folder.read(self.folder.path / "news") or b""

    def _mark_changed(self) -> None:
        self.folder.write(self.folder.path / "news", secrets.token_hex(8).encode())

    def _directory(self, certificate_id: str) -> Path:
        if not _ID.fullmatch(certificate_id):
            raise StoreError(f"{certificate_id!r:.60} can't name a certificate")
        return self.path / certificate_id

    def _write_note(self, certificate_id: str, note: CertNote) -> None:
        directory = self._directory(certificate_id)
        self.folder.make_directory(directory)
        self.folder.write(directory / "note.json", documents.dump(note))

    def _remove_pending_key(self, certificate_id: str) -> None:
        self.folder.remove(self._directory(certificate_id) / "pending.key")

    def _prune(self, certificate_id: str) -> None:
        """Delete the oldest versions beyond ``MAX_VERSIONS``, but never the current one."""
        directory, current = self._directory(certificate_id), self.current_version(certificate_id)
        old = [path for path in directory.iterdir() if path.is_dir() and path.name != current]
        old.sort(key=lambda path: path.stat().st_mtime, reverse=True)
        for version in old[MAX_VERSIONS - 1 :]:
            for file in version.iterdir():
                file.unlink()
            version.rmdir()


def _is_key(pem: bytes) -> bool:
    """Tell whether a stored key can be loaded; the file may be damaged."""
    try:
        chain.load_key(pem)
    except chain.ChainError:
        return False
    return True


class CertificateSite:
    """The stores of one site's folder: certificates, accounts, challenges and ordering lease."""

    def __init__(
        self,
        path: Path,
        now: Callable[[], float] = time.time,
        terms: LeaseTerms | None = None,
        on_step: Callable[[str], None] | None = None,
        leader_guard: LeaderGuard | None = None,
    ) -> None:
        """Use one folder for all stores; ``now`` returns Unix seconds."""
        self.folder = SharedFolder(path, on_step)
        self.lease = OrderingLease(self.folder, now, terms or LeaseTerms(), leader_guard)
        self.certificates = CertificateStore(self.folder, self.lease, now)
        self.accounts = AccountStore(self.folder, self.lease, now)
        self.challenges = ChallengeStore(self.folder, self.lease, now)
