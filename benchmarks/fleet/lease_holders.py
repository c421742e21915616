"""Record of lease holders by true time on the virtual clock, and of safety violations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from saffrongw.leases.claim import Claim
from saffrongw.leases.gateway_id import GatewayId


@dataclass(frozen=True, slots=True)
class Breach:
    """A safety violation, at a true time in us."""

    at_us: int
    text: str


class Gain(NamedTuple):
    """The acquisition of a lease by a node, at a true time in us."""

    at_us: int
    lease: str
    node: str
    fencing_token: int


class Holding(NamedTuple):
    """The fencing token of a held lease, and the true time in us at which it expires."""

    fencing_token: int
    until_us: int


class HolderLog:
    """All holders of all leases by true time, which no gateway can read."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.breaches: list[Breach] = []
        self.gains: list[Gain] = []
        self._highest_token: dict[str, int] = {}
        self._holders: dict[str, dict[GatewayId, Holding]] = {}

    def holder(self, lease: str, at_us: int) -> str | None:
        """Return who holds a lease."""
        for gateway, holding in self._holders.get(lease, {}).items():
            if holding.until_us > at_us:
                return gateway.name
        return None

    def record(
        self,
        at_us: int,
        gateway: GatewayId,
        claims: dict[str, Claim],
        true_time: Callable[[int], int],
    ) -> None:
        """Record what one node holds after a step; ``true_time`` converts times of its clock."""
        for lease, holders in self._holders.items():
            if gateway in holders and lease not in claims:
                del holders[gateway]
        for lease, claim in claims.items():
            holders = self._holders.setdefault(lease, {})
            previous = holders.get(gateway)
            if previous is None or previous.fencing_token != claim.fencing_token:
                self._gained(Gain(at_us, lease, gateway.name, claim.fencing_token))
            until_us = true_time(claim.held_until_us) - 1
            holders[gateway] = Holding(claim.fencing_token, until_us)
            self._check_others(at_us, gateway, claim, holders)

    def _gained(self, gain: Gain) -> None:
        self.gains.append(gain)
        highest = self._highest_token.get(gain.lease, 0)
        if gain.fencing_token <= highest:
            text = (
                f"{gain.node} acquired {gain.lease} with token {gain.fencing_token} after {highest}"
            )
            self.breaches.append(Breach(gain.at_us, text))
        self._highest_token[gain.lease] = max(gain.fencing_token, highest)

    def _check_others(
        self, at_us: int, gateway: GatewayId, claim: Claim, holders: dict[GatewayId, Holding]
    ) -> None:
        """Remove earlier holders, and record a breach for each that still holds the lease."""
        for other, holding in list(holders.items()):
            if other == gateway:
                continue
            earlier_incarnation = other.name == gateway.name
            if holding.until_us > at_us and not earlier_incarnation:
                text = (
                    f"{gateway} holds {claim.lease} with token {claim.fencing_token}"
                    f" while {other} holds it with token {holding.fencing_token}"
                )
                self.breaches.append(Breach(at_us, text))
            else:
                del holders[other]
