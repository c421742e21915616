"""Gateway processes at one address, for tests that start a new version beside the running one."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import ClassVar

import hiredis
from async_testing import until
from client_rig import Caller
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE
from program_rig import configured

from saffrongw.gateway.hot_restart.channel import short_address
from testbed.runner.processes import die_with_parent, free_port

START_TIMEOUT_S = 20
END_TIMEOUT_S = 20


class GatewayProcess:
    """One gateway process, and calls to its admin API."""

    # Arguments of the Python interpreter; replaced to run a gateway with a planted fault.
    COMMAND: ClassVar[tuple[str, ...]] = ("-m", "saffrongw")
    # All started processes, so that a test that is expected to fail can end those that it leaves.
    started: ClassVar[list[GatewayProcess]] = []

    def __init__(self, process: asyncio.subprocess.Process, admin_port: int) -> None:
        """Wrap a process that has just been started."""
        self.process = process
        self.admin_port = admin_port

    @classmethod
    async def start(cls, folder: Path, file: Path) -> GatewayProcess:
        """Start one with ``folder`` as its ``$TMPDIR``, and wait until it can serve."""
        admin_port = free_port()
        environment = os.environ | {
            "LB_CONFIG": str(file),
            "LB_ADMIN": f"127.0.0.1:{admin_port}",
            "TMPDIR": str(folder),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, *cls.COMMAND, env=environment, preexec_fn=die_with_parent
        )
        gateway = cls(process, admin_port)
        cls.started.append(gateway)
        await gateway.wait_healthy()
        return gateway

    async def call(self, method: str, path: str, body: str = "") -> tuple[int, bytes]:
        """The status and the whole answer of one admin request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        head = f"{method} /admin/{path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        answer = await reader.read()
        writer.close()
        return int(answer.split()[1]), answer

    async def wait_healthy(self) -> None:
        """Wait until it can serve."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if (await self.call("GET", "health"))[0] == 200:
                        return
                except (OSError, IndexError):
                    pass
                await asyncio.sleep(0.02)

    async def wait_metric(self, line: str) -> None:
        """Wait until the stats contain this line."""
        async with asyncio.timeout(10):
            while f"svc.{line}\n".encode() not in (await self.call("GET", "stats"))[1]:
                await asyncio.sleep(0.01)

    async def wait_ready_read(self) -> None:
        """Wait until it has read what a successor has sent so far.

        It answers a call in a later iteration of its event loop than it reads a packet that arrived before.
        """
        for _ in range(3):
            await self.call("GET", "health")

    async def wait_end(self) -> int:
        """The exit status, once it has ended."""
        return await asyncio.wait_for(self.process.wait(), END_TIMEOUT_S)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        """The exit status after a signal."""
        self.process.send_signal(number)
        return await self.wait_end()

    def open_unix_sockets(self) -> int:
        """How many Unix sockets it holds that are bound, or connected to one that is."""
        lines = Path("/proc/net/unix").read_text().splitlines()[1:]
        inodes = {f"socket:[{line.split()[6]}]" for line in lines}
        return sum(target in inodes for target in self._open_files())

    def has_connection(self, caller: Caller) -> bool:
        """Whether it still has a client's connection."""
        here = caller.transport.get_extra_info("sockname")[1]
        there = caller.transport.get_extra_info("peername")[1]
        inodes = set()
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            words = line.split()
            ports = [int(words[column].split(":")[1], 16) for column in (1, 2)]
            if ports == [there, here]:
                inodes.add(f"socket:[{words[9]}]")
        try:
            return any(target in inodes for target in self._open_files())
        except OSError:
            return False

    def _open_files(self) -> list[str]:
        folder = Path(f"/proc/{self.process.pid}/fd")
        return [str(fd.readlink()) for fd in folder.iterdir()]


