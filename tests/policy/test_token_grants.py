"""Token grants: gateways that lack units of a ceiling request them from the coordinator."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, GatewayHarness, of_type

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendGossip,
)
from saffrongw.policy.admission import MAX_GRANT_WAIT_US
from saffrongw.policy.customer_quota import CustomerQuota
from saffrongw.policy.events import (
    ClientDisconnected,
    GossipReceived,
)
from saffrongw.policy.gossip_codec import GossipRow
from saffrongw.policy.replica_sets import ReplicaSets
from saffrongw.policy.token_grants import PENDING_GRANT_LIFETIME_US

CUSTOMER, WITH_CEILING, SIZE = (
    1,
    2,
    3,
)  # the ceiling has a burst of 16 units and a rate of 8 per second
MS = 1_000
COORDINATOR = ReplicaSets(0, SIZE).coordinator(
    CustomerQuota(CUSTOMER, WITH_CEILING, 0, SIZE, 0.0, 0)
)
OTHER, THIRD = (COORDINATOR + 1) % SIZE, (COORDINATOR + 2) % SIZE


def receive_grant_row(
    harness: GatewayHarness, sender: int, grants: float, counts=(), is_report=False, ago=0
) -> list:
    """Receive a row with grants, given or requested in a report, that was sent ``ago`` ms ago."""
    sent = harness.now // MS - ago
    row = GossipRow(CUSTOMER, WITH_CEILING, 0, SIZE, 0, 8.0, 0.0, grants, counts)
    body = gossip_codec.pack_message(
        sent, is_report, is_report, [gossip_codec.pack_row(row, sent, SIZE)]
    )
    return harness.handle(GossipReceived(sender, body))


def grants_to(actions, peer: int) -> list[float]:
    """Return the grants, requested or given, in the rows sent to a peer."""
    bodies = [a.body for a in of_type(actions, SendGossip) if a.peer == peer]
    messages = [gossip_codec.unpack_message(body, T0 // MS + 60_000, SIZE, 9) for body in bodies]
    return [row.grants for message in messages for row in message.rows]


def request_once(harness: GatewayHarness, number: int, **more) -> list:
    return harness.send_request(number, customer=CUSTOMER, plan=WITH_CEILING, **more)


def final_answers_in(actions) -> list:
    return of_type(actions, (RejectRequest, FailRequest))


def test_a_request_waits_for_grants_and_is_sent_when_they_come():
    harness = GatewayHarness(node_index=OTHER)
    actions = request_once(harness, 1)
    assert not final_answers_in(actions)
    assert grants_to(actions, COORDINATOR) == [1.0]
    harness.run(30 * MS)
    came = receive_grant_row(harness, COORDINATOR, 1.0)
    assert [send.request for send in of_type(came, SendAttempt)] == [1]
    assert not final_answers_in(harness.run(SECOND))


def test_waiting_requests_request_their_grants_together_and_are_sent_in_order():
    harness = GatewayHarness(node_index=OTHER)
    for number in (1, 2, 3):
        actions = request_once(harness, number)
    assert grants_to(actions, COORDINATOR) == [3.0]
    assert [
        send.request for send in of_type(receive_grant_row(harness, COORDINATOR, 2.0), SendAttempt)
    ] == [
        1,
        2,
    ]
    assert [answer.request for answer in final_answers_in(harness.run(MAX_GRANT_WAIT_US))] == [3]


def test_without_an_answer_a_request_is_rejected_and_after_two_the_next_does_not_wait():
    harness = GatewayHarness(node_index=OTHER)
    request_once(harness, 1)
    assert not final_answers_in(harness.run(MAX_GRANT_WAIT_US - 2 * MS))
    assert len(final_answers_in(harness.run(SECOND))) == 1
    request_once(harness, 2)
    harness.run(250 * MS)
    harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units = 0.0
    assert len(final_answers_in(request_once(harness, 3))) == 1  # without waiting
    receive_grant_row(harness, COORDINATOR, 0.0)
    harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units = 0.0
    assert not final_answers_in(
        request_once(harness, 4)
    )  # the coordinator responds: it waits again


def test_a_request_near_its_deadline_does_not_wait():
    assert (
        len(final_answers_in(request_once(GatewayHarness(node_index=OTHER), 1, left=150 * MS))) == 1
    )


def test_late_or_repeated_grants_are_ignored():
    harness = GatewayHarness(node_index=OTHER)
    request_once(harness, 1)
    assert not of_type(receive_grant_row(harness, COORDINATOR, 1.0, ago=300), SendAttempt)
    assert of_type(receive_grant_row(harness, COORDINATOR, 1.0), SendAttempt)
    receive_grant_row(harness, COORDINATOR, 1.0)
    assert harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units < 1.0


def test_grants_above_the_own_part_last_only_for_waiting_requests():
    harness = GatewayHarness(node_index=OTHER)
    for number in range(1, 7):
        request_once(harness, number)
    for number in range(1, 6):
        harness.handle(ClientDisconnected(number))
    receive_grant_row(harness, COORDINATOR, 6.0)
    assert harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units <= 16 / (2 * SIZE)


def coordinator_with(level: float) -> GatewayHarness:
    """Return the coordinator with this many units; its part has a burst of 32 / 3.

    It refills at 16 / 3 units per second.
    """
    harness = GatewayHarness(node_index=COORDINATOR)
    receive_grant_row(harness, OTHER, 0.0, is_report=True)
    harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units = level
    return harness


def test_a_coordinator_serves_waiting_requests_before_it_tops_up():
    harness = coordinator_with(3.0)
    start = T0 // MS // gossip_codec.TICK_MS
    assert grants_to(
        receive_grant_row(harness, OTHER, 1.0, ((OTHER, start, 1.0),), is_report=True), OTHER
    ) == [0.0]  # its counter grew: no request waits there
    assert grants_to(receive_grant_row(harness, THIRD, 2.0, is_report=True), THIRD) == [
        2.0
    ]  # its counter did not grow: a request waits there


def test_a_coordinator_that_is_short_sends_pending_grants_in_order_as_it_refills():
    harness = coordinator_with(0.5)
    assert grants_to(receive_grant_row(harness, OTHER, 1.0, is_report=True), OTHER) == [0.0]
    receive_grant_row(harness, THIRD, 0.25, is_report=True)
    paid = harness.run(PENDING_GRANT_LIFETIME_US)
    assert grants_to(paid, OTHER) == [1.0]
    assert grants_to(paid, THIRD) == [0.25]
    assert [a.peer for a in of_type(paid, SendGossip) if grants_to([a], a.peer) != [0.0]] == [
        OTHER,
        THIRD,
    ]
    assert harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units == pytest.approx(
        0.5 - 1.25 + 0.15 * 16 / 3, abs=0.03
    )


def test_pending_grants_expire_and_leave_nothing():
    harness = coordinator_with(0.0)
    receive_grant_row(harness, OTHER, 8.0, is_report=True)
    assert grants_to(harness.run(10 * SECOND), OTHER) == []
    assert not harness.gateway.token_grants.pending_customers
    assert not harness.gateway.quota_counters.customers[CUSTOMER].pending_grants


def test_the_coordinators_own_request_waits_for_what_refills_in_time():
    harness = coordinator_with(0.5)
    assert not final_answers_in(request_once(harness, 1))
    assert of_type(harness.run(MAX_GRANT_WAIT_US), SendAttempt)
    harness = coordinator_with(-4.0)
    # The refill would take longer than a request may wait.
    assert len(final_answers_in(request_once(harness, 1))) == 1


def test_parts_refill_from_the_start_of_the_process():
    harness = GatewayHarness(node_index=COORDINATOR, now=T0)
    harness.gateway.start(T0 - SECOND // 2)
    (send,) = of_type(request_once(harness, 1), SendAttempt)
    assert send.request == 1
    assert harness.gateway.quota_counters.customers[CUSTOMER].ceiling_units == pytest.approx(
        0.5 * 16 / 3 - 1
    )


def ceiling_row(grants: float, total=0.0) -> GossipRow:
    """Return a row on a customer with a rate ceiling, with grants requested or given."""
    return GossipRow(1, 2, 0, 3, 0, 8.0, total, grants, ())


def receive_ceiling_row(
    harness: GatewayHarness, sender: int, row: GossipRow, is_report: bool
) -> list:
    """Receive a row; a report requests an answer."""
    sent = harness.now // 1_000
    body = gossip_codec.pack_message(
        sent, is_report, is_report, [gossip_codec.pack_row(row, sent, 3)]
    )
    return harness.handle(GossipReceived(sender, body))


def test_a_coordinator_grants_no_more_than_its_part_of_a_ceiling():
    """Each grant is deducted from the coordinator's part, so that the grants stay within it."""
    coordinator = next(
        r
        for r in range(3)
        if GatewayHarness(node_index=r).gateway.replica_sets.coordinator(
            CustomerQuota(1, 2, 0, 3, 8.0, T0)
        )
        == r
    )
    harness = GatewayHarness(node_index=coordinator)
    other = (coordinator + 1) % 3
    receive_ceiling_row(harness, other, ceiling_row(0.0), is_report=True)
    harness.now += 30 * SECOND  # its part, with a burst of 16 x 2/3, is full
    given = 0.0
    for _ in range(5):
        for sent in of_type(
            receive_ceiling_row(harness, other, ceiling_row(3.5), is_report=True), SendGossip
        ):
            message = gossip_codec.unpack_message(sent.body, harness.now // 1_000, 3, 4)
            given += message.rows[0].grants if not message.is_report else 0.0
    assert 10.0 < given <= 16 * 2 / 3


def test_grants_that_were_not_requested_are_ignored():
    """Repeated or unrequested grants must not add units to a gateway's part of a ceiling."""
    harness = GatewayHarness(node_index=1)
    receive_ceiling_row(harness, 0, ceiling_row(16.0), is_report=False)
    assert not of_type(harness.send_request(1, customer=1, plan=2), SendAttempt)
    receive_ceiling_row(harness, 0, ceiling_row(2.0), is_report=False)
    receive_ceiling_row(harness, 0, ceiling_row(2.0), is_report=False)
    for request in range(2, 30):
        harness.send_request(request, customer=1, plan=2)
    assert len(of_type(harness.log, SendAttempt)) == 1  # only the units that were requested, once
