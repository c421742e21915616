"""Rate ceilings hold over many gateways that start, die and lose messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.fleet.ceilings import PLAN, SECOND, World, measure, rejecting_at_once
from saffrongw.policy.gateway import Gateway
from testbed.simulation.clock import Link

FLEET = {"gateways": 24, "spread": 8, "customers": 16, "heavy": 0.25}
WIDE = replace(PLAN, rate=60.0, burst=200.0)  # only its ceiling refuses
BAD = Link((2_500, 18_000), 0.3, 0.3, 0.3, 400_000)


def lowest_store(kind=Gateway, seeds=range(2), link=BAD, **more) -> float:
    """Return the lowest of all true stores, with restarts of seven in ten gateways."""
    lowest = 0.0
    for seed in seeds:
        world = World(**FLEET | more, plan=WIDE, heavy_rate=80.0, link=link, kind=kind, seed=seed)
        for at in (3, 5, 9):
            world.restart(at * SECOND, 0.7, SECOND // 2)
        world.fleet.run(14 * SECOND)
        assert world.counts["sent"] > 500
        lowest = min(lowest, world.lowest)
    return lowest


@pytest.mark.parametrize(
    "link", [BAD, Link((2_500, 18_000)), Link(loss=1.0)], ids=["bad", "good", "none"]
)
def test_no_ceiling_is_exceeded_whatever_becomes_of_messages(link):
    assert lowest_store(link=link) >= -PLAN.ceiling_slack


def test_grants_that_are_not_deducted_exceed_a_ceiling():
    def generous(*args) -> Gateway:
        gateway = Gateway(*args)
        gateway.token_grants.give = lambda _quota, _node_index, wanted, _has_waiting: wanted
        return gateway

    assert lowest_store(generous) < -PLAN.ceiling_slack


def test_a_full_part_at_each_start_exceeds_a_ceiling():
    def fresh(*args) -> Gateway:
        gateway = Gateway(*args)
        plain = gateway.quota_counters.open

        def open_with_full_part(customer, *more, trusted):
            known = customer in gateway.quota_counters.customers
            quota = plain(customer, *more, trusted=trusted)
            if not known:
                quota.ceiling_units = gateway.rate_ceiling.local_burst(quota)
            return quota

        gateway.quota_counters.open = open_with_full_part
        return gateway

    assert lowest_store(fresh, link=Link((2_500, 18_000))) < -PLAN.ceiling_slack


@pytest.mark.parametrize("share", [0.0, 0.7], ids=["all start", "seven in ten restart"])
def test_after_a_start_few_requests_are_rejected_in_vain(share):
    """No customer exceeds its quota here: each of these requests could have been served."""
    calm = FLEET | {"heavy": 0.0, "customers": 24}
    now, before = (
        measure(World(**calm, kind=kind, seed=1), 8 * SECOND * bool(share), share)[0]
        for kind in (Gateway, rejecting_at_once)
    )
    assert now < 0.08
    assert now < before


def test_a_part_too_small_for_one_request_is_enough_with_grants():
    """In sets so large that a part never holds a request, all were rejected."""
    large = {"gateways": 64, "spread": 40, "customers": 20, "heavy": 0.0}
    now, before = (
        measure(World(**large, kind=kind, seed=1))[0] for kind in (Gateway, rejecting_at_once)
    )
    assert now < 0.15
    assert before > 0.8
