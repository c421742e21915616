"""One gateway's whole part in leases: asker, voter if it is one, and what binds both. Pure.

Packets come in with the name and life of whoever signed them and go out by name; time comes as ``now`` (us of a clock
that also counts while the machine sleeps) and ``wall`` (Unix us, never stepping). What happened to leases is read from
``events``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .acceptor import Acceptor
from .candidates import Candidates
from .clock_drift import ClockDriftEstimates, Reading
from .messages import (
    LARGEST,
    NAMED_MOST,
    Accept,
    Free,
    Message,
    Note,
    Packet,
    Prepare,
    Promise,
    Propose,
    Refuse,
    Release,
    Roster,
    Seal,
    Sealed,
    Stand,
    Tell,
    Told,
)
from .proposer import Claim, Event, Out, Proposer, Stage, Token, Wanted
from .spec import NOTES_MOST
from .suspensions import Suspensions
from .timing import Timing
from .voter_set import Succession, VoterSet

FOR_VOTERS = (Prepare, Propose, Release, Tell, Stand)
MESSAGES_MOST = 24  # in one packet
SHUNNED_MOST = 256

Packets = list[tuple[str, Packet]]


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A majority has noted what was told."""

    lease: str
    notes: tuple[Note, ...]


@dataclass(slots=True)
class Telling:
    """Notes of one lease on their way."""

    tag: int
    notes: tuple[Note, ...]
    at: int
    heard: set[str] = field(default_factory=set)
    until: int = 0
    waiting: tuple[Note, ...] = ()  # told meanwhile: they go next


@dataclass(slots=True)
class Place:
    """How we stand with one voter."""

    at: int  # when to tell it again
    tries: int = 0
    heard: int = 0  # by our clock
    clock: int = 0  # its own, as it was heard then


