"""When this process began, as near as Python can tell: imported before all else, as the rest takes its time to load."""

from __future__ import annotations

import signal
import time

BORN = time.time_ns() // 1_000  # us, Unix time
LOAD_MOST = 5_000_000  # us: a wall clock that was set meanwhile is not believed further than that


def block_sighup() -> None:
    """SIGHUP waits until it can be carried out: ignored, it would be lost though the file may have been read before;
    unheeded, it would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def process_started_us(now: int) -> int:
    """From when on no earlier process of this gateway can have sent anything (us; ``now`` by the wall clock)."""
    return BORN if 0 <= now - BORN <= LOAD_MOST else now
