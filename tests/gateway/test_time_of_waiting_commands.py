"""Commands that wait unprocessed on their connection: the time that endpoints are told."""

from __future__ import annotations

import asyncio
import socket

import hiredis
from async_testing import asyncio_test, until
from client_rig import Caller, SmallBufferClient
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.downstream.input_age import MAX_TRANSIT_US, InputAge

DEADLINE_MS = 3_000
# By the platform's terms: how much more than the client has left an endpoint may be told.
SLACK_MS = 150
# How much less it may be told than the client has left: the gateway's view of the kernel is not exact.
MAX_LOSS_MS = 400
WAIT_S = 0.6


def told_ms(command: list[bytes]) -> int:
    """The time of which an endpoint was told."""
    return int(command[3].partition(b",d=")[2].partition(b",")[0])


class OneAtATimeRig(Rig):
    """A gateway without memory for more than one request of a connection at a time."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        super().__init__(endpoint)
        memory = self.clients.in_flight_memory
        memory.used_bytes = memory.greedy_limit_bytes
        self.endpoint = endpoint

    async def check_told(self, count: int, sent_at_s: float) -> None:
        """Check the last of some commands, which was sent then."""
        await until(lambda: len(self.endpoint.commands) == count)
        left_ms = DEADLINE_MS - 1_000 * (self.loop.time() - sent_at_s)
        assert left_ms - MAX_LOSS_MS <= told_ms(self.endpoint.commands[-1]) <= left_ms + SLACK_MS


async def waiting_rig() -> OneAtATimeRig:
    """A gateway whose endpoint answers nothing by itself."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: None
    return OneAtATimeRig(endpoint)


async def answer_first(rig: OneAtATimeRig) -> None:
    rig.endpoint.connections[0].transport.write(value(b"1"))


async def first_out(rig: OneAtATimeRig) -> Caller:
    """A client whose first request is at the endpoint."""
    caller = await rig.caller()
    caller.call(number=b"first", wait=DEADLINE_MS)
    await until(lambda: len(rig.endpoint.commands) == 1)
    return caller


@asyncio_test
async def test_an_endpoint_is_not_told_of_time_that_a_command_has_waited_behind_another():
    rig = await waiting_rig()
    caller = await rig.caller()
    for number in (b"first", b"second"):
        caller.call(number=number, wait=DEADLINE_MS)
    sent_at_s = rig.loop.time()
    await until(lambda: len(rig.endpoint.commands) == 1)
    await asyncio.sleep(WAIT_S)
    await answer_first(rig)
    await rig.check_told(2, sent_at_s)


@asyncio_test
async def test_an_endpoint_is_not_told_of_time_that_a_command_has_waited_in_the_kernel():
    rig = await waiting_rig()
    caller = await first_out(rig)
    await asyncio.sleep(WAIT_S)
    caller.call(number=b"second", wait=DEADLINE_MS)
    sent_at_s = rig.loop.time()
    await asyncio.sleep(WAIT_S)
    await answer_first(rig)
    await rig.check_told(2, sent_at_s)


@asyncio_test
async def test_a_command_has_all_its_time_after_a_pause_in_which_it_had_not_come():
    rig = await waiting_rig()
    caller = await first_out(rig)
    await asyncio.sleep(2 * WAIT_S)
    await answer_first(rig)
    await caller.replied()
    caller.call(number=b"second", wait=DEADLINE_MS)
    await rig.check_told(2, rig.loop.time())


@asyncio_test
async def test_a_command_that_comes_late_in_a_long_pause_has_its_time():
    rig = await waiting_rig()
    caller = await first_out(rig)
    await asyncio.sleep(3 * WAIT_S)
    caller.call(number=b"second", wait=DEADLINE_MS)
    sent_at_s = rig.loop.time()
    await answer_first(rig)
    await rig.check_told(2, sent_at_s)


