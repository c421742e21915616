"""Suspensions: the later of two wins, and bounds."""

from __future__ import annotations

import pytest

from saffrongw.leases.messages import (
    Suspension,
)
from saffrongw.leases.suspensions import SuspensionError, Suspensions


def test_of_two_suspensions_the_later_one_wins_everywhere():
    one, other = Suspensions(), Suspensions()
    one.put("s0/1", 2_000.0, "a", "", 1_000.0)
    other.merge(one.all(1e9), 1e9)
    other.put("s0/1", 0.0, "b", "", 1_010.0)
    one.merge(other.all(1.01e9), 1.01e9)
    other.merge((Suspension("s0/1", 2_000.0, "a", "", 1_000.0),), 1.01e9)
    assert one.active("s0/1", 1.02e9) is other.active("s0/1", 1.02e9) is None
    with pytest.raises(SuspensionError):
        one.put("s0/1", 1e12, "a", "", 1_000.0)
