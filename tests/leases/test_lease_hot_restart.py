"""Two processes of one voter in a hot restart: only one of them votes at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from types import SimpleNamespace

from async_testing import asyncio_test, until

from saffrongw.channel.component import ChannelComponent
from saffrongw.channel.table import ChannelTable
from saffrongw.leases.clock import boot_time_us
from saffrongw.leases.component import LeasesComponent
from saffrongw.leases.table import LeasesTable, TaskTable, VoterTable

SPAN_S = 0.5
SPAN_US = 500_000
TASK = TaskTable("probe", every_s=60.0, call="http://127.0.0.1:1/probe", needs_s=0.05)


def free_address() -> str:
    """An address on which no datagram socket is bound."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class VoterProcess:
    """The channel and the leases of one process of a gateway that is the only voter."""

    def __init__(self, folder, address: str, state_dir: str = "") -> None:
        key = folder / "channel.key"
        key.write_text("a" * 64)
        key.chmod(0o600)
        self.channel = ChannelComponent(ChannelTable("n0", address, (str(key),)))
        voters = (VoterTable("n0", address),)
        table = LeasesTable(voters, span_s=SPAN_S, shards=1, state_dir=state_dir, task=(TASK,))
        self.leases = LeasesComponent(table, self.channel)

    async def start(self, is_successor: bool) -> None:
        loop = asyncio.get_running_loop()
        driver = SimpleNamespace(loop=loop, is_successor=is_successor, is_overloaded=lambda: False)
        await self.channel.start(driver)
        await self.leases.start(driver)

    def holds(self) -> bool:
        return bool(self.leases.state()["held"])

    def silent_ms(self) -> int:
        return self.leases.state()["silent_ms"]

    async def crash(self) -> None:
        """End without releasing a lease."""
        self.leases.node_driver.closing = True
        self.leases.node_driver._timer.cancel()
        await self.channel.stop()

    async def stop(self) -> None:
        await self.leases.stop()
        await self.channel.stop()


@contextlib.asynccontextmanager
async def hot_restart(folder, state_dir: str = ""):
    """Yield a process that holds the task's lease, and its successor, which has just started."""
    address = free_address()
    old, new = [VoterProcess(folder, address, state_dir) for _ in range(2)]
    await old.start(is_successor=False)
    await until(old.holds)
    await new.start(is_successor=True)
    try:
        yield old, new
    finally:
        await new.stop()
        await old.stop()


@asyncio_test
async def test_successor_grants_nothing_before_all_grants_of_its_predecessor_are_over(tmp_path):
    """Guards against two holders: it offered leases that its predecessor had granted (review, case 7)."""
    async with hot_restart(tmp_path) as (old, new):
        for _ in range(6):
            await asyncio.sleep(SPAN_S / 2)
            assert old.holds() and not new.holds()
        assert new.silent_ms() == SPAN_S * 1_000
        await old.crash()
        ended_us = boot_time_us()
        await until(new.holds)
        assert boot_time_us() - ended_us >= SPAN_US
        assert not old.holds()


@asyncio_test
async def test_reload_does_not_make_a_waiting_successor_vote(tmp_path):
    """The same where something else wakes the waiting process."""
    async with hot_restart(tmp_path) as (old, new):
        for _ in range(4):
            await asyncio.sleep(SPAN_S / 2)
            new.leases.prepare_reload(new.leases.table)()
            assert old.holds() and not new.holds()


@asyncio_test
async def test_tokens_of_the_successor_are_above_those_reserved_meanwhile(tmp_path):
    """Guards against tokens that fall: the predecessor may reserve more after the successor's start."""
    async with hot_restart(tmp_path, str(tmp_path / "state")) as (old, new):
        store = old.leases.store
        far = new.leases.node_driver.node.acceptor.reserved_token + 10_000_000_000
        await asyncio.get_running_loop().run_in_executor(store.pool, store.reserve, far)
        await old.crash()
        await until(new.holds)
        token = new.leases.node_driver.node.acceptor.highest_granted_token()
        assert token > far


@asyncio_test
async def test_successor_that_is_stopped_before_its_predecessor_ends_leaves_quietly(tmp_path):
    async with hot_restart(tmp_path) as (old, new):
        await new.stop()
        assert old.holds()
