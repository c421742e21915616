"""The listener: RESP commands in, answers out in the order of the commands of each connection."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable, Iterable
from itertools import chain, islice
from typing import Protocol

from ...policy.load_shedding import QueuedRequest
from ..acceptor import Acceptor
from ..admission_queue import AdmissionQueue
from ..config import Config
from ..driver import FAILED, ClientRequest, Driver, RequestTerms, busy_reply
from ..request_parser import RequestFormat, parse_request
from ..resp import CommandReader, MalformedMessageError
from ..streaming_reply import StreamingReply

BACKLOG = 1024  # connections that the kernel holds until they are accepted
COMMAND_WITHIN = 3.0  # seconds for a whole command, from connecting or from its first byte
IDLE_MOST = (
    10.0  # seconds after which a connection without a request is closed, even if there is room
)
IDLE_LEAST, IDLE_PART = (
    0.5,
    0.25,
)  # seconds after which it is, where more than this part of all are idle
CLOSE_WITHIN = (
    1.0  # seconds for a client to read what is left for it before its connection is reset
)
SWEEP = 0.25  # seconds between two looks at these limits
UNREAD = 0.1  # seconds between two looks whether those that are not read from have gone
LOOK_AT = (
    16  # connections of each sort that are asked whether they make room: bounds the work in a flood
)
NEW_FOR = 0.3  # seconds after it came up in which a connection is taken to be there for a command
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
WAITING_MOST = 128  # commands of one connection that wait for their answers; more are left unread
REFUSED_MOST = (
    64 * 1024
)  # bytes of refusals that wait behind an answer while more is taken only to be refused
MS = 1_000  # microseconds
UNFINISHED_FOR = 1.0  # seconds that a client stuck within a command may hold up the end
# The protocol's end: who is told to end has so long for what comes until then, and is killed no sooner than the longest
# deadline later, or so much (seconds). What comes after the first is refused at once, what is held to the last fails.
SERVE_FOR, KILLED_AFTER = 0.7, 3.0
END_MARGIN = 0.15  # seconds of those that are not used


def _group(parts: tuple[bytes, ...]) -> bytes:
    """Class and plan as ``Form.skim`` gives them; empty where the terms stand in another order."""
    words = parts[3].split(b",")
    return words[0][2:] + b"," + words[1] if len(words) > 2 and words[0].startswith(b"c=") else b""


class Listener(Protocol):
    """Another way in for clients beside the plain listener; it makes a ``Client`` of each that it lets through."""

    @property
    def opening(self) -> int:
        """Connections that are accepted and not yet open."""

    async def open(self, clients: ClientConnections) -> None:
        """Serve from now on."""

    def close(self) -> None:
        """Accept no more."""


class Slot:
    """The place of one command's answer on its connection."""

    __slots__ = ("call", "client", "number", "parts", "reply", "terms", "waiting")

    def __init__(self, client: ClientConnection, number: bytes | None = None) -> None:
        self.client, self.number = client, number
        self.reply: bytes | StreamingReply | None = None
        self.call: ClientRequest | None = None
        self.waiting: QueuedRequest | None = None  # until it is begun

    def begin(self) -> None:
        """The request is handed on; the time that it waited is its client's."""
        driver = self.client.clients.driver
        terms = self.terms._replace(wait=max(MS, self.waiting.deadline_us - driver.clock()))
        self.waiting = None
        self.call = driver.arrived(terms, self.parts, self.answer)

    def refuse(self, reply: bytes) -> None:
        """It was shed: written with others of this turn, and never from within another connection's reading."""
        self.reply, self.waiting = reply, None
        client = self.client
        client.clients.driver.figures.busy[self.terms.kind] += 1
        client.clients.numbers.discard(self.number)
        if not client.flushing:
            client.flushing = True
            client.clients.loop.call_soon(client.flush)

    def answer(self, reply: bytes | StreamingReply) -> None:
        """The answer is known; it is written once those before it are."""
        self.reply, self.call = (
            reply,
            None,
        )  # else they would hold each other until the collector comes by
        if isinstance(reply, bytes):  # a long value is open until it is written
            self.client.clients.numbers.discard(self.number)
        self.client.flush()


