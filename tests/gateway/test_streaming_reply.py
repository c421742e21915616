"""Streaming replies: complete and in order, with backpressure; the client notices an incomplete one."""

from __future__ import annotations

import asyncio
import hashlib

import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, SmallBufferClient, error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway import streaming_reply
from saffrongw.gateway.bounded_reads import READ_BYTES
from saffrongw.gateway.resp import (
    MAX_STREAMED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    MalformedMessageError,
    ReplyReader,
)
from saffrongw.gateway.upstream.pool import REUSE_DELAY_S

REPORT = b"latency_ms=9,util=0.5"
LONG = hashlib.shake_128(b"long").digest(300_000)


async def client_of(
    script, *numbers: bytes, endpoint_count=1
) -> tuple[Rig, list[FakeEndpoint], Caller]:
    """Return a client that has sent these requests to a gateway whose endpoints use ``script``."""
    endpoints = [await FakeEndpoint(name).listen() for name in "abc"[:endpoint_count]]
    for endpoint in endpoints:
        endpoint.script = script
    rig = Rig(*endpoints)
    caller = await rig.caller()
    for number in numbers:
        caller.call(number=number, wait=20_000)
    return rig, endpoints, caller


@pytest.mark.parametrize("length", [MAX_VALUE_BYTES + 1, 1_000_000, MAX_STREAMED_VALUE_BYTES])
@asyncio_test
async def test_streamed_value_arrives_complete_and_its_connection_is_reused(length):
    long = hashlib.shake_128(b"%d" % length).digest(length)
    rig, (endpoint,), caller = await client_of(lambda command: value(long, REPORT), b"1")
    assert await caller.replied() == [long]
    await until(lambda: rig.driver.metrics.served == [1, 0, 0])
    assert not rig.clients.open_request_ids and not rig.driver.requests
    await asyncio.sleep(2 * REUSE_DELAY_S)
    caller.call(number=b"2")
    assert await caller.replied(2) == [long, long]
    assert len(endpoint.connections) == 1


@asyncio_test
async def test_streamed_value_in_pieces_of_any_size_is_the_same():
    _rig, (endpoint,), caller = await client_of(lambda command: None, b"1")
    await until(lambda: endpoint.commands)
    answer = value(LONG, REPORT)
    head, tail = answer[:40], answer[-40:]
    for piece in [bytes((b,)) for b in head] + [answer[40:-40]] + [bytes((b,)) for b in tail]:
        endpoint.connections[0].transport.write(piece)
        await asyncio.sleep(0)
    assert await caller.replied() == [LONG]


@asyncio_test
async def test_streaming_reply_is_written_at_its_position_among_replies():
    held = []
    script = {b"long": value(LONG), b"after": value(b"3")}

    def answer(command):
        if command[2] == b"first":
            held.append(endpoint.peer)
        return script.get(command[2])

    _rig, (endpoint,), caller = await client_of(answer, b"first", b"long", b"after")
    await until(lambda: len(endpoint.commands) == 3)
    await asyncio.sleep(0.05)
    assert caller.replies == []
    held[0].transport.write(value(b"1"))
    assert await caller.replied(3) == [b"1", LONG, b"3"]


@asyncio_test
async def test_slow_client_pauses_its_endpoint_and_no_other():
    """Only a few reads of the value are buffered, however long the client pauses."""
    long = bytes(MAX_STREAMED_VALUE_BYTES)
    script = {b"slow": value(long), b"other": value(b"ok")}
    rig, (_endpoint,), other = await client_of(lambda command: script[command[2]])
    slow = await SmallBufferClient.connect(rig)
    slow.call(b"slow")
    await until(lambda: any(c.streaming for c in rig.clients.connections))
    (value_,) = [c.streaming for c in rig.clients.connections if c.streaming]
    await until(lambda: value_.source.is_paused)
    left = value_.bytes_left
    other.call(number=b"other")
    assert await other.replied() == [b"ok"]
    assert value_.bytes_left == left > MAX_STREAMED_VALUE_BYTES // 4  # the rest is not even read
    expected = b"$4194304\r\n" + long + b"\r\n"
    assert await slow.receive(len(expected)) == expected
    slow.sock.close()


async def assert_all_connections_answer(rig: Rig, endpoint: FakeEndpoint, caller: Caller) -> None:
    """Assert that short requests are answered on all idle connections to the endpoint."""
    await until(lambda: not rig.driver.requests)
    await asyncio.sleep(2 * REUSE_DELAY_S)
    idle = len(endpoint.connections)
    count, sent_before = len(caller.replies), len(endpoint.commands)
    # Sent in one turn, so that each takes a connection of its own.
    for number in range(idle):
        caller.call(number=b"short%d" % number, wait=20_000)
    await until(lambda: len(endpoint.commands) == sent_before + idle)
    assert len(endpoint.connections) == idle
    for connection in list(endpoint.connections):
        connection.transport.write(value(b"short"))
    assert (await caller.replied(count + idle))[count:] == [b"short"] * idle


@asyncio_test
async def test_connection_is_read_again_after_a_value_that_waited_behind_an_earlier_reply():
    """The next request on the connection was never answered: it went back to its pool unread."""
    rig, (endpoint,), caller = await client_of(lambda command: None, b"first", b"long")
    await until(lambda: len(endpoint.commands) == 2)
    first, long = endpoint.connections
    if endpoint.commands[0][2] != b"first":
        first, long = long, first
    answer = value(LONG[:70_000])
    long.transport.write(answer[:60_000])
    await until(
        lambda: any(
            slot.reply and slot.reply.bytes_left < 11_000
            for client in rig.clients.connections
            for slot in client.slots
        )
    )
    # With these bytes the limit is reached and the value is complete.
    long.transport.write(answer[60_000:])
    first.transport.write(value(b"1"))
    assert await caller.replied(2) == [b"1", LONG[:70_000]]
    await assert_all_connections_answer(rig, endpoint, caller)


