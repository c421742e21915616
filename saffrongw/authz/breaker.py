"""Circuit breakers and the choice among several authorisers.

Pure: times in microseconds are passed in.

A breaker is closed (all may pass), open (none may), or half-open (a few trials may). What it counts
lies within a sliding window, so that an authoriser that failed an hour ago is not held to it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MS = 1_000
SECOND = 1_000_000
LATENCY_SAMPLE_WEIGHT = 0.2  # weight of the newest latency


class BreakerState(Enum):
    """Of a breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class BreakerSettings:
    """When a breaker opens and how it closes again; spans in us."""

    window_us: int = 2 * SECOND  # what is older does not count
    min_outcomes: int = 10  # outcomes in the window below which it stays closed
    failure_share: float = 0.5  # of failures in the window at which it opens
    max_consecutive_failures: int = 5  # failures at which it opens whatever else is in the window
    open_us: int = SECOND  # the first time
    max_open_us: int = 15 * SECOND  # doubled with each trial that fails, up to this
    trials: int = 1  # checks at once while half-open
    successes: int = 2  # in a row that close it


class Breaker:
    """One authoriser's breaker."""

    def __init__(self, figures: BreakerSettings, seed: int) -> None:
        """Start closed; the seed is for the jitter of reopening."""
        self.settings, self.random = figures, random.Random(seed)
        self.state = BreakerState.CLOSED
        self.outcomes: deque[tuple[int, bool]] = (
            deque()
        )  # within the window: (when, whether it failed)
        self.failures = 0  # among them
        self.row = 0  # failures in a row
        self.until = 0  # when an open one becomes half-open
        self.span = figures.open_us
        self.trying = self.good = 0
        self.opened = 0  # times in all

    def may(self, now: int) -> bool:
        """Whether a check may be sent there now."""
        if self.state is BreakerState.OPEN and now >= self.until:
            self.state, self.trying, self.good = BreakerState.HALF_OPEN, 0, 0
        if self.state is BreakerState.HALF_OPEN:
            return self.trying < self.settings.trials
        return self.state is BreakerState.CLOSED

    def began(self) -> bool:
        """A check is sent there; whether it is a trial, which ``ended`` must be told."""
        if self.state is BreakerState.HALF_OPEN:
            self.trying += 1
            return True
        return False

    def ended(self, now: int, failed: bool, trial: bool) -> None:
        """What came of a check. One begun before the breaker opened says nothing of the trials."""
        if self.state is BreakerState.HALF_OPEN:
            if not trial:
                return
            self.trying = max(0, self.trying - 1)
            if failed:
                self.span = min(self.settings.max_open_us, 2 * self.span)
                self._open(now)
            else:
                self.good += 1
                if self.good >= self.settings.successes:
                    self.state, self.span, self.row = BreakerState.CLOSED, self.settings.open_us, 0
                    self.outcomes.clear()
                    self.failures = 0
            return
        if self.state is BreakerState.OPEN:
            return
        self.outcomes.append((now, failed))
        self.failures += failed
        self.row = self.row + 1 if failed else 0
        while self.outcomes[0][0] < now - self.settings.window_us or len(self.outcomes) > 1000:
            self.failures -= self.outcomes.popleft()[1]
        enough = len(self.outcomes) >= self.settings.min_outcomes
        if self.row >= self.settings.max_consecutive_failures or (
            enough and self.failures >= self.settings.failure_share * len(self.outcomes)
        ):
            self._open(now)

    def abandoned(self, trial: bool) -> None:
        """A check was called off by us: it says nothing of the authoriser."""
        if trial and self.state is BreakerState.HALF_OPEN:
            self.trying = max(0, self.trying - 1)

    def _open(self, now: int) -> None:
        # Jitter of a quarter: gateways that lost an authoriser together do not all try it again
        # together.
        self.state, self.until = (
            BreakerState.OPEN,
            now + int(self.span * self.random.uniform(0.75, 1.25)),
        )
        self.opened += 1
        self.outcomes.clear()
        self.failures = self.row = 0


class AuthoriserEndpoint:
    """One authoriser: its breaker, how many checks are out, how long they take."""

    def __init__(self, name: str, figures: BreakerSettings, seed: int) -> None:
        """Start without checks in flight and with a closed breaker."""
        self.name, self.breaker = name, Breaker(figures, seed)
        self.out = 0
        self.latency = 0.0  # us, smoothed

    def begin(self) -> bool:
        """A check is sent there; whether it is a trial."""
        self.out += 1
        return self.breaker.began()

    def end(self, now: int, duration_us: int, failed: bool, trial: bool) -> None:
        """A check has ended."""
        self.out -= 1
        self.latency += (
            LATENCY_SAMPLE_WEIGHT * (duration_us - self.latency) if self.latency else duration_us
        )
        self.breaker.ended(now, failed, trial)

    def abandon(self, trial: bool) -> None:
        """A check was called off by us."""
        self.out -= 1
        self.breaker.abandoned(trial)


def choose_endpoint(
    endpoints: Iterable[AuthoriserEndpoint],
    now: int,
    generator: random.Random,
    but: AuthoriserEndpoint | None = None,
) -> AuthoriserEndpoint | None:
    """The authoriser to ask: of those whose breakers let pass, the one that should answer soonest.

    A half-open one is tried first, when a trial is due: only checks can tell that it is back, and
    one at a time is at stake. None where all are shut.
    """
    usable = [e for e in endpoints if e is not but and e.breaker.may(now)]
    if not usable:
        return None
    if trials := [e for e in usable if e.breaker.state is BreakerState.HALF_OPEN]:
        return trials[0]
    return min(usable, key=lambda e: max(MS, e.latency) * (e.out + 1) * generator.uniform(0.9, 1.1))
