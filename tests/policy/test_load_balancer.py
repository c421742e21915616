"""The choice of endpoints by expected latency."""

from __future__ import annotations

from conftest import SECOND, Bench, entry, listed, of
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
    """A latency learned in an overload must not reject everything for good (an incident)."""
    bench = Bench(endpoints=3)
    for request in range(1, 200):
        serve_one(bench, request, lambda _: 3 * SECOND)
    bench.run(10 * SECOND)
    assert sum(serve_one(bench, r, lambda _: 20_000) is not None for r in range(200, 240)) > 30


def test_two_gateways_with_the_same_seed_decide_alike():
    logs = []
    for _ in range(2):
        bench = Bench(endpoints=9, seed=3)
        for request in range(1, 50):
            serve_one(bench, request, lambda endpoint_id: 20_000 + 1_000 * endpoint_id[3])
        logs.append(bench.log)
    assert logs[0] == logs[1]


def test_a_stalled_endpoint_is_not_chosen():
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(1), entry(2)))
    stalled = of(bench.ask(1, kind=2), SendAttempt)[0].endpoint_id
    bench.run(300_000)
    others = [
        s.endpoint_id
        for r in range(2, 6)
        for s in of(bench.ask(r, customer=r, kind=2), SendAttempt)
    ]
    assert others
    assert stalled not in others


def test_a_warm_endpoint_is_found_among_many_warming_ones():
    """A sample of warming endpoints made requests wait though a warm one was free (incident)."""
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(0), *(entry(i, started_at_us=bench.now) for i in range(1, 200))))
    assert [s.endpoint_id for s in of(bench.ask(1), SendAttempt)] == [entry(0).endpoint_id]


def test_one_slow_answer_does_not_leave_an_endpoint_idle():
    bench = Bench(endpoints=3)
    shares_of_endpoints(bench, 60)
    (send,) = of(bench.ask(1_000, customer=1_000), SendAttempt)
    bench.outcome(1_000, send.endpoint_id, AttemptOutcome.SERVED, duration_us=400_000)
    at_once = [
        of(bench.ask(2_000 + n, customer=n, size=1), SendAttempt)[0].endpoint_id for n in range(5)
    ]
    assert send.endpoint_id in at_once  # its own mark alone would send all five to the other two
