"""Harmful orders of events on the upstream side, each forced over real connections."""

from __future__ import annotations

import asyncio
import os
import socket
import time

import pytest
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import EndpointConnection, FakeEndpoint, value
from loopback_rig import SITE, Rig

from saffrongw.gateway.upstream import pool
from saffrongw.gateway.upstream.connection import REPLY_REMAINDER_TIMEOUT_S
from saffrongw.policy.actions import SendAttempt
from saffrongw.policy.events import AttemptEnded, AttemptOutcome, ExclusionChanged

PERMISSIONS = SITE["permissions"]


class ConnectGate:
    """Delays connections to these endpoints until the test opens the gate."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *endpoints: FakeEndpoint) -> None:
        self.opened, self.ports, self.waiting = (
            asyncio.Event(),
            {endpoint.port for endpoint in endpoints},
            0,
        )
        self.real = loop.create_connection
        loop.create_connection = self._connect

    async def _connect(self, factory, *address, **more):
        if address and address[1] in self.ports and not self.opened.is_set():
            self.waiting += 1
            await self.opened.wait()
        return await self.real(factory, *address, **more)


def slow_to_open(**changes) -> dict:
    """Settings under which no connect timeout fires."""
    return {"permissions": PERMISSIONS | {"connectTimeout": 60_000_000} | changes}


@pytest.mark.parametrize("is_excluded", [False, True])
@pytest.mark.parametrize("kind", ["read", "put", "bill"])
@asyncio_test
async def test_attempt_waiting_for_connection_to_draining_endpoint_is_retried_elsewhere(
    kind, is_excluded
):
    """Its connection opens so late that the first byte would be sent after the drain grace."""
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(old, **slow_to_open())
    gate = ConnectGate(rig.loop, old)
    caller = await rig.caller()
    caller.call(kind)
    await until(lambda: gate.waiting)
    if is_excluded:
        rig.update_endpoints(new.line())
        rig.driver.exclusion_changed(ExclusionChanged(b"a", "operator", True))
    else:
        rig.update_endpoints(new.line(), old.line("DRAINING"))
    assert await caller.replied() == [b"ok"]
    gate.opened.set()
    await until(lambda: not rig.cluster.pools[b"a"].opening)
    assert (len(old.commands), len(new.commands)) == (0, 1)
    if not is_excluded:  # the connection, which is not needed any more, is closed
        await until(lambda: not old.connections and rig.cluster.open_connections == 1)


@asyncio_test
async def test_attempt_delayed_until_endpoint_drains_is_retried_elsewhere():
    """The ledger, for one, delays attempts until they are recorded on disk."""
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(old)
    caller = await rig.caller()
    send, delayed = rig.cluster.send, []
    rig.cluster.send = lambda attempt: (
        delayed.append(attempt) if attempt.endpoint_id == b"a" else send(attempt)
    )
    caller.call("bill")
    await until(lambda: delayed)
    rig.update_endpoints(old.line("DRAINING"), new.line())
    send(delayed[0])
    assert await caller.replied() == [b"ok"]
    assert (len(old.commands), len(new.commands)) == (0, 1)


@asyncio_test
async def test_endpoint_that_is_ready_after_draining_is_used():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    rig.update_endpoints(endpoint.line("DRAINING"))
    rig.update_endpoints(endpoint.line())
    caller = await rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]
    assert not rig.cluster.pools[b"a"].is_draining


async def hand_over_connection(rig: Rig, endpoint: FakeEndpoint) -> EndpointConnection:
    """Give the gateway a connection of its predecessor; return the endpoint's side of it."""
    sock = socket.create_connection(("127.0.0.1", endpoint.port))
    sock.setblocking(False)
    await until(lambda: endpoint.connections)
    rig.cluster.adopt(b"a", 0, sock)
    return endpoint.connections[0]


@pytest.mark.parametrize(
    ("kind", "duplicate"),
    [("read", value(b"copy")), ("bill", b"-BUSY\r\n")],
    ids=["value", "refusal"],
)
@asyncio_test
async def test_duplicate_reply_on_handed_over_connection_answers_no_waiting_request(
    kind, duplicate, monkeypatch
):
    """After an upgrade clients got the values of other requests, and reports ran twice (review, case 1)."""
    # On a busy machine the real delay may be over before the duplicate is written.
    monkeypatch.setattr(pool, "REUSE_DELAY_S", 60)
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, **slow_to_open())
    gate = ConnectGate(rig.loop, endpoint)
    caller = await rig.caller()
    caller.call(kind, number=b"waits")
    await until(lambda: gate.waiting)
    connection = await hand_over_connection(rig, endpoint)
    connection.transport.write(duplicate)
    await until(lambda: connection not in endpoint.connections)
    gate.opened.set()
    assert await caller.replied() == [b"ok"]
    assert len(endpoint.commands) == 1


@asyncio_test
async def test_handed_over_connection_carries_a_waiting_request_after_its_rest():
    """Connections to the endpoint may open late just then, as after an upgrade under load."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, **slow_to_open())
    gate = ConnectGate(rig.loop, endpoint)
    caller = await rig.caller()
    caller.call(number=b"waits")
    await until(lambda: gate.waiting)
    connection = await hand_over_connection(rig, endpoint)
    assert await caller.replied() == [b"ok"]
    assert endpoint.connections == [connection]
    gate.opened.set()


@asyncio_test
async def test_connection_up_in_turn_of_connect_timeout_carries_its_request():
    """If it were cancelled, its request would wait until its deadline, and it would count as open and
    as closing for ever; after 24 such connections no more would be opened."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, permissions=PERMISSIONS | {"connectTimeout": 50_000})
    pool = rig.cluster.pools[b"a"]
    connected = pool.connected

    def slow(connection) -> None:
        connected(connection)
        time.sleep(0.08)  # the timeout is due before the loop reports that it is open

    pool.connected = slow
    caller = await rig.caller()
    for number in range(3):
        caller.call("bill", wait=20_000, number=b"%d" % number)
    assert await caller.replied(3) == [b"ok"] * 3
    await until(lambda: rig.cluster.open_connections == len(endpoint.connections))
    assert not rig.cluster.closing and not rig.driver.requests


