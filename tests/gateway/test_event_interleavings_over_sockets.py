"""Repeated attempts over sockets: every order of two and three things that may happen to an attempt, in one turn."""

from __future__ import annotations

from itertools import permutations

import pytest
from conftest import SITE, FakeHost, Rig, asyncio_test, until, value

from saffrongw.gateway.request_types import UpstreamAttempt
from saffrongw.gateway.upstream.connection import UpstreamConnection

# What its host says, what becomes of its connection, of the list, of the client, of its time.
EVENTS = ("served", "error", "full", "reset", "half", "drains", "gone", "client left", "time is up")
# After these an attempt may have run.
MAY_HAVE_RUN = {"served", "error", "reset", "half", "time is up"}
WORDS = {
    "served": value(b"first"),
    "error": b"-ERR failed\r\n",
    "full": b"-BUSY\r\n",
    "half": value(b"first")[:12],
}


class Walk:
    """One request, held by the first host that it was sent to; what is sent again is answered at once."""

    async def begin(self, kind: str) -> Walk:
        self.kind = kind
        self.hosts = [await FakeHost(name).listen() for name in "ab"]
        for host in self.hosts:
            host.script = lambda command: None
        self.rig = Rig(*self.hosts, classes=[c | {"group": "all"} for c in SITE["classes"]])
        self.caller = await self.rig.caller()
        self.caller.call(kind, wait=20_000)
        await until(lambda: self.sent == 1)
        (self.call,), (self.client,) = (
            self.rig.driver.requests.values(),
            self.rig.clients.connections,
        )
        self.first: UpstreamAttempt = self.call.attempts[0]
        self.connection: UpstreamConnection = self.first.carrier
        self.host = next(host for host in self.hosts if host.commands)
        self.other = next(host for host in self.hosts if host is not self.host)
        for host in self.hosts:
            host.script = lambda command: value(b"again")
        self.left = False
        return self

    @property
    def sent(self) -> int:
        return sum(len(host.commands) for host in self.hosts)

    def happens(self, event: str) -> None:
        """As the loop would call it; a connection that we have closed says nothing more."""
        if event == "client left":
            self.left = True
            self.client.transport.abort()
            self.client.connection_lost(None)
        elif event == "time is up":
            self.call.deadline_us = self.rig.driver.clock()
            if request := self.rig.driver.gateway.requests.get(self.call.event.request):
                request.until = self.call.deadline_us
            if not self.call.is_finished:
                self.rig.driver._deadline_passed(self.call)
        elif event in ("drains", "gone"):
            self.rig.told(self.host.line(health="DRAINING" if event == "drains" else "DELETED"))
        elif not self.connection.transport.is_closing():
            if event == "reset":
                self.connection.transport.abort()
                self.connection.connection_lost(ConnectionResetError())
            else:
                self.connection.data_received(self.rest() if event == "served" else WORDS[event])

    def rest(self) -> bytes:
        """A whole answer, or what is missing of the one that has begun."""
        return WORDS["served"][len(WORDS["half"]) if self.connection.remainder_timer else 0 :]

    async def ends(self) -> None:
        """What is still out is answered by its host; then nothing is left of it anywhere."""
        if not self.first.is_ended:
            self.connection.data_received(self.rest())
        await until(lambda: not self.rig.driver.requests and not self.rig.driver.gateway.attempts)
        await until(lambda: not self.rig.cluster.closing and not self.rig.clients.open_request_ids)
        if not self.left:
            self.caller.ask(b"PING")  # behind all that is answered
        await until(lambda: self.caller.closed if self.left else b"PONG" in self.caller.replies)


def judged(walk: Walk, order: tuple[str, ...]) -> None:
    """The rules, by what hosts and the client saw."""
    if walk.left:
        assert len(walk.caller.replies) <= 1
    else:
        assert len(walk.caller.replies) == 2  # one final answer
    # What ended the first attempt; its host's late answer, if nothing here did.
    ended = next((event for event in order if event not in ("drains", "gone", "half")), "served")
    if ended in ("served", "client left", "time is up"):
        assert walk.sent == 1  # the final answer is given, or owed to nobody
    spoilt = (
        "half" in order[: order.index(ended)] if ended in order else False
    )  # behind it nothing else makes sense
    if (ended in MAY_HAVE_RUN or spoilt) and walk.kind == "bill":
        assert walk.sent == 1  # never a second run
    if order[0] in ("drains", "gone"):
        assert len(walk.host.commands) == 1  # nothing new there
    assert walk.sent <= 2


async def walked(kind: str, first: str | None = None) -> int:
    """All of them, or those that begin so; how many were sent again."""
    again = 0
    for order in (*permutations(EVENTS, 2), *permutations(EVENTS, 3)):
        if first not in (None, order[0]):
            continue
        walk = await Walk().begin(kind)
        for event in order:
            walk.happens(event)
        await walk.ends()
        try:
            judged(walk, order)
        except AssertionError as wrong:
            raise AssertionError(f"{kind}: {' then '.join(order)}") from wrong
        again += walk.sent == 2
        walk.caller.transport.abort()
        for host in walk.hosts:
            host.server.close()
    return again


@pytest.mark.parametrize("kind", ["read", "put", "bill"])
@asyncio_test
async def test_every_order_of_two_and_three_events_keeps_the_rules(kind):
    assert await walked(kind) > 0  # some are sent again: what is certain not to have run, at least


@asyncio_test
async def test_a_second_run_is_seen(monkeypatch):
    """The planted fault: nobody notes that a request's last byte has left."""
    start = UpstreamConnection.start

    def forgets(self, attempt, now):
        start(self, attempt, now)
        attempt.is_fully_sent = False

    monkeypatch.setattr(UpstreamConnection, "start", forgets)
    with pytest.raises(AssertionError, match="bill: reset then "):
        await walked("bill", first="reset")
