"""Simulated lease nodes with their tasks, and the receiver of the task calls, on the virtual clock.

``SimulatedFleet`` is a fleet of voters and other gateways under faults. It counts by true time,
which no gateway can read: overlapping holders, missed and repeated turns, and calls with a lower
fencing token than an earlier call.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise

import msgspec

from saffrongw.leases.candidates import shard_of
from saffrongw.leases.claim import Claim, LeaseGained, LeaseLost, LeaseRecalled
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.messages import OutgoingPacket, Packet
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

from .lease_holders import Breach, Gain, HolderLog

# Unix time in us at true time 0.
WALL_US = 1_700_000_000 * SECOND_US
# Approximate overhead that the channel adds to each packet.
ENVELOPE_BYTES = 72


@dataclass(slots=True)
class ReceivedCall:
    """One task call as the receiver recorded it."""

    at: int
    task: str
    turn: int
    fencing_token: int
    node: str
    accepted: bool


class Receiver:
    """The service that tasks call; it rejects a token lower than the highest that it has seen."""

    def __init__(self) -> None:
        """Create a receiver without recorded calls."""
        self.highest: dict[str, int] = {}
        self.calls: list[ReceivedCall] = []
        self.unavailable_until = 0

    def call(self, at: int, task: str, turn: int, fencing_token: int, node: str) -> CallOutcome:
        """Handle one call and return its outcome."""
        if at < self.unavailable_until:
            return CallOutcome.FAILED
        accepted = fencing_token >= self.highest.get(task, 0)
        self.highest[task] = max(fencing_token, self.highest.get(task, 0))
        self.calls.append(ReceivedCall(at, task, turn, fencing_token, node, accepted))
        return CallOutcome.DONE if accepted else CallOutcome.FENCED_OFF


class SimulatedNode:
    """A lease node and its task schedule, run on the virtual clock."""

    def __init__(
        self, simulated: SimulatedFleet, name: str, incarnation: int, now: int, draw: random.Random
    ) -> None:
        """Start one incarnation of a node."""
        self.simulated, self.name, self.incarnation, self.draw = simulated, name, incarnation, draw
        self.wall_offset_us = simulated.walls.get(name, 0)
        self.node = simulated.make_node(name, incarnation, now, draw)
        self.schedule = TaskSchedule()
        self.calls: list[tuple[int, TaskCall]] = []  # Each with its end time.
        self.now = now
        self.recalled: set[str] = set()

    def wall(self, now: int) -> int:
        """Return the Unix time by this node's clock, including its error."""
        return WALL_US + now - self.simulated.fleet.nodes[self.name].offset + self.wall_offset_us

    def next_at(self) -> int:
        """Return when the node, its schedule or a running call is next due."""
        times = [self.node.next_at(), *(at for at, _ in self.calls)]
        if (at := self.schedule.next_at()) is not None:
            times.append(at)
        return min(times)

    def receive(self, now: int, sender: str, message: tuple[int, Packet]) -> Sent:
        """Handle a packet, which carries the incarnation of its sender."""
        self.now = now
        incarnation, packet = message
        out = self.node.receive(now, self.wall(now), GatewayId(sender, incarnation), packet)
        return self._handle_events(now, out)

    def due(self, now: int) -> Sent:
        """Handle the timers and the calls that are due."""
        self.now = now
        out = self.node.due(now, self.wall(now))
        for end, call in [item for item in self.calls if item[0] <= now]:
            self.calls.remove((end, call))
            self._finish_call(now, call)
        self._apply_actions(now, self.schedule.due(now, self.wall(now), self._remaining_us))
        return self._handle_events(now, out)

    def drain(self, now: int) -> Sent:
        """Drain the node, as on SIGTERM."""
        self.now = now
        return self._handle_events(now, self.node.drain(now, self.wall(now)))

    def _remaining_us(self, lease: str) -> int:
        token = self.node.token(lease, lambda: self.now)
        return token.remaining_us() if token else 0

    def _finish_call(self, now: int, call: TaskCall) -> None:
        token = self.node.token(call.lease, lambda: now)
        outcome = CallOutcome.LATE
        if (
            token and token.number == call.fencing_token and token.valid()
        ) or self.simulated.skips_token_check:
            node = self.simulated.fleet.nodes[self.name]
            outcome = self.simulated.receiver.call(
                self.simulated.fleet.now,
                call.task,
                call.turn,
                call.fencing_token,
                f"{node.name}.{node.life}",
            )
            if outcome is CallOutcome.DONE and self.draw.random() < self.simulated.answer_loss:
                outcome = CallOutcome.UNKNOWN
        self._apply_actions(
            now, self.schedule.call_finished(now, self.wall(now), call.task, call.turn, outcome)
        )

    def _apply_actions(self, now: int, actions: list[ScheduleAction]) -> None:
        for one in actions:
            if isinstance(one, TaskCall):
                spec = self.simulated.specs[one.task]
                self.calls.append((now + int(self.draw.random() * spec.max_call_us / 2), one))
            elif isinstance(one, SendReport):
                self.node.report_progress(now, one.lease, one.progress)
            elif isinstance(one, CancelCall):
                self.calls = [item for item in self.calls if item[1].task != one.task]

    def _handle_events(self, now: int, out: list[OutgoingPacket]) -> Sent:
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
                self._apply_actions(now, self.schedule.lease_lost(event.lease))
            elif isinstance(event, ProgressConfirmed):
                self._apply_actions(
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
                return self._handle_events(now, out)
        return [(to, (self.incarnation, packet)) for to, packet in out]


class SimulatedFleet:
    """Voters and other gateways with their tasks, and a record of what happened."""

    def __init__(
        self,
        seed: str,
        voters: int = 3,
        others: int = 5,
        shards: int = 1,
        timing: Timing | None = None,
        specs: tuple[TaskSpec, ...] = (),
        link: Link | None = None,
        sizes: bool = False,
        start_within: int = SECOND_US,
    ) -> None:
        """Create voters and other gateways, with clock rates within the drift bound."""
        self.fleet = Fleet(seed, link)
        self.random = random.Random(f"{seed}:field")
        self.timing, self.shards = timing or Timing(), shards
        self.voters = tuple(f"v{n}" for n in range(voters))
        self.names = (*self.voters, *(f"a{n}" for n in range(others)))
        self.voter_set = VoterSet(1, self.voters)
        self.specs = {spec.name: spec for spec in specs}
        self.by_lease: dict[str, list[TaskSpec]] = {}
        for spec in specs:
            self.by_lease.setdefault(shard_of(spec.name, shards), []).append(spec)
        self.walls: dict[str, int] = {}
        self.receiver = Receiver()
        self.answer_loss = 0.0
        self.skips_token_check = False
        self.holders = HolderLog()
        self.make_node: Callable[[str, int, int, random.Random], LeaseNode] = self.plain_node
        self.fleet.watchers.append(self._check_holders)
        if sizes:
            encoder = msgspec.msgpack.Encoder()
            self.fleet.size = lambda message: len(encoder.encode(message[1])) + ENVELOPE_BYTES
        self._add_nodes(start_within)

    def _add_nodes(self, start_within: int) -> None:
        for name in self.names:
            rate = 1 + self.random.uniform(-0.5, 0.5) * self.timing.max_drift
            start = int(self.random.random() * start_within)
            self.fleet.add(name, self._make, rate, self.random.randrange(10**9), start)

    def _make(self, name: str, incarnation: int, now: int, draw: random.Random) -> SimulatedNode:
        return SimulatedNode(self, name, incarnation, now, draw)

    def plain_node(self, name: str, incarnation: int, now: int, draw: random.Random) -> LeaseNode:
        """Return a lease node as the gateway process creates it."""
        settings = NodeSettings(self.timing, self.shards)
        gateway = GatewayId(name, incarnation)
        return LeaseNode(gateway, settings, self.voter_set, draw.random, now)

    def _check_holders(self, at: int, node: Node) -> None:
        """Record the leases that a node holds by true time, after each of its steps."""
        claims: dict[str, Claim] = {}
        if isinstance(node.machine, SimulatedNode):
            held = node.machine.node.proposer.held(node.clock(at))
            claims = {claim.lease: claim for claim in held}
        self.holders.record(at, GatewayId(node.name, node.life), claims, node.when)

    @property
    def breaches(self) -> list[Breach]:
        """Return the safety violations so far."""
        return self.holders.breaches

    @property
    def gains(self) -> list[Gain]:
        """Return all lease acquisitions in order."""
        return self.holders.gains

    def holder(self, lease: str) -> str | None:
        """Return who holds a lease now, by true time."""
        return self.holders.holder(lease, self.fleet.now)

    def turn_counts(self, until: int, settle: int = 0) -> Counter[str]:
        """Count done, repeated and missed turns between ``settle`` and ``until`` (true us)."""
        done: Counter[tuple[str, int]] = Counter(
            (call.task, call.turn) for call in self.receiver.calls if call.accepted
        )
        total: Counter[str] = Counter()
        for spec in self.specs.values():
            for turn in range(spec.turn_at(WALL_US + settle) + 1, spec.turn_at(WALL_US + until)):
                times = done[spec.name, turn]
                total["turns"] += 1
                total["missed"] += times == 0
                total["repeated"] += max(0, times - 1)
        accepted = self._accepted()
        total["older accepted"] = sum(
            before.task == after.task and after.fencing_token < before.fencing_token
            for before, after in pairwise(accepted)
        )
        total["older refused"] = len(self.receiver.calls) - len(accepted)
        return total

    def _accepted(self) -> list[ReceivedCall]:
        accepted = (call for call in self.receiver.calls if call.accepted)
        return sorted(accepted, key=lambda call: (call.task, call.at))
