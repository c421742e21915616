"""What a machine is to the virtual clock: time and messages in, messages and the time of its next look out."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

Sent = list[tuple[str, Any]]  # to whom, what; a message must not be changed once it was handed out


class Machine(Protocol):
    """One life of one node. Times are us of the node's own clock."""

    def receive(self, now: int, sender: str, message: Any) -> Sent:
        """A message has come."""

    def due(self, now: int) -> Sent:
        """Its time has come, or it was asked for."""

    def next_at(self) -> int:
        """When ``due`` is wanted, at the latest."""


Make = Callable[[str, int, int, random.Random], Machine]  # name, life, own clock, random numbers
