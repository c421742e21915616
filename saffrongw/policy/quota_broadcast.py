"""Dissemination of quotas: broadcasts of exhausted ones, and periodic gossip of changes."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from . import gossip_codec
from .actions import SetTimer
from .customer_quota import CustomerQuota
from .decision_context import DecisionContext
from .durations import MS_US, SECOND_US
from .gossip_sender import GossipSender
from .quota_counters import EXHAUSTED_BURST_FRACTION, QuotaCounters
from .replica_sets import ReplicaSets
from .settings import Plan, Settings
from .timer_tokens import GOSSIP_TURN

# Interval of the periodic gossip. Broadcasts, reports and answers are sent without waiting for it.
GOSSIP_INTERVAL_US = 300 * MS_US
# Gateways to which a broadcast is sent directly; in larger replica sets each forwards it to others.
BROADCAST_FANOUT = 12
# Rows on other exhausted quotas that fill the free space of a message: more rows take time on both
# sides and help little.
MAX_EXTRA_ROWS = 6
# Customers that are considered for one message, to bound the work.
MAX_ROWS_CONSIDERED = 32
# Fraction of one second's message budget that broadcasts leave to reports and answers.
RESERVED_BUDGET_FRACTION = 0.5


class QuotaBroadcast:
    """Sends the quotas that this gateway knows to the gateways of the customers' replica sets."""

    def __init__(
        self,
        settings: Settings,
        counters: QuotaCounters,
        replica_sets: ReplicaSets,
        sender: GossipSender,
        generator: random.Random,
        context: DecisionContext,
    ) -> None:
        """Use the counters' sets of changed and exhausted customers."""
        self._plans: tuple[Plan, ...] = settings.plans
        self._counters = counters
        self._replica_sets = replica_sets
        self._sender = sender
        self._random = generator
        self._context = context

    def broadcast_if_exhausted(self, quota: CustomerQuota) -> None:
        """Broadcast an exhausted quota to its replica set, repeatedly in case messages were lost.

        The interval is the time in which the headroom of the exhaustion threshold refills.
        """
        if not quota.is_exhausted:
            return
        plan = self._plans[quota.plan]
        now_us = self._context.now_us
        refilled = plan.rate * (now_us - quota.last_broadcast_us)
        if refilled > EXHAUSTED_BURST_FRACTION * plan.burst * SECOND_US:
            quota.last_broadcast_us = now_us
            self.forward(quota, quota.set_size - 1)

    def forward(self, quota: CustomerQuota, count: int) -> None:
        """Distribute a quota to the next ``count`` gateways of its replica set.

        It is sent to some of them, and each of these forwards it to a part of the others.
        """
        replica_sets = self._replica_sets
        own_position = replica_sets.position(replica_sets.node_index, quota.set_first)
        step = -(-count // BROADCAST_FANOUT)
        reached, part = 0, 1 + self._random.randrange(step) if count else 0
        # In large replica sets this would otherwise use up the message budget and delay reports and
        # answers.
        reserve = RESERVED_BUDGET_FRACTION * self._sender.messages_per_second
        while reached < count and self._sender.refill_budget() > reserve:
            part = min(part, count - reached)
            peer = replica_sets.member(quota, own_position + 1 + reached)
            row = self._sender.pack_row(quota, part - 1)
            self.send_with_extra_rows(peer, [row], (quota.customer,))
            reached, part = reached + part, step

    def send_with_extra_rows(
        self, peer: int, rows: Iterable[bytes], customers: Collection[int]
    ) -> None:
        """Send rows on these customers, and fill the free space with rows on exhausted quotas.

        In a large fleet the message budget is too small for a message on each exhausted quota to
        each gateway of its replica set.
        """
        extra = islice(self.rows_of_exhausted(peer, customers), MAX_EXTRA_ROWS)
        self._sender.send(peer, gossip_codec.fit_rows(chain(rows, extra)))

    def rows_of_exhausted(self, peer: int, excluded: Collection[int]) -> Iterator[bytes]:
        """Yield rows on the exhausted quotas of customers that a peer serves, the latest first."""
        for customer in list(islice(reversed(self._counters.exhausted), MAX_ROWS_CONSIDERED)):
            quota = self._counters.customers[customer]
            if customer not in excluded and self._serves(peer, quota):
                yield self._sender.pack_row(quota, 0)

    def gossip_turn(self) -> None:
        """Send one random peer the pending changes of its customers, the least headroom first."""
        self._context.actions.append(SetTimer(GOSSIP_INTERVAL_US, GOSSIP_TURN))
        counters = self._counters
        counters.drop_idle()
        changed = counters.changed
        considered = [counters.customers[c] for c in islice(changed, MAX_ROWS_CONSIDERED)]
        for quota in considered:
            # A request may have reduced the replica set to this gateway alone: it has no peers.
            if quota.set_size < 2:
                del changed[quota.customer]
        if not changed:
            return
        peer = self._random_peer(counters.customers[next(iter(changed))])
        pending = [counters.customers[c] for c in islice(changed, MAX_ROWS_CONSIDERED)]
        shared = [quota for quota in pending if self._serves(peer, quota)]
        shared.sort(key=self._relative_headroom)
        rows = gossip_codec.fit_rows(self._sender.pack_row(quota, 0) for quota in shared)
        if self._sender.send(peer, rows, []):
            for quota in shared[: len(rows)]:
                del changed[quota.customer]

    def _random_peer(self, quota: CustomerQuota) -> int:
        replica_sets = self._replica_sets
        own_position = replica_sets.position(replica_sets.node_index, quota.set_first)
        distance = 1 + self._random.randrange(quota.set_size - 1)
        return replica_sets.member(quota, own_position + distance)

    def _serves(self, peer: int, quota: CustomerQuota) -> bool:
        return self._replica_sets.contains(peer, quota.set_first, quota.set_size)

    def _relative_headroom(self, quota: CustomerQuota) -> float:
        return quota.headroom / (self._plans[quota.plan].burst or 1.0)
