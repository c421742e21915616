"""Outlier detection: slow and failing endpoints get fewer requests until they recover."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, entry, listed, of_type
from policy_rig import (
    serve_one,
)

from saffrongw.policy.actions import (
    SendAttempt,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)


def test_one_error_at_each_endpoint_does_not_shed_requests_to_an_idle_fleet(harness):
    """If errors counted as full failures, one at each endpoint would shed all for seconds."""
    for number in range(1, 5):
        harness.send_request(number, kind=2, customer=number)
        sent = of_type(harness.log, SendAttempt)[-1]
        harness.now += 60_000
        harness.end_attempt(number, sent.endpoint_id, AttemptOutcome.ERROR)
    assert of_type(harness.send_request(9, customer=99), SendAttempt)


def test_failures_of_all_endpoints_do_not_shed_requests_to_an_idle_fleet(harness):
    """Successes lower failure scores, but a gateway that sheds all requests gets none."""
    for endpoint in harness.gateway.endpoints.warm.endpoints:
        endpoint.failure_score, endpoint.updated_at_us = 2.0, harness.now
    assert of_type(harness.send_request(99, customer=99), SendAttempt)


def test_a_gateway_that_rarely_uses_each_endpoint_detects_an_overload_of_the_fleet():
    """Many gateways had too few samples of each endpoint to shed any load (incident)."""
    harness = GatewayHarness(endpoints=200)
    for request in range(1, 40):
        serve_one(harness, request, lambda _: 60_000)
    before = sum(serve_one(harness, r, lambda _: 3 * SECOND) is not None for r in range(100, 140))
    during = sum(serve_one(harness, r, lambda _: 3 * SECOND) is not None for r in range(200, 240))
    assert during < before / 2
    harness.run(15 * SECOND)
    assert serve_one(harness, 300, lambda _: 60_000) is not None


def test_a_slow_endpoint_gets_fewer_requests_until_it_recovers():
    harness = GatewayHarness(endpoints=4)
    slow = entry(0).endpoint_id

    def part(first: int, duration_us) -> float:
        sends = [s for r in range(first, first + 120) if (s := serve_one(harness, r, duration_us))]
        return sum(s.endpoint_id == slow for s in sends) / len(sends)

    assert part(1, lambda endpoint_id: 200_000 if endpoint_id == slow else 30_000) < 0.1
    harness.run(15 * SECOND)
    assert part(500, lambda _: 30_000) > 0.12


def test_an_endpoint_that_refuses_connections_is_avoided():
    harness = GatewayHarness(endpoints=4)
    dead, tried = entry(0).endpoint_id, 0
    for request in range(1, 101):
        send = of_type(harness.send_request(request, customer=request), SendAttempt)[0]
        attempt = 0
        while send.endpoint_id == dead:
            tried += 1
            send = of_type(
                harness.end_attempt(request, dead, AttemptOutcome.CONNECT_FAILED, attempt=attempt),
                SendAttempt,
            )[0]
            attempt += 1
        harness.run(5_000)
        harness.end_attempt(
            request, send.endpoint_id, AttemptOutcome.SERVED, attempt=attempt, duration_us=30_000
        )
    assert tried <= 5


def test_an_unreachable_zone_is_avoided_before_each_of_its_endpoints_failed():
    """In a partition a gateway tried each endpoint of the other zone.

    Found in scenario big-1 of ctva-kathmandu-later.
    """
    harness, tried = GatewayHarness(endpoints=0), 0
    far = {entry(i).endpoint_id for i in range(50)}
    harness.handle(listed(*(entry(i, zone=int(i >= 50)) for i in range(100))))
    for request in range(1, 101):
        out, attempt = of_type(harness.send_request(request, customer=request), SendAttempt), 0
        while out:
            lost = out[0].endpoint_id in far
            tried += lost
            outcome = AttemptOutcome.CONNECT_FAILED if lost else AttemptOutcome.SERVED
            out = of_type(
                harness.end_attempt(
                    request, out[0].endpoint_id, outcome, attempt=attempt, duration_us=30_000
                ),
                SendAttempt,
            )
            attempt += 1
        harness.run(20_000)
    assert tried < 20


def test_no_endpoint_stays_ejected_when_all_fail():
    harness = GatewayHarness(endpoints=3)
    for request in range(1, 30):
        out, attempt = of_type(harness.send_request(request, customer=request), SendAttempt), 0
        while out:
            out = of_type(
                harness.end_attempt(
                    request, out[0].endpoint_id, AttemptOutcome.CONNECT_FAILED, attempt=attempt
                ),
                SendAttempt,
            )
            attempt += 1
    harness.run(10 * SECOND)
    sends = [
        s for r in range(50, 62) for s in of_type(harness.send_request(r, customer=r), SendAttempt)
    ]
    assert len({s.endpoint_id for s in sends}) == 3


def remaining_failure_score(every: int) -> float:
    """Return the fraction of a failure score left after 6 s, with outcomes at this interval."""
    harness = GatewayHarness(endpoints=60)
    number, at = 1, harness.now
    while harness.now - at < 20 * SECOND:
        (send,) = of_type(harness.send_request(number, customer=number), SendAttempt)
        harness.now += every
        harness.end_attempt(number, send.endpoint_id, AttemptOutcome.SERVED, duration_us=every)
        number += 1
    (send,) = of_type(harness.send_request(number, customer=number), SendAttempt)
    harness.end_attempt(number, send.endpoint_id, AttemptOutcome.CONNECT_FAILED)
    endpoint, decay_us = (
        harness.gateway.endpoints.by_id[send.endpoint_id],
        harness.gateway.outlier_detection.endpoint_decay_us,
    )
    return endpoint.decayed_failures(
        harness.now + 6 * SECOND, decay_us
    ) / endpoint.decayed_failures(harness.now, decay_us)


def test_failure_scores_decay_more_slowly_at_a_gateway_that_rarely_uses_each_endpoint():
    """With 5 requests per second to 60 endpoints, a score that decays in 3 s is lost too early."""
    assert remaining_failure_score(every=SECOND // 5) > 0.5
    assert (
        remaining_failure_score(every=SECOND // 50) < 0.2
    )  # with frequent outcomes the decay is as fast as usual
