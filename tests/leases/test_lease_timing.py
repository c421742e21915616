"""Durations of a lease: the inequality of ``timing.py`` over clock rates, and bounds."""

from __future__ import annotations

import pytest

from saffrongw.leases.timing import MILLISECOND_US, SECOND_US, Timing


def test_holder_duration_ends_before_the_grant_for_all_clock_rates_within_the_bound():
    for drift in (0.0, 0.001, 0.01, 0.05, 0.2):
        timing = Timing(10 * SECOND_US, drift)
        assert timing.holder_duration_us / (1 - drift) <= timing.duration_us / (1 + drift)
        assert timing.holder_duration_us > 0.6 * timing.duration_us
        slowest, fastest = timing.believable_rates
        assert slowest * fastest == pytest.approx(1)


@pytest.mark.parametrize(
    "wrong", [{"duration_us": 10 * MILLISECOND_US}, {"max_drift": 0.3}, {"max_drift": -0.1}]
)
def test_durations_and_drifts_out_of_bounds_are_rejected(wrong):
    with pytest.raises(ValueError, match=r"span|drift"):
        Timing(**wrong)
