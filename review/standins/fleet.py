"""A small deployment: hosts in three halls, three gateways, and an agent for each of these."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import LOCAL, Gateway, Record, new_folder
from .discovery import Agent
from .hosts import Command, Host

HALLS = ("hall-a", "hall-b", "hall-c")
GATEWAYS = 3
# Hosts of one rack.
RACK = 3
# "the longest deadline (3 s at most) and 0.7 s more after SIGTERM".
KILL_AFTER_S = 3.7
# A script may run for 120 s.
TIME_LIMIT_S = 110.0

Work = Callable[[Command], Awaitable[bytes]]


class Fleet:
    """The stand-ins and the gateways of one run."""

    def __init__(self, folder: Path, record: Record, host_count: int, work: Work) -> None:
        """Prepare; ``start`` starts all."""
        self.record = record
        self.hosts = [
            Host(f"s-{n:08x}", HALLS[n // RACK % len(HALLS)], 1 + n // RACK, work).attach(record)
            for n in range(host_count)
        ]
        self.gateways = [Gateway(folder, rank, record) for rank in range(GATEWAYS)]
        self.agents: list[Agent] = []
        self.ending: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start hosts, agents and gateways, and wait until the gateways are healthy."""
        for host in self.hosts:
            host.start()
        peers = [f"{LOCAL}:{gateway.peer[1]}" for gateway in self.gateways]
        for gateway in self.gateways:
            agent = Agent([host.entry() for host in self.hosts])
            await agent.listen()
            self.agents.append(agent)
            gateway.configure(agent.port, peers, agent.whole())
            await gateway.start()
        for gateway in self.gateways:
            await gateway.ready()

    async def upgrade(self, gateway: Gateway) -> None:
        """Start a new version beside the old one; when it says yes, the old one gets SIGTERM."""
        old = gateway.processes[-1]
        await gateway.start()
        await gateway.ready()
        self.terminate(gateway, old)

    def terminate(self, gateway: Gateway, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM, and SIGKILL at its time if the process has not ended by then."""
        gateway.signal(process, signal.SIGTERM)
        self.ending.append(asyncio.create_task(self._kill_in_time(gateway, process)))

    async def _kill_in_time(self, gateway: Gateway, process: asyncio.subprocess.Process) -> None:
        sent_s = self.record.now()
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                status = await process.wait()
        except TimeoutError:
            gateway.signal(process, signal.SIGKILL)
        else:
            took_s = self.record.now() - sent_s
            self.record.add(
                f"{gateway.name}: process {process.pid} ended {took_s:.2f} s after SIGTERM,"
                f" status {status}"
            )

    async def end(self) -> None:
        """End all that was started."""
        for task in self.ending:
            task.cancel()
        for gateway in self.gateways:
            await gateway.end()
        for host in self.hosts:
            host.die()
        for agent in self.agents:
            agent.close()


def has_trouble() -> bool:
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play: Callable[[Path, Record], Awaitable[int]], folder: Path) -> None:
    """Play a case, and exit with its status: 2 if it could not run."""
    record = Record(folder / "record.txt")
    status = 2
    try:
        with new_folder() as temporary:
            status = asyncio.run(_within_time(play(Path(temporary), record)))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001  it could not run, whatever it was
        record.add(f"the case could not run: {error!r}")
    verdict = {0: "the rule held", 1: "the rule was broken"}.get(status, "no verdict")
    record.add(f"exit {status}: {verdict}")
    print(f"{folder.name}: {verdict}")
    sys.exit(status)


async def _within_time(playing: Awaitable[int]) -> int:
    # So that all processes are ended, too, if this one is told to end.
    task = asyncio.current_task()
    if task:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await playing
