"""Retries over sockets: every order of two or three events of an attempt, in one loop turn."""

from __future__ import annotations

from itertools import permutations

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE, Rig

from saffrongw.gateway.request_types import UpstreamAttempt
from saffrongw.gateway.upstream.connection import UpstreamConnection

# Replies of the endpoint, and events of its connection, endpoint list, client and deadline.
EVENTS = (
    "served",
    "error",
    "overloaded",
    "reset",
    "partial reply",
    "draining",
    "removed",
    "client disconnected",
    "deadline passed",
)
# After these an attempt may have run.
MAY_HAVE_RUN = {"served", "error", "reset", "partial reply", "deadline passed"}
REPLIES = {
    "served": value(b"first"),
    "error": b"-ERR failed\r\n",
    "overloaded": b"-BUSY\r\n",
    "partial reply": value(b"first")[:12],
}


class AttemptRun:
    """One request in flight at one of two endpoints; a retry of it is answered at once."""

    async def start(self, kind: str) -> AttemptRun:
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
        self.is_client_disconnected = False
        return self

    @property
    def sent(self) -> int:
        return sum(len(endpoint.commands) for endpoint in self.endpoints)

    def cause(self, event: str) -> None:
        """Cause an event as the loop would; a connection closed by the gateway reports none."""
        if event == "client disconnected":
            self.is_client_disconnected = True
            self.client.transport.abort()
            self.client.connection_lost(None)
        elif event == "deadline passed":
            self.call.deadline_us = self.rig.driver.clock()
            if request := self.rig.driver.gateway.lifecycle.requests.get(self.call.event.request):
                request.deadline_us = self.call.deadline_us
            if not self.call.is_finished:
                self.rig.driver._deadline_passed(self.call)
        elif event in ("draining", "removed"):
            self.rig.update_endpoints(
                self.endpoint.line(health="DRAINING" if event == "draining" else "DELETED")
            )
        elif not self.connection.transport.is_closing():
            if event == "reset":
                self.connection.transport.abort()
                self.connection.connection_lost(ConnectionResetError())
            else:
                self.connection.data_received(
                    self.remainder() if event == "served" else REPLIES[event]
                )

    def remainder(self) -> bytes:
        """Return a complete reply, or the remainder of a partial one."""
        return REPLIES["served"][
            len(REPLIES["partial reply"]) if self.connection.remainder_timer else 0 :
        ]

    async def finish(self) -> None:
        """Have the endpoint answer what is in flight; wait until no state of it is left."""
        if not self.sent_attempt.is_ended:
            self.connection.data_received(self.remainder())
        await until(
            lambda: not self.rig.driver.requests and not self.rig.driver.gateway.lifecycle.attempts
        )
        await until(lambda: not self.rig.cluster.closing and not self.rig.clients.open_request_ids)
        if not self.is_client_disconnected:
            self.caller.ask(b"PING")  # answered after the request
        await until(
            lambda: (
                self.caller.closed
                if self.is_client_disconnected
                else b"PONG" in self.caller.replies
            )
        )


def check_rules(run: AttemptRun, order: tuple[str, ...]) -> None:
    """Check the retry rules against what the endpoints and the client received."""
    if run.is_client_disconnected:
        assert len(run.caller.replies) <= 1
    else:
        assert len(run.caller.replies) == 2  # one final reply, and that to PING
    # The event that ended the attempt; if none did, its endpoint's late reply.
    ended = next(
        (event for event in order if event not in ("draining", "removed", "partial reply")),
        "served",
    )
    if ended in ("served", "client disconnected", "deadline passed"):
        assert run.sent == 1  # no retry: the final reply is sent, or not needed any more
    # After a partial reply, any other reply is malformed.
    is_malformed = "partial reply" in order[: order.index(ended)] if ended in order else False
    if (ended in MAY_HAVE_RUN or is_malformed) and run.kind == "bill":
        assert run.sent == 1  # never executed twice
    if order[0] in ("draining", "removed"):
        assert len(run.endpoint.commands) == 1  # no retry on this endpoint
    assert run.sent <= 2


async def check_orders(kind: str, first: str | None = None) -> int:
    """Check all orders, or those that start with this event; return how many led to a retry."""
    retries = 0
    for order in (*permutations(EVENTS, 2), *permutations(EVENTS, 3)):
        if first not in (None, order[0]):
            continue
        run = await AttemptRun().start(kind)
        for event in order:
            run.cause(event)
        await run.finish()
        try:
            check_rules(run, order)
        except AssertionError as violation:
            raise AssertionError(f"{kind}: {' then '.join(order)}") from violation
        retries += run.sent == 2
        run.caller.transport.abort()
        for endpoint in run.endpoints:
            endpoint.server.close()
    return retries


@pytest.mark.parametrize("kind", ["read", "put", "bill"])
@asyncio_test
async def test_every_order_of_two_and_three_events_follows_rules(kind):
    # Requests of every class are retried if they certainly did not run.
    assert await check_orders(kind) > 0


@asyncio_test
async def test_planted_second_execution_is_detected(monkeypatch):
    """The planted fault: attempts are not marked as fully sent."""
    start = UpstreamConnection.start

    def start_without_mark(self, attempt, now):
        start(self, attempt, now)
        attempt.is_fully_sent = False

    monkeypatch.setattr(UpstreamConnection, "start", start_without_mark)
    with pytest.raises(AssertionError, match="bill: reset then "):
        await check_orders("bill", first="reset")
