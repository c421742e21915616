"""Leases of real gateway processes: operator commands, forged datagrams, invalid operator files."""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from async_testing import asyncio_test

from saffrongw.admin import cli
from testbed.model.lease_day import LeaseDay
from testbed.net.relay import text_of
from testbed.runner.lease_world import LeaseWorld

ROOT = Path(__file__).parent.parent.parent


def command(world: LeaseWorld, number: int, *words: str) -> tuple[int, str]:
    """Run a command of the admin CLI against a gateway; return its status and output."""
    where = ["-m", "saffrongw.admin.cli", "leases", "--admin", text_of(world.admins[number])]
    done = subprocess.run(
        [sys.executable, *where, *words], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout + done.stderr


async def metric(world: LeaseWorld, number: int, name: str) -> int:
    """Return a metric of a gateway."""
    text = (await world.call(number, "GET", "/admin/stats")).decode()
    return next(
        int(line.partition("=")[2]) for line in text.splitlines() if line.startswith(f"svc.{name}=")
    )


async def wait_until(condition, timeout_s: float = 20.0) -> None:
    """Wait until the condition holds; raise ``TimeoutError`` if it does not in time."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


async def holder_of(world: LeaseWorld, task: str, numbers=range(9)) -> int | None:
    """Return the gateway that reports to hold a task's lease now."""
    for number in numbers:
        if number < world.day.gateways:
            state = await world.state(number)
            lease = next(t["lease"] for t in state["tasks"] if t["task"] == task)
            if lease in state["held"]:
                return number
    return None


def reload_all(world: LeaseWorld, change) -> None:
    """Rewrite the operator file of every gateway, and send SIGHUP."""
    for gateway in world.gateways:
        path = world.folder / f"n{gateway.number}.toml"
        path.write_text(change(gateway.number, path.read_text()))
        gateway.signal(signal.SIGHUP, "hup")


async def is_held(world: LeaseWorld) -> bool:
    """Return whether some gateway holds the lease of the first task."""
    return await holder_of(world, "task0") is not None


async def release_and_suspend(world: LeaseWorld) -> None:
    """Release the first task's lease, then suspend it."""
    await release_first_task(world)
    await suspend_first_task(world)


async def release_first_task(world: LeaseWorld) -> None:
    """Release the first task's lease at its holder: another gateway acquires it."""
    status, text = await asyncio.to_thread(command, world, 0, "list")
    assert status == 0
    assert "task0" in text
    assert "a majority was heard" in text
    status, text = 2, ""
    while status:  # in the first seconds leases still move to their preferred candidates
        assert not text or "not by this gateway" in text
        first = await holder_of(world, "task0")
        status, text = await asyncio.to_thread(command, world, first or 0, "release", "task0")
    assert "given back" in text
    status, text = await asyncio.to_thread(command, world, first, "show", "task0")
    assert status == 0
    assert "it is turn" in text

    async def moved() -> bool:
        return await holder_of(world, "task0") not in (None, first)

    await wait_until(moved)
    assert (await asyncio.to_thread(command, world, first, "release", "task0"))[0] == 2


async def suspend_first_task(world: LeaseWorld) -> None:
    """Suspend the first task's lease: no gateway holds it until the suspension ends."""
    suspend = ("hold", "task0", "--for", "1h", "--who", "night shift", "--why", "wrong table")
    assert (await asyncio.to_thread(command, world, 4, *suspend))[0] == 0

    async def is_free() -> bool:
        return await holder_of(world, "task0") is None

    await wait_until(is_free)
    _, text = await asyncio.to_thread(command, world, 1, "list")
    assert "night shift" in text
    assert "wrong table" in text
    # A voter that restarts learns of the suspension again.
    await world.gateways[1].kill()
    await world.gateways[1].start(lambda: None)

    async def restarted_voter_knows() -> bool:
        return bool((await world.state(1))["holds"])

    await wait_until(restarted_voter_knows)
    calls = len(world.receiver.calls)
    assert (await asyncio.to_thread(command, world, 3, "hold", "task0", "--for", "0"))[0] == 0

    async def called_after_the_end() -> bool:
        return await is_held(world) and len(world.receiver.calls) > calls

    await wait_until(called_after_the_end)
    for words in (
        ("show", "none"),
        ("hold", "none", "--for", "1m"),
        ("hold", "task0", "--for", "900d"),
    ):
        assert (await asyncio.to_thread(command, world, 0, *words))[0] == 2


async def rotate_keys(world: LeaseWorld) -> None:
    """Replace the shared key in three steps; no datagram counts as forged in between."""
    new = world.folder / "new"
    new.write_text(secrets.token_hex(32))
    new.chmod(0o600)
    old = f'keys = ["{world.folder / "key"}"]'
    both, swapped, only = (
        f"keys = [{', '.join(f'{str(p)!r}' for p in some)}]"
        for some in ((world.folder / "key", new), (new, world.folder / "key"), (new,))
    )
    for before, after in ((old, both), (both, swapped), (swapped, only)):
        reload_all(world, lambda _, text, before=before, after=after: text.replace(before, after))
        await asyncio.sleep(0.5)
        await wait_until(lambda: is_held(world))
    world.keys = only
    assert [await metric(world, n, "channel.forged") for n in range(5)] == [0] * 5


async def change_voters(world: LeaseWorld) -> None:
    """Replace two of three voters by a new voter set that lists the former one."""
    # An invalid file is logged, and the old one stays in force.
    reload_all(world, lambda _, text: text.replace('name = "n2"\naddress', 'name = "n3"\naddress'))
    await asyncio.sleep(0.3)
    assert (await world.state(0))["voters"] == ["n0", "n1", "n2"]
    assert "give the new ones a higher leases.set" in (world.folder / "n0.log").read_text()

    def second_set(number: int, text: str) -> str:
        addresses = {v: text_of(world.relay.address(number, v)) for v in range(5)}
        head = world.operator_text(number).partition("[[leases.voter]]")[0]
        tasks = "[[leases.task]]" + text.partition("[[leases.task]]")[2]
        former = ", ".join(f'"n{v}={addresses[v]}"' for v in (0, 1, 2))
        voters = "".join(
            f'[[leases.voter]]\nname = "n{v}"\naddress = "{addresses[v]}"\n' for v in (2, 3, 4)
        )
        old = f'keys = ["{world.folder / "key"}"]'
        return (
            head.replace(old, world.keys).replace("[leases]\n", "[leases]\nset = 2\n")
            + f"[[leases.former]]\nset = 1\nvoters = [{former}]\n{voters}{tasks}"
        )

    reload_all(world, second_set)

    async def sealed() -> bool:
        states = [await world.state(n) for n in range(5)]
        return all(s["set"] == 2 and s["voters"] == ["n2", "n3", "n4"] for s in states) and all(
            s["sealed"] for s in states[2:]
        )

    await wait_until(sealed)
    await wait_until(lambda: is_held(world))


def test_operators_suspend_release_rotate_keys_and_change_voters_in_service(tmp_path):
    @asyncio_test
    async def run():
        world = LeaseWorld(LeaseDay(31, 5, 3, tasks=2), tmp_path)
        try:
            await world.open()
            await wait_until(lambda: is_held(world))
            await release_and_suspend(world)
            await rotate_keys(world)
            await change_voters(world)
        finally:
            await world.close()
        assert not world.crashes()

    run()


def test_a_receiver_that_rejects_every_token_is_not_called_in_a_loop(tmp_path):
    @asyncio_test
    async def run():
        world = LeaseWorld(LeaseDay(33, 3, 3, tasks=1), tmp_path)
        try:
            await world.open()
            world.receiver.highest["task0"] = 1 << 50  # as if another fleet had called it
            await wait_until(lambda: _accepted(world))
            first = next(call for call in world.receiver.calls if call.accepted)
            assert first.number > 1 << 50
            world.receiver.highest["task0"] = 1 << 61  # above every fencing token
            before = len(world.receiver.calls)
            await asyncio.sleep(3)
            assert len(world.receiver.calls) - before < 30
        finally:
            await world.close()
        assert not world.crashes()

    async def _accepted(world) -> bool:
        return any(call.accepted for call in world.receiver.calls)

    run()


def test_forged_datagrams_change_no_state(tmp_path):
    @asyncio_test
    async def run():
        world = LeaseWorld(LeaseDay(32, 3, 3, tasks=1), tmp_path)
        try:
            await world.open()
            await asyncio.sleep(2.5)
            before = [await metric(world, 0, name) for name in ("channel.known", "voter.standing")]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for n in range(10_000):
                    sock.sendto(b"sg\x01" + os.urandom(4 + n % 1_000), world.channels[0])
                    if n % 100 == 0:
                        await asyncio.sleep(0.001)

            async def noticed() -> bool:
                return await metric(world, 0, "channel.forged") > 1_000

            await wait_until(noticed)
            assert [
                await metric(world, 0, name) for name in ("channel.known", "voter.standing")
            ] == before
            assert await holder_of(world, "task0") is not None
        finally:
            await world.close()
        assert not world.crashes()

    run()


HEAD = '[channel]\nname = "a"\nlisten = "127.0.0.1:1"\nkeys = ["k"]\n'
VOTER = '[[leases.voter]]\nname = "a"\naddress = "127.0.0.1:1"\n'
TASK = '[[leases.task]]\nname = "t"\nevery_s = 5\ncall = "http://127.0.0.1:9/x"\n'
MANY = "".join(TASK.replace('"t"', f'"t{n}"') for n in range(70))


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        ("[leases]\n" + VOTER, "leases needs a [channel]"),
        (HEAD + "[leases]\n" + VOTER + VOTER.replace('"a"', '"b"'), "1, 3, 5 or 7 voters"),
        (HEAD + "[leases]\nset = 2\n" + VOTER, "name the sets before"),
        (HEAD + "[leases]\nspan_s = 2\n" + VOTER + TASK, "needs_s"),
        (HEAD + "[leases]\n" + VOTER + TASK + TASK, "two tasks have the same name"),
        (HEAD + "[leases]\ndrift = 0.9\n" + VOTER, "drift"),
        (HEAD + "[leases]\n" + VOTER + TASK.replace("http://", "https://"), "call"),
        (
            HEAD
            + "[leases]\nshards = 1\n"
            + VOTER
            + "".join(TASK.replace('"t"', f'"t{n}"') for n in range(70)),
            "shards",
        ),
        (HEAD.replace('"a"', '"a b"'), "name"),
    ],
)
def test_an_invalid_operator_file_is_rejected_with_its_cause(text, cause, tmp_path, capsys):
    path = tmp_path / "o.toml"
    path.write_text(text)
    assert cli.main(["check", str(path)]) == 2
    stderr = capsys.readouterr().err
    assert cause in stderr
    assert "Traceback" not in stderr


def test_without_their_tables_no_module_of_leases_or_channel_is_imported(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text("[stages]\ntime_share = 0.3\n")
    code = (
        "import sys, saffrongw.operator as o\n"
        "from saffrongw.extension_registry import build_extensions\n"
        f"o.load({str(path)!r})\n"
        "parts = ('saffrongw.leases.node', 'saffrongw.channel.socket', 'msgspec', 'sqlite3')\n"
        "print([m for m in sys.modules if m in parts])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
