"""Each test forces one bad order of events, over real connections."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, error
from fake_endpoint import FakeEndpoint, value
from gateway_rig import SITE, Rig
from program_rig import configured, started

from saffrongw.gateway.downstream import idle_reaper
from saffrongw.gateway.downstream.connection import MAX_PIPELINED_COMMANDS
from saffrongw.gateway.upstream.connection import REPLY_REMAINDER_TIMEOUT_S
from saffrongw.policy.actions import SendAttempt
from saffrongw.policy.events import AttemptEnded, AttemptOutcome, ExclusionChanged
from testbed.runner.processes import die_with_parent

PERMISSIONS = SITE["permissions"]


class ConnectGate:
    """Holds connections to these endpoints back until the test opens it."""

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


# -- endpoints ----------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("is_excluded", [False, True])
@pytest.mark.parametrize("kind", ["read", "put", "bill"])
@asyncio_test
async def test_attempt_waiting_for_connection_to_draining_endpoint_is_retried_elsewhere(
    kind, is_excluded
):
    """Its connection comes up after the endpoint list: the first byte would be sent after the drain grace."""
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(old, **slow_to_open())
    gate = ConnectGate(rig.loop, old)
    caller = await rig.caller()
    caller.call(kind)
    await until(lambda: gate.waiting)
    if is_excluded:
        rig.told(new.line())
        rig.driver.exclusion_changed(ExclusionChanged(b"a", "operator", True))
    else:
        rig.told(new.line(), old.line("DRAINING"))
    assert await caller.replied() == [b"ok"]
    gate.opened.set()
    await until(lambda: not rig.cluster.pools[b"a"].opening)
    assert (len(old.commands), len(new.commands)) == (0, 1)
    if not is_excluded:  # and a connection that is not needed any more is closed
        await until(lambda: not old.connections and rig.cluster.open_connections == 1)


@asyncio_test
async def test_attempt_delayed_until_endpoint_drains_is_decided_anew():
    """The ledger delays attempts until their intent is on the disk."""
    old, new = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(old)
    caller = await rig.caller()
    send, delayed = rig.cluster.send, []
    rig.cluster.send = lambda attempt: (
        delayed.append(attempt) if attempt.endpoint_id == b"a" else send(attempt)
    )
    caller.call("bill")
    await until(lambda: delayed)
    rig.told(old.line("DRAINING"), new.line())
    send(delayed[0])
    assert await caller.replied() == [b"ok"]
    assert (len(old.commands), len(new.commands)) == (0, 1)


@asyncio_test
async def test_endpoint_ready_again_after_draining_is_used():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    rig.told(endpoint.line("DRAINING"))
    rig.told(endpoint.line())
    caller = await rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]
    assert not rig.cluster.pools[b"a"].is_draining


@asyncio_test
async def test_connection_up_in_turn_of_connect_timeout_carries_its_request():
    """If it were cancelled, its request would wait to its deadline, and its descriptor and its entry
    among the closing ones would be counted for ever; after 24 of them none would be opened any more."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint, permissions=PERMISSIONS | {"connectTimeout": 50_000})
    pool = rig.cluster.pools[b"a"]
    connected = pool.connected

    def slow(connection) -> None:
        connected(connection)
        time.sleep(0.08)  # its timeout is due before the loop reports that it is up

    pool.connected = slow
    caller = await rig.caller()
    for number in range(3):
        caller.call("bill", wait=20_000, number=b"%d" % number)
    assert await caller.replied(3) == [b"ok"] * 3
    await until(lambda: rig.cluster.open_connections == len(endpoint.connections))
    assert not rig.cluster.closing and not rig.driver.requests


