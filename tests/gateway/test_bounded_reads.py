"""Connections read in small pieces, and hold no more than one of them that they can't pass on."""

from __future__ import annotations

import asyncio
import socket

import hiredis
from async_testing import asyncio_test, until
from client_rig import SmallBufferClient
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.bounded_reads import READ_BYTES

# Two buffered values.
MAX_UNSENT_BYTES = 128 * 1024

LONG = b"x" * 1_000_000


@asyncio_test
async def test_clients_and_endpoints_are_read_in_bounded_pieces():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    (connection,) = rig.clients.connections
    sizes = []
    receive = connection.data_received
    connection.data_received = lambda data: (sizes.append(len(data)), receive(data))
    caller.transport.write(b"*1\r\n$4\r\nPING\r\n" * 10_000)
    await caller.replied(10_000)
    assert max(sizes) == READ_BYTES


@asyncio_test
async def test_one_piece_is_held_of_a_value_whose_client_reads_nothing():
    endpoint = FakeEndpoint("a")
    endpoint.script = lambda command: value(LONG)
    rig = Rig(await endpoint.listen())
    await rig.listen()
    client = await SmallBufferClient.connect(rig)
    client.call(b"long")
    (connection,) = rig.clients.connections
    await until(lambda: connection.streaming and not connection.is_writable)
    assert connection.held_reply_bytes <= READ_BYTES
    received = await client.receive(len(LONG) + len(b"$1000000\r\n\r\n"))
    assert received == b"$1000000\r\n" + LONG + b"\r\n"
    client.sock.close()


@asyncio_test
async def test_an_adopted_connection_is_not_read_on_while_its_commands_wait():
    rig = Rig(await FakeEndpoint("a").listen())
    await rig.listen()
    here, there = socket.socketpair()
    here.setblocking(False)
    # More than one turn processes.
    initial_data = b"*1\r\n$4\r\nPING\r\n" * 10_000
    rig.clients.adopt(there, initial_data)
    sending = asyncio.create_task(rig.loop.sock_sendall(here, initial_data * 20))
    await until(lambda: rig.clients.connections)
    (connection,) = rig.clients.connections
    await until(lambda: not connection.is_writable)
    await asyncio.sleep(0.3)
    assert len(connection.reader) <= len(initial_data) + READ_BYTES
    sending.cancel()
    here.close()


@asyncio_test
async def test_the_kernel_holds_little_for_a_client_that_reads_nothing():
    endpoint = FakeEndpoint("a")
    endpoint.script = lambda command: value(b"x" * 4_000_000)
    rig = Rig(await endpoint.listen())
    await rig.listen()
    reader = socket.socket()
    reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    reader.setblocking(False)
    await rig.loop.sock_connect(reader, rig.clients.acceptor.listener.getsockname())
    terms = b"c=read,t=team,d=20000,units=1,spread=2,first=0"
    command = (b"CALL.GET", b"0000000000000007", b"long", terms)
    await rig.loop.sock_sendall(reader, hiredis.pack_command(command))
    await until(lambda: any(each.streaming for each in rig.clients.connections))
    (connection,) = rig.clients.connections
    await until(lambda: not connection.is_writable)
    await asyncio.sleep(0.2)
    assert connection.undelivered_bytes <= MAX_UNSENT_BYTES + 2 * READ_BYTES
    reader.close()
