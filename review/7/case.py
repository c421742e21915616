"""Case 7: two of three voters are upgraded at the same time; one task has two holders."""

from __future__ import annotations

import asyncio
import importlib.util
import secrets
import signal
import socket
from pathlib import Path

from rig import (
    LOCAL,
    CannotRunError,
    Gateway,
    World,
    ask,
    call,
    free_port,
    is_healthy,
    is_trouble,
    request_id,
    run_case,
    wait_until,
)

GATEWAYS, VOTERS, TASKS = 9, 3, 36
# Two of nine gateways: within the page's 23% at a time.
UPGRADED = (0, 1)
SPAN_S = 3
EVERY_S = 0.3
# A slow answer that keeps a process running after SIGTERM, as answers of up to 3 s may.
SLOW_S = 3.2
OBSERVE_S = 6.0
# A call may be under way for so long when another gateway takes the lease.
CALL_GRACE_S = 0.15


def operator_text(world: World, number: int, channels: list[str]) -> str:
    """Return the operator file of one gateway."""
    lines = [
        f'[channel]\nname = "n{number}"\nlisten = "{channels[number]}"',
        f'keys = ["{world.folder / "channel.key"}"]',
        f"[leases]\nspan_s = {SPAN_S}",
    ]
    for voter in range(VOTERS):
        lines.append(f'[[leases.voter]]\nname = "n{voter}"\naddress = "{channels[voter]}"')
    for task in range(TASKS):
        lines.append(
            f'[[leases.task]]\nname = "probe-{task}"\nevery_s = {EVERY_S}\nonce = "at-most"\n'
            f'needs_s = 0.2\ncall = "http://{world.receiver.address}/{task}"'
        )
    return "\n".join(lines) + "\n"


def write_operator_files(world: World) -> None:
    """Write the shared key and the operator files."""
    key = world.folder / "channel.key"
    key.write_text(secrets.token_hex(32))
    key.chmod(0o600)
    channels = [f"{LOCAL}:{free_port(socket.SOCK_DGRAM)}" for _ in world.gateways]
    for gateway in world.gateways:
        world.write_operator(gateway, operator_text(world, gateway.number, channels))


async def send_slow(world: World, gateway: Gateway) -> None:
    """Send a keyed request that its host answers late, but in time."""
    request = request_id()
    reply = await ask(gateway.listen, call("test-upload", 5_000, request, gateway.number + 1), 6)
    world.record.add(f"client of {gateway.name}: {request} answered {reply!r}")


async def upgrade(world: World, gateway: Gateway) -> None:
    """Start the new version; SIGTERM to the old one at its yes; SIGKILL at the allowed time."""
    old = gateway.process
    admin = f"{LOCAL}:{free_port()}"
    new = await gateway.start(admin)
    await wait_until(f"{gateway.name} says yes", 6, lambda: is_healthy(admin))
    world.record.add(f"{gateway.name} the new process says yes")
    slow = asyncio.create_task(send_slow(world, gateway))
    await asyncio.sleep(0.1)
    gateway.signal(old, signal.SIGTERM)
    try:
        await asyncio.wait_for(old.wait(), 3.7)
    except TimeoutError:
        gateway.signal(old, signal.SIGKILL)
        await old.wait()
    world.record.add(f"{gateway.name} the old process has ended: {old.returncode}")
    await slow
    if new.returncode is not None:
        raise CannotRunError(f"the new process of {gateway.name} ended")


def find_breaks(world: World) -> list[str]:
    """Return the turns that ran twice, and the calls of an older holder after a newer one's."""
    breaks = []
    first: dict[tuple[str, int], str] = {}
    newest: dict[str, tuple[int, float, str]] = {}
    for one in world.receiver.calls:
        if one.accepted:
            before = first.setdefault((one.task, one.turn), one.holder)
            if before != one.holder:
                breaks.append(
                    f"{one.task}: turn {one.turn}, at most once, ran for {before} and {one.holder}"
                )
        token, since_s, holder = newest.get(one.task, (0, 0.0, ""))
        if one.token > token:
            newest[one.task] = one.token, one.at_s, one.holder
        elif one.token < token and one.at_s > since_s + CALL_GRACE_S:
            breaks.append(
                f"{one.task}: {one.holder} under {one.token} acts {one.at_s - since_s:.2f} s "
                f"after {holder} under {token}"
            )
    return breaks


async def play(world: World) -> list[str]:
    """Play the case and return what was broken."""
    if importlib.util.find_spec("msgspec") is None:
        raise CannotRunError("build-2.sh was not run")
    for host in world.hosts:
        host.delay_s = lambda command: SLOW_S if b"c=test-upload" in command[3] else 0.05
    write_operator_files(world)
    await world.start()

    async def all_called() -> bool:
        return len({one.task for one in world.receiver.calls}) == TASKS

    await wait_until("every task was called", 30, all_called)
    await asyncio.sleep(2 * SPAN_S)
    if is_trouble():
        await asyncio.gather(*(upgrade(world, world.gateways[n]) for n in UPGRADED))
    else:
        await asyncio.gather(*(send_slow(world, world.gateways[n]) for n in UPGRADED))
    await asyncio.sleep(OBSERVE_S)
    return find_breaks(world)


run_case(Path(__file__).parent, World(GATEWAYS), play)
