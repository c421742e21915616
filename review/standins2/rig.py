"""Stand-ins for a case of the review: discovery, hosts, clients, a task receiver, and gateways.

All addresses are loopback addresses. The stand-ins behave as the pages say, or, where the pages are
silent, like a sound server, client or platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOCAL = "127.0.0.1"
PORTS = range(15_000, 32_000)
HELD, BROKEN, NOT_RUN = 0, 1, 2
# How a connection to a stand-in may end.
ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
_handed_out: set[int] = set()


class CannotRunError(Exception):
    """The case can't run here; the message says why."""


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is not bound, outside the range for outgoing connections."""
    for _ in range(500):
        port = random.SystemRandom().choice(PORTS)
        if port in _handed_out:
            continue
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind((LOCAL, port))
            _handed_out.add(port)
            return port
    raise CannotRunError("no free port")


def is_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self) -> None:
        """Start the clock."""
        self.started_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():9.4f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


def settings(gateways: int, rank: int) -> dict[str, Any]:
    """Return the settings of one gateway of a small deployment like `shared-hosting`."""
    classes = [
        ("sheet-read", "repeatable", "all", 800_000, 2_000_000, 3.0),
        ("test-upload", "by_key", "cell", 1_200_000, 5_000_000, 3.0),
        ("report-issue", "once", "all", 800_000, 2_500_000, 5.0),
    ]
    plans = [("basico", 0.98, 5.0, 0.0, 0.0, 0.0, 1.2), ("amplio", 6.1, 8.0, 11.0, 15.0, 2.0, 1.6)]
    return {
        "balancers": gateways,
        "rank": rank,
        "tier": 0,
        "layers": ["matdb-nodes"],
        "kinds": ["std-2core"],
        "serviceType": "gate",
        "locality": 0,
        "resolution": 2000,
        "weightSource": "off",
        "discovery": "pushed",
        "zones": ["hall-a", "hall-b", "hall-c"],
        "callers": {"marksRetry": True},
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "classes": [
            {
                "name": name,
                "effect": effect,
                "group": group,
                "target": target,
                "deadline": deadline,
                "dedupWindow": 5_000_000,
                "credit": worth,
                "lateWorth": 0.0,
                "stream": False,
            }
            for name, effect, group, target, deadline, worth in classes
        ],
        "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "loadReport": {"how": "inline", "names": ["util", "latency_ms", "inflight"]},
        "packages": [
            {
                "name": name,
                "perSecond": rate,
                "peakUnits": burst,
                "hardRate": hard_rate,
                "capDepth": depth,
                "capSlack": slack,
                "pays": pays,
                "open": 0,
                "beyondEarns": 0.0,
                "overrunCost": 1.0,
            }
            for name, rate, burst, hard_rate, depth, slack, pays in plans
        ],
        "permissions": {
            "cancel": True,
            "connectTimeout": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "idleClose": 30_000_000,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "openCap": 20_000,
            "peers": gateways > 1,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 32,
        },
        "rules": {
            "answerSlack": 8_000,
            "askWithin": 10_000_000,
            "coldFrom": 0.23,
            "drainGrace": 1_000_000,
            "fallMultiple": 3.0,
            "overloadFor": 3_000_000,
            "warmWithin": 18_000_000,
        },
    }


# -- hosts -----------------------------------------------------------------------------------------


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one RESP2 command; raises ``IncompleteReadError`` at the end of the connection."""
    head = await reader.readuntil(b"\r\n")
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def pack(*words: str) -> bytes:
    """Encode one RESP2 command."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        raw = word.encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(raw), raw))
    return b"".join(parts)


class Host:
    """A host: begins a command when its last byte has come, and answers after ``delay_s``."""

    def __init__(self, name: str, record: Record, zone: str = "hall-a", block: int = 1) -> None:
        """Prepare; ``open`` listens."""
        self.name, self.record, self.zone, self.block = name, record, zone, block
        self.born_ms = 0
        self.delay_s: Callable[[list[bytes]], float] = lambda _command: 0.05
        # The least size of a value in bytes; a short one is filled up.
        self.value_bytes = 0
        # By request id, how often it has begun.
        self.runs: dict[str, int] = {}
        # What came that is no command, which no client sent in this form.
        self.unreadable: list[str] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, LOCAL, free_port())
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def line(self, health: str = "SERVING") -> dict[str, Any]:
        """Return its line in discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "class": "std-2core",
            "block": self.block,
            "health": health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer), contextlib.suppress(*ENDS):
            try:
                while True:
                    writer.write(await self._answer(await read_array(reader)))
                    await writer.drain()
            except ValueError as error:
                self.unreadable.append(str(error))
                self.record.add(f"host {self.name} gets what is no command: {error}")
                writer.write(b"-SYNTAX\r\n")

    async def _answer(self, command: list[bytes]) -> bytes:
        if command[0] == b"PING":
            return b"+PONG\r\n"
        if not command[0].startswith(b"CALL."):
            return b"-ERR unknown\r\n"
        request = command[2].decode()
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.add(f"host {self.name} runs {request} {command[3].decode()}")
        await asyncio.sleep(self.delay_s(command))
        value = f"value of {request} ".encode().ljust(self.value_bytes, b"x")
        report = b"util=0.30,latency_ms=50,inflight=1"
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


