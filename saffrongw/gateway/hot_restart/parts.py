"""The parts of a running gateway that a hot restart reads and changes."""

from __future__ import annotations

from typing import NamedTuple

from ..admin_http.handlers import AdminHandlers
from ..downstream.listener import ClientConnections
from ..driver import Driver
from ..upstream.cluster import UpstreamCluster


class GatewayParts(NamedTuple):
    """One gateway's driver, its connections on both sides, and the operators' handlers."""

    driver: Driver
    cluster: UpstreamCluster
    clients: ClientConnections
    admin: AdminHandlers
