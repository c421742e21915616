"""The interfaces by which subsystems extend the gateway.

These are request filters, observers, services, listeners and commands. The rules for filters and
observers are in ``docs/notes/request_filters.md``. This module also checks what a filter returns;
it does no I/O. ``filter_chain.py`` and ``observers.py`` carry both out.
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

# The terms of a request that a filter may change: the plan by its index, and the timeout, which
# only gets shorter.
CHANGEABLE_TERMS = frozenset({"plan", "timeout_us"})


@dataclass(frozen=True, slots=True)
class Continue:
    """Verdict: the request goes on, perhaps with changed terms.

    The changes may name ``plan`` (its index) and ``timeout_us`` (shorter only).
    """

    changes: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reject:
    """Verdict: final reply ``-BUSY``; nothing was sent, so a retry is harmless.

    ``retry_after_us`` 0 leaves the retry-after time out.
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
    """How a request that a filter has seen came to its end."""

    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "client gone"


class FilterError(Exception):
    """A filter returned what is no verdict, or tried to change what it must not."""


class RequestFilter(Protocol):
    """Sees each request before the policy does.

    ``fallback`` is the verdict where the filter raises, returns what is no verdict, or exceeds its
    share of the request's time. ``on_request`` returns a verdict or an awaitable of one, which is
    cancelled when the request ends first. ``on_end`` is called exactly once for every request that
    the filter saw.
    """

    name: str
    fallback: Verdict

    def on_request(self, request: FilteredRequest) -> Verdict | Awaitable[Verdict]:
        """Return the verdict on a request, or an awaitable of it."""

    def on_end(self, request: FilteredRequest, ending: Ending) -> None:
        """Note that a request has its final reply, or that its client has disconnected."""


class Observer:
    """Is notified of what happens and can't change it.

    Its methods must not block, and what they raise is counted.
    """

    name = "observer"

    def event_received(self, now_us: int, event: Event) -> None:
        """The policy is about to handle an event."""

    def actions_decided(self, now_us: int, event: Event, actions: tuple[Action, ...]) -> None:
        """The policy has decided on an event; none of its actions is carried out yet."""

    def attempt_started(self, attempt: UpstreamAttempt) -> None:
        """An attempt is about to be sent."""

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """An attempt has its outcome."""

    def answered(self, request: ClientRequest, reply: bytes) -> None:
        """The final reply is about to be written; of a streaming reply this is the header."""


@dataclass(frozen=True, slots=True)
class FilteredRequest:
    """What a filter may know of a request.

    ``number`` is the gateway's id, ``client_id`` the client's.
    """

    number: int
    client_id: bytes
    terms: RequestTerms
    body_bytes: int
    deadline_us: int


class Service(Protocol):
    """A part that runs beside the requests.

    Started before clients are served, stopped after the last of them.
    """

    async def start(self, driver: Driver) -> None:
        """Start the service; raise ``OSError`` or ``ValueError`` where that is not possible."""

    async def stop(self) -> None:
        """Stop, within a second or two."""


class LeaderGuard(Protocol):
    """Guards what only one gateway of the fleet may do at a time.

    Its methods may be called from any thread.
    """

    def number(self) -> int:
        """Return the fencing token under which this gateway leads; 0 where it does not."""

    def valid(self, number: int) -> bool:
        """Whether this gateway still leads under this fencing token.

        Checked just before each effect.
        """

    def above(self, number: int) -> None:
        """Raise the own fencing token above one that a receiver has seen."""


@dataclass(frozen=True, slots=True)
class Extensions:
    """All that is switched on beside the core.

    ``time_share`` is the part of a request's time that all filters together may take. ``reload``
    reads the operator file anew on SIGHUP and raises nothing. ``admin_commands`` are by HTTP path.
    ``on_drain`` is called with True when draining starts and with False when it is taken back.
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
        """Whether anything is switched on that a driver without extensions can't do."""
        return bool(self.filters or self.observers or self.services or self.listeners)


def apply_verdict(
    verdict: object, terms: RequestTerms, plan_count: int
) -> RequestTerms | Reject | Abort:
    """Return the terms that a verdict leaves, or the verdict that ends the request.

    Raises ``FilterError`` where it is no verdict, or changes what it must not.
    """
    if isinstance(verdict, Reject):
        if not _is_integer(verdict.retry_after_us) or verdict.retry_after_us < 0:
            raise FilterError(f"retry_after_us is no time: {verdict.retry_after_us!r}")
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
            raise FilterError(f"{name} is no integer: {value!r}")
    if not 0 <= changes.get("plan", terms.plan) < plan_count:
        raise FilterError(f"no plan has the index {changes['plan']}")
    longest_us = max(terms.timeout_us, US_PER_MS)
    if not US_PER_MS <= changes.get("timeout_us", terms.timeout_us) <= longest_us:
        raise FilterError("timeout_us can only become shorter, down to 1 ms")


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
