"""Files by which the command line leaves events to the gateway that holds the ledger.

A file is complete once it is called ``.jsonl``. The gateway renames it to ``.done`` once what it
holds is on the disk, or to ``.bad`` where it can't be read.
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

# Files that are taken at once, and lines of a file that are read.
MAX_FILES = 4
MAX_LINES = 10_000
# Between two looks whether a file was taken.
DONE_INTERVAL_S = 0.05


class Inbox:
    """The inbox of one ledger's folder."""

    def __init__(self, folder: Path) -> None:
        """Use the inbox below a ledger's folder; it is created when the first file is left."""
        self.folder = folder / INBOX_NAME

    def take(
        self,
        entry_of: Callable[[EntryKey], Entry | None],
        commit: Callable[[list[Event]], None],
    ) -> int:
        """Write events that still fit their entries; return how many there were."""
        written = 0
        for path in sorted(self.folder.glob("*.jsonl"))[:MAX_FILES]:
            try:
                lines = path.read_text().splitlines()[:MAX_LINES]
                found = [_valid_event(InboxLine(json.loads(line)), entry_of) for line in lines]
            except (OSError, *INBOX_ERRORS):
                path.rename(path.with_suffix(".bad"))
                continue
            events = [event for event in found if event is not None]
            if events:
                commit(events)
            written += len(events)
            path.rename(path.with_suffix(".done"))
        return written

    def leave(self, events: Iterable[Event], timeout_s: float) -> bool:
        """Leave events to the gateway; return whether it has written them within the time."""
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
            time.sleep(DONE_INTERVAL_S)
        return False


def _valid_event(line: InboxLine, entry_of: Callable[[EntryKey], Entry | None]) -> Event | None:
    """Return the event of an entry that may have run, at an endpoint to which it was sent.

    None where that has changed since the command line read the ledger.
    """
    entry = entry_of(line.key)
    if entry is None or entry.status is not ExecutionStatus.MAY_HAVE_RUN:
        return None
    if line.endpoint not in {attempt.endpoint for attempt in entry.attempts.values()}:
        return None
    return line.to_event(now_us())
