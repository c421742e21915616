"""One upstream connection over loopback sockets: full sending, malformed and duplicate replies."""

from __future__ import annotations

import socket

import pytest
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE, Rig

from saffrongw.policy.events import AttemptEnded, AttemptOutcome


@asyncio_test
async def test_request_not_fully_sent_counts_as_connect_failed():
    """An endpoint that reads nothing never gets the last byte: a rejection is right for any class."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    endpoint = FakeEndpoint("a")
    endpoint.port = listener.getsockname()[1]
    rig = Rig(endpoint)
    ended = []
    feed = rig.driver.feed
    rig.driver.feed = lambda event: (ended.append(event), feed(event))
    caller = await rig.caller()
    pool = rig.cluster.pools[b"a"]
    original = pool.connected

    def connected_with_small_buffer(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original(connection)

    pool.connected = connected_with_small_buffer
    terms = b"c=bill,t=team,d=300,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    assert error((await caller.replied())[0]).startswith("BUSY")
    outcomes = [event.outcome for event in ended if isinstance(event, AttemptEnded)]
    assert outcomes == [AttemptOutcome.CONNECT_FAILED]
    listener.close()


@asyncio_test
async def test_connection_with_reply_before_end_of_request_is_not_reused():
    """The rest of that request would be taken for the start of the next one."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.setblocking(False)
    endpoint = FakeEndpoint("a")
    endpoint.port = listener.getsockname()[1]
    rig = Rig(endpoint, permissions=SITE["permissions"] | {"maxAttempts": 1})
    caller = await rig.caller()
    connected = rig.cluster.pools[b"a"].connected

    def connected_with_small_buffer(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(connection)

    rig.cluster.pools[b"a"].connected = connected_with_small_buffer
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    accepted, _ = await rig.loop.sock_accept(listener)
    await rig.loop.sock_sendall(accepted, b"-BUSY\r\n")
    assert error((await caller.replied())[0]).startswith("BUSY")
    assert rig.cluster.open_connections == 0
    accepted.close()
    listener.close()


@pytest.mark.parametrize(
    "malformed",
    [
        b"*3\r\n$-7\r\n$-1\r\n$-1\r\n",
        b"*3\r\n*3\r\n*3\r\n",
        b"*1000000000\r\n",
        b"*3\r\n$3000000000\r\nxxxx",
        b"*3\r\n$5\r\nabc\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$2\r\nok\r\n$-1\r\n:5\r\n",
        b"*1\r\n$2\r\nok\r\n",
        b"$2\r\nok\r\n",
        b"+ok\r\n",
        b":5\r\n",
        b"_\r\n",
        b"%1\r\n*0\r\n:1\r\n",
        b"-BUSYX\r\n",
        b"-BUSY x\r\n",
        b"-" + b"x" * 600,
        b"x" * 100_000,
        b"*3\r\n$4\r\nok",
    ],
)
@asyncio_test
async def test_malformed_reply_fails_attempt_that_may_have_run(malformed):
    """It is neither served, nor taken for a rejection, nor waited for: the request fails at once."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: malformed
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", wait=60_000)
    assert error((await caller.replied())[0]).startswith("ERR")
    assert len(endpoint.commands) == 1
    await until(lambda: not endpoint.connections and not rig.cluster.open_connections)


@asyncio_test
async def test_duplicate_reply_is_served_once_and_closes_connection():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: value(b"good") + value(b"good")
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call()
    assert await caller.replied() == [b"good"]
    await until(lambda: not endpoint.connections)
