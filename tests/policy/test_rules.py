"""The five rules, by one gateway alone."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, Bench, entry, listed, of

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendGossip,
)
from saffrongw.policy.customer_quota import CustomerQuota
from saffrongw.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    GossipReceived,
    TimerFired,
)
from saffrongw.policy.gossip_codec import GossipRow
from saffrongw.policy.retry_policy import FINAL_ANSWER_MARGIN_US

SAFE_KIND, CELL_KIND, UNSAFE_KIND, ALL_KIND, ZONE_KIND = range(5)
NEVER_RAN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
MAY_HAVE_RUN = (
    AttemptOutcome.ERROR,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.CANCELLED,
)


def finals(bench: Bench, request: int) -> list:
    """Our final answers to one request."""
    return [
        a for a in bench.log if isinstance(a, (RejectRequest, FailRequest)) and a.request == request
    ]


# Rule 1


def test_a_request_without_servers_is_held_and_then_ended_in_time():
    bench = Bench(endpoints=0)
    assert not of(bench.ask(1, left=SECOND), (RejectRequest, FailRequest))
    bench.run(SECOND - 1)
    assert finals(bench, 1) == [RejectRequest(1, 0)]


def test_a_held_request_goes_out_when_a_server_comes():
    bench = Bench(endpoints=0)
    bench.ask(1)
    bench.run(100_000)
    bench.feed(listed(entry(1)))
    assert len(of(bench.run(100_000), SendAttempt)) == 1


def test_a_timeout_at_the_deadline_is_answered_at_once(bench):
    send = of(bench.ask(1, kind=UNSAFE_KIND), SendAttempt)[0]
    bench.now += 2 * SECOND
    bench.outcome(1, send.endpoint_id, AttemptOutcome.TIMED_OUT, duration_us=2 * SECOND)
    assert finals(bench, 1) == [FailRequest(1)]
    bench.run(5 * SECOND)
    assert len(finals(bench, 1)) == 1


def test_nothing_follows_an_answer_or_a_client_gone(bench):
    send = of(bench.ask(1), SendAttempt)[0]
    bench.outcome(1, send.endpoint_id, AttemptOutcome.SERVED)
    other = of(bench.ask(2), SendAttempt)[0]
    bench.feed(ClientDisconnected(2))
    bench.outcome(2, other.endpoint_id, AttemptOutcome.ERROR)
    assert not of(bench.run(3 * SECOND), (SendAttempt, RejectRequest, FailRequest))


def test_what_is_not_held_is_passed_over(bench):
    assert bench.outcome(99, entry(1).endpoint_id, AttemptOutcome.SERVED) == []
    assert bench.feed(TimerFired(99)) == []
    assert bench.feed(ClientDisconnected(99)) == []


# Rule 2


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused(bench, outcome):
    send = of(bench.ask(1, kind=UNSAFE_KIND), SendAttempt)[0]
    bench.now += 10_000
    actions = bench.outcome(1, send.endpoint_id, outcome)
    assert not of(actions, (SendAttempt, RejectRequest))
    assert of(actions, FailRequest) == [FailRequest(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_goes_on(bench, outcome):
    send = of(bench.ask(1, kind=UNSAFE_KIND), SendAttempt)[0]
    assert of(bench.outcome(1, send.endpoint_id, outcome), SendAttempt)


def test_an_unsafe_request_gets_no_second_copy(bench):
    bench.ask(1, kind=UNSAFE_KIND)
    assert not of(bench.run(3 * SECOND), SendAttempt)


@pytest.mark.parametrize(("kind", "near"), [(CELL_KIND, "cell"), (ZONE_KIND, "zone")])
def test_a_keyed_request_stays_in_its_group(kind, near):
    for seed in range(12):
        bench = Bench(endpoints=0, seed=seed)
        where = {entry(i).endpoint_id: i % 2 for i in range(6)}
        bench.feed(listed(*(entry(i, **{near: i % 2}) for i in range(6))))
        send = of(bench.ask(1, kind=kind), SendAttempt)[0]
        bench.now += 10_000
        again = of(bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt)
        assert [where[a.endpoint_id] for a in again] == [where[send.endpoint_id]]


def test_a_keyed_request_with_no_server_of_its_group_fails_in_the_end():
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(1, cell=1)))
    send = of(bench.ask(1, kind=CELL_KIND), SendAttempt)[0]
    bench.feed(listed(entry(2, cell=2)))
    bench.now += 10_000
    assert not of(bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt)
    bench.run(2 * SECOND)
    assert finals(bench, 1) == [FailRequest(1)]


def test_a_keyed_request_is_not_repeated_after_its_window(bench):
    send = of(bench.ask(1, kind=ALL_KIND, left=4 * SECOND), SendAttempt)[0]
    bench.now += SECOND + 1
    assert not of(bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt)
    bench.run(4 * SECOND)
    assert finals(bench, 1) == [RejectRequest(1, 0)]


@pytest.mark.parametrize("connects", [0, 250_000])
def test_a_keyed_request_is_not_repeated_where_its_connection_might_come_up_after_the_window(
    connects,
):
    """A send begins when its connection is up: decided in the window, it would run a second time behind it."""
    for early in (False, True):
        bench = Bench(connect_timeout_us=connects)
        send = of(bench.ask(1, kind=ALL_KIND, left=4 * SECOND), SendAttempt)[0]
        bench.now += SECOND - FINAL_ANSWER_MARGIN_US - connects - early
        again = of(bench.outcome(1, send.endpoint_id, AttemptOutcome.CONNECTION_LOST), SendAttempt)
        assert bool(again) is early


def test_an_attempt_that_nobody_waits_for_is_called_off(bench):
    bench.ask(1)
    assert of(bench.feed(ClientDisconnected(1)), CancelAttempt) == [CancelAttempt(1, 0)]


def test_attempts_stay_within_the_limit():
    bench = Bench(max_attempts=2)
    send = of(bench.ask(1), SendAttempt)[0]
    send = of(bench.outcome(1, send.endpoint_id, AttemptOutcome.OVERLOADED), SendAttempt)[0]
    actions = bench.outcome(1, send.endpoint_id, AttemptOutcome.OVERLOADED, attempt=1)
    assert of(actions, (SendAttempt, RejectRequest)) == [RejectRequest(1, 0)]


# Rule 3


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_goes_to_a_draining_or_gone_server(state):
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(1), entry(2)))
    bench.feed(listed(entry(1, state=state), kind=EndpointListKind.DELTA))
    for request in range(1, 9):
        for send in of(bench.ask(request, customer=request), SendAttempt):
            assert send.endpoint_id == entry(2).endpoint_id
            for again in of(
                bench.outcome(request, send.endpoint_id, AttemptOutcome.OVERLOADED), SendAttempt
            ):
                assert again.endpoint_id == entry(2).endpoint_id


def test_a_whole_list_ends_what_it_lacks_and_binds_held_requests():
    bench = Bench(endpoints=2)
    bench.feed(listed())
    assert not of(bench.ask(1), SendAttempt)
    assert not of(bench.run(2 * SECOND), SendAttempt)
    assert finals(bench, 1) == [RejectRequest(1, 0)]


def test_a_failed_list_call_changes_nothing(bench):
    bench.feed(EndpointListReceived(EndpointListKind.FAILED, 9, ()))
    assert of(bench.ask(1), SendAttempt)


# Rule 4


def test_a_cold_server_gets_no_more_than_its_part_of_a_warm_ones_share():
    bench = Bench(endpoints=0)
    cold = entry(9, started_at_us=T0)
    bench.feed(listed(*(entry(i) for i in range(4)), cold))
    sent = {"cold": 0, "warm": 0}
    for request in range(1, 401):
        for send in of(bench.ask(request, customer=request), SendAttempt):
            sent["cold" if send.endpoint_id == cold.endpoint_id else "warm"] += 1
            bench.outcome(request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
        bench.run(5_000)
    ramp = 0.25 + 0.75 * 2 / 10  # two seconds into ten
    assert sent["warm"] > 300
    assert sent["cold"] <= ramp * sent["warm"] / 4 + 1


def test_a_server_that_restarted_is_cold_again_and_gets_no_burst():
    bench = Bench(endpoints=0)
    bench.feed(listed(entry(1, started_at_us=T0 - 60 * SECOND)))
    assert len(of(bench.ask(1), SendAttempt)) == 1
    bench.feed(listed(entry(1, started_at_us=T0), kind=EndpointListKind.DELTA))
    sends = [s for r in range(2, 402) for s in of(bench.ask(r, customer=r), SendAttempt)]
    assert 0 < len(sends) <= 0.25 * 400
    for _ in range(50):  # what is held does not try its luck again and again
        bench.run(20_000)
    assert len(of(bench.log, SendAttempt)) <= 0.4 * 400


def test_cold_servers_stay_safe_in_sum_of_many_gateways():
    """A gateway of a large fleet sends to one server less than once in its warm-up: chance has to sum up."""
    cold, sent = entry(9, started_at_us=T0), {True: 0, False: 0}
    for seed in range(200):
        bench = Bench(endpoints=0, seed=seed, node_count=200, now=T0 + 2 * SECOND)
        bench.feed(listed(*(entry(i) for i in range(4)), cold))
        for request in range(1, 11):
            for send in of(bench.ask(request, customer=request, size=1), SendAttempt):
                sent[send.endpoint_id == cold.endpoint_id] += 1
                bench.outcome(request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=30_000)
    assert 0.2 * sent[False] / 4 < sent[True] < 0.4 * sent[False] / 4


# Rule 5


def test_a_ceiling_is_shared_out_and_starts_empty():
    bench = Bench(endpoints=4)
    sent = 0
    for request in range(1, 601):  # 6 s, far more than the ceiling lets pass
        for send in of(bench.ask(request, customer=1, plan=2), SendAttempt):
            sent += 1
            bench.outcome(request, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
        bench.run(10_000)
    assert 0 < sent <= 8 / 3 * 6


def ceiling_row(rights: float, total=0.0) -> GossipRow:
    """A word on a customer with a ceiling, with rights wanted or given."""
    return GossipRow(1, 2, 0, 3, 0, 8.0, total, rights, ())


def hear(bench: Bench, sender: int, row: GossipRow, keep: bool) -> list:
    """A peer's word, which asks for an answer where it wants rights."""
    sent = bench.now // 1_000
    body = gossip_codec.pack_message(sent, keep, keep, [gossip_codec.pack_row(row, sent, 3)])
    return bench.feed(GossipReceived(sender, body))


