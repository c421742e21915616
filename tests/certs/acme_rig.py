"""Fixtures for certificate tests: gateways in this process, an authority on loopback, a fast clock."""

from __future__ import annotations

import asyncio
import dataclasses
import ssl
import time
from pathlib import Path

from async_testing import until
from client_rig import Caller
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.certs.component import CertsComponent
from saffrongw.certs.renewal_loop import SystemClock
from saffrongw.certs.table import AuthorityTable, CertsTable, CertTable
from testbed.acme_server.server import AuthorityServer
from testbed.runner.processes import free_port

NAME = "gw.example"
DAY = 86_400.0


class FastClock(SystemClock):
    """A clock that runs ``pace`` times as fast as real time; adding to ``ahead`` makes it jump."""

    def __init__(self, pace: float = 1.0) -> None:
        self.pace, self.began, self.ahead = pace, time.time(), 0.0
        self.first = time.monotonic()

    def now(self) -> float:
        return self.began + (time.monotonic() - self.first) * self.pace + self.ahead

    async def sleep(self, span: float) -> None:
        await asyncio.sleep(max(0.002, span / self.pace))


def table_of(folder: Path, server: AuthorityServer, **changes) -> CertsTable:
    """A table with one certificate for one name, validated by TLS-ALPN-01, from one authority."""
    ca = str(server.write_ca(folder))
    found = CertsTable(
        f"127.0.0.1:{free_port()}",
        folder / "state",
        certificate=(CertTable((NAME,)),),
        authority=(AuthorityTable(server.directory, ca=ca),),
    )
    return dataclasses.replace(found, **changes)


class Member:
    """One gateway of the site."""

    def __init__(self, table: CertsTable, clock: SystemClock, seed: int = 1) -> None:
        self.table, self.clock, self.seed = table, clock, seed

    async def start(self) -> Member:
        self.host = await FakeEndpoint("h1").listen()
        self.rig = Rig(
            self.host, self.host.line(host="h2"), lines=[self.host.line(host=n) for n in "abcdef"]
        )
        self.part = CertsComponent(self.table, self.seed, self.clock)
        await self.rig.listen()
        await self.part.start(self.rig.driver)
        await self.rig.clients.open_listeners((self.part.listener,))
        return self

    async def stop(self) -> None:
        await self.part.stop()

    @property
    def tls_port(self) -> int:
        return self.part.listener.listener.getsockname()[1]

    async def caller(self, name: str | None = NAME) -> Caller:
        return await secure_caller(self.tls_port, name)

    async def shown(self, name: str | None = NAME) -> bytes:
        return await shown_at(self.tls_port, name)

    async def serves(self, within: float = 20.0) -> None:
        await until(lambda: NAME in self.part.renewal.loaded.contexts_by_name.contexts, within)


async def secure_caller(
    port: int, name: str | None, context: ssl.SSLContext | None = None
) -> Caller:
    """Open a client connection over TLS without verifying the certificate."""
    loop, tls = asyncio.get_running_loop(), context or trusting()
    made = await loop.create_connection(
        Caller, "127.0.0.1", port, ssl=tls, server_hostname=name or ""
    )
    return made[1]


async def shown_at(port: int, name: str | None) -> bytes:
    """Return the certificate that a new client receives, as DER."""
    caller = await secure_caller(port, name)
    found = caller.transport.get_extra_info("ssl_object").getpeercert(binary_form=True)
    caller.transport.abort()
    return found


def trusting() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    return context
