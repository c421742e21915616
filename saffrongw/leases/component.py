"""The part that ``[leases]`` switches on: a member on the channel, its tasks' calls, what operators see and ask."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from saffrongw.channel.component import ChannelComponent
from saffrongw.gateway.config import parse_address
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.extensions import AdminCommand

from .candidates import shard_of
from .messages import LARGEST, Packet
from .node import Confirmed, LeaseNode, Packets
from .proposer import Gained, Lost, Token, Wanted
from .store import BLOCK, LeaseStore
from .suspensions import SuspensionError
from .table import LeasesTable, TaskTable
from .task_client import Ended, post
from .task_schedule import Call, Cancel, Do, Outcome, Say, TaskSchedule
from .timing import SECOND

log = logging.getLogger(__name__)

KIND = 1  # on the channel
QUEUE_MOST = 4_096  # calls that wait for one of ``in_flight`` to end
SAY_EVERY = 60 * SECOND  # between two lines in the log about one thing

_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Packet).decode


def clock() -> int:
    """Us of a clock that no one sets and that goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


class LeaseLeaderGuard:
    """``SoleDuty`` under a lease of its own name."""

    def __init__(self, part: LeasesComponent, lease: str) -> None:
        self.part, self.lease = part, lease

    def number(self) -> int:
        """The number, 0 where it is not ours."""
        token = self.part.token(self.lease)
        return token.number if token and token.valid() else 0

    def valid(self, number: int) -> bool:
        """Whether it still is, under this number."""
        return number > 0 and self.number() == number

    def above(self, number: int) -> None:
        """Ours has to be higher: give it back and get it anew."""
        if self.part.loop:
            self.part.loop.call_soon_threadsafe(self.part.outrun, self.lease, number)


