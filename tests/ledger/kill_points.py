"""A gateway that kills itself (SIGKILL) at one named step of a recorded request.

``python -m tests.ledger.kill_points STEP N`` runs one that does so the Nth time it reaches the step.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from typing import Any

from saffrongw.__main__ import main
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.upstream import cluster
from saffrongw.ledger import request_filter, store

Step = Callable[[], None]

# Index of the non-idempotent class in the scenario.
NON_IDEMPOTENT = 2


def kill_at(count: int) -> Step:
    """Return a step that kills the process when it is called for the ``count``-th time."""
    remaining = count

    def step() -> None:
        nonlocal remaining
        remaining -= 1
        if remaining == 0:
            os.kill(os.getpid(), signal.SIGKILL)

    return step


def wrap(owner: type, name: str, before: Step | None = None, after: Step | None = None) -> None:
    """Call steps before and after a method."""
    method = getattr(owner, name)

    def wrapped(*positional: Any, **named: Any) -> Any:
        if before:
            before()
        result = method(*positional, **named)
        if after:
            after()
        return result

    setattr(owner, name, wrapped)


def wrap_send(step: Step, after: bool) -> None:
    """Call a step before or after a non-idempotent request is written to a connection."""
    method = cluster.UpstreamConnection.start

    def begin(self: Any, attempt: Any, now: int) -> None:
        is_recorded = attempt.request.event.kind == NON_IDEMPOTENT
        if is_recorded and not after:
            step()
        method(self, attempt, now)
        if is_recorded and after:
            step()

    cluster.UpstreamConnection.start = begin


def wrap_answer(step: Step, after: bool) -> None:
    """Call a step before or after the final answer of a non-idempotent request."""
    method = Driver._send_final_reply

    def finish(self: Any, call: Any, reply: bytes) -> None:
        is_recorded = call.event.kind == NON_IDEMPOTENT and not call.is_finished
        if is_recorded and not after:
            step()
        method(self, call, reply)
        if is_recorded and after:
            step()

    Driver._send_final_reply = finish


LedgerFilter = request_filter.LedgerFilter
LedgerStore = store.LedgerStore

STEPS: dict[str, Callable[[Step], None]] = {
    "before-the-intent": lambda step: wrap(LedgerFilter, "record_and_send", before=step),
    "before-the-commit": lambda step: wrap(LedgerStore, "commit", before=step),
    "within-the-batch": lambda step: wrap(LedgerStore, "_insert", after=step),
    "after-the-commit": lambda step: wrap(LedgerStore, "commit", after=step),
    "before-the-first-byte": lambda step: wrap_send(step, after=False),
    "after-the-last-byte": lambda step: wrap_send(step, after=True),
    "before-the-outcome": lambda step: wrap(LedgerFilter, "attempt_ended", before=step),
    "after-the-outcome": lambda step: wrap(LedgerFilter, "attempt_ended", after=step),
    "before-the-answer": lambda step: wrap_answer(step, after=False),
    "after-the-answer": lambda step: wrap_answer(step, after=True),
    "within-recovery": lambda step: wrap(LedgerStore, "open_entries", after=step),
}

if __name__ == "__main__":
    STEPS[sys.argv[1]](kill_at(int(sys.argv[2])))
    sys.exit(main())
