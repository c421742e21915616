"""Hot restart with real processes: a successor takes over without refused requests, also under faults."""

from __future__ import annotations

import asyncio
import signal
import socket

from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE

from saffrongw.gateway.hot_restart.channel import MAX_QUEUED_PACKETS, HandOverChannel, short_address
from tests.faults.hot_restart_rig import (
    FakeSuccessor,
    RequestLoop,
    SharedSite,
    answer_of,
    bill_command,
    hold_slow_requests,
    receive_kinds,
)


@asyncio_test
async def test_idle_busy_and_partly_read_connections_survive_a_hot_restart_and_none_is_refused(
    tmp_path,
):
    host = await FakeEndpoint("a").listen()
    held = hold_slow_requests(host)
    site = SharedSite(tmp_path, host)
    old = await site.gateway()
    idle, busy, half = [await site.caller() for _ in range(3)]
    idle.call(number=b"first")
    assert await idle.replied() == [b"first"]
    busy.call(number=b"slow")
    command = bill_command(b"half", b"BODY")
    half.transport.write(command[:-9])
    await until(lambda: held)
    new = await site.gateway()
    # The running process still serves.
    assert (await answer_of(idle, b"between")) == b"between"
    # Either process may execute it.
    busy.call(number=b"behind")
    requests = RequestLoop(site)
    await asyncio.sleep(0.05)
    old.process.terminate()
    await until(lambda: not old.has_connection(half))
    half.transport.write(command[-9:])
    assert await half.replied() == [b"half"]
    assert busy.replies == []
    assert old.process.returncode is None
    held[0].transport.write(value(b"slow"))
    assert await busy.replied(2) == [b"slow", b"behind"]
    assert await old.wait_end() == 0
    await requests.stop()
    assert requests.refused == []
    for caller in (idle, busy, half):
        assert not caller.closed
        assert (await answer_of(caller, b"after")) == b"after"
    # Nothing ran twice.
    ids = [bytes(command[2]) for command in host.commands]
    assert ids.count(b"half") == ids.count(b"slow") == 1
    assert await new.end() == 0


@asyncio_test
async def test_quota_counters_and_exclusions_survive_a_hot_restart(tmp_path):
    host = await FakeEndpoint("a").listen()
    plan = SITE["packages"][0] | {"perSecond": 0.001, "peakUnits": 4.0}
    site = SharedSite(tmp_path, host, packages=[plan])
    old = await site.gateway()
    assert (await old.call("POST", "cordon", "a"))[0] == 200
    caller = await site.caller()
    for number in range(8):
        caller.call(number=b"%d" % number)
        await caller.replied(number + 1)
    spent = len(host.commands)
    assert 1 <= spent <= 4
    new = await site.gateway()
    # An exclusion sent to one process applies to both.
    assert (await new.call("POST", "cordon", "b"))[0] == 200
    await old.wait_metric("hosts_down=2")
    assert await old.end() == 0
    caller.call(number=b"again")
    assert error((await caller.replied(9))[8]).startswith("BUSY")
    assert len(host.commands) == spent
    assert b"svc.hosts_down=2" in (await new.call("GET", "stats"))[1]
    assert (await new.call("POST", "uncordon", "a"))[0] == 200
    third = await site.gateway()
    await third.wait_metric("hosts_down=1")
    assert await new.end() == 0
    assert await third.end() == 0
    assert not site.socket_path.exists()


@asyncio_test
async def test_a_lost_successor_is_forgotten_and_the_next_one_takes_over(tmp_path):
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    caller = await site.caller()
    before = old.open_unix_sockets()
    for number in (signal.SIGKILL, signal.SIGTERM):
        lost = await site.gateway()
        await lost.end(number)
        assert (await answer_of(caller, b"old%d" % number)) == b"ok"
        await until(lambda: old.open_unix_sockets() == before)
    new = await site.gateway()
    assert await old.end() == 0
    assert (await answer_of(caller, b"new")) == b"ok"
    assert await new.end() == 0


@asyncio_test
async def test_a_successor_serves_at_once_when_the_running_process_is_killed(tmp_path):
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    new = await site.gateway()
    await old.end(signal.SIGKILL)
    # The successor shares the listening socket, which was never closed.
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    # The socket file left by the killed process doesn't prevent another hot restart.
    third = await site.gateway()
    assert await new.end() == 0
    assert (await answer_of(caller, b"2")) == b"ok"
    assert await third.end() == 0


@asyncio_test
async def test_a_new_process_serves_alone_when_the_socket_accepts_and_never_answers(
    tmp_path,
):
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    stranger = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with short_address(site.socket_path) as address:
        stranger.bind(address)
    # Connections are accepted by the kernel and never answered.
    stranger.listen(1)
    first = await site.gateway()
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    stranger.close()
    assert await first.end() == 0


@asyncio_test
async def test_malformed_packets_are_ignored(tmp_path):
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    sock = site.connect()
    for packet in (
        b"{",
        b"[]",
        b"[1]",
        b'["exclusion"]',
        b'["x"]',
        b"\xff",
        b'["exclusion",1,true]',
        b"[" * 5000,
    ):
        sock.send(packet)
    assert receive_kinds(sock, "greeted")[0] == "sockets"
    sock.close()
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    assert old.process.returncode is None
    assert await old.end() == 0


@asyncio_test
async def test_a_successor_lost_at_sigterm_leaves_an_ordinary_graceful_shutdown(tmp_path):
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    successor = FakeSuccessor(site)
    successor.receive_until("greeted")
    await old.wait_ready_read()
    old.process.terminate()
    successor.sock.close()
    assert await old.wait_end() == 0
    await until(lambda: caller.closed)


