"""The certificates that this process serves, reloaded when the shared folder changes."""

from __future__ import annotations

import logging
import ssl
from dataclasses import dataclass

from .certificate_store import CertificatePair, CertificateStore
from .messages import AcmeError
from .tls_listener import ContextsByName, TlsSettings, make_context

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LoadedContext:
    """A TLS context, and the certificate and settings that it was made from."""

    fingerprint: str
    settings: TlsSettings
    context: ssl.SSLContext


class LoadedCertificates:
    """TLS contexts of all certificates that may serve.

    ``load`` runs on a worker thread and replaces each attribute in one assignment, so a handshake
    sees either the old contexts or the new ones.
    """

    def __init__(self, store: CertificateStore, settings: TlsSettings, default: str) -> None:
        """Start empty; ``load`` reads the folder."""
        self.store, self.settings, self.default = store, settings, default
        self.contexts_by_name = ContextsByName()
        self.pairs: dict[str, CertificatePair] = {}
        self.contexts: dict[str, LoadedContext] = {}
        self.swap_count = 0
        # Load errors by certificate identifier.
        self.errors: dict[str, str] = {}

    def load(self) -> None:
        """Load changed certificates; the contexts of unchanged ones are reused. Blocks."""
        pairs: dict[str, CertificatePair] = {}
        contexts: dict[str, LoadedContext] = {}
        errors: dict[str, str] = {}
        for certificate_id in self.store.ids():
            try:
                pair = self._unchanged_pair(certificate_id) or self.store.pair(certificate_id)
                if pair is not None:
                    contexts[certificate_id] = self._context(pair)
                    pairs[certificate_id] = pair
            except (AcmeError, OSError) as error:  # ssl.SSLError is an OSError
                errors[certificate_id] = str(error)
                if certificate_id in self.contexts:  # keep serving the previous context
                    contexts[certificate_id] = self.contexts[certificate_id]
                    pairs[certificate_id] = self.pairs[certificate_id]
        self._log_new_errors(errors)
        swaps = sum(1 for key, loaded in contexts.items() if loaded is not self.contexts.get(key))
        by_name = self._by_name(pairs, contexts)
        self.pairs, self.contexts, self.errors = pairs, contexts, errors
        self.contexts_by_name = by_name
        self.swap_count += swaps

    def _unchanged_pair(self, certificate_id: str) -> CertificatePair | None:
        """Return the loaded pair if it is still current; checking hundreds again takes long."""
        pair = self.pairs.get(certificate_id)
        if pair is None or pair.facts.end <= self.store.now():
            return None
        is_current = pair.cert.parent.name == self.store.current_version(certificate_id)
        return pair if is_current else None

    def _context(self, pair: CertificatePair) -> LoadedContext:
        old = self.contexts.get(pair.id)
        settings = self.settings
        if old and (old.fingerprint, old.settings) == (pair.facts.fingerprint, settings):
            return old
        context = make_context(settings)
        context.load_cert_chain(pair.cert, pair.key)
        return LoadedContext(pair.facts.fingerprint, settings, context)

    def _log_new_errors(self, errors: dict[str, str]) -> None:
        for certificate_id, reason in errors.items():
            if self.errors.get(certificate_id) != reason:
                log.warning("certs: load failed: certificate=%s error=%s", certificate_id, reason)

    def _by_name(
        self, pairs: dict[str, CertificatePair], contexts: dict[str, LoadedContext]
    ) -> ContextsByName:
        found: dict[str, ssl.SSLContext] = {}
        # If two certificates cover one name, the one that expires later serves.
        for certificate_id, pair in sorted(pairs.items(), key=lambda item: item[1].facts.end):
            for name in pair.facts.names:
                found[name] = contexts[certificate_id].context
        default = self.default or next(iter(pairs), "")
        by_name = ContextsByName(found, default)
        if default_context := contexts.get(default):
            by_name.contexts.setdefault(default, default_context.context)
        return by_name
