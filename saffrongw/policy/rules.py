"""All decisions of a gateway; their types are in ``events.py`` and ``actions.py``.

A request's life: arrived -> admitted by its customer's counts -> sent to the server that should answer
soonest -> outcome -> perhaps another attempt -> exactly one final answer. Every send passes ``_send``, every
answer of ours ``_end``. Quotas are grow-only counts by gateway, spread by gossip; see docs/design.md.
"""

from __future__ import annotations

from .actions import (
    Action,
    AdmitRequest,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    SubscribeEndpointList,
)
from .counts import (
    ASKED,
    INTERVAL,
    MS,
    OWED,
    PUSH,
    REOPEN,
    RIGHTS_WITHIN,
    SECOND,
    TURN,
    UNHEARD_LEAST,
    Counts,
)
from .decision_context import DecisionContext
from .endpoints import Endpoint, EndpointRegistry
from .events import (
    AdmissionCheckArrived,
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    Event,
    ExclusionChanged,
    RequestArrived,
    TimerFired,
)
from .exclusions import AdministrativeExclusions
from .latency_model import LatencyModel
from .load_balancer import BASE_LOAD, LoadBalancer
from .outlier_detection import OutlierDetection
from .request_state import AttemptState, RequestState
from .retry_policy import FINAL_ANSWER_MARGIN_US, NEVER_RAN, RetryPolicy
from .settings import Settings
from .slow_start import SlowStart

# Attempts
HOLD = 20 * MS  # between looks for an endpoint
MUTE = 2  # silences in a row (one where many are silent) after which a keeper is not waited for until heard
HELD_MOST = 0.45  # of its time that a request waits for a server: who waits longer has no time left elsewhere
SHED = 0.25  # of the aim beyond the usual time: slower, a request is refused
SOON = 0.15  # of the aim: who is sent to come back later than that spends quota on an answer that is late