class SharedSite:
    """A gateway address with its endpoints, and the folder shared by all processes that serve the address."""

    def __init__(
        self, folder: Path, *endpoints: FakeEndpoint, sockets: int = 128, **changes: object
    ) -> None:
        """``changes`` override settings; a single endpoint is listed under six names."""
        self.folder = folder
        if len(endpoints) == 1:
            lines = [endpoints[0].line(host=name) for name in "abcdef"]
        else:
            lines = [endpoint.line() for endpoint in endpoints]
        known = {"seq": 1, "whole": True, "hosts": lines}
        settings = SITE | changes
        permissions = changes.get("permissions", {})
        settings["permissions"] = SITE["permissions"] | {"peers": False} | permissions
        limits = {"sockets": sockets}
        self.file, self.port = configured(folder, known=known, settings=settings, limits=limits)

    async def gateway(self) -> GatewayProcess:
        """One more process at the address."""
        return await GatewayProcess.start(self.folder, self.file)

    async def caller(self) -> Caller:
        """A client's connection to the address."""
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(Caller, "127.0.0.1", self.port))[1]

    @property
    def socket_path(self) -> Path:
        """The socket on which the running process accepts successors."""
        return self.folder / f"saffrongw-127.0.0.1-{self.port}.sock"

    def connect(self) -> socket.socket:
        """A connection to the running process, as a successor opens it."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with short_address(self.socket_path) as address:
            sock.connect(address)
        sock.settimeout(20)
        return sock


class FakeSuccessor:
    """A successor simulated by the test up to the point of its failure."""

    def __init__(self, site: SharedSite) -> None:
        """Connect and announce readiness."""
        self.sock = site.connect()
        self.sock.send(b'["ready"]')

    def receive_until(self, last_kind: str) -> list[str]:
        """The kinds of the received messages up to ``last_kind``; received descriptors are closed."""
        return receive_kinds(self.sock, last_kind)

    def receive(self) -> list[object]:
        """The next message, which carries no descriptors."""
        return json.loads(self.sock.recv(65536))


def receive_kinds(sock: socket.socket, last_kind: str) -> list[str]:
    """The kinds of the received messages up to ``last_kind``; received descriptors are closed."""
    kinds: list[str] = []
    while last_kind not in kinds:
        packet, fds, _, _ = socket.recv_fds(sock, 65536, 4)
        for fd in fds:
            os.close(fd)
        kinds.append(json.loads(packet)[0])
    return kinds


def hold_slow_requests(host: FakeEndpoint) -> list:
    """Have an endpoint answer requests with their ids, except ``slow``; its connections are returned in a list."""
    held = []

    def script(command: list[bytes]) -> bytes | None:
        if command[2] != b"slow":
            return value(command[2])
        held.append(host.peer)
        return None

    host.script = script
    return held


def bill_command(number: bytes, body: bytes) -> bytes:
    """The wire form of a request of a class that must not run twice."""
    terms = b"c=bill,t=team,d=9000,units=1,spread=2,first=0"
    words: tuple = (b"CALL.POST", b"0000000000000007", number, terms, body)
    return hiredis.pack_command(words)


async def answer_of(caller: Caller, number: bytes) -> bytes:
    """The answer to a new request on a connection without open requests."""
    count = len(caller.replies)
    caller.call(number=number)
    return (await caller.replied(count + 1))[count]


class RequestLoop:
    """Sends requests one after another, each on a new connection, and keeps the failures."""

    def __init__(self, site: SharedSite) -> None:
        """Start sending."""
        self.site = site
        self.refused: list[object] = []
        self.sent = 0
        self._stop = asyncio.Event()
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Finish the open request and stop."""
        self._stop.set()
        await self._task

    async def _run(self) -> None:
        while not self._stop.is_set():
            self.sent += 1
            number = b"k%d" % self.sent
            try:
                caller = await self.site.caller()
            except OSError as error:
                self.refused.append(error)
                continue
            caller.call(number=number)
            await until(lambda caller=caller: caller.replies or caller.closed)
            if caller.replies != [number]:
                self.refused.append(caller.replies)
            caller.transport.close()
