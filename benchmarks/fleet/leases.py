"""Leases on the virtual clock: members bound to nodes, a receiver of calls, and who held what when.

``Field`` is a fleet of voters and askers under faults. It counts by true time, which no gateway knows: overlaps of
holders, turns missed and repeated, calls with an older number than one before.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from saffrongw.leases.candidates import shard_of
from saffrongw.leases.node import Confirmed, LeaseNode
from saffrongw.leases.proposer import Gained, Lost, Wanted
from saffrongw.leases.spec import LeaseSpec
from saffrongw.leases.task_schedule import Call, Cancel, Do, Outcome, Say, TaskSchedule
from saffrongw.leases.timing import SECOND, Timing
from saffrongw.leases.voter_set import VoterSet
from testbed.simulation.clock import Fleet, Link, Node
from testbed.simulation.machine import Sent

MS = 1_000
WALL = 1_700_000_000 * SECOND  # of the world, at true time 0
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

    def call(self, at: int, task: str, turn: int, number: int, node: str) -> Outcome:
        """One call has come."""
        if at < self.away_until:
            return Outcome.FAILED
        accepted = number >= self.highest.get(task, 0)
        self.highest[task] = max(number, self.highest.get(task, 0))
        self.calls.append(Seen(at, task, turn, number, node, accepted))
        return Outcome.DONE if accepted else Outcome.OUTRUN


class SimulatedNode:
    """A member and its tasks as a machine of the virtual clock."""

    def __init__(self, field: Field, name: str, life: int, now: int, draw: random.Random) -> None:
        self.field, self.name, self.life, self.draw = field, name, life, draw
        self.wall_by = field.walls.get(name, 0)
        self.member = field.member(name, life, now, draw)
        self.turns = TaskSchedule()
        self.calls: list[tuple[int, Call]] = []  # when each ends
        self.now = now
        self.wanted: set[str] = set()

    def wall(self, now: int) -> int:
        """Its idea of Unix time: the world's, and what it is off by."""
        return WALL + now - self.field.fleet.nodes[self.name].offset + self.wall_by

    def next_at(self) -> int:
        """The next thing of any of its parts."""
        times = [self.member.next_at(), *(at for at, _ in self.calls)]
        if (at := self.turns.next_at()) is not None:
            times.append(at)
        return min(times)

    def receive(self, now: int, sender: str, message: tuple[int, object]) -> Sent:
        """A packet, with the life of its sender."""
        self.now = now
        life, packet = message
        out = self.member.receive(now, self.wall(now), sender, life, packet)
        return self._after(now, out)

    def due(self, now: int) -> Sent:
        """Whatever waits."""
        self.now = now
        out = self.member.due(now, self.wall(now))
        for end, call in [item for item in self.calls if item[0] <= now]:
            self.calls.remove((end, call))
            self._end(now, call)
        self._do(now, self.turns.due(now, self.wall(now), self._left))
        return self._after(now, out)

    def leave(self, now: int) -> Sent:
        """SIGTERM."""
        self.now = now
        return self._after(now, self.member.leave(now, self.wall(now)))

    def _left(self, lease: str) -> int:
        token = self.member.token(lease, lambda: self.now)
        return token.left() if token else 0

    def _end(self, now: int, call: Call) -> None:
        token = self.member.token(call.lease, lambda: now)
        outcome = Outcome.LATE
        if (token and token.number == call.number and token.valid()) or self.field.asks_no_token:
            node = self.field.fleet.nodes[self.name]
            outcome = self.field.receiver.call(
                self.field.fleet.now, call.task, call.turn, call.number, f"{node.name}.{node.life}"
            )
            if outcome is Outcome.DONE and self.draw.random() < self.field.answers_lost:
                outcome = Outcome.UNKNOWN
        self._do(now, self.turns.finished(now, self.wall(now), call.task, call.turn, outcome))

    def _do(self, now: int, todo: list[Do]) -> None:
        for one in todo:
            if isinstance(one, Call):
                spec = self.field.specs[one.task]
                self.calls.append((now + int(self.draw.random() * spec.needs / 2), one))
            elif isinstance(one, Say):
                self.member.tell(now, one.lease, one.notes)
            elif isinstance(one, Cancel):
                self.calls = [item for item in self.calls if item[1].task != one.task]

    def _after(self, now: int, out: Sent) -> Sent:
        while self.member.events:
            event = self.member.events.pop(0)
            wall = self.wall(now)
            if isinstance(event, Gained):
                self.wanted.discard(event.lease)
                specs = self.field.by_lease.get(event.lease, [])
                self.turns.gained(
                    now, wall, event.lease, event.number, specs, event.notes, event.known_from
                )
            elif isinstance(event, Lost):
                self._do(now, self.turns.lost(event.lease))
            elif isinstance(event, Confirmed):
                self._do(now, self.turns.confirmed(now, event.lease, event.notes, self._left))
            elif isinstance(event, Wanted):
                self.wanted.add(event.lease)
        for lease in list(self.wanted):
            if self.turns.idle(lease):
                self.wanted.discard(lease)
                out += self.member.give_back(
                    now, self.wall(now), lease, "moved", self.member.timing.span
                )
                return self._after(now, out)
        return [(to, (self.life, packet)) for to, packet in out]


