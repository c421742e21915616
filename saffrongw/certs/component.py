"""The part that ``[certs]`` switches on: built from its table, changed in service, shown as rows and figures."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from saffrongw.gateway.config import parse_address
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.extensions import LeaderGuard

from .handshakes import SECOND, Bounds
from .renewal_loop import Agent, Clock, Row
from .responder import Responder
from .table import CertsTable, ClientsTable
from .tls_listener import Front, Manner, make_context

MS = 1_000  # microseconds


def manner_of(table: ClientsTable) -> Manner:
    """How TLS is spoken."""
    return Manner(
        table.minimum, table.protocols, table.client_ca, table.clients, table.ticket_hours * 3_600
    )


def bounds_of(table: ClientsTable) -> Bounds:
    """What handshakes may cost."""
    return Bounds(
        table.half_open, table.handshake_ms * MS, table.share, int(table.share * SECOND / 5)
    )


class CertsComponent:
    """Service, front, figures and rows in one."""

    def __init__(
        self,
        table: CertsTable,
        seed: int,
        clock: Clock | None = None,
        duty: LeaderGuard | None = None,
    ) -> None:
        self.table = table
        manner = manner_of(table.tls)
        make_context(manner)  # a file of clients' authorities that can't be read ends the start
        # New with each start: a gateway that comes back is not the one that held the lease.
        me = f"{socket.gethostname()}-{os.getpid()}-{seed:x}"[:120]
        self.agent = Agent(table, me, manner, clock, duty=duty)
        self.front = Front(parse_address(table.listen), manner, bounds_of(table.tls), self.agent)
        self.responder = (
            Responder(parse_address(table.http_listen), self.agent.key_authorisation)
            if table.http_listen
            else None
        )

    async def start(self, driver: Driver) -> None:
        """Serve what the folder has, and look after it."""
        self.front.prepare()
        if self.responder:
            self.responder.start(driver.loop)
        await self.agent.start()

    async def stop(self) -> None:
        """End; another gateway may order at once."""
        self.front.close()
        if self.responder:
            self.responder.close()
        await self.agent.stop()

    def change(self, new: CertsTable) -> Callable[[], None]:
        """Prepare another table: ``OSError`` or ``ValueError`` where it can't be. What is returned puts it in force
        and can't fail. Addresses, the folder and the lease wait for the next start."""
        same = ("listen", "http_listen", "state_dir", "lease_seconds", "clock_skew")
        if moved := [name for name in same if getattr(new, name) != getattr(self.table, name)]:
            raise ValueError(f"certs.{moved[0]} can't change in service")
        manner = manner_of(new.tls)
        commit = self.front.change(manner, bounds_of(new.tls))

        def put_in_force() -> None:
            self.table = new
            commit()
            self.agent.change(new, manner)

        return put_in_force

    def rows(self) -> list[Row]:
        """Every certificate, the most urgent first."""
        return self.agent.rows()

    def figures(self) -> list[tuple[str, int]]:
        """Counts since the start, and as of now: certificates, hours that the first one has left, alarms."""
        rows, agent, shakes = self.rows(), self.agent, self.front.handshakes
        hours = [int(row.days_left * 24) for row in rows if row.days_left is not None]
        found = [
            ("certs.count", len(agent.keeper.pairs)),
            ("certs.hours_left_least", min(hours, default=-1)),
            ("certs.alarm_highest", max((int(row.alarm) for row in rows), default=0)),
            ("certs.swaps", agent.keeper.swaps),
            ("certs.holds_duty", int(bool(agent.term))),
            ("certs.orders", agent.counts["orders"]),
            ("certs.obtained", agent.counts["obtained"]),
            (
                "certs.failed",
                sum(n for name, n in agent.counts.items() if name.startswith("failed")),
            ),
            ("tls.half_open", len(shakes)),
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
        found += [(f"tls.{name.replace(' ', '_')}", shakes.counts[name]) for name in names]
        found += [
            (f"tls.{name.replace(' ', '_')}", self.front.counts[name])
            for name in ("unknown name", "checks")
        ]
        return found
