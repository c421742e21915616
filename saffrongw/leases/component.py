"""The component that ``[leases]`` switches on.

It connects a lease node to the channel, and adds the tasks and the admin commands.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from pathlib import Path

from saffrongw.channel.component import ChannelComponent
from saffrongw.gateway.config import parse_address
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.extensions import AdminCommand

from .admin_commands import LeaseAdminCommands
from .claim import FencingToken
from .clock import LeaseClock
from .gateway_id import GatewayId
from .leader_guard import LeaseLeaderGuard
from .messages import NUMBER_LIMIT
from .node import LeaseNode, NodeSettings
from .node_driver import NodeDriver
from .state_report import JsonObject, metrics_of, state_of
from .store import LeaseStore, LeaseStoreError
from .table import LeasesTable
from .token_reservation import TokenReservation

log = logging.getLogger(__name__)

# Between attempts to read the store in a hot restart.
STORE_RETRY_S = 1.0
# Keys of [leases] that a reload can't change.
FIXED_KEYS = ("span_s", "drift", "shards", "state_dir")


class LeasesTableError(ValueError):
    """A changed ``[leases]`` table can't be applied by a reload; the message names the key."""


class LeasesComponent:
    """Starts and stops the lease node; ``node_driver`` is None before ``start``."""

    def __init__(self, table: LeasesTable, channel: ChannelComponent) -> None:
        """Prepare the component; ``start`` joins the lease set."""
        self.table = table
        self.channel = channel
        self.clock = LeaseClock()
        self.store = LeaseStore(Path(table.state_dir)) if table.state_dir else None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.node_driver: NodeDriver | None = None
        # In a hot restart: waits for the end of the previous process.
        self.joining: asyncio.Task[None] | None = None
        # Leases besides the shards, one for each leader guard.
        self.named_leases: list[str] = []
        self.commands = LeaseAdminCommands(self._started, self.state, self.named_leases)

    def _started(self) -> NodeDriver:
        if self.node_driver is None:
            raise RuntimeError("leases: the component has not started")
        return self.node_driver

    def leader_guard(self, lease: str) -> LeaseLeaderGuard:
        """Return a leader guard under a lease of this name; call it before ``start``."""
        self.named_leases.append(lease)
        return LeaseLeaderGuard(self, lease)

    # -- service -----------------------------------------------------------------------------------

    async def start(self, driver: Driver) -> None:
        """Join the lease set; raise ``LeaseStoreError`` if the store can't be used."""
        self.loop = driver.loop
        token_floor, reserved_token, reservation = 0, NUMBER_LIMIT, None
        if self.store:
            open_store = self.loop.run_in_executor(self.store.pool, self.store.open)
            token_floor = reserved_token = await open_store
            reservation = TokenReservation(self.store, self.loop, self.clock)
        table = self.table
        settings = NodeSettings(
            table.timing, table.shards, tuple(self.named_leases), token_floor, reserved_token
        )
        node = LeaseNode(
            GatewayId(self.channel.table.name, self.channel.incarnation),
            settings,
            table.voter_set,
            random.SystemRandom().random,
            self.clock.now(),
            table.former_sets,
            table.stand,
        )
        self._set_addresses(table)
        self.node_driver = NodeDriver(
            node,
            self.channel.channel,
            self.clock,
            self.loop,
            # Looked up at each call: the gateway sets it when its listeners start.
            lambda: driver.is_overloaded(),
            reservation,
        )
        self.node_driver.start(table, awaits_predecessor=driver.is_successor)
        if driver.is_successor:
            self.joining = self.loop.create_task(self._join_after_predecessor(self.node_driver))

    async def _join_after_predecessor(self, node_driver: NodeDriver) -> None:
        """Take part in the lease set once the previous process has closed its socket.

        Until then that process grants leases in this gateway's name, which are unknown here.
        """
        await self.channel.channel.is_bound.wait()
        reserved_token = await self._reserved_token() if self.store else 0
        node_driver.predecessor_ended(reserved_token)

    async def _reserved_token(self) -> int:
        """Return the highest reserved token; while the store can't be read, ask it again."""
        assert self.store is not None
        assert self.loop is not None
        while True:
            try:
                return await self.loop.run_in_executor(self.store.pool, self.store.reserved)
            except LeaseStoreError as error:
                log.warning('leases: store_not_readable: error="%s"', error)
            await asyncio.sleep(STORE_RETRY_S)

    def _set_addresses(self, table: LeasesTable) -> None:
        addresses = {name: parse_address(text) for name, text in table.addresses.items()}
        self.channel.channel.set_addresses(addresses)

    async def stop(self) -> None:
        """Release all leases, end all calls, and close the store."""
        if self.joining:
            self.joining.cancel()
            await asyncio.gather(self.joining, return_exceptions=True)
        if self.node_driver:
            await self.node_driver.close()
        if self.store and self.loop:
            await self.loop.run_in_executor(self.store.pool, self.store.close)
            self.store.pool.shutdown(wait=False)

    def drain(self, draining: bool) -> None:
        """Release all leases when draining begins, and accept offers again when it is undone."""
        if self.node_driver:
            self.node_driver.drain(draining)

    def prepare_reload(self, new: LeasesTable) -> Callable[[], None]:
        """Check a reload of voters, tasks and candidacy, and return the function that applies it.

        Raise ``LeasesTableError`` for a change that needs a restart.
        """
        old = self.table
        for name in FIXED_KEYS:
            if getattr(new, name) != getattr(old, name):
                raise LeasesTableError(f"leases.{name} can't change in service")
        if new.set < old.set:
            raise LeasesTableError(f"leases.set goes back from {old.set} to {new.set}")
        if new.set == old.set and new.voter_set != old.voter_set:
            raise LeasesTableError(
                "leases.voter has changed:"
                " give the new ones a higher leases.set, and name the former"
            )

        def commit() -> None:
            self.table = new
            self._set_addresses(new)
            self._started().reconfigure(new)

        return commit

    # -- leases ------------------------------------------------------------------------------------

    def token(self, lease: str) -> FencingToken | None:
        """Return the fencing token of a held lease; None if it is not held."""
        return self.node_driver.token(lease) if self.node_driver else None

    def fenced_off(self, lease: str, seen_token: int) -> None:
        """Release a lease, and acquire it again under a token above one a receiver has seen."""
        self._started().fenced_off(lease, seen_token)

    # -- operators ---------------------------------------------------------------------------------

    def metrics(self) -> list[tuple[str, int]]:
        """Return the metrics for /admin/stats."""
        return metrics_of(self._started())

    def state(self) -> JsonObject:
        """Return this gateway's view of leases and tasks, the JSON object of /admin/leases."""
        return state_of(self._started(), self.table.by_lease())

    def admin_commands(self) -> dict[bytes, AdminCommand]:
        """Return the admin commands by HTTP path."""
        return self.commands.by_path()
