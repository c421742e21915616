"""The choice of endpoints by expected latency."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, entry, listed, of_type
from policy_rig import (
    serve_one,
    shares_of_endpoints,
)

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)


def test_requests_are_admitted_after_an_overload():
    """Latencies learned in an overload must not shed all requests forever (incident)."""
    harness = GatewayHarness(endpoints=3)
    for request in range(1, 200):
        serve_one(harness, request, lambda _: 3 * SECOND)
    harness.run(10 * SECOND)
    assert sum(serve_one(harness, r, lambda _: 20_000) is not None for r in range(200, 240)) > 30


def test_two_gateways_with_the_same_seed_decide_alike():
    logs = []
    for _ in range(2):
        harness = GatewayHarness(endpoints=9, seed=3)
        for request in range(1, 50):
            serve_one(harness, request, lambda endpoint_id: 20_000 + 1_000 * endpoint_id[3])
        logs.append(harness.log)
    assert logs[0] == logs[1]


def test_a_stalled_endpoint_is_not_chosen():
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(1), entry(2)))
    stalled = of_type(harness.send_request(1, kind=2), SendAttempt)[0].endpoint_id
    harness.run(300_000)
    others = [
        s.endpoint_id
        for r in range(2, 6)
        for s in of_type(harness.send_request(r, customer=r, kind=2), SendAttempt)
    ]
    assert others
    assert stalled not in others


def test_a_warm_endpoint_is_found_among_many_warming_ones():
    """With only warming endpoints in the sample, requests waited despite a warm one (incident)."""
    harness = GatewayHarness(endpoints=0)
    harness.handle(listed(entry(0), *(entry(i, started_at_us=harness.now) for i in range(1, 200))))
    assert [s.endpoint_id for s in of_type(harness.send_request(1), SendAttempt)] == [
        entry(0).endpoint_id
    ]


def test_one_slow_answer_does_not_leave_an_endpoint_idle():
    harness = GatewayHarness(endpoints=3)
    shares_of_endpoints(harness, 60)
    (send,) = of_type(harness.send_request(1_000, customer=1_000), SendAttempt)
    harness.end_attempt(1_000, send.endpoint_id, AttemptOutcome.SERVED, duration_us=400_000)
    at_once = [
        of_type(harness.send_request(2_000 + n, customer=n, size=1), SendAttempt)[0].endpoint_id
        for n in range(5)
    ]
    # With the full weight of its own latency score, the other two endpoints would get all five.
    assert send.endpoint_id in at_once
