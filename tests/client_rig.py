"""Clients of the gateway over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import hiredis
from async_testing import until

if TYPE_CHECKING:
    from loopback_rig import Rig


def error(reply) -> str:
    """Return the text of an error reply."""
    assert isinstance(reply, hiredis.ReplyError)
    return str(reply)


class Caller(asyncio.Protocol):
    """A client connection, with the parsed replies that it has received."""

    def __init__(self) -> None:
        self.reader, self.replies, self.closed = hiredis.Reader(), [], False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            self.replies.append(reply)

    def connection_lost(self, error) -> None:
        self.closed = True

    def ask(self, *words: bytes) -> None:
        """Send one command."""
        self.transport.write(hiredis.pack_command(words))

    def call(self, kind="read", wait=2000, number=b"id1", more="") -> None:
        """Send a request of one class."""
        terms = f"c={kind},t=team,d={wait},units=1,spread=2,first=0{more}".encode()
        if kind == "read":
            self.ask(b"CALL.GET", b"0000000000000007", number, terms)
        else:
            key = b",k=key7" if kind == "put" else b""
            self.ask(b"CALL.POST", b"0000000000000007", number, terms + key, b"BODY")

    async def replied(self, count=1) -> list:
        """Wait for ``count`` replies, and return all that have arrived."""
        await until(lambda: len(self.replies) >= count)
        return self.replies


class SmallBufferClient:
    """A client for which the kernel buffers only a few kilobytes on either side."""

    def __init__(self, rig: Rig, sock: socket.socket) -> None:
        self.rig, self.sock = rig, sock

    @classmethod
    async def connect(cls, rig: Rig) -> SmallBufferClient:
        """Connect to the gateway, and limit the kernel's buffers of all its clients."""
        count = len(rig.clients.connections)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(rig.clients.acceptor.listener.getsockname())
        sock.setblocking(False)
        await until(lambda: len(rig.clients.connections) == count + 1)
        for client in rig.clients.connections:
            client.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        return cls(rig, sock)

    def call(self, number: bytes) -> None:
        """Send a request that may be repeated."""
        terms = b"c=read,t=team,d=20000,units=1,spread=2,first=0"
        self.sock.send(hiredis.pack_command((b"CALL.GET", b"0000000000000007", number, terms)))

    async def receive(self, length: int) -> bytes:
        """Return this many bytes, fewer only where the connection ends."""
        received = bytearray()
        while len(received) < length:
            wanted = length - len(received)
            if not (data := await self.rig.loop.sock_recv(self.sock, wanted)):
                break
            received += data
        return bytes(received)