class ClientConnection(asyncio.Protocol):
    """One client connection: waiting for a whole command, busy with some, idle, or closing."""

    def __init__(self, clients: ClientConnections, begun: bytes = b"") -> None:
        self.clients = clients
        self.begun = begun  # what another process has read of it and not taken
        self.flushing = False  # once this turn is over
        self.long: StreamingReply | None = None  # being written, for the first of the slots
        self.reader = CommandReader()
        self.slots: deque[Slot] = deque()
        self.closing = False  # close once all is answered
        self.reading = self.writing = True
        self.taking = False  # within the loop that takes commands
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A client has connected."""
        self.transport = transport
        self.clients.opened(self)
        begun, self.begun = self.begun, b""
        if begun or self.clients.heir:
            self.data_received(begun)

    def pause_writing(self) -> None:
        """Guards memory: a client that reads no answers is not read from either."""
        self.writing = False
        self._throttle()
        if self.long:
            self.long.hold(True)

    def resume_writing(self) -> None:
        """The client reads again."""
        self.writing = True
        self._throttle()
        if self.long:
            self.long.hold(False)

    def _throttle(self) -> None:
        """Read only while there is room for answers; what has been read and not taken stays one read long."""
        reading = self.writing and not self.closing and len(self.slots) < WAITING_MOST
        reading = reading and self.clients.heir is None
        if reading is not self.reading and not self.transport.is_closing():
            self.reading = reading
            self.clients.reads(self, reading)
            (self.transport.resume_reading if reading else self.transport.pause_reading)()

    def data_received(self, data: bytes) -> None:
        """Commands, or parts of them."""
        if not self.closing:
            self.reader.feed(data)
            self._take()

    def _take(self) -> None:
        """Take the commands that are whole, as far as there is room for their answers."""
        if self.taking:
            return
        self.taking = True
        try:
            if self.clients.heir is None:  # else whoever gets the connection takes what is left
                self._take_all()
        except (
            MalformedMessageError
        ) as wrong:  # one that makes no sense ends its connection: the rest is not looked at
            self.end(str(wrong))
        self.taking = False
        self._throttle()
        self.settle()

    def _command(self, command: list[bytes]) -> None:
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            self._request(*parse_request(command, self.clients.config))
        elif len(command) == 1 and command[0].upper() == b"PING":
            self._reply(b"-ERR draining\r\n" if self.clients.draining else b"+PONG\r\n")
        else:
            raise MalformedMessageError("unknown command")

    def _take_all(self) -> None:
        clients, reader, slots = self.clients, self.reader, self.slots
        form, shut, shed = clients.form, clients.intake.shut, 0
        while (
            not self.closing and len(reader) and (len(slots) < WAITING_MOST or self._may_refuse())
        ):
            # The cheapest refusal comes before the work: what is certain to be refused in this turn is not even read.
            if (
                shut
                and (found := form.skim(reader.data, reader.at))
                and (found[1] in shut or found[2] in shut)
            ):
                reader.at, shed = found[0], shed + 1
                clients.count_shed(found[2])
                continue
            if shed:
                self._refuse(clients.intake.refusal, shed)
                shed = 0
            if (taken := form.read(reader.data, reader.at)) is not None:
                reader.at, terms, parts = taken
                self._request(terms, parts)
            elif (command := reader.next()) is not None:
                self._command(command)
            else:
                break
        if shed:
            self._refuse(clients.intake.refusal, shed)
        clients.heard(self)

    def _may_refuse(self) -> bool:
        """Under pressure what is beyond the most that may wait is taken all the same, to be refused while it is new."""
        last = self.slots[-1].reply
        return (
            self.clients.intake.pressed
            and len(last if isinstance(last, bytes) else b"") < REFUSED_MOST
        )

    def _request(self, terms: RequestTerms, parts: tuple[bytes, ...]) -> None:
        """Begin a request, or let it wait for its turn, or refuse it."""
        clients = self.clients
        if parts[2] in clients.numbers:
            raise MalformedMessageError("a request with this id is open")
        if clients.ends:
            self._shed(terms, busy_reply(0))
        elif clients.intake.at_once():
            slot = Slot(self, parts[2])
            clients.numbers.add(parts[2])
            self.slots.append(slot)
            slot.call = clients.driver.arrived(terms, parts, slot.answer)
        elif len(self.slots) >= WAITING_MOST:
            self._shed(terms, clients.intake.refusal)
        else:
            slot = Slot(self, parts[2])
            slot.terms, slot.parts = terms, parts
            clients.numbers.add(parts[2])
            self.slots.append(slot)
            slot.waiting = clients.intake.wait(
                terms, _group(parts), parts[1], slot.begin, slot.refuse
            )

    def _shed(self, terms: RequestTerms, reply: bytes) -> None:
        """Refuse a request that was read and is not even begun."""
        self.clients.driver.figures.busy[terms.kind] += 1
        self._refuse(reply, 1)

    def _refuse(self, reply: bytes, times: int) -> None:
        """So many refusals in a row share one place: a flood of them costs no objects."""
        reply *= times
        if self.slots and isinstance((last := self.slots[-1]).reply, bytes):
            last.reply += reply
        else:
            self._reply(reply)

    def _reply(self, reply: bytes) -> None:
        slot = Slot(self)
        self.slots.append(slot)
        slot.answer(reply)

    def end(self, why: str) -> None:
        """Answer what is open, then an error line, then close; nothing more is read."""
        if not self.closing:
            self.closing = True
            self._reply(b"-ERR %b\r\n" % why.encode())

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        self.flushing = False
        slots = self.slots
        while slots and self.long is None and slots[0].reply is not None:
            if isinstance(slots[0].reply, StreamingReply):
                if slots[
                    0
                ].reply.broken:  # guards the answers behind it: nobody would ever say so again
                    self.clients.numbers.discard(slots[0].number)
                    slots[0].reply = FAILED
                    continue
                self.long = slots[0].reply
                self.long.attach(self)
                continue
            replies = [slots.popleft().reply]
            while slots and isinstance(slots[0].reply, bytes):
                replies.append(slots.popleft().reply)
            self.transport.write(b"".join(replies) if len(replies) > 1 else replies[0])
        if not self.taking:
            self._take()

    def long_value_ended(self, whole: bool) -> None:
        """A long value is written. One that broke off ends the connection: else the client could not tell."""
        self.long = None
        self.clients.numbers.discard(self.slots.popleft().number)
        if whole:
            if not self.flushing:
                self.flushing = True
                self.clients.loop.call_soon(self.flush)
        else:
            self._leave()
            self.transport.close()  # what was written before it still reaches the client
            self.clients.note(self)

    def settle(self) -> None:
        """Note what the connection waits for now, or close it if it shall be closed."""
        if not self.transport.is_closing():
            if self.clients.heir and not self.slots and not self.closing and self._hand_over():
                return
            if not self.slots and (self.closing or (self._draining() and self._idle())):
                self.clients.ending.pop(self, None)  # from now on it may take its time to read
                self.transport.close()
            self.clients.note(self)

    def _idle(self) -> bool:
        """Whether no command has begun, or is about to: one that is new is there to send one, and a command that lies
        unread would meet a closed connection."""
        clients = self.clients
        if len(self.reader):
            return False
        if clients.heir is not None:  # nothing is read any more
            return True
        return not clients.is_new(self) and not _ready((self,), select.POLLIN)

    def _draining(self) -> bool:
        """Whether the connection ends once it is idle: the gateway drains, or a successor can't take it."""
        clients = self.clients
        return clients.draining or (
            clients.heir is not None and self.transport.get_extra_info("sslcontext") is not None
        )

    def _hand_over(self) -> bool:
        """Give the connection to the successor, with what was read of its next command."""
        if self.transport.get_write_buffer_size() or self.transport.get_extra_info("sslcontext"):
            return False  # what TLS knows of a connection can't leave this process: it ends here
        left = self.reader.data[self.reader.at :]
        if not self.clients.heir(self.transport.get_extra_info("socket").fileno(), left):
            return False
        self.clients.lost(self)
        self.transport.abort()  # only our descriptor of it is closed
        return True

    def eof_received(self) -> None:
        """The client has ended its sending: by the protocol it has gone. The loop closes once all is written, and a
        client that reads nothing more would hold that up: so what it waited for ends now."""
        self._leave()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone away, and with it all that it waited for."""
        self.clients.lost(self)
        self._leave()

    def _leave(self) -> None:
        self.closing = True
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.reply is None or isinstance(slot.reply, StreamingReply):
                self.clients.numbers.discard(slot.number)
            if isinstance(slot.reply, StreamingReply):
                slot.reply.drop()
            if slot.waiting:
                self.clients.intake.shedder.drop(slot.waiting)
            elif slot.call:
                self.clients.driver.client_gone(slot.call)


class ClientConnections:
    """All client connections, within the descriptors set aside for them."""

    def __init__(self, driver: Driver, config: Config, most: int) -> None:
        self.driver, self.config, self.most, self.loop = driver, config, most, driver.loop
        self.form, self.intake = RequestFormat(config), AdmissionQueue(driver, driver.loop)
        driver.pressed = lambda: bool(self.intake.pressed)
        self.open: set[ClientConnection] = set()
        # Since when, the longest first: without a whole command, without a request, and closing.
        self.waiting: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.ending: dict[ClientConnection, float] = {}
        self.numbers: set[bytes] = set()  # ids of open requests
        self.unread: set[ClientConnection] = set()  # those that are not read from
        self.looking = False  # at whether they have gone
        self.draining = False
        self.ends_since: float | None = None  # when the process was told to end
        self.ends = False  # nothing more is begun: it could not be finished any more
        self.acceptor: Acceptor | None = None
        self.fronts: tuple[Listener, ...] = ()  # other ways in
        self.heir: Callable[[int, bytes], bool] | None = None  # who gets connections that fall idle

    async def listen(self, listener: socket.socket | None = None) -> None:
        """Serve from now on, on a socket that listens already if there is one; others may listen beside it."""
        listener = listener or socket.create_server(
            self.config.listen, backlog=BACKLOG, reuse_port=True
        )
        self.acceptor = Acceptor(
            self.loop, listener, self.make_room, lambda: ClientConnection(self)
        )
        self.acceptor.start()
        self._sweep()

    async def open_fronts(self, fronts: tuple[Listener, ...]) -> None:
        """Serve by these as well."""
        self.fronts = fronts
        for front in fronts:
            await front.open(self)

    def adopt(self, sock: socket.socket, begun: bytes) -> None:
        """Serve a connection that another process has accepted, and what it had read of the next command."""
        if self.make_room():
            self.acceptor.adopt(sock, ClientConnection(self, begun))
        else:
            sock.close()

    def hand_over(self, heir: Callable[[int, bytes], bool]) -> None:
        """Begin nothing more; connections go to the successor as they fall idle, what waits is refused.

        The successor accepts from the same queue, and who lies there must not meet a closed door if it is lost: so the
        listener is kept, and left alone.
        """
        self.heir = heir
        self.acceptor.stop()
        self._close_fronts()
        self.intake.refuse_all()
        for client in list(self.open):
            client._throttle()
            client.settle()

    def take_back(self) -> None:
        """The successor is lost: what it did not get is served here, to an ordinary end."""
        self.heir = None
        self.acceptor.start()
        for client in list(self.open):
            client._take()

    async def finish(self) -> None:
        """Until all that is held is finished."""
        end = self.loop.time() + UNFINISHED_FOR
        while (
            self.driver.calls
            or any(client.slots for client in self.open)  # a long value may still be on its way
            or self.opening
            or (self.open and self.loop.time() < end)
        ):
            for client in list(self.open):
                client.settle()
            await asyncio.sleep(0.01)

    def count_shed(self, group: bytes) -> None:
        """One more refused before it was read; ``CLASS,t=PLAN``."""
        kind = self.config.classes.get(group.partition(b",")[0])
        if kind is not None:
            self.driver.figures.busy[kind] += 1

    @property
    def inflight(self) -> int:
        """Requests taken and not yet answered."""
        return len(self.numbers)

    @property
    def opening(self) -> int:
        """Connections that are accepted and not yet open, by every way in."""
        return self.acceptor.opening + sum(front.opening for front in self.fronts)

    def make_room(self) -> bool:
        """Beyond the limit one that has sent nothing whole makes room, or the one that is idle longest."""
        if len(self.open) + self.opening < self.most:
            return True
        oldest = chain(islice(self.waiting, LOOK_AT), islice(self.idle, LOOK_AT))
        victim = next((one for one in oldest if self._gives_way(one)), None)
        if victim is None:
            return False
        victim.transport.abort()
        self.lost(victim)
        return True

    def _gives_way(self, client: ClientConnection) -> bool:
        """Guards a request that has come and lies unread: a close would reset its connection. Who sends and sends, and
        never a whole command, is spared only while it is new."""
        spared = client in self.idle or self.is_new(client)
        return not (spared and _has_sent(client))

    def opened(self, client: ClientConnection) -> None:
        """One more."""
        self.acceptor.opened(client)
        self.open.add(client)
        self.waiting[client] = self.loop.time()

    def lost(self, client: ClientConnection) -> None:
        """One less."""
        self.open.discard(client)
        self.unread.discard(client)
        for group in (self.waiting, self.idle, self.ending):
            group.pop(client, None)

    def heard(self, client: ClientConnection) -> None:
        """It has sent a whole command: its times begin anew."""
        self.waiting.pop(client, None)
        self.idle.pop(client, None)

    def note(self, client: ClientConnection) -> None:
        """Sort a connection by what it waits for; one that waits for the rest of a command keeps its time."""
        if client not in self.open:
            return
        if client.closing or client.transport.is_closing():
            group = self.ending
        elif client.slots:
            group = None
        else:
            group = self.waiting if len(client.reader) else self.idle
        for other in (self.waiting, self.idle, self.ending):
            if other is not group:
                other.pop(client, None)
        if group is not None and client not in group:
            group[client] = self.loop.time()

    def is_new(self, client: ClientConnection) -> bool:
        """Whether it has sent no whole command yet, and has not been here for long."""
        return self.waiting.get(client, 0.0) > self.loop.time() - NEW_FOR

    def reads(self, client: ClientConnection, reading: bool) -> None:
        """A connection is read from no longer, or again."""
        if reading:
            self.unread.discard(client)
            return
        self.unread.add(client)
        if not self.looking:
            self.looking = True
            self.loop.call_later(UNREAD, self._look)

    def _look(self) -> None:
        """Guards hosts against requests whose client has left: while it is not read from, the loop would not say so."""
        for client in _ready(self.unread, GONE):
            client.transport.abort()
        self.looking = bool(self.unread)
        if self.looking:
            self.loop.call_later(UNREAD, self._look)

    def _sweep(self) -> None:
        """Close what has exceeded its time."""
        now = self.loop.time()
        for client in _older(self.waiting, now - COMMAND_WITHIN):
            if _has_sent(
                client
            ):  # the process may have stood still: what came in time is read first
                continue
            if len(client.reader):
                client.end("a command was not whole in time")
                client.settle()
            else:  # a request may be on its way: a close can't be taken for its answer
                client.transport.close()
        # Guards clients, who hold only so many connections: those that ask once and keep one use them up.
        surplus = len(self.idle) - int(IDLE_PART * self.most)
        for place, client in enumerate(_older(self.idle, now - IDLE_LEAST)):
            if (place < surplus or self.idle[client] <= now - IDLE_MOST) and not _has_sent(client):
                client.transport.close()
        for client in _older(self.ending, now - CLOSE_WITHIN):
            if not client.slots:
                client.transport.abort()
        self.loop.call_later(SWEEP, self._sweep)

    def quiesce(self) -> None:
        """Answer ``PING`` with no, and close each connection once it has nothing open; what comes is still served."""
        self.draining = True
        for client in list(self.open):
            client.settle()

    def resume(self) -> None:
        """Take clients again."""
        self.draining = False

    async def drain(self, accept_for: float) -> None:
        """Close connections as they fall idle, go on accepting for a while, then finish what is held."""
        self.count_down()
        self.quiesce()
        await asyncio.sleep(self.ends_since + accept_for - self.loop.time())
        self._close_listeners()
        await self.finish()

    def count_down(self) -> None:
        """The process was told to end: from now on its time runs, whoever serves meanwhile."""
        if self.ends_since is None:
            began = self.ends_since = self.loop.time()
            self.loop.call_at(began + SERVE_FOR - END_MARGIN, self._begin_nothing)
            longest = max(c.deadline_us for c in self.config.settings.classes) / 1e6
            self.loop.call_at(
                began + SERVE_FOR + min(KILLED_AFTER, longest) - END_MARGIN, self.driver.fail_all
            )

    def _begin_nothing(self) -> None:
        """Guards what comes now on connections that never fall idle: it would be held when the process is killed."""
        self.ends = True

    def _close_listeners(self) -> None:
        self.acceptor.close()
        self._close_fronts()

    def _close_fronts(self) -> None:
        for front in self.fronts:
            front.close()


def _ready(clients: Iterable[ClientConnection], events: int) -> list[ClientConnection]:
    """Those of whom the kernel says one of these, without reading."""
    poll, found = select.poll(), {}
    for client in clients:
        if not client.transport.is_closing():
            fd = client.transport.get_extra_info("socket").fileno()
            found[fd] = client
            poll.register(fd, events)
    return [found[fd] for fd, _ in poll.poll(0)] if found else []


def _has_sent(client: ClientConnection) -> bool:
    """Whether something lies unread of a client that has not gone."""
    return bool(_ready((client,), select.POLLIN)) and not _ready((client,), GONE)


def _older(group: dict[ClientConnection, float], than: float) -> list[ClientConnection]:
    """Those in a group since before a time; the longest stand first."""
    found = []
    for client, since in group.items():
        if since > than:
            break
        found.append(client)
    return found
