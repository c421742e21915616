"""What a TLS connection holds while its client sends without pause and reads nothing."""

from __future__ import annotations

import asyncio
import multiprocessing
import ssl

from async_testing import asyncio_test, until
from test_tls_listener import TlsGateway

from saffrongw.gateway import memory_usage
from saffrongw.gateway.bootstrap import DescriptorBudget
from saffrongw.gateway.in_flight_memory import PROGRAM_BYTES

CLIENTS = 60
# The limits of the scored days: each connection's part of the memory beside the program's.
MEMORY_BYTES, SOCKETS = 192 << 20, 1_024
MAX_BYTES_PER_CONNECTION = (MEMORY_BYTES - PROGRAM_BYTES) / DescriptorBudget.of(SOCKETS).clients
HANDSHAKES_AT_A_TIME = 10
FLOOD_S = 2.0


def flood(port: int) -> None:
    """Connect clients that send commands until they are killed."""

    async def send(context: ssl.SSLContext) -> None:
        _, writer = await asyncio.open_connection(
            "127.0.0.1", port, ssl=context, server_hostname="a.example"
        )
        while True:
            writer.write(b"*1\r\n$4\r\nPING\r\n" * 20_000)
            await writer.drain()

    async def send_all() -> None:
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        tasks = []
        for number in range(CLIENTS):
            tasks.append(asyncio.create_task(send(context)))
            if number % HANDSHAKES_AT_A_TIME == 0:
                await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    asyncio.run(send_all())


@asyncio_test
async def test_a_tls_connection_that_is_not_read_holds_no_more_than_its_part_of_the_memory(
    tmp_path,
):
    gateway = TlsGateway(tmp_path)
    gateway.install("a.example")
    await gateway.open(sockets=SOCKETS)
    clients = multiprocessing.get_context("spawn").Process(target=flood, args=(gateway.port,))
    before = memory_usage.resident_bytes()
    clients.start()
    try:
        connections = gateway.rig.clients.connections
        await until(lambda: len(connections) == CLIENTS, within=40)
        await asyncio.sleep(FLOOD_S)
        grown = memory_usage.resident_bytes() - before
    finally:
        clients.kill()
        clients.join()
    assert grown / CLIENTS <= MAX_BYTES_PER_CONNECTION
