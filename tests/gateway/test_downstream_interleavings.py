"""Harmful orders of events on the client side, each forced over real connections."""

from __future__ import annotations

import asyncio
import os
import socket

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.downstream import idle_reaper
from saffrongw.gateway.downstream.connection import MAX_PIPELINED_COMMANDS


async def client_at_pipeline_limit(rig: Rig, endpoint: FakeEndpoint):
    """Return a client with a request in flight and so many more commands that reading is paused."""
    caller = await rig.caller()
    endpoint.script = lambda command: None
    caller.call(wait=20_000, number=b"held")
    await until(lambda: endpoint.commands)
    for _ in range(MAX_PIPELINED_COMMANDS - 1):
        caller.ask(b"PING")
    for number in range(50):
        caller.call(wait=20_000, number=b"more%d" % number)
    (client,) = rig.clients.connections
    await until(lambda: not client.is_reading)
    return caller, client


@pytest.mark.parametrize("leave", ["close", "abort", "write_eof"])
@pytest.mark.parametrize("why", ["many", "closing", "unread replies", "handing over"])
@asyncio_test
async def test_client_disconnect_is_noticed_while_reads_are_paused(why, leave):
    """The loop does not report the end of a connection that it does not read from."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    if why == "many":
        caller, client = await client_at_pipeline_limit(rig, endpoint)
    else:
        caller = await rig.caller()
        endpoint.script = lambda command: None
        caller.call(wait=20_000, number=b"held")
        await until(lambda: endpoint.commands)
        (client,) = rig.clients.connections
    if why == "closing":
        caller.ask(b"NONSENSE")
    elif why == "unread replies":
        client.pause_writing()
    elif why == "handing over":
        rig.clients.shutdown.hand_over(lambda fd, unprocessed: False)
    await until(lambda: not client.is_reading)
    getattr(caller.transport, leave)()
    await until(lambda: not rig.driver.requests and not rig.clients.connections)
    await until(lambda: not endpoint.connections)
    assert (
        len(endpoint.commands) == 1
        and not rig.clients.paused_reads.connections
        and not rig.clients.open_request_ids
    )


@asyncio_test
async def test_client_with_paused_reads_is_served_completely():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller, _ = await client_at_pipeline_limit(rig, endpoint)
    await asyncio.sleep(0.3)  # several checks of the paused connections
    endpoint.script = lambda command: value(b"ok")
    endpoint.connections[0].transport.write(value(b"first"))
    await caller.replied(MAX_PIPELINED_COMMANDS + 50)
    assert caller.replies[0] == b"first" and caller.replies[-1] == b"ok"
    await until(
        lambda: (
            not rig.clients.paused_reads.connections and not rig.clients.paused_reads.is_checking
        )
    )


@asyncio_test
async def test_client_that_ends_sending_with_unwritten_replies_counts_as_disconnected():
    """The loop closes it once all is written, which never happens if the client reads nothing."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    (client,) = rig.clients.connections
    for transport in (client.transport, caller.transport):
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
    caller.transport.pause_reading()
    client.transport.set_write_buffer_limits(high=1 << 30)
    client.transport.write(b"+PONG\r\n" * 1_000_000)  # more than the socket buffers hold
    caller.call(wait=20_000, number=b"held")
    await until(lambda: endpoint.commands)
    assert client.transport.get_write_buffer_size() > 1_000_000
    caller.transport.write_eof()
    await until(lambda: not rig.driver.requests and not endpoint.connections)
    assert not rig.clients.open_request_ids


async def three_replies(rig: Rig, endpoints: list[FakeEndpoint]):
    """Return a client with three requests: one in flight, one streaming, one that has its reply."""
    peers, caller = {}, await rig.caller()

    def script(command, endpoint):
        peers[command[2]] = endpoint.peer
        return value(b"3") if command[2] == b"after" else None

    for endpoint in endpoints:
        endpoint.script = lambda command, endpoint=endpoint: script(command, endpoint)
    for number in (b"first", b"long", b"after"):
        caller.call(wait=20_000, number=number)
    await until(lambda: len(peers) == 3)
    peers[b"long"].transport.write(value(bytes(300_000))[:50_000])
    (client,) = rig.clients.connections
    await until(lambda: client.slots[1].reply is not None and client.slots[2].reply is not None)
    return caller, client, peers


@asyncio_test
async def test_streaming_reply_broken_off_before_its_turn_fails_and_later_replies_are_written():
    """It ends before its turn, when no sink is attached to which that could be reported."""
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(*endpoints)
    caller, client, peers = await three_replies(rig, endpoints)
    peers[b"long"].transport.abort()
    await until(lambda: client.slots[1].reply.is_broken)
    peers[b"first"].transport.write(value(b"1"))
    first, long, after = await caller.replied(3)
    assert (first, error(long), after) == (b"1", "ERR failed", b"3")
    caller.call(number=b"after")  # the connection and the ids are usable again
    assert (await caller.replied(4))[3] == b"3"
    assert not rig.clients.open_request_ids


