"""A client of the gateway over a loopback socket."""

from __future__ import annotations

import asyncio

import hiredis
from async_testing import until


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
