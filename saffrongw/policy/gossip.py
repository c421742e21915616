"""Handles gossip messages from other gateways: merges, forwards and answers them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from . import gossip_codec
from .customer_quota import CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US, SECOND_US
from .events import GossipReceived
from .gossip_codec import GossipMessage, GossipRow
from .gossip_sender import GossipSender
from .peer_reachability import PeerReachability
from .quota_broadcast import QuotaBroadcast
from .quota_counters import QuotaCounters
from .replica_sets import ReplicaSets
from .settings import Settings
from .token_grants import TokenGrants

# Messages whose send time differs more than this from the present, either way, are ignored.
MAX_MESSAGE_AGE_US = 5 * SECOND_US


class MergedRow(NamedTuple):
    """A merged row: the grants that its sender requests, and whether requests wait there."""

    quota: CustomerQuota
    wanted_grants: float
    has_waiting: bool


class Gossip:
    """Receives gossip; peers are not trusted, so messages are checked before they are merged."""

    def __init__(
        self,
        settings: Settings,
        counters: QuotaCounters,
        replica_sets: ReplicaSets,
        reachability: PeerReachability,
        sender: GossipSender,
        broadcast: QuotaBroadcast,
        grants: TokenGrants,
        context: DecisionContext,
        resume_waiting: Callable[[CustomerQuota], None],
    ) -> None:
        """Call ``resume_waiting`` with each customer in a received message that is no report."""
        self._plan_count = len(settings.plans)
        self._counters = counters
        self._replica_sets = replica_sets
        self._reachability = reachability
        self._sender = sender
        self._broadcast = broadcast
        self._grants = grants
        self._context = context
        self._resume_waiting = resume_waiting

    def receive(self, event: GossipReceived) -> None:
        """Merge a message, forward the rows that request it, and send the answer it requests."""
        message = self._decode(event)
        if message is None:
            return
        now_us = self._context.now_us
        self._reachability.record_message(event.sender, now_us)
        age_us = max(0, now_us - message.sent_ms * MS_US)
        merged = [
            self._process_row(row, message, event.sender, age_us)
            for row in message.rows
            if self._is_served_here(row)
        ]
        if message.wants_answer and self._sender.refill_budget() >= 1:
            self._answer(event.sender, merged)

    def _decode(self, event: GossipReceived) -> GossipMessage | None:
        """Return the message, or None if it must be ignored."""
        node_count = self._replica_sets.node_count
        now_us = self._context.now_us
        message = gossip_codec.unpack_message(
            event.body, now_us // MS_US, node_count, self._plan_count
        )
        if (
            message is None
            or self._reachability.gossip_disabled
            or not 0 <= event.sender < node_count
            or abs(now_us - message.sent_ms * MS_US) >= MAX_MESSAGE_AGE_US
        ):
            return None
        return message

    def _is_served_here(self, row: GossipRow) -> bool:
        replica_sets = self._replica_sets
        return replica_sets.contains(
            replica_sets.node_index, row.replica_set_first, row.replica_set_size
        )

    def _process_row(
        self, row: GossipRow, message: GossipMessage, sender: int, age_us: int
    ) -> MergedRow:
        known = self._counters.customers.get(row.customer)
        known_counter = known.counters.get(sender) if known else None
        quota = self._merge(row, message, sender, age_us)
        # If the sender's counter has not grown, no admission caused this report: it requests grants
        # for a request that waits there.
        has_waiting = quota.counters.get(sender) == known_counter
        self._broadcast.forward(quota, min(row.forward_count, quota.set_size - 1))
        if message.is_report:
            self._broadcast.broadcast_if_exhausted(quota)
        else:
            self._resume_waiting(quota)
        return MergedRow(quota, row.grants if message.is_report else 0.0, has_waiting)

    def _merge(
        self, row: GossipRow, message: GossipMessage, sender: int, age_us: int
    ) -> CustomerQuota:
        quota = self._counters.get_or_create(
            row.customer, row.plan, row.replica_set_first, row.replica_set_size, trusted=False
        )
        quota.is_unconfirmed = False
        self._counters.refill(quota)
        # The grants in a report are requested; those in any other message are given.
        if not message.is_report:
            self._grants.accept(quota, row, age_us, message.sent_ms)
        self._counters.merge_row(quota, row, sender, age_us, message.is_report)
        return quota

    def _answer(self, sender: int, merged: list[MergedRow]) -> None:
        rows = (
            self._sender.pack_row(quota, 0, self._grants.grant(quota, sender, wanted, has_waiting))
            for quota, wanted, has_waiting in merged
        )
        customers = [row.quota.customer for row in merged]
        self._broadcast.send_with_extra_rows(sender, rows, customers)
