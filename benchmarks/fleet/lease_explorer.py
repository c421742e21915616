"""Lease cases for ``testbed.simulation.explore``: all interleavings of acceptors and proposers.

A message may arrive at any time after it was sent, or never, and some arrive twice. Time advances
in ticks, and each node's clock runs at its own rate; the least favourable rates are the drift
bounds. Rejections and releases only let proposers and acceptors continue earlier. Cases whose
state space would grow too large with them leave them out; other cases include them.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, replace
from itertools import combinations, combinations_with_replacement

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.claim import ClaimStage, LeaseGained
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.messages import (
    Accept,
    Message,
    Nack,
    Outgoing,
    Prepare,
    Promise,
    Propose,
    Release,
)
from saffrongw.leases.proposer import Proposer
from saffrongw.leases.suspensions import Suspensions
from saffrongw.leases.timing import SECOND_US, Timing

from .lease_case_state import (
    LEASE,
    NO_CANDIDATES,
    TICK_US,
    WALL_US,
    CaseState,
    CaseTiming,
    Mail,
    copied_acceptor,
    copied_proposer,
    half,
)
from .lease_state_key import state_key

Step = tuple[str, CaseState]


@dataclass(kw_only=True)
class LeaseCase:
    """A few acceptors and proposers of one lease, and the events that are explored."""

    voters: int = 3
    proposers: int = 2
    ticks: int = 4
    restarts: int = 0
    # How often each proposer may start to propose.
    proposals: int = 1
    duplicates: int = 0
    renews: bool = False
    rejections: bool = False
    releases: bool = False
    # An answer may arrive any number of times.
    answers_stay: bool = False
    duration_us: int = 2 * TICK_US
    drift: float = 0.2
    # Clock rates of acceptors and of proposers; None: the least favourable within the drift bound.
    rates: tuple[float, float] | None = None
    acceptor: Callable[..., Acceptor] = Acceptor
    proposer: Callable[..., Proposer] = Proposer
    timing: type[Timing] = CaseTiming
    # Check that a free lease can be acquired again.
    regain: bool = False
    # The other proposers propose only after the first one has held the lease.
    first_leads: bool = False
    # How often a holder may release the lease.
    voluntary_releases: int = 0

    def __post_init__(self) -> None:
        """Derive names, clock rates, durations and the message types that are left out."""
        self.case_timing = self.timing(self.duration_us, self.drift)
        self.acceptor_rate, self.proposer_rate = self.rates or (1 + self.drift, 1 - self.drift)
        self.acceptor_names = tuple(f"v{n}" for n in range(self.voters))
        self.proposer_names = tuple(f"a{n}" for n in range(self.proposers))
        self.left_out: tuple[type, ...] = (
            *(() if self.rejections else (Nack,)),
            *(() if self.releases else (Release,)),
        )

    # -- clocks ------------------------------------------------------------------------------------

    def acceptor_now(self, tick: int) -> int:
        """Return the time by the acceptors' clocks."""
        return 1_000 * SECOND_US + int(tick * TICK_US * self.acceptor_rate)

    def proposer_now(self, tick: int) -> int:
        """Return the time by the proposers' clocks."""
        return 5_000 * SECOND_US + int(tick * TICK_US * self.proposer_rate)

    @staticmethod
    def wall(tick: int) -> int:
        """Return the Unix time in us."""
        return WALL_US + tick * TICK_US

    # -- the case ----------------------------------------------------------------------------------

    def first(self) -> CaseState:
        """Return the initial state: all acceptors past their silent period, no proposals yet."""
        now = self.acceptor_now(0)
        acceptors = []
        for name in self.acceptor_names:
            acceptor = self._new_acceptor(name, now - self.case_timing.silence_us)
            acceptor.due(now, self.wall(0))
            acceptors.append(acceptor)
        proposers = tuple(
            self.proposer(GatewayId(name, 1), self.acceptor_names, self.case_timing, half)
            for name in self.proposer_names
        )
        return CaseState(
            tuple(acceptors),
            proposers,
            mail=frozenset(),
            tick=0,
            restarts=self.restarts,
            proposals_left=(self.proposals,) * len(proposers),
            duplicates=self.duplicates,
            highest_token=0,
            releases_left=self.voluntary_releases,
        )

    def _new_acceptor(self, name: str, now: int) -> Acceptor:
        return self.acceptor(name, self.case_timing, NO_CANDIDATES, Suspensions(), now)

    def next(self, state: CaseState) -> Iterable[Step]:
        """Return all possible next steps."""
        for index in range(len(state.proposers)):
            yield from self._proposer_steps(state, index)
        answers: dict[str, list[Mail]] = {}
        for mail in state.mail:
            if mail.receiver in self.acceptor_names:
                yield from self._arrivals(state, mail, may_repeat=bool(state.duplicates))
            elif self._can_matter(state, mail):
                if isinstance(mail.message, Nack):
                    yield from self._arrivals(state, mail, may_repeat=False)
                else:
                    answers.setdefault(mail.receiver, []).append(mail)
        yield from self._deliver_answers(state, answers)
        if state.restarts:
            yield from self._restarts(state)
        if state.tick < self.ticks:
            yield "a second passes", self._tick(state)

    def _proposer_steps(self, state: CaseState, index: int) -> Iterable[Step]:
        """Let a proposer start to propose, or release the lease that it holds."""
        proposer = state.proposers[index]
        now, name = self.proposer_now(state.tick), proposer.gateway.name
        too_early = self.first_leads and index and not state.highest_token
        if state.proposals_left[index] and not proposer.claims and not too_early:
            new = copied_proposer(proposer)
            new.propose(now, LEASE, ballot_number=self._free_ballot(state))
            left = tuple(n - (at == index) for at, n in enumerate(state.proposals_left))
            after = self._with_proposer(state, index, new, new.due(now))
            yield f"{name} asks", replace(after, proposals_left=left)
        if state.releases_left and proposer.held(now):
            new = copied_proposer(proposer)
            outgoing = new.release(LEASE, "moved")
            before = replace(state, releases_left=state.releases_left - 1)
            yield f"{name} releases the lease", self._with_proposer(before, index, new, outgoing)

    def _free_ballot(self, state: CaseState) -> int:
        """Return the ballot number that an offer of a released lease would name."""
        if not self.voluntary_releases:
            return 0
        promised = (one.records[LEASE].promised.number for one in state.acceptors if one.records)
        return max(promised, default=0)

    def _arrivals(self, state: CaseState, mail: Mail, may_repeat: bool) -> Iterable[Step]:
        """Deliver a message; if it may repeat, also keep a copy in flight."""
        after = self._deliver(replace(state, mail=state.mail - {mail}), mail)
        if after is None:
            return
        yield mail.describe(), after
        if may_repeat:
            twice = replace(after, mail=after.mail | {mail}, duplicates=state.duplicates - 1)
            yield f"{mail.describe()}, and a duplicate stays in flight", twice

    def _restarts(self, state: CaseState) -> Iterable[Step]:
        for index, acceptor in enumerate(state.acceptors):
            fresh = self._new_acceptor(acceptor.name, self.acceptor_now(state.tick))
            acceptors = self._put(state.acceptors, index, fresh)
            after = replace(state, acceptors=acceptors, restarts=state.restarts - 1)
            yield f"{acceptor.name} restarts with empty memory", after

    def _deliver_answers(self, state: CaseState, answers: dict[str, list[Mail]]) -> Iterable[Step]:
        """Deliver as many answers at once as a proposer needs to proceed.

        Fewer change nothing that another node can see, so their arrival times do not matter.
        """
        choose = combinations_with_replacement if self.answers_stay else combinations
        for name, received in answers.items():
            proposer = state.proposers[self.proposer_names.index(name)]
            missing = proposer.majority - len(proposer.claims[LEASE].agreeing)
            for chosen in choose(sorted(received, key=lambda mail: mail.sender), missing):
                after = replace(state, mail=state.mail - set(chosen))
                for mail in chosen:
                    if self._can_matter(after, mail):
                        after = self._deliver(after, mail) or after
                yield " and ".join(dict.fromkeys(mail.describe() for mail in chosen)), after

    def _can_matter(self, state: CaseState, mail: Mail) -> bool:
        """Return whether a message can still change the state; a late answer cannot."""
        message = mail.message
        if mail.receiver in self.acceptor_names:
            return True
        claim = state.proposers[self.proposer_names.index(mail.receiver)].claims.get(LEASE)
        if claim is None or not isinstance(message, Promise | Accept | Nack):
            return False
        if claim.ballot != message.ballot:
            return False
        if mail.sender in claim.agreeing and not self.answers_stay:
            return False
        if isinstance(message, Promise):
            return claim.stage is ClaimStage.PREPARING
        if isinstance(message, Accept):
            return claim.stage is ClaimStage.PROPOSING and claim.round == message.round
        in_flight = claim.stage in (ClaimStage.PREPARING, ClaimStage.PROPOSING)
        return in_flight and mail.sender not in claim.rejecting

    def _tick(self, state: CaseState) -> CaseState:
        tick = state.tick + 1
        new = replace(state, tick=tick)
        for index, acceptor in enumerate(state.acceptors):
            new_acceptor = copied_acceptor(acceptor)
            new_acceptor.due(self.acceptor_now(tick), self.wall(tick))
            new = replace(new, acceptors=self._put(new.acceptors, index, new_acceptor))
        for index, proposer in enumerate(state.proposers):
            new_proposer = copied_proposer(proposer)
            for claim in new_proposer.claims.values():
                if claim.stage is ClaimStage.RESTING and not self.renews:
                    claim.next_step_us = claim.held_until_us
            outgoing = new_proposer.due(self.proposer_now(tick))
            new = self._with_proposer(new, index, new_proposer, outgoing)
        return new

    @staticmethod
    def _put(nodes: tuple, index: int, node: object) -> tuple:
        return (*nodes[:index], node, *nodes[index + 1 :])

    def _deliver(self, state: CaseState, mail: Mail) -> CaseState | None:
        """Return the state after a message has arrived; None: it changes nothing, now or later."""
        if mail.receiver in self.acceptor_names:
            return self._deliver_to_acceptor(state, mail)
        index = self.proposer_names.index(mail.receiver)
        proposer = copied_proposer(state.proposers[index])
        now = self.proposer_now(state.tick)
        return self._with_proposer(
            state, index, proposer, self._handle_answer(proposer, now, mail.sender, mail.message)
        )

    @staticmethod
    def _handle_answer(
        proposer: Proposer, now: int, sender: str, message: Message
    ) -> list[Outgoing]:
        if not isinstance(message, Promise | Accept | Nack):
            return []
        return proposer.handle(now, sender, message)

    def _deliver_to_acceptor(self, state: CaseState, mail: Mail) -> CaseState | None:
        index = self.acceptor_names.index(mail.receiver)
        acceptor = copied_acceptor(state.acceptors[index])
        now, wall = self.acceptor_now(state.tick), self.wall(state.tick)
        answers = acceptor.handle(now, wall, GatewayId(mail.sender, 1), mail.message)
        if answers and isinstance(answers[0].message, Nack) and Nack in self.left_out:
            return None
        new = replace(state, acceptors=self._put(state.acceptors, index, acceptor))
        return self._with_mail(new, mail.receiver, answers)

    def _with_proposer(
        self, state: CaseState, index: int, proposer: Proposer, outgoing: list[Outgoing]
    ) -> CaseState:
        error, highest = state.error, state.highest_token
        name = proposer.gateway.name
        for event in proposer.events:
            if isinstance(event, LeaseGained):
                if event.fencing_token <= highest:
                    error = (
                        f"{name} holds the lease with token {event.fencing_token} after {highest}"
                    )
                highest = max(highest, event.fencing_token)
        proposer.events.clear()
        proposers = self._put(state.proposers, index, proposer)
        new = replace(state, proposers=proposers, error=error, highest_token=highest)
        return self._with_mail(new, name, outgoing)

    def _with_mail(self, state: CaseState, sender: str, outgoing: list[Outgoing]) -> CaseState:
        mail = {
            Mail(sender, one.receiver, one.message)
            for one in outgoing
            if not isinstance(one.message, self.left_out)
        }
        new = replace(state, mail=state.mail | mail) if mail else state
        if new.restarts or Nack not in self.left_out:
            return new
        # Messages that will always be rejected need not be kept.
        rejected = {one for one in new.mail if self._always_rejected(new, one)}
        return replace(new, mail=new.mail - rejected) if rejected else new

    def _always_rejected(self, state: CaseState, mail: Mail) -> bool:
        message = mail.message
        if mail.receiver not in self.acceptor_names:
            return not self._can_matter(state, mail)
        index = self.acceptor_names.index(mail.receiver)
        record = state.acceptors[index].records.get(LEASE)
        if record is None or not isinstance(message, Prepare | Propose):
            return False
        # A renewal is accepted even after a promise to a higher ballot.
        needs_promise = isinstance(message, Prepare) or message.initial
        return needs_promise and message.ballot < record.promised

    # -- invariants --------------------------------------------------------------------------------

    def holders(self, state: CaseState) -> list[str]:
        """Return the proposers that hold the lease by their own clocks."""
        now = self.proposer_now(state.tick)
        return [one.gateway.name for one in state.proposers if one.held(now)]

    def breach(self, state: CaseState) -> str:
        """Return the violated invariant, if any: two holders, a stale token, a lost lease."""
        holders = self.holders(state)
        if len(holders) > 1:
            return f"{' and '.join(holders)} both hold the lease"
        if state.error:
            return state.error
        if self.regain and not holders and not self._regained(state):
            return "all faults are over and both propose, but nobody acquires the lease"
        return ""

    def _regained(self, state: CaseState) -> bool:
        """Return whether the lease is acquired within two durations and a silent period.

        From this state on, every message arrives at once and all proposers propose.
        """
        fair = copy.copy(self)
        fair.left_out = ()
        return any(fair.holders(state) for state in fair._fair_steps(state))

    def _fair_steps(self, state: CaseState) -> Iterable[CaseState]:
        for _ in range(3 * self.case_timing.duration_us // TICK_US + 2):
            state = self._tick(replace(state, mail=frozenset()))
            waiting = list(state.mail)
            for index in range(len(state.proposers)):
                state = self._propose_again(state, index, waiting)
                while waiting:
                    mail = waiting.pop(0)
                    after = self._deliver(replace(state, mail=frozenset()), mail)
                    if after is not None:
                        state = after
                        waiting += state.mail
                    yield state

    def _propose_again(self, state: CaseState, index: int, waiting: list[Mail]) -> CaseState:
        """Abandon a proposer's round, as after its deadline, and propose; queue its messages."""
        now = self.proposer_now(state.tick)
        proposer = copied_proposer(state.proposers[index])
        if (claim := proposer.claims.get(LEASE)) and not claim.held_until_us:
            outgoing = proposer.release(LEASE, "")
            state = self._with_proposer(replace(state, mail=frozenset()), index, proposer, outgoing)
            waiting += state.mail
            proposer = copied_proposer(state.proposers[index])
        proposer.propose(now, LEASE)
        state = self._with_proposer(
            replace(state, mail=frozenset()), index, proposer, proposer.due(now)
        )
        waiting += state.mail
        return state

    def key(self, state: CaseState) -> Hashable:
        """Return a key that equal states share."""
        return state_key(
            state,
            self.case_timing,
            self.acceptor_now(state.tick),
            self.proposer_now(state.tick),
            lambda mail: self._can_matter(state, mail),
        )
