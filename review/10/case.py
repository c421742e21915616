"""Case 10: an upgrade while many clients are in the middle of an upload: some are cut off."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import signal
from dataclasses import dataclass
from pathlib import Path

from rig import (
    LOCAL,
    CannotRunError,
    Gateway,
    World,
    free_port,
    is_healthy,
    is_trouble,
    pack,
    read_reply,
    request_id,
    run_case,
    wait_until,
)

# A third of the 1,024 descriptors (LATER: "Clients hold a third of the descriptors at most").
CLIENTS = 340
BODY_BYTES, LAST_BYTES = 60_000, 2_000
DEADLINE_MS = 5_000
# A client writes its command in two pieces, the second 0.5 to 0.8 s after the first.
TERM_AFTER_S, LAST_WITHIN_S = 0.5, 0.3
KILL_AFTER_S = 3.7
# An end of the connection this soon after the last byte may have crossed it.
CROSSING_S = 0.005
# An answer that is later than this after its time is lost (STANDING).
LATE_S = 0.5


@dataclass
class Upload:
    """One client and its request."""

    request: str
    data: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    outcome: str = ""


def upload(customer: int, request: str) -> bytes:
    """Encode an upload."""
    key = secrets.token_hex(8)
    terms = f"c=test-upload,t=basico,d={DEADLINE_MS},k={key},units=1,spread=3,first=0"
    return pack("CALL.POST", f"{customer:016x}", request, terms, "x" * BODY_BYTES)


async def connect(gateway: Gateway) -> list[Upload]:
    """Open the clients' connections."""
    host, _, port = gateway.listen.rpartition(":")
    found = []
    for customer in range(1, CLIENTS + 1):
        reader, writer = await asyncio.open_connection(host, int(port))
        request = request_id()
        found.append(Upload(request, upload(customer, request), reader, writer))
        if customer % 20 == 0:
            await asyncio.sleep(0.02)
    return found


async def finish(world: World, one: Upload) -> None:
    """Write the last piece, and wait for the answer until its time and half a second are over."""
    await asyncio.sleep(random.uniform(0, LAST_WITHIN_S))
    if one.reader.at_eof() or one.writer.is_closing() or one.reader.exception():
        one.outcome = "closed before the last byte"
        return
    # The kernel takes this at once: the gateway's machine has it before the next step.
    one.writer.write(one.data[-LAST_BYTES:])
    if one.writer.transport.get_write_buffer_size():
        one.outcome = "not written at once"
        return
    written_s = world.record.now_s()
    ends_s = DEADLINE_MS / 1000 + LATE_S
    try:
        async with asyncio.timeout(ends_s):
            reply = await read_reply(one.reader)
    except TimeoutError:
        one.outcome = "never answered"
        world.record.add(f"client: {one.request} no answer after {ends_s} s, still connected")
        return
    if reply:
        one.outcome = reply[:5].decode()
        return
    waited_s = world.record.now_s() - written_s
    one.outcome = "closed unanswered" if waited_s > CROSSING_S else "closed as it was written"
    world.record.add(f"client: {one.request} closed {waited_s:.3f} s after its last byte")


async def upgrade(world: World, gateway: Gateway) -> None:
    """SIGTERM to the old process, SIGKILL at the allowed time."""
    old = gateway.processes[0]
    gateway.signal(old, signal.SIGTERM)
    try:
        await asyncio.wait_for(old.wait(), KILL_AFTER_S)
    except TimeoutError:
        gateway.signal(old, signal.SIGKILL)
        await old.wait()
    world.record.add(f"{gateway.name} the old process has ended: {old.returncode}")


async def play(world: World) -> list[str]:
    """Play the case and return what was broken."""
    await world.start()
    gateway = world.gateways[0]
    if is_trouble():
        admin = f"{LOCAL}:{free_port()}"
        await gateway.start(admin)
        await wait_until("the new process says yes", 6, lambda: is_healthy(admin))
    uploads = await connect(gateway)
    for one in uploads:
        one.writer.write(one.data[:-LAST_BYTES])
    world.record.add(f"clients: {CLIENTS} have begun an upload")
    await asyncio.sleep(TERM_AFTER_S)
    upgrading = asyncio.create_task(upgrade(world, gateway)) if is_trouble() else None
    await asyncio.gather(*(finish(world, one) for one in uploads))
    if upgrading:
        await upgrading
    counts: dict[str, int] = {}
    for one in uploads:
        counts[one.outcome] = counts.get(one.outcome, 0) + 1
        with contextlib.suppress(OSError):
            one.writer.close()
    world.record.add(f"outcomes: {counts}")
    if not counts.get("value"):
        raise CannotRunError("no upload was served")
    return [
        f"{one.request}: written whole on an open connection; {one.outcome}"
        for one in uploads
        if one.outcome in ("never answered", "closed unanswered")
    ]


run_case(Path(__file__).parent, World(3), play)
