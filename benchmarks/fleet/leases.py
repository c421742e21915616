"""Leases on the virtual clock: members bound to nodes, a receiver of calls, and who held what when.

``SimulatedFleet`` is a fleet of voters and askers under faults. It counts by true time, which no gateway knows: overlaps of
holders, turns missed and repeated, calls with an older number than one before.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from saffrongw.leases.candidates import shard_of
from saffrongw.leases.claim import LeaseGained, LeaseLost, LeaseRecalled
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.node import LeaseNode, NodeSettings
from saffrongw.leases.progress_reports import ProgressConfirmed
from saffrongw.leases.spec import TaskSpec
from saffrongw.leases.task_schedule import (
    CallOutcome,
    CancelCall,
    ScheduleAction,
    SendReport,
    TaskCall,
    TaskSchedule,
)
from saffrongw.leases.timing import SECOND_US, Timing
from saffrongw.leases.voter_set import VoterSet
from testbed.simulation.clock import Fleet, Link, Node
from testbed.simulation.machine import Sent

WALL = 1_700_000_000 * SECOND_US  # of the world, at true time 0
ENVELOPE = 72  # bytes that the channel puts around a packet, about


@dataclass(frozen=True, slots=True)
class Breach:
    """Something that must not be."""

    at: int
    what: str


@dataclass(slots=True)
class Seen:
    """One call as the receiver saw it."""

    at: int
    task: str
    turn: int
    number: int
    node: str
    accepted: bool


class Receiver:
    """What tasks call: it refuses numbers that are older than one it has seen, as a receiver has to."""

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}
        self.calls: list[Seen] = []
        self.away_until = 0

    def call(self, at: int, task: str, turn: int, fencing_token: int, node: str) -> CallOutcome:
        """One call has come."""
        if at < self.away_until:
            return CallOutcome.FAILED
        accepted = fencing_token >= self.highest.get(task, 0)
        self.highest[task] = max(fencing_token, self.highest.get(task, 0))
        self.calls.append(Seen(at, task, turn, fencing_token, node, accepted))
        return CallOutcome.DONE if accepted else CallOutcome.FENCED_OFF


class SimulatedNode:
    """A node and its tasks as a machine of the virtual clock."""

    def __init__(
        self, simulated: SimulatedFleet, name: str, incarnation: int, now: int, draw: random.Random
    ) -> None:
        self.simulated, self.name, self.incarnation, self.draw = simulated, name, incarnation, draw
        self.wall_by = simulated.walls.get(name, 0)
        self.node = simulated.make_node(name, incarnation, now, draw)
        self.schedule = TaskSchedule()
        self.calls: list[tuple[int, TaskCall]] = []  # when each ends
        self.now = now
        self.recalled: set[str] = set()

    def wall(self, now: int) -> int:
        """Its idea of Unix time: the world's, and what it is off by."""
        return WALL + now - self.simulated.fleet.nodes[self.name].offset + self.wall_by

    def next_at(self) -> int:
        """The next thing of any of its parts."""
        times = [self.node.next_at(), *(at for at, _ in self.calls)]
        if (at := self.schedule.next_at()) is not None:
            times.append(at)
        return min(times)

    def receive(self, now: int, sender: str, message: tuple[int, object]) -> Sent:
        """A packet, with the incarnation of its sender."""
        self.now = now
        incarnation, packet = message
        out = self.node.receive(now, self.wall(now), GatewayId(sender, incarnation), packet)
        return self._after(now, out)

    def due(self, now: int) -> Sent:
        """Whatever waits."""
        self.now = now
        out = self.node.due(now, self.wall(now))
        for end, call in [item for item in self.calls if item[0] <= now]:
            self.calls.remove((end, call))
            self._end(now, call)
        self._do(now, self.schedule.due(now, self.wall(now), self._remaining_us))
        return self._after(now, out)

    def drain(self, now: int) -> Sent:
        """SIGTERM."""
        self.now = now
        return self._after(now, self.node.drain(now, self.wall(now)))

    def _remaining_us(self, lease: str) -> int:
        token = self.node.token(lease, lambda: self.now)
        return token.remaining_us() if token else 0

    def _end(self, now: int, call: TaskCall) -> None:
        token = self.node.token(call.lease, lambda: now)
        outcome = CallOutcome.LATE
        if (
            token and token.number == call.fencing_token and token.valid()
        ) or self.simulated.asks_no_token:
            node = self.simulated.fleet.nodes[self.name]
            outcome = self.simulated.receiver.call(
                self.simulated.fleet.now,
                call.task,
                call.turn,
                call.fencing_token,
                f"{node.name}.{node.life}",
            )
            if outcome is CallOutcome.DONE and self.draw.random() < self.simulated.answers_lost:
                outcome = CallOutcome.UNKNOWN
        self._do(
            now, self.schedule.call_finished(now, self.wall(now), call.task, call.turn, outcome)
        )

    def _do(self, now: int, todo: list[ScheduleAction]) -> None:
        for one in todo:
            if isinstance(one, TaskCall):
                spec = self.simulated.specs[one.task]
                self.calls.append((now + int(self.draw.random() * spec.max_call_us / 2), one))
            elif isinstance(one, SendReport):
                self.node.report_progress(now, one.lease, one.progress)
            elif isinstance(one, CancelCall):
                self.calls = [item for item in self.calls if item[1].task != one.task]

    def _after(self, now: int, out: Sent) -> Sent:
        while self.node.events:
            event = self.node.events.pop(0)
            if isinstance(event, LeaseGained):
                self.recalled.discard(event.lease)
                specs = self.simulated.by_lease.get(event.lease, [])
                self.schedule.lease_gained(
                    now,
                    event.lease,
                    event.fencing_token,
                    specs,
                    event.progress,
                    event.memory_since_us,
                )
            elif isinstance(event, LeaseLost):
                self._do(now, self.schedule.lease_lost(event.lease))
            elif isinstance(event, ProgressConfirmed):
                self._do(
                    now,
                    self.schedule.progress_confirmed(
                        now, event.lease, event.progress, self._remaining_us
                    ),
                )
            elif isinstance(event, LeaseRecalled):
                self.recalled.add(event.lease)
        for lease in list(self.recalled):
            if self.schedule.idle(lease):
                self.recalled.discard(lease)
                out += self.node.release(
                    now, self.wall(now), lease, "moved", self.node.timing.duration_us
                )
                return self._after(now, out)
        return [(to, (self.incarnation, packet)) for to, packet in out]


