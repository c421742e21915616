"""Reserves fencing tokens on the disk, well before an acceptor needs them."""

from __future__ import annotations

import asyncio

from .acceptor import Acceptor
from .clock import LeaseClock
from .store import RESERVED_TOKENS_PER_BLOCK, LeaseStore


class TokenReservation:
    """Writes on the store's own thread; one write at a time."""

    def __init__(
        self, store: LeaseStore, loop: asyncio.AbstractEventLoop, clock: LeaseClock
    ) -> None:
        """Reserve in a store that is open."""
        self.store = store
        self.loop = loop
        self.clock = clock
        # The cause, when the last write failed.
        self.error = ""
        self._writing = False

    def reserve_ahead(self, acceptor: Acceptor | None) -> None:
        """Begin to reserve another block where less than half a block is left."""
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
