"""``saffrongw certs``: what a site's folder of certificates holds, and what an operator does to it.

Works beside running gateways, which look at the folder once a second. ``renew`` leaves the ordering
to whoever holds the duty; ``revoke`` and ``rollover`` speak to the authority themselves.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime

from saffrongw import operator
from saffrongw.admin import columns, unusable
from saffrongw.certs import chain, renewal
from saffrongw.certs.acme_session import Session
from saffrongw.certs.acme_steps import Flow
from saffrongw.certs.certificate_status import CertificateRow
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote, DocumentError
from saffrongw.certs.jose import AccountKey
from saffrongw.certs.messages import AcmeError
from saffrongw.certs.renewal_loop import RenewalLoop
from saffrongw.certs.table import REASONS, AuthorityTable, CertsTable
from saffrongw.certs.tls_listener import TlsSettings
from toml_schema import SchemaError

ALARM_STATUS = 1  # exit status of ``list`` where something is urgent


@dataclass(frozen=True, slots=True)
class NamedSite:
    """The shared folder that a command names, and the operator's table if there is one."""

    stores: CertificateSite
    table: CertsTable | None


def when(at: float | None) -> str:
    """A time as people read it."""
    if at is None:
        return "-"
    if at <= time.time():
        return "now"
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M UTC")


def rows_of(site: NamedSite) -> list[CertificateRow]:
    """What a gateway would show, from the folder alone: who orders right now is not known here."""
    table = site.table or CertsTable("none:1", site.stores.folder.path)
    renewal_loop = RenewalLoop(table, "operator", TlsSettings())
    store = site.stores.certificates
    found = {name: store.pair(name) for name in store.ids()}
    renewal_loop.loaded.pairs = {name: pair for name, pair in found.items() if pair}
    renewal_loop.status.notes = renewal_loop.status.read_notes()
    return renewal_loop.rows()


def as_json(row: CertificateRow) -> dict:
    """One row in plain types."""
    return {
        "id": row.id,
        "names": list(row.names),
        "days_left": row.days_left,
        "issuer": row.issuer,
        "alarm": row.alarm.name.lower(),
        "next_at": row.next_at,
        "failed": row.failures.count,
        "failure": row.failures.kind,
        "detail": row.failures.detail,
    }


def table_text(rows: list[CertificateRow]) -> str:
    """Rows as a table."""
    lines = [
        (
            "certificate",
            "names",
            "days left",
            "issuer",
            "alarm",
            "renewal",
            "failed",
            "last failure",
        )
    ]
    for row in rows:
        left = "none" if row.days_left is None else f"{row.days_left:.1f}"
        names = row.names[0] if row.names else "-"
        more = f" +{len(row.names) - 1}" if len(row.names) > 1 else ""
        why = f"{row.failures.kind}: {row.failures.detail}"[:60] if row.failures else "-"
        alarm = row.alarm.name.lower()
        counted = str(row.failures.count or "-")
        lines.append(
            (row.id, names + more, left, row.issuer or "-", alarm, when(row.next_at), counted, why)
        )
    return columns(lines)


def _list(site: NamedSite, given: argparse.Namespace) -> int:
    rows = rows_of(site)
    if given.json:
        for row in rows:
            print(json.dumps(as_json(row)))
    else:
        print(table_text(rows) if rows else "no certificates")
        if (lease := site.stores.lease.current()) is not None:
            print(f"orders: {lease.holder}, term {lease.term}, until {when(lease.until)}")
    return ALARM_STATUS if any(row.alarm >= renewal.Alarm.WARNING for row in rows) else 0


def _show(site: NamedSite, given: argparse.Namespace) -> int:
    row = next((row for row in rows_of(site) if row.id == given.id), None)
    if row is None:
        return _unknown(given.id, site.stores.certificates.ids())
    note, pair = site.stores.certificates.note(given.id), site.stores.certificates.pair(given.id)
    print(f"certificate  {row.id}")
    print(f"names        {', '.join(row.names) or '-'}")
    if pair:
        f = pair.facts
        print(f"valid        {_utc(f.start)} to {_utc(f.end)}, {row.days_left:.2f} days left")
        print(f"issuer       {f.issuer} (chain of {f.chain})")
        print(f"serial       {f.serial:x}")
        print(f"fingerprint  {f.fingerprint}")
        print(f"files        {pair.cert}, {pair.key.name}")
    else:
        print("valid        there is none that may serve")
    print(f"alarm        {row.alarm.name.lower()}")
    by_hand = note.imported and not note.wanted
    print(f"renewal      {'by hand (imported)' if by_hand else when(row.next_at)}")
    if note.window:
        print(
            f"window       {_utc(note.window.start)} to {_utc(note.window.end)}, by the authority"
        )
    if note.order:
        url = note.order.url or "its answer never came"
        print(f"order        begun {_utc(note.order.begun)} at {note.order.directory}: {url}")
    if note.failures:
        failures = note.failures
        since, last = _utc(failures.since), _utc(failures.at)
        print(f"failed       {failures.count} times in a row since {since}; last {last}")
        print(f"             {failures.kind}: {failures.detail}")
    return 0


