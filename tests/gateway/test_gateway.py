"""Clients and hosts over loopback sockets: one answer each, in order, and what may go out again."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket

import hiredis
import pytest
from conftest import SITE, FakeHost, Rig, asyncio_test, error, started, until, value

from saffrongw.gateway.downstream.connection import IDLE_LEAST, SWEEP, WAITING_MOST
from saffrongw.gateway.driver import ClientRequest, UpstreamAttempt
from saffrongw.gateway.logging_setup import MAX_LINES_PER_SPAN, RateLimitedLogFilter
from saffrongw.gateway.upstream.cluster import REST, parse_report
from saffrongw.policy.actions import RejectRequest, SetTimer
from saffrongw.policy.events import AttemptEnded, AttemptOutcome


@asyncio_test
async def test_a_host_gets_the_command_unchanged_but_for_the_time_left():
    host = await FakeHost("a").listen()
    caller = await Rig(host).caller()
    caller.call("put", wait=1500, number=b"id9", more=",r=1")
    assert await caller.replied() == [b"ok"]
    command, customer, number, terms, body = host.commands[0]
    assert (command, customer, number, body) == (b"CALL.POST", b"0000000000000007", b"id9", b"BODY")
    sent = dict(pair.split(b"=") for pair in terms.split(b","))
    assert 0 < int(sent.pop(b"d")) < 1500
    plain = b"c=put,t=team,units=1,spread=2,first=0,r=1,k=key7"
    assert sent == dict(pair.split(b"=") for pair in plain.split(b","))


@asyncio_test
async def test_pipelined_commands_are_answered_in_their_order():
    slow = []
    host = await FakeHost("a").listen()
    host.script = lambda command: slow.append(command) if command[2] == b"first" else value(b"2")
    caller = await Rig(host).caller()
    caller.call(number=b"first")
    caller.call(number=b"second")
    caller.ask(b"PING")
    await until(lambda: len(host.commands) == 2)
    await asyncio.sleep(0.05)
    assert caller.replies == []
    host.connections[0].transport.write(value(b"1"))
    assert await caller.replied(3) == [b"1", b"2", b"PONG"]


@asyncio_test
async def test_attempts_do_not_share_a_connection_and_idle_ones_are_used_again():
    host = await FakeHost("a").listen()
    rig = Rig(host)
    caller = await rig.caller()
    host.script = lambda command: None
    caller.call(number=b"one")
    caller.call(number=b"two")
    await until(lambda: len(host.commands) == 2)
    assert len(host.connections) == 2
    for connection in host.connections:
        connection.transport.write(value(b"x"))
    await caller.replied(2)
    await asyncio.sleep(2 * REST)
    caller.call(number=b"three")
    await until(lambda: len(host.commands) == 3)
    assert len(host.connections) == rig.hosts.sockets == 2


@asyncio_test
async def test_an_unsafe_request_that_was_reset_after_it_was_sent_fails_and_goes_nowhere_else():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: b"reset"
    caller = await Rig(*hosts).caller()
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    assert sum(len(host.commands) for host in hosts) == 1


@asyncio_test
async def test_an_unsafe_request_goes_again_where_it_was_turned_away_or_not_connected():
    busy, closed, good = [await FakeHost(name).listen() for name in ("a", "b", "c")]
    closed.server.close()
    busy.script = lambda command: b"-BUSY\r\n"
    caller = await Rig(busy, closed, good).caller()
    for number in range(12):
        caller.call("bill", number=b"%d" % number)
    assert await caller.replied(12) == [b"ok"] * 12


@asyncio_test
async def test_a_safe_request_goes_again_after_an_error():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    replies = [b"-ERR failed util=0.5\r\n", value(b"ok")]
    for host in hosts:
        host.script = lambda command: replies.pop(0)
    caller = await Rig(*hosts).caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


@asyncio_test
async def test_an_answer_that_never_comes_is_ended_before_the_client_gives_up():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host)
    caller = await rig.caller()
    caller.call("bill", wait=200)
    assert error((await caller.replied())[0]).startswith("ERR")
    await until(lambda: not host.connections)  # the attempt is given up
    assert rig.driver.calls == rig.driver.gateway.requests == rig.driver.gateway.attempts == {}


@asyncio_test
async def test_a_request_that_is_not_written_whole_has_not_run():
    """A host that reads nothing: the last byte stays here, so that even an unsafe request is refused."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host = FakeHost("a")
    host.port = listener.getsockname()[1]
    rig = Rig(host)
    ended = []
    feed = rig.driver.feed
    rig.driver.feed = lambda event: (ended.append(event), feed(event))
    caller = await rig.caller()
    pool = rig.hosts.pools[b"a"]
    original = pool.ready

    def narrow(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original(connection)

    pool.ready = narrow
    terms = b"c=bill,t=team,d=300,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    assert error((await caller.replied())[0]).startswith("BUSY")
    outcomes = [event.outcome for event in ended if isinstance(event, AttemptEnded)]
    assert outcomes == [AttemptOutcome.CONNECT_FAILED]
    listener.close()


@asyncio_test
async def test_a_connection_answered_before_its_request_was_out_is_not_used_again():
    """What is left of that request would be taken for the start of the next one."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.setblocking(False)
    host = FakeHost("a")
    host.port = listener.getsockname()[1]
    rig = Rig(host, permissions=SITE["permissions"] | {"maxAttempts": 1})
    caller = await rig.caller()
    ready = rig.hosts.pools[b"a"].ready

    def narrow(connection):
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        ready(connection)

    rig.hosts.pools[b"a"].ready = narrow
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000007", b"id", terms, b"x" * 64 * 1024)
    accepted, _ = await rig.loop.sock_accept(listener)
    await rig.loop.sock_sendall(accepted, b"-BUSY\r\n")
    assert error((await caller.replied())[0]).startswith("BUSY")
    assert rig.hosts.sockets == 0
    accepted.close()
    listener.close()


@asyncio_test
async def test_a_client_that_closes_is_gone_and_its_attempt_is_given_up():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host)
    caller = await rig.caller()
    caller.call()
    await until(lambda: host.commands)
    caller.transport.close()
    await until(lambda: not host.connections)
    await until(lambda: rig.driver.calls == rig.driver.gateway.requests == {})


@asyncio_test
async def test_an_attempt_that_nobody_waits_for_any_more_ends_with_the_requests_time():
    """Where nothing may be called off, a silent host would else keep the connection for good."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host, permissions=SITE["permissions"] | {"cancel": False})
    caller = await rig.caller()
    caller.call(wait=3000)
    await until(lambda: host.commands)
    caller.transport.close()
    await until(lambda: not rig.driver.calls)
    assert host.connections
    await until(lambda: not host.connections)
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
async def test_what_is_malformed_ends_its_connection_and_reaches_no_host(words):
    """One bad command is answered and closes: what stands behind it may be anything."""
    host = await FakeHost("a").listen()
    caller = await Rig(host).caller()
    caller.ask(*words)
    caller.call()
    (reply,) = await caller.replied()
    assert error(reply).startswith("ERR")
    await until(lambda: caller.closed)
    assert len(caller.replies) == 1
    assert host.commands == []


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
async def test_where_framing_is_lost_the_connection_is_closed(junk):
    """What hiredis would wait for, or allocate: 60 MB, a thousand million parts."""
    caller = await Rig(await FakeHost("a").listen()).caller()
    caller.transport.write(junk)
    assert error((await caller.replied())[0]).startswith("ERR")
    await until(lambda: caller.closed)


@asyncio_test
async def test_nothing_new_goes_to_a_host_that_drains_and_what_it_holds_is_finished():
    old, new = [await FakeHost(name).listen() for name in "ab"]
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
async def test_idle_connections_are_closed_well_before_the_hosts_limit():
    host = await FakeHost("a").listen()
    rig = Rig(host, permissions=SITE["permissions"] | {"idleClose": 200_000})
    caller = await rig.caller()
    caller.call()
    await caller.replied()
    await until(lambda: not host.connections and not rig.hosts.sockets)


@asyncio_test
async def test_connections_stay_within_the_limit_on_descriptors():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host, sockets=4)
    caller = await rig.caller()
    for number in range(9):
        caller.call("bill", wait=400, number=b"%d" % number)
    replies = await caller.replied(9)
    assert len(host.commands) == 4
    assert sorted(error(reply).split()[0] for reply in replies) == ["BUSY"] * 5 + ["ERR"] * 4


