"""The run's clock, and how late the stand-ins themselves are."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

BEAT = 0.02  # seconds between two looks at the clock
LATE = 30_000  # us by which a look may come late before it is noted


class Clock:
    """Microseconds since the run began, by the monotonic clock; ``unix_ms`` tells the same in Unix time."""

    def __init__(self) -> None:
        self.zero, self.unix = time.monotonic_ns(), time.time_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() - self.zero) // 1000

    def unix_ms(self, at: int) -> int:
        """A moment of the run as Unix time in milliseconds."""
        return (self.unix // 1000 + at) // 1000


class Heartbeat:
    """Notes each span in which this process did not run, so that no one else is blamed for it."""

    def __init__(self, clock: Clock, late: Callable[[int, int], None]) -> None:
        self.clock, self.late, self.worst = clock, late, 0

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            before = self.clock()
            await asyncio.sleep(BEAT)
            now = self.clock()
            over = now - before - int(BEAT * 1e6)
            self.worst = max(self.worst, over)
            if over > LATE:
                self.late(before, now)
