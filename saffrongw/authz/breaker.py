"""Circuit breakers, and the choice among several authorisers.

Pure: times in microseconds are passed in.

A breaker is closed (every check may be sent), open (none may) or half-open (a few trial checks
may). It counts outcomes in a sliding window, so that old failures do not keep an authoriser out.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

US_PER_MS = 1_000
US_PER_S = 1_000_000
LATENCY_SAMPLE_WEIGHT = 0.2  # of the newest sample in the moving average


class BreakerState(Enum):
    """Which checks a breaker lets through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class BreakerSettings:
    """When a breaker opens and when it closes again."""

    window_us: int = 2 * US_PER_S  # older outcomes are not counted
    min_outcomes: int = 10  # in the window, before the failure share can open the breaker
    failure_share: float = 0.5  # of the outcomes in the window that opens the breaker
    max_consecutive_failures: int = 5  # that open the breaker whatever the share is
    open_us: int = US_PER_S  # how long the breaker stays open the first time
    max_open_us: int = 15 * US_PER_S  # bound of the doubling after each failed trial
    max_concurrent_trials: int = 1  # while half-open
    successes_to_close: int = 2  # successful trials in a row that close the breaker


class Breaker:
    """The circuit breaker of one authoriser."""

    def __init__(self, settings: BreakerSettings, seed: int) -> None:
        """Start closed; the seed is for the jitter of the open time."""
        self.settings, self.random = settings, random.Random(seed)
        self.state = BreakerState.CLOSED
        self.outcomes: deque[tuple[int, bool]] = (
            deque()
        )  # within the window: (time, whether the check failed)
        self.failures = 0  # among the outcomes
        self.consecutive_failures = 0
        self.half_open_at_us = 0  # when an open breaker becomes half-open
        self.open_duration_us = settings.open_us
        self.trials_in_flight = self.successful_trials = 0
        self.open_count = 0  # how often the breaker has opened

    def allows_check(self, now: int) -> bool:
        """Return whether a check may be sent now; an open breaker may become half-open."""
        if self.state is BreakerState.OPEN and now >= self.half_open_at_us:
            self.state, self.trials_in_flight, self.successful_trials = BreakerState.HALF_OPEN, 0, 0
        if self.state is BreakerState.HALF_OPEN:
            return self.trials_in_flight < self.settings.max_concurrent_trials
        return self.state is BreakerState.CLOSED

    def check_started(self) -> bool:
        """Count a check that is sent; return whether it is a trial, for when it ends."""
        if self.state is BreakerState.HALF_OPEN:
            self.trials_in_flight += 1
            return True
        return False

    def check_ended(self, now: int, failed: bool, is_trial: bool) -> None:
        """Count the outcome of a check.

        A half-open breaker ignores the outcomes of checks that were sent before it opened.
        """
        if self.state is BreakerState.HALF_OPEN:
            if not is_trial:
                return
            self.trials_in_flight = max(0, self.trials_in_flight - 1)
            if failed:
                self.open_duration_us = min(self.settings.max_open_us, 2 * self.open_duration_us)
                self._open(now)
            else:
                self.successful_trials += 1
                if self.successful_trials >= self.settings.successes_to_close:
                    self.state, self.open_duration_us, self.consecutive_failures = (
                        BreakerState.CLOSED,
                        self.settings.open_us,
                        0,
                    )
                    self.outcomes.clear()
                    self.failures = 0
            return
        if self.state is BreakerState.OPEN:
            return
        self.outcomes.append((now, failed))
        self.failures += failed
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        while self.outcomes[0][0] < now - self.settings.window_us or len(self.outcomes) > 1000:
            self.failures -= self.outcomes.popleft()[1]
        has_min_outcomes = len(self.outcomes) >= self.settings.min_outcomes
        if self.consecutive_failures >= self.settings.max_consecutive_failures or (
            has_min_outcomes and self.failures >= self.settings.failure_share * len(self.outcomes)
        ):
            self._open(now)

    def check_cancelled(self, is_trial: bool) -> None:
        """Release the slot of a trial that the gateway cancelled; it counts as no outcome."""
        if is_trial and self.state is BreakerState.HALF_OPEN:
            self.trials_in_flight = max(0, self.trials_in_flight - 1)

    def _open(self, now: int) -> None:
        # Jitter of a quarter: gateways that lost an authoriser at the same time do not all send
        # their trials at the same time.
        self.state, self.half_open_at_us = (
            BreakerState.OPEN,
            now + int(self.open_duration_us * self.random.uniform(0.75, 1.25)),
        )
        self.open_count += 1
        self.outcomes.clear()
        self.failures = self.consecutive_failures = 0


class AuthoriserEndpoint:
    """One authoriser: its breaker, its checks in flight and its latency."""

    def __init__(self, name: str, settings: BreakerSettings, seed: int) -> None:
        """Start without checks in flight and with a closed breaker."""
        self.name, self.breaker = name, Breaker(settings, seed)
        self.in_flight = 0
        self.latency_us = 0.0  # exponential moving average; 0 before the first check

    def check_started(self) -> bool:
        """Count a check that is sent; return whether it is a trial."""
        self.in_flight += 1
        return self.breaker.check_started()

    def check_ended(self, now: int, duration_us: int, failed: bool, is_trial: bool) -> None:
        """Count the outcome and the duration of a check."""
        self.in_flight -= 1
        self.latency_us += (
            LATENCY_SAMPLE_WEIGHT * (duration_us - self.latency_us)
            if self.latency_us
            else duration_us
        )
        self.breaker.check_ended(now, failed, is_trial)

    def check_cancelled(self, is_trial: bool) -> None:
        """Forget a check that the gateway cancelled."""
        self.in_flight -= 1
        self.breaker.check_cancelled(is_trial)


def choose_endpoint(
    endpoints: Iterable[AuthoriserEndpoint],
    now: int,
    generator: random.Random,
    exclude: AuthoriserEndpoint | None = None,
) -> AuthoriserEndpoint | None:
    """Return the authoriser with the least expected wait whose breaker allows a check.

    A half-open one that may get a trial goes first: only a check can show that it has recovered,
    and few checks at a time are at risk. None where no breaker allows a check.
    """
    usable = [e for e in endpoints if e is not exclude and e.breaker.allows_check(now)]
    if not usable:
        return None
    if half_open := [e for e in usable if e.breaker.state is BreakerState.HALF_OPEN]:
        return half_open[0]
    return min(
        usable,
        key=lambda e: (
            max(US_PER_MS, e.latency_us) * (e.in_flight + 1) * generator.uniform(0.9, 1.1)
        ),
    )
