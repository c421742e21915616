"""A client over TLS that sends without pause leaves other clients their turn."""

from __future__ import annotations

import hiredis
from async_testing import asyncio_test, until
from test_tls_listener import TlsGateway

PING = hiredis.pack_command((b"PING",))
COUNT = 40_000


@asyncio_test
async def test_another_client_is_answered_before_the_rest(tmp_path):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    flooding, other = await gateway.caller(), await gateway.caller()
    await until(lambda: len(gateway.rig.clients.connections) == 2)
    flooding.transport.write(PING * COUNT)
    await flooding.replied(1)
    other.ask(b"PING")
    await other.replied()
    assert len(flooding.replies) < COUNT
    await flooding.replied(COUNT)
