"""An HTTP receiver on loopback. It notes each call by the run's clock, and answers as it is told to."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import h11

from ..net.relay import LOCAL

CONNECTIONS_MOST = 256


@dataclass(slots=True)
class Manner:
    """How it answers: after so many seconds; chances that a call is cut before its answer, or fails (500)."""

    delay: tuple[float, float] = (0.0, 0.01)
    cut: float = 0.0
    fail: float = 0.0


@dataclass(slots=True)
class Called:
    """One call: when its head was read and its answer written (-1: never), what it said, whether it was accepted."""

    at: int
    ended: int
    task: str
    turn: int
    number: int
    holder: str
    accepted: bool
    answered: bool


class Receiver:
    """Listens from ``open`` to ``close``."""

    def __init__(self, clock: Callable[[], int], seed: str, fences: bool = True) -> None:
        self.clock, self.random, self.fences = clock, random.Random(seed), fences
        self.manner = Manner()
        self.calls: list[Called] = []
        self.highest: dict[str, int] = {}
        self.server: asyncio.Server | None = None
        self.open_now = 0

    async def open(self) -> str:
        """Its address."""
        self.server = await asyncio.start_server(self._serve, LOCAL, 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """The end."""
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open_now >= CONNECTIONS_MOST:
            writer.close()
            return
        self.open_now += 1
        try:
            async with asyncio.timeout(30):
                await self._one(reader, writer)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        finally:
            self.open_now -= 1
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(4_096))
            elif isinstance(event, h11.Request):
                break
            else:
                return
        told = {name.decode(): value.decode() for name, value in event.headers}
        number, task = int(told["fencing-token"]), told["task"]
        manner = self.manner
        fails = self.random.random() < manner.fail
        newer = number >= self.highest.get(task, 0)
        accepted = (newer or not self.fences) and not fails
        if accepted:
            self.highest[task] = max(number, self.highest.get(task, 0))
        call = Called(
            self.clock(), -1, task, int(told["turn"]), number, told["holder"], accepted, False
        )
        self.calls.append(call)
        cut = self.random.random() < manner.cut
        await asyncio.sleep(self.random.uniform(*manner.delay))
        call.ended = self.clock()
        if cut:
            return
        call.answered = True
        status = 500 if fails else 200 if accepted else 409
        headers = [("Content-Length", "0"), ("Connection", "close")]
        if status == 409:
            headers.append(("Fencing-Token", str(self.highest[task])))
        writer.write(http.send(h11.Response(status_code=status, headers=headers)))
        writer.write(http.send(h11.EndOfMessage()))
        await writer.drain()
