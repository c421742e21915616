"""Load shedding: which requests are started first, and which are rejected while others wait."""

from __future__ import annotations

import dataclasses
import random

import pytest
from conftest import IDEMPOTENT, NON_IDEMPOTENT, PLAIN, SECOND, T0, GatewayHarness

from saffrongw.policy.actions import SendAttempt
from saffrongw.policy.durations import MS_US
from saffrongw.policy.load_shedding import (
    MAX_CAPACITY,
    MIN_CAPACITY,
    MIN_CUSTOMER_CAPACITY,
    MIN_RETRY_AFTER_US,
    LoadShedder,
    QueuedRequest,
)
from saffrongw.policy.settings import Idempotency

HIGH_PRIORITY = dataclasses.replace(NON_IDEMPOTENT, priority_weight=5.0)
EQUAL_PRIORITY = dataclasses.replace(
    IDEMPOTENT, idempotency=Idempotency.IDEMPOTENCY_KEY
)  # of the same priority as IDEMPOTENT
EXPENSIVE_PLAN = dataclasses.replace(PLAIN, price=1.6)


def new_shedder() -> LoadShedder:
    return LoadShedder((IDEMPOTENT, HIGH_PRIORITY, EQUAL_PRIORITY), (PLAIN, EXPENSIVE_PLAN))


def queued(customer: int, plan=0, kind=0, until=T0 + 2 * SECOND, tag=None) -> QueuedRequest:
    return QueuedRequest(customer, plan, kind, until, tag)


def queue_to_capacity(shedder: LoadShedder, kind: int, now=T0, plan=0, first=1_000) -> None:
    """Fill the queue to its capacity."""
    for customer in range(first, first + shedder.capacity - len(shedder)):
        assert shedder.offer(now, queued(customer, plan, kind)) is None
    assert len(shedder) == shedder.capacity


def test_the_highest_priority_starts_first_and_equal_ones_round_robin_by_customer():
    shedder = new_shedder()
    for customer, kind in ((1, 0), (1, 0), (2, 2), (3, 1)):
        shedder.offer(T0, queued(customer, kind=kind))
    assert [
        (request.customer, request.kind) for request in iter(lambda: shedder.take(T0), None)
    ] == [
        (3, 1),
        (1, 0),
        (2, 2),
        (1, 0),
    ]
    assert (len(shedder), shedder.count_by_customer, shedder.overloaded_since_us) == (0, {}, 0)


def test_a_full_queue_sheds_the_lowest_priority_and_never_a_higher_one():
    shedder = new_shedder()
    queue_to_capacity(shedder, kind=0)
    rejected = queued(1)
    assert shedder.offer(T0, rejected) is rejected
    assert rejected.is_done
    shed = shedder.offer(T0, higher := queued(2, kind=1))
    assert shed.kind == 0
    assert shed.is_done
    assert not higher.is_done
    assert len(shedder) == shedder.capacity
    assert shedder.take(T0) is higher


def test_one_customer_with_nine_tenths_of_the_load_gets_no_more_than_twice_the_others_share():
    shedder, generator = new_shedder(), random.Random(7)
    started = {True: 0, False: 0}
    arrived = {True: 0, False: 0}
    for step in range(3_000):
        now = T0 + step * MS_US
        for _ in range(10):
            heavy = generator.random() < 0.9
            arrived[heavy] += 1
            shedder.offer(
                now, queued(1 if heavy else generator.randrange(2, 60), until=now + SECOND)
            )
        shedder.pop_expired(now)
        if request := shedder.take(now):
            started[request.customer == 1] += 1
    assert started[False] > 0.85 * arrived[False]
    customers = len(shedder.count_by_customer)
    max_queued = max(MIN_CUSTOMER_CAPACITY, 2 * shedder.capacity / customers + 1)
    assert shedder.count_by_customer.get(1, 0) <= max_queued


def test_a_cheap_plan_is_not_starved_by_an_expensive_one():
    shedder, generator, started = new_shedder(), random.Random(3), [0, 0]
    for step in range(4_000):
        now = T0 + step * MS_US
        for _ in range(4):
            request = queued(
                generator.randrange(500),
                generator.randrange(2),
                generator.randrange(3),
                until=now + SECOND,
            )
            shedder.offer(now, request)
        shedder.pop_expired(now)
        if request := shedder.take(now):
            started[request.plan] += 1
    assert started[1] > started[0] > 0.35 * started[1]


