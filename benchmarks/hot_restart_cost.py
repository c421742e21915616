"""Cost of hot restarts for clients: ``python -m benchmarks.hot_restart_cost``.

One gateway, one endpoint that answers at once, and an open loop of requests that alternate between
persistent and new connections. The gateway is replaced repeatedly; latencies, measured from the
scheduled time of each request, are compared with those of a run without restarts.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from rich.console import Console
from rich.table import Table

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
from client_rig import Caller
from fake_endpoint import FakeEndpoint
from loopback_rig import SITE
from program_rig import configured

from testbed.runner.processes import free_port

PERSISTENT_CONNECTIONS = 20
RESTART_INTERVAL_S = 1.2
# Upper bound of the duration of one restart, in addition to the interval.
RESTART_MARGIN_S = 0.5
REQUEST_TIMEOUT_S = 2
POLL_INTERVAL_S = 0.0005


class RequestLoad:
    """Sends requests at a fixed rate: half on persistent connections, half on a new one each."""

    def __init__(self, port: int, rate_per_s: float) -> None:
        """Prepare requests to the gateway on ``port``."""
        self.port = port
        self.rate_per_s = rate_per_s
        self.sent = 0
        self.lost = 0
        self.latencies_s: list[float] = []
        self.free: list[Caller] = []

    async def connect(self) -> Caller:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(Caller, "127.0.0.1", self.port))[1]

    async def run(self, duration_s: float) -> None:
        """Send requests for ``duration_s``, and wait for all answers."""
        self.free = [await self.connect() for _ in range(PERSISTENT_CONNECTIONS)]
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(duration_s * self.rate_per_s)):
                due_s = began_s + number / self.rate_per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                is_persistent = number % 2 == 1
                tasks.create_task(
                    self._send_on_persistent(due_s) if is_persistent else self._send(due_s, None)
                )

    async def _send_on_persistent(self, due_s: float) -> None:
        caller = self.free.pop() if self.free else None
        await self._send(due_s, caller)
        if caller:
            self.free.append(caller)

    async def _send(self, due_s: float, persistent: Caller | None) -> None:
        self.sent += 1
        try:
            caller = persistent or await self.connect()
            await self._request(caller, b"%d" % self.sent, due_s)
        except (OSError, RuntimeError):
            self.lost += 1
            return
        self.latencies_s.append(time.monotonic() - due_s)
        if not persistent:
            caller.transport.close()

    async def _request(self, caller: Caller, number: bytes, due_s: float) -> None:
        """Send a request and wait; raise ``ConnectionError`` on a timeout or an error reply."""
        count = len(caller.replies)
        caller.call(number=number)
        while len(caller.replies) == count:
            if caller.closed or time.monotonic() - due_s > REQUEST_TIMEOUT_S:
                raise ConnectionError("no answer")
            await asyncio.sleep(POLL_INTERVAL_S)
        if not isinstance(caller.replies[count], bytes):
            raise ConnectionError("the gateway replied with an error")


async def start(file: Path, folder: str) -> asyncio.subprocess.Process:
    """Start a gateway with ``folder`` as its ``$TMPDIR``; return once it is healthy."""
    admin_port = free_port()
    admin = f"127.0.0.1:{admin_port}"
    environment = os.environ | {"LB_CONFIG": str(file), "LB_ADMIN": admin, "TMPDIR": folder}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "saffrongw", env=environment
    )
    while not await _is_healthy(admin_port):
        await asyncio.sleep(0.01)
    return process


async def _is_healthy(admin_port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
    except OSError:
        return False
    writer.write(b"GET /admin/health HTTP/1.1\r\nhost: x\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return b" 200 " in answer


async def end(process: asyncio.subprocess.Process) -> float:
    """Send SIGTERM and return how long the process takes to exit (s)."""
    began_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    await process.wait()
    return time.monotonic() - began_s


async def measure(
    restarts: int, rate_per_s: float, duration_s: float
) -> tuple[RequestLoad, list[float]]:
    """Run with ``restarts`` restarts; return the load and the exit times of old processes (s)."""
    host = await FakeEndpoint("a").listen()
    known = {"seq": 1, "whole": True, "hosts": [host.line(host=name) for name in "abcdefgh"]}
    plan = SITE["packages"][0] | {"perSecond": 1e6, "peakUnits": 1e6}
    permissions = SITE["permissions"] | {"peers": False}
    settings = SITE | {"packages": [plan], "permissions": permissions}
    ends_s = []
    with tempfile.TemporaryDirectory() as folder:
        limits = {"sockets": 512}
        file, port = configured(Path(folder), known=known, limits=limits, settings=settings)
        process = await start(file, folder)
        load = RequestLoad(port, rate_per_s)
        running = asyncio.ensure_future(load.run(duration_s))
        for _ in range(restarts):
            await asyncio.sleep(RESTART_INTERVAL_S)
            successor = await start(file, folder)
            ends_s.append(await end(process))
            process = successor
        await running
        await end(process)
    host.server.close()
    return load, ends_s


def row(restarts: int, load: RequestLoad, ends_s: list[float]) -> list[str]:
    """Return the table row of one run."""
    latencies_s = sorted(load.latencies_s)
    last = len(latencies_s) - 1
    shown = [f"{latencies_s[int(part * last)] * 1000:.1f}" for part in (0.5, 0.99, 1)]
    ends = " ".join(f"{end_s:.2f}" for end_s in ends_s)
    return [str(restarts), str(load.sent), str(load.lost), *shown, ends]


async def main() -> None:
    """Run without and with restarts, and print both results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upgrades", type=int, default=5)
    parser.add_argument("--rate", type=float, default=300.0)
    arguments = parser.parse_args()
    duration_s = (arguments.upgrades + 1) * (RESTART_INTERVAL_S + RESTART_MARGIN_S)
    table = Table(
        "restarts", "requests", "lost", "p50 ms", "p99 ms", "max ms", "old process ended after, s"
    )
    with Console(stderr=True).status("running without and with restarts ..."):
        for restarts in (0, arguments.upgrades):
            load, ends_s = await measure(restarts, arguments.rate, duration_s)
            table.add_row(*row(restarts, load, ends_s))
    Console().print(table)


if __name__ == "__main__":
    uvloop.run(main())
