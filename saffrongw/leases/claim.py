"""Claims: the leases that a gateway holds or proposes for, and the tokens that tasks act under."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from .messages import NO_BALLOT, Ballot, TaskProgress


class ClaimStage(Enum):
    """What a claim waits for."""

    # For its time to prepare.
    WAITING = "waiting"
    PREPARING = "preparing"
    PROPOSING = "proposing"
    # Held; no request is in flight.
    RESTING = "resting"


@dataclass(frozen=True, slots=True)
class LeaseGained:
    """This gateway holds a lease.

    ``progress`` is what a majority knows of its tasks, complete since ``memory_since_us`` (Unix
    us).
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
    """A lease should be given back as soon as no task is in the middle of a turn under it."""

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
    # When the first request of this round left, and when the round is abandoned.
    round_started_us: int = 0
    round_deadline_us: int = 0
    agreeing: set[str] = field(default_factory=set)
    rejecting: set[str] = field(default_factory=set)
    highest_ballot_number: int = 0
    # A higher ballot is in the way of ours.
    outbid: bool = False
    highest_token: int = 0
    memory_since_us: int = 0
    progress: dict[bytes, TaskProgress] = field(default_factory=dict)
    attempts: int = 0
    # Under which it is held, or is being proposed.
    fencing_token: int = 0
    # 0: not held.
    held_until_us: int = 0

    def merge_progress(self, received: Iterable[TaskProgress]) -> None:
        """Merge what an acceptor knows of the lease's tasks."""
        for progress in received:
            if progress.supersedes(self.progress.get(progress.task_id)):
                self.progress[progress.task_id] = progress


class Claims(Protocol):
    """Where a token looks up its claim."""

    claims: dict[str, Claim]


@dataclass(frozen=True, slots=True)
class FencingToken:
    """What a task acts under.

    Call ``valid`` just before each effect: a token means nothing once it returns False.
    """

    lease: str
    number: int
    proposer: Claims
    clock: Callable[[], int]

    def valid(self, min_remaining_us: int = 0) -> bool:
        """Return whether the lease is held now and for more than ``min_remaining_us``."""
        return self.remaining_us() > min_remaining_us

    def remaining_us(self) -> int:
        """Return for how long the lease is still held under this token; 0: it is over."""
        claim = self.proposer.claims.get(self.lease)
        if claim is None or claim.fencing_token != self.number or not claim.held_until_us:
            return 0
        return max(0, claim.held_until_us - self.clock())
