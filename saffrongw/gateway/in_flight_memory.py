"""The memory that requests in flight may use, over all client connections together.

A limit for each connection does not bound a process, because there are hundreds of connections. So
a request is started only when memory is reserved for its body and for its reply.
"""

from __future__ import annotations

from .bounded_reads import READ_BYTES
from .resp import MAX_VALUE_BYTES
from .streaming_reply import MAX_BUFFERED_BYTES

# What the process uses without any client: interpreter, libraries, configuration.
PROGRAM_BYTES = 32 << 20
# Share of the rest for requests in flight. What is left is for connections and their partial
# commands, the allocator, and the second process of a hot restart.
IN_FLIGHT_SHARE = 0.4
MIN_LIMIT_BYTES = 1 << 20

# Share of the limit up to which a connection may have more than one request in flight, and large
# bodies may begin to arrive: clients that send one small request at a time find room beside them.
GREEDY_SHARE = 0.5

# What a reply can hold: a whole value, or the start of one that is streamed behind other replies.
MAX_REPLY_BYTES = max(MAX_VALUE_BYTES, MAX_BUFFERED_BYTES) + READ_BYTES
MIN_REPLY_BYTES = 4 * 1024
# Held of a streamed value while it is passed on.
STREAM_BYTES = READ_BYTES
# Smaller replies after which the estimate has followed most of the way.
ESTIMATE_REPLIES = 32


class InFlightMemory:
    """Counts the bytes that are reserved for requests and replies, up to a limit."""

    def __init__(self, memory_bytes: int) -> None:
        """Derive the limit from that of the process's memory."""
        available = IN_FLIGHT_SHARE * (memory_bytes - PROGRAM_BYTES)
        self.limit_bytes = max(MIN_LIMIT_BYTES, int(available))
        self.greedy_limit_bytes = int(GREEDY_SHARE * self.limit_bytes)
        self.used_bytes = 0

    @property
    def allows_greedy(self) -> bool:
        """Whether a connection may have more than one small request at a time."""
        return self.used_bytes < self.greedy_limit_bytes

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes if that keeps the limit; return whether they are reserved."""
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Give back bytes that were reserved."""
        self.used_bytes -= count


class ReplySizes:
    """Estimates how long replies are, by request class: as long as the longest of the recent ones.

    An estimate that is too small is bounded by the number of connections to endpoints.
    """

    def __init__(self, class_count: int) -> None:
        """Expect the longest replies until shorter ones have come."""
        self._estimates = [float(MAX_REPLY_BYTES)] * class_count

    def expected_bytes(self, kind: int) -> int:
        """Return how much to reserve for a reply to a request of this class."""
        estimate = self._estimates[kind]
        return int(estimate) if estimate > MIN_REPLY_BYTES else MIN_REPLY_BYTES

    def observe(self, kind: int, length: int) -> None:
        """Follow a reply: at once if it is longer than expected, else slowly."""
        estimate = self._estimates[kind]
        if length >= estimate:
            self._estimates[kind] = length
        else:
            self._estimates[kind] = estimate - (estimate - length) / ESTIMATE_REPLIES
