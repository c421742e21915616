"""A request's id comes again: what may have run is not sent a second time."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

CLASSES = ("bill", "put")


class Site:
    """A gateway, and its endpoint, which answers nothing by itself."""

    @classmethod
    async def open(cls) -> Site:
        site = cls()
        site.endpoint = await FakeEndpoint("a").listen()
        site.endpoint.script = lambda _command: None
        site.rig = Rig(site.endpoint)
        return site

    async def leave_after_sending(self, kind: str) -> None:
        """Send a request, and leave once the endpoint has it."""
        caller = await self.rig.caller()
        caller.call(kind)
        await until(lambda: self.endpoint.commands)
        caller.transport.close()
        await until(lambda: not self.rig.clients.open_request_ids)

    def runs(self) -> int:
        return len(self.endpoint.commands)

    def serve(self) -> None:
        """Answer all further commands."""
        self.endpoint.script = lambda command: value(command[2])


@pytest.mark.parametrize("kind", CLASSES)
@asyncio_test
async def test_after_its_client_left_it_is_not_sent_again_however_often_it_comes(kind):
    """Guards against an id that ran twice when it came again (issue 59, picture c)."""
    site = await Site.open()
    await site.leave_after_sending(kind)
    site.serve()
    for _ in range(3):
        caller = await site.rig.caller()
        caller.call(kind)
        assert error((await caller.replied())[0]) == "ERR failed"
    assert site.runs() == 1
    assert sum(site.rig.driver.metrics.failed) == 3


@pytest.mark.parametrize("kind", CLASSES)
@asyncio_test
async def test_after_its_answer_it_is_not_sent_again(kind):
    site = await Site.open()
    site.serve()
    caller = await site.rig.caller()
    caller.call(kind)
    assert await caller.replied() == [b"id1"]
    caller.call(kind)
    assert error((await caller.replied(2))[1]) == "ERR failed"
    assert site.runs() == 1


@asyncio_test
async def test_a_request_that_may_be_repeated_is_served_again():
    site = await Site.open()
    await site.leave_after_sending("read")
    site.serve()
    caller = await site.rig.caller()
    caller.call("read")
    assert await caller.replied() == [b"id1"]


@asyncio_test
async def test_another_customer_with_the_same_id_is_served_its_own_value():
    site = await Site.open()
    await site.leave_after_sending("bill")
    site.serve()
    caller = await site.rig.caller()
    terms = b"c=bill,t=team,d=2000,units=1,spread=2,first=0"
    caller.ask(b"CALL.POST", b"0000000000000008", b"id1", terms, b"BODY")
    assert await caller.replied() == [b"id1"]
    assert [command[1] for command in site.endpoint.commands] == [
        b"0000000000000007",
        b"0000000000000008",
    ]


@asyncio_test
async def test_left_before_it_was_sent_it_is_served():
    site = await Site.open()
    pool = site.rig.cluster.pools[b"a"]
    open_connection, pool._open = pool._open, lambda: asyncio.sleep(30)
    caller = await site.rig.caller()
    caller.call("bill")
    await until(lambda: pool.waiting)
    caller.transport.close()
    await until(lambda: not pool.waiting)
    pool._open = open_connection
    site.serve()
    again = await site.rig.caller()
    again.call("bill")
    assert await again.replied() == [b"id1"]
    assert site.runs() == 1


@asyncio_test
async def test_after_a_refusal_it_is_served():
    site = await Site.open()
    site.endpoint.script = lambda _command: b"-BUSY\r\n"
    caller = await site.rig.caller()
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("BUSY")
    site.serve()
    replies = 1
    # The endpoint counts as overloaded for a while.
    while b"id1" not in caller.replies:
        caller.call("bill")
        replies += 1
        await caller.replied(replies)
        assert b"id1" in caller.replies or error(caller.replies[-1]).startswith("BUSY")


@asyncio_test
async def test_at_the_same_time_on_two_connections_and_in_a_pipeline_it_is_sent_once():
    site = await Site.open()
    first, second = await site.rig.caller(), await site.rig.caller()
    for caller in (first, second):
        caller.call("bill")
        caller.call("bill")
    await until(lambda: site.endpoint.commands and second.closed)
    await asyncio.sleep(0)
    site.endpoint.connections[0].transport.write(value(b"id1"))
    await until(lambda: first.closed)
    assert site.runs() == 1
    assert first.replies[0] == b"id1"
    assert all(isinstance(reply, hiredis.ReplyError) for reply in first.replies[1:])
    assert all(isinstance(reply, hiredis.ReplyError) for reply in second.replies)


@asyncio_test
async def test_commands_of_a_client_that_has_left_are_not_processed_in_later_turns():
    """Guards against requests that are sent on after their client has closed its connection."""
    site = await Site.open()
    caller: Caller = await site.rig.caller()
    await until(lambda: site.rig.clients.connections)
    (connection,) = site.rig.clients.connections
    ping = hiredis.pack_command((b"PING",))
    command = hiredis.pack_command(
        (b"CALL.GET", b"0000000000000007", b"x", b"c=read,t=team,d=2000,units=1,spread=2,first=0")
    )
    caller.transport.abort()
    connection.data_received(ping * 2_000 + command)
    await until(lambda: not site.rig.clients.connections)
    await asyncio.sleep(0.05)
    assert site.runs() == 0
