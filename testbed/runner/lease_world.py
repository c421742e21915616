"""Runs a lease scenario with real gateways and checks the lease rules.

Every pair of gateways communicates through a relay that can inject faults, a receiver gets the calls of their tasks,
and each gateway is polled for the leases that it states to hold.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import secrets
import shlex
import signal
import socket
import sys
from pathlib import Path

from ..checker.lease_rules import (
    LeaseStatement,
    Observations,
    ProcessPause,
    ReceivedCall,
    Verdict,
    judge,
)
from ..checker.record import GatewayEvent, Late, Log, Starved
from ..model.clock import Clock, Heartbeat
from ..model.lease_day import LeaseDay, LeaseFault
from ..model.scenario import Scenario, settings_of
from ..net.relay import LOCAL, UdpRelay, Way, text_of
from ..task_receiver.server import Manner, Receiver
from .processes import GatewayProcess, free_port, run_line, watch

POLL_INTERVAL_S = 0.08
EXCUSING_CPU_WAIT_US = 100_000  # a wait for a core that excuses a late call
WITHOUT_FAULTS = Way((0.0002, 0.002))


class LeaseWorld:
    """All parts of one run: gateways, relay, task receiver and observations."""

    def __init__(
        self, day: LeaseDay, folder: Path, lines: dict[int, str] | None = None, fences: bool = True
    ) -> None:
        self.day, self.folder = day, folder
        self.clock, self.log = Clock(), Log()
        lines = lines or {}
        self.gateways = [
            GatewayProcess(n, folder, self.clock, self.log, lines.get(n, run_line()))
            for n in range(day.gateways)
        ]
        self.channels = [(LOCAL, free_port(socket.SOCK_DGRAM)) for _ in range(day.gateways)]
        self.admins = [(LOCAL, free_port()) for _ in range(day.gateways)]
        self.locks = [asyncio.Lock() for _ in range(day.gateways)]
        self.receiver = Receiver(self.clock, f"{day.seed}:receiver", fences)
        self.relay = UdpRelay(self.channels, f"{day.seed}:channel", WITHOUT_FAULTS)
        self.seen = Observations()
        self.tasks: list[asyncio.Task] = []
        self.begin = 0

    # -- the start ----------------------------------------------------------------------------------------------------

    async def open(self) -> None:
        """Start all parts and wait until every gateway answers."""
        self.folder.mkdir(parents=True, exist_ok=True)
        key = self.folder / "key"
        key.write_text(secrets.token_hex(32))
        key.chmod(0o600)
        self.called = await self.receiver.open()
        await self.relay.open()
        for gateway in self.gateways:
            self._write(gateway)
        await asyncio.gather(*(gateway.start(lambda: None) for gateway in self.gateways))

    def operator_text(self, number: int) -> str:
        """The operator file of one gateway, with the relay's address for each voter."""
        day = self.day
        lines = [
            f'[channel]\nname = "n{number}"\nlisten = "{text_of(self.channels[number])}"',
            f'keys = ["{self.folder / "key"}"]',
            f"[leases]\nspan_s = {day.span_s}\nshards = {day.shards}\ndrift = {day.drift}",
            f"stand = {str(number >= day.voters or day.voters_stand).lower()}",
        ]
        for voter in range(day.voters):
            at = text_of(self.relay.address(number, voter))
            lines.append(f'[[leases.voter]]\nname = "n{voter}"\naddress = "{at}"')
        for task in range(day.tasks):
            once = ("at-least", "at-most")[task % 2]
            lines.append(
                f'[[leases.task]]\nname = "task{task}"\nevery_s = {day.every_s}\nonce = "{once}"\n'
                f'needs_s = {day.span_s / 5}\ncall = "http://{self.called}/{task}"'
            )
        return "\n".join(lines) + "\n"

    def _write(self, gateway: GatewayProcess) -> None:
        number = gateway.number
        path = self.folder / f"n{number}.toml"
        path.write_text(self.operator_text(number))
        home = self.folder / f"home{number}"
        home.mkdir(exist_ok=True)
        gateway.variables = {
            "SAFFRONGW_OPERATOR": str(path),
            "LB_ADMIN": text_of(self.admins[number]),
            "TMPDIR": str(home),
        }
        settings = settings_of(Scenario("leases", gateways=1), 0)
        gateway.write(
            {
                "name": f"n{number}",
                "listen": text_of(gateway.listen),
                "discovery": f"{LOCAL}:1",
                "seed": secrets.token_hex(8),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "settings": settings,
            }
        )

    # -- the run ------------------------------------------------------------------------------------------------------

    async def run(self) -> Observations:
        """Run the scenario and return what was observed."""
        await self.open()
        heartbeat = Heartbeat(self.clock, lambda at, until: self.log.add(Late(at, until)))
        loop = asyncio.get_running_loop()
        self.tasks += [loop.create_task(heartbeat.run()), loop.create_task(watch(self.gateways))]
        self.tasks += [loop.create_task(self._ask(number)) for number in range(self.day.gateways)]
        self.begin = self.clock()
        faults = [loop.create_task(self._fault(fault)) for fault in self.day.faults]
        await asyncio.sleep(self.day.length_s)
        await asyncio.gather(*faults)
        if self.day.settles:
            quiet = self.begin + int((self.day.quiet_from + 4 * self.day.span_s + 1) * 1e6)
            await asyncio.sleep(max(0.0, (quiet - self.clock()) / 1e6))
        self._gather()
        return self.seen

    def _gather(self) -> None:
        """Convert the log and the receiver's calls to the checker's observations."""
        seen = self.seen
        seen.finished = self.clock() if self.day.settles else 0
        seen.calls = [
            ReceivedCall(c.at, c.task, c.turn, c.number, c.holder, c.accepted)
            for c in self.receiver.calls
        ]
        stopped: dict[int, int] = {}
        for event in self.log.of(GatewayEvent):
            if event.what == "stop":
                stopped[event.gateway] = event.at
            elif event.what in ("cont", "kill") and event.gateway in stopped:
                seen.still.append(
                    ProcessPause(f"n{event.gateway}", stopped.pop(event.gateway), event.at)
                )
        for one in self.log.of(Starved):
            if one.delay >= EXCUSING_CPU_WAIT_US:
                seen.still.append(ProcessPause(f"n{one.gateway}", one.at, one.until))
        seen.still.sort(key=lambda one: one.begin)
        seen.late = [(one.at, one.until) for one in self.log.of(Late)]

    async def _ask(self, number: int) -> None:
        """Poll a gateway for the leases that it holds."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.gateways[number].ready:
                asked = self.clock()
                try:
                    async with asyncio.timeout(20):
                        state = await self.state(number)
                except (OSError, TimeoutError, ValueError):
                    continue
                mine = state["gateway"]
                held = tuple(
                    (row["lease"], row["number"], row["left_ms"] * 1_000)
                    for row in state["leases"]
                    if row["lease"] in state["held"]
                )
                self.seen.stated.append(
                    LeaseStatement(
                        asked, self.clock(), mine, state["life"], held, state["given_back"]
                    )
                )
                for task in state["tasks"]:
                    self.seen.lease_of[task["task"]] = task["lease"]

    async def state(self, number: int) -> dict:
        """A gateway's current lease state, from its admin API."""
        return json.loads(await self.call(number, "GET", "/admin/leases"))

    async def call(self, number: int, method: str, path: str, body: bytes = b"") -> bytes:
        """The body of the answer to one request to a gateway's admin API."""
        reader, writer = await asyncio.open_connection(*self.admins[number])
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            answer = await reader.read()
        finally:
            writer.close()
        head, _, text = answer.partition(b"\r\n\r\n")
        if not head:
            raise ValueError("the gateway closed the connection without an answer")
        return text

    async def holder(self, task: str = "task0", within: float = 20.0) -> int:
        """Wait for a gateway that has just stated to hold the lease of a task, and return its number."""
        async with asyncio.timeout(within):
            while True:
                lease = self.seen.lease_of.get(task)
                for one in reversed(self.seen.stated[-5 * self.day.gateways :]):
                    number = int(one.gateway[1:])
                    up = self.gateways[number].ready and one.answered > self.clock() - 300_000
                    if up and any(name == lease for name, _, _ in one.held):
                        return number
                await asyncio.sleep(0.02)

    # -- faults -------------------------------------------------------------------------------------------------------

    async def _fault(self, fault: LeaseFault) -> None:
        await asyncio.sleep(max(0.0, self.begin / 1e6 + fault.at - self.clock() / 1e6))
        if not fault.whom and fault.kind in ("split", "stop", "kill"):
            fault = dataclasses.replace(fault, whom=(await self.holder(),))
        begin = self.clock()
        place = len(self.seen.faults)
        self.seen.faults.append((begin, begin + int(fault.for_s * 1e6), fault.words()))
        await getattr(self, f"_{fault.kind}")(fault)
        self.seen.faults[place] = (begin, self.clock(), fault.words())

    async def _stop(self, fault: LeaseFault) -> None:
        async def one(number: int) -> None:
            async with self.locks[number]:
                self.gateways[number].signal(signal.SIGSTOP, "stop")
                await asyncio.sleep(fault.for_s)
                self.gateways[number].signal(signal.SIGCONT, "cont")

        await asyncio.gather(*map(one, fault.whom))

    async def _kill(self, fault: LeaseFault) -> None:
        async def one(number: int) -> None:
            async with self.locks[number]:
                await self.gateways[number].kill()
                await asyncio.sleep(fault.for_s)
                await self.gateways[number].start(lambda: None)

        await asyncio.gather(*map(one, fault.whom))

    _voters = _kill

    async def _term(self, fault: LeaseFault) -> None:
        async def one(number: int) -> None:
            async with self.locks[number]:
                await self.gateways[number].terminate()
                await asyncio.sleep(fault.for_s)
                await self.gateways[number].start(lambda: None)

        await asyncio.gather(*map(one, fault.whom))

    async def _change_links(
        self, fault: LeaseFault, ways: list[tuple[int, int]], **changes
    ) -> None:
        # Faults may overlap, so each resets only the fields that it changed.
        for way in ways:
            self.relay.ways[way] = dataclasses.replace(self.relay.ways[way], **changes)
        await asyncio.sleep(fault.for_s)
        for way in ways:
            plain = {name: getattr(WITHOUT_FAULTS, name) for name in changes}
            self.relay.ways[way] = dataclasses.replace(self.relay.ways[way], **plain)

    def _links_between(self, fault: LeaseFault, both: bool) -> list[tuple[int, int]]:
        others = [n for n in range(self.day.gateways) if n not in fault.whom]
        ways = [(a, b) for a in fault.whom for b in others]
        return ways + ([(b, a) for a, b in ways] if both else [])

    async def _split(self, fault: LeaseFault) -> None:
        await self._change_links(fault, self._links_between(fault, True), cut=True)

    async def _one_way(self, fault: LeaseFault) -> None:
        await self._change_links(fault, self._links_between(fault, False), cut=True)

    async def _delay(self, fault: LeaseFault) -> None:
        await self._change_links(fault, list(self.relay.ways), delay=(0.0, fault.size))

    async def _noise(self, fault: LeaseFault) -> None:
        await self._change_links(
            fault, list(self.relay.ways), double=0.4, reorder=0.3, delay=(0.0, 0.3)
        )

    async def _double(self, fault: LeaseFault) -> None:
        await self._change_links(fault, list(self.relay.ways), double=fault.size)

    async def _loss(self, fault: LeaseFault) -> None:
        await self._change_links(fault, list(self.relay.ways), loss=fault.size)

    async def _receiver(self, fault: LeaseFault) -> None:
        self.receiver.manner = Manner((0.0, 2.0), 0.2, 0.2)
        await asyncio.sleep(fault.for_s)
        self.receiver.manner = Manner()

    # -- the end ------------------------------------------------------------------------------------------------------

    async def close(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT, "cont")
        await asyncio.gather(*(g.terminate() for g in self.gateways), return_exceptions=True)
        self.relay.close()
        self.receiver.close()
        await asyncio.sleep(0)

    def crashes(self) -> list[str]:
        """Descriptions of gateways that crashed or logged a traceback."""
        found = [
            f"n{e.gateway}: {e.detail}" for e in self.log.of(GatewayEvent) if "crashed" in e.detail
        ]
        for gateway in self.gateways:
            path = self.folder / f"n{gateway.number}.log"
            if path.exists() and "Traceback" in path.read_text(errors="replace"):
                found.append(f"n{gateway.number}: a traceback in its log")
        return found


async def play(
    day: LeaseDay, folder: Path, lines: dict[int, str] | None = None, fences: bool = True
) -> tuple[Verdict, LeaseWorld]:
    """Run a lease scenario, check it, and end everything that it started, also after a failure."""
    world = LeaseWorld(day, folder, lines, fences)
    try:
        seen = await world.run()
    finally:
        await world.close()
    return judge(seen), world


def line_of(module: str, *args: str) -> str:
    """A ``run`` line that starts another Python module in place of the gateway."""
    return " ".join(["exec", shlex.quote(sys.executable), "-m", module, *map(shlex.quote, args)])
