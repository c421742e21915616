"""Reports to coordinators, and the candidates that replace silent ones."""

from __future__ import annotations

from conftest import SECOND, GatewayHarness, of_type
from policy_rig import (
    count_admitted,
    quota_row,
    receive_rows,
    sent_messages,
)

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    SendAttempt,
    SendGossip,
)
from saffrongw.policy.events import (
    AttemptOutcome,
)


def test_each_admission_is_reported_to_one_coordinator_and_then_to_the_next_candidate():
    harness = GatewayHarness(node_count=60)
    first = [(p, m) for p, m in sent_messages(harness.send_request(1, size=50)) if m.is_report]
    assert len(first) == 1
    assert first[0][1].wants_answer
    next_peers = [p for p, m in sent_messages(harness.run(290_000)) if m.is_report]
    assert len(next_peers) == 1
    assert next_peers != [first[0][0]]


def test_a_coordinator_that_answers_is_not_replaced():
    harness = GatewayHarness(node_count=60)
    coordinator = next(p for p, m in sent_messages(harness.send_request(1, size=50)) if m.is_report)
    harness.now += 20_000
    receive_rows(harness, coordinator, quota_row([], size=50))
    assert not [p for p, m in sent_messages(harness.run(270_000)) if m.is_report]


def test_a_customer_whose_candidates_are_all_silent_is_not_locked_to_its_first_share():
    """In a partition no candidate answers: a new customer got its share once and no more units."""
    harness = GatewayHarness(node_count=60)
    count_admitted(harness, 3, size=50)
    harness.run(3 * SECOND)
    assert count_admitted(harness, 3, start=10, size=50) > 1


def test_reports_that_come_fast_share_messages_and_none_is_lost():
    """One message for each report would use up the budget, with none left for answers."""
    harness = GatewayHarness()
    for number in range(300):
        (sent,) = of_type(harness.send_request(number, customer=number), SendAttempt)
        harness.end_attempt(number, sent.endpoint_id, AttemptOutcome.SERVED)
        harness.run(2_000)
    harness.run(2 * SECOND)
    messages = [
        (sent.peer, gossip_codec.unpack_message(sent.body, harness.now // 1000, 3, 4))
        for sent in of_type(harness.log, SendGossip)
    ]
    reported = {
        row.customer for _, message in messages if message.is_report for row in message.rows
    }
    theirs = {
        n
        for n in range(300)
        if harness.gateway.replica_sets.coordinator(
            harness.gateway.quota_counters.get_or_create(n, 0, 0, 3, True)
        )
        != 0
    }
    assert theirs <= reported
    assert len(messages) <= 0.8 * 50 * (1 + 2.6 + 1)
    assert harness.gateway.coordinator_reports.due == {}
