"""What a task is. Pure; loaded with every operator file, so it needs no library."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

SECOND = 1_000_000
NOTES_MOST = 64  # tasks of one lease: what is known of them goes into one packet


@dataclass(frozen=True, slots=True)
class LeaseSpec:
    """A task; spans in us."""

    name: str
    every: int
    once: str = "at-least"  # or at-most
    needs: int = SECOND  # how long a call may take: so much must be left of the lease
    jitter: float = 0.1  # of ``every``: how far tasks are spread
    retry: bool = True  # within its turn (at-least only)
    on_loss: str = "abandon"  # or finish: what becomes of a call when the lease is lost

    @property
    def id(self) -> bytes:
        """Under which its notes are kept."""
        return hashlib.blake2b(self.name.encode(), digest_size=8).digest()

    @property
    def offset(self) -> int:
        """Its place in the spread."""
        part = int.from_bytes(hashlib.blake2b(self.name.encode(), digest_size=4).digest()) / 2**32
        return int(part * self.jitter * self.every)

    def turn_at(self, wall: int) -> int:
        """Which turn it is."""
        return (wall - self.offset) // self.every

    def due_at(self, turn: int) -> int:
        """When it is due, Unix us."""
        return turn * self.every + self.offset
