"""Which servers get how much: marks of single answers, cold ones that report idle cores, ceilings of new customers."""

from __future__ import annotations

import pytest
from conftest import SECOND, Bench, entry, listed, of

from saffrongw.policy.actions import SendAttempt
from saffrongw.policy.events import AttemptEnded, AttemptOutcome
from saffrongw.policy.settings import LoadReportSource

CEILED = 2
WARM_WITHIN = 10 * SECOND


def shares(bench: Bench, requests: int, report=()) -> dict[bytes, float]:
    """The part of so many requests that each server got; each is answered at once, with a report."""
    count: dict[bytes, int] = {}
    for number in range(1, requests + 1):
        (send,) = of(bench.ask(number, customer=number, size=1), SendAttempt)
        count[send.endpoint_id] = count.get(send.endpoint_id, 0) + 1
        ended = (number, 0, send.endpoint_id, AttemptOutcome.SERVED, 50_000, True, 0, 0.0, report)
        bench.feed(AttemptEnded(*ended))
        bench.now += 1_000
    return {endpoint_id: times / requests for endpoint_id, times in count.items()}


def test_one_slow_answer_does_not_leave_a_server_idle():
    bench = Bench(endpoints=3)
    shares(bench, 60)
    (send,) = of(bench.ask(1_000, customer=1_000), SendAttempt)
    bench.outcome(1_000, send.endpoint_id, AttemptOutcome.SERVED, duration_us=400_000)
    at_once = [
        of(bench.ask(2_000 + n, customer=n, size=1), SendAttempt)[0].endpoint_id for n in range(5)
    ]
    assert send.endpoint_id in at_once  # its own mark alone would send all five to the other two


def cold_share(report: tuple[float, ...], names: tuple[str, ...]) -> float:
    bench = Bench(
        endpoints=0,
        load_report_fields=names,
        load_report_source=LoadReportSource.INLINE,
        slow_start_duration_us=WARM_WITHIN,
    )
    cold = entry(9, started_at_us=bench.now)
    bench.feed(listed(*(entry(n) for n in range(3)), cold))
    return shares(bench, 2_000, report).get(cold.endpoint_id, 0.0)


def test_a_cold_server_that_reports_idle_cores_gets_more_but_no_more_than_its_fair_part():
    # It starts at a quarter of its capacity; a fair part of four servers is 0.25.
    plain = cold_share((), ())
    assert 0.04 < plain < 0.09
    assert plain * 1.8 < cold_share((0.2,), ("util",)) < 0.25
    assert cold_share((0.95,), ("util",)) == pytest.approx(plain, abs=0.02)


def test_a_report_that_is_old_tells_nothing():
    bench = Bench(
        endpoints=0,
        load_report_fields=("util",),
        load_report_source=LoadReportSource.INLINE,
        slow_start_duration_us=1_000 * SECOND,
    )
    cold = entry(9, started_at_us=bench.now)
    bench.feed(listed(*(entry(n) for n in range(3)), cold))
    host = bench.gateway.endpoints.by_id[cold.endpoint_id]
    host.cpu_utilization, host.load_reported_at_us = 0.05, bench.now - 3 * SECOND
    request = shares(bench, 400)
    assert request.get(cold.endpoint_id, 0.0) < 0.09


def ceiling_at(bench: Bench, customer: int, size: int) -> float:
    bench.ask(customer, plan=CEILED, customer=customer, size=size)
    return bench.gateway.quota_counters.customers[customer].ceiling_units


def test_a_new_customers_part_of_its_ceiling_counts_from_the_start_of_the_gateway():
    bench = Bench()
    assert not of(
        bench.ask(1, plan=CEILED, customer=1, size=1), SendAttempt
    )  # nothing is known of before
    bench.run(SECOND)
    # eight a second since the start, less the one that it takes now; sixteen at most
    assert ceiling_at(bench, 2, 1) == pytest.approx(7.0)
    bench.run(20 * SECOND)
    assert ceiling_at(bench, 3, 1) == pytest.approx(15.0)


def test_what_all_gateways_grant_a_new_customer_is_within_its_ceiling():
    """Rule 5: each met it anew after a while; together they hold no more than the store."""
    for size in (2, 3):
        parts = []
        for node_index in range(size):
            bench = Bench(node_index=node_index, node_count=size)
            bench.run(60 * SECOND)
            account = bench.gateway.quota_counters.open(7, CEILED, 0, size, trusted=True)
            bench.gateway.quota_counters.refill(account)
            parts.append(account.ceiling_units)
        assert sum(parts) == pytest.approx(16.0)


def test_an_account_is_forgotten_only_with_its_part_of_the_ceiling_full():
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


def remembered(every: int) -> float:
    """How much of a server's mark is left 6 s after it failed, with an outcome at another one each so often."""
    bench = Bench(endpoints=60)
    number, at = 1, bench.now
    while bench.now - at < 20 * SECOND:
        (send,) = of(bench.ask(number, customer=number), SendAttempt)
        bench.now += every
        bench.outcome(number, send.endpoint_id, AttemptOutcome.SERVED, duration_us=every)
        number += 1
    (send,) = of(bench.ask(number, customer=number), SendAttempt)
    bench.outcome(number, send.endpoint_id, AttemptOutcome.CONNECT_FAILED)
    host, forget = (
        bench.gateway.endpoints.by_id[send.endpoint_id],
        bench.gateway.outlier_detection.endpoint_decay_us,
    )
    return host.decayed_failures(bench.now + 6 * SECOND, forget) / host.decayed_failures(
        bench.now, forget
    )


def test_a_gateway_that_meets_each_server_rarely_remembers_it_longer():
    """At 5 requests a second to 60 servers a mark that fades in 3 s is gone long before the next meeting."""
    assert remembered(every=SECOND // 5) > 0.5
    assert remembered(every=SECOND // 50) < 0.2  # who meets them often forgives as soon as before
