"""Accepts connections a few at a time and within a limit.

The event loop's own server would accept all waiting connections at once, beyond any limit on file
descriptors.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Connections accepted per event loop iteration, so that a burst does not delay other work.
MAX_ACCEPTS_PER_TURN = 16

# Connections accepted when the listener closes: as many as the kernel's accept queue holds.
MAX_FINAL_ACCEPTS = 1024


class Acceptor:
    """Owns a listening socket, and accepts connections from it while running."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        ensure_capacity: Callable[[], bool],
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Take over a listening socket; nothing is accepted before ``start``."""
        listener.setblocking(False)
        self.loop = loop
        self.listener = listener
        self.ensure_capacity = ensure_capacity
        self.make_protocol = make_protocol
        self.tasks: set[asyncio.Task[None]] = set()
        # Accepted connections whose ``connection_made`` has not been called yet.
        self.opening_protocols: set[asyncio.BaseProtocol] = set()
        self.is_running = False

    @property
    def opening(self) -> int:
        """The number of connections that are accepted but not open yet."""
        return len(self.opening_protocols)

    def opened(self, protocol: asyncio.BaseProtocol) -> None:
        """Note that a connection is open; its owner counts it from now on."""
        self.opening_protocols.discard(protocol)

    def start(self) -> None:
        """Accept connections from now on."""
        if not self.is_running:
            self.is_running = True
            self.loop.add_reader(self.listener, self._accept)

    def stop(self) -> None:
        """Stop accepting; new connections stay in the kernel's accept queue."""
        if self.is_running:
            self.is_running = False
            self.loop.remove_reader(self.listener)

    def close(self) -> None:
        """Accept the connections in the kernel's accept queue, then close the socket.

        Closing the socket resets connections that are still in the queue.
        """
        if self.is_running:
            for _ in range(MAX_FINAL_ACCEPTS // MAX_ACCEPTS_PER_TURN):
                if not self._accept():
                    break
        self.stop()
        self.listener.close()

    def _accept(self) -> bool:
        """Accept a few connections; return whether there may be more."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                # The accept queue is empty, or the connection was closed already.
                return False
            if self.ensure_capacity():
                self.adopt(sock, self.make_protocol())
            else:
                sock.close()
        return True

    def adopt(self, sock: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        """Open a protocol on a connection that is already established."""
        self.opening_protocols.add(protocol)
        task = self.loop.create_task(self._open(sock, protocol))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, sock: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
        finally:
            self.opening_protocols.discard(protocol)
