"""The state of requests without a final answer, and of their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .events import AdmissionCheckArrived, RequestArrived
from .settings import RequestClass

if TYPE_CHECKING:
    from .customer_quota import CustomerQuota
    from .endpoints import Endpoint


@dataclass(slots=True)
class AttemptState:
    """One attempt of a request at one endpoint.

    ``may_have_run`` stays true until an outcome shows that the endpoint never ran the request.
    """

    endpoint: Endpoint
    quota: CustomerQuota
    sent_at_us: int
    # The endpoint's load when the attempt was sent: requests in flight and the base load.
    load_when_sent: float
    in_flight: bool = True
    may_have_run: bool = True
    # The connection broke after the last byte: another process may have the address by now.
    connection_lost: bool = False


@dataclass(slots=True)
class RequestState:
    """A request that has no final answer yet and whose client is still connected."""

    event: RequestArrived | AdmissionCheckArrived
    request_class: RequestClass
    # When the client stops waiting, and how long after the request's arrival that is.
    deadline_us: int
    time_left_us: int
    # Random number, a new one for each attempt: selects the warming endpoint that may get it.
    slow_start_draw: float = 0.0
    # Set by the first admission check of the request.
    quota: CustomerQuota | None = None
    attempts: list[AttemptState] = field(default_factory=list)
    # Whether it was not admitted only because this gateway's part of the rate ceiling lacks units.
    lacks_ceiling: bool = False
    # Whether it has waited for token grants, which a request does only once.
    waited_for_grants: bool = False

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return any(attempt.in_flight for attempt in self.attempts)

    def attempts_that_may_have_run(self) -> list[AttemptState]:
        """Return the attempts that an endpoint may have run, in the order of sending."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]
