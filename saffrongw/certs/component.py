"""The component that ``[certs]`` of the operator file switches on."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from saffrongw.gateway.config import parse_address
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.extensions import LeaderGuard

from .certificate_status import CertificateRow
from .handshakes import SECOND, HandshakeLimits
from .renewal_loop import RenewalLoop, SystemClock
from .responder import Responder
from .table import CertsTable, ClientsTable
from .tls_listener import TlsListener, TlsSettings, make_context

MS = 1_000  # microseconds


def tls_settings_of(table: ClientsTable) -> TlsSettings:
    """Return the TLS settings of a table."""
    return TlsSettings(
        table.minimum, table.protocols, table.client_ca, table.clients, table.ticket_hours * 3_600
    )


def handshake_limits_of(table: ClientsTable) -> HandshakeLimits:
    """Return the handshake limits of a table."""
    return HandshakeLimits(
        table.half_open, table.handshake_ms * MS, table.share, int(table.share * SECOND / 5)
    )


class CertsComponent:
    """The TLS listener, renewal loop, HTTP-01 responder, metrics and status rows of one gateway."""

    def __init__(
        self,
        table: CertsTable,
        seed: int,
        clock: SystemClock | None = None,
        leader_guard: LeaderGuard | None = None,
    ) -> None:
        """Build all components; ``OSError`` if the client authorities cannot be read."""
        self.table = table
        settings = tls_settings_of(table.tls)
        make_context(settings)  # fails the start if the file of client authorities is unreadable
        # Differs with each start, so that a restarted gateway does not continue the old lease.
        holder = f"{socket.gethostname()}-{os.getpid()}-{seed:x}"[:120]
        self.renewal = RenewalLoop(table, holder, settings, clock, leader_guard=leader_guard)
        self.listener = TlsListener(
            parse_address(table.listen), settings, handshake_limits_of(table.tls), self.renewal
        )
        self.responder = (
            Responder(parse_address(table.http_listen), self.renewal.key_authorisation)
            if table.http_listen
            else None
        )

    async def start(self, driver: Driver) -> None:
        """Load the certificates of the folder, and start to renew them and to answer challenges."""
        self.listener.prepare()
        if self.responder:
            self.responder.start(driver.loop)
        await self.renewal.start()

    async def stop(self) -> None:
        """Stop and release the lease, so that another gateway can order at once."""
        self.listener.close()
        if self.responder:
            self.responder.close()
        await self.renewal.stop()

    def change(self, new: CertsTable) -> Callable[[], None]:
        """Prepare another table; the result applies it and cannot fail.

        Raises ``OSError`` or ``ValueError`` if it cannot be applied. Changes of addresses, the
        folder and the lease take effect at the next start.
        """
        same = ("listen", "http_listen", "state_dir", "lease_seconds", "clock_skew")
        if moved := [name for name in same if getattr(new, name) != getattr(self.table, name)]:
            raise ValueError(f"certs.{moved[0]} can't change in service")
        settings = tls_settings_of(new.tls)
        commit = self.listener.prepare_change(settings, handshake_limits_of(new.tls))

        def put_in_force() -> None:
            self.table = new
            commit()
            self.renewal.reconfigure(new, settings)

        return put_in_force

    def rows(self) -> list[CertificateRow]:
        """Return every certificate, the most urgent first."""
        return self.renewal.rows()

    def figures(self) -> list[tuple[str, int]]:
        """Return counters since the start, and gauges of certificates, hours left and alarms."""
        rows, handshakes = self.rows(), self.listener.handshakes
        counts = self.renewal.orders.counts
        hours = [int(row.days_left * 24) for row in rows if row.days_left is not None]
        found = [
            ("certs.count", len(self.renewal.loaded.pairs)),
            ("certs.hours_left_least", min(hours, default=-1)),
            ("certs.alarm_highest", max((int(row.alarm) for row in rows), default=0)),
            ("certs.swaps", self.renewal.loaded.swap_count),
            ("certs.holds_duty", int(bool(self.renewal.term))),
            ("certs.orders", counts["orders"]),
            ("certs.obtained", counts["obtained"]),
            (
                "certs.failed",
                sum(n for name, n in counts.items() if name.startswith("failed")),
            ),
            ("tls.half_open", len(handshakes)),
        ]
        names = (
            "full",
            "resumed",
            "failed",
            "late",
            "turned away",
            "made room",
            "no hello",
            "left",
        )
        found += [(f"tls.{name.replace(' ', '_')}", handshakes.counts[name]) for name in names]
        found += [
            (f"tls.{name.replace(' ', '_')}", self.listener.counts[name])
            for name in ("unknown name", "checks")
        ]
        return found
