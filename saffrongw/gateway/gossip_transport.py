"""Datagrams between gateways: who sent one is told by its source address alone."""

from __future__ import annotations

import asyncio
import socket

from ..policy import gossip_codec
from .config import Address
from .driver import Driver


class GossipTransport(asyncio.DatagramProtocol):
    """The UDP socket at ``peer_listen``."""

    def __init__(self, driver: Driver, addresses: tuple[Address, ...], own: int) -> None:
        self.driver, self.addresses = driver, addresses
        self.ranks = {address: rank for rank, address in enumerate(addresses) if rank != own}
        self.transport: asyncio.DatagramTransport | None = None
        self.sock: socket.socket | None = None

    async def listen(self, sock: socket.socket | None, address: Address) -> None:
        """Hear and tell from now on, on a socket that is bound already if there is one."""
        if sock is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEPORT, 1
            )  # a new version binds beside this one
            sock.bind(address)
        sock.setblocking(False)
        self.sock = sock
        await self.driver.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self) -> None:
        """Hear and tell nothing more."""
        self.driver.send_gossip = lambda rank, body: None
        self.transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """The socket is bound."""
        self.transport = transport
        self.driver.send_gossip = self.tell

    def datagram_received(self, body: bytes, source: Address) -> None:
        """What a stranger sends, or what is too long to be ours, is dropped."""
        rank = self.ranks.get(source)
        if rank is not None and 0 < len(body) <= gossip_codec.MAX_MESSAGE_BYTES:
            self.driver.peer_said(rank, body)

    def error_received(self, error: Exception) -> None:
        """A peer that is down shows as an error of an earlier datagram: it may be lost, like any other."""

    def tell(self, rank: int, body: bytes) -> None:
        """Send to one gateway."""
        if len(body) <= gossip_codec.MAX_MESSAGE_BYTES and not self.transport.is_closing():
            self.transport.sendto(body, self.addresses[rank])
