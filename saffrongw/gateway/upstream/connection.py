"""One connection to an endpoint, with one attempt at a time on it.

The outcome decides whether a request may be retried: what failed before its last byte was sent has
never run (CONNECT_FAILED), what failed after it may have (CONNECTION_LOST). Nothing is ever sent
again from here.
"""

from __future__ import annotations

import asyncio
import logging
import select
from typing import TYPE_CHECKING, cast

from ...policy.events import AttemptOutcome
from ..request_types import UpstreamAttempt
from ..resp import MalformedMessageError, ReplyReader
from ..streaming_reply import StreamingReply
from .codec import pack_request

if TYPE_CHECKING:
    from .pool import ConnectionPool

log = logging.getLogger(__name__)

# For the rest of a reply that has begun.
REPLY_REMAINDER_TIMEOUT_S = 0.5


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint: idle, or with one attempt on it."""

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionPool) -> None:
        """Prepare for a connection that is not open yet."""
        self.pool = pool
        self.cluster = pool.cluster
        self.reader = ReplyReader()
        self.attempt: UpstreamAttempt | None = None
        # On its way from the endpoint to a client.
        self.streaming: StreamingReply | None = None
        self.is_connected = False
        # It did not come up in time, and must not be used if it still does.
        self.is_abandoned = False
        # Counted among the cluster's open connections.
        self.is_counted = False
        self.is_paused = False
        self.idle_since_s = 0.0
        self.poll = select.poll()
        # Ends an attempt whose reply has begun and does not go on.
        self.remainder_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up a connection.

        With a high-water mark of 0 the loop reports when the last byte was sent.
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
        """Wait: the socket takes no more for now."""

    def resume_writing(self) -> None:
        """Note that the socket has taken all that was written."""
        if self.attempt and not self.attempt.is_fully_sent:
            self.attempt.is_fully_sent = True
            self.cluster.driver.metrics.attempts += 1

    def update_fully_sent(self) -> None:
        """Note whether the last byte was sent: the loop reports that only in its next turn.

        An attempt that is taken for not sent may be retried though it runs.
        """
        if not self.transport.get_write_buffer_size():
            self.resume_writing()

    # -- receiving --------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Take a reply, or a part of it."""
        attempt = self.attempt
        if self.streaming:
            self.reader.feed(data)
            self._continue_streaming(self.streaming)
            return
        if attempt is None:
            # A reply to nothing: which request it belongs to is lost.
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
        if len(self.reader) or not attempt.is_fully_sent:
            # More than belongs to the attempt, or a reply before the end of its request.
            self.abort()
        else:
            self.attempt = None
            self.pool.release(self)
        self.cluster.driver.attempt_ended(attempt, *decoded)

    def _await_remainder(self) -> None:
        if self.remainder_timer is None:
            self.remainder_timer = self.cluster.loop.call_later(
                REPLY_REMAINDER_TIMEOUT_S, self._reply_malformed, "an answer did not end"
            )

    def _stop_remainder_timer(self) -> None:
        if self.remainder_timer:
            self.remainder_timer.cancel()
            self.remainder_timer = None

    def _reply_malformed(self, error: str) -> None:
        """End an attempt that may have run, and a connection of no further use."""
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
        """Answer the attempt's request with a value whose bytes follow as they arrive."""
        self._stop_remainder_timer()
        self.attempt = None
        value = self.streaming = StreamingReply(self.cluster.loop, self, length)
        self.cluster.driver.attempt_ended(attempt, AttemptOutcome.SERVED, value)
        if value.is_final_reply:
            self._continue_streaming(value)
        else:
            # Nobody waits for it any more.
            value.abandon()

    def _continue_streaming(self, value: StreamingReply) -> None:
        """Pass on what has arrived of a streamed value; behind it the connection is free again."""
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
        if len(self.reader) or self.transport.is_closing():
            self.abort()
        else:
            self.streaming = None
            self.pool.release(self)

    def set_paused(self, paused: bool) -> None:
        """Stop reading a streamed value whose client is slow, or go on."""
        if paused is not self.is_paused and not self.transport.is_closing():
            self.is_paused = paused
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def abandon(self) -> None:
        """Close: nobody wants the streamed value any more."""
        self.streaming = None
        self.abort()

    # -- the end ----------------------------------------------------------------------------------

    def is_quiet(self) -> bool:
        """Whether nothing has arrived that the loop has not reported yet: data, or the end."""
        return not self.poll.poll(0)

    def connection_lost(self, _error: Exception | None) -> None:
        """End what is on the connection: the endpoint closed it, or the network broke it."""
        self._count_out()
        self._stop_remainder_timer()
        self.cluster.closing.discard(self)
        value, self.streaming = self.streaming, None
        if value:
            value.source_lost()
        attempt, self.attempt = self.attempt, None
        if attempt:
            # A reset may come after the endpoint ran the request, unless the last byte was never
            # sent.
            is_sent = attempt.is_fully_sent
            outcome = AttemptOutcome.CONNECTION_LOST if is_sent else AttemptOutcome.CONNECT_FAILED
            self.cluster.driver.attempt_ended(attempt, outcome)

    def abort(self) -> None:
        """Close at once; whoever gives up the attempt on it reports its outcome."""
        self.attempt = None
        value, self.streaming = self.streaming, None
        if value:
            value.source_lost()
        self._stop_remainder_timer()
        self._count_out()
        if not self.transport.is_closing():
            # Its descriptor is free only once the loop has closed it.
            self.cluster.closing.add(self)
        self.transport.abort()

    def _count_out(self) -> None:
        if self.is_counted:
            self.is_counted = False
            self.cluster.open_connections -= 1
            self.pool.discard_idle(self)