class LeaseNode:
    """A life of one gateway."""

    def __init__(
        self,
        name: str,
        life: int,
        own: VoterSet,
        timing: Timing,
        shards: int,
        draw: Callable[[], float],
        now: int,
        former: tuple[VoterSet, ...] = (),
        named: tuple[str, ...] = (),
        floor: int = 0,
        reserved: int = LARGEST,
        asks: bool = True,
    ) -> None:
        self.name, self.life, self.timing, self.shards, self.draw = name, life, timing, shards, draw
        self.named, self.asks = named[:NAMED_MOST], asks
        self.shard_names = frozenset(Candidates(shards).shard_names)
        self.holds = Suspensions()
        self.rates = ClockDriftEstimates(timing)
        self.asker = Proposer(name, life, own.voters, timing, draw)
        self.voter: Acceptor | None = None
        self.floor, self.reserved = floor, reserved
        self.pressed = self.leaving = False
        self.events: list[Event | Confirmed] = []
        self.tellings: dict[str, Telling] = {}
        self.tags = 0
        self.stands: dict[str, Place] = {}
        self.moves: dict[str, set[str]] = {}  # by lease: voters that would have another hold it
        self.shunned: dict[str, int] = {}  # leases that we do not ask for until then
        self.other_set = 0  # the highest set that another one named, and is not ours
        self.other_shards = 0
        self.counts = {"from_other_sets": 0, "strange": 0}
        self.own = VoterSet(-1, ())
        self.succession = Succession(own)
        self.change(now, own, former)

    # -- settings --------------------------------------------------------------------------------------------------

    def change(self, now: int, own: VoterSet, former: tuple[VoterSet, ...]) -> None:
        """Another set of voters, or the first one."""
        if own == self.own:
            self.succession.former = former
            return
        self.own, self.succession = own, Succession(own, former)
        self.asker.change_voters(now, own.voters)
        self.rates.forget_but(own.voters)
        self.moves.clear()
        self.stands = {
            voter: Place(now + int(self.draw() * min(1_000_000, self.timing.span // 2)))
            for voter in own.voters
        }
        if self.name not in own.voters:
            self.voter = None
        elif self.voter is None:
            standing = Candidates(self.shards)
            self.voter = Acceptor(
                self.name, self.timing, standing, self.holds, now, self.floor, self.reserved
            )
        else:
            self.voter.be_silent(now)
        self.succession.told(self.name, own.number)

    def stand_now(self, now: int) -> None:
        """What we tell the voters of ourselves has changed."""
        for stand in self.stands.values():
            stand.at = now

    # -- leases ----------------------------------------------------------------------------------------------------

    def token(self, lease: str, clock: Callable[[], int]) -> Token | None:
        """See ``Asker.token``."""
        return self.asker.token(lease, clock)

    def tell(self, now: int, lease: str, notes: tuple[Note, ...]) -> None:
        """Have the voters note this; ``Confirmed`` comes when a majority has."""
        telling = self.tellings.get(lease)
        if telling is not None:
            telling.waiting = (*telling.waiting, *notes)[-NOTES_MOST:]
            return
        self.tags += 1
        self.tellings[lease] = Telling(self.tags, notes, now, until=now + self.timing.span)

    def give_back(self, now: int, wall: int, lease: str, why: str, shun: int = 0) -> Packets:
        """Use a lease no more; not asked for again for ``shun`` us."""
        if shun:
            self.shunned[lease] = now + shun
            while len(self.shunned) > SHUNNED_MOST:
                del self.shunned[next(iter(self.shunned))]
        self.moves.pop(lease, None)
        return self._out(now, wall, self.asker.give_back(now, lease, why))

    def leave(self, now: int, wall: int) -> Packets:
        """Stand no more and give all back: others take over at once."""
        self.leaving = True
        out = [*self.asker.give_all_back(now, "we drain")]
        out = [
            (v, self._stand(now, wall, 0)) for v in self.own.voters
        ] + out  # first that we are not offered them again
        return self._out(now, wall, out)

    # -- time ------------------------------------------------------------------------------------------------------

    def next_at(self) -> int:
        """When ``due`` has something to do, at the latest."""
        times = (
            [stand.at for stand in self.stands.values()] if self.asks and not self.leaving else []
        )
        times += [telling.at for telling in self.tellings.values()]
        if (at := self.asker.next_at()) is not None:
            times.append(at)
        if self.voter:
            times.append(self.voter.next_at() if self.succession.done() else self.succession.ask_at)
        return min(times, default=1 << 62)

    def due(self, now: int, wall: int) -> Packets:
        """All whose time has come."""
        out = self.asker.due(now)
        if self.asks and not self.leaving:
            out += self._due_stands(now, wall)
        for lease, telling in list(self.tellings.items()):
            if telling.at <= now:
                out += self._tell_again(now, lease, telling)
        if self.voter:
            if self.succession.done():
                out += self.voter.due(now, wall)
            else:
                out += [(name, Seal(self.own.number)) for name in self.succession.due(now)]
        return self._out(now, wall, out)

    def _due_stands(self, now: int, wall: int) -> Out:
        out: Out = []
        for voter, stand in self.stands.items():
            if stand.at <= now:
                out.append((voter, self._stand(now, wall, stand.clock)))
                wait = min(
                    self.timing.stand_every, self.timing.again_after * 2 ** min(stand.tries, 12)
                )
                stand.at = now + int(wait * (1 + self.draw()))
                stand.tries += 1
        return out

    def _stand(self, now: int, wall: int, heard: int) -> Stand:
        holds, seen = self.holds.all(wall), self.asker.seen
        pressed = self.pressed or bool(self.asker.stopped)
        return Stand(self.shards, self.named, pressed, self.leaving, holds, seen, now, heard)

    def _tell_again(self, now: int, lease: str, telling: Telling) -> Out:
        if now >= telling.until:
            self._told_all(now, lease, telling, False)
            return []
        telling.at = now + self.timing.again_after
        return [
            (v, Tell(lease, telling.tag, telling.notes))
            for v in self.own.voters
            if v not in telling.heard
        ]

    def _told_all(self, now: int, lease: str, telling: Telling, noted: bool) -> None:
        del self.tellings[lease]
        if noted:
            self.events.append(Confirmed(lease, telling.notes))
        if telling.waiting:
            self.tell(now, lease, telling.waiting)

    # -- messages --------------------------------------------------------------------------------------------------

    def receive(self, now: int, wall: int, sender: str, life: int, packet: Packet) -> Packets:
        """A packet whose sender is proved."""
        out: Out = []
        for message in packet.messages[:MESSAGES_MOST]:
            if isinstance(message, Seal):
                if self.own.number >= message.set:
                    out.append((sender, Sealed(self.own.number)))
            elif isinstance(message, Sealed):
                self._sealed(now, sender, message)
            elif packet.set != self.own.number:
                self.counts["from_other_sets"] += 1
                self.other_set = max(self.other_set, min(packet.set, LARGEST))
                if packet.set < self.own.number and isinstance(message, FOR_VOTERS):
                    out.append(
                        (sender, Sealed(self.own.number))
                    )  # so it hears that its file is old
            elif isinstance(message, FOR_VOTERS):
                if self.voter and self.succession.done():
                    out += self.voter.handle(now, wall, sender, life, message)
            else:
                out += self._answer(now, wall, sender, life, packet.clock, message)
        return self._out(now, wall, out)

    def _sealed(self, now: int, sender: str, message: Sealed) -> None:
        if message.set > self.own.number:
            self.other_set = max(self.other_set, min(message.set, LARGEST))
        before = self.succession.done()
        self.succession.told(sender, message.set)
        if self.voter and not before and self.succession.done():
            self.voter.be_silent(now)

    def _answer(
        self, now: int, wall: int, sender: str, life: int, clock: int, message: Message
    ) -> Out:
        stand = self.stands.get(sender)
        if stand is None:
            self.counts["strange"] += 1
            return []
        stand.heard, stand.clock = now, clock or now
        match message:
            case Promise() | Accept() | Refuse():
                claim = self.asker.claims.get(message.lease)
                if claim and self._answers(claim, message):
                    self._read_clock(now, sender, life, clock, claim.began)
                return self.asker.handle(now, sender, message)
            case Free():
                self._free(now, message)
            case Roster():
                if 0 < message.at <= now:
                    self._read_clock(now, sender, life, clock, message.at)
                self._roster(now, wall, sender, stand, message)
            case Told():
                telling = self.tellings.get(message.lease)
                if telling and telling.tag == message.tag:
                    telling.heard.add(sender)
                    if len(telling.heard) >= self.own.majority:
                        self._told_all(now, message.lease, telling, True)
        return []

    @staticmethod
    def _answers(claim: Claim, message: Promise | Accept | Refuse) -> bool:
        """Whether this is an answer to the question that is out: its clock was read after that left."""
        if claim.ballot != message.ballot:
            return False
        if claim.stage is Stage.PREPARING:
            return isinstance(message, Promise) or (
                isinstance(message, Refuse) and not message.round
            )
        return claim.stage is Stage.PROPOSING and getattr(message, "round", 0) == claim.round

    def _read_clock(self, now: int, voter: str, life: int, clock: int, asked: int) -> None:
        """Learn of its clock's rate; where most differ from ours, ours is wrong and we hold nothing."""
        if not clock or voter == self.name:
            return
        self.rates.read(voter, life, Reading(clock, asked, now))
        wrong = self.rates.ours_is_wrong(self.own.majority)
        self.asker.distrusted = frozenset() if wrong else frozenset(self.rates.wrong)
        self.asker.stopped = (
            "our clock runs at another rate than most voters' clocks" if wrong else ""
        )

    def _free(self, now: int, told: Free) -> None:
        lease = told.lease
        if not self.asks or self.leaving or self.pressed or self.asker.stopped:
            return
        if self.shunned.get(lease, 0) > now:
            return
        self.shunned.pop(lease, None)
        if self._ours(lease):
            spread = int(self.draw() * self.timing.stagger / 4)
            self.asker.want(now, lease, min(max(0, told.after), self.timing.span) + spread, told.n)

    def _ours(self, lease: str) -> bool:
        """Whether it is one that we stand for: not a name that we made no use of."""
        return lease in self.named or lease in self.shard_names

    def _roster(self, now: int, wall: int, voter: str, stand: Place, told: Roster) -> None:
        stand.tries = 0
        self.asker.saw(told.seen)
        if told.shards != self.shards:
            self.other_shards = told.shards
        elif self.other_shards:
            self.other_shards = 0
        again = min(max(told.again, self.timing.span // 2), 600_000_000)
        stand.at = now + int(again * (0.9 + 0.2 * self.draw()))
        self.holds.merge(told.holds, wall)
        for lease in told.move:
            if lease in self.asker.claims:
                self.moves.setdefault(lease, set()).add(voter)
        for lease, voters in list(self.moves.items()):
            if lease not in told.move:
                voters.discard(voter)
            if not voters or lease not in self.asker.claims:
                del self.moves[lease]
            elif len(voters) >= self.own.majority:
                del self.moves[lease]
                self.events.append(Wanted(lease))

    # -- out -------------------------------------------------------------------------------------------------------

    def _out(self, now: int, wall: int, messages: Iterable[tuple[str, Message]]) -> Packets:
        """Grouped by receiver; what is for ourselves is handled at once."""
        groups: dict[str, list[Message]] = {}
        waiting = list(messages)
        while waiting:
            to, message = waiting.pop(0)
            if to != self.name:
                groups.setdefault(to, []).append(message)
            elif isinstance(message, FOR_VOTERS):
                if self.voter and self.succession.done():
                    waiting += self.voter.handle(now, wall, self.name, self.life, message)
            elif isinstance(message, Seal | Sealed):
                self.succession.told(self.name, self.own.number)
            else:
                waiting += self._answer(now, wall, self.name, self.life, 0, message)
        if self.asker.events:
            self.events += self.asker.events
            self.asker.events.clear()
        if self.asker.stopped and self.asker.claims:
            return self._out(
                now, wall, self.asker.give_all_back(now, self.asker.stopped)
            ) + self._packed(groups, now)
        return self._packed(groups, now)

    def _packed(self, groups: dict[str, list[Message]], now: int) -> Packets:
        clock = now if self.voter else 0
        return [
            (to, Packet(self.own.number, clock, tuple(some[at : at + MESSAGES_MOST])))
            for to, some in groups.items()
            for at in range(0, len(some), MESSAGES_MOST)
        ]

    # -- what operators see ----------------------------------------------------------------------------------------

    def since_majority(self, now: int) -> int | None:
        """Us since a majority of the voters was heard; None: never."""
        heard = sorted((s.heard for v, s in self.stands.items()), reverse=True)
        at = heard[self.own.majority - 1] if len(heard) >= self.own.majority else 0
        return now - at if at else None
