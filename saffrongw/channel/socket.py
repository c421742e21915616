"""The channel's one socket: kinds with their handlers, addresses of others, what waits until a life is known."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping

from saffrongw.gateway.config import Address

from .signed_datagram import HELLO, Datagram, DatagramCodec, Opened, Unknown

log = logging.getLogger(__name__)

PLACES_MOST = 4_096  # gateways whose address or life is remembered
HELLO_EVERY = 0.05  # seconds between two hellos to one address
BIND_AGAIN = 0.1  # seconds, while the process before us still has the address
Handler = Callable[[str, int, bytes], None]  # sender, its life, payload


class Channel(asyncio.DatagramProtocol):
    """Sends to gateways by name, hands over what is proved and new."""

    def __init__(self, envelope: DatagramCodec, listen: Address) -> None:
        self.envelope, self.listen = envelope, listen
        self.fixed: dict[str, Address] = {}  # as the operator file has them
        self.learnt: OrderedDict[str, Address] = OrderedDict()  # where others were heard from
        self.lives: OrderedDict[str, int] = OrderedDict()
        self.waiting: OrderedDict[str, tuple[int, bytes]] = (
            OrderedDict()
        )  # until the receiver's life is known
        self.greeted: OrderedDict[str, float] = OrderedDict()
        self.handlers: dict[int, Handler] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.opening: asyncio.Task | None = None
        self.counts = {"sent": 0, "received": 0, "bytes_sent": 0, "nowhere": 0, "not_sent": 0}

    # -- its life -----------------------------------------------------------------------------------------------------

    async def open(self, succeeds: bool) -> None:
        """Bind; where another process still has the address and we succeed it, as soon as that lets go."""
        if succeeds:
            self.opening = asyncio.get_running_loop().create_task(self._open_when_free())
        else:
            await self._bind()

    async def _bind(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            sock.setblocking(False)
            sock.bind(self.listen)
        except OSError as wrong:
            sock.close()
            raise OSError(
                wrong.errno, f"channel.listen {self.listen[0]}:{self.listen[1]}: {wrong.strerror}"
            ) from None
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=sock)

    async def _open_when_free(self) -> None:
        while True:
            try:
                return await self._bind()
            except OSError as wrong:
                if wrong.errno != errno.EADDRINUSE:
                    log.warning("channel: %s", wrong)
            await asyncio.sleep(BIND_AGAIN)

    def close(self) -> None:
        """Hear and say nothing more."""
        if self.opening:
            self.opening.cancel()
        if self.transport:
            self.transport.close()

    # -- who is where -------------------------------------------------------------------------------------------------

    def place(self, addresses: Mapping[str, Address]) -> None:
        """Addresses that the operator file has; they are not learnt from anybody."""
        self.fixed = dict(addresses)

    @staticmethod
    def _keep(kept: OrderedDict, name: str, value: object) -> None:
        kept[name] = value
        kept.move_to_end(name)
        while len(kept) > PLACES_MOST:
            kept.popitem(last=False)

    # -- sending ------------------------------------------------------------------------------------------------------

    def send(self, to: str, kind: int, payload: bytes) -> None:
        """To a gateway by name; lost like any datagram where nobody knows where it is."""
        address = self.fixed.get(to) or self.learnt.get(to)
        if address is None or self.transport is None or self.transport.is_closing():
            self.counts["nowhere"] += 1
            return
        life = self.lives.get(to, 0)
        if not life:
            self._keep(self.waiting, to, (kind, payload))
        self._write(address, self.envelope.pack(to, life, kind, payload))

    def _write(self, address: Address, data: bytes) -> None:
        self.counts["sent"] += 1
        self.counts["bytes_sent"] += len(data)
        try:
            self.transport.sendto(data, address)
        except OSError:  # no route, or a full buffer: lost
            self.counts["not_sent"] += 1

    # -- receiving ----------------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is bound."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, source: Address) -> None:
        """One datagram, from anybody."""
        found = self.envelope.open(data)
        if isinstance(found, Unknown):
            self._greet(found.letter, source)
        elif isinstance(found, Opened):
            letter = found.letter
            self.counts["received"] += 1
            self._keep(self.learnt, letter.sender, source)
            self._keep(self.lives, letter.sender, letter.life)
            if letter.kind == HELLO:
                if waiting := self.waiting.pop(letter.sender, None):
                    self.send(letter.sender, *waiting)
            elif handler := self.handlers.get(letter.kind):
                self.waiting.pop(letter.sender, None)
                handler(letter.sender, letter.life, letter.payload)

    def _greet(self, letter: Datagram, source: Address) -> None:
        """Tell a sender our life, by the life that it named as its own: only that one can take it as new."""
        now = asyncio.get_running_loop().time()
        if now - self.greeted.get(letter.sender, -1.0) < HELLO_EVERY:
            return
        self._keep(self.greeted, letter.sender, now)
        self._write(source, self.envelope.pack(letter.sender, letter.life, HELLO, b""))

    def error_received(self, error: Exception) -> None:
        """One that is down shows as an error of an earlier datagram."""
