"""Benchmark of one gateway on one core against a plain forwarder, with hosts and clients on other cores.

    python -m benchmarks.overload.rig cost                 # CPU a request and latency at 300, 1,500 and 3,000 a second
    python -m benchmarks.overload.rig goodput              # goodput against load, 0.5 to 10 times one core's capacity
    python -m benchmarks.overload.rig cost --against DIR   # compared with another checkout, rounds interleaved

The gateway is started with the ``run`` line of its checkout's deploy file. Quotas are effectively unlimited and hosts
report low load, so that every rejection is due to the gateway's own overload. Each round lasts a few seconds.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console
from rich.table import Table

from .load import CLASSES, PLANS, LoadShape, merge_tallies, percentile

ROOT = Path(__file__).parents[2]
HOSTS, HOST_PROCESSES, CLIENT_PROCESSES, CONNECTIONS = 10, 2, 3, 40
ANSWER_WAIT_S = 2.5  # Time that clients wait for the last answers.
GATEWAY_CORE = 0
console = Console(width=max(150, Console().width))


def settings() -> dict:
    """Return site settings with the operators' classes and plans, and effectively unlimited quotas."""
    effects = {"sheet-read": "repeatable", "test-upload": "by_key", "report-issue": "once"}
    aims = {"sheet-read": 800_000, "test-upload": 1_200_000, "report-issue": 800_000}
    return {
        "balancers": 1,
        "rank": 0,
        "locality": 0,
        "discovery": "pushed",
        "zones": ["hall-a"],
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "classes": [
            {
                "name": name,
                "effect": effects[name],
                "group": "cell" if effects[name] == "by_key" else "all",
            }
            | {"target": aims[name], "deadline": 5_000_000, "dedupWindow": 5_000_000}
            | {"credit": worth, "lateWorth": 0.0}
            for name, _, worth in CLASSES
        ],
        "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
        "loadReport": {"how": "inline", "names": ["util", "latency_ms", "inflight"]},
        "packages": [
            {
                "name": name,
                "perSecond": 1e6,
                "peakUnits": 1e6,
                "open": 0,
                "pays": pays,
                "beyondEarns": 0.0,
            }
            | {"overrunCost": 1.0, "hardRate": 0.0, "capDepth": 0.0, "capSlack": 0.0}
            for name, _, pays in PLANS
        ],
        "permissions": {"peers": False, "probes": True, "cancel": True, "secondCopies": True}
        | {
            "retryAfter": True,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "idleClose": 30_000_000,
        }
        | {"connectTimeout": 250_000},
        "rules": {
            "askWithin": 10_000_000,
            "coldFrom": 0.23,
            "drainGrace": 1_000_000,
            "fallMultiple": 3.0,
        }
        | {"overloadFor": 3_000_000, "warmWithin": 18_000_000},
    }


def cpu_of(pid: int) -> float:
    """Return the CPU seconds of a process with its threads, from the scheduler's nanosecond counters."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def memory_of(pid: int) -> float:
    """Return the peak resident memory in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return float("nan")


def free_port() -> int:
    """Return a free port, which the gateway then binds."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class ChildProcesses:
    """Child processes pinned to cores; ``stop`` kills them all."""

    def __init__(self) -> None:
        self.children: list[subprocess.Popen] = []

    def start(self, cores: set[int], *words: str, cwd: Path = ROOT, **more) -> subprocess.Popen:
        """Start a child process on these cores."""
        child = subprocess.Popen(
            words,
            cwd=cwd,
            text=True,
            stdin=subprocess.PIPE,
            stdout=more.pop("stdout", subprocess.PIPE),
            preexec_fn=lambda: os.sched_setaffinity(0, cores),
            **more,
        )
        self.children.append(child)
        return child

    def start_helper(
        self, kind: str, options: dict, cores: set[int]
    ) -> tuple[subprocess.Popen, dict]:
        """Start a helper process of ``ends.py``; return it and the JSON of its first line."""
        child = self.start(
            cores, sys.executable, "-m", "benchmarks.overload.ends", kind, json.dumps(options)
        )
        return child, json.loads(child.stdout.readline())

    def stop(self) -> None:
        """Kill all child processes."""
        for child in self.children:
            child.kill()
            child.wait()


@dataclass(slots=True)
class Result:
    """One round: tally, CPU (s) and memory (MB) of the measured process, and the clients' greatest send delay (ms)."""

    tally: dict
    cpu: float
    memory: float
    slip: float
    length: float
    extra: dict = field(default_factory=dict)

    @property
    def good(self) -> float:
        """Return the requests a second that were served within their deadline."""
        return self.tally["counts"]["good"] / self.length

    def cpu_us_per(self, what: str) -> float:
        """Return the us of CPU per request with this outcome."""
        return 1e6 * self.cpu / max(1, self.tally["counts"][what])


