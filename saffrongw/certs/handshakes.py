"""Which handshakes may begin, which wait, and which are given up: so that they can't starve requests. No I/O.

A handshake costs as much CPU as several requests, and anybody may ask for one. Two bounds hold:

- **places**: so many connections may be half open (accepted, no handshake finished). Beyond that the one that has
  stayed longest without a whole hello makes room; where all have sent theirs the new one is turned away.
- **budget**: handshakes together get a share of the core, as tokens in microseconds of CPU that refill with time. One
  that finds too few waits in line, and what it really cost is known once it ends: a resumed one gives most of it back.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000  # microseconds


@dataclass(frozen=True, slots=True)
class HandshakeLimits:
    """half_open: connections; within: us for a whole handshake; share: of the core; burst: us of CPU kept for a rush;
    full, resumed: us of CPU that one is expected to cost."""

    half_open: int = 256
    within: int = 5 * SECOND
    share: float = 0.25
    burst: int = 50_000
    full: int = 1_800  # measured: docs/notes/certs.md
    resumed: int = 1_400


class HandshakeStage(Enum):
    """Where a connection stands before it is open."""

    ASKED = "asked"  # no whole hello yet
    WAITING = "waiting"  # hello read, no tokens yet
    BEGUN = "begun"


class Handshakes:
    """All half-open connections by key, the oldest first. Times in us of one clock; each call hands its own in."""

    def __init__(self, bounds: HandshakeLimits, now: int) -> None:
        self.bounds, self.at = bounds, now
        self.tokens = float(bounds.burst)
        self.asked: OrderedDict[object, int] = OrderedDict()  # until when
        self.waiting: OrderedDict[object, int] = OrderedDict()
        self.begun: OrderedDict[object, int] = OrderedDict()
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self.asked) + len(self.waiting) + len(self.begun)

    def place(self, key: object) -> HandshakeStage | None:
        """Where this one stands; None: it is not half open."""
        for group, place in (
            (self.asked, HandshakeStage.ASKED),
            (self.waiting, HandshakeStage.WAITING),
            (self.begun, HandshakeStage.BEGUN),
        ):
            if key in group:
                return place
        return None

    def change(self, bounds: HandshakeLimits) -> None:
        """Other bounds from now on; what has begun keeps its time."""
        self.bounds = bounds
        self.tokens = min(self.tokens, float(bounds.burst))

    def _refill(self, now: int) -> None:
        if now > self.at:
            self.tokens = min(
                float(self.bounds.burst), self.tokens + (now - self.at) * self.bounds.share
            )
        self.at = max(self.at, now)

    def accept(self, now: int, key: object) -> tuple[bool, object | None]:
        """A new connection: whether it may stay, and which one has to go for it."""
        victim = None
        if len(self) >= self.bounds.half_open:
            if not self.asked:
                self.counts["turned away"] += 1
                return False, None
            victim, _ = self.asked.popitem(last=False)
            self.counts["made room"] += 1
        self.asked[key] = now + self.bounds.within
        return True, victim

    def ready(self, now: int, key: object) -> None:
        """Its hello is whole; ``begin`` tells when it may go on."""
        until = self.asked.pop(key, None)
        if until is not None:
            self.waiting[key] = until

    def unrationed(self, now: int, key: object) -> None:
        """Its hello is whole and it begins at once, for free: the checks of an authority, which are few."""
        if self.asked.pop(key, None) is not None:
            self.begun[key] = now + self.bounds.within

    def begin(self, now: int) -> list[object]:
        """Those that begin now, in the order in which their hellos came."""
        self._refill(now)
        found = []
        while self.waiting and self.tokens >= min(self.bounds.full, self.bounds.burst):
            key, until = self.waiting.popitem(last=False)
            self.tokens -= self.bounds.full
            self.begun[key] = until
            found.append(key)
        return found

    def done(self, now: int, key: object, resumed: bool) -> None:
        """It succeeded."""
        if self.begun.pop(key, None) is not None:
            self.counts["resumed" if resumed else "full"] += 1
            if resumed:
                self.tokens = min(
                    float(self.bounds.burst), self.tokens + self.bounds.full - self.bounds.resumed
                )

    def gone(self, key: object, why: str = "failed") -> None:
        """It failed, or its client left: what it cost is spent."""
        for group in (self.asked, self.waiting, self.begun):
            if group.pop(key, None) is not None:
                self.counts[why] += 1
                return

    def late(self, now: int) -> list[object]:
        """Those whose time is up before they began; they are half open no more. One that has begun ends by itself."""
        found = []
        for group in (self.asked, self.waiting):
            while group and next(iter(group.values())) <= now:
                key, _ = group.popitem(last=False)
                self.counts["late"] += 1
                found.append(key)
        return found

    def left(self, now: int, key: object) -> int:
        """Microseconds that this one has left."""
        for group in (self.asked, self.waiting, self.begun):
            if key in group:
                return max(0, group[key] - now)
        return 0

    def next_at(self, now: int) -> int | None:
        """When to ask again: the first that is late, or tokens for the first that waits. None: nothing waits."""
        times = [next(iter(g.values())) for g in (self.asked, self.waiting) if g]
        if self.waiting:
            self._refill(now)
            missing = max(0.0, min(self.bounds.full, self.bounds.burst) - self.tokens)
            times.append(now + int(missing / self.bounds.share) + 1)
        return min(times, default=None)
