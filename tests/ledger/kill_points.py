"""A gateway that kills itself (SIGKILL) at one named step of the ledger's way, at the nth time it comes there:
``python -m tests.ledger.kill_points STEP N``.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable

from saffrongw.__main__ import main
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.upstream.connection import UpstreamConnection
from saffrongw.ledger import request_filter, store


def at(number: int) -> Callable[[], None]:
    """Dies when it is called so many times."""
    left = number

    def step() -> None:
        nonlocal left
        left -= 1
        if left == 0:
            os.kill(os.getpid(), signal.SIGKILL)

    return step


def around(
    owner,
    name: str,
    before: Callable[[], None] | None = None,
    after: Callable[[], None] | None = None,
) -> None:
    """Put steps round a method."""
    plain = getattr(owner, name)

    def wrapped(*given, **more):
        if before:
            before()
        found = plain(*given, **more)
        if after:
            after()
        return found

    setattr(owner, name, wrapped)


def unsafe_begin(step: Callable[[], None], after: bool) -> None:
    """Round the write of an unsafe request to a host's connection."""
    plain = UpstreamConnection.start

    def begin(self, attempt, now) -> None:
        unsafe = attempt.request.event.kind == 2
        if unsafe and not after:
            step()
        plain(self, attempt, now)
        if unsafe and after:
            step()

    UpstreamConnection.start = begin


def answer(step: Callable[[], None], after: bool) -> None:
    """Round the final answer of an unsafe request."""
    plain = Driver._send_final_reply

    def finish(self, call, reply) -> None:
        unsafe = call.event.kind == 2 and not call.is_finished
        if unsafe and not after:
            step()
        plain(self, call, reply)
        if unsafe and after:
            step()

    Driver._send_final_reply = finish


STEPS: dict[str, Callable[[Callable[[], None]], None]] = {
    "before-the-intent": lambda step: around(request_filter.LedgerFilter, "intend", before=step),
    "before-the-commit": lambda step: around(store.Store, "commit", before=step),
    "within-the-batch": lambda step: around(store.Store, "_insert", after=step),
    "after-the-commit": lambda step: around(store.Store, "commit", after=step),
    "before-the-first-byte": lambda step: unsafe_begin(step, after=False),
    "after-the-last-byte": lambda step: unsafe_begin(step, after=True),
    "before-the-outcome": lambda step: around(
        request_filter.LedgerFilter, "attempt_ended", before=step
    ),
    "after-the-outcome": lambda step: around(
        request_filter.LedgerFilter, "attempt_ended", after=step
    ),
    "before-the-answer": lambda step: answer(step, after=False),
    "after-the-answer": lambda step: answer(step, after=True),
    "within-recovery": lambda step: around(store.Store, "open_entries", after=step),
}

if __name__ == "__main__":
    STEPS[sys.argv[1]](at(int(sys.argv[2])))
    sys.exit(main())
