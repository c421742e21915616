"""What the parts of one gateway share while it handles an event: its time and the actions."""

from __future__ import annotations

from .actions import Action


class DecisionContext:
    """The time of the event being handled and the actions that were decided for it.

    ``Gateway.handle`` sets both before it dispatches an event; the parts read the time and append
    actions. Times are in microseconds of the caller's clock.
    """

    __slots__ = ("actions", "now_us")

    def __init__(self, now_us: int) -> None:
        """Start at the given time without actions."""
        self.now_us = now_us
        self.actions: list[Action] = []
