"""Quotas of a fleet on a quiet day, beside a policy that sees the true units late."""

from __future__ import annotations

import pytest

from benchmarks.fleet.ceilings import MS, SECOND, T0
from benchmarks.fleet.quotas import BRISK, QUIET, QuietDay
from saffrongw.policy.gateway import Gateway

MORE = 0.1  # of the worth asked for inside the quotas: so much more it may cost at most
LATE = 50 * MS  # as late as the operators' policy seems to be by what the bench allows beside it


def without_reports(*args) -> Gateway:
    """The planted fault: admissions are reported to nobody."""
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


def played(
    gateways: int, spread: int, plan, kind=Gateway, customers: int = 40, seconds: int = 15
) -> QuietDay:
    day = QuietDay(gateways, spread, customers, plan=plan, seed=1, kind=kind)
    day.delay = LATE
    day.fleet.run(seconds * SECOND)
    return day


@pytest.mark.parametrize("plan", [QUIET, BRISK], ids=["quiet", "brisk"])
@pytest.mark.parametrize(("gateways", "spread"), [(3, 3), (40, 16), (200, 23)])
def test_a_quiet_fleet_stays_within_quotas_as_well_as_a_late_view_of_them(gateways, spread, plan):
    day = played(gateways, spread, plan)
    ours, theirs = day.costs()
    assert ours <= theirs + MORE / 2  # half of the margin is left
    assert day.served_inside()[0] >= 0.8  # and not by refusing
    assert day.lowest >= -plan.ceiling_slack or not plan.ceiling_rate


def test_a_fleet_without_reports_exceeds_quotas():
    """Gateways leave unreachable peers their parts only once they notice; here none is asked."""
    ours, theirs = played(40, 16, QUIET, without_reports).costs()
    assert ours > theirs + MORE


def without_extra_rows(*args) -> Gateway:
    """The planted fault: a message holds only what it is sent for."""
    gateway = Gateway(*args)
    gateway.quota_broadcast.rows_of_exhausted = lambda *_: iter(())
    return gateway


@pytest.mark.parametrize("kind", [Gateway, without_extra_rows])
def test_a_fleet_with_sets_wider_than_its_messages_reach_stays_within_quotas(kind):
    """With 500 customers in sets of 100, a message on each quota to each gateway is too much."""
    day = played(100, 100, QUIET, kind, customers=500, seconds=6)
    ours, theirs = day.costs()
    assert (ours <= theirs + MORE / 2) is (kind is Gateway)
    assert (ours > theirs + MORE) is (kind is without_extra_rows)
    assert day.served_inside()[0] >= 0.8


def test_the_set_of_exhausted_customers_shrinks():
    day = played(3, 3, QUIET)
    gateways = [node.machine.gateway for node in day.fleet.nodes.values()]
    for gateway in gateways:
        closed = [
            customer
            for customer, account in gateway.quota_counters.customers.items()
            if account.is_exhausted
        ]
        assert sorted(gateway.quota_counters.exhausted) == sorted(closed)
    assert any(gateway.quota_counters.exhausted for gateway in gateways)
    day.fleet.now += 60 * SECOND  # nobody asks any more
    for gateway in gateways:
        for account in list(gateway.quota_counters.customers.values()):
            gateway.context.now_us = T0 + day.fleet.now
            gateway.quota_counters.refill(account)
        assert not gateway.quota_counters.exhausted
