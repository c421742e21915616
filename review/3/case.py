"""Operators take a rack out while a new version takes over: nothing new may go to its hosts."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins.clients import ask, new_id
from review.standins.deployment import LOCAL, Record
from review.standins.fleet import RACK, Fleet, has_trouble, run
from review.standins.hosts import Command, Host, value_reply

HOSTS = 9
REQUESTS = 27
# Uploads are given up after 50 to 100% of 5 s.
WAIT_MS = 3_000
STAGGER_S = 0.01
# Requests of the warm-up are quick; the others meet a slow spell of the hosts.
QUICK_S, SLOW_S = 0.05, 2.6
OK = 200
# From SIGTERM to the operators' calls.
CORDON_AFTER_S = 0.3
# From the last yes to the restart of the rack's hosts, longer than grace and slack.
RESTART_AFTER_S = 1.25
# How long a restarted host is away.
DOWN_S = 0.2
# "Drains kept: nothing new ... later than 1 s"; "each time limit is 50 ms longer". The rest allows
# for the time in which this process notices what comes.
GRACE_S = 1.0 + 0.05 + 0.05


class Play:
    """One run of the case."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Prepare the deployment."""
        self.record = record
        self.work_s = QUICK_S
        self.fleet = Fleet(folder, record, HOSTS, self.work)
        self.rack: list[Host] = []
        # When the operators' call about each host was answered with yes.
        self.banned_s: dict[str, float] = {}

    async def work(self, command: Command) -> bytes:
        """Carry out a request."""
        await asyncio.sleep(self.work_s)
        return value_reply(command.request.encode())

    async def load(self, count: int, first_customer: int) -> None:
        """Send requests of as many customers, and record how they end."""
        address = (LOCAL, self.fleet.gateways[0].listen[1])
        async with asyncio.TaskGroup() as group:
            for n in range(count):
                group.create_task(self.ask(address, first_customer + n))
                await asyncio.sleep(STAGGER_S)

    async def ask(self, address: tuple[str, int], customer: int) -> None:
        """Send one request, and record how it ends."""
        request = new_id()
        self.record.add(f"client: request {request} sent")
        outcome = await ask(address, "test-upload", WAIT_MS, customer, request)
        self.record.add(
            f"client: request {outcome.request} ended: {outcome.kind} after {outcome.took_s:.2f} s"
        )

    def busiest_rack(self) -> list[Host]:
        """Return the rack whose hosts have most in hand, the busiest host first."""

        def in_hand(host: Host) -> int:
            return sum(not command.has_run for command in host.commands)

        hosts = self.fleet.hosts
        racks = [hosts[start : start + RACK] for start in range(0, HOSTS, RACK)]
        rack = max(racks, key=lambda rack: sum(map(in_hand, rack)))
        return sorted(rack, key=in_hand, reverse=True)

    async def maintain(self) -> None:
        """Take a rack out, and restart its hosts, as operators do."""
        gateway = self.fleet.gateways[0]
        if has_trouble():
            await self.fleet.upgrade(gateway)
            await asyncio.sleep(CORDON_AFTER_S)
        self.rack = self.busiest_rack()
        for host in self.rack:
            status = await gateway.call("POST", "cordon", host.name)
            said_s = self.record.add(f"operators: cordon {host.name}: {status}")
            if status != OK:
                raise RuntimeError(f"cordon was answered {status}")
            self.banned_s[host.name] = said_s
        await asyncio.sleep(RESTART_AFTER_S)
        # One after the other; the last host of the rack is left for later.
        for host in self.rack[:-1]:
            self.record.add(f"operators: {host.name} is restarted")
            host.die()
            await asyncio.sleep(DOWN_S)
            host.born_ms = time.time_ns() // 1_000_000
            host.start()
            for agent in self.fleet.agents:
                await agent.change(host.name, born_ms=host.born_ms)

    async def play(self) -> int:
        """Return 1 if something new went to a host that is out, 0 if not."""
        fleet = self.fleet
        try:
            await fleet.start()
            await self.load(REQUESTS, 100)
            self.work_s = SLOW_S
            async with asyncio.TaskGroup() as group:
                loading = group.create_task(self.load(REQUESTS, 1_000))
                await asyncio.sleep(REQUESTS * STAGGER_S + 0.05)
                group.create_task(self.maintain())
                await loading
        finally:
            await fleet.end()
        return self.judge()

    def judge(self) -> int:
        """Look for requests that came to a host too late after the yes."""
        if len(self.banned_s) < RACK:
            return 2
        late = [
            command
            for host in self.rack
            for command in host.commands
            if command.began_s > self.banned_s[host.name] + GRACE_S
        ]
        for command in late:
            after_s = command.began_s - self.banned_s[command.host]
            self.record.add(
                f"broken: {command.request} came to {command.host} {after_s:.2f} s after the yes"
            )
        return int(bool(late))


async def play(folder: Path, record: Record) -> int:
    """Play the case."""
    return await Play(folder, record).play()


if __name__ == "__main__":
    run(play, Path(__file__).resolve().parent)
