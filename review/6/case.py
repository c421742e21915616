"""Case 6: gateways are upgraded in a rolling deploy of hosts: requests lose their connections."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from pathlib import Path

from rig import (
    LOCAL,
    CannotRunError,
    Gateway,
    Host,
    World,
    call,
    free_port,
    is_healthy,
    is_trouble,
    read_reply,
    request_id,
    run_case,
)

# One gateway of five, and two hosts of 17 at a time: within the page's 23% and 15%.
GATEWAYS, HOSTS, REPLACED_AT_ONCE = 5, 17, 2
# One rolling deploy: 16 of 17 hosts in about 26 s (the page: up to 99% within 20 to 38 s).
STEPS, STEP_S = 8, 3.3
# To each gateway (LATER: up to 140 requests a second each).
REQUESTS_PER_S = 120
CUSTOMERS = 600
# When the list tells of the drain, counted from SIGTERM to the old process.
NEWS_AFTER_S = (0.004, 0.025)
YES_WITHIN_S, KILL_AFTER_S = 6.0, 3.7
CLASSES = (("sheet-read", 2_000), ("test-upload", 4_000), ("report-issue", 2_500))


class Clients:
    """The clients of one gateway; each connection carries one request at a time."""

    def __init__(self, world: World, gateway: Gateway) -> None:
        """Prepare; ``run`` sends requests until it is cancelled."""
        self.world, self.gateway = world, gateway
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.asking: set[asyncio.Task[None]] = set()
        self.breaks: list[str] = []
        self.counts = {"sent": 0, "served": 0, "other answers": 0, "closed unread": 0, "lost": 0}

    async def run(self) -> None:
        """Send requests at a steady rate, whether or not earlier ones were answered."""
        for number in itertools.count():
            class_name, deadline_ms = CLASSES[number % len(CLASSES)]
            task = asyncio.create_task(self._ask(class_name, deadline_ms))
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def finish(self) -> None:
        """Wait for the answers that are still to come."""
        if self.asking:
            await asyncio.wait(self.asking, timeout=6)

    async def _ask(self, class_name: str, deadline_ms: int) -> None:
        request = request_id()
        data = call(class_name, deadline_ms, request, random.randrange(1, CUSTOMERS))
        self.counts["sent"] += 1
        # A request that the gateway has not read is sent once more, on a new connection.
        for is_last in (False, True):
            reply = await self._send(data, deadline_ms / 1000 + 1, is_last)
            if reply or self._has_run(request) or is_last:
                break
            self.counts["closed unread"] += 1
        self._note(request, class_name, reply)

    async def _send(self, data: bytes, within_s: float, is_new: bool) -> bytes:
        host, _, port = self.gateway.listen.rpartition(":")
        try:
            async with asyncio.timeout(within_s):
                if self.idle and not is_new:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                reply = await read_reply(reader)
        except (OSError, TimeoutError):
            return b""
        if reply:
            self.idle.append((reader, writer))
        else:
            writer.close()
        return reply

    def _has_run(self, request: str) -> bool:
        return any(request in host.runs for host in self.world.hosts)

    def _note(self, request: str, class_name: str, reply: bytes) -> None:
        if reply.startswith(b"value"):
            self.counts["served"] += 1
            if reply != f"value of {request} ".encode():
                self._break(f"{class_name} {request} was answered {reply!r}")
        elif reply:
            self.counts["other answers"] += 1
        elif self._has_run(request):
            self.counts["lost"] += 1
            self._break(
                f"{class_name} {request}: a host ran it, its connection was closed unanswered"
            )

    def _break(self, text: str) -> None:
        self.breaks.append(f"{self.gateway.name}: {text}")
        self.world.record.add(f"client of {self.breaks[-1]}")


async def replace_hosts(world: World, old: list[Host]) -> None:
    """Drain some hosts, remove them, and add new ones in their place."""
    await world.discovery.publish(*(host.line("DRAINING") for host in old))
    world.record.add(f"list: {' '.join(host.name for host in old)} drain")
    await asyncio.sleep(1.5)
    new = []
    for host in old:
        one = Host(f"s-{random.getrandbits(32):08x}", world.record, host.zone, host.block)
        one.delay_s = host.delay_s
        one.born_ms = int(time.time() * 1000)
        await one.open()
        world.hosts.append(one)
        new.append(one)
    await world.discovery.publish(
        *(host.line("DELETED") for host in old), *(host.line() for host in new)
    )


async def upgrade(world: World, gateway: Gateway, hosts: list[Host]) -> list[str]:
    """Upgrade one gateway, while some hosts are replaced; return what was broken."""
    old = gateway.process
    admin = f"{LOCAL}:{free_port()}"
    new = await gateway.start(admin)
    started_s = world.record.now_s()
    while not await is_healthy(admin):
        if new.returncode is not None:
            return [f"{gateway.name}: the new process ended with {new.returncode}"]
        if world.record.now_s() - started_s > YES_WITHIN_S:
            return [f"{gateway.name}: the new process did not say yes within 6 s"]
        await asyncio.sleep(0.02)
    gateway.signal(old, signal.SIGTERM)
    await asyncio.sleep(random.uniform(*NEWS_AFTER_S))
    replacing = asyncio.create_task(replace_hosts(world, hosts))
    try:
        await asyncio.wait_for(old.wait(), KILL_AFTER_S)
    except TimeoutError:
        gateway.signal(old, signal.SIGKILL)
        await old.wait()
    world.record.add(f"{gateway.name} the old process has ended: {old.returncode}")
    await replacing
    if new.returncode is not None:
        return [f"{gateway.name}: the new process ended with {new.returncode}"]
    return []


async def play(world: World) -> list[str]:
    """Play the case and return what was broken."""
    for host in world.hosts:
        host.delay_s = lambda _command: random.uniform(0.05, 0.2)
    await world.start()
    clients = [Clients(world, gateway) for gateway in world.gateways]
    running = [asyncio.create_task(one.run()) for one in clients]
    await asyncio.sleep(3)
    breaks: list[str] = []
    deployed = list(world.hosts)
    for step in range(STEPS):
        ends = asyncio.create_task(asyncio.sleep(STEP_S))
        hosts = deployed[step * REPLACED_AT_ONCE : (step + 1) * REPLACED_AT_ONCE]
        gateway = world.gateways[step % GATEWAYS]
        if is_trouble():
            breaks += await upgrade(world, gateway, hosts)
        await ends
        if breaks:
            break
    for task in running:
        task.cancel()
    for one in clients:
        await one.finish()
        world.record.add(f"{one.gateway.name}: {one.counts}")
        breaks += one.breaks
    for host in world.hosts:
        breaks += [f"{host.name} got what no client sent: {text}" for text in host.unreadable]
    if not sum(one.counts["served"] for one in clients):
        raise CannotRunError("no request was served")
    return breaks


run_case(Path(__file__).parent, World(GATEWAYS, HOSTS), play)