def start_cpu_contender(children: ChildProcesses, share: float) -> None:
    """Occupy the gateway's core for a share of the time with a process of equal priority."""
    text = (
        "import time,sys\nend=time.time()+600\nwhile time.time()<end:\n"
        f" t=time.perf_counter()\n while time.perf_counter()-t<0.1*{share}: pass\n time.sleep(0.1*(1-{share}))\n"
    )
    children.start({GATEWAY_CORE}, sys.executable, "-c", text)


def run_round(
    what: str,
    shape: LoadShape,
    tree: Path = ROOT,
    seed: int = 1,
    steal: float = 0.0,
    slow=(0, 0, 0),
    sndbuf: int = 0,
) -> Result:
    """Run one round of ``gateway`` or ``forwarder``."""
    children = ChildProcesses()
    try:
        with tempfile.TemporaryDirectory() as folder:
            ports = []
            for n in range(HOST_PROCESSES):
                options = {"count": HOSTS // HOST_PROCESSES, "delay_ms": 5, "slow": slow}
                ports += children.start_helper("hosts", options, {1 + n})[1]["ports"]
            if what == "forwarder":
                middle, said = children.start_helper("forwarder", {"ports": ports}, {GATEWAY_CORE})
                port = said["port"]
            else:
                port = free_port()
                middle = _gateway(children, tree, Path(folder), port, ports)
            if steal:
                start_cpu_contender(children, steal)
            client_processes = []
            for n in range(CLIENT_PROCESSES):
                options = {"steps": shape.steps, "customers": shape.customers, "heavy": shape.heavy}
                options |= {
                    "wait": shape.wait,
                    "part": n,
                    "parts": CLIENT_PROCESSES,
                    "seed": seed,
                    "after": ANSWER_WAIT_S,
                }
                options |= {"sndbuf": sndbuf}
                options |= {"port": port, "connections": CONNECTIONS // CLIENT_PROCESSES + (n == 0)}
                client_processes.append(children.start_helper("clients", options, {3 + n})[0])
            began, before = time.monotonic() + 0.3, cpu_of(middle.pid)
            for child in client_processes:
                child.stdin.write(json.dumps({"began": began}) + "\n")
                child.stdin.flush()
            parts = _read_all(client_processes)
            used, memory = cpu_of(middle.pid) - before, memory_of(middle.pid)
            slip = max(part["slip_ms"] for part in parts)
            log = (Path(folder) / "log").read_text() if what != "forwarder" else ""
            return Result(
                merge_tallies(parts), used, memory, slip, shape.length, {"log": log[-2000:]}
            )
    finally:
        children.stop()


def _read_all(client_processes: list[subprocess.Popen]) -> list[dict]:
    parts: list[dict] = []
    threads = [
        threading.Thread(target=lambda c=child: parts.append(json.loads(c.stdout.readline())))
        for child in client_processes
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return parts


def _gateway(
    children: ChildProcesses, tree: Path, folder: Path, port: int, ports: list[int]
) -> subprocess.Popen:
    hosts = [
        {
            "host": f"s{n}",
            "dial": f"127.0.0.1:{p}",
            "site": "hall-a",
            "class": "m",
            "block": n,
            "health": "SERVING",
        }
        | {"share": 1.0, "born_ms": 0}
        for n, p in enumerate(ports)
    ]
    text = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "01"}
    text |= {"limits": {"sockets": 1024}, "known": {"seq": 1, "whole": True, "hosts": hosts}}
    (folder / "config.json").write_text(json.dumps(text | {"settings": settings()}))
    run = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["run"]
    run = run.replace(".venv/bin/python", sys.executable)
    log = (folder / "log").open("w")
    variables = {k: v for k, v in os.environ.items() if not k.startswith("SAFFRONGW")}
    variables |= {"LB_CONFIG": str(folder / "config.json"), "LB_LISTEN": text["listen"]}
    child = children.start(
        {GATEWAY_CORE},
        "/bin/sh",
        "-c",
        run,
        cwd=tree,
        env=variables,
        stdout=log,
        stderr=subprocess.STDOUT,
    )
    end = time.monotonic() + 20
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), 1) as sock:
                sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                if sock.recv(16) == b"+PONG\r\n":
                    return child
        except OSError:
            time.sleep(0.05)
    raise SystemExit(f"the gateway did not come up: {(folder / 'log').read_text()[-500:]}")


