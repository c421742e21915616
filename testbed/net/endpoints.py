"""Simulated hosts on sockets: they read RESP2 commands, answer in order and record what the host model does."""

from __future__ import annotations

import asyncio
import random
import re
from collections import deque
from dataclasses import dataclass

import hiredis

from ..checker.record import Attempt, Effect, HostEvent, Log, Made, Turned
from ..model.endpoint_model import Acceptance, HostModel, Job, Rack
from ..model.scenario import Class, Scenario
from .relay import LOCAL, Session, TcpRelay, reset, text_of

_TERMS = {"c", "t", "d", "units", "spread", "first"}
_CUSTOMER = re.compile(rb"[0-9a-f]{16}")
SPOILS = ("noise", "length", "endless", "huge", "doubled", "report", "ahead")
HARMLESS_SPOILS = ("doubled", "report")  # kinds that leave the value itself intact
ENDLESS_VALUE_CHUNKS = 32  # most chunks of 64 KiB that an endless value sends


def value_reply(value: str, report: str) -> bytes:
    """Encodes a served answer: the value, a null in place of usage figures, the load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (
        len(value),
        value.encode(),
        len(report),
        report.encode(),
    )


@dataclass(slots=True, eq=False)
class _Slot:
    """One command in the answer queue of its connection."""

    conn: _HostConnection
    request: str
    reply: bytes | None = None
    tail: bytes = b""  # extra bytes that a spoilt answer writes after the reply
    chunks: int = 0  # of an endless value, written after the reply


class _HostConnection(asyncio.Protocol):
    def __init__(self, host: StandinHost) -> None:
        self.host, self.reader, self.slots = host, hiredis.Reader(), deque()
        self.number, self.total, self.began = host.fleet.next_number(), 0, 0
        self.jobs: dict[_Slot, Job] = {}
        self.transport: asyncio.Transport | None = None
        self.unread = b""  # received while the host was frozen
        self.idle: asyncio.TimerHandle | None = None
        self.port, self.life = 0, host.life
        # The gateway, and the relay session of this connection.
        self.route: tuple[int, Session] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.port = transport.get_extra_info("peername")[1]
        self.host.connections.add(self)
        if self.host.frozen:
            transport.pause_reading()
        self._restart_idle_timer()

    def data_received(self, data: bytes) -> None:
        if self.host.frozen:  # a read begun before the pause can still deliver data
            self.unread += data
            return
        self.total += len(data)
        if self.route is None:
            self.route = self.host.route_of(self.port)
        try:
            self.reader.feed(data)
            while (command := self.reader.gets()) is not False:
                began, last = self.began, self.total - 1
                if not self.reader.has_data():
                    self.began = self.total
                self._command(command, began, last)
        except hiredis.ProtocolError:
            self.transport.abort()

    def _command(self, command: list, began: int, last: int) -> None:
        slot = _Slot(self, "")
        self.slots.append(slot)
        if self.idle:
            self.idle.cancel()
        name = command[0].upper() if isinstance(command, list) and command else b""
        if name in (b"CALL.GET", b"CALL.POST"):
            self.host.take(self, slot, command, began, last)
        elif name == b"PING":
            slot.reply = b"+PONG\r\n"
        elif name == b"INFO":
            report = self.host.model.report.encode()
            slot.reply = b"$%d\r\n%b\r\n" % (len(report), report)
        elif name in (b"CLIENT", b"SELECT"):
            slot.reply = b"+OK\r\n"
        else:
            slot.reply = b"-ERR unknown command\r\n"
        self.flush()

    def flush(self) -> None:
        """Writes the answers that are ready, in the order of their commands."""
        while self.slots and self.slots[0].reply is not None and not self.host.frozen:
            slot = self.slots.popleft()
            if not self.transport.is_closing():
                self.transport.write(slot.reply + slot.tail)
                if slot.chunks:
                    self._write_endless_value(slot.chunks)
        if not self.slots:
            self._restart_idle_timer()

    def _write_endless_value(self, left: int) -> None:
        """Writes one chunk of an endless value and schedules the next."""
        if left and not self.transport.is_closing() and not self.host.frozen:
            self.transport.write(b"x" * 65536)
            self.host.fleet.loop.call_later(0.01, self._write_endless_value, left - 1)

    def _restart_idle_timer(self) -> None:
        if self.idle:
            self.idle.cancel()
        wait = self.host.fleet.scenario.hosts.idle_close_s
        self.idle = self.host.fleet.loop.call_later(wait, self.transport.close)

    def connection_lost(self, error: Exception | None) -> None:
        self.host.connections.discard(self)
        if self.idle:
            self.idle.cancel()
        if self.reader.has_data() and self.life == self.host.life:
            self.host.record_truncated_command(self)
        for slot, job in self.jobs.items():
            if slot.reply is None and self.life == self.host.life:
                self.host.model.cancel(job)
        self.jobs.clear()


class StandinHost:
    """One simulated host: a host model, a listener, and a relay for each gateway."""

    def __init__(self, fleet: Fleet, name: str, zone: str, rack: int) -> None:
        self.fleet, self.name, self.zone, self.rack_number = fleet, name, zone, rack
        self.life, self.born_ms = 0, 0
        self.connections: set[_HostConnection] = set()
        self.relays: list[TcpRelay] = []
        # Relays of former addresses, to which gateways may still connect.
        self.left: list[TcpRelay] = []
        self.server: asyncio.Server | None = None
        self.model: HostModel | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.frozen = self.draining = False
        self.spoil = 0.0
        self.values = 0
        self.random = random.Random(f"{fleet.scenario.seed}:host:{name}")

    @property
    def up(self) -> bool:
        """Whether the host's process runs."""
        return self.server is not None

    def dial(self, gateway: int) -> str:
        """The address under which a gateway reaches this host."""
        return text_of(self.relays[gateway].address)

    async def start(self, cold: bool) -> None:
        """Starts a new life of the host at the same address."""
        now, fleet = self.fleet.clock(), self.fleet
        self.life += 1
        self.frozen = self.draining = False
        self.born_ms = fleet.clock.unix_ms(now) if cold else 0
        rack = fleet.racks.setdefault(self.rack_number, Rack())
        seed = f"{fleet.scenario.seed}:{self.name}:{self.life}"
        self.model = HostModel(fleet.scenario.hosts, rack, seed, cold, now)
        self.server = await fleet.loop.create_server(lambda: _HostConnection(self), LOCAL, 0)
        if not self.relays:
            self.new_address()
        for relay in self.relays:
            relay.set(None)
        fleet.log.add(
            HostEvent(
                now, self.name, self.life, "up", f"rack {self.rack_number}{' cold' if cold else ''}"
            )
        )

    def new_address(self) -> None:
        """Moves the host to new addresses by retiring its relays and opening new ones."""
        for relay in self.relays:
            relay.retire()
        self.left += self.relays
        seed = f"{self.fleet.scenario.seed}:relay:{self.name}:{self.life}"
        self.relays = [
            TcpRelay(self.fleet.clock, self._target, f"{seed}:{g}")
            for g in range(self.fleet.scenario.gateways)
        ]

    def _target(self) -> tuple[str, int] | None:
        return self.server.sockets[0].getsockname() if self.server else None

    def stop(self, what: str = "down") -> None:
        """Ends the process: open connections are reset, new ones refused."""
        if not self.server:
            return
        self.server.close()
        self.server = None
        if self.timer:
            self.timer.cancel()
        # With another life number, the connections reset here record and cancel nothing.
        self.life += 1
        for connection in list(self.connections):
            reset(connection.transport)
        for relay in self.relays:
            relay.set(self.fleet.refuse)
        self.life -= 1
        self.fleet.log.add(HostEvent(self.fleet.clock(), self.name, self.life, what))

    def freeze(self) -> None:
        """Imitates SIGSTOP: the kernel still accepts connections, but the host reads, answers and computes nothing."""
        if self.up and not self.frozen:
            self._advance()
            self.frozen = True
            for connection in self.connections:
                connection.transport.pause_reading()
            self.fleet.log.add(HostEvent(self.fleet.clock(), self.name, self.life, "frozen"))

    def thaw(self) -> None:
        """Imitates SIGCONT: handles the unread bytes, then resumes reading and computing."""
        if self.up and self.frozen:
            self.frozen, self.model.now = False, self.fleet.clock()
            self.fleet.log.add(HostEvent(self.fleet.clock(), self.name, self.life, "thawed"))
            for connection in list(self.connections):
                connection.flush()
                unread, connection.unread = connection.unread, b""
                if unread:
                    connection.data_received(unread)
                if not connection.transport.is_closing():
                    connection.transport.resume_reading()
            self._advance()

    # -- requests -------------------------------------------------------------------------------------------

    def _arrival_times(
        self, connection: _HostConnection, began: int, last: int
    ) -> tuple[int, int, int]:
        """The gateway, and the times at which a command's first and last byte reached the relay from it."""
        now = self.fleet.clock()
        if connection.route is None:
            return -1, now, now
        gateway, session = connection.route
        first, end = session.arrived_at(began), session.arrived_at(last)
        return gateway, now if first is None else first, now if end is None else end

    def route_of(self, port: int) -> tuple[int, Session] | None:
        """The gateway and relay session whose connection to this host uses this source port."""
        for gateway, relay in enumerate(self.relays):
            if session := relay.by_port.get(port):
                return gateway, session
        return None

    def take(
        self, connection: _HostConnection, slot: _Slot, command: list, began: int, last: int
    ) -> None:
        """Handles a complete request: parses and records it, then passes it to the host model."""
        fleet, now = self.fleet, self.fleet.clock()
        parsed = self._parse(command)
        if parsed is None:
            fleet.log.add(HostEvent(now, self.name, self.life, "syntax", repr(command)[:200]))
            slot.reply = b"-SYNTAX\r\n"
            return
        cls, terms, customer, request = parsed
        self._advance()
        gateway, first, end = self._arrival_times(connection, began, last)
        key, slot.request = terms.get("k", ""), request
        draw = random.Random(f"{fleet.scenario.seed}:work:{customer}:{request}:{self.name}")
        work = draw.uniform(*cls.work_ms) / 1000
        window = cls.window_ms * 1000
        job = Job(request, cls.name, f"{customer}:{key}" if key else "", window, work, slot)
        fleet.log.add(
            Attempt(
                first,
                end,
                request,
                gateway,
                self.name,
                self.life,
                self.rack_number,
                cls.name,
                key,
                customer,
                terms["t"],
                float(terms["units"]),
                work,
                self.model.capacity(now),
                connection.number,
            )
        )
        connection.jobs[slot] = job
        acceptance, value = self.model.arrive(now, job, self.draining)
        self._record_started_jobs()
        if acceptance is Acceptance.REFUSED:
            fleet.log.add(Turned(now, request, self.name, connection.number))
            slot.reply = b"-BUSY\r\n"
        elif value is not None:
            self._serve(slot, value)
        if self.model.crashed:
            self.stop("fell")
            return
        self._schedule_advance()

    def _parse(self, command: list) -> tuple[Class, dict[str, str], int, str] | None:
        """Class, terms, customer and id of a request; None unless it follows the protocol exactly."""
        try:
            name, customer, number, text, *body = command
            pairs = [pair.split("=", 1) for pair in text.decode("ascii").split(",")]
            terms = dict(pairs)
            cls = self.fleet.classes[terms["c"]]
            keyed = cls.effect == "keyed"
            wanted = _TERMS | ({"k"} if keyed else set()) | ({"r"} if "r" in terms else set())
            good = (
                len(terms) == len(pairs)
                and terms.keys() == wanted
                and name == (b"CALL.GET" if cls.effect == "safe" else b"CALL.POST")
                and len(body) == (0 if cls.effect == "safe" else 1)
                and _CUSTOMER.fullmatch(customer)
                and terms["t"] in self.fleet.plans
                and int(terms["d"]) > 0
                and float(terms["units"]) > 0
            )
            return (cls, terms, int(customer, 16), number.decode("ascii")) if good else None
        except (ValueError, LookupError, AttributeError, TypeError):
            return None

    def record_truncated_command(self, connection: _HostConnection) -> None:
        """Records a command whose connection ended before its last byte."""
        gateway, first, _ = self._arrival_times(connection, connection.began, connection.total - 1)
        if gateway >= 0:
            self.fleet.log.add(
                Attempt(
                    *(first, -1, "", gateway, self.name, self.life, self.rack_number),
                    *("", "", 0, "", 0.0, 0.0, 0.0, connection.number),
                )
            )

    def _record_started_jobs(self) -> None:
        now = self.fleet.clock()
        for job in self.model.take_started_jobs():
            self.fleet.log.add(Effect(now, job.request, self.name, self.life, job.cls, job.key))

    def _advance(self) -> None:
        if not self.server or self.frozen:
            return
        for job in self.model.advance(self.fleet.clock()):
            self.values += 1
            value = f"{job.request}:{self.name}:{self.life}:{self.values}"
            self.model.record_value(job, self.fleet.clock(), value)
            for one in (job, *job.followers):
                self._serve(one.tag, value)
        self._record_started_jobs()
        self._schedule_advance()

    def _schedule_advance(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.server and (due := self.model.due()) is not None:
            self.timer = self.fleet.loop.call_later(
                max(0, due - self.fleet.clock()) / 1e6, self._advance
            )

    def _serve(self, slot: _Slot, value: str) -> None:
        """Answers one command: with its value, an error or a spoilt reply."""
        slot.conn.jobs.pop(slot, None)
        report = self.model.report
        good = value_reply(value, report)
        if self.random.random() < self.fleet.scenario.hosts.error_share:
            slot.reply = b"-ERR failed\r\n"
        elif self.spoil and self.random.random() < self.spoil:
            kind = self.random.choice(SPOILS)
            self.fleet.spoilt[kind] = self.fleet.spoilt.get(kind, 0) + 1
            if kind in HARMLESS_SPOILS:
                self._record_value(slot.request, value)
            if kind == "doubled":
                slot.reply, slot.tail = good, good
            elif kind == "report":
                slot.reply = value_reply(value, "util=nan,,=")
            elif kind == "ahead":
                slot.reply = b"+CONTINUE\r\n" + good
            elif kind == "noise":
                slot.reply = bytes(self.random.randrange(256) for _ in range(40)) + b"\r\n"
            elif kind == "length":
                slot.reply = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value) + 7, value.encode())
            elif kind == "endless":
                slot.reply = b"-" + b"x" * 2000
            else:
                slot.reply, slot.chunks = b"*3\r\n$3000000000\r\n", ENDLESS_VALUE_CHUNKS
        else:
            self._record_value(slot.request, value)
            slot.reply = good
        slot.conn.flush()

    def _record_value(self, request: str, value: str) -> None:
        self.fleet.log.add(Made(self.fleet.clock(), request, self.name, value))


