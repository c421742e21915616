"""Cost of leases for requests: latency and CPU time of one gateway, in three configurations.

Run by hand: ``python -m benchmarks.lease_cost``. Real gateways with the same arrivals; rounds are
interleaved, and ratios are taken within one run. Off: without leases. Silent: the voters' addresses
accept datagrams but never answer. Holder: the gateway is the only voter, holds all 16 leases and
runs 50 tasks, each every 5 s.
"""

from __future__ import annotations

import argparse
import os
import secrets
import socket
import statistics
import tempfile
from pathlib import Path

import uvloop

from benchmarks.ledger_cost import SCENARIO
from testbed.checker.record import Answered, Sent
from testbed.runner.lease_world import Receiver
from testbed.runner.processes import free_port
from testbed.runner.world import World

KINDS = ("off", "silent", "holder")


def operator_file(kind: str, folder: Path, receiver: str, silent: list[socket.socket]) -> str:
    """Return the text of the operator file of one round."""
    if kind == "off":
        return ""
    key = folder / "key"
    key.write_text(secrets.token_hex(32))
    key.chmod(0o600)
    own = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
    voters = [("n0", own)]
    if kind == "silent":
        voters = [(f"v{n}", f"127.0.0.1:{sock.getsockname()[1]}") for n, sock in enumerate(silent)]
    text = f'[channel]\nname = "n0"\nlisten = "{own}"\nkeys = ["{key}"]\n[leases]\n'
    text += "".join(f'[[leases.voter]]\nname = "{name}"\naddress = "{at}"\n' for name, at in voters)
    for n in range(50):
        text += f'[[leases.task]]\nname = "t{n}"\nevery_s = 5\nneeds_s = 1\ncall = "http://{receiver}/t"\n'
    return text


async def measure_round(folder: Path, kind: str) -> tuple[list[float], float]:
    """Run one round; return sorted latencies (ms) and the gateway's CPU s per 1,000 answers."""
    folder.mkdir()
    silent = []
    for _ in range(3):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        silent.append(sock)
    receiver = Receiver(lambda: 0, "cost")
    world = World(
        SCENARIO, folder, operator=operator_file(kind, folder, await receiver.open(), silent)
    )
    try:
        log = await world.run()
        process = world.gateways[0].process
        if process is None:
            raise RuntimeError("the gateway has not started")
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        core = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    finally:
        await world.close()
        receiver.close()
        for sock in silent:
            sock.close()
    sent = {s.request: s.at for s in log.of(Sent)}
    answers = list(log.of(Answered))
    times = sorted((a.at - sent[a.request]) / 1000 for a in answers if a.kind == "served")
    return times, core / len(answers) * 1000


def main() -> None:
    """Print the table and the ratios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    found: dict[str, list[tuple[float, float, float]]] = {kind: [] for kind in KINDS}
    with tempfile.TemporaryDirectory() as name:
        print(
            f"{'round':<7}{'leases':<9}{'served':>8}{'p50 ms':>9}{'p99 ms':>9}"
            f"{'core s / 1,000':>16}"
        )
        for number in range(options.rounds):
            for kind in KINDS:
                times, core = uvloop.run(measure_round(Path(name) / f"{number}-{kind}", kind))
                p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
                found[kind].append((p50, p99, core))
                print(
                    f"{number + 1:<7}{kind:<9}{len(times):>8}{p50:>9.2f}{p99:>9.2f}{core:>16.3f}",
                    flush=True,
                )
    for kind in KINDS[1:]:
        for column, what in enumerate(("p50", "p99", "core time")):
            ratios = [
                cost[column] / off[column]
                for cost, off in zip(found[kind], found["off"], strict=True)
            ]
            print(f"median of {kind}/off, {what}: {statistics.median(ratios):.2f}")


if __name__ == "__main__":
    main()