class Field:
    """Voters, askers, their tasks, and what came of it."""

    def __init__(
        self,
        seed: str,
        voters: int = 3,
        askers: int = 5,
        shards: int = 1,
        timing: Timing | None = None,
        specs: tuple[LeaseSpec, ...] = (),
        link: Link | None = None,
        sizes: bool = False,
        start_within: int = SECOND,
    ) -> None:
        self.fleet = Fleet(seed, link)
        self.random = random.Random(f"{seed}:field")
        self.timing, self.shards = timing or Timing(), shards
        self.voters = tuple(f"v{n}" for n in range(voters))
        self.names = (*self.voters, *(f"a{n}" for n in range(askers)))
        self.set = VoterSet(1, self.voters)
        self.specs = {spec.name: spec for spec in specs}
        self.by_lease: dict[str, list[LeaseSpec]] = {}
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
        self.member: Callable[[str, int, int, random.Random], LeaseNode] = self.plain_member
        self.fleet.watchers.append(self._look)
        if sizes:
            encoder = msgspec.msgpack.Encoder()
            self.fleet.size = lambda message: len(encoder.encode(message[1])) + ENVELOPE
        for name in self.names:
            rate = 1 + self.random.uniform(-0.5, 0.5) * self.timing.drift
            start = int(self.random.random() * start_within)
            self.fleet.add(name, self._make, rate, self.random.randrange(10**9), start)

    def _make(self, name: str, life: int, now: int, draw: random.Random) -> SimulatedNode:
        return SimulatedNode(self, name, life, now, draw)

    def plain_member(self, name: str, life: int, now: int, draw: random.Random) -> LeaseNode:
        """A member as the program makes it."""
        return LeaseNode(name, life, self.set, self.timing, self.shards, draw.random, now)

    def _look(self, at: int, node: Node) -> None:
        """Who holds what, by true time, after each step of a node."""
        who = (node.name, node.life)
        claims = {}
        if node.machine is not None:
            clock = node.clock(at)
            claims = {c.lease: c for c in node.machine.member.asker.held(clock)}
        for lease, holders in self.held.items():
            if who in holders and lease not in claims:
                del holders[who]
        for lease, claim in claims.items():
            holders = self.held.setdefault(lease, {})
            old = holders.get(who)
            if old is None or old[0] != claim.number:
                self.gains.append((at, lease, node.name, claim.number))
                if claim.number <= self.highest.get(lease, 0):
                    self.breaches.append(
                        Breach(
                            at,
                            f"{node.name} got {lease} under {claim.number} after {self.highest[lease]}",
                        )
                    )
                self.highest[lease] = max(claim.number, self.highest.get(lease, 0))
            holders[who] = (claim.number, node.when(claim.held_until) - 1)
            for other, (number, end) in list(holders.items()):
                if other[0] == who[0] and other != who:
                    del holders[other]  # an earlier life
                elif other != who and end > at:
                    self.breaches.append(
                        Breach(
                            at,
                            f"{who} holds {lease} under {claim.number} while {other} does, under {number}",
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

    def turns(self, until: int, settle: int = 0) -> Counter[str]:
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
