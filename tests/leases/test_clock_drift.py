"""Estimates of clock rates: the bounds hold for any network delay."""

from __future__ import annotations

import random

from saffrongw.leases.clock_drift import ClockDriftEstimates, Reading, rate_bounds
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.timing import SECOND_US, Timing


def test_rate_bounds_hold_for_any_delay():
    draw = random.Random(3)
    for _ in range(500):
        rate = draw.uniform(0.5, 2)
        readings = []
        for base in (0, draw.randrange(10**6, 10**8)):
            at = base + draw.randrange(10**5)
            sent, received = at - draw.randrange(10**6), at + draw.randrange(10**6)
            readings.append(Reading(int(at * rate) + 77, sent, received))
        lowest, highest = rate_bounds(*readings)
        assert lowest - 1e-4 <= rate <= highest + 1e-4
    rates = ClockDriftEstimates(Timing(SECOND_US, 0.01))
    rates.add(GatewayId("v0", 1), Reading(0, 0, 10))
    # Another incarnation starts a new baseline, as its clock may be another one.
    rates.add(GatewayId("v0", 2), Reading(9**9, 100, 110))
    assert not rates.wrong
    assert "v0" not in rates.rates
