"""Keeps what goes wrong inside request filters and observers out of the request path."""

from __future__ import annotations

import logging
from collections import Counter
from types import TracebackType

log = logging.getLogger(__name__)


class ExtensionFaults:
    """Counts faults by the name of the filter or observer, and logs each."""

    def __init__(self) -> None:
        """Start without faults."""
        self.counts: Counter[str] = Counter()

    def record(self, name: str, error: BaseException) -> None:
        """Count and log one fault."""
        self.counts[name] += 1
        log.warning("extensions: fault: name=%s error=%.200r", name, error)

    def guard(self, name: str) -> FaultGuard:
        """Return a context in which a fault of this filter or observer is recorded, not raised."""
        return FaultGuard(self, name)


class FaultGuard:
    """Records an exception instead of raising it; cancellation is none of these."""

    __slots__ = ("faults", "has_failed", "name")

    def __init__(self, faults: ExtensionFaults, name: str) -> None:
        """Record faults here, under this name."""
        self.faults = faults
        self.name = name
        self.has_failed = False

    def __enter__(self) -> FaultGuard:
        """Return itself, for ``has_failed``."""
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> bool:
        """Record what was raised; return whether it ends here."""
        if not isinstance(error, Exception):
            return False
        self.has_failed = True
        self.faults.record(self.name, error)
        return True
