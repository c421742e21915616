"""Notification of observers, and decorators of the driver's upstream."""

from __future__ import annotations

from collections.abc import Callable

from ..policy.actions import Action
from ..policy.events import AttemptOutcome, EndpointId, Event
from .config import EndpointList
from .extension_faults import ExtensionFaults
from .extensions import Observer
from .request_types import ClientRequest, FinalReply, Upstream, UpstreamAttempt


class ObserverNotifier:
    """Notifies all observers in their order; an exception in one is counted and isolated."""

    def __init__(self, observers: tuple[Observer, ...], faults: ExtensionFaults) -> None:
        """Notify these observers, and record their faults."""
        self.observers = observers
        self.faults = faults

    def event_received(self, now_us: int, event: Event) -> None:
        """Notify that the policy is about to handle an event."""
        self._notify(lambda observer: observer.event_received(now_us, event))

    def actions_decided(self, now_us: int, event: Event, actions: list[Action]) -> None:
        """Notify of the policy's actions for an event, none of which has been executed yet."""
        decided = tuple(actions)
        self._notify(lambda observer: observer.actions_decided(now_us, event, decided))

    def attempt_started(self, attempt: UpstreamAttempt) -> None:
        """Notify that an attempt is about to be sent."""
        self._notify(lambda observer: observer.attempt_started(attempt))

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Notify of the outcome of an attempt."""
        self._notify(lambda observer: observer.attempt_ended(attempt, outcome))

    def answered(self, request: ClientRequest, reply: FinalReply) -> None:
        """Notify that the final reply is about to be sent."""
        shown = reply if isinstance(reply, bytes) else reply.header
        self._notify(lambda observer: observer.answered(request, shown))

    def _notify(self, call: Callable[[Observer], None]) -> None:
        for observer in self.observers:
            with self.faults.guard(observer.name):
                call(observer)


class UpstreamDecorator:
    """An upstream that wraps another one.

    All calls that a subclass does not override are passed to the inner upstream.
    """

    def __init__(self, inner: Upstream) -> None:
        """Wrap this upstream."""
        self.inner = inner

    def send(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt."""
        self.inner.send(attempt)

    def cancel(self, attempt: UpstreamAttempt) -> None:
        """Stop waiting for an attempt."""
        self.inner.cancel(attempt)

    def update_endpoints(self, endpoints: EndpointList) -> list[UpstreamAttempt]:
        """Apply a new endpoint list; return the attempts that can't be started any more."""
        return self.inner.update_endpoints(endpoints)

    def close_idle_connections(self, endpoint_id: EndpointId) -> list[UpstreamAttempt]:
        """Close an excluded endpoint's idle connections.

        Return the attempts that can't be started any more.
        """
        return self.inner.close_idle_connections(endpoint_id)

    def withdraw(self, attempt: UpstreamAttempt) -> bool:
        """Withdraw an attempt if nothing of it was sent yet; return whether it was withdrawn."""
        return self.inner.withdraw(attempt)


class ObservedUpstream(UpstreamDecorator):
    """Notifies observers of each attempt before it is sent."""

    def __init__(self, inner: Upstream, observers: ObserverNotifier) -> None:
        """Wrap this upstream, and notify these observers."""
        super().__init__(inner)
        self.observers = observers

    def send(self, attempt: UpstreamAttempt) -> None:
        """Notify the observers, then start the attempt."""
        self.observers.attempt_started(attempt)
        super().send(attempt)
