"""What is in force, asked and changed; the ``saffrongw`` command line."""

from __future__ import annotations

import sys
from collections.abc import Sequence

UNUSABLE = 2  # exit status for input that can't be used


def columns(rows: Sequence[Sequence[str]]) -> str:
    """Rows as a table, each column as wide as its widest cell."""
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in rows
    )


def unusable(why: object) -> int:
    """One line that says what is wrong; the exit status for it."""
    print(f"saffrongw: {why}", file=sys.stderr)
    return UNUSABLE
