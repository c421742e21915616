"""Watches client connections while reading from them is paused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from . import socket_state

if TYPE_CHECKING:
    from .connection import ClientConnection

CHECK_INTERVAL_S = 0.1


class PausedReads:
    """Polls the connections whose reading is paused.

    The event loop does not report a disconnect on them. Unnoticed, their requests would still be
    sent to endpoints. Nor does it report that data has arrived, which waits from then on.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without connections."""
        self.loop = loop
        self.connections: set[ClientConnection] = set()
        self.is_checking = False

    def set_paused(self, connection: ClientConnection, paused: bool) -> None:
        """Start or stop polling a connection."""
        if not paused:
            self.connections.discard(connection)
            return
        self.connections.add(connection)
        if not self.is_checking:
            self.is_checking = True
            self.loop.call_later(CHECK_INTERVAL_S, self._check)

    def remove(self, connection: ClientConnection) -> None:
        """Stop polling a closed connection."""
        self.connections.discard(connection)

    def _check(self) -> None:
        for connection in socket_state.disconnected(self.connections):
            connection.transport.abort()
        readable = set(socket_state.readable(self.connections))
        for connection in self.connections:
            connection.check_waiting_input(connection in readable)
        self.is_checking = bool(self.connections)
        if self.is_checking:
            self.loop.call_later(CHECK_INTERVAL_S, self._check)
