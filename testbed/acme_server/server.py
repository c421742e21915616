"""The ACME server on loopback HTTPS. Its challenge checks make real connections to the gateways."""

from __future__ import annotations

import asyncio
import hashlib
import ssl
import time
from collections.abc import Callable
from pathlib import Path

import h11
import trustme
from cryptography import x509

from ..runner.processes import free_port
from .model import Authority, Check, Reply

LOCAL = "127.0.0.1"
CHECK_TIMEOUT_S = 5.0
ACME_IDENTIFIER_OID = x509.ObjectIdentifier("1.3.6.1.5.5.7.1.31")


class AuthorityServer:
    """``http`` and ``tls``: addresses for the challenge checks, used in turn, as several gateways serve one name."""

    def __init__(self, clock: Callable[[], float] = time.time, **settings) -> None:
        self.clock, self.settings = clock, settings
        self.root = trustme.CA()
        self.http: list[tuple[str, int]] = []
        self.tls: list[tuple[str, int]] = []
        self.next_index = 0
        self.delay = 0.0  # seconds before each answer
        self.hung = False  # requests are read and not answered
        self.cut = 0  # number of coming answers that are truncated
        self.server: asyncio.Server | None = None
        self.port = 0
        self.authority: Authority | None = None
        self.open: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> AuthorityServer:
        """Listens; after ``away`` on the same port, which the kernel gives to no outgoing connection."""
        if self.server:
            return self
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.root.issue_cert("localhost", LOCAL).configure_cert(context)
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self._serve, LOCAL, self.port, ssl=context)
        if self.authority is None:
            self.authority = Authority(f"https://{LOCAL}:{self.port}", self.clock, **self.settings)
        return self

    @property
    def directory(self) -> str:
        """The URL of the ACME directory."""
        return f"https://{LOCAL}:{self.port}/dir"

    def write_ca(self, folder: Path) -> Path:
        """Writes the CA certificate that verifies the server's own TLS certificate."""
        path = folder / "authority-ca.pem"
        self.root.cert_pem.write_to_path(str(path))
        return path

    async def away(self) -> None:
        """Stops listening; the state is kept."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.server = None

    async def close(self) -> None:
        """Stops listening and cancels the running checks."""
        if self.server:
            await self.away()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            http = h11.Connection(h11.SERVER)
            request, body = None, b""
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(65_536))
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    return
            if self.hung:
                await asyncio.sleep(3_600)
            if self.delay:
                await asyncio.sleep(self.delay)
            reply = self.authority.handle(request.method.decode(), request.target.decode(), body)
            self._start_checks()
            out = _encode_reply(http, request.method, reply)
            if self.cut > 0:
                self.cut -= 1
                out = out[: len(out) // 2]
            writer.write(out)
            await writer.drain()
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def _start_checks(self) -> None:
        checks, self.authority.checks = self.authority.checks, []
        for check in checks:
            task = asyncio.get_running_loop().create_task(self._check(check))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _check(self, check: Check) -> None:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                failure = await (
                    self._check_http_01 if check.type == "http-01" else self._check_tls_alpn_01
                )(check)
        except (OSError, TimeoutError, IndexError, ValueError) as failed:
            failure = f"{check.name}: {failed!r}"
        self.authority.checked(check, failure)

    def _next_address(self, places: list[tuple[str, int]]) -> tuple[str, int]:
        self.next_index += 1
        return places[self.next_index % len(places)] if places else (LOCAL, 1)

    async def _check_http_01(self, check: Check) -> str:
        """Validates an http-01 challenge (RFC 8555, section 8.3)."""
        reader, writer = await asyncio.open_connection(*self._next_address(self.http))
        try:
            request = f"GET /.well-known/acme-challenge/{check.token} HTTP/1.1\r\nHost: {check.name}\r\n\r\n"
            writer.write(request.encode())
            head, _, body = (await reader.read(65_536)).partition(b"\r\n\r\n")
            while len(body) < len(check.authorisation) and (more := await reader.read(65_536)):
                body += more
            if not head.startswith(b"HTTP/1.1 200"):
                return f"{check.name}: {head[:40]!r}"
            return (
                ""
                if body.strip().decode() == check.authorisation
                else f"{check.name}: {body[:40]!r}"
            )
        finally:
            writer.close()

    async def _check_tls_alpn_01(self, check: Check) -> str:
        """Validates a tls-alpn-01 challenge (RFC 8737)."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
        context.set_alpn_protocols(["acme-tls/1"])
        place = self._next_address(self.tls)
        _, writer = await asyncio.open_connection(*place, ssl=context, server_hostname=check.name)
        try:
            tls_object = writer.get_extra_info("ssl_object")
            if tls_object.selected_alpn_protocol() != "acme-tls/1":
                return f"{check.name}: no acme-tls/1"
            leaf = x509.load_der_x509_certificate(tls_object.getpeercert(binary_form=True))
            found = leaf.extensions.get_extension_for_oid(ACME_IDENTIFIER_OID)
            names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
            expected = b"\x04\x20" + hashlib.sha256(check.authorisation.encode()).digest()
            if not found.critical or found.value.value != expected:
                return f"{check.name}: another digest"
            if names.get_values_for_type(x509.DNSName) != [check.name]:
                return f"{check.name}: other names"
            return ""
        except x509.ExtensionNotFound:
            return f"{check.name}: no acmeIdentifier"
        finally:
            writer.transport.abort()


def _encode_reply(http: h11.Connection, method: bytes, reply: Reply) -> bytes:
    headers = [*reply.headers.items(), *(("link", link) for link in reply.links)]
    headers += [("content-length", str(len(reply.body))), ("connection", "close")]
    out = http.send(h11.Response(status_code=reply.status, headers=headers))
    return out + (reply.body if method != b"HEAD" else b"")
