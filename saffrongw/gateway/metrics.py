"""What this process has done since its start, counted where it happens, as operators fetch it."""

from __future__ import annotations

from collections.abc import Sequence

PREFIX = "svc"


class Metrics:
    """Counts of final answers by class, and of attempts written whole to hosts."""

    __slots__ = ("attempts", "busy", "failed", "reloads", "reloads_failed", "served")

    def __init__(self, classes: int) -> None:
        self.served, self.busy, self.failed = [0] * classes, [0] * classes, [0] * classes
        self.attempts = 0
        self.reloads = self.reloads_failed = 0

    def answered(self, kind: int, reply: bytes) -> None:
        """One final answer to a request of a class."""
        if reply[:1] in (b"$", b"*"):
            self.served[kind] += 1
        elif reply[:5] == b"-BUSY":
            self.busy[kind] += 1
        else:
            self.failed[kind] += 1

    def lines(
        self, classes: Sequence[str], inflight: int, hosts_listed: int, hosts_down: int
    ) -> list[tuple[str, int]]:
        """Names and values: counts of requests and attempts since the start, requests and hosts as of now."""
        found = []
        for kind, name in enumerate(classes):
            found.append((f"success.{name}", self.served[kind]))
            found.append((f"busy.{name}", self.busy[kind]))
            found.append((f"failure.{name}", self.failed[kind]))
        return [
            *found,
            ("backend_calls", self.attempts),
            ("inflight", inflight),
            ("hosts_listed", hosts_listed),
            ("hosts_down", hosts_down),
            ("reconfig_ok", self.reloads),
            ("reconfig_failed", self.reloads_failed),
        ]


def text(lines: Sequence[tuple[str, int]]) -> bytes:
    """One ``svc.NAME=VALUE`` a line."""
    return "".join(f"{PREFIX}.{name}={value}\n" for name, value in lines).encode()
