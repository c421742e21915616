"""Connections to hosts: one attempt at a time on each, and what became of every attempt.

Outcomes decide whether a request may go again: what failed before its last byte left has never run
(NOT_CONNECTED), what failed after it may have (BROKEN). Nothing is ever sent again from here.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque

import hiredis

from orchidlane import interface as api

from .config import Address, HostList
from .driver import Attempt, Driver

log = logging.getLogger(__name__)

IDLE_PART = 0.6  # of the hosts' idle limit: ours are closed clearly earlier, so none meets a closing one
SWEEPS = 10  # looks at idle connections in that time
MS = 1_000


def parse_report(text: object, names: tuple[str, ...]) -> tuple[float, ...]:
    """``inflight=7,util=0.61`` in the order of the settings' names; empty where one is missing or odd."""
    if not isinstance(text, bytes) or not names:
        return ()
    try:
        values = dict(pair.split("=", 1) for pair in text.decode().split(","))
        return tuple(float(values[name]) for name in names)
    except (ValueError, KeyError):
        return ()


def pack_request(attempt: Attempt, now: int) -> bytes:
    """The client's command as it came, but for how long the gateway will wait."""
    command, customer, number, before, after, *body = attempt.call.parts
    left = max(1, (attempt.give_up_at - now) // MS)
    terms = before + b"%d" % left + after
    return hiredis.pack_command((command, customer, number, terms, *body))


class Connection(asyncio.Protocol):
    """One connection to a host: idle, or with one attempt on it."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.counted = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """It is up; with a high-water mark of 0 the loop says when the last byte has left."""
        transport.set_write_buffer_limits(high=0)
        self.transport, self.counted = transport, True
        self.pool.ready(self)

    def begin(self, attempt: Attempt, now: int) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.link = attempt, self
        self.transport.write(pack_request(attempt, now))
        attempt.whole = not self.transport.get_write_buffer_size() and not self.transport.is_closing()

    def pause_writing(self) -> None:
        """The socket takes no more for now."""

    def resume_writing(self) -> None:
        """The socket has taken all that was written."""
        if self.attempt:
            self.attempt.whole = True

    def data_received(self, data: bytes) -> None:
        """The answer, or a part of it."""
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
            odd = reply is not False and self.reader.has_data()
        except hiredis.ProtocolError:
            reply, odd = None, True
        attempt = self.attempt
        if attempt and reply is False:
            return
        if odd or attempt is None or not attempt.whole:
            self.abort()  # an answer to nothing, or before the end: what belongs to what is lost
        else:
            self.attempt = None
            self.pool.ready(self)
        if attempt:
            self.pool.hosts.replied(attempt, reply)

    def connection_lost(self, error: Exception | None) -> None:
        """The host closed it or the network broke it."""
        self._count_out()
        attempt, self.attempt = self.attempt, None
        if attempt:
            # Guards rule 2: a reset may come after the host ran it, unless the last byte never left.
            outcome = api.Outcome.BROKEN if attempt.whole else api.Outcome.NOT_CONNECTED
            self.pool.hosts.driver.attempt_ended(attempt, outcome)

    def abort(self) -> None:
        """Close at once; the attempt on it is told by whoever gave it up."""
        self.attempt = None
        self._count_out()
        self.transport.abort()

    def _count_out(self) -> None:
        if self.counted:
            self.counted = False
            self.pool.hosts.sockets -= 1
            if self in self.pool.idle:
                self.pool.idle.remove(self)


class Pool:
    """The connections to one host; the one used last is used first, so that surplus ones grow idle."""

    def __init__(self, hosts: Hosts, address: Address) -> None:
        self.hosts, self.address = hosts, address
        self.idle: list[Connection] = []
        self.opening: set[asyncio.Task] = set()
        self.waiting: deque[Attempt] = deque()
        self.retired = False

    def send(self, attempt: Attempt) -> None:
        """Use an idle connection, or open one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.begin(attempt, self.hosts.driver.clock())
                return
        if not self.hosts.make_room():
            self.hosts.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)
            return
        self.hosts.sockets += 1  # here, not in the task: a burst comes before any of them has run
        self.waiting.append(attempt)
        attempt.link = self
        task = self.hosts.loop.create_task(self._open())
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        """One new connection; if it never comes up, the attempt that waits longest never ran."""
        connection = Connection(self)
        try:
            async with asyncio.timeout(self.hosts.connect_timeout):
                await self.hosts.loop.create_connection(lambda: connection, *self.address)
        except OSError:  # refused, unreachable, or out of time
            if connection.transport is None:
                self.hosts.sockets -= 1
                if self.waiting:
                    self.hosts.driver.attempt_ended(self.waiting.popleft(), api.Outcome.NOT_CONNECTED)

    def ready(self, connection: Connection) -> None:
        """It is up or free again: the next attempt that waits takes it, else it is idle."""
        if self.waiting:
            connection.begin(self.waiting.popleft(), self.hosts.driver.clock())
        elif self.retired:
            connection.abort()
        else:
            connection.idle_since = self.hosts.loop.time()
            self.idle.append(connection)

    def close_idle(self, before: float) -> None:
        """Close what has been idle since before then; the oldest stand first."""
        while self.idle and self.idle[0].idle_since <= before:
            self.idle[0].abort()

    def retire(self) -> None:
        """Nothing more is sent there: what is out may end."""
        self.retired = True
        self.close_idle(float("inf"))


