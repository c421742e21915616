"""The watch on discovery: one kept HTTP connection, the next call at once after each answer."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import h11

from .config import Address, HostList, parse_hosts
from .news import News

log = logging.getLogger(__name__)

PATH = "/registry/instances"
WAIT = 2.0  # seconds that a call may wait for news: a silent agent is noticed only after that
ANSWER_WITHIN = 1.0  # seconds beyond that: a silent agent is tried anew
BODY_MOST = 1 << 20  # bytes of one answer: some thousand hosts
BACK_OFF, BACK_OFF_MOST = 0.05, 1.0  # seconds: bound of the wait before connecting again, doubled each time
ASK_WITHIN = 10.0  # seconds: that bound at least where the agent answered, but discovery has no room
TURNED_AWAY_MOST = 4  # times that: doubled too
CONNECT_WITHIN = 1.0
NO_ROOM = 503  # status


class Exchange(asyncio.Protocol):
    """One HTTP connection with one call out at a time."""

    def __init__(self, watch: Watch) -> None:
        self.watch, self.http = watch, h11.Connection(h11.CLIENT)
        self.address = watch.address
        self.status, self.body = 0, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connected: after a gap the whole list is fetched."""
        self.transport = transport
        self.watch.connected(self)

    def call(self, target: str, host: str) -> None:
        """Send one request."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of it."""
        if self.watch.exchange is not self:  # given up: nothing that it says counts any more
            return
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > BODY_MOST:  # guards memory against an answer without end
                        raise ValueError("an answer is too long")
                elif isinstance(event, h11.EndOfMessage):
                    body, self.body = bytes(self.body), bytearray()
                    if self.status != 200:
                        if self.status == NO_ROOM:
                            self.watch.turned_away()
                        raise ValueError(f"discovery answered {self.status}")
                    listed = self.watch.parse(body)
                    self.http.start_next_cycle()
                    self.watch.answered(listed)
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (
            ValueError,
            LookupError,
            TypeError,
            AttributeError,
            RecursionError,
            ArithmeticError,
            h11.ProtocolError,
        ) as wrong:
            log.warning("discovery: %.200s", wrong)
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Closed by the agent, or by us as it made no sense."""
        self.watch.lost(self)


class Watch:
    """Keeps the list of hosts up to date for as long as the gateway runs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        told: Callable[[HostList], None],
        wait: float = WAIT,
        answer_within: float = ANSWER_WITHIN,
        ask_within: float = ASK_WITHIN,
        seed: int | None = None,
    ) -> None:
        self.loop, self.address, self.zones, self.told = loop, address, zones, told
        self.wait, self.answer_within, self.ask_within = wait, answer_within, ask_within
        self.room = 0.0  # seconds: bound of the wait while discovery has none
        self.back_off = BACK_OFF
        self.random = random.Random(seed)
        self.version: int | None = None  # of the list that was heard last
        self.news = News()
        self.exchange: Exchange | None = None
        self.silence: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None
        self.again: asyncio.TimerHandle | None = None  # the next try to connect

    def start(self) -> None:
        """Connect and begin."""
        self.again = None
        self.task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                await self.loop.create_connection(lambda: Exchange(self), *self.address)
        except OSError:
            if self.exchange is None:  # it may have come up in the last moment
                self._later()

    def _later(self) -> None:
        """Full jitter: gateways that started together ask apart."""
        wait = (self.room or self.back_off) * (1 - self.random.random())
        self.back_off = min(BACK_OFF_MOST, 2 * self.back_off)
        self.again = self.loop.call_later(wait, self.start)

    def turned_away(self) -> None:
        """Discovery has no room. It takes a call of every gateway within ``ask_within``, and the calls that it turns
        away cost it work too: all gateways asking each second would keep it too busy to answer any."""
        most = TURNED_AWAY_MOST * self.ask_within
        self.room = min(most, 2 * self.room) if self.room else self.ask_within

    def move(self, address: Address) -> None:
        """A reload names another agent: connect there at once; what the old one still says is not heard."""
        if address == self.address:
            return
        self.address, self.back_off, self.room, self.version = address, BACK_OFF, 0.0, None
        old, self.exchange = self.exchange, None
        if self.silence:
            self.silence.cancel()
        if old:
            old.transport.abort()
        if self.again:
            self.again.cancel()
        if self.task:  # it may be on its way to the old address
            self.task.cancel()
        self.start()

    def connected(self, exchange: Exchange) -> None:
        """A new connection: what changed meanwhile is not known, so the whole list."""
        if exchange.address != self.address:  # guards against a connection begun before a move
            exchange.transport.abort()
            return
        self.exchange = exchange
        if (
            self.room and self.version is not None
        ):  # what changed since costs discovery less than the whole list
            self._watch()
        else:
            self.version = None
            self._call(PATH, self.answer_within)

    def parse(self, body: bytes) -> HostList:
        """An answer as a list; raises where it is none."""
        return parse_hosts(json.loads(body), self.zones)

    def answered(self, listed: HostList) -> None:
        """Call again at once, then pass on what was told."""
        self.back_off, self.room = BACK_OFF, 0.0
        if self.version is not None and listed.version < self.version:  # a registry that counts anew
            self.version = None
            self._call(PATH, self.answer_within)
        else:
            self.version = listed.version
            self._watch()
        if listed.odd:
            log.warning("discovery: %d odd entries left out", listed.odd)
        if listed.whole or listed.hosts:
            self.told(self.news.sift(listed, self.loop.time()))

    def _watch(self) -> None:
        """Wait for what is newer than the version that was heard last."""
        target = f"{PATH}?index={self.version}&wait={int(self.wait * 1000)}"
        self._call(target, self.wait + self.answer_within)

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone: a new one after a short while."""
        if exchange is self.exchange:
            self.exchange = None
            self.silence.cancel()
            self._later()

    def _call(self, target: str, within: float) -> None:
        if self.silence:
            self.silence.cancel()
        self.silence = self.loop.call_later(within, self.exchange.transport.abort)
        self.exchange.call(target, ":".join(map(str, self.address)))
