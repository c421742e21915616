"""The TLS listener for clients, beside the plain one; what it lets through goes the same way as any request.

Each connection is read ahead (``MSG_PEEK``) for its hello, waits for its turn, and only then costs a handshake. One
context stands before all names and lives for hours: it holds the keys of session tickets, so that a new certificate
costs nobody a full handshake. The context of a name is looked up when its client asks, so a swap is one assignment,
and connections that are open go on with what they have.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import ssl
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Protocol

from saffrongw.gateway.acceptor import ACCEPT_MOST
from saffrongw.gateway.config import Address
from saffrongw.gateway.downstream.connection import BACKLOG, ClientConnection, ClientConnections

from . import client_hello
from .handshakes import HandshakeLimits, Handshakes

log = logging.getLogger(__name__)

ALERT, FATAL = 21, 2  # type of record, level
SHUTDOWN_WITHIN = 1.0  # seconds for a client to answer that the connection ends
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
CLIENTS = {"none": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """How TLS is spoken; ``tickets`` in seconds: how long the keys of session tickets live."""

    minimum: str = "1.2"
    protocols: tuple[str, ...] = ()
    client_ca: str = ""
    clients: str = "none"
    tickets: float = 12 * 3_600.0


class CertificateSource(Protocol):
    """Where the front finds what to prove itself with."""

    def context(self, name: str | None) -> ssl.SSLContext | None:
        """For a client that asks for this name, or for none."""

    async def check_context(self, name: str) -> ssl.SSLContext | None:
        """For an authority that checks this name (RFC 8737)."""


def make_context(manner: TlsSettings) -> ssl.SSLContext:
    """A context without a certificate yet; ``OSError`` where the authorities of clients can't be read."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = VERSIONS[manner.minimum]
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    if manner.protocols:
        context.set_alpn_protocols(list(manner.protocols))
    if manner.clients != "none":
        context.load_verify_locations(cafile=manner.client_ca)
        context.verify_mode = CLIENTS[manner.clients]
    return context