def test_an_expired_request_is_returned_once_and_a_dropped_one_never():
    shedder = new_shedder()
    shedder.offer(T0, stays := queued(1))
    shedder.offer(T0, leaves := queued(2))
    shedder.drop(leaves)
    shedder.drop(leaves)
    wait = shedder.max_wait_us[0]
    assert shedder.pop_expired(T0 + wait - 1) == []
    assert shedder.pop_expired(T0 + wait) == [stays]
    assert shedder.pop_expired(T0 + 2 * wait) == []
    assert shedder.take(T0) is None
    shedder.offer(T0, soon := queued(3, until=T0 + MS_US))
    assert shedder.pop_expired(T0 + MS_US) == [soon]


def test_the_capacity_follows_the_rate_of_started_requests_and_is_bounded():
    shedder, now = new_shedder(), T0
    assert shedder.capacity == MIN_CAPACITY
    for per_ms, min_capacity in ((3, 150), (200, MAX_CAPACITY)):
        for _ in range(600):
            now += MS_US
            for customer in range(per_ms):
                shedder.offer(now, queued(customer + 10_000))
            for _ in range(per_ms):
                shedder.take(now)
            shedder.offer(now, queued(1))  # keeps the queue from becoming empty
        assert min_capacity <= shedder.capacity <= MAX_CAPACITY


def test_retry_after_grows_with_the_overload_within_the_settings():
    shedder = new_shedder()
    shedder.offer(T0, queued(1))
    assert shedder.retry_after_us(T0, SECOND) == MIN_RETRY_AFTER_US
    assert shedder.retry_after_us(T0 + SECOND, SECOND) == SECOND // 2
    assert shedder.retry_after_us(T0 + 60 * SECOND, SECOND) == SECOND
    assert shedder.retry_after_us(T0, 0) == 0  # the settings allow no Retry-After


@pytest.mark.parametrize("seed", range(5))
def test_each_request_ends_exactly_once_whatever_comes(seed):
    """Each request is started, rejected, expired or dropped exactly once, and leaves no state."""
    shedder, generator, pending, ended, now = new_shedder(), random.Random(seed), {}, {}, T0

    def end(request: QueuedRequest, how: str) -> None:
        assert request.tag not in ended
        ended[request.tag] = how
        pending.pop(request.tag, None)

    for number in range(6_000):
        now += generator.choice((0, 0, 0, 300, 5 * MS_US))
        customer, until = generator.choice((1, generator.randrange(300))), now + SECOND
        request = queued(customer, generator.randrange(2), generator.randrange(3), until, number)
        pending[number] = request
        if (shed := shedder.offer(now, request)) is not None:
            end(shed, "rejected")
        if generator.random() < 0.3 and (request := shedder.take(now)):
            end(request, "started")
        if generator.random() < 0.1:
            for request in shedder.pop_expired(now):
                end(request, "expired")
        if generator.random() < 0.05 and pending:
            request = pending[generator.choice(list(pending))]
            shedder.drop(request)
            end(request, "dropped")
        assert (
            len(shedder) == len(pending) == sum(shedder.count_by_customer.values()) <= MAX_CAPACITY
        )
    while request := shedder.take(now):
        end(request, "started")
    assert len(ended) == 6_000
    assert not shedder.count_by_customer
    assert not any(shedder.by_arrival)
    assert not any(lane.flows for lanes in shedder.lanes for lane in lanes)
    assert set(ended.values()) == {"started", "rejected", "expired", "dropped"}


def test_a_request_that_exceeds_its_quota_is_recognized_without_counting():
    harness = GatewayHarness()
    assert not harness.gateway.exceeds_quota(T0, 7, 0, 1.0)  # an unknown customer
    harness.gateway.admission.max_expected_latency_us = lambda _request: float(
        "inf"
    )  # no load shedding, because no attempt is answered here
    number = 1
    while any(isinstance(action, SendAttempt) for action in harness.send_request(number, size=1)):
        number += 1
    before = harness.gateway.quota_counters.customers[7].spent_units
    assert harness.gateway.exceeds_quota(harness.now, 7, 0, 1.0)
    assert harness.gateway.quota_counters.customers[7].spent_units == before
    later = harness.now + 60 * SECOND
    assert not harness.gateway.exceeds_quota(later, 7, 0, 1.0)


def test_a_refilled_share_of_a_quota_does_not_count_as_exceeded():
    """Without gossip a gateway grants its share: the headroom never reaches 0.6 of the burst."""
    harness = GatewayHarness(may_send_gossip=False)
    harness.gateway.admission.max_expected_latency_us = lambda _request: float("inf")
    number = 1
    while any(isinstance(action, SendAttempt) for action in harness.send_request(number, size=3)):
        number += 1
    assert harness.gateway.quota_counters.customers[7].is_exhausted
    assert harness.gateway.exceeds_quota(harness.now, 7, 0, 1.0)
    harness.now += 60 * SECOND
    assert not harness.gateway.exceeds_quota(harness.now, 7, 0, 1.0)
