"""Starts gateways as processes by the ``run`` line of the deploy file, signals them and watches how they end."""

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
READY_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 5.0  # after SIGTERM; then the gateway gets SIGKILL
CPU_WAIT_INTERVAL_S = 0.1  # between two readings of how long gateways waited for a core
MIN_CPU_WAIT_US = 20_000  # shorter waits within one interval are not recorded
PORTS = range(15_000, 32_000)  # below the kernel's range for outgoing connections
PORTS_PER_PROCESS = 100  # a process first tries its own part of PORTS
_recent_ports: deque[int] = deque(maxlen=PORTS_PER_PROCESS // 2)
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def run_line() -> str:
    """The ``run`` line of the deploy file, with the interpreter of this process."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return line.replace(".venv/bin/python", shlex.quote(sys.executable), 1)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that is not bound, outside the range for outgoing connections."""
    # The port may be bound by others as soon as it is closed here: parallel runs therefore try different parts first.
    parts = len(PORTS) // PORTS_PER_PROCESS
    own = PORTS[os.getpid() % parts * PORTS_PER_PROCESS :][:PORTS_PER_PROCESS]
    for turn in range(500):
        port = random.SystemRandom().choice(own if turn < 100 else PORTS)
        if port in _recent_ports:  # returned before, and perhaps not bound yet
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                continue
            _recent_ports.append(port)
            return port
    raise OSError("no free port found in the range of PORTS")


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends, so that no gateway outlives a crashed testbed."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class GatewayProcess:
    """One gateway: its configuration and log files, and its process, which may be restarted."""

    def __init__(
        self, number: int, folder: Path, clock: Callable[[], int], log: Log, run: str
    ) -> None:
        self.number, self.folder, self.clock, self.log, self.run = number, folder, clock, log, run
        self.listen = (LOCAL, free_port())
        self.peer_listen = (LOCAL, free_port(socket.SOCK_DGRAM))
        self.process: asyncio.subprocess.Process | None = None
        self.config: dict[str, Any] = {}
        self.path = folder / f"n{number}.json"
        self.variables: dict[str, str] = {}  # additional environment variables
        self.exit_watcher: asyncio.Task | None = None
        self.ready = self.ending = False
        self.lives = 0
        self.last_cpu_wait_us = -1

    def write(self, config: dict[str, Any]) -> None:
        """Replace its configuration file atomically."""
        self.config = config
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(config))
        part.replace(self.path)

    async def start(self, on_start: Callable[[], None]) -> None:
        """Start the process and wait until it answers PING; ``on_start`` records the host list that it starts with."""
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
        self.last_cpu_wait_us = -1
        self.log.add(GatewayEvent(self.clock(), self.number, "start", f"life {self.lives}"))
        on_start()
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
        self.exit_watcher = asyncio.get_running_loop().create_task(self._record_crash(process))
        async with asyncio.timeout(READY_TIMEOUT_S):
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
        """Record a signal, then send it to the process if it runs."""
        if self.process and self.process.returncode is None:
            self.log.add(GatewayEvent(self.clock(), self.number, what))
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.ready, self.ending = False, True
        self.signal(signal.SIGKILL, "kill")
        await self.process.wait()
        self.log.add(GatewayEvent(self.clock(), self.number, "exit", str(self.process.returncode)))

    async def terminate(self) -> None:
        """End the process with SIGTERM, or with SIGKILL if it has not ended in time."""
        if not self.process or self.process.returncode is not None:
            return
        self.ready, self.ending = False, True
        self.signal(signal.SIGTERM, "term")
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL, "kill")
            await self.process.wait()
        self.log.add(GatewayEvent(self.clock(), self.number, "exit", str(self.process.returncode)))

    def record_cpu_wait(self) -> None:
        """Record how long it waited for a core since the last call, if the kernel provides this (schedstat)."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        try:
            cpu_wait_us = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[1]) // 1000
        except (OSError, ValueError, IndexError):
            return
        now = self.clock()
        if (
            self.last_cpu_wait_us >= 0
            and (delay := cpu_wait_us - self.last_cpu_wait_us) >= MIN_CPU_WAIT_US
        ):
            self.log.add(
                Starved(now - int(CPU_WAIT_INTERVAL_S * 1e6) - 20_000, now, self.number, delay)
            )
        self.last_cpu_wait_us = cpu_wait_us

    async def _record_crash(self, process: asyncio.subprocess.Process) -> None:
        """Record a crash: an end of the process that the testbed did not cause."""
        code = await process.wait()
        if process is self.process and not self.ending:
            self.ready = False
            detail = f"crashed with {code}: {self.tail()}"
            self.log.add(GatewayEvent(self.clock(), self.number, "exit", detail))


async def watch(gateways: list[GatewayProcess]) -> None:
    """Record the CPU waits of all gateways until cancelled."""
    while True:
        for gateway in gateways:
            gateway.record_cpu_wait()
        await asyncio.sleep(CPU_WAIT_INTERVAL_S)