@asyncio_test
async def test_reply_written_before_broken_streaming_reply_reaches_client(monkeypatch):
    monkeypatch.setattr(idle_reaper, "CLOSE_TIMEOUT_S", 60.0)  # small socket buffers are slow
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(*endpoints)
    caller, client, _ = await three_replies(rig, endpoints)
    first = (
        next(call for call in rig.driver.requests.values() if call.parts[2] == b"first")
        .attempts[0]
        .carrier
    )
    source = client.slots[1].reply.source
    caller.transport.pause_reading()
    for transport, option in (
        (client.transport, socket.SO_SNDBUF),
        (caller.transport, socket.SO_RCVBUF),
    ):
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
    client.transport.write(b"$7\r\nearlier\r\n" * 20_000)  # more than the socket buffers hold
    first.data_received(value(b"1"))
    source.transport.abort()
    source.connection_lost(None)
    assert client.transport.get_write_buffer_size() > 100_000
    caller.transport.resume_reading()
    await until(lambda: caller.closed)
    assert len(caller.replies) == 20_001 and caller.replies[-1] == b"1"
    await until(
        lambda: (
            not rig.clients.connections
            and not rig.driver.requests
            and not rig.clients.open_request_ids
        )
    )


def send_unread(caller: Caller, number: bytes, start: int = 0, end: int | None = None) -> None:
    """Send a request, or a part of it, that is unread in the gateway's socket on return."""
    terms = b"c=read,t=team,d=9000,units=1,spread=2,first=0"
    command = hiredis.pack_command((b"CALL.GET", b"0" * 15 + b"7", number, terms))[start:end]
    assert os.write(caller.transport.get_extra_info("socket").fileno(), command) == len(command)


async def idle_clients(rig: Rig, count: int) -> list[Caller]:
    """Return connections that have sent a command and are idle, the longest idle first."""
    callers = []
    for index in range(count):
        callers.append(await rig.caller())
        callers[-1].ask(b"PING")
        await callers[-1].replied()
        await until(lambda: len(rig.clients.reaper.idle) == index + 1)  # noqa: B023
    return callers


@asyncio_test
async def test_unread_request_on_overdue_idle_connection_is_served():
    rig = Rig(await FakeEndpoint("a").listen())
    sender, idle_caller = await idle_clients(rig, 2)
    for client in rig.clients.reaper.idle:
        rig.clients.reaper.idle[client] -= 100
    send_unread(sender, b"id1")
    rig.clients.reaper._sweep()  # in the same turn
    assert (await sender.replied(2))[1] == b"ok"
    await until(lambda: idle_caller.closed)
    assert not sender.closed


@pytest.mark.parametrize("read_bytes", [0, 30])
@asyncio_test
async def test_unread_remainder_of_command_is_served_after_command_timeout(read_bytes):
    """The process was suspended: by the clock the command is late, but it arrived in time."""
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    (client,) = rig.clients.connections
    if read_bytes:
        send_unread(caller, b"id1", end=read_bytes)
        await until(lambda: len(client.reader))
    rig.clients.reaper.awaiting_command[client] -= 100
    send_unread(caller, b"id1", start=read_bytes)
    rig.clients.reaper._sweep()  # in the same turn
    assert await caller.replied() == [b"ok"]
    assert not caller.closed


@asyncio_test
async def test_unread_request_on_eviction_candidate_is_served():
    """The longest idle connection is evicted, but not one that has just sent a request."""
    rig = Rig(await FakeEndpoint("a").listen(), sockets=4)
    sender, idle_caller, *others = await idle_clients(rig, 4)
    send_unread(sender, b"id1")
    assert rig.clients.ensure_capacity()
    assert (await sender.replied(2))[1] == b"ok"
    await until(lambda: idle_caller.closed)
    assert not any(caller.closed for caller in (sender, *others))
    new_client = await rig.caller()
    await until(lambda: len(rig.clients.connections) == 4)
    send_unread(new_client, b"id2")
    oldest = next(iter(rig.clients.reaper.idle))
    assert (
        rig.clients.ensure_capacity() and oldest not in rig.clients.connections
    )  # not the new connection, whose command lies unread
    assert await new_client.replied() == [b"ok"]


@asyncio_test
async def test_disconnected_client_with_unread_end_is_evicted():
    rig = Rig(await FakeEndpoint("a").listen(), sockets=2)
    disconnected, idle_caller = await idle_clients(rig, 2)
    with socket.socket(
        fileno=os.dup(disconnected.transport.get_extra_info("socket").fileno())
    ) as sock:
        sock.shutdown(socket.SHUT_WR)
    oldest = next(iter(rig.clients.reaper.idle))
    assert rig.clients.ensure_capacity() and oldest not in rig.clients.connections
    await until(lambda: disconnected.closed)
    assert not idle_caller.closed


@asyncio_test
async def test_connections_in_kernel_queue_are_served_when_listener_closes():
    rig = Rig(await FakeEndpoint("a").listen())
    await rig.listen()
    callers = []
    for number in range(40):
        sock = socket.create_connection(rig.clients.acceptor.listener.getsockname())
        terms = b"c=read,t=team,d=9000,units=1,spread=2,first=0"
        sock.sendall(hiredis.pack_command((b"CALL.GET", b"0" * 15 + b"7", b"n%d" % number, terms)))
        callers.append(sock)
    await rig.clients.shutdown.drain(0.0)  # before the loop had a turn to accept them
    for sock in callers:
        sock.settimeout(10)
        assert sock.recv(64) == b"$2\r\nok\r\n"
        sock.close()


@asyncio_test
async def test_unread_request_on_draining_idle_connection_is_served():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    caller.ask(b"PING")
    await caller.replied()
    sock = caller.transport.get_extra_info("socket")
    terms = b"c=read,t=team,d=9000,units=1,spread=2,first=0"
    os.write(sock.fileno(), hiredis.pack_command((b"CALL.GET", b"0" * 15 + b"7", b"id1", terms)))
    rig.clients.shutdown.quiesce()  # in the same turn
    assert (await caller.replied(2))[1] == b"ok"
    await until(lambda: caller.closed)
