"""Counts, limits and what gateways tell each other."""

from __future__ import annotations

import itertools
import sys

import pytest
from conftest import PLAIN, SECOND, T0, Bench, entry, listed, of
from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import RejectRequest, SendAttempt, SendGossip
from saffrongw.policy.customer_quota import CustomerQuota
from saffrongw.policy.events import AttemptOutcome, GossipReceived
from saffrongw.policy.gossip_codec import GossipRow

MS = T0 // 1_000
TICK = MS // gossip_codec.TICK_MS


def say(bench: Bench, sender: int, *rows: GossipRow, ask=False, keep=False, sent=None) -> list:
    """A peer's message, sent now."""
    sent = bench.now // 1_000 if sent is None else sent
    packed = [gossip_codec.pack_row(r, sent, bench.settings.node_count) for r in rows]
    return bench.feed(GossipReceived(sender, gossip_codec.pack_message(sent, ask, keep, packed)))


def told(
    counts, room=10.0, total=0.0, customer=7, reach=0, first=0, size=3, plan=0, rights=0.0
) -> GossipRow:
    """What a peer tells of a customer."""
    return GossipRow(customer, plan, first, size, reach, room, total, rights, tuple(counts))


def heard(**changes) -> Bench:
    """A gateway that was told of the customer."""
    bench = Bench(**changes)
    say(bench, 1, told([]))
    return bench


