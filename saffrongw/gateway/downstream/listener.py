"""The listening sockets for clients, and the set of all client connections."""

from __future__ import annotations

import socket
from typing import Protocol

from ..acceptor import Acceptor
from ..admission_queue import AdmissionQueue
from ..bounded_reads import make_read_buffer
from ..config import Config
from ..driver import Driver
from ..in_flight_memory import InFlightMemory, ReplySizes
from ..reasons import CloseReason, RejectionReason
from ..request_parser import RequestFormat
from .connection import ClientConnection
from .graceful_shutdown import GracefulShutdown
from .idle_reaper import IdleReaper
from .paused_reads import PausedReads

# Connections that the kernel queues until they are accepted.
LISTEN_BACKLOG = 1024

# A connection's share of an event loop iteration, for up to FULL_TURNS connections that have more
# to process; more than these share what FULL_TURNS have.
TURN_BUDGET = 2_048
FULL_TURNS = 8
MIN_TURN_BUDGET = 64


class Listener(Protocol):
    """An additional listener, such as one for TLS.

    It creates a ``ClientConnection`` for each client that it admits.
    """

    @property
    def opening(self) -> int:
        """The number of connections that are accepted but not open yet."""

    async def open(self, clients: ClientConnections) -> None:
        """Accept clients from now on."""

    def close(self) -> None:
        """Stop accepting clients."""


class ClientConnections:
    """All client connections, within the number of descriptors reserved for them.

    ``shutdown`` drains them or hands them over, ``reaper`` closes those that are idle too long.
    """

    def __init__(self, driver: Driver, config: Config, max_connections: int) -> None:
        """Prepare to serve clients with this driver; nothing is accepted before ``listen``."""
        self.driver = driver
        self.config = config
        self.max_connections = max_connections
        self.loop = driver.loop
        self.request_format = RequestFormat(config)
        self.admission_queue = AdmissionQueue(driver, driver.loop)
        driver.is_overloaded = lambda: self.admission_queue.is_overloaded
        self.in_flight_memory = InFlightMemory(config.memory_bytes)
        self.reply_sizes = ReplySizes(len(config.settings.classes))
        self.read_buffer = make_read_buffer()
        self.connections: set[ClientConnection] = set()
        # How many connections were opened; each is known by its number in the request log.
        self.opened_count = 0
        # The ids, given by clients, of the requests without a final reply.
        self.open_request_ids: set[bytes | None] = set()
        # How many connections have more to process in the next iteration of the event loop.
        self.waiting_turns = 0
        self.reaper = IdleReaper(self)
        self.paused_reads = PausedReads(self.loop)
        self.shutdown = GracefulShutdown(self)
        # Set by ``listen``.
        self.acceptor: Acceptor
        self.listeners: tuple[Listener, ...] = ()

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Accept clients from now on, on this listening socket or on a new one.

        Other processes may listen on the same address.
        """
        if sock is None:
            sock = socket.create_server(self.config.listen, backlog=LISTEN_BACKLOG, reuse_port=True)
        self.acceptor = Acceptor(
            self.loop, sock, self.ensure_capacity, lambda: ClientConnection(self)
        )
        self.acceptor.start()
        self.reaper.start()

    async def open_listeners(self, listeners: tuple[Listener, ...]) -> None:
        """Accept clients on these listeners too."""
        self.listeners = listeners
        for listener in listeners:
            await listener.open(self)

    def stop_accepting(self) -> None:
        """Stop accepting clients, but keep the plain listener's socket open."""
        self.acceptor.stop()
        self._close_other_listeners()

    def resume_accepting(self) -> None:
        """Accept again on the plain listener."""
        self.acceptor.start()

    def close_listeners(self) -> None:
        """Accept the connections in the kernel's queue, then close the listeners."""
        self.acceptor.close()
        self._close_other_listeners()

    def _close_other_listeners(self) -> None:
        for listener in self.listeners:
            listener.close()

    def adopt(self, sock: socket.socket, initial_data: bytes, waited_us: int = 0) -> None:
        """Serve the predecessor's connection, with what it read and how long that has waited."""
        if self.ensure_capacity():
            self.acceptor.adopt(sock, ClientConnection(self, initial_data, waited_us))
        else:
            sock.close()

    @property
    def inflight(self) -> int:
        """The number of requests without a final reply."""
        return len(self.open_request_ids)

    @property
    def opening(self) -> int:
        """The number of connections, of all listeners, that are accepted but not open yet."""
        return self.acceptor.opening + sum(listener.opening for listener in self.listeners)

    @property
    def held_input_bytes(self) -> int:
        """How much was received from clients and is not processed yet."""
        return sum(len(connection.reader) for connection in self.connections)

    @property
    def held_reply_bytes(self) -> int:
        """How much of the replies waits for clients to read it."""
        return sum(connection.held_reply_bytes for connection in self.connections)

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be accepted; at the limit, try to evict one."""
        if len(self.connections) + self.opening < self.max_connections:
            return True
        return self.reaper.evict_one()

    def turn_budget(self) -> int:
        """Return how much a connection may process in this iteration of the event loop."""
        if self.waiting_turns <= FULL_TURNS:
            return TURN_BUDGET
        return max(MIN_TURN_BUDGET, TURN_BUDGET * FULL_TURNS // self.waiting_turns)

    def opened(self, connection: ClientConnection) -> None:
        """Add a connection."""
        self.acceptor.opened(connection)
        self.opened_count += 1
        connection.number = self.opened_count
        self.connections.add(connection)
        self.reaper.opened(connection)

    def lost(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed or handed over; a second call changes nothing."""
        if connection in self.connections:
            reason = connection.close_reason or CloseReason.CLIENT_LEFT
            self.driver.metrics.closed[reason] += 1
            if self.driver.request_log:
                self.driver.request_log.closed(connection.number, reason, len(connection.slots))
        self.connections.discard(connection)
        self.paused_reads.remove(connection)
        self.reaper.remove(connection)

    def count_shed(self, class_and_plan: bytes) -> None:
        """Count a request of this ``CLASS,t=PLAN`` that was rejected before it was parsed."""
        kind = self.config.classes.get(class_and_plan.partition(b",")[0])
        if kind is not None:
            self.driver.metrics.count_rejection(kind, RejectionReason.OVERLOAD)
