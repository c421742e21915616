"""The network as loopback relays with faults: TCP in front of hosts, UDP between gateways."""

from __future__ import annotations

import asyncio
import heapq
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

Address = tuple[str, int]
LOCAL = "127.0.0.1"
MAX_BUFFER_BYTES = 1 << 20  # queued for a side that does not read; a session beyond it is reset
MAX_ARRIVAL_RECORDS = 4096  # arrival times that a session keeps
BACKLOG_FILLERS = 4  # connections that fill a silent relay's backlog, so that others time out
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: closing sends RST


def text_of(address: Address) -> str:
    """Formats an address as ``HOST:PORT``."""
    return f"{address[0]}:{address[1]}"


def reset(transport: asyncio.Transport | None) -> None:
    """Ends a connection with RST, as the kernel does for a process that dies with unread data."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


@dataclass(slots=True)
class TcpFault:
    """How a relay misbehaves.

    refuse: open connections are reset and new ones refused. silent: no bytes pass and no connection is established;
    when the fault ends, open connections are reset. reset_before: both sides are reset after half of a request's
    bytes. reset_after: both sides are reset when the answer begins. throttle: each direction carries bytes_per_s.
    split: every byte is sent in a write of its own. delay: writes are delayed by ``delay`` seconds.
    chance: the share of connections that the fault affects (for reset_*: of messages).
    """

    mode: str
    chance: float = 1.0
    bytes_per_s: float = 20_000.0
    delay: float = 0.05


class _Side(asyncio.Protocol):
    """One of the two connections of a relayed session."""

    def __init__(self, session: Session, up: bool) -> None:
        self.session, self.up = session, up
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.session.connected(self)

    def data_received(self, data: bytes) -> None:
        self.session.received(self, data)

    def eof_received(self) -> bool:
        self.session.half_closed(self)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.session.lost(self, error)

    def pause_writing(self) -> None:
        self.session.other(self).set_reading_paused(True)

    def resume_writing(self) -> None:
        self.session.other(self).set_reading_paused(False)

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading from this side."""
        if self.transport and not self.transport.is_closing():
            (self.transport.pause_reading if paused else self.transport.resume_reading)()


