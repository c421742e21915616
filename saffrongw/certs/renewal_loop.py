"""What goes on beside the requests: certificates looked after, the duty of ordering, orders carried out step by step.

Every gateway of a site runs one. Whoever holds the lease orders; all look at the shared folder once a second and put in
service what is new there. The disk and the making of keys are left to one thread; an authority that hangs holds up one
certificate and nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import random
import ssl
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from saffrongw.gateway.extensions import LeaderGuard

from . import chain, order_flow, renewal
from .certificate_store import CHALLENGE_FOR, LostLease, Pair, Proof, Store, StoreError
from .documents import Account, CertNote, DocumentError
from .http import Https
from .jose import AccountKey, external_key
from .lease import Terms
from .messages import AcmeError, Kind
from .order_flow import Flow, Keep, Publish, Request, Session, Wait, Withdraw
from .renewal import Alarm, Rules, Standing
from .table import AuthorityTable, CertsTable, CertTable
from .tls_listener import Manner, Names, make_context

log = logging.getLogger(__name__)

LOOK = 1.0  # seconds between two looks at the folder
ORDERS_AT_ONCE = 4
IDLE = 30.0  # seconds at most between two looks at what is due
ALARM_EVERY = 3_600.0  # seconds between two lines about one certificate at one level


class Clock:
    """The time, in Unix seconds, and how to wait; tests run it faster."""

    def now(self) -> float:
        """Unix seconds."""
        return time.time()

    async def sleep(self, span: float) -> None:
        """Wait so many seconds."""
        await asyncio.sleep(span)


@dataclass(frozen=True, slots=True)
class Row:
    """One certificate as operators see it."""

    id: str
    names: tuple[str, ...]
    days_left: float | None
    issuer: str
    alarm: Alarm
    next_at: float | None  # of the renewal; None: nobody renews it
    failures: renewal.Failures
    ordering: bool


def standing_of(pair: Pair | None, note: CertNote, draw: float, names: tuple[str, ...]) -> Standing:
    """What decides of one certificate. Other names than it proves make it due at once."""
    covered = pair is not None and all(pair.facts.covers(name) for name in names)
    wanted = note.wanted or (pair is not None and not covered)
    facts = pair.facts if pair else None
    return Standing(
        facts.start if facts else None,
        facts.end if facts else None,
        note.window,
        note.failures,
        draw,
        wanted,
    )


def draw_of(id: str) -> float:
    """Its place in spreads, 0 to 1: the same on each gateway and after each restart."""
    return random.Random(id).random()


class Keeper:
    """Contexts of what serves, made anew when the folder says that something is new."""

    def __init__(self, store: Store, manner: Manner, default: str) -> None:
        self.store, self.manner, self.default = store, manner, default
        self.names = Names()
        self.pairs: dict[str, Pair] = {}
        self.contexts: dict[
            str, tuple[str, Manner, ssl.SSLContext]
        ] = {}  # by id: fingerprint, manner
        self.swaps = 0
        self.faults: dict[str, str] = {}  # by id: why it does not serve

    def load(self) -> None:
        """Look at all of it; off the loop. Contexts of what has not changed stay."""
        pairs, contexts, faults = {}, {}, {}
        for id in self.store.ids():
            try:
                pair = self._unchanged(id) or self.store.pair(id)
                if pair is None:
                    continue
                old = self.contexts.get(id)
                if old and old[:2] == (pair.facts.fingerprint, self.manner):
                    contexts[id] = old
                else:
                    context = make_context(self.manner)
                    context.load_cert_chain(pair.cert, pair.key)
                    contexts[id] = (pair.facts.fingerprint, self.manner, context)
                pairs[id] = pair
            except (AcmeError, OSError) as wrong:  # ssl.SSLError is an OSError
                faults[id] = str(wrong)
                if id in self.contexts:  # what was loaded goes on
                    contexts[id], pairs[id] = self.contexts[id], self.pairs[id]
        found: dict[str, ssl.SSLContext] = {}
        # Where two prove one name the one that ends later serves.
        for id, pair in sorted(pairs.items(), key=lambda item: item[1].facts.end):
            for name in pair.facts.names:
                found[name] = contexts[id][2]
        for id, why in faults.items():
            if self.faults.get(id) != why:
                log.warning("certs: %s: %s", id, why)
        changed = sum(1 for id in contexts if contexts[id] is not self.contexts.get(id))
        first = self.default or next(iter(pairs), "")
        by_id = contexts.get(first)
        names = Names(found, first)
        if by_id:
            names.contexts.setdefault(first, by_id[2])
        # One assignment each: a handshake sees the old ones or the new ones.
        self.pairs, self.contexts, self.faults, self.names = pairs, contexts, faults, names
        self.swaps += changed

    def _unchanged(self, id: str) -> Pair | None:
        """What was loaded before, where the folder still says so and it has not ended: checks of hundreds take long."""
        old = self.pairs.get(id)
        same = (
            old
            and old.cert.parent.name == self.store.current(id)
            and old.facts.end > self.store.now()
        )
        return old if same else None


class Agent:
    """One gateway's part in obtaining and keeping certificates."""

    def __init__(
        self,
        table: CertsTable,
        me: str,
        manner: Manner,
        clock: Clock | None = None,
        step: Callable[[str], None] | None = None,
        https: Callable[[str], Https] = Https,
        duty: LeaderGuard | None = None,
    ) -> None:
        self.table, self.me, self.clock, self.https = table, me, clock or Clock(), https
        terms = Terms(table.lease_seconds, table.clock_skew)
        self.store = Store(table.state_dir, self.clock.now, terms, step, duty)
        self.keeper = Keeper(self.store, manner, table.first)
        self.pool = ThreadPoolExecutor(1, "certs")
        self.random = random.Random()
        self.term = 0
        self.busy: dict[str, asyncio.Task] = {}
        self.sessions: dict[str, Session] = {}
        self.opening: dict[str, asyncio.Lock] = {}
        self.counts: Counter[str] = Counter()
        self.notes: dict[str, CertNote] = {}
        self.told: dict[str, tuple[Alarm, float]] = {}
        self.tasks: list[asyncio.Task] = []
        self.kick = asyncio.Event()
        self.proofs: dict[str, tuple[str, ssl.SSLContext]] = {}
        self.unkept: dict[str, renewal.Failures] = {}  # that no disk took
        self.window_at: dict[str, float] = {}  # when an authority without windows is asked again

    # -- its life -------------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Open the folder and load what serves; ``OSError`` where that can't be done."""
        try:
            await self._off(self.store.open)
            await self._off(self.keeper.load)
        except StoreError as wrong:
            raise OSError(wrong.detail) from None
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._watch()), loop.create_task(self._duty())]

    async def stop(self) -> None:
        """End; another may take the duty at once. What an order has reached is on the disk."""
        working = [*self.tasks, *self.busy.values()]
        for task in working:
            task.cancel()
        await asyncio.gather(*working, return_exceptions=True)
        with contextlib.suppress(AcmeError, OSError):
            if self.term:
                await self._off(self.store.drop_duty, self.me)
        self.pool.shutdown(wait=False, cancel_futures=True)

    def change(self, table: CertsTable, manner: Manner) -> None:
        """Another table from now on; orders that are out end by the old one."""
        self.table = table
        self.keeper.manner = manner
        self.keeper.default = table.first
        self.sessions.clear()
        self.kick.set()

    async def _off(self, work: Callable[..., Any], *args: Any) -> Any:
        """On the thread that may block."""
        return await asyncio.get_running_loop().run_in_executor(self.pool, work, *args)

    # -- what serves ----------------------------------------------------------------------------------------------

    def context(self, name: str | None) -> ssl.SSLContext | None:
        """For a client that asks for this name, or for none."""
        return self.keeper.names.find(name)

    async def check_context(self, name: str) -> ssl.SSLContext | None:
        """For an authority that checks this name by TLS."""
        try:
            proof = await self._off(self.store.proof_for, name)
            if proof is None:
                return None
            made = self.proofs.get(name)
            if made is None or made[0] != proof.token:
                made = (proof.token, await self._off(_proof_context, proof))
                self.proofs[name] = made
                while len(self.proofs) > 64:
                    del self.proofs[next(iter(self.proofs))]
            return made[1]
        except (AcmeError, OSError) as wrong:
            log.warning("certs: a check of %s: %s", name, wrong)
            return None

    async def key_authorisation(self, token: str) -> str | None:
        """For an authority that checks by HTTP."""
        try:
            proof = await self._off(self.store.proof, token)
        except AcmeError as wrong:
            log.warning("certs: a check: %s", wrong)
            return None
        return proof.authorisation if proof and proof.type == "http-01" else None

    async def _watch(self) -> None:
        """New certificates in service, whoever obtained them; alarms."""
        seen, manner, looked = None, self.keeper.manner, 0.0
        while True:
            try:
                news = await self._off(self.store.news)
                # Also without news now and then: what has ended may give way to what has not.
                if (
                    news != seen
                    or self.keeper.manner is not manner
                    or self.clock.now() - looked > 60
                ):
                    manner, looked = self.keeper.manner, self.clock.now()
                    await self._off(self.keeper.load)
                    seen = news
                    self.notes = await self._off(self._read_notes)
                    self.kick.set()
                self._alarms()
            except (AcmeError, OSError) as wrong:
                log.warning("certs: %s", wrong)
            await self.clock.sleep(LOOK)

    def _read_notes(self) -> dict[str, CertNote]:
        found = {}
        for id in {*self.store.ids(), *(one.id for one in self.table.certificate)}:
            try:
                found[id] = self.store.note(id)
            except DocumentError as wrong:
                log.warning("certs: %s", wrong)
                found[id] = CertNote()
        return found

    def _alarms(self) -> None:
        for row in self.rows():
            level, now = row.alarm, self.clock.now()
            before, at = self.told.get(row.id, (Alarm.NONE, 0.0))
            if level is Alarm.NONE:
                self.told.pop(row.id, None)
            elif level > before or abs(now - at) > ALARM_EVERY:
                self.told[row.id] = (level, now)
                left = (
                    "there is none" if row.days_left is None else f"{row.days_left:.2f} days left"
                )
                why = f"; last: {row.failures.kind}: {row.failures.detail}" if row.failures else ""
                log.warning("certs: %s: %s: %s%s", level.name.lower(), row.id, left, why)

    # -- the duty -------------------------------------------------------------------------------------------------

    @property
    def rules(self) -> Rules:
        """Of renewal, as the table has them."""
        r = self.table.renewal
        return Rules(r.lead, r.notice, r.warning, r.critical)

    async def _duty(self) -> None:
        """Hold the lease if we can, and begin what is due."""
        while True:
            self.kick.clear()
            again = self.clock.now() + IDLE
            try:
                before = self.term
                self.term, look = await self._off(self.store.take_duty, self.me)
                if self.term and self.term != before:
                    await self._off(self._tidy)
                again = min(again, look)
                if self.term:
                    again = min(again, await self._begin_due())
                else:
                    for task in self.busy.values():
                        task.cancel()
            except (AcmeError, OSError) as wrong:
                self.term = 0
                log.warning("certs: %s", wrong)
            except Exception:  # guards the duty: a fault of ours must not end it for good
                log.exception("certs: the duty of ordering")
            span = max(self.table.lease_seconds / 100, again - self.clock.now())
            sleeping = asyncio.ensure_future(self.clock.sleep(min(span, IDLE)))
            kicked = asyncio.ensure_future(self.kick.wait())
            try:
                await asyncio.wait((sleeping, kicked), return_when=asyncio.FIRST_COMPLETED)
            finally:
                sleeping.cancel()
                kicked.cancel()

    def _tidy(self) -> None:
        """What the one before us may have left."""
        for id in self.store.ids():
            with contextlib.suppress(DocumentError):  # told where it is read
                self.store.tidy(id, (self.me, self.term))

    async def _begin_due(self) -> float:
        """Begin the orders whose time has come, the most urgent first; when the next one's comes."""
        self.notes = await self._off(self._read_notes)
        now, due = self.clock.now(), []
        again = now + IDLE
        for one in self.table.certificate:
            if one.id in self.busy:
                continue
            standing = self._standing(one)
            if self._note(one.id).imported and not standing.wanted:
                continue
            at = renewal.next_try(now, standing, self.rules)
            ask_at = (
                renewal.ask_window_at(now, standing) if standing.end is not None else float("inf")
            )
            if (
                quiet := self.window_at.get(one.id, 0.0)
            ) <= now + renewal.HOUR:  # else the clock went back
                ask_at = max(ask_at, quiet)
            if at <= now or ask_at <= now:
                due.append((standing.end or 0.0, at > now, one))
            again = min(again, max(at, now + LOOK), max(ask_at, now + LOOK))
        for _, only_ask, one in sorted(due, key=lambda item: item[0]):
            if len(self.busy) >= ORDERS_AT_ONCE:
                break
            work = self._ask_window(one) if only_ask else self._order(one)
            self.busy[one.id] = task = asyncio.get_running_loop().create_task(work)
            task.add_done_callback(lambda _, id=one.id: (self.busy.pop(id, None), self.kick.set()))
        return again

    def _note(self, id: str) -> CertNote:
        """As it was read last; the table may have got a certificate since."""
        return self.notes.get(id, CertNote())

    def _standing(self, one: CertTable) -> Standing:
        note = self._note(one.id)
        unkept = self.unkept.get(one.id)
        if unkept and unkept.at >= note.failures.at:
            note = replace(note, failures=unkept)
        return standing_of(self.keeper.pairs.get(one.id), note, draw_of(one.id), one.names)

    async def _session(self, place: AuthorityTable, duty: tuple[str, int]) -> tuple[Session, Https]:
        """Our account with an authority, made where there is none."""
        https = await self._off(self.https, place.ca)
        async with self.opening.setdefault(place.directory, asyncio.Lock()):
            key, account = await self._off(self.store.account, place.directory, duty)
            session = self.sessions.get(place.directory)
            # An operator may have changed the key meanwhile.
            if session is None or session.key.thumbprint != key.thumbprint:
                session = Session(
                    place.directory, key, self.clock.now, account.url if account else ""
                )
                session = await self._finish_key_change(session, https, duty)
                if not session.account or (account and account.contact != place.contact):
                    external = await self._off(_external, place)
                    url = await self.perform(
                        session.register(place.contact, external), https, "", duty
                    )
                    await self._off(
                        self.store.keep_account, Account(place.directory, url, place.contact), duty
                    )
                self.sessions[place.directory] = session
        return session, https

    async def _finish_key_change(
        self, session: Session, https: Https, duty: tuple[str, int]
    ) -> Session:
        """A change of the account's key that was cut off: ask the authority which key it knows."""
        new = await self._off(self.store.next_key, session.directory)
        if new is None:
            return session
        trial = Session(session.directory, new, self.clock.now)
        try:
            await self.perform(trial.register((), None, existing=True), https, "", duty)
        except AcmeError as wrong:
            if wrong.kind in (Kind.AWAY, Kind.RATE, Kind.LOCAL):
                raise
            return session  # it never heard of the new one
        await self._off(self.store.end_key_change, session.directory)
        return trial

    async def _ask_window(self, one: CertTable) -> None:
        """When the authority wants it renewed."""
        note, standing = self._note(one.id), self._standing(one)
        duty = (self.me, self.term)
        try:
            pair = self.keeper.pairs.get(one.id)
            place = self.table.authority[0]
            https = await self._off(self.https, place.ca)
            session = self.sessions.get(place.directory) or Session(
                place.directory, AccountKey.new(), self.clock.now
            )
            asked = session.window(pair.facts.ari if pair else "")
            window = await self.perform(asked, https, one.id, duty)
            if window is None:  # it offers none: ask again tomorrow, decide by the rule
                window = note.window
        except (AcmeError, OSError) as wrong:
            window = renewal.window_failed(self.clock.now(), standing).window
            log.warning("certs: %s: the window of renewal: %s", one.id, wrong)
        if window is None or window == note.window:
            self.window_at[one.id] = self.clock.now() + renewal.HOUR
        else:
            with contextlib.suppress(AcmeError):
                await self._off(
                    self.store.amend, one.id, lambda kept: replace(kept, window=window), duty
                )

    async def _order(self, one: CertTable) -> None:
        """From what was reached to a certificate in service; a failure is kept with the time of the next try."""
        duty = (self.me, self.term)
        standing = self._standing(one)
        authorities = self.table.authority
        place = authorities[min(standing.failures.authority, len(authorities) - 1)]
        self.counts["orders"] += 1
        try:
            session, https = await self._session(place, duty)
            key = await self._off(self.store.pending_key, one.id, one.key_, duty)
            note = await self._off(self.store.note, one.id)
            request = await self._off(chain.csr, key, one.names)
            pair = self.keeper.pairs.get(one.id)
            wanted = order_flow.Wanted(
                one.names,
                one.challenge,
                request,
                self.table.renewal.order_minutes * 60,
                place.issuer,
                pair.facts.ari if pair and not note.wanted else "",
            )
            try:
                pem = await self.perform(
                    order_flow.obtain(session, note, wanted, _issuers), https, one.id, duty
                )
            except AcmeError as wrong:
                # Asked for by a process that died while the authority looked: that says nothing of the names.
                if not (note.order and note.order.url) or wrong.kind not in (
                    Kind.CHALLENGE,
                    Kind.ORDER,
                ):
                    raise
                log.warning(
                    "certs: %s: an order of an earlier life was lost, a new one begins: %s",
                    one.id,
                    wrong,
                )
                note = replace(note, order=None)
                pem = await self.perform(
                    order_flow.obtain(session, note, wanted, _issuers), https, one.id, duty
                )
            await self._off(self._put_in_service, one, pem, key, duty)
            await self._off(self.keeper.load)
            self.unkept.pop(one.id, None)
            self.counts["obtained"] += 1
        except LostLease as wrong:
            log.warning("certs: %s: %s", one.id, wrong.detail)
        except (AcmeError, DocumentError, OSError) as wrong:
            await self._failed(one, place, wrong, duty)

    def _put_in_service(
        self, one: CertTable, pem: bytes, key: bytes, duty: tuple[str, int]
    ) -> None:
        """Checked as every gateway will check it, then installed; ``AcmeError`` where it must not serve."""
        try:
            chain.check(pem, key, one.names, self.clock.now())
        except chain.ChainError as wrong:
            raise AcmeError(Kind.UNUSABLE, f"the certificate that was issued: {wrong}") from None
        self.store.install(one.id, pem, key, CertNote(names=one.names), duty)

    async def _failed(
        self, one: CertTable, place: AuthorityTable, wrong: Exception, duty: tuple[str, int]
    ) -> None:
        """Keep what failed; the key is dropped where the authority may not want it, the account where it is gone."""
        if not isinstance(wrong, AcmeError):
            wrong = AcmeError(Kind.LOCAL, str(wrong))
        kind = wrong.kind
        self.counts[f"failed: {kind.value}"] += 1
        log.warning("certs: %s at %s: %s", one.id, place.directory, wrong)
        self.sessions.pop(place.directory, None)
        try:
            note = await self._off(self.store.note, one.id)
        except (AcmeError, DocumentError):
            note = CertNote()
        standing = replace(self._standing(one), failures=note.failures)
        failures = renewal.failed(
            self.clock.now(),
            standing,
            kind,
            wrong.detail,
            wrong.retry_after,
            self.random.random(),
            len(self.table.authority),
        )
        keeps = kind in (Kind.AWAY, Kind.RATE, Kind.LOCAL)
        order = note.order if keeps and failures.authority == note.failures.authority else None

        def keep(kept: CertNote) -> CertNote:
            return replace(kept, failures=failures, order=order)

        try:
            if kind in (Kind.UNUSABLE, Kind.REJECTED):
                await self._off(self.store.drop_pending, one.id, duty)
            if kind is Kind.ACCOUNT:
                await self._off(self.store.lose_account, place.directory, duty)
            await self._off(self.store.amend, one.id, keep, duty)
        except (AcmeError, OSError) as also:  # the disk is full, or the lease is lost
            log.warning("certs: %s: %s", one.id, also)
            self.unkept[one.id] = failures
        self.notes[one.id] = keep(note)

    # -- steps ----------------------------------------------------------------------------------------------------

    async def perform(self, steps: Flow[Any], https: Https, id: str, duty: tuple[str, int]) -> Any:
        """Carry out the steps of a flow; what it returns."""
        answer: Any = None
        wrong: AcmeError | None = None
        while True:
            try:
                step = steps.throw(wrong) if wrong else steps.send(answer)
            except StopIteration as done:
                return done.value
            answer, wrong = None, None
            try:
                answer = await self._step(step, https, id, duty)
            except AcmeError as failed:
                wrong = failed

    async def _step(
        self, step: order_flow.Step, https: Https, id: str, duty: tuple[str, int]
    ) -> Any:
        if isinstance(step, Request):
            self.counts["requests"] += 1
            self.store.step(f"ask {step.read}")
            answer = await https.send(step)
            self.store.step(f"asked {step.read}")
            return answer
        if isinstance(step, Keep):
            order = step.note.order  # all that a flow changes
            await self._off(self.store.amend, id, lambda kept: replace(kept, order=order), duty)
        elif isinstance(step, Publish):
            until = self.clock.now() + CHALLENGE_FOR
            proof = Proof(step.name, step.type, step.token, step.authorisation, until)
            await self._off(self.store.publish, proof, duty)
        elif isinstance(step, Withdraw):
            await self._off(self.store.withdraw, step.tokens)
        elif isinstance(step, Wait):
            await self.clock.sleep(step.span)
        return None

    # -- what is in force -----------------------------------------------------------------------------------------

    def rows(self) -> list[Row]:
        """Every certificate, the most urgent first."""
        now, found = self.clock.now(), []
        managed = {one.id: one for one in self.table.certificate}
        for id in {*managed, *self.keeper.pairs}:
            pair, note = self.keeper.pairs.get(id), self.notes.get(id, CertNote())
            names = managed[id].names if id in managed else note.names
            standing = standing_of(pair, note, draw_of(id), names)
            renewed = id in managed and (not note.imported or standing.wanted)
            found.append(
                Row(
                    id,
                    pair.facts.names if pair else names,
                    (pair.facts.end - now) / renewal.DAY if pair else None,
                    pair.facts.issuer if pair else "",
                    renewal.alarm(now, standing, self.rules),
                    renewal.next_try(now, standing, self.rules) if renewed else None,
                    note.failures,
                    id in self.busy,
                )
            )
        return sorted(
            found, key=lambda row: (row.days_left is not None, row.days_left or 0.0, row.id)
        )


def _issuers(pem: bytes) -> set[str]:
    try:
        return chain.issuer_names(chain.parse(pem))
    except chain.ChainError:
        return set()


def _external(place: AuthorityTable) -> tuple[str, bytes] | None:
    if not place.external_key:
        return None
    try:
        return place.external_id, external_key(Path(place.external_key).read_text())
    except (OSError, ValueError) as wrong:
        raise AcmeError(Kind.LOCAL, f"{place.external_key}: {wrong}") from None


def _proof_context(proof: Proof) -> ssl.SSLContext:
    """What proves a name to an authority by TLS (RFC 8737)."""
    digest = hashlib.sha256(proof.authorisation.encode()).digest()
    now = datetime.now(UTC)
    cert, key = chain.proof(proof.name, digest, now - timedelta(days=1), now + timedelta(days=7))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["acme-tls/1"])
    # The library takes files only; the key is for this check.
    with tempfile.NamedTemporaryFile(mode="wb") as file:
        file.write(key + cert)
        file.flush()
        context.load_cert_chain(file.name)
    return context
