"""Older watch events don't revert newer ones.

A late event once made the gateway use an endpoint again that was reported as draining before.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from saffrongw.gateway.config import DiscoveredEndpoint, EndpointList
from saffrongw.gateway.discovery.watch_events import RETENTION_S, WatchEventFilter
from saffrongw.policy.events import EndpointEntry, EndpointState

READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED


def endpoint(name: str, state: EndpointState = READY, port: int = 1) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(
        EndpointEntry(name.encode(), state, 0, 0, 0, 1.0), ("127.0.0.1", port)
    )


def delta(version: int, *endpoints: DiscoveredEndpoint) -> EndpointList:
    return EndpointList(version, False, endpoints)


def complete(version: int, *endpoints: DiscoveredEndpoint) -> EndpointList:
    return EndpointList(version, True, endpoints)


def states(listed: EndpointList) -> dict[bytes, EndpointState]:
    return {item.entry.endpoint_id: item.entry.state for item in listed.endpoints}


def test_older_event_does_not_bring_a_draining_endpoint_back():
    events = WatchEventFilter()
    events.drop_older(complete(1, endpoint("a")), 0)
    assert states(events.drop_older(delta(5, endpoint("b", DRAINING)), 1)) == {b"b": DRAINING}
    assert states(events.drop_older(delta(4, endpoint("b", READY)), 2)) == {}


def test_older_event_does_not_bring_a_removed_endpoint_back():
    events = WatchEventFilter()
    events.drop_older(delta(7, endpoint("b", REMOVED)), 0)
    assert states(events.drop_older(delta(6, endpoint("b", DRAINING)), 1)) == {}


def test_newer_or_equal_event_counts():
    events = WatchEventFilter()
    events.drop_older(delta(7, endpoint("b", REMOVED)), 0)
    assert states(events.drop_older(delta(8, endpoint("b", READY)), 1)) == {b"b": READY}
    assert states(events.drop_older(delta(8, endpoint("b", DRAINING)), 1)) == {b"b": DRAINING}


def test_older_complete_list_does_not_revert_newer_events():
    events = WatchEventFilter()
    events.drop_older(complete(1, endpoint("a"), endpoint("b")), 0)
    events.drop_older(delta(5, endpoint("b", DRAINING), endpoint("c")), 1)
    events.drop_older(delta(6, endpoint("a", REMOVED)), 1)
    older = complete(3, endpoint("a"), endpoint("b"))
    assert states(events.drop_older(older, 2)) == {b"b": DRAINING, b"c": READY}


def test_newer_complete_list_removes_what_it_omits():
    events = WatchEventFilter()
    events.drop_older(complete(1, endpoint("a"), endpoint("b")), 0)
    assert states(events.drop_older(complete(4, endpoint("a")), 1)) == {b"a": READY}
    assert states(events.drop_older(delta(3, endpoint("b")), 2)) == {}


def test_lower_versions_of_a_restarted_registry_are_accepted_after_the_retention():
    events = WatchEventFilter()
    events.drop_older(delta(900, endpoint("a", DRAINING)), 0)
    assert states(events.drop_older(delta(2, endpoint("a", READY)), RETENTION_S)) == {}
    accepted = events.drop_older(delta(3, endpoint("a", READY)), RETENTION_S + 1)
    assert states(accepted) == {b"a": READY}


def test_remembered_versions_expire():
    events = WatchEventFilter()
    for number in range(1000):
        events.drop_older(delta(number, endpoint(f"h{number}", REMOVED)), number * 0.1)
    assert len(events) <= RETENTION_S / 0.1 + 2


@given(st.permutations(range(1, 7)))
def test_in_any_order_the_newest_version_of_each_endpoint_counts(order):
    """Six versions of two endpoints are received: in any order, the newest of each remains."""
    history = {
        1: endpoint("a"),
        2: endpoint("b"),
        3: endpoint("a", DRAINING),
        4: endpoint("b", DRAINING),
        5: endpoint("a", REMOVED),
        6: endpoint("b", READY, port=2),
    }
    events = WatchEventFilter()
    newest = {}
    for version in order:
        for item in events.drop_older(delta(version, history[version]), 0).endpoints:
            newest[item.entry.endpoint_id] = item
    assert newest[b"a"].entry.state is REMOVED
    assert newest[b"b"].address[1] == 2
