"""The connections to one endpoint, and the attempts that wait for one."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING

from ...policy.events import AttemptOutcome, EndpointId
from ..config import Address
from ..request_types import UpstreamAttempt
from .connection import UpstreamConnection

if TYPE_CHECKING:
    from .cluster import UpstreamCluster

# Before a connection is used again: what an endpoint sends behind its reply by mistake arrives in
# this time.
REUSE_DELAY_S = 0.02


class ConnectionPool:
    """The connections to one endpoint.

    The one used last is used first, so that surplus ones grow idle.
    """

    def __init__(
        self,
        cluster: UpstreamCluster,
        endpoint_id: EndpointId,
        address: Address,
        started_at_us: int,
    ) -> None:
        """Start without connections to this incarnation of an endpoint."""
        self.cluster = cluster
        self.endpoint_id = endpoint_id
        self.address = address
        self.started_at_us = started_at_us
        # The one idle longest comes first.
        self.idle: list[UpstreamConnection] = []
        self.opening: set[asyncio.Task[None]] = set()
        self.waiting: deque[UpstreamAttempt] = deque()
        # The endpoint drains: nothing is started there any more.
        self.is_draining = False
        # The endpoint is gone, or has restarted.
        self.is_removed = False

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt on an idle connection, or open one for it.

        If an endpoint sent a reply twice, the second one could arrive when its connection carries
        the next request, and nothing would tell it apart. So a connection rests after a reply, and
        must be quiet when it is used. (A command with a reply of its own in between would be safer,
        but endpoints close after it.)
        """
        cluster = self.cluster
        if self.is_draining:
            # It was decided before the endpoint list came, and something delayed it since.
            cluster.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        rested_since_s = cluster.loop.time() - REUSE_DELAY_S
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since_s > rested_since_s:
                continue
            if connection.is_quiet() and not connection.transport.is_closing():
                del self.idle[index]
                connection.start(attempt, cluster.driver.clock())
                return
            connection.abort()
        if not cluster.ensure_capacity():
            cluster.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        self.waiting.append(attempt)
        attempt.carrier = self
        # Counted here, not in the task: a burst of attempts comes before any of the tasks runs.
        cluster.open_connections += 1
        self._own(cluster.loop.create_task(self._open()))

    def adopt(self, sock: socket.socket) -> None:
        """Use a connection that another process has opened; the caller has ensured capacity."""
        self.cluster.open_connections += 1
        self._own(self.cluster.loop.create_task(self._adopt(sock)))

    def _own(self, task: asyncio.Task[None]) -> None:
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        """Open a connection; if it does not come up, the attempt that waits longest never ran."""
        connection, loop = UpstreamConnection(self), self.cluster.loop
        task = asyncio.current_task()
        timer = loop.call_later(self.cluster.connect_timeout_s, self._timed_out, connection, task)
        try:
            await loop.create_connection(lambda: connection, *self.address)
        except OSError:
            # Refused or unreachable.
            self._connect_failed(connection)
        finally:
            timer.cancel()

    async def _adopt(self, sock: socket.socket) -> None:
        try:
            await self.cluster.loop.create_connection(lambda: UpstreamConnection(self), sock=sock)
        except OSError:
            self.cluster.open_connections -= 1
            sock.close()

    def _timed_out(self, connection: UpstreamConnection, task: asyncio.Task[None] | None) -> None:
        """Cancel a connection that did not come up in time, unless it has in this very turn.

        Cancelled then, the loop would close it without a word: its attempt would never end, and its
        descriptor and its entry among those that are closing would be counted for ever.
        """
        if not connection.is_connected:
            self._connect_failed(connection)
            if task:
                task.cancel()

    def _connect_failed(self, connection: UpstreamConnection) -> None:
        if not connection.is_connected and not connection.is_abandoned:
            connection.is_abandoned = True
            self.cluster.open_connections -= 1
            if self.waiting:
                attempt = self.waiting.popleft()
                self.cluster.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def connected(self, connection: UpstreamConnection) -> None:
        """Start the attempt that waits longest on a connection that has come up."""
        if self.waiting:
            connection.start(self.waiting.popleft(), self.cluster.driver.clock())
        else:
            self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose attempt has ended."""
        if (
            self.is_draining
            or self.is_removed
            or (self.cluster.give_to_successor and self._hand_over(connection))
        ):
            connection.abort()
        else:
            connection.idle_since_s = self.cluster.loop.time()
            self.idle.append(connection)

    def discard_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection that closes from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)

    def _hand_over(self, connection: UpstreamConnection) -> bool:
        """Give an idle connection, all of whose data was read, to the successor."""
        give = self.cluster.give_to_successor
        descriptor = connection.transport.get_extra_info("socket").fileno()
        return give is not None and give(self.endpoint_id, self.started_at_us, descriptor)

    def hand_over(self) -> None:
        """Give all idle connections to the successor."""
        for connection in list(self.idle):
            if not connection.transport.is_closing() and connection.is_quiet():
                self._hand_over(connection)
            connection.abort()

    def close_idle(self, idle_since_s: float) -> None:
        """Close the connections that are idle since this time or longer."""
        while self.idle and self.idle[0].idle_since_s <= idle_since_s:
            self.idle[0].abort()

    def remove(self) -> list[UpstreamAttempt]:
        """Send nothing more here, and return the attempts that wait; those in flight may end.

        Another endpoint may take over the address, or a restarted one the id: what was meant for
        the old incarnation must not reach the new one.
        """
        self.is_removed = True
        return self.close_and_withdraw()

    def drain(self) -> list[UpstreamAttempt]:
        """Start nothing more here until the endpoint is ready again.

        Return the attempts that wait.
        A connection may come up long after the list came, and what counts is the first byte of its
        request.
        """
        self.is_draining = True
        return self.close_and_withdraw()

    def close_and_withdraw(self) -> list[UpstreamAttempt]:
        """Close the idle connections, and return the attempts that waited for one."""
        self.close_idle(float("inf"))
        withdrawn = list(self.waiting)
        self.waiting.clear()
        return withdrawn
