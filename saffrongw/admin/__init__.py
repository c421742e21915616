"""The ``saffrongw`` command line. This module has what its commands share."""

from __future__ import annotations

import sys
from collections.abc import Sequence

# Exit status for input that can't be used.
INPUT_ERROR_STATUS = 2


def columns(rows: Sequence[Sequence[str]]) -> str:
    """Return rows as a table with aligned columns; there must be at least one row."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(_line(row, widths) for row in rows)


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(cells).rstrip()


def input_error(reason: object) -> int:
    """Print on standard error what is wrong with the input; return the exit status for it."""
    print(f"saffrongw: {reason}", file=sys.stderr)
    return INPUT_ERROR_STATUS
