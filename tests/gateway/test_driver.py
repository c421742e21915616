"""The driver over loopback sockets: retries, deadlines and exceptions in the policy."""

from __future__ import annotations

from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import SITE, Rig

from saffrongw.policy.actions import RejectRequest, SetTimer


@asyncio_test
async def test_non_idempotent_request_reset_after_sending_fails_without_retry():
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    for endpoint in endpoints:
        endpoint.script = lambda command: b"reset"
    caller = await Rig(*endpoints).caller()
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    assert sum(len(endpoint.commands) for endpoint in endpoints) == 1


@asyncio_test
async def test_non_idempotent_request_is_retried_after_rejection_or_failed_connect():
    busy, closed, good = [await FakeEndpoint(name).listen() for name in ("a", "b", "c")]
    closed.server.close()
    busy.script = lambda command: b"-BUSY\r\n"
    caller = await Rig(busy, closed, good).caller()
    for number in range(12):
        caller.call("bill", number=b"%d" % number)
    assert await caller.replied(12) == [b"ok"] * 12


@asyncio_test
async def test_idempotent_request_is_retried_after_error():
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    replies = [b"-ERR failed util=0.5\r\n", value(b"ok")]
    for endpoint in endpoints:
        endpoint.script = lambda command: replies.pop(0)
    caller = await Rig(*endpoints).caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


@asyncio_test
async def test_attempt_without_reply_fails_before_client_timeout():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call("bill", wait=200)
    assert error((await caller.replied())[0]).startswith("ERR")
    await until(lambda: not endpoint.connections)  # the attempt is cancelled
    assert (
        rig.driver.requests
        == rig.driver.gateway.lifecycle.requests
        == rig.driver.gateway.lifecycle.attempts
        == {}
    )


@asyncio_test
async def test_client_disconnect_cancels_its_attempt():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    caller.call()
    await until(lambda: endpoint.commands)
    caller.transport.close()
    await until(lambda: not endpoint.connections)
    await until(lambda: rig.driver.requests == rig.driver.gateway.lifecycle.requests == {})


@asyncio_test
async def test_attempt_of_disconnected_client_ends_at_request_deadline_if_cancel_is_forbidden():
    """Otherwise an endpoint that never replies would occupy the upstream connection for ever."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint, permissions=SITE["permissions"] | {"cancel": False})
    caller = await rig.caller()
    caller.call(wait=3000)
    await until(lambda: endpoint.commands)
    caller.transport.close()
    await until(lambda: not rig.driver.requests)
    assert endpoint.connections
    await until(lambda: not endpoint.connections)
    assert rig.driver.gateway.lifecycle.attempts == {}


@asyncio_test
async def test_policy_fault_fails_only_its_request():
    endpoint = await FakeEndpoint("a").listen()
    rig = Rig(endpoint)
    caller = await rig.caller()
    choose = rig.driver.gateway.load_balancer.choose
    rig.driver.gateway.load_balancer.choose = lambda request: 1 // 0
    caller.call("bill")
    assert error((await caller.replied())[0]).startswith("ERR")
    rig.driver.gateway.load_balancer.choose = choose
    caller.call("bill")
    assert (await caller.replied(2))[1] == b"ok"
    assert rig.driver.requests == rig.driver.gateway.lifecycle.requests == {}


@asyncio_test
async def test_request_left_unanswered_by_policy_fails_at_deadline():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    rig.driver.gateway.lifecycle.advance = lambda request: None
    caller.call(wait=100)
    assert error((await caller.replied())[0]).startswith("ERR")


@asyncio_test
async def test_rejection_rounds_retry_after_up_to_full_milliseconds():
    rig = Rig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    for wait, line in ((0, "BUSY"), (1_000, "BUSY 1"), (1_001, "BUSY 2")):
        rig.driver.gateway.lifecycle.advance = lambda request, wait=wait: (
            rig.driver.gateway.context.actions.append(RejectRequest(request.event.request, wait))
        )
        caller.call()
        await until(lambda: caller.replies)
        assert error(caller.replies.pop()) == line


@asyncio_test
async def test_policy_fault_does_not_stop_gossip():
    rig = Rig(await FakeEndpoint("a").listen())
    gossip_times = []

    def failing_gossip_turn():
        gossip_times.append(rig.loop.time())
        rig.driver.gateway.context.actions.append(SetTimer(1_000, 0))
        raise RuntimeError("made up")

    rig.driver.gateway.quota_broadcast.gossip_turn = failing_gossip_turn
    await until(lambda: len(gossip_times) >= 3)
