"""Admission of TLS handshakes, so that they cannot starve requests. No I/O.

A handshake costs as much CPU as several requests, and any client can start one. There are two
limits:

- Half-open connections: the number of accepted connections whose handshake has not finished. At
  the limit, a new connection evicts the one that has waited longest for a complete ClientHello;
  if all of them have sent theirs, the new connection is rejected.
- CPU: a token bucket in microseconds limits all handshakes together to a share of the core. A
  handshake without enough tokens is queued. It is charged as a full handshake when it begins; a
  resumed one gets the difference back when it ends.

The caller passes in all times, in microseconds of one clock.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

SECOND = 1_000_000  # microseconds

Connection = TypeVar("Connection", bound=Hashable)


@dataclass(frozen=True, slots=True)
class HandshakeLimits:
    """Limits on connections whose handshake has not finished.

    ``cpu_share`` is a share of the core, ``burst_us`` the size of the token bucket. The expected
    costs of full and resumed handshakes were measured (docs/notes/certs.md).
    """

    max_half_open: int = 256
    timeout_us: int = 5 * SECOND
    cpu_share: float = 0.25
    burst_us: int = 50_000
    full_cost_us: int = 1_800
    resumed_cost_us: int = 1_400


class HandshakeStage(Enum):
    """The state of a connection before its handshake has finished."""

    AWAITING_HELLO = "asked"
    QUEUED = "waiting"
    RUNNING = "begun"


class AcceptResult(NamedTuple):
    """Whether a new connection may stay, and the connection that was evicted for it."""

    accepted: bool
    evicted: Hashable | None


class Handshakes(Generic[Connection]):
    """All half-open connections, the oldest first, each with its deadline."""

    def __init__(self, limits: HandshakeLimits, now: int) -> None:
        """Start with a full token bucket."""
        self.limits, self.refilled_at = limits, now
        self.tokens = float(limits.burst_us)
        self.awaiting_hello: OrderedDict[Connection, int] = OrderedDict()
        self.queued: OrderedDict[Connection, int] = OrderedDict()
        self.running: OrderedDict[Connection, int] = OrderedDict()
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of half-open connections."""
        return len(self.awaiting_hello) + len(self.queued) + len(self.running)

    def stage(self, connection: Connection) -> HandshakeStage | None:
        """Return the stage of a connection, or None if it is not half-open."""
        if connection in self.awaiting_hello:
            return HandshakeStage.AWAITING_HELLO
        if connection in self.queued:
            return HandshakeStage.QUEUED
        return HandshakeStage.RUNNING if connection in self.running else None

    def reconfigure(self, limits: HandshakeLimits) -> None:
        """Apply other limits; running handshakes keep their deadlines."""
        self.limits = limits
        self.tokens = min(self.tokens, float(limits.burst_us))

    def _refill(self, now: int) -> None:
        if now > self.refilled_at:
            gained = (now - self.refilled_at) * self.limits.cpu_share
            self.tokens = min(float(self.limits.burst_us), self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def accept(self, now: int, connection: Connection) -> AcceptResult:
        """Accept a new connection, evicting another one at the limit, or reject it."""
        evicted = None
        if len(self) >= self.limits.max_half_open:
            if not self.awaiting_hello:
                self.counts["turned away"] += 1
                return AcceptResult(False, None)
            evicted, _ = self.awaiting_hello.popitem(last=False)
            self.counts["made room"] += 1
        self.awaiting_hello[connection] = now + self.limits.timeout_us
        return AcceptResult(True, evicted)

    def hello_received(self, connection: Connection) -> None:
        """Queue a connection whose ClientHello is complete until ``begin`` returns it."""
        deadline = self.awaiting_hello.pop(connection, None)
        if deadline is not None:
            self.queued[connection] = deadline

    def begin_unlimited(self, now: int, connection: Connection) -> None:
        """Begin a handshake at once without taking tokens.

        This is for validations by an authority, which are few.
        """
        if self.awaiting_hello.pop(connection, None) is not None:
            self.running[connection] = now + self.limits.timeout_us

    def begin(self, now: int) -> list[Connection]:
        """Dequeue and return the connections whose handshakes begin now, oldest hello first."""
        self._refill(now)
        begun = []
        while self.queued and self.tokens >= self._needed_tokens():
            connection, deadline = self.queued.popitem(last=False)
            self.tokens -= self.limits.full_cost_us
            self.running[connection] = deadline
            begun.append(connection)
        return begun

    def _needed_tokens(self) -> int:
        return min(self.limits.full_cost_us, self.limits.burst_us)

    def succeeded(self, connection: Connection, resumed: bool) -> None:
        """Count a finished handshake; return the unused tokens of a resumed one."""
        if self.running.pop(connection, None) is None:
            return
        self.counts["resumed" if resumed else "full"] += 1
        if resumed:
            unused = self.limits.full_cost_us - self.limits.resumed_cost_us
            self.tokens = min(float(self.limits.burst_us), self.tokens + unused)

    def ended(self, connection: Connection, reason: str = "failed") -> None:
        """Count a failed handshake or one whose client left; its tokens are not returned."""
        for group in (self.awaiting_hello, self.queued, self.running):
            if group.pop(connection, None) is not None:
                self.counts[reason] += 1
                return

    def expire(self, now: int) -> list[Connection]:
        """Remove and return connections whose deadline passed before their handshake began."""
        expired = []
        for group in (self.awaiting_hello, self.queued):
            while group and next(iter(group.values())) <= now:
                connection, _ = group.popitem(last=False)
                self.counts["late"] += 1
                expired.append(connection)
        return expired

    def remaining_us(self, now: int, connection: Connection) -> int:
        """Return the microseconds until a connection's deadline."""
        for group in (self.awaiting_hello, self.queued, self.running):
            if connection in group:
                return max(0, group[connection] - now)
        return 0

    def next_at(self, now: int) -> int | None:
        """Return when the next deadline or refill is due; None if no connection waits."""
        times = [
            next(iter(group.values())) for group in (self.awaiting_hello, self.queued) if group
        ]
        if self.queued:
            self._refill(now)
            missing = max(0.0, self._needed_tokens() - self.tokens)
            times.append(now + int(missing / self.limits.cpu_share) + 1)
        return min(times, default=None)
