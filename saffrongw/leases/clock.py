"""The clocks of a gateway's lease node."""

from __future__ import annotations

import time

from .timing import MILLISECOND_US


def boot_time_us() -> int:
    """Return us since boot: a clock that is never set and runs while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


class LeaseClock:
    """The monotonic clock of leases, and a wall clock that is read once and then never steps."""

    def __init__(self) -> None:
        """Read the wall clock once; ``wall`` counts from this reading."""
        self._wall_base_us = time.time_ns() // 1_000 - boot_time_us()

    def now(self) -> int:
        """Return the time of the monotonic clock in us."""
        return boot_time_us()

    def wall(self, now: int) -> int:
        """Return the Unix time in us at a time of the monotonic clock."""
        return self._wall_base_us + now

    def wall_ms(self) -> int:
        """Return the Unix time in ms, at which fencing tokens begin."""
        return self.wall(self.now()) // MILLISECOND_US
