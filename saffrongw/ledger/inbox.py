"""Files in which the command line submits events to the gateway that has the ledger open.

A file is complete once it is named ``.jsonl``. The gateway renames it to ``.done`` once its events
are durable, or to ``.bad`` where it can't be read.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from .entries import Entry, ExecutionStatus
from .events import INBOX_ERRORS, EntryKey, Event, InboxLine, to_inbox_line
from .schema import INBOX_NAME, now_us

# Files that one pass processes, and lines that are read of each.
MAX_FILES = 4
MAX_LINES = 10_000
# Between two looks whether a submitted file is done.
DONE_POLL_S = 0.05


class Inbox:
    """The inbox in the folder of one ledger."""

    def __init__(self, folder: Path) -> None:
        """Use the inbox in a ledger's folder; it is created when the first file is submitted."""
        self.folder = folder / INBOX_NAME

    def process(
        self,
        find_entry: Callable[[EntryKey], Entry | None],
        commit: Callable[[list[Event]], None],
    ) -> int:
        """Commit the events that still fit their entries; return their number."""
        written = 0
        for path in sorted(self.folder.glob("*.jsonl"))[:MAX_FILES]:
            try:
                lines = path.read_text().splitlines()[:MAX_LINES]
                found = [_valid_event(InboxLine(json.loads(line)), find_entry) for line in lines]
            except (OSError, *INBOX_ERRORS):
                path.rename(path.with_suffix(".bad"))
                continue
            events = [event for event in found if event is not None]
            if events:
                commit(events)
            written += len(events)
            path.rename(path.with_suffix(".done"))
        return written

    def submit(self, events: Iterable[Event], timeout_s: float) -> bool:
        """Submit events to the gateway; return whether it has processed them before the timeout."""
        self.folder.mkdir(mode=0o700, exist_ok=True)
        path = self.folder / f"{now_us()}-{os.getpid()}.jsonl"
        unfinished = path.with_suffix(".part")
        flags = os.O_CREAT | os.O_WRONLY | os.O_EXCL
        with os.fdopen(os.open(unfinished, flags, 0o600), "w") as file:
            file.write("\n".join(to_inbox_line(event) for event in events) + "\n")
        unfinished.rename(path)
        done = path.with_suffix(".done")
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if done.exists():
                done.unlink()
                return True
            time.sleep(DONE_POLL_S)
        return False


def _valid_event(line: InboxLine, find_entry: Callable[[EntryKey], Entry | None]) -> Event | None:
    """Return the event of a line, if its entry may have run and has an attempt to its endpoint.

    None where this no longer holds: the entry may have changed since the command line read it.
    """
    entry = find_entry(line.key)
    if entry is None or entry.status is not ExecutionStatus.MAY_HAVE_RUN:
        return None
    if line.endpoint not in {attempt.endpoint for attempt in entry.attempts.values()}:
        return None
    return line.to_event(now_us())
