"""TLS connections in a hot restart: they stay in the old process, which finishes their commands."""

from __future__ import annotations

from async_testing import asyncio_test, until
from client_rig import Caller, error
from test_tls_listener import TlsGateway

from tests.faults.hot_restart_rig import bill_command

COMMAND = bill_command(b"half", b"BODY" * 100)
UNSENT_BYTES = 20


async def tls_client(tmp_path) -> tuple[TlsGateway, Caller]:
    """Return a gateway and a client that has had an answer over TLS."""
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    caller = await gateway.caller()
    caller.call()
    await caller.replied()
    return gateway, caller


def hand_over(gateway: TlsGateway) -> list[int]:
    """Begin a hand-over; return the list of descriptors that are given away."""
    given: list[int] = []
    shutdown = gateway.rig.clients.shutdown
    shutdown.start_countdown()
    shutdown.hand_over(lambda descriptor, _unprocessed: not given.append(descriptor))
    return given


@asyncio_test
async def test_a_request_that_had_arrived_in_part_over_tls_is_answered(tmp_path):
    """Guards against TLS connections that were not read any more, and closed unanswered."""
    gateway, caller = await tls_client(tmp_path)
    caller.transport.write(COMMAND[:-UNSENT_BYTES])
    (connection,) = gateway.rig.clients.connections
    await until(lambda: len(connection.reader) > 0)
    given = hand_over(gateway)
    finishing = gateway.rig.loop.create_task(gateway.rig.clients.shutdown.finish())
    caller.transport.write(COMMAND[-UNSENT_BYTES:])
    replies = await caller.replied(2)
    assert error(replies[1]).startswith("BUSY")
    await finishing
    await until(lambda: caller.closed)
    assert not given
    assert not gateway.host.commands[1:]


@asyncio_test
async def test_an_idle_tls_connection_is_closed_in_a_hand_over(tmp_path):
    gateway, caller = await tls_client(tmp_path)
    given = hand_over(gateway)
    await gateway.rig.clients.shutdown.finish()
    await until(lambda: caller.closed)
    assert not given
