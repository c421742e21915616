"""Which gateways serve a customer, and which of them coordinates its quota."""

from __future__ import annotations

from .customer_quota import CustomerQuota

# Multiplicative hash of the customer's number: spreads coordinators evenly over the replica sets.
COORDINATOR_HASH_FACTOR = 2_654_435_761


class ReplicaSets:
    """Membership and positions in replica sets, which are ranges of node indices that wrap around.

    ``node_index`` is this gateway's own.
    """

    def __init__(self, node_index: int, node_count: int) -> None:
        """Take this gateway's index and the size of the fleet."""
        self.node_index = node_index
        self.node_count = node_count

    def coordinator(self, quota: CustomerQuota, candidate: int = 0) -> int:
        """Return the customer's coordinator (candidate 0) or one of those that may replace it."""
        position = (quota.customer * COORDINATOR_HASH_FACTOR >> 16) + candidate
        return (quota.set_first + position % quota.set_size) % self.node_count

    def member(self, quota: CustomerQuota, position: int) -> int:
        """Return the node index at a position of the customer's replica set, which wraps around."""
        return (quota.set_first + position % quota.set_size) % self.node_count

    def position(self, node_index: int, set_first: int) -> int:
        """Return a node's offset from the first gateway of a replica set."""
        return (node_index - set_first) % self.node_count

    def contains(self, node_index: int, set_first: int, set_size: int) -> bool:
        """Return whether a replica set contains a node."""
        return (node_index - set_first) % self.node_count < set_size