class Gateway(Counts):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        context = self.context = DecisionContext(now)
        self.latency = LatencyModel(settings.classes)
        self.exclusions = AdministrativeExclusions()
        self.endpoints = EndpointRegistry(self.exclusions)
        self.outlier_detection = OutlierDetection(settings, self.endpoints, self.latency, context)
        self.retry_policy = RetryPolicy(settings, self.exclusions, context)
        self.slow_start = SlowStart(settings, self.endpoints, self.retry_policy, context)
        self.load_balancer = LoadBalancer(
            self.endpoints,
            self.outlier_detection,
            self.slow_start,
            self.retry_policy,
            self.latency,
            self.random,
            context,
        )
        self.handed_over = False  # a successor has the counts: no first send any more

    def start(self, since: int | None = None) -> list[Action]:
        """The first actions, once the gateway is up.

        ``since`` (us): from when on no earlier life of it sends; parts of ceilings fill from then.
        """
        self.started = min(self.started, since if since is not None else self.started)
        return [SetTimer(INTERVAL, TURN)] + [SubscribeEndpointList()] * self.s.polls_endpoint_list

    def handle(self, now: int, event: Event) -> list[Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now, self.actions = now, []
        self.context.now_us, self.context.actions = now, self.actions
        if method := getattr(
            self, f"_{event.topic}", None
        ):  # streams, probes, counter: nothing to do
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: RequestArrived) -> None:
        request = RequestState(
            event, self.s.classes[event.kind], self.now + event.time_left_us, self.random.random()
        )
        self.requests[event.request] = request
        self.retry_policy.earn()
        self._advance(request)
        self._drop_idle()

    def _admission_check_arrived(self, event: AdmissionCheckArrived) -> None:
        """Who sends on by itself: what is let in takes its units exactly as a first send of ours does."""
        request = RequestState(event, self.s.classes[event.kind], self.now)
        if not self.handed_over and self._admits(request):
            self._spend(request.quota, event.units)
            self.actions.append(AdmitRequest(event.request))
        else:  # it asks for other people, and heeds what it is told: no limit as for our own clients
            wait = self._retry_after_us(request, self.s.max_retry_after_us)
            self.actions.append(RejectRequest(event.request, wait))
        self._drop_idle()

    def _advance(self, request: RequestState) -> None:
        """The next step of a request that is owed an answer."""
        last_call = request.deadline_us - FINAL_ANSWER_MARGIN_US
        if not request.attempts_that_may_have_run():
            last_call = min(
                last_call, request.deadline_us - int((1 - HELD_MOST) * request.event.time_left_us)
            )
        if self.now >= last_call or len(request.attempts) >= self.s.max_attempts:
            return self._end(request)
        first = not request.attempts
        if first and (self.handed_over or not self._admits(request)):
            return None if self._waits(request) else self._end(request)
        host = self.load_balancer.choose(request)
        if host is None:
            span = min(HOLD, last_call - self.now)
            return self.actions.append(SetTimer(span, request.event.request + 1))
        # Guards against refusing all for failures that only answers make good: idle, none counts.
        if first and self.load_balancer.expected_latency_us(
            host, request.event.kind
        ) > self._patience(request):
            return self._end(request)
        return self._send(request, host)

    def _admits(self, request: RequestState) -> bool:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        event = request.event  # the entry is looked up anew: a held request may outlive an idle one
        account = self._account(
            event.customer,
            event.plan,
            event.replica_set_first,
            event.replica_set_size,
            trusted=True,
        )
        plan, request.quota = self.s.plans[account.plan], account
        self._lift(account)
        if (
            plan.concurrency_limit
        ):  # what others approved lately is taken to be out for as long as usual
            others = sum(
                self.now - at < self.latency.typical_us[event.kind] for at in account.others
            )
            if account.out + others >= plan.concurrency_limit:
                return False
        room = account.room
        if (
            account.fresh and self.node_index in account.counts
        ):  # unheard: a share, at least one request
            room = min(room, plan.burst / account.size - account.counts[self.node_index][1])
        if plan.rate and (account.closed or room < event.units):
            if (
                self.unheard >= UNHEARD_LEAST
            ):  # else nothing is told, and nobody learns that a cut is over
                self._tell_keeper(account, 0)
            return False
        request.lacks_ceiling = plan.ceiling_rate > 0 and account.ceiling < event.units
        return not request.lacks_ceiling

    def _waits(self, request: RequestState) -> bool:
        """Only the ceiling's part here is short: its keeper is asked for rights, which are a message away."""
        if not request.lacks_ceiling or self.handed_over:
            return False
        account, number, units = request.quota, request.event.request, request.event.units
        plan, keeper = self.s.plans[account.plan], self._keeper(account)
        if not request.waited_for_grants:
            account.waiting[number] = units
            self._tell_keeper(account, 0)
        span = RIGHTS_WITHIN
        if (
            keeper == self.node_index or self.alone
        ):  # nobody is asked: only what refills in time counts
            rate = plan.ceiling_rate * self._ceiling_part(account)
            span = int((units - account.ceiling) / rate * SECOND) + MS
        most = min(RIGHTS_WITHIN, request.deadline_us - FINAL_ANSWER_MARGIN_US - self.now)
        patience = MUTE if self.unheard < UNHEARD_LEAST else 1
        if request.waited_for_grants or self.mute.get(keeper, 0) >= patience or span > most:
            account.waiting.pop(number, None)
            return False
        request.waited_for_grants = True
        self.actions.append(SetTimer(span, number + 1))
        return True

    def _resume(self, request: int) -> None:
        """Rights came for a customer with requests that wait."""
        waiting = self.requests[request]
        if waiting.quota.ceiling >= waiting.event.units:
            self._advance(waiting)

    def _patience(self, request: RequestState) -> float:
        """The longest expected answer time at which a request is let in: it must still be in time."""
        usual = self.latency.typical_us[request.event.kind]
        return usual + SHED * max(
            0.0, min(request.request_class.latency_objective_us, request.event.time_left_us) - usual
        )

    def _send(self, request: RequestState, host: Endpoint) -> None:
        """Every send passes here."""
        self.endpoints.unproven.pop(host.entry.endpoint_id, None)
        if not request.attempts:
            request.quota.waiting.pop(request.event.request, None)
            self._spend(request.quota, request.event.units)
        if not host.in_flight:
            host.last_progress_at_us = self.now
        self.begin(request, AttemptState(host, self.now, host.in_flight + BASE_LOAD))
        request.slow_start_draw = self.random.random()
        self.actions.append(
            SendAttempt(request.event.request, host.entry.endpoint_id, request.deadline_us)
        )

    # -- what becomes of it -------------------------------------------------------------------------------

    def _attempt_ended(self, event: AttemptEnded) -> None:
        if (event.request, event.attempt) not in self.attempts:
            return
        attempt, kind = self.ended(event.request, event.attempt)
        self.outlier_detection.record(attempt, kind, event)
        attempt.may_have_run = event.outcome not in NEVER_RAN
        request = self.requests.get(event.request)
        if request and event.is_answered:
            self._drop(request)
        elif request:
            goes_on = self.retry_policy.may_retry(request, attempt.may_have_run)
            (self._advance if goes_on else self._end)(request)

    def _end(self, request: RequestState) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        number, objective_us = request.event.request, request.request_class.latency_objective_us
        wait = self._retry_after_us(request, min(SOON * objective_us, self.s.max_retry_after_us))
        may_reject = self.retry_policy.may_reject(request)
        self.actions.append(RejectRequest(number, wait) if may_reject else FailRequest(number))
        self._drop(request)

    def _retry_after_us(self, request: RequestState, max_us: float) -> int:
        """How long until the customer's quota holds enough to let it in; 0: not known, or more than that."""
        if (account := request.quota) is None or not (plan := self.s.plans[account.plan]).rate:
            return 0
        enough = REOPEN * plan.burst if account.closed else request.event.units
        span = int(max(0.0, enough - account.room) / plan.rate * SECOND)
        return span if span <= max_us else 0

    def _drop(self, request: RequestState) -> None:
        """Nothing more is owed: forget the request and call off what is still out."""
        self.requests.pop(request.event.request, None)
        if request.quota:
            request.quota.waiting.pop(request.event.request, None)
        if self.s.may_cancel and request.has_attempt_in_flight():
            self.actions.append(CancelAttempt(request.event.request, len(request.attempts) - 1))

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        if request := self.requests.get(event.request):
            self._drop(request)

    def _timer_fired(self, event: TimerFired) -> None:
        request = self.requests.get(event.token - 1)
        if event.token == TURN:
            self._turn()
        elif event.token == ASKED:
            self._answer_due()
        elif event.token == PUSH:
            self._push_due()
        elif event.token == OWED:
            self._pay_owed()
        elif request and not request.has_attempt_in_flight():
            self._advance(request)

    # -- endpoints ----------------------------------------------------------------------------------------

    def _endpoint_list_received(self, event: EndpointListReceived) -> None:
        if event.kind is EndpointListKind.FAILED:
            return
        self.outlier_detection.add_zones(event.entries)
        for endpoint in self.endpoints.apply_list(event, self.now):
            self.slow_start.add(endpoint)

    def _exclusion_changed(self, event: ExclusionChanged) -> None:
        """Rule 3 by hand: nothing new to an endpoint that is excluded; restored, it warms up (rule 4)."""
        duration_us = self.s.slow_start_duration_us
        if restored := self.endpoints.change_exclusion(event, self.now, duration_us):
            self.slow_start.add(restored)

    def avoided(self, now: int) -> int:
        """How many of the listed endpoints are out of choice now."""
        return self.outlier_detection.count_avoided(now)