@asyncio_test
async def test_a_command_of_a_client_that_has_read_slowly_has_its_time():
    rig = await waiting_rig()
    await rig.listen()
    client = await SmallBufferClient.connect(rig)
    length = 60_000
    rig.endpoint.script = lambda _command: value(b"x" * length)
    client.call(b"first")
    await until(lambda: not next(iter(rig.clients.connections)).is_writable)
    await asyncio.sleep(2 * WAIT_S)
    client.call(b"second")
    sent_at_s = rig.loop.time()
    await client.receive(len(b"$%d\r\n\r\n" % length) + length)
    await until(lambda: len(rig.endpoint.commands) == 2)
    left_ms = 20_000 - 1_000 * (rig.loop.time() - sent_at_s)
    assert left_ms - MAX_LOSS_MS <= told_ms(rig.endpoint.commands[-1]) <= left_ms + SLACK_MS


@asyncio_test
async def test_an_endpoint_is_not_told_of_time_that_a_command_has_waited_at_the_old_process():
    rig = await waiting_rig()
    await rig.listen()
    terms = b"c=read,t=team,d=%d,units=1,spread=2,first=0" % DEADLINE_MS
    words = (b"CALL.GET", b"0000000000000007", b"waited", terms)
    there, here = socket.socketpair()
    rig.clients.adopt(there, hiredis.pack_command(words), waited_us=int(WAIT_S * 1e6))
    await rig.check_told(1, rig.loop.time() - WAIT_S)
    here.close()


@asyncio_test
async def test_a_command_that_comes_after_a_hand_over_of_an_idle_connection_has_all_its_time():
    rig = await waiting_rig()
    await rig.listen()
    there, here = socket.socketpair()
    rig.clients.adopt(there, b"", waited_us=int(WAIT_S * 1e6))
    await until(lambda: rig.clients.connections)
    terms = b"c=read,t=team,d=%d,units=1,spread=2,first=0" % DEADLINE_MS
    here.send(hiredis.pack_command((b"CALL.GET", b"0000000000000007", b"fresh", terms)))
    await rig.check_told(1, rig.loop.time())
    assert told_ms(rig.endpoint.commands[0]) > DEADLINE_MS - 1_000 * WAIT_S / 2
    here.close()


@asyncio_test
async def test_the_new_process_is_told_how_long_a_command_has_waited_at_the_old_one():
    rig = await waiting_rig()
    caller = await rig.caller()
    for number in (b"first", b"second"):
        caller.call(number=number, wait=DEADLINE_MS)
    await until(lambda: len(rig.endpoint.commands) == 1)
    await asyncio.sleep(WAIT_S)
    given = []
    rig.clients.shutdown.hand_over(lambda *what: not given.append(what))
    await answer_first(rig)
    await until(lambda: given)
    ((_, unprocessed, waited_us),) = given
    assert b"second" in unprocessed
    assert 0.9 * WAIT_S * 1e6 <= waited_us <= (WAIT_S + MAX_LOSS_MS / 1_000) * 1e6


class AgeWithClock(InputAge):
    """An ``InputAge`` whose clock is set by the test."""

    def __init__(self) -> None:
        self.now_us = 0
        super().__init__(lambda: self.now_us)

    def after(self, span_us: int) -> AgeWithClock:
        self.now_us += span_us
        return self


def test_what_is_read_soon_after_a_pause_has_waited_since_its_start():
    age = AgeWithClock()
    age.pause()
    age.after(700_000).resume()
    for _ in range(3):
        age.after(MAX_TRANSIT_US).received()
    assert age.waited_us == 700_000 + 3 * MAX_TRANSIT_US


def test_what_is_read_long_after_a_pause_has_not_waited():
    age = AgeWithClock()
    age.pause()
    age.after(700_000).resume()
    age.after(MAX_TRANSIT_US + 1).received()
    assert age.waited_us == 0


def test_what_is_read_in_a_second_pause_has_waited_since_the_first_unless_all_was_read_between():
    age = AgeWithClock()
    for is_caught_up in (False, True):
        age.pause()
        age.after(100).resume()
        if is_caught_up:
            age.caught_up()
        age.after(10).pause()
        assert age.after(5).waited_us == (5 if is_caught_up else 115)
        age.caught_up()


def test_nothing_waits_in_a_pause_before_something_has_come():
    age = AgeWithClock()
    age.pause()
    age.after(900_000).nothing_waited()
    assert age.after(50).waited_us == 50
