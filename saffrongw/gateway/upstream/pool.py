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

# Rest of a connection between a reply and the next request: what an endpoint wrongly sends after
# the reply, such as a duplicate, arrives in this time.
REUSE_DELAY_S = 0.02


class ConnectionPool:
    """The connections to one endpoint.

    The most recently used one is reused first, so that surplus ones reach the idle timeout.
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
        # The longest idle one comes first.
        self.idle: list[UpstreamConnection] = []
        self.opening: set[asyncio.Task[None]] = set()
        self.waiting: deque[UpstreamAttempt] = deque()
        # The endpoint drains: no attempt is started there.
        self.is_draining = False
        # The endpoint was removed, has restarted, or has another address.
        self.is_removed = False

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt on an idle connection, or open a connection for it.

        If an endpoint sent a reply twice, the duplicate could be taken for the reply to the next
        request on its connection. So a connection rests after a reply, and is reused only if its
        socket has nothing unread. (A command with a distinct reply in between would be safer, but
        endpoints close the connection after it.)
        """
        cluster = self.cluster
        if self.is_draining:
            # The endpoint was chosen before it began to drain, and the attempt was delayed since.
            cluster.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        rested_since_s = cluster.loop.time() - REUSE_DELAY_S
        for connection in reversed(self.idle.copy()):
            if connection.idle_since_s <= rested_since_s and self._take_idle(connection):
                connection.start(attempt, cluster.driver.clock())
                return
        if not cluster.ensure_capacity():
            cluster.driver.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        self.waiting.append(attempt)
        attempt.carrier = self
        # Counted here, not in the task: a burst of attempts, sent before any of their tasks runs,
        # would exceed the limit.
        cluster.open_connections += 1
        self._track_opening(cluster.loop.create_task(self._open()))

    def _take_idle(self, connection: UpstreamConnection) -> bool:
        """Take a connection that has rested out of the idle ones; close it if it is unusable."""
        if connection.is_quiet() and not connection.transport.is_closing():
            self.idle.remove(connection)
            return True
        connection.abort()
        return False

    def adopt(self, sock: socket.socket) -> None:
        """Use a connection of the predecessor process; the caller has ensured capacity."""
        self.cluster.open_connections += 1
        self._track_opening(self.cluster.loop.create_task(self._adopt(sock)))

    def _track_opening(self, task: asyncio.Task[None]) -> None:
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        """Open a connection; if that fails, the longest waiting attempt ends as never run."""
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
        """Open a connection on an established socket.

        ``create_connection`` makes the transport own the socket only after ``connection_made``; of
        a connection that is closed there, the descriptor would be closed a second time.
        """
        try:
            await self.cluster.loop.connect_accepted_socket(
                lambda: UpstreamConnection(self, is_adopted=True), sock
            )
        except OSError:
            self.cluster.open_connections -= 1
            sock.close()

    def _timed_out(self, connection: UpstreamConnection, task: asyncio.Task[None] | None) -> None:
        """Cancel a connection that did not open in time, unless it opened in this very turn.

        Cancelled then, it would be closed by the loop without a callback: its attempt would never
        end, and it would count as open, and as closing, for ever.
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
        """Start the longest waiting attempt on a connection that has opened."""
        if self.waiting:
            connection.start(self.waiting.popleft(), self.cluster.driver.clock())
        else:
            self.release(connection)

    def adopted(self, connection: UpstreamConnection) -> None:
        """Rest a connection of the predecessor, which may have released it after a reply just now.

        An attempt that waits is started on it only then, like any other after a reply.
        """
        self.release(connection)
        self.cluster.loop.call_later(REUSE_DELAY_S, self._start_waiting, connection)

    def _start_waiting(self, connection: UpstreamConnection) -> None:
        """Start the longest waiting attempt on a connection that has rested and is still idle."""
        if self.waiting and connection in self.idle and self._take_idle(connection):
            connection.start(self.waiting.popleft(), self.cluster.driver.clock())

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose attempt has ended for reuse, or hand it over, or close it."""
        if (
            not connection.is_reusable
            or self.is_draining
            or self.is_removed
            or (self.cluster.give_to_successor and self._hand_over(connection))
        ):
            connection.abort()
        else:
            connection.idle_since_s = self.cluster.loop.time()
            self.idle.append(connection)

    def discard_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closing from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)

    def _hand_over(self, connection: UpstreamConnection) -> bool:
        """Give an idle connection without unread data to the successor, if that is possible."""
        give = self.cluster.give_to_successor
        if give is None or connection.transport.is_closing() or not connection.is_quiet():
            return False
        descriptor = connection.transport.get_extra_info("socket").fileno()
        return give(self.endpoint_id, self.started_at_us, descriptor)

    def hand_over(self) -> None:
        """Give all idle connections to the successor."""
        for connection in list(self.idle):
            self._hand_over(connection)
            connection.abort()

    def close_idle(self, idle_since_s: float) -> None:
        """Close the connections that became idle at this time or earlier."""
        while self.idle and self.idle[0].idle_since_s <= idle_since_s:
            self.idle[0].abort()

    def remove(self) -> list[UpstreamAttempt]:
        """Start no more attempts, and return those that wait; those in flight may finish.

        Another endpoint may get the address, or a restarted one the id: attempts that were meant
        for the old incarnation must not reach the new one.
        """
        self.is_removed = True
        return self.close_and_withdraw()

    def drain(self) -> list[UpstreamAttempt]:
        """Start no attempts until the endpoint is ready again; return those that wait.

        Their connections may open long after the endpoint list arrived, and the drain grace limits
        when the first byte of a request may be sent.
        """
        self.is_draining = True
        return self.close_and_withdraw()

    def close_and_withdraw(self) -> list[UpstreamAttempt]:
        """Close the idle connections, and return the attempts that waited for one."""
        self.close_idle(float("inf"))
        withdrawn = list(self.waiting)
        self.waiting.clear()
        return withdrawn
