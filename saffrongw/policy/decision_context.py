"""The context of one decision: the time of the event being handled, and the resulting actions."""

from __future__ import annotations

from .actions import Action


class DecisionContext:
    """The event time and the action list that all components of one gateway share.

    ``Gateway.handle`` sets both before it dispatches an event; the components read the time and
    append actions. Times are in microseconds of the caller's clock.
    """

    __slots__ = ("actions", "now_us")

    def __init__(self, now_us: int) -> None:
        """Start at the given time without actions."""
        self.now_us = now_us
        self.actions: list[Action] = []