def let_in(bench: Bench, number: int, start=1, **request) -> int:
    """How many of so many requests are sent on at once, answered at once."""
    sent = 0
    for i in range(start, start + number):
        for send in of(bench.ask(i, **request), SendAttempt):
            sent += 1
            bench.outcome(i, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
    return sent


def bodies(actions) -> list:
    """The decoded messages among the actions, with their receivers."""
    now = T0 // 1_000 + 60_000
    return [
        (a.peer, gossip_codec.unpack_message(a.body, now, 10**6, 9))
        for a in actions
        if isinstance(a, SendGossip)
    ]


def test_the_burst_is_let_in_until_it_is_nearly_spent_and_comes_back():
    bench = heard()
    assert let_in(bench, 20) == 8  # of ten: from a quarter of the burst on it is refused
    bench.now += SECOND
    assert let_in(bench, 20, start=100) == 0
    bench.now += SECOND
    assert let_in(bench, 20, start=200) == 4  # six are back, a quarter stays


def test_what_peers_approved_counts():
    bench = heard()
    say(bench, 1, told([(1, TICK - 9, 3.0)], room=7.0, total=3.0))
    say(bench, 2, told([(2, TICK - 9, 2.0)], room=8.0, total=2.0))
    assert let_in(bench, 20) == 3


def test_a_total_tells_of_counts_that_were_never_heard():
    """A gateway that missed messages, or has just started, learns from one row what is spent."""
    bench = Bench()
    say(bench, 1, told([(2, TICK - 9, 1.0)], room=1.0, total=500.0))
    assert let_in(bench, 20) == 0


def test_a_keeper_adds_up_what_each_gateway_tells_of_itself():
    bench = heard()
    for sender in (1, 2):
        say(bench, sender, told([(sender, TICK - 9, 4.0)], total=4.0), keep=True)
    assert bench.gateway.quota_counters.customers[7].spent_units == 8.0


def test_unheard_a_customer_gets_a_share():
    assert let_in(Bench(), 20) == 3  # a third of ten


def test_a_new_customer_gets_one_request_however_small_its_share():
    assert let_in(Bench(), 3, units=8.0) == 1


def test_a_restart_gives_no_fresh_allowance():
    bench = heard()
    say(bench, 1, told([(1, TICK - 90, 6.0)], total=6.0))
    say(bench, 1, told([(1, TICK - 1, 1.0)], total=1.0), keep=True)  # it has started anew
    assert bench.gateway.quota_counters.customers[7].counters[1] == (TICK - 1, 1.0)
    assert bench.gateway.quota_counters.customers[7].spent_units == 7.0


def test_an_earlier_life_told_back_leaves_our_own_count_alone():
    bench = Bench()
    let_in(bench, 1)
    before = bench.gateway.quota_counters.customers[7].counters[0]
    say(bench, 1, told([(0, TICK - 500, 6.0)], total=7.0))
    assert bench.gateway.quota_counters.customers[7].counters[0] == before
    assert bench.gateway.quota_counters.customers[7].spent_units == 7.0


def test_debt_does_not_lock_a_customer_out():
    bench = heard()
    say(bench, 1, told([(1, TICK - 9, 500.0)], total=500.0))
    bench.now += 4 * SECOND
    assert let_in(bench, 20) > 0


def test_an_open_cap_counts_what_peers_approved_lately():
    bench = heard()
    assert len(of(bench.ask(1, plan=1), SendAttempt)) == 1
    say(bench, 1, told([(1, TICK, 1.0)], total=2.0))
    assert of(bench.ask(2, plan=1), RejectRequest)


# Who is told


def test_each_approval_is_told_to_one_keeper_and_the_next_one_stands_in():
    bench = Bench(node_count=60)
    first = [(p, m) for p, m in bodies(bench.ask(1, size=50)) if m.is_report]
    assert len(first) == 1
    assert first[0][1].wants_answer
    again = [p for p, m in bodies(bench.run(290_000)) if m.is_report]
    assert len(again) == 1
    assert again != [first[0][0]]


def test_a_keeper_that_answers_is_not_replaced():
    bench = Bench(node_count=60)
    keeper = next(p for p, m in bodies(bench.ask(1, size=50)) if m.is_report)
    bench.now += 20_000
    say(bench, keeper, told([], size=50))
    assert not [p for p, m in bodies(bench.run(270_000)) if m.is_report]


def test_a_set_is_told_when_a_customer_has_spent_nearly_all():
    """Every gateway of a large set is reached by handing on, each exactly once, by a bounded fan."""
    rest, told_ranks = 60, []
    bench = Bench(node_count=80, gossip_intake=1_000.0)
    say(bench, 1, told([(1, TICK - 9, 9.0)], room=1.0, total=9.0, size=rest), keep=True)
    waiting = bodies(bench.log)
    assert 0 < len(waiting) <= 13
    while waiting:
        node_index, message = waiting.pop()
        told_ranks.append(node_index)
        other = Bench(node_count=80, node_index=node_index, gossip_intake=1_000.0)
        waiting += bodies(say(other, 0, *message.rows))
    assert sorted(told_ranks) == list(range(1, rest))


def test_telling_large_sets_leaves_messages_to_approvals():
    """With 40 gateways the sets of a few spent customers would take all messages, and approvals wait for them."""
    bench = Bench(node_count=40, gossip_intake=40.0)
    for customer in range(40):
        row = told([(1, TICK - 9, 9.0)], room=1.0, total=9.0, size=40, customer=customer, reach=39)
        say(bench, 1, row, keep=True)
    spread = len(of(bench.log, SendGossip))
    assert 5 < spread < 20  # some of the sets hear of it: half of a second's messages
    keeper_of_other = next(
        c
        for c in range(100, 200)
        if bench.gateway.replica_sets.coordinator(account_of(bench, c)) != 0
    )
    actions = bench.ask(1, customer=keeper_of_other, size=40)
    assert of(actions, SendGossip)  # at once


def account_of(bench: Bench, customer: int) -> CustomerQuota:
    return CustomerQuota(customer, 0, 0, 40, 10.0, bench.now)


def test_a_set_is_not_told_while_there_is_room():
    bench = heard()
    say(bench, 1, told([(1, TICK - 9, 2.0)], total=2.0), keep=True)
    assert not bodies(bench.log)


def test_changes_go_to_a_random_peer_each_interval():
    bench = heard()
    let_in(bench, 1)
    rows = [row for _, m in bodies(bench.run(SECOND)) if not m.is_report for row in m.rows]
    assert [row.customer for row in rows] == [7]
    assert rows[0].counters[0][2] == 1.0


def test_a_question_is_answered_with_what_is_known():
    bench = heard()
    say(bench, 1, told([(1, TICK - 9, 4.0)], total=4.0))
    ((peer, message),) = bodies(
        say(bench, 2, told([(2, TICK - 9, 1.0)], total=1.0), ask=True, keep=True)
    )
    assert peer == 2
    assert message.rows[0].spent_units == 5.0


def test_in_a_cut_a_part_is_left_to_those_who_do_not_answer():
    bench = heard(node_count=3)
    for i in range(1, 200):
        bench.ask(i, customer=i)
        bench.run(50_000)
    assert bench.gateway.reachability.unreachable_fraction > 0.5
    say(bench, 1, told([]))
    assert let_in(bench, 20, start=900) <= 6


def test_a_gateway_that_stood_still_does_not_take_others_for_silent():
    bench = Bench(node_count=60)
    for i in range(1, 20):
        bench.ask(i, customer=i, size=50)
    bench.now += 2 * SECOND  # no event in between: its own timers are late
    bench.run(1)
    assert bench.gateway.reachability.unreachable_fraction == 0.0


def test_a_customer_whose_keepers_all_keep_silent_is_not_locked_to_its_first_share():
    """In a cut a new customer got its share once and nothing more, for nobody answered."""
    bench = Bench(node_count=60)
    let_in(bench, 3, size=50)
    bench.run(3 * SECOND)
    assert let_in(bench, 3, start=10, size=50) > 1


def test_messages_stay_within_size_and_intake():
    bench = heard()
    for i in range(1, 400):
        bench.ask(i, customer=i % 90)
        bench.run(5_000)
    sizes = [len(a.body) for a in bench.log if isinstance(a, SendGossip)]
    assert max(sizes) <= gossip_codec.MAX_MESSAGE_BYTES
    seconds = (bench.now - T0) / SECOND
    assert 0 < len(sizes) <= 50.0 * (seconds + 1)


def test_messages_carry_only_customers_that_the_receiver_serves():
    bench = Bench(node_count=9)
    for i in range(1, 9):
        bench.ask(i, customer=i, first=0, size=2)  # ranks 0 and 1
        bench.ask(100 + i, customer=100 + i, first=0, size=9)
    seen = [
        (p, row.customer) for p, m in bodies([*bench.log, *bench.run(9 * SECOND)]) for row in m.rows
    ]
    assert seen
    assert all(peer == 1 or customer > 100 for peer, customer in seen)


def test_idle_full_entries_are_dropped():
    bench = heard()
    let_in(bench, 1)
    bench.run(10 * SECOND)
    for i in range(50, 60):
        bench.ask(i, customer=1_000 + i, size=1)
    assert 7 not in bench.gateway.quota_counters.customers
    assert 7 not in bench.gateway.quota_counters.changed
    bench.run(SECOND)


# Sets of any size


@pytest.mark.parametrize(
    ("gateways", "first", "size"), [(1, 0, 1), (60, 0, 1), (60, 55, 12), (60, 7, 60)]
)
def test_any_set_works(gateways, first, size):
    bench = Bench(node_count=gateways)
    assert let_in(bench, 1, first=first, size=size) == 1
    members = {(first + i) % gateways for i in range(size)}
    assert {p for p, _ in bodies([*bench.log, *bench.run(2 * SECOND)])} <= members - {0}


def test_without_peer_messages_a_gateway_goes_by_its_share():
    bench = Bench(may_send_gossip=False)
    assert let_in(bench, 20) == 3
    assert not bodies([*bench.log, *bench.run(2 * SECOND)])


def steps(gateways: int) -> int:
    """Calls made within the package for the same events at one size of fleet and set."""
    bench = Bench(node_count=gateways, endpoints=4, gossip_intake=1_000.0)
    count = 0

    def trace(frame, kind, _):
        nonlocal count
        count += kind == "call" and "saffrongw/policy" in frame.f_code.co_filename

    sys.setprofile(trace)
    try:
        for i in range(1, 30):
            bench.ask(i, customer=i % 5, size=gateways)
            say(
                bench,
                1 + i % 3,
                told([(1, TICK, i / 4)], total=i / 2, customer=i % 5, size=gateways),
                keep=True,
            )
            bench.run(50_000)
    finally:
        sys.setprofile(None)
    return count


def test_work_does_not_grow_with_the_fleet():
    """Days of a large fleet were cut off for CPU: each event walked the whole set."""
    assert steps(400) < 4 * steps(4)
    assert steps(400) < 1.2 * steps(100)


# Untrusted bytes


def test_bad_peer_bytes_leave_counts_unharmed():
    bench = heard()
    say(bench, 1, told([(1, TICK - 9, 4.0)], total=4.0))
    account = bench.gateway.quota_counters.customers[7]
    before = (
        dict(account.counters),
        account.spent_units,
        bench.gateway.reachability.unreachable_fraction,
    )
    row = gossip_codec.pack_row(told([(1, TICK - 9, 3.0)]), MS, 3)
    good = gossip_codec.pack_message(MS, False, False, [row])
    for cut in range(7, len(good)):
        bench.feed(GossipReceived(1, good[:cut]))
    bench.feed(GossipReceived(1, b"\xff" * 256))
    bench.feed(GossipReceived(77, good))
    bench.feed(GossipReceived(1, good))  # replayed and out of date
    say(bench, 1, told([(1, TICK - 9, 90.0)], total=90.0), sent=MS + 3_600_000)
    say(
        bench, 1, told([(1, TICK - 9, 90.0)], total=90.0, size=9)
    )  # a larger set than there are gateways
    say(bench, 1, told([(1, TICK - 9, 90.0)], total=90.0, reach=3))  # handed on beyond the set
    say(bench, 1, told([(1, TICK - 9, 90.0)], total=90.0, plan=99))
    assert (
        dict(account.counters),
        account.spent_units,
        bench.gateway.reachability.unreachable_fraction,
    ) == before
    assert list(bench.gateway.quota_counters.customers) == [7]


def test_a_customer_whose_set_we_are_not_in_is_passed_over():
    bench = Bench()
    say(bench, 1, told([(1, TICK - 9, 4.0)], first=1, size=2))
    assert bench.gateway.quota_counters.customers == {}


def test_send_times_that_wrap_are_read_aright():
    wrap_ms = gossip_codec.SEND_TIME_WRAP_MS
    for sent in (wrap_ms - 5, wrap_ms + 5, 7 * wrap_ms + 1):
        body = gossip_codec.pack_message(sent, False, False, [])
        assert gossip_codec.unpack_message(body, sent + 900, 3, 1).sent_ms == sent
        assert gossip_codec.unpack_message(body, sent - 900, 3, 1).sent_ms == sent


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_taken(body):
    bench = Bench(endpoints=1)
    assert bench.feed(GossipReceived(1, body)) == []


COUNT = st.tuples(
    st.sampled_from([1, 2]), st.integers(TICK - 50, TICK - 1), st.integers(0, 40).map(float)
)
ROWS = st.lists(
    st.tuples(st.lists(COUNT, max_size=3), st.integers(0, 60).map(float)), min_size=1, max_size=4
)


def merged(rows) -> tuple:
    """Counts and room after these rows, all at one instant."""
    bench = heard()
    for counts, room in rows:
        say(bench, 1, told(counts, room=room))
    account = bench.gateway.quota_counters.customers[7]
    return account.counters, account.headroom


@settings(derandomize=True, max_examples=60, deadline=None)
@given(ROWS)
def test_counts_merge_alike_in_any_order_and_with_repeats(rows):
    results = [merged(order)[0] for order in itertools.islice(itertools.permutations(rows), 6)]
    results.append(merged(rows + rows[::-1])[0])
    assert all(r == results[0] for r in results)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(ROWS)
def test_room_stays_between_nothing_and_the_burst_after_any_merge(rows):
    assert 0 <= merged(rows)[1] <= PLAIN.burst


def test_a_set_that_changes_keeps_the_counts_and_leaves_no_trace_when_dropped():
    """A customer whose set moved left an entry to tell that no longer existed (fault of an incident)."""
    bench = heard(node_count=4)
    assert let_in(bench, 20, first=0, size=3) == 8
    assert let_in(bench, 20, start=100, first=3, size=2) == 0
    bench.run(20 * SECOND)
    for i in range(200, 210):
        bench.ask(i, customer=1_000 + i, size=1)
    assert 7 not in bench.gateway.quota_counters.customers
    bench.run(SECOND)


def test_a_held_request_outlives_its_idle_entry():
    """Its entry was dropped while it waited for a server; spending then left a change of nobody (fault)."""
    bench = heard(endpoints=0)
    bench.ask(1, left=9 * SECOND)
    for i in range(50, 60):
        bench.ask(i, customer=1_000 + i, size=1)
    assert 7 not in bench.gateway.quota_counters.customers
    bench.feed(listed(entry(1)))
    assert 1 in [send.request for send in of(bench.run(100_000), SendAttempt)]
    assert bench.gateway.quota_counters.customers[7].spent_units == 1.0


def test_a_refused_client_is_told_when_its_quota_reopens_if_that_is_soon():
    """Nothing is told where a client that waits so long would only spend quota on a late answer."""
    bench = Bench(node_count=1)
    for request in range(1, 60):
        bench.ask(request, size=1)
        bench.outcome(request, bench.log[-1].endpoint_id, AttemptOutcome.SERVED) if of(
            bench.log[-1:], SendAttempt
        ) else None
    (refused, *_) = of(bench.log, RejectRequest)
    assert refused.retry_after_us == 0  # its quota needs seconds
    for request in range(60, 200):
        bench.run(25_000)
        (answer, *_) = bench.ask(request, size=1)
        if answer.retry_after_us:
            break
    told = answer.retry_after_us
    assert 0 < told <= 75_000  # 0.15 of the aim
    bench.run(told + 1)
    assert of(bench.ask(200, size=1), SendAttempt)


def test_approvals_that_come_fast_share_messages_and_none_is_forgotten():
    """One message each would use up what a gateway may send, and leave none to answer with."""
    bench = Bench()
    for number in range(300):
        (sent,) = of(bench.ask(number, customer=number), SendAttempt)
        bench.outcome(number, sent.endpoint_id, AttemptOutcome.SERVED)
        bench.run(2_000)
    bench.run(2 * SECOND)
    told = [
        (tell.peer, gossip_codec.unpack_message(tell.body, bench.now // 1000, 3, 4))
        for tell in of(bench.log, SendGossip)
    ]
    kept = {row.customer for _, message in told if message.is_report for row in message.rows}
    theirs = {
        n
        for n in range(300)
        if bench.gateway.replica_sets.coordinator(
            bench.gateway.quota_counters.open(n, 0, 0, 3, True)
        )
        != 0
    }
    assert theirs <= kept
    assert len(told) <= 0.8 * 50 * (1 + 2.6 + 1)
    assert bench.gateway.coordinator_reports.due == {}


def test_customers_that_came_once_are_forgotten():
    """Those nobody told of too, those with a ceiling, and those whose set is one gateway."""
    bench = Bench()
    for number in range(60):
        for sent in of(
            bench.ask(number, customer=number, plan=(0, 2)[number % 2], size=1 + number % 3),
            SendAttempt,
        ):
            bench.outcome(number, sent.endpoint_id, AttemptOutcome.SERVED)
        bench.run(50_000)
    gateway = bench.gateway
    assert len(gateway.quota_counters.customers) > 20
    bench.run(60 * SECOND)
    counters = gateway.quota_counters
    remaining = [counters.customers, counters.idle_queue, counters.changed]
    remaining += [gateway.coordinator_reports.due, gateway.gossip_sender.awaited_answers]
    assert [len(one) for one in remaining] == [0] * 5


def test_forgetting_grants_no_more_than_the_quota():
    """A customer that no other gateway tells of: what is granted stays below the share and the rate."""
    bench, granted, start = Bench(), 0, None
    start = bench.now
    for number in range(2_000):
        sent = of(bench.ask(number, size=3), SendAttempt)
        granted += len(sent)
        if sent:
            bench.outcome(number, sent[0].endpoint_id, AttemptOutcome.SERVED)
        bench.run(20_000)
    seconds = (bench.now - start) / SECOND
    assert granted <= PLAIN.burst + PLAIN.rate * seconds


def test_a_set_of_one_gets_its_quota_for_good(bench):
    """Nobody else can tell of it: taken as unheard it would be refused for ever after its first burst."""
    sent = 0
    for number in range(60):
        actions = of(bench.ask(number, customer=5, size=1), SendAttempt)
        sent += len(actions)
        if actions:
            bench.outcome(number, actions[0].endpoint_id, AttemptOutcome.SERVED)
        bench.run(SECOND)
    assert sent == 60


def test_a_set_that_becomes_one_does_not_stop_the_gossip(bench):
    bench.ask(1, customer=5, size=3)
    bench.ask(2, customer=5, size=1)
    bench.run(SECOND)
    assert not bench.gateway.quota_counters.changed
