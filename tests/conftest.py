"""Settings and shorthands for the tests: all figures here are made up."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import json
import os
import sys
from pathlib import Path

import hiredis
import pytest
import uvloop

from saffrongw.gateway import config
from saffrongw.gateway.downstream.connection import ClientConnections
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.upstream.cluster import UpstreamCluster
from saffrongw.policy.actions import Action, SetTimer
from saffrongw.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)
from saffrongw.policy.rules import Gateway
from saffrongw.policy.settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    Plan,
    RequestClass,
    Settings,
)
from testbed.runner.processes import die_with_parent, free_port

SECOND = 1_000_000
T0 = 1_000 * SECOND  # a clock time well after any start

SAFE = RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0
)
KEYED_CELL = RequestClass(
    500_000, 4 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, SECOND
)
UNSAFE = RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0
)
KEYED_ALL = dataclasses.replace(KEYED_CELL, deduplication_scope=DeduplicationScope.ALL)
KEYED_ZONE = dataclasses.replace(KEYED_CELL, deduplication_scope=DeduplicationScope.ZONE)
PLAIN = Plan(2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CAPPED = Plan(2.0, 10.0, 2, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CEILED = Plan(4.0, 8.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)
IDLE_EARNS = Plan(2.0, 10.0, 0, 1.0, 0.5, 0.0, 0.0, 0.0, 0.0)

SETTINGS = Settings(
    node_index=0,
    node_count=3,
    zone=0,
    classes=(SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE),
    plans=(PLAIN, CAPPED, CEILED, IDLE_EARNS),
    may_send_gossip=True,
    may_probe=True,
    may_cancel=True,
    may_hedge=True,
    max_attempts=4,
    max_retry_after_us=SECOND,
    gossip_intake=50.0,
    gossip_cost=0.01,
    health_check_cost=0.01,
    wasted_attempt_cost=0.03,
    cross_zone_cost=0.0,
    has_shared_counter=False,
    polls_endpoint_list=False,
    notification_deadline_us=10 * SECOND,
    load_report_source=LoadReportSource.NONE,
    load_report_fields=(),
    slow_start_weight=0.25,
    slow_start_duration_us=10 * SECOND,
    overload_multiple=2.0,
    overload_duration_us=2 * SECOND,
    drain_grace_us=SECOND // 2,
)


def entry(number: int, state=EndpointState.READY, cell=0, zone=0, started_at_us=0) -> EndpointEntry:
    """A line of a server list."""
    return EndpointEntry(bytes((10, 0, 0, number, 0, 80)), state, zone, cell, started_at_us, 1.0)


def listed(*entries: EndpointEntry, kind=EndpointListKind.COMPLETE) -> EndpointListReceived:
    """News of discovery."""
    return EndpointListReceived(kind, 1, tuple(entries))


class Bench:
    """One gateway with a clock, its requests numbered from 1."""

    def __init__(self, endpoints=4, now=T0, seed=1, **changes) -> None:
        self.now = now
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.gateway = Gateway(self.settings, seed, now)
        self.log: list[Action] = list(self.gateway.start())
        self.timers: list[tuple[int, int]] = []
        self._note(self.log)
        if endpoints:
            self.feed(listed(*(entry(i) for i in range(endpoints))))

    def _note(self, actions) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.token))

    def feed(self, event: Event) -> list[Action]:
        """One event now; the actions that it led to."""
        actions = list(self.gateway.handle(self.now, event))
        self._note(actions)
        self.log += actions
        return actions

    def run(self, span: int) -> list[Action]:
        """Let time pass and the timers fire."""
        end, done = self.now + span, []
        while due := [t for t in self.timers if t[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            done += self.feed(TimerFired(first[1]))
        self.now = end
        return done

    def ask(
        self, request: int, kind=0, customer=7, plan=0, units=1.0, left=2 * SECOND, first=0, size=3
    ):
        """A client's request."""
        return self.feed(
            RequestArrived(request, customer, plan, kind, units, left, first, size, False)
        )

    def outcome(
        self,
        request: int,
        endpoint_id: bytes,
        outcome: AttemptOutcome,
        attempt=0,
        duration_us=50_000,
        is_answered=None,
    ):
        """How an attempt ended."""
        if is_answered is None:
            is_answered = outcome is AttemptOutcome.SERVED
        return self.feed(
            AttemptEnded(
                request, attempt, endpoint_id, outcome, duration_us, is_answered, 0, 0.0, ()
            )
        )


