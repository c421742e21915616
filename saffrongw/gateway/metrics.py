"""Counters of this process since its start, and their text format."""

from __future__ import annotations

from collections.abc import Sequence

# Prefix of all metric names; operators' tools expect it.
NAME_PREFIX = "svc"

MetricRow = tuple[str, int]


class Metrics:
    """Counts of final replies by request class, of attempts sent completely, and of reloads."""

    __slots__ = ("attempts", "busy", "failed", "reloads", "reloads_failed", "served")

    def __init__(self, class_count: int) -> None:
        """Start with all counts at 0."""
        self.served = [0] * class_count
        self.busy = [0] * class_count
        self.failed = [0] * class_count
        self.attempts = 0
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
        ]


def render(rows: Sequence[MetricRow]) -> bytes:
    """Format the rows as lines ``svc.NAME=VALUE``."""
    return "".join(f"{NAME_PREFIX}.{name}={value}\n" for name, value in rows).encode()
