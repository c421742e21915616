"""One gateway's policy: takes the events of ``events.py``, returns the actions of ``actions.py``.

It creates the components, each of which owns one concern and its state, and dispatches events to
them. There is no I/O and no clock here: the driver passes in events with their time and carries out
the actions. docs/design.md explains the reasons behind the decisions.

Comments in this package cite the rules that ``testbed/checker/rules.py`` checks: (1) each request
gets exactly one final answer, in time; (2) no request takes effect twice unless it is idempotent;
(3) draining, removed and excluded endpoints get no attempts; (4) a started endpoint warms up before
it gets its full share; (5) no customer exceeds its rate ceiling.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .actions import Action, SetTimer, SubscribeEndpointList
from .admission import Admission
from .coordinator_reports import CoordinatorReports
from .decision_context import DecisionContext
from .endpoints import EndpointRegistry
from .events import (
    AdmissionCheckArrived,
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    Event,
    ExclusionChanged,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from .exclusions import AdministrativeExclusions
from .gossip import Gossip
from .gossip_sender import GossipSender
from .latency_model import LatencyModel
from .load_balancer import LoadBalancer
from .outlier_detection import OutlierDetection
from .peer_reachability import PeerReachability
from .quota_broadcast import GOSSIP_INTERVAL_US, QuotaBroadcast
from .quota_counters import QuotaCounters
from .rate_ceiling import RateCeiling
from .replica_sets import ReplicaSets
from .request_lifecycle import RequestLifecycle
from .retry_policy import RetryPolicy
from .settings import Settings
from .slow_start import SlowStart
from .timer_tokens import ANSWER_DUE, GOSSIP_TURN, GRANTS_DUE, REPORTS_DUE, request_of
from .token_grants import TokenGrants


class Gateway:
    """The policy's only entry point: handles events and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        """Create the components; all random draws come from one generator with this seed."""
        self.settings = settings
        self.random = random.Random(seed)
        self.context = DecisionContext(now_us)
        self._compose_quotas()
        self._compose_endpoints()
        self._compose_requests()
        # Events without a handler (streams, health checks, the shared counter) need no decision.
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self.lifecycle.request_arrived,
            AdmissionCheckArrived: self.lifecycle.admission_check_arrived,
            AttemptEnded: self.lifecycle.attempt_ended,
            ClientDisconnected: self.lifecycle.client_disconnected,
            TimerFired: self._timer_fired,
            GossipReceived: self.gossip.receive,
            EndpointListReceived: self._endpoint_list_received,
            ExclusionChanged: self._exclusion_changed,
        }

    def _compose_quotas(self) -> None:
        settings, context = self.settings, self.context
        self.reachability = PeerReachability(settings)
        self.replica_sets = ReplicaSets(settings.node_index, settings.node_count)
        self.rate_ceiling = RateCeiling(settings, self.replica_sets)
        self.quota_counters = QuotaCounters(settings, self.reachability, self.rate_ceiling, context)
        self.gossip_sender = GossipSender(settings, self.quota_counters, context)
        self.quota_broadcast = QuotaBroadcast(
            settings,
            self.quota_counters,
            self.replica_sets,
            self.gossip_sender,
            self.random,
            context,
        )
        self.coordinator_reports = CoordinatorReports(
            self.quota_counters,
            self.rate_ceiling,
            self.replica_sets,
            self.reachability,
            self.gossip_sender,
            self.quota_broadcast,
            context,
        )
        self.token_grants = TokenGrants(
            self.quota_counters,
            self.rate_ceiling,
            self.replica_sets,
            self.gossip_sender,
            context,
        )

    def _compose_endpoints(self) -> None:
        settings, context = self.settings, self.context
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

    def _compose_requests(self) -> None:
        settings, context = self.settings, self.context
        self.admission = Admission(
            settings,
            self.quota_counters,
            self.rate_ceiling,
            self.replica_sets,
            self.reachability,
            self.coordinator_reports,
            self.latency,
            context,
        )
        self.lifecycle = RequestLifecycle(
            settings,
            self.quota_counters,
            self.rate_ceiling,
            self.reachability,
            self.coordinator_reports,
            self.admission,
            self.endpoints,
            self.outlier_detection,
            self.retry_policy,
            self.load_balancer,
            self.random,
            context,
        )
        self.gossip = Gossip(
            settings,
            self.quota_counters,
            self.replica_sets,
            self.reachability,
            self.gossip_sender,
            self.quota_broadcast,
            self.token_grants,
            context,
            self.lifecycle.resume_waiting,
        )

    @property
    def handed_over(self) -> bool:
        """Whether a successor process owns the quota counters, so that this one admits nothing."""
        return self.admission.is_handed_over

    @handed_over.setter
    def handed_over(self, handed_over: bool) -> None:
        self.admission.is_handed_over = handed_over

    def start(self, since_us: int | None = None) -> list[Action]:
        """Return the actions to carry out at start.

        ``since_us`` is when the previous process of this gateway stopped sending attempts: this
        gateway's parts of rate ceilings refill from that time on.
        """
        if since_us is not None:
            counters = self.quota_counters
            counters.started_at_us = min(counters.started_at_us, since_us)
        actions: list[Action] = [SetTimer(GOSSIP_INTERVAL_US, GOSSIP_TURN)]
        if self.settings.polls_endpoint_list:
            actions.append(SubscribeEndpointList())
        return actions

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle an event and return the actions to carry out."""
        context = self.context
        context.now_us = now_us
        actions: list[Action] = []
        context.actions = actions
        if handler := self._handlers.get(type(event)):
            handler(event)
        return actions

    def _timer_fired(self, event: TimerFired) -> None:
        token = event.token
        if token == GOSSIP_TURN:
            self.quota_broadcast.gossip_turn()
        elif token == ANSWER_DUE:
            self.coordinator_reports.handle_answer_due()
        elif token == REPORTS_DUE:
            self.coordinator_reports.send_due()
        elif token == GRANTS_DUE:
            self.token_grants.send_pending()
        else:
            self.lifecycle.request_timer_fired(request_of(token))

    def _endpoint_list_received(self, event: EndpointListReceived) -> None:
        if event.kind is EndpointListKind.FAILED:
            return
        self.outlier_detection.add_zones(event.entries)
        for endpoint in self.endpoints.apply_list(event, self.context.now_us):
            self.slow_start.add(endpoint)

    def _exclusion_changed(self, event: ExclusionChanged) -> None:
        """Stop using an excluded endpoint (rule 3); let a restored one warm up (rule 4)."""
        now_us, remember_us = self.context.now_us, self.settings.slow_start_duration_us
        if restored := self.endpoints.change_exclusion(event, now_us, remember_us):
            self.slow_start.add(restored)

    def avoided(self, now_us: int) -> int:
        """Count the listed endpoints that are excluded, draining or ejected as outliers."""
        return self.outlier_detection.count_avoided(now_us)

    def exceeds_quota(self, now_us: int, customer: int, plan: int, units: float) -> bool:
        """Return whether the quota would certainly reject a request; changes no state."""
        return self.quota_counters.exceeds(now_us, customer, plan, units)
