"""Limits of what a client connection's transport holds in either direction."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from ..bounded_reads import READ_BYTES

# Unwritten bytes beyond which writing is paused. A TLS handshake leaves session tickets unwritten.
WRITE_HIGH_WATER_BYTES = 0
TLS_WRITE_HIGH_WATER_BYTES = 16 * 1024


class _TlsTransport(Protocol):
    """What uvloop's TLS transports have beside the methods of ``asyncio.Transport``."""

    def set_read_buffer_limits(self, high: int) -> None:
        """Limit the encrypted data that is held while the connection is not read."""


def limit_buffers(transport: asyncio.Transport, is_tls: bool) -> None:
    """Pause writing as soon as the socket takes no more, and reading below TLS likewise."""
    if is_tls:
        transport.set_write_buffer_limits(high=TLS_WRITE_HIGH_WATER_BYTES)
        cast("_TlsTransport", transport).set_read_buffer_limits(high=READ_BYTES)
    else:
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
