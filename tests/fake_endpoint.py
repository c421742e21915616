"""A fake endpoint on a loopback socket, with scripted replies."""

from __future__ import annotations

import asyncio

import hiredis


def value(body: bytes, report: bytes | None = None) -> bytes:
    """Return an endpoint's reply with this value."""
    last = b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(body), body, last)


class EndpointConnection(asyncio.Protocol):
    """One connection to a fake endpoint: records commands, and replies as its ``script`` says."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self.endpoint, self.reader = endpoint, hiredis.Reader()

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.endpoint.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            self.endpoint.commands.append(command)
            self.endpoint.peer = self  # the connection of the command that the script replies to
            reply = self.endpoint.script(command)
            if reply == b"reset":
                self.transport.abort()
            elif reply is not None:
                self.transport.write(reply)

    def connection_lost(self, error) -> None:
        self.endpoint.connections.remove(self)


class FakeEndpoint:
    """One listening endpoint; ``script`` maps a command to a reply, ``b"reset"`` or None (no reply)."""

    def __init__(self, name: str) -> None:
        self.name, self.commands, self.connections = name, [], []
        self.peer: EndpointConnection | None = None
        self.script = lambda command: b"*3\r\n$2\r\nok\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n"

    async def listen(self) -> FakeEndpoint:
        """Accept connections on a free port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: EndpointConnection(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def line(self, health="SERVING", **changes) -> dict:
        """Return the endpoint's entry in discovery's list."""
        line = {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "hall-a", "class": "m"}
        return line | {"block": 1, "health": health, "share": 1.0, "born_ms": 0} | changes
