"""The memory that one client connection has reserved, beside that of its reply slots."""

from __future__ import annotations

from ..in_flight_memory import InFlightMemory, ReplySizes

# Index of the body among a request's parts, which end before it if there is none.
BODY_PART = 5


class Reservations:
    """What is reserved for the command that arrives, and for replies that the socket has not taken.

    Once a request is started or queued, its slot owns what is reserved for it.
    """

    __slots__ = ("_memory", "_reply_sizes", "_unwritten_bytes", "command_bytes")

    def __init__(self, memory: InFlightMemory, reply_sizes: ReplySizes) -> None:
        """Start without reservations."""
        self._memory = memory
        self._reply_sizes = reply_sizes
        # For the command that arrives or is processed.
        self.command_bytes = 0
        self._unwritten_bytes = 0

    def may_keep_body(self, length: int) -> bool:
        """Reserve memory for a large body that arrives in pieces, if there is room."""
        if not self._memory.allows_greedy or not self._memory.try_reserve(length):
            return False
        self.command_bytes = length
        return True

    def reserve_request(self, kind: int, parts: tuple[bytes, ...]) -> bool:
        """Reserve memory for a request's body, if that is not done yet, and for its reply."""
        needed_bytes = self._reply_sizes.expected_bytes(kind)
        if not self.command_bytes and len(parts) > BODY_PART:
            needed_bytes += len(parts[BODY_PART])
        if not self._memory.try_reserve(needed_bytes):
            return False
        self.command_bytes += needed_bytes
        return True

    def take_request(self) -> int:
        """Return what is reserved for the request; it belongs to the caller from now on."""
        reserved_bytes, self.command_bytes = self.command_bytes, 0
        return reserved_bytes

    def release_command(self) -> None:
        """Give back what is reserved for a command that did not become a request in flight."""
        self._memory.release(self.take_request())

    def reply_written(self, reserved_bytes: int, is_taken: bool) -> None:
        """Give back what is reserved for a reply, now or when the socket has taken it."""
        if is_taken:
            self._memory.release(reserved_bytes)
        else:
            self._unwritten_bytes += reserved_bytes

    def release_unwritten(self) -> None:
        """Give back what is reserved for replies that the socket has taken by now."""
        reserved_bytes, self._unwritten_bytes = self._unwritten_bytes, 0
        self._memory.release(reserved_bytes)
