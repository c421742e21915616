"""Rate ceilings hold over many gateways that start, crash and lose messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.fleet.ceilings import PLAN, SECOND, World, measure, rejecting_at_once
from saffrongw.policy.gateway import Gateway
from testbed.simulation.clock import Link

FLEET = {"gateways": 24, "spread": 8, "customers": 16, "heavy": 0.25}
HIGH_QUOTA = replace(PLAN, rate=60.0, burst=200.0)  # so that only the rate ceiling rejects
LOSSY = Link((2_500, 18_000), 0.3, 0.3, 0.3, 400_000)


def lowest_ceiling_level(kind=Gateway, seeds=range(2), link=LOSSY, **more) -> float:
    """Return the lowest true level of any ceiling, with restarts of 70% of the gateways."""
    lowest = 0.0
    for seed in seeds:
        world = World(
            **FLEET | more, plan=HIGH_QUOTA, heavy_rate=80.0, link=link, kind=kind, seed=seed
        )
        for at in (3, 5, 9):
            world.restart(at * SECOND, 0.7, SECOND // 2)
        world.fleet.run(14 * SECOND)
        assert world.counts["sent"] > 500
        lowest = min(lowest, world.lowest)
    return lowest


@pytest.mark.parametrize(
    "link", [LOSSY, Link((2_500, 18_000)), Link(loss=1.0)], ids=["bad", "good", "none"]
)
def test_no_ceiling_is_exceeded_even_if_messages_are_lost(link):
    assert lowest_ceiling_level(link=link) >= -PLAN.ceiling_slack


def test_grants_that_are_not_deducted_exceed_a_ceiling():
    def without_deduction(*args) -> Gateway:
        gateway = Gateway(*args)
        gateway.token_grants.grant = lambda _quota, _node_index, wanted, _has_waiting: wanted
        return gateway

    assert lowest_ceiling_level(without_deduction) < -PLAN.ceiling_slack


def test_a_full_part_at_each_start_exceeds_a_ceiling():
    def with_full_part(*args) -> Gateway:
        gateway = Gateway(*args)
        plain = gateway.quota_counters.get_or_create

        def create_with_full_part(customer, *more, trusted):
            known = customer in gateway.quota_counters.customers
            quota = plain(customer, *more, trusted=trusted)
            if not known:
                quota.ceiling_units = gateway.rate_ceiling.local_burst(quota)
            return quota

        gateway.quota_counters.get_or_create = create_with_full_part
        return gateway

    assert lowest_ceiling_level(with_full_part, link=Link((2_500, 18_000))) < -PLAN.ceiling_slack


@pytest.mark.parametrize("share", [0.0, 0.7], ids=["all start", "seven in ten restart"])
def test_after_a_start_few_requests_are_rejected_needlessly(share):
    """No customer exceeds its quota here, so that every rejection is needless."""
    calm = FLEET | {"heavy": 0.0, "customers": 24}
    now, before = (
        measure(World(**calm, kind=kind, seed=1), 8 * SECOND * bool(share), share)[0]
        for kind in (Gateway, rejecting_at_once)
    )
    assert now < 0.08
    assert now < before


def test_a_part_too_small_for_one_request_is_enough_with_grants():
    """In replica sets so large that no part ever holds one request's units, all were rejected."""
    large = {"gateways": 64, "spread": 40, "customers": 20, "heavy": 0.0}
    now, before = (
        measure(World(**large, kind=kind, seed=1))[0] for kind in (Gateway, rejecting_at_once)
    )
    assert now < 0.15
    assert before > 0.8
