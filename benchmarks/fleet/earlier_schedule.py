"""The poll schedule of the previous version, as a baseline."""

from __future__ import annotations

import random
from collections.abc import Callable

from saffrongw.gateway.discovery.poll_schedule import PollRequest, PollSchedule


class EarlierSchedule(PollSchedule):
    """The previous version's delays: an immediate full fetch, then retries after fixed delays."""

    # Consecutive rejections.
    rejections = 0

    def __init__(
        self,
        gateways: int,
        draw: random.Random,
        version: int | None = None,
        notification_deadline_s: float = 0.0,
        has_clients: Callable[[], bool] = lambda: True,
    ) -> None:
        """Keep the configured notification deadline, which bounded the delay after a rejection."""
        super().__init__(gateways, draw, version, notification_deadline_s, has_clients=has_clients)
        self.configured_deadline_s = notification_deadline_s

    def first_poll_span(self) -> float:
        """Return 0: the first poll is sent at once."""
        return 0.0

    def rejected(self, now: float, retry_after_s: float = 0.0) -> None:
        """Count consecutive rejections."""
        super().rejected(now, retry_after_s)
        self.rejections += 1

    def span_after_loss(self) -> float:
        """Return the backoff, which did not depend on the size of the fleet."""
        return min(1.0, 0.05 * 2 ** min(16, self.failures))

    def span_after_rejection(self, _now: float) -> float:
        """Return the configured deadline, doubled for each rejection up to four times its value."""
        return self.configured_deadline_s * min(4, 2 ** min(16, self.rejections))

    def begin(self, now: float, at_once: bool = False) -> None:
        """Start with a full fetch, and use watches of 2 s."""
        super().begin(now, at_once)
        self.version = None
        self.watch_s = 2.0
        self.full_fetch_at = None

    def answered(
        self, now: float, version: int, connection_closes: bool = False
    ) -> PollRequest | None:
        """Reset the count of consecutive rejections."""
        self.rejections = 0
        return super().answered(now, version, connection_closes)

    def connected(self, now: float) -> PollRequest:
        """Poll for the complete list, except after a rejection."""
        if not self.rejections:
            self.version = None
        return super().connected(now)

    def _answer_timeout(self) -> float:
        return 1.0