class Session:
    """One relayed connection: ``up`` is the connecting side, ``down`` the target."""

    def __init__(self, relay: TcpRelay) -> None:
        self.relay, self.loop = relay, relay.loop
        self.up, self.down = _Side(self, True), _Side(self, False)
        self.unsent: list[bytes] = []  # received before the target was connected
        self.passed = 0  # bytes received from ``up``
        # (total bytes received from ``up``, time)
        self.chunks: deque[tuple[int, int]] = deque(maxlen=MAX_ARRIVAL_RECORDS)
        # Bytes delayed by throttle, split or delay; key True: from ``up``.
        self.queues: dict[bool, deque[bytes]] = {True: deque(), False: deque()}
        self.slow: dict[bool, asyncio.TimerHandle | None] = {True: None, False: None}
        self.fault: TcpFault | None = relay.fault if relay.draws_fault() else None
        self.answers = 0
        self.port = 0

    def other(self, side: _Side) -> _Side:
        """The opposite side."""
        return self.down if side.up else self.up

    def arrived_at(self, offset: int) -> int | None:
        """When the byte at this offset was received from ``up``, by the run's clock."""
        found = None
        for end, when in self.chunks:
            if offset < end:
                found = when
                break
        return found

    def connected(self, side: _Side) -> None:
        if side.up:
            self.relay.sessions.add(self)
            self.task = self.loop.create_task(self._connect())
            return
        self.port = side.transport.get_extra_info("sockname")[1]
        self.relay.by_port[self.port] = self
        unsent, self.unsent = self.unsent, []
        for data in unsent:
            self._forward(self.up, data)
        if self.up.transport is None or self.up.transport.is_closing():
            side.transport.close()

    async def _connect(self) -> None:
        target = self.relay.target()
        try:
            if target is None:
                raise OSError("no target")
            async with asyncio.timeout(5):
                await self.loop.create_connection(lambda: self.down, *target)
        except OSError:
            self.reset_both()

    def received(self, side: _Side, data: bytes) -> None:
        if side.up:
            self.passed += len(data)
            self.chunks.append((self.passed, self.relay.clock()))
            if self.down.transport is None:
                self.unsent.append(data)
                if sum(map(len, self.unsent)) > MAX_BUFFER_BYTES:
                    self.reset_both()
                return
        self._forward(side, data)

    def _forward(self, side: _Side, data: bytes) -> None:
        to = self.other(side).transport
        if to is None or to.is_closing():
            return
        fault = self.fault or (
            self.relay.fault if self.relay.fault and self.relay.fault.mode[:5] == "reset" else None
        )
        mode = fault.mode if fault else "open"
        if mode == "reset_before" and side.up and self.relay.random.random() < fault.chance:
            to.write(data[: max(0, len(data) // 2)])
            self.loop.call_soon(self.reset_both)
        elif mode == "reset_after" and not side.up and self.relay.random.random() < fault.chance:
            self.reset_both()
        elif mode in ("throttle", "split", "delay"):
            queue = self.queues[side.up]
            if mode == "split":
                queue.extend(data[i : i + 1] for i in range(len(data)))
            elif mode == "throttle":
                step = max(1, int(fault.bytes_per_s / 100))
                queue.extend(data[i : i + step] for i in range(0, len(data), step))
            else:
                queue.append(data)
            if sum(map(len, queue)) > MAX_BUFFER_BYTES:
                self.reset_both()
            elif self.slow[side.up] is None:
                self._plan(side)
        elif self.queues[side.up]:  # the fault is over: queued bytes are sent first
            self.queues[side.up].append(data)
        else:
            to.write(data)

    def _plan(self, side: _Side) -> None:
        fault = self.fault
        waits = {"delay": fault.delay, "throttle": 0.01} if fault else {}
        wait = waits.get(fault.mode, 0.0) if fault else 0.0
        self.slow[side.up] = self.loop.call_later(wait, self._send_queued, side)

    def _send_queued(self, side: _Side) -> None:
        self.slow[side.up] = None
        queue, to = self.queues[side.up], self.other(side).transport
        if to is None or to.is_closing():
            queue.clear()
            return
        if queue:
            to.write(queue.popleft())
        if queue:
            self._plan(side)

    def half_closed(self, side: _Side) -> None:
        """Closes the other side after one side has sent EOF; bytes already passed on are still sent."""
        to = self.other(side).transport
        if to is not None and not to.is_closing():
            to.close()

    def lost(self, side: _Side, error: Exception | None) -> None:
        to = self.other(side)
        if error is not None:
            reset(to.transport)
        elif to.transport is not None:
            to.transport.close()
        self.relay.by_port.pop(self.port, None)
        self.relay.sessions.discard(self)

    def reset_both(self) -> None:
        """Resets both connections of the session."""
        reset(self.up.transport)
        reset(self.down.transport)


class TcpRelay:
    """A loopback listener that forwards its connections to a target."""

    def __init__(
        self, clock: Callable[[], int], target: Callable[[], Address | None], seed: str
    ) -> None:
        self.clock, self.target, self.random = clock, target, random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.fault: TcpFault | None = None
        self.sessions: set[Session] = set()
        self.by_port: dict[int, Session] = {}
        self.backlog_fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()
        # Bound but never listening: reserves the port while there is no listener.
        self.port_holder = self._bind(0)
        self.address: Address = self.port_holder.getsockname()
        self.listener: socket.socket | None = None
        self._listen(128)
        self.loop.add_reader(self.listener, self._accept)

    def _bind(self, port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind((LOCAL, port))
        return sock

    def _listen(self, backlog: int) -> None:
        self.listener = self._bind(self.address[1])
        self.listener.listen(backlog)

    def _unlisten(self) -> None:
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for sock in self.backlog_fillers:
            sock.close()
        self.backlog_fillers.clear()

    def _accept(self) -> None:
        for _ in range(32):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            session = Session(self)
            task = self.loop.create_task(self._start_session(session, sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _start_session(self, session: Session, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: session.up, sock)
        except OSError:
            sock.close()

    def draws_fault(self) -> bool:
        """Draws whether a new connection is affected by the current fault."""
        return bool(self.fault) and self.random.random() < self.fault.chance

    def set(self, fault: TcpFault | None) -> None:
        """Replaces the current fault; None: no fault."""
        old, self.fault = self.fault, fault
        if old and old.mode == "silent":  # the machine is reachable again: reset old connections
            self.reset_all()
        mode = fault.mode if fault else "open"
        if mode == "refuse":
            self._unlisten()
            self.reset_all()
        elif mode == "silent":
            self._unlisten()
            self._listen(0)
            for _ in range(BACKLOG_FILLERS):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                self.backlog_fillers.append(sock)
            for session in self.sessions:
                session.up.set_reading_paused(True)
                session.down.set_reading_paused(True)
        else:
            if self.listener is None or (old and old.mode == "silent"):
                self._unlisten()
                self._listen(128)
                self.loop.add_reader(self.listener, self._accept)
            for session in self.sessions:
                session.fault = fault if fault and self.random.random() < fault.chance else None

    def reset_all(self) -> None:
        """Resets all open sessions."""
        for session in list(self.sessions):
            session.reset_both()

    def retire(self) -> None:
        """Resets all connections and refuses new ones. The port stays reserved until ``close``, so that no other
        process, such as a host of another run, is reached at this address."""
        self._unlisten()
        self.reset_all()

    def close(self) -> None:
        """Retires the relay and releases its port."""
        self.retire()
        self.port_holder.close()


@dataclass(slots=True)
class Way:
    """Network conditions from one gateway to another: delay in seconds, chances from 0 to 1."""

    delay: tuple[float, float] = (0.0025, 0.018)
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    cut: bool = False


class _UdpPort(asyncio.DatagramProtocol):
    def __init__(self, relay: UdpRelay, owner: int, peer: int | None) -> None:
        self.relay, self.owner, self.peer = relay, owner, peer

    def datagram_received(self, data: bytes, source: Address) -> None:
        if source == self.relay.real[self.owner]:  # only the owner's datagrams are relayed
            others = range(len(self.relay.real)) if self.peer is None else (self.peer,)
            for other in others:
                if other != self.owner:
                    self.relay.pass_on(self.owner, other, data)


class UdpRelay:
    """Relays datagrams between gateways. Each gateway sees every other one under a separate relay address."""

    def __init__(self, real: list[Address], seed: str, way: Way) -> None:
        self.real, self.random, self.loop = real, random.Random(seed), asyncio.get_running_loop()
        number = len(real)
        self.ways = {
            (a, b): Way(way.delay, way.loss, way.double, way.reorder)
            for a in range(number)
            for b in range(number)
            if a != b
        }
        self.transports: dict[tuple[int, int | None], asyncio.DatagramTransport] = {}
        self.counts = {"passed": 0, "lost": 0, "cut": 0, "doubled": 0, "long": 0}
        self.pending: list[tuple[float, int, int, int, bytes]] = []
        self.datagram_number = 0
        self.timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Binds one socket for each pair of gateways, and one for each gateway to reach all others."""
        number = len(self.real)
        for a in range(number):
            for b in (*(b for b in range(number) if b != a), None):
                transport, _ = await self.loop.create_datagram_endpoint(
                    lambda a=a, b=b: _UdpPort(self, a, b), local_addr=(LOCAL, 0)
                )
                self.transports[a, b] = transport

    def address(self, owner: int, peer: int | None) -> Address:
        """The address at which ``owner`` reaches ``peer`` (None: all peers)."""
        if owner == peer:
            return self.real[owner]
        return self.transports[owner, peer].get_extra_info("sockname")

    def pass_on(self, a: int, b: int, data: bytes) -> None:
        """Schedules the delivery of a datagram, or drops it, under the conditions of its direction."""
        way = self.ways[a, b]
        if len(data) > 256:
            self.counts["long"] += 1
        if way.cut or self.random.random() < way.loss:
            self.counts["cut" if way.cut else "lost"] += 1
            return
        copies = 1 + (self.random.random() < way.double)
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            wait = self.random.uniform(*way.delay)
            if self.random.random() < way.reorder:
                wait += 3 * way.delay[1]
            self.datagram_number += 1
            heapq.heappush(
                self.pending, (self.loop.time() + wait, self.datagram_number, a, b, data)
            )
        self._plan()

    def _plan(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(
            max(0.0, self.pending[0][0] - self.loop.time()), self._deliver
        )

    def _deliver(self) -> None:
        self.timer = None
        while self.pending and self.pending[0][0] <= self.loop.time() + 0.0005:
            _, _, a, b, data = heapq.heappop(self.pending)
            # The source address must be the one under which b knows a.
            transport = self.transports[b, a]
            if not transport.is_closing():
                self.counts["passed"] += 1
                transport.sendto(data, self.real[b])
        if self.pending:
            self._plan()

    def close(self) -> None:
        """Cancels pending deliveries and closes all sockets."""
        if self.timer:
            self.timer.cancel()
        for transport in self.transports.values():
            transport.close()