class TlsListener:
    """The listener and all connections that are not open yet."""

    def __init__(
        self,
        listen: Address,
        manner: TlsSettings,
        bounds: HandshakeLimits,
        certificates: CertificateSource,
    ) -> None:
        self.listen, self.manner, self.certificates = listen, manner, certificates
        self.handshakes = Handshakes(bounds, 0)
        self.counts: Counter[str] = Counter()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.clients: ClientConnections | None = None
        self.listener: socket.socket | None = None
        self.tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.base: ssl.SSLContext | None = None
        self.born = 0.0

    # -- its life -------------------------------------------------------------------------------------------------

    def prepare(self) -> None:
        """Bind, so that an address that can't be had ends the start; nothing is accepted yet."""
        self.listener = socket.create_server(self.listen, backlog=BACKLOG, reuse_port=True)
        self.listener.setblocking(False)
        self._renew_base(0.0)

    async def open(self, clients: ClientConnections) -> None:
        """Serve from now on."""
        self.clients, self.loop = clients, clients.loop
        self._renew_base(self.loop.time())
        self.loop.add_reader(self.listener, self._accept)

    def close(self) -> None:
        """Accept no more; handshakes that have begun may end."""
        if self.listener and self.listener.fileno() >= 0:
            if self.loop:
                self.loop.remove_reader(self.listener)
            self.listener.close()

    @property
    def opening(self) -> int:
        """Connections that are accepted and not yet open."""
        return len(self.handshakes)

    def change(self, manner: TlsSettings, bounds: HandshakeLimits) -> Callable[[], None]:
        """Prepare another manner: ``OSError`` where it can't be; what is returned puts it in force."""
        base = self._make_base(manner)

        def commit() -> None:
            self.manner, self.base = manner, base
            self.handshakes.change(bounds)
            self.born = self.loop.time() if self.loop else 0.0

        return commit

    def _make_base(self, manner: TlsSettings) -> ssl.SSLContext:
        base = make_context(manner)
        base.sni_callback = self._choose
        return base

    def _renew_base(self, now: float) -> None:
        """New keys for session tickets; those under the old keys cost one full handshake more."""
        self.base, self.born = self._make_base(self.manner), now

    def _choose(self, connection: ssl.SSLObject, name: str | None, _: ssl.SSLContext) -> int | None:
        """The certificate for this client; called by the TLS library within the handshake."""
        context = self.certificates.context(name.lower() if name else None)
        if context is None:
            self.counts["unknown name"] += 1
            return ssl.ALERT_DESCRIPTION_UNRECOGNIZED_NAME
        connection.context = context
        return None

    # -- before the handshake -------------------------------------------------------------------------------------

    def _now(self) -> int:
        return int(self.loop.time() * 1e6)

    def _accept(self) -> None:
        for _ in range(ACCEPT_MOST):
            try:
                sock, _ = self.listener.accept()
            except OSError:  # none is left, or it has gone again
                break
            if not self.clients.make_room():
                sock.close()
                self.counts["no room"] += 1
                continue
            stays, victim = self.handshakes.accept(self._now(), sock)
            if victim is not None:
                self._drop(victim)
            if not stays:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.add_reader(sock, self._peek, sock)
        self._turn()

    def _drop(self, sock: socket.socket) -> None:
        """A connection without a handshake ends; what it was sent is not read."""
        self.loop.remove_reader(sock)
        sock.close()

    def _peek(self, sock: socket.socket) -> None:
        """Look at what a client has sent; the bytes stay where they are."""
        try:
            data = sock.recv(client_hello.MAX_HELLO_BYTES + 1_024, socket.MSG_PEEK)
            found = client_hello.parse_client_hello(data) if data else None
        except (BlockingIOError, InterruptedError):
            return
        except OSError as wrong:
            self._refuse(sock, "reset" if wrong.errno == errno.ECONNRESET else "failed")
            return
        except client_hello.ClientHelloError:
            self._refuse(sock, "no hello")
            return
        if found is None:
            self._refuse(sock, "left")
        elif isinstance(found, int):
            if found > client_hello.MAX_HELLO_BYTES + 1_024 or found <= len(data):
                self._refuse(sock, "no hello")
                return
            # Else the loop would come back for the bytes that are there, again and again.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, found)
            if self._ended(sock):
                self._refuse(sock, "left")
        else:
            self.loop.remove_reader(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
            if found.is_check:
                self._check(sock, found)
            elif self.certificates.context(found.name) is None:
                self.counts["unknown name"] += 1
                self._alert(sock, ssl.ALERT_DESCRIPTION_UNRECOGNIZED_NAME)
            else:
                self.handshakes.ready(self._now(), sock)
                self._turn()

    def _ended(self, sock: socket.socket) -> bool:
        """Whether the client has closed its side: no more bytes will come, whatever the mark says."""
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state != 1  # TCP_ESTABLISHED

    def _alert(self, sock: socket.socket, description: int) -> None:
        """Say why, before any key is used; what was sent is read, else its end would be a reset and the word lost."""
        self.handshakes.gone(sock, "refused")
        try:
            sock.recv(client_hello.MAX_HELLO_BYTES + 1_024)
            sock.send(bytes((ALERT, 3, 3, 0, 2, FATAL, description)))
        except OSError:
            pass
        sock.close()

    def _refuse(self, sock: socket.socket, why: str) -> None:
        self.handshakes.gone(sock, why)
        self._drop(sock)

    def _check(self, sock: socket.socket, found: client_hello.ClientHello) -> None:
        """An authority asks for proof; that is not rationed: few come, and a renewal hangs on it."""
        self.handshakes.unrationed(self._now(), sock)
        self._run(self._prove(sock, found.name))

    async def _prove(self, sock: socket.socket, name: str | None) -> None:
        context = await self.certificates.check_context(name) if name else None
        if context is None:
            self.handshakes.gone(sock, "unknown check")
            sock.close()
            return
        self.counts["checks"] += 1
        await self._shake(sock, context, asyncio.Protocol())

    # -- the handshake --------------------------------------------------------------------------------------------

    def _turn(self) -> None:
        """Begin what may begin, end what is late, and come back when there is more to do."""
        now = self._now()
        for sock in self.handshakes.late(now):
            self._drop(sock)
        if self.loop.time() - self.born > self.manner.tickets:
            self._renew_base(self.loop.time())
        for sock in self.handshakes.begin(now):
            self._run(self._shake(sock, self.base, ClientConnection(self.clients)))
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if (at := self.handshakes.next_at(now)) is not None:
            self.timer = self.loop.call_later(max(0.0, (at - now) / 1e6), self._turn)

    def _run(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _shake(
        self, sock: socket.socket, context: ssl.SSLContext, protocol: asyncio.Protocol
    ) -> None:
        left = max(0.001, self.handshakes.left(self._now(), sock) / 1e6)
        try:
            transport, _ = await self.loop.connect_accepted_socket(
                lambda: protocol,
                sock,
                ssl=context,
                ssl_handshake_timeout=left,
                ssl_shutdown_timeout=SHUTDOWN_WITHIN,
            )
        except (OSError, EOFError) as wrong:  # TLS errors and time-outs are among them
            late = isinstance(wrong, TimeoutError | ConnectionAbortedError) and "timeout" in str(
                wrong
            )
            self.handshakes.gone(sock, "late" if late else "failed")
            sock.close()
        else:
            done = transport.get_extra_info("ssl_object")
            self.handshakes.done(self._now(), sock, bool(done and done.session_reused))
            if not isinstance(protocol, ClientConnection):
                transport.close()  # the handshake was the answer
        self._turn()


class ContextsByName:
    """Contexts by name: exact ones, then wildcards of one label, then the default for clients that ask for none."""

    def __init__(
        self, contexts: Mapping[str, ssl.SSLContext] | None = None, default: str | None = None
    ) -> None:
        self.contexts = dict(contexts or {})
        self.default = default

    def find(self, name: str | None) -> ssl.SSLContext | None:
        """None: not known."""
        if name is None:
            return self.contexts.get(self.default) if self.default else None
        found = self.contexts.get(name)
        if found is None and "." in name:
            found = self.contexts.get("*." + name.partition(".")[2])
        return found
