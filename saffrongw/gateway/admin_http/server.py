"""The operators' address: HTTP/1.1, one call a connection. What a call changes is told to the decisions at once.

Guards the requests of clients and the calls of others: a caller that sends half a call or nothing holds one of a few
places for a while and nothing else; those that have not sent a whole call make room first.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections.abc import Callable, Mapping
from typing import Protocol

import h11

from ..acceptor import Acceptor
from ..config import Address

log = logging.getLogger(__name__)

OPEN_MOST = 32  # callers' connections at once
CALL_WITHIN = 2.0  # seconds for a whole call
READ_WITHIN = 1.0  # seconds for its caller to read the answer
HEAD_MOST, BODY_MOST = 4_096, 256  # bytes of a call
MORE_MOST = 1_024  # bytes of one to what is plugged in
METHODS = {
    b"/admin/health": b"GET",
    b"/admin/stats": b"GET",
    b"/admin/cordon": b"POST",
    b"/admin/uncordon": b"POST",
    b"/admin/quiesce": b"POST",
    b"/admin/resume": b"POST",
}
_ID = re.compile(rb"[!-~]{1,128}")


class Operated(Protocol):
    """What operators may ask of a gateway; ids are those of discovery."""

    calls: Mapping[
        bytes, tuple[bytes, Callable[[bytes], tuple[int, bytes]]]
    ]  # of what is plugged in

    def able(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> bytes:
        """The figures."""

    def cordon(self, server: bytes) -> str | None:
        """Nothing more to a host; None, or why not."""

    def uncordon(self, server: bytes) -> str | None:
        """Use it again; None, or why not."""

    def quiesce(self) -> None:
        """Take no more clients."""

    def resume(self) -> None:
        """Take clients again."""


class Caller(asyncio.Protocol):
    """One connection with one call on it."""

    def __init__(self, calls: AdminServer) -> None:
        self.calls = calls
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        self.request: h11.Request | None = None
        self.body = b""
        self.transport: asyncio.Transport | None = None
        self.limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Somebody calls."""
        self.transport = transport
        self.calls.opened(self)
        self.limit = self.calls.loop.call_later(CALL_WITHIN, transport.abort)

    def data_received(self, data: bytes) -> None:
        """A call, or a part of it."""
        if self.http.our_state is h11.DONE or self.transport.is_closing():
            return  # answered: what comes behind it is no call
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.transport.write(self.http.send(go_on))
                    return
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    plugged = self.request.target in self.calls.operated.calls
                    if len(self.body) > (MORE_MOST if plugged else BODY_MOST):
                        return self._answer(413, b"the body is too long\n")
                elif isinstance(event, h11.EndOfMessage):
                    return self._answer(*self._outcome())
                else:  # closed, or paused
                    return
        except h11.RemoteProtocolError as wrong:
            self._answer(wrong.error_status_hint, b"not a call: %.200s\n" % str(wrong).encode())

    def eof_received(self) -> bool:
        """A caller may end its side and wait for the answer; one that has sent half a call gets none."""
        return self.http.our_state is h11.DONE

    def _outcome(self) -> tuple[int, bytes]:
        try:
            return self.calls.outcome(self.request.method, self.request.target, self.body)
        except Exception:  # guards the caller: a fault of ours is told as one, and at once
            log.exception("an operator's call failed")
            return 500, b"the call failed\n"

    def _answer(self, status: int, body: bytes) -> None:
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return self.transport.abort()
        self.limit.cancel()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if status == 405:
            headers.append(("allow", "GET, POST"))
        head = self.http.send(h11.Response(status_code=status, headers=headers))
        with_body = self.request is None or self.request.method != b"HEAD"
        self.transport.write(head + (body if with_body else b""))
        self.calls.answered(self)
        self.limit = self.calls.loop.call_later(READ_WITHIN, self.transport.abort)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """It has closed."""
        self.limit.cancel()
        self.calls.closed(self)


class AdminServer:
    """The listener for operators."""

    def __init__(self, loop: asyncio.AbstractEventLoop, operated: Operated) -> None:
        self.loop, self.operated = loop, operated
        self.unheard: dict[Caller, None] = {}  # no whole call yet, the oldest first
        self.open: set[Caller] = set()
        self.acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Answer from now on."""
        listener = socket.create_server(address, backlog=64, reuse_port=True)
        self.acceptor = Acceptor(self.loop, listener, self._room, lambda: Caller(self))
        self.acceptor.start()

    def close(self) -> None:
        """No more calls."""
        if self.acceptor:
            self.acceptor.close()

    def _room(self) -> bool:
        if len(self.open) + self.acceptor.opening < OPEN_MOST:
            return True
        if (oldest := next(iter(self.unheard), None)) is None:
            return False
        self.closed(oldest)
        oldest.transport.abort()
        return True

    def opened(self, caller: Caller) -> None:
        """One more."""
        self.acceptor.opened(caller)
        self.open.add(caller)
        self.unheard[caller] = None

    def answered(self, caller: Caller) -> None:
        """Its call is done."""
        self.unheard.pop(caller, None)

    def closed(self, caller: Caller) -> None:
        """One less."""
        self.open.discard(caller)
        self.unheard.pop(caller, None)

    def outcome(self, method: bytes, target: bytes, body: bytes) -> tuple[int, bytes]:
        """Status and text for one call."""
        path = target.partition(b"?")[0]
        plugged = self.operated.calls.get(path)
        wanted = plugged[0] if plugged else METHODS.get(path)
        if wanted is None:
            return 404, b"no such call\n"
        if method != wanted and (wanted, method) != (b"GET", b"HEAD"):
            return 405, b"this call wants " + wanted + b"\n"
        if plugged:
            return plugged[1](body)
        if path == b"/admin/health":
            return (200, b"ok\n") if self.operated.able() else (503, b"it does not serve yet\n")
        if path == b"/admin/stats":
            return 200, self.operated.stats()
        if path == b"/admin/quiesce":
            self.operated.quiesce()
            return 200, b"ok\n"
        if path == b"/admin/resume":
            self.operated.resume()
            return 200, b"ok\n"
        server = body.strip()
        if not _ID.fullmatch(server):
            return 400, b"the body is no host's id\n"
        why = (self.operated.cordon if path == b"/admin/cordon" else self.operated.uncordon)(server)
        return (200, b"ok\n") if why is None else (404, why.encode() + b"\n")
