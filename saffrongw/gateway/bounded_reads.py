"""Reads from sockets in pieces of bounded size.

The event loop would otherwise read up to 256,000 bytes at a time. Each connection holds what it
can't process or pass on at once, and holds a piece whole that is written in part.
"""

from __future__ import annotations

import asyncio

# Most that is read from a connection at a time.
READ_BYTES = 16 * 1024


class BoundedReadProtocol(asyncio.BufferedProtocol):
    """A protocol whose ``data_received`` gets at most ``READ_BYTES`` at a time.

    All connections of an event loop may share one buffer, because each read is copied before the
    next one.
    """

    def __init__(self, read_buffer: memoryview) -> None:
        """Read into this buffer."""
        self._read_buffer = read_buffer

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.data_received(self._read_buffer[:nbytes].tobytes())

    def data_received(self, data: bytes) -> None:
        """Process what was read."""
        raise NotImplementedError


def make_read_buffer() -> memoryview:
    """Return a buffer for ``BoundedReadProtocol``."""
    return memoryview(bytearray(READ_BYTES))
