"""Cost of the ledger: request latency by class, and durable intents a second.

Run by hand: ``python -m benchmarks.ledger_cost``. Real gateways with the ledger off and on and the
same arrivals; rounds are interleaved, and ratios are taken within one run. Idempotent requests
are measured alongside.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from collections import defaultdict
from pathlib import Path

import uvloop

from saffrongw.ledger import events
from saffrongw.ledger.events import EntryKey, RecordedRequest
from saffrongw.ledger.store import LedgerStore
from testbed.checker.record import Answered, Sent
from testbed.model.scenario import Class, Clients, Hosts, Plan, Scenario
from testbed.runner.world import World

SCENARIO = Scenario(
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
QUANTILES = (("p50", 0.5), ("p99", 0.99))
BATCH_SIZES = (1, 8, 64, 512)
COMMIT_SPAN_S = 1.0
US_PER_MS = 1000

# Sorted milliseconds from sent to served, by request class.
Latencies = dict[str, list[float]]


async def measure_latencies(folder: Path, with_ledger: bool) -> Latencies:
    """Run the scenario once; return its latencies."""
    folder.mkdir()
    operator = f'[ledger]\nstate_dir = "{folder / "state"}"\n' if with_ledger else ""
    world = World(SCENARIO, folder, operator=operator)
    try:
        log = await world.run()
    finally:
        await world.close()
    sent = {request.request: request for request in log.of(Sent)}
    latencies_ms: Latencies = defaultdict(list)
    for answer in log.of(Answered):
        if answer.kind == "served":
            request = sent[answer.request]
            latencies_ms[request.cls].append((answer.at - request.at) / US_PER_MS)
    return {
        request_class.name: sorted(latencies_ms[request_class.name])
        for request_class in SCENARIO.cls
        if request_class.name in latencies_ms
    }


def quantile(sorted_values: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return sorted_values[int(len(sorted_values) * share)]


def commit_rate(folder: Path, batch_size: int, span_s: float) -> float:
    """Return how many intents a second one thread commits, ``batch_size`` at a time."""
    store = LedgerStore(folder)
    store.open()
    request = RecordedRequest(7, "0" * 16, "basico", "report-issue", 900, "0" * 32, None, 1)
    began_at = time.perf_counter()
    count = 0
    while time.perf_counter() - began_at < span_s:
        store.commit(
            [
                events.intent(EntryKey(1, count + offset), 1, 0, "s-1", 0, request)
                for offset in range(batch_size)
            ]
        )
        count += batch_size
    rate = count / (time.perf_counter() - began_at)
    store.close()
    return rate


def print_latencies(number: int, with_ledger: bool, latencies_ms: Latencies) -> None:
    """Print the rows of one run."""
    for name, values_ms in latencies_ms.items():
        p50_ms, p99_ms = (quantile(values_ms, share) for _, share in QUANTILES)
        state = "on" if with_ledger else "off"
        print(
            f"{number:<7}{state:<8}{name:<14}{len(values_ms):>8}{p50_ms:>9.2f}{p99_ms:>9.2f}",
            flush=True,
        )


def compare_latencies(folder: Path, rounds: int) -> None:
    """Print latencies with the ledger off and on, and the medians of their ratios."""
    ratios: dict[str, list[float]] = defaultdict(list)
    print(f"{'round':<7}{'ledger':<8}{'class':<14}{'served':>8}{'p50 ms':>9}{'p99 ms':>9}")
    for number in range(rounds):
        measured: dict[bool, Latencies] = {}
        for with_ledger in (False, True):
            run_folder = folder / f"{number}-{with_ledger}"
            measured[with_ledger] = uvloop.run(measure_latencies(run_folder, with_ledger))
            print_latencies(number + 1, with_ledger, measured[with_ledger])
        for name, values_ms in measured[True].items():
            for part, share in QUANTILES:
                ratio = quantile(values_ms, share) / quantile(measured[False][name], share)
                ratios[f"{name} {part}"].append(ratio)
    for what, values in ratios.items():
        print(f"median of on/off, {what}: {statistics.median(values):.2f}")


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--folder", type=Path, default=None, help="on the disk to be measured (default: TMPDIR)"
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        folder = Path(name)
        compare_latencies(folder, options.rounds)
        for batch_size in BATCH_SIZES:
            rate = commit_rate(folder / f"commits-{batch_size}", batch_size, COMMIT_SPAN_S)
            print(f"durable intents a second, {batch_size:>3} a commit: {rate:,.0f}")


if __name__ == "__main__":
    main()
