"""One client connection over loopback sockets: framing, order of replies, backpressure."""

from __future__ import annotations

import asyncio
import socket

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.downstream.connection import MAX_PIPELINED_COMMANDS


@asyncio_test
async def test_pipelined_commands_are_answered_in_order():
    slow = []
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: (
        slow.append(command) if command[2] == b"first" else value(b"2")
    )
    caller = await Rig(endpoint).caller()
    caller.call(number=b"first")
    caller.call(number=b"second")
    caller.ask(b"PING")
    await until(lambda: len(endpoint.commands) == 2)
    await asyncio.sleep(0.05)
    assert caller.replies == []
    endpoint.connections[0].transport.write(value(b"1"))
    assert await caller.replied(3) == [b"1", b"2", b"PONG"]


@pytest.mark.parametrize(
    "words",
    [
        [b"CALL.PUT", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id"],
        [b"CALL.GET", b"7", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0x00000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"ffffffffffffffff", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=none,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=none,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=-5,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=nan,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=3,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=2"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=bill,t=team,d=99,units=1,spread=2,first=0"],
        [
            b"CALL.GET",
            b"0000000000000007",
            b"id",
            b"c=read,t=team,d=99,d=9,units=1,spread=2,first=0",
        ],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read;;;"],
        [b"CALL.GET", b"0000000000000007", b"", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"i d", b"c=read,t=team,d=99,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=1_0,units=1,spread=2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=+1,spread=2,first=0"],
        [
            b"CALL.GET",
            b"0000000000000007",
            b"id",
            b"c=read,t=team,d=99,units=1_0e-1,spread=2,first=0",
        ],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=0,spread=2,first=0"],
        [
            b"CALL.GET",
            b"0000000000000007",
            b"id",
            b"c=read,t=team,d=99,units=1e12,spread=2,first=0",
        ],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread= 2,first=0"],
        [b"CALL.GET", b"0000000000000007", b"id", b"c=read,t=team,d=99,units=1,spread=2,first=+0"],
        [
            b"CALL.GET",
            b"0000000000000007",
            b"id",
            b"c=read,t=team,d=99,units=1,spread=2,first=0,x=1",
        ],
        [
            b"CALL.GET",
            b"0000000000000007",
            b"id",
            b"c=read,t=team,d=99,units=1,spread=2,first=0,r=2",
        ],
        [b"CALL.POST", b"0000000000000007", b"id", b"c=bill,t=team,d=99,units=1,spread=2,first=0"],
        [
            b"CALL.POST",
            b"0000000000000007",
            b"id",
            b"c=put,t=team,d=99,units=1,spread=2,first=0",
            b"B",
        ],
        [
            b"CALL.POST",
            b"0000000000000007",
            b"id",
            b"c=bill,t=team,d=99,units=1,spread=2,first=0",
            b"B" * 65537,
        ],
    ],
)
@asyncio_test
async def test_malformed_command_closes_its_connection_and_reaches_no_endpoint(words):
    """A malformed command is answered, and what follows it is not parsed."""
    endpoint = await FakeEndpoint("a").listen()
    caller = await Rig(endpoint).caller()
    caller.ask(*words)
    caller.call()
    (reply,) = await caller.replied()
    assert error(reply).startswith("ERR")
    await until(lambda: caller.closed)
    assert len(caller.replies) == 1
    assert endpoint.commands == []


@pytest.mark.parametrize(
    "junk",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$400000\r\n" + b"x" * 399_999,
        b"k" * 100_000,
        b"*1000000000\r\n",
        b"*-3\r\n",
        b"*1\r\n" * 5_000,
        b"*2\r\n:1\r\n:2\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3000000000\r\nx",
        b"*1\r\n$4\r\nPINGXX",
        b"%1\r\n*0\r\n:1\r\n",
        b"\r\n",
    ],
)
@asyncio_test
async def test_lost_framing_closes_connection(junk):
    """hiredis would wait for some of these, or allocate for them: 60 MB, a thousand million parts."""
    caller = await Rig(await FakeEndpoint("a").listen()).caller()
    caller.transport.write(junk)
    assert error((await caller.replied())[0]).startswith("ERR")
    await until(lambda: caller.closed)


@asyncio_test
async def test_client_that_reads_no_replies_is_not_read_from():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    caller.transport.pause_reading()
    await until(lambda: rig.clients.connections)
    (client,) = rig.clients.connections
    paused = []
    pause = client.pause_writing
    client.transport.set_write_buffer_limits(high=1024)
    client.pause_writing = lambda: (paused.append(True), pause())
    # The kernel takes little, as the gateway answers only a part of these commands in a turn.
    sent, received = [each.transport.get_extra_info("socket") for each in (client, caller)]
    sent.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    received.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    pings = 0
    while not paused and pings < 2_000_000:
        caller.transport.write(hiredis.pack_command((b"PING",)) * 20_000)
        pings += 20_000
        await asyncio.sleep(0)
    assert paused
    caller.transport.resume_reading()
    await caller.replied(pings)


@asyncio_test
async def test_id_of_open_request_is_an_error_until_it_is_answered():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    first, second = await rig.caller(), await rig.caller()
    first.call(number=b"same")
    await until(lambda: endpoint.commands)
    second.call(number=b"same")
    assert "open" in error((await second.replied())[0])
    endpoint.connections[0].transport.write(value(b"x"))
    assert await first.replied() == [b"x"]
    assert rig.clients.open_request_ids == set()
    first.call(number=b"same")
    await until(lambda: len(endpoint.commands) == 2)


@asyncio_test
async def test_commands_over_pipeline_limit_stay_unread_and_are_all_answered():
    """No more than MAX_PIPELINED_COMMANDS are read at a time, and none is lost."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    in_flight = []
    endpoint.script = lambda command: (
        in_flight.append(len(rig.driver.requests)),
        value(command[2]),
    )[1]
    caller = await rig.caller()
    for number in range(48):
        caller.call(number=b"%d" % number)
    assert await caller.replied(48) == [b"%d" % number for number in range(48)]
    assert max(in_flight) <= MAX_PIPELINED_COMMANDS
    caller.ask(b"PING")
    assert (await caller.replied(49))[48] == b"PONG"