def of(actions, kind) -> list:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def bench() -> Bench:
    """A gateway with four warm servers."""
    return Bench()


# -- the gateway on loopback sockets -------------------------------------------------------------------

SITE = {
    "balancers": 2,
    "rank": 0,
    "locality": 0,
    "discovery": "pushed",
    "zones": ["hall-a", "hall-b"],
    "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "classes": [
        {
            "name": name,
            "effect": idempotency,
            "group": deduplication_scope,
            "target": 500_000,
            "deadline": 3_000_000,
        }
        | {"dedupWindow": 5_000_000, "credit": 1.0, "lateWorth": 0.0}
        for name, idempotency, deduplication_scope in (
            ("read", "repeatable", "all"),
            ("put", "by_key", "cell"),
            ("bill", "once", "all"),
        )
    ],
    "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
    "loadReport": {"how": "inline", "names": ["util", "latency_ms"]},
    "packages": [
        {
            "name": "team",
            "perSecond": 100.0,
            "peakUnits": 100.0,
            "open": 0,
            "pays": 1.0,
            "beyondEarns": 0.0,
        }
        | {"overrunCost": 1.0, "hardRate": 0.0, "capDepth": 0.0, "capSlack": 0.0}
    ],
    "permissions": {
        "peers": True,
        "probes": True,
        "cancel": True,
        "secondCopies": True,
        "retryAfter": True,
    }
    | {
        "maxAttempts": 4,
        "maxRetryAfter": 1_000_000,
        "idleClose": 30_000_000,
        "connectTimeout": 250_000,
    },
    "rules": {
        "askWithin": 10_000_000,
        "coldFrom": 0.25,
        "warmWithin": 10_000_000,
        "fallMultiple": 3.0,
    }
    | {"overloadFor": 3_000_000, "drainGrace": 1_000_000},
}


def asyncio_test(function):
    """Run a test on the loop that the program uses; none may take longer than a minute."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        uvloop.run(asyncio.wait_for(function(*args, **kwargs), 60))

    return run


async def until(condition, within: float = 10.0) -> None:
    """Wait for a condition; the limit only ends a test that would hang."""
    async with asyncio.timeout(within):
        while not condition():
            await asyncio.sleep(0.005)


def value(body: bytes, report: bytes | None = None) -> bytes:
    """A host's answer."""
    last = b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(body), body, last)


def error(reply) -> str:
    """The text of an error reply."""
    assert isinstance(reply, hiredis.ReplyError)
    return str(reply)


def configured(folder: Path, **changes) -> tuple[Path, int]:
    """A configuration file for the program itself, and the port on which it will listen.

    Not one of those that port 0 gives: another test's host could take it before the program has bound it.
    """
    port = free_port()
    text = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "01"}
    text |= {"limits": {"sockets": 128}, "settings": SITE} | changes
    path = folder / "config.json"
    path.write_text(json.dumps(text))
    return path, port


class HostPeer(asyncio.Protocol):
    """A host on loopback: keeps the commands it got, answers by ``script`` (None: not at all)."""

    def __init__(self, host: FakeHost) -> None:
        self.host, self.reader = host, hiredis.Reader()

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.host.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            self.host.commands.append(command)
            self.host.peer = self  # whose command the script answers
            reply = self.host.script(command)
            if reply == b"reset":
                self.transport.abort()
            elif reply is not None:
                self.transport.write(reply)

    def connection_lost(self, error) -> None:
        self.host.connections.remove(self)


