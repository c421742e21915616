"""The position of one command's reply among the replies of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.load_shedding import QueuedRequest
from ..reasons import RejectionReason
from ..request_types import US_PER_MS, ClientRequest, FinalReply, RequestTerms
from ..streaming_reply import StreamingReply

if TYPE_CHECKING:
    from .connection import ClientConnection


class ReplySlot:
    """The position of one command's reply on its connection.

    It is the ``PendingRequest`` of the admission queue while its request is queued.
    """

    __slots__ = ("connection", "parts", "reply", "request", "request_id", "terms", "waiting")

    # Set only for a request that is queued.
    terms: RequestTerms
    parts: tuple[bytes, ...]

    def __init__(self, connection: ClientConnection, request_id: bytes | None = None) -> None:
        """Make an empty slot; only a request has an id."""
        self.connection = connection
        self.request_id = request_id
        self.reply: FinalReply | None = None
        self.request: ClientRequest | None = None
        # While it is in the admission queue.
        self.waiting: QueuedRequest | None = None

    @property
    def held_reply_bytes(self) -> int:
        """How much of the reply waits to be written."""
        if isinstance(self.reply, StreamingReply):
            return self.reply.held_bytes
        return len(self.reply or b"")

    def start(self) -> None:
        """Start the queued request; its timeout is reduced by the time that it waited."""
        waiting, self.waiting = self.waiting, None
        if waiting is None:
            return
        driver = self.connection.clients.driver
        timeout_us = max(US_PER_MS, waiting.deadline_us - driver.clock())
        terms = self.terms._replace(timeout_us=timeout_us)
        self.request = driver.request_arrived(terms, self.parts, self.answer)

    def reject(self, reply: bytes, reason: RejectionReason = RejectionReason.OVERLOAD) -> None:
        """Reject the queued request.

        The reply is written at the end of the turn: the queue may reject this request while the
        commands of another connection are processed.
        """
        self.reply = reply
        self.waiting = None
        clients = self.connection.clients
        clients.driver.metrics.count_rejection(self.terms.kind, reason)
        clients.open_request_ids.discard(self.request_id)
        self.connection.schedule_flush()

    def answer(self, reply: FinalReply) -> None:
        """Store the final reply; it is written after those of earlier commands."""
        self.reply = reply
        # Breaks a reference cycle, which would otherwise live until the garbage collector runs.
        self.request = None
        # A streaming reply keeps its request open until it is written.
        if isinstance(reply, bytes):
            self.connection.clients.open_request_ids.discard(self.request_id)
        self.connection.flush()
