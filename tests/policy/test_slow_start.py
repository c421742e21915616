"""Slow start: the share of a newly started endpoint grows with its age (rule 4)."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, GatewayHarness, entry, listed, of_type
from policy_rig import (
    shares_of_endpoints,
)

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
    EndpointListKind,
)
from saffrongw.policy.settings import LoadReportSource

WARM_WITHIN = 10 * SECOND


def test_a_warming_endpoint_gets_no_more_than_its_part_of_a_warm_ones_share():
    harness = GatewayHarness(endpoints=0)
    warming = entry(9, started_at_us=T0)
    harness.handle(listed(*(entry(i) for i in range(4)), warming))
    sent = {"warming": 0, "warm": 0}
    for request in range(1, 401):
        for send in of_type(harness.send_request(request, customer=request), SendAttempt):
            sent["warming" if send.endpoint_id == warming.endpoint_id else "warm"] += 1
            harness.end_attempt(request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
        harness.run(5_000)
    ramp = 0.25 + 0.75 * 2 / 10  # after two of the ten seconds
    assert sent["warm"] > 300
    assert sent["warming"] <= ramp * sent["warm"] / 4 + 1


def test_a_restarted_endpoint_warms_up_and_gets_no_burst():
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1, started_at_us=T0 - 60 * SECOND)))
    assert len(of_type(harness.send_request(1), SendAttempt)) == 1
    harness.handle(listed(entry(1, started_at_us=T0), kind=EndpointListKind.DELTA))
    sends = [
        s for r in range(2, 402) for s in of_type(harness.send_request(r, customer=r), SendAttempt)
    ]
    assert 0 < len(sends) <= 0.25 * 400
    for _ in range(50):  # a waiting request must not draw a new random number at each retry
        harness.run(20_000)
    assert len(of_type(harness.log, SendAttempt)) <= 0.4 * 400


def test_a_warming_endpoint_gets_its_part_over_many_gateways_together():
    """In a large fleet each gateway sends a warming endpoint less than one request."""
    warming, sent = entry(9, started_at_us=T0), {True: 0, False: 0}
    for seed in range(200):
        harness = GatewayHarness(endpoints=0, seed=seed, node_count=200, now=T0 + 2 * SECOND)
        harness.handle(listed(*(entry(i) for i in range(4)), warming))
        for request in range(1, 11):
            for send in of_type(
                harness.send_request(request, customer=request, size=1), SendAttempt
            ):
                sent[send.endpoint_id == warming.endpoint_id] += 1
                harness.end_attempt(
                    request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=30_000
                )
    assert 0.2 * sent[False] / 4 < sent[True] < 0.4 * sent[False] / 4


def warming_share(report: tuple[float, ...], names: tuple[str, ...]) -> float:
    harness = GatewayHarness(
        endpoints=0,
        load_report_fields=names,
        load_report_source=LoadReportSource.INLINE,
        slow_start_duration_us=WARM_WITHIN,
    )
    warming = entry(9, started_at_us=harness.now)
    harness.handle(listed(*(entry(n) for n in range(3)), warming))
    return shares_of_endpoints(harness, 2_000, report).get(warming.endpoint_id, 0.0)


def test_a_warming_endpoint_with_idle_cores_gets_more_but_not_more_than_an_even_share():
    # It starts at a quarter of its capacity; an even share of four endpoints is 0.25.
    plain = warming_share((), ())
    assert 0.04 < plain < 0.09
    assert plain * 1.8 < warming_share((0.2,), ("util",)) < 0.25
    assert warming_share((0.95,), ("util",)) == pytest.approx(plain, abs=0.02)


def test_an_old_load_report_is_ignored():
    harness = GatewayHarness(
        endpoints=0,
        load_report_fields=("util",),
        load_report_source=LoadReportSource.INLINE,
        slow_start_duration_us=1_000 * SECOND,
    )
    warming = entry(9, started_at_us=harness.now)
    harness.handle(listed(*(entry(n) for n in range(3)), warming))
    endpoint = harness.gateway.endpoints.by_id[warming.endpoint_id]
    endpoint.cpu_utilization, endpoint.load_reported_at_us = 0.05, harness.now - 3 * SECOND
    request = shares_of_endpoints(harness, 400)
    assert request.get(warming.endpoint_id, 0.0) < 0.09
