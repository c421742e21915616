"""The background tasks that keep a site's certificates obtained, renewed and loaded.

Every gateway of a site runs them. Only the holder of the ordering lease orders certificates; all
gateways check the shared folder once a second and serve new certificates. Disk access and key
generation run on one worker thread. Each order is a task of its own, so an authority that does not
answer delays only the certificates ordered from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import ssl
import time
from collections.abc import Callable
from typing import NamedTuple

from saffrongw.gateway.extensions import LeaderGuard

from . import renewal
from .blocking_worker import BlockingWorker
from .certificate_status import CertificateRow, CertificateStatus
from .certificate_store import CertificateSite
from .challenge_answers import ChallengeAnswers
from .documents import DocumentError
from .http import AuthorityClient
from .lease import LeaseTerms
from .loaded_certificates import LoadedCertificates
from .messages import AcmeError
from .order_runner import OrderRunner
from .ordering_lease import OrderingTerm
from .renewal import Alarm
from .shared_folder import StoreError
from .table import CertsTable, CertTable
from .tls_listener import TlsSettings

log = logging.getLogger(__name__)

# Seconds between two checks of the shared folder.
FOLDER_POLL_S = 1.0
# Seconds after which all certificates are loaded again even if the folder has not changed, because
# an expired one may have to be replaced by another version.
RELOAD_S = 60.0
MAX_CONCURRENT_ORDERS = 4
# Largest time in seconds between two checks for due orders.
MAX_IDLE_S = 30.0
# Seconds after which an unchanged alarm of a certificate is logged again.
ALARM_REPEAT_S = 3_600.0


class SystemClock:
    """The system's time in Unix seconds, and a way to wait; tests use a faster clock."""

    def now(self) -> float:
        """Return Unix seconds."""
        return time.time()

    async def sleep(self, span: float) -> None:
        """Wait for this many seconds."""
        await asyncio.sleep(span)


class _LoggedAlarm(NamedTuple):
    level: Alarm
    logged_at: float


class _DueCertificate(NamedTuple):
    """A certificate whose order or renewal window request is due, sorted by its expiry."""

    ends_at: float
    window_only: bool
    entry: CertTable


