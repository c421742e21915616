"""Executes orders with an authority: accounts, certificates and renewal windows.

``order_flow.py`` decides the steps. State that a step stores is written to the shared folder before
the next step, under the caller's lease term. A failure is stored with the time of the next attempt
(``renewal.py``).
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Protocol

from . import chain, order_flow, renewal
from .acme_session import Session
from .acme_steps import (
    Flow,
    HttpRequest,
    PublishChallenge,
    SaveNote,
    Sleep,
    Step,
    WithdrawChallenges,
)
from .blocking_worker import BlockingWorker
from .certificate_status import CertificateStatus
from .certificate_store import CertificateSite
from .challenge_store import CHALLENGE_LIFETIME_S, ChallengeProof
from .documents import Account, CertNote, DocumentError
from .http import AuthorityClient
from .jose import AccountKey, external_key
from .messages import AcmeError, FailureKind, HttpAnswer, RenewalWindow
from .ordering_lease import LostLeaseError, OrderingTerm
from .table import AuthorityTable, CertTable

log = logging.getLogger(__name__)

# Failures after which an unfinished order can be resumed.
_RESUMABLE = (FailureKind.UNREACHABLE, FailureKind.RATE, FailureKind.LOCAL)


class Clock(Protocol):
    """The time in Unix seconds, and a way to wait."""

    def now(self) -> float:
        """Return Unix seconds."""
        ...

    async def sleep(self, span: float) -> None:
        """Wait for this many seconds."""


@dataclass(frozen=True, slots=True)
class _Connection:
    """An account's session with one authority, and the HTTPS client for it."""

    session: Session
    https: AuthorityClient


