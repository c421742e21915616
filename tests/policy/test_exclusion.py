"""A server taken out by hand: nothing new to it whatever discovery says, and back it is cold."""

from __future__ import annotations

from conftest import SECOND, Bench, entry, listed, of

from saffrongw.policy import interface as api

GONE = api.Phase.GONE


def out(bench: Bench, number: int, excluded=True, source="operator") -> None:
    bench.feed(api.ExclusionChanged(entry(number).server, source, excluded))


def sent_to(bench: Bench, requests: int, first=1, **more) -> list[bytes]:
    """Where so many requests go; each is answered at once."""
    servers = []
    for number in range(first, first + requests):
        sends = of(bench.ask(number, customer=number, **more), api.Send)
        servers += [send.server for send in sends]
        for send in sends:
            bench.outcome(number, send.server, api.Outcome.SERVED)
        bench.run(SECOND // 100)
    return servers


def test_nothing_goes_to_an_excluded_server_until_it_is_back(bench):
    out(bench, 0)
    assert set(sent_to(bench, 60)) == {entry(n).server for n in (1, 2, 3)}
    out(bench, 0, excluded=False)
    assert entry(0).server in sent_to(bench, 200, first=100)


def test_it_stays_out_while_the_list_drops_and_returns_it(bench):
    out(bench, 0)
    bench.feed(listed(entry(0, GONE), kind=api.ListKind.CHANGES))
    bench.feed(listed(entry(0), kind=api.ListKind.CHANGES))
    bench.feed(listed(*(entry(n) for n in range(4))))
    bench.feed(listed(entry(0, launched=bench.now), kind=api.ListKind.CHANGES))
    assert entry(0).server not in sent_to(bench, 60)


def test_one_that_is_still_cold_stays_out_when_it_gets_warm(bench):
    bench.feed(listed(entry(0, launched=bench.now), kind=api.ListKind.CHANGES))
    out(bench, 0)
    bench.run(bench.settings.warm_within + SECOND)
    assert entry(0).server not in sent_to(bench, 60)


def test_an_id_that_is_not_listed_yet_is_out_when_it_comes(bench):
    out(bench, 9)
    bench.feed(listed(entry(9), kind=api.ListKind.CHANGES))
    assert entry(9).server not in sent_to(bench, 60)


def test_two_calls_out_need_one_call_back_and_each_source_its_own(bench):
    out(bench, 0)
    out(bench, 0)
    out(bench, 0, source="other")
    out(bench, 0, excluded=False)
    assert entry(0).server not in sent_to(bench, 60)
    out(bench, 0, excluded=False, source="other")
    assert bench.gateway.excluded == {}
    assert entry(0).server in sent_to(bench, 20, first=100)


def test_a_call_back_without_a_call_out_changes_nothing(bench):
    known = bench.gateway.hosts[entry(0).server]
    out(bench, 0, excluded=False)
    assert bench.gateway.hosts[entry(0).server] is known


def test_back_it_is_cold_though_the_list_is_late(bench):
    """Rule 4: its restart is not listed yet, and a whole list with the old launch comes once more."""
    out(bench, 0)
    bench.run(5 * SECOND)
    out(bench, 0, excluded=False)
    bench.feed(listed(*(entry(n) for n in range(4))))
    host = bench.gateway.hosts[entry(0).server]
    assert host.entry.launched == bench.now
    assert [h.entry.server for h in bench.gateway.cold.hosts] == [entry(0).server]
    servers = sent_to(bench, 400)
    assert 1 <= servers.count(entry(0).server) < 0.15 * len(servers)  # a fair part would be a quarter
    bench.run(bench.settings.warm_within)
    assert bench.gateway._is_warm(host)


def test_a_launch_that_the_list_names_goes_before_the_guess(bench):
    out(bench, 0)
    launched = bench.now + 2 * SECOND
    bench.run(5 * SECOND)
    bench.feed(listed(entry(0, launched=launched), kind=api.ListKind.CHANGES))
    out(bench, 0, excluded=False)
    assert bench.gateway.hosts[entry(0).server].entry.launched == launched


def test_back_it_is_sent_one_request_at_once(bench):
    out(bench, 0)
    bench.run(SECOND)
    out(bench, 0, excluded=False)
    assert sent_to(bench, 1) == [entry(0).server]
    assert bench.gateway.untried == {}


def test_one_that_was_put_back_and_is_gone_again_is_not_waited_for(bench):
    out(bench, 0)
    out(bench, 0, excluded=False)
    bench.feed(listed(entry(0, GONE), kind=api.ListKind.CHANGES))
    assert len(sent_to(bench, 3)) == 3
    assert bench.gateway.untried == {}


def test_a_keyed_request_that_may_have_run_does_not_follow_an_excluded_server():
    bench = Bench(servers=0)
    bench.feed(listed(entry(0, cell=1), entry(1, cell=1), entry(2, cell=2)))
    (send,) = of(bench.ask(1, kind=1), api.Send)
    first, other = send.server, entry(1).server if send.server == entry(0).server else entry(0).server
    if first == entry(2).server:
        bench.feed(api.ExclusionChanged(first, "operator", True))
    else:
        bench.feed(api.ExclusionChanged(other, "operator", True))
        bench.feed(api.ExclusionChanged(first, "operator", True))
    actions = bench.outcome(1, first, api.Outcome.BROKEN)
    assert not of(actions, api.Send)


def test_what_is_remembered_of_servers_put_back_ends(bench):
    for number in range(4):
        out(bench, number)
        out(bench, number, excluded=False)
    bench.run(bench.settings.warm_within)
    out(bench, 1)
    assert bench.gateway.returned == {}


def test_avoided_counts_those_taken_out_draining_and_failing(bench):
    gateway = bench.gateway
    assert gateway.avoided(bench.now) == 0
    out(bench, 0)
    bench.feed(listed(entry(1, api.Phase.DRAINING), kind=api.ListKind.CHANGES))
    gateway.hosts[entry(2).server].fails, gateway.hosts[entry(2).server].seen = 3.0, bench.now
    assert gateway.avoided(bench.now) == 3
    assert gateway.avoided(bench.now + 60 * SECOND) == 2
