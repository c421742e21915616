"""What must happen before the program's other imports: the start time, and SIGHUP blocked."""

from __future__ import annotations

import signal
import time

# Unix time at which this module was imported, as near to the process's start as Python can tell.
PROCESS_STARTED_US = time.time_ns() // 1_000
# Imports take less; a larger difference means that the wall clock was set meanwhile.
MAX_IMPORT_TIME_US = 5_000_000


def block_sighup() -> None:
    """Keep SIGHUP pending until the process can carry it out.

    Ignored, it would be lost although the file may have been read before it; unhandled, it would
    end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def process_started_us(now: int) -> int:
    """The earliest time at which this process can have sent anything (us; ``now``: wall clock)."""
    is_believable = 0 <= now - PROCESS_STARTED_US <= MAX_IMPORT_TIME_US
    return PROCESS_STARTED_US if is_believable else now