# Read in one piece with what follows the value, and more than the small kernel buffers take.
LAST_BYTES = READ_BYTES - 1_000


@asyncio_test
async def test_connection_is_read_again_after_a_client_that_did_not_read_the_end_of_its_value():
    """The next request on the connection was never answered: it went back to its pool unread."""
    rig, (endpoint,), other = await client_of(lambda command: None)
    late = await SmallBufferClient.connect(rig)
    late.call(b"long")
    await until(lambda: endpoint.commands)
    (client,) = [each for each in rig.clients.connections if each.slots]
    # One unwritten byte is enough to pause reading from the endpoint.
    client.transport.set_write_buffer_limits(high=0)
    answer = value(LONG)
    (upstream,) = endpoint.connections
    upstream.transport.write(answer[:-LAST_BYTES])
    received = await late.receive(len(LONG) - LAST_BYTES)
    await until(lambda: not client.transport.get_write_buffer_size())
    # The client does not read these bytes, the end of the value among them.
    upstream.transport.write(answer[-LAST_BYTES:])
    await until(lambda: client.streaming is None)
    assert client.transport.get_write_buffer_size()
    await assert_all_connections_answer(rig, endpoint, other)
    received += await late.receive(len(b"$300000\r\n" + LONG + b"\r\n") - len(received))
    assert received == b"$300000\r\n" + LONG + b"\r\n"
    late.sock.close()


@asyncio_test
async def test_broken_streaming_reply_closes_client_connection_without_retry():
    rig, endpoints, caller = await client_of(lambda command: None, b"1", endpoint_count=2)
    await until(lambda: any(endpoint.commands for endpoint in endpoints))
    (connection,) = [c for endpoint in endpoints for c in endpoint.connections]
    connection.transport.write(value(LONG)[:100_000])
    await until(
        lambda: (
            rig.driver.metrics.attempts == 1 and any(c.streaming for c in rig.clients.connections)
        )
    )
    connection.transport.abort()
    await until(lambda: caller.closed)
    assert caller.replies == [] and sum(len(endpoint.commands) for endpoint in endpoints) == 1
    assert rig.driver.metrics.failed == [1, 0, 0]
    assert not rig.clients.open_request_ids and not rig.driver.requests


@asyncio_test
async def test_streamed_value_with_wrong_length_is_cut_before_its_end():
    rig, (_endpoint,), caller = await client_of(
        lambda command: value(LONG).replace(b"\r\n$-1", b"xx$-1"), b"1"
    )
    await until(lambda: caller.closed)
    assert caller.replies == [] and rig.driver.metrics.failed == [1, 0, 0]


@asyncio_test
async def test_client_disconnect_closes_streaming_upstream_connection():
    rig, (endpoint,), caller = await client_of(lambda command: value(LONG)[:200_000], b"1")
    await until(lambda: any(c.streaming for c in rig.clients.connections))
    caller.transport.abort()
    await until(lambda: not endpoint.connections)
    assert not rig.clients.open_request_ids and rig.cluster.open_connections == 0
    assert rig.driver.metrics.failed == [1, 0, 0]


@asyncio_test
async def test_stalled_streaming_reply_is_abandoned(monkeypatch):
    monkeypatch.setattr(streaming_reply, "STALL_TIMEOUT_S", 0.1)
    rig, (endpoint,), caller = await client_of(lambda command: value(LONG)[:200_000], b"1")
    await until(lambda: caller.closed and not endpoint.connections)
    assert not rig.clients.open_request_ids


@asyncio_test
async def test_streamed_value_over_limit_is_malformed():
    _rig, (_endpoint,), caller = await client_of(
        lambda command: b"*3\r\n$%d\r\nx" % (MAX_STREAMED_VALUE_BYTES + 1), b"1"
    )
    assert error((await caller.replied())[0])
    assert not caller.closed


@asyncio_test
async def test_streamed_value_without_request_is_dropped():
    _rig, (endpoint,), caller = await client_of(lambda command: value(b"ok") + value(LONG), b"1")
    await until(lambda: caller.replies or caller.closed)
    caller.call(number=b"2")
    await until(lambda: not endpoint.connections or len(caller.replies) == 2)
    assert LONG not in caller.replies


def test_reply_reader_consumes_streamed_value_in_parts():
    reader = ReplyReader()
    reader.feed(b"*3\r\n$70000\r\nabc")
    assert reader.take_streamed_header() == 70_000
    assert reader.take_bytes(2) + reader.take_bytes(9) == b"abc"
    assert reader.is_at_value_end() is None
    reader.feed(b"\r")
    assert reader.is_at_value_end() is None
    reader.feed(b"\n$-1\r\n")
    assert reader.is_at_value_end() and not reader.take_streamed_tail()
    reader.feed(b"$2\r\nab\r\n")
    assert reader.take_streamed_tail() and not len(reader)
    reader.feed(b"*3\r\n$5000000\r\n")
    with pytest.raises(MalformedMessageError):
        reader.take_streamed_header()
    short = ReplyReader()
    short.feed(b"*3\r\n$65536\r\n")
    assert short.take_streamed_header() is None
