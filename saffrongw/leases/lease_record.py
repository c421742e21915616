"""The state of one lease at an acceptor: its promise, its grant, and the progress of its tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .gateway_id import GatewayId
from .messages import NO_BALLOT, Accept, Ballot, Propose, TaskProgress
from .spec import MAX_TASKS_PER_LEASE


class GrantRow(NamedTuple):
    """One lease as a row for /admin/leases; the holder is empty if the lease is free."""

    lease: str
    holder: str
    fencing_token: int
    remaining_us: int


@dataclass(slots=True)
class LeaseRecord:
    """The state of one lease at one acceptor; times are us of its clock."""

    promised: Ballot = NO_BALLOT
    # Ballot, round and token of the last grant, and when it expires; 0: no grant is in force.
    granted: Ballot = NO_BALLOT
    granted_round: int = 0
    granted_token: int = 0
    expires_us: int = 0
    # The last ballot that its proposer has released.
    released: Ballot = NO_BALLOT
    highest_token: int = 0
    progress: dict[bytes, TaskProgress] = field(default_factory=dict)
    last_used_us: int = 0
    # Offers made since the lease became free, and when to make the next one; 0: make none.
    offer_count: int = 0
    next_offer_us: int = 0

    @property
    def holder(self) -> GatewayId | None:
        """Return the gateway to which the lease is granted."""
        return self.granted.owner if self.expires_us else None

    def free(self, now: int) -> None:
        """End the grant, and offer the lease from now on."""
        self.expires_us, self.offer_count, self.next_offer_us = 0, 0, now

    def is_duplicate(self, now: int, request: Propose) -> bool:
        """Return whether the grant in force is of a later round of the proposal's ballot."""
        running = self.expires_us > now and self.granted == request.ballot
        return running and request.round < self.granted_round

    def grant(self, now: int, request: Propose, duration_us: int) -> Accept:
        """Grant the lease as proposed, for ``duration_us`` from now."""
        self.promised = max(self.promised, request.ballot)
        self.granted = request.ballot
        self.granted_round = request.round
        self.granted_token = request.fencing_token
        self.expires_us = now + duration_us
        self.highest_token = max(self.highest_token, request.fencing_token)
        self.next_offer_us = 0
        return Accept(request.lease, request.ballot, request.round)

    def store_progress(self, reported: tuple[TaskProgress, ...]) -> None:
        """Store the reports that are more recent than the known progress of their tasks.

        Beyond ``MAX_TASKS_PER_LEASE`` the tasks that were updated longest ago are dropped.
        """
        for progress in reported:
            if progress.supersedes(self.progress.get(progress.task_id)):
                self.progress.pop(progress.task_id, None)
                self.progress[progress.task_id] = progress
        while len(self.progress) > MAX_TASKS_PER_LEASE:
            del self.progress[next(iter(self.progress))]

    def row(self, now: int, lease: str) -> GrantRow:
        """Return the lease as a row for /admin/leases."""
        if self.expires_us <= now:
            return GrantRow(lease, "", self.highest_token, 0)
        remaining_us = self.expires_us - now
        return GrantRow(lease, self.granted.proposer, self.highest_token, remaining_us)
