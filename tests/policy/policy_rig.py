"""Shorthands for tests of the policy: messages of peers, requests that are served at once."""

from __future__ import annotations

from conftest import SECOND, T0, Bench, of

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

# The time of a new bench, in milliseconds and in ticks of counters.
NOW_MS = T0 // 1_000
NOW_TICK = NOW_MS // gossip_codec.TICK_MS


def serve_one(bench: Bench, request: int, duration_us) -> SendAttempt | None:
    """Send one request and serve it after a duration by endpoint; return its attempt, if any."""
    sends = of(bench.ask(request, customer=request, left=2 * SECOND), SendAttempt)
    if not sends:
        return None
    bench.run(10_000)
    bench.outcome(
        request,
        sends[0].endpoint_id,
        AttemptOutcome.SERVED,
        duration_us=duration_us(sends[0].endpoint_id),
    )
    return sends[0]


def shares_of_endpoints(bench: Bench, requests: int, report=()) -> dict[bytes, float]:
    """Serve so many requests at once; return the part of them that each endpoint got."""
    count: dict[bytes, int] = {}
    for number in range(1, requests + 1):
        (send,) = of(bench.ask(number, customer=number, size=1), SendAttempt)
        count[send.endpoint_id] = count.get(send.endpoint_id, 0) + 1
        ended = (number, 0, send.endpoint_id, AttemptOutcome.SERVED, 50_000, True, 0, 0.0, report)
        bench.feed(AttemptEnded(*ended))
        bench.now += 1_000
    return {endpoint_id: times / requests for endpoint_id, times in count.items()}


def receive_rows(
    bench: Bench, sender: int, *rows: GossipRow, ask=False, is_report=False, sent=None
) -> list:
    """Receive a peer's message with these rows."""
    sent = bench.now // 1_000 if sent is None else sent
    packed = [gossip_codec.pack_row(r, sent, bench.settings.node_count) for r in rows]
    return bench.feed(
        GossipReceived(sender, gossip_codec.pack_message(sent, ask, is_report, packed))
    )


def quota_row(
    counts, headroom=10.0, total=0.0, customer=7, reach=0, first=0, size=3, plan=0, grants=0.0
) -> GossipRow:
    """Return a gossip row on a customer."""
    return GossipRow(customer, plan, first, size, reach, headroom, total, grants, tuple(counts))


def confirmed_bench(**changes) -> Bench:
    """Return a gateway that a peer has confirmed the customer to."""
    bench = Bench(**changes)
    receive_rows(bench, 1, quota_row([]))
    return bench


def count_admitted(bench: Bench, number: int, start=1, **request) -> int:
    """Return how many of so many requests are sent at once; each is served at once."""
    sent = 0
    for i in range(start, start + number):
        for send in of(bench.ask(i, **request), SendAttempt):
            sent += 1
            bench.outcome(i, send.endpoint_id, AttemptOutcome.SERVED, duration_us=1_000)
    return sent


def sent_messages(actions) -> list:
    """Return the decoded messages among the actions, with their receivers."""
    now = T0 // 1_000 + 60_000
    return [
        (a.peer, gossip_codec.unpack_message(a.body, now, 10**6, 9))
        for a in actions
        if isinstance(a, SendGossip)
    ]


def final_answers(bench: Bench, request: int) -> list:
    """Return the gateway's own final answers to one request."""
    return [
        a for a in bench.log if isinstance(a, (RejectRequest, FailRequest)) and a.request == request
    ]
