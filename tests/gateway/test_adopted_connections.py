"""Connections that the predecessor process gave away, and their descriptors."""

from __future__ import annotations

import asyncio
import gc
import os
import socket

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway.upstream.pool import REUSE_DELAY_S


def connected_socket(endpoint: FakeEndpoint) -> socket.socket:
    """A connection to the endpoint, as the predecessor gives it."""
    sock = socket.create_connection(("127.0.0.1", endpoint.port))
    sock.setblocking(False)
    return sock


def is_open(descriptor: int) -> bool:
    """Whether a descriptor is open in this process."""
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def occupy(descriptor: int) -> list[int]:
    """Open files until one has this descriptor; return all of them."""
    files = [os.open(os.devnull, os.O_RDONLY)]
    while files[-1] < descriptor:
        files.append(os.open(os.devnull, os.O_RDONLY))
    assert files[-1] == descriptor
    return files


REASONS_TO_CLOSE = {
    "drains": lambda rig, endpoint: rig.update_endpoints(endpoint.line("DRAINING")),
    "is removed": lambda rig, endpoint: rig.update_endpoints(endpoint.line("DELETED")),
    "is handed over": lambda rig, _endpoint: rig.cluster.hand_over(lambda *_connection: True),
}


@pytest.mark.parametrize("reason", REASONS_TO_CLOSE)
@asyncio_test
async def test_connection_closed_as_it_is_adopted_gives_its_descriptor_up_once(reason):
    """Guards against closing a descriptor that has another owner by then (review, case 6)."""
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    sock = connected_socket(endpoint)
    descriptor = sock.fileno()
    await until(lambda: endpoint.connections)
    rig.cluster.adopt(b"a", 0, sock)
    # The connection opens in the next turn of the loop; it has to be closed at once then.
    REASONS_TO_CLOSE[reason](rig, endpoint)
    await until(lambda: not is_open(descriptor))
    files = occupy(descriptor)
    del sock
    await asyncio.sleep(2 * REUSE_DELAY_S)
    gc.collect()
    assert all(is_open(file) for file in files)
    assert rig.cluster.open_connections == 0
    for file in files:
        os.close(file)


@asyncio_test
async def test_client_connection_given_on_as_it_is_adopted_gives_its_descriptor_up_once():
    """The same for a client's connection that the next successor gets at once."""
    rig = Rig(await FakeEndpoint("a").listen())
    await rig.listen()
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    (connection,) = rig.clients.connections
    descriptor = os.dup(connection.transport.get_extra_info("socket").fileno())
    rig.clients.shutdown.hand_over(lambda *_connection: True)
    rig.clients.adopt(socket.socket(fileno=descriptor), b"")
    await until(lambda: not is_open(descriptor))
    files = occupy(descriptor)
    await asyncio.sleep(2 * REUSE_DELAY_S)
    gc.collect()
    assert all(is_open(file) for file in files)
    for file in files:
        os.close(file)
    caller.transport.close()


@asyncio_test
async def test_connection_to_a_draining_endpoint_is_closed_and_not_adopted():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    rig.update_endpoints(endpoint.line("DRAINING"))
    rig.cluster.adopt(b"a", 0, connected_socket(endpoint))
    assert rig.cluster.open_connections == 0
    await until(lambda: not endpoint.connections)


@asyncio_test
async def test_adopted_connection_carries_requests_after_its_rest():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    rig.cluster.adopt(b"a", 0, connected_socket(endpoint))
    await until(lambda: rig.cluster.pools[b"a"].idle)
    await asyncio.sleep(2 * REUSE_DELAY_S)
    caller = await rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]
    assert len(endpoint.connections) == rig.cluster.open_connections == 1
