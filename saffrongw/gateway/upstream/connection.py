"""One connection to an endpoint, with one attempt at a time on it.

The outcome of an attempt decides whether its request may be retried. An attempt that failed before
its last byte was sent has never run (CONNECT_FAILED); one that failed later may have run
(CONNECTION_LOST). This module never sends a request twice.
"""

from __future__ import annotations

import asyncio
import logging
import select
from typing import TYPE_CHECKING, cast

from ...policy.events import AttemptOutcome
from ..bounded_reads import BoundedReadProtocol
from ..request_types import UpstreamAttempt
from ..resp import MalformedMessageError, ReplyReader
from ..streaming_reply import StreamingReply
from .codec import pack_request

if TYPE_CHECKING:
    from .pool import ConnectionPool

log = logging.getLogger(__name__)

# Time for more of a reply that has arrived in part.
REPLY_REMAINDER_TIMEOUT_S = 0.5


class UpstreamConnection(BoundedReadProtocol):
    """One connection to an endpoint: idle, or with one attempt on it."""

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionPool, is_adopted: bool = False) -> None:
        """Prepare for a connection that is not open yet, or adopted from the predecessor."""
        super().__init__(pool.cluster.read_buffer)
        self.pool = pool
        self.is_adopted = is_adopted
        self.cluster = pool.cluster
        self.reader = ReplyReader()
        self.attempt: UpstreamAttempt | None = None
        # The value that is being streamed from the endpoint to a client.
        self.streaming: StreamingReply | None = None
        self.is_connected = False
        # Connecting failed or timed out; if the connection opens after all, it must not be used.
        self.is_abandoned = False
        # Counted among the cluster's open connections.
        self.is_counted = False
        self.is_paused = False
        self.idle_since_s = 0.0
        self.poll = select.poll()
        # Ends an attempt whose reply has arrived only in part.
        self.remainder_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the open connection to its pool.

        With a high-water mark of 0, the loop calls ``resume_writing`` when the last byte was sent.
        """
        transport = cast("asyncio.Transport", transport)
        if self.is_abandoned:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.transport = transport
        self.is_connected = True
        self.is_counted = True
        if self.is_adopted:
            self.pool.adopted(self)
        else:
            self.pool.connected(self)

    # -- sending ----------------------------------------------------------------------------------

    def start(self, attempt: UpstreamAttempt, now_us: int) -> None:
        """Write an attempt's request."""
        self.attempt = attempt
        attempt.carrier = self
        self.transport.write(pack_request(attempt, now_us))
        attempt.is_fully_sent = (
            not self.transport.get_write_buffer_size() and not self.transport.is_closing()
        )
        self.cluster.driver.metrics.attempts += attempt.is_fully_sent

    def pause_writing(self) -> None:
        """Do nothing: ``resume_writing`` follows when the socket has taken all bytes."""

    def resume_writing(self) -> None:
        """Mark the attempt as fully sent: the socket has taken all bytes."""
        if self.attempt and not self.attempt.is_fully_sent:
            self.attempt.is_fully_sent = True
            self.cluster.driver.metrics.attempts += 1

    def update_fully_sent(self) -> None:
        """Check whether the last byte was sent, which the loop reports only in its next turn.

        An attempt that wrongly counts as not sent would be retried although the endpoint runs it.
        """
        if not self.transport.get_write_buffer_size():
            self.resume_writing()

    # -- receiving --------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Process a reply, or a part of it."""
        attempt = self.attempt
        if self.streaming:
            self.reader.feed(data)
            self._continue_streaming(self.streaming)
            return
        if attempt is None:
            # No attempt is in flight, so the data can't be matched to a request.
            self.abort()
            return
        self.reader.feed(data)
        try:
            if attempt.is_fully_sent and (length := self.reader.take_streamed_header()):
                self._start_streaming(attempt, length)
                return
            reply = self.reader.next()
            decoded = reply and self.cluster.decode_reply(reply)
        except MalformedMessageError as error:
            self._reply_malformed(str(error))
            return
        if decoded is None:
            self._await_remainder()
            return
        self._stop_remainder_timer()
        if attempt.is_fully_sent:
            self.attempt = None
            self.pool.release(self)
        else:
            self.abort()
        self.cluster.driver.attempt_ended(attempt, *decoded)

    def _await_remainder(self) -> None:
        """Wait for more of a reply; an endpoint may write it slowly, within the request's time."""
        self._stop_remainder_timer()
        self.remainder_timer = self.cluster.loop.call_later(
            REPLY_REMAINDER_TIMEOUT_S, self._reply_malformed, "an answer did not end"
        )

    def _stop_remainder_timer(self) -> None:
        if self.remainder_timer:
            self.remainder_timer.cancel()
            self.remainder_timer = None

    def _reply_malformed(self, error: str) -> None:
        """End an attempt that may have run, and close its connection, which can't be reused."""
        attempt = self.attempt
        self.abort()
        if attempt:
            self._log_malformed(error)
            self.cluster.driver.attempt_ended(attempt, AttemptOutcome.ERROR)

    def _log_malformed(self, error: str) -> None:
        endpoint = self.pool.endpoint_id.decode(errors="replace")
        log.warning("upstream: malformed reply: endpoint=%s error=%s", endpoint, error)

    # -- streamed values --------------------------------------------------------------------------

    def _start_streaming(self, attempt: UpstreamAttempt, length: int) -> None:
        """Answer the attempt's request with a long value that is passed on as it arrives."""
        self._stop_remainder_timer()
        self.attempt = None
        value = self.streaming = StreamingReply(self.cluster.loop, self, length)
        self.cluster.driver.attempt_ended(attempt, AttemptOutcome.SERVED, value)
        if value.is_final_reply:
            self._continue_streaming(value)
        else:
            # The request is finished already, so the value has no client to go to.
            value.abandon()

    def _continue_streaming(self, value: StreamingReply) -> None:
        """Pass on what has arrived of a streamed value; release the connection after its end."""
        if value.bytes_left and (data := self.reader.take_bytes(value.bytes_left)):
            value.feed(data)
        if value.bytes_left or self.streaming is None:
            return
        try:
            is_at_end = self.reader.is_at_value_end()
            if is_at_end is None:
                return
            if not is_at_end:
                raise MalformedMessageError("a length does not fit")
            if not value.is_complete:
                value.finish()
                # What follows is not for the client, so its backpressure ends here.
                self.set_paused(False)
            if not self.reader.take_streamed_tail():
                if self.remainder_timer is None:
                    self.remainder_timer = self.cluster.loop.call_later(
                        REPLY_REMAINDER_TIMEOUT_S, self.abort
                    )
                return
        except MalformedMessageError as error:
            self._log_malformed(str(error))
            self.abort()
            return
        self._stop_remainder_timer()
        self.streaming = None
        self.pool.release(self)

    def set_paused(self, paused: bool) -> None:
        """Pause reading a streamed value while its client is slow, or resume it."""
        if paused is not self.is_paused and not self.transport.is_closing():
            self.is_paused = paused
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def abandon(self) -> None:
        """Close the connection: its streamed value is not needed any more."""
        self.streaming = None
        self.abort()

    # -- closing ----------------------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """How much of an attempt is not written, and how much of a reply has arrived in part."""
        return self.transport.get_write_buffer_size() + len(self.reader)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is read, and nothing is left of an attempt, a reply or a value."""
        is_busy = self.attempt or self.streaming or self.remainder_timer or len(self.reader)
        return not is_busy and not self.is_paused and not self.transport.is_closing()

    def is_quiet(self) -> bool:
        """Whether the socket has nothing unread: neither data nor the end of the connection."""
        return not self.poll.poll(0)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the attempt or streamed value on a connection that the endpoint or network closed."""
        self._count_as_closed()
        self._stop_remainder_timer()
        self.cluster.closing.discard(self)
        value, self.streaming = self.streaming, None
        if value:
            value.source_lost()
        attempt, self.attempt = self.attempt, None
        if attempt:
            # The endpoint may have run the request before the connection ended, unless the last
            # byte was never sent.
            is_sent = attempt.is_fully_sent
            outcome = AttemptOutcome.CONNECTION_LOST if is_sent else AttemptOutcome.CONNECT_FAILED
            self.cluster.driver.attempt_ended(attempt, outcome)

    def abort(self) -> None:
        """Close at once; the caller reports the outcome of the attempt on it."""
        self.attempt = None
        value, self.streaming = self.streaming, None
        if value:
            value.source_lost()
        self._stop_remainder_timer()
        self._count_as_closed()
        if not self.transport.is_closing():
            # Its descriptor is free only once the loop has closed it.
            self.cluster.closing.add(self)
        self.transport.abort()

    def _count_as_closed(self) -> None:
        if self.is_counted:
            self.is_counted = False
            self.cluster.open_connections -= 1
            self.pool.discard_idle(self)
