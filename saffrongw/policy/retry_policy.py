"""Where a further attempt may be sent, whether it is made, and how a request may end.

A retry must neither run a request twice that is not idempotent (rule 2) nor reach an endpoint that
is draining, gone or excluded (rule 3), and retries must not multiply the load of a fault.
"""

from __future__ import annotations

from .decision_context import DecisionContext
from .durations import MS_US
from .endpoints import Endpoint
from .events import AttemptOutcome, EndpointState
from .exclusions import AdministrativeExclusions
from .request_state import RequestState
from .settings import DeduplicationScope, Idempotency, RequestClass, Settings

# A waiting request is ended so long before its deadline.
FINAL_ANSWER_MARGIN_US = 30 * MS_US
# Retries that each new request earns, and the most that can be saved up: no retry storms.
RETRIES_PER_REQUEST = 0.05
MAX_RETRY_BUDGET = 5.0
# Outcomes after which the endpoint has certainly not run the request.
NEVER_RAN = frozenset(
    {AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT}
)


class RetryPolicy:
    """Decides on attempts after the first one; owns the budget of retries."""

    def __init__(
        self,
        settings: Settings,
        exclusions: AdministrativeExclusions,
        context: DecisionContext,
    ) -> None:
        """Start with a full budget."""
        self._exclusions = exclusions
        self._context = context
        # A connection may have to come up before an attempt begins to run.
        self._max_send_delay_us = FINAL_ANSWER_MARGIN_US + settings.connect_timeout_us
        self.budget = MAX_RETRY_BUDGET

    def earn(self) -> None:
        """Add what a new request earns to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, max(0.0, self.budget) + RETRIES_PER_REQUEST)

    def may_retry(self, request: RequestState, may_have_run: bool) -> bool:
        """Tell whether a request whose attempt failed goes on; charges the budget.

        An attempt that never ran costs nothing: another one adds no load.
        """
        self.budget -= may_have_run
        if not may_have_run:
            return True
        return (
            self.budget >= 0 and request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        )

    def may_send(self, request: RequestState, endpoint: Endpoint) -> bool:
        """Tell whether an attempt of this request may be sent to this endpoint now."""
        entry = endpoint.entry
        if entry.state is not EndpointState.READY or entry.endpoint_id in self._exclusions.sources:
            return False
        ran = request.attempts_that_may_have_run()
        request_class = request.request_class
        if not ran or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        window_end_us = ran[0].sent_at_us + request_class.deduplication_window_us
        if self._context.now_us >= window_end_us - self._max_send_delay_us:
            return False
        scope = request_class.deduplication_scope
        return endpoint.deduplication_domain(scope) == ran[0].endpoint.deduplication_domain(scope)

    @staticmethod
    def may_reject(request: RequestState) -> bool:
        """Tell whether the client may safely try again: a request is rejected, or else failed."""
        return not request.attempts_that_may_have_run() or is_safe_to_repeat(request.request_class)


def is_safe_to_repeat(request_class: RequestClass) -> bool:
    """Tell whether a request of this class that may have run can be sent to any gateway again."""
    return request_class.idempotency is Idempotency.IDEMPOTENT or (
        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )
