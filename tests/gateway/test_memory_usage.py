"""Metrics of memory and of the reasons for closed connections and rejections."""

from __future__ import annotations

import asyncio
import logging

from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway import memory_usage
from saffrongw.gateway.memory_usage import BufferedBytes, MemoryWatch
from saffrongw.gateway.reasons import CloseReason, RejectionReason

MB = memory_usage.BYTES_PER_MB


def test_the_watch_logs_once_when_memory_is_high_and_once_when_it_is_normal_again(caplog):
    held = BufferedBytes(client_input=3 * MB, requests=20 * MB, replies=0, upstream=0)
    watch = MemoryWatch(asyncio.new_event_loop(), 100 * MB, lambda: held)
    with caplog.at_level(logging.WARNING):
        for resident_mb in (70, 76, 90, 70, 66, 64, 60):
            watch.check(resident_mb * MB)
    assert [record.getMessage() for record in caplog.records] == [
        "memory: high: resident_mb=76 limit_mb=100 client_input_mb=3 requests_mb=20 replies_mb=0 upstream_mb=0",
        "memory: normal: resident_mb=64 limit_mb=100 client_input_mb=3 requests_mb=20 replies_mb=0 upstream_mb=0",
    ]


def test_the_resident_memory_of_this_process_is_known():
    assert memory_usage.resident_bytes() > MB


@asyncio_test
async def test_partial_commands_and_open_requests_are_counted_in_bytes():
    endpoint = FakeEndpoint("a")
    endpoint.script = lambda command: None
    rig = Rig(await endpoint.listen())
    caller = await rig.caller()
    caller.transport.write(b"*5\r\n$9\r\nCALL.POST\r\n")
    await until(lambda: rig.clients.held_input_bytes == len(b"*5\r\n$9\r\nCALL.POST\r\n"))
    other = await rig.caller()
    other.call()
    await until(lambda: endpoint.commands)
    assert rig.driver.held_request_bytes > len(b"CALL.GET")
    assert rig.clients.held_reply_bytes == 0
    assert rig.cluster.held_bytes == 0


@asyncio_test
async def test_each_close_is_counted_by_its_reason():
    rig = Rig(await FakeEndpoint("a").listen())
    closed = rig.driver.metrics.closed
    leaving = await rig.caller()
    await until(lambda: rig.clients.connections)
    leaving.transport.abort()
    await until(lambda: closed[CloseReason.CLIENT_LEFT] == 1)
    malformed = await rig.caller()
    malformed.transport.write(b"what\r\n")
    await until(lambda: malformed.closed)
    assert closed[CloseReason.MALFORMED_COMMAND] == 1
    evicted = await rig.caller()
    await until(lambda: rig.clients.connections)
    next(iter(rig.clients.connections)).abort(CloseReason.EVICTED)
    await until(lambda: evicted.closed)
    assert closed[CloseReason.EVICTED] == 1
    assert closed.total() == 3


@asyncio_test
async def test_a_rejection_is_counted_by_its_reason():
    rig = Rig(await FakeEndpoint("a").listen())
    caller: Caller = await rig.caller()
    rig.clients.shutdown.rejects_requests = True
    caller.call()
    await caller.replied()
    assert rig.driver.metrics.rejected == {RejectionReason.SHUTDOWN: 1}
