"""One gateway's side of leases: it asks, it holds, it renews, it gives back. Pure: time and messages in, messages out.

Everything here is bounded by this gateway's own clock, from before it asked: an answer that comes late is worth less,
and one that comes after its span is worth nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from .messages import (
    LARGEST,
    Accept,
    Ballot,
    Message,
    Note,
    Prepare,
    Promise,
    Propose,
    Refuse,
    Release,
    Why,
)
from .timing import MS, Timing

TRIES = 4  # rounds before a lease that others want too is left until it is offered again
CLAIMS_MOST = 1_024

Out = list[tuple[str, Message]]


class Stage(Enum):
    """What a claim waits for."""

    WAITING = "waiting"  # to ask
    PREPARING = "preparing"
    PROPOSING = "proposing"
    RESTING = "resting"  # held; nothing is out


@dataclass(frozen=True, slots=True)
class Gained:
    """A lease is ours: under this number, with what a majority knows of its tasks, and since when (Unix us)."""

    lease: str
    number: int
    notes: dict[bytes, Note]
    known_from: int


@dataclass(frozen=True, slots=True)
class Lost:
    """A lease is ours no more."""

    lease: str
    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Wanted:
    """Others are rather to hold this lease, or nobody is: give it back when nothing is in the middle under it."""

    lease: str


Event = Gained | Lost | Wanted


@dataclass(slots=True)
class Claim:
    """One lease that this gateway holds or asks for."""

    lease: str
    stage: Stage = Stage.WAITING
    at: int = 0  # when to do the next thing
    ballot: Ballot = (0, "", 0)
    round: int = 0
    began: int = 0  # this round's first question left
    ends: int = 0  # this round is given up
    answered: set[str] = field(default_factory=set)
    against: set[str] = field(default_factory=set)
    n_seen: int = 0
    outbid: bool = False  # a higher ballot is in the way of ours
    mark: int = 0
    known_from: int = 0
    notes: dict[bytes, Note] = field(default_factory=dict)
    tries: int = 0
    number: int = 0  # under which it is held, or is being asked for
    held_until: int = 0  # by our clock; 0: not held


@dataclass(frozen=True, slots=True)
class Token:
    """What a task acts under: worth something only as long as ``valid`` says so, asked just before each effect."""

    lease: str
    number: int
    asker: Proposer
    clock: Callable[[], int]

    def valid(self, needs: int = 0) -> bool:
        """Whether the lease is ours now and for ``needs`` us more."""
        return self.left() > needs

    def left(self) -> int:
        """For how many us yet; 0: it is over."""
        claim = self.asker.claims.get(self.lease)
        if claim is None or claim.number != self.number or not claim.held_until:
            return 0
        return max(0, claim.held_until - self.clock())


class Proposer:
    """All leases that one life of a gateway holds or asks for; ``draw`` gives numbers from 0 to 1."""

    def __init__(
        self, name: str, life: int, voters: Iterable[str], timing: Timing, draw: Callable[[], float]
    ) -> None:
        self.name, self.life, self.timing, self.draw = name, life, timing, draw
        self.voters = tuple(voters)
        self.claims: dict[str, Claim] = {}
        self.events: list[Event] = []
        self.n = 0  # of the last ballot: one is never used again, or an answer to the one before would count
        self.seen = 0  # the highest number met anywhere
        self.floors: dict[str, int] = {}  # numbers that receivers have seen already
        self.distrusted: frozenset[str] = frozenset()  # voters whose clocks are not to be believed
        self.stopped = ""  # why nothing is asked for
        self.counts = {
            "asked": 0,
            "gained": 0,
            "renewed": 0,
            "lost": 0,
            "given back": 0,
            "refused": 0,
            "late": 0,
        }

    @property
    def majority(self) -> int:
        """How many voters have to agree."""
        return len(self.voters) // 2 + 1

    # -- from outside ------------------------------------------------------------------------------------------------

    def want(self, now: int, lease: str, after: int = 0, n: int = 0) -> None:
        """Ask for a lease in ``after`` us, with a ballot above ``n``, unless that is under way."""
        if self.stopped or lease in self.claims or len(self.claims) >= CLAIMS_MOST:
            return
        self.claims[lease] = Claim(lease, at=now + after, n_seen=min(n, LARGEST // 2))

    def give_back(self, now: int, lease: str, why: str) -> Out:
        """Use it no more, and tell the voters, so that another may have it at once."""
        claim = self.claims.pop(lease, None)
        if claim is None:
            return []
        if claim.held_until:
            self.counts["given back"] += 1
            self.events.append(Lost(lease, claim.number, why))
        if not claim.ballot[0]:
            return []
        return [(voter, Release(lease, claim.ballot)) for voter in self.voters]

    def give_all_back(self, now: int, why: str) -> Out:
        """Everything."""
        return [told for lease in list(self.claims) for told in self.give_back(now, lease, why)]

    def above(self, lease: str, number: int) -> None:
        """A receiver has seen this number already: the next one that we get is higher."""
        self.saw(number)
        if number < LARGEST // 2:
            self.floors[lease] = max(self.floors.get(lease, 0), number)
            while len(self.floors) > CLAIMS_MOST:
                del self.floors[next(iter(self.floors))]

    def saw(self, number: int) -> None:
        """Somebody tells of this number."""
        if number < LARGEST // 2:
            self.seen = max(self.seen, number)

    def change_voters(self, now: int, voters: Iterable[str]) -> None:
        """Another set. What is held stays ours until its end; nobody of the new set renews it."""
        self.voters = tuple(voters)
        for claim in list(self.claims.values()):
            if claim.held_until > now:
                claim.stage, claim.at = Stage.RESTING, claim.held_until
            else:
                self._drop(now, claim, "the voters changed")

    def held(self, now: int) -> list[Claim]:
        """What is ours now."""
        return [claim for claim in self.claims.values() if claim.held_until > now]

    def token(self, lease: str, clock: Callable[[], int]) -> Token | None:
        """For a task under this lease; None: it is not ours."""
        claim = self.claims.get(lease)
        if claim is None or claim.held_until <= clock():
            return None
        return Token(lease, claim.number, self, clock)

    # -- time ------------------------------------------------------------------------------------------------------

    def next_at(self) -> int | None:
        """When ``due`` has something to do."""
        least = None
        for claim in self.claims.values():
            at = min(claim.at, claim.held_until) if claim.held_until else claim.at
            if least is None or at < least:
                least = at
        return least

    def due(self, now: int) -> Out:
        """Ends of what is held, questions asked again, rounds given up, renewals."""
        out: Out = []
        for claim in list(self.claims.values()):
            if claim.held_until and claim.held_until <= now:
                self._drop(now, claim, "it ran out")
                out += self._released(claim)
            elif claim.at <= now:
                out += self._next(now, claim)
        if any(
            claim.stage is Stage.PROPOSING and claim.began == now for claim in self.claims.values()
        ):
            # Renewals that are nearly due go in the same datagrams, and stay together from then on.
            soon = now + self.timing.renew_after // 4
            for claim in list(self.claims.values()):
                if claim.stage is Stage.RESTING and claim.at <= soon and not self.stopped:
                    out += self._propose(now, claim)
        return out

    def _next(self, now: int, claim: Claim) -> Out:
        if claim.stage is Stage.WAITING:
            return self._prepare(now, claim)
        if claim.stage is Stage.RESTING:
            if self.stopped:
                claim.at = claim.held_until
                return []
            return self._prepare(now, claim) if claim.outbid else self._propose(now, claim)
        if now < claim.ends:
            claim.at = min(now + self.timing.again_after, claim.ends)
            unheard = [v for v in self.voters if v not in claim.answered and v not in claim.against]
            return [(voter, self._question(claim)) for voter in unheard]
        return self._again(now, claim)

    def _question(self, claim: Claim) -> Prepare | Propose:
        if claim.stage is Stage.PREPARING:
            return Prepare(claim.lease, claim.ballot, not claim.held_until, self.seen)
        return Propose(
            claim.lease,
            claim.ballot,
            claim.round,
            self.timing.span,
            claim.number,
            not claim.held_until,
        )

    def _begin(self, now: int, claim: Claim, stage: Stage) -> Out:
        claim.stage, claim.began, claim.ends = stage, now, now + self.timing.round_most
        claim.at = now + self.timing.again_after
        claim.answered, claim.against = set(), set()
        self.counts["asked"] += 1
        return [(voter, self._question(claim)) for voter in self.voters]

    def _prepare(self, now: int, claim: Claim) -> Out:
        self.n = max(self.n, claim.n_seen) + 1
        claim.n_seen, claim.ballot = self.n, (self.n, self.name, self.life)
        claim.round = claim.mark = 0
        claim.outbid = False
        if not claim.held_until:
            claim.notes, claim.known_from = {}, 0
        return self._begin(now, claim, Stage.PREPARING)

    def _propose(self, now: int, claim: Claim) -> Out:
        claim.round += 1
        return self._begin(now, claim, Stage.PROPOSING)

    def _again(self, now: int, claim: Claim) -> Out:
        """A round has come to nothing."""
        claim.tries += 1
        if (
            claim.held_until
        ):  # there is time yet: the next round, not faster than answers can be expected
            claim.outbid = claim.outbid or claim.stage is Stage.PREPARING
            claim.stage, claim.at = (
                Stage.RESTING,
                max(now, claim.began + self.timing.again_after // 2),
            )
            return [] if claim.at > now else self._next(now, claim)
        if claim.tries >= TRIES or self.stopped:
            self._drop(now, claim, "")
            return self._released(claim)
        # Two that ask in step would bar each other for ever: each waits a random part of a span that doubles.
        # The first time nothing says yet that there are two: its ballot may just have been too low.
        longest = min(self.timing.again_after * 2**claim.tries, self.timing.span // 2)
        longest = self.timing.stagger if claim.tries == 1 else longest
        claim.stage, claim.at = Stage.WAITING, now + int(self.draw() * longest) + MS
        return self._released(claim)

    def _released(self, claim: Claim) -> Out:
        """What a few voters may have granted of a round that failed is of use to nobody. Promises bind nothing."""
        if not claim.round:
            return []
        return [(voter, Release(claim.lease, claim.ballot)) for voter in self.voters]

    def _drop(self, now: int, claim: Claim, why: str) -> None:
        self.claims.pop(claim.lease, None)
        if claim.held_until:
            self.counts["lost" if claim.held_until <= now else "given back"] += 1
            claim.held_until = 0
            self.events.append(Lost(claim.lease, claim.number, why))

    # -- messages --------------------------------------------------------------------------------------------------

    def handle(self, now: int, voter: str, message: Message) -> Out:
        """What a voter answers."""
        if voter not in self.voters or voter in self.distrusted:
            return []
        claim = self.claims.get(message.lease)
        if claim is None or message.ballot != claim.ballot:
            return []
        if claim.held_until and claim.held_until <= now:
            self.counts["late"] += 1
            return self.due(now)
        match message:
            case Promise() if claim.stage is Stage.PREPARING:
                return self._promised(now, voter, claim, message)
            case Accept() if claim.stage is Stage.PROPOSING and message.round == claim.round:
                return self._accepted(now, voter, claim)
            case Refuse():
                return self._refused(now, voter, claim, message)
        return []

    def _promised(self, now: int, voter: str, claim: Claim, told: Promise) -> Out:
        if (
            now >= claim.ends
        ):  # a process that stood still: what was promised then may be forgotten by now
            return self._again(now, claim)
        claim.answered.add(voter)
        claim.mark = max(claim.mark, min(told.mark, LARGEST // 2))
        self.saw(told.mark)
        claim.known_from = max(claim.known_from, told.known_from)
        for note in told.notes:
            if note.later_than(claim.notes.get(note.task)):
                claim.notes[note.task] = note
        if len(claim.answered) < self.majority:
            return []
        if (
            not claim.held_until
        ):  # one that is held keeps its number: nobody else can have held a higher one
            claim.number = max(claim.mark, self.seen, self.floors.get(claim.lease, 0)) + 1
            self.saw(claim.number)
        return self._propose(now, claim)

    def _accepted(self, now: int, voter: str, claim: Claim) -> Out:
        claim.answered.add(voter)
        if len(claim.answered) < self.majority:
            return []
        until = claim.began + self.timing.held
        if until <= now:
            self.counts["late"] += 1
            return self._again(now, claim)
        claim.tries = 0
        # A voter that refused the first time is won soon: until then it offers the lease to others.
        soon = (
            self.timing.again_after
            if claim.against and not claim.held_until
            else self.timing.renew_after
        )
        claim.stage, claim.at = Stage.RESTING, claim.began + soon
        if claim.held_until:
            self.counts["renewed"] += 1
        else:
            self.counts["gained"] += 1
            self.events.append(Gained(claim.lease, claim.number, claim.notes, claim.known_from))
            claim.notes = {}
        claim.held_until = max(claim.held_until, until)
        return []

    def _refused(self, now: int, voter: str, claim: Claim, told: Refuse) -> Out:
        asked = 0 if claim.stage is Stage.PREPARING else claim.round
        if claim.stage not in (Stage.PREPARING, Stage.PROPOSING) or told.round != asked:
            return []
        self.counts["refused"] += 1
        claim.against.add(voter)
        if told.why == Why.OLDER:
            claim.outbid = True
            claim.n_seen = max(claim.n_seen, min(told.n, LARGEST // 2))
        if len(self.voters) - len(claim.against) >= self.majority:
            return []
        if told.why != Why.OLDER and not claim.held_until:
            self._drop(now, claim, "")  # it is offered again when it is free
            return self._released(claim)
        if claim.held_until and told.why != Why.OLDER:
            claim.at = min(
                now + self.timing.again_after, claim.ends
            )  # on hold: to its end and no longer
            if told.why == Why.HOLD:
                self.events.append(Wanted(claim.lease))
            return []
        return self._again(now, claim)
