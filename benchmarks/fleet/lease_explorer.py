"""Voters and askers as a case for ``testbed.simulation.explore``: their own code, every interleaving of it.

A message may arrive at any time from its sending on, or never, and so many of them twice. Time goes on in ticks, for
each node at its own rate; the least favourable rates are the bounds. States that differ only in the names of voters,
in how long ago something was, or in numbers that stand in the same order are one. Refusals and releases only make
askers and voters move on earlier; cases leave them out where their number would hide the rest, and others have them.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, replace
from itertools import combinations, combinations_with_replacement

from saffrongw.leases.acceptor import Acceptor, Entry
from saffrongw.leases.candidates import Candidates
from saffrongw.leases.messages import Accept, Message, Prepare, Promise, Propose, Refuse, Release
from saffrongw.leases.proposer import Claim, Gained, Proposer, Stage
from saffrongw.leases.suspensions import Suspensions
from saffrongw.leases.timing import SECOND, Timing

LEASE = "s0/1"
WALL = 1_700_000_000 * SECOND
TICK = SECOND
STILL = Candidates(1)  # nobody stands: nothing is offered, askers begin by themselves


class CaseTiming(Timing):
    """Spans as ever; questions are not asked again, so that each message is one choice."""

    @property
    def again_after(self) -> int:
        return 1_000 * self.span

    @property
    def round_most(self) -> int:
        return 1_000 * self.span

    @property
    def renew_after(self) -> int:
        return 0


def half() -> float:
    """In place of chance."""
    return 0.5


Mail = tuple[str, str, Message]  # from, to, what


@dataclass(frozen=True, slots=True)
class State:
    """Everything at one moment; nodes are never changed, only replaced."""

    voters: tuple[Acceptor, ...]
    askers: tuple[Proposer, ...]
    mail: frozenset[Mail]
    tick: int
    restarts: int
    wants: tuple[int, ...]
    doubles: int
    highest: int  # number of any holder so far
    wrong: str = ""
    gives_back: int = 0


def copied_voter(voter: Acceptor) -> Acceptor:
    """One to change."""
    new = copy.copy(voter)
    new.entries = {lease: copy.copy(entry) for lease, entry in voter.entries.items()}
    new.counts = voter.counts.copy()
    return new


def copied_asker(asker: Proposer) -> Proposer:
    """One to change."""
    new = copy.copy(asker)
    new.claims = {}
    for lease, claim in asker.claims.items():
        mine = copy.copy(claim)
        mine.answered, mine.against = copy.copy(claim.answered), set(claim.against)
        mine.notes = {}
        new.claims[lease] = mine
    new.events, new.counts = [], asker.counts.copy()
    return new


class LeaseCase:
    """A few voters and askers of one lease."""

    def __init__(
        self,
        voters: int = 3,
        askers: int = 2,
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
        voter: Callable[..., Acceptor] = Acceptor,
        asker: Callable[..., Proposer] = Proposer,
        timing: type[Timing] = CaseTiming,
        regain: bool = False,
        first_asks: bool = False,  # the others only after the first one has held the lease
        gives_back: int = 0,  # times that a holder gives the lease back; it may ask again
    ) -> None:
        self.timing = timing(span, drift)
        self.voter_rate, self.asker_rate = rates or (1 + drift, 1 - drift)
        self.names = tuple(f"v{n}" for n in range(voters))
        self.asking = tuple(f"a{n}" for n in range(askers))
        self.ticks, self.restarts, self.wants, self.renews = ticks, restarts, wants, renews
        self.voter, self.asker, self.regain = voter, asker, regain
        self.doubles, self.answers_stay, self.first_asks = doubles, answers_stay, first_asks
        self.gives_back = gives_back
        left_out = (*(() if refusals else (Refuse,)), *(() if releases else (Release,)))
        self.left_out = left_out

    # -- clocks -------------------------------------------------------------------------------------------------------

    def voter_now(self, tick: int) -> int:
        """What voters' clocks show."""
        return 1_000 * SECOND + int(tick * TICK * self.voter_rate)

    def asker_now(self, tick: int) -> int:
        """What askers' clocks show."""
        return 5_000 * SECOND + int(tick * TICK * self.asker_rate)

    @staticmethod
    def wall(tick: int) -> int:
        """Unix us."""
        return WALL + tick * TICK

    # -- the case -----------------------------------------------------------------------------------------------------

    def first(self) -> State:
        """All voters past their silence, nobody asks yet."""
        now = self.voter_now(0)
        voters = []
        for name in self.names:
            one = self.voter(name, self.timing, STILL, Suspensions(), now - self.timing.silence)
            one.due(now, self.wall(0))
            voters.append(one)
        askers = [self.asker(name, 1, self.names, self.timing, half) for name in self.asking]
        wants = (self.wants,) * len(askers)
        return State(
            tuple(voters),
            tuple(askers),
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
        for place, asker in enumerate(state.askers):
            early = self.first_asks and place and not state.highest
            if state.wants[place] and not asker.claims and not early:
                new = copied_asker(asker)
                now = self.asker_now(state.tick)
                offered = 0  # what is given back is offered, with the number above which to ask
                if self.gives_back:
                    offered = max(
                        (v.entries[LEASE].promised[0] for v in state.voters if v.entries), default=0
                    )
                new.want(now, LEASE, n=offered)
                out = new.due(now)
                wants = tuple(w - (n == place) for n, w in enumerate(state.wants))
                after = replace(self._with_asker(state, place, new, out), wants=wants)
                yield f"{asker.name} asks", after
            if state.gives_back and asker.held(self.asker_now(state.tick)):
                new = copied_asker(asker)
                out = new.give_back(self.asker_now(state.tick), LEASE, "moved")
                after = self._with_asker(
                    replace(state, gives_back=state.gives_back - 1), place, new, out
                )
                yield f"{asker.name} gives it back", after
        answers: dict[str, list[Mail]] = {}
        for mail in state.mail:
            if mail[1] not in self.names:
                if isinstance(mail[2], Refuse):
                    if self._worth(state, mail):
                        yield (
                            self._words(mail),
                            self._deliver(replace(state, mail=state.mail - {mail}), mail),
                        )
                elif self._worth(state, mail):
                    answers.setdefault(mail[1], []).append(mail)
                continue
            after = self._deliver(replace(state, mail=state.mail - {mail}), mail)
            if after is None:
                continue
            yield self._words(mail), after
            if state.doubles:
                again = replace(after, mail=after.mail | {mail}, doubles=state.doubles - 1)
                yield f"{self._words(mail)}, and it will come again", again
        yield from self._hear(state, answers)
        if state.restarts:
            for place, voter in enumerate(state.voters):
                fresh = self.voter(
                    voter.name, self.timing, STILL, Suspensions(), self.voter_now(state.tick)
                )
                voters = self._put(state.voters, place, fresh)
                after = replace(state, voters=voters, restarts=state.restarts - 1)
                yield f"{voter.name} starts anew, with empty memory", after
        if state.tick < self.ticks:
            yield "a second passes", self._tick(state)

    def _hear(self, state: State, answers: dict[str, list[Mail]]) -> Iterable[tuple[str, State]]:
        """An asker hears as many answers as make it go on. Fewer change nothing that anybody else can see, so when
        they came does not matter."""
        for name, some in answers.items():
            asker = state.askers[self.asking.index(name)]
            wanted = asker.majority - len(asker.claims[LEASE].answered)
            choose = combinations_with_replacement if self.answers_stay else combinations
            for chosen in choose(sorted(some, key=lambda mail: mail[0]), wanted):
                after = replace(state, mail=state.mail - set(chosen))
                for mail in chosen:
                    if self._worth(after, mail):
                        after = self._deliver(after, mail)
                yield " and ".join(dict.fromkeys(map(self._words, chosen))), after

    def _worth(self, state: State, mail: Mail) -> bool:
        """Whether it can change anything: what comes to an asker behind its time can't."""
        sender, to, message = mail
        if to in self.names:
            return True
        claim = state.askers[self.asking.index(to)].claims.get(LEASE)
        if (
            claim is None
            or claim.ballot != message.ballot
            or (sender in claim.answered and not self.answers_stay)
        ):
            return False
        if isinstance(message, Promise):
            return claim.stage is Stage.PREPARING
        if isinstance(message, Accept):
            return claim.stage is Stage.PROPOSING and claim.round == message.round
        return claim.stage in (Stage.PREPARING, Stage.PROPOSING) and sender not in claim.against

    def _words(self, mail: Mail) -> str:
        sender, to, message = mail
        if isinstance(message, Prepare):
            return f"{to} hears {sender} prepare ballot {message.ballot[0]}"
        if isinstance(message, Propose):
            return f"{to} hears {sender} propose ballot {message.ballot[0]}, round {message.round}"
        if isinstance(message, Promise):
            return f"{to} hears the promise of {sender} for ballot {message.ballot[0]}"
        if isinstance(message, Accept):
            return f"{to} hears that {sender} accepts ballot {message.ballot[0]}, round {message.round}"
        if isinstance(message, Refuse):
            return f"{to} hears that {sender} refuses ballot {message.ballot[0]}"
        return f"{to} hears {sender} release ballot {message.ballot[0]}"

    def _tick(self, state: State) -> State:
        tick = state.tick + 1
        new = replace(state, tick=tick)
        for place, voter in enumerate(state.voters):
            mine = copied_voter(voter)
            mine.due(self.voter_now(tick), self.wall(tick))
            new = replace(new, voters=self._put(new.voters, place, mine))
        for place, asker in enumerate(state.askers):
            mine = copied_asker(asker)
            now = self.asker_now(tick)
            for claim in mine.claims.values():
                if claim.stage is Stage.RESTING and not self.renews:
                    claim.at = claim.held_until
            out = mine.due(now)
            new = self._with_asker(new, place, mine, out)
        return new

    @staticmethod
    def _put(some: tuple, place: int, one: object) -> tuple:
        return (*some[:place], one, *some[place + 1 :])

    def _deliver(self, state: State, mail: Mail) -> State | None:
        """None: it would change nothing, now or later."""
        sender, to, message = mail
        if to in self.names:
            place = self.names.index(to)
            mine = copied_voter(state.voters[place])
            sent = mine.handle(
                self.voter_now(state.tick), self.wall(state.tick), sender, 1, message
            )
            if sent and isinstance(sent[0][1], Refuse) and Refuse in self.left_out:
                return None
            new = replace(state, voters=self._put(state.voters, place, mine))
            return self._sent(new, to, sent)
        place = self.asking.index(to)
        mine = copied_asker(state.askers[place])
        sent = mine.handle(self.asker_now(state.tick), sender, message)
        return self._with_asker(state, place, mine, sent)

    def _with_asker(self, state: State, place: int, asker: Proposer, out: list) -> State:
        wrong, highest = state.wrong, state.highest
        for event in asker.events:
            if isinstance(event, Gained):
                if event.number <= highest:
                    wrong = f"{asker.name} holds under number {event.number}, after {highest}"
                highest = max(highest, event.number)
        asker.events.clear()
        new = replace(
            state, askers=self._put(state.askers, place, asker), wrong=wrong, highest=highest
        )
        return self._sent(new, asker.name, out)

    def _sent(self, state: State, sender: str, out: list) -> State:
        mail = {
            (sender, to, message) for to, message in out if not isinstance(message, self.left_out)
        }
        new = replace(state, mail=state.mail | mail) if mail else state
        if (
            not new.restarts and Refuse in self.left_out
        ):  # what will be refused for good need not be kept
            over = [one for one in new.mail if self._refused_for_good(new, one)]
            if over:
                new = replace(new, mail=new.mail - set(over))
        return new

    def _refused_for_good(self, state: State, mail: Mail) -> bool:
        _, to, message = mail
        if to not in self.names:
            return not self._worth(state, mail)
        entry = state.voters[self.names.index(to)].entries.get(LEASE)
        if entry is None or isinstance(message, Release):
            return False
        # A promise does not stand against a renewal.
        return (isinstance(message, Prepare) or message.fresh) and message.ballot < entry.promised

    def holders(self, state: State) -> list[str]:
        """Who acts right now."""
        now = self.asker_now(state.tick)
        return [one.name for one in state.askers if one.held(now)]

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
        """With every message arriving at once from here on, and both askers asking: is the lease had within two spans
        and a silence?"""
        fair = copy.copy(self)
        fair.left_out = ()
        return fair._fair(state)

    def _fair(self, state: State) -> bool:
        waiting: list[Mail] = []
        for _ in range(3 * self.timing.span // TICK + 2):
            state = self._tick(replace(state, mail=frozenset()))
            waiting = list(state.mail)
            for place, asker in enumerate(state.askers):
                mine = copied_asker(asker)
                now = self.asker_now(state.tick)
                if (claim := mine.claims.get(LEASE)) and not claim.held_until:
                    out = mine.give_back(now, LEASE, "")  # its round timed out
                    state = self._with_asker(replace(state, mail=frozenset()), place, mine, out)
                    waiting += state.mail
                    mine = copied_asker(state.askers[place])
                mine.want(now, LEASE)
                state = self._with_asker(
                    replace(state, mail=frozenset()), place, mine, mine.due(now)
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
        vnow, anow = self.voter_now(state.tick), self.asker_now(state.tick)
        claims = [one.claims.get(LEASE) for one in state.askers]
        numbers = {
            0,
            state.highest,
            *(c.number for c in claims if c),
            *(c.mark for c in claims if c),
        }
        for voter in state.voters:
            numbers |= {voter.floor, voter.seen}
            if entry := voter.entries.get(LEASE):
                numbers |= {entry.mark, entry.number}
        for _, _, message in state.mail:
            if isinstance(message, Propose):
                numbers.add(message.number)
            elif isinstance(message, Promise):
                numbers.add(message.mark)
            elif isinstance(message, Prepare):
                numbers.add(message.seen)
        numbers |= {one.seen for one in state.askers}
        rank = self._ranks(numbers)
        by_voter: dict[str, list] = {name: [] for name in self.names}
        for sender, to, message in state.mail:
            if to in by_voter:
                by_voter[to].append(self._asked(message, rank))
            elif self._worth(state, (sender, to, message)):
                by_voter[sender].append(self._told(message, rank))
        sides = []
        for voter in state.voters:
            seen = tuple(
                (voter.name in c.answered, voter.name in c.against) if c else () for c in claims
            )
            mail = tuple(sorted(by_voter[voter.name]))
            sides.append((self._voter(voter, vnow, rank), seen, mail))
        askers = tuple(
            (rank[one.seen], one.n, self._claim(claim, anow, rank))
            for one, claim in zip(state.askers, claims, strict=True)
        )
        left = self.ticks - state.tick
        return (
            tuple(sorted(sides)),
            askers,
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
    def _asked(message: Message, rank: dict[int, int]) -> tuple:
        if isinstance(message, Propose):
            return (2, message.ballot, message.round, rank[message.number], message.fresh)
        if isinstance(message, Prepare):
            return (1, message.ballot, 0, rank[message.seen])
        return (3, message.ballot, 0, 0)

    @staticmethod
    def _told(message: Message, rank: dict[int, int]) -> tuple:
        if isinstance(message, Promise):
            return 4, message.ballot, rank[message.mark], 0
        if isinstance(message, Accept):
            return 5, message.ballot, message.round, 0
        return 6, message.ballot, message.round, message.why

    @staticmethod
    def _voter(voter: Acceptor, now: int, rank: dict[int, int]) -> tuple:
        entry = voter.entries.get(LEASE) or Entry()
        silent = 0 if voter.known_from else max(1, voter.silent_until - now)
        left = max(0, entry.until - now)
        granted = (entry.ballot, entry.round, rank.get(entry.number, 0)) if left else ()
        return (
            silent,
            entry.promised,
            entry.gone,
            entry.ballot,
            granted,
            left,
            rank.get(entry.mark, 0),
            rank[voter.floor],
            rank[voter.seen],
        )

    def _claim(self, claim: Claim | None, now: int, rank: dict[int, int]) -> tuple:
        if claim is None:
            return ()
        began = max(claim.began - now, -self.timing.held - TICK)
        held = max(0, claim.held_until - now) if claim.held_until else -1
        return (
            claim.stage.value,
            claim.ballot,
            claim.round,
            began,
            claim.n_seen,
            rank[claim.mark],
            rank[claim.number],
            held,
            claim.tries,
        )


# -- planted faults ---------------------------------------------------------------------------------------------------


class NotSilent(Acceptor):
    """Answers at once after a start."""

    def __init__(self, name, timing, standing, holds, now, **more) -> None:
        super().__init__(name, timing, standing, holds, now, **more)
        self.silent_until = now


class Backwards(Acceptor):
    """Takes a late renewal under a ballot from before its holder had the lease anew."""

    def _propose(self, now, wall, sender, life, asked):
        entry = self.entries.get(asked.lease)
        if (
            entry
            and not asked.fresh
            and asked.ballot[1:] == entry.ballot[1:]
            and asked.ballot < entry.ballot
        ):
            entry.ballot, entry.round = asked.ballot, min(entry.round, asked.round)
        return super()._propose(now, wall, sender, life, asked)


class LongHolder(CaseTiming):
    """The holder's span is as long as the voter's."""

    @property
    def held(self) -> int:
        return self.span


class Minority(Proposer):
    """One voter less than a majority is enough."""

    @property
    def majority(self) -> int:
        return len(self.voters) // 2


class Careless(Acceptor):
    """Looks at no numbers."""

    def _propose(self, now, wall, sender, life, asked):
        entry, floor = self._entry(now, asked.lease), self.floor
        mark, entry.mark, self.floor = entry.mark, 0, 0
        answer = super()._propose(now, wall, sender, life, asked)
        entry.mark, self.floor = max(mark, entry.mark), floor
        return answer


class SameNumber(Proposer):
    """Takes the number that it was told instead of the next one."""

    def _promised(self, now, voter, claim, told):
        out = super()._promised(now, voter, claim, told)
        if claim.stage is Stage.PROPOSING and not claim.held_until and claim.number > 1:
            claim.number -= 1
            out = [(to, replace_number(message, claim.number)) for to, message in out]
        return out


def replace_number(message: Propose, number: int) -> Propose:
    """The same proposal under another number."""
    return Propose(
        message.lease, message.ballot, message.round, message.span, number, message.fresh
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

    def _begin(self, now, claim, stage):
        out = super()._begin(now, claim, stage)
        claim.answered = Answers()
        return out
