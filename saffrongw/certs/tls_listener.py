"""The TLS listener for clients; its connections are served like those of the plain listener.

The ClientHello of each connection is peeked at (``MSG_PEEK``), and the handshake begins only when
``handshakes.py`` admits it. All handshakes start with one base context, which is kept for hours: it
holds the session ticket keys, so clients can resume sessions after a certificate has been replaced.
The context of a name is looked up during the handshake, so replacing certificates is a single
assignment, and open connections keep the certificate they have.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
import ssl
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Protocol

from saffrongw.gateway.acceptor import MAX_ACCEPTS_PER_TURN
from saffrongw.gateway.config import Address
from saffrongw.gateway.downstream.connection import ClientConnection
from saffrongw.gateway.downstream.listener import LISTEN_BACKLOG, ClientConnections

from . import client_hello
from .handshakes import HandshakeLimits, Handshakes

log = logging.getLogger(__name__)

# The TLS record type of alerts, and the alert level that ends the connection.
ALERT_RECORD, FATAL_LEVEL = 21, 2
# Seconds for a client to read its last replies and to answer close_notify; the idle reaper aborts a
# connection without progress much earlier.
SHUTDOWN_TIMEOUT_S = 600.0
# The same for an authority that validates a name, whose connection the reaper does not know.
VALIDATION_SHUTDOWN_TIMEOUT_S = 1.0
MAX_PEEK_BYTES = client_hello.MAX_HELLO_BYTES + 1_024
TCP_ESTABLISHED = 1
# Of the kernel; uvloop reads what it holds at once, up to 256 KiB, into a buffer of the connection.
RECEIVE_BUFFER_BYTES = 32 * 1024
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
CLIENT_VERIFICATION = {
    "none": ssl.CERT_NONE,
    "optional": ssl.CERT_OPTIONAL,
    "required": ssl.CERT_REQUIRED,
}


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """TLS settings: versions, ALPN protocols and client certificates.

    ``clients`` is a key of ``CLIENT_VERIFICATION``; the keys of session tickets are replaced after
    ``ticket_lifetime_s`` seconds.
    """

    minimum_version: str = "1.2"
    protocols: tuple[str, ...] = ()
    client_ca: str = ""
    clients: str = "none"
    ticket_lifetime_s: float = 12 * 3_600.0


class CertificateSource(Protocol):
    """Where the listener finds the certificates to serve."""

    def context(self, name: str | None) -> ssl.SSLContext | None:
        """Return the context for a client that asks for this name, or for none."""

    async def validation_context(self, name: str) -> ssl.SSLContext | None:
        """Return the context for an authority that validates this name (RFC 8737)."""


def make_context(settings: TlsSettings) -> ssl.SSLContext:
    """Create a context without a certificate.

    ``OSError`` if the client authorities cannot be read.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = VERSIONS[settings.minimum_version]
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    if settings.protocols:
        context.set_alpn_protocols(list(settings.protocols))
    if settings.clients != "none":
        context.load_verify_locations(cafile=settings.client_ca)
        context.verify_mode = CLIENT_VERIFICATION[settings.clients]
    return context


class ContextsByName:
    """TLS contexts by server name: exact names, then wildcards of one label, then the default."""

    def __init__(
        self, contexts: Mapping[str, ssl.SSLContext] | None = None, default: str | None = None
    ) -> None:
        """Keep the contexts and the name of the default one."""
        self.contexts = dict(contexts or {})
        self.default = default

    def find(self, name: str | None) -> ssl.SSLContext | None:
        """Return the context for a name, the default if the client asked for none, else None."""
        if name is None:
            return self.contexts.get(self.default) if self.default else None
        found = self.contexts.get(name)
        if found is None and "." in name:
            found = self.contexts.get("*." + name.partition(".")[2])
        return found


