"""Replies that lie in the gateway's write buffers while their clients, over TLS, read slowly."""

from __future__ import annotations

import asyncio
import socket

import pytest
from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import value
from test_tls_listener import TlsGateway

from saffrongw.gateway.downstream import idle_reaper
from saffrongw.gateway.downstream.connection import ClientConnection

LONG = b"v" * 400_000
# Longer than a TLS library waits for the other side by default, shorter than CLOSE_TIMEOUT_S.
REST_S = 1.5


async def client_with_unwritten_value(tmp_path) -> tuple[TlsGateway, Caller, ClientConnection]:
    """Return a client that has read nothing of a value that the gateway has taken completely."""
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    gateway.host.script = lambda _command: value(LONG)
    caller = await gateway.caller()
    await until(lambda: gateway.rig.clients.connections)
    (connection,) = gateway.rig.clients.connections
    for transport, option in (
        (connection.transport, socket.SO_SNDBUF),
        (caller.transport, socket.SO_RCVBUF),
    ):
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
    connection.transport.set_write_buffer_limits(high=2 * len(LONG))
    caller.transport.pause_reading()
    caller.call()
    await until(lambda: gateway.rig.driver.metrics.served == [1, 0, 0] and not connection.slots)
    assert connection.undelivered_bytes > len(LONG) // 2
    return gateway, caller, connection


def quiesce(gateway: TlsGateway) -> None:
    gateway.rig.clients.shutdown.quiesce()


def send_malformed(gateway: TlsGateway) -> None:
    (connection,) = gateway.rig.clients.connections
    connection.data_received(b"*1\r\n$4\r\nNONE\r\n")


@pytest.mark.parametrize("close", [quiesce, send_malformed])
@asyncio_test
async def test_connection_closes_only_after_its_client_has_read(close, tmp_path):
    """Guards against values cut off a second after the close began (review, case 8)."""
    gateway, caller, connection = await client_with_unwritten_value(tmp_path)
    close(gateway)
    await asyncio.sleep(REST_S)
    caller.transport.resume_reading()
    assert (await caller.replied())[0] == LONG
    await until(lambda: connection not in gateway.rig.clients.connections)


@asyncio_test
async def test_drain_waits_for_a_client_that_reads_late(tmp_path):
    gateway, caller, _connection = await client_with_unwritten_value(tmp_path)
    draining = gateway.rig.loop.create_task(gateway.rig.clients.shutdown.drain(0.0))
    await asyncio.sleep(REST_S)
    assert not draining.done()
    caller.transport.resume_reading()
    assert (await caller.replied())[0] == LONG
    await draining


@asyncio_test
async def test_client_that_reads_nothing_is_given_up(monkeypatch, tmp_path):
    monkeypatch.setattr(idle_reaper, "CLOSE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(idle_reaper, "SWEEP_INTERVAL_S", 0.05)
    gateway, _caller, connection = await client_with_unwritten_value(tmp_path)
    quiesce(gateway)
    await until(lambda: connection not in gateway.rig.clients.connections)


@asyncio_test
async def test_idle_connection_whose_client_does_not_answer_the_close_is_given_up(
    monkeypatch, tmp_path
):
    """Guards against idle connections that stay open for the TLS library's time limit."""
    monkeypatch.setattr(idle_reaper, "CLOSE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(idle_reaper, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(idle_reaper, "MAX_IDLE_S", 0.1)
    monkeypatch.setattr(idle_reaper, "MIN_IDLE_S", 0.1)
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open()
    caller = await gateway.caller()
    caller.call()
    await caller.replied()
    caller.transport.pause_reading()
    await until(lambda: not gateway.rig.clients.connections)
