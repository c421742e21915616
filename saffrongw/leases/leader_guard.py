"""A leader guard under a lease: the holder of the lease is the leader."""

from __future__ import annotations

import asyncio
from typing import Protocol

from .claim import FencingToken


class LeaseHolder(Protocol):
    """What a leader guard needs from the leases component."""

    loop: asyncio.AbstractEventLoop | None

    def token(self, lease: str) -> FencingToken | None:
        """Return the fencing token of a held lease; None if it is not held."""

    def fenced_off(self, lease: str, seen_token: int) -> None:
        """Release a lease, and acquire it again under a token above one a receiver has seen."""


class LeaseLeaderGuard:
    """A ``LeaderGuard`` (``gateway.extensions``) under a lease.

    Its methods may run on any thread.
    """

    def __init__(self, holder: LeaseHolder, lease: str) -> None:
        """Guard the leadership that the lease stands for."""
        self.holder = holder
        self.lease = lease

    def fencing_token(self) -> int:
        """Return the fencing token under which this gateway is the leader; 0 if it is not."""
        token = self.holder.token(self.lease)
        return token.number if token and token.valid() else 0

    def is_valid(self, number: int) -> bool:
        """Return whether this gateway is still the leader under this fencing token."""
        return number > 0 and self.fencing_token() == number

    def raise_above(self, number: int) -> None:
        """Release the lease, and acquire it again under a token above one a receiver has seen."""
        if self.holder.loop:
            self.holder.loop.call_soon_threadsafe(self.holder.fenced_off, self.lease, number)
