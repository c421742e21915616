"""HTTP server for HTTP-01 challenges (RFC 8555, 8.3).

A request for a known token gets its key authorisation, any other request 404.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11

from saffrongw.gateway.acceptor import Acceptor
from saffrongw.gateway.config import Address

PATH = b"/.well-known/acme-challenge/"
MAX_CONNECTIONS = 64
# Lifetime of a connection.
TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 8 * 1024


class _ChallengeConnection(asyncio.Protocol):
    """One connection that carries one request."""

    # Set by ``connection_made``, before anything else is called.
    transport: asyncio.Transport
    lifetime_timer: asyncio.TimerHandle

    def __init__(self, responder: Responder) -> None:
        self.responder = responder
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.has_request = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection and limit its lifetime."""
        self.transport = transport
        self.responder.opened(self)
        self.lifetime_timer = self.responder.loop.call_later(TIMEOUT_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        """Read the request; bytes after it are ignored."""
        if self.has_request or self.transport.is_closing():
            return
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError:
            self.has_request = True
            self.answer(400, b"not a question\n")
            return
        if isinstance(event, h11.Request):
            self.has_request = True
            known = event.method == b"GET" and event.target.startswith(PATH)
            token = event.target[len(PATH) :].decode("latin-1") if known else ""
            self.responder.find(self, token)

    def answer(self, status: int, body: bytes) -> None:
        """Send the response and close."""
        if self.transport.is_closing() or self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.abort()
            return
        headers = [
            ("content-type", "application/octet-stream"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        self.transport.write(
            self.http.send(h11.Response(status_code=status, headers=headers)) + body
        )
        self.transport.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the connection."""
        self.lifetime_timer.cancel()
        self.responder.open.discard(self)


class Responder:
    """The server; ``proof`` returns the key authorisation for a token, or None."""

    # Set by ``start``.
    loop: asyncio.AbstractEventLoop
    acceptor: Acceptor

    def __init__(self, listen: Address, proof: Callable[[str], Awaitable[str | None]]) -> None:
        """Keep the address; ``start`` binds it."""
        self.listen, self.proof = listen, proof
        self.open: set[_ChallengeConnection] = set()
        self.answered = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self._is_started = False

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Accept connections; ``OSError`` if the address cannot be bound."""
        self.loop = loop
        listener = socket.create_server(self.listen, backlog=MAX_CONNECTIONS, reuse_port=True)
        self.acceptor = Acceptor(
            loop, listener, self._has_capacity, lambda: _ChallengeConnection(self)
        )
        self.acceptor.start()
        self._is_started = True

    def _has_capacity(self) -> bool:
        return len(self.open) + self.acceptor.opening < MAX_CONNECTIONS

    def opened(self, connection: _ChallengeConnection) -> None:
        """Register a new connection."""
        self.acceptor.opened(connection)
        self.open.add(connection)

    def find(self, connection: _ChallengeConnection, token: str) -> None:
        """Look up the answer off the event loop and send it."""
        task = self.loop.create_task(self._find(connection, token))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _find(self, connection: _ChallengeConnection, token: str) -> None:
        found = await self.proof(token) if token else None
        if found is None:
            connection.answer(404, b"not known here\n")
        else:
            self.answered += 1
            connection.answer(200, found.encode())

    def close(self) -> None:
        """Accept no more connections and abort the open ones."""
        if self._is_started:
            self.acceptor.close()
        for connection in list(self.open):
            connection.transport.abort()
