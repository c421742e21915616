"""Relays operators' calls along the chain of processes that hot restarts form.

Each process has at most one predecessor, which still finishes its requests, and at most one
successor, which waits to serve. A call that one of them receives holds for all of them, so it is
sent on in every direction from which it did not come.
"""

from __future__ import annotations

from collections.abc import Callable

from .messages import Message

SendMessage = Callable[..., object]


def _send_to_nobody(*_message: object) -> None:
    """Discard a message, as there is no process in this direction."""


class AdminRelay:
    """Sends operators' calls to the neighbouring processes, and applies those that come from them.

    A direction is connected by setting its ``send_to_`` attribute. ``apply`` raises
    ``MalformedMessageError`` for a message that can't be used; such a message is not sent on.
    """

    def __init__(self, apply: Callable[[Message], None]) -> None:
        """Start without neighbouring processes."""
        self.apply = apply
        self.send_to_predecessor: SendMessage = _send_to_nobody
        self.send_to_successor: SendMessage = _send_to_nobody

    def publish(self, *message: object) -> None:
        """Send a call that this process received from an operator, and has applied."""
        self.send_to_predecessor(*message)
        self.send_to_successor(*message)

    def receive_from_predecessor(self, message: Message) -> None:
        """Apply a call that the predecessor sent, and send it on."""
        self.apply(message)
        self.send_to_successor(*message)

    def receive_from_successor(self, message: Message) -> None:
        """Apply a call that the successor sent, and send it on."""
        self.apply(message)
        self.send_to_predecessor(*message)
