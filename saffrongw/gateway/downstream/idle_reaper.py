"""Closes client connections that exceed their time, and finds those that make room for others."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING

from . import socket_state

if TYPE_CHECKING:
    from .connection import ClientConnection
    from .listener import ClientConnections

# For a complete command, from connecting or from the command's first byte.
COMMAND_TIMEOUT_S = 3.0

# A connection without a request is closed after this time, even if there is capacity.
MAX_IDLE_S = 10.0

# After this time it is closed where more than this share of all possible connections is idle.
MIN_IDLE_S = 0.5
CROWDED_IDLE_SHARE = 0.25

# For a client to read its last replies before its connection is reset.
CLOSE_TIMEOUT_S = 1.0

SWEEP_INTERVAL_S = 0.25

# Connections of each group that are examined for eviction: bounds the work in a flood.
MAX_EVICTION_CANDIDATES = 16

# A new connection is taken to be there for a command for this time.
NEW_CONNECTION_S = 0.3


class IdleReaper:
    """Groups the connections by what they wait for, and closes those that are overdue.

    Each group is in the order of time. ``awaiting_command`` have sent no complete command yet, or a
    part of one; ``idle`` have no request; ``closing`` are to close once their replies are read.
    Connections with requests in flight are in none.
    """

    def __init__(self, clients: ClientConnections) -> None:
        """Start without connections."""
        self.clients = clients
        self.loop = clients.loop
        self.awaiting_command: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.closing: dict[ClientConnection, float] = {}

    def start(self) -> None:
        """Sweep from now on."""
        self._sweep()

    def opened(self, connection: ClientConnection) -> None:
        """Note a new connection, from which a command is due."""
        self.awaiting_command[connection] = self.loop.time()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed from its group."""
        for group in (self.awaiting_command, self.idle, self.closing):
            group.pop(connection, None)

    def command_received(self, connection: ClientConnection) -> None:
        """Restart a connection's times: it has sent something complete."""
        self.awaiting_command.pop(connection, None)
        self.idle.pop(connection, None)

    def restart_close_timeout(self, connection: ClientConnection) -> None:
        """Restart the time in which a closing connection's replies must be read."""
        self.closing.pop(connection, None)

    def classify(self, connection: ClientConnection) -> None:
        """Put a connection into its group; one that stays there keeps its time."""
        if connection not in self.clients.connections:
            return
        group: dict[ClientConnection, float] | None
        if connection.is_closing or connection.transport.is_closing():
            group = self.closing
        elif connection.slots:
            group = None
        elif len(connection.reader):
            group = self.awaiting_command
        else:
            group = self.idle
        for other in (self.awaiting_command, self.idle, self.closing):
            if other is not group:
                other.pop(connection, None)
        if group is not None and connection not in group:
            group[connection] = self.loop.time()

    def is_new(self, connection: ClientConnection) -> bool:
        """Whether a connection has sent no complete command yet, and was opened just now."""
        opened_at_s = self.awaiting_command.get(connection, 0.0)
        return opened_at_s > self.loop.time() - NEW_CONNECTION_S

    def evict_one(self) -> bool:
        """Close a connection to make room for another one; return whether one could be closed.

        Connections that sent no complete command come first, then the longest idle ones.
        """
        candidates = chain(
            islice(self.awaiting_command, MAX_EVICTION_CANDIDATES),
            islice(self.idle, MAX_EVICTION_CANDIDATES),
        )
        victim = next((each for each in candidates if self._may_be_evicted(each)), None)
        if victim is None:
            return False
        victim.transport.abort()
        self.clients.lost(victim)
        return True

    def _may_be_evicted(self, connection: ClientConnection) -> bool:
        """Whether no request would be lost that has arrived and lies unread.

        A client that sends and sends, and never a complete command, is spared only while its
        connection is new.
        """
        is_spared = connection in self.idle or self.is_new(connection)
        return not (is_spared and socket_state.has_unread_data(connection))

    def _sweep(self) -> None:
        now_s = self.loop.time()
        self._end_incomplete_commands(now_s)
        self._close_idle(now_s)
        self._abort_unread(now_s)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _end_incomplete_commands(self, now_s: float) -> None:
        for connection in _since(self.awaiting_command, now_s - COMMAND_TIMEOUT_S):
            # The process may have stood still: what arrived in time is read first.
            if socket_state.has_unread_data(connection):
                continue
            if len(connection.reader):
                connection.close_with_error("a command was not whole in time")
                connection.settle()
            else:
                # Without a line: a request may be on its way, and must not take the line for its
                # reply.
                connection.transport.close()

    def _close_idle(self, now_s: float) -> None:
        """Close overdue idle connections, earlier where many are idle.

        Clients that keep a connection after one request would use up all that there may be."""
        surplus = len(self.idle) - int(CROWDED_IDLE_SHARE * self.clients.max_connections)
        for index, connection in enumerate(_since(self.idle, now_s - MIN_IDLE_S)):
            is_overdue = index < surplus or self.idle[connection] <= now_s - MAX_IDLE_S
            if is_overdue and not socket_state.has_unread_data(connection):
                connection.transport.close()

    def _abort_unread(self, now_s: float) -> None:
        """Reset closing connections whose clients don't read their last replies."""
        for connection in _since(self.closing, now_s - CLOSE_TIMEOUT_S):
            if not connection.slots:
                connection.transport.abort()


def _since(group: dict[ClientConnection, float], time_s: float) -> list[ClientConnection]:
    """Return the connections that are in a group since this time or longer.

    The longest come first.
    """
    found = []
    for connection, since_s in group.items():
        if since_s > time_s:
            break
        found.append(connection)
    return found