class Discovery:
    """The agent of discovery: answers the whole list, changes since a version, and watches."""

    def __init__(self, hosts: list[Host]) -> None:
        """Prepare with these hosts."""
        self.hosts = hosts
        self.address = ""
        self.seq = 1
        # The lines by host, and the version in which each was last changed.
        self.lines: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Condition()

    async def open(self) -> None:
        """Listen."""
        for host in self.hosts:
            self.lines[host.name] = host.line()
            self.changed_at[host.name] = 1
        server = await asyncio.start_server(self._serve, LOCAL, free_port())
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def publish(self, *lines: dict[str, Any]) -> None:
        """Change or add hosts in one version, and tell it to every watch."""
        self.seq += 1
        for line in lines:
            self.lines[line["host"]] = line
            self.changed_at[line["host"]] = self.seq
        async with self.news:
            self.news.notify_all()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [line for line in self.lines.values() if line["health"] != "DELETED"]
        return {"seq": self.seq, "whole": True, "hosts": listed}

    async def _answer(self, target: str) -> dict[str, Any]:
        if "index=" not in target:
            return self.whole()
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
        index, wait_s = int(query["index"]), int(query.get("wait", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.news:
                await self.news.wait_for(lambda: self.seq > index)
        changed = [line for name, line in self.lines.items() if self.changed_at[name] > index]
        return {"seq": self.seq, "whole": False, "hosts": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer), contextlib.suppress(*ENDS):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                body = json.dumps(await self._answer(head.split(" ")[1])).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()


# -- clients ---------------------------------------------------------------------------------------


def request_id() -> str:
    """Return a new request id."""
    return secrets.token_hex(8)


def call(class_name: str, deadline_ms: int, request: str, customer: int = 7) -> bytes:
    """Encode a request of a class."""
    name = "CALL.GET" if class_name == "sheet-read" else "CALL.POST"
    key = f"k={secrets.token_hex(8)}," if class_name == "test-upload" else ""
    terms = f"c={class_name},t=amplio,d={deadline_ms},{key}units=1,spread=3,first=0"
    body = () if name == "CALL.GET" else ("BODY",)
    return pack(name, f"{customer:016x}", request, terms, *body)


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one reply to a client; empty where the connection ended before it."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n")
        if head[:1] != b"$":
            return head.strip()
        return (await reader.readexactly(int(head[1:]) + 2))[:-2]
    return b""


async def ask(address: str, data: bytes, within_s: float) -> bytes:
    """Send one command on a connection of its own; return the reply, empty if there was none."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                return await read_reply(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return b""


async def http(address: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Make one call to an operators' address; return status and body, 0 where there was none."""
    host, _, port = address.rpartition(":")
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode() + body)
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    first, _, text = answer.partition(b"\r\n\r\n")
    return (int(first.split(b" ")[1]), text) if first else (0, b"")


# -- task receivers --------------------------------------------------------------------------------


@dataclass
class TaskCall:
    """One call of a task as its receiver got it."""

    at_s: float
    task: str
    turn: int
    token: int
    holder: str
    accepted: bool


class Receiver:
    """Keeps the highest fencing token of each task, and rejects a lower one with 409."""

    def __init__(self, record: Record) -> None:
        """Prepare; ``open`` listens."""
        self.record = record
        self.highest: dict[str, int] = {}
        self.calls: list[TaskCall] = []
        self.address = ""

    async def open(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, LOCAL, free_port())
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer), contextlib.suppress(*ENDS):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = [line.partition(": ") for line in head.split("\r\n")[1:] if line]
            names = {name.lower(): value for name, _, value in lines}
            writer.write(self._answer(names))
            await writer.drain()

    def _answer(self, names: dict[str, str]) -> bytes:
        task, token, turn = names["task"], int(names["fencing-token"]), int(names["turn"])
        accepted = token >= self.highest.get(task, 0)
        self.highest[task] = max(token, self.highest.get(task, 0))
        one = TaskCall(self.record.now_s(), task, turn, token, names["holder"], accepted)
        self.calls.append(one)
        verdict = "accepted" if accepted else "rejected 409"
        self.record.add(f"task {task} turn {turn} token {token} by {one.holder}: {verdict}")
        status = "200 OK" if accepted else "409 Conflict"
        seen = f"Fencing-Token: {self.highest[task]}\r\n"
        return f"HTTP/1.1 {status}\r\n{seen}Content-Length: 0\r\nConnection: close\r\n\r\n".encode()


# -- gateways --------------------------------------------------------------------------------------


