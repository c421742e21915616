"""Steps that must precede the program's other imports: note the start time, block SIGHUP."""

from __future__ import annotations

import signal
import time

# Unix time at which this module was imported: the earliest time that Python code can read.
PROCESS_STARTED_US = time.time_ns() // 1_000
# Imports take less time; a larger difference means that the wall clock was set meanwhile.
MAX_IMPORT_TIME_US = 5_000_000


def block_sighup() -> None:
    """Keep SIGHUP pending until the process can handle it.

    If it were ignored, a change of the file after it was read would be missed; if it were neither
    ignored nor handled, it would end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def process_started_us(now_us: int) -> int:
    """Return the earliest time at which this process can have sent anything.

    ``now_us`` is the wall clock's time.
    """
    is_believable = 0 <= now_us - PROCESS_STARTED_US <= MAX_IMPORT_TIME_US
    return PROCESS_STARTED_US if is_believable else now_us
