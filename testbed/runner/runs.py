"""Runs scenarios and judges them, repeats inconclusive runs, and runs several at once in processes."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import uvloop

from ..checker.record import Log
from ..checker.rules import Verdict, judge
from ..model.scenario import FOLDER, Scenario
from .world import Progress, play

MAX_TRIES = 3  # of a run that is inconclusive or whose port was in use
STATUS = {"passed": 0, "broken": 1, "inconclusive": 3}


@dataclass(slots=True)
class Run:
    """The result of one scenario."""

    scenario: Scenario
    log: Log
    verdict: Verdict
    tries: int
    spoilt: dict[str, int]


def run(
    scenario: Scenario,
    folder: Path,
    line: str | None = None,
    progress: Progress | None = None,
    tries: int = MAX_TRIES,
    on_retry: Callable[[str], None] = lambda text: None,
) -> Run:
    """Run a scenario until its verdict is conclusive, at most ``tries`` times; ``on_retry`` gets a line for each retry."""
    for number in range(1, tries + 1):
        try:
            log, world = uvloop.run(play(scenario, folder, line, progress))
        except RuntimeError as wrong:
            # Another program may bind a port between the check that it is free and the gateway's bind.
            if "ddress already in use" not in str(wrong) or number == tries:
                raise
            on_retry(f"{scenario.name}: a port was taken; try {number + 1} of {tries}")
            continue
        verdict = judge(scenario, log)
        if verdict.outcome != "inconclusive" or number == tries:
            break
        on_retry(
            f"{scenario.name}: inconclusive, the machine stood still; try {number + 1} of {tries}"
        )
    log.save(folder / "evidence.jsonl")
    return Run(scenario, log, verdict, number, world.fleet.spoilt)


def names(only_ci: bool = False) -> list[str]:
    """The names of the repository's scenarios, the longest first."""
    from ..model.scenario import load

    found = [load(path) for path in FOLDER.glob("*.toml")]
    found.sort(key=lambda s: (-s.length_s, s.name))
    return [s.name for s in found if s.ci or not only_ci]


def many(chosen: Sequence[str], jobs: int, folder: Path) -> Iterator[tuple[str, int, float, str]]:
    """Run scenarios in processes, ``jobs`` at once; yield (name, exit status, seconds, last line) as each ends."""

    def one(name: str) -> tuple[str, int, float, str]:
        began = time.monotonic()
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "testbed",
                "run",
                name,
                "--quiet",
                "--folder",
                str(folder / name),
            ],
            capture_output=True,
            text=True,
            timeout=900,
        )
        text = (done.stdout.strip() or done.stderr.strip()).splitlines()
        return name, done.returncode, time.monotonic() - began, text[-1] if text else ""

    with ThreadPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(one, name) for name in chosen]):
            yield future.result()


def rejudge(scenario: Scenario, path: Path) -> Verdict:
    """The verdict on a saved evidence file."""
    return judge(scenario, Log.load(path))
