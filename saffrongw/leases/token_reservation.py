"""Reserves fencing tokens on disk, well before the acceptor grants them."""

from __future__ import annotations

import asyncio

from .acceptor import Acceptor
from .clock import LeaseClock
from .store import RESERVED_TOKENS_PER_BLOCK, LeaseStore


class TokenReservation:
    """Reserves tokens on the store's own thread, by one write at a time."""

    def __init__(
        self, store: LeaseStore, loop: asyncio.AbstractEventLoop, clock: LeaseClock
    ) -> None:
        """Reserve tokens in a store that is already open."""
        self.store = store
        self.loop = loop
        self.clock = clock
        # Why the last write failed; empty if it succeeded.
        self.error = ""
        self._writing = False

    def reserve_ahead(self, acceptor: Acceptor | None) -> None:
        """Start to reserve another block if less than half a block is left."""
        if acceptor is None or self._writing:
            return
        used = max(acceptor.highest_granted_token(), self.clock.wall_ms())
        if acceptor.reserved_token >= used + RESERVED_TOKENS_PER_BLOCK // 2:
            return
        self._writing = True

        def written(future: asyncio.Future[int]) -> None:
            self._writing = False
            if error := future.exception():
                self.error = str(error)
                return
            self.error = ""
            acceptor.reserved_token = max(acceptor.reserved_token, future.result())

        write = self.loop.run_in_executor(
            self.store.pool, self.store.reserve, used + RESERVED_TOKENS_PER_BLOCK
        )
        write.add_done_callback(written)