class LeasesComponent:
    """Service, figures, calls and duties."""

    def __init__(self, table: LeasesTable, channel: ChannelComponent) -> None:
        self.table, self.channel = table, channel
        self.loop: asyncio.AbstractEventLoop | None = None
        self.driver: Driver | None = None
        self.member: LeaseNode | None = None
        self.clock: Callable[[], int] = clock
        self.wall_base = time.time_ns() // 1_000 - clock()
        self.turns = TaskSchedule()
        self.tasks: dict[str, TaskTable] = {one.name: one for one in table.task}
        self.named: list[str] = []
        self.timer: asyncio.TimerHandle | None = None
        self.running: dict[str, asyncio.Task] = {}
        self.queue: deque[Call] = deque()
        self.wanted: set[str] = set()
        self.outran: dict[str, int] = {}  # by lease: when a receiver last had a higher number
        self.ended: dict[
            str, tuple[int, Ended]
        ] = {}  # by task: turn, and how our last call of it went
        self.said: dict[str, int] = {}
        self.store = LeaseStore(Path(table.state_dir)) if table.state_dir else None
        self.reserving = False
        self.unstored = ""
        self.closing = False
        self.counts = {"malformed": 0, "queue_full": 0}

    # -- its life -----------------------------------------------------------------------------------------------------

    def wall(self, now: int) -> int:
        """Unix us as this process has it: read once, and then by the other clock, so that it never steps."""
        return self.wall_base + now

    def duty(self, lease: str) -> LeaseLeaderGuard:
        """A duty that a part has; asked for before the start."""
        self.named.append(lease)
        return LeaseLeaderGuard(self, lease)

    async def start(self, driver: Driver) -> None:
        """Stand, and vote if this gateway is a voter."""
        self.driver, self.loop = driver, driver.loop
        table, channel = self.table, self.channel
        floor, reserved = 0, LARGEST
        if self.store:
            floor = reserved = await self.loop.run_in_executor(self.store.pool, self.store.open)
        now = self.clock()
        self.member = LeaseNode(
            channel.table.name,
            channel.life,
            table.own,
            table.timing,
            table.shards,
            random.SystemRandom().random,
            now,
            table.formers,
            tuple(self.named),
            floor,
            reserved,
            table.stand,
        )
        self._place(table)
        channel.channel.handlers[KIND] = self._heard
        self._turn()

    def _place(self, table: LeasesTable) -> None:
        self.channel.channel.place(
            {name: parse_address(at) for name, at in table.addresses.items()}
        )

    async def stop(self) -> None:
        """Give back what is left, end calls."""
        self.drain(True)
        self.closing = True
        if self.timer:
            self.timer.cancel()
        for task in self.running.values():
            task.cancel()
        await asyncio.gather(*self.running.values(), return_exceptions=True)
        if self.store:
            await self.loop.run_in_executor(self.store.pool, self.store.close)
            self.store.pool.shutdown(wait=False)

    def drain(self, on: bool) -> None:
        """Draining has begun: others take over at once. Or it was taken back."""
        if self.member is None or self.member.leaving == on:
            return
        now = self.clock()
        if on:
            for name in list(self.running):
                if self.tasks.get(name) is None or self.tasks[name].on_loss == "abandon":
                    self.running[name].cancel()
            self._after(self.member.leave(now, self.wall(now)))
        else:
            self.member.leaving = False
            self.member.stand_now(now)
            self._turn()

    def change(self, new: LeasesTable) -> Callable[[], None]:
        """Other voters, tasks or standing; the rest waits for the next start (``ValueError``)."""
        old = self.table
        for name in ("span_s", "drift", "shards", "state_dir"):
            if getattr(new, name) != getattr(old, name):
                raise ValueError(f"leases.{name} can't change in service")
        if new.set < old.set:
            raise ValueError(f"leases.set goes back from {old.set} to {new.set}")
        if new.set == old.set and new.own != old.own:
            raise ValueError(
                "leases.voter has changed: give the new ones a higher leases.set, and name the former"
            )

        def put_in_force() -> None:
            now = self.clock()
            self.table = new
            self.tasks = {one.name: one for one in new.task}
            self._place(new)
            self.member.asks = new.stand
            self.member.change(now, new.own, new.formers)
            self._do(self.turns.change(now, new.by_lease()))
            # A task that is new under a lease that we hold begins with what is known of it: nothing.
            for claim in self.member.asker.held(now):
                specs = [
                    s for s in new.by_lease().get(claim.lease, []) if s.name not in self.turns.tasks
                ]
                self.turns.gained(
                    now, self.wall(now), claim.lease, claim.number, specs, {}, self.wall(now)
                )
            if not new.stand:
                for claim in self.member.asker.held(now):
                    self.wanted.add(claim.lease)
            self._turn()

        return put_in_force

    # -- what drives the member ---------------------------------------------------------------------------------------

    def _heard(self, sender: str, life: int, payload: bytes) -> None:
        try:
            packet = _decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.counts["malformed"] += 1
            return
        now = self.clock()
        self.member.pressed = (
            self.driver.is_overloaded()
        )  # then it takes nothing that it is offered, and says so
        self._after(self.member.receive(now, self.wall(now), sender, life, packet))

    def _turn(self) -> None:
        """All whose time has come, and when to look next."""
        now = self.clock()
        self.member.pressed = self.driver.is_overloaded()
        self._after(self.member.due(now, self.wall(now)))

    def _after(self, packets: Packets) -> None:
        """Send, tell tasks what happened, and look again when something is due."""
        while True:
            for to, packet in packets:
                self.channel.channel.send(to, KIND, _encode(packet))
            packets = []
            events, self.member.events = self.member.events, []
            for event in events:
                self._event(event)
            now = self.clock()
            self._do(self.turns.due(now, self.wall(now), self._left))
            for lease in list(self.wanted):
                if self.turns.idle(lease):
                    self.wanted.discard(lease)
                    span = self.member.timing.span
                    packets += self.member.give_back(
                        now, self.wall(now), lease, "another is to hold it", span
                    )
            if not packets and not self.member.events:
                break
        self._complain(now)
        self._reserve()
        if not self.closing:
            at = self.member.next_at()
            if (soonest := self.turns.next_at()) is not None:
                at = min(at, soonest)
            if self.timer:
                self.timer.cancel()
            self.timer = self.loop.call_later(
                max(0.0, (at - self.clock()) / 1e6) + 0.000_5, self._turn
            )

    def _event(self, event: Gained | Lost | Wanted | Confirmed) -> None:
        now = self.clock()
        if isinstance(event, Gained):
            self.wanted.discard(event.lease)
            specs = self.table.by_lease().get(event.lease, [])
            self.turns.gained(
                now, self.wall(now), event.lease, event.number, specs, event.notes, event.known_from
            )
        elif isinstance(event, Lost):
            self.wanted.discard(event.lease)
            self._do(self.turns.lost(event.lease))
        elif isinstance(event, Confirmed):
            self._do(self.turns.confirmed(now, event.lease, event.notes, self._left))
        else:
            self.wanted.add(event.lease)

    def _complain(self, now: int) -> None:
        """Lines for what an operator has to mend."""
        member = self.member
        if member.asker.stopped:
            self._say(now, "clock", f"nothing is held or asked for: {member.asker.stopped}")
        for name in sorted(member.rates.wrong):
            least, most = member.rates.rate.get(name, (0.0, 0.0))
            self._say(
                now,
                f"clock {name}",
                f"voter {name}: its clock runs at {least:.4f} to {most:.4f} of ours: not believed",
            )
        if member.other_set > member.own.number:
            text = f"this gateway's file has set {member.own.number} of voters, others have {member.other_set}"
            self._say(now, "set", text)
        if member.other_shards:
            self._say(
                now,
                "shards",
                f"voters have {member.other_shards} shards, this gateway {self.table.shards}",
            )
        if self.unstored:
            self._say(
                now,
                "store",
                f"numbers can't be reserved, so nothing is granted here: {self.unstored}",
            )

    def _say(self, now: int, about: str, text: str) -> None:
        if now - self.said.get(about, -SAY_EVERY) >= SAY_EVERY and len(self.said) < 64:
            self.said[about] = now
            log.warning("leases: %s", text)

    def _reserve(self) -> None:
        """Have the disk vouch for more numbers, well before they are needed."""
        voter = self.member.voter
        if not self.store or not voter or self.reserving:
            return
        used = max([voter.floor, *(entry.mark for entry in voter.entries.values())])
        used = max(used, self.wall(self.clock()) // 1_000)
        if voter.reserved >= used + BLOCK // 2:
            return
        self.reserving = True
        up_to = used + BLOCK

        def done(future) -> None:
            self.reserving = False
            if wrong := future.exception():
                self.unstored = str(wrong)
                return
            self.unstored = ""
            voter.reserved = max(voter.reserved, future.result())

        work = self.loop.run_in_executor(self.store.pool, self.store.reserve, up_to)
        work.add_done_callback(done)

    # -- tasks --------------------------------------------------------------------------------------------------------

    def token(self, lease: str) -> Token | None:
        """What a task acts under; None: the lease is not ours."""
        return self.member.token(lease, self.clock) if self.member else None

    def _left(self, lease: str) -> int:
        token = self.token(lease)
        return token.left() if token else 0

    def outrun(self, lease: str, number: int) -> None:
        """A receiver has seen a higher number than ours: get the lease anew, above it. Again so soon, and the receiver
        does not tell its number or refuses everything: leave it to others for a span."""
        self.member.asker.above(lease, number)
        now, span = self.clock(), self.member.timing.span
        shun = span if now - self.outran.get(lease, -2 * span) < 2 * span else 0
        if len(self.outran) < 1_024 or lease in self.outran:
            self.outran[lease] = now
        why = "a receiver has seen a higher number"
        self._after(self.member.give_back(now, self.wall(now), lease, why, shun))

    def _do(self, todo: list[Do]) -> None:
        for one in todo:
            if isinstance(one, Call):
                if len(self.queue) >= QUEUE_MOST:
                    self.counts["queue_full"] += 1
                self.queue.append(one)
            elif isinstance(one, Say):
                self.member.tell(self.clock(), one.lease, one.notes)
            elif isinstance(one, Cancel):
                self.queue = deque(call for call in self.queue if call.task != one.task)
                if running := self.running.get(one.task):
                    running.cancel()
        self._next()

    def _next(self) -> None:
        """Begin calls that wait, while there is room."""
        while self.queue and len(self.running) < self.table.in_flight:
            call = self.queue.popleft()
            if call.task in self.running:  # an abandoned one is still on its way out
                self.queue.append(call)
                return
            task = self.loop.create_task(self._call(call))
            self.running[call.task] = task
            task.add_done_callback(lambda done, call=call: self._called(call, done))

    async def _call(self, call: Call) -> Ended:
        table, token = self.tasks.get(call.task), self.token(call.lease)
        if table is None or token is None or token.number != call.number:
            return Ended(Outcome.LATE, detail="the lease was lost before the call began")
        holder = f"{self.member.name}/{self.member.life:x}"
        within = table.needs_s
        if table.on_loss == "abandon":
            within = min(within, token.left() / 1e6)
        return await post(table.call, call, holder, token, within)

    def _called(self, call: Call, done: asyncio.Task) -> None:
        self.running.pop(call.task, None)
        if not done.cancelled():
            if wrong := done.exception():
                log.error("leases: a call of %s failed", call.task, exc_info=wrong)
            ended = done.result() if not wrong else Ended(Outcome.UNKNOWN, detail=repr(wrong))
            self.ended[call.task] = call.turn, ended
            while len(self.ended) > QUEUE_MOST:
                del self.ended[next(iter(self.ended))]
            now = self.clock()
            self._do(self.turns.finished(now, self.wall(now), call.task, call.turn, ended.outcome))
            if ended.outcome is Outcome.OUTRUN:
                self.outrun(call.lease, ended.seen)
        if not self.closing:
            self._next()
            self._turn()

    # -- what operators see and ask -----------------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        """Counts since the start; spans in ms, -1 where there is nothing to tell."""
        member, now = self.member, self.clock()
        held = member.asker.held(now)
        since = member.since_majority(now)
        oldest = max(
            (now - (claim.held_until - member.timing.held) for claim in held), default=-1_000
        )
        found = [
            ("leases.held", len(held)),
            ("leases.oldest_confirmation_ms", oldest // 1_000),
            ("leases.since_majority_ms", since // 1_000 if since is not None else -1),
            ("leases.our_clock_is_wrong", int(bool(member.asker.stopped))),
            ("leases.voters_not_believed", len(member.rates.wrong)),
            ("leases.set", member.own.number),
            ("leases.set_seen", max(member.other_set, member.own.number)),
            ("leases.set_is_sealed", int(member.succession.done())),
            ("leases.holds", len(member.holds.all(self.wall(now)))),
            *(
                (f"leases.{name.replace(' ', '_')}", count)
                for name, count in member.asker.counts.items()
            ),
            *((f"leases.{name}", count) for name, count in member.counts.items()),
            *((f"leases.{name}", count) for name, count in self.counts.items()),
            *((f"tasks.{name}", count) for name, count in self.turns.counts.items()),
            ("tasks.running", len(self.running)),
            ("tasks.waiting", len(self.queue)),
        ]
        if voter := member.voter:
            silent = 0 if voter.known_from else max(0, voter.silent_until - now)
            found += [
                ("voter.silent_ms", silent // 1_000),
                ("voter.standing", len(voter.standing.all)),
                ("voter.turned_away", voter.standing.turned_away),
                *((f"voter.{name}", count) for name, count in voter.counts.items()),
            ]
        return found

    def state(self) -> dict:
        """All that this gateway knows, in plain types."""
        member, now = self.member, self.clock()
        wall = self.wall(now)
        voter = member.voter
        by_lease = self.table.by_lease()
        names = {name: [spec.name for spec in some] for name, some in by_lease.items()}
        rows = {}
        if voter:
            for lease, holder, number, left in voter.rows(now):
                rows[lease] = {
                    "lease": lease,
                    "holder": holder,
                    "number": number,
                    "left_ms": left // 1_000,
                }
        for claim in member.asker.held(now):
            rows[claim.lease] = {
                "lease": claim.lease,
                "holder": member.name,
                "number": claim.number,
                "left_ms": (claim.held_until - now) // 1_000,
            }
        for lease, row in rows.items():
            row["tasks"] = names.get(lease, [])
            hold = member.holds.on(lease, wall)
            row["hold"] = hold and {"until": hold.until, "who": hold.who, "why": hold.why}
        tasks = []
        for lease, specs in by_lease.items():
            for spec in specs:
                task = self.turns.tasks.get(spec.name)
                last = task.last if task else None
                ended = self.ended.get(spec.name)
                tasks.append(
                    {
                        "task": spec.name,
                        "lease": lease,
                        "ours": task is not None,
                        "phase": task.phase.name.lower() if task else "",
                        "turn_now": spec.turn_at(wall),
                        "last_turn": last.turn if last else None,
                        "last_number": last.number if last else None,
                        "last_end": ended[1].outcome.value if ended else "",
                        "detail": ended[1].detail if ended else "",
                    }
                )
        since = member.since_majority(now)
        return {
            "gateway": member.name,
            "life": f"{member.life:x}",
            "set": member.own.number,
            "set_seen": max(member.other_set, member.own.number),
            "sealed": member.succession.done(),
            "voters": list(member.own.voters),
            "is_voter": voter is not None,
            "silent_ms": max(0, voter.silent_until - now) // 1_000
            if voter and not voter.known_from
            else 0,
            "since_majority_ms": since // 1_000 if since is not None else None,
            "standing": sorted(voter.standing.all) if voter else [],
            "clock": member.asker.stopped,
            "not_believed": sorted(member.rates.wrong),
            "given_back": member.asker.counts["given back"],
            "held": sorted(claim.lease for claim in member.asker.held(now)),
            "leases": [rows[lease] for lease in sorted(rows)],
            "tasks": tasks,
            "holds": [
                {"lease": h.lease, "until": h.until, "who": h.who, "why": h.why}
                for h in member.holds.all(wall)
                if h.until * 1e6 > wall
            ],
        }

    def calls(self) -> dict[bytes, AdminCommand]:
        """At the operators' address."""
        return {
            b"/admin/leases": (
                b"GET",
                lambda body: (200, json.dumps(self.state()).encode() + b"\n"),
            ),
            b"/admin/leases/release": (b"POST", self._release),
            b"/admin/leases/hold": (b"POST", self._hold),
        }

    def _named(self, text: str) -> str | None:
        """The lease that an operator means: by its own name or by a task's."""
        if text in self.tasks:
            return shard_of(text, self.table.shards)
        voter = self.member.voter
        known = voter.standing.known(text) if voter else False
        return text if known or text in self.member.shard_names or text in self.named else None

    def _release(self, body: bytes) -> tuple[int, bytes]:
        text = body.decode(errors="replace").strip()
        lease = self._named(text)
        if lease is None:
            return 404, f"no lease or task is called {text!r}\n".encode()
        now = self.clock()
        if not any(claim.lease == lease for claim in self.member.asker.held(now)):
            row = next((r for r in self.state()["leases"] if r["lease"] == lease), None)
            other = row["holder"] if row and row["holder"] else "nobody that this gateway knows of"
            return 409, f"{lease}: held by {other}, not by this gateway\n".encode()
        span = 2 * self.member.timing.span
        self._after(
            self.member.give_back(now, self.wall(now), lease, "an operator released it", span)
        )
        return 200, f"{lease}: given back\n".encode()

    def _hold(self, body: bytes) -> tuple[int, bytes]:
        try:
            asked = json.loads(body)
            text, span = str(asked["lease"]), float(asked["for_s"])
            who, why = str(asked["who"]), str(asked.get("why", ""))
            if not 0 <= span < 1e9:
                raise ValueError("for_s is no span")
        except (ValueError, KeyError, TypeError, AttributeError) as wrong:
            return 400, f"not a hold: {wrong!r}\n".encode()
        lease = self._named(text)
        if lease is None:
            return 404, f"no lease or task is called {text!r}\n".encode()
        now = self.clock()
        at = self.wall(now) / 1e6
        try:
            self.member.holds.put(lease, at + span if span else 0.0, who, why, at)
        except SuspensionError as wrong:
            return 400, f"{wrong}\n".encode()
        self.member.stand_now(now)
        if span and any(claim.lease == lease for claim in self.member.asker.held(now)):
            self.wanted.add(lease)
        self._turn()
        told = f"on hold for {span:g} s" if span else "no longer on hold"
        return 200, f"{lease}: {told}; the voters are told\n".encode()