class Fleet:
    """All simulated hosts of a run."""

    def __init__(self, scenario: Scenario, clock, log: Log, refuse) -> None:
        self.scenario, self.clock, self.log, self.refuse = scenario, clock, log, refuse
        self.loop = asyncio.get_running_loop()
        self.classes = {c.name: c for c in scenario.cls}
        self.plans = {p.name for p in scenario.plan}
        self.racks: dict[int, Rack] = {}
        self.hosts: dict[str, StandinHost] = {}
        self.spoilt: dict[str, int] = {}
        self.numbers = self.made = 0

    def next_number(self) -> int:
        """Returns the next connection number, unique over the fleet."""
        self.numbers += 1
        return self.numbers

    async def add(self, rack: int, cold: bool) -> StandinHost:
        """Starts one more host under a new id."""
        self.made += 1
        zones = ("hall-a", "hall-b", "hall-c")
        tag = random.Random(f"{self.scenario.seed}:name:{self.made}").getrandbits(32)
        host = StandinHost(self, f"s-{tag:08x}", zones[rack % 3], rack)
        self.hosts[host.name] = host
        await host.start(cold)
        return host

    def close(self) -> None:
        """Stops all hosts and closes their relays."""
        for host in self.hosts.values():
            host.stop("end")
            for relay in (*host.left, *host.relays):
                relay.close()
