"""Takeover time of a lease among real gateways.

    python -m benchmarks.lease_takeover --kills 200 --jobs 4

Eight gateways, three of them voters that run no tasks; a lease of 2 s. The holder is killed,
drained (SIGTERM) or stopped, and comes back later. Measured from the signal to the first
status answer of another holder; the polling accounts for up to 0.1 s of it.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import uvloop

from testbed.checker.lease_rules import judge
from testbed.model.lease_day import LeaseDay, LeaseFault
from testbed.runner.lease_world import LeaseWorld

FAULT_KINDS = ("kill", "term", "stop")


async def measure_takeovers(seed: int, number: int, how: str) -> list[float]:
    """Return the durations (s) of ``number`` takeovers in one fleet."""
    folder = Path(tempfile.mkdtemp())
    day = LeaseDay(seed, 8, 3, span_s=2.0, shards=1, tasks=1, voters_stand=False)
    world = LeaseWorld(day, folder)
    waits_s = []
    try:
        await world.open()
        loop = asyncio.get_running_loop()
        asks = [loop.create_task(world._ask(n)) for n in range(day.gateways)]
        world.tasks += asks
        world.begin = world.clock()
        for _ in range(number):
            holder = await world.holder()
            begin = world.clock()
            fault = LeaseFault(how, 0.0, 4.0, (holder,))
            ended = loop.create_task(world._fault(fault))
            async with asyncio.timeout(30):
                while True:
                    await asyncio.sleep(0.01)
                    now = [
                        s
                        for s in world.seen.stated[-60:]
                        if s.asked > begin and s.held and s.gateway != f"n{holder}"
                    ]
                    if now:
                        waits_s.append((min(s.answered for s in now) - begin) / 1e6)
                        break
            await ended
            await asyncio.sleep(1.0)
        world._gather()
        world.seen.finished = 0
        assert judge(world.seen).findings == [], judge(world.seen).findings
    finally:
        await world.close()
        shutil.rmtree(folder, ignore_errors=True)
    return waits_s


def run(options: tuple[int, int, str]) -> list[float]:
    """Measure takeovers in a worker process."""
    return uvloop.run(measure_takeovers(*options))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--kills", type=int, default=40, help="takeovers for each way to lose a holder"
    )
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    each = 10
    print(
        f"{'how':<8}{'times':>6}{'p50 s':>8}{'p90 s':>8}{'p99 s':>8}{'most':>8}   (a lease of 2 s)"
    )
    with ProcessPoolExecutor(options.jobs) as pool:
        for how in FAULT_KINDS:
            jobs = [(seed, each, how) for seed in range(max(1, options.kills // each))]
            waits_s = sorted(t for some in pool.map(run, jobs) for t in some)
            at = [
                waits_s[min(len(waits_s) - 1, int(len(waits_s) * p))] for p in (0.5, 0.9, 0.99, 1.0)
            ]
            print(f"{how:<8}{len(waits_s):>6}" + "".join(f"{t:>8.3f}" for t in at), flush=True)


if __name__ == "__main__":
    main()