class FakeHost:
    """One listening host."""

    def __init__(self, name: str) -> None:
        self.name, self.commands, self.connections = name, [], []
        self.peer: HostPeer | None = None
        self.script = lambda command: b"*3\r\n$2\r\nok\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n"

    async def listen(self) -> FakeHost:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostPeer(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def line(self, health="SERVING", **changes) -> dict:
        """Its line in discovery's list."""
        line = {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "hall-a", "class": "m"}
        return line | {"block": 1, "health": health, "share": 1.0, "born_ms": 0} | changes


class Caller(asyncio.Protocol):
    """A client's connection: what came back, as parsed values."""

    def __init__(self) -> None:
        self.reader, self.replies, self.closed = hiredis.Reader(), [], False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            self.replies.append(reply)

    def connection_lost(self, error) -> None:
        self.closed = True

    def ask(self, *words: bytes) -> None:
        """Send one command."""
        self.transport.write(hiredis.pack_command(words))

    def call(self, kind="read", wait=2000, number=b"id1", more="") -> None:
        """Send a request of one class."""
        terms = f"c={kind},t=team,d={wait},units=1,spread=2,first=0{more}".encode()
        if kind == "read":
            self.ask(b"CALL.GET", b"0000000000000007", number, terms)
        else:
            key = b",k=key7" if kind == "put" else b""
            self.ask(b"CALL.POST", b"0000000000000007", number, terms + key, b"BODY")

    async def replied(self, count=1) -> list:
        """Wait for so many replies."""
        await until(lambda: len(self.replies) >= count)
        return self.replies


class Rig:
    """One gateway, its parts wired as in the program, with hosts that it has been told of."""

    def __init__(self, *hosts: FakeHost, lines=None, sockets=64, driver=Driver, **changes) -> None:
        self.loop = asyncio.get_running_loop()
        known = {"seq": 1, "whole": True, "hosts": lines or [host.line() for host in hosts]}
        site = SITE | changes
        text = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "01"}
        text |= {"limits": {"sockets": sockets}, "known": known, "settings": site}
        self.config = config.parse_config(json.dumps(text))
        self.driver = driver(self.config.settings, self.config.seed, self.loop)
        # With one host or two the policy would refuse most of what these tests hold at once.
        self.driver.gateway._patience = lambda request: float("inf")
        self.hosts = self.driver.hosts = UpstreamCluster(
            self.driver,
            self.config.settings.load_report_fields,
            sockets,
            self.config.idle_close_s,
            self.config.connect_timeout_s,
        )
        self.driver.start(self.config.known)
        self.clients = ClientConnections(self.driver, self.config, sockets)
        # A machine that is busy beside the tests must not make a request wait so long that it is given up.
        self.clients.intake.shedder.most_wait = [3_600 * SECOND] * len(self.config.settings.classes)

    async def caller(self) -> Caller:
        """A client's connection to it."""
        if self.clients.acceptor is None:
            await self.clients.listen()
        port = self.clients.acceptor.listener.getsockname()[1]
        _, caller = await self.loop.create_connection(Caller, "127.0.0.1", port)
        return caller

    def told(self, *lines: dict, whole=False) -> None:
        """News of discovery."""
        raw = {"seq": 2, "whole": whole, "hosts": list(lines)}
        self.driver.listed(config.parse_endpoint_list(raw, self.config.zones))


async def started(host: FakeHost, folder, **changes):
    """The program itself: the process, a way to connect to it, and its configuration's file."""
    known = {"seq": 1, "whole": True, "hosts": [host.line(host=name) for name in "abcdef"]}
    file, port = configured(folder, **({"known": known} | changes))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffrongw",
        env=os.environ | {"LB_CONFIG": str(file)},
        preexec_fn=die_with_parent,  # a test that fails before it ends the program leaves none behind
    )
    loop = asyncio.get_running_loop()

    async def connect() -> Caller:
        async with asyncio.timeout(20):
            while True:
                try:
                    return (await loop.create_connection(Caller, "127.0.0.1", port))[1]
                except OSError:
                    await asyncio.sleep(0.02)

    return process, connect, file
