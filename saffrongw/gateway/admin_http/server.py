"""The HTTP server of the operators' address: HTTP/1.1, one call per connection.

Callers that send nothing, or an incomplete call, must not block clients' requests or other
operators' calls: connections are few and time out soon, and at the limit the oldest one without a
complete call is closed.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol, cast

import h11

from ..acceptor import Acceptor
from ..config import Address
from ..extensions import AdminCommand
from .handlers import AdminCallError

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 32
LISTEN_BACKLOG = 64
# Time for a caller to send its call, and to read the answer.
CALL_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 4_096
MAX_BODY_BYTES = 256
# Limit of the body of a call to an extension.
MAX_EXTENSION_BODY_BYTES = 1_024
# HTTP statuses; importing ``http.HTTPStatus`` would slow down every start.
CONTINUE = 100
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
BODY_TOO_LARGE = 413
INTERNAL_ERROR = 500
UNAVAILABLE = 503
_ENDPOINT_ID = re.compile(rb"[!-~]{1,128}")
_OK_TEXT = b"ok\n"


class AdminResponse(NamedTuple):
    """An answer's status and text."""

    status: int
    body: bytes


class AdminOperations(Protocol):
    """The calls that operators can make; endpoint ids are those of discovery.

    Calls that can't be carried out raise ``AdminCallError``.
    """

    extension_commands: Mapping[bytes, AdminCommand]

    def is_healthy(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> bytes:
        """All metrics as text."""

    def exclude(self, endpoint_id: bytes) -> None:
        """Send no more attempts to an endpoint."""

    def readmit(self, endpoint_id: bytes) -> None:
        """Use an excluded endpoint again."""

    def quiesce(self) -> None:
        """Start draining."""

    def resume(self) -> None:
        """End draining."""


class AdminConnection(asyncio.Protocol):
    """One caller's connection with one call on it."""

    # Both are set when the connection opens.
    transport: asyncio.Transport
    timeout: asyncio.TimerHandle

    def __init__(self, server: AdminServer) -> None:
        """Prepare for a connection that is not open yet."""
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the call."""
        self.transport = cast("asyncio.Transport", transport)
        self.server.opened(self)
        self.timeout = self.server.loop.call_later(CALL_TIMEOUT_S, self.transport.abort)

    def data_received(self, data: bytes) -> None:
        """Process a call or a part of it; data after an answered call is ignored."""
        if self.http.our_state is h11.DONE or self.transport.is_closing():
            return
        try:
            self.http.receive_data(data)
            while self._handle(self.http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            text = b"not a call: %.200s\n" % str(error).encode()
            self._respond(AdminResponse(error.error_status_hint, text))

    def _handle(self, event: object) -> bool:
        """Handle a parser event; return whether another one may be available."""
        if isinstance(event, h11.Request):
            self.request = event
            return True
        if isinstance(event, h11.Data):
            return self._receive_body(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._respond(self._dispatch())
        elif event is h11.NEED_DATA and self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=CONTINUE, headers=[])
            self.transport.write(self.http.send(go_on))
        return False

    def _receive_body(self, data: bytes) -> bool:
        """Collect the body; return whether it is still within its limit."""
        assert self.request is not None
        self.body += data
        is_extension = self.request.target in self.server.operations.extension_commands
        if len(self.body) <= (MAX_EXTENSION_BODY_BYTES if is_extension else MAX_BODY_BYTES):
            return True
        too_long = AdminResponse(BODY_TOO_LARGE, b"the body is too long\n")
        self._respond(too_long)
        return False

    def eof_received(self) -> bool:
        """Keep the connection if its call is complete: the caller may have closed one side only."""
        return self.http.our_state is h11.DONE

    def _dispatch(self) -> AdminResponse:
        """Return the answer to the call, with status 500 if the handler raises an exception."""
        assert self.request is not None
        method, target = self.request.method, self.request.target
        try:
            return self.server.dispatch(method, target, self.body)
        except Exception:
            log.exception("admin_http: handler failed: method=%s target=%.100r", method, target)
            return AdminResponse(INTERNAL_ERROR, b"the call failed\n")

    def _respond(self, response: AdminResponse) -> None:
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.abort()
            return
        self.timeout.cancel()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(response.body))),
            ("connection", "close"),
        ]
        if response.status == METHOD_NOT_ALLOWED:
            headers.append(("allow", "GET, POST"))
        head = self.http.send(h11.Response(status_code=response.status, headers=headers))
        has_body = self.request is None or self.request.method != b"HEAD"
        self.transport.write(head + (response.body if has_body else b""))
        self.server.answered(self)
        self.timeout = self.server.loop.call_later(READ_TIMEOUT_S, self.transport.abort)
        self.transport.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Release the connection."""
        self.timeout.cancel()
        self.server.closed(self)


class _Route(NamedTuple):
    """The method and handler of one path."""

    method: bytes
    handle: Callable[[bytes], AdminResponse]


class AdminServer:
    """The listener of the operators' address, its connections and its routes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: AdminOperations) -> None:
        """Prepare; ``listen`` binds."""
        self.loop = loop
        self.operations = operations
        # Connections without a complete call, the oldest first.
        self.incomplete: dict[AdminConnection, None] = {}
        self.connections: set[AdminConnection] = set()
        self.acceptor: Acceptor | None = None
        self.routes = {
            b"/admin/health": _Route(b"GET", self._health),
            b"/admin/stats": _Route(b"GET", self._stats),
            b"/admin/cordon": _Route(b"POST", self._exclude),
            b"/admin/uncordon": _Route(b"POST", self._readmit),
            b"/admin/quiesce": _Route(b"POST", self._quiesce),
            b"/admin/resume": _Route(b"POST", self._resume),
        }

    def listen(self, address: Address) -> None:
        """Answer calls from now on."""
        listener = socket.create_server(address, backlog=LISTEN_BACKLOG, reuse_port=True)
        self.acceptor = Acceptor(
            self.loop, listener, self._ensure_capacity, lambda: AdminConnection(self)
        )
        self.acceptor.start()

    def close(self) -> None:
        """Answer no more calls."""
        if self.acceptor:
            self.acceptor.close()

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may open; at the limit, closes the oldest incomplete one."""
        assert self.acceptor is not None
        if len(self.connections) + self.acceptor.opening < MAX_CONNECTIONS:
            return True
        if (oldest := next(iter(self.incomplete), None)) is None:
            return False
        self.closed(oldest)
        oldest.transport.abort()
        return True

    def opened(self, connection: AdminConnection) -> None:
        """Count a connection that has opened."""
        assert self.acceptor is not None
        self.acceptor.opened(connection)
        self.connections.add(connection)
        self.incomplete[connection] = None

    def answered(self, connection: AdminConnection) -> None:
        """Record that a connection's call is complete."""
        self.incomplete.pop(connection, None)

    def closed(self, connection: AdminConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.incomplete.pop(connection, None)

    def dispatch(self, method: bytes, target: bytes, body: bytes) -> AdminResponse:
        """Return the answer to one call; ``HEAD`` is accepted where ``GET`` is."""
        path = target.partition(b"?")[0]
        route = self._route(path)
        if route is None:
            return AdminResponse(NOT_FOUND, b"no such call\n")
        if method != route.method and (route.method, method) != (b"GET", b"HEAD"):
            text = b"this call wants " + route.method + b"\n"
            return AdminResponse(METHOD_NOT_ALLOWED, text)
        return route.handle(body)

    def _route(self, path: bytes) -> _Route | None:
        command = self.operations.extension_commands.get(path)
        if command is None:
            return self.routes.get(path)
        method, run = command
        return _Route(method, lambda body: AdminResponse(*run(body)))

    def _health(self, _body: bytes) -> AdminResponse:
        if self.operations.is_healthy():
            return AdminResponse(OK, _OK_TEXT)
        return AdminResponse(UNAVAILABLE, b"it does not serve yet\n")

    def _stats(self, _body: bytes) -> AdminResponse:
        return AdminResponse(OK, self.operations.stats())

    def _quiesce(self, _body: bytes) -> AdminResponse:
        self.operations.quiesce()
        return AdminResponse(OK, _OK_TEXT)

    def _resume(self, _body: bytes) -> AdminResponse:
        self.operations.resume()
        return AdminResponse(OK, _OK_TEXT)

    def _exclude(self, body: bytes) -> AdminResponse:
        return _change_endpoint(self.operations.exclude, body)

    def _readmit(self, body: bytes) -> AdminResponse:
        return _change_endpoint(self.operations.readmit, body)


def _change_endpoint(change: Callable[[bytes], None], body: bytes) -> AdminResponse:
    """Carry out a call whose body is an endpoint's id, and return its answer."""
    endpoint_id = body.strip()
    if not _ENDPOINT_ID.fullmatch(endpoint_id):
        return AdminResponse(BAD_REQUEST, b"the body is no host's id\n")
    try:
        change(endpoint_id)
    except AdminCallError as error:
        return AdminResponse(NOT_FOUND, str(error).encode() + b"\n")
    return AdminResponse(OK, _OK_TEXT)
