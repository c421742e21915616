"""``saffrongw certs``: shows and changes the certificates in a site's shared folder.

Running gateways read the folder again once a second. ``renew`` only requests the renewal, which the
gateway that orders certificates carries out; ``revoke`` and ``rollover`` call the authority.
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
from saffrongw.admin import columns, input_error
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

ALARM_STATUS = 1  # exit status of ``list`` where a certificate's alarm is WARNING or worse


@dataclass(frozen=True, slots=True)
class NamedSite:
    """The shared folder that a command names, and ``[certs]`` if it names an operator file."""

    stores: CertificateSite
    table: CertsTable | None


def time_text(at: float | None) -> str:
    """Return a time of renewal or expiry in readable form; past times are ``now``."""
    if at is None:
        return "-"
    if at <= time.time():
        return "now"
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M UTC")


def certificate_rows(site: NamedSite) -> list[CertificateRow]:
    """Return the rows that a gateway would show, except for orders in progress.

    They are made from the folder alone, which does not say who is ordering.
    """
    table = site.table or CertsTable("none:1", site.stores.folder.path)
    renewal_loop = RenewalLoop(table, "operator", TlsSettings())
    store = site.stores.certificates
    found = {name: store.pair(name) for name in store.ids()}
    renewal_loop.loaded.pairs = {name: pair for name, pair in found.items() if pair}
    renewal_loop.status.notes = renewal_loop.status.read_notes()
    return renewal_loop.rows()


def row_json(row: CertificateRow) -> dict:
    """Return a row in types that JSON has."""
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
    """Return rows as a table."""
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
        days_left = "none" if row.days_left is None else f"{row.days_left:.1f}"
        first_name = row.names[0] if row.names else "-"
        more_names = f" +{len(row.names) - 1}" if len(row.names) > 1 else ""
        failure = f"{row.failures.kind}: {row.failures.detail}"[:60] if row.failures else "-"
        alarm = row.alarm.name.lower()
        failure_count = str(row.failures.count or "-")
        lines.append(
            (
                row.id,
                first_name + more_names,
                days_left,
                row.issuer or "-",
                alarm,
                time_text(row.next_at),
                failure_count,
                failure,
            )
        )
    return columns(lines)


def _list(site: NamedSite, options: argparse.Namespace) -> int:
    rows = certificate_rows(site)
    if options.json:
        for row in rows:
            print(json.dumps(row_json(row)))
    else:
        print(table_text(rows) if rows else "no certificates")
        if (lease := site.stores.lease.current()) is not None:
            print(f"orders: {lease.holder}, term {lease.term}, until {time_text(lease.until)}")
    return ALARM_STATUS if any(row.alarm >= renewal.Alarm.WARNING for row in rows) else 0


def _show(site: NamedSite, options: argparse.Namespace) -> int:
    row = next((row for row in certificate_rows(site) if row.id == options.id), None)
    if row is None:
        return _unknown_id(options.id, site.stores.certificates.ids())
    note, pair = (
        site.stores.certificates.note(options.id),
        site.stores.certificates.pair(options.id),
    )
    print(f"certificate  {row.id}")
    print(f"names        {', '.join(row.names) or '-'}")
    if pair:
        facts = pair.facts
        print(
            f"valid        {_utc(facts.start)} to {_utc(facts.end)}, {row.days_left:.2f} days left"
        )
        print(f"issuer       {facts.issuer} (chain of {facts.chain})")
        print(f"serial       {facts.serial:x}")
        print(f"fingerprint  {facts.fingerprint}")
        print(f"files        {pair.cert}, {pair.key.name}")
    else:
        print("valid        there is none that may serve")
    print(f"alarm        {row.alarm.name.lower()}")
    is_manual = note.imported and not note.wanted
    print(f"renewal      {'by hand (imported)' if is_manual else time_text(row.next_at)}")
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


def _unknown_id(certificate_id: str, known_ids: list[str]) -> int:
    return input_error(
        f"no certificate is called {certificate_id!r}; there are: {', '.join(known_ids) or 'none'}"
    )


def _renew(site: NamedSite, options: argparse.Namespace) -> int:
    managed_ids = (
        {certificate.id for certificate in site.table.certificate}
        if site.table
        else set(site.stores.certificates.ids())
    )
    if options.id not in managed_ids:
        return _unknown_id(options.id, sorted(managed_ids))
    site.stores.certificates.request_renewal(options.id)
    print(
        f"{options.id}: whoever holds the duty renews it within a second or two; "
        "watch `saffrongw certs list`"
    )
    return 0


def _import(site: NamedSite, options: argparse.Namespace) -> int:
    try:
        cert, key = options.cert.read_bytes(), options.key.read_bytes()
    except OSError as error:
        return input_error(f"{error.filename}: can't be read: {error.strerror}")
    try:
        facts = chain.check_pair(cert, key, (), time.time())
    except chain.ChainError as error:
        return input_error(f"{options.cert}: {error}")
    certificate_id = options.id or facts.names[0].replace("*", "_")
    note = CertNote(names=facts.names, imported=True)
    site.stores.certificates.install(certificate_id, cert, key, note, None)
    days_left = (facts.end - time.time()) / renewal.DAY
    print(f"{certificate_id}: in service for {', '.join(facts.names)}, {days_left:.1f} days left")
    if site.table and certificate_id in {certificate.id for certificate in site.table.certificate}:
        print("it is not renewed until `saffrongw certs renew` asks for it")
    return 0


def _authority(site: NamedSite, directory: str) -> AuthorityTable:
    """Return the authority with this directory; without one, the only authority."""
    authorities = site.table.authority if site.table else ()
    for authority in authorities:
        if authority.directory == directory or (not directory and len(authorities) == 1):
            return authority
    known_directories = (
        ", ".join(authority.directory for authority in authorities)
        or "none (name the operator file with --operator)"
    )
    raise DocumentError(f"which authority? --authority is one of: {known_directories}")


async def _run_acme_steps(
    site: NamedSite, authority: AuthorityTable, steps: Callable[[Session], Flow[None]]
) -> None:
    """Carry out ACME steps with our account at an authority."""
    assert site.table is not None  # _authority found the authority in it
    renewal_loop = RenewalLoop(site.table, "operator", TlsSettings())
    orders = renewal_loop.orders
    orders.site = site.stores
    try:
        session, https = await orders.connect(authority, None)
        await orders.perform(steps(session), https, "", None)
    finally:
        renewal_loop.worker.close()


def _revoke(site: NamedSite, options: argparse.Namespace) -> int:
    pair = site.stores.certificates.pair(options.id)
    if pair is None:
        return input_error(f"{options.id}: there is no certificate")
    der = chain.der_of(site.stores.certificates.files(pair)[0])
    authority = _authority(site, options.authority)
    asyncio.run(
        _run_acme_steps(
            site, authority, lambda session: session.revoke(der, REASONS[options.reason])
        )
    )
    site.stores.certificates.drop_pending_key(options.id, None)
    site.stores.certificates.request_renewal(options.id)
    print(
        f"{options.id}: revoked; it serves until its successor is there, "
        "which is ordered now with a new key"
    )
    return 0


def _rollover(site: NamedSite, options: argparse.Namespace) -> int:
    authority, new_key = _authority(site, options.authority), AccountKey.new()
    site.stores.accounts.begin_key_change(authority.directory, new_key)
    asyncio.run(_run_acme_steps(site, authority, lambda session: session.roll_over(new_key)))
    site.stores.accounts.end_key_change(authority.directory)
    print(f"the account at {authority.directory} has a new key")
    return 0


def run(options: argparse.Namespace) -> int:
    """Carry out one command; return its exit status, 2 for input that can't be used."""
    commands = {
        "list": _list,
        "show": _show,
        "renew": _renew,
        "revoke": _revoke,
        "rollover": _rollover,
        "import": _import,
    }
    try:
        table = operator.load(options.operator).certs if options.operator else None
        if options.operator and table is None:
            return input_error(f"{options.operator}: it has no [certs]")
        site = CertificateSite(table.state_dir if table else options.state)
        if not site.folder.path.is_dir() and options.what != "import":
            return input_error(f"{site.folder.path}: there is no such folder")
        site.folder.open()
        return commands[options.what](NamedSite(site, table), options)
    except SchemaError as error:
        return input_error(error)
    except (AcmeError, DocumentError) as error:
        return input_error(getattr(error, "detail", None) or error)
