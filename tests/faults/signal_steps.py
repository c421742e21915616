"""Signals to a gateway's processes, drawn from a seed: reloads, kills, restarts, upgrades."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter

from crowd_rig import LimitedGateway

# By the platform's protocol: the earliest SIGKILL after SIGTERM, where the longest deadline is 3 s.
KILL_AFTER_S = 3.0 + 0.7
RESTART_AFTER_S = 1.0


class SignalSteps:
    """Sends signals to one gateway; notes broken rules in ``faults``, and kills at the end in ``answers``."""

    def __init__(self, rng: random.Random, faults: list[str], answers: Counter[str]) -> None:
        """Draw from this generator; ``gateway`` is set before the first step."""
        self.rng, self.faults, self.answers = rng, faults, answers
        self.gateway: LimitedGateway
        # Whether no process serves, and how often one was killed.
        self.is_down = False
        self.kills = 0

    async def hang_up(self) -> None:
        """Several reloads in a row."""
        for _ in range(self.rng.randint(1, 5)):
            self.gateway.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0, 0.05))

    async def kill(self) -> None:
        """SIGKILL, and a new process after a while."""
        self.kills += 1
        self.is_down = True
        self.gateway.process.kill()
        await self.gateway.process.wait()
        await asyncio.sleep(RESTART_AFTER_S)
        await self.gateway.start()
        self.is_down = False

    async def restart(self) -> None:
        """SIGTERM, more signals on the way, and a new process when the old one has ended."""
        process = self.gateway.process
        process.send_signal(signal.SIGTERM)
        if self.rng.random() < 0.5:
            await asyncio.sleep(0.1)
            process.send_signal(self.rng.choice((signal.SIGHUP, signal.SIGTERM)))
        await asyncio.sleep(0.4)
        # The front sends no new connections any more, and those that stay open are used.
        self.is_down = True
        await self.end(process, is_signalled=True)
        await self.gateway.start()
        self.is_down = False

    async def upgrade(self) -> None:
        """A second process beside the first; SIGTERM to the first when the second can serve."""
        old = self.gateway.process
        await self.gateway.start_successor()
        old.send_signal(signal.SIGTERM)
        await self.end(old, is_signalled=True)

    async def end(self, process: asyncio.subprocess.Process, is_signalled: bool = False) -> None:
        """Await the end of a process, or kill it at the earliest time that the pages name.

        What such a process has not answered by then is lost, so this SIGKILL excuses nothing.
        """
        if not is_signalled:
            process.send_signal(signal.SIGTERM)
        try:
            status = await asyncio.wait_for(process.wait(), KILL_AFTER_S)
        except TimeoutError:
            self.answers["(killed at the end)"] += 1
            process.kill()
            await process.wait()
            return
        if status:
            self.faults.append(f"exit status {status} after SIGTERM")
