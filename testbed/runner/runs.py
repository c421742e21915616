"""Runs of scenarios: played, judged, repeated where the machine stood still, several at once as processes."""

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

TRIES = 3  # of a run that is inconclusive
STATUS = {"passed": 0, "broken": 1, "inconclusive": 3}


@dataclass(slots=True)
class Run:
    """What came of one scenario."""

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
    tries: int = TRIES,
    told: Callable[[str], None] = lambda text: None,
) -> Run:
    """Play a scenario until its verdict is not inconclusive, a few times at most."""
    for number in range(1, tries + 1):
        try:
            log, world = uvloop.run(play(scenario, folder, line, progress))
        except RuntimeError as wrong:
            # Guards against another program that took a port between our look and the gateway's bind.
            if "ddress already in use" not in str(wrong) or number == tries:
                raise
            told(f"{scenario.name}: a port was taken; try {number + 1} of {tries}")
            continue
        verdict = judge(scenario, log)
        if verdict.outcome != "inconclusive" or number == tries:
            break
        told(f"{scenario.name}: inconclusive, the machine stood still; try {number + 1} of {tries}")
    log.save(folder / "evidence.jsonl")
    return Run(scenario, log, verdict, number, world.fleet.spoilt)


def names(only_ci: bool = False) -> list[str]:
    """The scenarios of the repository, the longest first."""
    from ..model.scenario import load

    found = [load(path) for path in FOLDER.glob("*.toml")]
    found.sort(key=lambda s: (-s.length_s, s.name))
    return [s.name for s in found if s.ci or not only_ci]


def many(chosen: Sequence[str], jobs: int, folder: Path) -> Iterator[tuple[str, int, float, str]]:
    """Each in a process of its own, ``jobs`` at once: its name, exit status, seconds and last line, as it ends."""

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
    """The verdict on evidence that was kept."""
    return judge(scenario, Log.load(path))
