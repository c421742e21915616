"""Carries out the calls of operators to a running gateway."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...policy import state_transfer
from ...policy.events import EndpointId, ExclusionChanged
from ..config import Config
from ..downstream.listener import ClientConnections
from ..driver import Driver
from ..extensions import AdminCommand, MetricLines
from ..hot_restart.admin_relay import AdminRelay
from ..hot_restart.messages import (
    MalformedMessageError,
    Message,
    MessageKind,
    decode_exclusion,
    decode_quiesced,
)
from ..metrics import render

# Source that the policy records for operators' exclusions, also those passed on by a hot restart.
EXCLUSION_SOURCE = "operator"
# Bounds the memory for exclusions, which also hold for endpoints that are not listed any more.
MAX_EXCLUDED_ENDPOINTS = 4_096


class AdminCallError(Exception):
    """A call that can't be carried out; its message is the answer's text."""


class AdminHandlers:
    """Carries out operators' calls (``server.AdminOperations``) and those of a hot restart.

    The attributes from ``extension_metrics`` to ``draining_listeners`` are set by ``bootstrap``
    before use.
    """

    def __init__(self, driver: Driver, clients: ClientConnections, config: Config) -> None:
        """Prepare; ``is_serving`` is set once this process can serve."""
        self.driver = driver
        self.clients = clients
        self.config = config
        self.is_serving = False
        self.extension_metrics: tuple[MetricLines, ...] = ()
        # Calls of extensions, by path.
        self.extension_commands: Mapping[bytes, AdminCommand] = {}
        self.draining_listeners: tuple[Callable[[bool], None], ...] = ()
        self.memory_rows: MetricLines = list
        # Exchanges calls with the other processes of a hot restart.
        self.relay = AdminRelay(self.apply_from_peer_process)

    def is_healthy(self) -> bool:
        """Whether this process can serve."""
        return self.is_serving

    def stats(self) -> bytes:
        """All metrics as of now, as text."""
        gateway = self.driver.gateway
        rows = self.driver.metrics.rows(
            self.config.class_names,
            self.clients.inflight,
            len(gateway.endpoints.by_id),
            gateway.avoided(self.driver.clock()),
        )
        rows += self.memory_rows()
        for extension_rows in self.extension_metrics:
            rows += extension_rows()
        return render(rows)

    def exclude(self, endpoint_id: EndpointId) -> None:
        """Send no more attempts to an endpoint until it is readmitted."""
        self._require_known(endpoint_id)
        excluded = self.driver.gateway.exclusions.sources
        if len(excluded) >= MAX_EXCLUDED_ENDPOINTS and endpoint_id not in excluded:
            raise AdminCallError("too many hosts are out")
        self._set_excluded(endpoint_id, True)
        self._notify_exclusion(endpoint_id, True)

    def readmit(self, endpoint_id: EndpointId) -> None:
        """Use an excluded endpoint again."""
        self._require_known(endpoint_id)
        self._set_excluded(endpoint_id, False)
        self._notify_exclusion(endpoint_id, False)

    def quiesce(self) -> None:
        """Start draining: ``PING`` fails, and connections close once idle."""
        self._set_draining(True)
        self.relay.publish(MessageKind.QUIESCED, True)

    def resume(self) -> None:
        """End draining: serve clients as before."""
        self._set_draining(False)
        self.relay.publish(MessageKind.QUIESCED, False)

    def notify_draining(self, is_draining: bool) -> None:
        """Notify the extensions that draining has started or ended."""
        for notify in self.draining_listeners:
            notify(is_draining)

    def apply_from_peer_process(self, message: Message) -> None:
        """Apply an operator's call that another process of a hot restart received.

        Raises ``MalformedMessageError`` for a message of unknown kind.
        """
        kind = message[0]
        if kind == MessageKind.EXCLUSION:
            exclusion = decode_exclusion(message)
            self._set_excluded(exclusion.endpoint_id, exclusion.excluded)
        elif kind == MessageKind.QUIESCED:
            self._set_draining(decode_quiesced(message))
        else:
            raise MalformedMessageError(f"unknown message: {kind!r}")

    def _set_draining(self, is_draining: bool) -> None:
        shutdown = self.clients.shutdown
        was_draining = shutdown.is_draining
        if is_draining:
            shutdown.quiesce()
        else:
            shutdown.resume()
        if shutdown.is_draining is not was_draining:
            self.notify_draining(shutdown.is_draining)

    def _require_known(self, endpoint_id: EndpointId) -> None:
        gateway = self.driver.gateway
        is_excluded_here = EXCLUSION_SOURCE in gateway.exclusions.sources.get(endpoint_id, ())
        if endpoint_id not in gateway.endpoints.by_id and not is_excluded_here:
            raise AdminCallError("no host has this id")

    def _set_excluded(self, endpoint_id: EndpointId, excluded: bool) -> None:
        self.driver.exclusion_changed(ExclusionChanged(endpoint_id, EXCLUSION_SOURCE, excluded))

    def _notify_exclusion(self, endpoint_id: EndpointId, excluded: bool) -> None:
        text = state_transfer.endpoint_id_to_text(endpoint_id)
        self.relay.publish(MessageKind.EXCLUSION, text, excluded)
