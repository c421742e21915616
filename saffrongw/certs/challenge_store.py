"""Stores the pending challenges of a site, so that any of its gateways can answer them.

A challenge is stored under its token and, for validation by TLS (RFC 8737), also under a digest of
the name, because such a connection does not name the token. Files are deleted when the challenge
ends or is too old.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import re
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from .ordering_lease import OrderingLease, OrderingTerm
from .shared_folder import SharedFolder, StoreError

# Seconds after which a challenge that nobody withdrew is deleted.
CHALLENGE_LIFETIME_S = 2 * 3_600.0
_TOKEN = re.compile(r"[A-Za-z0-9_\-]{8,256}")


@dataclass(frozen=True, slots=True)
class ChallengeProof:
    """The proof for one challenge; ``until`` (Unix seconds) is when it may be deleted."""

    name: str
    type: str
    token: str
    authorisation: str
    until: float


class ChallengeStore:
    """Publishes, finds and withdraws challenge proofs in a shared folder."""

    def __init__(
        self, folder: SharedFolder, lease: OrderingLease, now: Callable[[], float]
    ) -> None:
        """Use the challenges of a shared folder; ``now`` returns Unix seconds."""
        self.folder, self.lease, self.now = folder, lease, now
        self.path = folder.path / "challenges"

    def publish(self, proof: ChallengeProof, term: OrderingTerm | None) -> None:
        """Store the proof, so that every gateway can answer the challenge."""
        if not _TOKEN.fullmatch(proof.token):
            raise StoreError(f"{proof.token!r:.60} can't be a token")
        with self.lease.guarded(term):
            raw = json.dumps(asdict(proof)).encode()
            self.folder.write(self._file(proof.token), raw)
            if proof.type == "tls-alpn-01":
                self.folder.write(self._file(_name_token(proof.name)), raw)

    def withdraw(self, tokens: tuple[str, ...]) -> None:
        """Delete these challenges and all expired ones."""
        for token in tokens:
            self._withdraw_one(token)
        with contextlib.suppress(OSError):
            self._delete_expired()

    def _withdraw_one(self, token: str) -> None:
        found = self.by_token(token)
        if found is None:
            return
        self.folder.remove(self._file(token))
        named = self.by_name(found.name)
        if named and named.token == token:
            self.folder.remove(self._file(_name_token(found.name)))

    def _delete_expired(self) -> None:
        now = self.now()
        for path in self.path.iterdir():
            proof = self.by_token(path.stem)
            # Files of interrupted writes hold no proof, so their age decides.
            age = time.time() - path.stat().st_mtime
            is_expired = proof.until < now if proof else age > CHALLENGE_LIFETIME_S
            if is_expired:
                path.unlink()

    def by_token(self, token: str) -> ChallengeProof | None:
        """Return the proof with this token, if it is published."""
        if not _TOKEN.fullmatch(token):
            return None
        raw = self.folder.read(self._file(token))
        try:
            found = json.loads(raw or b"null")
            return ChallengeProof(
                name=str(found["name"]),
                type=str(found["type"]),
                token=str(found["token"]),
                authorisation=str(found["authorisation"]),
                until=float(found["until"]),
            )
        except (ValueError, KeyError, TypeError):
            return None

    def by_name(self, name: str) -> ChallengeProof | None:
        """Return the proof for a validation of this name by TLS, if it is published."""
        return self.by_token(_name_token(name))

    def _file(self, token: str) -> Path:
        return self.path / f"{token}.json"


def _name_token(name: str) -> str:
    return "name-" + hashlib.sha256(name.encode()).hexdigest()[:32]