class SimulatedFleet:
    """Voters, askers, their tasks, and what came of it."""

    def __init__(
        self,
        seed: str,
        voters: int = 3,
        askers: int = 5,
        shards: int = 1,
        timing: Timing | None = None,
        specs: tuple[TaskSpec, ...] = (),
        link: Link | None = None,
        sizes: bool = False,
        start_within: int = SECOND_US,
    ) -> None:
        self.fleet = Fleet(seed, link)
        self.random = random.Random(f"{seed}:field")
        self.timing, self.shards = timing or Timing(), shards
        self.voters = tuple(f"v{n}" for n in range(voters))
        self.names = (*self.voters, *(f"a{n}" for n in range(askers)))
        self.set = VoterSet(1, self.voters)
        self.specs = {spec.name: spec for spec in specs}
        self.by_lease: dict[str, list[TaskSpec]] = {}
        for spec in specs:
            self.by_lease.setdefault(shard_of(spec.name, shards), []).append(spec)
        self.walls: dict[str, int] = {}
        self.receiver = Receiver()
        self.answers_lost = 0.0
        self.asks_no_token = False
        self.held: dict[
            str, dict[tuple[str, int], tuple[int, int]]
        ] = {}  # lease -> who -> (number, true end)
        self.breaches: list[Breach] = []
        self.gains: list[tuple[int, str, str, int]] = []  # when, lease, node, number
        self.highest: dict[str, int] = {}
        self.make_node: Callable[[str, int, int, random.Random], LeaseNode] = self.plain_node
        self.fleet.watchers.append(self._look)
        if sizes:
            encoder = msgspec.msgpack.Encoder()
            self.fleet.size = lambda message: len(encoder.encode(message[1])) + ENVELOPE
        for name in self.names:
            rate = 1 + self.random.uniform(-0.5, 0.5) * self.timing.max_drift
            start = int(self.random.random() * start_within)
            self.fleet.add(name, self._make, rate, self.random.randrange(10**9), start)

    def _make(self, name: str, incarnation: int, now: int, draw: random.Random) -> SimulatedNode:
        return SimulatedNode(self, name, incarnation, now, draw)

    def plain_node(self, name: str, incarnation: int, now: int, draw: random.Random) -> LeaseNode:
        """A node as the program makes it."""
        settings = NodeSettings(self.timing, self.shards)
        gateway = GatewayId(name, incarnation)
        return LeaseNode(gateway, settings, self.set, draw.random, now)

    def _look(self, at: int, node: Node) -> None:
        """Who holds what, by true time, after each step of a node."""
        who = (node.name, node.life)
        claims = {}
        if node.machine is not None:
            clock = node.clock(at)
            claims = {c.lease: c for c in node.machine.node.proposer.held(clock)}
        for lease, holders in self.held.items():
            if who in holders and lease not in claims:
                del holders[who]
        for lease, claim in claims.items():
            holders = self.held.setdefault(lease, {})
            old = holders.get(who)
            if old is None or old[0] != claim.fencing_token:
                self.gains.append((at, lease, node.name, claim.fencing_token))
                if claim.fencing_token <= self.highest.get(lease, 0):
                    self.breaches.append(
                        Breach(
                            at,
                            f"{node.name} got {lease} under {claim.fencing_token} after {self.highest[lease]}",
                        )
                    )
                self.highest[lease] = max(claim.fencing_token, self.highest.get(lease, 0))
            holders[who] = (claim.fencing_token, node.when(claim.held_until_us) - 1)
            for other, (number, end) in list(holders.items()):
                if other[0] == who[0] and other != who:
                    del holders[other]  # an earlier incarnation
                elif other != who and end > at:
                    self.breaches.append(
                        Breach(
                            at,
                            f"{who} holds {lease} under {claim.fencing_token} while {other} does, under {number}",
                        )
                    )
                elif other != who:
                    del holders[other]

    def holder(self, lease: str) -> str | None:
        """Who holds it now, by true time."""
        for (name, _), (_, end) in self.held.get(lease, {}).items():
            if end > self.fleet.now:
                return name
        return None

    def turn_counts(self, until: int, settle: int = 0) -> Counter[str]:
        """Turns done once, repeated, missed, between ``settle`` and ``until`` (true us)."""
        done: Counter[tuple[str, int]] = Counter(
            (c.task, c.turn) for c in self.receiver.calls if c.accepted
        )
        total: Counter[str] = Counter()
        for spec in self.specs.values():
            for turn in range(spec.turn_at(WALL + settle) + 1, spec.turn_at(WALL + until)):
                times = done[spec.name, turn]
                total["turns"] += 1
                total["missed"] += times == 0
                total["repeated"] += max(0, times - 1)
        total["older accepted"] = sum(
            1
            for before, after in zip(*(lambda c: (c, c[1:]))(self._accepted()), strict=False)
            if before.task == after.task and after.number < before.number
        )
        total["older refused"] = sum(1 for c in self.receiver.calls if not c.accepted)
        return total

    def _accepted(self) -> list[Seen]:
        return sorted((c for c in self.receiver.calls if c.accepted), key=lambda c: (c.task, c.at))
