"""Metrics that this process has counted since its start, and their text form."""

from __future__ import annotations

from collections.abc import Sequence

# Before each name, as operators' tools know it.
NAME_PREFIX = "svc"

MetricRow = tuple[str, int]


class Metrics:
    """Counts of final answers by request class, of attempts sent in full, and of reloads."""

    __slots__ = ("attempts", "busy", "failed", "reloads", "reloads_failed", "served")

    def __init__(self, class_count: int) -> None:
        """All counts are 0."""
        self.served = [0] * class_count
        self.busy = [0] * class_count
        self.failed = [0] * class_count
        self.attempts = 0
        self.reloads = 0
        self.reloads_failed = 0

    def answered(self, kind: int, reply: bytes) -> None:
        """Count one final answer to a request of a class, by the type of its RESP reply."""
        if reply[:1] in (b"$", b"*"):
            self.served[kind] += 1
        elif reply[:5] == b"-BUSY":
            self.busy[kind] += 1
        else:
            self.failed[kind] += 1

    def rows(
        self, class_names: Sequence[str], inflight: int, hosts_listed: int, hosts_down: int
    ) -> list[MetricRow]:
        """Names and values; the arguments are what the gateway's other parts count as of now."""
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
    """One ``svc.NAME=VALUE`` a line."""
    return "".join(f"{NAME_PREFIX}.{name}={value}\n" for name, value in rows).encode()
