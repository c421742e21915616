"""Reports to coordinators, and the candidates that stand in for silent ones."""

from __future__ import annotations

from conftest import SECOND, Bench, of
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
    bench = Bench(node_count=60)
    first = [(p, m) for p, m in sent_messages(bench.ask(1, size=50)) if m.is_report]
    assert len(first) == 1
    assert first[0][1].wants_answer
    next_peers = [p for p, m in sent_messages(bench.run(290_000)) if m.is_report]
    assert len(next_peers) == 1
    assert next_peers != [first[0][0]]


def test_a_coordinator_that_answers_is_not_replaced():
    bench = Bench(node_count=60)
    coordinator = next(p for p, m in sent_messages(bench.ask(1, size=50)) if m.is_report)
    bench.now += 20_000
    receive_rows(bench, coordinator, quota_row([], size=50))
    assert not [p for p, m in sent_messages(bench.run(270_000)) if m.is_report]


def test_a_customer_whose_candidates_are_all_silent_is_not_locked_to_its_first_share():
    """In a partition a new customer once got its share and nothing more, as nobody answered."""
    bench = Bench(node_count=60)
    count_admitted(bench, 3, size=50)
    bench.run(3 * SECOND)
    assert count_admitted(bench, 3, start=10, size=50) > 1


def test_reports_that_come_fast_share_messages_and_none_is_lost():
    """One message for each would use up the budget and leave none to answer with."""
    bench = Bench()
    for number in range(300):
        (sent,) = of(bench.ask(number, customer=number), SendAttempt)
        bench.outcome(number, sent.endpoint_id, AttemptOutcome.SERVED)
        bench.run(2_000)
    bench.run(2 * SECOND)
    messages = [
        (sent.peer, gossip_codec.unpack_message(sent.body, bench.now // 1000, 3, 4))
        for sent in of(bench.log, SendGossip)
    ]
    reported = {
        row.customer for _, message in messages if message.is_report for row in message.rows
    }
    theirs = {
        n
        for n in range(300)
        if bench.gateway.replica_sets.coordinator(
            bench.gateway.quota_counters.open(n, 0, 0, 3, True)
        )
        != 0
    }
    assert theirs <= reported
    assert len(messages) <= 0.8 * 50 * (1 + 2.6 + 1)
    assert bench.gateway.coordinator_reports.due == {}
