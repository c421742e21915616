"""Memory is reserved for each request in flight, and given back however the request ends."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, SmallBufferClient, error
from fake_endpoint import FakeEndpoint, value
from hypothesis import given
from hypothesis import strategies as st
from loopback_rig import Rig

from saffrongw.gateway.in_flight_memory import (
    MAX_REPLY_BYTES,
    MIN_REPLY_BYTES,
    PROGRAM_BYTES,
    InFlightMemory,
    ReplySizes,
)
from saffrongw.gateway.reasons import RejectionReason

BODY = b"x" * 60_000


def large_request(number: bytes) -> bytes:
    words = (
        b"CALL.POST",
        b"%016x" % 7,
        number,
        b"c=put,t=team,d=2000,k=k,units=1,spread=2,first=0",
    )
    return hiredis.pack_command((*words, BODY))


async def make_rig(script=None) -> tuple[Rig, FakeEndpoint, Caller]:
    """Return a gateway whose single endpoint never answers by itself, and a client."""
    endpoint = FakeEndpoint("a")
    endpoint.script = script or (lambda command: None)
    rig = Rig(await endpoint.listen())
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    return rig, endpoint, caller


def used(rig: Rig) -> int:
    return rig.clients.in_flight_memory.used_bytes


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 1 << 20)), max_size=50))
def test_no_more_is_reserved_than_the_limit(steps):
    memory = InFlightMemory(PROGRAM_BYTES + (10 << 20))
    held = []
    for is_reservation, count in steps:
        if is_reservation and memory.try_reserve(count):
            held.append(count)
        elif held:
            memory.release(held.pop())
        assert memory.used_bytes == sum(held) <= memory.limit_bytes == 4 << 20


def test_the_estimate_follows_long_replies_at_once_and_short_ones_slowly():
    sizes = ReplySizes(2)
    assert sizes.expected_bytes(0) == MAX_REPLY_BYTES
    for _ in range(500):
        sizes.observe(0, 100)
    assert sizes.expected_bytes(0) == MIN_REPLY_BYTES
    assert sizes.expected_bytes(1) == MAX_REPLY_BYTES
    sizes.observe(0, 50_000)
    assert sizes.expected_bytes(0) == 50_000
    sizes.observe(0, 100)
    assert sizes.expected_bytes(0) > 40_000


@asyncio_test
async def test_served_and_rejected_requests_give_their_memory_back():
    rig, endpoint, caller = await make_rig()
    caller.transport.write(large_request(b"a") + large_request(b"b"))
    await until(lambda: len(endpoint.commands) == 2)
    assert used(rig) >= 2 * len(BODY)
    for connection in list(endpoint.connections):
        connection.transport.write(value(b"ok"))
    await caller.replied(2)
    await until(lambda: used(rig) == 0)
    rig.clients.shutdown.rejects_requests = True
    caller.transport.write(large_request(b"c"))
    await caller.replied(3)
    assert used(rig) == 0


@pytest.mark.parametrize("sent_bytes", [30_000, None])
@asyncio_test
async def test_a_client_that_leaves_gives_its_memory_back(sent_bytes):
    rig, _endpoint, caller = await make_rig()
    caller.transport.write(large_request(b"a")[:sent_bytes])
    await until(lambda: used(rig) >= len(BODY))
    caller.transport.abort()
    await until(lambda: not rig.clients.connections)
    assert used(rig) == 0


@asyncio_test
async def test_a_malformed_command_gives_the_memory_of_its_body_back():
    rig, _endpoint, caller = await make_rig()
    caller.transport.write(large_request(b"a")[:30_000])
    await until(lambda: used(rig) >= len(BODY))
    caller.transport.write(b"y" * 40_000)
    await until(lambda: caller.closed)
    assert used(rig) == 0


@pytest.mark.parametrize("length", [60_000, 400_000])
@asyncio_test
async def test_memory_is_held_until_a_slow_client_has_read_its_reply(length):
    rig, _endpoint, _caller = await make_rig(lambda command: value(b"x" * length))
    client = await SmallBufferClient.connect(rig)
    client.call(b"long")
    await until(lambda: any(not each.is_writable for each in rig.clients.connections))
    await asyncio.sleep(0.05)
    assert used(rig) > 0
    await client.receive(length + len(b"$%d\r\n\r\n" % length))
    await until(lambda: used(rig) == 0)
    client.sock.close()


@asyncio_test
async def test_a_large_request_without_room_is_read_to_its_end_and_rejected():
    rig, endpoint, caller = await make_rig()
    memory = rig.clients.in_flight_memory
    assert memory.try_reserve(memory.limit_bytes)
    caller.transport.write(large_request(b"a") + b"*1\r\n$4\r\nPING\r\n")
    rejection, pong = await caller.replied(2)
    assert error(rejection).startswith("BUSY")
    assert pong == "PONG" or pong == b"PONG"
    assert rig.driver.metrics.rejected[RejectionReason.MEMORY] == 1
    assert not endpoint.commands
    assert memory.used_bytes == memory.limit_bytes


@asyncio_test
async def test_small_requests_find_room_beside_large_and_pipelined_ones():
    rig, endpoint, caller = await make_rig()
    memory = rig.clients.in_flight_memory
    assert memory.try_reserve(memory.greedy_limit_bytes)
    caller.transport.write(large_request(b"a"))
    (rejection,) = await caller.replied()
    assert error(rejection).startswith("BUSY")
    pipelining = await rig.caller()
    pipelining.call(number=b"b")
    pipelining.call(number=b"c")
    await until(lambda: endpoint.commands)
    await asyncio.sleep(0.05)
    assert [command[2] for command in endpoint.commands] == [b"b"]
    for connection in list(endpoint.connections):
        connection.transport.write(value(b"ok"))
    await until(lambda: len(endpoint.commands) == 2)


@asyncio_test
async def test_a_dropped_body_is_rejected_in_a_hand_over_and_its_connection_is_handed_over():
    rig, _endpoint, caller = await make_rig()
    memory = rig.clients.in_flight_memory
    assert memory.try_reserve(memory.limit_bytes)
    request = large_request(b"a")
    caller.transport.write(request[:30_000])
    (connection,) = rig.clients.connections
    await until(lambda: connection.reader.is_dropping)
    given_connections = []
    rig.clients.shutdown.hand_over(lambda _fd, rest, _waited_us: not given_connections.append(rest))
    assert not given_connections
    caller.transport.write(request[30_000:])
    (rejection,) = await caller.replied()
    assert error(rejection).startswith("BUSY")
    await until(lambda: given_connections == [b""])
