"""A real gateway is killed at every named step; the ledger must agree with what endpoints executed.

``python -m tests.ledger.test_kills COUNT`` is the long run, with COUNT seeded kills.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from saffrongw.ledger.entries import Entry, ExecutionStatus
from saffrongw.ledger.reader import LedgerReader
from saffrongw.ledger.store import LedgerStore
from testbed.checker.record import Attempt, Effect, Sent
from testbed.model.scenario import Class, Clients, Hosts, Plan, Scenario
from testbed.runner.world import World
from tests.ledger.kill_points import STEPS

ROOT = Path(__file__).parent.parent.parent
RECORDED_CLASS = "report-issue"
RECOVERY_STEP = "within-recovery"
SERVICE_STEPS = [step for step in STEPS if step != RECOVERY_STEP]
SCENARIO = Scenario(
    "kills",
    gateways=1,
    length_s=2.0,
    cls=(
        Class("sheet-read", 0.2, (10.0, 20.0)),
        Class("test-upload", 0.1, (10.0, 20.0), effect="keyed", group="cell", window_ms=5000),
        Class(RECORDED_CLASS, 0.7, (10.0, 40.0), effect="unsafe"),
    ),
    plan=(
        Plan("basico", 20, 5.0, 20.0, use=(0.6, 0.6), full=0.0, spread=(1, 1)),
        Plan("amplio", 0, 7.0, 13.0),
    ),
    hosts=Hosts(count=4, error_share=0.02),
    clients=Clients(retries=0, leave=0.05),
)


async def run_until_killed(folder: Path, state: Path, step: str, count: int, seed: int) -> World:
    """Run a gateway until it kills itself, or until the clients are done."""
    folder.mkdir(parents=True, exist_ok=True)
    line = f"exec {shlex.quote(sys.executable)} -m tests.ledger.kill_points {step} {count}"
    operator = f'[ledger]\nstate_dir = "{state}"\n'
    world = World(replace(SCENARIO, seed=seed), folder, line, operator)
    try:
        await world.open()
        world.begin = world.clock()
        arrivals = asyncio.ensure_future(world._arrive())
        process = world.gateways[0].process
        async with asyncio.timeout(20):
            while process.returncode is None and not arrivals.done():
                await asyncio.sleep(0.01)
        arrivals.cancel()
        # Endpoints finish the requests that they have received.
        await asyncio.sleep(0.15)
    finally:
        await world.close()
    return world


def recovered_entries(state: Path) -> list[Entry]:
    """Begin the next incarnation without a gateway, and return all entries."""
    store = LedgerStore(state)
    store.open()
    store.close()
    with LedgerReader(state) as reader:
        assert reader.verify() == []
        return list(reader.entries().values())


def check_against_truth(world: World, entries: list[Entry]) -> Counter[str]:
    """Check each entry against what endpoints executed; return the entry count of each status."""
    effects = Counter(
        effect.request for effect in world.log.of(Effect) if effect.cls == RECORDED_CLASS
    )
    arrived = {
        attempt.request
        for attempt in world.log.of(Attempt)
        if attempt.cls == RECORDED_CLASS and attempt.at >= 0
    }
    sent = {request.request for request in world.log.of(Sent) if request.cls == RECORDED_CLASS}
    by_request = {entry.client_request_id: entry for entry in entries}
    assert len(by_request) == len(entries)
    # Every entry belongs to a request that a client sent.
    assert set(by_request) <= sent
    # Every attempt that reached an endpoint has an entry: it was recorded before it was sent.
    assert arrived <= set(by_request)
    # No request ran twice.
    assert all(count == 1 for count in effects.values())
    for request, entry in by_request.items():
        if entry.status is ExecutionStatus.NEVER_SENT:
            assert effects[request] == 0
        elif entry.status in (ExecutionStatus.RAN, ExecutionStatus.ANSWERED):
            assert effects[request] == 1
        assert entry.answer or entry.classification
    return Counter(entry.status.value for entry in entries)


@pytest.mark.parametrize("step", SERVICE_STEPS)
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_after_a_kill_at_each_step_the_ledger_agrees_with_the_endpoints(step, seed, tmp_path):
    count = random.Random(f"{step}{seed}").randint(2, 25)
    world = uvloop.run(run_until_killed(tmp_path / "run", tmp_path / "state", step, count, seed))
    assert world.gateways[0].process.returncode == -signal.SIGKILL
    check_against_truth(world, recovered_entries(tmp_path / "state"))


def test_a_kill_within_recovery_leaves_all_entries_to_the_next_recovery(tmp_path):
    state = tmp_path / "state"
    world = uvloop.run(run_until_killed(tmp_path / "run", state, "after-the-last-byte", 12, 9))
    path = tmp_path / "run" / "n0.json"
    config = json.loads(path.read_text())
    # Two gateways in a row are killed while they classify the open entries of the first one.
    for _ in range(2):
        completed = subprocess.run(
            [sys.executable, "-m", "tests.ledger.kill_points", RECOVERY_STEP, "1"],
            cwd=ROOT,
            env=os.environ
            | {
                "LB_CONFIG": str(path),
                "SAFFRONGW_OPERATOR": str(tmp_path / "run" / "operator.toml"),
            },
            capture_output=True,
            timeout=60,
        )
        assert completed.returncode == -signal.SIGKILL
    assert config["name"] == "n0"
    attempts = [attempt for attempt in world.log.of(Attempt) if attempt.cls == RECORDED_CLASS]
    entries = recovered_entries(state)
    check_against_truth(world, entries)
    assert len(attempts) <= len(entries)


def main() -> None:
    """Run as many seeded kills as the argument says, and print the total of each status."""
    totals: Counter[str] = Counter()
    kill_count = int(sys.argv[1])
    for kill in range(kill_count):
        draw = random.Random(f"long:{kill}")
        step = draw.choice(SERVICE_STEPS)
        count = draw.randint(2, 40)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            state = folder / "state"
            world = uvloop.run(run_until_killed(folder / "run", state, step, count, 1000 + kill))
            totals += check_against_truth(world, recovered_entries(state))
        print(f"\r{kill + 1}/{kill_count}  {step:<24} {dict(totals)}", end="", flush=True)
    total = sum(totals.values())
    share = totals["may have run"] / total
    print(f"\n{kill_count} kills; may have run: {share:.3f} of {total}")


if __name__ == "__main__":
    main()
