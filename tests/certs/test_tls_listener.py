"""The TLS listener on loopback: names, new certificates, resumption, unfinished handshakes, shutdown."""

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
from async_testing import asyncio_test, until
from client_rig import Caller
from cryptography import x509
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig
from test_chain import csr
from test_client_hello import client_hello_bytes

from saffrongw.certs import chain
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote
from saffrongw.certs.handshakes import HandshakeLimits
from saffrongw.certs.loaded_certificates import LoadedCertificates
from saffrongw.certs.tls_listener import TlsListener, TlsSettings
from testbed.acme_server.issuer import Issuer
from testbed.runner.processes import free_port

DAY = 86_400.0


class TlsGateway:
    """A gateway with a TLS listener whose certificates the test installs."""

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

    async def validation_context(self, name):
        return self.checks.get(name)

    def install(self, *names: str, days: float = 1.0) -> int:
        """Install a new certificate and return its serial number."""
        key = chain.new_key("ecdsa-p256")
        leaf = self.issuer.sign(csr(key), list(names), time.time() - 60, time.time() + days * DAY)
        self.site.certificates.install(
            names[0].replace("*.", ""), self.issuer.chain(leaf), key, CertNote(names), None
        )
        self.loaded.load()
        return leaf.serial_number

    async def open(self, **changes) -> TlsGateway:
        self.host = await FakeEndpoint("a").listen()
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
async def test_each_name_gets_its_certificate_and_an_unknown_name_an_alert(tmp_path):
    gateway = TlsGateway(tmp_path)
    a, b, wild = (
        gateway.install("a.example"),
        gateway.install("b.example", "c.example"),
        gateway.install("*.w.example"),
    )
    await gateway.open()
    assert await gateway.serial("a.example") == a
    assert await gateway.serial("B.example") == await gateway.serial("c.example") == b
    assert await gateway.serial("x.w.example") == wild
    assert await gateway.serial(None) == a  # the default
    for name in ("d.example", "x.y.w.example", "w.example"):
        with pytest.raises(ssl.SSLError, match="UNRECOGNIZED_NAME"):
            await gateway.caller(name)
    assert gateway.listener.counts["unknown name"] == 3


@asyncio_test
async def test_a_new_certificate_applies_to_new_connections_only(tmp_path):
    gateway = TlsGateway(tmp_path)
    first = gateway.install("a.example")
    await gateway.open()
    old = await gateway.caller()
    old.call(number=b"id1")
    await old.replied(1)
    second = gateway.install("a.example", days=2)
    assert await gateway.serial() == second != first
    old.call(number=b"id2")
    assert (await old.replied(2))[1] == b"ok"
    assert not old.closed
    assert gateway.loaded.swap_count == 2


@pytest.mark.parametrize("version", [ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3])
def test_sessions_are_resumed_after_a_new_certificate_but_not_after_new_ticket_keys(
    tmp_path, version
):
    @asyncio_test
    async def run():
        gateway = TlsGateway(tmp_path)
        gateway.install("a.example")
        await gateway.open()
        context = trusting()
        context.minimum_version = context.maximum_version = version

        def connect(session):
            sock = socket.create_connection(("127.0.0.1", gateway.port))
            with context.wrap_socket(sock, server_hostname="a.example", session=session) as tls:
                tls.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert tls.recv(100) == b"+PONG\r\n"
                return tls.session, tls.session_reused

        session, reused = await asyncio.to_thread(connect, None)
        assert not reused
        session, reused = await asyncio.to_thread(connect, session)
        assert reused
        gateway.install("a.example", days=2)
        session, reused = await asyncio.to_thread(connect, session)
        assert reused
        assert gateway.listener.handshakes.counts["resumed"] == 2
        gateway.listener.ticket_keys_made_at -= gateway.listener.settings.ticket_lifetime_s + 1
        gateway.listener._advance()
        session, reused = await asyncio.to_thread(connect, session)
        assert not reused

    run()


@asyncio_test
async def test_a_hello_sent_byte_by_byte_is_served_without_busy_polling(tmp_path):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    looks = []
    peek = gateway.listener._peek
    gateway.listener._peek = lambda sock: (looks.append(sock), peek(sock))
    loop = asyncio.get_running_loop()
    into, out = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = trusting().wrap_bio(into, out, server_hostname="a.example")
    with gateway.raw() as sock:
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
        await until(lambda: gateway.listener.handshakes.counts["full"] == 1)
    assert len(looks) <= 8  # not one for each byte or each turn of the event loop


@asyncio_test
async def test_connections_without_a_client_hello_are_closed_at_once(tmp_path):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    loop = asyncio.get_running_loop()
    for data in (
        b"*1\r\n$4\r\nPING\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x40\x01" + b"\x01" * 100,
    ):
        with gateway.raw() as sock:
            sock.setblocking(False)
            await loop.sock_sendall(sock, data)
            with contextlib.suppress(ConnectionResetError):
                assert await loop.sock_recv(sock, 100) == b""
    assert gateway.listener.handshakes.counts["no hello"] == 3
    with gateway.raw() as sock:
        sock.sendall(client_hello_bytes("a.example")[:50])
    with gateway.raw():
        pass
    await until(lambda: gateway.listener.handshakes.counts["left"] == 2)
    assert gateway.listener.opening == 0


