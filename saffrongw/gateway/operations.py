"""What operators ask of a running gateway, carried out on its parts."""

from __future__ import annotations

from orchidlane import interface as api

from .clients import Clients
from .config import Config
from .driver import Driver
from .figures import text

SOURCE = "operator"
EXCLUDED_MOST = 4_096  # hosts taken out at once: each is remembered, listed or not


class Operations:
    """The gateway as its operators see it (``operators.Operated``)."""

    def __init__(self, driver: Driver, clients: Clients, config: Config) -> None:
        self.driver, self.clients, self.config = driver, clients, config
        self.serving = False

    def able(self) -> bool:
        """Whether this process can serve."""
        return self.serving

    def stats(self) -> bytes:
        """The figures as of now."""
        driver, gateway = self.driver, self.driver.gateway
        lines = driver.figures.lines(
            self.config.class_names,
            self.clients.inflight,
            len(gateway.hosts),
            gateway.avoided(driver.clock()),
        )
        return text(lines)

    def cordon(self, server: api.Server) -> str | None:
        """Nothing more to a host, until it is called back; why not where there is none of this id."""
        gateway = self.driver.gateway
        if not self._known(server):
            return "no host has this id"
        if len(gateway.excluded) >= EXCLUDED_MOST and server not in gateway.excluded:
            return "too many hosts are out"
        self.driver.feed(api.ExclusionChanged(server, SOURCE, True))
        self.driver.hosts.rest_at(server)
        return None

    def uncordon(self, server: api.Server) -> str | None:
        """Use a host again; why not where there is none of this id."""
        if not self._known(server):
            return "no host has this id"
        self.driver.feed(api.ExclusionChanged(server, SOURCE, False))
        return None

    def _known(self, server: api.Server) -> bool:
        gateway = self.driver.gateway
        return server in gateway.hosts or SOURCE in gateway.excluded.get(server, ())

    def quiesce(self) -> None:
        """Take no more clients."""
        self.clients.quiesce()

    def resume(self) -> None:
        """Take clients again."""
        self.clients.resume()
