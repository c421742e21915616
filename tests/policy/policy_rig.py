"""Helpers for tests of the policy: gossip from peers, and requests that are served immediately."""

from __future__ import annotations

from conftest import SECOND, T0, GatewayHarness, of_type

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendGossip,
)
from saffrongw.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    GossipReceived,
)
from saffrongw.policy.gossip_codec import GossipRow

# The start of the test clock, in milliseconds and in ticks of counters.
NOW_MS = T0 // 1_000
NOW_TICK = NOW_MS // gossip_codec.TICK_MS


def serve_one(harness: GatewayHarness, request: int, duration_us) -> SendAttempt | None:
    """Send one request, serve it with the endpoint's latency; return its attempt, if any."""
    sends = of_type(harness.send_request(request, customer=request, left=2 * SECOND), SendAttempt)
    if not sends:
        return None
    harness.run(10_000)
    harness.end_attempt(
        request,
        sends[0].endpoint_id,
        AttemptOutcome.SERVED,
        duration_us=duration_us(sends[0].endpoint_id),
    )
    return sends[0]


def shares_of_endpoints(harness: GatewayHarness, requests: int, report=()) -> dict[bytes, float]:
    """Serve this many requests immediately; return each endpoint's fraction of them."""
    count: dict[bytes, int] = {}
    for number in range(1, requests + 1):
        (send,) = of_type(harness.send_request(number, customer=number, size=1), SendAttempt)
        count[send.endpoint_id] = count.get(send.endpoint_id, 0) + 1
        ended = (number, 0, send.endpoint_id, AttemptOutcome.SERVED, 50_000, True, 0, 0.0, report)
        harness.handle(AttemptEnded(*ended))
        harness.now += 1_000
    return {endpoint_id: times / requests for endpoint_id, times in count.items()}


def receive_rows(
    harness: GatewayHarness,
    sender: int,
    *rows: GossipRow,
    wants_answer=False,
    is_report=False,
    sent=None,
) -> list:
    """Receive a message with these rows from a peer; return the resulting actions."""
    sent = harness.now // 1_000 if sent is None else sent
    packed = [gossip_codec.pack_row(r, sent, harness.settings.node_count) for r in rows]
    return harness.handle(
        GossipReceived(sender, gossip_codec.pack_message(sent, wants_answer, is_report, packed))
    )


def quota_row(
    counts,
    headroom=10.0,
    total=0.0,
    customer=7,
    forward_count=0,
    first=0,
    size=3,
    plan=0,
    grants=0.0,
) -> GossipRow:
    """Return a gossip row on a customer."""
    return GossipRow(
        customer, plan, first, size, forward_count, headroom, total, grants, tuple(counts)
    )


def confirmed_gateway(**changes) -> GatewayHarness:
    """Return a gateway for which a peer has confirmed the customer."""
    harness = GatewayHarness(**changes)
    receive_rows(harness, 1, quota_row([]))
    return harness


def count_admitted(harness: GatewayHarness, number: int, start=1, **request) -> int:
    """Return how many of these requests are sent immediately; each is served immediately."""
    sent = 0
    for i in range(start, start + number):
        for send in of_type(harness.send_request(i, **request), SendAttempt):
            sent += 1
            harness.end_attempt(i, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
    return sent


def sent_messages(actions) -> list:
    """Return the gossip messages among the actions, decoded, with their receivers."""
    now = T0 // 1_000 + 60_000
    return [
        (a.peer, gossip_codec.unpack_message(a.body, now, 10**6, 9))
        for a in actions
        if isinstance(a, SendGossip)
    ]


def final_answers(harness: GatewayHarness, request: int) -> list:
    """Return the gateway's own final answers to one request."""
    return [
        a
        for a in harness.log
        if isinstance(a, (RejectRequest, FailRequest)) and a.request == request
    ]
