"""What the ledger costs: latency added to unsafe requests, requests a second at full durability, safe ones beside.

Run by hand: ``python -m benchmarks.ledger_cost``. Real gateways with the ledger off and on, rounds interleaved; same
arrivals; ratios within one run.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from pathlib import Path

import uvloop

from saffrongw.ledger.entries import Event, Kind
from saffrongw.ledger.store import Store
from testbed.checker.record import Answered, Sent
from testbed.model.scenario import Class, Clients, Hosts, Plan, Scenario
from testbed.runner.world import World

DAY = Scenario(
    "ledger-cost",
    gateways=1,
    length_s=8,
    cls=(
        Class("sheet-read", 0.5, (5.0, 10.0)),
        Class("test-upload", 0.0, (5.0, 10.0), effect="keyed", group="cell", window_ms=5000),
        Class("report-issue", 0.5, (5.0, 10.0), effect="unsafe"),
    ),
    plan=(
        Plan("basico", 40, 50.0, 200.0, use=(0.1, 0.1), full=0.0, spread=(1, 1)),
        Plan("amplio", 0, 7.0, 13.0),
    ),
    hosts=Hosts(count=12, error_share=0.0),
    clients=Clients(leave=0.0),
)


async def one(folder: Path, on: bool) -> dict[str, list[float]]:
    """Milliseconds from sent to served, by class."""
    folder.mkdir()
    world = World(
        DAY, folder, operator=f'[ledger]\nstate_dir = "{folder / "state"}"\n' if on else ""
    )
    try:
        log = await world.run()
    finally:
        await world.close()
    sent = {s.request: s for s in log.of(Sent)}
    found: dict[str, list[float]] = {c.name: [] for c in DAY.cls}
    for answer in log.of(Answered):
        if answer.kind == "served":
            of = sent[answer.request]
            found[of.cls].append((answer.at - of.at) / 1000)
    return {name: sorted(times) for name, times in found.items() if times}


def commits(folder: Path, batch: int, seconds: float) -> float:
    """Intents a second that one thread makes durable, so many a commit."""
    store = Store(folder)
    store.open()
    data = {"ordinal": 0, "host": "s-1", "born": 0, "customer": 7, "id": "0" * 16, "plan": "basico"}
    data |= {"class": "report-issue", "bytes": 900, "digest": "0" * 32, "taken": 1}
    began, number = time.perf_counter(), 0
    while time.perf_counter() - began < seconds:
        store.commit([Event(1, number + n, Kind.INTENT, 1, data) for n in range(batch)])
        number += batch
    rate = number / (time.perf_counter() - began)
    store.close()
    return rate


def main() -> None:
    """The tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--folder", type=Path, default=None, help="on the disk to be measured (default: TMPDIR)"
    )
    given = parser.parse_args()
    ratios: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory(dir=given.folder) as name:
        base = Path(name)
        print(f"{'round':<7}{'ledger':<8}{'class':<14}{'served':>8}{'p50 ms':>9}{'p99 ms':>9}")
        for number in range(given.rounds):
            seen = {}
            for on in (False, True):
                seen[on] = uvloop.run(one(base / f"{number}-{on}", on))
                for cls, times in seen[on].items():
                    p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
                    print(
                        f"{number + 1:<7}{'on' if on else 'off':<8}{cls:<14}{len(times):>8}{p50:>9.2f}{p99:>9.2f}",
                        flush=True,
                    )
            for cls in seen[True]:
                for part, at in (("p50", 0.5), ("p99", 0.99)):
                    a, b = (t[int(len(t) * at)] for t in (seen[True][cls], seen[False][cls]))
                    ratios.setdefault(f"{cls} {part}", []).append(a / b)
        for what, found in ratios.items():
            print(f"median of on/off, {what}: {statistics.median(found):.2f}")
        for batch in (1, 8, 64, 512):
            rate = commits(base / f"commits-{batch}", batch, 1.0)
            print(f"durable intents a second, {batch:>3} a commit: {rate:,.0f}")


if __name__ == "__main__":
    main()
