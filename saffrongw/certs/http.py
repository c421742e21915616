"""HTTPS client for an authority.

One request a connection, bounded lengths and times, no redirects.
"""

from __future__ import annotations

import asyncio
import re
import ssl
from urllib.parse import urlsplit

import h11

from saffrongw import __version__

from .acme_steps import HttpRequest
from .messages import AcmeError, FailureKind, HttpAnswer, clean, malformed_answer

# For one request, from the connect to the last byte of the reply.
TIMEOUT_S = 30.0
MAX_HEAD_BYTES, MAX_BODY_BYTES = 32 * 1024, 512 * 1024
READ_BYTES = 64 * 1024
_LINK = re.compile(r'<([^<>\s]{1,2048})>\s*;[^,<]*?\brel\s*=\s*"?([A-Za-z0-9\- ]{1,64})"?')


class AuthorityClient:
    """A client of one authority; ``ca`` is a file of the root certificates that it trusts."""

    def __init__(self, ca: str = "", timeout_s: float = TIMEOUT_S) -> None:
        """Trust this root file, or the system's roots; ``timeout_s`` is the time-out."""
        self.context = ssl.create_default_context(cafile=ca or None)
        self.timeout_s = timeout_s

    async def send(self, request: HttpRequest) -> HttpAnswer:
        """Send a request and return the answer.

        Raises ``AcmeError`` UNREACHABLE if there is none, UNUSABLE if it is malformed.
        """
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._send(request)
        except TimeoutError:
            raise AcmeError(
                FailureKind.UNREACHABLE, f"{request.read}: no answer within {self.timeout_s:g} s"
            ) from None
        except ssl.SSLError as error:
            raise AcmeError(
                FailureKind.UNREACHABLE, f"{request.read}: {clean(error.reason or error)}"
            ) from None
        except (OSError, EOFError) as error:
            raise AcmeError(FailureKind.UNREACHABLE, f"{request.read}: {clean(error)}") from None
        except h11.RemoteProtocolError as error:
            raise malformed_answer(request.read, f"no HTTP: {clean(error)}") from None

    async def _send(self, request: HttpRequest) -> HttpAnswer:
        parts = urlsplit(request.url)
        host, port = parts.hostname, parts.port or 443
        reader, writer = await asyncio.open_connection(
            host, port, ssl=self.context, server_hostname=host
        )
        try:
            http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
            headers = [
                ("host", parts.netloc.rpartition("@")[2]),
                ("user-agent", f"saffrongw/{__version__}"),
                ("accept", "*/*"),
                ("connection", "close"),
            ]
            if request.body:
                headers += [
                    ("content-type", request.type),
                    ("content-length", str(len(request.body))),
                ]
            target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
            out = http.send(h11.Request(method=request.method, target=target, headers=headers))
            if request.body:
                out += http.send(h11.Data(data=request.body))
            writer.write(out + http.send(h11.EndOfMessage()))
            return await self._read(http, reader, request)
        finally:
            writer.transport.abort()

    async def _read(
        self, http: h11.Connection, reader: asyncio.StreamReader, request: HttpRequest
    ) -> HttpAnswer:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = await _next_event(http, reader)
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise malformed_answer(request.read, f"longer than {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None  # h11 ends no message before its head
                return _answer(head, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("the connection ended within the answer")


async def _next_event(http: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the next HTTP event, reading as needed.

    Raises ``EOFError`` if the connection ends within a message: the authority then counts as
    unreachable, and the order can be resumed.
    """
    has_ended = False
    while True:
        try:
            event = http.next_event()
        except h11.RemoteProtocolError:
            if has_ended:
                raise EOFError("the connection ended within the answer") from None
            raise
        if event is not h11.NEED_DATA:
            return event
        data = await reader.read(READ_BYTES)
        has_ended = not data
        http.receive_data(data)


def _answer(head: h11.Response, body: bytes) -> HttpAnswer:
    fields: dict[str, str] = {}
    links: list[tuple[str, str]] = []
    for name, value in head.headers:
        text = value.decode("latin-1")
        if name == b"link":
            links += [(relation, target) for target, relation in _LINK.findall(text)]
        else:
            fields.setdefault(name.decode("latin-1"), text)
    return HttpAnswer(head.status_code, fields, body, tuple(links))
