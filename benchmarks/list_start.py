"""Simultaneous start of many real gateways against one list service with one worker.

    python -m benchmarks.list_start [--gateways 200] [--whole-ms 25] [--silence 60]
        [--program FOLDER] [--out FILE]
    python -m benchmarks.list_start --plot PICTURE BEFORE AFTER     two files written by --out

``--program`` names a checkout of another version, for comparison; ``--silence`` makes the service
send nothing for that many seconds from the start. Each gateway polls its own port, which identifies
it; all ports share one worker. A third of the endpoints that the gateways know has been removed
since. All figures are measured at the service rather than reported by the gateways.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.list_service import ENDPOINT_ADDRESS, MS_PER_S, ListService, ServiceConnection
from testbed.model.list_service import Costs, Said
from testbed.model.registry import Line
from testbed.model.scenario import Scenario, settings_of
from testbed.net.relay import LOCAL
from testbed.runner.processes import GatewayProcess, run_line

# Version of the list that the gateways know at the start.
KNOWN_VERSION = 41
KNOWN_ENDPOINTS = 60
REMOVED_ENDPOINTS = 20
ENDPOINTS = 80
LISTEN_BACKLOG = 16
PING_INTERVAL_S = 0.1
CURRENT_INTERVAL_S = 0.05


class NullLog:
    """An event log that discards all events."""

    def add(self, event: object) -> None:
        """Discard an event."""


@dataclass
class StartedFleet:
    """Gateways that all start at once."""

    program: Path
    folder: Path
    service: ListService
    run: str = field(default_factory=run_line)
    nodes: list[GatewayProcess] = field(default_factory=list)
    discovery: list[str] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    # Seconds from the start of each process until it answered PING.
    ping_s: list[float] = field(default_factory=list)

    async def prepare(self, count: int) -> None:
        """Open a port of the service for each gateway."""
        for number in range(count):
            server = await self.service.loop.create_server(
                partial(ServiceConnection, self.service, number),
                LOCAL,
                0,
                backlog=LISTEN_BACKLOG,
            )
            self.servers.append(server)
            self.discovery.append(_text(server.sockets[0].getsockname()))
            self.nodes.append(
                GatewayProcess(number, self.folder, lambda: 0, NullLog(), self.run)  # type: ignore[arg-type]
            )

    def configure(self, known: list[Line]) -> None:
        """Write the gateways' configurations."""
        scenario = Scenario(name="start", gateways=len(self.nodes))
        peers = [_text(node.peer_listen) for node in self.nodes]
        for node, discovery, peer in zip(self.nodes, self.discovery, peers, strict=True):
            node.write(
                {
                    "name": f"n{node.number}",
                    "listen": _text(node.listen),
                    "discovery": discovery,
                    "seed": "1f",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "peer_listen": peer,
                    "peers": peers,
                    "known": {
                        "seq": KNOWN_VERSION,
                        "whole": True,
                        "hosts": [entry.shown(ENDPOINT_ADDRESS) for entry in known],
                    },
                    "settings": settings_of(scenario, node.number),
                }
            )

    async def start(self) -> None:
        """Start all processes; return once each answers PING."""
        pairs = zip(self.nodes, self.discovery, strict=True)
        await asyncio.gather(*(self._start_one(node, discovery) for node, discovery in pairs))

    async def _start_one(self, node: GatewayProcess, discovery: str) -> None:
        variables = {
            "LB_NAME": f"n{node.number}",
            "LB_LISTEN": _text(node.listen),
            "LB_DISCOVERY": discovery,
            "LB_CONFIG": str(node.path),
            "TMPDIR": str(self.folder),
        }
        began_s = self.service.now()
        with (self.folder / f"n{node.number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.run,
                cwd=self.program,
                env=dict(os.environ) | variables,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        while not await node._pongs():
            if process.returncode is not None:
                raise RuntimeError(f"a gateway has exited: {node.tail()}")
            await asyncio.sleep(PING_INTERVAL_S)
        self.ping_s.append(self.service.now() - began_s)

    async def close(self) -> None:
        """Kill all processes and close all ports."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes))
        for server in self.servers:
            server.close()


@contextlib.asynccontextmanager
async def prepared_fleet(
    count: int, known: list[Line], service: ListService, program: Path
) -> AsyncIterator[StartedFleet]:
    """Prepare a fleet; it is killed at the end of the block."""
    with tempfile.TemporaryDirectory() as name:
        fleet = StartedFleet(program, Path(name), service)
        await fleet.prepare(count)
        fleet.configure(known)
        try:
            yield fleet
        finally:
            await fleet.close()


def _text(address: tuple[Any, ...]) -> str:
    host, port = address[:2]
    return f"{host}:{port}"


async def measure_start(
    count: int, costs: Costs, silence_s: float, program: Path, timeout_s: float
) -> dict[str, Any]:
    """Start all gateways at once; return the figures, times in seconds since the first process."""
    entries = [Line(f"s-{number:04x}", "hall-a", number // 4) for number in range(ENDPOINTS)]
    removed = [
        Line(entry.host, entry.zone, entry.block, "DELETED")
        for entry in entries[:REMOVED_ENDPOINTS]
    ]
    service = ListService(costs, entries[REMOVED_ENDPOINTS:], removed)
    async with prepared_fleet(count, entries[:KNOWN_ENDPOINTS], service, program) as fleet:
        service.began_at = time.monotonic()
        if silence_s:
            service.set_down(True)
            service.loop.call_later(silence_s, service.set_down, False)
        await fleet.start()
        ready_s = service.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while len(service.current_s) < count:
                    await asyncio.sleep(CURRENT_INTERVAL_S)
    return figures(service, count, costs, silence_s, ready_s, sorted(fleet.ping_s))


def figures(
    service: ListService,
    count: int,
    costs: Costs,
    silence_s: float,
    ready_s: float,
    ping_s: list[float],
) -> dict[str, Any]:
    """Return the figures by the names under which they are printed and plotted."""
    current_s = sorted(at_s - silence_s for at_s in service.current_s.values())
    polls_s = sorted(poll.at_s for poll in service.polls if not poll.ends_watch)
    first_s = next((at_s for at_s in polls_s if at_s >= silence_s), silence_s) - silence_s
    by_second = [sum(at <= other < at + 1 for other in polls_s) for at in polls_s]
    return {
        "gateways": count,
        "current": len(current_s),
        "all have answered PING after": ready_s,
        "PING answered (median, of its own start)": ping_s[len(ping_s) // 2],
        "first poll at": first_s,
        "half current at": current_s[len(current_s) // 2 - 1] if current_s else 0.0,
        "nine in ten at": current_s[int(0.9 * len(current_s)) - 1] if current_s else 0.0,
        "all at": current_s[-1] if current_s else 0.0,
        "polls": len(polls_s),
        "rejected": service.rejected_count,
        "polls in the busiest second": max(by_second, default=0),
        "work of the service": service.queue.worked,
        "of it full fetches": service.queue.counts[Said.WHOLE] * costs.whole,
        "times": [round(at_s, 3) for at_s in current_s],
        "came": [round(at_s - silence_s, 3) for at_s in polls_s],
    }


def plot(picture: Path, files: list[Path]) -> None:
    """Draw current gateways, and polls in each second, of runs before and after a change."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(8, 6), layout="constrained"
    )
    for name, colour, file in zip(("before", "now"), ("tab:red", "tab:blue"), files, strict=True):
        found = json.loads(file.read_text())
        times_s, polls_s = found["times"], found["came"]
        upper.step([0.0, *times_s], range(len(times_s) + 1), where="post", color=colour, label=name)
        seconds = range(int(max(polls_s)) + 2)
        counts = [sum(second <= at_s < second + 1 for at_s in polls_s) for second in seconds]
        label = f"{name}: {len(polls_s)} polls"
        lower.step(seconds, counts, where="post", color=colour, label=label)
    upper.set_ylabel("gateways that are current")
    upper.set_title("200 gateways started at one moment, one list service, 25 ms a full fetch")
    lower.set_ylabel("polls in a second")
    lower.set_xlabel("seconds since the first process was begun")
    for axes in (upper, lower):
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.3)
        axes.legend()
    figure.savefig(picture, dpi=110)


def main() -> None:
    """Measure one start and print its figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--whole-ms", type=float, default=25.0)
    parser.add_argument("--silence", type=float, default=0.0)
    parser.add_argument("--within", type=float, default=60.0, help="seconds after all are ready")
    parser.add_argument("--program", type=Path, default=Path.cwd())
    parser.add_argument("--out", type=Path)
    parser.add_argument("--plot", type=Path, nargs=3, metavar=("PICTURE", "BEFORE", "AFTER"))
    options = parser.parse_args()
    if options.plot:
        plot(options.plot[0], options.plot[1:])
        return
    full_fetch_s = options.whole_ms / MS_PER_S
    costs = Costs(full_fetch_s, full_fetch_s / 5, full_fetch_s / 10)
    found = asyncio.run(
        measure_start(options.gateways, costs, options.silence, options.program, options.within)
    )
    if options.out:
        options.out.write_text(json.dumps(found))
    for name, value in found.items():
        if not isinstance(value, list):
            print(f"{name:42} {value:.2f}" if isinstance(value, float) else f"{name:42} {value}")


if __name__ == "__main__":
    main()
