"""Endpoints that write their replies slowly."""

from __future__ import annotations

import asyncio

from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.upstream import connection

PIECES = 8
VALUE = b"v" * 40_000


def in_pieces(reply: bytes) -> list[bytes]:
    """Split a reply."""
    size = len(reply) // PIECES + 1
    return [reply[start : start + size] for start in range(0, len(reply), size)]


@asyncio_test
async def test_reply_that_its_endpoint_writes_slowly_is_passed_on(monkeypatch):
    """Guards against answers given up while they were being written (issue 59, picture d)."""
    monkeypatch.setattr(connection, "REPLY_REMAINDER_TIMEOUT_S", 0.4)
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", wait=60_000)
    await until(lambda: endpoint.commands)
    for piece in in_pieces(value(VALUE)):
        endpoint.connections[0].transport.write(piece)
        await asyncio.sleep(0.1)
    assert await caller.replied() == [VALUE]


@asyncio_test
async def test_reply_that_stops_is_given_up(monkeypatch):
    monkeypatch.setattr(connection, "REPLY_REMAINDER_TIMEOUT_S", 0.1)
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: value(VALUE)[:-5]
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", wait=60_000)
    assert error((await caller.replied())[0]) == "ERR failed"


@asyncio_test
async def test_reply_that_is_still_written_at_the_deadline_fails_in_time():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", wait=300)
    await until(lambda: endpoint.commands)
    for piece in in_pieces(value(VALUE)):
        if endpoint.connections:
            endpoint.connections[0].transport.write(piece)
        await asyncio.sleep(0.1)
    assert error((await caller.replied())[0]) == "ERR failed"
