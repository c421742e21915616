"""The guard of a leadership: what only the holder of a lease of its own name may do."""

from __future__ import annotations

import asyncio
from typing import Protocol

from .claim import FencingToken


class LeaseHolder(Protocol):
    """What a guard needs of the leases component."""

    loop: asyncio.AbstractEventLoop | None

    def token(self, lease: str) -> FencingToken | None:
        """Return the token of a lease; None: it is not held."""

    def fenced_off(self, lease: str, seen_token: int) -> None:
        """Release a lease and get it again, above a token that a receiver has seen."""


class LeaseLeaderGuard:
    """A ``LeaderGuard`` (``gateway.extensions``) under a lease.

    Its methods may run on any thread.
    """

    def __init__(self, holder: LeaseHolder, lease: str) -> None:
        """Guard what the holder of a lease may do."""
        self.holder = holder
        self.lease = lease

    def fencing_token(self) -> int:
        """Return the fencing token under which this gateway is the leader; 0: it is not."""
        token = self.holder.token(self.lease)
        return token.number if token and token.valid() else 0

    def is_valid(self, number: int) -> bool:
        """Return whether this gateway is still the leader under this fencing token."""
        return number > 0 and self.fencing_token() == number

    def raise_above(self, number: int) -> None:
        """Give the lease back and get it under a token above one that a receiver has seen."""
        if self.holder.loop:
            self.holder.loop.call_soon_threadsafe(self.holder.fenced_off, self.lease, number)
