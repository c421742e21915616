"""An HTTP receiver on loopback that records each call with the run's clock and answers with configured faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import h11

from ..net.relay import LOCAL

MAX_CONNECTIONS = 256


@dataclass(slots=True)
class Manner:
    """How calls are answered: delay in seconds, chances of a close before the answer (``cut``) and of a 500 (``fail``)."""

    delay: tuple[float, float] = (0.0, 0.01)
    cut: float = 0.0
    fail: float = 0.0


@dataclass(slots=True)
class RecordedCall:
    """One call: times of its head and of its answer (-1: none), its headers, whether it was accepted and answered."""

    at: int
    ended: int
    task: str
    turn: int
    number: int
    holder: str
    accepted: bool
    answered: bool


class Receiver:
    """The receiver; ``fences``: calls with an outdated fencing token are rejected."""

    def __init__(self, clock: Callable[[], int], seed: str, fences: bool = True) -> None:
        self.clock, self.random, self.fences = clock, random.Random(seed), fences
        self.manner = Manner()
        self.calls: list[RecordedCall] = []
        self.highest: dict[str, int] = {}
        self.server: asyncio.Server | None = None
        self.open_now = 0

    async def open(self) -> str:
        """Starts listening and returns the address."""
        self.server = await asyncio.start_server(self._serve, LOCAL, 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stops listening."""
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open_now >= MAX_CONNECTIONS:
            writer.close()
            return
        self.open_now += 1
        try:
            async with asyncio.timeout(30):
                await self._handle_call(reader, writer)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        finally:
            self.open_now -= 1
            writer.close()

    async def _handle_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(4_096))
            elif isinstance(event, h11.Request):
                break
            else:
                return
        request_headers = {name.decode(): value.decode() for name, value in event.headers}
        number, task = int(request_headers["fencing-token"]), request_headers["task"]
        manner = self.manner
        fails = self.random.random() < manner.fail
        newer = number >= self.highest.get(task, 0)
        accepted = (newer or not self.fences) and not fails
        if accepted:
            self.highest[task] = max(number, self.highest.get(task, 0))
        call = RecordedCall(
            self.clock(),
            -1,
            task,
            int(request_headers["turn"]),
            number,
            request_headers["holder"],
            accepted,
            False,
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
