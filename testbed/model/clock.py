"""The run's clock, and a heartbeat that detects when the testbed process itself was delayed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

HEARTBEAT_S = 0.02  # interval at which the heartbeat reads the clock
LATE_THRESHOLD_US = 30_000  # delay of a heartbeat above which it is reported


class Clock:
    """Microseconds since the run began, by the monotonic clock; ``unix_ms`` converts to Unix time."""

    def __init__(self) -> None:
        self.zero, self.unix = time.monotonic_ns(), time.time_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() - self.zero) // 1000

    def unix_ms(self, at: int) -> int:
        """Converts a time of the run to Unix time in milliseconds."""
        return (self.unix // 1000 + at) // 1000


class Heartbeat:
    """Reports each span in which this process did not run, so that its delays are not blamed on a gateway."""

    def __init__(self, clock: Clock, late: Callable[[int, int], None]) -> None:
        self.clock, self.late, self.worst = clock, late, 0

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            before = self.clock()
            await asyncio.sleep(HEARTBEAT_S)
            now = self.clock()
            delay_us = now - before - int(HEARTBEAT_S * 1e6)
            self.worst = max(self.worst, delay_us)
            if delay_us > LATE_THRESHOLD_US:
                self.late(before, now)
