"""Counters of this process since its start, and their text format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from ..policy.events import AttemptOutcome
from .reasons import CloseReason, RejectionReason

# Prefix of all metric names; operators' tools expect it.
NAME_PREFIX = "svc"

MetricRow = tuple[str, int]


class Metrics:
    """Counts of replies, attempts and reloads, and of closed connections and rejections by reason.

    Final replies are counted by request class; ``attempts`` are those that were sent completely.
    """

    __slots__ = (
        "attempts",
        "busy",
        "closed",
        "failed",
        "outcomes",
        "rejected",
        "reloads",
        "reloads_failed",
        "served",
    )

    def __init__(self, class_count: int) -> None:
        """Start with all counts at 0."""
        self.served = [0] * class_count
        self.busy = [0] * class_count
        self.failed = [0] * class_count
        self.attempts = 0
        self.outcomes: Counter[AttemptOutcome] = Counter()
        self.closed: Counter[CloseReason] = Counter()
        self.rejected: Counter[RejectionReason] = Counter()
        self.reloads = 0
        self.reloads_failed = 0

    def count_reply(self, kind: int, reply: bytes) -> None:
        """Count a final reply to a request of a class, by the type of the RESP reply."""
        if reply[:1] in (b"$", b"*"):
            self.served[kind] += 1
        elif reply[:5] == b"-BUSY":
            self.busy[kind] += 1
        else:
            self.failed[kind] += 1

    def count_rejection(self, kind: int, reason: RejectionReason) -> None:
        """Count a request of a class that was rejected before the policy saw it."""
        self.busy[kind] += 1
        self.rejected[reason] += 1

    def rows(
        self, class_names: Sequence[str], inflight: int, hosts_listed: int, hosts_down: int
    ) -> list[MetricRow]:
        """Return names and values; the arguments are current values from other components."""
        rows: list[MetricRow] = []
        for kind, name in enumerate(class_names):
            rows.append((f"success.{name}", self.served[kind]))
            rows.append((f"busy.{name}", self.busy[kind]))
            rows.append((f"failure.{name}", self.failed[kind]))
        return [
            *rows,
            ("backend_calls", self.attempts),
            ("inflight", inflight),
            ("hosts_listed", hosts_listed),
            ("hosts_down", hosts_down),
            ("reconfig_ok", self.reloads),
            ("reconfig_failed", self.reloads_failed),
            *((f"attempt_{each.name.lower()}", self.outcomes[each]) for each in AttemptOutcome),
            *((f"client_closed_{each.value}", self.closed[each]) for each in CloseReason),
            *((f"rejected_{each.value}", self.rejected[each]) for each in RejectionReason),
        ]


def render(rows: Sequence[MetricRow]) -> bytes:
    """Format the rows as lines ``svc.NAME=VALUE``."""
    return "".join(f"{NAME_PREFIX}.{name}={value}\n" for name, value in rows).encode()
