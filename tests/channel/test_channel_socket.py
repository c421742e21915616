"""The datagram channel over UDP sockets: binding, closing, receivers of unknown incarnation."""

from __future__ import annotations

import asyncio
import socket

from async_testing import asyncio_test

from saffrongw.channel.signed_datagram import DatagramCodec, SharedKey
from saffrongw.channel.socket import DatagramChannel

KEY = SharedKey(b"a" * 32)
KIND = 1


def channel(name: str, incarnation: int) -> DatagramChannel:
    """Return a channel on a free port of this machine."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        address = probe.getsockname()
    return DatagramChannel(DatagramCodec(name, incarnation, (KEY,)), address)


def test_a_payload_to_an_unknown_incarnation_is_sent_again_after_its_hello():
    @asyncio_test
    async def run() -> None:
        sender, receiver = channel("a", 11), channel("b", 22)
        received = asyncio.Queue()
        receiver.handlers[KIND] = lambda *datagram: received.put_nowait(datagram)
        await sender.open(False)
        await receiver.open(False)
        try:
            sender.set_addresses({"b": receiver.listen})
            sender.send("b", KIND, b"hello")
            assert await asyncio.wait_for(received.get(), 5) == ("a", 11, b"hello")
            assert sender.incarnations == {"b": 22}
        finally:
            await sender.close()
            await receiver.close()

    run()


def test_a_successor_binds_once_the_address_is_free():
    @asyncio_test
    async def run() -> None:
        successor = channel("a", 12)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as predecessor:
            predecessor.bind(successor.listen)
            await successor.open(True)
            await asyncio.sleep(0.15)
            assert successor.transport is None
        async with asyncio.timeout(5):
            while successor.transport is None:
                await asyncio.sleep(0.02)
        await successor.close()

    run()


def test_close_ends_the_attempts_of_a_successor_to_bind():
    @asyncio_test
    async def run() -> None:
        successor = channel("a", 13)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as predecessor:
            predecessor.bind(successor.listen)
            await successor.open(True)
            await asyncio.sleep(0)
            await successor.close()
        assert successor.bind_task.done()
        assert successor.transport is None

    run()


def test_a_payload_to_a_gateway_without_an_address_is_counted_and_lost():
    sender = channel("a", 11)
    sender.send("b", KIND, b"hello")
    assert sender.counters["nowhere"] == 1
    assert sender.counters["sent"] == 0
