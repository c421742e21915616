"""Helper processes of the benchmark: simulated hosts, open-loop clients and a plain byte forwarder.

``python -m benchmarks.overload.ends hosts|clients|forwarder JSON``; each prints a JSON line when it is ready, and the
clients another with their results. The rig kills them; hosts and the forwarder also exit on their own after a time
limit.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from collections import deque

import hiredis
import uvloop

from .load import LoadShape, ScheduledRequest, Tally, arrivals

MAX_LIFETIME_S = 600.0  # An orphaned process exits after this time.
TICK_S = 0.001  # Interval at which clients send the requests that are due.


# -- hosts ----------------------------------------------------------------------------------------------------


class HostConnection(asyncio.Protocol):
    """Host connection that answers each command in order after the host's delay."""

    def __init__(self, host: Host) -> None:
        self.host, self.reader = host, hiredis.Reader()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        number = 0
        while self.reader.gets() is not False:
            number += 1
        if number:
            self.host.loop.call_later(self.host.delay(), self._answer, number)

    def _answer(self, number: int) -> None:
        if not self.transport.is_closing():
            self.transport.write(self.host.reply * number)


class Host:
    """A simulated host; ``slow`` is (from s, until s, delay ms): a period with another delay, from its start on."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, delay: float, slow: tuple[float, float, float]
    ) -> None:
        self.loop, self.usual, self.slow, self.began = loop, delay, slow, loop.time()
        report = b"util=0.2,latency_ms=5,inflight=1"
        self.reply = b"*3\r\n$2\r\nok\r\n$-1\r\n$%d\r\n%b\r\n" % (len(report), report)

    def delay(self) -> float:
        """Return the current answer delay in seconds."""
        at = self.loop.time() - self.began
        return self.slow[2] / 1000 if self.slow[0] <= at < self.slow[1] else self.usual


async def hosts(options: dict) -> None:
    """Run ``count`` hosts, each on its own port."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(options["count"]):
        host = Host(loop, options["delay_ms"] / 1000, tuple(options.get("slow", (0, 0, 0))))
        server = await loop.create_server(
            lambda host=host: HostConnection(host), "127.0.0.1", 0, backlog=1024
        )
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps({"ports": ports}), flush=True)
    await asyncio.sleep(MAX_LIFETIME_S)


# -- forwarder ------------------------------------------------------------------------------------------------


class Pipe(asyncio.Protocol):
    """One side of a forwarded connection."""

    def __init__(self, other: Pipe | None = None, target: tuple[str, int] | None = None) -> None:
        self.other, self.target, self.held = other, target, []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if self.target:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(loop.create_connection(lambda: Pipe(self), *self.target))
        else:
            self.other.other = self
            transport.writelines(self.other.held)

    def data_received(self, data: bytes) -> None:
        if self.other:
            self.other.transport.write(data)
        else:
            self.held.append(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.other and self.other.transport:
            self.other.transport.close()


async def forwarder(options: dict) -> None:
    """Forward bytes between each client connection and its own host connection."""
    loop, turn = asyncio.get_running_loop(), 0

    def pipe() -> Pipe:
        nonlocal turn
        turn += 1
        return Pipe(target=("127.0.0.1", options["ports"][turn % len(options["ports"])]))

    server = await loop.create_server(pipe, "127.0.0.1", 0, backlog=1024)
    print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
    await asyncio.sleep(MAX_LIFETIME_S)


# -- clients --------------------------------------------------------------------------------------------------


class ClientConnection(asyncio.Protocol):
    """A pipelining connection: answers arrive in the order of the requests."""

    def __init__(self, side: Clients) -> None:
        self.side, self.reader = side, hiredis.Reader()
        self.asked: deque[ScheduledRequest] = deque()
        self.out: list[bytes] = []
        self.writing = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.writing = False

    def resume_writing(self) -> None:
        self.writing = True

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        now = time.monotonic()
        while (reply := self.reader.gets()) is not False:
            due = self.asked.popleft()
            what = "served"
            if isinstance(reply, hiredis.ReplyError):
                what = "refused" if str(reply).startswith("BUSY") else "failed"
                # Overload rejections carry a retry time; rejections for lack of a host, with free quotas, carry none.
                self.side.tally.counts["told when"] += str(reply).startswith("BUSY ")
            self.side.ended(due, what, now)


class Clients:
    """All connections of one client process, and the outcomes of their requests."""

    def __init__(self, options: dict, dues: list[ScheduledRequest]) -> None:
        self.options, self.dues, self.tally, self.open = options, dues, Tally(), 0
        self.began = options["began"]

    def ended(self, due: ScheduledRequest, what: str, now: float) -> None:
        """Record the answer to a request."""
        self.open -= 1
        self.tally.add(due, what, 1000 * (now - self.began - due.at), self.options["wait"])

    async def run(self) -> None:
        """Send the requests that are due at each tick, then wait a limited time for the last answers."""
        loop = asyncio.get_running_loop()
        conns: list[ClientConnection] = []
        for _ in range(self.options["connections"]):
            sock = socket.socket()
            if self.options.get("sndbuf"):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.options["sndbuf"])
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", self.options["port"]))
            conns.append(
                (await loop.create_connection(lambda: ClientConnection(self), sock=sock))[1]
            )
        at, slip = 0, 0.0
        while at < len(self.dues):
            now = time.monotonic() - self.began
            while at < len(self.dues) and self.dues[at].at <= now:
                conn = conns[at % len(conns)]
                if conn.writing and not conn.transport.is_closing():
                    conn.out.append(self.dues[at].wire)
                    conn.asked.append(self.dues[at])
                    self.open += 1
                else:  # The send buffer is full: the gateway has not read this request.
                    self.tally.add(self.dues[at], "held")
                slip = max(slip, now - self.dues[at].at)
                at += 1
            for conn in conns:
                if conn.out:
                    conn.transport.write(b"".join(conn.out))
                    conn.out.clear()
            await asyncio.sleep(TICK_S)
        end = time.monotonic() + self.options["after"]
        while self.open and time.monotonic() < end:
            await asyncio.sleep(0.01)
        for conn in conns:
            for due in conn.asked:
                self.tally.add(due, "unanswered")
            conn.transport.abort()
        print(json.dumps(self.tally.to_json() | {"slip_ms": 1000 * slip}), flush=True)


async def clients(options: dict) -> None:
    """Prepare the requests, report readiness, wait for the start time, then send."""
    shape = LoadShape(
        tuple(tuple(step) for step in options["steps"]),
        options["customers"],
        options["heavy"],
        options["wait"],
    )
    dues = arrivals(shape, options["part"], options["parts"], options["seed"])
    print(json.dumps({"ready": len(dues)}), flush=True)
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    await Clients(options | json.loads(line), dues).run()


def main() -> None:
    """Run the helper process named on the command line."""
    kind, options = sys.argv[1], json.loads(sys.argv[2])
    uvloop.run({"hosts": hosts, "clients": clients, "forwarder": forwarder}[kind](options))


if __name__ == "__main__":
    main()