@asyncio_test
async def test_a_fault_of_the_decisions_fails_one_request_and_no_more():
    host = await FakeHost("a").listen()
    rig = Rig(host)
    caller = await rig.caller()
    choose = rig.driver.gateway._choose
    rig.driver.gateway._choose = lambda request: 1 // 0
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    rig.driver.gateway._choose = choose
    caller.call("bill")
    assert (await caller.replied(2))[1] == b"ok"
    assert rig.driver.calls == rig.driver.gateway.requests == {}


@asyncio_test
async def test_a_request_that_the_decisions_forget_is_failed_in_time():
    rig = Rig(await FakeHost("a").listen())
    caller = await rig.caller()
    rig.driver.gateway._advance = lambda request: None
    caller.call(wait=100)
    assert error((await caller.replied())[0]).startswith("ERR")


@asyncio_test
async def test_sighup_reads_the_file_again_and_keeps_what_is_open(tmp_path):
    """Without a handler the signal ends the program; a wrong file must leave all as it was."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    process, connect, file = await started(host, tmp_path)
    caller = await connect()
    caller.call(wait=10_000)
    await until(lambda: host.commands)
    text = json.loads(file.read_text())
    asked = []

    class Agent(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            asked.append(data)

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
    await until(lambda: asked)
    host.connections[0].transport.write(value(b"ok"))
    assert (await caller.replied(5)) == [b"ok"] + [b"PONG"] * 4
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 10) == 0


@asyncio_test
async def test_sigterm_finishes_what_is_held_and_serves_new_connections_for_a_while(tmp_path):
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    process, connect, _ = await started(host, tmp_path)
    holder, idle, stuck = await connect(), await connect(), await connect()
    idle.ask(b"PING")
    await idle.replied()
    stuck.transport.write(b"*1\r\n$4\r\nPI")  # a command without its end must not hold up the exit
    holder.call(wait=10_000, number=b"held")
    await until(lambda: host.commands)
    fresh = await connect()  # up and about to send: closed now, its request would be reset
    process.send_signal(signal.SIGTERM)
    await until(lambda: idle.closed)
    fresh.call(wait=10_000, number=b"fresh")
    late = await connect()
    late.call(wait=10_000, number=b"late")
    await until(lambda: len(host.commands) == 3)
    for connection in host.connections:
        connection.transport.write(value(b"ok"))
    assert await holder.replied() == await late.replied() == await fresh.replied() == [b"ok"]
    assert await asyncio.wait_for(process.wait(), 10) == 0
    assert holder.closed and late.closed


@asyncio_test
async def test_a_refusal_tells_when_to_come_back_in_whole_milliseconds_and_no_earlier():
    rig = Rig(await FakeHost("a").listen())
    caller = await rig.caller()
    for wait, line in ((0, "BUSY"), (1_000, "BUSY 1"), (1_001, "BUSY 2")):
        rig.driver.gateway._advance = lambda request, wait=wait: rig.driver.gateway.actions.append(
            RejectRequest(request.event.request, wait)
        )
        caller.call()
        await until(lambda: caller.replies)
        assert error(caller.replies.pop()) == line


@asyncio_test
async def test_a_fault_of_the_decisions_does_not_stop_the_gossip():
    rig = Rig(await FakeHost("a").listen())
    turns = []

    def turn():
        turns.append(rig.loop.time())
        rig.driver.gateway.actions.append(SetTimer(1_000, 0))
        raise RuntimeError("made up")

    rig.driver.gateway._turn = turn
    await until(lambda: len(turns) >= 3)


@asyncio_test
async def test_a_client_that_reads_no_answers_is_not_read_from():
    rig = Rig(await FakeHost("a").listen())
    caller = await rig.caller()
    caller.transport.pause_reading()
    await until(lambda: rig.clients.open)
    (client,) = rig.clients.open
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
async def test_silence_and_half_a_command_are_ended_in_time(sent):
    """Else connections that say nothing fill the descriptors for good."""
    rig = Rig(await FakeHost("a").listen())
    caller = await rig.caller()
    caller.transport.write(sent)
    await until(lambda: caller.closed)
    assert bool(caller.replies) == bool(sent)
    await until(lambda: not rig.clients.open and not rig.clients.waiting and not rig.clients.ending)


@asyncio_test
async def test_silent_connections_make_room_for_those_that_ask():
    host = await FakeHost("a").listen()
    rig = Rig(host, sockets=8)
    kept = await rig.caller()
    kept.call()
    await kept.replied()
    silent = [await rig.caller() for _ in range(40)]
    await until(lambda: sum(caller.closed for caller in silent) >= 30)
    assert len(rig.clients.open) <= 8
    late = await rig.caller()
    late.call(number=b"late")
    assert await late.replied() == [b"ok"]
    kept.call(number=b"again")  # one that has asked stays before those that never did
    assert (await kept.replied(2))[1] == b"ok"


@asyncio_test
async def test_connections_that_all_have_requests_stay_and_more_are_closed():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host, sockets=4)
    callers = [await rig.caller() for _ in range(4)]
    for place, caller in enumerate(callers):
        caller.call(number=b"%d" % place, wait=10_000)
    await until(lambda: len(host.commands) == 4)
    late = await rig.caller()
    await until(lambda: late.closed)
    for connection in host.connections:
        connection.transport.write(value(b"x"))
    for caller in callers:
        assert await caller.replied() == [b"x"]


@asyncio_test
async def test_the_longest_idle_connection_makes_room_first():
    """By last use, not by age: the oldest may be the busiest."""
    rig = Rig(await FakeHost("a").listen(), sockets=3)
    callers = [await rig.caller() for _ in range(3)]
    for caller in (*callers, callers[0]):
        caller.ask(b"PING")
        await until(lambda caller=caller: caller.replies)
        caller.replies.clear()
    await rig.caller()
    await until(lambda: callers[1].closed)
    assert not callers[0].closed and not callers[2].closed


@asyncio_test
async def test_the_id_of_an_open_request_is_refused_and_free_again_once_it_is_answered():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host)
    first, second = await rig.caller(), await rig.caller()
    first.call(number=b"same")
    await until(lambda: host.commands)
    second.call(number=b"same")
    assert "open" in error((await second.replied())[0])
    host.connections[0].transport.write(value(b"x"))
    assert await first.replied() == [b"x"]
    assert rig.clients.numbers == set()
    first.call(number=b"same")
    await until(lambda: len(host.commands) == 2)


@asyncio_test
async def test_many_commands_at_once_wait_unread_and_are_all_answered():
    """No more than WAITING_MOST are taken at a time, and none is forgotten."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    most = []
    host.script = lambda command: (most.append(len(rig.driver.calls)), value(command[2]))[1]
    caller = await rig.caller()
    for number in range(48):
        caller.call(number=b"%d" % number)
    assert await caller.replied(48) == [b"%d" % number for number in range(48)]
    assert max(most) <= WAITING_MOST
    caller.ask(b"PING")
    assert (await caller.replied(49))[48] == b"PONG"