class RenewalLoop:
    """Loads certificates from the shared folder, and orders due ones while it holds the lease."""

    def __init__(
        self,
        table: CertsTable,
        holder: str,
        tls_settings: TlsSettings,
        clock: SystemClock | None = None,
        on_step: Callable[[str], None] | None = None,
        https: Callable[[str], AuthorityClient] = AuthorityClient,
        leader_guard: LeaderGuard | None = None,
    ) -> None:
        """Build all components for one site; ``holder`` names this process in the lease."""
        self.table, self.holder, self.clock = table, holder, clock or SystemClock()
        terms = LeaseTerms(table.lease_seconds, table.clock_skew)
        now = self.clock.now
        self.site = CertificateSite(table.state_dir, now, terms, on_step, leader_guard)
        self.loaded = LoadedCertificates(self.site.certificates, tls_settings, table.first)
        self.status = CertificateStatus(table, self.site.certificates, self.loaded, now)
        self.worker = BlockingWorker()
        self.challenges = ChallengeAnswers(self.site.challenges, self.worker)
        self.orders = OrderRunner(self.site, self.status, self.worker, self.clock, https)
        # The term of the ordering lease; 0 if another gateway holds it.
        self.term = 0
        # Running orders and renewal window requests, by certificate identifier.
        self.running: dict[str, asyncio.Task[None]] = {}
        self.logged_alarms: dict[str, _LoggedAlarm] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.wake = asyncio.Event()

    # -- start and stop -----------------------------------------------------------------------

    async def start(self) -> None:
        """Open the folder and load the certificates; ``OSError`` if that is not possible."""
        try:
            await self.worker.run(self.site.folder.open)
            await self.worker.run(self.loaded.load)
        except StoreError as error:
            raise OSError(error.detail) from None
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._watch_folder()),
            loop.create_task(self._order_due()),
        ]

    async def stop(self) -> None:
        """End all tasks and release the lease; the progress of orders is already stored."""
        working = [*self.tasks, *self.running.values()]
        for task in working:
            task.cancel()
        await asyncio.gather(*working, return_exceptions=True)
        with contextlib.suppress(AcmeError, OSError):
            if self.term:
                await self.worker.run(self.site.lease.release, self.holder)
        self.worker.close()

    def reconfigure(self, table: CertsTable, tls_settings: TlsSettings) -> None:
        """Apply another table; running orders finish with the old one."""
        self.table = self.status.table = table
        self.loaded.settings = tls_settings
        self.loaded.default = table.first
        self.orders.sessions.clear()
        self.wake.set()

    # -- serving ------------------------------------------------------------------------------

    def context(self, name: str | None) -> ssl.SSLContext | None:
        """Return the TLS context for a client that asks for this name, or for none."""
        return self.loaded.contexts_by_name.find(name)

    async def validation_context(self, name: str) -> ssl.SSLContext | None:
        """Return the TLS context for an authority that validates this name."""
        return await self.challenges.tls_context(name)

    async def key_authorisation(self, token: str) -> str | None:
        """Return the key authorisation for an authority that validates by HTTP."""
        return await self.challenges.key_authorisation(token)

    def rows(self) -> list[CertificateRow]:
        """Return every certificate as operators see it, the most urgent first."""
        return self.status.rows(frozenset(self.running))

    # -- the folder ---------------------------------------------------------------------------

    async def _watch_folder(self) -> None:
        """Load certificates that any gateway has installed, and log alarms."""
        seen_marker, settings, loaded_at = None, self.loaded.settings, 0.0
        while True:
            try:
                marker = await self.worker.run(self.site.certificates.change_marker)
                is_stale = self.clock.now() - loaded_at > RELOAD_S
                if marker != seen_marker or self.loaded.settings is not settings or is_stale:
                    settings, loaded_at = self.loaded.settings, self.clock.now()
                    await self.worker.run(self.loaded.load)
                    seen_marker = marker
                    self.status.notes = await self.worker.run(self.status.read_notes)
                    self.wake.set()
                self._log_alarms()
            except (AcmeError, OSError) as error:
                log.warning("certs: folder check failed: error=%s", error)
            await self.clock.sleep(FOLDER_POLL_S)

    def _log_alarms(self) -> None:
        for row in self.rows():
            now = self.clock.now()
            logged = self.logged_alarms.get(row.id, _LoggedAlarm(Alarm.NONE, 0.0))
            if row.alarm is Alarm.NONE:
                self.logged_alarms.pop(row.id, None)
            elif row.alarm > logged.level or abs(now - logged.logged_at) > ALARM_REPEAT_S:
                self.logged_alarms[row.id] = _LoggedAlarm(row.alarm, now)
                _log_alarm(row)

    # -- ordering -----------------------------------------------------------------------------

    async def _order_due(self) -> None:
        """Keep trying to hold the ordering lease, and begin due orders while it is held."""
        while True:
            self.wake.clear()
            next_at = self.clock.now() + MAX_IDLE_S
            try:
                next_at = min(next_at, await self._hold_lease_and_begin())
            except (AcmeError, OSError) as error:
                self.term = 0
                log.warning("certs: ordering failed: error=%s", error)
            except Exception:  # a bug must not end this task
                log.exception("certs: ordering failed: unexpected error")
            delay = max(self.table.lease_seconds / 100, next_at - self.clock.now())
            await self._sleep_or_wake(min(delay, MAX_IDLE_S))

    async def _hold_lease_and_begin(self) -> float:
        """Take or renew the lease, begin due orders, and return when to check again."""
        previous_term = self.term
        self.term, retry_at = await self.worker.run(self.site.lease.acquire, self.holder)
        if self.term and self.term != previous_term:
            await self.worker.run(self._clear_interrupted_installs)
        if self.term:
            return min(retry_at, await self._begin_due())
        for task in self.running.values():
            task.cancel()
        return retry_at

    async def _sleep_or_wake(self, delay_s: float) -> None:
        sleeping = asyncio.ensure_future(self.clock.sleep(delay_s))
        woken = asyncio.ensure_future(self.wake.wait())
        try:
            await asyncio.wait((sleeping, woken), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleeping.cancel()
            woken.cancel()

    def _clear_interrupted_installs(self) -> None:
        """Finish installations that the previous holder of the lease was interrupted in. Blocks."""
        term = OrderingTerm(self.holder, self.term)
        for certificate_id in self.site.certificates.ids():
            with contextlib.suppress(DocumentError):  # ``read_notes`` logs it
                self.site.certificates.finish_interrupted_install(certificate_id, term)

    async def _begin_due(self) -> float:
        """Begin due orders, the earliest expiry first; return when the next one is due."""
        self.status.notes = await self.worker.run(self.status.read_notes)
        now, due = self.clock.now(), []
        next_at = now + MAX_IDLE_S
        for entry in self.table.certificate:
            if entry.id in self.running:
                continue
            state = self.status.state(entry)
            if self.status.note(entry.id).imported and not state.wanted:
                continue
            order_at = renewal.next_attempt_at(now, state, self.status.rules)
            window_at = self._window_question_at(now, entry, state)
            if order_at <= now or window_at <= now:
                due.append(_DueCertificate(state.end or 0.0, order_at > now, entry))
            earliest = now + FOLDER_POLL_S
            next_at = min(next_at, max(order_at, earliest), max(window_at, earliest))
        for certificate in sorted(due, key=lambda item: item.ends_at):
            if len(self.running) >= MAX_CONCURRENT_ORDERS:
                break
            self._begin(certificate)
        return next_at

    def _window_question_at(
        self, now: float, entry: CertTable, state: renewal.CertificateState
    ) -> float:
        """Return when to ask the authority for the renewal window of a certificate."""
        ask_at = float("inf") if state.end is None else renewal.window_question_at(now, state)
        retry_at = self.orders.window_retry_at.get(entry.id, 0.0)
        clock_went_back = retry_at > now + renewal.HOUR
        return ask_at if clock_went_back else max(ask_at, retry_at)

    def _begin(self, certificate: _DueCertificate) -> None:
        entry, term = certificate.entry, OrderingTerm(self.holder, self.term)
        action = self.orders.update_window if certificate.window_only else self.orders.order
        task = asyncio.get_running_loop().create_task(action(entry, term))
        self.running[entry.id] = task
        task.add_done_callback(lambda _: self._ended(entry.id))

    def _ended(self, certificate_id: str) -> None:
        self.running.pop(certificate_id, None)
        self.wake.set()


def _log_alarm(row: CertificateRow) -> None:
    left = "none" if row.days_left is None else f"{row.days_left:.2f}"
    last = f" last={row.failures.kind}: {row.failures.detail}" if row.failures else ""
    log.warning(
        "certs: alarm: level=%s certificate=%s days_left=%s%s",
        row.alarm.name.lower(),
        row.id,
        left,
        last,
    )
