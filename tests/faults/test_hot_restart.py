"""A new version beside the old, as real processes: no request meets a closed door, and what fails on the way."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import hiredis
from conftest import SITE, Caller, FakeHost, asyncio_test, configured, error, until, value

from saffrongw.gateway.hot_restart.channel import QUEUED_MOST, HandOverChannel, address_of
from testbed.runner.processes import die_with_parent, free_port


class Gateway:
    """One process of the program, and its operators' address."""

    @classmethod
    async def start(cls, folder: Path, file: Path) -> Gateway:
        self = cls()
        self.admin = free_port()
        environment = os.environ | {
            "LB_CONFIG": str(file),
            "LB_ADMIN": f"127.0.0.1:{self.admin}",
            "TMPDIR": str(folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "saffrongw", env=environment, preexec_fn=die_with_parent
        )
        await self.says_yes()
        return self

    async def call(self, method: str, path: str, body: str = "") -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        head = f"{method} /admin/{path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n{body}"
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
        return int(answer.split()[1]), answer

    async def says_yes(self) -> None:
        async with asyncio.timeout(20):
            while True:
                try:
                    if (await self.call("GET", "health"))[0] == 200:
                        return
                except (OSError, IndexError):
                    pass
                await asyncio.sleep(0.02)

    async def ends(self, number=signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return await asyncio.wait_for(self.process.wait(), 20)


class Place:
    """One address with its host, and a folder that both processes share."""

    def __init__(self, folder: Path, host: FakeHost, **changes) -> None:
        self.folder, self.host = folder, host
        known = {"seq": 1, "whole": True, "hosts": [host.line(host=name) for name in "abcdef"]}
        site = SITE | changes
        site["permissions"] = SITE["permissions"] | {"peers": False}
        self.file, self.port = configured(folder, known=known, settings=site)

    async def gateway(self) -> Gateway:
        return await Gateway.start(self.folder, self.file)

    async def caller(self) -> Caller:
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(Caller, "127.0.0.1", self.port))[1]

    @property
    def socket(self) -> Path:
        return self.folder / f"saffrongw-127.0.0.1-{self.port}.sock"


def unix_sockets(gateway: Gateway) -> int:
    """How many Unix sockets a process holds that are bound or connected to one that is."""
    lines = Path("/proc/net/unix").read_text().splitlines()[1:]
    inodes = {f"socket:[{line.split()[6]}]" for line in lines}
    folder = Path(f"/proc/{gateway.process.pid}/fd")
    return sum(os.readlink(fd) in inodes for fd in folder.iterdir())


def holds_the_slow(host: FakeHost) -> list:
    """A host answers each request with its id, but for ``slow``; where that came is added to the list."""
    held = []

    def script(command):
        if command[2] != b"slow":
            return value(command[2])
        held.append(host.peer)

    host.script = script
    return held


@asyncio_test
async def test_connections_idle_busy_and_half_read_go_on_and_none_is_refused(tmp_path):
    host = await FakeHost("a").listen()
    held = holds_the_slow(host)
    place = Place(tmp_path, host)
    old = await place.gateway()
    idle, busy, half = [await place.caller() for _ in range(3)]
    idle.call(number=b"first")
    assert await idle.replied() == [b"first"]
    busy.call(number=b"slow")
    command = hiredis.pack_command(
        (
            b"CALL.POST",
            b"0000000000000007",
            b"half",
            b"c=bill,t=team,d=9000,units=1,spread=2,first=0",
            b"BODY",
        )
    )
    half.transport.write(command[:-9])
    await until(lambda: held)
    new = await place.gateway()
    assert (await idle_answer(idle, b"between")) == b"between"  # the old one still serves
    busy.call(number=b"behind")  # the old one begins it, or the new one
    stop, refused = asyncio.Event(), []

    async def knock() -> None:
        number = 0
        while not stop.is_set():
            number += 1
            try:
                caller = await place.caller()
            except OSError as wrong:
                refused.append(wrong)
                continue
            caller.call(number=b"k%d" % number)
            await until(lambda: caller.replies or caller.closed)  # noqa: B023
            if caller.replies != [b"k%d" % number]:
                refused.append(caller.replies)
            caller.transport.close()

    knocking = asyncio.ensure_future(knock())
    await asyncio.sleep(0.05)
    old.process.terminate()
    await until(lambda: not holds(old, half))
    half.transport.write(command[-9:])
    assert await half.replied() == [b"half"]
    assert busy.replies == [] and old.process.returncode is None
    held[0].transport.write(value(b"slow"))
    assert await busy.replied(2) == [b"slow", b"behind"]
    assert await asyncio.wait_for(old.process.wait(), 20) == 0
    stop.set()
    await knocking
    assert refused == []
    for caller in (idle, busy, half):
        assert not caller.closed
        assert (await idle_answer(caller, b"after")) == b"after"
    ids = [bytes(c[2]) for c in host.commands]
    assert ids.count(b"half") == ids.count(b"slow") == 1  # nothing ran twice
    assert await new.ends() == 0


def holds(gateway: Gateway, caller: Caller) -> bool:
    """Whether a process still has a client's connection."""
    here, there = (caller.transport.get_extra_info(name)[1] for name in ("sockname", "peername"))
    inodes = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if [int(words[place].split(":")[1], 16) for place in (1, 2)] == [there, here]:
            inodes.add(f"socket:[{words[9]}]")
    folder = Path(f"/proc/{gateway.process.pid}/fd")
    try:
        return any(os.readlink(fd) in inodes for fd in folder.iterdir())
    except OSError:
        return False


async def idle_answer(caller: Caller, number: bytes) -> bytes:
    count = len(caller.replies)
    caller.call(number=number)
    return (await caller.replied(count + 1))[count]


@asyncio_test
async def test_what_a_customer_spent_and_what_is_out_by_hand_hold_over_an_upgrade(tmp_path):
    host = await FakeHost("a").listen()
    plan = SITE["packages"][0] | {"perSecond": 0.001, "peakUnits": 4.0}
    place = Place(tmp_path, host, packages=[plan])
    old = await place.gateway()
    assert (await old.call("POST", "cordon", "a"))[0] == 200
    caller = await place.caller()
    for number in range(8):
        caller.call(number=b"%d" % number)
        await caller.replied(number + 1)
    spent = len(host.commands)
    assert 1 <= spent <= 4
    new = await place.gateway()
    assert (await new.call("POST", "cordon", "b"))[0] == 200  # told to one, it holds for both
    await until_figure(old, b"hosts_down=2")
    assert await old.ends() == 0
    caller.call(number=b"again")
    assert error((await caller.replied(9))[8]).startswith("BUSY")
    assert len(host.commands) == spent
    assert b"svc.hosts_down=2" in (await new.call("GET", "stats"))[1]
    assert (await new.call("POST", "uncordon", "a"))[0] == 200
    third = await place.gateway()  # and once more
    await until_figure(third, b"hosts_down=1")
    assert await new.ends() == 0
    assert await third.ends() == 0
    assert not place.socket.exists()


async def until_figure(gateway: Gateway, line: bytes) -> None:
    async with asyncio.timeout(10):
        while b"svc." + line not in (await gateway.call("GET", "stats"))[1]:
            await asyncio.sleep(0.01)


@asyncio_test
async def test_a_successor_that_is_lost_is_forgotten_and_the_next_one_takes_over(tmp_path):
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    caller = await place.caller()
    before = unix_sockets(old)
    for number in (signal.SIGKILL, signal.SIGTERM):
        lost = await place.gateway()
        await lost.ends(number)
        assert (await idle_answer(caller, b"old%d" % number)) == b"ok"
        await until(lambda: unix_sockets(old) == before)
    new = await place.gateway()
    assert await old.ends() == 0
    assert (await idle_answer(caller, b"new")) == b"ok"
    assert await new.ends() == 0


@asyncio_test
async def test_a_process_that_is_killed_is_succeeded_at_once_by_the_one_beside_it(tmp_path):
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    new = await place.gateway()
    await old.ends(signal.SIGKILL)
    caller = await place.caller()  # the listener was never closed
    assert (await idle_answer(caller, b"1")) == b"ok"
    third = await place.gateway()  # what the killed one has left in the folder is no bar
    assert await new.ends() == 0
    assert (await idle_answer(caller, b"2")) == b"ok"
    assert await third.ends() == 0


@asyncio_test
async def test_a_process_that_stands_still_or_a_stranger_does_not_keep_a_new_one_from_serving(
    tmp_path,
):
    place = Place(tmp_path, await FakeHost("a").listen())
    stranger = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with address_of(place.socket) as address:
        stranger.bind(address)
    stranger.listen(1)  # it accepts and says nothing
    first = await place.gateway()
    caller = await place.caller()
    assert (await idle_answer(caller, b"1")) == b"ok"
    stranger.close()
    assert await first.ends() == 0


@asyncio_test
async def test_packets_that_make_no_sense_are_left_out(tmp_path):
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with address_of(place.socket) as address:
        sock.connect(address)
    sock.settimeout(10)
    for packet in (
        b"{",
        b"[]",
        b"[1]",
        b'["exclusion"]',
        b'["x"]',
        b"\xff",
        b'["exclusion",1,true]',
        b"[" * 5000,
    ):
        sock.send(packet)
    kinds = []
    while "greeted" not in kinds:
        packet, fds, _, _ = socket.recv_fds(sock, 65536, 4)
        for fd in fds:
            os.close(fd)
        kinds.append(json.loads(packet)[0])
    assert kinds[0] == "sockets"
    sock.close()
    caller = await place.caller()
    assert (await idle_answer(caller, b"1")) == b"ok"
    assert old.process.returncode is None
    assert await old.ends() == 0


@asyncio_test
async def test_a_successor_that_is_lost_after_the_go_leaves_an_ordinary_end(tmp_path):
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    caller = await place.caller()
    assert (await idle_answer(caller, b"1")) == b"ok"
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with address_of(place.socket) as address:
        sock.connect(address)
    sock.send(b'["ready"]')
    sock.settimeout(10)
    while json.loads(sock.recv(65536))[0] != "greeted":
        pass
    await until_ready_is_read(old)
    old.process.terminate()
    sock.close()
    assert await asyncio.wait_for(old.process.wait(), 20) == 0
    await until(lambda: caller.closed)


async def until_ready_is_read(gateway: Gateway) -> None:
    """Calls are answered in a later turn of the loop than the packet that came before them."""
    for _ in range(3):
        await gateway.call("GET", "health")


class Heir:
    """A successor that this test plays itself, up to where it fails."""

    def __init__(self, place: Place) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with address_of(place.socket) as address:
            self.sock.connect(address)
        self.sock.send(b'["ready"]')
        self.sock.settimeout(20)

    def hears(self, last: str) -> list[str]:
        """Read up to a kind of message; the kinds. What comes with them is closed."""
        kinds = []
        while last not in kinds:
            packet, fds, _, _ = socket.recv_fds(self.sock, 65536, 4)
            for fd in fds:
                os.close(fd)
            kinds.append(json.loads(packet)[0])
        return kinds


@asyncio_test
async def test_a_successor_that_is_lost_behind_the_go_leaves_its_clients_to_an_ordinary_end(
    tmp_path,
):
    """It has the word and dies: what it did not get yet, and who comes now, used to meet a closed door."""
    host = await FakeHost("a").listen()
    held = holds_the_slow(host)
    place = Place(tmp_path, host)
    old = await place.gateway()
    busy = await place.caller()
    busy.call(number=b"slow")
    await until(lambda: held)
    busy.call(number=b"held")  # begun or not, it is to be answered
    heir = Heir(place)
    heir.hears("greeted")
    await until_ready_is_read(old)
    old.process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(heir.hears, "go")
    busy.call(number=b"behind")
    caller = await place.caller()  # it lies in the queue that the successor would accept from
    caller.call(number=b"late")
    heir.sock.close()
    assert await caller.replied() == [b"late"]
    held[0].transport.write(value(b"slow"))
    assert await busy.replied(3) == [b"slow", b"held", b"behind"]
    assert await asyncio.wait_for(old.process.wait(), 20) == 0


@asyncio_test
async def test_a_successor_that_takes_nothing_does_not_hold_up_the_end(tmp_path):
    """Half commands are more than the channel holds; it stands still, and the old one waited for it for ever."""
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    for _ in range(8):
        terms = b"c=bill,t=team,d=9000,units=1,spread=2,first=0"
        head = hiredis.pack_command((b"CALL.POST", b"0" * 15 + b"7", b"half", terms))
        (await place.caller()).transport.write(
            head.replace(b"*4", b"*5") + b"$60000\r\n" + b"\x01" * 50_000
        )
    heir = Heir(place)
    heir.hears("greeted")
    await until_ready_is_read(old)
    old.process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(old.process.wait(), 20) == 0
    heir.sock.close()


@asyncio_test
async def test_a_hanging_host_does_not_outlast_the_end_of_a_process_with_a_successor(tmp_path):
    """SIGKILL comes as for any other: what is held to the last was lost with it."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    place = Place(tmp_path, host)
    old = await place.gateway()
    caller = await place.caller()
    caller.call("bill", wait=60_000, number=b"held")
    await until(lambda: host.commands)
    new = await place.gateway()
    assert await old.ends() == 0
    assert error((await caller.replied())[0]) == "ERR failed"
    host.script = lambda command: value(b"ok")
    assert (await idle_answer(caller, b"after")) == b"ok"  # the new one has the connection
    assert await new.ends() == 0


@asyncio_test
async def test_a_successor_that_is_told_to_end_as_it_gets_the_word_serves_what_it_got(tmp_path):
    """Both signals of a supervisor that ends all: the old one has handed over, and the new one just went away."""
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    caller = await place.caller()
    assert (await idle_answer(caller, b"1")) == b"ok"
    new = await place.gateway()
    new.process.send_signal(signal.SIGSTOP)
    old.process.send_signal(signal.SIGTERM)
    await until(lambda: not holds(old, caller))
    caller.call(number=b"2")  # it lies in the kernel as the new one goes on
    late = await place.caller()
    late.call(number=b"3")
    new.process.send_signal(signal.SIGTERM)
    new.process.send_signal(signal.SIGCONT)
    assert (await caller.replied(2))[1] == b"ok"
    assert await late.replied() == [b"ok"]
    assert await asyncio.wait_for(old.process.wait(), 20) == 0
    assert await asyncio.wait_for(new.process.wait(), 20) == 0


@asyncio_test
async def test_a_successor_that_another_one_replaces_ends_and_does_not_serve_beside(tmp_path):
    """It took the other's coming for the running one's death: two processes granted the same quotas."""
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    first = await place.gateway()
    second = await place.gateway()
    assert await asyncio.wait_for(first.process.wait(), 20) == 0
    caller = await place.caller()
    assert (await idle_answer(caller, b"1")) == b"ok"
    assert await old.ends() == 0
    assert (await idle_answer(caller, b"2")) == b"ok"
    assert await second.ends() == 0


@asyncio_test
async def test_an_end_leaves_the_file_of_a_process_that_could_not_wait(tmp_path):
    """A process that stood still is not asked for longer; its end used to take its follower's file with it."""
    place = Place(tmp_path, await FakeHost("a").listen())
    old = await place.gateway()
    old.process.send_signal(signal.SIGSTOP)
    new = await place.gateway()
    old.process.send_signal(signal.SIGCONT)
    assert await old.ends() == 0
    assert place.socket.exists()
    third = await place.gateway()
    caller = await place.caller()
    assert (await idle_answer(caller, b"1")) == b"ok"
    assert await new.ends() == 0
    assert (await idle_answer(caller, b"2")) == b"ok"
    assert await third.ends() == 0


@asyncio_test
async def test_many_more_packets_than_the_queue_holds_arrive_in_order_and_a_full_queue_says_so():
    loop = asyncio.get_running_loop()
    got, lost = [], []
    here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sender = HandOverChannel(loop, here, lambda *told: None, lambda: lost.append("sender"))
    receiver = HandOverChannel(
        loop, there, lambda message, sockets: got.append(message[1]), lambda: lost.append(1)
    )
    for number in range(3 * QUEUED_MOST):
        assert sender.tell("n", number)
        if len(sender.waiting) >= 256:
            await sender.sent()
    await until(lambda: len(got) == 3 * QUEUED_MOST)
    assert got == list(range(3 * QUEUED_MOST))
    loop.remove_reader(there)  # it reads nothing any more
    told = 0
    while sender.tell("n", "x" * 1000):
        told += 1
    assert QUEUED_MOST <= told < 2 * QUEUED_MOST
    receiver.close()
    sender.close()
    assert not sender.tell("n", 1) and lost == []
