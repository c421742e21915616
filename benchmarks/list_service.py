"""A list service on sockets with one simulated worker; each gateway polls its own port."""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple, cast
from urllib.parse import parse_qs, urlsplit

import h11

from testbed.model.list_service import Costs, Desk, Said
from testbed.model.registry import Line

# Version of the list that the service returns.
VERSION = 80
# Address of all entries; nothing listens there.
ENDPOINT_ADDRESS = "127.0.0.1:9"
MS_PER_S = 1000


class ReceivedPoll(NamedTuple):
    """A poll as the service received it."""

    at_s: float
    gateway: int
    ends_watch: bool


class ServiceConnection(asyncio.Protocol):
    """One connection of one gateway to the list service."""

    transport: asyncio.Transport

    def __init__(self, service: ListService, gateway: int) -> None:
        """Create an unconnected protocol."""
        self.service = service
        self.gateway = gateway
        self.http = h11.Connection(h11.SERVER)
        self.target = ""
        self.watch: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse and queue polls."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self.target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self._poll()
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except h11.ProtocolError:
            self.transport.abort()

    def _poll(self) -> None:
        query = parse_qs(urlsplit(self.target).query)
        version = int(query["index"][0]) if "index" in query else None
        watch_s = 0.0
        if version == VERSION:
            watch_s = int(query.get("wait", ["0"])[0]) / MS_PER_S
        if watch_s:
            # The list never changes: a watch costs the worker nothing until it ends.
            self.watch = self.service.loop.call_later(
                watch_s, self.service.receive, self, version, True
            )
        else:
            self.service.receive(self, version, False)

    def answer(self, result: Said, body: bytes) -> None:
        """Send an answer, unless the gateway has closed the connection."""
        if self.transport.is_closing() or self.http.our_state is not h11.SEND_RESPONSE:
            return
        status = 503 if result is Said.REFUSED else 200
        head = h11.Response(status_code=status, headers=[("content-length", str(len(body)))])
        parts = (head, h11.Data(data=body), h11.EndOfMessage())
        self.transport.write(b"".join(self.http.send(part) or b"" for part in parts))
        self.http.start_next_cycle()

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the watch."""
        if self.watch:
            self.watch.cancel()


class ListService:
    """The list service: many ports, one worker."""

    def __init__(self, costs: Costs, entries: list[Line], removed: list[Line]) -> None:
        """Create an idle service."""
        self.loop = asyncio.get_running_loop()
        self.queue = Desk(costs)
        self.began_at = time.monotonic()
        self.complete_body = _body(True, entries)
        self.delta_body = _body(False, [*entries[-len(removed) :], *removed])
        self.empty_body = _body(False, [])
        # When each gateway became current.
        self.current_s: dict[int, float] = {}
        self.polls: list[ReceivedPoll] = []
        self.rejected_count = 0
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        """Return the seconds since the first process was started."""
        return time.monotonic() - self.began_at

    def set_down(self, is_down: bool) -> None:
        """Stop or resume answering."""
        self.queue.switch(self.now(), down=is_down)
        self._advance()

    def receive(self, connection: ServiceConnection, version: int | None, ends_watch: bool) -> None:
        """Queue a poll."""
        self.polls.append(ReceivedPoll(self.now(), connection.gateway, ends_watch))
        self.queue.arrive(self.now(), version is None, (connection, version))
        self._advance()

    def _advance(self) -> None:
        """Send finished answers, and set the timer for the next one."""
        now_s = self.now()
        for (connection, version), result in self.queue.advance(now_s):
            if result is Said.REFUSED:
                self.rejected_count += 1
            elif not connection.transport.is_closing():
                self.current_s.setdefault(connection.gateway, now_s)
            connection.answer(result, self._answer_body(result, version))
        if self.timer:
            self.timer.cancel()
        if (due_s := self.queue.due()) is not None:
            self.timer = self.loop.call_later(max(0.0, due_s - self.now()), self._advance)

    def _answer_body(self, result: Said, version: int | None) -> bytes:
        if result is Said.REFUSED:
            return b""
        if result is Said.WHOLE:
            return self.complete_body
        return self.empty_body if version == VERSION else self.delta_body


def _body(is_complete: bool, entries: list[Line]) -> bytes:
    shown = [entry.shown(ENDPOINT_ADDRESS) for entry in entries]
    return json.dumps({"seq": VERSION, "whole": is_complete, "hosts": shown}).encode()
