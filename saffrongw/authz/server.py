"""The gateway as an authoriser: it answers checks of other proxies by its policy's quotas.

An admitted check takes its units from the same counters as the first attempt of a request, so the
quota holds for both together. A check is decided at once and leaves no state besides its units.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter

import grpc

from saffrongw.gateway.config import parse_address
from saffrongw.gateway.downstream.listener import ClientConnections
from saffrongw.gateway.filtering_driver import FilteringDriver

from ..policy.actions import AdmitRequest, RejectRequest
from .attributes import (
    METHOD,
    ContextExtensionNames,
    InvalidCheckError,
    RequestNames,
    admitted_response,
    parse_check,
    rejected_response,
)
from .channel import MAX_METADATA_BYTES, MAX_REPLY_BYTES, TlsFiles

log = logging.getLogger(__name__)

STOP_TIMEOUT_S = 0.5  # for checks in progress when the server stops
# In a hot restart: how often to look whether the previous process has left the address, when to
# say that it still has not, and the time between attempts that fail for another reason.
BIND_RETRY_S = 0.01
BIND_WARNING_S = 5.0
LISTEN_RETRY_S = 1.0
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_REPLY_BYTES),
    ("grpc.max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.max_concurrent_streams", 1000),
    ("grpc.so_reuseport", 0),  # else a second process could listen on the port without an error
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
)


class AuthzServer:
    """A gRPC server of the authorisation protocol.

    It listens from ``start`` on, and in a hot restart from when this process serves (``open``) and
    the previous one has closed its own server, until the process drains or hands over (``close``).
    """

    name = "authz_server"

    def __init__(
        self,
        listen: str,
        names: RequestNames,
        extension_names: ContextExtensionNames,
        gateway_count: int,
        max_units: float,
        max_in_flight: int,
        tls: TlsFiles | None = None,
    ) -> None:
        """Keep the address; ``start`` or ``open`` binds it."""
        self.listen, self.names, self.extension_names = listen, names, extension_names
        self.gateway_count, self.max_units, self.max_in_flight, self.tls = (
            gateway_count,
            max_units,
            max_in_flight,
            tls,
        )
        self.counts: Counter[str] = Counter()
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.tls_file_stats: tuple = ()
        self.opening_task: asyncio.Task[None] | None = None
        self.stopping_task: asyncio.Task[None] | None = None

    async def start(self, driver: FilteringDriver) -> None:
        """Listen, unless another process serves still; raise ``OSError`` if that fails."""
        self.driver = driver
        if not driver.is_successor:
            await self._listen()

    # -- as a listener of the gateway: in a hot restart it moves from one process to the next ------

    @property
    def opening(self) -> int:
        """No client connection of the gateway is opened here."""
        return 0

    async def open(self, clients: ClientConnections) -> None:
        """Listen as soon as the address is free, if ``start`` has left it to the predecessor."""
        if self.server is None:
            self.opening_task = clients.loop.create_task(self._listen_when_free())

    def close(self) -> None:
        """Accept no more checks, so that a successor can listen; those in progress finish."""
        if self.opening_task:
            self.opening_task.cancel()
        if self.server and self.stopping_task is None:
            stop = self.server.stop(STOP_TIMEOUT_S)
            self.stopping_task = asyncio.get_running_loop().create_task(stop)

    async def stop(self) -> None:
        """Accept no more checks, and wait until those in progress are finished."""
        self.close()
        tasks = [task for task in (self.opening_task, self.stopping_task) if task]
        await asyncio.gather(*tasks, return_exceptions=True)

    # -- listening ---------------------------------------------------------------------------------

    async def _listen_when_free(self) -> None:
        loop = asyncio.get_running_loop()
        warning = loop.call_later(BIND_WARNING_S, self._warn_of_address_in_use)
        try:
            while not self._is_free():
                await asyncio.sleep(BIND_RETRY_S)
        finally:
            warning.cancel()
        while True:
            try:
                return await self._listen()
            except OSError as error:
                log.warning('authz_server: listen_failed: error="%s"', error)
            await asyncio.sleep(LISTEN_RETRY_S)

    def _warn_of_address_in_use(self) -> None:
        log.warning("authz_server: address_in_use: listen=%s", self.listen)

    def _is_free(self) -> bool:
        """Whether nobody listens on the address; gRPC would log each attempt that fails."""
        host, port = parse_address(self.listen)
        try:
            family = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0][0]
            socket.create_server((host, port), family=family).close()
        except OSError:
            return False
        return True

    async def _listen(self) -> None:
        self.server = grpc.aio.server(options=OPTIONS, maximum_concurrent_rpcs=self.max_in_flight)
        service, name = METHOD.strip("/").split("/")
        handler = grpc.unary_unary_rpc_method_handler(self._check)
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(service, {name: handler}),)
        )
        try:
            self.port = self._bind()
        except RuntimeError as error:
            self.server = None
            raise OSError(f"authz_server can't listen on {self.listen}: {error}") from None
        if not self.port:
            self.server = None
            raise OSError(f"authz_server can't listen on {self.listen}")
        await self.server.start()

    def _bind(self) -> int:
        if not self.tls:
            return self.server.add_insecure_port(self.listen)
        credentials = grpc.dynamic_ssl_server_credentials(
            self._read_certificates(),
            self._changed_certificates,
            require_client_authentication=bool(self.tls.ca),
        )
        return self.server.add_secure_port(self.listen, credentials)

    def _read_certificates(self) -> grpc.ServerCertificateConfiguration:
        self.tls_file_stats = self.tls.file_stats()
        ca, cert, key = self.tls.read()
        return grpc.ssl_server_certificate_configuration([(key, cert)], ca)

    def _changed_certificates(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the certificates where the files have changed; called at each TLS handshake.

        None keeps the old ones: the files are the same, or one can't be read.
        """
        if self.tls.file_stats() == self.tls_file_stats:
            return None
        try:
            return self._read_certificates()
        except OSError as error:
            log.warning("authz_server: the old certificate stays: %s", error)
            return None

    async def _check(self, body: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            check = parse_check(
                body, self.names, self.extension_names, self.gateway_count, self.max_units
            )
        except InvalidCheckError as error:
            self.counts["bad"] += 1
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        verdict = self.driver.check_admission(
            check.customer,
            check.plan,
            check.kind,
            check.units,
            check.replica_set_first,
            check.replica_set_size,
        )
        if isinstance(verdict, AdmitRequest):
            self.counts["admitted"] += 1
            return admitted_response()
        if isinstance(verdict, RejectRequest):
            self.counts["rejected"] += 1
            return rejected_response(verdict.retry_after_us)
        self.counts["undecided"] += 1
        await context.abort(grpc.StatusCode.UNAVAILABLE, "not decided")
        raise AssertionError("abort raises")
