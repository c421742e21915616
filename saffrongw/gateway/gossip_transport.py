"""The UDP socket for gossip between gateways; senders are identified by their source address."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from ..policy import gossip_codec
from .config import Address
from .driver import Driver


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and receives gossip datagrams at ``peer_listen``."""

    # Both are set when the socket is open.
    transport: asyncio.DatagramTransport
    sock: socket.socket

    def __init__(self, driver: Driver, addresses: tuple[Address, ...], own_index: int) -> None:
        """``addresses`` are those of all gateways by node index, including this one."""
        self.driver = driver
        self.addresses = addresses
        self.node_indexes = {
            address: index for index, address in enumerate(addresses) if index != own_index
        }

    async def listen(self, sock: socket.socket | None, address: Address) -> None:
        """Open on the socket handed over by a hot restart, or on a new one at the address."""
        if sock is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            # A new version that can't take over the socket binds the same address as this process.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
        sock.setblocking(False)
        self.sock = sock
        await self.driver.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self) -> None:
        """Stop sending and receiving."""
        self.driver.send_gossip = _discard
        self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the driver send through this transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)
        self.driver.send_gossip = self.send

    def datagram_received(self, body: bytes, source: Address) -> None:
        """Pass a datagram to the driver; drop it if its sender is unknown or its size invalid."""
        node_index = self.node_indexes.get(source)
        if node_index is not None and 0 < len(body) <= gossip_codec.MAX_MESSAGE_BYTES:
            self.driver.gossip_received(node_index, body)

    def error_received(self, error: Exception) -> None:
        """Ignore an error from an earlier datagram: its receiver is down; gossip may be lost."""

    def send(self, node_index: int, body: bytes) -> None:
        """Send a datagram to one gateway."""
        if len(body) <= gossip_codec.MAX_MESSAGE_BYTES and not self.transport.is_closing():
            self.transport.sendto(body, self.addresses[node_index])


def _discard(_node_index: int, _body: bytes) -> None:
    """Drop a datagram, because the socket is closed."""
