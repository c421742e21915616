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
from conftest import SITE, FakeHost, Rig, until, value

LATE = 0.3  # Seconds.


async def play(clients: int, forgets: bool) -> tuple[int, int, int]:
    """Count clients that left before their request reached a host, and those requests forwarded later, and late."""
    draw, hosts = random.Random(1), [await FakeHost(name).listen() for name in "abcd"]
    came: dict[bytes, float] = {}
    for host in hosts:
        host.script = lambda command: came.setdefault(command[2], time.monotonic()) and value(b"ok")
    rig = Rig(
        *hosts,
        sockets=2 * clients,
        permissions=SITE["permissions"] | {"connectTimeout": 1_000_000, "cancel": False},
    )
    real, ports = rig.loop.create_connection, {host.port for host in hosts}

    async def late(factory, *address, **more):
        if address and address[1] in ports:
            await asyncio.sleep(draw.uniform(0, 0.4))
        return await real(factory, *address, **more)

    rig.loop.create_connection = late
    if forgets:
        rig.cluster.withdraw = lambda attempt: False
    left: dict[bytes, float] = {}

    async def client(number: int) -> None:
        caller, name = await rig.caller(), b"n%d" % number
        caller.call(number=name, wait=5000)
        await asyncio.sleep(draw.uniform(0, 0.2))
        left[name] = time.monotonic()
        (caller.transport.abort if number % 2 else caller.transport.close)()

    await asyncio.gather(*(client(number) for number in range(clients)))
    await until(lambda: not any(pool.opening for pool in rig.cluster.pools.values()), 30)
    await asyncio.sleep(0.5)
    waited = [name for name, at in left.items() if came.get(name, at + 1) > at]
    begun = [name for name in waited if name in came]
    return len(waited), len(begun), sum(came[name] - left[name] >= LATE for name in begun)


def main() -> None:
    """Print one line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--forgets", action="store_true")
    said = parser.parse_args()
    waited, begun, late = uvloop.run(play(said.clients, said.forgets))
    print(
        f"left while they waited {waited}, sent on after that {begun}, {LATE} s or more after that {late}"
    )


if __name__ == "__main__":
    main()
