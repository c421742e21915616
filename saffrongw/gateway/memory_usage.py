"""How much memory the process uses and what its buffers hold, for metrics and the log."""

from __future__ import annotations

import asyncio
import logging
import resource
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from .metrics import MetricRow

log = logging.getLogger(__name__)

BYTES_PER_MB = 1 << 20

CHECK_INTERVAL_S = 0.2
# Shares of the memory limit at which the log says that use is high, and that it is normal again.
HIGH_SHARE = 0.75
NORMAL_SHARE = 0.65

_STATM = Path("/proc/self/statm")
# The second field of the file: resident pages.
_RESIDENT_FIELD = 1


class BufferedBytes(NamedTuple):
    """What connections and requests hold, in bytes, without the interpreter's overhead."""

    # Received from clients, and not a complete command yet or not processed.
    client_input: int
    # Requests without a final reply.
    requests: int
    # Final replies that their clients have not taken.
    replies: int
    # Attempts that are not written completely, and replies that have arrived in part.
    upstream: int


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 where the system does not tell."""
    try:
        fields = _STATM.read_text().split()
    except OSError:
        return 0
    return int(fields[_RESIDENT_FIELD]) * resource.getpagesize()


def rows(buffered: BufferedBytes) -> list[MetricRow]:
    """Return the metrics of memory, in bytes."""
    held = [(f"buffered_{name}", value) for name, value in buffered._asdict().items()]
    return [("resident", resident_bytes()), *held]


class MemoryWatch:
    """Logs when the process comes close to its memory limit, and what its buffers hold then.

    A process that is killed for its memory can't say so itself.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit_bytes: int,
        buffered: Callable[[], BufferedBytes],
    ) -> None:
        """Watch for ``limit_bytes``; nothing is checked before ``start``."""
        self.loop = loop
        self.limit_bytes = limit_bytes
        self.buffered = buffered
        self.is_high = False

    def start(self) -> None:
        """Check periodically from now on."""
        self.check(resident_bytes())
        self.loop.call_later(CHECK_INTERVAL_S, self.start)

    def check(self, resident: int) -> None:
        """Log a change of state, given the resident memory in bytes."""
        share = HIGH_SHARE if not self.is_high else NORMAL_SHARE
        is_high = resident > share * self.limit_bytes
        if is_high is self.is_high:
            return
        self.is_high = is_high
        state = "high" if is_high else "normal"
        held = " ".join(
            f"{name}_mb={value // BYTES_PER_MB}"
            for name, value in self.buffered()._asdict().items()
        )
        log.warning(
            "memory: %s: resident_mb=%d limit_mb=%d %s",
            state,
            resident // BYTES_PER_MB,
            self.limit_bytes // BYTES_PER_MB,
            held,
        )
