"""Requests are freed when they end, without waiting for the garbage collector."""

from __future__ import annotations

import asyncio
import gc

import pytest
from async_testing import asyncio_test, until
from client_rig import Caller
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.request_types import ClientRequest
from saffrongw.policy.actions import RejectRequest


@pytest.fixture
def no_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def live_requests() -> int:
    return sum(isinstance(each, ClientRequest) for each in gc.get_objects())


async def make_rig(script, **changes) -> tuple[Rig, Caller]:
    endpoint = FakeEndpoint("a")
    endpoint.script = script
    rig = Rig(await endpoint.listen(), **changes)
    return rig, await rig.caller()


@pytest.mark.parametrize("queued", [False, True])
@pytest.mark.usefixtures("no_garbage_collection")
@asyncio_test
async def test_a_request_that_the_policy_rejects_at_once_is_freed(queued):
    rig, caller = await make_rig(lambda command: None)
    rig.driver.handle_by_policy = lambda _now, event: [RejectRequest(event.request, 0)]
    if queued:
        rig.clients.admission_queue.may_start = lambda: False
    before = live_requests()
    for number in range(20):
        caller.call(kind="bill", number=b"n%d" % number)
    if queued:
        await until(lambda: rig.clients.admission_queue.is_overloaded)
        rig.clients.admission_queue._run_queue()
    await caller.replied(20)
    assert live_requests() == before


@pytest.mark.parametrize("outcome", ["served", "error", "streamed", "reset", "left"])
@pytest.mark.usefixtures("no_garbage_collection")
@asyncio_test
async def test_a_request_that_was_sent_is_freed_when_it_has_ended(outcome):
    replies = {
        "served": value(b"ok"),
        "error": b"-ERR failed\r\n",
        "streamed": value(b"x" * 200_000),
        "reset": b"reset",
        "left": None,
    }
    rig, caller = await make_rig(lambda command: replies[outcome])
    before = live_requests()
    caller.call(kind="bill", number=b"n")
    if outcome == "left":
        await until(lambda: rig.driver.requests)
        caller.transport.abort()
        await until(lambda: not rig.clients.connections)
    else:
        await caller.replied()
    await until(lambda: not rig.driver.requests)
    await asyncio.sleep(0.05)
    assert live_requests() == before
