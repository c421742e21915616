"""Case 9: with [authz_server], the new version of an upgrade ends at its start."""

from __future__ import annotations

import asyncio
import importlib.util
import signal
from pathlib import Path

from rig import (
    LOCAL,
    CannotRunError,
    World,
    ask,
    call,
    free_port,
    is_healthy,
    is_trouble,
    request_id,
    run_case,
)

# The page's limits: the new process says yes within 6 s; SIGKILL comes 3.7 s after SIGTERM.
YES_WITHIN_S = 6.0
KILL_AFTER_S = 3.7


async def load(world: World, answers: list[bytes]) -> None:
    """Send a request each 50 ms, each on a connection of its own."""
    while True:
        request = request_id()
        reply = await ask(world.gateways[0].listen, call("sheet-read", 2_000, request), 3)
        world.record.add(f"client: {request} answered {reply!r}")
        answers.append(reply)
        await asyncio.sleep(0.05)


async def upgrade(world: World) -> list[str]:
    """Start the new version beside the old one; when it says yes, SIGTERM to the old one."""
    gateway = world.gateways[0]
    old = gateway.process
    admin = f"{LOCAL}:{free_port()}"
    new = await gateway.start(admin)
    started_s = world.record.now_s()
    while not await is_healthy(admin):
        if new.returncode is not None:
            return [
                f"the new process ended with {new.returncode} after "
                f"{world.record.now_s() - started_s:.2f} s, before it said yes"
            ]
        if world.record.now_s() - started_s > YES_WITHIN_S:
            return ["the new process did not say yes within 6 s"]
        await asyncio.sleep(0.05)
    world.record.add("the new process says yes")
    gateway.signal(old, signal.SIGTERM)
    try:
        await asyncio.wait_for(old.wait(), KILL_AFTER_S)
    except TimeoutError:
        gateway.signal(old, signal.SIGKILL)
        await old.wait()
    await asyncio.sleep(2)
    if new.returncode is not None:
        return [f"the new process ended with {new.returncode}"]
    return []


async def play(world: World) -> list[str]:
    """Play the case and return what was broken."""
    if importlib.util.find_spec("grpc") is None:
        raise CannotRunError("build-2.sh was not run")
    for gateway in world.gateways:
        listen = f"{LOCAL}:{free_port()}"
        world.write_operator(gateway, f'[authz_server]\nlisten = "{listen}"\n')
    await world.start()
    answers: list[bytes] = []
    client = asyncio.create_task(load(world, answers))
    await asyncio.sleep(2)
    breaks: list[str] = []
    if is_trouble():
        breaks = await upgrade(world)
    await asyncio.sleep(2)
    client.cancel()
    if not any(reply.startswith(b"value") for reply in answers):
        raise CannotRunError("no request was served")
    return breaks


run_case(Path(__file__).parent, World(3), play)
