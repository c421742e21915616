"""The listener: RESP commands in, answers out in the order of the commands of each connection."""

from __future__ import annotations

import asyncio
import math
import re
from collections import deque

import hiredis

from orchidlane.interface import Effect

from .config import Config
from .driver import Call, Driver, Terms

VALUE_MOST = 64 * 1024  # bytes in one value
UNFINISHED_MOST = 5 * VALUE_MOST  # bytes of one command: more means that its framing is lost
ID_MOST = 64  # bytes of a request's id
UNFINISHED_FOR = 1.0  # seconds that a client stuck within a command may hold up the end
CUSTOMER_BITS = 33
WAIT_MOST = 3_600_000  # ms
MS = 1_000


class Malformed(Exception):
    """A command that is answered ``-ERR`` and goes no further."""


def parse(command: list[object], config: Config) -> tuple[Terms, tuple[bytes, ...]]:
    """A request's terms, and its parts as hosts get them: the terms are cut round the value of ``d``."""
    if not 4 <= len(command) <= 5 or (command[0] == b"CALL.GET" and len(command) != 4):
        raise Malformed("wrong number of values")
    name, customer, number, text = command[:4]
    try:
        if not re.fullmatch(rb"[0-9A-Fa-f]{16}", customer) or (key := int(customer, 16)) >> CUSTOMER_BITS:
            raise Malformed("customer is not 16 hex digits below 2^33")
        pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
        terms = dict(pairs)
        if len(terms) != len(pairs):
            raise Malformed("a term stands twice")
        kind, plan = config.classes.get(terms[b"c"]), config.plans.get(terms[b"t"])
        if kind is None or plan is None:
            raise Malformed("unknown class or plan")
        wait, units = terms[b"d"], float(terms[b"units"])
        spread, first = int(terms[b"spread"]), int(terms[b"first"])
    except KeyError as missing:
        raise Malformed(f"term {missing.args[0].decode()} is missing") from None
    except ValueError:
        raise Malformed("terms are malformed") from None
    effect, gateways = config.settings.classes[kind].effect, config.settings.gateways
    if (name == b"CALL.GET") != (effect is Effect.SAFE):
        raise Malformed("this class is served by the other command")
    if effect is Effect.KEYED and not terms.get(b"k"):
        raise Malformed("term k is missing")
    if not wait.isdigit() or not 0 < int(wait) <= WAIT_MOST:
        raise Malformed("term d is out of range")
    if not math.isfinite(units) or not 0 < units <= config.units_most:
        raise Malformed("term units is out of range")
    if not 1 <= spread <= gateways or not 0 <= first < gateways:
        raise Malformed("terms spread and first are out of range")
    if not 0 < len(number) <= ID_MOST:
        raise Malformed("the request's id is empty or too long")
    at = (b"," + text).index(b",d=") + 2
    parts = (name, customer, number, text[:at], text[at + len(wait) :], *command[4:])
    repeat = terms.get(b"r") == b"1"
    return Terms(key, kind, plan, int(wait) * MS, units, spread, first, repeat), parts


class Slot:
    """The place of one command's answer on its connection."""

    __slots__ = ("call", "client", "reply")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.reply: bytes | None = None
        self.call: Call | None = None

    def answer(self, reply: bytes) -> None:
        """The answer is known; it is written once those before it are."""
        self.reply = reply
        self.client.flush()


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = hiredis.Reader()
        self.slots: deque[Slot] = deque()
        self.unfinished = 0  # bytes since the last whole command
        self.closing = False  # close once all is answered
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A client has connected."""
        self.transport = transport
        self.clients.opened(self)

    def pause_writing(self) -> None:
        """Guards memory: a client that reads no answers is not read from either."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Commands, or parts of them."""
        if self.closing:
            return
        self.unfinished += len(data)
        try:
            self.reader.feed(data)
            while (command := self.reader.gets()) is not False:
                self.unfinished = 0
                self._command(command)
            if self.unfinished > UNFINISHED_MOST:
                raise hiredis.ProtocolError("command too long")
        except hiredis.ProtocolError as wrong:  # where the next command starts is lost
            self.closing = True
            self._reply(b"-ERR %b\r\n" % " ".join(str(wrong).split()).encode(errors="replace"))

    def _command(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(v, bytes) for v in command):
            return self._reply(b"-ERR a command is an array of bulk strings\r\n")
        if max(map(len, command)) > VALUE_MOST:
            return self._reply(b"-ERR a value is too long\r\n")
        if command[0] in (b"CALL.GET", b"CALL.POST"):
            return self._call(command)
        if command[0].upper() == b"PING" and len(command) == 1:
            return self._reply(b"+PONG\r\n")
        return self._reply(b"-ERR unknown command\r\n")

    def _call(self, command: list[bytes]) -> None:
        try:
            terms, parts = parse(command, self.clients.config)
        except Malformed as wrong:
            return self._reply(b"-ERR %b\r\n" % str(wrong).encode())
        if self.clients.crowded():  # guards the limit on descriptors: it has not run, and there is no room
            return self._reply(b"-BUSY 1000\r\n")
        slot = Slot(self)
        self.slots.append(slot)
        slot.call = self.clients.driver.arrived(terms, parts, slot.answer)
        return None

    def _reply(self, reply: bytes) -> None:
        slot = Slot(self)
        self.slots.append(slot)
        slot.answer(reply)

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        while self.slots and self.slots[0].reply is not None:
            self.transport.write(self.slots.popleft().reply)
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close between two requests, if it shall be closed."""
        if not self.slots and (self.closing or (self.clients.draining and not self.unfinished)):
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone away, and with it all that it waited for."""
        self.clients.open.pop(self, None)
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.call:
                self.clients.driver.client_gone(slot.call)


class Clients:
    """All client connections."""

    def __init__(self, driver: Driver, config: Config, most: int) -> None:
        self.driver, self.config, self.most = driver, config, most
        self.open: dict[Client, None] = {}
        self.draining = False
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Serve from now on."""
        self.server = await self.driver.loop.create_server(
            lambda: Client(self), *self.config.listen, backlog=self.most
        )

    def opened(self, client: Client) -> None:
        """One more; beyond the limit the one that is idle makes room."""
        if self.crowded(extra=1):
            for other in self.open:
                if not other.slots and not other.unfinished:
                    other.transport.close()
                    break
        self.open[client] = None

    def crowded(self, extra: int = 0) -> bool:
        """Whether there are more connections than descriptors were set aside for."""
        return len(self.open) + extra > self.most

    async def drain(self, accept_for: float) -> None:
        """Close connections as they fall idle, go on accepting for a while, then finish what is held."""
        self.draining = True
        for client in list(self.open):
            client.close_if_idle()
        await asyncio.sleep(accept_for)
        self.server.close()
        end = self.driver.loop.time() + UNFINISHED_FOR
        while self.driver.calls or (self.open and self.driver.loop.time() < end):
            for client in list(self.open):
                client.close_if_idle()
            await asyncio.sleep(0.01)
