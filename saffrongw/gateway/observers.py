"""Notifies observers, and decorates the driver's upstream for that and other purposes."""

from __future__ import annotations

from collections.abc import Callable

from ..policy.actions import Action
from ..policy.events import AttemptOutcome, EndpointId, Event
from .config import EndpointList
from .extension_faults import ExtensionFaults
from .extensions import Observer
from .request_types import ClientRequest, FinalReply, Upstream, UpstreamAttempt


class ObserverNotifier:
    """Notifies all observers in their order; what one raises is counted and stops nothing."""

    def __init__(self, observers: tuple[Observer, ...], faults: ExtensionFaults) -> None:
        """Notify these observers, and record their faults."""
        self.observers = observers
        self.faults = faults

    def event_received(self, now_us: int, event: Event) -> None:
        """The policy is about to handle an event."""
        self._notify(lambda observer: observer.event_received(now_us, event))

    def actions_decided(self, now_us: int, event: Event, actions: list[Action]) -> None:
        """The policy has decided on an event; none of its actions is carried out yet."""
        decided = tuple(actions)
        self._notify(lambda observer: observer.actions_decided(now_us, event, decided))

    def attempt_started(self, attempt: UpstreamAttempt) -> None:
        """An attempt is about to be sent."""
        self._notify(lambda observer: observer.attempt_started(attempt))

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """An attempt has its outcome."""
        self._notify(lambda observer: observer.attempt_ended(attempt, outcome))

    def answered(self, request: ClientRequest, reply: FinalReply) -> None:
        """The final reply is about to be written."""
        shown = reply if isinstance(reply, bytes) else reply.header
        self._notify(lambda observer: observer.answered(request, shown))

    def _notify(self, call: Callable[[Observer], None]) -> None:
        for observer in self.observers:
            with self.faults.guard(observer.name):
                call(observer)


class UpstreamDecorator:
    """Stands between the driver and its upstream.

    What a subclass does not override is passed on.
    """

    def __init__(self, inner: Upstream) -> None:
        """Stand in front of this upstream."""
        self.inner = inner

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""
        self.inner.send(attempt)

    def cancel(self, attempt: UpstreamAttempt) -> None:
        """Stop waiting for an attempt."""
        self.inner.cancel(attempt)

    def update_endpoints(self, endpoints: EndpointList) -> list[UpstreamAttempt]:
        """Follow a new endpoint list; return the attempts that can't be started any more."""
        return self.inner.update_endpoints(endpoints)

    def close_idle_connections(self, endpoint_id: EndpointId) -> list[UpstreamAttempt]:
        """Close an excluded endpoint's idle connections.

        Return the attempts that can't be started.
        """
        return self.inner.close_idle_connections(endpoint_id)

    def withdraw(self, attempt: UpstreamAttempt) -> bool:
        """Withdraw an attempt of which nothing was sent yet; return whether it was one."""
        return self.inner.withdraw(attempt)


class ObservedUpstream(UpstreamDecorator):
    """Notifies observers of each attempt before it is sent."""

    def __init__(self, inner: Upstream, observers: ObserverNotifier) -> None:
        """Stand in front of this upstream, and notify these observers."""
        super().__init__(inner)
        self.observers = observers

    def send(self, attempt: UpstreamAttempt) -> None:
        """Notify, then start the attempt."""
        self.observers.attempt_started(attempt)
        super().send(attempt)
