"""The interface of a simulated state machine: it takes times and messages, and returns messages and its next wake-up."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

# (receiver, message); a message must not be changed after it was returned.
Sent = list[tuple[str, Any]]


class Machine(Protocol):
    """The state machine of one node, from start to kill. Times are us of the node's own clock."""

    def receive(self, now: int, sender: str, message: Any) -> Sent:
        """Handles a message."""

    def due(self, now: int) -> Sent:
        """Handles the passing of time; may be called before ``next_at``."""

    def next_at(self) -> int:
        """The latest time at which ``due`` has to be called next."""


# Arguments: node name, life number, time of the node's clock, random generator.
Make = Callable[[str, int, int, random.Random], Machine]
