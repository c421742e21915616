"""The polls of a whole fleet on the virtual clock."""

from __future__ import annotations

import pytest

from benchmarks.fleet.earlier_schedule import EarlierSchedule
from benchmarks.fleet.lists import FleetStart, simulate
from saffrongw.gateway.discovery.poll_timing import FULL_FETCH_COST_S, MAX_RETRY_SPAN_S


def test_200_gateways_that_start_at_once_are_current_soon_with_few_rejections():
    result = simulate(FleetStart(200, length_s=30.0))
    assert result.current_count == 200
    assert result.polls <= 1.5 * 200
    assert result.peak_load <= 1.2
    assert result.rejected < 0.05 * 200
    assert result.all_current_s <= 1.5 * result.shortest_s
    # The same measurement shows the faults of the earlier schedule.
    before = simulate(FleetStart(200, length_s=30.0, schedule_type=EarlierSchedule))
    assert before.polls > 3 * result.polls
    assert before.rejected > 200
    assert before.all_current_s > 5 * result.all_current_s


def test_a_service_that_returns_after_a_minute_gets_polls_spread_out():
    result = simulate(FleetStart(200, down=(5.0, 65.0), length_s=60.0))
    assert result.current_count == 200
    assert result.polls <= 1.5 * 200
    assert result.peak_load <= 1.2
    assert result.rejected < 0.05 * 200
    assert result.all_current_s <= 1.5 * 200 * FULL_FETCH_COST_S


def test_gateways_that_start_twice_within_10_s_are_current_soon():
    result = simulate(FleetStart(200, restart_after_s=8.0, length_s=30.0))
    assert result.current_count == 200
    assert result.all_current_s <= 1.5 * result.shortest_s
    assert result.rejected < 10


@pytest.mark.parametrize("gateways", [50, 200])
def test_gateways_rejected_for_30_s_are_current_soon_after_capacity_returns(gateways):
    result = simulate(FleetStart(gateways, rejecting=(0.0, 30.0), length_s=120.0))
    assert result.current_count == gateways
    assert result.all_current_s <= 30.0 + MAX_RETRY_SPAN_S + 1.0
    assert result.peak_load <= 2.0
    # At most one attempt per second of each gateway.
    assert result.rejected <= 30 * gateways
    before = simulate(
        FleetStart(gateways, rejecting=(0.0, 30.0), length_s=120.0, schedule_type=EarlierSchedule)
    )
    assert before.all_current_s > 2 * result.all_current_s - 30.0


def test_one_gateway_that_starts_alone_among_200_is_current_within_a_second():
    result = simulate(FleetStart(200, alone=True, length_s=30.0))
    assert result.current_count == 1
    assert result.all_current_s < 1.0
