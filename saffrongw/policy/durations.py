"""Units of time: every clock value and duration of the policy is an integer in microseconds."""

from __future__ import annotations

MS_US = 1_000
SECOND_US = 1_000_000
