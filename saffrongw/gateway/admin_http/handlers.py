"""What operators ask of a running gateway, carried out on its parts."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...policy import state_transfer
from ...policy.events import EndpointId, ExclusionChanged
from ..config import Config
from ..downstream.listener import ClientConnections
from ..driver import Driver
from ..extensions import AdminCommand, MetricLines
from ..metrics import text

SOURCE = "operator"
EXCLUDED_MOST = 4_096  # hosts taken out at once: each is remembered, listed or not


class AdminHandlers:
    """The gateway as its operators see it (``operators.Operated``)."""

    def __init__(self, driver: Driver, clients: ClientConnections, config: Config) -> None:
        self.driver, self.clients, self.config = driver, clients, config
        self.serving = False
        self.more: tuple[MetricLines, ...] = ()  # figures of what is plugged in
        self.calls: Mapping[bytes, AdminCommand] = {}  # and what else it can be asked
        self.on_drain: tuple[Callable[[bool], None], ...] = ()
        self.tell: Callable[..., object] = lambda *message: None  # the other process of an upgrade

    def able(self) -> bool:
        """Whether this process can serve."""
        return self.serving

    def stats(self) -> bytes:
        """The figures as of now."""
        driver, gateway = self.driver, self.driver.gateway
        lines = driver.metrics.lines(
            self.config.class_names,
            self.clients.inflight,
            len(gateway.endpoints.by_id),
            gateway.avoided(driver.clock()),
        )
        for part in self.more:
            lines += part()
        return text(lines)

    def cordon(self, server: EndpointId) -> str | None:
        """Nothing more to a host, until it is called back; why not where there is none of this id."""
        gateway = self.driver.gateway
        if not self._known(server):
            return "no host has this id"
        excluded = gateway.exclusions.sources
        if len(excluded) >= EXCLUDED_MOST and server not in excluded:
            return "too many hosts are out"
        self._exclude(server, True)
        self.tell("exclusion", state_transfer.endpoint_id_to_text(server), True)
        return None

    def uncordon(self, server: EndpointId) -> str | None:
        """Use a host again; why not where there is none of this id."""
        if not self._known(server):
            return "no host has this id"
        self._exclude(server, False)
        self.tell("exclusion", state_transfer.endpoint_id_to_text(server), False)
        return None

    def _exclude(self, server: EndpointId, excluded: bool) -> None:
        self.driver.exclusion_changed(ExclusionChanged(server, SOURCE, excluded))

    def told(self, message: list) -> None:
        """What operators asked of the other process of an upgrade holds here too."""
        if message[0] == "exclusion":
            self._exclude(state_transfer.endpoint_id_from_text(message[1]), bool(message[2]))
        elif message[0] == "quiesced":
            (self.clients.shutdown.quiesce if message[1] else self.clients.shutdown.resume)()
        else:
            raise ValueError(f"unknown message {message[0]!r}")

    def _known(self, server: EndpointId) -> bool:
        gateway = self.driver.gateway
        sources = gateway.exclusions.sources.get(server, ())
        return server in gateway.endpoints.by_id or SOURCE in sources

    def quiesce(self) -> None:
        """Take no more clients."""
        self.clients.shutdown.quiesce()
        self.drains(True)
        self.tell("quiesced", True)

    def resume(self) -> None:
        """Take clients again."""
        self.clients.shutdown.resume()
        self.drains(False)
        self.tell("quiesced", False)

    def drains(self, on: bool) -> None:
        """Tell what is plugged in."""
        for tell in self.on_drain:
            tell(on)
