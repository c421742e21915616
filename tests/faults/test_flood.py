"""Overload of a real gateway: more requests than it can admit, a stopped process, and many short connections."""

from __future__ import annotations

import asyncio
import signal

import hiredis
from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import FakeEndpoint
from program_rig import started

READ, BILL = b"CALL.GET", b"CALL.POST"


def command(number: bytes, customer: int, bill: bool = False, wait: int = 60_000) -> bytes:
    """One request, with a long deadline so that the result doesn't depend on the machine's speed."""
    terms = b"c=%b,t=team,d=%d,units=1,spread=1,first=0" % (b"bill" if bill else b"read", wait)
    body = (b"BODY",) if bill else ()
    return hiredis.pack_command((BILL if bill else READ, b"%016x" % customer, number, terms, *body))


async def check_graceful_end(process: asyncio.subprocess.Process) -> None:
    """Check that the gateway drains and exits normally on SIGTERM."""
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 15) == 0


async def check_still_serving(connect, name: bytes) -> None:
    """Check that the gateway serves new requests on a new connection."""
    caller, number = await connect(), 0
    async with asyncio.timeout(20):
        while b"ok" not in caller.replies:
            number += 1
            caller.transport.write(command(b"%b%d" % (name, number), 9_000_000))
            await caller.replied(number)


def check_replies(callers: list[Caller], host: FakeEndpoint, each: int) -> tuple[int, int]:
    """Check that each request got one answer and ran at most once; the numbers of served and refused requests."""
    replies = [reply for caller in callers for reply in caller.replies]
    assert [len(caller.replies) for caller in callers] == [each] * len(callers)
    served = sum(reply == b"ok" for reply in replies)
    refused = sum(isinstance(r, hiredis.ReplyError) and str(r).startswith("BUSY") for r in replies)
    assert served + refused == len(replies)
    ids = [bytes(words[2]) for words in host.commands]
    assert len(set(ids)) == len(ids) == served
    return served, refused


@asyncio_test
async def test_a_flood_gets_one_answer_each_and_no_effect_twice(tmp_path):
    host = await FakeEndpoint("a").listen()
    process, connect, _ = await started(host, tmp_path)
    callers = [await connect() for _ in range(16)]
    for place, caller in enumerate(callers):
        caller.transport.write(
            b"".join(
                command(b"%d-%d" % (place, n), place * 1000 + n, bill=n % 3 == 0)
                for n in range(1000)
            )
        )
    await until(lambda: all(len(caller.replies) >= 1000 for caller in callers), within=50)
    served, refused = check_replies(callers, host, 1000)
    assert served > 0 and refused > 0
    await check_still_serving(connect, b"after")
    await check_graceful_end(process)


@asyncio_test
async def test_a_resumed_process_answers_requests_that_arrived_while_it_was_stopped(tmp_path):
    host = await FakeEndpoint("a").listen()
    process, connect, _ = await started(host, tmp_path)
    caller = await connect()
    caller.transport.write(command(b"first", 1))
    await caller.replied()
    process.send_signal(signal.SIGSTOP)
    caller.transport.write(b"".join(command(b"n%d" % n, 10 + n) for n in range(40)))
    await asyncio.sleep(0.5)
    process.send_signal(signal.SIGCONT)
    await caller.replied(41)
    check_replies([caller], host, 41)
    await check_graceful_end(process)


@asyncio_test
async def test_connections_that_open_and_close_do_not_delay_answers(tmp_path):
    host = await FakeEndpoint("a").listen()
    process, connect, _ = await started(host, tmp_path)
    callers, number = [await connect()], 0

    async def open_and_abort() -> None:
        for _ in range(250):
            (await connect()).transport.abort()

    crowd = [asyncio.ensure_future(open_and_abort()) for _ in range(4)]
    answered = 0
    # On a busy machine the crowd may end before the first request; at least one request is sent in any case.
    while not (number and all(task.done() for task in crowd)):
        number += 1
        callers[-1].transport.write(command(b"n%d" % number, number))
        # The gateway may close an idle connection to make room; a request that it had not read is sent again.
        await until(lambda: callers[-1].replies or callers[-1].closed, within=30)
        answered += len(callers[-1].replies)
        if callers[-1].closed:
            number -= not callers[-1].replies
            callers[-1] = await connect()
        callers[-1].replies.clear()
    await asyncio.gather(*crowd)
    assert answered == number > 0
    ids = [bytes(words[2]) for words in host.commands]
    assert len(set(ids)) == len(ids)
    await check_still_serving(connect, b"after")
    await check_graceful_end(process)
