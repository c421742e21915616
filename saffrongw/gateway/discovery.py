"""The watch on discovery: one kept HTTP connection, the next call at once after each answer."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable

import h11

from .asking import Asking, Call
from .config import Address, HostList, parse_hosts
from .news import News

log = logging.getLogger(__name__)

PATH = "/registry/instances"
BODY_MOST = 1 << 20  # bytes of one answer: some thousand hosts
CONNECT_WITHIN = 1.0
NO_ROOM = 503  # status


def seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """``Retry-After`` in its plain form; 0 where there is none, or a date."""
    for name, value in headers:
        if name == b"retry-after" and value.strip().isdigit():
            return float(value.strip()[:6])
    return 0.0


class Exchange(asyncio.Protocol):
    """One HTTP connection with one call out at a time."""

    def __init__(self, watch: Watch) -> None:
        self.watch, self.http = watch, h11.Connection(h11.CLIENT)
        self.address = watch.address
        self.status, self.retry_after, self.body = 0, 0.0, bytearray()
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
                    self.status, self.retry_after = event.status_code, seconds(event.headers)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > BODY_MOST:  # guards memory against an answer without end
                        raise ValueError("an answer is too long")
                elif isinstance(event, h11.EndOfMessage):
                    body, self.body = bytes(self.body), bytearray()
                    if self.status != 200:
                        if self.status == NO_ROOM:
                            self.watch.turned_away(self.retry_after)
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
    """Keeps the list of hosts up to date for as long as the gateway runs; ``Asking`` says when and for what."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        told: Callable[[HostList], None],
        asking: Asking,
    ) -> None:
        self.loop, self.address, self.zones, self.told, self.asking = loop, address, zones, told, asking
        self.news = News()
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin."""
        self.asking.begin(self.loop.time())
        self._look()

    def _look(self) -> None:
        """Do what is due, and come back when the next thing is."""
        now = self.loop.time()
        what = self.asking.due(now)
        if what == "connect":
            self.task = self.loop.create_task(self._connect())
        elif what == "abort" and self.exchange:
            self.exchange.transport.abort()
        if self.timer:
            self.timer.cancel()
        at = self.asking.next_at()
        self.timer = None if at is None else self.loop.call_later(max(0.0, at - now), self._look)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                await self.loop.create_connection(lambda: Exchange(self), *self.address)
        except OSError:
            if self.exchange is None:  # it may have come up in the last moment
                self.asking.lost(self.loop.time())
                self._look()

    def turned_away(self, retry_after: float) -> None:
        """The service has no room."""
        self.asking.refused(self.loop.time(), retry_after)

    def move(self, address: Address) -> None:
        """A reload names another agent: connect there at once; what the old one still says is not heard."""
        if address == self.address:
            return
        self.address = address
        old, self.exchange = self.exchange, None
        if old:
            old.transport.abort()
        if self.task:  # it may be on its way to the old address
            self.task.cancel()
        self.asking.move(self.loop.time())
        self._look()

    def connected(self, exchange: Exchange) -> None:
        """A new connection."""
        if exchange.address != self.address:  # guards against a connection begun before a move
            exchange.transport.abort()
            return
        self.exchange = exchange
        self._call(self.asking.connected(self.loop.time()))

    def parse(self, body: bytes) -> HostList:
        """An answer as a list; raises where it is none."""
        return parse_hosts(json.loads(body), self.zones)

    def answered(self, listed: HostList) -> None:
        """Call again at once, then pass on what was told."""
        self._call(self.asking.answered(self.loop.time(), listed.version))
        if listed.odd:
            log.warning("discovery: %d odd entries left out", listed.odd)
        if listed.whole or listed.hosts:
            self.told(self.news.sift(listed, self.loop.time()))

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone: a new one after a while."""
        if exchange is self.exchange:
            self.exchange = None
            self.asking.lost(self.loop.time())
            self._look()

    def _call(self, call: Call) -> None:
        target = PATH if call.version is None else f"{PATH}?index={call.version}&wait={int(call.wait * 1000)}"
        self.exchange.call(target, ":".join(map(str, self.address)))
        self._look()