@asyncio_test
async def test_connection_up_after_connect_timeout_in_same_turn_carries_nothing():
    """The timeout fires between the kernel's report and ours: the request is retried elsewhere, once."""
    late, good = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(late, permissions=PERMISSIONS | {"connectTimeout": 50_000})
    real, (here, there) = rig.loop.create_connection, socket.socketpair()
    here.setblocking(False)

    def stand_still() -> None:
        here.recv(1)
        time.sleep(0.08)

    async def connect(factory, *address, **more):
        if address and address[1] == late.port:
            there.send(b"x")  # read in the very turn in which the kernel reports the connection
        return await real(factory, *address, **more)

    rig.loop.add_reader(here, stand_still)
    rig.loop.create_connection = connect
    caller = await rig.caller()
    rig.told(good.line())
    rig.driver.gateway._choose, choose = (
        lambda request: rig.driver.gateway.hosts[b"a" if not request.attempts else b"b"],
        rig.driver.gateway._choose,
    )
    caller.call("bill", wait=20_000)
    assert await caller.replied() == [b"ok"]
    rig.driver.gateway._choose = choose
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
    """The process stands still for longer than the remainder may take; it was sent at once, or never."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: value(b"ok")[:9]
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call(kind, wait=20_000)
    await until(
        lambda: any(
            attempt.carrier.remainder_timer
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


# -- after the final reply, and after the client ---------------------------------------------------------------


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
    assert endpoint.commands == [] and not rig.driver.gateway.attempts


async def client_at_pipeline_limit(rig: Rig, endpoint: FakeEndpoint):
    """A client with one request in flight and so many commands behind it that no more is read."""
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
@pytest.mark.parametrize("why", ["many", "closing", "unread answers", "handing over"])
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
    elif why == "unread answers":
        client.pause_writing()
    elif why == "handing over":
        rig.clients.shutdown.hand_over(lambda fd, begun: False)
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
    await asyncio.sleep(0.3)  # some checks
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
    """The loop closes once all is written, which never happens for a client that reads nothing."""
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
    client.transport.write(b"+PONG\r\n" * 1_000_000)  # more than the kernel holds
    caller.call(wait=20_000, number=b"held")
    await until(lambda: endpoint.commands)
    assert client.transport.get_write_buffer_size() > 1_000_000
    caller.transport.write_eof()
    await until(lambda: not rig.driver.requests and not endpoint.connections)
    assert not rig.clients.open_request_ids


# -- streaming replies ---------------------------------------------------------------------------------


async def three_replies(rig: Rig, endpoints: list[FakeEndpoint]):
    """A client with three requests: the first is in flight, the second streams, the third has its reply."""
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
    """Its end comes before its turn, when no sink is attached that could report it."""
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
    monkeypatch.setattr(idle_reaper, "CLOSE_TIMEOUT_S", 60.0)  # the kernel's small windows are slow
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
    client.transport.write(b"$7\r\nearlier\r\n" * 20_000)  # more than the kernel holds
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


# -- idle connections -------------------------------------------------------------------------------------------------


def send_unread(caller: Caller, number: bytes, begin: int = 0, end: int | None = None) -> None:
    """Send a request, or a part of it, that lies unread in the kernel when this returns."""
    terms = b"c=read,t=team,d=9000,units=1,spread=2,first=0"
    command = hiredis.pack_command((b"CALL.GET", b"0" * 15 + b"7", number, terms))[begin:end]
    assert os.write(caller.transport.get_extra_info("socket").fileno(), command) == len(command)


async def idle_clients(rig: Rig, count: int) -> list[Caller]:
    """Connections that have sent a command and are idle, in this order."""
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
    asks, rests = await idle_clients(rig, 2)
    for client in rig.clients.reaper.idle:
        rig.clients.reaper.idle[client] -= 100
    send_unread(asks, b"id1")
    rig.clients.reaper._sweep()  # in the same turn
    assert (await asks.replied(2))[1] == b"ok"
    await until(lambda: rests.closed)
    assert not asks.closed


@pytest.mark.parametrize("begun", [0, 30])
@asyncio_test
async def test_unread_remainder_of_command_is_served_after_command_timeout(begun):
    """The process stood still: by the clock the command is late, but it arrived in time."""
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    (client,) = rig.clients.connections
    if begun:
        send_unread(caller, b"id1", end=begun)
        await until(lambda: len(client.reader))
    rig.clients.reaper.awaiting_command[client] -= 100
    send_unread(caller, b"id1", begin=begun)
    rig.clients.reaper._sweep()  # in the same turn
    assert await caller.replied() == [b"ok"]
    assert not caller.closed


@asyncio_test
async def test_unread_request_on_eviction_candidate_is_served():
    """The longest idle connection is evicted, but not one that has just sent a request."""
    rig = Rig(await FakeEndpoint("a").listen(), sockets=4)
    asks, rests, *others = await idle_clients(rig, 4)
    send_unread(asks, b"id1")
    assert rig.clients.ensure_capacity()
    assert (await asks.replied(2))[1] == b"ok"
    await until(lambda: rests.closed)
    assert not any(caller.closed for caller in (asks, *others))
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
    disconnected, rests = await idle_clients(rig, 2)
    with socket.socket(
        fileno=os.dup(disconnected.transport.get_extra_info("socket").fileno())
    ) as sock:
        sock.shutdown(socket.SHUT_WR)
    oldest = next(iter(rig.clients.reaper.idle))
    assert rig.clients.ensure_capacity() and oldest not in rig.clients.connections
    await until(lambda: disconnected.closed)
    assert not rests.closed


# -- shutdown and start -----------------------------------------------------------------------------------


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
    await rig.clients.shutdown.drain(0.0)  # the loop had no turn to accept them
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


@asyncio_test
async def test_process_ends_in_time_with_busy_client_and_hanging_endpoint(tmp_path):
    """SIGKILL comes 3.7 s after SIGTERM: by then all is answered, and the process has exited."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    process, connect, _ = await started(endpoint, tmp_path)
    caller = await connect()
    caller.call("bill", wait=60_000, number=b"held")
    await until(lambda: endpoint.commands)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)  # it reloads meanwhile
    process.send_signal(signal.SIGTERM)
    sent = 0
    while not caller.closed and sent < 2_000:
        caller.call(wait=60_000, number=b"more%d" % sent)
        sent += 1
        await asyncio.sleep(0.02)
    assert await asyncio.wait_for(process.wait(), 10) == 0
    assert len(caller.replies) <= 1 + sent
    assert error(caller.replies[0]) == "ERR failed"
    replies = [error(reply) for reply in caller.replies]
    assert replies.count("BUSY") > 50 and set(replies) <= {"BUSY", "ERR failed"}
    assert replies[-1] == "BUSY"  # late requests were rejected at once


