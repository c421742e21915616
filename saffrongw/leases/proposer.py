"""The proposer of one gateway: it prepares, proposes, holds, renews and releases leases.

No I/O: callers pass in the time and messages, and get messages back. All times are us of this
gateway's own clock. A lease's duration counts from before its request was sent, so a late answer
leaves less of it, and an answer after the duration is void.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .claim import (
    Claim,
    ClaimStage,
    FencingToken,
    LeaseEvent,
    LeaseGained,
    LeaseLost,
    LeaseRecalled,
)
from .gateway_id import GatewayId
from .messages import (
    NUMBER_LIMIT,
    Accept,
    Ballot,
    Message,
    Nack,
    NackReason,
    Outgoing,
    Prepare,
    Promise,
    Propose,
    Release,
)
from .timing import MILLISECOND_US, Timing

# Failed rounds after which a contended lease is left alone until it is offered again.
MAX_ATTEMPTS = 4
MAX_CLAIMS = 1_024


class Proposer:
    """All leases that one incarnation of a gateway holds or proposes for.

    ``draw`` returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        gateway: GatewayId,
        voters: Iterable[str],
        timing: Timing,
        draw: Callable[[], float],
    ) -> None:
        """Start with no claims, for this set of voters."""
        self.gateway = gateway
        self.timing = timing
        self.draw = draw
        self.voters = tuple(voters)
        self.claims: dict[str, Claim] = {}
        self.events: list[LeaseEvent] = []
        # Ballot numbers are never reused: an answer to the earlier use would count for the later.
        self.last_ballot_number = 0
        # The highest fencing token seen anywhere.
        self.highest_token = 0
        # By lease: tokens that receivers have already seen.
        self.token_floors: dict[str, int] = {}
        # Voters whose answers are ignored, as their clocks run at a wrong rate.
        self.distrusted: frozenset[str] = frozenset()
        # Why this gateway proposes nothing; empty while it does.
        self.stop_reason = ""
        # The keys, with underscores, are names in /admin/stats.
        self.counters = {
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
        """Return how many voters have to agree."""
        return len(self.voters) // 2 + 1

    # -- commands ----------------------------------------------------------------------------------

    def propose(self, now: int, lease: str, delay_us: int = 0, ballot_number: int = 0) -> None:
        """Prepare for a lease after ``delay_us``, with a ballot above ``ballot_number``.

        Do nothing if the lease is already claimed, there are too many claims, or proposing has
        stopped.
        """
        if self.stop_reason or lease in self.claims or len(self.claims) >= MAX_CLAIMS:
            return
        above = min(ballot_number, NUMBER_LIMIT // 2)
        self.claims[lease] = Claim(lease, next_step_us=now + delay_us, highest_ballot_number=above)

    def release(self, lease: str, reason: str) -> list[Outgoing]:
        """Stop using a lease, and release it so that another gateway can acquire it at once."""
        claim = self.claims.pop(lease, None)
        if claim is None:
            return []
        if claim.held_until_us:
            self.counters["given back"] += 1
            self.events.append(LeaseLost(lease, claim.fencing_token, reason))
        if not claim.ballot.number:
            return []
        return self._to_voters(Release(lease, claim.ballot))

    def release_all(self, reason: str) -> list[Outgoing]:
        """Release all leases."""
        return [outgoing for lease in list(self.claims) for outgoing in self.release(lease, reason)]

    def require_token_above(self, lease: str, token: int) -> None:
        """Make the next token of a lease higher than one that a receiver has already seen."""
        self.observe_token(token)
        if token < NUMBER_LIMIT // 2:
            self.token_floors[lease] = max(self.token_floors.get(lease, 0), token)
            while len(self.token_floors) > MAX_CLAIMS:
                del self.token_floors[next(iter(self.token_floors))]

    def observe_token(self, token: int) -> None:
        """Track the highest fencing token seen anywhere."""
        if token < NUMBER_LIMIT // 2:
            self.highest_token = max(self.highest_token, token)

    def replace_voters(self, now: int, voters: Iterable[str]) -> None:
        """Change to another voter set.

        Held leases stay valid until they expire, and are not renewed.
        """
        self.voters = tuple(voters)
        for claim in list(self.claims.values()):
            if claim.held_until_us > now:
                claim.stage, claim.next_step_us = ClaimStage.RESTING, claim.held_until_us
            else:
                self._drop(now, claim, "the voters changed")

    def held(self, now: int) -> list[Claim]:
        """Return the claims that are held now."""
        return [claim for claim in self.claims.values() if claim.held_until_us > now]

    def token(self, lease: str, clock: Callable[[], int]) -> FencingToken | None:
        """Return the fencing token for a task under this lease; None if it is not held."""
        claim = self.claims.get(lease)
        if claim is None or claim.held_until_us <= clock():
            return None
        return FencingToken(lease, claim.fencing_token, self, clock)

    # -- time --------------------------------------------------------------------------------------

    def next_at(self) -> int | None:
        """Return when ``due`` has to be called next; None if there are no claims."""
        earliest = None
        for claim in self.claims.values():
            at = claim.next_step_us
            if claim.held_until_us:
                at = min(at, claim.held_until_us)
            if earliest is None or at < earliest:
                earliest = at
        return earliest

    def due(self, now: int) -> list[Outgoing]:
        """Expire claims, resend requests, abandon rounds and renew leases whose time has come."""
        outgoing: list[Outgoing] = []
        for claim in list(self.claims.values()):
            if claim.held_until_us and claim.held_until_us <= now:
                self._drop(now, claim, "it ran out")
                outgoing += self._release_round(claim)
            elif claim.next_step_us <= now:
                outgoing += self._next_step(now, claim)
        if any(
            claim.stage is ClaimStage.PROPOSING and claim.round_started_us == now
            for claim in self.claims.values()
        ):
            outgoing += self._renew_early(now)
        return outgoing

    def _renew_early(self, now: int) -> list[Outgoing]:
        """Renew leases that are nearly due in the same datagrams as those that are due.

        Their later renewals fall together too.
        """
        outgoing: list[Outgoing] = []
        soon = now + self.timing.renew_after_us // 4
        for claim in list(self.claims.values()):
            resting = claim.stage is ClaimStage.RESTING
            if resting and claim.next_step_us <= soon and not self.stop_reason:
                outgoing += self._start_propose(now, claim)
        return outgoing

    def _next_step(self, now: int, claim: Claim) -> list[Outgoing]:
        if claim.stage is ClaimStage.WAITING:
            return self._start_prepare(now, claim)
        if claim.stage is ClaimStage.RESTING:
            if self.stop_reason:
                claim.next_step_us = claim.held_until_us
                return []
            if claim.outbid:
                return self._start_prepare(now, claim)
            return self._start_propose(now, claim)
        if now < claim.round_deadline_us:
            return self._resend(now, claim)
        return self._round_failed(now, claim)

    def _resend(self, now: int, claim: Claim) -> list[Outgoing]:
        claim.next_step_us = min(now + self.timing.resend_after_us, claim.round_deadline_us)
        request = self._request(claim)
        return [
            Outgoing(voter, request)
            for voter in self.voters
            if voter not in claim.agreeing and voter not in claim.rejecting
        ]

    def _request(self, claim: Claim) -> Prepare | Propose:
        initial = not claim.held_until_us
        if claim.stage is ClaimStage.PREPARING:
            return Prepare(claim.lease, claim.ballot, initial, self.highest_token)
        return Propose(
            claim.lease,
            claim.ballot,
            claim.round,
            self.timing.duration_us,
            claim.fencing_token,
            initial,
        )

    def _to_voters(self, message: Message) -> list[Outgoing]:
        return [Outgoing(voter, message) for voter in self.voters]

    def _start_round(self, now: int, claim: Claim, stage: ClaimStage) -> list[Outgoing]:
        claim.stage = stage
        claim.round_started_us = now
        claim.round_deadline_us = now + self.timing.max_round_us
        claim.next_step_us = now + self.timing.resend_after_us
        claim.agreeing, claim.rejecting = set(), set()
        self.counters["asked"] += 1
        return self._to_voters(self._request(claim))

    def _start_prepare(self, now: int, claim: Claim) -> list[Outgoing]:
        self.last_ballot_number = max(self.last_ballot_number, claim.highest_ballot_number) + 1
        claim.highest_ballot_number = self.last_ballot_number
        claim.ballot = Ballot(self.last_ballot_number, *self.gateway)
        claim.round = claim.highest_token = 0
        claim.outbid = False
        if not claim.held_until_us:
            claim.progress, claim.memory_since_us = {}, 0
        return self._start_round(now, claim, ClaimStage.PREPARING)

    def _start_propose(self, now: int, claim: Claim) -> list[Outgoing]:
        claim.round += 1
        return self._start_round(now, claim, ClaimStage.PROPOSING)

    def _round_failed(self, now: int, claim: Claim) -> list[Outgoing]:
        """Retry a round without a majority, after a backoff if the lease is not held."""
        claim.attempts += 1
        if claim.held_until_us:
            # The lease is still held: start the next round, but leave time for answers.
            claim.outbid = claim.outbid or claim.stage is ClaimStage.PREPARING
            claim.stage = ClaimStage.RESTING
            claim.next_step_us = max(now, claim.round_started_us + self.timing.resend_after_us // 2)
            return [] if claim.next_step_us > now else self._next_step(now, claim)
        if claim.attempts >= MAX_ATTEMPTS or self.stop_reason:
            self._drop(now, claim, "")
            return self._release_round(claim)
        # Two proposers in step would outbid each other forever, so each waits a random part of a
        # backoff that doubles. After the first round the wait is short: there may be no competitor,
        # only a ballot that was too low.
        max_wait_us = min(
            self.timing.resend_after_us * 2**claim.attempts, self.timing.duration_us // 2
        )
        if claim.attempts == 1:
            max_wait_us = self.timing.stagger_us
        claim.stage = ClaimStage.WAITING
        claim.next_step_us = now + int(self.draw() * max_wait_us) + MILLISECOND_US
        return self._release_round(claim)

    def _release_round(self, claim: Claim) -> list[Outgoing]:
        """Release what a minority of the voters may have granted in a failed round.

        Promises need no release.
        """
        if not claim.round:
            return []
        return self._to_voters(Release(claim.lease, claim.ballot))

    def _drop(self, now: int, claim: Claim, reason: str) -> None:
        self.claims.pop(claim.lease, None)
        if claim.held_until_us:
            self.counters["lost" if claim.held_until_us <= now else "given back"] += 1
            claim.held_until_us = 0
            self.events.append(LeaseLost(claim.lease, claim.fencing_token, reason))

    # -- messages ----------------------------------------------------------------------------------

    def handle(self, now: int, voter: str, message: Promise | Accept | Nack) -> list[Outgoing]:
        """Handle an acceptor's answer and return the next messages."""
        if voter not in self.voters or voter in self.distrusted:
            return []
        claim = self.claims.get(message.lease)
        if claim is None or message.ballot != claim.ballot:
            return []
        if claim.held_until_us and claim.held_until_us <= now:
            self.counters["late"] += 1
            return self.due(now)
        match message:
            case Promise() if claim.stage is ClaimStage.PREPARING:
                return self._on_promise(now, voter, claim, message)
            case Accept() if claim.stage is ClaimStage.PROPOSING and message.round == claim.round:
                return self._on_accept(now, voter, claim)
            case Nack():
                return self._on_nack(now, voter, claim, message)
        return []

    def _on_promise(self, now: int, voter: str, claim: Claim, promise: Promise) -> list[Outgoing]:
        if now >= claim.round_deadline_us:
            # This process was paused: the acceptors may have forgotten their promises by now.
            return self._round_failed(now, claim)
        claim.agreeing.add(voter)
        claim.highest_token = max(
            claim.highest_token, min(promise.highest_token, NUMBER_LIMIT // 2)
        )
        self.observe_token(promise.highest_token)
        claim.memory_since_us = max(claim.memory_since_us, promise.memory_since_us)
        claim.merge_progress(promise.progress)
        if len(claim.agreeing) < self.majority:
            return []
        if not claim.held_until_us:
            # A held lease keeps its token: no other gateway can have held it under a higher one.
            floor = self.token_floors.get(claim.lease, 0)
            claim.fencing_token = max(claim.highest_token, self.highest_token, floor) + 1
            self.observe_token(claim.fencing_token)
        return self._start_propose(now, claim)

    def _on_accept(self, now: int, voter: str, claim: Claim) -> list[Outgoing]:
        claim.agreeing.add(voter)
        if len(claim.agreeing) < self.majority:
            return []
        held_until_us = claim.round_started_us + self.timing.holder_duration_us
        if held_until_us <= now:
            self.counters["late"] += 1
            return self._round_failed(now, claim)
        claim.attempts = 0
        renew_after_us = self.timing.renew_after_us
        if claim.rejecting and not claim.held_until_us:
            # Renew soon to win the voters that rejected the first round: until then they offer the
            # lease to others.
            renew_after_us = self.timing.resend_after_us
        claim.stage = ClaimStage.RESTING
        claim.next_step_us = claim.round_started_us + renew_after_us
        if claim.held_until_us:
            self.counters["renewed"] += 1
        else:
            self.counters["gained"] += 1
            self.events.append(
                LeaseGained(claim.lease, claim.fencing_token, claim.progress, claim.memory_since_us)
            )
            claim.progress = {}
        claim.held_until_us = max(claim.held_until_us, held_until_us)
        return []

    def _on_nack(self, now: int, voter: str, claim: Claim, nack: Nack) -> list[Outgoing]:
        if claim.stage not in (ClaimStage.PREPARING, ClaimStage.PROPOSING):
            return []
        if nack.round != (0 if claim.stage is ClaimStage.PREPARING else claim.round):
            return []
        self.counters["refused"] += 1
        claim.rejecting.add(voter)
        outbid = nack.reason == NackReason.OUTBID
        if outbid:
            claim.outbid = True
            number = min(nack.ballot_number, NUMBER_LIMIT // 2)
            claim.highest_ballot_number = max(claim.highest_ballot_number, number)
        if len(self.voters) - len(claim.rejecting) >= self.majority:
            return []
        if outbid:
            return self._round_failed(now, claim)
        return self._rejected_by_majority(now, claim, nack)

    def _rejected_by_majority(self, now: int, claim: Claim, nack: Nack) -> list[Outgoing]:
        """Abandon a lease that is not held until its next offer; keep a held one to its expiry."""
        if not claim.held_until_us:
            self._drop(now, claim, "")
            return self._release_round(claim)
        claim.next_step_us = min(now + self.timing.resend_after_us, claim.round_deadline_us)
        if nack.reason == NackReason.SUSPENDED:
            self.events.append(LeaseRecalled(claim.lease))
        return []
