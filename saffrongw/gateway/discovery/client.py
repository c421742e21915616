"""The discovery client: one persistent HTTP connection, the next poll at once after each answer."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from typing import cast

import h11

from ..config import Address, EndpointList, parse_endpoint_list
from .poll_schedule import PollAction, PollRequest, PollSchedule
from .watch_events import WatchEventFilter

log = logging.getLogger(__name__)

PATH = "/registry/instances"
# One answer: some thousand endpoints.
MAX_BODY_BYTES = 1 << 20
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# Digits of ``Retry-After`` that are read.
MAX_RETRY_AFTER_DIGITS = 6
MS_PER_S = 1_000

# Whatever an answer, or the listener that applies its list, raises closes the connection: the poll
# is then repeated on a new one, and an answer that was not applied is fetched again.
ANSWER_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
    ArithmeticError,
    h11.ProtocolError,
)


class DiscoveryError(ValueError):
    """An answer of the discovery service can't be used; the message names the cause."""


def retry_after_seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return ``Retry-After`` in seconds; 0 where there is none, or where it is a date."""
    for name, value in headers:
        digits = value.strip()
        if name == b"retry-after" and digits.isdigit():
            return float(digits[:MAX_RETRY_AFTER_DIGITS])
    return 0.0


class DiscoveryConnection(asyncio.Protocol):
    """One HTTP connection to the discovery service, with one poll in flight at a time."""

    transport: asyncio.Transport

    def __init__(self, client: DiscoveryClient) -> None:
        """Begin without a transport, which the event loop hands over."""
        self.client = client
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.retry_after_s = 0.0
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first poll."""
        self.transport = cast(asyncio.Transport, transport)
        self.client.connected(self)

    def send(self, target: str, host: str) -> None:
        """Send one request."""
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """Read an answer, or a part of it; empty data is the end of the connection."""
        if self.client.connection is not self:
            return  # Given up: what still arrives must not count.
        try:
            self.http.receive_data(data)
            self._read_events()
        except ANSWER_ERRORS as error:
            log.warning("discovery: answer unusable: error=%.200s", error)
            self.transport.abort()

    def _read_events(self) -> None:
        while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.retry_after_s = retry_after_seconds(event.headers)
            elif isinstance(event, h11.Data):
                self._append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if not self._answer_complete():
                    return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _append(self, data: bytes) -> None:
        """Collect the body; bounded, as an answer without end would use up the memory."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise DiscoveryError(f"an answer is longer than {MAX_BODY_BYTES} bytes")

    def _answer_complete(self) -> bool:
        """Apply a complete answer and send the next poll; False where the connection ends."""
        body = bytes(self.body)
        self.body = bytearray()
        if self.status != HTTP_OK:
            if self.status == HTTP_UNAVAILABLE:
                self.client.rejected(self.retry_after_s)
            raise DiscoveryError(f"discovery answered {self.status}")
        # ``Connection: close``, or HTTP/1.0.
        connection_closes = self.http.our_state is not h11.DONE
        request = self.client.answered(self.client.parse(body), connection_closes)
        if request is None:
            self.transport.close()
            return False
        self.http.start_next_cycle()
        self.client.poll(self, request)
        return True

    def eof_received(self) -> None:
        """Read the end of the connection: the last answer may have no other end."""
        self.data_received(b"")

    def connection_lost(self, _error: Exception | None) -> None:
        """Report the end of the connection, by the service or by us."""
        self.client.lost(self)


class DiscoveryClient:
    """Keep the endpoint list up to date for as long as the gateway runs.

    ``PollSchedule`` says when to connect and what to poll for; lists go to ``notify`` without older
    watch events.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        notify: Callable[[EndpointList], None],
        schedule: PollSchedule,
    ) -> None:
        """Begin without a connection."""
        self.loop = loop
        self.address = address
        self.zones = zones
        self.notify = notify
        self.schedule = schedule
        self.watch_events = WatchEventFilter()
        self.connection: DiscoveryConnection | None = None
        # The connection that is being opened.
        self.opening: DiscoveryConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.connect_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to poll."""
        self.schedule.begin(self.loop.time())
        self._advance()

    def move(self, address: Address) -> None:
        """Connect to another service at once.

        A reload named it; what the old one still sends is ignored.
        """
        if address == self.address:
            return
        self.address = address
        previous = self.connection
        self.connection = None
        if previous:
            previous.transport.abort()
        self._cancel_opening()  # It may be on its way to the old address.
        self.schedule.change_service(self.loop.time())
        self._advance()

    # -- the schedule
    # -----------------------------------------------------------------------------------------

    def _advance(self) -> None:
        """Do what is due, and set the timer for what is due next."""
        now = self.loop.time()
        action = self.schedule.due(now)
        if action is PollAction.CONNECT:
            self._connect()
        elif action is PollAction.ABORT and self.connection:
            self.connection.transport.abort()
        if self.timer:
            self.timer.cancel()
        next_at = self.schedule.next_at()
        if next_at is None:
            self.timer = None
        else:
            self.timer = self.loop.call_later(max(0.0, next_at - now), self._advance)

    def _connect(self) -> None:
        connection = DiscoveryConnection(self)
        self.opening = connection
        self.connect_task = self.loop.create_task(self._open(connection))
        self.loop.call_later(self.schedule.connect_timeout_s, self._connect_failed, connection)

    async def _open(self, connection: DiscoveryConnection) -> None:
        host, port = self.address
        try:
            await self.loop.create_connection(lambda: connection, host, port)
        except OSError:
            self._connect_failed(connection)

    def _connect_failed(self, connection: DiscoveryConnection) -> None:
        """Give up a connection that was refused or is late.

        Nothing happens where it is established or was given up already.

        Guards a connection that is established in this very turn of the event loop: when its task
        is cancelled then, the loop closes it without a callback, so what is no longer ``opening``
        never counts as established.
        """
        if self.opening is connection:
            self._cancel_opening()
            self.schedule.lost(self.loop.time())
            self._advance()

    def _cancel_opening(self) -> None:
        self.opening = None
        if self.connect_task:
            self.connect_task.cancel()
            self.connect_task = None

    # -- what happens on a connection
    # -------------------------------------------------------------------------

    def connected(self, connection: DiscoveryConnection) -> None:
        """Send the first poll of a new connection."""
        if connection is not self.opening:
            # Given up, or opened before a move.
            connection.transport.abort()
            return
        self.connection = connection
        self.opening = None
        self.connect_task = None
        self.poll(connection, self.schedule.connected(self.loop.time()))

    def poll(self, connection: DiscoveryConnection, request: PollRequest) -> None:
        """Send one poll."""
        target = PATH
        if request.version is not None:
            wait_ms = int(request.watch_s * MS_PER_S)
            target = f"{PATH}?index={request.version}&wait={wait_ms}"
        host, port = self.address
        connection.send(target, f"{host}:{port}")
        self._advance()

    def parse(self, body: bytes) -> EndpointList:
        """Return an answer as an endpoint list; raises ``ValueError`` where it is none."""
        return parse_endpoint_list(json.loads(body), self.zones)

    def answered(self, listed: EndpointList, connection_closes: bool) -> PollRequest | None:
        """Pass an answer on, and only then count its version as known.

        What could not be applied is polled again.

        Returns the next poll on this connection; None where the connection closes.
        """
        if listed.malformed_count:
            log.warning("discovery: entries malformed: count=%d", listed.malformed_count)
        if listed.is_complete or listed.endpoints:
            self.notify(self.watch_events.drop_older(listed, self.loop.time()))
        request = self.schedule.answered(self.loop.time(), listed.version, connection_closes)
        if request is None:
            self.connection = None
            self._advance()
        return request

    def rejected(self, retry_after_s: float) -> None:
        """Take note that the service has no capacity."""
        self.schedule.rejected(self.loop.time(), retry_after_s)

    def lost(self, connection: DiscoveryConnection) -> None:
        """Schedule a new connection where the current one is lost."""
        if connection is self.connection:
            self.connection = None
            self.schedule.lost(self.loop.time())
            self._advance()
