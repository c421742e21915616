"""Records of the requests that a gateway owes an answer, and of their attempts."""

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


@dataclass(slots=True)
class RequestState:
    """A request that was neither answered nor abandoned by its client."""

    event: RequestArrived | AdmissionCheckArrived
    request_class: RequestClass
    # When the client stops waiting, and how long that was from its arrival.
    deadline_us: int
    time_left_us: int
    # Drawn anew for each attempt: decides which warming endpoint it may try.
    slow_start_draw: float = 0.0
    # Known once admission has looked at the request.
    quota: CustomerQuota | None = None
    attempts: list[AttemptState] = field(default_factory=list)
    # Whether only the local part of the customer's rate ceiling kept the request back.
    lacks_ceiling: bool = False
    # Whether it has waited for token grants: a request does so only once.
    waited_for_grants: bool = False

    def has_attempt_in_flight(self) -> bool:
        """Tell whether an attempt has no outcome yet."""
        return any(attempt.in_flight for attempt in self.attempts)

    def attempts_that_may_have_run(self) -> list[AttemptState]:
        """Return the attempts that an endpoint may have run, the first one first."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]
