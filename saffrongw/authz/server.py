"""The gateway as an authoriser.

Check answered by the decision module's quotas and ceilings, for other proxies.

A check that is let in takes its units exactly as a first send does, on the same counts: both ways
in together keep the quota. A check decides at once and holds nothing.
"""

from __future__ import annotations

import logging
from collections import Counter

import grpc

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

STOP_TIMEOUT_S = 0.5  # seconds for checks that are being answered at the end
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_REPLY_BYTES),
    ("grpc.max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.max_concurrent_streams", 1000),
    ("grpc.so_reuseport", 0),  # guards against two processes that share the port unseen
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
)


class AuthzServer:
    """Listens from ``start`` to ``stop``."""

    name = "authz_server"

    def __init__(
        self,
        listen: str,
        names: RequestNames,
        fields: ContextExtensionNames,
        gateway_count: int,
        max_units: float,
        in_flight: int,
        tls: TlsFiles | None = None,
    ) -> None:
        """Keep the address; ``start`` binds it."""
        self.listen, self.names, self.fields = listen, names, fields
        self.gateway_count, self.max_units, self.in_flight, self.tls = (
            gateway_count,
            max_units,
            in_flight,
            tls,
        )
        self.counts: Counter[str] = Counter()
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.stamp: tuple = ()

    async def start(self, driver: FilteringDriver) -> None:
        """Listen; ``OSError`` where that is not possible."""
        self.driver = driver
        self.server = grpc.aio.server(options=OPTIONS, maximum_concurrent_rpcs=self.in_flight)
        service, name = METHOD.strip("/").split("/")
        handler = grpc.unary_unary_rpc_method_handler(self._check)
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(service, {name: handler}),)
        )
        try:
            self.port = self._bind()
        except RuntimeError as wrong:
            raise OSError(f"authz_server can't listen on {self.listen}: {wrong}") from None
        if not self.port:
            raise OSError(f"authz_server can't listen on {self.listen}")
        await self.server.start()

    def _bind(self) -> int:
        if not self.tls:
            return self.server.add_insecure_port(self.listen)
        credentials = grpc.dynamic_ssl_server_credentials(
            self._certificates(), self._changed, require_client_authentication=bool(self.tls.ca)
        )
        return self.server.add_secure_port(self.listen, credentials)

    def _certificates(self) -> grpc.ServerCertificateConfiguration:
        self.stamp = self.tls.stamp()
        ca, cert, key = self.tls.read()
        return grpc.ssl_server_certificate_configuration([(key, cert)], ca)

    def _changed(self) -> grpc.ServerCertificateConfiguration | None:
        """Asked at each handshake.

        New files serve new connections, what can't be read changes nothing.
        """
        if self.tls.stamp() == self.stamp:
            return None
        try:
            return self._certificates()
        except OSError as wrong:
            log.warning("authz_server: the old certificate stays: %s", wrong)
            return None

    async def _check(self, body: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            check = parse_check(body, self.names, self.fields, self.gateway_count, self.max_units)
        except InvalidCheckError as wrong:
            self.counts["bad"] += 1
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(wrong))
        verdict = self.driver.check_admission(
            check.customer, check.plan, check.kind, check.units, check.first, check.spread
        )
        if isinstance(verdict, AdmitRequest):
            self.counts["let in"] += 1
            return admitted_response()
        if isinstance(verdict, RejectRequest):
            self.counts["turned away"] += 1
            return rejected_response(verdict.retry_after_us)
        self.counts["undecided"] += 1
        await context.abort(grpc.StatusCode.UNAVAILABLE, "not decided")
        raise AssertionError("abort raises")

    async def stop(self) -> None:
        """Take no more, end what is being answered."""
        if self.server:
            await self.server.stop(STOP_TIMEOUT_S)
