"""Sends gossip within the budget of messages, and keeps the answers that are awaited."""

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

# Part of one gateway's gossip intake that each gateway may send: the rest is for jitter.
INTAKE_PART = 0.8
# How long a peer has to answer.
ANSWER_TIMEOUT_US = 200 * MS_US


class SentReport(NamedTuple):
    """A customer that a coordinator was sent a report on; which candidate for coordinator it is."""

    customer: int
    candidate: int


class AwaitedAnswer(NamedTuple):
    """A message that asked for an answer, with what it reported."""

    sent_at_us: int
    peer: int
    reports: list[SentReport]


class GossipSender:
    """Every gossip message leaves here; owns the budget of messages.

    All that one gateway sends stays below what one takes in.
    """

    def __init__(
        self, settings: Settings, counters: QuotaCounters, context: DecisionContext
    ) -> None:
        """Start with the budget of one second."""
        self._node_count = settings.node_count
        self._counters = counters
        self._context = context
        self.messages_per_second = INTAKE_PART * settings.gossip_intake
        self.budget = self.messages_per_second
        self._budget_refilled_at_us = context.now_us
        self.awaited_answers: deque[AwaitedAnswer] = deque()

    def refill_budget(self) -> float:
        """Bring the budget up to date; return how many messages may be sent now."""
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
        """Send rows to a peer; tell whether the budget allowed it.

        An answer is asked for unless ``awaited`` is None; without one in time, its reports go to
        the next candidates.
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
        """Refill a customer's quota and pack what is known of it.

        ``forward_count`` is how many gateways of the replica set the receiver forwards it to, and
        ``grants`` the token grants that are requested or given.
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
