"""Shuts client connections down, by draining or by a hand-over to a successor process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .listener import ClientConnections

# How long a connection without a request, such as one with a partial command, may delay the end.
UNFINISHED_COMMAND_GRACE_S = 1.0

# By the platform's protocol, requests that arrive within SERVE_AFTER_SIGTERM_S may still be served.
# The process is killed no earlier than the longest request deadline after that, or
# MAX_KILL_DELAY_S after it if that is shorter.
SERVE_AFTER_SIGTERM_S = 0.7
MAX_KILL_DELAY_S = 3.0

# Safety margin before the end of each of these two times.
END_MARGIN_S = 0.15

POLL_INTERVAL_S = 0.01

# Gives a connection's descriptor, the bytes read of its next commands, and for how long (us) these
# have waited, to the successor; returns whether that was possible.
GiveToSuccessor = Callable[[int, bytes, int], bool]


class GracefulShutdown:
    """Drains client connections or hands them over, in the time before the process is killed."""

    def __init__(self, clients: ClientConnections) -> None:
        """Start in service: neither draining nor handing over."""
        self.clients = clients
        self.loop = clients.loop
        # ``PING`` is answered with an error, and each connection closes once it is idle.
        self.is_draining = False
        # Set while connections are handed over.
        self.give_to_successor: GiveToSuccessor | None = None
        # New requests are rejected: the process would be killed before they are finished.
        self.rejects_requests = False
        self.started_at_s: float | None = None
        # Replies that are not written by then are given up.
        self.ends_at_s = float("inf")

    @property
    def is_handing_over(self) -> bool:
        """Whether connections are given to a successor, which serves from now on."""
        return self.give_to_successor is not None

    def quiesce(self) -> None:
        """Start draining: connections close once idle; requests that arrive are still served."""
        self.is_draining = True
        self.settle_all()

    def resume(self) -> None:
        """Stop draining, unless the process is about to end."""
        self.is_draining = self.is_draining and self.started_at_s is not None

    async def drain(self, accept_for_s: float) -> None:
        """Drain: accept connections for ``accept_for_s`` more, then finish requests in flight."""
        started_at_s = self.start_countdown()
        self.quiesce()
        await asyncio.sleep(started_at_s + accept_for_s - self.loop.time())
        self.clients.close_listeners()
        await self.finish()

    async def finish(self) -> None:
        """Wait until all replies are written and no connection is opening.

        Connections without a request are waited for no longer than ``UNFINISHED_COMMAND_GRACE_S``.
        Clients that read their replies slowly, and connections that the successor has no room for
        yet, are waited for until the process may be killed.
        """
        end_s = self.loop.time() + UNFINISHED_COMMAND_GRACE_S
        while self._is_unfinished(end_s):
            self.settle_all()
            await asyncio.sleep(POLL_INTERVAL_S)
        # Connections whose last reply was written since.
        self.settle_all()

    def _is_unfinished(self, end_s: float) -> bool:
        clients, now_s = self.clients, self.loop.time()
        return bool(
            clients.driver.requests
            # A streaming reply may still be written after its request has ended.
            or any(connection.slots for connection in clients.connections)
            or clients.opening
            or (clients.connections and now_s < end_s)
            or (now_s < self.ends_at_s and any(each.is_unfinished for each in clients.connections))
        )

    def start_countdown(self) -> float:
        """Start the timers that run until the process is killed; return when they started.

        They run whether this process drains or hands over. A second call changes nothing.
        """
        if self.started_at_s is None:
            self.started_at_s = self.loop.time()
            serve_until_s = self.started_at_s + SERVE_AFTER_SIGTERM_S
            classes = self.clients.config.settings.classes
            longest_deadline_s = max(each.deadline_us for each in classes) / 1e6
            killed_at_s = serve_until_s + min(MAX_KILL_DELAY_S, longest_deadline_s)
            self.ends_at_s = killed_at_s - END_MARGIN_S
            self.loop.call_at(serve_until_s - END_MARGIN_S, self._reject_requests)
            self.loop.call_at(self.ends_at_s, self.clients.driver.fail_all_requests)
        return self.started_at_s

    def _reject_requests(self) -> None:
        """Reject the requests that arrive on connections that never become idle.

        The process would be killed before it could answer them.
        """
        self.rejects_requests = True

    # -- hand-over --------------------------------------------------------------------------------

    def hand_over(self, give_to_successor: GiveToSuccessor) -> None:
        """Give connections to the successor as they become idle.

        No more requests are started, and queued ones are rejected. The successor accepts from the
        same kernel queue. The listening socket stays open here, unused: without it, the kernel
        would reset the clients in that queue if the successor is lost.
        """
        self.give_to_successor = give_to_successor
        self.clients.stop_accepting()
        self.clients.admission_queue.reject_all()
        for connection in list(self.clients.connections):
            connection.update_reading()
            connection.settle()

    def take_back(self) -> None:
        """Serve the remaining connections again, as the successor is lost."""
        self.give_to_successor = None
        self.clients.resume_accepting()
        for connection in list(self.clients.connections):
            connection.process_commands()

    def settle_all(self) -> None:
        """Hand over or close each connection for which that is due."""
        for connection in list(self.clients.connections):
            connection.settle()
