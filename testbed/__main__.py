"""The command line of the testbed: ``python -m testbed run|demo|list|check|judge|leases``.

Exit status: 0 passed, 1 a rule was broken, 2 invalid input or no verdict, 3 inconclusive.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import toml_schema

from .checker import report
from .model import scenario
from .model.arrivals import digest, draw
from .runner import runs
from .runner.world import World

RUNS_FOLDER = Path("found") / "runs"
BAR_WIDTH = 28


class Progress:
    """Shows progress: one line that is redrawn on a terminal, or a new line every few seconds elsewhere."""

    def __init__(self, stream=sys.stderr) -> None:
        self.stream, self.drawn, self.live = stream, 0.0, stream.isatty()

    def __call__(self, world: World) -> None:
        now = time.monotonic()
        if now - self.drawn < (0.4 if self.live else 5):
            return
        self.drawn = now
        length = world.scenario.length_s
        gone = max(0.0, (world.clock() - world.begin) / 1e6)
        done = min(1.0, gone / length)
        counts, up = world.clients.counts, sum(g.ready for g in world.gateways)
        hosts = sum(h.up for h in world.fleet.hosts.values())
        fault = next(
            (
                f
                for f in reversed(list(world.scenario.fault))
                if f.at <= gone <= f.at + max(f.for_s, 2)
            ),
            None,
        )
        line = (
            f"[{'#' * round(BAR_WIDTH * done):<{BAR_WIDTH}}] {min(gone, length):5.1f}/{length:g} s  "
            f"gateways {up}/{len(world.gateways)}  "
            f"hosts {hosts}  offered {counts['offered']}  served {counts['served']}  refused {counts['refused']}  "
            f"failed {counts['failed']}" + (f"  << {fault.kind}" if fault else "")
        )
        self.stream.write(f"\r{line}\x1b[K" if self.live else line + "\n")
        self.stream.flush()

    def end(self) -> None:
        """Erase the progress line from a terminal."""
        if self.live:
            self.stream.write("\r\x1b[K")


def _run_scenario(name: str, folder: Path, quiet: bool, line: str | None) -> int:
    chosen = scenario.load(scenario.named(name))
    progress = None if quiet else Progress()
    if not quiet:
        print(f"{chosen.name}: {chosen.about}", flush=True)
    done = runs.run(
        chosen, folder, line, progress, on_retry=lambda text: print(text, file=sys.stderr)
    )
    if progress:
        progress.end()
    path = report.write(folder, chosen, done.log, done.verdict)
    if quiet:
        print(report.one_line(chosen, done.verdict, done.tries))
    else:
        print(report.table(chosen, done.log, done.verdict))
        print(f"\nreport: {path.resolve()}")
    return runs.STATUS[done.verdict.outcome]


def _run_scenarios(names: Sequence[str], jobs: int, folder: Path) -> int:
    began, worst, counts = time.monotonic(), 0, {"passed": 0, "failed": 0}
    for number, (name, status, seconds, line) in enumerate(runs.many(names, jobs, folder), 1):
        print(
            f"{number:>2}/{len(names)}  {line or f'{name}: no verdict, status {status}'}  ({seconds:.0f} s)",
            flush=True,
        )
        counts["passed" if status == 0 else "failed"] += 1
        worst = max(worst, status)
    print(
        f"{counts['passed']} passed, {counts['failed']} failed in {time.monotonic() - began:.0f} s"
    )
    return worst


def _list_scenarios() -> int:
    for name in sorted(runs.names()):
        found = scenario.load(scenario.named(name))
        print(f"{name:<18} {found.length_s:>4g} s  {found.about}")
    print("\nfaults that a scenario can name:")
    for kind, about in scenario.FAULTS.items():
        print(f"  {kind:<17} {about}")
    return 0


def _check_scenarios(files: Sequence[str]) -> int:
    for name in files:
        found = scenario.load(scenario.named(name))
        arrivals = draw(found)
        print(
            f"{name}: good; {len(arrivals)} requests in {found.length_s:g} s, arrivals {digest(arrivals)}"
        )
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit status."""
    parser = argparse.ArgumentParser("testbed", description="A world for gateways to fail in.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="play scenarios, by name or file, and judge them")
    run.add_argument("names", nargs="*", metavar="NAME")
    run.add_argument("--all", action="store_true", help="all scenarios of the repository")
    run.add_argument("--jobs", type=int, default=4, help="how many at once (default 4)")
    run.add_argument("--quiet", action="store_true", help="one line only")
    run.add_argument(
        "--folder",
        type=Path,
        default=None,
        help=f"for reports and evidence (default {RUNS_FOLDER}/NAME)",
    )
    run.add_argument("--run", default=None, metavar="LINE", help="start gateways by this line")
    demo = commands.add_parser("demo", help="30 s of a fleet with a gateway killed and a host lost")
    demo.add_argument("--folder", type=Path, default=RUNS_FOLDER / "demo")
    commands.add_parser("list", help="the scenarios and faults that there are")
    check = commands.add_parser("check", help="validate scenario files")
    check.add_argument("names", nargs="+", metavar="FILE")
    judge = commands.add_parser("judge", help="judge kept evidence again")
    judge.add_argument("name", metavar="SCENARIO")
    judge.add_argument("evidence", type=Path)
    leases = commands.add_parser(
        "leases", help="drawn days of leases over real gateways, judged from outside"
    )
    leases.add_argument("--seeds", type=int, nargs=2, default=(0, 7), metavar=("FIRST", "LAST"))
    leases.add_argument("--jobs", type=int, default=3)
    leases.add_argument("--folder", type=Path, default=RUNS_FOLDER / "leases")
    leases.add_argument("--run", default=None, metavar="LINE", help="start gateways by this line")
    given = parser.parse_args(argv)
    try:
        if given.command == "leases":
            from .runner.lease_runs import many

            seeds = range(given.seeds[0], given.seeds[1] + 1)
            return many(
                seeds,
                given.jobs,
                given.folder.resolve(),
                given.run,
                lambda line: print(line, flush=True),
            )
        if given.command == "list":
            return _list_scenarios()
        if given.command == "check":
            return _check_scenarios(given.names)
        if given.command == "demo":
            return _run_scenario("demo", given.folder, False, None)
        if given.command == "judge":
            chosen = scenario.load(scenario.named(given.name))
            verdict = runs.rejudge(chosen, given.evidence)
            print(report.one_line(chosen, verdict))
            return runs.STATUS[verdict.outcome]
        names = runs.names(only_ci=True) if given.all else given.names
        if not names or given.jobs < 1:
            parser.error("name scenarios or say --all; --jobs is 1 at least")
        if len(names) > 1:
            return _run_scenarios(names, given.jobs, given.folder or RUNS_FOLDER)
        return _run_scenario(
            names[0], given.folder or RUNS_FOLDER / Path(names[0]).stem, given.quiet, given.run
        )
    except toml_schema.SchemaError as wrong:
        print(f"testbed: {wrong}", file=sys.stderr)
    except (OSError, ValueError, RuntimeError) as wrong:
        print(f"testbed: {wrong}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
