"""Rate-limited warnings about conditions that an operator has to repair."""

from __future__ import annotations

import logging

from .node import LeaseNode
from .timing import SECOND_US

log = logging.getLogger(__name__)

# Minimum time between two lines about the same condition.
LOG_INTERVAL_US = 60 * SECOND_US
MAX_CONDITIONS = 64


class ConditionLog:
    """Warns about wrong clocks, outdated operator files and failed token reservations.

    It logs at most one line a minute about each condition.
    """

    def __init__(self) -> None:
        """Start with nothing logged."""
        # When each condition was last logged.
        self._logged_us: dict[str, int] = {}

    def check(self, now: int, node: LeaseNode, reservation_error: str) -> None:
        """Log the conditions that hold now."""
        if reason := node.proposer.stop_reason:
            self._warn(now, "clock", f'own_clock_wrong: reason="{reason}"')
        for voter in sorted(node.clock_drift.wrong):
            lowest, highest = node.clock_drift.rates.get(voter, (0.0, 0.0))
            self._warn(
                now,
                f"clock {voter}",
                f"voter_clock_wrong: voter={voter} min_rate={lowest:.4f} max_rate={highest:.4f}",
            )
        own_set = node.voter_set.number
        if node.foreign_set_number > own_set:
            text = f"voter_set_outdated: own={own_set} highest={node.foreign_set_number}"
            self._warn(now, "set", text)
        if node.foreign_shard_count:
            text = f"shard_count_differs: own={node.shard_count} voters={node.foreign_shard_count}"
            self._warn(now, "shards", text)
        if reservation_error:
            text = f'token_reservation_failed: error="{reservation_error}"'
            self._warn(now, "store", text)

    def _warn(self, now: int, condition: str, text: str) -> None:
        last_us = self._logged_us.get(condition, -LOG_INTERVAL_US)
        if now - last_us >= LOG_INTERVAL_US and len(self._logged_us) < MAX_CONDITIONS:
            self._logged_us[condition] = now
            log.warning("leases: %s", text)
