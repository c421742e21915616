"""A long value that is streamed from an endpoint to a client, with backpressure from the client.

Such values are not buffered completely, because memory could not hold all that may be in transit at
once. Of each, at most one read from its endpoint is held that the client's socket does not take.
While earlier replies on the client's connection are pending, only ``MAX_BUFFERED_BYTES`` or one
more read are taken from the endpoint. Bytes that were written can't be taken back: if the endpoint
breaks off, the client's connection is closed, so that the client notices the incomplete value.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from .metrics import Metrics

# Reading from the endpoint pauses once this many bytes wait for earlier replies.
MAX_BUFFERED_BYTES = 64 * 1024

# A value is abandoned after this time without progress at the endpoint or the client.
STALL_TIMEOUT_S = 5.0


class Source(Protocol):
    """The upstream connection from which a streaming reply arrives."""

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the endpoint."""

    def abandon(self) -> None:
        """Close the connection, because the rest of the value is not needed."""


class Sink(Protocol):
    """The client's connection to which a streaming reply is written."""

    @property
    def transport(self) -> asyncio.Transport:
        """The open transport of the connection."""

    @property
    def undelivered_bytes(self) -> int:
        """How much was written to the connection and has not reached the client's machine."""

    def streaming_ended(self, is_complete: bool) -> None:
        """Note that the reply was written completely, or that it broke off."""


class StreamingReply:
    """The streaming of one value of ``length`` bytes; it ends exactly once."""

    __slots__ = (
        "buffered",
        "bytes_left",
        "has_progressed",
        "header",
        "is_complete",
        "is_ended",
        "kind",
        "loop",
        "metrics",
        "sink",
        "source",
        "stall_timer",
        "undelivered_bytes",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, source: Source, length: int) -> None:
        """Start a reply whose header has arrived, and whose bytes this source will deliver."""
        self.loop = loop
        self.source = source
        self.bytes_left = length
        self.header = b"$%d\r\n" % length
        self.buffered: list[bytes] = []
        self.sink: Sink | None = None
        # Set when this becomes the final reply to a request.
        self.metrics: Metrics | None = None
        self.kind = 0
        self.is_complete = False
        self.is_ended = False
        # Whether it progressed since ``_check_progress`` ran last.
        self.has_progressed = False
        # What its client had not received then.
        self.undelivered_bytes = 0
        self.stall_timer = loop.call_later(STALL_TIMEOUT_S, self._check_progress)

    @property
    def held_bytes(self) -> int:
        """How many bytes of it wait to be written to the client's connection."""
        return sum(map(len, self.buffered))

    @property
    def is_final_reply(self) -> bool:
        """Whether it is the final reply of a request."""
        return self.metrics is not None

    @property
    def is_broken(self) -> bool:
        """Whether it broke off; before any of it is written, a failure can still be replied."""
        return self.is_ended and not self.is_complete

    def count_in(self, metrics: Metrics, kind: int) -> None:
        """Become the final reply to a request of this class, to be counted in these metrics."""
        self.metrics = metrics
        self.kind = kind

    def feed(self, data: bytes) -> None:
        """Forward or buffer more bytes of the value from the endpoint."""
        self.has_progressed = True
        self.bytes_left -= len(data)
        if self.sink:
            self.sink.transport.write(data)
        else:
            self.buffered.append(data)
            if self.held_bytes >= MAX_BUFFERED_BYTES:
                self.source.set_paused(True)

    def finish(self) -> None:
        """Note that the value has arrived completely."""
        self.is_complete = True
        if self.sink:
            self.sink.transport.write(b"\r\n")
            self._end()

    def attach(self, sink: Sink) -> None:
        """Write what has arrived to the client's connection, and the rest as it arrives."""
        self.sink = sink
        self.has_progressed = True
        buffered, self.buffered = self.buffered, []
        end = b"\r\n" if self.is_complete else b""
        sink.transport.write(b"".join((self.header, *buffered, end)))
        if self.is_complete:
            self._end()
        elif not sink.transport.get_write_buffer_size():
            self.source.set_paused(False)

    def set_paused(self, paused: bool) -> None:
        """Apply the client's backpressure: pause or resume reading from the endpoint."""
        self.has_progressed = True
        if not self.is_ended and not self.is_complete:
            self.source.set_paused(paused)

    def source_lost(self) -> None:
        """Note that the endpoint broke off."""
        if not self.is_ended and not self.is_complete:
            self._end()

    def abandon(self) -> None:
        """End the reply, because the client disconnected or no request waits for the value."""
        if not self.is_ended:
            self.is_ended = True
            self.stall_timer.cancel()
            if self.metrics:
                self.metrics.failed[self.kind] += 1
            if not self.is_complete:
                self.source.abandon()

    def _end(self) -> None:
        self.is_ended = True
        self.stall_timer.cancel()
        if self.metrics:
            counts = self.metrics.served if self.is_complete else self.metrics.failed
            counts[self.kind] += 1
        if self.sink:
            self.sink.streaming_ended(self.is_complete)

    def _has_been_read(self) -> bool:
        """Whether the client has taken something out of the kernel's buffers since the last check.

        They can hold so much that a client that reads steadily leaves the write buffer full.
        """
        if self.sink is None:
            return False
        before, self.undelivered_bytes = self.undelivered_bytes, self.sink.undelivered_bytes
        return self.undelivered_bytes != before

    def _check_progress(self) -> None:
        """Abandon a value that does not progress, because it occupies connections and memory."""
        is_waiting_to_be_written = self.sink is None and self.is_complete
        if self.has_progressed or is_waiting_to_be_written or self._has_been_read():
            self.has_progressed = False
            self.stall_timer = self.loop.call_later(STALL_TIMEOUT_S, self._check_progress)
        elif not self.is_ended:
            self.source.abandon()
            self.source_lost()
