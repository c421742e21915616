"""Connections to hosts: one attempt at a time on each, and what became of every attempt.

Outcomes decide whether a request may go again: what failed before its last byte left has never run
(NOT_CONNECTED), what failed after it may have (BROKEN). Nothing is ever sent again from here.
"""

from __future__ import annotations

import asyncio
import logging
import re
import select
import socket
from collections import deque
from collections.abc import Callable

import hiredis

from ...policy.events import AttemptOutcome, EndpointId, EndpointState
from ..config import Address, EndpointList
from ..driver import Driver, UpstreamAttempt
from ..resp import MalformedMessageError, Reply, ReplyReader
from ..streaming_reply import StreamingReply

log = logging.getLogger(__name__)

IDLE_PART = (
    0.6  # of the hosts' idle limit: ours are closed clearly earlier, so none meets a closing one
)
SWEEPS = 10  # looks at idle connections in that time
REST = 0.02  # seconds before a connection is used again: what comes behind an answer comes in this time
REST_WITHIN = 0.5  # seconds for the rest of an answer that has begun
CLOSING_MOST = 24  # connections closed in this turn of the loop whose descriptors are not free yet
LINES = {b"-ERR failed": AttemptOutcome.ERROR, b"-BUSY": AttemptOutcome.OVERLOADED}
REPORTS_MOST = 256  # texts of reports whose figures are kept
MS = 1_000

_FIGURE = rb"[a-z0-9_]{1,32}=[0-9]{1,12}(\.[0-9]{1,9})?"
_REPORT = re.compile(_FIGURE + rb"(," + _FIGURE + rb"){0,15}")


def parse_report(text: bytes | None, names: tuple[bytes, ...]) -> tuple[float, ...]:
    """``inflight=7,util=0.61`` in the order of the settings' names; empty where it is no such report.

    Only plain figures count: ``float()`` takes ``nan``, ``inf``, ``1_0`` and blanks.
    """
    if not text or not names or not _REPORT.fullmatch(text):
        return ()
    values = dict(pair.split(b"=") for pair in text.split(b","))
    if any(name not in values for name in names):
        return ()
    return tuple(float(values[name]) for name in names)


