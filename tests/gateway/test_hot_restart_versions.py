"""Older news undo no newer ones: in the scenario discovery-silent a late line brought a drained host back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from saffrongw.gateway.config import DiscoveredEndpoint, EndpointList
from saffrongw.gateway.discovery.watch_events import REMEMBER, WatchEventFilter
from saffrongw.policy.events import EndpointEntry, EndpointState

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED


def line(name: str, phase=READY, port=1) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(
        EndpointEntry(name.encode(), phase, 0, 0, 0, 1.0), ("127.0.0.1", port)
    )


def changes(version: int, *lines: DiscoveredEndpoint) -> EndpointList:
    return EndpointList(version, False, lines)


def whole(version: int, *lines: DiscoveredEndpoint) -> EndpointList:
    return EndpointList(version, True, lines)


def phases(listed: EndpointList) -> dict[bytes, EndpointState]:
    return {host.entry.endpoint_id: host.entry.state for host in listed.hosts}


def test_a_drained_host_does_not_come_back_by_an_older_line():
    news = WatchEventFilter()
    news.sift(whole(1, line("a")), 0)
    assert phases(news.sift(changes(5, line("b", DRAINING)), 1)) == {b"b": DRAINING}
    assert phases(news.sift(changes(4, line("b", READY)), 2)) == {}


def test_a_host_that_is_gone_does_not_come_back_draining():
    news = WatchEventFilter()
    news.sift(changes(7, line("b", GONE)), 0)
    assert phases(news.sift(changes(6, line("b", DRAINING)), 1)) == {}


def test_a_newer_line_counts():
    news = WatchEventFilter()
    news.sift(changes(7, line("b", GONE)), 0)
    assert phases(news.sift(changes(8, line("b", READY)), 1)) == {b"b": READY}
    assert phases(news.sift(changes(8, line("b", DRAINING)), 1)) == {b"b": DRAINING}


def test_an_older_whole_list_keeps_what_was_heard_since():
    news = WatchEventFilter()
    news.sift(whole(1, line("a"), line("b")), 0)
    news.sift(changes(5, line("b", DRAINING), line("c")), 1)
    news.sift(changes(6, line("a", GONE)), 1)
    assert phases(news.sift(whole(3, line("a"), line("b")), 2)) == {b"b": DRAINING, b"c": READY}


def test_a_newer_whole_list_says_who_is_gone():
    news = WatchEventFilter()
    news.sift(whole(1, line("a"), line("b")), 0)
    assert phases(news.sift(whole(4, line("a")), 1)) == {b"a": READY}
    assert phases(news.sift(changes(3, line("b")), 2)) == {}


def test_a_registry_that_counts_anew_is_believed_after_a_while():
    news = WatchEventFilter()
    news.sift(changes(900, line("a", DRAINING)), 0)
    assert phases(news.sift(changes(2, line("a", READY)), REMEMBER)) == {}
    assert phases(news.sift(changes(3, line("a", READY)), REMEMBER + 1)) == {b"a": READY}


def test_what_is_remembered_shrinks_again():
    news = WatchEventFilter()
    for number in range(1000):
        news.sift(changes(number, line(f"h{number}", GONE)), number * 0.1)
    assert len(news) <= REMEMBER / 0.1 + 2


@given(st.permutations(range(1, 7)))
def test_in_any_order_the_last_word_on_each_host_stands(order):
    """Six versions of two hosts; whatever their order, the newest of each is what is left."""
    story = {
        1: line("a"),
        2: line("b"),
        3: line("a", DRAINING),
        4: line("b", DRAINING),
        5: line("a", GONE),
        6: line("b", READY, port=2),
    }
    news, state = WatchEventFilter(), {}
    for version in order:
        for host in news.sift(changes(version, story[version]), 0).hosts:
            state[host.entry.endpoint_id] = host
    assert state[b"a"].entry.state is GONE
    assert state[b"b"].address[1] == 2
