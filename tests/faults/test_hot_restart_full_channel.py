"""Hot restart of a gateway whose clients have more partial commands than the channel's queue holds."""

from __future__ import annotations

import asyncio
import signal

from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import FakeEndpoint

from saffrongw.gateway.hot_restart.channel import MAX_QUEUED_PACKETS
from saffrongw.gateway.hot_restart.messages import PARTIAL_COMMAND_CHUNK_BYTES
from tests.faults.hot_restart_rig import GatewayProcess, SharedSite, bill_command

BODY_BYTES = 60_000
UNSENT_BYTES = 2_000
# Their partial commands take more packets than the queue holds.
CLIENTS = MAX_QUEUED_PACKETS * PARTIAL_COMMAND_CHUNK_BYTES // (BODY_BYTES - UNSENT_BYTES) + 10
SOCKETS = 1_024
LONG_ENOUGH_TO_FILL_S = 0.3


def upload(number: int) -> bytes:
    """The wire form of a client's request."""
    return bill_command(b"u%d" % number, b"x" * BODY_BYTES)


async def begin_uploads(site: SharedSite, old: GatewayProcess) -> list[Caller]:
    """Connect the clients; each writes all but the end of its request, which the gateway reads."""
    callers = []
    for number in range(CLIENTS):
        caller = await site.caller()
        caller.transport.write(upload(number)[:-UNSENT_BYTES])
        callers.append(caller)
    await until(lambda: not any(each.transport.get_write_buffer_size() for each in callers))
    await old.wait_ready_read()
    return callers


async def hand_over_to_stopped(old: GatewayProcess, new: GatewayProcess) -> None:
    """End the old process while the new one reads nothing, so that the queue fills."""
    new.process.send_signal(signal.SIGSTOP)
    old.process.terminate()
    await asyncio.sleep(LONG_ENOUGH_TO_FILL_S)


async def finish_uploads(callers: list[Caller]) -> None:
    """Each client writes the end of its request and gets one answer.

    After it, a connection may be closed, as too many are idle.
    """
    for number, caller in enumerate(callers):
        caller.transport.write(upload(number)[-UNSENT_BYTES:])
    await until(lambda: all(each.replies or each.closed for each in callers))
    assert [bool(each.replies) for each in callers].count(False) == 0
    assert {len(each.replies) for each in callers} == {1}


@asyncio_test
async def test_uploads_that_do_not_fit_the_queue_are_answered(tmp_path):
    """Guards against uploads cut off unanswered when the queue refused a part (review, case 10)."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen(), sockets=SOCKETS)
    old = await site.gateway()
    new = await site.gateway()
    callers = await begin_uploads(site, old)
    await hand_over_to_stopped(old, new)
    new.process.send_signal(signal.SIGCONT)
    await finish_uploads(callers)
    assert await old.wait_end() == 0
    assert await new.end() == 0


@asyncio_test
async def test_an_operators_call_reaches_the_successor_through_a_full_queue(tmp_path):
    """Guards against a call that was answered with yes and dropped as the queue was full."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen(), sockets=SOCKETS)
    old = await site.gateway()
    new = await site.gateway()
    callers = await begin_uploads(site, old)
    await hand_over_to_stopped(old, new)
    assert (await old.call("POST", "cordon", "a"))[0] == 200
    new.process.send_signal(signal.SIGCONT)
    await new.wait_metric("hosts_down=1")
    await finish_uploads(callers)
    assert await old.wait_end() == 0
    assert await new.end() == 0


@asyncio_test
async def test_uploads_survive_two_hot_restarts_in_a_row(tmp_path):
    """The same, with a second upgrade once the first old process has ended."""
    site = SharedSite(tmp_path, await FakeEndpoint("a").listen(), sockets=SOCKETS)
    first = await site.gateway()
    second = await site.gateway()
    callers = await begin_uploads(site, first)
    assert await first.end() == 0
    third = await site.gateway()
    assert await second.end() == 0
    await finish_uploads(callers)
    assert await third.end() == 0
