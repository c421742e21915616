"""One client connection: reads RESP commands and writes their replies in the same order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

from ..bounded_reads import READ_BYTES, BoundedReadProtocol
from ..in_flight_memory import STREAM_BYTES
from ..reasons import CloseReason, RejectionReason
from ..request_parser import class_and_plan, parse_request
from ..request_types import FAILED, US_PER_MS, RequestTerms, busy_reply
from ..resp import CommandReader, MalformedMessageError
from ..streaming_reply import StreamingReply
from . import socket_state
from .buffer_limits import limit_buffers
from .connection_end import ConnectionEnd
from .input_age import InputAge
from .reply_slot import ReplySlot
from .reservations import Reservations

if TYPE_CHECKING:
    from .listener import ClientConnections

# Commands of one connection that may wait for their replies; further ones stay unread.
MAX_PIPELINED_COMMANDS = 128

# The same while a connection sends more than its turns can take: others wait behind fewer.
MAX_PIPELINED_IN_FLOOD = 32

# Line of a request that holds its id: after the lines of the array, the command and the customer.
SHED_ID_LINE = 6

# Costs of a command within a turn; the unit is a rejection without parsing.
REJECTION_COST = 1
COMMAND_COST = 16
# After a read of this size there may be more unread, which the loop would read at once.
FULL_READ_BYTES = READ_BYTES

# In an overload a connection at the pipeline limit is still read, to reject its commands early,
# until this many bytes of rejections wait behind its pending replies.
MAX_PENDING_REJECTION_BYTES = 64 * 1024


class ClientConnection(BoundedReadProtocol):
    """A client connection that awaits a command, has requests in flight, is idle, or is closing."""

    transport: asyncio.Transport

    def __init__(
        self, clients: ClientConnections, initial_data: bytes = b"", waited_us: int = 0
    ) -> None:
        """Prepare for a connection that is not open yet.

        The predecessor process may have read ``initial_data`` and left it waiting.
        """
        super().__init__(clients.read_buffer)
        self.clients = clients
        # Set when it is opened.
        self.number = 0
        self.request_log = clients.driver.request_log
        self.shutdown = clients.shutdown
        self.reaper = clients.reaper
        self.initial_data = initial_data
        self.input_age = InputAge(clients.driver.clock, waited_us)
        self.memory = clients.in_flight_memory
        self.reservations = Reservations(self.memory, clients.reply_sizes)
        self.reader = CommandReader(self.reservations.may_keep_body)
        self.slots: deque[ReplySlot] = deque()
        # The reply of the first slot, while it is streamed to the client.
        self.streaming: StreamingReply | None = None
        # No more commands are processed; it closes after the pending replies.
        self.is_closing = False
        self.is_reading = True
        self.is_writable = True
        self.pipeline_limit = MAX_PIPELINED_COMMANDS
        # Commands that have arrived wait for the next iteration of the event loop.
        self.is_turn_over = False
        # Set within ``process_commands``, which an immediate reply would reenter by ``flush``.
        self.is_processing = False
        self.is_flush_scheduled = False
        self.end = ConnectionEnd(self)
        # Set when the gateway decides to close the connection.
        self.close_reason: CloseReason | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; its initial data is processed or, in a hand-over, given on."""
        self.transport = cast("asyncio.Transport", transport)
        limit_buffers(self.transport, self.is_tls)
        self.clients.opened(self)
        data, self.initial_data = self.initial_data, b""
        if data or self.shutdown.is_handing_over:
            self.reader.feed(data)
            # Reading starts after this method returns: if it were paused here, it would go on.
            self.clients.loop.call_soon(self._process_initial_data)
        else:
            self._check_caught_up()

    def _process_initial_data(self) -> None:
        if not self.is_closing and not self.transport.is_closing():
            self.process_commands()
            self._check_caught_up()

    # -- backpressure -----------------------------------------------------------------------------

    def pause_writing(self) -> None:
        """Stop reading: replies to a client that reads none must not use up the memory."""
        self.is_writable = False
        self.update_reading()
        if self.streaming:
            self.streaming.set_paused(True)

    def resume_writing(self) -> None:
        """Read again, as the client has read its replies."""
        self.is_writable = True
        self.reservations.release_unwritten()
        self.update_reading()
        if self.streaming:
            self.streaming.set_paused(False)

    def update_reading(self) -> None:
        """Read only while further commands can be processed.

        So no more than one read's worth of data is ever unprocessed.
        """
        is_reading = self.is_writable and not self.is_closing and not self.is_turn_over
        is_reading = is_reading and (not self.slots or self._may_start_more())
        is_reading = is_reading and (
            self.shutdown.give_to_successor is None or not self.end.leaves_commands
        )
        if is_reading is not self.is_reading and not self.transport.is_closing():
            self.is_reading = is_reading
            self.clients.paused_reads.set_paused(self, not is_reading)
            if is_reading:
                self.transport.resume_reading()
                self.input_age.resume()
                if self.is_tls:
                    # By then, data that was held below the connection has been received.
                    self.clients.loop.call_soon(self._check_caught_up)
                else:
                    self._check_caught_up()
            else:
                self.transport.pause_reading()
                self.input_age.pause()

    def check_waiting_input(self, is_readable: bool) -> None:
        """Note, while reading is paused, that nothing has arrived that waits to be processed."""
        if not is_readable and not len(self.reader) and not self.is_tls:
            self.input_age.nothing_waited()

    def _check_caught_up(self) -> None:
        """Note, while reading is not paused, that nothing waits here or in the socket."""
        if self.input_age.since_us is None or not self.is_reading or len(self.reader):
            return
        if self.transport.is_closing():
            return
        if not socket_state.is_readable(self):
            self.input_age.caught_up()

    # -- commands ---------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Process the commands that are complete with this data."""
        if self.is_closing:
            return
        if self.input_age.since_us is not None:
            self.input_age.received()
        self.reader.feed(data)
        self.process_commands()
        if self.is_turn_over:
            return
        if len(data) >= FULL_READ_BYTES:
            self._end_turn()
            self.update_reading()
            return
        if self.pipeline_limit < MAX_PIPELINED_COMMANDS:
            self.pipeline_limit = MAX_PIPELINED_COMMANDS
            self.update_reading()
        # What is missing of a command may have waited at a client that could not write it.
        if self.is_reading and not len(self.reader):
            self.input_age.caught_up()

    def process_commands(self) -> None:
        """Process the complete commands, up to the pipeline limit and this turn's budget."""
        if self.is_processing or self.is_turn_over:
            return
        self.is_processing = True
        try:
            if self.shutdown.give_to_successor is None or not self.end.leaves_commands:
                self._process_all()
        except MalformedMessageError as error:
            # What follows a malformed command can't be interpreted.
            self.close_with_error(str(error), CloseReason.MALFORMED_COMMAND)
        self.reader.release_consumed()
        self.is_processing = False
        self.update_reading()
        self.settle()

    def _end_turn(self) -> None:
        """Leave the rest to the next turn, so that others are not kept waiting."""
        self.is_turn_over = True
        self.clients.waiting_turns += 1
        self.clients.loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Process the rest, unless the client has left meanwhile: reading is paused."""
        self.is_turn_over = False
        self.clients.waiting_turns -= 1
        if socket_state.disconnected((self,)):
            self.transport.abort()
        elif not self.transport.is_closing():
            self.process_commands()

    def _process_all(self) -> None:
        clients, reader = self.clients, self.reader
        queue, request_format = clients.admission_queue, clients.request_format
        saturated, shed_count = queue.saturated, 0
        budget = clients.turn_budget()
        while (
            not self.is_closing
            and len(reader)
            and (not self.slots or self._may_start_more() or self._may_reject_more())
        ):
            if budget <= 0:
                self.pipeline_limit = MAX_PIPELINED_IN_FLOOD
                self._end_turn()
                break
            # A request that is certain to be rejected in this turn is not parsed, so that a flood
            # of rejections costs as little as possible.
            if (
                saturated
                and (skimmed := request_format.skim(reader.data, reader.position))
                and (skimmed[1] in saturated or skimmed[2] in saturated)
            ):
                if self.request_log:
                    self._log_shed(reader.data[reader.position : skimmed[0]])
                reader.position, shed_count = skimmed[0], shed_count + 1
                clients.count_shed(skimmed[2])
                budget -= REJECTION_COST
                continue
            budget -= COMMAND_COST
            if shed_count:
                self._append_rejections(queue.rejection, shed_count)
                shed_count = 0
            if (parsed := request_format.read(reader.data, reader.position)) is not None:
                reader.position, terms, parts = parsed
                self._process_request(terms, parts)
            elif (command := reader.next()) is not None:
                self._process_command(command)
            else:
                break
        if shed_count:
            self._append_rejections(queue.rejection, shed_count)
        self.reaper.command_received(self)

    def _process_command(self, command: list[bytes]) -> None:
        """Process a command that ``RequestFormat.read`` does not recognise."""
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            terms, parts = parse_request(command, self.clients.config)
            self._process_request(terms, parts, self.reader.is_body_dropped)
        elif len(command) == 1 and command[0].upper() == b"PING":
            self._append_reply(b"-ERR draining\r\n" if self.end.closes_when_idle else b"+PONG\r\n")
        else:
            raise MalformedMessageError("unknown command")

    def _process_request(
        self, terms: RequestTerms, parts: tuple[bytes, ...], is_body_dropped: bool = False
    ) -> None:
        """Start a request, queue it, or reject it."""
        clients, driver = self.clients, self.clients.driver
        if self.request_log:
            self.request_log.received(self.number, parts, terms.kind)
        if self.input_age.since_us is not None:
            terms = self._without_wait(terms)
        if parts[2] in clients.open_request_ids:
            raise MalformedMessageError("a request with this id is open")
        if driver.recent_requests.may_not_run(terms.kind, parts[1], parts[2]):
            self._fail_repeated(terms, parts)
        elif self.shutdown.rejects_requests or self.shutdown.is_handing_over:
            self._reject_request(terms, parts, busy_reply(0), RejectionReason.SHUTDOWN)
        elif is_body_dropped or not self.reservations.reserve_request(terms.kind, parts):
            rejection = clients.admission_queue.rejection
            self._reject_request(terms, parts, rejection, RejectionReason.MEMORY)
        elif clients.admission_queue.may_start():
            self._append_request(terms.kind, parts).start_request(terms, parts)
        elif not self._may_start_more():
            rejection = clients.admission_queue.rejection
            self._reject_request(terms, parts, rejection, RejectionReason.OVERLOAD)
        else:
            slot = self._append_request(terms.kind, parts)
            slot.terms, slot.parts = terms, parts
            queue = clients.admission_queue
            slot.waiting = queue.enqueue(terms, class_and_plan(parts), parts[1], slot)
        if self.reservations.command_bytes:
            self.reservations.release_command()

    def _fail_repeated(self, terms: RequestTerms, parts: tuple[bytes, ...]) -> None:
        """Fail a request that may have run before.

        A refusal would tell the client that trying again does no harm.
        """
        self.clients.driver.metrics.failed[terms.kind] += 1
        if self.request_log:
            self.request_log.repeated(self.number, parts[2])
        self._append_reply(FAILED)

    def _without_wait(self, terms: RequestTerms) -> RequestTerms:
        """Return the terms with the time that is left after the command has waited."""
        time_left_us = terms.timeout_us - self.input_age.waited_us
        return terms._replace(timeout_us=max(US_PER_MS, time_left_us))

    def _append_request(self, kind: int, parts: tuple[bytes, ...]) -> ReplySlot:
        """Append the slot of a request that is started or queued; it gets what is reserved."""
        slot = ReplySlot(self, parts[2], kind, self.reservations.take_request())
        self.clients.open_request_ids.add(parts[2])
        self.slots.append(slot)
        return slot

    def _may_start_more(self) -> bool:
        """Whether the connection may have one more command in progress."""
        count = len(self.slots)
        return not count or (count < self.pipeline_limit and self.memory.allows_greedy)

    def _release_slot(self, slot: ReplySlot) -> None:
        """Give back what is reserved for a reply that was written, once the socket has taken it."""
        reserved_bytes, slot.reserved_bytes = slot.reserved_bytes, 0
        self.reservations.reply_written(reserved_bytes, self.is_writable)

    def _may_reject_more(self) -> bool:
        """Whether commands beyond the pipeline limit are read, to be rejected early."""
        last = self.slots[-1].reply
        pending_bytes = len(last) if isinstance(last, bytes) else 0
        has_room = pending_bytes < MAX_PENDING_REJECTION_BYTES
        return has_room and self.clients.admission_queue.is_overloaded

    def _reject_request(
        self, terms: RequestTerms, parts: tuple[bytes, ...], reply: bytes, reason: RejectionReason
    ) -> None:
        """Reject a parsed request without starting it."""
        self.clients.driver.metrics.count_rejection(terms.kind, reason)
        if self.request_log:
            self.request_log.rejected(self.number, parts[2], reason)
        self._append_rejections(reply, 1)

    # -- replies ----------------------------------------------------------------------------------

    def _log_shed(self, command: bytes) -> None:
        """Log a request that is rejected without parsing."""
        if self.request_log:
            request_id = command.split(b"\r\n", SHED_ID_LINE + 1)[SHED_ID_LINE]
            self.request_log.rejected(self.number, request_id, RejectionReason.OVERLOAD)

    def _append_rejections(self, reply: bytes, count: int) -> None:
        """Append rejections; consecutive ones share a slot, so that a flood costs no objects."""
        replies = reply * count
        if self.slots and isinstance(pending := self.slots[-1].reply, bytes):
            self.slots[-1].reply = pending + replies
        else:
            self._append_reply(replies)

    def _append_reply(self, reply: bytes) -> None:
        slot = ReplySlot(self)
        self.slots.append(slot)
        slot.answer(reply)

    def close_with_error(self, error: str, reason: CloseReason) -> None:
        """Stop reading; after the pending replies, write an error line and close."""
        if not self.is_closing:
            self.is_closing = True
            self.close_reason = reason
            self._clear_input()
            self._append_reply(b"-ERR %b\r\n" % error.encode())

    def schedule_flush(self) -> None:
        """Write replies at the end of this turn of the loop."""
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.clients.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write the replies that are ready, up to the first one that is still pending."""
        self.is_flush_scheduled = False
        slots = self.slots
        while slots and self.streaming is None and (reply := slots[0].reply) is not None:
            if isinstance(reply, StreamingReply):
                self._start_streaming(slots[0], reply)
                continue
            written = [slots.popleft()]
            replies = [reply]
            while slots and isinstance(following := slots[0].reply, bytes):
                written.append(slots.popleft())
                replies.append(following)
            self.transport.write(b"".join(replies) if len(replies) > 1 else reply)
            for slot in written:
                self._release_slot(slot)
                if self.request_log:
                    self.request_log.written(self.number, slot.request_id)
        if not self.is_processing:
            self.process_commands()

    def _start_streaming(self, slot: ReplySlot, reply: StreamingReply) -> None:
        if reply.is_broken:
            # It broke off before a sink was attached, so it will never call ``streaming_ended``,
            # and the replies after it would never be written.
            self.clients.open_request_ids.discard(slot.request_id)
            slot.reply = FAILED
        else:
            self.streaming = reply
            if self.request_log:
                self.request_log.written(self.number, slot.request_id)
            slot.reduce_reservation(STREAM_BYTES)
            reply.attach(self)

    def streaming_ended(self, is_complete: bool) -> None:
        """Continue with the replies after a streaming reply.

        If it broke off, close the connection: only that shows the client that it is incomplete.
        """
        self.streaming = None
        slot = self.slots.popleft()
        self.clients.open_request_ids.discard(slot.request_id)
        self._release_slot(slot)
        if is_complete:
            self.schedule_flush()
        else:
            self._end_requests()
            # Not ``abort``: replies that are still in the write buffer must reach the client.
            self.close(CloseReason.INCOMPLETE_REPLY)
            self.reaper.classify(self)

    @property
    def held_reply_bytes(self) -> int:
        """How much of the replies this process holds until the client reads them."""
        return sum(slot.held_reply_bytes for slot in self.slots) + self.unwritten_bytes

    # -- closing ----------------------------------------------------------------------------------

    @property
    def unwritten_bytes(self) -> int:
        """How much of the replies waits for the client to read."""
        return self.transport.get_write_buffer_size()

    @property
    def undelivered_bytes(self) -> int:
        """The same, with what the kernel holds until the client reads."""
        return self.unwritten_bytes + socket_state.unacknowledged_bytes(self)

    @property
    def is_unfinished(self) -> bool:
        """Whether a reply is pending or not written completely, or a hand-over is due."""
        # Below a TLS connection there is another write buffer.
        unwritten = self.undelivered_bytes if self.is_tls else self.unwritten_bytes
        return bool(self.slots) or unwritten > 0 or self.end.awaits_hand_over

    def settle(self) -> None:
        """Hand the connection over, or close it, if that is due; classify it for the reaper."""
        self.end.settle()

    def close(self, reason: CloseReason) -> None:
        """Close once the client has read its replies; the first reason given is counted."""
        self.close_reason = self.close_reason or reason
        self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Close at once, whatever is unread; the first reason given is counted."""
        self.close_reason = self.close_reason or reason
        self.transport.abort()

    @property
    def is_tls(self) -> bool:
        """Whether the client's connection is encrypted."""
        return self.transport.get_extra_info("sslcontext") is not None

    def eof_received(self) -> None:
        """End the requests: by the protocol, a client that stops sending has disconnected.

        ``connection_lost`` follows only when the write buffer is empty, which it may never be.
        """
        self._end_requests()

    def connection_lost(self, _error: Exception | None) -> None:
        """End the requests of the client, which has disconnected."""
        self.clients.lost(self)
        self._end_requests()
        self.reservations.release_unwritten()

    def _clear_input(self) -> None:
        """Free what has arrived: no more commands are processed."""
        self.reader.clear()
        self.reservations.release_command()

    def _end_requests(self) -> None:
        self.is_closing = True
        self._clear_input()
        slots, self.slots = self.slots, deque()
        clients = self.clients
        for slot in slots:
            slot.reduce_reservation(0)
            if slot.reply is None or isinstance(slot.reply, StreamingReply):
                clients.open_request_ids.discard(slot.request_id)
            if isinstance(slot.reply, StreamingReply):
                slot.reply.abandon()
            if slot.waiting:
                clients.admission_queue.remove(slot.waiting)
            elif slot.request:
                request, slot.request = slot.request, None
                clients.driver.client_disconnected(request)
