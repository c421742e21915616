"""Authorisers that fail or are slow: open breakers send them no checks, hedged checks go to another one."""

from __future__ import annotations

import asyncio

from async_testing import until
from authz_rig import MS, authz_rig_test

from saffrongw.authz.breaker import BreakerSettings, BreakerState
from saffrongw.authz.request_filter import FailureRules
from testbed.ext_authz_server.server import Authoriser, Behaviour


@authz_rig_test
async def test_an_open_breaker_sends_no_checks_and_closes_when_the_authoriser_recovers(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"silent": 1.0})).start()
    breaker = BreakerSettings(max_consecutive_failures=3, open_us=200 * MS, successes_to_close=1)
    authz_rig = await open_(
        authoriser,
        rules=FailureRules("open"),
        max_timeout_us=50 * MS,
        breaker=breaker,
        coalesce=False,
    )
    caller = await authz_rig.caller()
    for number in range(3):
        caller.call(wait=2000, number=b"n%d" % number)
        await caller.replied(number + 1)
    assert authz_rig.filter.client.checks.endpoints[0].breaker.state is BreakerState.OPEN
    caller.call(wait=2000, number=b"fast")
    await caller.replied(4)
    assert len(authoriser.asked) == 3
    authoriser.behaviour.chances.clear()
    number = 4

    async def ask() -> BreakerState:
        nonlocal number
        number += 1
        caller.call(wait=2000, number=b"m%d" % number)
        assert (await caller.replied(number))[-1] == b"ok"
        return authz_rig.filter.client.checks.endpoints[0].breaker.state

    async with asyncio.timeout(10):
        while await ask() is not BreakerState.CLOSED:
            await asyncio.sleep(0.02)


@authz_rig_test
async def test_a_stopped_authoriser_gets_no_checks_once_its_breaker_is_open(open_):
    running, stopped = await Authoriser().start(), await Authoriser().start()
    stopped.stop()
    breaker = BreakerSettings(max_consecutive_failures=2, open_us=60_000 * MS)
    authz_rig = await open_(running, stopped, breaker=breaker, coalesce=False)
    caller = await authz_rig.caller()
    endpoints = authz_rig.filter.client.checks.endpoints
    for number in range(30):
        # How fast the stopped one fails varies; here it always appears to be the faster one.
        endpoints[0].latency_us, endpoints[1].latency_us = 1e9, 1.0
        caller.call(wait=2000, number=b"n%d" % number)
        await caller.replied(number + 1)
    assert [reply == b"ok" for reply in caller.replies] == [False] * 2 + [True] * 28
    assert len(running.asked) == 28
    assert authz_rig.filter.client.checks.endpoints[1].breaker.state is BreakerState.OPEN


@authz_rig_test
async def test_a_hedged_check_is_answered_by_the_faster_one(open_):
    slow = await Authoriser(behaviour=Behaviour({"silent": 1.0})).start()
    fast = await Authoriser().start()
    authz_rig = await open_(slow, fast, hedge_after_us=30 * MS)
    authz_rig.filter.client.checks.endpoints[
        1
    ].latency_us = 1e9  # so that the slow one is chosen first
    caller = await authz_rig.caller()
    caller.call(wait=4000)
    assert await caller.replied() == [b"ok"]
    assert (len(slow.asked), len(fast.asked)) == (1, 1)
    await until(lambda: slow.called_off == 1)
    await until(authz_rig.is_idle)
