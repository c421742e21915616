"""One customer's state at a gateway: quota counters, rate ceiling units and pending grants."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class CounterEntry(NamedTuple):
    """One gateway's grow-only counter: the units that it admitted since its start.

    The start, in ticks of ``gossip_codec.TICK_MS``, identifies the incarnation. Entries compare by
    start, then by units, so that the greater of two entries is the newer one.
    """

    start_tick: int
    units: float


class PendingGrant(NamedTuple):
    """Units of a rate ceiling that a gateway waits for, and since when."""

    since_us: int
    units: float


@dataclass(slots=True)
class CustomerQuota:
    """One gateway's state of one customer; quotas and ceilings are in the same units."""

    customer: int
    plan: int
    # The customer's replica set: its first gateway and the number of gateways.
    set_first: int
    set_size: int
    # The quota's limit on ``spent_units``, which rises at the plan's rate.
    limit: float
    refilled_at_us: int
    # Each gateway's counter by node index.
    counters: dict[int, CounterEntry] = field(default_factory=dict)
    # The growth of all counters that this gateway has seen, earlier incarnations included.
    counted_units: float = 0.0
    # All units known to be spent: those counted here, or a greater total that a peer has sent.
    spent_units: float = 0.0
    # Node indices whose counters changed last, the latest at the end.
    recent_nodes: tuple[int, ...] = ()
    # Whether no other gateway has sent anything about the customer yet.
    is_unconfirmed: bool = True
    in_flight: int = 0
    # When the latest admissions by other gateways became known here.
    remote_admissions_us: tuple[int, ...] = ()
    last_broadcast_us: int = 0
    # Units of the rate ceiling that this gateway may spend, and those that it has requested from
    # the coordinator and not received.
    ceiling_units: float = 0.0
    requested_grants: float = 0.0
    # Send time of the last accepted token grants, by the sender's clock.
    last_grant_sent_ms: int = 0
    # Units of the requests that wait for token grants, by request.
    waiting_requests: dict[int, float] = field(default_factory=dict)
    # Token grants that this gateway, as the coordinator, has not sent yet, by node index.
    pending_grants: dict[int, PendingGrant] = field(default_factory=dict)
    last_admitted_us: int = 0
    # This gateway's fraction of the customer's spent units, as of the last time that it could reach
    # its peers; None if unknown.
    local_usage_fraction: float | None = None
    # Whether the quota was nearly spent: requests are rejected until enough of it has refilled.
    is_exhausted: bool = False

    @property
    def headroom(self) -> float:
        """The units of the quota that may be admitted now."""
        return self.limit - self.spent_units