def being_read(pipe) -> bool:
    """Whether a process has the pipe open for reading."""
    try:
        os.close(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
    except OSError:
        return False
    return True


@asyncio_test
async def test_sighup_between_reading_file_and_starting_discovery_is_carried_out(tmp_path):
    """The file is a pipe: the program has read it and has no signal handlers yet."""
    endpoint = await FakeEndpoint("a").listen()
    file, port = configured(tmp_path)
    text = json.loads(file.read_text())
    file.unlink()
    os.mkfifo(file)
    polls = []

    class Agent(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            polls.append(data)

    loop = asyncio.get_running_loop()
    server = await loop.create_server(Agent, "127.0.0.1", 0)
    # So many that the program is still processing them when the signal arrives.
    known = {"seq": 1, "whole": True, "hosts": [endpoint.line(host=f"s{n}") for n in range(20_000)]}
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "saffrongw"),
        env=os.environ | {"LB_CONFIG": str(file)},
        preexec_fn=die_with_parent,
    )
    await asyncio.to_thread(file.write_text, json.dumps(text | {"known": known}))
    await until(lambda: not being_read(file))
    process.send_signal(signal.SIGHUP)
    there = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    rewrite = asyncio.create_task(
        asyncio.to_thread(file.write_text, json.dumps(text | {"known": known, "discovery": there}))
    )
    try:
        await until(lambda: polls)
    finally:
        if not rewrite.done():  # the program does not read it a second time
            os.close(os.open(file, os.O_RDONLY | os.O_NONBLOCK))
        process.terminate()
        await process.wait()
        await rewrite
    assert port
