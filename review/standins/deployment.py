"""The configuration of a small deployment, and its gateways as processes of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
LOCAL = "127.0.0.1"
READY_TIMEOUT_S = 30.0
# Below the range from which the kernel takes ports for outgoing connections.
PORTS = range(20_000, 32_000)

CLASSES = [
    {
        "name": "sheet-read",
        "effect": "repeatable",
        "group": "all",
        "target": 800_000,
        "deadline": 2_000_000,
        "dedupWindow": 5_000_000,
        "credit": 3.0,
        "lateWorth": 0.0,
    },
    {
        "name": "test-upload",
        "effect": "by_key",
        "group": "cell",
        "target": 1_200_000,
        "deadline": 5_000_000,
        "dedupWindow": 5_000_000,
        "credit": 3.0,
        "lateWorth": 0.2,
    },
    {
        "name": "report-issue",
        "effect": "once",
        "group": "all",
        "target": 800_000,
        "deadline": 2_500_000,
        "dedupWindow": 5_000_000,
        "credit": 5.0,
        "lateWorth": 0.0,
    },
]


def _plan(name: str, rate: float, burst: float, ceiling: float) -> dict[str, Any]:
    return {
        "name": name,
        "perSecond": rate,
        "peakUnits": burst,
        "open": 0,
        "pays": 1.4,
        "beyondEarns": 0.0,
        "overrunCost": 1.0,
        "hardRate": rate * ceiling,
        "capDepth": burst * ceiling,
        "capSlack": max(1.0, 0.1 * burst * ceiling) if ceiling else 0.0,
    }


def settings(rank: int, gateways: int) -> dict[str, Any]:
    """Return the settings of one gateway, with figures inside the ranges of the site file."""
    return {
        "balancers": gateways,
        "rank": rank,
        "locality": rank % 3,
        "discovery": "pushed",
        "zones": ["hall-a", "hall-b", "hall-c"],
        "kinds": ["std-2core"],
        "layers": ["matdb-nodes"],
        "tier": 0,
        "serviceType": "gate",
        "weightSource": "off",
        "resolution": 2000,
        "callers": {"marksRetry": True},
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "classes": CLASSES,
        "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
        "loadReport": {"how": "inline", "names": ["util", "latency_ms", "inflight"]},
        "packages": [_plan("basico", 1.0, 5.0, 0.0), _plan("amplio", 6.0, 12.0, 2.0)],
        "permissions": {
            "peers": True,
            "probes": True,
            "cancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "idleClose": 30_000_000,
            "connectTimeout": 250_000,
            "streamsPerConn": 32,
            "openCap": 20_000,
            "cpuUsPerS": 400_000,
            "cpuUsPerRequest": 0.0,
        },
        "rules": {
            "answerSlack": 8_000,
            "askWithin": 10_000_000,
            "coldFrom": 0.23,
            "warmWithin": 18_000_000,
            "fallMultiple": 3.0,
            "overloadFor": 3_000_000,
            "drainGrace": 1_000_000,
        },
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "locations": [],
    }


class Record:
    """The lines of ``record.txt``: what was sent, answered and run, with the time of each."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self.started_s = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> float:
        """Write one line; return its time."""
        at_s = self.now()
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()
        return at_s


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that nobody has bound."""
    start = int.from_bytes(os.urandom(2), "big") % len(PORTS)
    for offset in range(len(PORTS)):
        port = PORTS[(start + offset) % len(PORTS)]
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


class Gateway:
    """One gateway: its configuration and addresses, and the processes that ran as it."""

    def __init__(self, folder: Path, rank: int, record: Record) -> None:
        """Choose the addresses; ``configure`` writes the configuration."""
        self.name = f"n{rank}"
        self.rank = rank
        self.record = record
        self.folder = folder / self.name
        self.temporary = self.folder / "tmp"
        self.temporary.mkdir(parents=True)
        self.listen = (LOCAL, free_port())
        self.peer = (LOCAL, free_port(socket.SOCK_DGRAM))
        self.processes: list[asyncio.subprocess.Process] = []
        self.admins: list[tuple[str, int]] = []

    def configure(self, discovery: int, peers: list[str], known: dict[str, Any]) -> None:
        """Write the configuration file."""
        content = {
            "name": self.name,
            "listen": f"{LOCAL}:{self.listen[1]}",
            "discovery": f"{LOCAL}:{discovery}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{LOCAL}:{self.peer[1]}",
            "peers": peers,
            "known": known,
            "settings": settings(self.rank, len(peers)),
        }
        self.discovery = discovery
        self.file = self.folder / "config.json"
        self.file.write_text(json.dumps(content))

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process by the ``run`` line; each has an operators' address of its own."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        admin = (LOCAL, free_port())
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": f"{LOCAL}:{self.listen[1]}",
            "LB_DISCOVERY": f"{LOCAL}:{self.discovery}",
            "LB_CONFIG": str(self.file),
            "LB_ADMIN": f"{LOCAL}:{admin[1]}",
            "TMPDIR": str(self.temporary),
        }
        with (self.folder / "log.txt").open("a") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.admins.append(admin)
        self.record.add(f"{self.name}: process {process.pid} started")
        return process

    async def ready(self) -> None:
        """Wait until the process that was started last says that it is healthy."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            try:
                if await self.call("GET", "health") == 200:
                    self.record.add(f"{self.name}: process {self.processes[-1].pid} is healthy")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not healthy in time")

    async def call(self, method: str, name: str, body: str = "") -> int:
        """Make one operators' call to the process that was started last; return its status."""
        reader, writer = await asyncio.open_connection(*self.admins[-1])
        head = f"{method} /admin/{name} HTTP/1.1\r\nHost: g\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        try:
            async with asyncio.timeout(2):
                answer = await reader.read()
        finally:
            writer.close()
        words = answer.split(b" ", 2)
        return int(words[1]) if len(words) > 1 else 0

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> float:
        """Send a signal to one of this gateway's processes, by its id."""
        if process.returncode is None:
            process.send_signal(number)
        return self.record.add(f"{self.name}: {number.name} to process {process.pid}")

    async def end(self) -> None:
        """End all processes that still run."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()


def new_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder that is removed at its end."""
    return tempfile.TemporaryDirectory(prefix="review-")