class OrderRunner:
    """Orders certificates and fetches renewal windows, with one session for each authority."""

    def __init__(
        self,
        site: CertificateSite,
        status: CertificateStatus,
        worker: BlockingWorker,
        clock: Clock,
        https: Callable[[str], AuthorityClient] = AuthorityClient,
    ) -> None:
        """Order for this site; ``https`` makes the client of an authority."""
        self.site, self.status, self.worker = site, status, worker
        self.clock, self.https = clock, https
        self.random = random.Random()
        self.counts: Counter[str] = Counter()
        # By the URL of the authority's directory.
        self.sessions: dict[str, Session] = {}
        self._opening: dict[str, asyncio.Lock] = {}
        # When to ask again for the renewal window of a certificate, after a request that brought no
        # new one.
        self.window_retry_at: dict[str, float] = {}

    # -- accounts -----------------------------------------------------------------------------

    async def connect(
        self, authority: AuthorityTable, term: OrderingTerm | None
    ) -> tuple[Session, AuthorityClient]:
        """Return a session of our account with an authority.

        The account is registered if needed.
        """
        https = await self.worker.run(self.https, authority.ca)
        async with self._opening.setdefault(authority.directory, asyncio.Lock()):
            key, account = await self.worker.run(self.site.accounts.load, authority.directory, term)
            session = self.sessions.get(authority.directory)
            # An operator may have changed the key meanwhile.
            if session is None or session.key.thumbprint != key.thumbprint:
                url = account.url if account else ""
                session = Session(authority.directory, key, self.clock.now, url)
                session = await self._finish_key_change(_Connection(session, https), term)
                if not session.account or (account and account.contact != authority.contact):
                    await self._register(authority, _Connection(session, https), term)
                self.sessions[authority.directory] = session
        return session, https

    async def _register(
        self, authority: AuthorityTable, connection: _Connection, term: OrderingTerm | None
    ) -> None:
        external = await self.worker.run(_external_binding, authority)
        steps = connection.session.register(authority.contact, external)
        url = await self.perform(steps, connection.https, "", term)
        account = Account(authority.directory, url, authority.contact)
        await self.worker.run(self.site.accounts.save, account, term)

    async def _finish_key_change(
        self, connection: _Connection, term: OrderingTerm | None
    ) -> Session:
        """Resume an interrupted key change by asking the authority which key it knows."""
        session = connection.session
        new_key = await self.worker.run(self.site.accounts.next_key, session.directory)
        if new_key is None:
            return session
        trial = Session(session.directory, new_key, self.clock.now)
        try:
            steps = trial.register((), None, existing=True)
            await self.perform(steps, connection.https, "", term)
        except AcmeError as error:
            if error.kind in _RESUMABLE:
                raise
            return session  # the authority has never received the new key
        await self.worker.run(self.site.accounts.end_key_change, session.directory)
        return trial

    # -- orders -------------------------------------------------------------------------------

    async def order(self, entry: CertTable, term: OrderingTerm) -> None:
        """Order a certificate, or resume its order, and install it; store a failure."""
        state = self.status.state(entry)
        authorities = self.status.table.authority
        authority = authorities[min(state.failures.authority, len(authorities) - 1)]
        self.counts["orders"] += 1
        try:
            await self._obtain_and_install(entry, authority, term)
            await self.worker.run(self.status.loaded.load)
            self.status.unsaved_failures.pop(entry.id, None)
            self.counts["obtained"] += 1
        except LostLeaseError as error:
            log.warning("certs: order abandoned: certificate=%s error=%s", entry.id, error.detail)
        except (AcmeError, DocumentError, OSError) as error:
            await self._save_failure(entry, authority, error, term)

    async def _obtain_and_install(
        self, entry: CertTable, authority: AuthorityTable, term: OrderingTerm
    ) -> None:
        session, https = await self.connect(authority, term)
        certificates = self.site.certificates
        key = await self.worker.run(certificates.pending_key, entry.id, entry.key_, term)
        note = await self.worker.run(certificates.note, entry.id)
        request = await self.worker.run(chain.signing_request, key, entry.names)
        pair = self.status.loaded.pairs.get(entry.id)
        wanted = order_flow.OrderRequest(
            entry.names,
            entry.challenge,
            request,
            self.status.table.renewal.order_minutes * 60,
            authority.issuer,
            pair.facts.ari if pair and not note.wanted else "",
        )
        pem = await self._obtain(entry, _Connection(session, https), note, wanted, term)
        await self.worker.run(self._install, entry, pem, key, term)

    async def _obtain(
        self,
        entry: CertTable,
        connection: _Connection,
        note: CertNote,
        wanted: order_flow.OrderRequest,
        term: OrderingTerm,
    ) -> bytes:
        session, https = connection.session, connection.https
        try:
            steps = order_flow.obtain_certificate(session, note, wanted, _issuer_names)
            return await self.perform(steps, https, entry.id, term)
        except AcmeError as error:
            # The order may have failed because its process died during the validation, so a new
            # order may succeed for the same names.
            was_resumed = bool(note.order and note.order.url)
            if not was_resumed or error.kind not in (FailureKind.CHALLENGE, FailureKind.ORDER):
                raise
            log.warning("certs: resumed order lost: certificate=%s error=%s", entry.id, error)
        steps = order_flow.obtain_certificate(
            session, replace(note, order=None), wanted, _issuer_names
        )
        return await self.perform(steps, https, entry.id, term)

    def _install(self, entry: CertTable, pem: bytes, key: bytes, term: OrderingTerm) -> None:
        """Check a certificate as every gateway does when it loads it, then install it. Blocks."""
        try:
            chain.check_pair(pem, key, entry.names, self.clock.now())
        except chain.ChainError as error:
            raise AcmeError(
                FailureKind.UNUSABLE, f"the certificate that was issued: {error}"
            ) from None
        self.site.certificates.install(entry.id, pem, key, CertNote(names=entry.names), term)

    # -- failures -----------------------------------------------------------------------------

    async def _save_failure(
        self, entry: CertTable, authority: AuthorityTable, error: Exception, term: OrderingTerm
    ) -> None:
        """Store a failure and the time of the next attempt.

        The pending key is deleted if the authority may have rejected it, and the account's key is
        retired if the authority no longer knows the account.
        """
        if not isinstance(error, AcmeError):
            error = AcmeError(FailureKind.LOCAL, str(error))
        self.counts[f"failed: {error.kind.value}"] += 1
        log.warning(
            "certs: order failed: certificate=%s authority=%s error=%s",
            entry.id,
            authority.directory,
            error,
        )
        self.sessions.pop(authority.directory, None)
        try:
            note = await self.worker.run(self.site.certificates.note, entry.id)
        except (AcmeError, DocumentError):
            note = CertNote()
        failures = self._next_failures(entry, note, error)
        same_authority = failures.authority == note.failures.authority
        order = note.order if error.kind in _RESUMABLE and same_authority else None

        def amend(current: CertNote) -> CertNote:
            return replace(current, failures=failures, order=order)

        try:
            await self._drop_rejected(entry, authority, error.kind, term)
            await self.worker.run(self.site.certificates.amend, entry.id, amend, term)
        except (AcmeError, OSError) as disk_error:  # for example a full disk or a lost lease
            log.warning("certs: failure not saved: certificate=%s error=%s", entry.id, disk_error)
            self.status.unsaved_failures[entry.id] = failures
        self.status.notes[entry.id] = amend(note)

    def _next_failures(
        self, entry: CertTable, note: CertNote, error: AcmeError
    ) -> renewal.Failures:
        return renewal.next_failures(
            self.clock.now(),
            replace(self.status.state(entry), failures=note.failures),
            error.kind,
            error.detail,
            error.retry_after,
            self.random.random(),
            len(self.status.table.authority),
        )

    async def _drop_rejected(
        self, entry: CertTable, authority: AuthorityTable, kind: FailureKind, term: OrderingTerm
    ) -> None:
        if kind in (FailureKind.UNUSABLE, FailureKind.REJECTED):
            await self.worker.run(self.site.certificates.drop_pending_key, entry.id, term)
        if kind is FailureKind.ACCOUNT:
            await self.worker.run(self.site.accounts.retire_key, authority.directory, term)

    # -- renewal windows ----------------------------------------------------------------------

    async def update_window(self, entry: CertTable, term: OrderingTerm) -> None:
        """Ask the authority when to renew a certificate (RFC 9773), and store the answer."""
        note, state = self.status.note(entry.id), self.status.state(entry)
        try:
            window = await self._fetch_window(entry, term)
            if (
                window is None
            ):  # the authority offers no windows: renew by the rules, ask again later
                window = note.window
        except (AcmeError, OSError) as error:
            window = renewal.window_failed(self.clock.now(), state).window
            log.warning("certs: renewal window failed: certificate=%s error=%s", entry.id, error)
        if window is None or window == note.window:
            self.window_retry_at[entry.id] = self.clock.now() + renewal.HOUR
            return
        with contextlib.suppress(AcmeError):
            await self.worker.run(
                self.site.certificates.amend,
                entry.id,
                lambda current: replace(current, window=window),
                term,
            )

    async def _fetch_window(self, entry: CertTable, term: OrderingTerm) -> RenewalWindow | None:
        pair = self.status.loaded.pairs.get(entry.id)
        authority = self.status.table.authority[0]
        https = await self.worker.run(self.https, authority.ca)
        session = self.sessions.get(authority.directory) or Session(
            authority.directory, AccountKey.new(), self.clock.now
        )
        steps = session.window(pair.facts.ari if pair else "")
        return await self.perform(steps, https, entry.id, term)

    # -- steps --------------------------------------------------------------------------------

    async def perform(
        self,
        steps: Flow[Any],
        https: AuthorityClient,
        certificate_id: str,
        term: OrderingTerm | None,
    ) -> Any:  # noqa: ANN401 - the result type of the flow
        """Execute the steps of a flow; return its result or raise its exception."""
        answer: Any = None
        error: AcmeError | None = None
        while True:
            try:
                step = steps.throw(error) if error else steps.send(answer)
            except StopIteration as done:
                return done.value
            answer, error = None, None
            try:
                answer = await self._perform_step(step, https, certificate_id, term)
            except AcmeError as failure:
                error = failure

    async def _perform_step(
        self,
        step: Step,
        https: AuthorityClient,
        certificate_id: str,
        term: OrderingTerm | None,
    ) -> Any:  # noqa: ANN401 - depends on the step
        if isinstance(step, HttpRequest):
            return await self._send(step, https)
        if isinstance(step, SaveNote):
            order = step.note.order  # a flow changes no other field of the note
            await self.worker.run(
                self.site.certificates.amend,
                certificate_id,
                lambda current: replace(current, order=order),
                term,
            )
        elif isinstance(step, PublishChallenge):
            until = self.clock.now() + CHALLENGE_LIFETIME_S
            proof = ChallengeProof(step.name, step.type, step.token, step.authorisation, until)
            await self.worker.run(self.site.challenges.publish, proof, term)
        elif isinstance(step, WithdrawChallenges):
            await self.worker.run(self.site.challenges.withdraw, step.tokens)
        elif isinstance(step, Sleep):
            await self.clock.sleep(step.seconds)
        return None

    async def _send(self, request: HttpRequest, https: AuthorityClient) -> HttpAnswer:
        self.counts["requests"] += 1
        self.site.folder.on_step(f"ask {request.read}")
        answer = await https.send(request)
        self.site.folder.on_step(f"asked {request.read}")
        return answer


def _issuer_names(pem: bytes) -> set[str]:
    try:
        return chain.issuer_names(chain.parse(pem))
    except chain.ChainError:
        return set()


def _external_binding(authority: AuthorityTable) -> tuple[str, bytes] | None:
    """Return the external account's id and key, if the authority needs one."""
    if not authority.external_key:
        return None
    try:
        return authority.external_id, external_key(Path(authority.external_key).read_text())
    except (OSError, ValueError) as error:
        raise AcmeError(FailureKind.LOCAL, f"{authority.external_key}: {error}") from None
