"""The gateway's clock."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds, read once and then advanced by the monotonic clock.

    So it never jumps when the wall clock is set.
    """

    def __init__(self) -> None:
        """Read the wall clock, once."""
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the current time."""
        return (self.offset_ns + time.monotonic_ns()) // 1_000
