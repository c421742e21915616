"""The cluster over loopback sockets: draining and removed endpoints, limits on connections."""

from __future__ import annotations

import asyncio

from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE, Rig


@asyncio_test
async def test_draining_endpoint_gets_no_new_requests_and_finishes_those_in_flight():
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    old.script = lambda command: None
    rig = Rig(old)
    caller = await rig.caller()
    caller.call()
    await until(lambda: old.commands)
    rig.update_endpoints(old.line("DRAINING"), new.line())
    for number in range(5):
        caller.call(number=b"%d" % number)
    await until(lambda: len(new.commands) == 5)
    old.connections[0].transport.write(value(b"last"))
    assert (await caller.replied(6))[0] == b"last"
    assert len(old.commands) == 1
    rig.update_endpoints(old.line("DELETED"))
    await until(lambda: not old.connections)


@asyncio_test
async def test_idle_upstream_connections_close_before_endpoint_idle_limit():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, permissions=SITE["permissions"] | {"idleClose": 200_000})
    caller = await rig.caller()
    caller.call()
    await caller.replied()
    await until(lambda: not endpoint.connections and not rig.cluster.open_connections)


@asyncio_test
async def test_upstream_connections_stay_within_descriptor_limit():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint, sockets=4)
    caller = await rig.caller()
    for number in range(9):
        caller.call("bill", wait=400, number=b"%d" % number)
    replies = await caller.replied(9)
    assert len(endpoint.commands) == 4
    assert sorted(error(reply).split()[0] for reply in replies) == ["BUSY"] * 5 + ["ERR"] * 4


@asyncio_test
async def test_attempt_waiting_for_connection_to_removed_endpoint_is_retried_elsewhere():
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(old)
    rig.cluster.pools[b"a"]._open = lambda: asyncio.sleep(30)  # a connection that never opens
    caller = await rig.caller()
    caller.call("bill")
    await until(lambda: rig.cluster.pools[b"a"].waiting)
    rig.update_endpoints(old.line("DELETED"), new.line())
    assert await caller.replied() == [b"ok"]
    assert [len(endpoint.commands) for endpoint in (old, new)] == [0, 1]
