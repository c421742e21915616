"""Operators' calls hold for all processes of a hot restart, whichever of them receives the call."""

from __future__ import annotations

import asyncio

from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import FakeEndpoint, value

from tests.faults.hot_restart_rig import (
    FakeSuccessor,
    GatewayProcess,
    SharedSite,
    answer_of,
    hold_slow_requests,
)

# Longer than the test: the request ends when it is answered or the process that has it must end.
LONG_WAIT_MS = 60_000


def ids_at(endpoint: FakeEndpoint) -> list[bytes]:
    """The ids of the requests that were sent to an endpoint."""
    return [bytes(command[2]) for command in endpoint.commands]


async def call(gateway: GatewayProcess, path: str, body: str = "") -> None:
    """Make an admin call that must succeed."""
    assert (await gateway.call("POST", path, body))[0] == 200


async def take_over(site: SharedSite, old: GatewayProcess, idle: Caller) -> GatewayProcess:
    """Start a successor and end the old process; return the successor once it serves a client."""
    successor = await site.gateway()
    old.process.terminate()
    await until(lambda: not old.has_connection(idle))
    assert (await answer_of(idle, b"after-take-over")) == b"after-take-over"
    return successor


@asyncio_test
async def test_the_old_process_retries_at_no_endpoint_excluded_at_its_successor(tmp_path):
    """Excluding an endpoint at the successor did not stop retries of the old process at it (review, case 3)."""
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    held = [hold_slow_requests(endpoint) for endpoint in endpoints]
    site = SharedSite(tmp_path, *endpoints, permissions={"secondCopies": False})
    old = await site.gateway()
    idle, busy = [await site.caller() for _ in range(2)]
    assert (await answer_of(idle, b"first")) == b"first"
    busy.call(wait=LONG_WAIT_MS, number=b"slow")
    await until(lambda: any(held))
    used, spare = endpoints if held[0] else reversed(endpoints)
    new = await take_over(site, old, idle)
    await call(new, "cordon", spare.name)
    await old.wait_ready_read()
    for connection in list(used.connections):
        connection.transport.abort()
    await busy.replied()
    assert b"slow" not in ids_at(spare)
    assert await old.wait_end() == 0
    assert await new.end() == 0


@asyncio_test
async def test_calls_pass_the_serving_process_in_both_directions_of_two_hot_restarts_in_a_row(
    tmp_path,
):
    """A serving process kept to itself what its predecessor or its successor told it."""
    host = await FakeEndpoint("a").listen()
    held = hold_slow_requests(host)
    site = SharedSite(tmp_path, host)
    oldest = await site.gateway()
    idle, busy = [await site.caller() for _ in range(2)]
    assert (await answer_of(idle, b"first")) == b"first"
    busy.call(wait=LONG_WAIT_MS, number=b"slow")
    await until(lambda: held)
    serving = await take_over(site, oldest, idle)
    newest = FakeSuccessor(site)
    await asyncio.to_thread(newest.receive_until, "greeted")
    await call(oldest, "cordon", "a")
    assert await asyncio.to_thread(newest.receive) == ["exclusion", "a", True]
    newest.sock.send(b'["exclusion","b",true]')
    await oldest.wait_metric("hosts_down=2")
    await call(serving, "uncordon", "a")
    assert await asyncio.to_thread(newest.receive) == ["exclusion", "a", False]
    await oldest.wait_metric("hosts_down=1")
    newest.sock.close()
    held[0].transport.write(value(b"slow"))
    assert await busy.replied() == [b"slow"]
    assert await oldest.wait_end() == 0
    assert await serving.end() == 0
