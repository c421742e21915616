"""A long value on its way from a host to a client: passed on as it comes, at the pace of its reader.

More of them may be on their way at once than memory holds, so that of each no more is kept than one read of its host
and what the client's transport holds. Its turn on the client's connection may come later: until then little is
read of it. What has begun can't be taken back: if its host breaks off, the client's connection is closed, so that the
client can tell that it is not whole.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from .metrics import Metrics

AHEAD_MOST = 64 * 1024  # bytes taken from the host before the client's turn for them
STALL = (
    5.0  # seconds without a byte from the host, or taken by the client, after which it is given up
)


class Source(Protocol):
    """Where it comes from."""

    def hold(self, held: bool) -> None:
        """Read no more from the host for now, or again."""

    def drop(self) -> None:
        """Nobody wants it any more."""


class Sink(Protocol):
    """Where it goes."""

    transport: asyncio.Transport

    def long_value_ended(self, whole: bool) -> None:
        """All of it is written, or it broke off."""


class StreamingReply:
    """One value of ``length`` bytes; it ends exactly once."""

    __slots__ = (
        "ahead",
        "ended",
        "figures",
        "head",
        "kind",
        "left",
        "loop",
        "moved",
        "sink",
        "source",
        "timer",
        "whole",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, source: Source, length: int) -> None:
        self.loop, self.source, self.left = loop, source, length
        self.head = b"$%d\r\n" % length
        self.ahead: list[bytes] = []
        self.sink: Sink | None = None
        self.figures: Metrics | None = None  # set once it is somebody's answer
        self.kind = 0
        self.whole = self.ended = False
        self.moved = False  # since the last look
        self.timer = loop.call_later(STALL, self._look)

    def answers(self, figures: Metrics, kind: int) -> None:
        """It is the final answer to a request of this class."""
        self.figures, self.kind = figures, kind

    def feed(self, data: bytes) -> None:
        """More of it has come."""
        self.moved = True
        self.left -= len(data)
        if self.sink:
            self.sink.transport.write(data)
        else:
            self.ahead.append(data)
            if sum(map(len, self.ahead)) >= AHEAD_MOST:
                self.source.hold(True)

    def finish(self) -> None:
        """The host's value has ended where it should."""
        self.whole = True
        if self.sink:
            self.sink.transport.write(b"\r\n")
            self._end()

    @property
    def broken(self) -> bool:
        """It broke off before its turn came: nothing of it was written, so that it can still be answered as failed."""
        return self.ended and not self.whole

    def attach(self, sink: Sink) -> None:
        """Its turn has come: what there is of it is written, the rest as it comes."""
        self.sink, self.moved = sink, True
        ahead, self.ahead = self.ahead, []
        sink.transport.write(b"".join((self.head, *ahead, b"\r\n" if self.whole else b"")))
        if self.whole:
            self._end()
        elif sink.transport.get_write_buffer_size() < AHEAD_MOST:
            self.source.hold(False)

    def hold(self, held: bool) -> None:
        """The client takes no more for now, or again."""
        self.moved = True
        if not self.ended and not self.whole:
            self.source.hold(held)

    def cut(self) -> None:
        """Its host broke off."""
        if not self.ended and not self.whole:
            self._end()

    def drop(self) -> None:
        """Its client is gone, or nobody's request waits for it."""
        if not self.ended:
            self.ended = True
            self.timer.cancel()
            if self.figures:
                self.figures.failed[self.kind] += 1
            if not self.whole:
                self.source.drop()

    def _end(self) -> None:
        self.ended = True
        self.timer.cancel()
        if self.figures:
            (self.figures.served if self.whole else self.figures.failed)[self.kind] += 1
        if self.sink:
            self.sink.long_value_ended(self.whole)

    def _look(self) -> None:
        """Guards connections and memory: what does not move, its host or its client has given up."""
        if self.moved or (self.sink is None and self.whole):
            self.moved = False
            self.timer = self.loop.call_later(STALL, self._look)
        elif not self.ended:
            self.source.drop()
            self.cut()
