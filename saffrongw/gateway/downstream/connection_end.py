"""The end of one client connection in this process: by closing it, or by a hand-over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..reasons import CloseReason
from . import socket_state

if TYPE_CHECKING:
    from .connection import ClientConnection


class ConnectionEnd:
    """Decides when a connection is closed or given to the successor process, and does that."""

    __slots__ = ("connection", "reaper", "shutdown")

    def __init__(self, connection: ClientConnection) -> None:
        """Decide for this connection."""
        self.connection = connection
        self.shutdown = connection.clients.shutdown
        self.reaper = connection.clients.reaper

    def settle(self) -> None:
        """Hand the connection over, or close it, if that is due; classify it for the reaper."""
        connection = self.connection
        if connection.transport.is_closing():
            return
        if not connection.slots:
            if self.shutdown.give_to_successor and not connection.is_closing and self._hand_over():
                return
            if connection.is_closing or (self.closes_when_idle and self._is_idle()):
                self.reaper.restart_close_timeout(connection)
                connection.close(CloseReason.DRAINED)
        self.reaper.classify(connection)

    @property
    def closes_when_idle(self) -> bool:
        """Whether the gateway drains, or this connection can't be handed to its successor."""
        shutdown = self.shutdown
        return shutdown.is_draining or (shutdown.is_handing_over and self.connection.is_tls)

    @property
    def leaves_commands(self) -> bool:
        """Whether data that is not processed yet is left to the process that gets the connection.

        That holds during a hand-over, but for connections that can't leave this process.
        """
        if not self.shutdown.is_handing_over:
            return False
        # A command whose body is dropped can't be given to the successor: it is rejected here.
        return not self.connection.is_tls and not self.connection.reader.is_dropping

    @property
    def awaits_hand_over(self) -> bool:
        """Whether the successor gets this connection as soon as that is possible."""
        connection = self.connection
        is_open = not connection.is_closing and not connection.transport.is_closing()
        return self.leaves_commands and is_open

    def _is_idle(self) -> bool:
        """Whether no command has partly arrived, lies unread, or is expected at once.

        Closing the connection would lose such a command.
        """
        connection = self.connection
        if len(connection.reader):
            return False
        if self.leaves_commands:
            return True
        # In a drain, a client that has just connected is about to send a command.
        is_expected_at_once = not self.shutdown.is_handing_over and self.reaper.is_new(connection)
        return not is_expected_at_once and not socket_state.is_readable(connection)

    def _hand_over(self) -> bool:
        """Give the connection, and unprocessed data, to the successor; return whether it worked."""
        connection, give = self.connection, self.shutdown.give_to_successor
        if give is None or connection.unwritten_bytes or not self.leaves_commands:
            return False
        descriptor = socket_state.descriptor(connection)
        waited_us = connection.input_age.waited_us
        if not give(descriptor, connection.reader.unprocessed(), waited_us):
            return False
        connection.close_reason = CloseReason.HANDED_OVER
        connection.clients.lost(connection)
        # Only this process's descriptor is closed.
        connection.transport.abort()
        return True
