"""The TLS listener on loopback: names, swaps, resumed sessions, clients that never finish, and its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
import time
from dataclasses import replace

import pytest
import trustme
from acme_rig import secure_caller, shown_at, trusting
from conftest import Caller, FakeHost, Rig, asyncio_test, until
from cryptography import x509
from test_chain import csr
from test_client_hello import real

from saffrongw.certs import chain
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote
from saffrongw.certs.handshakes import HandshakeLimits
from saffrongw.certs.loaded_certificates import LoadedCertificates
from saffrongw.certs.tls_listener import TlsListener, TlsSettings
from testbed.acme_server.issuer import Issuer
from testbed.runner.processes import free_port

DAY = 86_400.0


class World:
    """A gateway with a TLS listener whose certificates a test writes."""

    def __init__(
        self, tmp_path, settings: TlsSettings | None = None, limits: HandshakeLimits | None = None
    ) -> None:
        self.site = CertificateSite(tmp_path / "state")
        self.site.folder.open()
        self.issuer = Issuer(time.time())
        self.loaded = LoadedCertificates(self.site.certificates, settings or TlsSettings(), "")
        self.listener = TlsListener(
            ("127.0.0.1", free_port()), self.loaded.settings, limits or HandshakeLimits(), self
        )
        self.checks: dict[str, ssl.SSLContext] = {}

    def context(self, name):
        return self.loaded.contexts_by_name.find(name)

    async def check_context(self, name):
        return self.checks.get(name)

    def install(self, *names: str, days: float = 1.0) -> int:
        """A new certificate; its serial number."""
        key = chain.new_key("ecdsa-p256")
        leaf = self.issuer.sign(csr(key), list(names), time.time() - 60, time.time() + days * DAY)
        self.site.certificates.install(
            names[0].replace("*.", ""), self.issuer.chain(leaf), key, CertNote(names), None
        )
        self.loaded.load()
        return leaf.serial_number

    async def open(self, **changes) -> World:
        self.host = await FakeHost("a").listen()
        self.rig = Rig(self.host, lines=[self.host.line(host=n) for n in "abcdef"], **changes)
        await self.rig.clients.listen()
        self.listener.prepare()
        await self.rig.clients.open_listeners((self.listener,))
        return self

    @property
    def port(self) -> int:
        return self.listener.listener.getsockname()[1]

    async def caller(self, name: str | None = "a.example", context=None) -> Caller:
        return await secure_caller(self.port, name, context)

    async def serial(self, name: str | None = "a.example") -> int:
        return x509.load_der_x509_certificate(await shown_at(self.port, name)).serial_number

    def raw(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port))


@asyncio_test
async def test_each_name_gets_its_certificate_and_an_unknown_one_none(tmp_path):
    world = World(tmp_path)
    a, b, wild = (
        world.install("a.example"),
        world.install("b.example", "c.example"),
        world.install("*.w.example"),
    )
    await world.open()
    assert await world.serial("a.example") == a
    assert await world.serial("B.example") == await world.serial("c.example") == b
    assert await world.serial("x.w.example") == wild
    assert await world.serial(None) == a  # the default
    for name in ("d.example", "x.y.w.example", "w.example"):
        with pytest.raises(ssl.SSLError, match="UNRECOGNIZED_NAME"):
            await world.caller(name)
    assert world.listener.counts["unknown name"] == 3


@asyncio_test
async def test_a_swap_leaves_open_connections_alone_and_serves_new_ones(tmp_path):
    world = World(tmp_path)
    first = world.install("a.example")
    await world.open()
    old = await world.caller()
    old.call(number=b"id1")
    await old.replied(1)
    second = world.install("a.example", days=2)
    assert await world.serial() == second != first
    old.call(number=b"id2")
    assert (await old.replied(2))[1] == b"ok"
    assert not old.closed
    assert world.loaded.swap_count == 2


@pytest.mark.parametrize("version", [ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3])
def test_sessions_are_resumed_across_a_swap_and_not_across_new_keys_of_tickets(tmp_path, version):
    @asyncio_test
    async def run():
        world = World(tmp_path)
        world.install("a.example")
        await world.open()
        context = trusting()
        context.minimum_version = context.maximum_version = version

        def visit(session):
            sock = socket.create_connection(("127.0.0.1", world.port))
            with context.wrap_socket(sock, server_hostname="a.example", session=session) as tls:
                tls.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert tls.recv(100) == b"+PONG\r\n"
                return tls.session, tls.session_reused

        session, reused = await asyncio.to_thread(visit, None)
        assert not reused
        session, reused = await asyncio.to_thread(visit, session)
        assert reused
        world.install("a.example", days=2)
        session, reused = await asyncio.to_thread(visit, session)
        assert reused
        assert world.listener.handshakes.counts["resumed"] == 2
        world.listener.ticket_keys_made_at -= world.listener.settings.ticket_lifetime_s + 1
        world.listener._advance()
        session, reused = await asyncio.to_thread(visit, session)
        assert not reused

    run()


@asyncio_test
async def test_a_hello_that_drips_in_byte_by_byte_is_served_and_costs_no_spinning(tmp_path):
    world = World(tmp_path)
    world.install("a.example")
    await world.open()
    looks = []
    peek = world.listener._peek
    world.listener._peek = lambda sock: (looks.append(sock), peek(sock))
    loop = asyncio.get_running_loop()
    into, out = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = trusting().wrap_bio(into, out, server_hostname="a.example")
    with world.raw() as sock:
        sock.setblocking(False)
        with pytest.raises(ssl.SSLWantReadError):
            client.do_handshake()
        hello = out.read()
        for at in range(len(hello)):
            await loop.sock_sendall(sock, hello[at : at + 1])
            await asyncio.sleep(0)
        while True:
            try:
                client.do_handshake()
                break
            except ssl.SSLWantReadError:
                into.write(await loop.sock_recv(sock, 65_536))
        await loop.sock_sendall(sock, out.read())
        await until(lambda: world.listener.handshakes.counts["full"] == 1)
    assert len(looks) <= 8  # and not one for each byte, or each turn of the loop


@asyncio_test
async def test_what_is_no_hello_is_closed_at_once(tmp_path):
    world = World(tmp_path)
    world.install("a.example")
    await world.open()
    loop = asyncio.get_running_loop()
    for data in (
        b"*1\r\n$4\r\nPING\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x40\x01" + b"\x01" * 100,
    ):
        with world.raw() as sock:
            sock.setblocking(False)
            await loop.sock_sendall(sock, data)
            with contextlib.suppress(ConnectionResetError):
                assert await loop.sock_recv(sock, 100) == b""
    assert world.listener.handshakes.counts["no hello"] == 3
    with world.raw() as sock:
        sock.sendall(real("a.example")[:50])
    with world.raw():
        pass
    await until(lambda: world.listener.handshakes.counts["left"] == 2)
    assert world.listener.opening == 0


@asyncio_test
async def test_clients_that_never_finish_are_bounded_and_hold_up_nobody(tmp_path):
    """Silent ones, and ones that stop within the handshake, while a swap is on: others are served, all ends."""
    world = World(tmp_path, limits=HandshakeLimits(max_half_open=16, timeout_us=1_500_000))
    world.install("a.example")
    await world.open(sockets=400)
    hello = real("a.example")
    socks = [world.raw() for _ in range(60)]
    for sock in socks[:20]:
        sock.sendall(hello)  # and never an answer to ours
    await until(
        lambda: (
            world.listener.handshakes.counts["made room"]
            + world.listener.handshakes.counts["turned away"]
            > 0
        )
    )
    assert world.listener.opening <= 16
    serial = world.install("a.example", days=2)
    plain = await world.rig.caller()
    plain.call()
    assert (await plain.replied(1))[0] == b"ok"
    await until(lambda: world.listener.opening == 0)
    assert await world.serial() == serial
    for sock in socks:
        sock.close()
    assert len(world.rig.clients.connections) <= 2


@asyncio_test
async def test_handshakes_beyond_their_share_of_the_core_wait_in_line(tmp_path):
    world = World(
        tmp_path,
        limits=HandshakeLimits(
            cpu_share=0.01, burst_us=1_000, full_cost_us=1_000, timeout_us=5_000_000
        ),
    )
    world.install("a.example")
    await world.open()
    began = time.monotonic()
    callers = await asyncio.gather(*(world.caller() for _ in range(4)))
    assert time.monotonic() - began > 0.25  # three waited for 0.1 s of the clock each
    for caller in callers:
        caller.ask(b"PING")
    assert [(await caller.replied(1))[0] for caller in callers] == [b"PONG"] * 4


@asyncio_test
async def test_clients_prove_themselves_where_that_is_wanted(tmp_path):
    ca = trustme.CA()
    ca.cert_pem.write_to_path(str(tmp_path / "clients.pem"))
    world = World(
        tmp_path, TlsSettings(client_ca=str(tmp_path / "clients.pem"), clients="required")
    )
    world.install("a.example")
    await world.open()
    known = trusting()
    ca.issue_cert("client.example").configure_cert(known)
    caller = await world.caller(context=known)
    caller.ask(b"PING")
    assert (await caller.replied(1))[0] == b"PONG"
    stranger = trusting()
    trustme.CA().issue_cert("client.example").configure_cert(stranger)
    for context in (trusting(), stranger):
        context.maximum_version = ssl.TLSVersion.TLSv1_2  # else the client only learns of it later
        with pytest.raises((ssl.SSLError, ConnectionError)):
            await world.caller(context=context)


@asyncio_test
async def test_protocols_are_agreed_on_and_old_versions_refused(tmp_path):
    world = World(tmp_path, TlsSettings("1.3", ("resp", "x")))
    world.install("a.example")
    await world.open()
    context = trusting()
    context.set_alpn_protocols(["y", "resp"])
    caller = await world.caller(context=context)
    assert caller.transport.get_extra_info("ssl_object").selected_alpn_protocol() == "resp"
    old = trusting()
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    with pytest.raises((ssl.SSLError, ConnectionError)):
        await world.caller(context=old)


@asyncio_test
async def test_other_settings_apply_to_new_connections_and_invalid_ones_not_at_all(
    tmp_path,
):
    world = World(tmp_path)
    world.install("a.example")
    await world.open()
    with pytest.raises(OSError):
        world.listener.prepare_change(
            TlsSettings(client_ca=str(tmp_path / "none.pem"), clients="required"), HandshakeLimits()
        )
    settings = replace(world.listener.settings, minimum_version="1.3")
    commit = world.listener.prepare_change(settings, HandshakeLimits())
    world.loaded.settings = settings
    world.loaded.load()
    commit()
    old = trusting()
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    with pytest.raises((ssl.SSLError, ConnectionError)):
        await world.caller(context=old)
    await world.caller()


@asyncio_test
async def test_a_drain_finishes_what_is_held_over_tls_too(tmp_path):
    world = World(tmp_path)
    world.install("a.example")
    await world.open()
    late = []
    world.host.script = lambda command: late.append(world.host.peer) or None
    caller, idle = await world.caller(), await world.caller()
    caller.call()
    await until(lambda: late)
    draining = asyncio.ensure_future(world.rig.clients.shutdown.drain(0.05))
    await until(lambda: idle.closed)
    late[0].transport.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n")
    assert (await caller.replied(1))[0] == b"ok"
    await draining
    with pytest.raises(OSError):
        await world.caller()


@asyncio_test
async def test_a_successor_gets_plain_connections_and_tls_ones_end_when_they_are_idle(tmp_path):
    world = World(tmp_path)
    world.install("a.example")
    await world.open()
    given = []
    plain, secure = await world.rig.caller(), await world.caller()
    await until(lambda: len(world.rig.clients.connections) == 2)
    world.rig.clients.shutdown.hand_over(lambda fd, begun: given.append(fd) or True)
    await until(lambda: secure.closed)
    assert len(given) == 1
    await world.rig.clients.shutdown.finish()
    assert not world.rig.clients.connections
    plain.transport.abort()