class TlsListener:
    """The listening socket, and all connections whose handshake has not finished."""

    # Set by ``open``, before anything is accepted.
    clients: ClientConnections
    loop: asyncio.AbstractEventLoop
    # Set by ``prepare``.
    listener: socket.socket
    base_context: ssl.SSLContext

    def __init__(
        self,
        address: Address,
        settings: TlsSettings,
        limits: HandshakeLimits,
        certificates: CertificateSource,
    ) -> None:
        """Keep the address; ``prepare`` binds it."""
        self.address, self.settings, self.certificates = address, settings, certificates
        self.handshakes: Handshakes[socket.socket] = Handshakes(limits, 0)
        self.counts: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.ticket_keys_made_at = 0.0
        self._is_open = self._is_prepared = False

    # -- start and stop -----------------------------------------------------------------------

    def prepare(self) -> None:
        """Bind the address without accepting; an error aborts the start of the gateway."""
        self.listener = socket.create_server(self.address, backlog=LISTEN_BACKLOG, reuse_port=True)
        self.listener.setblocking(False)
        # Inherited by the accepted connections.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._is_prepared = True
        self._replace_ticket_keys(0.0)

    async def open(self, clients: ClientConnections) -> None:
        """Start accepting; ``clients`` serves the connections."""
        self.clients, self.loop = clients, clients.loop
        self._is_open = True
        self._replace_ticket_keys(self.loop.time())
        self.loop.add_reader(self.listener, self._accept)

    def close(self) -> None:
        """Stop accepting; handshakes that have begun may finish."""
        if self._is_prepared and self.listener.fileno() >= 0:
            if self._is_open:
                self.loop.remove_reader(self.listener)
            self.listener.close()

    @property
    def opening(self) -> int:
        """The number of accepted connections whose handshake has not finished."""
        return len(self.handshakes)

    def prepare_change(self, settings: TlsSettings, limits: HandshakeLimits) -> Callable[[], None]:
        """Prepare other settings; ``OSError`` if they cannot be applied.

        The result applies them.
        """
        base_context = self._make_base_context(settings)

        def commit() -> None:
            self.settings, self.base_context = settings, base_context
            self.handshakes.reconfigure(limits)
            self.ticket_keys_made_at = self.loop.time() if self._is_open else 0.0

        return commit

    def _make_base_context(self, settings: TlsSettings) -> ssl.SSLContext:
        context = make_context(settings)
        context.sni_callback = self._select_certificate
        return context

    def _replace_ticket_keys(self, now: float) -> None:
        """Create new session ticket keys.

        Clients with older tickets need a full handshake.
        """
        self.base_context = self._make_base_context(self.settings)
        self.ticket_keys_made_at = now

    def _select_certificate(
        self, connection: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> int | None:
        """Choose the certificate for a client; called by the TLS library within the handshake."""
        context = self.certificates.context(name.lower() if name else None)
        if context is None:
            self.counts["unknown name"] += 1
            return ssl.ALERT_DESCRIPTION_UNRECOGNIZED_NAME
        connection.context = context
        return None

    # -- before the handshake -----------------------------------------------------------------

    def _now(self) -> int:
        return int(self.loop.time() * 1e6)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self.listener.accept()
            except OSError:  # the queue is empty, or the client has already reset the connection
                break
            self._admit(sock)
        self._advance()

    def _admit(self, sock: socket.socket) -> None:
        if not self.clients.ensure_capacity():
            sock.close()
            self.counts["no room"] += 1
            return
        result = self.handshakes.accept(self._now(), sock)
        if isinstance(result.evicted, socket.socket):
            self._drop(result.evicted)
        if not result.accepted:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop.add_reader(sock, self._peek, sock)

    def _drop(self, sock: socket.socket) -> None:
        """Close a connection before its handshake without reading its data."""
        self.loop.remove_reader(sock)
        sock.close()

    def _peek(self, sock: socket.socket) -> None:
        """Look at what a client has sent without taking it from the socket."""
        try:
            data = sock.recv(MAX_PEEK_BYTES, socket.MSG_PEEK)
            found = client_hello.parse_client_hello(data) if data else None
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._reject(sock, "reset" if error.errno == errno.ECONNRESET else "failed")
            return
        except client_hello.ClientHelloError:
            self._reject(sock, "no hello")
            return
        if found is None:
            self._reject(sock, "left")
        elif isinstance(found, int):
            self._await_bytes(sock, needed=found, received=len(data))
        else:
            self._hello_received(sock, found)

    def _await_bytes(self, sock: socket.socket, needed: int, received: int) -> None:
        if needed > MAX_PEEK_BYTES or needed <= received:
            self._reject(sock, "no hello")
            return
        # Peeked bytes stay in the socket; without this low-water mark the event loop would call
        # ``_peek`` continuously.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, needed)
        if self._has_ended(sock):
            self._reject(sock, "left")

    def _hello_received(self, sock: socket.socket, hello: client_hello.ClientHello) -> None:
        self.loop.remove_reader(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
        if hello.is_validation:
            # Validations are not limited: they are few, and a renewal depends on them.
            self.handshakes.begin_unlimited(self._now(), sock)
            self._run(self._answer_validation(sock, hello.name))
        elif self.certificates.context(hello.name) is None:
            self.counts["unknown name"] += 1
            self._send_alert(sock, ssl.ALERT_DESCRIPTION_UNRECOGNIZED_NAME)
        else:
            self.handshakes.hello_received(sock)
            self._advance()

    def _has_ended(self, sock: socket.socket) -> bool:
        """Tell whether the client has closed its side, so that no more bytes can come."""
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state != TCP_ESTABLISHED

    def _send_alert(self, sock: socket.socket, description: int) -> None:
        """Send a fatal alert before any key is used, and close.

        The client's data is read first: closing a socket with unread data resets the connection,
        and the alert would be lost.
        """
        self.handshakes.ended(sock, "refused")
        with contextlib.suppress(OSError):
            sock.recv(MAX_PEEK_BYTES)
            sock.send(bytes((ALERT_RECORD, 3, 3, 0, 2, FATAL_LEVEL, description)))
        sock.close()

    def _reject(self, sock: socket.socket, reason: str) -> None:
        self.handshakes.ended(sock, reason)
        self._drop(sock)

    async def _answer_validation(self, sock: socket.socket, name: str | None) -> None:
        context = await self.certificates.validation_context(name) if name else None
        if context is None:
            self.handshakes.ended(sock, "unknown check")
            sock.close()
            return
        self.counts["checks"] += 1
        await self._handshake(sock, context, asyncio.Protocol())

    # -- the handshake ------------------------------------------------------------------------

    def _advance(self) -> None:
        """Drop expired connections, begin admitted handshakes, and set the next timer."""
        now = self._now()
        for sock in self.handshakes.expire(now):
            self._drop(sock)
        if self.loop.time() - self.ticket_keys_made_at > self.settings.ticket_lifetime_s:
            self._replace_ticket_keys(self.loop.time())
        for sock in self.handshakes.begin(now):
            self._run(self._handshake(sock, self.base_context, ClientConnection(self.clients)))
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if (at := self.handshakes.next_at(now)) is not None:
            self.timer = self.loop.call_later(max(0.0, (at - now) / 1e6), self._advance)

    def _run(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handshake(
        self, sock: socket.socket, context: ssl.SSLContext, protocol: asyncio.BaseProtocol
    ) -> None:
        timeout_s = max(0.001, self.handshakes.remaining_us(self._now(), sock) / 1e6)
        is_client = isinstance(protocol, ClientConnection)
        try:
            transport, _ = await self.loop.connect_accepted_socket(
                lambda: protocol,
                sock,
                ssl=context,
                ssl_handshake_timeout=timeout_s,
                ssl_shutdown_timeout=(
                    SHUTDOWN_TIMEOUT_S if is_client else VALIDATION_SHUTDOWN_TIMEOUT_S
                ),
            )
        except (OSError, EOFError) as error:  # includes TLS errors and time-outs
            self.handshakes.ended(sock, "late" if _is_timeout(error) else "failed")
            sock.close()
        else:
            tls = transport.get_extra_info("ssl_object")
            self.handshakes.succeeded(sock, bool(tls and tls.session_reused))
            if not is_client:
                transport.close()  # the handshake has already proved the name
        self._advance()


def _is_timeout(error: Exception) -> bool:
    is_abort = isinstance(error, TimeoutError | ConnectionAbortedError)
    return is_abort and "timeout" in str(error)
