"""Answers HTTP-01 (RFC 8555, 8.3) and nothing else: a token that is known gets its key authorisation, all else 404."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11

from saffrongw.gateway.acceptor import Acceptor
from saffrongw.gateway.config import Address

PATH = b"/.well-known/acme-challenge/"
MAX_CONNECTIONS = 64  # connections at once
TIMEOUT_S = 5.0  # seconds for a connection
MAX_HEAD_BYTES = 8 * 1024  # bytes


class _Visitor(asyncio.Protocol):
    """One connection with one question on it."""

    def __init__(self, responder: Responder) -> None:
        self.responder = responder
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.asked = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Somebody asks."""
        self.transport = transport
        self.responder.opened(self)
        self.limit = self.responder.loop.call_later(TIMEOUT_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        """A question, or a part of it; what comes behind it is not read."""
        if self.asked or self.transport.is_closing():
            return
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError:
            self.asked = True
            self.answer(400, b"not a question\n")
            return
        if isinstance(event, h11.Request):
            self.asked = True
            known = event.method == b"GET" and event.target.startswith(PATH)
            token = event.target[len(PATH) :].decode("latin-1") if known else ""
            self.responder.find(self, token)

    def answer(self, status: int, body: bytes) -> None:
        """The answer, then the end."""
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

    def connection_lost(self, error: Exception | None) -> None:
        """It has ended."""
        self.limit.cancel()
        self.responder.open.discard(self)


class Responder:
    """The listener. ``proof``: the key authorisation for a token, or None."""

    def __init__(self, listen: Address, proof: Callable[[str], Awaitable[str | None]]) -> None:
        self.listen, self.proof = listen, proof
        self.open: set[_Visitor] = set()
        self.answered = 0
        self.tasks: set[asyncio.Task] = set()
        self.acceptor: Acceptor | None = None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Serve from now on; ``OSError`` where the address can't be had."""
        self.loop = loop
        listener = socket.create_server(self.listen, backlog=MAX_CONNECTIONS, reuse_port=True)
        self.acceptor = Acceptor(loop, listener, self._room, lambda: _Visitor(self))
        self.acceptor.start()

    def _room(self) -> bool:
        return len(self.open) + self.acceptor.opening < MAX_CONNECTIONS

    def opened(self, visitor: _Visitor) -> None:
        """One more."""
        self.acceptor.opened(visitor)
        self.open.add(visitor)

    def find(self, visitor: _Visitor, token: str) -> None:
        """Look for the answer, off the loop."""
        task = self.loop.create_task(self._find(visitor, token))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _find(self, visitor: _Visitor, token: str) -> None:
        found = await self.proof(token) if token else None
        if found is None:
            visitor.answer(404, b"not known here\n")
        else:
            self.answered += 1
            visitor.answer(200, found.encode())

    def close(self) -> None:
        """Accept no more."""
        if self.acceptor:
            self.acceptor.close()
        for visitor in list(self.open):
            visitor.transport.abort()
