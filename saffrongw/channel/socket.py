"""The channel's UDP socket.

It stores the addresses and incarnations of other gateways, and the handler for each datagram kind.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

from saffrongw.gateway.config import Address

from .signed_datagram import HELLO_KIND, Accepted, Datagram, DatagramCodec, OtherIncarnation

log = logging.getLogger(__name__)

# Gateways whose address or incarnation is remembered.
MAX_GATEWAYS = 4_096
RECEIVE_BUFFER_BYTES = 1 << 20
# Minimum time between two hellos to the same sender.
HELLO_INTERVAL_S = 0.05
# Between attempts to bind in a hot restart, while the previous process still has the address.
BIND_RETRY_S = 0.1

# Called with the sender, its incarnation and the payload.
Handler = Callable[[str, int, bytes], None]

Value = TypeVar("Value")


class UnsentPayload(NamedTuple):
    """A payload to send again once the receiver's incarnation is known."""

    kind: int
    payload: bytes


class DatagramChannel(asyncio.DatagramProtocol):
    """Sends datagrams to gateways by name, and receives datagrams.

    Each authenticated datagram that is not a replay goes to the handler for its kind.
    """

    def __init__(self, codec: DatagramCodec, listen: Address) -> None:
        """Prepare a channel on an address; ``open`` binds it."""
        self.codec = codec
        self.listen = listen
        # Addresses from the operator file, and source addresses of accepted datagrams.
        self.configured: dict[str, Address] = {}
        self.learned: OrderedDict[str, Address] = OrderedDict()
        self.incarnations: OrderedDict[str, int] = OrderedDict()
        self.unsent: OrderedDict[str, UnsentPayload] = OrderedDict()
        # By sender: when it was last sent a hello.
        self.hello_sent_s: OrderedDict[str, float] = OrderedDict()
        self.handlers: dict[int, Handler] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.bind_task: asyncio.Task[None] | None = None
        # Set once the socket is bound: no other process receives what is sent to the address.
        self.is_bound = asyncio.Event()
        # The keys are names in /admin/stats.
        self.counters = {"sent": 0, "received": 0, "bytes_sent": 0, "nowhere": 0, "not_sent": 0}

    # -- opening and closing -----------------------------------------------------------------------

    async def open(self, is_successor: bool) -> None:
        """Bind the socket; in a hot restart, once the previous process has closed its own."""
        if is_successor:
            self.bind_task = asyncio.get_running_loop().create_task(self._bind_when_free())
        else:
            await self._bind()

    async def _bind(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            sock.bind(self.listen)
        except OSError as error:
            sock.close()
            host, port = self.listen
            raise OSError(error.errno, f"channel.listen {host}:{port}: {error.strerror}") from None
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=sock)

    async def _bind_when_free(self) -> None:
        while True:
            try:
                return await self._bind()
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    log.warning('channel: bind_failed: error="%s"', error)
            await asyncio.sleep(BIND_RETRY_S)

    async def close(self) -> None:
        """Stop sending and receiving."""
        if self.bind_task:
            self.bind_task.cancel()
            await asyncio.gather(self.bind_task, return_exceptions=True)
        if self.transport:
            self.transport.close()

    # -- addresses ---------------------------------------------------------------------------------

    def set_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Use these addresses from the operator file; they override those of received datagrams."""
        self.configured = dict(addresses)

    @staticmethod
    def _remember(values: OrderedDict[str, Value], name: str, value: Value) -> None:
        values[name] = value
        values.move_to_end(name)
        while len(values) > MAX_GATEWAYS:
            values.popitem(last=False)

    # -- sending -----------------------------------------------------------------------------------

    def send(self, receiver: str, kind: int, payload: bytes) -> None:
        """Send to a gateway by name; without a known address the payload is counted and lost."""
        address = self.configured.get(receiver) or self.learned.get(receiver)
        if address is None or self.transport is None or self.transport.is_closing():
            self.counters["nowhere"] += 1
            return
        incarnation = self.incarnations.get(receiver, 0)
        if not incarnation:
            self._remember(self.unsent, receiver, UnsentPayload(kind, payload))
        self._write(address, self.codec.pack(receiver, incarnation, kind, payload))

    def _write(self, address: Address, data: bytes) -> None:
        self.counters["sent"] += 1
        self.counters["bytes_sent"] += len(data)
        try:
            if self.transport is not None:
                self.transport.sendto(data, address)
        except OSError:
            # No route, or a full buffer: the datagram is lost.
            self.counters["not_sent"] += 1

    # -- receiving ---------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        self.transport = transport  # type: ignore[assignment]
        self.is_bound.set()

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Handle a received datagram, whose sender is not authenticated yet."""
        opened = self.codec.open(data)
        if isinstance(opened, OtherIncarnation):
            self._send_hello(opened.datagram, source)
        elif isinstance(opened, Accepted):
            self._accept(opened.datagram, source)

    def _accept(self, datagram: Datagram, source: Address) -> None:
        self.counters["received"] += 1
        self._remember(self.learned, datagram.sender, source)
        self._remember(self.incarnations, datagram.sender, datagram.incarnation)
        if datagram.kind == HELLO_KIND:
            if unsent := self.unsent.pop(datagram.sender, None):
                self.send(datagram.sender, unsent.kind, unsent.payload)
        elif handler := self.handlers.get(datagram.kind):
            self.unsent.pop(datagram.sender, None)
            handler(datagram.sender, datagram.incarnation, datagram.payload)

    def _send_hello(self, datagram: Datagram, source: Address) -> None:
        """Send a hello with our incarnation to the sender of a datagram.

        It is addressed to the incarnation that the sender named; no other one accepts it.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self.hello_sent_s.get(datagram.sender, -1.0) < HELLO_INTERVAL_S:
            return
        self._remember(self.hello_sent_s, datagram.sender, now_s)
        hello = self.codec.pack(datagram.sender, datagram.incarnation, HELLO_KIND, b"")
        self._write(source, hello)

    def error_received(self, error: Exception) -> None:
        """Ignore the error of an earlier datagram, whose receiver is down."""