@pytest.mark.parametrize(
    "spoilt",
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
async def test_a_spoilt_answer_fails_the_attempt_which_may_have_run(spoilt):
    """Never served, never taken for a refusal, never waited for: an unsafe request fails at once."""
    host = await FakeHost("a").listen()
    host.script = lambda command: spoilt
    rig = Rig(host)
    caller = await rig.caller()
    caller.call("bill", wait=60_000)
    assert error((await caller.replied())[0]).startswith("ERR")
    assert len(host.commands) == 1
    await until(lambda: not host.connections and not rig.hosts.sockets)


@asyncio_test
async def test_more_than_one_answer_is_served_once_and_ends_its_connection():
    host = await FakeHost("a").listen()
    host.script = lambda command: value(b"good") + value(b"good")
    rig = Rig(host)
    caller = await rig.caller()
    caller.call()
    assert await caller.replied() == [b"good"]
    await until(lambda: not host.connections)


@asyncio_test
async def test_a_late_second_copy_is_not_the_answer_of_the_next_request():
    """A connection that has just answered is not used at once, nor one on which something has come."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    caller = await rig.caller()
    caller.call("bill", number=b"one")
    assert await caller.replied() == [b"ok"]
    first = host.connections[0]
    host.script = lambda command: (first.transport.write(value(b"copy")), value(b"good"))[1]
    caller.call("bill", number=b"two")
    assert (await caller.replied(2))[1] == b"good"
    await until(lambda: first not in host.connections)


@asyncio_test
async def test_a_connection_on_which_something_has_come_is_not_used_again():
    """The loop may not have shown it yet: the socket itself is asked."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    caller = await rig.caller()
    caller.call("bill", number=b"one")
    await caller.replied()
    pool = rig.hosts.pools[b"a"]
    (connection,) = pool.idle
    connection.idle_since -= 1  # it has rested
    sock = host.connections[0].transport.get_extra_info("socket")
    os.write(sock.fileno(), value(b"copy"))
    attempt = UpstreamAttempt(
        ClientRequest(None, (b"CALL.GET", b"0", b"x", b"d=", b""), 0, print), 0, b"a", 0, 10**18
    )
    pool.send(attempt)  # the loop has had no turn since the copy was written
    assert attempt.link is pool and connection not in pool.idle


@asyncio_test
async def test_a_report_that_makes_no_sense_is_left_out_and_its_answer_is_served():
    host = await FakeHost("a").listen()
    for report in (
        b"util=nan,latency_ms=9",
        b"util=-1,latency_ms=9",
        b"util=1_0,latency_ms=9",
        b"\xff\r\n",
    ):
        host.script = lambda command, report=report: value(b"ok", report)
        caller = await Rig(host).caller()
        caller.call()
        assert await caller.replied() == [b"ok"]
    names = (b"util", b"latency_ms")
    assert parse_report(b"latency_ms=9.5,util=0.1,more=1", names) == (0.1, 9.5)
    for odd in (
        None,
        b"",
        b"util=inf,latency_ms=1",
        b"util=1",
        b"util=1,latency_ms= 2",
        b"util=1e9,latency_ms=2",
    ):
        assert parse_report(odd, names) == ()


@asyncio_test
async def test_connections_of_an_old_life_are_not_used_for_the_new_one():
    """A host restarted under its id must not get what was meant for the one before it."""
    host = await FakeHost("a").listen()
    rig = Rig(host)
    caller = await rig.caller()
    caller.call()
    await caller.replied()
    old = host.connections[0]
    rig.told(host.line(born_ms=5))
    await until(lambda: old not in host.connections)
    assert rig.hosts.pools[b"a"].born == 5_000


@asyncio_test
async def test_what_waits_for_a_connection_to_a_host_that_is_gone_goes_elsewhere():
    old, new = [await FakeHost(name).listen() for name in "ab"]
    rig = Rig(old)
    rig.hosts.pools[b"a"]._open = lambda: asyncio.sleep(30)  # one that never comes up
    caller = await rig.caller()
    caller.call("bill")
    await until(lambda: rig.hosts.pools[b"a"].waiting)
    rig.told(old.line("DELETED"), new.line())
    assert await caller.replied() == [b"ok"]
    assert [len(host.commands) for host in (old, new)] == [0, 1]


def test_the_log_is_bounded_and_tells_how_much_was_left_out():
    bounded = RateLimitedLogFilter()
    lines = [
        logging.makeLogRecord({"msg": "odd", "created": 100.0 + place / 1000})
        for place in range(200)
    ]
    assert sum(bounded.filter(line) for line in lines) == MAX_LINES_PER_SPAN
    later = logging.makeLogRecord({"msg": "odd", "created": 200.0})
    assert bounded.filter(later)
    assert later.msg == f"({200 - MAX_LINES_PER_SPAN} lines left out before) odd"


@asyncio_test
async def test_where_many_are_idle_the_longest_idle_are_closed():
    """Clients hold only so many connections: kept for good after one request, they leave none for others."""
    rig = Rig(await FakeHost("a").listen(), sockets=16)
    callers = [await rig.caller() for _ in range(10)]
    for caller in callers:
        caller.ask(b"PING")
        await until(lambda caller=caller: caller.replies)
    await until(lambda: len(rig.clients.idle) == 10)
    for client in rig.clients.idle:
        rig.clients.idle[client] -= IDLE_LEAST
    await until(lambda: sum(caller.closed for caller in callers) == 6)
    await asyncio.sleep(2 * SWEEP)
    assert [caller.closed for caller in callers] == [True] * 6 + [False] * 4
