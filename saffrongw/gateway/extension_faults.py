"""Isolates the request path from exceptions in request filters and observers."""

from __future__ import annotations

import logging
from collections import Counter
from types import TracebackType

log = logging.getLogger(__name__)


class ExtensionFaults:
    """Counts faults by the name of the filter or observer, and logs each."""

    def __init__(self) -> None:
        """Start with all counts at 0."""
        self.counts: Counter[str] = Counter()

    def record(self, name: str, error: BaseException) -> None:
        """Count and log one fault."""
        self.counts[name] += 1
        log.warning("extensions: fault: name=%s error=%.200r", name, error)

    def guard(self, name: str) -> FaultGuard:
        """Return a context manager that records a fault of this extension instead of raising it."""
        return FaultGuard(self, name)


class FaultGuard:
    """Records an exception instead of raising it; cancellation is raised."""

    __slots__ = ("faults", "has_failed", "name")

    def __init__(self, faults: ExtensionFaults, name: str) -> None:
        """Record faults in ``faults``, under this name."""
        self.faults = faults
        self.name = name
        self.has_failed = False

    def __enter__(self) -> FaultGuard:
        """Return the guard, whose ``has_failed`` shows whether a fault was recorded."""
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> bool:
        """Record an exception; return whether it is suppressed."""
        if not isinstance(error, Exception):
            return False
        self.has_failed = True
        self.faults.record(self.name, error)
        return True
