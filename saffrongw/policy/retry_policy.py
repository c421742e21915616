"""Retries: whether a request is retried, to which endpoints, and whether it may be rejected.

A retry must neither run a non-idempotent request twice (rule 2) nor reach an endpoint that is
draining, removed or excluded (rule 3). A retry budget keeps retries from multiplying the load when
endpoints fail.
"""

from __future__ import annotations

from .decision_context import DecisionContext
from .durations import MS_US
from .endpoints import Endpoint
from .events import AttemptOutcome, EndpointState
from .exclusions import AdministrativeExclusions
from .request_state import RequestState
from .settings import DeduplicationScope, Idempotency, RequestClass, Settings

# Time before its deadline at which a request without an attempt in flight gets its final answer.
FINAL_ANSWER_MARGIN_US = 30 * MS_US
# Retry budget against retry storms: retries that each new request adds, and the most that the
# budget holds.
RETRIES_PER_REQUEST = 0.05
MAX_RETRY_BUDGET = 5.0
# Outcomes that prove that the endpoint did not run the request.
NEVER_RAN = frozenset(
    {AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT}
)


class RetryPolicy:
    """Decides on the attempts after the first one; owns the retry budget."""

    def __init__(
        self,
        settings: Settings,
        exclusions: AdministrativeExclusions,
        context: DecisionContext,
    ) -> None:
        """Start with a full retry budget."""
        self._exclusions = exclusions
        self._context = context
        # The longest time from the decision until the attempt is sent: it may have to connect.
        self._max_send_delay_us = FINAL_ANSWER_MARGIN_US + settings.connect_timeout_us
        self.budget = MAX_RETRY_BUDGET

    def deposit(self) -> None:
        """Add a new request's contribution to the retry budget."""
        self.budget = min(MAX_RETRY_BUDGET, max(0.0, self.budget) + RETRIES_PER_REQUEST)

    def may_retry(self, request: RequestState, may_have_run: bool) -> bool:
        """Return whether to retry after a failed attempt; charges the retry budget.

        An attempt that never ran is not charged, because its retry adds no load.
        """
        self.budget -= may_have_run
        if not may_have_run:
            return True
        return (
            self.budget >= 0 and request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        )

    def may_send(self, request: RequestState, endpoint: Endpoint) -> bool:
        """Return whether an attempt of this request may be sent to this endpoint now."""
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
        if any(each.connection_lost and each.endpoint is endpoint for each in ran):
            # If the endpoint died, what answers at its address need not know the idempotency key.
            return False
        scope = request_class.deduplication_scope
        return endpoint.deduplication_domain(scope) == ran[0].endpoint.deduplication_domain(scope)

    @staticmethod
    def may_reject(request: RequestState) -> bool:
        """Return whether the client may safely send the request again (else it must be failed)."""
        return not request.attempts_that_may_have_run() or is_safe_to_repeat(request.request_class)


def is_safe_to_repeat(request_class: RequestClass) -> bool:
    """Return whether a request of this class that may have run can be repeated at any gateway."""
    return request_class.idempotency is Idempotency.IDEMPOTENT or (
        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )
