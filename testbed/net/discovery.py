"""Discovery agents over HTTP/1.1 with long-polling watches, one agent for each gateway."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import h11

from ..model.registry import Agent, Line
from .relay import LOCAL

PATH = "/registry/instances"
MAX_WATCH_WAIT_S = 60.0


class _AgentConnection(asyncio.Protocol):
    def __init__(self, server: AgentServer) -> None:
        self.server, self.http = server, h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.target = ""
        # Of the pending watch; -1: a request for the whole list is pending; None: no request is.
        self.index: int | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.server.open.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self.target = event.target.decode("ascii", "replace")
                elif isinstance(event, h11.EndOfMessage):
                    # Not answered earlier: h11 starts the next cycle only after the request's end.
                    self._handle_request(self.target)
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (h11.ProtocolError, ValueError):
            self.transport.abort()

    def _handle_request(self, target: str) -> None:
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if parts.path != PATH:
            self._write(404, b"")
        elif "index" not in query:
            self.index = -1
            self.server.answer(self)
        else:
            self.index = int(query["index"][0])
            wait = min(MAX_WATCH_WAIT_S, int(query.get("wait", ["0"])[0]) / 1000)
            self.timer = self.server.loop.call_later(wait, self._watch_timed_out)
            if self.server.agent.news(self.index):
                self.server.answer(self)

    def _watch_timed_out(self) -> None:
        self.timer = None
        self.server.answer(self)

    def reply(self, body: bytes) -> None:
        """Answers the pending request."""
        self.index = None
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self._write(200, body)

    def _write(self, status: int, body: bytes) -> None:
        headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
        data = self.http.send(h11.Response(status_code=status, headers=headers))
        data += self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage())
        self.transport.write(data)
        if self.http.our_state is h11.MUST_CLOSE:
            self.transport.close()
        else:
            self.http.start_next_cycle()

    def connection_lost(self, error: Exception | None) -> None:
        if self.timer:
            self.timer.cancel()
        self.server.open.discard(self)


class AgentServer:
    """One gateway's discovery agent: answers from the changes that it has received, unless discovery is silent."""

    def __init__(
        self,
        agent: Agent,
        dial: Callable[[Line], str],
        on_answer: Callable[[int, bool, tuple[Line, ...]], None],
    ) -> None:
        self.agent, self.dial, self.on_answer = agent, dial, on_answer
        self.loop = asyncio.get_running_loop()
        self.open: set[_AgentConnection] = set()
        self.silent = False
        self.server: asyncio.Server | None = None
        self.address = ("", 0)

    async def listen(self) -> None:
        """Listens on a new address. A previous listener is closed at once, its open connections after 1.5 s."""
        old, calls = self.server, set(self.open)
        self.server = await self.loop.create_server(lambda: _AgentConnection(self), LOCAL, 0)
        self.address = self.server.sockets[0].getsockname()
        if old:
            old.close()
            self.loop.call_later(1.5, lambda: [call.transport.close() for call in calls])

    def body(self, seq: int, whole: bool, lines: tuple[Line, ...]) -> bytes:
        """Encodes an answer as the protocol's JSON."""
        return json.dumps(
            {"seq": seq, "whole": whole, "hosts": [line.shown(self.dial(line)) for line in lines]}
        ).encode()

    def answer(self, call: _AgentConnection) -> None:
        """Answers a request; while discovery is silent, the request stays pending."""
        if self.silent or call.index is None:
            return
        found = self.agent.whole() if call.index < 0 else self.agent.since(call.index)
        self.on_answer(*found)
        call.reply(self.body(*found))

    def changed(self) -> None:
        """Answers the pending watches for which the agent has new changes."""
        for call in list(self.open):
            # No timer: the request is for the whole list, or its watch has timed out.
            if call.index is not None and (call.timer is None or self.agent.news(call.index)):
                self.answer(call)

    def silence(self, silent: bool) -> None:
        """Stops answering, or resumes and answers the pending requests."""
        self.silent = silent
        self.changed()

    def close(self) -> None:
        """Closes the listener and aborts all connections."""
        if self.server:
            self.server.close()
        for call in list(self.open):
            call.transport.abort()
