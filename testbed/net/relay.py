"""The network as relays on loopback: TCP before hosts, UDP between gateways, each with faults to switch on."""

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
BUFFER_MOST = 1 << 20  # bytes that a session holds for a side that does not read
CHUNKS_MOST = 4096  # notes of arrival times that a session keeps
FILLERS = 4  # connections that fill the backlog of a silent relay
RESET = struct.pack("ii", 1, 0)


def text_of(address: Address) -> str:
    """``HOST:PORT``."""
    return f"{address[0]}:{address[1]}"


def reset(transport: asyncio.Transport | None) -> None:
    """End a connection with RST, as the kernel of a process that died does with unread data."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()


@dataclass(slots=True)
class TcpFault:
    """How a relay misbehaves.

    refuse: new connections are refused. silent: nothing passes and no connection comes up; when it ends, what was
    open is reset. reset_before: a request is cut before its last byte. reset_after: both sides are reset when the
    answer begins. throttle: bytes_per_s each way. split: every byte travels alone. delay: so many seconds more.
    chance: the part of the connections that suffer (for reset_*: of the messages).
    """

    mode: str
    chance: float = 1.0
    bytes_per_s: float = 20_000.0
    delay: float = 0.05


class _Side(asyncio.Protocol):
    """One of the two connections of a session."""

    def __init__(self, session: Session, up: bool) -> None:
        self.session, self.up = session, up
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.session.made(self)

    def data_received(self, data: bytes) -> None:
        self.session.came(self, data)

    def eof_received(self) -> bool:
        self.session.ended(self)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.session.lost(self, error)

    def pause_writing(self) -> None:
        self.session.other(self).hold(True)

    def resume_writing(self) -> None:
        self.session.other(self).hold(False)

    def hold(self, still: bool) -> None:
        """Stop or go on reading."""
        if self.transport and not self.transport.is_closing():
            (self.transport.pause_reading if still else self.transport.resume_reading)()


class Session:
    """One relayed connection: ``up`` faces whoever connected, ``down`` the target."""

    def __init__(self, relay: TcpRelay) -> None:
        self.relay, self.loop = relay, relay.loop
        self.up, self.down = _Side(self, True), _Side(self, False)
        self.early: list[bytes] = []  # came before the target was connected
        self.passed = 0  # bytes taken from ``up``
        self.chunks: deque[tuple[int, int]] = deque(
            maxlen=CHUNKS_MOST
        )  # (bytes by then, when) from ``up``
        self.queues: dict[bool, deque[bytes]] = {
            True: deque(),
            False: deque(),
        }  # slow modes, by the side it came from
        self.slow: dict[bool, asyncio.TimerHandle | None] = {True: None, False: None}
        self.fault: TcpFault | None = relay.fault if relay.drawn() else None
        self.answers = 0
        self.port = 0

    def other(self, side: _Side) -> _Side:
        """The side across."""
        return self.down if side.up else self.up

    def arrived_at(self, offset: int) -> int | None:
        """When the byte at this place came from ``up``, by the run's clock."""
        found = None
        for end, when in self.chunks:
            if offset < end:
                found = when
                break
        return found

    def made(self, side: _Side) -> None:
        if side.up:
            self.relay.sessions.add(self)
            self.task = self.loop.create_task(self._connect())
            return
        self.port = side.transport.get_extra_info("sockname")[1]
        self.relay.by_port[self.port] = self
        early, self.early = self.early, []
        for data in early:
            self._pass(self.up, data)
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
            self.break_off()

    def came(self, side: _Side, data: bytes) -> None:
        if side.up:
            self.passed += len(data)
            self.chunks.append((self.passed, self.relay.clock()))
            if self.down.transport is None:
                self.early.append(data)
                if sum(map(len, self.early)) > BUFFER_MOST:
                    self.break_off()
                return
        self._pass(side, data)

    def _pass(self, side: _Side, data: bytes) -> None:
        to = self.other(side).transport
        if to is None or to.is_closing():
            return
        fault = self.fault or (
            self.relay.fault if self.relay.fault and self.relay.fault.mode[:5] == "reset" else None
        )
        mode = fault.mode if fault else "open"
        if mode == "reset_before" and side.up and self.relay.random.random() < fault.chance:
            to.write(data[: max(0, len(data) // 2)])
            self.loop.call_soon(self.break_off)
        elif mode == "reset_after" and not side.up and self.relay.random.random() < fault.chance:
            self.break_off()
        elif mode in ("throttle", "split", "delay"):
            queue = self.queues[side.up]
            if mode == "split":
                queue.extend(data[i : i + 1] for i in range(len(data)))
            elif mode == "throttle":
                step = max(1, int(fault.bytes_per_s / 100))
                queue.extend(data[i : i + step] for i in range(0, len(data), step))
            else:
                queue.append(data)
            if sum(map(len, queue)) > BUFFER_MOST:
                self.break_off()
            elif self.slow[side.up] is None:
                self._plan(side)
        elif self.queues[side.up]:  # the fault is over: what is queued goes first
            self.queues[side.up].append(data)
        else:
            to.write(data)

    def _plan(self, side: _Side) -> None:
        fault = self.fault
        waits = {"delay": fault.delay, "throttle": 0.01} if fault else {}
        wait = waits.get(fault.mode, 0.0) if fault else 0.0
        self.slow[side.up] = self.loop.call_later(wait, self._drip, side)

    def _drip(self, side: _Side) -> None:
        self.slow[side.up] = None
        queue, to = self.queues[side.up], self.other(side).transport
        if to is None or to.is_closing():
            queue.clear()
            return
        if queue:
            to.write(queue.popleft())
        if queue:
            self._plan(side)

    def ended(self, side: _Side) -> None:
        """One side will send no more: the other hears so, after what is still queued."""
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

    def break_off(self) -> None:
        """Both sides are reset."""
        reset(self.up.transport)
        reset(self.down.transport)


class TcpRelay:
    """A listener on loopback whose connections go on to a target."""

    def __init__(
        self, clock: Callable[[], int], target: Callable[[], Address | None], seed: str
    ) -> None:
        self.clock, self.target, self.random = clock, target, random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.fault: TcpFault | None = None
        self.sessions: set[Session] = set()
        self.by_port: dict[int, Session] = {}
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()
        # This one never listens: it keeps the port while the listener is gone.
        self.keeper = self._bind(0)
        self.address: Address = self.keeper.getsockname()
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
        for sock in self.fillers:
            sock.close()
        self.fillers.clear()

    def _accept(self) -> None:
        for _ in range(32):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            session = Session(self)
            task = self.loop.create_task(self._take(session, sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _take(self, session: Session, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: session.up, sock)
        except OSError:
            sock.close()

    def drawn(self) -> bool:
        """Whether a new connection suffers the fault in force."""
        return bool(self.fault) and self.random.random() < self.fault.chance

    def set(self, fault: TcpFault | None) -> None:
        """Another fault from now on, or none."""
        old, self.fault = self.fault, fault
        if old and old.mode == "silent":  # the machine is back: what was open is reset
            self.break_all()
        mode = fault.mode if fault else "open"
        if mode == "refuse":
            self._unlisten()
            self.break_all()
        elif mode == "silent":
            self._unlisten()
            self._listen(0)
            for _ in range(FILLERS):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                self.fillers.append(sock)
            for session in self.sessions:
                session.up.hold(True)
                session.down.hold(True)
        else:
            if self.listener is None or (old and old.mode == "silent"):
                self._unlisten()
                self._listen(128)
                self.loop.add_reader(self.listener, self._accept)
            for session in self.sessions:
                session.fault = fault if fault and self.random.random() < fault.chance else None

    def break_all(self) -> None:
        """Reset all that is open."""
        for session in list(self.sessions):
            session.break_off()

    def retire(self) -> None:
        """Nobody is found here any more: connections end, new ones are refused. The port is kept until ``close``: no
        other, of another run least of all, is to be found in its place."""
        self._unlisten()
        self.break_all()

    def close(self) -> None:
        """The end."""
        self.retire()
        self.keeper.close()


@dataclass(slots=True)
class Way:
    """What happens to datagrams one way between two gateways: delay in seconds, chances from 0 to 1."""

    delay: tuple[float, float] = (0.0025, 0.018)
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    cut: bool = False


class _Port(asyncio.DatagramProtocol):
    def __init__(self, relay: UdpRelay, owner: int, peer: int | None) -> None:
        self.relay, self.owner, self.peer = relay, owner, peer

    def datagram_received(self, data: bytes, source: Address) -> None:
        if source == self.relay.real[self.owner]:  # strangers are not relayed
            others = range(len(self.relay.real)) if self.peer is None else (self.peer,)
            for other in others:
                if other != self.owner:
                    self.relay.pass_on(self.owner, other, data)


class UdpRelay:
    """Datagrams between gateways. Each gateway sees every other under an address of its own."""

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
        self.late: list[tuple[float, int, int, int, bytes]] = []
        self.orders = 0
        self.timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Bind all addresses."""
        number = len(self.real)
        for a in range(number):
            for b in (*(b for b in range(number) if b != a), None):
                transport, _ = await self.loop.create_datagram_endpoint(
                    lambda a=a, b=b: _Port(self, a, b), local_addr=(LOCAL, 0)
                )
                self.transports[a, b] = transport

    def address(self, owner: int, peer: int | None) -> Address:
        """Where ``owner`` finds ``peer`` (None: all of them)."""
        if owner == peer:
            return self.real[owner]
        return self.transports[owner, peer].get_extra_info("sockname")

    def pass_on(self, a: int, b: int, data: bytes) -> None:
        """One datagram on its way."""
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
            self.orders += 1
            heapq.heappush(self.late, (self.loop.time() + wait, self.orders, a, b, data))
        self._plan()

    def _plan(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(
            max(0.0, self.late[0][0] - self.loop.time()), self._deliver
        )

    def _deliver(self) -> None:
        self.timer = None
        while self.late and self.late[0][0] <= self.loop.time() + 0.0005:
            _, _, a, b, data = heapq.heappop(self.late)
            # It comes from the address under which b knows a.
            transport = self.transports[b, a]
            if not transport.is_closing():
                self.counts["passed"] += 1
                transport.sendto(data, self.real[b])
        if self.late:
            self._plan()

    def close(self) -> None:
        """The end."""
        if self.timer:
            self.timer.cancel()
        for transport in self.transports.values():
            transport.close()
