"""Gossip datagrams between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway.gossip_transport import GossipTransport
from saffrongw.policy import gossip_codec


@asyncio_test
async def test_datagrams_are_attributed_by_source_and_malformed_ones_are_dropped():
    rig = Rig(await FakeEndpoint("a").listen())
    peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (peer, stranger):
        sock.bind(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: GossipTransport(rig.driver, (("127.0.0.1", 1), peer.getsockname()), 0),
        local_addr=("127.0.0.1", 0),
    )
    own = transport.get_extra_info("sockname")
    row = gossip_codec.GossipRow(9, 0, 0, 2, 0, 50.0, 50.0, 0.0, ())
    good = gossip_codec.pack_message(
        rig.driver.clock() // 1000, True, True, [gossip_codec.pack_row(row, 0, 2)]
    )
    stranger.sendto(good, own)
    peer.sendto(b"x" * 300, own)
    peer.sendto(b"\xff" * 40, own)
    peer.sendto(b"", own)
    peer.sendto(good, own)
    await until(lambda: 9 in rig.driver.gateway.quota_counters.customers)
    assert list(rig.driver.gateway.reachability.last_received_us) == [1]
    peer.setblocking(False)
    reply = await loop.sock_recv(peer, 512)
    assert len(reply) <= gossip_codec.MAX_MESSAGE_BYTES
    stranger.setblocking(False)
    # An unknown source gets no reply.
    with pytest.raises(BlockingIOError):
        stranger.recv(512)
    transport.close()
