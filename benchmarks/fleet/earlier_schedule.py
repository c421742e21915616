"""The poll schedule of the version before, for comparison."""

from __future__ import annotations

import random
from collections.abc import Callable

from saffrongw.gateway.discovery.poll_schedule import PollRequest, PollSchedule


class EarlierSchedule(PollSchedule):
    """The spans of the version before: a full fetch at once, again within fixed spans."""

    # In a row.
    rejections = 0

    def __init__(
        self,
        gateways: int,
        draw: random.Random,
        version: int | None = None,
        notification_deadline_s: float = 0.0,
        has_clients: Callable[[], bool] = lambda: True,
    ) -> None:
        """Keep the deadline of the settings, which bounded the span after a rejection."""
        super().__init__(gateways, draw, version, notification_deadline_s, has_clients=has_clients)
        self.configured_deadline_s = notification_deadline_s

    def first_poll_span(self) -> float:
        """Return 0: at once."""
        return 0.0

    def rejected(self, now: float, retry_after_s: float = 0.0) -> None:
        """Count the rejections."""
        super().rejected(now, retry_after_s)
        self.rejections += 1

    def span_after_loss(self) -> float:
        """Return the backoff, which was the same for every fleet."""
        return min(1.0, 0.05 * 2 ** min(16, self.failures))

    def span_after_rejection(self, _now: float) -> float:
        """Return the deadline of the settings, doubled twice."""
        return self.configured_deadline_s * min(4, 2 ** min(16, self.rejections))

    def begin(self, now: float, at_once: bool = False) -> None:
        """Start with a full fetch, and watch for 2 s."""
        super().begin(now, at_once)
        self.version = None
        self.watch_s = 2.0
        self.full_fetch_at = None

    def answered(
        self, now: float, version: int, connection_closes: bool = False
    ) -> PollRequest | None:
        """Forget the rejections."""
        self.rejections = 0
        return super().answered(now, version, connection_closes)

    def connected(self, now: float) -> PollRequest:
        """Poll for the complete list, but after a rejection."""
        if not self.rejections:
            self.version = None
        return super().connected(now)

    def _answer_timeout(self) -> float:
        return 1.0
