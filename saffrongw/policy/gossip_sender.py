"""Sends gossip messages within a rate limit, and keeps track of the answers that are awaited."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from . import gossip_codec
from .actions import SendGossip, SetTimer
from .customer_quota import CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US, SECOND_US
from .gossip_codec import CounterRow, GossipRow
from .quota_counters import QuotaCounters
from .settings import Settings
from .timer_tokens import ANSWER_DUE

# Rate limit of sent gossip, as a fraction of the rate that one gateway can receive; the rest is
# headroom for jitter.
INTAKE_FRACTION = 0.8
# How long a gateway waits for a peer's answer.
ANSWER_TIMEOUT_US = 200 * MS_US


class SentReport(NamedTuple):
    """A reported customer, and the candidate number of the coordinator that received the report."""

    customer: int
    candidate: int


class AwaitedAnswer(NamedTuple):
    """A message that requested an answer, and the customers that it reported."""

    sent_at_us: int
    peer: int
    reports: list[SentReport]


class GossipSender:
    """Sends every gossip message; owns the message budget, a token bucket.

    The rate at which one gateway sends stays below the rate at which one gateway can receive.
    """

    def __init__(
        self, settings: Settings, counters: QuotaCounters, context: DecisionContext
    ) -> None:
        """Start with one second's message budget."""
        self._node_count = settings.node_count
        self._counters = counters
        self._context = context
        self.messages_per_second = INTAKE_FRACTION * settings.gossip_intake
        self.budget = self.messages_per_second
        self._budget_refilled_at_us = context.now_us
        self.awaited_answers: deque[AwaitedAnswer] = deque()

    def refill_budget(self) -> float:
        """Refill the message budget; return how many messages may be sent now."""
        now_us = self._context.now_us
        gained = self.messages_per_second * (now_us - self._budget_refilled_at_us) / SECOND_US
        self.budget = min(self.messages_per_second, self.budget + gained)
        self._budget_refilled_at_us = now_us
        return self.budget

    def send(
        self,
        peer: int,
        rows: list[bytes],
        awaited: list[SentReport] | None = None,
        is_report: bool = False,
    ) -> bool:
        """Send rows to a peer; return whether the message budget allowed it.

        An answer is requested unless ``awaited`` is None. If none comes in time, the reports in
        ``awaited`` are sent to the next candidates for coordinator.
        """
        if self.refill_budget() < 1:
            return False
        self.budget -= 1
        context = self._context
        if awaited is not None:
            self.awaited_answers.append(AwaitedAnswer(context.now_us, peer, awaited))
            context.actions.append(SetTimer(ANSWER_TIMEOUT_US, ANSWER_DUE))
        now_ms = context.now_us // MS_US
        body = gossip_codec.pack_message(now_ms, awaited is not None, is_report, rows)
        context.actions.append(SendGossip(peer, body))
        return True

    def pack_row(self, quota: CustomerQuota, forward_count: int, grants: float = 0.0) -> bytes:
        """Refill a customer's quota and pack it into a row.

        ``forward_count`` is the number of gateways in the replica set to which the receiver
        forwards the row, ``grants`` the token grants that are requested or given.
        """
        self._counters.refill(quota)
        counters = tuple(CounterRow(node, *quota.counters[node]) for node in quota.recent_nodes)
        row = GossipRow(
            quota.customer,
            quota.plan,
            quota.set_first,
            quota.set_size,
            forward_count,
            quota.headroom,
            quota.spent_units,
            grants,
            counters,
        )
        return gossip_codec.pack_row(row, self._context.now_us // MS_US, self._node_count)
