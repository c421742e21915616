"""Replies that lie in the gateway's write buffers while their clients read slowly."""

from __future__ import annotations

import asyncio
import hashlib

import pytest
from async_testing import asyncio_test, until
from client_rig import SmallBufferClient
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.downstream import graceful_shutdown, idle_reaper
from saffrongw.gateway.downstream.connection import ClientConnection

LONG = hashlib.shake_128(b"long").digest(100_000)
REPLY = b"$100000\r\n" + LONG + b"\r\n"
# Bytes that a slow client reads at a time: few enough that it reads for longer than any timeout.
PIECE_BYTES = 8_000


@pytest.fixture(autouse=True)
def _short_timeouts(monkeypatch):
    monkeypatch.setattr(idle_reaper, "CLOSE_TIMEOUT_S", 0.5)
    monkeypatch.setattr(idle_reaper, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(graceful_shutdown, "UNFINISHED_COMMAND_GRACE_S", 0.1)


async def client_with_unwritten_value(
    **rig_options,
) -> tuple[Rig, SmallBufferClient, ClientConnection]:
    """Return a client that has read nothing of a value that has arrived completely."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: value(LONG)
    rig = Rig(endpoint, **rig_options)
    await rig.listen()
    client = await SmallBufferClient.connect(rig)
    (connection,) = rig.clients.connections
    connection.transport.set_write_buffer_limits(high=len(REPLY))
    client.call(b"long")
    await until(lambda: rig.driver.metrics.served == [1, 0, 0] and not connection.slots)
    assert connection.transport.get_write_buffer_size() > len(REPLY) // 2
    return rig, client, connection


async def read_slowly(client: SmallBufferClient) -> bytes:
    """Read a reply in pieces, for about 2 s in all."""
    received = b""
    while len(received) < len(REPLY):
        await asyncio.sleep(0.15)
        if not (piece := await client.receive(min(PIECE_BYTES, len(REPLY) - len(received)))):
            break
        received += piece
    return received


@asyncio_test
async def test_drain_waits_for_a_client_that_reads_its_value_slowly():
    """A planned restart cut off values whose clients read on (review, case 2)."""
    rig, client, connection = await client_with_unwritten_value()
    draining = rig.loop.create_task(rig.clients.shutdown.drain(0.0))
    assert await read_slowly(client) == REPLY
    await draining
    await until(lambda: connection not in rig.clients.connections)


@asyncio_test
async def test_hand_over_waits_for_a_client_that_reads_its_value_slowly():
    rig, client, connection = await client_with_unwritten_value()
    given: list[int] = []
    shutdown = rig.clients.shutdown
    shutdown.start_countdown()

    def give(descriptor: int, _unprocessed: bytes, _waited_us: int) -> bool:
        given.append(descriptor)
        return True

    shutdown.hand_over(give)
    finishing = rig.loop.create_task(shutdown.finish())
    await asyncio.sleep(0)
    assert not given
    reading = rig.loop.create_task(read_slowly(client))
    await finishing
    assert len(given) == 1 and connection not in rig.clients.connections
    assert await reading == REPLY


@asyncio_test
async def test_quiesce_closes_the_connection_only_after_its_client_has_read_slowly():
    rig, client, connection = await client_with_unwritten_value()
    rig.clients.shutdown.quiesce()
    assert connection.transport.is_closing()
    assert await read_slowly(client) == REPLY
    await until(lambda: connection not in rig.clients.connections)


@asyncio_test
async def test_error_closes_the_connection_only_after_its_client_has_read_slowly():
    rig, client, connection = await client_with_unwritten_value()
    client.sock.send(b"*1\r\n$4\r\nNONE\r\n")
    await until(lambda: connection.is_closing)
    assert await read_slowly(client) == REPLY
    assert (await client.receive(len(b"-ERR unknown command\r\n"))).startswith(b"-ERR")
    await until(lambda: connection not in rig.clients.connections)


@asyncio_test
async def test_drain_gives_up_a_client_that_reads_nothing():
    rig, client, connection = await client_with_unwritten_value()
    await rig.clients.shutdown.drain(0.0)
    await until(lambda: connection not in rig.clients.connections)
    assert len(await client.receive(len(REPLY))) < len(REPLY)


@asyncio_test
async def test_drain_ends_before_the_process_is_killed_though_a_client_reads_on(monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "MAX_KILL_DELAY_S", 0.0)
    rig, client, _connection = await client_with_unwritten_value()
    reading = rig.loop.create_task(read_slowly(client))
    await rig.clients.shutdown.drain(0.0)
    assert not reading.done()
    reading.cancel()


@asyncio_test
async def test_connection_with_an_unwritten_value_is_not_evicted():
    rig, client, connection = await client_with_unwritten_value(sockets=2)
    silent = await rig.caller()
    late = await rig.caller()
    await until(lambda: silent.closed)
    late.ask(b"PING")
    assert await late.replied() == [b"PONG"]
    assert connection in rig.clients.connections
    assert await read_slowly(client) == REPLY
