"""The process's log: warnings and worse on standard error, with a bound on the lines a span."""

from __future__ import annotations

import logging

SPAN_S = 10.0
MAX_LINES_PER_SPAN = 50


class RateLimitedLogFilter(logging.Filter):
    """Passes so many lines a span and counts the rest: no fault can make the log grow fast."""

    def __init__(self) -> None:
        """Begin with the first line."""
        super().__init__()
        self.span_began_s = 0.0
        self.lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this line is written."""
        if record.created - self.span_began_s > SPAN_S:
            if self.lines > MAX_LINES_PER_SPAN:
                left_out = self.lines - MAX_LINES_PER_SPAN
                record.msg = f"({left_out} lines left out before) {record.msg}"
            self.span_began_s = record.created
            self.lines = 0
        self.lines += 1
        return self.lines <= MAX_LINES_PER_SPAN


def start_log() -> None:
    """Begin to write the log."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(RateLimitedLogFilter())
