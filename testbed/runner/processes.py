"""Real gateways as processes, by the ``run`` line of the deploy file, and the signals that break them."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import random
import shlex
import signal
import socket
import sys
import tomllib
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..checker.record import GatewayEvent, Log, Starved
from ..net.relay import LOCAL, text_of

ROOT = Path(__file__).parent.parent.parent
READY_WITHIN = 20.0
EXIT_WITHIN = 5.0  # seconds after SIGTERM until SIGKILL
LOOK = 0.1  # seconds between two looks at how long gateways waited for a core
STARVED = 20_000  # us of waiting within one look that are noted
PORTS = range(15_000, 32_000)  # below those that the kernel gives to outgoing connections
PART = 100  # of them that one process looks in first
_given: deque[int] = deque(maxlen=PART // 2)
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def run_line() -> str:
    """The ``run`` line of the deploy file, with the interpreter that runs the stand-ins."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return line.replace(".venv/bin/python", shlex.quote(sys.executable), 1)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that nobody holds, outside the range from which outgoing connections take theirs."""
    # Runs beside each other look in parts of their own: a port is free only until somebody else takes it.
    parts = len(PORTS) // PART
    own = PORTS[os.getpid() % parts * PART :][:PART]
    for turn in range(500):
        port = random.SystemRandom().choice(own if turn < 100 else PORTS)
        if port in _given:  # by us, to a gateway that has not bound it yet
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                continue
            _given.append(port)
            return port
    raise OSError("no free port was found")


def die_with_parent() -> None:
    """Guards the machine: a gateway ends when the stand-ins do, however they end."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class GatewayProcess:
    """One gateway: its files, its process, its lives."""

    def __init__(
        self, number: int, folder: Path, clock: Callable[[], int], log: Log, run: str
    ) -> None:
        self.number, self.folder, self.clock, self.log, self.run = number, folder, clock, log, run
        self.listen = (LOCAL, free_port())
        self.peer_listen = (LOCAL, free_port(socket.SOCK_DGRAM))
        self.process: asyncio.subprocess.Process | None = None
        self.config: dict[str, Any] = {}
        self.path = folder / f"n{number}.json"
        self.variables: dict[str, str] = {}  # more of its environment
        self.follower: asyncio.Task | None = None
        self.ready = self.ending = False
        self.lives = 0
        self.waited = -1

    def write(self, config: dict[str, Any]) -> None:
        """Its configuration file, whole or not at all."""
        self.config = config
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(config))
        part.replace(self.path)

    async def start(self, told: Callable[[], None]) -> None:
        """Start a life and wait until it answers PING; ``told`` notes the list that it is given."""
        variables = {
            "LB_NAME": f"n{self.number}",
            "LB_LISTEN": text_of(self.listen),
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.path),
            "TMPDIR": str(self.folder),
            **self.variables,
        }
        self.lives += 1
        self.ready = self.ending = False
        self.waited = -1
        self.log.add(GatewayEvent(self.clock(), self.number, "start", f"life {self.lives}"))
        told()
        with (self.folder / f"n{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", self.run),
                cwd=ROOT,
                env={k: v for k, v in os.environ.items() if not k.startswith("SAFFRONGW")}
                | variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        process = self.process
        self.follower = asyncio.get_running_loop().create_task(self._follow(process))
        async with asyncio.timeout(READY_WITHIN):
            while not await self._pongs():
                if process.returncode is not None:
                    raise RuntimeError(
                        f"gateway n{self.number} ended with {process.returncode}: {self.tail()}"
                    )
                await asyncio.sleep(0.02)
        self.ready = True
        self.log.add(GatewayEvent(self.clock(), self.number, "ready"))

    async def _pongs(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            async with asyncio.timeout(1):
                return await reader.readline() == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def tail(self) -> str:
        """The last line of its log."""
        text = (self.folder / f"n{self.number}.log").read_text(errors="replace").strip()
        return text.splitlines()[-1][:300] if text else "no log"

    def signal(self, number: signal.Signals, what: str) -> None:
        """Send a signal; noted before it is sent."""
        if self.process and self.process.returncode is None:
            self.log.add(GatewayEvent(self.clock(), self.number, what))
            self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL."""
        self.ready, self.ending = False, True
        self.signal(signal.SIGKILL, "kill")
        await self.process.wait()
        self.log.add(GatewayEvent(self.clock(), self.number, "exit", str(self.process.returncode)))

    async def terminate(self) -> None:
        """SIGTERM, and SIGKILL where that does not end it in time."""
        if not self.process or self.process.returncode is not None:
            return
        self.ready, self.ending = False, True
        self.signal(signal.SIGTERM, "term")
        try:
            async with asyncio.timeout(EXIT_WITHIN):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL, "kill")
            await self.process.wait()
        self.log.add(GatewayEvent(self.clock(), self.number, "exit", str(self.process.returncode)))

    def look(self) -> None:
        """Note how long it waited for a core since the last look; nothing where the kernel does not tell."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        try:
            waited = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[1]) // 1000
        except (OSError, ValueError, IndexError):
            return
        now = self.clock()
        if self.waited >= 0 and (delay := waited - self.waited) >= STARVED:
            self.log.add(Starved(now - int(LOOK * 1e6) - 20_000, now, self.number, delay))
        self.waited = waited

    async def _follow(self, process: asyncio.subprocess.Process) -> None:
        """Note the end of a life that nobody ended."""
        code = await process.wait()
        if process is self.process and not self.ending:
            self.ready = False
            detail = f"crashed with {code}: {self.tail()}"
            self.log.add(GatewayEvent(self.clock(), self.number, "exit", detail))


async def watch(gateways: list[GatewayProcess]) -> None:
    """Look at all gateways for as long as the run lasts."""
    while True:
        for gateway in gateways:
            gateway.look()
        await asyncio.sleep(LOOK)
