"""Hosts: RESP2 over TCP as PROTOCOL describes it, with the work and the value of the case."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import hiredis

from .deployment import LOCAL, Record

REPORT = b"util=0.35,latency_ms=95,inflight=2"
LINGER_RESET = struct.pack("ii", 1, 0)
BACKLOG = 512
# Connections that fill the accept queue of a host whose new connections come up late.
FILLERS = 4
# "a second answer may come some milliseconds late".
REPEAT_AFTER_S = 0.005


@dataclass(slots=True)
class Command:
    """A request that has come whole to a host."""

    host: str
    request: str
    terms: str
    began_s: float
    # Whether the host has carried it out to the end.
    has_run: bool = False


def value_reply(value: bytes) -> bytes:
    """Return the answer with this value."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(REPORT), REPORT)


class Host:
    """One host; ``work`` carries out a command and returns its reply."""

    def __init__(
        self, name: str, zone: str, block: int, work: Callable[[Command], Awaitable[bytes]]
    ) -> None:
        """Prepare; ``start`` listens."""
        self.name, self.zone, self.block, self.work = name, zone, block, work
        self.port = 0
        self.born_ms = 0
        self.commands: list[Command] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None
        # Whether an answer is spoilt: it comes a second time, ``REPEAT_AFTER_S`` later.
        self.is_spoilt: Callable[[], bool] = lambda: False

    def attach(self, record: Record) -> Host:
        """Write what comes to the record."""
        self.record = record
        return self

    def start(self) -> None:
        """Listen, at the address of the former life if there was one."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((LOCAL, self.port))
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.accept()

    def accept(self) -> None:
        """Accept connections from now on."""
        if self.listener:
            self.listener.listen(BACKLOG)
            self.accepting = asyncio.create_task(self._accept(self.listener))

    async def hold_connections(self, for_s: float) -> None:
        """Let the new connections of a span of time come up only after it."""
        if self.listener is None:
            return
        self.accepting.cancel()
        self.listener.listen(0)
        # They fill the queue of the listener, so that the system lets all others wait.
        fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((LOCAL, self.port))
        self.record.add(f"{self.name}: new connections come up late for {for_s} s")
        await asyncio.sleep(for_s)
        for filler in fillers:
            filler.close()
        self.accept()

    def entry(self) -> dict[str, Any]:
        """Return the host's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{LOCAL}:{self.port}",
            "site": self.zone,
            "class": "std-2core",
            "block": self.block,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def die(self) -> None:
        """End as a killed process does: connections are reset, new ones refused."""
        if self.listener:
            self.accepting.cancel()
            self.listener.close()
            self.listener = None
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.create_task(self._serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.add(writer)
        parser = hiredis.Reader()
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    await self._answer(words, writer)
        except (ConnectionError, hiredis.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        reply = await self._reply(words)
        writer.write(reply)
        if self.is_spoilt():
            self.record.add(f"{self.name}: the answer to {words[2].decode()} comes twice")
            asyncio.get_running_loop().call_later(REPEAT_AFTER_S, writer.write, reply)
        await writer.drain()

    async def _reply(self, words: list[bytes]) -> bytes:
        name = words[0].upper()
        if name == b"PING":
            return b"+PONG\r\n"
        if name == b"INFO":
            return b"$%d\r\n%b\r\n" % (len(REPORT), REPORT)
        if name not in (b"CALL.GET", b"CALL.POST"):
            return b"-ERR unknown command\r\n"
        command = Command(self.name, words[2].decode(), words[3].decode(), self.record.now())
        self.commands.append(command)
        self.record.add(f"{self.name}: request {command.request} has come")
        reply = await self.work(command)
        command.has_run = True
        self.record.add(f"{self.name}: request {command.request} is answered")
        return reply
