"""How long commands of a connection have waited to be processed."""

from __future__ import annotations

from collections.abc import Callable

# Data that comes this long after all was read has not waited at its client for room to write it.
MAX_TRANSIT_US = 30_000


class InputAge:
    """The time since when data of a connection may have waited: here, in the kernel, or unsent.

    The kernel does not tell when data arrived. So what is processed after a pause of reading counts
    as having waited since the latest time at which nothing waited, until all of it was read.
    """

    __slots__ = ("_clock", "_read_at_us", "since_us")

    def __init__(self, clock: Callable[[], int], waited_us: int = 0) -> None:
        """Start with data that has waited; ``clock`` returns the time in microseconds."""
        self._clock = clock
        # None while nothing waits.
        self.since_us: int | None = clock() - waited_us if waited_us > 0 else None
        # When data was read last, or reading began; None while it is paused.
        self._read_at_us: int | None = clock()

    @property
    def waited_us(self) -> int:
        """For how long data may have waited; 0 if none has."""
        return 0 if self.since_us is None else max(0, self._clock() - self.since_us)

    def pause(self) -> None:
        """Data that arrives from now on waits."""
        self._read_at_us = None
        if self.since_us is None:
            self.since_us = self._clock()

    def resume(self) -> None:
        """Data that has waited is read from now on."""
        self._read_at_us = self._clock()

    def received(self) -> None:
        """Data was read; it has not waited if it comes long after what had."""
        now_us = self._clock()
        if self._read_at_us is not None and now_us - self._read_at_us > MAX_TRANSIT_US:
            self.since_us = None
        self._read_at_us = now_us

    def nothing_waited(self) -> None:
        """Nothing has arrived since the pause began; from now on it waits."""
        self.since_us = self._clock()

    def caught_up(self) -> None:
        """All that has waited is processed, and what arrives is read at once."""
        self.since_us = None
