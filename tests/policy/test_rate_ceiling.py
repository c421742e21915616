"""Rate ceilings: the parts of all gateways together never exceed one (rule 5)."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, Bench, of

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)

CEILED = 2


def test_a_ceiling_is_divided_and_starts_empty():
    bench = Bench(endpoints=4)
    sent = 0
    for request in range(1, 601):  # 6 s, far more than the ceiling lets pass
        for send in of(bench.ask(request, customer=1, plan=2), SendAttempt):
            sent += 1
            bench.outcome(request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
        bench.run(10_000)
    assert 0 < sent <= 8 / 3 * 6


def test_a_restarted_gateway_gets_no_fresh_part_of_a_ceiling():
    bench = Bench(now=T0 + 10 * SECOND)
    assert not of(bench.ask(1, plan=2), SendAttempt)
    bench.now += SECOND
    sends = [s for r in range(2, 9) for s in of(bench.ask(r, plan=2), SendAttempt)]
    assert len(sends) <= 5  # its part of eight a second


def ceiling_at(bench: Bench, customer: int, size: int) -> float:
    bench.ask(customer, plan=CEILED, customer=customer, size=size)
    return bench.gateway.quota_counters.customers[customer].ceiling_units


def test_a_new_customers_part_of_its_ceiling_fills_from_the_start_of_the_gateway():
    bench = Bench()
    assert not of(
        bench.ask(1, plan=CEILED, customer=1, size=1), SendAttempt
    )  # nothing is known of before
    bench.run(SECOND)
    # eight a second since the start, less the one that it takes now; sixteen at most
    assert ceiling_at(bench, 2, 1) == pytest.approx(7.0)
    bench.run(20 * SECOND)
    assert ceiling_at(bench, 3, 1) == pytest.approx(15.0)


def test_all_parts_of_a_ceiling_together_are_the_ceiling():
    """Rule 5: gateways that meet a customer late hold no more than the ceiling together."""
    for size in (2, 3):
        parts = []
        for node_index in range(size):
            bench = Bench(node_index=node_index, node_count=size)
            bench.run(60 * SECOND)
            account = bench.gateway.quota_counters.open(7, CEILED, 0, size, trusted=True)
            bench.gateway.quota_counters.refill(account)
            parts.append(account.ceiling_units)
        assert sum(parts) == pytest.approx(16.0)


def test_a_customer_is_forgotten_only_with_its_part_of_the_ceiling_full():
    bench = Bench()
    bench.run(60 * SECOND)
    (send,) = of(bench.ask(1, plan=CEILED, customer=1, size=1), SendAttempt)
    bench.outcome(1, send.endpoint_id, AttemptOutcome.SERVED)
    account = bench.gateway.quota_counters.customers[1]
    bench.now += 30 * SECOND
    account.ceiling_units, account.refilled_at_us = (
        3.0,
        bench.now,
    )  # rights that it gave away just now
    for _ in range(50):
        bench.gateway.quota_counters.drop_idle()
    assert 1 in bench.gateway.quota_counters.customers
    bench.run(60 * SECOND)
    assert 1 not in bench.gateway.quota_counters.customers
