"""Durations of a lease, all derived from one inequality over clock rates.

Clocks are never compared with each other. Each only has to run at a rate between ``1 - max_drift``
and ``1 + max_drift`` of true time. A holder counts ``holder_duration_us`` on its own clock from
*before* its proposal left; an acceptor counts ``duration_us`` from its answer, so the holder's time
begins first. For all clock rates within the bound, the holder's time also ends first if and only if

    holder_duration / (1 - max_drift)  <=  duration / (1 + max_drift)                        (1)

An acceptor that starts with empty memory may have granted anything just before. By (1) every such
grant is over once ``duration_us`` has passed on its own clock, so it stays silent for that long.
The same holds for a voter set that follows another one (``voter_set.py``). This module does no
I/O; durations are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
# How late a clock reading may be; subtracted from the holder's duration.
CLOCK_GRANULARITY_US = 2 * MILLISECOND_US
MAX_CLOCK_DRIFT = 0.2


@dataclass(frozen=True, slots=True)
class Timing:
    """How long an acceptor grants a lease, and by which fraction clock rates may be off.

    ``duration_us`` is counted on the acceptor's own clock.
    """

    duration_us: int = 10 * SECOND_US
    max_drift: float = 0.01

    def __post_init__(self) -> None:
        """Check the bounds; raise ``ValueError`` naming what is wrong."""
        if not 0 <= self.max_drift <= MAX_CLOCK_DRIFT:
            raise ValueError(f"drift must lie between 0 and {MAX_CLOCK_DRIFT}")
        if self.duration_us < 100 * MILLISECOND_US:
            raise ValueError("a span of less than 100 ms leaves no time for a round of requests")

    @property
    def holder_duration_us(self) -> int:
        """Return how long a holder may act, on its own clock; from (1).

        It counts from before the proposal was sent.
        """
        granted = int(self.duration_us * (1 - self.max_drift) / (1 + self.max_drift))
        return granted - CLOCK_GRANULARITY_US

    @property
    def silence_us(self) -> int:
        """Return how long an acceptor that starts is silent, on its own clock; from (1)."""
        return self.duration_us

    @property
    def believable_rates(self) -> tuple[float, float]:
        """Return the lowest and highest rate of one correct clock as measured by another."""
        slow, fast = 1 - self.max_drift, 1 + self.max_drift
        return slow / fast, fast / slow

    @property
    def renew_after_us(self) -> int:
        """Return the renewal interval: a third of the holder's duration, so two rounds may fail."""
        return self.holder_duration_us // 3

    @property
    def resend_after_us(self) -> int:
        """Return the time after which an unanswered message is sent again."""
        return max(20 * MILLISECOND_US, min(SECOND_US, self.holder_duration_us // 20))

    @property
    def max_round_us(self) -> int:
        """Return the time after which a round without a majority is abandoned."""
        return min(4 * self.resend_after_us, self.holder_duration_us // 3)

    @property
    def offer_interval_us(self) -> int:
        """Return the interval at which acceptors offer a free lease."""
        return max(100 * MILLISECOND_US, min(500 * MILLISECOND_US, self.duration_us // 10))

    @property
    def stagger_us(self) -> int:
        """Return how much longer than the first the second candidate waits after an offer."""
        return max(30 * MILLISECOND_US, min(150 * MILLISECOND_US, self.duration_us // 50))

    @property
    def announce_interval_us(self) -> int:
        """Return the interval at which a candidate announces itself.

        It is below ``silence_us``: a voter that starts learns of all candidates while it is silent.
        """
        return min(30 * SECOND_US, int(0.9 * self.duration_us))
