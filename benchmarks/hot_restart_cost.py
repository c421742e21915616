"""What an upgrade in service costs clients: ``python -m benchmarks.hot_restart_cost [--upgrades N] [--rate R]``.

One gateway, one host that answers at once, an open loop of requests on kept connections and on new ones by turns. The
gateway is replaced again and again; latencies (clock from when a request was due) stand beside those of a run without.
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
from conftest import SITE, Caller, FakeHost, configured

from testbed.runner.processes import free_port

KEPT = 20  # connections that stay
SPAN = 1.2  # seconds between two upgrades


class Load:
    """Requests at a rate, half on kept connections, half on a new one each."""

    def __init__(self, port: int, rate: float) -> None:
        self.port, self.rate, self.took, self.lost = port, rate, [], 0
        self.number = 0

    async def connect(self) -> Caller:
        return (await asyncio.get_running_loop().create_connection(Caller, "127.0.0.1", self.port))[
            1
        ]

    async def one(self, due: float, kept: Caller | None) -> None:
        self.number += 1
        number = b"%d" % self.number
        try:
            caller = kept or await self.connect()
            before = len(caller.replies)
            caller.call(number=number)
            while len(caller.replies) == before:
                if caller.closed or time.monotonic() - due > 2:
                    raise ConnectionError
                await asyncio.sleep(0.0005)
            if not isinstance(caller.replies[before], bytes):
                raise ConnectionError
            self.took.append(time.monotonic() - due)
            if not kept:
                caller.transport.close()
        except (OSError, RuntimeError):
            self.lost += 1

    async def run(self, span: float) -> None:
        kept = [await self.connect() for _ in range(KEPT)]
        free, tasks, began = list(kept), set(), time.monotonic()

        async def on_kept(due: float) -> None:
            caller = free.pop() if free else None
            await self.one(due, caller)
            if caller:
                free.append(caller)

        for n in range(int(span * self.rate)):
            due = began + n / self.rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.ensure_future(on_kept(due) if n % 2 else self.one(due, None))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)


async def start(file: Path, folder: str):
    admin = free_port()
    told = os.environ | {"LB_CONFIG": str(file), "LB_ADMIN": f"127.0.0.1:{admin}", "TMPDIR": folder}
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", "saffrongw", env=told)
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", admin)
            writer.write(b"GET /admin/health HTTP/1.1\r\nhost: x\r\n\r\n")
            answer = await reader.read()
            writer.close()
            if b" 200 " in answer:
                return process
        except OSError:
            pass
        await asyncio.sleep(0.01)


async def measure(upgrades: int, rate: float, span: float) -> tuple[Load, list[float]]:
    """A run with so many upgrades: its load, and how long each old process took to end."""
    host = await FakeHost("a").listen()
    known = {"seq": 1, "whole": True, "hosts": [host.line(host=name) for name in "abcdefgh"]}
    ends = []
    with tempfile.TemporaryDirectory() as folder:
        plan = SITE["packages"][0] | {"perSecond": 1e6, "peakUnits": 1e6}
        alone = SITE["permissions"] | {"peers": False}
        site = SITE | {"packages": [plan], "permissions": alone}
        file, port = configured(Path(folder), known=known, limits={"sockets": 512}, settings=site)
        process = await start(file, folder)
        load = Load(port, rate)
        running = asyncio.ensure_future(load.run(span))
        for _ in range(upgrades):
            await asyncio.sleep(SPAN)
            new = await start(file, folder)
            began = time.monotonic()
            process.send_signal(signal.SIGTERM)
            await process.wait()
            ends.append(time.monotonic() - began)
            process = new
        await running
        process.send_signal(signal.SIGTERM)
        await process.wait()
    host.server.close()
    return load, ends


async def main() -> None:
    told = argparse.ArgumentParser(description=__doc__)
    told.add_argument("--upgrades", type=int, default=5)
    told.add_argument("--rate", type=float, default=300.0)
    args = told.parse_args()
    span = (args.upgrades + 1) * (SPAN + 0.5)
    table = Table(
        "upgrades", "requests", "lost", "p50 ms", "p99 ms", "most ms", "old process ended after, s"
    )
    with Console(stderr=True).status("playing both runs ..."):
        for upgrades in (0, args.upgrades):
            load, ends = await measure(upgrades, args.rate, span)
            took = sorted(load.took)
            figures = [f"{took[int(part * (len(took) - 1))] * 1000:.1f}" for part in (0.5, 0.99, 1)]
            row = [
                upgrades,
                load.number,
                load.lost,
                *figures,
                " ".join(f"{end:.2f}" for end in ends),
            ]
            table.add_row(*map(str, row))
    Console().print(table)


if __name__ == "__main__":
    uvloop.run(main())
