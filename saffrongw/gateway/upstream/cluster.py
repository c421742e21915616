"""The connection pools of all listed endpoints, and the dispatch of attempts to them."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ...policy.events import AttemptOutcome, EndpointId, EndpointState
from ..bounded_reads import make_read_buffer
from ..config import DiscoveredEndpoint, EndpointList
from ..driver import Driver
from ..request_types import UpstreamAttempt
from .codec import ReplyDecoder
from .connection import UpstreamConnection
from .pool import ConnectionPool

# Idle connections are closed after this share of the endpoints' idle limit, so early that no
# request is sent on a connection that its endpoint is closing.
IDLE_TIMEOUT_SHARE = 0.6

# Checks for idle connections during that time.
IDLE_CHECKS = 10

# Aborted connections that still hold their descriptors until the event loop closes them; beyond
# this no new connection is opened.
MAX_CLOSING = 24

# Gives an endpoint's id and start time, and the descriptor of an idle connection to it, to the
# successor process; returns whether that was possible.
GiveToSuccessor = Callable[[EndpointId, int, int], bool]


class UpstreamCluster:
    """The pools of all endpoints, within the number of descriptors reserved for them."""

    def __init__(
        self,
        driver: Driver,
        report_fields: tuple[str, ...],
        max_connections: int,
        endpoint_idle_limit_s: float,
        connect_timeout_s: float,
    ) -> None:
        """Start without endpoints."""
        self.driver = driver
        self.loop = driver.loop
        self.decode_reply = ReplyDecoder(report_fields).decode
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = IDLE_TIMEOUT_SHARE * endpoint_idle_limit_s
        # Counts the connections that are open or being opened.
        self.open_connections = 0
        self.read_buffer = make_read_buffer()
        self.closing: set[UpstreamConnection] = set()
        self.pools: dict[EndpointId, ConnectionPool] = {}
        # Set while connections are handed over.
        self.give_to_successor: GiveToSuccessor | None = None
        self._close_idle()

    # -- hot restart ------------------------------------------------------------------------------

    def hand_over(self, give_to_successor: GiveToSuccessor) -> None:
        """Give connections to the successor as they become idle."""
        self.give_to_successor = give_to_successor
        for pool in self.pools.values():
            pool.hand_over()

    def adopt(self, endpoint_id: EndpointId, started_at_us: int, sock: socket.socket) -> None:
        """Use the predecessor's connection if its endpoint is in service and has not restarted."""
        pool = self.pools.get(endpoint_id)
        if (
            pool is None
            or pool.is_draining
            or pool.started_at_us != started_at_us
            or self.give_to_successor
            or not self.ensure_capacity()
        ):
            sock.close()
        else:
            pool.adopt(sock)

    # -- endpoints --------------------------------------------------------------------------------

    def update_endpoints(self, endpoints: EndpointList) -> list[UpstreamAttempt]:
        """Apply a new endpoint list; return the attempts that can't be started any more.

        They waited for a connection to an endpoint that was removed or drains now.
        """
        stranded: list[UpstreamAttempt] = []
        if endpoints.is_complete:
            listed = {endpoint.entry.endpoint_id for endpoint in endpoints.endpoints}
            for endpoint_id in [each for each in self.pools if each not in listed]:
                stranded += self.pools.pop(endpoint_id).remove()
        for endpoint in endpoints.endpoints:
            stranded += self._update_endpoint(endpoint)
        return stranded

    def _update_endpoint(self, endpoint: DiscoveredEndpoint) -> list[UpstreamAttempt]:
        stranded: list[UpstreamAttempt] = []
        entry, pool = endpoint.entry, self.pools.get(endpoint.entry.endpoint_id)
        is_removed = entry.state is EndpointState.REMOVED
        if pool and (
            is_removed
            or pool.address != endpoint.address
            or entry.started_at_us > pool.started_at_us
        ):
            stranded += self.pools.pop(entry.endpoint_id).remove()
            pool = None
        if is_removed:
            return stranded
        if pool is None:
            pool = ConnectionPool(self, entry.endpoint_id, endpoint.address, entry.started_at_us)
            self.pools[entry.endpoint_id] = pool
        if entry.state is EndpointState.DRAINING:
            stranded += pool.drain()
        else:
            pool.is_draining = False
        return stranded

    def close_idle_connections(self, endpoint_id: EndpointId) -> list[UpstreamAttempt]:
        """Close an excluded endpoint's idle connections; return the attempts that waited."""
        pool = self.pools.get(endpoint_id)
        return pool.close_and_withdraw() if pool else []

    # -- attempts ---------------------------------------------------------------------------------

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""
        if pool := self.pools.get(attempt.endpoint_id):
            pool.send(attempt)
        else:
            self.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def cancel(self, attempt: UpstreamAttempt) -> None:
        """Cancel an attempt; the endpoint learns of it when its connection closes."""
        if isinstance(attempt.carrier, UpstreamConnection):
            attempt.carrier.update_fully_sent()
            attempt.carrier.abort()
        else:
            self.withdraw(attempt)

    def withdraw(self, attempt: UpstreamAttempt) -> bool:
        """Withdraw an attempt if it still waits for a connection; return whether it did."""
        pool = attempt.carrier
        if not isinstance(pool, ConnectionPool) or attempt not in pool.waiting:
            return False
        pool.waiting.remove(attempt)
        return True

    # -- connections ------------------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """What the connections with an attempt in flight hold of requests and replies."""
        attempts = (each for request in self.driver.requests.values() for each in request.attempts)
        carriers = (each.carrier for each in attempts if not each.is_ended)
        return sum(each.held_bytes for each in carriers if isinstance(each, UpstreamConnection))

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; at the limit, the longest idle is closed."""
        if self.open_connections >= self.max_connections:
            longest_idle = min(
                (pool for pool in self.pools.values() if pool.idle),
                key=lambda pool: pool.idle[0].idle_since_s,
                default=None,
            )
            if longest_idle:
                longest_idle.idle[0].abort()
        has_capacity = self.open_connections < self.max_connections
        return has_capacity and len(self.closing) < MAX_CLOSING

    def _close_idle(self) -> None:
        """Close idle connections before their endpoints do, and schedule the next check."""
        for pool in self.pools.values():
            pool.close_idle(self.loop.time() - self.idle_timeout_s)
        self.loop.call_later(self.idle_timeout_s / IDLE_CHECKS, self._close_idle)
