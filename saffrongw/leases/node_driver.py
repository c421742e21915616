"""Drives a lease node: its packets, its timer, its events, and the tasks under its leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from saffrongw.channel.socket import DatagramChannel

from .claim import FencingToken, LeaseGained, LeaseLost
from .clock import LeaseClock
from .condition_log import ConditionLog
from .gateway_id import GatewayId
from .messages import OutgoingPacket, Packet
from .node import LeaseNode, NodeEvent
from .progress_reports import ProgressConfirmed
from .table import LeasesTable
from .task_client import CallResult
from .task_runner import TaskRunner
from .task_schedule import (
    CallOutcome,
    CancelCall,
    ScheduleAction,
    SendReport,
    TaskCall,
    TaskSchedule,
)
from .timing import SECOND_US
from .token_reservation import TokenReservation

# The kind of lease packets on the channel.
DATAGRAM_KIND = 1
# Leases for which a receiver's higher token is remembered.
MAX_FENCED_LEASES = 1_024
# Added to each timer delay, so that the timer does not fire just before the next step is due.
TIMER_SLACK_S = 0.000_5

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


class NodeDriver:
    """The I/O of one lease node; all methods run on the event loop."""

    def __init__(
        self,
        node: LeaseNode,
        channel: DatagramChannel,
        clock: LeaseClock,
        loop: asyncio.AbstractEventLoop,
        overloaded: Callable[[], bool],
        reservation: TokenReservation | None,
    ) -> None:
        """Connect a node to its channel, clock and event loop; ``start`` makes it active."""
        self.node = node
        self.channel = channel
        self.clock = clock
        self.loop = loop
        self.overloaded = overloaded
        self.reservation = reservation
        self.schedule = TaskSchedule()
        holder = f"{node.name}/{node.gateway.incarnation:x}"
        self.runner = TaskRunner(loop, holder, self.token, self._call_ended)
        self.conditions = ConditionLog()
        self.table: LeasesTable | None = None
        self.malformed_count = 0
        self.closing = False
        # Another process of this gateway still votes: nothing is due here.
        self.awaits_predecessor = False
        # Leases to release as soon as no task is in the middle of a turn.
        self._recalled: set[str] = set()
        # By lease: when a receiver last reported a higher token.
        self._fenced_us: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self, table: LeasesTable, awaits_predecessor: bool = False) -> None:
        """Start to receive packets and to take part in the lease set.

        In a hot restart the node takes part only from ``predecessor_ended`` on.
        """
        self._configure(table)
        self.channel.handlers[DATAGRAM_KIND] = self.receive
        self.awaits_predecessor = awaits_predecessor
        if not awaits_predecessor:
            self.wake()

    def predecessor_ended(self, reserved_token: int) -> None:
        """Take part from now on, as nobody else votes in this gateway's name any more.

        The predecessor may have granted anything until now, under tokens up to ``reserved_token``.
        """
        now = self.clock.now()
        self.awaits_predecessor = False
        if acceptor := self.node.acceptor:
            acceptor.restart_silence(now)
            acceptor.token_floor = max(acceptor.token_floor, reserved_token)
        self.node.announce_now(now)
        self.wake()

    def _configure(self, table: LeasesTable) -> None:
        self.table = table
        self.runner.configure(table.task, table.in_flight)

    async def close(self) -> None:
        """Release all leases and end all calls."""
        self.drain(True)
        self.closing = True
        if self._timer:
            self._timer.cancel()
        await self.runner.close()

    def drain(self, draining: bool) -> None:
        """Start draining, which releases all leases at once, or end it."""
        if self.node.draining == draining:
            return
        now = self.clock.now()
        if draining:
            self.runner.cancel_abandonable()
            self.process(self.node.drain(now, self.clock.wall(now)))
        else:
            self.node.draining = False
            self.node.announce_now(now)
            self.wake()

    def reconfigure(self, table: LeasesTable) -> None:
        """Apply a reloaded table: voters, tasks, and whether this gateway is a candidate."""
        now = self.clock.now()
        self._configure(table)
        self.node.is_candidate = table.stand
        self.node.change_voter_set(now, table.voter_set, table.former_sets)
        self._carry_out(self.schedule.replace_specs(now, table.by_lease()))
        # Tasks that are new under a held lease start without any known progress.
        for claim in self.node.proposer.held(now):
            specs = [
                spec
                for spec in table.by_lease().get(claim.lease, [])
                if spec.name not in self.schedule.tasks
            ]
            self.schedule.lease_gained(
                now, claim.lease, claim.fencing_token, specs, {}, self.clock.wall(now)
            )
        if not table.stand:
            for claim in self.node.proposer.held(now):
                self._recalled.add(claim.lease)
        self.wake()

    def silent_for_us(self) -> int:
        """Return how much longer this voter is silent at least; 0 if it votes or is no voter."""
        acceptor = self.node.acceptor
        if acceptor is None:
            return 0
        if self.awaits_predecessor:
            return self.node.timing.silence_us
        return acceptor.silent_for_us(self.clock.now())

    # -- the node ----------------------------------------------------------------------------------

    def receive(self, sender: str, incarnation: int, payload: bytes) -> None:
        """Handle the payload of an authenticated datagram."""
        try:
            packet = _decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.malformed_count += 1
            return
        now = self.clock.now()
        # An overloaded gateway accepts no offers, and announces that it is overloaded.
        self.node.overloaded = self.overloaded()
        self.process(
            self.node.receive(now, self.clock.wall(now), GatewayId(sender, incarnation), packet)
        )

    def wake(self) -> None:
        """Do what is due, and set the timer."""
        if self.awaits_predecessor:
            return
        now = self.clock.now()
        self.node.overloaded = self.overloaded()
        self.process(self.node.due(now, self.clock.wall(now)))

    def process(self, packets: list[OutgoingPacket]) -> None:
        """Send packets, handle the node's events, run the schedule, and set the timer."""
        while True:
            for receiver, packet in packets:
                self.channel.send(receiver, DATAGRAM_KIND, _encode(packet))
            events, self.node.events = self.node.events, []
            for event in events:
                self._handle_event(event)
            now = self.clock.now()
            wall = self.clock.wall(now)
            self._carry_out(self.schedule.due(now, wall, self.remaining_us))
            packets = self._release_recalled(now, wall)
            if not packets and not self.node.events:
                break
        error = self.reservation.error if self.reservation else ""
        self.conditions.check(now, self.node, error)
        if self.reservation:
            self.reservation.reserve_ahead(self.node.acceptor)
        if not self.closing and not self.awaits_predecessor:
            self._set_timer()

    def _set_timer(self) -> None:
        at = self.node.next_at()
        if (schedule_at := self.schedule.next_at()) is not None:
            at = min(at, schedule_at)
        if self._timer:
            self._timer.cancel()
        delay_s = max(0.0, (at - self.clock.now()) / SECOND_US) + TIMER_SLACK_S
        self._timer = self.loop.call_later(delay_s, self.wake)

    def _release_recalled(self, now: int, wall: int) -> list[OutgoingPacket]:
        packets: list[OutgoingPacket] = []
        for lease in list(self._recalled):
            if self.schedule.idle(lease):
                self._recalled.discard(lease)
                packets += self.node.release(
                    now, wall, lease, "another is to hold it", self.node.timing.duration_us
                )
        return packets

    def _handle_event(self, event: NodeEvent) -> None:
        now = self.clock.now()
        if isinstance(event, LeaseGained):
            self._recalled.discard(event.lease)
            specs = self.table.by_lease().get(event.lease, []) if self.table else []
            self.schedule.lease_gained(
                now, event.lease, event.fencing_token, specs, event.progress, event.memory_since_us
            )
        elif isinstance(event, LeaseLost):
            self._recalled.discard(event.lease)
            self._carry_out(self.schedule.lease_lost(event.lease))
        elif isinstance(event, ProgressConfirmed):
            self._carry_out(
                self.schedule.progress_confirmed(
                    now, event.lease, event.progress, self.remaining_us
                )
            )
        else:
            self._recalled.add(event.lease)

    # -- leases and tasks --------------------------------------------------------------------------

    def token(self, lease: str) -> FencingToken | None:
        """Return the fencing token of a held lease; None if it is not held."""
        return self.node.token(lease, self.clock.now)

    def remaining_us(self, lease: str) -> int:
        """Return how much longer a lease is held; 0 if it is not held."""
        token = self.token(lease)
        return token.remaining_us() if token else 0

    def is_holding(self, lease: str) -> bool:
        """Return whether this gateway holds a lease now."""
        held = self.node.proposer.held(self.clock.now())
        return any(claim.lease == lease for claim in held)

    def release(self, lease: str, reason: str, avoid_us: int) -> None:
        """Release a lease at once, and propose for it again only after ``avoid_us``."""
        now = self.clock.now()
        self.process(self.node.release(now, self.clock.wall(now), lease, reason, avoid_us))

    def recall(self, lease: str) -> None:
        """Release a lease as soon as no task is in the middle of a turn."""
        self._recalled.add(lease)

    def fenced_off(self, lease: str, seen_token: int) -> None:
        """Release a lease, and acquire it again under a token above one a receiver has seen.

        If that happens again within two lease durations, the receiver does not name its token or
        rejects all tokens: the lease is left to other gateways for one duration.
        """
        self.node.proposer.require_token_above(lease, seen_token)
        now, duration_us = self.clock.now(), self.node.timing.duration_us
        last_us = self._fenced_us.get(lease)
        fenced_before = last_us is not None and now - last_us < 2 * duration_us
        if len(self._fenced_us) < MAX_FENCED_LEASES or lease in self._fenced_us:
            self._fenced_us[lease] = now
        reason = "a receiver has seen a higher number"
        self.release(lease, reason, duration_us if fenced_before else 0)

    def _carry_out(self, actions: list[ScheduleAction]) -> None:
        for action in actions:
            if isinstance(action, TaskCall):
                self.runner.enqueue(action)
            elif isinstance(action, SendReport):
                self.node.report_progress(self.clock.now(), action.lease, action.progress)
            elif isinstance(action, CancelCall):
                self.runner.cancel(action.task)
        self.runner.start_next()

    def _call_ended(self, call: TaskCall, result: CallResult | None) -> None:
        if result is not None:
            now = self.clock.now()
            self._carry_out(
                self.schedule.call_finished(
                    now, self.clock.wall(now), call.task, call.turn, result.outcome
                )
            )
            if result.outcome is CallOutcome.FENCED_OFF:
                self.fenced_off(call.lease, result.seen_token)
        if not self.closing:
            self.runner.start_next()
            self.wake()
