"""The interfaces by which subsystems extend the gateway.

These are request filters, observers, services, listeners and commands. The rules for filters and
observers are in ``docs/notes/request_filters.md``; ``filter_chain.py`` and ``observers.py`` call
them. This module also validates filters' verdicts; it does no I/O.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..policy.actions import Action
from ..policy.events import AttemptOutcome, Event
from .downstream.listener import Listener
from .driver import Driver
from .request_types import US_PER_MS, ClientRequest, RequestTerms, UpstreamAttempt

# The terms of a request that a filter may change: the plan, by its index, and the timeout, which it
# may only shorten.
CHANGEABLE_TERMS = frozenset({"plan", "timeout_us"})


@dataclass(frozen=True, slots=True)
class Continue:
    """Verdict: the request continues, with ``changes`` to its terms, if any.

    Allowed keys are ``plan`` (an index) and ``timeout_us`` (shorter only).
    """

    changes: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reject:
    """Verdict: final reply ``-BUSY``; no attempt was sent, so the client can safely retry.

    With ``retry_after_us`` 0 the reply has no retry-after time.
    """

    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Abort:
    """Verdict: final reply ``-ERR failed``."""


Verdict = Continue | Reject | Abort

# Names and values for /admin/stats.
MetricLines = Callable[[], list[tuple[str, int]]]

# An operator's HTTP command: its method, and a function from the body to status and text.
AdminCommand = tuple[bytes, Callable[[bytes], tuple[int, bytes]]]


class Ending(Enum):
    """How a request that a filter saw ended."""

    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "client gone"


class FilterError(Exception):
    """A filter returned a malformed verdict, or one with a change that is not allowed."""


class RequestFilter(Protocol):
    """Decides on each request before the policy.

    ``fallback`` is the verdict used if the filter raises, returns a malformed verdict, or exceeds
    its share of the request's time. ``on_request`` returns a verdict or an awaitable of one, which
    is cancelled if the request ends first. ``on_end`` is called exactly once for every request that
    the filter saw.
    """

    name: str
    fallback: Verdict

    def on_request(self, request: FilteredRequest) -> Verdict | Awaitable[Verdict]:
        """Return the verdict on a request, or an awaitable of it."""

    def on_end(self, request: FilteredRequest, ending: Ending) -> None:
        """Note that a request has its final reply, or that its client has disconnected."""


class Observer:
    """Receives notifications of events; it can't influence requests.

    Its methods must not block. An exception in them is counted and has no other effect.
    """

    name = "observer"

    def event_received(self, now_us: int, event: Event) -> None:
        """Note that the policy is about to handle an event."""

    def actions_decided(self, now_us: int, event: Event, actions: tuple[Action, ...]) -> None:
        """Note the policy's actions for an event, none of which has been executed yet."""

    def attempt_started(self, attempt: UpstreamAttempt) -> None:
        """Note that an attempt is about to be sent."""

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Note the outcome of an attempt."""

    def answered(self, request: ClientRequest, reply: bytes) -> None:
        """Note that the final reply is about to be sent; of a streaming reply, only its header."""


@dataclass(frozen=True, slots=True)
class FilteredRequest:
    """A request as filters see it.

    ``number`` is the gateway's id of the request, ``client_id`` the client's id of it.
    """

    number: int
    client_id: bytes
    terms: RequestTerms
    body_bytes: int
    deadline_us: int


class Service(Protocol):
    """A background service of the gateway.

    It is started before clients are served, and stopped when no client is served any more.
    """

    async def start(self, driver: Driver) -> None:
        """Start the service; raise ``OSError`` or ``ValueError`` if that is not possible."""

    async def stop(self) -> None:
        """Stop, within a second or two."""


class LeaderGuard(Protocol):
    """Guards work that only one gateway of the fleet may do at a time.

    Its methods may be called from any thread.
    """

    def fencing_token(self) -> int:
        """Return the fencing token under which this gateway leads; 0 if it does not lead."""

    def is_valid(self, number: int) -> bool:
        """Whether this gateway still leads under this fencing token.

        To be checked just before each write or other side effect.
        """

    def raise_above(self, number: int) -> None:
        """Raise this gateway's fencing token above one that a receiver has seen."""


@dataclass(frozen=True, slots=True)
class Extensions:
    """All extensions of a gateway.

    ``time_share`` is the fraction of a request's time left that all filters together may take.
    ``reload`` reads the operator file again on SIGHUP and never raises. The keys of
    ``admin_commands`` are HTTP paths. ``on_drain`` callbacks get True when draining starts and
    False when it is cancelled.
    """

    filters: tuple[RequestFilter, ...] = ()
    observers: tuple[Observer, ...] = ()
    services: tuple[Service, ...] = ()
    time_share: float = 0.4
    reload: Callable[[], None] | None = None
    listeners: tuple[Listener, ...] = ()
    metrics: tuple[MetricLines, ...] = ()
    admin_commands: Mapping[bytes, AdminCommand] = field(default_factory=dict)
    on_drain: tuple[Callable[[bool], None], ...] = ()

    def __bool__(self) -> bool:
        """Whether there is an extension that needs more than the plain driver."""
        return bool(self.filters or self.observers or self.services or self.listeners)


def apply_verdict(
    verdict: object, terms: RequestTerms, plan_count: int
) -> RequestTerms | Reject | Abort:
    """Return the terms after a verdict's changes, or the verdict itself if it ends the request.

    Raises ``FilterError`` if it is not a verdict, or has a change that is not allowed.
    """
    if isinstance(verdict, Reject):
        if not _is_integer(verdict.retry_after_us) or verdict.retry_after_us < 0:
            raise FilterError(f"retry_after_us is not a valid time: {verdict.retry_after_us!r}")
        return verdict
    if isinstance(verdict, Abort):
        return verdict
    if not isinstance(verdict, Continue):
        raise FilterError(f"not a verdict: {type(verdict).__name__}")
    if not verdict.changes:
        return terms
    changes = dict(verdict.changes)
    _check_changes(changes, terms, plan_count)
    return terms._replace(
        plan=changes.get("plan", terms.plan),
        timeout_us=changes.get("timeout_us", terms.timeout_us),
    )


def _check_changes(changes: dict[str, int], terms: RequestTerms, plan_count: int) -> None:
    if forbidden := sorted(changes.keys() - CHANGEABLE_TERMS):
        raise FilterError(f"a filter may not change {', '.join(map(str, forbidden))}")
    for name, value in changes.items():
        if not _is_integer(value):
            raise FilterError(f"{name} is not an integer: {value!r}")
    if not 0 <= changes.get("plan", terms.plan) < plan_count:
        raise FilterError(f"no plan has the index {changes['plan']}")
    longest_us = max(terms.timeout_us, US_PER_MS)
    if not US_PER_MS <= changes.get("timeout_us", terms.timeout_us) <= longest_us:
        raise FilterError("timeout_us can only be shortened, to 1 ms at least")


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
