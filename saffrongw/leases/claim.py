"""Claims: the leases that a gateway holds or proposes for, and their fencing tokens."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from .messages import NO_BALLOT, Ballot, TaskProgress


class ClaimStage(Enum):
    """What a claim waits for."""

    # For the time of its next prepare.
    WAITING = "waiting"
    PREPARING = "preparing"
    PROPOSING = "proposing"
    # Held; no request is in flight.
    RESTING = "resting"


@dataclass(frozen=True, slots=True)
class LeaseGained:
    """This gateway holds a lease.

    ``progress`` is the progress of its tasks that a majority has stored; it is complete since
    ``memory_since_us`` (Unix us).
    """

    lease: str
    fencing_token: int
    progress: dict[bytes, TaskProgress]
    memory_since_us: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This gateway no longer holds a lease."""

    lease: str
    fencing_token: int
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseRecalled:
    """A lease should be released as soon as no task under it is in the middle of a turn."""

    lease: str


LeaseEvent = LeaseGained | LeaseLost | LeaseRecalled


@dataclass(slots=True)
class Claim:
    """One lease that this gateway holds or proposes for; times are us of its clock."""

    lease: str
    stage: ClaimStage = ClaimStage.WAITING
    next_step_us: int = 0
    ballot: Ballot = NO_BALLOT
    round: int = 0
    # When the first request of this round was sent, and when the round is abandoned.
    round_started_us: int = 0
    round_deadline_us: int = 0
    agreeing: set[str] = field(default_factory=set)
    rejecting: set[str] = field(default_factory=set)
    highest_ballot_number: int = 0
    # An acceptor has seen a higher ballot, or a prepare failed: prepare again before a proposal.
    outbid: bool = False
    highest_token: int = 0
    memory_since_us: int = 0
    progress: dict[bytes, TaskProgress] = field(default_factory=dict)
    attempts: int = 0
    # The token under which the lease is held or proposed.
    fencing_token: int = 0
    # 0: the lease is not held.
    held_until_us: int = 0

    def merge_progress(self, received: Iterable[TaskProgress]) -> None:
        """Merge what an acceptor knows of the lease's tasks."""
        for progress in received:
            if progress.supersedes(self.progress.get(progress.task_id)):
                self.progress[progress.task_id] = progress


class Claims(Protocol):
    """The proposer's claims, where a fencing token looks up its own."""

    claims: dict[str, Claim]


@dataclass(frozen=True, slots=True)
class FencingToken:
    """The fencing token of a held lease, under which a task acts.

    Call ``valid`` just before each external effect: once it returns False, the token is void.
    """

    lease: str
    number: int
    proposer: Claims
    clock: Callable[[], int]

    def valid(self, min_remaining_us: int = 0) -> bool:
        """Return whether the lease is held now and for more than ``min_remaining_us``."""
        return self.remaining_us() > min_remaining_us

    def remaining_us(self) -> int:
        """Return how much longer the lease is held under this token; 0 once it is not."""
        claim = self.proposer.claims.get(self.lease)
        if claim is None or claim.fencing_token != self.number or not claim.held_until_us:
            return 0
        return max(0, claim.held_until_us - self.clock())
