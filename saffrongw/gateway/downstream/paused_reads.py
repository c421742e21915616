"""Notices clients that disconnect while their connections are not read from."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from . import socket_state

if TYPE_CHECKING:
    from .connection import ClientConnection

CHECK_INTERVAL_S = 0.1


class PausedReads:
    """Checks the connections that are not read from.

    The loop would not report that their clients are gone.
    Without it requests would go on to endpoints for clients that have disconnected.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without connections."""
        self.loop = loop
        self.connections: set[ClientConnection] = set()
        self.is_checking = False

    def set_paused(self, connection: ClientConnection, paused: bool) -> None:
        """Check a connection from now on, or no longer."""
        if not paused:
            self.connections.discard(connection)
            return
        self.connections.add(connection)
        if not self.is_checking:
            self.is_checking = True
            self.loop.call_later(CHECK_INTERVAL_S, self._check)

    def remove(self, connection: ClientConnection) -> None:
        """Check a connection no longer: it is closed."""
        self.connections.discard(connection)

    def _check(self) -> None:
        for connection in socket_state.disconnected(self.connections):
            connection.transport.abort()
        self.is_checking = bool(self.connections)
        if self.is_checking:
            self.loop.call_later(CHECK_INTERVAL_S, self._check)
