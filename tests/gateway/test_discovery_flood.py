"""A discovery service that sends answers that nobody has asked for."""

from __future__ import annotations

import asyncio
import json

from async_testing import asyncio_test, until
from test_discovery_client import COMPLETE, ManualAgent, client_of, listen, manual

from saffrongw.gateway.discovery.client import MAX_UNREAD_POLL_BYTES

COUNT = 200


def answer(listed: dict) -> bytes:
    """One answer on the wire."""
    body = json.dumps(listed).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@asyncio_test
async def test_answers_that_arrive_together_take_an_iteration_each():
    """Guards against a service that kept clients waiting (issue 59, picture b)."""
    agents, received, client = await manual()
    connection = client.connection
    connection.data_received(answer(COMPLETE) * COUNT)
    assert len(received) == 1
    turns = 0
    while len(received) < COUNT:
        await asyncio.sleep(0)
        turns += 1
    assert turns >= COUNT - 1
    # It is read again, and what is sent then counts.
    agents[0].answer(COMPLETE)
    await until(lambda: len(received) == COUNT + 1)


@asyncio_test
async def test_service_that_answers_and_does_not_read_is_left():
    """Guards against polls that pile up in memory."""
    agents: list[ManualAgent] = []
    address = await listen(lambda: ManualAgent(agents))
    client = client_of(address, lambda _listed: None)
    await until(lambda: agents and agents[0].targets)
    agents[0].transport.pause_reading()
    connection = client.connection
    largest = 0
    while not connection.transport.is_closing():
        connection.data_received(answer(COMPLETE) * 100)
        await asyncio.sleep(0)
        largest = max(largest, connection.transport.get_write_buffer_size())
    assert largest < 2 * MAX_UNREAD_POLL_BYTES
    await until(lambda: len(agents) == 2 and agents[1].targets)
