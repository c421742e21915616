"""The position of one command's reply among the replies of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.load_shedding import QueuedRequest
from ..in_flight_memory import MAX_REPLY_BYTES
from ..reasons import RejectionReason
from ..request_types import SERVED_PREFIX, US_PER_MS, ClientRequest, FinalReply, RequestTerms
from ..streaming_reply import StreamingReply

if TYPE_CHECKING:
    from .connection import ClientConnection


class ReplySlot:
    """The position of one command's reply on its connection.

    It is the ``PendingRequest`` of the admission queue while its request is queued.
    """

    __slots__ = (
        "connection",
        "kind",
        "parts",
        "reply",
        "request",
        "request_id",
        "reserved_bytes",
        "terms",
        "waiting",
    )

    # Set only for a request that is queued.
    terms: RequestTerms
    parts: tuple[bytes, ...]

    def __init__(
        self,
        connection: ClientConnection,
        request_id: bytes | None = None,
        kind: int = 0,
        reserved_bytes: int = 0,
    ) -> None:
        """Make an empty slot; only a request has an id, a class and reserved memory."""
        self.connection = connection
        self.request_id = request_id
        self.kind = kind
        self.reserved_bytes = reserved_bytes
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
        self.start_request(terms, self.parts)

    def start_request(self, terms: RequestTerms, parts: tuple[bytes, ...]) -> None:
        """Start the request; the policy may answer it at once."""
        driver = self.connection.clients.driver
        request = driver.request_arrived(terms, parts, self.answer)
        # A request that is answered would form a reference cycle with its slot.
        if not request.is_finished:
            self.request = request

    def reduce_reservation(self, needed_bytes: int) -> None:
        """Give back the memory that is reserved beyond what is still needed."""
        surplus = self.reserved_bytes - needed_bytes
        if surplus > 0:
            self.reserved_bytes = needed_bytes
            self.connection.clients.in_flight_memory.release(surplus)

    def reject(self, reply: bytes, reason: RejectionReason = RejectionReason.OVERLOAD) -> None:
        """Reject the queued request.

        The reply is written at the end of the turn: the queue may reject this request while the
        commands of another connection are processed.
        """
        self.reply = reply
        self.reduce_reservation(len(reply))
        self.waiting = None
        clients = self.connection.clients
        clients.driver.metrics.count_rejection(self.terms.kind, reason)
        if clients.driver.request_log:
            clients.driver.request_log.rejected(self.connection.number, self.request_id, reason)
        clients.open_request_ids.discard(self.request_id)
        self.connection.schedule_flush()

    def answer(self, reply: FinalReply) -> None:
        """Store the final reply; it is written after those of earlier commands."""
        self.reply = reply
        # Breaks a reference cycle, which would otherwise live until the garbage collector runs.
        self.request = None
        # A streaming reply keeps its request open until it is written.
        clients = self.connection.clients
        if isinstance(reply, bytes):
            if reply.startswith(SERVED_PREFIX):
                clients.reply_sizes.observe(self.kind, len(reply))
            self.reduce_reservation(len(reply))
            clients.open_request_ids.discard(self.request_id)
        else:
            clients.reply_sizes.observe(self.kind, MAX_REPLY_BYTES)
        self.connection.flush()