@asyncio_test
async def test_unfinished_handshakes_are_bounded_and_block_no_other_client(tmp_path):
    """Clients stop before or within the handshake during a certificate change: others are served, and all
    unfinished handshakes end.
    """
    gateway = TlsGateway(tmp_path, limits=HandshakeLimits(max_half_open=16, timeout_us=1_500_000))
    gateway.install("a.example")
    await gateway.open(sockets=400)
    hello = client_hello_bytes("a.example")
    socks = [gateway.raw() for _ in range(60)]
    for sock in socks[:20]:
        sock.sendall(hello)  # and nothing after the ServerHello
    await until(
        lambda: (
            gateway.listener.handshakes.counts["made room"]
            + gateway.listener.handshakes.counts["turned away"]
            > 0
        )
    )
    assert gateway.listener.opening <= 16
    serial = gateway.install("a.example", days=2)
    plain = await gateway.rig.caller()
    plain.call()
    assert (await plain.replied(1))[0] == b"ok"
    await until(lambda: gateway.listener.opening == 0)
    assert await gateway.serial() == serial
    for sock in socks:
        sock.close()
    assert len(gateway.rig.clients.connections) <= 2


@asyncio_test
async def test_handshakes_beyond_the_cpu_share_are_queued(tmp_path):
    gateway = TlsGateway(
        tmp_path,
        limits=HandshakeLimits(
            cpu_share=0.01, burst_us=1_000, full_cost_us=1_000, timeout_us=5_000_000
        ),
    )
    gateway.install("a.example")
    await gateway.open()
    began = time.monotonic()
    callers = await asyncio.gather(*(gateway.caller() for _ in range(4)))
    assert time.monotonic() - began > 0.25  # three waited 0.1 s each
    for caller in callers:
        caller.ask(b"PING")
    assert [(await caller.replied(1))[0] for caller in callers] == [b"PONG"] * 4


@asyncio_test
async def test_client_certificates_are_verified_if_required(tmp_path):
    ca = trustme.CA()
    ca.cert_pem.write_to_path(str(tmp_path / "clients.pem"))
    gateway = TlsGateway(
        tmp_path, TlsSettings(client_ca=str(tmp_path / "clients.pem"), clients="required")
    )
    gateway.install("a.example")
    await gateway.open()
    known = trusting()
    ca.issue_cert("client.example").configure_cert(known)
    caller = await gateway.caller(context=known)
    caller.ask(b"PING")
    assert (await caller.replied(1))[0] == b"PONG"
    stranger = trusting()
    trustme.CA().issue_cert("client.example").configure_cert(stranger)
    for context in (trusting(), stranger):
        context.maximum_version = (
            ssl.TLSVersion.TLSv1_2
        )  # in TLS 1.3 the client learns of it only after its handshake
        with pytest.raises((ssl.SSLError, ConnectionError)):
            await gateway.caller(context=context)


@asyncio_test
async def test_alpn_is_negotiated_and_old_versions_are_rejected(tmp_path):
    gateway = TlsGateway(tmp_path, TlsSettings("1.3", ("resp", "x")))
    gateway.install("a.example")
    await gateway.open()
    context = trusting()
    context.set_alpn_protocols(["y", "resp"])
    caller = await gateway.caller(context=context)
    assert caller.transport.get_extra_info("ssl_object").selected_alpn_protocol() == "resp"
    old = trusting()
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    with pytest.raises((ssl.SSLError, ConnectionError)):
        await gateway.caller(context=old)


@asyncio_test
async def test_new_settings_apply_to_new_connections_and_invalid_ones_are_rejected(
    tmp_path,
):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    with pytest.raises(OSError):
        gateway.listener.prepare_change(
            TlsSettings(client_ca=str(tmp_path / "none.pem"), clients="required"), HandshakeLimits()
        )
    settings = replace(gateway.listener.settings, minimum_version="1.3")
    commit = gateway.listener.prepare_change(settings, HandshakeLimits())
    gateway.loaded.settings = settings
    gateway.loaded.load()
    commit()
    old = trusting()
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    with pytest.raises((ssl.SSLError, ConnectionError)):
        await gateway.caller(context=old)
    await gateway.caller()


@asyncio_test
async def test_a_drain_finishes_held_requests_over_tls(tmp_path):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    late = []
    gateway.host.script = lambda command: late.append(gateway.host.peer) or None
    caller, idle = await gateway.caller(), await gateway.caller()
    caller.call()
    await until(lambda: late)
    draining = asyncio.ensure_future(gateway.rig.clients.shutdown.drain(0.05))
    await until(lambda: idle.closed)
    late[0].transport.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n")
    assert (await caller.replied(1))[0] == b"ok"
    await draining
    with pytest.raises(OSError):
        await gateway.caller()


@asyncio_test
async def test_a_hot_restart_passes_plain_connections_and_closes_idle_tls_ones(tmp_path):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    given = []
    plain, secure = await gateway.rig.caller(), await gateway.caller()
    await until(lambda: len(gateway.rig.clients.connections) == 2)
    gateway.rig.clients.shutdown.hand_over(lambda fd, _begun, _waited_us: given.append(fd) or True)
    await until(lambda: secure.closed)
    assert len(given) == 1
    await gateway.rig.clients.shutdown.finish()
    assert not gateway.rig.clients.connections
    plain.transport.abort()
