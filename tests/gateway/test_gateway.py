"""Clients and endpoints over loopback sockets: one reply each, in order, and what may be retried."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from gateway_rig import SITE, Rig
from program_rig import started

from saffrongw.gateway.bootstrap import LOG_MOST, RateLimitedLogFilter
from saffrongw.gateway.downstream.connection import MAX_PIPELINED_COMMANDS
from saffrongw.gateway.downstream.idle_reaper import MIN_IDLE_S, SWEEP_INTERVAL_S
from saffrongw.gateway.request_types import ClientRequest, UpstreamAttempt
from saffrongw.gateway.upstream.codec import parse_report
from saffrongw.gateway.upstream.pool import REUSE_DELAY_S
from saffrongw.policy.actions import RejectRequest, SetTimer
from saffrongw.policy.events import AttemptEnded, AttemptOutcome


@asyncio_test
async def test_endpoint_gets_command_unchanged_but_for_remaining_timeout():
    endpoint = await FakeEndpoint("a").listen()
    caller = await Rig(endpoint).caller()
    caller.call("put", wait=1500, number=b"id9", more=",r=1")
    assert await caller.replied() == [b"ok"]
    command, customer, number, terms, body = endpoint.commands[0]
    assert (command, customer, number, body) == (b"CALL.POST", b"0000000000000007", b"id9", b"BODY")
    sent = dict(pair.split(b"=") for pair in terms.split(b","))
    assert 0 < int(sent.pop(b"d")) < 1500
    plain = b"c=put,t=team,units=1,spread=2,first=0,r=1,k=key7"
    assert sent == dict(pair.split(b"=") for pair in plain.split(b","))


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
async def test_non_idempotent_request_reset_after_sending_fails_without_retry():
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    for endpoint in endpoints:
        endpoint.script = lambda command: b"reset"
    caller = await Rig(*endpoints).caller()
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    assert sum(len(endpoint.commands) for endpoint in endpoints) == 1


@asyncio_test
async def test_non_idempotent_request_is_retried_after_rejection_or_failed_connect():
    busy, closed, good = [await FakeEndpoint(name).listen() for name in ("a", "b", "c")]
    closed.server.close()
    busy.script = lambda command: b"-BUSY\r\n"
    caller = await Rig(busy, closed, good).caller()
    for number in range(12):
        caller.call("bill", number=b"%d" % number)
    assert await caller.replied(12) == [b"ok"] * 12


@asyncio_test
async def test_idempotent_request_is_retried_after_error():
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    replies = [b"-ERR failed util=0.5\r\n", value(b"ok")]
    for endpoint in endpoints:
        endpoint.script = lambda command: replies.pop(0)
    caller = await Rig(*endpoints).caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


@asyncio_test
async def test_attempt_without_reply_fails_before_client_timeout():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", wait=200)
    assert error((await caller.replied())[0]).startswith("ERR")
    await until(lambda: not endpoint.connections)  # the attempt is cancelled
    assert rig.driver.requests == rig.driver.gateway.requests == rig.driver.gateway.attempts == {}


@asyncio_test
async def test_request_not_fully_sent_counts_as_connect_failed():
    """An endpoint that reads nothing never gets the last byte, so even a non-idempotent request is rejected."""
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

    def narrow(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original(connection)

    pool.connected = narrow
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

    def narrow(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connected(connection)

    rig.cluster.pools[b"a"].connected = narrow
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    accepted, _ = await rig.loop.sock_accept(listener)
    await rig.loop.sock_sendall(accepted, b"-BUSY\r\n")
    assert error((await caller.replied())[0]).startswith("BUSY")
    assert rig.cluster.open_connections == 0
    accepted.close()
    listener.close()


@asyncio_test
async def test_client_disconnect_cancels_its_attempt():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call()
    await until(lambda: endpoint.commands)
    caller.transport.close()
    await until(lambda: not endpoint.connections)
    await until(lambda: rig.driver.requests == rig.driver.gateway.requests == {})


@asyncio_test
async def test_attempt_of_disconnected_client_ends_at_request_deadline_where_cancel_is_forbidden():
    """A silent endpoint must not hold the connection for good."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint, permissions=SITE["permissions"] | {"cancel": False})
    caller = await rig.caller()
    caller.call(wait=3000)
    await until(lambda: endpoint.commands)
    caller.transport.close()
    await until(lambda: not rig.driver.requests)
    assert endpoint.connections
    await until(lambda: not endpoint.connections)
    assert rig.driver.gateway.attempts == {}


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
    """What hiredis would wait for or allocate: 60 MB, a thousand million parts."""
    caller = await Rig(await FakeEndpoint("a").listen()).caller()
    caller.transport.write(junk)
    assert error((await caller.replied())[0]).startswith("ERR")
    await until(lambda: caller.closed)


