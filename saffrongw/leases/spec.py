"""The specification of a task that runs under a lease, and when its turns are due.

Imported with every operator file, so it must not import an optional library.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .timing import SECOND_US

# Tasks under one lease: the progress of all of them has to fit into one packet.
MAX_TASKS_PER_LEASE = 64


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A periodic task; its turns are numbered from the Unix epoch, the same on every gateway."""

    name: str
    period_us: int
    # "at-least" or "at-most": whether a turn runs at least once or at most once.
    delivery: str = "at-least"
    # The longest a call may take; it starts only if the lease is held for longer.
    max_call_us: int = SECOND_US
    # Fraction of the period over which tasks are spread.
    jitter: float = 0.1
    # Whether a failed call is retried within its turn (at-least only).
    retry: bool = True
    # "abandon" or "finish": what happens to a running call when the lease is lost.
    on_loss: str = "abandon"

    @property
    def task_id(self) -> bytes:
        """Return the id under which the task's progress is stored."""
        return hashlib.blake2b(self.name.encode(), digest_size=8).digest()

    @property
    def offset_us(self) -> int:
        """Return the task's own offset into the period."""
        digest = hashlib.blake2b(self.name.encode(), digest_size=4).digest()
        fraction = int.from_bytes(digest) / 2**32
        return int(fraction * self.jitter * self.period_us)

    def turn_at(self, wall: int) -> int:
        """Return the number of the turn at a time in Unix us."""
        return (wall - self.offset_us) // self.period_us

    def due_at(self, turn: int) -> int:
        """Return when a turn is due, in Unix us."""
        return turn * self.period_us + self.offset_us
