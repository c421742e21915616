"""The process's log: warnings and errors on standard error, rate-limited."""

from __future__ import annotations

import logging

# The rate limit of the log: lines per window, and the window's length.
WINDOW_S = 10.0
MAX_LINES_PER_WINDOW = 50


class RateLimitedLogFilter(logging.Filter):
    """Limits the lines per window and counts those omitted, so that no fault floods the log."""

    def __init__(self) -> None:
        """Start the first window with the first line."""
        super().__init__()
        self.window_started_s = 0.0
        self.lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether this line is written."""
        if record.created - self.window_started_s > WINDOW_S:
            if self.lines > MAX_LINES_PER_WINDOW:
                omitted = self.lines - MAX_LINES_PER_WINDOW
                record.msg = f"({omitted} lines left out before) {record.msg}"
            self.window_started_s = record.created
            self.lines = 0
        self.lines += 1
        return self.lines <= MAX_LINES_PER_WINDOW


def configure_logging() -> None:
    """Configure logging for the process."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(RateLimitedLogFilter())
