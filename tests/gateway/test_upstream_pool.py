"""Pools over loopback sockets: which connection an attempt gets, and which is not reused."""

from __future__ import annotations

import asyncio
import os

from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.request_types import ClientRequest, UpstreamAttempt
from saffrongw.gateway.upstream import pool
from saffrongw.gateway.upstream.pool import REUSE_DELAY_S


@asyncio_test
async def test_concurrent_attempts_use_separate_connections_and_idle_ones_are_reused():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    endpoint.script = lambda command: None
    caller.call(number=b"one")
    caller.call(number=b"two")
    await until(lambda: len(endpoint.commands) == 2)
    assert len(endpoint.connections) == 2
    for connection in endpoint.connections:
        connection.transport.write(value(b"x"))
    await caller.replied(2)
    await asyncio.sleep(2 * REUSE_DELAY_S)
    caller.call(number=b"three")
    await until(lambda: len(endpoint.commands) == 3)
    assert len(endpoint.connections) == rig.cluster.open_connections == 2


@asyncio_test
async def test_late_duplicate_reply_is_not_taken_for_next_request(monkeypatch):
    """A connection rests after a reply, and is not reused if unexpected data arrives meanwhile."""
    assert REUSE_DELAY_S > 0
    # On a busy machine the real delay may be over before the next request.
    monkeypatch.setattr(pool, "REUSE_DELAY_S", 60)
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", number=b"one")
    assert await caller.replied() == [b"ok"]
    first = endpoint.connections[0]
    endpoint.script = lambda command: (first.transport.write(value(b"copy")), value(b"good"))[1]
    caller.call("bill", number=b"two")
    assert (await caller.replied(2))[1] == b"good"
    await until(lambda: first not in endpoint.connections)


@asyncio_test
async def test_idle_connection_with_unread_data_is_not_reused():
    """The loop may not have reported it yet, so the socket itself is polled."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", number=b"one")
    await caller.replied()
    pool = rig.cluster.pools[b"a"]
    (connection,) = pool.idle
    connection.idle_since_s -= 1  # its rest after the reply is over
    sock = endpoint.connections[0].transport.get_extra_info("socket")
    os.write(sock.fileno(), value(b"copy"))
    attempt = UpstreamAttempt(
        ClientRequest(None, (b"CALL.GET", b"0", b"x", b"d=", b""), 0, print), 0, b"a", 0, 10**18
    )
    pool.send(attempt)  # the loop had no turn since the duplicate was written
    assert attempt.carrier is pool and connection not in pool.idle


@asyncio_test
async def test_connections_of_old_incarnation_are_not_used_for_new_one():
    """A restarted endpoint must not receive attempts that were meant for its old incarnation."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call()
    await caller.replied()
    old = endpoint.connections[0]
    rig.update_endpoints(endpoint.line(born_ms=5))
    await until(lambda: old not in endpoint.connections)
    assert rig.cluster.pools[b"a"].started_at_us == 5_000