def _utc(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _unknown(certificate_id: str, known: list[str]) -> int:
    return unusable(
        f"no certificate is called {certificate_id!r}; there are: {', '.join(known) or 'none'}"
    )


def _renew(site: NamedSite, given: argparse.Namespace) -> int:
    managed = (
        {one.id for one in site.table.certificate}
        if site.table
        else set(site.stores.certificates.ids())
    )
    if given.id not in managed:
        return _unknown(given.id, sorted(managed))
    site.stores.certificates.request_renewal(given.id)
    print(
        f"{given.id}: whoever holds the duty renews it within a second or two; "
        "watch `saffrongw certs list`"
    )
    return 0


def _import(site: NamedSite, given: argparse.Namespace) -> int:
    try:
        cert, key = given.cert.read_bytes(), given.key.read_bytes()
    except OSError as error:
        return unusable(f"{error.filename}: can't be read: {error.strerror}")
    try:
        facts = chain.check_pair(cert, key, (), time.time())
    except chain.ChainError as error:
        return unusable(f"{given.cert}: {error}")
    certificate_id = given.id or facts.names[0].replace("*", "_")
    note = CertNote(names=facts.names, imported=True)
    site.stores.certificates.install(certificate_id, cert, key, note, None)
    days_left = (facts.end - time.time()) / renewal.DAY
    print(f"{certificate_id}: in service for {', '.join(facts.names)}, {days_left:.1f} days left")
    if site.table and certificate_id in {one.id for one in site.table.certificate}:
        print("it is not renewed until `saffrongw certs renew` asks for it")
    return 0


def _authority(site: NamedSite, directory: str) -> AuthorityTable:
    """The one that was named, or the only one."""
    authorities = site.table.authority if site.table else ()
    for authority in authorities:
        if authority.directory == directory or (not directory and len(authorities) == 1):
            return authority
    known = (
        ", ".join(p.directory for p in authorities)
        or "none (name the operator file with --operator)"
    )
    raise DocumentError(f"which authority? --authority is one of: {known}")


async def _converse(
    site: NamedSite, authority: AuthorityTable, steps: Callable[[Session], Flow[None]]
) -> None:
    """Carry out steps with an authority under our account there."""
    assert site.table is not None  # an authority was found in it
    renewal_loop = RenewalLoop(site.table, "operator", TlsSettings())
    orders = renewal_loop.orders
    orders.site = site.stores
    try:
        session, https = await orders.connect(authority, None)
        await orders.perform(steps(session), https, "", None)
    finally:
        renewal_loop.worker.close()


def _revoke(site: NamedSite, given: argparse.Namespace) -> int:
    pair = site.stores.certificates.pair(given.id)
    if pair is None:
        return unusable(f"{given.id}: there is no certificate")
    der = chain.der_of(site.stores.certificates.files(pair)[0])
    authority = _authority(site, given.authority)
    asyncio.run(
        _converse(site, authority, lambda session: session.revoke(der, REASONS[given.reason]))
    )
    site.stores.certificates.drop_pending_key(given.id, None)
    site.stores.certificates.request_renewal(given.id)
    print(
        f"{given.id}: revoked; it serves until its successor is there, "
        "which is ordered now with a new key"
    )
    return 0


def _rollover(site: NamedSite, given: argparse.Namespace) -> int:
    authority, new = _authority(site, given.authority), AccountKey.new()
    site.stores.accounts.begin_key_change(authority.directory, new)
    asyncio.run(_converse(site, authority, lambda session: session.roll_over(new)))
    site.stores.accounts.end_key_change(authority.directory)
    print(f"the account at {authority.directory} has a new key")
    return 0


def run(given: argparse.Namespace) -> int:
    """Carry one of them out; 2 where that can't be done."""
    act = {
        "list": _list,
        "show": _show,
        "renew": _renew,
        "revoke": _revoke,
        "rollover": _rollover,
        "import": _import,
    }
    try:
        table = operator.load(given.operator).certs if given.operator else None
        if given.operator and table is None:
            return unusable(f"{given.operator}: it has no [certs]")
        site = CertificateSite(table.state_dir if table else given.state)
        if not site.folder.path.is_dir() and given.what != "import":
            return unusable(f"{site.folder.path}: there is no such folder")
        site.folder.open()
        return act[given.what](NamedSite(site, table), given)
    except SchemaError as error:
        return unusable(error)
    except (AcmeError, DocumentError) as error:
        return unusable(getattr(error, "detail", None) or error)