def pack_request(attempt: UpstreamAttempt, now: int) -> bytes:
    """The client's command as it came, but for how long the gateway will wait."""
    command, customer, number, before, after, *body = attempt.call.parts
    left = max(1, (attempt.deadline_us - now) // MS)
    terms = before + b"%d" % left + after
    return hiredis.pack_command((command, customer, number, terms, *body))


class UpstreamConnection(asyncio.Protocol):
    """One connection to a host: idle, or with one attempt on it."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.late = False  # it is waited for no longer, and must not come up any more
        self.reader = ReplyReader()
        self.attempt: UpstreamAttempt | None = None
        self.idle_since = 0.0
        self.counted = False
        self.poll = select.poll()
        self.rest: asyncio.TimerHandle | None = (
            None  # ends an answer that has begun and does not go on
        )
        self.long: StreamingReply | None = None  # on its way to a client
        self.held = False  # nothing is read for now

    def connection_made(self, transport: asyncio.Transport) -> None:
        """It is up; with a high-water mark of 0 the loop says when the last byte has left."""
        if self.late:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.transport, self.counted = transport, True
        self.pool.ready(self)

    def begin(self, attempt: UpstreamAttempt, now: int) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.link = attempt, self
        self.transport.write(pack_request(attempt, now))
        attempt.whole = (
            not self.transport.get_write_buffer_size() and not self.transport.is_closing()
        )
        self.pool.hosts.driver.figures.attempts += attempt.whole

    def pause_writing(self) -> None:
        """The socket takes no more for now."""

    def resume_writing(self) -> None:
        """The socket has taken all that was written."""
        if self.attempt and not self.attempt.whole:
            self.attempt.whole = True
            self.pool.hosts.driver.figures.attempts += 1

    def look_whole(self) -> None:
        """Guards rule 2: the last byte may have left, and the loop says so only in its next turn."""
        if not self.transport.get_write_buffer_size():
            self.resume_writing()

    def data_received(self, data: bytes) -> None:
        """The answer, or a part of it."""
        attempt = self.attempt
        if self.long:
            self.reader.feed(data)
            self._pass_on()
            return
        if attempt is None:  # an answer to nothing: what belongs to what is lost
            self.abort()
            return
        self.reader.feed(data)
        try:
            if attempt.whole and (length := self.reader.long()):
                self._begin_long(attempt, length)
                return
            answer = self.reader.next()
            reply = answer and self.pool.hosts.meaning(answer)
        except MalformedMessageError as wrong:
            self._spoilt(str(wrong))
            return
        if answer is None:
            if self.rest is None:
                self.rest = self.pool.hosts.loop.call_later(
                    REST_WITHIN, self._spoilt, "an answer did not end"
                )
            return
        self._rested()
        if len(self.reader) or not attempt.whole:
            self.abort()  # more than belongs to it, or an answer before the end of the request
        else:
            self.attempt = None
            self.pool.rest(self)
        self.pool.hosts.driver.attempt_ended(attempt, *reply)

    def _begin_long(self, attempt: UpstreamAttempt, length: int) -> None:
        """A long value begins: it answers its request now, and its bytes follow as they come."""
        self._rested()
        self.attempt = None
        hosts = self.pool.hosts
        value = self.long = StreamingReply(hosts.loop, self, length)
        hosts.driver.attempt_ended(attempt, AttemptOutcome.SERVED, value)
        if value.figures is None:  # nobody waits for it any more
            value.drop()
        else:
            self._pass_on()

    def _pass_on(self) -> None:
        """What has come of a long value; behind it the connection is free again."""
        value = self.long
        if value.left and (part := self.reader.part(value.left)):
            value.feed(part)
        if value.left or self.long is None:
            return
        try:
            ends = self.reader.end_of_long()
            if ends is None:
                return
            if not ends:
                raise MalformedMessageError("a length does not fit")
            if not value.whole:
                value.finish()
            if not self.reader.rest_of_long():
                if self.rest is None:
                    self.rest = self.pool.hosts.loop.call_later(REST_WITHIN, self.abort)
                return
        except MalformedMessageError as wrong:
            log.warning("spoilt answer of %s: %s", self.pool.server.decode(errors="replace"), wrong)
            self.abort()
            return
        self._rested()
        if len(self.reader) or self.transport.is_closing():
            self.abort()
        else:
            self.long = None
            self.pool.rest(self)

    def hold(self, held: bool) -> None:
        """Read nothing for now, or again; a long value's reader is slow."""
        if held is not self.held and not self.transport.is_closing():
            self.held = held
            (self.transport.pause_reading if held else self.transport.resume_reading)()

    def drop(self) -> None:
        """Nobody wants the long value on it any more."""
        self.long = None
        self.abort()

    def quiet(self) -> bool:
        """Whether nothing has come that the loop has not shown yet: an end, or more than belongs here."""
        return not self.poll.poll(0)

    def _spoilt(self, why: str) -> None:
        """What came is no answer, and the connection is of no further use; the request may have run."""
        attempt = self.attempt
        self.abort()
        if attempt:
            self.pool.hosts.spoilt(attempt, why)

    def _rested(self) -> None:
        if self.rest:
            self.rest.cancel()
            self.rest = None

    def connection_lost(self, error: Exception | None) -> None:
        """The host closed it or the network broke it."""
        self._count_out()
        self._rested()
        self.pool.hosts.closing.discard(self)
        value, self.long = self.long, None
        if value:
            value.cut()
        attempt, self.attempt = self.attempt, None
        if attempt:
            # Guards rule 2: a reset may come after the host ran it, unless the last byte never left.
            outcome = (
                AttemptOutcome.CONNECTION_LOST if attempt.whole else AttemptOutcome.CONNECT_FAILED
            )
            self.pool.hosts.driver.attempt_ended(attempt, outcome)

    def abort(self) -> None:
        """Close at once; the attempt on it is told by whoever gave it up."""
        self.attempt = None
        value, self.long = self.long, None
        if value:
            value.cut()
        self._rested()
        self._count_out()
        if not self.transport.is_closing():
            self.pool.hosts.closing.add(self)  # its descriptor is free once the loop has closed it
        self.transport.abort()

    def _count_out(self) -> None:
        if self.counted:
            self.counted = False
            self.pool.hosts.sockets -= 1
            if self in self.pool.idle:
                self.pool.idle.remove(self)


class ConnectionPool:
    """The connections to one host; the one used last is used first, so that surplus ones grow idle."""

    def __init__(
        self, hosts: UpstreamCluster, server: EndpointId, address: Address, born: int
    ) -> None:
        self.hosts, self.server, self.address, self.born = hosts, server, address, born
        self.idle: list[UpstreamConnection] = []
        self.opening: set[asyncio.Task] = set()
        self.waiting: deque[UpstreamAttempt] = deque()
        self.shut = False  # it drains: nothing is begun there any more
        self.retired = False

    def send(self, attempt: UpstreamAttempt) -> None:
        """Use an idle connection, or open one.

        A second copy of an answer may come when its connection carries the next request, and nothing tells
        it apart. So one that has just answered rests first, and must be quiet when it is used. (A command
        with an answer of its own in between would do more, but hosts close after it.)
        """
        if self.shut:  # it was decided before the list came, and something kept it since
            self.hosts.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        rested = self.hosts.loop.time() - REST
        for place in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[place]
            if connection.idle_since > rested:
                continue
            if connection.quiet() and not connection.transport.is_closing():
                del self.idle[place]
                connection.begin(attempt, self.hosts.driver.clock())
                return
            connection.abort()
        if not self.hosts.make_room():
            self.hosts.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        self.hosts.sockets += 1  # here, not in the task: a burst comes before any of them has run
        self.waiting.append(attempt)
        attempt.link = self
        task = self.hosts.loop.create_task(self._open())
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        """One new connection; if it never comes up, the attempt that waits longest never ran."""
        connection, loop = UpstreamConnection(self), self.hosts.loop
        task = asyncio.current_task()
        late = loop.call_later(self.hosts.connect_timeout, self._too_late, connection, task)
        try:
            await loop.create_connection(lambda: connection, *self.address)
        except OSError:  # refused or unreachable
            self._not_up(connection)
        finally:
            late.cancel()

    def _too_late(self, connection: UpstreamConnection, task: asyncio.Task) -> None:
        """Guards one that has come up in this very turn: cancelled then, the loop closes it without a word, and its
        attempt, its descriptor and its place among those that close would never be heard of again."""
        if connection.transport is None:
            self._not_up(connection)
            task.cancel()

    def _not_up(self, connection: UpstreamConnection) -> None:
        if connection.transport is None and not connection.late:
            connection.late = True
            self.hosts.sockets -= 1
            if self.waiting:
                self.hosts.driver.attempt_ended(
                    self.waiting.popleft(), AttemptOutcome.CONNECT_FAILED
                )

    def ready(self, connection: UpstreamConnection) -> None:
        """It is up: the attempt that waits longest takes it."""
        if self.waiting:
            connection.begin(self.waiting.popleft(), self.hosts.driver.clock())
        else:
            self.rest(connection)

    def rest(self, connection: UpstreamConnection) -> None:
        """It is free again."""
        if self.shut or self.retired or (self.hosts.heir and self._hand_over(connection)):
            connection.abort()
        else:
            connection.idle_since = self.hosts.loop.time()
            self.idle.append(connection)

    def _hand_over(self, connection: UpstreamConnection) -> bool:
        """Give a connection to the successor; nothing is out on it, and all that came was taken."""
        fd = connection.transport.get_extra_info("socket").fileno()
        return self.hosts.heir(self.server, self.born, fd)

    def hand_over(self) -> None:
        """Give all that are idle to the successor."""
        for connection in list(self.idle):
            if not connection.transport.is_closing() and connection.quiet():
                self._hand_over(connection)
            connection.abort()

    async def adopt(self, sock: socket.socket) -> None:
        """Use a connection that another process has opened."""
        try:
            await self.hosts.loop.create_connection(lambda: UpstreamConnection(self), sock=sock)
        except OSError:
            self.hosts.sockets -= 1
            sock.close()

    def close_idle(self, before: float) -> None:
        """Close what has been idle since before then; the oldest stand first."""
        while self.idle and self.idle[0].idle_since <= before:
            self.idle[0].abort()

    def retire(self) -> list[UpstreamAttempt]:
        """Nothing more is sent there: what is out may end; what waited for a connection, and never ran.

        Guards a host that takes over the address of a gone one, or its id after a restart: what was meant for
        the old life must not reach the new one.
        """
        self.retired = True
        return self.give_back()

    def shuts(self) -> list[UpstreamAttempt]:
        """It drains: the same, but its address stays its own, and it may serve again.

        Guards rule 3: a connection may come up long after the list came, and its request's first byte is what counts.
        """
        self.shut = True
        return self.give_back()

    def give_back(self) -> list[UpstreamAttempt]:
        """The attempts that wait for a connection; idle ones are closed."""
        self.close_idle(float("inf"))
        stranded = list(self.waiting)
        self.waiting.clear()
        return stranded


class UpstreamCluster:
    """All hosts that discovery has named, and the attempts out at them."""

    def __init__(
        self,
        driver: Driver,
        report_names: tuple[str, ...],
        sockets: int,
        idle_close: float,
        connect_timeout: float,
    ) -> None:
        self.driver, self.loop = driver, driver.loop
        self.reports: dict[bytes | None, tuple[float, ...]] = {}  # texts that came lately
        self.report_names = tuple(name.encode() for name in report_names)
        self.most, self.connect_timeout = sockets, connect_timeout
        self.keep_idle = IDLE_PART * idle_close
        self.sockets = 0  # open or opening
        self.closing: set[UpstreamConnection] = set()
        self.pools: dict[EndpointId, ConnectionPool] = {}
        self.heir: Callable[[EndpointId, int, int], bool] | None = (
            None  # who gets connections that fall idle
        )
        self._sweep()

    def hand_over(self, heir: Callable[[EndpointId, int, int], bool]) -> None:
        """Connections go to the successor as they fall idle; heir gets host, its launch and a descriptor."""
        self.heir = heir
        for pool in self.pools.values():
            pool.hand_over()

    def adopt(self, server: EndpointId, born: int, sock: socket.socket) -> None:
        """A connection to a host that another process has opened, if it still leads to the same life of it."""
        pool = self.pools.get(server)
        if pool is None or pool.born != born or self.heir or not self.make_room():
            sock.close()
            return
        self.sockets += 1
        task = self.loop.create_task(pool.adopt(sock))
        pool.opening.add(task)
        task.add_done_callback(pool.opening.discard)

    def told(self, listed: EndpointList) -> list[UpstreamAttempt]:
        """Follow discovery: idle connections to hosts that are gone or moved are closed. The attempts that
        waited for one are given back."""
        stranded = []
        if listed.is_complete:
            named = {host.entry.endpoint_id for host in listed.endpoints}
            for server in [server for server in self.pools if server not in named]:
                stranded += self.pools.pop(server).retire()
        for host in listed.endpoints:
            entry, pool = host.entry, self.pools.get(host.entry.endpoint_id)
            gone = entry.state is EndpointState.REMOVED
            if pool and (gone or pool.address != host.address or entry.started_at_us > pool.born):
                stranded += self.pools.pop(entry.endpoint_id).retire()
            if gone:
                continue
            if (pool := self.pools.get(entry.endpoint_id)) is None:
                pool = self.pools[entry.endpoint_id] = ConnectionPool(
                    self, entry.endpoint_id, host.address, entry.started_at_us
                )
            if entry.state is EndpointState.DRAINING:
                stranded += pool.shuts()
            else:
                pool.shut = False
        return stranded

    def rest_at(self, server: EndpointId) -> list[UpstreamAttempt]:
        """An operator takes a host out: connections that carry nothing are closed, it will be restarted. The attempts
        that waited for one are given back."""
        pool = self.pools.get(server)
        return pool.give_back() if pool else []

    def send(self, attempt: UpstreamAttempt) -> None:
        """Begin an attempt."""
        if pool := self.pools.get(attempt.endpoint_id):
            pool.send(attempt)
        else:
            self.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def give_up(self, attempt: UpstreamAttempt) -> None:
        """Stop waiting for an attempt; closing its connection tells the host."""
        if isinstance(attempt.link, UpstreamConnection):
            attempt.link.look_whole()
            attempt.link.abort()
        else:
            self.take_back(attempt)

    def take_back(self, attempt: UpstreamAttempt) -> bool:
        """Whether an attempt still waited for a connection; it does so no longer."""
        waits = isinstance(attempt.link, ConnectionPool) and attempt in attempt.link.waiting
        if waits:
            attempt.link.waiting.remove(attempt)
        return waits

    def meaning(self, answer: Reply) -> tuple[AttemptOutcome, bytes | None, tuple[float, ...]]:
        """A host's answer as outcome, value and report: only the exact forms mean something."""
        if (line := answer.line) is None:
            value, report = answer.value, self._report(answer.report)
            return AttemptOutcome.SERVED, b"$%d\r\n%b\r\n" % (len(value), value), report
        for known, outcome in LINES.items():
            if line == known:
                return outcome, None, ()
            if line.startswith(known + b" "):
                if report := parse_report(line[len(known) + 1 :], self.report_names):
                    return outcome, None, report
                break
        raise MalformedMessageError("an unknown line")

    def _report(self, text: bytes | None) -> tuple[float, ...]:
        """A report's figures. Hosts refresh theirs a few times a second and send it with every answer till then."""
        known = self.reports.get(text)
        if known is None:
            known = parse_report(text, self.report_names)
            if len(self.reports) >= REPORTS_MOST:
                self.reports.clear()
            self.reports[text] = known
        return known

    def spoilt(self, attempt: UpstreamAttempt, why: str) -> None:
        """An answer that can't be believed: the attempt has failed and may have run, its host answers."""
        log.warning("spoilt answer of %s: %s", attempt.endpoint_id.decode(errors="replace"), why)
        self.driver.attempt_ended(attempt, AttemptOutcome.ERROR)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; if need be the one longest idle makes room."""
        if self.sockets >= self.most:
            oldest = min(
                (p for p in self.pools.values() if p.idle),
                key=lambda p: p.idle[0].idle_since,
                default=None,
            )
            if oldest:
                oldest.idle[0].abort()
        return self.sockets < self.most and len(self.closing) < CLOSING_MOST

    def _sweep(self) -> None:
        """Guards against a request meeting a connection that its host is closing as idle."""
        for pool in self.pools.values():
            pool.close_idle(self.loop.time() - self.keep_idle)
        self.loop.call_later(self.keep_idle / SWEEPS, self._sweep)
