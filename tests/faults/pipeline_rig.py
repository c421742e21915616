"""Clients that pipeline uploads and small requests, and endpoints whose values name their request."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import hiredis
from crowd_rig import ANSWER_SLACK_S, REQUEST_DEADLINE_S, LimitedGateway, Replies
from cutting_proxy import CuttingProxy
from fake_endpoint import FakeEndpoint, value
from loop_lag import LoopLag
from signal_steps import SignalSteps

CLOCK_SHIM = Path(__file__).parent / "clock_shim"
CLASSES = ("read", "put", "bill")
# Below and above the size from which a body that arrives in pieces is collected on its own.
BODY_BYTES = (0, 900, 4_096, 9_000, 30_000, 65_000)
VALUE_BYTES = (0, 3_000, 20_000, 100_000)
CLOCK_STEPS_S = (-3_600, -60, -2, 2, 60, 3_600)
MEMORY_MB = (32, 48, 64, 192)
MAX_DELAYS_S = (0.02, 0.06, 0.5)
CLIENTS = 12
MAX_BATCH = 6
DEADLINE_MS = 3_000
# By the platform's terms: how much more than the client has left an endpoint may be told.
DEADLINE_SLACK_MS = 150
# By the platform's terms: an attempt that begins this long after its client left is a fault.
MAX_LEFT_S = 0.1
# Shares of requests that the endpoint turns away, resets after it took them, and answers twice.
TURNED_AWAY_SHARE = 0.1
RESET_SHARE = 0.02
REPEATED_SHARE = 0.03
MAX_REPEAT_DELAY_S = 0.015
# Share of batches whose client leaves before it has all replies.
LEAVING_SHARE = 0.05
MAX_STAY_S = 0.05
PHASE_S = 1.5
# An end of a connection this long after its last byte was passed on has not crossed a request.
MAX_CROSSING_S = 0.3
# A client's answer and the endpoint's record of a request are read by one event loop, one after the other.
MAX_RECORD_DELAY_S = 0.1

_numbers = itertools.count(1)


@dataclass(frozen=True)
class PipelinedRequest:
    """One request of a batch."""

    request_id: str
    kind: str
    body_bytes: int

    @classmethod
    def of(cls, kind: str, body_bytes: int = 0) -> PipelinedRequest:
        """Return a request with a new id."""
        return cls(f"p{next(_numbers)}", kind, body_bytes)

    def packed(self) -> bytes:
        """The command, for a customer of its own."""
        number = int(self.request_id[1:])
        key = f",k=key{number}" if self.kind == "put" else ""
        terms = f"c={self.kind},t=team,d={DEADLINE_MS}{key},units=1,spread=1,first=0".encode()
        words = [b"%016x" % number, self.request_id.encode(), terms]
        if self.kind == "read":
            return hiredis.pack_command((b"CALL.GET", *words))
        return hiredis.pack_command((b"CALL.POST", *words, b"x" * self.body_bytes))


def value_for(request_id: str, length: int = 0) -> bytes:
    """The value that the endpoint makes for a request."""
    return f"value of {request_id} ".encode().ljust(length, b".")


@dataclass(frozen=True)
class Arrival:
    """A request that came whole to the endpoint."""

    at_s: float
    is_turned_away: bool
    # What it was told that the gateway waits.
    deadline_ms: int


class NamingEndpoint(FakeEndpoint):
    """An endpoint that answers each request with a value that names it, if it is not in trouble."""

    def __init__(self, rng: random.Random, is_troubled: bool = False) -> None:
        """Draw delays, lengths of values and, in trouble, what goes wrong."""
        super().__init__("a")
        self.rng, self.is_troubled = rng, is_troubled
        self.max_delay_s = 0.06
        # Requests that are always turned away.
        self.turned_away_ids: set[str] = set()
        self.arrivals: defaultdict[str, list[Arrival]] = defaultdict(list)
        self.script = self._take

    def _take(self, command: list[bytes]) -> bytes | None:
        self.commands.clear()
        loop, peer, request_id = asyncio.get_running_loop(), self.peer, command[2].decode()
        is_turned_away = self._happens(TURNED_AWAY_SHARE) or request_id in self.turned_away_ids
        deadline_ms = int(command[3].partition(b",d=")[2].partition(b",")[0])
        self.arrivals[request_id].append(Arrival(loop.time(), is_turned_away, deadline_ms))
        if is_turned_away:
            return b"-BUSY\r\n"
        if self._happens(RESET_SHARE):
            return b"reset"
        assert peer is not None
        made = value_for(request_id, self.rng.choice(VALUE_BYTES))
        reply = value(made, b"latency_ms=20,util=0.2")
        delay_s = self.rng.uniform(0, self.max_delay_s)
        loop.call_later(delay_s, self._answer, peer.transport, reply)
        if self._happens(REPEATED_SHARE):
            delay_s += self.rng.uniform(0, MAX_REPEAT_DELAY_S)
            loop.call_later(delay_s, self._answer, peer.transport, reply)
        return None

    def _happens(self, share: float) -> bool:
        return self.is_troubled and self.rng.random() < share

    @staticmethod
    def _answer(transport: asyncio.Transport, reply: bytes) -> None:
        if not transport.is_closing():
            transport.write(reply)

    def runs(self, request_id: str) -> int:
        """How often the endpoint has taken a request and not turned it away."""
        return sum(not each.is_turned_away for each in self.arrivals.get(request_id, ()))


@dataclass
class PipelineFindings:
    """What a run has seen: answers, and whatever breaks a rule."""

    answers: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class ReplyChecker:
    """Checks each reply against the request in whose place it came, and what the endpoint did."""

    def __init__(self, endpoint: NamingEndpoint) -> None:
        """Check against the records of this endpoint."""
        self.endpoint = endpoint
        self.findings = PipelineFindings()
        # When each refused request that may not simply be repeated was refused.
        self.refused_at_s: dict[str, float] = {}
        # When the last byte of each request was passed on, and when its client left.
        self.sent_at_s: dict[str, float] = {}
        self.left_at_s: dict[str, float] = {}
        self.unrepeatable_ids: set[str] = set()
        # Set where the times at which this process has read something are checked.
        self.lag: LoopLag | None = None

    def replied(self, request: PipelinedRequest, reply: object) -> None:
        """Check the reply that came in the place of a request."""
        if isinstance(reply, bytes):
            self.findings.answers["served"] += 1
            if not reply.startswith(value_for(request.request_id)):
                self.fault(f"{request} was served {reply[:30]!r}")
        elif str(reply).startswith("BUSY"):
            self.findings.answers["busy"] += 1
            if request.kind != "read":
                self.refused_at_s[request.request_id] = asyncio.get_running_loop().time()
        else:
            self.findings.answers["failed"] += 1

    def fault(self, text: str) -> None:
        """Note a broken rule."""
        self.findings.faults.append(text)

    def finish(self) -> PipelineFindings:
        """Check what can be told only at the end; return all findings."""
        for request_id, refused_at_s in self.refused_at_s.items():
            if self.endpoint.runs(request_id):
                self.fault(f"{request_id} was refused and has run")
            arrivals = self.endpoint.arrivals.get(request_id, ())
            if any(each.at_s > refused_at_s + MAX_RECORD_DELAY_S for each in arrivals):
                self.fault(f"{request_id} was sent on after its refusal")
        for request_id, arrivals in self.endpoint.arrivals.items():
            if request_id in self.unrepeatable_ids and self.endpoint.runs(request_id) > 1:
                self.fault(f"{request_id} ran twice")
            for arrival in arrivals:
                self._check_times(request_id, arrival)
        return self.findings

    def _check_times(self, request_id: str, arrival: Arrival) -> None:
        """Check the time that an endpoint was told, and that the client had not left before."""
        sent_at_s = self.sent_at_s.get(request_id, arrival.at_s)
        lag_s = self.lag.between(sent_at_s, arrival.at_s) if self.lag else 0.0
        spent_s = max(0.0, arrival.at_s - sent_at_s - lag_s)
        left_ms = DEADLINE_MS - 1_000 * spent_s
        if arrival.deadline_ms > left_ms + DEADLINE_SLACK_MS:
            self.fault(f"{request_id} had {left_ms:.0f} ms left, {arrival.deadline_ms} were told")
        after_s = arrival.at_s - self.left_at_s.get(request_id, arrival.at_s)
        if after_s > MAX_LEFT_S + MAX_RECORD_DELAY_S:
            self.fault(f"{request_id} was sent on {after_s:.3f} s after its client left")


class PipeliningClient:
    """Writes batches of requests on one connection that it keeps, and reads their replies."""

    def __init__(self, run: PipelineRun, rng: random.Random) -> None:
        """Start to send."""
        self.run, self.rng = run, rng
        self.sock: socket.socket | None = None
        self.task = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        while not self.run.is_ending:
            batch = [self._draw() for _ in range(self.rng.randint(1, MAX_BATCH))]
            await self._exchange(batch)
            await asyncio.sleep(self.rng.uniform(0, 0.1))
        self._close()

    def _draw(self) -> PipelinedRequest:
        kind = self.rng.choice(CLASSES)
        request = PipelinedRequest.of(kind, 0 if kind == "read" else self.rng.choice(BODY_BYTES))
        if kind == "bill":
            self.run.checker.unrepeatable_ids.add(request.request_id)
        return request

    async def _exchange(self, batch: list[PipelinedRequest]) -> None:
        """Send a batch; a connection that ends takes the rest of it along, unless that is too late."""
        run, loop, kills = self.run, asyncio.get_running_loop(), self.run.signals.kills
        unanswered = list(batch)
        port, started_s = 0, loop.time()
        try:
            if self.sock is None:
                self.sock = await run.connect()
            port = self.sock.getsockname()[1]
            sending = loop.sock_sendall(self.sock, b"".join(each.packed() for each in batch))
            if self.rng.random() < LEAVING_SHARE:
                await sending
                await asyncio.sleep(self.rng.uniform(0, MAX_STAY_S))
                await self._leave(batch, port)
                return
            await asyncio.gather(sending, self._read_replies(unanswered))
        except (OSError, TimeoutError) as error:
            self._close()
            sent_at_s = self._sent_at_s(port, started_s)
            self._note_end(unanswered, sent_at_s, kills, isinstance(error, TimeoutError))
        if sent_at_s := self._sent_at_s(port, started_s):
            for request in batch:
                run.checker.sent_at_s[request.request_id] = sent_at_s

    def _sent_at_s(self, port: int, started_s: float) -> float | None:
        """When the last byte of the batch that began then was passed on, as far as that has happened."""
        passed_on_at_s = self.run.proxy.passed_on_at_s.get(port, 0.0)
        return passed_on_at_s if passed_on_at_s >= started_s else None

    async def _leave(self, batch: list[PipelinedRequest], port: int) -> None:
        """Close the connection, and note when the proxy has closed that to the gateway."""
        proxy = self.run.proxy
        self._close()
        self.run.checker.findings.answers["left"] += len(batch)
        while port not in proxy.ended_at_s:
            await asyncio.sleep(0.01)
        for request in batch:
            self.run.checker.left_at_s[request.request_id] = proxy.ended_at_s[port]

    async def _read_replies(self, unanswered: list[PipelinedRequest]) -> None:
        """Read replies; by the pages, the time in which one waits for those before it does not count."""
        assert self.sock is not None
        replies = Replies(self.sock)
        while unanswered:
            async with asyncio.timeout(REQUEST_DEADLINE_S + ANSWER_SLACK_S):
                reply = await replies.next()
            self.run.checker.replied(unanswered.pop(0), reply)

    def _note_end(
        self, unanswered: list[PipelinedRequest], sent_at_s: float | None, kills: int, is_late: bool
    ) -> None:
        run, answers = self.run, self.run.checker.findings.answers
        if run.signals.kills != kills:
            answers["killed"] += len(unanswered)
            return
        now_s = asyncio.get_running_loop().time()
        open_s = now_s - (sent_at_s or now_s)
        if is_late or open_s > MAX_CROSSING_S:
            run.checker.fault(f"{unanswered} had no reply {open_s:.3f} s after the last byte")
        answers["crossed"] += len(unanswered)

    def _close(self) -> None:
        if self.sock:
            self.sock.close()
            self.sock = None


class PipelineRun:
    """A seeded run of one gateway behind the proxy: signals, kills, upgrades, steps of the wall clock."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Draw everything from the seed."""
        self.rng = random.Random(seed)
        self.folder = folder
        self.endpoint = NamingEndpoint(self.rng, is_troubled=True)
        self.endpoint.max_delay_s = self.rng.choice(MAX_DELAYS_S)
        self.checker = ReplyChecker(self.endpoint)
        self.is_ending = False
        findings = self.checker.findings
        self.signals = SignalSteps(self.rng, findings.faults, findings.answers)
        self.clock_file = folder / "clock-offset"
        self.clock_file.write_text("0")

    async def connect(self) -> socket.socket:
        """Connect a client to the proxy; ``OSError`` where that fails."""
        sock = socket.socket()
        sock.setblocking(False)
        try:
            sock.bind(("127.0.0.1", 0))
            self.proxy.forget(sock.getsockname()[1])
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.proxy_port))
        except BaseException:
            sock.close()
            raise
        return sock

    async def play(self) -> PipelineFindings:
        """Play the run; return what it found."""
        await self.endpoint.listen()
        self.checker.lag = LoopLag()
        memory_mb = self.rng.choice(MEMORY_MB)
        self.gateway = LimitedGateway(self.folder, self.endpoint, memory_mb, 512)
        self.gateway.environment = {
            "PYTHONPATH": str(CLOCK_SHIM),
            "CLOCK_OFFSET_FILE": str(self.clock_file),
            "SAFFRONGW_REQUEST_LOG": str(self.folder / "requests.log"),
        }
        self.signals.gateway = self.gateway
        await self.gateway.start()
        self.proxy = CuttingProxy(self.gateway.port, random.Random(self.rng.random()))
        self.proxy_port = await self.proxy.listen()
        clients = [PipeliningClient(self, random.Random(self.rng.random())) for _ in range(CLIENTS)]
        signals = self.signals
        steps = (
            signals.hang_up,
            signals.kill,
            signals.restart,
            signals.upgrade,
            self._step_clock,
        )
        try:
            for step in self.rng.choices(steps, k=3):
                await asyncio.sleep(self.rng.uniform(0.3, PHASE_S))
                await step()
            await asyncio.sleep(self.rng.uniform(0.3, PHASE_S))
            self.is_ending = True
            await asyncio.gather(*(client.task for client in clients))
        finally:
            for client in clients:
                client.task.cancel()
            await self.proxy.close()
            self.checker.lag.task.cancel()
        await self.signals.end(self.gateway.process)
        return self.checker.finish()

    async def _step_clock(self) -> None:
        """Step the wall clock of the running process, and of the one that follows it in an upgrade."""
        self.clock_file.write_text(str(self.rng.choice(CLOCK_STEPS_S)))
        if self.rng.random() < 0.5:
            await self.signals.upgrade()


async def exchange(
    gateway: LimitedGateway, requests: list[PipelinedRequest], cut: int
) -> list[object]:
    """Send requests in two pieces, cut at a byte, with a pause between; return the replies in order."""
    loop = asyncio.get_running_loop()
    data = b"".join(each.packed() for each in requests)
    async with asyncio.timeout(REQUEST_DEADLINE_S + ANSWER_SLACK_S):
        with await gateway.connect() as sock:
            await loop.sock_sendall(sock, data[:cut])
            await asyncio.sleep(0.1)
            await loop.sock_sendall(sock, data[cut:])
            replies = Replies(sock)
            return [await replies.next() for _ in requests]
