"""The ``saffrongw`` command line, and what its commands share."""

from __future__ import annotations

import sys
from collections.abc import Sequence

# Exit status for input that can't be used.
UNUSABLE = 2


def columns(rows: Sequence[Sequence[str]]) -> str:
    """Rows as a table, each column as wide as its widest cell; there must be a row."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(_line(row, widths) for row in rows)


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(cells).rstrip()


def unusable(why: object) -> int:
    """Say in one line on standard error what is wrong with the input; the exit status for it."""
    print(f"saffrongw: {why}", file=sys.stderr)
    return UNUSABLE
