"""Reports of admitted units to the customers' coordinators, which add them up."""

from __future__ import annotations

import math

from . import gossip_codec
from .actions import SetTimer
from .customer_quota import CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US, SECOND_US
from .gossip_sender import ANSWER_TIMEOUT_US, GossipSender, SentReport
from .peer_reachability import PeerReachability
from .quota_broadcast import QuotaBroadcast
from .quota_counters import QuotaCounters
from .rate_ceiling import RateCeiling
from .replica_sets import ReplicaSets
from .timer_tokens import REPORTS_DUE

# Gateways of a replica set to which a report is sent in turn, until one of them answers.
MAX_COORDINATOR_CANDIDATES = 3
# Messages of the budget that reports leave for answers to other gateways; urgent reports, for which
# requests wait, leave fewer.
RESERVED_MESSAGES = 4
RESERVED_MESSAGES_URGENT = 1


class CoordinatorReports:
    """Sends reports, and owns those that wait for the message budget."""

    def __init__(
        self,
        counters: QuotaCounters,
        rate_ceiling: RateCeiling,
        replica_sets: ReplicaSets,
        reachability: PeerReachability,
        sender: GossipSender,
        broadcast: QuotaBroadcast,
        context: DecisionContext,
    ) -> None:
        """Start without waiting reports."""
        self._counters = counters
        self._rate_ceiling = rate_ceiling
        self._replica_sets = replica_sets
        self._reachability = reachability
        self._sender = sender
        self._broadcast = broadcast
        self._context = context
        # Waiting reports: by the node index of the receiver, the customers and the receiver's
        # candidate number for each.
        self.due: dict[int, dict[int, int]] = {}
        self._timer_is_set = False

    def report(self, quota: CustomerQuota, candidate: int = 0) -> None:
        """Report a customer to its coordinator, or to a candidate that replaces it.

        If this gateway is the coordinator, it broadcasts the quota if it is exhausted.
        """
        if candidate >= min(MAX_COORDINATOR_CANDIDATES, quota.set_size):
            # No candidate answers: the customer need not wait for a confirmation any longer.
            # ``QuotaCounters.share`` leaves the unreachable gateways their part of the quota.
            quota.is_unconfirmed = False
            return
        coordinator = self._replica_sets.coordinator(quota, candidate)
        if coordinator != self._replica_sets.node_index:
            self.due.setdefault(coordinator, {})[quota.customer] = candidate
            self._send_to(coordinator)
        elif quota.is_unconfirmed:
            self.report(quota, candidate + 1)
        else:
            self._broadcast.broadcast_if_exhausted(quota)

    def send_due(self) -> None:
        """Send the waiting reports, to the coordinator with the most reports first."""
        self._timer_is_set = False
        for coordinator in sorted(self.due, key=lambda node: -len(self.due[node])):
            self._send_to(coordinator)

    def handle_answer_due(self) -> None:
        """Check the oldest awaited answer; if it is missing, report to the next candidates."""
        awaited = self._sender.awaited_answers.popleft()
        if self._context.now_us - awaited.sent_at_us > 2 * ANSWER_TIMEOUT_US:
            # The timer is so late that this gateway itself must have been paused: a missing answer
            # says nothing about the peer.
            return
        if not self._reachability.record_answer_due(awaited.peer, awaited.sent_at_us):
            return
        for customer, candidate in awaited.reports:
            if quota := self._counters.customers.get(customer):
                self.report(quota, candidate + 1)

    def _send_to(self, coordinator: int) -> None:
        """Send the waiting reports for a coordinator, as many as fit into one message.

        Reports are sent immediately while the message budget lasts; later they share messages.
        """
        due, customers = self.due[coordinator], self._counters.customers
        urgent = any((q := customers.get(customer)) and q.waiting_requests for customer in due)
        reserved = RESERVED_MESSAGES_URGENT if urgent else RESERVED_MESSAGES
        if self._sender.refill_budget() < reserved + 1:
            self._set_timer()
            return
        quotas = [customers[customer] for customer in due if customer in customers]
        last_received_us = self._reachability.last_received_us.get(coordinator, 0)
        wants_answer = self._context.now_us - last_received_us > ANSWER_TIMEOUT_US
        rows = gossip_codec.fit_rows(self._pack_report(quota) for quota in quotas)
        sent = quotas[: len(rows)]
        reports = [SentReport(quota.customer, due.pop(quota.customer)) for quota in sent]
        wants_answer |= any(quota.is_unconfirmed or quota.requested_grants for quota in sent)
        if len(rows) == len(quotas):
            del self.due[coordinator]
        if rows:
            awaited = reports if wants_answer else None
            self._sender.send(coordinator, rows, awaited, is_report=True)

    def _set_timer(self) -> None:
        if not self._timer_is_set:
            self._timer_is_set = True
            missing = RESERVED_MESSAGES + 1 - self._sender.budget
            delay_us = int(missing / self._sender.messages_per_second * SECOND_US) + MS_US
            self._context.actions.append(SetTimer(delay_us, REPORTS_DUE))

    def _pack_report(self, quota: CustomerQuota) -> bytes:
        """Pack a report, which also requests the rate ceiling units that this gateway lacks."""
        self._counters.refill(quota)
        wanted = sum(quota.waiting_requests.values()) or self._rate_ceiling.local_burst(quota)
        lacking = max(0.0, wanted - quota.ceiling_units)
        # The wire format rounds units down, so round up here.
        scale = gossip_codec.UNIT_SCALE
        quota.requested_grants = math.ceil(lacking * scale) / scale
        return self._sender.pack_row(quota, 0, quota.requested_grants)
