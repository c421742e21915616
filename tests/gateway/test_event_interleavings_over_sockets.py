"""Retries over sockets: every order of two and three events of an attempt, in one turn of the loop."""

from __future__ import annotations

from itertools import permutations

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE, Rig

from saffrongw.gateway.request_types import UpstreamAttempt
from saffrongw.gateway.upstream.connection import UpstreamConnection

# What its endpoint replies, and what happens to its connection, the endpoint list, the client, its deadline.
EVENTS = ("served", "error", "full", "reset", "half", "drains", "gone", "client left", "time is up")
# After these an attempt may have run.
MAY_HAVE_RUN = {"served", "error", "reset", "half", "time is up"}
WORDS = {
    "served": value(b"first"),
    "error": b"-ERR failed\r\n",
    "full": b"-BUSY\r\n",
    "half": value(b"first")[:12],
}


class AttemptRun:
    """One request in flight at the first endpoint; a retry of it is answered at once."""

    async def begin(self, kind: str) -> AttemptRun:
        self.kind = kind
        self.endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
        for endpoint in self.endpoints:
            endpoint.script = lambda command: None
        self.rig = Rig(*self.endpoints, classes=[c | {"group": "all"} for c in SITE["classes"]])
        self.caller = await self.rig.caller()
        self.caller.call(kind, wait=20_000)
        await until(lambda: self.sent == 1)
        (self.call,), (self.client,) = (
            self.rig.driver.requests.values(),
            self.rig.clients.connections,
        )
        # On a busy machine, attempts that missed the connect timeout may precede the one sent.
        attempts: list[UpstreamAttempt] = self.call.attempts
        (self.sent_attempt,) = (
            attempt for attempt in attempts if isinstance(attempt.carrier, UpstreamConnection)
        )
        self.connection: UpstreamConnection = self.sent_attempt.carrier
        self.endpoint = next(endpoint for endpoint in self.endpoints if endpoint.commands)
        self.other = next(endpoint for endpoint in self.endpoints if endpoint is not self.endpoint)
        for endpoint in self.endpoints:
            endpoint.script = lambda command: value(b"again")
        self.left = False
        return self

    @property
    def sent(self) -> int:
        return sum(len(endpoint.commands) for endpoint in self.endpoints)

    def cause(self, event: str) -> None:
        """Cause an event as the loop would; a connection that we have closed reports nothing more."""
        if event == "client left":
            self.left = True
            self.client.transport.abort()
            self.client.connection_lost(None)
        elif event == "time is up":
            self.call.deadline_us = self.rig.driver.clock()
            if request := self.rig.driver.gateway.lifecycle.requests.get(self.call.event.request):
                request.deadline_us = self.call.deadline_us
            if not self.call.is_finished:
                self.rig.driver._deadline_passed(self.call)
        elif event in ("drains", "gone"):
            self.rig.update_endpoints(
                self.endpoint.line(health="DRAINING" if event == "drains" else "DELETED")
            )
        elif not self.connection.transport.is_closing():
            if event == "reset":
                self.connection.transport.abort()
                self.connection.connection_lost(ConnectionResetError())
            else:
                self.connection.data_received(
                    self.remainder() if event == "served" else WORDS[event]
                )

    def remainder(self) -> bytes:
        """A complete reply, or the remainder of the one that has begun."""
        return WORDS["served"][len(WORDS["half"]) if self.connection.remainder_timer else 0 :]

    async def finish(self) -> None:
        """Have the endpoint answer what is in flight; then no state is left anywhere."""
        if not self.sent_attempt.is_ended:
            self.connection.data_received(self.remainder())
        await until(
            lambda: not self.rig.driver.requests and not self.rig.driver.gateway.lifecycle.attempts
        )
        await until(lambda: not self.rig.cluster.closing and not self.rig.clients.open_request_ids)
        if not self.left:
            self.caller.ask(b"PING")  # after all that is answered
        await until(lambda: self.caller.closed if self.left else b"PONG" in self.caller.replies)


def check_rules(run: AttemptRun, order: tuple[str, ...]) -> None:
    """Check the rules by what endpoints and the client saw."""
    if run.left:
        assert len(run.caller.replies) <= 1
    else:
        assert len(run.caller.replies) == 2  # one final reply
    # What ended the first attempt; its endpoint's late reply, if no event did.
    ended = next((event for event in order if event not in ("drains", "gone", "half")), "served")
    if ended in ("served", "client left", "time is up"):
        assert run.sent == 1  # the final reply is given, or not due any more
    is_malformed = (
        "half" in order[: order.index(ended)] if ended in order else False
    )  # what follows it is malformed
    if (ended in MAY_HAVE_RUN or is_malformed) and run.kind == "bill":
        assert run.sent == 1  # never executed twice
    if order[0] in ("drains", "gone"):
        assert len(run.endpoint.commands) == 1  # no retry there
    assert run.sent <= 2


async def check_orders(kind: str, first: str | None = None) -> int:
    """Check all orders, or those that start with this event; return how many had a retry."""
    retries = 0
    for order in (*permutations(EVENTS, 2), *permutations(EVENTS, 3)):
        if first not in (None, order[0]):
            continue
        run = await AttemptRun().begin(kind)
        for event in order:
            run.cause(event)
        await run.finish()
        try:
            check_rules(run, order)
        except AssertionError as wrong:
            raise AssertionError(f"{kind}: {' then '.join(order)}") from wrong
        retries += run.sent == 2
        run.caller.transport.abort()
        for endpoint in run.endpoints:
            endpoint.server.close()
    return retries


@pytest.mark.parametrize("kind", ["read", "put", "bill"])
@asyncio_test
async def test_every_order_of_two_and_three_events_follows_rules(kind):
    assert (
        await check_orders(kind) > 0
    )  # some are retried: at least what is certain not to have run


@asyncio_test
async def test_planted_second_execution_is_detected(monkeypatch):
    """The planted fault: it is not noted that a request was fully sent."""
    start = UpstreamConnection.start

    def forgets(self, attempt, now):
        start(self, attempt, now)
        attempt.is_fully_sent = False

    monkeypatch.setattr(UpstreamConnection, "start", forgets)
    with pytest.raises(AssertionError, match="bill: reset then "):
        await check_orders("bill", first="reset")
