"""Voters and proposers as a case for ``testbed.simulation.explore``: their own code, every interleaving of it.

A message may arrive at any time from its sending on, or never, and so many of them twice. Time goes on in ticks, for
each node at its own rate; the least favourable rates are the bounds. States that differ only in the names of voters,
in how long ago something was, or in numbers that stand in the same order are one. Refusals and releases only make
proposers and voters move on earlier; cases leave them out where their number would hide the rest, and others have them.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, replace
from itertools import combinations, combinations_with_replacement

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import Candidates
from saffrongw.leases.claim import Claim, ClaimStage, LeaseGained
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.lease_record import LeaseRecord
from saffrongw.leases.messages import (
    Accept,
    Message,
    Nack,
    Prepare,
    Promise,
    Propose,
    Release,
)
from saffrongw.leases.proposer import Proposer
from saffrongw.leases.suspensions import Suspensions
from saffrongw.leases.timing import SECOND_US, Timing

LEASE = "s0/1"
WALL = 1_700_000_000 * SECOND_US
TICK = SECOND_US
STILL = Candidates(1)  # nobody stands: nothing is offered, proposers begin by themselves


class CaseTiming(Timing):
    """Spans as ever; questions are not request again, so that each message is one choice."""

    @property
    def resend_after_us(self) -> int:
        return 1_000 * self.duration_us

    @property
    def max_round_us(self) -> int:
        return 1_000 * self.duration_us

    @property
    def renew_after_us(self) -> int:
        return 0


def half() -> float:
    """In index of chance."""
    return 0.5


Mail = tuple[str, str, Message]  # from, to, what


@dataclass(frozen=True, slots=True)
class State:
    """Everything at one moment; nodes are never changed, only replaced."""

    acceptors: tuple[Acceptor, ...]
    proposers: tuple[Proposer, ...]
    mail: frozenset[Mail]
    tick: int
    restarts: int
    wants: tuple[int, ...]
    doubles: int
    highest: int  # number of any holder so far
    wrong: str = ""
    gives_back: int = 0


def copied_acceptor(acceptor: Acceptor) -> Acceptor:
    """One to change."""
    new = copy.copy(acceptor)
    new.records = {lease: copy.copy(record) for lease, record in acceptor.records.items()}
    new.counters = acceptor.counters.copy()
    return new


def copied_proposer(proposer: Proposer) -> Proposer:
    """One to change."""
    new = copy.copy(proposer)
    new.claims = {}
    for lease, claim in proposer.claims.items():
        mine = copy.copy(claim)
        mine.agreeing, mine.rejecting = copy.copy(claim.agreeing), set(claim.rejecting)
        mine.progress = {}
        new.claims[lease] = mine
    new.events, new.counters = [], proposer.counters.copy()
    return new


class LeaseCase:
    """A few voters and proposers of one lease."""

    def __init__(
        self,
        voters: int = 3,
        proposers: int = 2,
        ticks: int = 4,
        restarts: int = 0,
        wants: int = 1,
        doubles: int = 0,
        renews: bool = False,
        refusals: bool = False,
        releases: bool = False,
        answers_stay: bool = False,  # what voters answer may come any number of times
        span: int = 2 * TICK,
        drift: float = 0.2,
        rates: tuple[float, float] | None = None,
        acceptor: Callable[..., Acceptor] = Acceptor,
        proposer: Callable[..., Proposer] = Proposer,
        timing: type[Timing] = CaseTiming,
        regain: bool = False,
        first_asks: bool = False,  # the others only after the first one has held the lease
        gives_back: int = 0,  # times that a holder gives the lease back; it may ask again
    ) -> None:
        self.timing = timing(span, drift)
        self.voter_rate, self.proposer_rate = rates or (1 + drift, 1 - drift)
        self.names = tuple(f"v{n}" for n in range(voters))
        self.asking = tuple(f"a{n}" for n in range(proposers))
        self.ticks, self.restarts, self.wants, self.renews = ticks, restarts, wants, renews
        self.make_acceptor, self.make_proposer, self.regain = acceptor, proposer, regain
        self.doubles, self.answers_stay, self.first_asks = doubles, answers_stay, first_asks
        self.gives_back = gives_back
        left_out = (*(() if refusals else (Nack,)), *(() if releases else (Release,)))
        self.left_out = left_out

    # -- clocks -------------------------------------------------------------------------------------------------------

    def voter_now(self, tick: int) -> int:
        """What voters' clocks show."""
        return 1_000 * SECOND_US + int(tick * TICK * self.voter_rate)

    def proposer_now(self, tick: int) -> int:
        """What proposers' clocks show."""
        return 5_000 * SECOND_US + int(tick * TICK * self.proposer_rate)

    @staticmethod
    def wall(tick: int) -> int:
        """Unix us."""
        return WALL + tick * TICK

    # -- the case -----------------------------------------------------------------------------------------------------

    def first(self) -> State:
        """All voters past their silence, nobody asks yet."""
        now = self.voter_now(0)
        acceptors = []
        for name in self.names:
            one = self.make_acceptor(
                name, self.timing, STILL, Suspensions(), now - self.timing.silence_us
            )
            one.due(now, self.wall(0))
            acceptors.append(one)
        proposers = [
            self.make_proposer(GatewayId(name, 1), self.names, self.timing, half)
            for name in self.asking
        ]
        wants = (self.wants,) * len(proposers)
        return State(
            tuple(acceptors),
            tuple(proposers),
            frozenset(),
            0,
            self.restarts,
            wants,
            self.doubles,
            0,
            "",
            self.gives_back,
        )

    def next(self, state: State) -> Iterable[tuple[str, State]]:
        """All that may happen."""
        for index, proposer in enumerate(state.proposers):
            early = self.first_asks and index and not state.highest
            if state.wants[index] and not proposer.claims and not early:
                new = copied_proposer(proposer)
                now = self.proposer_now(state.tick)
                offered = 0  # what is given back is offered, with the number above which to ask
                if self.gives_back:
                    offered = max(
                        (v.records[LEASE].promised.number for v in state.acceptors if v.records),
                        default=0,
                    )
                new.propose(now, LEASE, ballot_number=offered)
                out = new.due(now)
                wants = tuple(w - (n == index) for n, w in enumerate(state.wants))
                after = replace(self._with_proposer(state, index, new, out), wants=wants)
                yield f"{proposer.gateway.name} asks", after
            if state.gives_back and proposer.held(self.proposer_now(state.tick)):
                new = copied_proposer(proposer)
                out = new.release(LEASE, "moved")
                after = self._with_proposer(
                    replace(state, gives_back=state.gives_back - 1), index, new, out
                )
                yield f"{proposer.gateway.name} gives it back", after
        answers: dict[str, list[Mail]] = {}
        for mail in state.mail:
            if mail[1] not in self.names:
                if isinstance(mail[2], Nack):
                    if self._can_matter(state, mail):
                        yield (
                            self._words(mail),
                            self._deliver(replace(state, mail=state.mail - {mail}), mail),
                        )
                elif self._can_matter(state, mail):
                    answers.setdefault(mail[1], []).append(mail)
                continue
            after = self._deliver(replace(state, mail=state.mail - {mail}), mail)
            if after is None:
                continue
            yield self._words(mail), after
            if state.doubles:
                again = replace(after, mail=after.mail | {mail}, doubles=state.doubles - 1)
                yield f"{self._words(mail)}, and it will come again", again
        yield from self._deliver_answers(state, answers)
        if state.restarts:
            for index, acceptor in enumerate(state.acceptors):
                fresh = self.make_acceptor(
                    acceptor.name, self.timing, STILL, Suspensions(), self.voter_now(state.tick)
                )
                acceptors = self._put(state.acceptors, index, fresh)
                after = replace(state, acceptors=acceptors, restarts=state.restarts - 1)
                yield f"{acceptor.name} starts anew, with empty memory", after
        if state.tick < self.ticks:
            yield "a second passes", self._tick(state)

    def _deliver_answers(
        self, state: State, answers: dict[str, list[Mail]]
    ) -> Iterable[tuple[str, State]]:
        """A proposer hears as many answers as make it go on. Fewer change nothing that anybody else can see, so when
        they came does not matter."""
        for name, some in answers.items():
            proposer = state.proposers[self.asking.index(name)]
            wanted = proposer.majority - len(proposer.claims[LEASE].agreeing)
            choose = combinations_with_replacement if self.answers_stay else combinations
            for chosen in choose(sorted(some, key=lambda mail: mail[0]), wanted):
                after = replace(state, mail=state.mail - set(chosen))
                for mail in chosen:
                    if self._can_matter(after, mail):
                        after = self._deliver(after, mail)
                yield " and ".join(dict.fromkeys(map(self._words, chosen))), after

    def _can_matter(self, state: State, mail: Mail) -> bool:
        """Whether it can change anything: what comes to an proposer behind its time can't."""
        sender, to, message = mail
        if to in self.names:
            return True
        claim = state.proposers[self.asking.index(to)].claims.get(LEASE)
        if (
            claim is None
            or claim.ballot != message.ballot
            or (sender in claim.agreeing and not self.answers_stay)
        ):
            return False
        if isinstance(message, Promise):
            return claim.stage is ClaimStage.PREPARING
        if isinstance(message, Accept):
            return claim.stage is ClaimStage.PROPOSING and claim.round == message.round
        return (
            claim.stage in (ClaimStage.PREPARING, ClaimStage.PROPOSING)
            and sender not in claim.rejecting
        )

    def _words(self, mail: Mail) -> str:
        sender, to, message = mail
        if isinstance(message, Prepare):
            return f"{to} hears {sender} prepare ballot {message.ballot.number}"
        if isinstance(message, Propose):
            return (
                f"{to} hears {sender} propose ballot {message.ballot.number}, round {message.round}"
            )
        if isinstance(message, Promise):
            return f"{to} hears the promise of {sender} for ballot {message.ballot.number}"
        if isinstance(message, Accept):
            return f"{to} hears that {sender} accepts ballot {message.ballot.number}, round {message.round}"
        if isinstance(message, Nack):
            return f"{to} hears that {sender} refuses ballot {message.ballot.number}"
        return f"{to} hears {sender} release ballot {message.ballot.number}"

    def _tick(self, state: State) -> State:
        tick = state.tick + 1
        new = replace(state, tick=tick)
        for index, acceptor in enumerate(state.acceptors):
            mine = copied_acceptor(acceptor)
            mine.due(self.voter_now(tick), self.wall(tick))
            new = replace(new, acceptors=self._put(new.acceptors, index, mine))
        for index, proposer in enumerate(state.proposers):
            mine = copied_proposer(proposer)
            now = self.proposer_now(tick)
            for claim in mine.claims.values():
                if claim.stage is ClaimStage.RESTING and not self.renews:
                    claim.next_step_us = claim.held_until_us
            out = mine.due(now)
            new = self._with_proposer(new, index, mine, out)
        return new

    @staticmethod
    def _put(some: tuple, index: int, one: object) -> tuple:
        return (*some[:index], one, *some[index + 1 :])

    def _deliver(self, state: State, mail: Mail) -> State | None:
        """None: it would change nothing, now or later."""
        sender, to, message = mail
        if to in self.names:
            index = self.names.index(to)
            mine = copied_acceptor(state.acceptors[index])
            sent = mine.handle(
                self.voter_now(state.tick), self.wall(state.tick), GatewayId(sender, 1), message
            )
            if sent and isinstance(sent[0][1], Nack) and Nack in self.left_out:
                return None
            new = replace(state, acceptors=self._put(state.acceptors, index, mine))
            return self._sent(new, to, sent)
        index = self.asking.index(to)
        mine = copied_proposer(state.proposers[index])
        sent = mine.handle(self.proposer_now(state.tick), sender, message)
        return self._with_proposer(state, index, mine, sent)

    def _with_proposer(self, state: State, index: int, proposer: Proposer, out: list) -> State:
        wrong, highest = state.wrong, state.highest
        for event in proposer.events:
            if isinstance(event, LeaseGained):
                if event.fencing_token <= highest:
                    wrong = f"{proposer.gateway.name} holds under number {event.fencing_token}, after {highest}"
                highest = max(highest, event.fencing_token)
        proposer.events.clear()
        new = replace(
            state,
            proposers=self._put(state.proposers, index, proposer),
            wrong=wrong,
            highest=highest,
        )
        return self._sent(new, proposer.gateway.name, out)

    def _sent(self, state: State, sender: str, out: list) -> State:
        mail = {
            (sender, to, message) for to, message in out if not isinstance(message, self.left_out)
        }
        new = replace(state, mail=state.mail | mail) if mail else state
        if (
            not new.restarts and Nack in self.left_out
        ):  # what will be refused for good need not be kept
            over = [one for one in new.mail if self._refused_for_good(new, one)]
            if over:
                new = replace(new, mail=new.mail - set(over))
        return new

    def _refused_for_good(self, state: State, mail: Mail) -> bool:
        _, to, message = mail
        if to not in self.names:
            return not self._can_matter(state, mail)
        record = state.acceptors[self.names.index(to)].records.get(LEASE)
        if record is None or isinstance(message, Release):
            return False
        # A promise does not stand against a renewal.
        return (
            isinstance(message, Prepare) or message.initial
        ) and message.ballot < record.promised

    def holders(self, state: State) -> list[str]:
        """Who acts right now."""
        now = self.proposer_now(state.tick)
        return [one.gateway.name for one in state.proposers if one.held(now)]

    def breach(self, state: State) -> str:
        """Two holders, a number that has not grown, or a lease that nobody gets again."""
        holders = self.holders(state)
        if len(holders) > 1:
            return f"{' and '.join(holders)} both hold the lease"
        if state.wrong:
            return state.wrong
        if self.regain and not holders and not self._regained(state):
            return "all faults are over, both ask, and nobody gets the lease"
        return ""

    def _regained(self, state: State) -> bool:
        """With every message arriving at once from here on, and both proposers asking: is the lease had within two spans
        and a silence?"""
        fair = copy.copy(self)
        fair.left_out = ()
        return fair._fair(state)

    def _fair(self, state: State) -> bool:
        waiting: list[Mail] = []
        for _ in range(3 * self.timing.duration_us // TICK + 2):
            state = self._tick(replace(state, mail=frozenset()))
            waiting = list(state.mail)
            for index, proposer in enumerate(state.proposers):
                mine = copied_proposer(proposer)
                now = self.proposer_now(state.tick)
                if (claim := mine.claims.get(LEASE)) and not claim.held_until_us:
                    out = mine.release(LEASE, "")  # its round timed out
                    state = self._with_proposer(replace(state, mail=frozenset()), index, mine, out)
                    waiting += state.mail
                    mine = copied_proposer(state.proposers[index])
                mine.propose(now, LEASE)
                state = self._with_proposer(
                    replace(state, mail=frozenset()), index, mine, mine.due(now)
                )
                waiting += state.mail
                while waiting:
                    mail = waiting.pop(0)
                    after = self._deliver(replace(state, mail=frozenset()), mail)
                    if after is not None:
                        state = after
                        waiting += state.mail
                    if self.holders(state):
                        return True
        return False

    # -- equal states -------------------------------------------------------------------------------------------------

    def key(self, state: State) -> Hashable:
        """By voter all that concerns it, in a sorted list: voters have no names."""
        vnow, anow = self.voter_now(state.tick), self.proposer_now(state.tick)
        claims = [one.claims.get(LEASE) for one in state.proposers]
        numbers = {
            0,
            state.highest,
            *(c.fencing_token for c in claims if c),
            *(c.highest_token for c in claims if c),
        }
        for acceptor in state.acceptors:
            numbers |= {acceptor.token_floor, acceptor.highest_token}
            if record := acceptor.records.get(LEASE):
                numbers |= {record.highest_token, record.granted_token}
        for _, _, message in state.mail:
            if isinstance(message, Propose):
                numbers.add(message.fencing_token)
            elif isinstance(message, Promise):
                numbers.add(message.highest_token)
            elif isinstance(message, Prepare):
                numbers.add(message.highest_token)
        numbers |= {one.highest_token for one in state.proposers}
        rank = self._ranks(numbers)
        by_voter: dict[str, list] = {name: [] for name in self.names}
        for sender, to, message in state.mail:
            if to in by_voter:
                by_voter[to].append(self._request_key(message, rank))
            elif self._can_matter(state, (sender, to, message)):
                by_voter[sender].append(self._answer_key(message, rank))
        sides = []
        for acceptor in state.acceptors:
            seen = tuple(
                (acceptor.name in c.agreeing, acceptor.name in c.rejecting) if c else ()
                for c in claims
            )
            mail = tuple(sorted(by_voter[acceptor.name]))
            sides.append((self._acceptor_key(acceptor, vnow, rank), seen, mail))
        proposers = tuple(
            (rank[one.highest_token], one.last_ballot_number, self._claim_key(claim, anow, rank))
            for one, claim in zip(state.proposers, claims, strict=True)
        )
        left = self.ticks - state.tick
        return (
            tuple(sorted(sides)),
            proposers,
            state.restarts,
            state.wants,
            state.doubles,
            state.gives_back,
            rank[state.highest],
            left,
            state.wrong,
        )

    @staticmethod
    def _ranks(numbers: set[int]) -> dict[int, int]:
        """Numbers by their order; whether one follows the other at once is kept."""
        rank, at, last = {}, 0, None
        for number in sorted(numbers):
            at += 1 if last is None or number - last == 1 else 2
            rank[number], last = at, number
        return rank

    @staticmethod
    def _request_key(message: Message, rank: dict[int, int]) -> tuple:
        if isinstance(message, Propose):
            return (2, message.ballot, message.round, rank[message.fencing_token], message.initial)
        if isinstance(message, Prepare):
            return (1, message.ballot, 0, rank[message.highest_token])
        return (3, message.ballot, 0, 0)

    @staticmethod
    def _answer_key(message: Message, rank: dict[int, int]) -> tuple:
        if isinstance(message, Promise):
            return 4, message.ballot, rank[message.highest_token], 0
        if isinstance(message, Accept):
            return 5, message.ballot, message.round, 0
        return 6, message.ballot, message.round, message.reason

    @staticmethod
    def _acceptor_key(acceptor: Acceptor, now: int, rank: dict[int, int]) -> tuple:
        record = acceptor.records.get(LEASE) or LeaseRecord()
        silent = 0 if acceptor.memory_since_us else max(1, acceptor.silent_until_us - now)
        left = max(0, record.expires_us - now)
        granted = (
            (record.granted, record.granted_round, rank.get(record.granted_token, 0))
            if left
            else ()
        )
        return (
            silent,
            record.promised,
            record.released,
            record.granted,
            granted,
            left,
            rank.get(record.highest_token, 0),
            rank[acceptor.token_floor],
            rank[acceptor.highest_token],
        )

    def _claim_key(self, claim: Claim | None, now: int, rank: dict[int, int]) -> tuple:
        if claim is None:
            return ()
        began = max(claim.round_started_us - now, -self.timing.holder_duration_us - TICK)
        held = max(0, claim.held_until_us - now) if claim.held_until_us else -1
        return (
            claim.stage.value,
            claim.ballot,
            claim.round,
            began,
            claim.highest_ballot_number,
            rank[claim.highest_token],
            rank[claim.fencing_token],
            held,
            claim.attempts,
        )


# -- planted faults ---------------------------------------------------------------------------------------------------


class NotSilent(Acceptor):
    """Answers at once after a start."""

    def __init__(self, name, timing, candidates, suspensions, now, **kwargs) -> None:
        super().__init__(name, timing, candidates, suspensions, now, **kwargs)
        self.silent_until_us = now


class Backwards(Acceptor):
    """Takes a late renewal under a ballot from before its holder had the lease anew."""

    def _on_propose(self, now, wall, sender, request):
        record = self.records.get(request.lease)
        if (
            record
            and not request.initial
            and request.ballot.owner == record.granted.owner
            and request.ballot < record.granted
        ):
            record.granted, record.granted_round = (
                request.ballot,
                min(record.granted_round, request.round),
            )
        return super()._on_propose(now, wall, sender, request)


class GrantsHeld(Acceptor):
    """Grants a lease to one gateway while another one's grant still runs."""

    def _on_prepare(self, now, wall, sender, request):
        self._end_other_grant(now, sender, request.lease)
        return super()._on_prepare(now, wall, sender, request)

    def _on_propose(self, now, wall, sender, request):
        self._end_other_grant(now, sender, request.lease)
        return super()._on_propose(now, wall, sender, request)

    def _end_other_grant(self, now, sender, lease):
        record = self.records.get(lease)
        if record and record.holder != sender:
            record.free(now)


class LongHolder(CaseTiming):
    """The holder's span is as long as the voter's."""

    @property
    def holder_duration_us(self) -> int:
        return self.duration_us


class Minority(Proposer):
    """One voter less than a majority is enough."""

    @property
    def majority(self) -> int:
        return len(self.voters) // 2


class Careless(Acceptor):
    """Looks at no numbers."""

    def _on_propose(self, now, wall, sender, request):
        record, floor = self._record(now, request.lease), self.token_floor
        mark, record.highest_token, self.token_floor = record.highest_token, 0, 0
        answer = super()._on_propose(now, wall, sender, request)
        record.highest_token, self.token_floor = max(mark, record.highest_token), floor
        return answer


class SameNumber(Proposer):
    """Takes the number that it was told instead of the next one."""

    def _on_promise(self, now, voter, claim, promise):
        out = super()._on_promise(now, voter, claim, promise)
        if (
            claim.stage is ClaimStage.PROPOSING
            and not claim.held_until_us
            and claim.fencing_token > 1
        ):
            claim.fencing_token -= 1
            out = [(to, replace_number(message, claim.fencing_token)) for to, message in out]
        return out


def replace_number(message: Propose, number: int) -> Propose:
    """The same proposal under another number."""
    return Propose(
        message.lease, message.ballot, message.round, message.duration_us, number, message.initial
    )


class Answers(set):
    """Counts an answer as often as it comes."""

    times = 0

    def __copy__(self) -> Answers:
        new = Answers(self)
        new.times = self.times
        return new

    def add(self, one) -> None:
        super().add(one)
        self.times += 1

    def __len__(self) -> int:
        return self.times


class CountsTwice(Proposer):
    """Counts answers, not voters."""

    def _start_round(self, now, claim, stage):
        out = super()._start_round(now, claim, stage)
        claim.agreeing = Answers()
        return out
