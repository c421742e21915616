"""Quotas of a fleet without faults, against a policy that sees all spent units with a delay."""

from __future__ import annotations

import pytest

from benchmarks.fleet.ceilings import MS, SECOND, T0
from benchmarks.fleet.quotas import BRISK, QUIET, QuietDay
from saffrongw.policy.gateway import Gateway

# The most by which the fleet's cost may exceed that of the policy with the delayed view, as a
# fraction of the worth of the requests within the quotas.
COST_MARGIN = 0.1
# The delay of that view: about that of the operators' policy, as estimated from the cost that their
# benchmark allows.
VIEW_DELAY = 50 * MS


def without_reports(*args) -> Gateway:
    """Planted fault: admissions are not reported to any coordinator."""
    gateway = Gateway(*args)
    plain = gateway.quota_broadcast.gossip_turn

    def report(quota, _candidate: int = 0) -> None:
        quota.is_unconfirmed = False

    def gossip_turn() -> None:
        gateway.quota_counters.changed.clear()
        plain()

    gateway.coordinator_reports.report = report
    gateway.quota_broadcast.gossip_turn = gossip_turn
    return gateway


def run_day(
    gateways: int, spread: int, plan, kind=Gateway, customers: int = 40, seconds: int = 15
) -> QuietDay:
    day = QuietDay(gateways, spread, customers, plan=plan, seed=1, kind=kind)
    day.delay = VIEW_DELAY
    day.fleet.run(seconds * SECOND)
    return day


@pytest.mark.parametrize("plan", [QUIET, BRISK], ids=["quiet", "brisk"])
@pytest.mark.parametrize(("gateways", "spread"), [(3, 3), (40, 16), (200, 23)])
def test_a_fleet_without_faults_stays_within_quotas_as_well_as_with_a_delayed_view_of_them(
    gateways, spread, plan
):
    day = run_day(gateways, spread, plan)
    ours, theirs = day.costs()
    assert ours <= theirs + COST_MARGIN / 2  # half of the margin remains
    assert day.served_inside()[0] >= 0.8  # not achieved by rejecting requests within the quotas
    assert day.lowest >= -plan.ceiling_slack or not plan.ceiling_rate


def test_a_fleet_without_reports_exceeds_quotas():
    """Without reports no answer is missed, so no gateway leaves unreachable peers their share."""
    ours, theirs = run_day(40, 16, QUIET, without_reports).costs()
    assert ours > theirs + COST_MARGIN


def without_extra_rows(*args) -> Gateway:
    """Planted fault: free space in messages is not filled with rows on exhausted quotas."""
    gateway = Gateway(*args)
    gateway.quota_broadcast.rows_of_exhausted = lambda *_: iter(())
    return gateway


@pytest.mark.parametrize("kind", [Gateway, without_extra_rows])
def test_a_fleet_with_replica_sets_too_large_for_its_message_budget_stays_within_quotas(kind):
    """With 500 customers in replica sets of 100, one message per quota and gateway is too much."""
    day = run_day(100, 100, QUIET, kind, customers=500, seconds=6)
    ours, theirs = day.costs()
    assert (ours <= theirs + COST_MARGIN / 2) is (kind is Gateway)
    assert (ours > theirs + COST_MARGIN) is (kind is without_extra_rows)
    assert day.served_inside()[0] >= 0.8


def test_the_set_of_exhausted_customers_shrinks():
    day = run_day(3, 3, QUIET)
    gateways = [node.machine.gateway for node in day.fleet.nodes.values()]
    for gateway in gateways:
        closed = [
            customer
            for customer, quota in gateway.quota_counters.customers.items()
            if quota.is_exhausted
        ]
        assert sorted(gateway.quota_counters.exhausted) == sorted(closed)
    assert any(gateway.quota_counters.exhausted for gateway in gateways)
    day.fleet.now += 60 * SECOND  # without further requests
    for gateway in gateways:
        for quota in list(gateway.quota_counters.customers.values()):
            gateway.context.now_us = T0 + day.fleet.now
            gateway.quota_counters.refill(quota)
        assert not gateway.quota_counters.exhausted
