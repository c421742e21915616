"""Answers to challenges of an authority: a TLS context (RFC 8737) or an HTTP key authorisation."""

from __future__ import annotations

import hashlib
import logging
import ssl
import tempfile
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from . import chain
from .blocking_worker import BlockingWorker
from .challenge_store import ChallengeProof, ChallengeStore
from .messages import AcmeError

log = logging.getLogger(__name__)

MAX_CACHED_CONTEXTS = 64
CERTIFICATE_VALID_BEFORE = timedelta(days=1)
CERTIFICATE_VALID_AFTER = timedelta(days=7)


class _CachedContext(NamedTuple):
    token: str
    context: ssl.SSLContext


class ChallengeAnswers:
    """Finds published challenges and creates the answers to them."""

    def __init__(self, store: ChallengeStore, worker: BlockingWorker) -> None:
        """Read the challenges of this store on the worker's thread."""
        self.store, self.worker = store, worker
        self._contexts: dict[str, _CachedContext] = {}

    async def tls_context(self, name: str) -> ssl.SSLContext | None:
        """Return the TLS context for the validation of a name, or None without a challenge."""
        try:
            proof = await self.worker.run(self.store.by_name, name)
            if proof is None:
                return None
            cached = self._contexts.get(name)
            if cached is None or cached.token != proof.token:
                context = await self.worker.run(_proof_context, proof)
                cached = self._contexts[name] = _CachedContext(proof.token, context)
                while len(self._contexts) > MAX_CACHED_CONTEXTS:
                    del self._contexts[next(iter(self._contexts))]
        except (AcmeError, OSError) as error:
            log.warning("certs: validation by TLS failed: name=%s error=%s", name, error)
            return None
        return cached.context

    async def key_authorisation(self, token: str) -> str | None:
        """Return the key authorisation for a token of an HTTP challenge, or None."""
        try:
            proof = await self.worker.run(self.store.by_token, token)
        except AcmeError as error:
            log.warning("certs: validation by HTTP failed: error=%s", error)
            return None
        return proof.authorisation if proof and proof.type == "http-01" else None


def _proof_context(proof: ChallengeProof) -> ssl.SSLContext:
    digest = hashlib.sha256(proof.authorisation.encode()).digest()
    now = datetime.now(UTC)
    cert, key = chain.validation_certificate(
        proof.name, digest, now - CERTIFICATE_VALID_BEFORE, now + CERTIFICATE_VALID_AFTER
    )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["acme-tls/1"])
    # The TLS library loads keys from files only. This key is used for this validation only.
    with tempfile.NamedTemporaryFile(mode="wb") as file:
        file.write(key + cert)
        file.flush()
        context.load_cert_chain(file.name)
    return context
