"""One connection's share of an iteration of the event loop: others get their turn before the rest."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway import admission_queue
from saffrongw.gateway.downstream.connection import (
    COMMAND_COST,
    FULL_READ_BYTES,
    MAX_PIPELINED_COMMANDS,
    MAX_PIPELINED_IN_FLOOD,
)
from saffrongw.gateway.downstream.listener import FULL_TURNS, MIN_TURN_BUDGET, TURN_BUDGET

PING = hiredis.pack_command((b"PING",))
COMMANDS_PER_TURN = TURN_BUDGET // COMMAND_COST
COUNT = 20 * COMMANDS_PER_TURN


def read_command(number: int, customer: int) -> bytes:
    """A request that may be repeated."""
    terms = b"c=read,t=team,d=2000,units=1,spread=2,first=0"
    return hiredis.pack_command((b"CALL.GET", b"%016x" % customer, b"n%d" % number, terms))


COMMANDS = {
    "pings": PING * COUNT,
    "requests": b"".join(read_command(number, 7) for number in range(COUNT)),
    "requests of ever new customers": b"".join(read_command(n, n) for n in range(COUNT)),
}


async def connected() -> tuple[Rig, Caller]:
    """Return a gateway and a client whose connection is the only one."""
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    await until(lambda: rig.clients.connections)
    return rig, caller


@pytest.mark.parametrize("kind", COMMANDS)
@asyncio_test
async def test_commands_that_arrive_together_take_several_turns_and_are_all_answered(kind):
    """Guards against one client that kept all others waiting (issue 59, picture b)."""
    rig, caller = await connected()
    (connection,) = rig.clients.connections
    answered = []
    append_reply = connection._append_reply
    connection._append_reply = lambda reply: (answered.append(reply), append_reply(reply))
    connection.data_received(COMMANDS[kind])
    assert len(answered) <= COMMANDS_PER_TURN
    assert len(connection.reader) > len(COMMANDS[kind]) // 2
    assert not connection.is_reading
    await caller.replied(COUNT)
    await until(lambda: connection.is_reading)
    assert len(caller.replies) == COUNT


@asyncio_test
async def test_another_client_is_answered_before_the_rest():
    rig, caller = await connected()
    (connection,) = rig.clients.connections
    other = await rig.caller()
    await until(lambda: len(rig.clients.connections) == 2)
    other.ask(b"PING")
    connection.data_received(PING * COUNT)
    await other.replied()
    assert len(caller.replies) < COUNT
    await caller.replied(COUNT)


@asyncio_test
async def test_reads_that_are_cheap_to_process_do_not_follow_each_other_in_one_turn():
    """A loop may read again at once after a read that filled its buffer."""
    rig, _caller = await connected()
    (connection,) = rig.clients.connections
    connection.data_received(b"*5\r\n$9\r\nCALL.POST\r\n$16\r\n" + b"0" * 16 + b"\r\n")
    assert connection.is_reading
    connection.reader.feed(b"$2\r\nid\r\n$4\r\nc=x,\r\n$65536\r\n")
    connection.data_received(b"x" * FULL_READ_BYTES)
    assert not connection.is_reading
    await until(lambda: connection.is_reading)


@asyncio_test
async def test_rest_goes_to_the_successor_of_a_hot_restart():
    rig, caller = await connected()
    (connection,) = rig.clients.connections
    connection.data_received(PING * COUNT)
    given = []
    rig.clients.shutdown.hand_over(
        lambda _fd, unprocessed, _waited_us: not given.append(unprocessed)
    )
    await rig.clients.shutdown.finish()
    await until(lambda: caller.closed)
    # The predecessor has answered the others.
    assert len(caller.replies) + given[0].count(PING) == COUNT


@asyncio_test
async def test_connection_that_sends_more_than_its_turns_take_queues_fewer_requests(monkeypatch):
    """Guards against others' requests that expire in the queue behind those of one connection."""
    monkeypatch.setattr(admission_queue, "IMMEDIATE_START_BUDGET_S", -1)
    monkeypatch.setattr(admission_queue, "QUEUE_RUN_BUDGET_S", 0)
    rig, caller = await connected()
    (connection,) = rig.clients.connections
    # One queued request is started in each turn.
    count = 200 * COMMANDS_PER_TURN
    connection.data_received(b"".join(read_command(n, n) for n in range(count)))
    fewest = MAX_PIPELINED_COMMANDS
    while len(connection.reader):
        await asyncio.sleep(0)
        fewest = min(fewest, sum(slot.waiting is not None for slot in connection.slots))
    assert fewest <= MAX_PIPELINED_IN_FLOOD
    await caller.replied(count)
    caller.ask(b"PING")
    await caller.replied(count + 1)
    assert connection.pipeline_limit == MAX_PIPELINED_COMMANDS


@asyncio_test
async def test_connections_that_flood_together_share_what_a_few_may_process():
    """Guards against requests that wait for hundreds of full turns in each iteration."""
    rig, _caller = await connected()
    clients = rig.clients
    assert clients.turn_budget() == TURN_BUDGET
    clients.waiting_turns = 10 * FULL_TURNS
    assert clients.turn_budget() == TURN_BUDGET // 10
    clients.waiting_turns = 1_000 * FULL_TURNS
    assert clients.turn_budget() == MIN_TURN_BUDGET


@asyncio_test
async def test_no_turn_waits_when_all_is_processed():
    rig, caller = await connected()
    caller.transport.write(PING * COUNT)
    await caller.replied(COUNT)
    await until(lambda: rig.clients.waiting_turns == 0)
    caller.transport.write(PING * COUNT)
    await until(lambda: rig.clients.waiting_turns == 1)
    caller.transport.abort()
    await until(lambda: not rig.clients.connections)
    await until(lambda: rig.clients.waiting_turns == 0)
