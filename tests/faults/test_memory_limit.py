"""Hundreds of clients at once never take a process over the memory limit of its settings."""

from __future__ import annotations

import asyncio

import pytest
from async_testing import asyncio_test
from crowd_rig import (
    LONG_VALUE_BYTES,
    Crowd,
    LimitedGateway,
    SlowEndpoint,
    ping_unread,
    pipeline_and_read_slowly,
    pipeline_large_requests,
    play,
    read_slowly,
    send_short_fields,
    stop_half_way,
    usual_request,
    write_slowly,
)

CLIENTS = 340
DURATION_S = 6.0
# The smallest limit of memory on the pages, with the most descriptors; and that of the scored days.
SMALLEST_MB, USUAL_MB, SOCKETS = 64, 192, 1_024


async def check_crowd(folder, behaviour, memory_mb, value_bytes=100) -> None:
    """Play a crowd; the process must stay within its limit, answer, and serve when the crowd has left."""
    endpoint = SlowEndpoint(value_bytes)
    await endpoint.listen()
    gateway = LimitedGateway(folder, endpoint, memory_mb, SOCKETS)
    await gateway.start()
    await play(gateway, behaviour, CLIENTS, DURATION_S)
    async with asyncio.timeout(10):
        while await usual_request(gateway) != "served":
            await asyncio.sleep(0.1)
    gateway.check_memory()
    await gateway.end()


@pytest.mark.parametrize("memory_mb", [SMALLEST_MB, USUAL_MB])
class TestMemoryLimitHolds:
    @asyncio_test
    async def test_with_clients_that_write_slowly(self, tmp_path, memory_mb):
        await check_crowd(tmp_path, write_slowly, memory_mb)

    @asyncio_test
    async def test_with_clients_that_stop_half_way_through_a_large_request(
        self, tmp_path, memory_mb
    ):
        await check_crowd(tmp_path, stop_half_way, memory_mb)

    @asyncio_test
    async def test_with_clients_that_send_very_many_short_fields(self, tmp_path, memory_mb):
        await check_crowd(tmp_path, send_short_fields, memory_mb)

    @asyncio_test
    async def test_with_clients_that_read_long_values_slowly(self, tmp_path, memory_mb):
        await check_crowd(tmp_path, read_slowly, memory_mb, LONG_VALUE_BYTES)

    @asyncio_test
    async def test_with_clients_that_send_many_large_requests_at_once(self, tmp_path, memory_mb):
        await check_crowd(tmp_path, pipeline_large_requests, memory_mb)

    @asyncio_test
    async def test_with_clients_that_request_many_values_and_read_them_slowly(
        self, tmp_path, memory_mb
    ):
        await check_crowd(tmp_path, pipeline_and_read_slowly, memory_mb, 60_000)

    @asyncio_test
    async def test_with_clients_that_send_commands_without_pause_and_read_nothing(
        self, tmp_path, memory_mb
    ):
        await check_crowd(tmp_path, ping_unread, memory_mb)


@asyncio_test
async def test_memory_of_a_process_killed_beside_a_crowd_and_started_again_holds(tmp_path):
    endpoint = SlowEndpoint(LONG_VALUE_BYTES)
    await endpoint.listen()
    gateway = LimitedGateway(tmp_path, endpoint, SMALLEST_MB, SOCKETS)
    first = await gateway.start()
    crowd = Crowd(gateway, read_slowly, CLIENTS)
    await asyncio.sleep(0.5)
    first.kill()
    await first.wait()
    await gateway.start()
    await crowd.stop()
    await play(gateway, read_slowly, CLIENTS, DURATION_S)
    await gateway.end()
