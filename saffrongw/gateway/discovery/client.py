"""The discovery client: one persistent HTTP connection, with a poll right after each answer."""

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
# Enough for an answer with some thousand endpoints.
MAX_BODY_BYTES = 1 << 20
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# Digits of ``Retry-After`` that are read.
MAX_RETRY_AFTER_DIGITS = 6
MS_PER_S = 1_000
# Polls that wait for the service to read them; it gets one at a time, so it has read none for long.
MAX_UNREAD_POLL_BYTES = 64 * 1024

# Errors in parsing an answer, or in the listener that applies its list. They close the connection:
# the poll is repeated on a new one, so an answer that was not applied is fetched again.
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
    """An answer of the discovery service is unusable; the message names the cause."""


def retry_after_seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return ``Retry-After`` in seconds; 0 if it is missing or a date."""
    for name, value in headers:
        digits = value.strip()
        if name == b"retry-after" and digits.isdigit():
            return float(digits[:MAX_RETRY_AFTER_DIGITS])
    return 0.0


class DiscoveryConnection(asyncio.Protocol):
    """One HTTP connection to the discovery service, with one poll in flight at a time."""

    transport: asyncio.Transport

    def __init__(self, client: DiscoveryClient) -> None:
        """Prepare for a connection that is not open yet."""
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
        """Send one request; raises ``DiscoveryError`` if the service reads none."""
        if self.transport.get_write_buffer_size() > MAX_UNREAD_POLL_BYTES:
            raise DiscoveryError("the service answers and does not read")
        request = h11.Request(method="GET", target=target, headers=[("host", host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """Process an answer, or a part of it; empty data is the end of the connection."""
        if self.client.connection is not self:
            return  # Abandoned or replaced: answers on it are ignored.
        try:
            self.http.receive_data(data)
            self._read_events()
        except ANSWER_ERRORS as error:
            self._answer_unusable(error)

    def _answer_unusable(self, error: Exception) -> None:
        log.warning("discovery: answer unusable: error=%.200s", error)
        self.transport.abort()

    def _await_next_turn(self) -> None:
        """Leave what follows an answer to the next iteration of the event loop.

        A service that sends answers that nobody has asked for must not keep clients waiting.
        """
        self.transport.pause_reading()
        self.client.loop.call_soon(self._continue_reading)

    def _continue_reading(self) -> None:
        if self.client.connection is not self or self.transport.is_closing():
            return
        self.transport.resume_reading()
        try:
            self._read_events()
        except ANSWER_ERRORS as error:
            self._answer_unusable(error)

    def _read_events(self) -> None:
        """Process what has arrived, up to the end of one answer."""
        while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.retry_after_s = retry_after_seconds(event.headers)
            elif isinstance(event, h11.Data):
                self._append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if not self._answer_complete():
                    return
                if self.http.trailing_data[0] and not self.transport.is_closing():
                    self._await_next_turn()
                    return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _append(self, data: bytes) -> None:
        """Collect the body, up to a limit: an endless answer would use up the memory."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise DiscoveryError(f"an answer is longer than {MAX_BODY_BYTES} bytes")

    def _answer_complete(self) -> bool:
        """Apply a complete answer and send the next poll; False if the connection ends."""
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
        """Process the end of the connection: an answer without a length ends with it."""
        self.data_received(b"")

    def connection_lost(self, _error: Exception | None) -> None:
        """Report the end of the connection, whichever side closed it."""
        self.client.lost(self)


class DiscoveryClient:
    """Keeps the endpoint list up to date for as long as the gateway runs.

    ``PollSchedule`` decides when to connect and what to poll for. Lists go to ``notify`` after
    ``WatchEventFilter`` has removed outdated events.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        zones: tuple[str, ...],
        notify: Callable[[EndpointList], None],
        schedule: PollSchedule,
    ) -> None:
        """Prepare; nothing is polled before ``start``."""
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
        """Start polling."""
        self.schedule.begin(self.loop.time())
        self._advance()

    def move(self, address: Address) -> None:
        """Switch to another service at once, as a configuration reload demands.

        What the old one still sends is ignored.
        """
        if address == self.address:
            return
        self.address = address
        previous = self.connection
        self.connection = None
        if previous:
            previous.transport.abort()
        self._cancel_opening()  # It may be connecting to the old address.
        self.schedule.change_service(self.loop.time())
        self._advance()

    # -- the schedule -----------------------------------------------------------------------------

    def _advance(self) -> None:
        """Do what the schedule demands now, and set the timer for its next action."""
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
        """Abandon a connection that was refused or not established in time.

        Does nothing if it is established, or abandoned already.

        It may be established in this very turn of the event loop. If its task is cancelled then,
        the loop closes it without a callback: so only the connection in ``opening`` may become the
        current one.
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

    # -- events of a connection -------------------------------------------------------------------

    def connected(self, connection: DiscoveryConnection) -> None:
        """Send the first poll of a new connection."""
        if connection is not self.opening:
            # Abandoned, or opened before the switch to another service.
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
        """Parse an answer to an endpoint list; raises ``ValueError`` if it is malformed."""
        return parse_endpoint_list(json.loads(body), self.zones)

    def answered(self, listed: EndpointList, connection_closes: bool) -> PollRequest | None:
        """Apply an answer, and only then report its version to the schedule.

        So a list that could not be applied is polled again. Returns the next poll on this
        connection, or None if the connection closes.
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
        """Tell the schedule that the service rejected a poll for lack of capacity."""
        self.schedule.rejected(self.loop.time(), retry_after_s)

    def lost(self, connection: DiscoveryConnection) -> None:
        """Schedule a new connection if the current one is lost."""
        if connection is self.connection:
            self.connection = None
            self.schedule.lost(self.loop.time())
            self._advance()
