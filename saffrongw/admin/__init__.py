"""What is in force, asked and changed; the ``saffrongw`` command line."""

from __future__ import annotations

import sys

UNUSABLE = 2  # exit status for input that can't be used


def unusable(why: object) -> int:
    """One line that says what is wrong; the exit status for it."""
    print(f"saffrongw: {why}", file=sys.stderr)
    return UNUSABLE
