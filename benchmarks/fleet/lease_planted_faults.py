"""Faulty acceptors, proposers and timing that the lease explorer must detect."""

from __future__ import annotations

import msgspec

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import Candidates
from saffrongw.leases.claim import Claim, ClaimStage
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.messages import Accept, Nack, Outgoing, Prepare, Promise, Propose
from saffrongw.leases.proposer import Proposer
from saffrongw.leases.suspensions import Suspensions
from saffrongw.leases.timing import Timing

from .lease_case_state import CaseTiming


class NotSilentAcceptor(Acceptor):
    """Answers immediately after a start instead of staying silent first."""

    def __init__(
        self,
        name: str,
        timing: Timing,
        candidates: Candidates,
        suspensions: Suspensions,
        now: int,
    ) -> None:
        """Start without the silent period."""
        super().__init__(name, timing, candidates, suspensions, now)
        self.silent_until_us = now


class BackwardAcceptor(Acceptor):
    """Accepts a late renewal under a ballot older than the holder's current grant."""

    def _on_propose(
        self, now: int, wall: int, sender: GatewayId, request: Propose
    ) -> Accept | Nack:
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


class DoubleGrantAcceptor(Acceptor):
    """Grants a lease to one gateway while another gateway's grant is still valid."""

    def _on_prepare(
        self, now: int, wall: int, sender: GatewayId, request: Prepare
    ) -> Promise | Nack:
        self._end_other_grant(now, sender, request.lease)
        return super()._on_prepare(now, wall, sender, request)

    def _on_propose(
        self, now: int, wall: int, sender: GatewayId, request: Propose
    ) -> Accept | Nack:
        self._end_other_grant(now, sender, request.lease)
        return super()._on_propose(now, wall, sender, request)

    def _end_other_grant(self, now: int, sender: GatewayId, lease: str) -> None:
        record = self.records.get(lease)
        if record and record.holder != sender:
            record.free(now)


class LongHolderTiming(CaseTiming):
    """The holder's duration is as long as the acceptor's."""

    @property
    def holder_duration_us(self) -> int:
        """Return the acceptor's duration."""
        return self.duration_us


class MinorityProposer(Proposer):
    """Needs one voter less than a majority."""

    @property
    def majority(self) -> int:
        """Return one voter less than a majority."""
        return len(self.voters) // 2


class AnyTokenAcceptor(Acceptor):
    """Accepts any fencing token."""

    def _on_propose(
        self, now: int, wall: int, sender: GatewayId, request: Propose
    ) -> Accept | Nack:
        record, floor = self._record(now, request.lease), self.token_floor
        highest_token, record.highest_token, self.token_floor = record.highest_token, 0, 0
        answer = super()._on_propose(now, wall, sender, request)
        record.highest_token, self.token_floor = max(highest_token, record.highest_token), floor
        return answer


class SameTokenProposer(Proposer):
    """Uses the highest token that it learned of instead of the next one."""

    def _on_promise(self, now: int, voter: str, claim: Claim, promise: Promise) -> list[Outgoing]:
        out = super()._on_promise(now, voter, claim, promise)
        if (
            claim.stage is ClaimStage.PROPOSING
            and not claim.held_until_us
            and claim.fencing_token > 1
        ):
            claim.fencing_token -= 1
            out = [
                Outgoing(one.receiver, with_token(one.message, claim.fencing_token))
                for one in out
                if isinstance(one.message, Propose)
            ]
        return out


def with_token(proposal: Propose, token: int) -> Propose:
    """Return the same proposal with another fencing token."""
    return msgspec.structs.replace(proposal, fencing_token=token)


class CountedAnswers(set[str]):
    """A set whose length counts duplicate answers too."""

    times = 0

    def __copy__(self) -> CountedAnswers:
        """Copy the count too."""
        new = CountedAnswers(self)
        new.times = self.times
        return new

    def add(self, one: str) -> None:
        """Count an answer, even from a voter that has already answered."""
        super().add(one)
        self.times += 1

    def __len__(self) -> int:
        """Return the number of answers received."""
        return self.times


class DoubleCountProposer(Proposer):
    """Counts answers instead of distinct voters."""

    def _start_round(self, now: int, claim: Claim, stage: ClaimStage) -> list[Outgoing]:
        out = super()._start_round(now, claim, stage)
        claim.agreeing = CountedAnswers()
        return out
