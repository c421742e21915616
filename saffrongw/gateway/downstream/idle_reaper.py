"""Closes client connections that time out, and evicts connections when the limit is reached."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING

from ..reasons import CloseReason
from . import socket_state

if TYPE_CHECKING:
    from .connection import ClientConnection
    from .listener import ClientConnections

# Time to send a complete command, from connecting or from the command's first byte.
COMMAND_TIMEOUT_S = 3.0

# An idle connection is closed after this time, however few are idle.
MAX_IDLE_S = 10.0

# While more than CROWDED_IDLE_SHARE of the connection limit is idle, the surplus is closed after
# MIN_IDLE_S.
MIN_IDLE_S = 0.5
CROWDED_IDLE_SHARE = 0.25

# Time for a client to read some of its last replies before its connection is reset.
CLOSE_TIMEOUT_S = 3.0

SWEEP_INTERVAL_S = 0.25

# Connections of each group that are examined for one eviction: bounds the work in a flood.
MAX_EVICTION_CANDIDATES = 16

# For this time after a client connects, its first command is expected at once.
NEW_CONNECTION_S = 0.3


class IdleReaper:
    """Groups the connections by what they wait for, and closes those that are overdue.

    Each group holds the time at which a connection entered it, the oldest first. Connections in
    ``awaiting_command`` have sent no complete command yet, or part of the next one; those in
    ``idle`` have no request; those in ``closing`` close once their replies are read. Connections
    with requests in flight are in no group.
    """

    def __init__(self, clients: ClientConnections) -> None:
        """Start without connections."""
        self.clients = clients
        self.loop = clients.loop
        self.awaiting_command: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.closing: dict[ClientConnection, float] = {}
        # What the clients of the closing connections had not read at the last sweep.
        self.undelivered_bytes: dict[ClientConnection, int] = {}

    def start(self) -> None:
        """Start the periodic sweep."""
        self._sweep()

    def opened(self, connection: ClientConnection) -> None:
        """Add a new connection; its command timeout starts."""
        self.awaiting_command[connection] = self.loop.time()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection from its group."""
        for group in (self.awaiting_command, self.idle, self.closing):
            group.pop(connection, None)

    def command_received(self, connection: ClientConnection) -> None:
        """Restart a connection's command and idle timeouts: it has sent something complete."""
        self.awaiting_command.pop(connection, None)
        self.idle.pop(connection, None)

    def restart_close_timeout(self, connection: ClientConnection) -> None:
        """Restart the timeout in which the client must read a closing connection's replies."""
        self.closing.pop(connection, None)

    def classify(self, connection: ClientConnection) -> None:
        """Move a connection to its group; if it is in that group already, its timeout runs on."""
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
        """Whether a connection is younger than ``NEW_CONNECTION_S``, without a complete command."""
        opened_at_s = self.awaiting_command.get(connection, 0.0)
        return opened_at_s > self.loop.time() - NEW_CONNECTION_S

    def evict_one(self) -> bool:
        """Close a connection in favour of a new one; return whether one could be closed.

        Connections that sent no complete command are closed first, then the longest idle ones.
        """
        candidates = chain(
            islice(self.awaiting_command, MAX_EVICTION_CANDIDATES),
            islice(self.idle, MAX_EVICTION_CANDIDATES),
        )
        victim = next((each for each in candidates if self._may_be_evicted(each)), None)
        if victim is None:
            return False
        victim.abort(CloseReason.EVICTED)
        self.clients.lost(victim)
        return True

    def _may_be_evicted(self, connection: ClientConnection) -> bool:
        """Whether eviction loses no request that is still unread, and no part of a reply.

        A connection that sent no complete command is spared for unread data only while it is new:
        otherwise a client that keeps sending an incomplete command could never be evicted.
        """
        is_spared = connection in self.idle or self.is_new(connection)
        is_waiting = connection.unwritten_bytes or socket_state.has_unread_data(connection)
        return not (is_spared and is_waiting)

    def _sweep(self) -> None:
        now_s = self.loop.time()
        self._end_incomplete_commands(now_s)
        self._close_idle(now_s)
        self._abort_unread(now_s)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _end_incomplete_commands(self, now_s: float) -> None:
        for connection in _entered_by(self.awaiting_command, now_s - COMMAND_TIMEOUT_S):
            # The process may have been suspended: data that arrived in time is read first.
            if socket_state.has_unread_data(connection):
                continue
            if len(connection.reader):
                connection.close_with_error(
                    "a command was not whole in time", CloseReason.COMMAND_TIMEOUT
                )
                connection.settle()
            else:
                # Without an error line: if a request is in transit, the client would take the line
                # for its reply.
                self._close(connection, CloseReason.COMMAND_TIMEOUT)

    def _close_idle(self, now_s: float) -> None:
        """Close overdue idle connections, earlier where many are idle.

        Clients that keep their connection after one request would otherwise reach the limit.
        """
        surplus = len(self.idle) - int(CROWDED_IDLE_SHARE * self.clients.max_connections)
        for index, connection in enumerate(_entered_by(self.idle, now_s - MIN_IDLE_S)):
            is_overdue = index < surplus or self.idle[connection] <= now_s - MAX_IDLE_S
            if is_overdue and not socket_state.has_unread_data(connection):
                self._close(connection, CloseReason.IDLE)

    def _close(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close a connection; over TLS that takes until the client agrees, or ``_abort_unread``."""
        connection.close(reason)
        self.classify(connection)

    def _abort_unread(self, now_s: float) -> None:
        """Reset closing connections whose clients don't read their last replies.

        The timeout of the others starts anew: a long value may take a client any time to read.
        """
        previous = self.undelivered_bytes
        self.undelivered_bytes = {each: each.undelivered_bytes for each in self.closing}
        for connection, undelivered in self.undelivered_bytes.items():
            if undelivered < previous.get(connection, 0):
                del self.closing[connection]
                self.closing[connection] = now_s
        for connection in _entered_by(self.closing, now_s - CLOSE_TIMEOUT_S):
            if not connection.slots:
                connection.abort(CloseReason.UNREAD_REPLIES)


def _entered_by(group: dict[ClientConnection, float], time_s: float) -> list[ClientConnection]:
    """Return the connections that entered a group at this time or earlier, the oldest first."""
    found = []
    for connection, since_s in group.items():
        if since_s > time_s:
            break
        found.append(connection)
    return found