@dataclass(eq=False)
class Gateway:
    """One gateway: its addresses, its files, and the processes that were started for it."""

    number: int
    folder: Path
    record: Record
    listen: str
    admin: str
    peer_listen: str
    operator: str = ""
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    config: dict[str, Any] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return its name."""
        return f"n{self.number}"

    @property
    def process(self) -> asyncio.subprocess.Process:
        """Return the process that was started last."""
        return self.processes[-1]

    async def start(self, admin: str = "") -> asyncio.subprocess.Process:
        """Start a process by the run line of the deploy file."""
        home = self.folder / f"tmp-{self.name}"
        home.mkdir(exist_ok=True)
        path = self.folder / f"{self.name}-{len(self.processes)}.json"
        path.write_text(json.dumps({**self.config, "admin": admin or self.admin}))
        variables = {
            "LB_NAME": self.name,
            "LB_LISTEN": self.listen,
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(home),
        }
        if self.operator:
            variables["SAFFRONGW_OPERATOR"] = self.operator
        base = {k: v for k, v in os.environ.items() if not k.startswith(("SAFFRONGW", "LB_"))}
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.record.add(f"{self.name} start of process {len(self.processes)}")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", run),
                cwd=ROOT,
                env=base | variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Send a signal to a process that this test started."""
        if process.returncode is None:
            index = self.processes.index(process)
            self.record.add(f"{self.name} process {index} gets {number.name}")
            process.send_signal(number)

    def log_tail(self) -> str:
        """Return the last lines of its log."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace")[-2_000:] if path.exists() else ""


async def is_ready(gateway: Gateway) -> bool:
    """Return whether a gateway answers PING as ready."""
    return await ask(gateway.listen, pack("PING"), 1) == b"+PONG"


async def is_healthy(admin: str) -> bool:
    """Return whether the process with this operators' address says yes."""
    return (await http(admin, "GET", "/admin/health"))[0] == 200


async def wait_until(what: str, within_s: float, check: Callable[[], Awaitable[bool]]) -> None:
    """Wait for a condition; raises ``CannotRunError`` if it does not come true in time."""
    try:
        async with asyncio.timeout(within_s):
            while not await check():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise CannotRunError(f"not in time: {what}") from None


class World:
    """All parts of one run."""

    def __init__(self, gateways: int, hosts: int = 3) -> None:
        """Prepare; ``open`` starts the stand-ins and ``start`` the gateways."""
        self.record = Record()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.hosts = [Host(f"s-{n:08x}", self.record) for n in range(1, hosts + 1)]
        self.discovery = Discovery(self.hosts)
        self.receiver = Receiver(self.record)
        self.gateways = [self._gateway(n) for n in range(gateways)]

    def _gateway(self, number: int) -> Gateway:
        addresses = [f"{LOCAL}:{free_port()}" for _ in range(2)]
        peer = f"{LOCAL}:{free_port(socket.SOCK_DGRAM)}"
        return Gateway(number, self.folder, self.record, *addresses, peer)

    async def open(self) -> None:
        """Start the stand-ins and write the configurations."""
        for host in self.hosts:
            await host.open()
        await self.discovery.open()
        await self.receiver.open()
        for gateway in self.gateways:
            gateway.config = {
                "name": gateway.name,
                "listen": gateway.listen,
                "discovery": self.discovery.address,
                "seed": secrets.token_hex(8),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": gateway.peer_listen,
                "peers": [one.peer_listen for one in self.gateways],
                "known": self.discovery.whole(),
                "settings": settings(len(self.gateways), gateway.number),
            }

    def write_operator(self, gateway: Gateway, text: str) -> None:
        """Give a gateway an operator file."""
        path = self.folder / f"{gateway.name}.toml"
        path.write_text(text)
        gateway.operator = str(path)

    async def start(self) -> None:
        """Start all gateways and wait until they are ready."""
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await wait_until(f"{gateway.name} ready", 30, lambda one=gateway: is_ready(one))

    async def close(self) -> None:
        """End all processes that were started."""
        processes = [each for gateway in self.gateways for each in gateway.processes]
        for process in processes:
            if process.returncode is None:
                process.kill()
        for process in processes:
            await process.wait()

    def log_tails(self) -> None:
        """Add the ends of the gateways' logs to the record."""
        for gateway in self.gateways:
            for line in gateway.log_tail().splitlines()[-12:]:
                self.record.add(f"log {gateway.name}: {line}")


def run_case(folder: Path, world: World, play: Callable[[World], Awaitable[list[str]]]) -> None:
    """Play a case, write its record, and exit with its status."""

    async def whole() -> int:
        try:
            async with asyncio.timeout(110):
                await world.open()
                breaks = await play(world)
        except (CannotRunError, TimeoutError) as error:
            world.record.add(f"could not run: {error!r}")
            world.log_tails()
            return NOT_RUN
        finally:
            await world.close()
        for line in breaks:
            world.record.add(f"BROKEN: {line}")
        world.log_tails()
        return BROKEN if breaks else HELD

    status = asyncio.run(whole())
    world.record.add(f"exit {status} (trouble: {is_trouble()})")
    world.record.write(folder / "record.txt")
    broken = [line for line in world.record.lines if "BROKEN" in line or "could not" in line]
    print("\n".join(broken[:8]), f"\nexit {status}", sep="")
    sys.exit(status)
