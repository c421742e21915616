"""A TCP proxy that passes bytes on in other pieces than they came in."""

from __future__ import annotations

import asyncio
import random

# Sizes of pieces: single bytes, packets, reads of the gateway, and more than these.
PIECE_BYTES = (1, 5, 1_400, 4_096, 16_384, 20_000, 65_536)
MAX_PAUSE_S = 0.004
READ_BYTES = 1 << 18


class CuttingProxy:
    """Relays connections to one port; the pieces and the pauses between them are drawn from a seed."""

    def __init__(self, port: int, rng: random.Random) -> None:
        """Relay to this port, once ``listen`` was called."""
        self.target, self.rng = port, rng
        # When the last byte of a client's was passed on, by the client's port.
        self.passed_on_at_s: dict[int, float] = {}
        # When the connection of a client, and that to the gateway, had ended; by the client's port.
        self.ended_at_s: dict[int, float] = {}
        self.sessions: set[asyncio.Task[None]] = set()

    async def listen(self) -> int:
        """Accept connections; return the port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def forget(self, client_port: int) -> None:
        """Forget the times of an earlier connection from a port that is used again."""
        self.passed_on_at_s.pop(client_port, None)
        self.ended_at_s.pop(client_port, None)

    async def close(self) -> None:
        """End all connections."""
        self.server.close()
        for session in self.sessions:
            session.cancel()
        await asyncio.gather(*self.sessions, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = asyncio.current_task()
        assert session is not None
        self.sessions.add(session)
        client_port = writer.get_extra_info("peername")[1]
        try:
            await self._relay(reader, writer, client_port)
        except OSError:
            writer.transport.abort()
        finally:
            self.sessions.discard(session)
            self.ended_at_s[client_port] = asyncio.get_running_loop().time()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client_port: int
    ) -> None:
        to_gateway = await asyncio.open_connection("127.0.0.1", self.target)
        upward = asyncio.create_task(self._pass_on(reader, to_gateway[1], client_port))
        downward = asyncio.create_task(self._pass_on(to_gateway[0], writer, None))
        try:
            await asyncio.wait((upward, downward), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in (upward, downward):
                direction.cancel()
            writer.transport.abort()
            to_gateway[1].transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client_port: int | None
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._write_in_pieces(data, writer)
                if client_port is not None:
                    self.passed_on_at_s[client_port] = asyncio.get_running_loop().time()
            await writer.drain()
        except OSError:
            return

    async def _write_in_pieces(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        start = 0
        while start < len(data):
            end = start + self.rng.choice(PIECE_BYTES)
            writer.write(data[start:end])
            await writer.drain()
            start = end
            if self.rng.random() < 0.5:
                await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
