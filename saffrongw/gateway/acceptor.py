"""Accepting connections a few at a time, and within a limit.

The loop's own server would take all that have come at once, past any limit on descriptors.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

ACCEPT_MOST = (
    16  # connections accepted in one turn of the loop: a flood of them must not hold up the rest
)
LAST_MOST = 1024  # connections accepted at the end: as many as the kernel's queue holds


class Acceptor:
    """Takes connections from a listening socket for as long as it runs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        room: Callable[[], bool],
        protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        listener.setblocking(False)
        self.loop, self.listener, self.room, self.protocol = loop, listener, room, protocol
        self.tasks: set[asyncio.Task] = set()
        self.pending: set[asyncio.Protocol] = set()  # accepted and not yet open
        self.running = False

    @property
    def opening(self) -> int:
        """Connections that are accepted and not yet open."""
        return len(self.pending)

    def opened(self, protocol: asyncio.Protocol) -> None:
        """Its ``connection_made`` was called: from now on its owner counts it."""
        self.pending.discard(protocol)

    def start(self) -> None:
        """Accept from now on."""
        if not self.running:
            self.running = True
            self.loop.add_reader(self.listener, self._accept)

    def stop(self) -> None:
        """Leave new connections in the kernel's queue."""
        if self.running:
            self.running = False
            self.loop.remove_reader(self.listener)

    def close(self) -> None:
        """Accept no more, and let the socket go; what is in the kernel's queue by now would be reset with it."""
        if self.running:
            for _ in range(LAST_MOST // ACCEPT_MOST):
                if not self._accept():
                    break
        self.stop()
        self.listener.close()

    def _accept(self) -> bool:
        """Take a few; whether there may be more."""
        for _ in range(ACCEPT_MOST):
            try:
                sock, _ = self.listener.accept()
            except OSError:  # none is left, or it has gone again
                return False
            if self.room():
                self.adopt(sock, self.protocol())
            else:
                sock.close()
        return True

    def adopt(self, sock: socket.socket, protocol: asyncio.Protocol) -> None:
        """Serve a connection that is up."""
        self.pending.add(protocol)
        task = self.loop.create_task(self._open(sock, protocol))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, sock: socket.socket, protocol: asyncio.Protocol) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
        finally:
            self.pending.discard(protocol)
