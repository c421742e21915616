"""What subsystems plug in: stages that a request passes before it is decided on, observers that are told.

The rules for both stand in ``docs/notes/stages.md``. This module holds the interfaces and the checks of what a
stage returns, and does no I/O; ``extended.py`` carries them out.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from ..policy.actions import Action
from ..policy.events import AttemptOutcome, Event
from .downstream.connection import Listener
from .driver import ClientRequest, Driver, RequestTerms, UpstreamAttempt

MS = 1_000  # microseconds
MAY_CHANGE = frozenset(
    {"plan", "wait"}
)  # of a request's terms: a plan by its number, a shorter wait


@dataclass(frozen=True, slots=True)
class Continue:
    """The request goes on, perhaps with other terms: ``plan`` (its number) or ``wait`` (us, shorter only)."""

    changes: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer ``-BUSY``: nothing was sent, so trying again is harmless; retry_after in us, 0 says nothing."""

    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Abort:
    """Final answer: failed."""


Verdict = Continue | Reject | Abort
MetricLines = Callable[[], list[tuple[str, int]]]  # names and values that operators fetch
AdminCommand = tuple[bytes, Callable[[bytes], tuple[int, bytes]]]  # method; body to status and text


class Ending(Enum):
    """How a request that a stage has seen came to its end."""

    ANSWERED = "answered"  # by a host's value, a refusal or a failure, whoever worded it
    CLIENT_GONE = "client gone"


class FilterError(Exception):
    """What a stage returned is no verdict, or changes what it must not."""


class RequestFilter(Protocol):
    """Sees each request before the decision module does.

    ``fallback`` is the verdict where the stage raises, returns what is no verdict, or takes longer than its share
    of the request's time. ``on_request`` answers at once or gives an awaitable, which is cancelled when the
    request ends meanwhile. ``on_end`` is called exactly once for every request that the stage saw.
    """

    name: str
    fallback: Verdict

    def on_request(self, request: FilteredRequest) -> Verdict | Awaitable[Verdict]:
        """What becomes of this request."""

    def on_end(self, request: FilteredRequest, ending: Ending) -> None:
        """The request has its final answer, or its client has gone."""


class Observer:
    """Is told what happens and can't change it. Each method must return at once; a fault in one is counted."""

    name = "observer"

    def event_in(self, now: int, event: Event) -> None:
        """The decision module is about to be told this; now in us of the gateway's clock."""

    def actions_out(self, now: int, event: Event, actions: tuple[Action, ...]) -> None:
        """What it answered, before any of it is carried out."""

    def attempt_began(self, attempt: UpstreamAttempt) -> None:
        """An attempt is about to be sent."""

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """An attempt has its outcome."""

    def answered(self, call: ClientRequest, reply: bytes) -> None:
        """The final answer is about to be written."""


@dataclass(frozen=True, slots=True)
class FilteredRequest:
    """What a stage may know of a request: its terms, the client's own id, its size; until in us of the clock."""

    number: int  # the gateway's own, new with each request
    client_id: bytes
    terms: RequestTerms
    body_bytes: int
    until: int


class Service(Protocol):
    """A part with a life of its own: started before clients are served, stopped after the last of them."""

    async def start(self, driver: Driver) -> None:
        """Begin; what can't begin raises ``OSError`` or ``ValueError`` with a plain cause."""

    async def stop(self) -> None:
        """End, within a second or two."""


class LeaderGuard(Protocol):
    """What only one gateway of the fleet may do at a time; asked from any thread."""

    def number(self) -> int:
        """The fencing number under which it is ours now; 0: it is not."""

    def valid(self, number: int) -> bool:
        """Whether it still is, under this number: asked just before each effect."""

    def above(self, number: int) -> None:
        """A receiver has seen this number: ours has to be higher."""


@dataclass(frozen=True, slots=True)
class Extensions:
    """All that is plugged in; time_share is the part of a request's time that all stages together may take."""

    stages: tuple[RequestFilter, ...] = ()
    observers: tuple[Observer, ...] = ()
    services: tuple[Service, ...] = ()
    time_share: float = 0.4
    again: Callable[[], None] | None = (
        None  # on SIGHUP: read the operator file anew; it raises nothing
    )
    fronts: tuple[Listener, ...] = ()
    figures: tuple[MetricLines, ...] = ()
    calls: Mapping[bytes, AdminCommand] = field(
        default_factory=dict
    )  # by path, at the operators' address
    on_drain: tuple[
        Callable[[bool], None], ...
    ] = ()  # told when draining begins, and when it is taken back

    def __bool__(self) -> bool:
        return bool(self.stages or self.observers or self.services or self.fronts)


def apply(verdict: Any, terms: RequestTerms, plans: int) -> RequestTerms | Reject | Abort:
    """The terms that a verdict leaves, or the answer that it asks for; ``StageError`` where it is none of these."""
    if isinstance(verdict, Reject):
        after = verdict.retry_after
        if isinstance(after, bool) or not isinstance(after, int) or after < 0:
            raise FilterError(f"retry_after is no time in microseconds: {after!r}")
        return verdict
    if isinstance(verdict, Abort):
        return verdict
    if not isinstance(verdict, Continue):
        raise FilterError(f"not a verdict: {type(verdict).__name__}")
    if not verdict.changes:
        return terms
    changes = dict(verdict.changes)
    if beyond := sorted(changes.keys() - MAY_CHANGE):
        raise FilterError(f"a stage may not change {', '.join(map(str, beyond))}")
    for name, value in changes.items():
        if isinstance(value, bool) or not isinstance(value, int):
            raise FilterError(f"{name} is no number: {value!r}")
    if not 0 <= changes.get("plan", terms.plan) < plans:
        raise FilterError(f"no plan has the number {changes['plan']}")
    if not MS <= changes.get("wait", terms.wait) <= max(terms.wait, MS):
        raise FilterError("wait can only become shorter, down to 1 ms")
    return terms._replace(**changes)
