"""Commands that wait unprocessed on their connection: the time that endpoints are told."""

from __future__ import annotations

import asyncio

from async_testing import asyncio_test, until
from client_rig import Caller, SmallBufferClient
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

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
