"""The exchange of announcements with each voter. No I/O; times are us of this gateway's clock."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(slots=True)
class VoterContact:
    """When to announce ourselves to one voter next, and when it last answered."""

    next_announce_us: int
    attempts: int = 0
    # 0: it has never answered.
    last_received_us: int = 0
    # The voter's own clock in its last answer.
    voter_clock_us: int = 0


def since_majority_us(contacts: Collection[VoterContact], majority: int, now: int) -> int | None:
    """Return the time since a majority of the voters last answered; None if it never has."""
    received = sorted((one.last_received_us for one in contacts), reverse=True)
    last_us = received[majority - 1] if len(received) >= majority else 0
    return now - last_us if last_us else None
