"""Runs many lease scenarios in parallel processes and prints their findings and totals."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import uvloop

from ..checker.lease_rules import Verdict
from ..model.lease_day import drawn
from .lease_world import play

MAX_TRIES = 2  # of a run whose gateways could not start because a port was in use


def one(
    seed: int, folder: Path, line: str | None
) -> tuple[int, tuple[str, ...], Verdict, list[str], dict[str, int]]:
    """Run one scenario: its seed, kinds of faults, verdict, crashes, and counts of datagrams at the relay."""
    day = drawn(seed)
    lines = dict.fromkeys(range(day.gateways), line) if line else None
    for number in range(1, MAX_TRIES + 1):
        try:
            verdict, world = uvloop.run(play(day, folder / str(seed), lines))
            break
        except RuntimeError as wrong:
            if "ddress already in use" not in str(wrong) or number == MAX_TRIES:
                raise
    return seed, tuple(f.kind for f in day.faults), verdict, world.crashes(), world.relay.counts


def many(
    seeds: range, jobs: int, folder: Path, line: str | None, say: Callable[[str], None]
) -> int:
    """Run the scenarios of all seeds; 1 if any has a finding or a crash, else 0."""
    began, totals, kinds, bad = time.monotonic(), Counter(), Counter(), 0
    with ProcessPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(one, seed, folder, line) for seed in seeds]):
            seed, faults, verdict, crashes, counts = future.result()
            kinds.update(faults)
            totals.update({f"datagrams {name}": n for name, n in counts.items() if name != "long"})
            totals.update(
                {
                    "days": 1,
                    "faults": len(faults),
                    "spans surely held": verdict.spans,
                    "tenures": verdict.tenures,
                    "calls": verdict.calls,
                    "turns repeated": verdict.repeated,
                    "older numbers that arrived": verdict.older_arrived,
                }
            )
            for rule in ("one holder", "numbers", "older number", "call outside", "service"):
                totals[f"findings: {rule}"] += sum(f.rule == rule for f in verdict.findings)
            totals["crashes"] += len(crashes)
            for finding in verdict.findings:
                say(
                    f"day {seed}: {finding.rule}: {finding.what} (during: {finding.during or 'nothing'})"
                )
            for crash in crashes:
                say(f"day {seed}: {crash}")
            bad += bool(verdict.findings or crashes)
    for name, count in totals.items():
        say(f"{name:<32} {count:>9}")
    say(
        "faults                           "
        + ", ".join(f"{kind} {n}" for kind, n in sorted(kinds.items()))
    )
    say(f"{len(seeds) - bad} passed, {bad} failed in {time.monotonic() - began:.0f} s")
    return 1 if bad else 0
