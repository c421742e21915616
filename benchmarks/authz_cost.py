"""Cost of authorisation checks: CPU per request without, with cached and with uncached checks, and memory with 1,000
checks in flight.

Run by hand: ``python -m benchmarks.authz_cost``. One gateway with simulated hosts, clients and an authoriser. Rounds
are interleaved; the result is the ratio to the round without checks.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
from dataclasses import replace
from pathlib import Path

import uvloop

from testbed.ext_authz_server.server import Authoriser as AuthoriserServer
from testbed.ext_authz_server.server import Behaviour
from testbed.model.scenario import Authoriser, Clients, Hosts, Plan, Scenario
from testbed.net.clients import ClientSide
from testbed.runner.world import World

TICKS = os.sysconf("SC_CLK_TCK")
SCENARIO = Scenario(
    "cost",
    gateways=1,
    length_s=8,
    sockets=4096,
    plan=(
        Plan("basico", 30, 50.0, 200.0, use=(0.16, 0.16), full=0.0, spread=(1, 1)),
        Plan("amplio", 0, 7.0, 13.0),
    ),
    hosts=Hosts(count=20),
    clients=Clients(leave=0.0),
)
MODES = {
    "off": Authoriser(),
    "cached": Authoriser(1, cache_ms=60_000, delay_ms=(0.0, 0.0)),
    "uncached": Authoriser(1, delay_ms=(0.0, 0.0)),
}
MEMORY_AUTHORISER = Authoriser(1, timeout_ms=20_000, in_flight=1000, delay_ms=(0.0, 0.0))


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds used by a process and its threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the current and the peak resident memory in MB."""
    found = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            found[name] = int(rest.split()[0]) / 1024
    return found["VmRSS"], found["VmHWM"]


async def measure_round(mode: str, folder: Path) -> tuple[float, float, int]:
    """Run one round; return us of CPU per request, resident MB at the end, and requests."""
    folder.mkdir()
    world = World(replace(SCENARIO, authoriser=MODES[mode]), folder)
    samples: list[tuple[int, float, float]] = []

    def sample(world: World) -> None:
        process = world.gateways[0].process
        samples.append(
            (world.clients.counts["tries"], cpu_seconds(process.pid), memory_mb(process.pid)[0])
        )

    try:
        await world.run(sample)
    finally:
        await world.close()
    first, last = samples[2], samples[-1]
    tries = last[0] - first[0]
    return 1e6 * (last[1] - first[1]) / tries, last[2], tries


async def measure_checks_in_flight(number: int, folder: Path) -> tuple[float, float, int]:
    """Return memory (MB) before and at the peak with ``number`` checks in flight, and the checks received."""
    folder.mkdir()
    plan = replace(SCENARIO.plan[0], rate=10_000.0, burst=100_000.0)
    world = World(
        replace(SCENARIO, plan=(plan, SCENARIO.plan[1]), authoriser=MEMORY_AUTHORISER), folder
    )
    try:
        await world.open()
        silent: AuthoriserServer = world.authorisers[0]
        silent.behaviour = Behaviour({"silent": 1.0})
        process = world.gateways[0].process
        before = memory_mb(process.pid)[0]
        clients: ClientSide = world.clients
        base = world.arrivals[0]
        patient = replace(base.tries[0], wait=20_000_000, leaves=0)
        for intent in range(1, number + 1):
            customer = replace(base.customer, number=intent)
            clients.start(replace(base, at=0, intent=intent, customer=customer, tries=(patient,)))
            if intent % 50 == 0:
                await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        return before, memory_mb(process.pid)[1], len(silent.asked)
    finally:
        await world.close()


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    figures: dict[str, list[float]] = {mode: [] for mode in MODES}
    with tempfile.TemporaryDirectory() as folder:
        print(
            f"{'round':<7}{'mode':<10}{'us CPU a try':>14}{'against off':>13}{'MB':>7}{'tries':>8}"
        )
        for number in range(options.rounds):
            for mode in MODES:
                used, mb, tries = uvloop.run(measure_round(mode, Path(folder) / f"{number}-{mode}"))
                figures[mode].append(used)
                ratio = used / figures["off"][-1]
                print(
                    f"{number + 1:<7}{mode:<10}{used:>14.0f}{ratio:>13.2f}{mb:>7.0f}{tries:>8}",
                    flush=True,
                )
        for mode in ("cached", "uncached"):
            ratios = [a / b for a, b in zip(figures[mode], figures["off"], strict=True)]
            print(f"median of {mode}/off: {statistics.median(ratios):.2f}")
        before, peak, asked = uvloop.run(measure_checks_in_flight(1000, Path(folder) / "out"))
        print(f"memory: {before:.0f} MB before, {peak:.0f} MB at its peak with {asked} checks out")


if __name__ == "__main__":
    main()
