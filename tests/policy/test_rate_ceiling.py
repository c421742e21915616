"""Rate ceilings: the parts of all gateways never add up to more than the ceiling (rule 5)."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, GatewayHarness, of_type

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)

WITH_CEILING = 2


def test_a_ceiling_is_divided_and_starts_empty():
    harness = GatewayHarness(endpoints=4)
    sent = 0
    for request in range(1, 601):  # 100 requests per second for 6 s, far above the ceiling
        for send in of_type(harness.send_request(request, customer=1, plan=2), SendAttempt):
            sent += 1
            harness.end_attempt(request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
        harness.run(10_000)
    assert 0 < sent <= 8 / 3 * 6


def test_a_restarted_gateway_gets_no_fresh_part_of_a_ceiling():
    harness = GatewayHarness(now=T0 + 10 * SECOND)
    assert not of_type(harness.send_request(1, plan=2), SendAttempt)
    harness.now += SECOND
    sends = [s for r in range(2, 9) for s in of_type(harness.send_request(r, plan=2), SendAttempt)]
    assert len(sends) <= 5  # its part of a ceiling of eight per second


def ceiling_at(harness: GatewayHarness, customer: int, size: int) -> float:
    harness.send_request(customer, plan=WITH_CEILING, customer=customer, size=size)
    return harness.gateway.quota_counters.customers[customer].ceiling_units


def test_a_new_customers_part_of_its_ceiling_fills_from_the_start_of_the_gateway():
    harness = GatewayHarness()
    assert not of_type(
        harness.send_request(1, plan=WITH_CEILING, customer=1, size=1), SendAttempt
    )  # what it spent before its start is unknown
    harness.run(SECOND)
    # Eight per second since the start, up to sixteen, less the one unit of this request.
    assert ceiling_at(harness, 2, 1) == pytest.approx(7.0)
    harness.run(20 * SECOND)
    assert ceiling_at(harness, 3, 1) == pytest.approx(15.0)


def test_all_parts_of_a_ceiling_together_are_the_ceiling():
    """Rule 5, for gateways that get a customer's first request long after their start."""
    for size in (2, 3):
        parts = []
        for node_index in range(size):
            harness = GatewayHarness(node_index=node_index, node_count=size)
            harness.run(60 * SECOND)
            quota = harness.gateway.quota_counters.get_or_create(
                7, WITH_CEILING, 0, size, trusted=True
            )
            harness.gateway.quota_counters.refill(quota)
            parts.append(quota.ceiling_units)
        assert sum(parts) == pytest.approx(16.0)


def test_a_customer_is_forgotten_only_with_its_part_of_the_ceiling_full():
    harness = GatewayHarness()
    harness.run(60 * SECOND)
    (send,) = of_type(harness.send_request(1, plan=WITH_CEILING, customer=1, size=1), SendAttempt)
    harness.end_attempt(1, send.endpoint_id, AttemptOutcome.SERVED)
    quota = harness.gateway.quota_counters.customers[1]
    harness.now += 30 * SECOND
    quota.ceiling_units, quota.refilled_at_us = (
        3.0,
        harness.now,
    )  # as if it had just granted the rest to other gateways
    for _ in range(50):
        harness.gateway.quota_counters.drop_idle()
    assert 1 in harness.gateway.quota_counters.customers
    harness.run(60 * SECOND)
    assert 1 not in harness.gateway.quota_counters.customers