def add_result_row(
    table: Table, name: str, offered: float, r: Result, forwarder: Result | None = None
) -> None:
    """Add one result to a table."""
    c, times = r.tally["counts"], r.tally["times"]
    ratio = r.cpu_us_per("asked") / forwarder.cpu_us_per("asked") if forwarder else float("nan")
    cells = [
        name,
        f"{offered:.0f}",
        f"{r.good:.0f}",
        f"{c['refused']}",
        f"{c['failed']}",
        f"{c['late']}",
    ]
    cells += [
        f"{c['unanswered']}",
        f"{c['held']}",
        f"{percentile(times, 0.5):.1f}",
        f"{percentile(times, 0.99):.1f}",
    ]
    cells += [
        f"{percentile(r.tally['refusals'], 0.99):.0f}",
        f"{r.cpu_us_per('asked'):.0f}",
        f"{ratio:.2f}",
    ]
    table.add_row(*cells, f"{r.memory:.0f}")


def new_table(title: str) -> Table:
    """Return an empty table with all columns."""
    table = Table(title=title)
    for name in (
        "of",
        "offered/s",
        "good/s",
        "refused",
        "failed",
        "late",
        "no answer",
        "not taken",
        "p50 ms",
    ):
        table.add_column(name, justify="right")
    for name in ("p99 ms", "refusal p99", "us CPU/req", "to forwarder", "MB"):
        table.add_column(name, justify="right")
    return table


