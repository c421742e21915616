"""Outlier detection: slow and failing endpoints get less, and recover."""

from __future__ import annotations

from conftest import SECOND, Bench, entry, listed, of
from policy_rig import (
    serve_one,
)

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)


def test_one_error_of_each_endpoint_does_not_close_an_idle_fleet(bench):
    """Counted as full failures, one error of each endpoint would reject all for seconds."""
    for number in range(1, 5):
        bench.ask(number, kind=2, customer=number)
        sent = of(bench.log, SendAttempt)[-1]
        bench.now += 60_000
        bench.outcome(number, sent.endpoint_id, AttemptOutcome.ERROR)
    assert of(bench.ask(9, customer=99), SendAttempt)


def test_failures_of_all_endpoints_do_not_close_an_idle_fleet(bench):
    """Scores decay with time and answers: a gateway that rejects all gets no answers."""
    for host in bench.gateway.endpoints.warm.endpoints:
        host.failure_score, host.updated_at_us = 2.0, bench.now
    assert of(bench.ask(99, customer=99), SendAttempt)


def test_an_overload_of_the_fleet_is_noticed_by_a_gateway_that_meets_each_endpoint_seldom():
    """Many gateways met each endpoint seldom, learned nothing and admitted all (incident)."""
    bench = Bench(endpoints=200)
    for request in range(1, 40):
        serve_one(bench, request, lambda _: 60_000)
    before = sum(serve_one(bench, r, lambda _: 3 * SECOND) is not None for r in range(100, 140))
    during = sum(serve_one(bench, r, lambda _: 3 * SECOND) is not None for r in range(200, 240))
    assert during < before / 2
    bench.run(15 * SECOND)
    assert serve_one(bench, 300, lambda _: 60_000) is not None


def test_a_slow_endpoint_gets_less_until_it_recovers():
    bench = Bench(endpoints=4)
    slow = entry(0).endpoint_id

    def part(first: int, duration_us) -> float:
        sends = [s for r in range(first, first + 120) if (s := serve_one(bench, r, duration_us))]
        return sum(s.endpoint_id == slow for s in sends) / len(sends)

    assert part(1, lambda endpoint_id: 200_000 if endpoint_id == slow else 30_000) < 0.1
    bench.run(15 * SECOND)
    assert part(500, lambda _: 30_000) > 0.12


def test_an_endpoint_that_refuses_connections_is_avoided():
    bench = Bench(endpoints=4)
    dead, tried = entry(0).endpoint_id, 0
    for request in range(1, 101):
        send = of(bench.ask(request, customer=request), SendAttempt)[0]
        attempt = 0
        while send.endpoint_id == dead:
            tried += 1
            send = of(
                bench.outcome(request, dead, AttemptOutcome.CONNECT_FAILED, attempt=attempt),
                SendAttempt,
            )[0]
            attempt += 1
        bench.run(5_000)
        bench.outcome(
            request, send.endpoint_id, AttemptOutcome.SERVED, attempt=attempt, duration_us=30_000
        )
    assert tried <= 5


def test_an_unreachable_zone_is_avoided_before_each_of_its_endpoints_failed():
    """In a partition each endpoint of the other zone was tried (ctva-kathmandu-later big-1)."""
    bench, tried = Bench(endpoints=0), 0
    far = {entry(i).endpoint_id for i in range(50)}
    bench.feed(listed(*(entry(i, zone=int(i >= 50)) for i in range(100))))
    for request in range(1, 101):
        out, attempt = of(bench.ask(request, customer=request), SendAttempt), 0
        while out:
            lost = out[0].endpoint_id in far
            tried += lost
            outcome = AttemptOutcome.CONNECT_FAILED if lost else AttemptOutcome.SERVED
            out = of(
                bench.outcome(
                    request, out[0].endpoint_id, outcome, attempt=attempt, duration_us=30_000
                ),
                SendAttempt,
            )
            attempt += 1
        bench.run(20_000)
    assert tried < 20


def test_no_endpoint_stays_ejected_when_all_fail():
    bench = Bench(endpoints=3)
    for request in range(1, 30):
        out, attempt = of(bench.ask(request, customer=request), SendAttempt), 0
        while out:
            out = of(
                bench.outcome(
                    request, out[0].endpoint_id, AttemptOutcome.CONNECT_FAILED, attempt=attempt
                ),
                SendAttempt,
            )
            attempt += 1
    bench.run(10 * SECOND)
    sends = [s for r in range(50, 62) for s in of(bench.ask(r, customer=r), SendAttempt)]
    assert len({s.endpoint_id for s in sends}) == 3


def remaining_failure_score(every: int) -> float:
    """Return the part of a failure score that is left after 6 s, by the time between outcomes."""
    bench = Bench(endpoints=60)
    number, at = 1, bench.now
    while bench.now - at < 20 * SECOND:
        (send,) = of(bench.ask(number, customer=number), SendAttempt)
        bench.now += every
        bench.outcome(number, send.endpoint_id, AttemptOutcome.SERVED, duration_us=every)
        number += 1
    (send,) = of(bench.ask(number, customer=number), SendAttempt)
    bench.outcome(number, send.endpoint_id, AttemptOutcome.CONNECT_FAILED)
    host, decay_us = (
        bench.gateway.endpoints.by_id[send.endpoint_id],
        bench.gateway.outlier_detection.endpoint_decay_us,
    )
    return host.decayed_failures(bench.now + 6 * SECOND, decay_us) / host.decayed_failures(
        bench.now, decay_us
    )


def test_a_gateway_that_meets_each_endpoint_rarely_remembers_it_longer():
    """At 5 requests a second to 60 endpoints a score that decays in 3 s is gone too early."""
    assert remaining_failure_score(every=SECOND // 5) > 0.5
    assert (
        remaining_failure_score(every=SECOND // 50) < 0.2
    )  # who meets them often forgives as soon as before
