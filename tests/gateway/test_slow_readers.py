"""Clients that read steadily, but so slowly that the kernel's buffers hide it."""

from __future__ import annotations

import asyncio
import socket

from async_testing import asyncio_test, until
from client_rig import SmallBufferClient
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway import streaming_reply
from saffrongw.gateway.downstream import idle_reaper

LONG = b"v" * 1_500_000
REPLY = b"$%d\r\n%b\r\n" % (len(LONG), LONG)
SEND_BUFFER_BYTES = 400_000
PIECE_BYTES, PAUSE_S = 20_000, 0.05
STALL_S = 0.4


async def begun_value() -> tuple[Rig, SmallBufferClient]:
    """Return a client for whose long value the kernel takes much at a time."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: value(LONG)
    rig = Rig(endpoint)
    await rig.listen()
    client = await SmallBufferClient.connect(rig)
    (connection,) = rig.clients.connections
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    client.call(b"long")
    await until(lambda: connection.streaming and not connection.is_writable)
    return rig, client


async def read_steadily(client: SmallBufferClient) -> bytes:
    """Read the whole reply in pieces."""
    received = b""
    while len(received) < len(REPLY):
        await asyncio.sleep(PAUSE_S)
        if not (piece := await client.receive(min(PIECE_BYTES, len(REPLY) - len(received)))):
            break
        received += piece
    return received


@asyncio_test
async def test_long_value_arrives_whole(monkeypatch):
    """Guards against a value cut off as only full kernel buffers were seen, not the reading."""
    monkeypatch.setattr(streaming_reply, "STALL_TIMEOUT_S", STALL_S)
    _rig, client = await begun_value()
    assert await read_steadily(client) == REPLY


@asyncio_test
async def test_long_value_arrives_whole_while_the_gateway_drains(monkeypatch):
    monkeypatch.setattr(streaming_reply, "STALL_TIMEOUT_S", STALL_S)
    monkeypatch.setattr(idle_reaper, "CLOSE_TIMEOUT_S", STALL_S)
    monkeypatch.setattr(idle_reaper, "SWEEP_INTERVAL_S", 0.05)
    rig, client = await begun_value()
    rig.clients.shutdown.quiesce()
    assert await read_steadily(client) == REPLY


@asyncio_test
async def test_client_that_reads_nothing_is_given_up(monkeypatch):
    monkeypatch.setattr(streaming_reply, "STALL_TIMEOUT_S", STALL_S)
    rig, _client = await begun_value()
    await until(lambda: not any(each.streaming for each in rig.clients.connections))