def cost(options: argparse.Namespace) -> dict:
    """Measure CPU and latency below saturation, alternating between gateway and forwarder."""
    trees = {"gateway": ROOT} | (
        {"other": Path(options.against).resolve()} if options.against else {}
    )
    found: dict[str, list[Result]] = {}
    out = {}
    for rate in options.rates:
        shape = LoadShape(((options.seconds, rate),))
        for turn in range(options.rounds):
            with console.status(f"{rate}/s, round {turn + 1} of {options.rounds}"):
                found.setdefault(f"forwarder {rate}", []).append(
                    run_round("forwarder", shape, seed=turn + 1)
                )
                for name, tree in trees.items():
                    found.setdefault(f"{name} {rate}", []).append(
                        run_round("gateway", shape, tree, turn + 1)
                    )
        table = new_table(
            f"{rate} a second, {options.seconds:.0f} s, the round with the median CPU of {options.rounds}"
        )
        middle = {}
        for name in ("forwarder", *trees):
            rounds = sorted(found[f"{name} {rate}"], key=lambda r: r.cpu)
            middle[name] = rounds[len(rounds) // 2]
            add_result_row(table, name, rate, middle[name], middle["forwarder"])
        console.print(table)
        for name in trees:
            out[f"{name} {rate}"] = {
                "us": statistics.median(r.cpu_us_per("asked") for r in found[f"{name} {rate}"]),
                "ratio": middle[name].cpu_us_per("asked") / middle["forwarder"].cpu_us_per("asked"),
                "p99": statistics.median(
                    percentile(r.tally["times"], 0.99) for r in found[f"{name} {rate}"]
                ),
                "refused": [r.tally["counts"]["refused"] for r in found[f"{name} {rate}"]],
            }
    return out


def goodput(options: argparse.Namespace) -> dict:
    """Measure goodput against load, from half to ten times the capacity of one core."""
    trees = {"gateway": ROOT} | (
        {"other": Path(options.against).resolve()} if options.against else {}
    )
    table = new_table(
        f"goodput, one core serves {options.core:.0f}/s, {options.seconds:.0f} s of load each"
    )
    out: dict[str, list] = {name: [] for name in trees}
    for times in options.times:
        shape = LoadShape(((options.seconds, times * options.core),), heavy=options.heavy)
        for name, tree in trees.items():
            rounds = []
            for turn in range(options.rounds):
                with console.status(
                    f"{name} at {times} times, round {turn + 1} of {options.rounds}"
                ):
                    rounds.append(
                        run_round(
                            "gateway", shape, tree, turn + 1, options.steal, sndbuf=options.sndbuf
                        )
                    )
            r = sorted(rounds, key=lambda r: r.good)[len(rounds) // 2]
            add_result_row(table, f"{name} x{times}", times * options.core, r)
            shares = {}
            for key, counter in sorted(r.tally["groups"].items()):
                plan, kind = map(int, key.split("/"))
                shares[f"{PLANS[plan][0]} {CLASSES[kind][0]}"] = counter["good"] / max(
                    1, counter["asked"]
                )
            out[name].append({"times": times, "good": [x.good for x in rounds], "shares": shares})
            out[name][-1] |= {
                "counts": dict(r.tally["counts"]),
                "p99": percentile(r.tally["times"], 0.99),
            }
            if r.extra["log"]:
                console.print(r.extra["log"][-300:])
    console.print(table)
    for name in trees:
        shares = Table(title=f"{name}: share served in time, by plan and class")
        shares.add_column("times")
        for key in out[name][0]["shares"]:
            shares.add_column(key, justify="right")
        for line in out[name]:
            shares.add_row(f"{line['times']}", *(f"{v:.2f}" for v in line["shares"].values()))
        console.print(shares)
    if options.plot:
        plot(out, options)
    return out


def plot(out: dict, options: argparse.Namespace) -> None:
    """Plot goodput against load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name, lines in out.items():
        x = [line["times"] * options.core for line in lines]
        axes.plot(x, [statistics.median(line["good"]) for line in lines], marker="o", label=name)
    axes.set(
        xlabel="offered, requests a second",
        ylabel="served in time, requests a second",
        xscale="log",
    )
    axes.set_ylim(bottom=0)
    axes.set_xticks([times * options.core for times in options.times])
    axes.xaxis.set_major_formatter("{x:,.0f}")
    axes.xaxis.set_minor_formatter("")
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(options.plot, dpi=110)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("cost", "goodput"))
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rates", type=int, nargs="+", default=[300, 1500, 3000])
    parser.add_argument("--times", type=float, nargs="+", default=[0.5, 1, 2, 4, 10])
    parser.add_argument(
        "--core", type=float, default=3000.0, help="requests a second that one core serves"
    )
    parser.add_argument(
        "--heavy", type=float, default=0.0, help="share of one customer in all requests"
    )
    parser.add_argument(
        "--steal",
        type=float,
        default=0.0,
        help="share of time for which another process occupies the core",
    )
    parser.add_argument(
        "--sndbuf",
        type=int,
        default=0,
        help="bytes of the clients' send buffers; 0: system default",
    )
    parser.add_argument("--against", help="another checkout to compare with")
    parser.add_argument("--plot", help="file for the plot of goodput")
    parser.add_argument("--json", help="file for the results")
    options = parser.parse_args()
    if (os.cpu_count() or 1) < 3 + CLIENT_PROCESSES:
        raise SystemExit(f"this benchmark needs at least {3 + CLIENT_PROCESSES} cores")
    found = {"cost": cost, "goodput": goodput}[options.what](options)
    if options.json:
        Path(options.json).write_text(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
