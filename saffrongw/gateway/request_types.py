"""Types shared by driver, filters and upstream: requests, attempts, final replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..policy.events import EndpointId, RequestArrived
from .config import EndpointList
from .reasons import EndedBy
from .streaming_reply import StreamingReply

US_PER_MS = 1_000

FAILED = b"-ERR failed\r\n"
# How a reply that holds a value begins.
SERVED_PREFIX = b"$"
# How a rejection begins.
BUSY_PREFIX = b"-BUSY"

FinalReply = bytes | StreamingReply
SendReply = Callable[[FinalReply], None]


def busy_reply(retry_after_us: int) -> bytes:
    """Encode a rejection, with the retry-after time in whole milliseconds unless it is 0."""
    # Rounded up: a client that retried earlier would be rejected again.
    retry_after_ms = -(-retry_after_us // US_PER_MS)
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else b"-BUSY\r\n"


class RequestTerms(NamedTuple):
    """The terms of a request as its client stated them in the command."""

    customer: int
    kind: int
    plan: int
    timeout_us: int
    units: float
    replica_set_size: int
    replica_set_first: int
    is_retry: bool


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request, from its complete arrival to its one final reply.

    ``parts`` holds command, customer, client's id, the terms before and after the value of ``d``,
    and the body if there is one. ``deadline_us`` is when the final reply is due, by the gateway's
    clock.
    """

    event: RequestArrived
    parts: tuple[bytes, ...]
    deadline_us: int
    send_reply: SendReply
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    is_finished: bool = False
    # An attempt that has ended was sent completely, and its outcome does not say that it never ran.
    has_possibly_run: bool = False
    # Set before the final reply, where that is not an endpoint's value.
    ended_by: EndedBy = EndedBy.ENDPOINT

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint has run this request, may have, or may yet."""
        return self.has_possibly_run or any(not attempt.is_ended for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt to have a request served by an endpoint; it ends exactly once.

    ``carrier`` is set and used by the upstream package only: the connection that carries the
    attempt, or the pool in which it waits for one. Once its last byte is sent (``is_fully_sent``),
    the endpoint may execute it.
    """

    request: ClientRequest
    index: int
    endpoint_id: EndpointId
    sent_at_us: int
    deadline_us: int
    timeout_timer: asyncio.TimerHandle | None = None
    carrier: object = None
    is_fully_sent: bool = False
    is_ended: bool = False


class Upstream(Protocol):
    """The interface through which the driver uses the cluster of endpoints.

    It reports each attempt's outcome with ``Driver.attempt_ended``.
    """

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""

    def cancel(self, attempt: UpstreamAttempt) -> None:
        """Stop waiting for an attempt."""

    def update_endpoints(self, endpoints: EndpointList) -> list[UpstreamAttempt]:
        """Apply a new endpoint list; return the attempts that can't be started any more."""

    def close_idle_connections(self, endpoint_id: EndpointId) -> list[UpstreamAttempt]:
        """Close an excluded endpoint's idle connections.

        Return the attempts that can't be started any more.
        """

    def withdraw(self, attempt: UpstreamAttempt) -> bool:
        """Withdraw an attempt if nothing of it was sent yet; return whether it was withdrawn."""
