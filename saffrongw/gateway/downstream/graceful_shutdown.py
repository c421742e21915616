"""Ends the service of clients by draining or by a hand-over to a successor process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .listener import ClientConnections

# How long a client stuck within a command may hold up the end.
UNFINISHED_COMMAND_GRACE_S = 1.0

# By the platform's protocol, a process that was told to end may serve what arrives within the first
# time. It is killed no sooner than the longest deadline of a request after that, or than the second
# time where that is shorter.
SERVE_AFTER_SIGTERM_S = 0.7
MAX_KILL_DELAY_S = 3.0

# The part of these times that is not used.
END_MARGIN_S = 0.15

POLL_INTERVAL_S = 0.01

# Gives a connection's descriptor, and what was read of its next command, to the successor; whether
# that was possible.
GiveToSuccessor = Callable[[int, bytes], bool]


class GracefulShutdown:
    """Whether client connections are draining, handed over, or about to end with the process."""

    def __init__(self, clients: ClientConnections) -> None:
        """Start in service: neither draining nor handing over."""
        self.clients = clients
        self.loop = clients.loop
        # ``PING`` is answered with an error, and each connection closes once it is idle.
        self.is_draining = False
        # Set while connections are handed over.
        self.give_to_successor: GiveToSuccessor | None = None
        # Requests are rejected as they arrive: they could not be finished any more.
        self.rejects_requests = False
        self.started_at_s: float | None = None

    def quiesce(self) -> None:
        """Start draining: connections close as they fall idle, and what arrives is still served."""
        self.is_draining = True
        self._settle_all()

    def resume(self) -> None:
        """Stop draining."""
        self.is_draining = False

    async def drain(self, accept_for_s: float) -> None:
        """Drain, accept new connections for a while yet, then finish what is in flight."""
        started_at_s = self.start_countdown()
        self.quiesce()
        await asyncio.sleep(started_at_s + accept_for_s - self.loop.time())
        self.clients.close_listeners()
        await self.finish()

    async def finish(self) -> None:
        """Wait until all requests have their replies and all connections are open or closed."""
        end_s = self.loop.time() + UNFINISHED_COMMAND_GRACE_S
        while self._is_unfinished(end_s):
            self._settle_all()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_unfinished(self, end_s: float) -> bool:
        clients = self.clients
        return bool(
            clients.driver.requests
            # A streaming reply may still be on its way.
            or any(connection.slots for connection in clients.connections)
            or clients.opening
            or (clients.connections and self.loop.time() < end_s)
        )

    def start_countdown(self) -> float:
        """Start the time that remains until the process is killed, and return its start.

        It runs whoever serves the clients meanwhile. A second call changes nothing.
        """
        if self.started_at_s is None:
            self.started_at_s = self.loop.time()
            serve_until_s = self.started_at_s + SERVE_AFTER_SIGTERM_S
            classes = self.clients.config.settings.classes
            longest_deadline_s = max(each.deadline_us for each in classes) / 1e6
            killed_at_s = serve_until_s + min(MAX_KILL_DELAY_S, longest_deadline_s)
            self.loop.call_at(serve_until_s - END_MARGIN_S, self._reject_requests)
            self.loop.call_at(killed_at_s - END_MARGIN_S, self.clients.driver.fail_all_requests)
        return self.started_at_s

    def _reject_requests(self) -> None:
        """Reject what arrives on connections that never fall idle.

        The process would be killed before its reply.
        """
        self.rejects_requests = True

    # -- hand-over --------------------------------------------------------------------------------

    def hand_over(self, give_to_successor: GiveToSuccessor) -> None:
        """Give connections to the successor as they fall idle.

        Nothing more is started, and what is queued is rejected. The successor accepts from the same
        kernel queue. The listener is kept open, unused: if the successor is lost, the clients in
        that queue must not be reset.
        """
        self.give_to_successor = give_to_successor
        self.clients.stop_accepting()
        self.clients.admission_queue.reject_all()
        for connection in list(self.clients.connections):
            connection.update_reading()
            connection.settle()

    def take_back(self) -> None:
        """Serve again: the successor is lost, and what it did not get ends here in order."""
        self.give_to_successor = None
        self.clients.resume_accepting()
        for connection in list(self.clients.connections):
            connection.process_commands()

    def _settle_all(self) -> None:
        for connection in list(self.clients.connections):
            connection.settle()