def test_a_keeper_gives_rights_of_a_ceiling_only_once():
    """What it gives is off its own part first; together no more than the ceiling's store goes out."""
    keeper = next(
        r
        for r in range(3)
        if Bench(node_index=r).gateway.replica_sets.coordinator(CustomerQuota(1, 2, 0, 3, 8.0, T0))
        == r
    )
    bench = Bench(node_index=keeper)
    other = (keeper + 1) % 3
    hear(bench, other, ceiling_row(0.0), keep=True)
    bench.now += 30 * SECOND  # its store of 16 x 2/3 is full
    given = 0.0
    for _ in range(5):
        for tell in of(hear(bench, other, ceiling_row(3.5), keep=True), SendGossip):
            message = gossip_codec.unpack_message(tell.body, bench.now // 1_000, 3, 4)
            given += message.rows[0].grants if not message.is_report else 0.0
    assert 10.0 < given <= 16 * 2 / 3


def test_rights_that_were_not_asked_for_are_not_taken():
    """A repeated or made-up gift must not lift a ceiling."""
    bench = Bench(node_index=1)
    hear(bench, 0, ceiling_row(16.0), keep=False)
    assert not of(bench.ask(1, customer=1, plan=2), SendAttempt)
    hear(bench, 0, ceiling_row(2.0), keep=False)
    hear(bench, 0, ceiling_row(2.0), keep=False)
    for request in range(2, 30):
        bench.ask(request, customer=1, plan=2)
    assert len(of(bench.log, SendAttempt)) == 1  # once what was asked for


def test_a_restart_gives_no_fresh_part_of_a_ceiling():
    bench = Bench(now=T0 + 10 * SECOND)
    assert not of(bench.ask(1, plan=2), SendAttempt)
    bench.now += SECOND
    sends = [s for r in range(2, 9) for s in of(bench.ask(r, plan=2), SendAttempt)]
    assert len(sends) <= 5  # its part of eight a second


def test_one_spoilt_answer_does_not_close_an_idle_fleet(bench):
    """Each server spoils one answer: counted as dead ones, all would be refused for seconds."""
    for number in range(1, 5):
        bench.ask(number, kind=2, customer=number)
        sent = of(bench.log, SendAttempt)[-1]
        bench.now += 60_000
        bench.outcome(number, sent.endpoint_id, AttemptOutcome.ERROR)
    assert of(bench.ask(9, customer=99), SendAttempt)


def test_a_request_without_a_server_ends_before_half_its_time_is_over():
    """Who waits until the end has no time left to ask elsewhere."""
    bench = Bench(endpoints=0)
    bench.ask(1, left=2 * SECOND)
    start, done = bench.now, []
    while not of(done, RejectRequest) and bench.now < start + 3 * SECOND:
        done = bench.run(10_000)
    assert bench.now - start < SECOND


def test_what_was_not_connected_ends_before_half_its_time_too(bench):
    bench.ask(1, left=2 * SECOND)
    bench.now += SECOND
    sent = of(bench.log, SendAttempt)[-1]
    assert of(bench.outcome(1, sent.endpoint_id, AttemptOutcome.CONNECT_FAILED), RejectRequest)


def test_failures_of_all_servers_do_not_close_an_idle_fleet(bench):
    """Marks fade with time and with answers: who refuses all gets no answers."""
    for host in bench.gateway.endpoints.warm.endpoints:
        host.failure_score, host.updated_at_us = 2.0, bench.now
    assert of(bench.ask(99, customer=99), SendAttempt)
