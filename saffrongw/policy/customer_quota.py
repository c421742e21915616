"""The record of one customer: counters, limit, rate ceiling and the requests that wait for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class CounterEntry(NamedTuple):
    """One gateway's grow-only counter: the start of its incarnation and the units it admitted.

    The start is in ticks of ``gossip_codec.TICK_MS``. Entries compare by start, then by units, so
    that the larger of two is the newer one.
    """

    start_tick: int
    units: float


class PendingGrant(NamedTuple):
    """Token grants that a gateway waits for: since when, and how many units."""

    since_us: int
    units: float


@dataclass(slots=True)
class CustomerQuota:
    """What one gateway knows of one customer; units are those of the customer's plan."""

    customer: int
    plan: int
    # The customer's replica set: its first gateway and how many there are.
    set_first: int
    set_size: int
    # The limit rises at the plan's rate; the headroom is what it exceeds the spent units by.
    limit: float
    refilled_at_us: int
    # Counters by node index.
    counters: dict[int, CounterEntry] = field(default_factory=dict)
    # The sum of all growth of the counters, those of earlier incarnations included.
    counted_units: float = 0.0
    # All units known to be spent: the counters, and what other gateways counted besides.
    spent_units: float = 0.0
    # Node indices whose counters changed last, the latest at the end.
    recent_nodes: tuple[int, ...] = ()
    # No other gateway has sent anything about the customer yet.
    is_unconfirmed: bool = True
    in_flight: int = 0
    # When the latest admissions of other gateways became known.
    remote_admissions_us: tuple[int, ...] = ()
    last_broadcast_us: int = 0
    # Units that the rate ceiling lets this gateway admit, and those it requested and still lacks.
    ceiling_units: float = 0.0
    requested_grants: float = 0.0
    # When the token grants that came last were sent.
    last_grant_sent_ms: int = 0
    # Requests that wait for token grants: their units.
    waiting_requests: dict[int, float] = field(default_factory=dict)
    # Token grants that this gateway, as the coordinator, has still to send: by node index.
    pending_grants: dict[int, PendingGrant] = field(default_factory=dict)
    last_admitted_us: int = 0
    # This gateway's part of the use while it could reach the others; None: not known.
    local_usage_part: float | None = None
    # Nearly all was spent: requests are rejected until a good part has been refilled.
    is_exhausted: bool = False

    @property
    def headroom(self) -> float:
        """The units that may be admitted now."""
        return self.limit - self.spent_units