@asyncio_test
async def test_connection_up_after_connect_timeout_in_same_turn_carries_nothing():
    """The kernel has reported it, the loop has not: the request is retried elsewhere, once."""
    late, good = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(late, permissions=PERMISSIONS | {"connectTimeout": 50_000})
    real, (here, there) = rig.loop.create_connection, socket.socketpair()
    here.setblocking(False)

    def block_loop() -> None:
        here.recv(1)
        time.sleep(0.08)

    async def connect(factory, *address, **more):
        if address and address[1] == late.port:
            there.send(b"x")  # read in the very turn in which the kernel reports the connection
        return await real(factory, *address, **more)

    rig.loop.add_reader(here, block_loop)
    rig.loop.create_connection = connect
    caller = await rig.caller()
    rig.update_endpoints(good.line())
    rig.driver.gateway.load_balancer.choose, choose = (
        lambda request: rig.driver.gateway.endpoints.by_id[b"a" if not request.attempts else b"b"],
        rig.driver.gateway.load_balancer.choose,
    )
    caller.call("bill", wait=20_000)
    assert await caller.replied() == [b"ok"]
    rig.driver.gateway.load_balancer.choose = choose
    await until(lambda: not late.connections)
    assert (len(late.commands), len(good.commands)) == (0, 1)
    assert rig.cluster.open_connections == len(good.connections) == 1 and not rig.cluster.closing
    rig.loop.remove_reader(here)
    here.close()
    there.close()


@asyncio_test
async def test_request_fully_sent_but_not_reported_yet_counts_as_timed_out():
    """The socket took the last byte, and the timeout fires before the loop reports it."""
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    for endpoint in endpoints:
        endpoint.script = lambda command: None
    rig = Rig(*endpoints)
    ended, feed = [], rig.driver.feed
    rig.driver.feed = lambda event: (ended.append(event), feed(event))
    caller = await rig.caller()
    caller.call("bill", wait=20_000)
    await until(lambda: any(endpoint.commands for endpoint in endpoints))
    (call,) = rig.driver.requests.values()
    call.attempts[0].is_fully_sent = False
    rig.driver._attempt_timed_out(call.attempts[0])
    outcomes = [event.outcome for event in ended if isinstance(event, AttemptEnded)]
    assert outcomes == [AttemptOutcome.TIMED_OUT]
    assert error((await caller.replied())[0]) == "ERR failed"
    assert sum(len(endpoint.commands) for endpoint in endpoints) == 1


@pytest.mark.parametrize("kind", ["read", "bill"])
@pytest.mark.parametrize("ends", [True, False])
@asyncio_test
async def test_unread_remainder_of_reply_counts_when_remainder_timeout_fires(kind, ends):
    """The process is blocked past the remainder timeout; the remainder came at once, or never."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: value(b"ok")[:9]
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call(kind, wait=20_000)
    await until(
        lambda: any(
            getattr(attempt.carrier, "remainder_timer", None)
            for call in rig.driver.requests.values()
            for attempt in call.attempts
        )
    )
    endpoint.script = lambda command: value(b"again")
    more = value(b"ok")[9:] if ends else value(b"ok")[9:12]
    assert os.write(endpoint.peer.transport.get_extra_info("socket").fileno(), more) == len(more)
    time.sleep(REPLY_REMAINDER_TIMEOUT_S + 0.1)  # timers fire before reads
    if ends:
        assert await caller.replied() == [b"ok"]
        assert len(endpoint.commands) == 1 and len(endpoint.connections) == 1
    elif kind == "read":
        assert await caller.replied() == [b"again"]
    else:
        assert error((await caller.replied())[0]) == "ERR failed"
        assert len(endpoint.commands) == 1
    await until(lambda: not rig.driver.requests and not rig.cluster.closing)


@pytest.mark.parametrize("over", ["answered", "disconnected", "time"])
@asyncio_test
async def test_nothing_is_sent_for_request_finished_in_same_turn(over):
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call(wait=20_000)
    await until(lambda: endpoint.commands)
    ((number, call),) = rig.driver.requests.items()
    if over == "answered":
        rig.driver._send_final_reply(call, b"-ERR failed\r\n")
    elif over == "disconnected":
        rig.driver._close_request(call)
    else:
        call.deadline_us = 0
    rig.driver._execute([SendAttempt(number, b"a", 0)])
    assert call.attempts[-1].is_ended and call.attempts[-1].carrier is None
    await asyncio.sleep(0.05)
    assert len(endpoint.commands) == len(endpoint.connections) == 1


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("leave", ["close", "abort"])
@asyncio_test
async def test_attempt_waiting_for_connection_is_not_sent_after_client_disconnect(leave, cancel):
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, **slow_to_open(cancel=cancel))
    gate = ConnectGate(rig.loop, endpoint)
    caller = await rig.caller()
    for kind in ("read", "put", "bill"):
        caller.call(kind, wait=20_000, number=kind.encode())
    await until(lambda: gate.waiting == 3)
    getattr(caller.transport, leave)()
    await until(lambda: not rig.clients.connections and not rig.driver.requests)
    gate.opened.set()
    await until(lambda: len(endpoint.connections) == 3)
    await asyncio.sleep(0.05)
    assert endpoint.commands == [] and not rig.driver.gateway.lifecycle.attempts