@asyncio_test
async def test_clients_of_a_successor_lost_after_take_over_are_served_by_the_running_process(
    tmp_path,
):
    """Refused before: new clients, and clients whose connections had not been handed over yet."""
    host = await FakeEndpoint("a").listen()
    held = hold_slow_requests(host)
    site = SharedSite(tmp_path, host)
    old = await site.gateway()
    busy = await site.caller()
    busy.call(number=b"slow")
    await until(lambda: held)
    # It must be answered, whether or not its execution has begun.
    busy.call(number=b"held")
    successor = FakeSuccessor(site)
    successor.receive_until("greeted")
    await old.wait_ready_read()
    old.process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(successor.receive_until, "go")
    busy.call(number=b"behind")
    # The connection waits in the kernel's accept queue for the successor.
    caller = await site.caller()
    caller.call(number=b"late")
    successor.sock.close()
    assert await caller.replied() == [b"late"]
    held[0].transport.write(value(b"slow"))
    assert await busy.replied(3) == [b"slow", b"held", b"behind"]
    assert await old.wait_end() == 0


@asyncio_test
async def test_a_successor_that_reads_nothing_does_not_delay_the_end(tmp_path):
    """The partial commands exceed the channel's capacity; the running process used to wait forever."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    for _ in range(8):
        command = bill_command(b"half", b"\x01" * 60_000)
        (await site.caller()).transport.write(command[: -10_000 - len(b"\r\n")])
    successor = FakeSuccessor(site)
    successor.receive_until("greeted")
    await old.wait_ready_read()
    old.process.send_signal(signal.SIGTERM)
    assert await old.wait_end() == 0
    successor.sock.close()


@asyncio_test
async def test_requests_at_an_endpoint_that_hangs_fail_before_the_running_process_is_killed(
    tmp_path,
):
    """A supervisor eventually sends SIGKILL, so requests still in flight must fail before that."""
    host = await FakeEndpoint("a").listen()
    host.script = lambda _: None
    site = SharedSite(tmp_path, host)
    old = await site.gateway()
    caller = await site.caller()
    caller.call("bill", wait=60_000, number=b"held")
    await until(lambda: host.commands)
    new = await site.gateway()
    assert await old.end() == 0
    assert error((await caller.replied())[0]) == "ERR failed"
    host.script = lambda _: value(b"ok")
    # The connection has been handed over to the successor.
    assert (await answer_of(caller, b"after")) == b"ok"
    assert await new.end() == 0


@asyncio_test
async def test_a_successor_stopped_while_taking_over_serves_what_it_was_given(tmp_path):
    """A supervisor may send SIGTERM to both processes; the successor used to end without serving."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    new = await site.gateway()
    new.process.send_signal(signal.SIGSTOP)
    old.process.send_signal(signal.SIGTERM)
    await until(lambda: not old.has_connection(caller))
    # Not read yet when the successor is resumed.
    caller.call(number=b"2")
    late = await site.caller()
    late.call(number=b"3")
    new.process.send_signal(signal.SIGTERM)
    new.process.send_signal(signal.SIGCONT)
    assert (await caller.replied(2))[1] == b"ok"
    assert await late.replied() == [b"ok"]
    assert await old.wait_end() == 0
    assert await new.wait_end() == 0


@asyncio_test
async def test_a_replaced_successor_ends_without_serving(tmp_path):
    """It mistook its replacement for the predecessor's end, so that two processes granted the same quotas."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    first = await site.gateway()
    second = await site.gateway()
    assert await first.wait_end() == 0
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    assert await old.end() == 0
    assert (await answer_of(caller, b"2")) == b"ok"
    assert await second.end() == 0


@asyncio_test
async def test_an_ending_process_leaves_the_socket_of_the_next_one(tmp_path):
    """A successor doesn't wait for a stalled process, which at its end used to remove the successor's socket."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen())
    old = await site.gateway()
    old.process.send_signal(signal.SIGSTOP)
    new = await site.gateway()
    old.process.send_signal(signal.SIGCONT)
    assert await old.end() == 0
    assert site.socket_path.exists()
    third = await site.gateway()
    caller = await site.caller()
    assert (await answer_of(caller, b"1")) == b"ok"
    assert await new.end() == 0
    assert (await answer_of(caller, b"2")) == b"ok"
    assert await third.end() == 0


@asyncio_test
async def test_more_packets_than_the_queue_holds_arrive_in_order_and_a_full_queue_rejects():
    loop = asyncio.get_running_loop()
    got, lost = [], []
    here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sender = HandOverChannel(loop, here, lambda *_: None, lambda: lost.append("sender"))
    receiver = HandOverChannel(
        loop, there, lambda message, _: got.append(message[1]), lambda: lost.append(1)
    )
    for number in range(3 * MAX_QUEUED_PACKETS):
        assert sender.send("n", number)
        if len(sender.send_queue) >= 256:
            await sender.wait_sent()
    await until(lambda: len(got) == 3 * MAX_QUEUED_PACKETS)
    assert got == list(range(3 * MAX_QUEUED_PACKETS))
    # The receiver stops reading.
    loop.remove_reader(there)
    accepted = 0
    while sender.send("n", "x" * 1000):
        accepted += 1
    assert MAX_QUEUED_PACKETS <= accepted < 2 * MAX_QUEUED_PACKETS
    receiver.close()
    sender.close()
    assert not sender.send("n", 1)
    assert lost == []
