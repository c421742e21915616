"""The gRPC channel to one authoriser.

Checks and replies are bytes here. TLS files that change are read again in service. grpcio's core
does HTTP/2, keepalive and reconnects with backoff and jitter; ``OPTIONS`` has their parameters.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

import grpc

from .attributes import METHOD

MAX_REPLY_BYTES = 64 * 1024
MAX_METADATA_BYTES = 16 * 1024  # of headers or trailers
TLS_FILES_POLL_S = 1.0  # least time between two looks whether the TLS files have changed
CLOSE_TIMEOUT_S = 0.2  # for checks in flight on a channel that new TLS files replace
# Time for a connection to come up, TLS and HTTP/2 settings included.
CONNECT_TIMEOUT_MS = 2_000
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_REPLY_BYTES),
    ("grpc.max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.absolute_max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # gRPC takes this as the least time that a connection may take to come up.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", 3_000),
    ("grpc.enable_retries", 0),  # CheckScheduler alone decides what is sent again
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)


class AuthzChannelError(Exception):
    """A check failed without a reply."""

    def __init__(self, kind: str, text: str) -> None:
        """Keep the kind, a short name for counters."""
        super().__init__(text)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Names of PEM files, and the name that the server's certificate must have.

    An empty string leaves the setting to gRPC's default.
    """

    ca: str = ""
    cert: str = ""
    key: str = ""
    server_name: str = ""

    def file_stats(self) -> tuple:
        """Return times, sizes and inodes, which differ once a file has changed.

        None stands for a missing file.
        """
        stats = []
        for name in (self.ca, self.cert, self.key):
            try:
                found = Path(name).stat() if name else None
            except OSError:
                found = None
            stats.append(found and (found.st_mtime_ns, found.st_size, found.st_ino))
        return tuple(stats)

    def read(self) -> tuple[bytes | None, bytes | None, bytes | None]:
        """Return the files' contents; raise ``OSError`` where one can't be read."""
        ca, cert, key = (
            Path(name).read_bytes() if name else None for name in (self.ca, self.cert, self.key)
        )
        return ca, cert, key


class AuthzChannel:
    """A channel to one authoriser, opened anew when its TLS files change."""

    def __init__(self, address: str, tls: TlsFiles | None = None) -> None:
        """Open the channel; raise ``OSError`` if a TLS file can't be read."""
        self.address, self.tls = address, tls
        self.tls_file_stats: tuple = ()
        self.tls_files_checked_s = 0.0
        self.closing_tasks: set[asyncio.Task] = set()
        self._open()

    def _open(self) -> None:
        options: list[tuple[str, int | str]] = list(OPTIONS)
        if self.tls:
            self.tls_file_stats = self.tls.file_stats()
            ca, cert, key = self.tls.read()
            credentials = grpc.ssl_channel_credentials(ca, key, cert)
            if self.tls.server_name:
                options.append(("grpc.ssl_target_name_override", self.tls.server_name))
            self.channel = grpc.aio.secure_channel(self.address, credentials, options)
        else:
            self.channel = grpc.aio.insecure_channel(self.address, options)
        self.method = self.channel.unary_unary(METHOD)

    def _reload_changed_tls_files(self) -> None:
        """Open a new channel where TLS files have changed; the old one finishes its checks.

        While a file can't be read, the old channel stays in use.
        """
        now = asyncio.get_running_loop().time()
        if not self.tls or now - self.tls_files_checked_s < TLS_FILES_POLL_S:
            return
        self.tls_files_checked_s = now
        if self.tls.file_stats() == self.tls_file_stats:
            return
        old = self.channel
        try:
            self._open()
        except OSError:
            return
        task = asyncio.get_running_loop().create_task(old.close(CLOSE_TIMEOUT_S))
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)

    async def check(self, message: bytes, timeout_s: float) -> bytes:
        """Send one check and return the reply; raise ``AuthzChannelError`` where none arrives."""
        self._reload_changed_tls_files()
        try:
            return await self.method(message, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise AuthzChannelError(error.code().name.lower(), error.details() or "") from None
        except grpc.aio.UsageError as error:  # the channel was closed during the call
            raise AuthzChannelError("closed", str(error)) from None

    async def close(self) -> None:
        """Close the channel; the checks in flight fail."""
        await self.channel.close(0)