class Hosts:
    """All hosts that discovery has named, and the attempts out at them."""

    def __init__(
        self,
        driver: Driver,
        report_names: tuple[str, ...],
        sockets: int,
        idle_close: float,
        connect_timeout: float,
    ) -> None:
        self.driver, self.loop, self.report_names = driver, driver.loop, report_names
        self.most, self.connect_timeout = sockets, connect_timeout
        self.keep_idle = IDLE_PART * idle_close
        self.sockets = 0  # open or opening
        self.pools: dict[api.Server, Pool] = {}
        self._sweep()

    def told(self, listed: HostList) -> None:
        """Follow discovery: idle connections to hosts that are gone or moved are closed."""
        if listed.whole:
            named = {host.entry.server for host in listed.hosts}
            for server in [server for server in self.pools if server not in named]:
                self.pools.pop(server).retire()
        for host in listed.hosts:
            pool = self.pools.get(host.entry.server)
            gone = host.entry.phase is api.Phase.GONE
            if pool and (gone or pool.address != host.address):
                self.pools.pop(host.entry.server).retire()
            if not gone and host.entry.server not in self.pools:
                self.pools[host.entry.server] = Pool(self, host.address)

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        if pool := self.pools.get(attempt.server):
            pool.send(attempt)
        else:
            self.driver.attempt_ended(attempt, api.Outcome.NOT_CONNECTED)

    def give_up(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; closing its connection tells the host."""
        if isinstance(attempt.link, Connection):
            attempt.link.abort()
        elif isinstance(attempt.link, Pool) and attempt in attempt.link.waiting:
            attempt.link.waiting.remove(attempt)

    def replied(self, attempt: Attempt, reply: object) -> None:
        """Translate a host's answer."""
        ended = self.driver.attempt_ended
        if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
            report = parse_report(reply[2] if len(reply) > 2 else None, self.report_names)
            ended(attempt, api.Outcome.SERVED, b"$%d\r\n%b\r\n" % (len(reply[0]), reply[0]), report)
            return
        line = str(reply).split(" ") if isinstance(reply, hiredis.ReplyError) else [""]
        if line[0] == "BUSY":
            ended(attempt, api.Outcome.FULL)
            return
        ended(attempt, api.Outcome.ERROR, None, parse_report(line[-1].encode(), self.report_names))

    def make_room(self) -> bool:
        """Whether one more connection may be opened; if need be the one longest idle makes room."""
        if self.sockets >= self.most:
            oldest = min(
                (p for p in self.pools.values() if p.idle), key=lambda p: p.idle[0].idle_since, default=None
            )
            if oldest:
                oldest.idle[0].abort()
        return self.sockets < self.most

    def _sweep(self) -> None:
        """Guards against a request meeting a connection that its host is closing as idle."""
        for pool in self.pools.values():
            pool.close_idle(self.loop.time() - self.keep_idle)
        self.loop.call_later(self.keep_idle / SWEEPS, self._sweep)
