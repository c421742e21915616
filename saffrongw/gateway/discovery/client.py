"""The watch on discovery: one kept HTTP connection, the next call at once after each answer."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable

import h11

from ..config import Address, EndpointList, parse_endpoint_list
from .poll_schedule import PollRequest, PollSchedule
from .watch_events import WatchEventFilter

log = logging.getLogger(__name__)

PATH = "/registry/instances"
BODY_MOST = 1 << 20  # bytes of one answer: some thousand hosts
NO_ROOM = 503  # status


def seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """``Retry-After`` in its plain form; 0 where there is none, or a date."""
    for name, value in headers:
        if name == b"retry-after" and value.strip().isdigit():
            return float(value.strip()[:6])
    return 0.0


class Exchange(asyncio.Protocol):
    """One HTTP connection with one call out at a time."""

    def __init__(self, watch: DiscoveryClient) -> None:
        self.watch, self.http = watch, h11.Connection(h11.CLIENT)
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
            self.http.receive_data(
                data
            )  # nothing: its end, which may be that of an answer without a length
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
                    closes = (
                        self.http.our_state is not h11.DONE
                    )  # ``Connection: close``, or HTTP/1.0
                    next_call = self.watch.answered(self.watch.parse(body), closes)
                    if next_call is None:
                        self.transport.close()
                        return
                    self.http.start_next_cycle()
                    self.watch.ask(next_call)
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

    def eof_received(self) -> None:
        """The agent ends it: the last answer may have no other end."""
        self.data_received(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Closed by the agent, or by us as it made no sense."""
        self.watch.lost(self)


class DiscoveryClient:
    """Keeps the list of hosts up to date for as long as the gateway runs; ``Asking`` says when and for what."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        told: Callable[[EndpointList], None],
        asking: PollSchedule,
    ) -> None:
        self.loop, self.address, self.zones, self.told, self.asking = (
            loop,
            address,
            zones,
            told,
            asking,
        )
        self.news = WatchEventFilter()
        self.exchange: Exchange | None = None
        self.opening: Exchange | None = None  # not up yet, and waited for
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
            self._connect()
        elif what == "abort" and self.exchange:
            self.exchange.transport.abort()
        if self.timer:
            self.timer.cancel()
        at = self.asking.next_at()
        self.timer = None if at is None else self.loop.call_later(max(0.0, at - now), self._look)

    def _connect(self) -> None:
        exchange = self.opening = Exchange(self)
        self.task = self.loop.create_task(self._open(exchange))
        self.loop.call_later(self.asking.connect_within, self._not_up, exchange)

    async def _open(self, exchange: Exchange) -> None:
        try:
            await self.loop.create_connection(lambda: exchange, *self.address)
        except OSError:
            self._not_up(exchange)

    def _not_up(self, exchange: Exchange) -> None:
        """It was refused, or is late. Nothing where it is up or was given up.

        Guards a connection that comes up in this very turn: cancelled then, the loop closes it without a word, so what
        is no longer ``opening`` never counts as up.
        """
        if self.opening is exchange:
            self._stop_opening()
            self.asking.lost(self.loop.time())
            self._look()

    def _stop_opening(self) -> None:
        self.opening = None
        if self.task:
            self.task.cancel()
            self.task = None

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
        self._stop_opening()  # it may be on its way to the old address
        self.asking.move(self.loop.time())
        self._look()

    def connected(self, exchange: Exchange) -> None:
        """A new connection."""
        if exchange is not self.opening:  # given up, or begun before a move
            exchange.transport.abort()
            return
        self.exchange, self.opening, self.task = exchange, None, None
        self.ask(self.asking.connected(self.loop.time()))

    def parse(self, body: bytes) -> EndpointList:
        """An answer as a list; raises where it is none."""
        return parse_endpoint_list(json.loads(body), self.zones)

    def answered(self, listed: EndpointList, closes: bool) -> PollRequest | None:
        """Pass on what was told, and only then count it as known: what could not be taken in is asked for again.

        The next call on this connection; None where it closes.
        """
        if listed.odd:
            log.warning("discovery: %d odd entries left out", listed.odd)
        if listed.whole or listed.hosts:
            self.told(self.news.sift(listed, self.loop.time()))
        next_call = self.asking.answered(self.loop.time(), listed.version, closes)
        if next_call is None:
            self.exchange = None
            self._look()
        return next_call

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone: a new one after a while."""
        if exchange is self.exchange:
            self.exchange = None
            self.asking.lost(self.loop.time())
            self._look()

    def ask(self, call: PollRequest) -> None:
        """One call, on the connection that is up."""
        target = (
            PATH
            if call.version is None
            else f"{PATH}?index={call.version}&wait={int(call.wait * 1000)}"
        )
        self.exchange.call(target, ":".join(map(str, self.address)))
        self._look()
