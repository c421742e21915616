"""One authoriser's gRPC channel.

Checks as bytes, errors with a kind, TLS from files that may change in service.

grpcio's core does HTTP/2, keepalive and reconnecting with back-off and jitter; the figures are set
here.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

import grpc

from .attributes import METHOD

MAX_REPLY_BYTES = 64 * 1024  # bytes of an answer
MAX_METADATA_BYTES = 16 * 1024  # bytes of headers or trailers
TLS_FILES_POLL_S = 1.0  # seconds between two looks at the files of TLS
CLOSE_TIMEOUT_S = 0.2  # seconds for checks that are out on a channel that is replaced
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_REPLY_BYTES),
    ("grpc.max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.absolute_max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 3_000),
    ("grpc.enable_retries", 0),  # what is asked again is for the pure part to say
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)


class AuthzChannelError(Exception):
    """A check that brought no answer; kind is a short name for counts."""

    def __init__(self, kind: str, text: str) -> None:
        """Keep the kind, a short name for counters."""
        super().__init__(text)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files in PEM; empty names say nothing."""

    ca: str = ""
    cert: str = ""
    key: str = ""
    server_name: str = ""

    def stamp(self) -> tuple:
        """What changes when a file does; a file that is gone has none."""
        stamps = []
        for name in (self.ca, self.cert, self.key):
            try:
                found = Path(name).stat() if name else None
            except OSError:
                found = None
            stamps.append(found and (found.st_mtime_ns, found.st_size, found.st_ino))
        return tuple(stamps)

    def read(self) -> tuple[bytes | None, bytes | None, bytes | None]:
        """The files' contents; ``OSError`` where one can't be read."""
        ca, cert, key = (
            Path(name).read_bytes() if name else None for name in (self.ca, self.cert, self.key)
        )
        return ca, cert, key


class AuthzChannel:
    """To one authoriser."""

    def __init__(self, address: str, tls: TlsFiles | None = None) -> None:
        """Open the channel; ``OSError`` if a file of TLS cannot be read."""
        self.name, self.tls = address, tls
        self.stamp: tuple = ()
        self.looked = 0.0
        self.closing: set[asyncio.Task] = set()
        self._open()

    def _open(self) -> None:
        options: list[tuple[str, int | str]] = list(OPTIONS)
        if self.tls:
            self.stamp = self.tls.stamp()
            ca, cert, key = self.tls.read()
            credentials = grpc.ssl_channel_credentials(ca, key, cert)
            if self.tls.server_name:
                options.append(("grpc.ssl_target_name_override", self.tls.server_name))
            self.channel = grpc.aio.secure_channel(self.name, credentials, options)
        else:
            self.channel = grpc.aio.insecure_channel(self.name, options)
        self.method = self.channel.unary_unary(METHOD)

    def _refresh(self) -> None:
        """New connections by new files; the old channel ends what is out on it.

        A file that can't be read changes nothing: the channel that there is goes on.
        """
        now = asyncio.get_running_loop().time()
        if not self.tls or now - self.looked < TLS_FILES_POLL_S:
            return
        self.looked = now
        if self.tls.stamp() == self.stamp:
            return
        old = self.channel
        try:
            self._open()
        except OSError:
            return
        task = asyncio.get_running_loop().create_task(old.close(CLOSE_TIMEOUT_S))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def check(self, message: bytes, within: float) -> bytes:
        """One Check, its answer's bytes; within in seconds. ``ChannelError`` where none comes."""
        self._refresh()
        try:
            return await self.method(message, timeout=within)
        except grpc.aio.AioRpcError as wrong:
            raise AuthzChannelError(wrong.code().name.lower(), wrong.details() or "") from None
        except grpc.aio.UsageError as wrong:  # the channel was closed under it
            raise AuthzChannelError("closed", str(wrong)) from None

    async def close(self) -> None:
        """End what is out."""
        await self.channel.close(0)