@asyncio_test
async def test_draining_endpoint_gets_no_new_requests_and_finishes_those_in_flight():
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    old.script = lambda command: None
    rig = Rig(old)
    caller = await rig.caller()
    caller.call()
    await until(lambda: old.commands)
    rig.told(old.line("DRAINING"), new.line())
    for number in range(5):
        caller.call(number=b"%d" % number)
    await until(lambda: len(new.commands) == 5)
    old.connections[0].transport.write(value(b"last"))
    assert (await caller.replied(6))[0] == b"last"
    assert len(old.commands) == 1
    rig.told(old.line("DELETED"))
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
async def test_policy_fault_fails_only_its_request():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    choose = rig.driver.gateway._choose
    rig.driver.gateway._choose = lambda request: 1 // 0
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    rig.driver.gateway._choose = choose
    caller.call("bill")
    assert (await caller.replied(2))[1] == b"ok"
    assert rig.driver.requests == rig.driver.gateway.requests == {}


@asyncio_test
async def test_request_left_unanswered_by_policy_fails_at_deadline():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    rig.driver.gateway._advance = lambda request: None
    caller.call(wait=100)
    assert error((await caller.replied())[0]).startswith("ERR")


@asyncio_test
async def test_sighup_reloads_file_without_closing_connections(tmp_path):
    """Without a handler the signal ends the program; an invalid file must change nothing."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    process, connect, file = await started(endpoint, tmp_path)
    caller = await connect()
    caller.call(wait=10_000)
    await until(lambda: endpoint.commands)
    text = json.loads(file.read_text())
    polls = []

    class Agent(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            polls.append(data)

    server = await asyncio.get_running_loop().create_server(Agent, "127.0.0.1", 0)
    for wrong in (
        "{",
        "[]",
        json.dumps(text | {"settings": {}}),
        json.dumps(text | {"discovery": 7}),
    ):
        file.write_text(wrong)
        process.send_signal(signal.SIGHUP)
        caller.ask(b"PING")
        await asyncio.sleep(0.05)
    file.write_text(
        json.dumps(text | {"discovery": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"})
    )
    process.send_signal(signal.SIGHUP)
    await until(lambda: polls)
    endpoint.connections[0].transport.write(value(b"ok"))
    assert (await caller.replied(5)) == [b"ok"] + [b"PONG"] * 4
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 10) == 0


@asyncio_test
async def test_sigterm_finishes_requests_in_flight_and_serves_new_connections_for_a_while(tmp_path):
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    process, connect, _ = await started(endpoint, tmp_path)
    holder, idle, stuck = await connect(), await connect(), await connect()
    idle.ask(b"PING")
    await idle.replied()
    stuck.transport.write(b"*1\r\n$4\r\nPI")  # an incomplete command must not hold up the exit
    holder.call(wait=10_000, number=b"held")
    await until(lambda: endpoint.commands)
    fresh = (
        await connect()
    )  # connected and about to send: if closed now, its request would be reset
    process.send_signal(signal.SIGTERM)
    await until(lambda: idle.closed)
    fresh.call(wait=10_000, number=b"fresh")
    late = await connect()
    late.call(wait=10_000, number=b"late")
    await until(lambda: len(endpoint.commands) == 3)
    for connection in endpoint.connections:
        connection.transport.write(value(b"ok"))
    assert await holder.replied() == await late.replied() == await fresh.replied() == [b"ok"]
    assert await asyncio.wait_for(process.wait(), 10) == 0
    assert holder.closed and late.closed


@asyncio_test
async def test_rejection_rounds_retry_after_up_to_full_milliseconds():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    for wait, line in ((0, "BUSY"), (1_000, "BUSY 1"), (1_001, "BUSY 2")):
        rig.driver.gateway._advance = lambda request, wait=wait: rig.driver.gateway.actions.append(
            RejectRequest(request.event.request, wait)
        )
        caller.call()
        await until(lambda: caller.replies)
        assert error(caller.replies.pop()) == line


@asyncio_test
async def test_policy_fault_does_not_stop_gossip():
    rig = Rig(await FakeEndpoint("a").listen())
    gossip_times = []

    def turn():
        gossip_times.append(rig.loop.time())
        rig.driver.gateway.actions.append(SetTimer(1_000, 0))
        raise RuntimeError("made up")

    rig.driver.gateway._turn = turn
    await until(lambda: len(gossip_times) >= 3)


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
    pings = 0
    while not paused and pings < 2_000_000:
        caller.transport.write(hiredis.pack_command((b"PING",)) * 20_000)
        pings += 20_000
        await asyncio.sleep(0)
    assert paused
    caller.transport.resume_reading()
    await caller.replied(pings)


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
    """It is never served, never taken for a rejection, never waited for: the request fails at once."""
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


@asyncio_test
async def test_late_duplicate_reply_is_not_taken_for_next_request():
    """A connection rests after a reply, and is not used again once unexpected data arrived."""
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
    connection.idle_since_s -= 1  # it has rested
    sock = endpoint.connections[0].transport.get_extra_info("socket")
    os.write(sock.fileno(), value(b"copy"))
    attempt = UpstreamAttempt(
        ClientRequest(None, (b"CALL.GET", b"0", b"x", b"d=", b""), 0, print), 0, b"a", 0, 10**18
    )
    pool.send(attempt)  # the loop had no turn since the duplicate was written
    assert attempt.carrier is pool and connection not in pool.idle


@asyncio_test
async def test_malformed_load_report_is_ignored_and_reply_is_served():
    endpoint = await FakeEndpoint("a").listen()
    for report in (
        b"util=nan,latency_ms=9",
        b"util=-1,latency_ms=9",
        b"util=1_0,latency_ms=9",
        b"\xff\r\n",
    ):
        endpoint.script = lambda command, report=report: value(b"ok", report)
        caller = await Rig(endpoint).caller()
        caller.call()
        assert await caller.replied() == [b"ok"]
    names = (b"util", b"latency_ms")
    assert parse_report(b"latency_ms=9.5,util=0.1,more=1", names) == (0.1, 9.5)
    for malformed in (
        None,
        b"",
        b"util=inf,latency_ms=1",
        b"util=1",
        b"util=1,latency_ms= 2",
        b"util=1e9,latency_ms=2",
    ):
        assert parse_report(malformed, names) == ()


@asyncio_test
async def test_connections_of_old_incarnation_are_not_used_for_new_one():
    """An endpoint restarted under its id must not get what was meant for the one before it."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call()
    await caller.replied()
    old = endpoint.connections[0]
    rig.told(endpoint.line(born_ms=5))
    await until(lambda: old not in endpoint.connections)
    assert rig.cluster.pools[b"a"].started_at_us == 5_000


@asyncio_test
async def test_attempt_waiting_for_connection_to_removed_endpoint_is_retried_elsewhere():
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(old)
    rig.cluster.pools[b"a"]._open = lambda: asyncio.sleep(30)  # one that never comes up
    caller = await rig.caller()
    caller.call("bill")
    await until(lambda: rig.cluster.pools[b"a"].waiting)
    rig.told(old.line("DELETED"), new.line())
    assert await caller.replied() == [b"ok"]
    assert [len(endpoint.commands) for endpoint in (old, new)] == [0, 1]


def test_log_is_rate_limited_and_counts_omitted_lines():
    bounded = RateLimitedLogFilter()
    lines = [
        logging.makeLogRecord({"msg": "odd", "created": 100.0 + index / 1000})
        for index in range(200)
    ]
    assert sum(bounded.filter(line) for line in lines) == LOG_MOST
    later = logging.makeLogRecord({"msg": "odd", "created": 200.0})
    assert bounded.filter(later)
    assert later.msg == f"({200 - LOG_MOST} lines left out before) odd"


@asyncio_test
async def test_longest_idle_connections_close_where_many_are_idle():
    """Clients hold only so many connections; kept after one request, they would leave none for others."""
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
