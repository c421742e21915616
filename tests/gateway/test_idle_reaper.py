"""Which client connections are closed or evicted, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.downstream.idle_reaper import MIN_IDLE_S, SWEEP_INTERVAL_S


@pytest.mark.parametrize("sent", [b"", b"*1\r\n$4\r\nPI"])
@asyncio_test
async def test_silent_client_and_incomplete_command_are_closed_after_timeout(sent):
    """Silent connections must not use up the descriptors."""
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    caller.transport.write(sent)
    await until(lambda: caller.closed)
    assert bool(caller.replies) == bool(sent)
    await until(
        lambda: (
            not rig.clients.connections
            and not rig.clients.reaper.awaiting_command
            and not rig.clients.reaper.closing
        )
    )


@asyncio_test
async def test_silent_connections_are_evicted_for_those_with_commands():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, sockets=8)
    active = await rig.caller()
    active.call()
    await active.replied()
    silent = [await rig.caller() for _ in range(40)]
    await until(lambda: sum(caller.closed for caller in silent) >= 30)
    assert len(rig.clients.connections) <= 8
    late = await rig.caller()
    late.call(number=b"late")
    assert await late.replied() == [b"ok"]
    active.call(number=b"again")  # a client that sent a command stays longer than silent ones
    assert (await active.replied(2))[1] == b"ok"


@asyncio_test
async def test_connections_with_requests_are_not_evicted_and_further_ones_are_closed():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint, sockets=4)
    callers = [await rig.caller() for _ in range(4)]
    for index, caller in enumerate(callers):
        caller.call(number=b"%d" % index, wait=10_000)
    await until(lambda: len(endpoint.commands) == 4)
    late = await rig.caller()
    await until(lambda: late.closed)
    for connection in endpoint.connections:
        connection.transport.write(value(b"x"))
    for caller in callers:
        assert await caller.replied() == [b"x"]


@asyncio_test
async def test_longest_idle_connection_is_evicted_first():
    """The order is by last use, not by age: the oldest may be the busiest."""
    rig = Rig(await FakeEndpoint("a").listen(), sockets=3)
    callers = [await rig.caller() for _ in range(3)]
    for caller in (*callers, callers[0]):
        caller.ask(b"PING")
        await until(lambda caller=caller: caller.replies)
        caller.replies.clear()
    await rig.caller()
    await until(lambda: callers[1].closed)
    assert not callers[0].closed and not callers[2].closed


@asyncio_test
async def test_longest_idle_connections_close_where_many_are_idle():
    """Connections that clients keep open after one request must not use up the limit."""
    rig = Rig(await FakeEndpoint("a").listen(), sockets=16)
    callers = [await rig.caller() for _ in range(10)]
    for caller in callers:
        caller.ask(b"PING")
        await until(lambda caller=caller: caller.replies)
    await until(lambda: len(rig.clients.reaper.idle) == 10)
    for client in rig.clients.reaper.idle:
        rig.clients.reaper.idle[client] -= MIN_IDLE_S
    await until(lambda: sum(caller.closed for caller in callers) == 6)
    await asyncio.sleep(2 * SWEEP_INTERVAL_S)
    assert [caller.closed for caller in callers] == [True] * 6 + [False] * 4
