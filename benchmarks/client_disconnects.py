"""Counts requests that reach a host 0.3 s or more after their client has disconnected.

    python -m benchmarks.client_disconnects   a burst of clients on loopback, slow connections to hosts: one line

Each client sends one request and disconnects within 0.2 s, every other one by a reset; a connection to a host takes 0
to 0.4 s to open. ``--forgets`` plants a fault: requests that wait for a connection are not withdrawn.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
from async_testing import until
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE, Rig

LATE_AFTER_S = 0.3


async def count_late_requests(clients: int, forgets: bool) -> tuple[int, int, int]:
    """Count clients that left before their request reached a host, and those requests forwarded later, and late."""
    draw, hosts = random.Random(1), [await FakeEndpoint(name).listen() for name in "abcd"]
    received_at: dict[bytes, float] = {}
    for host in hosts:
        host.script = lambda command: (
            received_at.setdefault(command[2], time.monotonic()) and value(b"ok")
        )
    rig = Rig(
        *hosts,
        sockets=2 * clients,
        permissions=SITE["permissions"] | {"connectTimeout": 1_000_000, "cancel": False},
    )
    real, ports = rig.loop.create_connection, {host.port for host in hosts}

    async def connect_late(factory, *address, **more):
        if address and address[1] in ports:
            await asyncio.sleep(draw.uniform(0, 0.4))
        return await real(factory, *address, **more)

    rig.loop.create_connection = connect_late
    if forgets:
        rig.cluster.withdraw = lambda attempt: False
    left_at: dict[bytes, float] = {}

    async def client(number: int) -> None:
        caller, name = await rig.caller(), b"n%d" % number
        caller.call(number=name, wait=5000)
        await asyncio.sleep(draw.uniform(0, 0.2))
        left_at[name] = time.monotonic()
        (caller.transport.abort if number % 2 else caller.transport.close)()

    await asyncio.gather(*(client(number) for number in range(clients)))
    await until(lambda: not any(pool.opening for pool in rig.cluster.pools.values()), 30)
    await asyncio.sleep(0.5)
    waited = [name for name, at in left_at.items() if received_at.get(name, at + 1) > at]
    forwarded = [name for name in waited if name in received_at]
    return (
        len(waited),
        len(forwarded),
        sum(received_at[name] - left_at[name] >= LATE_AFTER_S for name in forwarded),
    )


def main() -> None:
    """Print one line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--forgets", action="store_true")
    options = parser.parse_args()
    waited, forwarded, late = uvloop.run(count_late_requests(options.clients, options.forgets))
    print(
        f"left while they waited {waited}, sent on after that {forwarded}, {LATE_AFTER_S} s or more after that {late}"
    )


if __name__ == "__main__":
    main()
