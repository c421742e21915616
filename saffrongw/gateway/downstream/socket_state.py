"""Polls the sockets of client connections without reading from them."""

from __future__ import annotations

import select
import struct
import termios
from collections.abc import Iterable
from fcntl import ioctl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .connection import ClientConnection

_QUEUE_LENGTH = struct.Struct("i")
_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def descriptor(connection: ClientConnection) -> int:
    """Return the file descriptor of a connection's socket."""
    return connection.transport.get_extra_info("socket").fileno()


def disconnected(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Return the connections whose client has disconnected, also where reading is paused."""
    return _polled(connections, _DISCONNECTED)


def readable(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Return the connections in whose socket data, or the end of the connection, is unread."""
    return _polled(connections, select.POLLIN)


def is_readable(connection: ClientConnection) -> bool:
    """Whether data, or the end of the connection, is unread in the socket."""
    return bool(readable((connection,)))


def unacknowledged_bytes(connection: ClientConnection) -> int:
    """Return how much the kernel has taken and the client's machine has not acknowledged."""
    if connection.transport.is_closing() and descriptor(connection) < 0:
        return 0
    return _QUEUE_LENGTH.unpack(ioctl(descriptor(connection), termios.TIOCOUTQ, b"\0" * 4))[0]


def has_unread_data(connection: ClientConnection) -> bool:
    """Whether data of a client that has not disconnected is unread in the socket."""
    return is_readable(connection) and not disconnected((connection,))


def _polled(connections: Iterable[ClientConnection], events: int) -> list[ClientConnection]:
    poll = select.poll()
    by_descriptor: dict[int, ClientConnection] = {}
    for connection in connections:
        if not connection.transport.is_closing():
            fd = descriptor(connection)
            by_descriptor[fd] = connection
            poll.register(fd, events)
    return [by_descriptor[fd] for fd, _ in poll.poll(0)] if by_descriptor else []
