"""The gateway with an authoriser that fails below the level of gRPC.

Every request gets exactly one reply, and none is sent upstream after a denial.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from unittest import mock

import pytest
from async_testing import until
from authz_rig import MS, NAMES, NEVER_OPENING, authz_rig_test
from client_rig import error

from saffrongw.authz.attributes import RequestNames
from saffrongw.authz.breaker import BreakerSettings
from saffrongw.authz.checks import CheckSettings
from saffrongw.authz.request_filter import FailureRules
from saffrongw.policy.events import EndpointListKind, EndpointListReceived
from saffrongw.policy.gateway import Gateway
from testbed.ext_authz_server import server
from testbed.ext_authz_server.server import MODES, Authoriser, Behaviour, allow, deny


@authz_rig_test
async def test_an_allowed_request_is_served_and_its_check_carries_its_terms(open_):
    authoriser = await Authoriser().start()
    authz_rig = await open_(authoriser)
    caller = await authz_rig.caller()
    caller.call("put", wait=1500, number=b"id7")
    assert await caller.replied() == [b"ok"]
    (asked,) = authoriser.asked
    attributes = asked.request.attributes
    http, extensions = attributes.request.http, dict(attributes.context_extensions)
    assert (http.id, http.method, http.path, http.size) == ("id7", "POST", "/put", 4)
    assert attributes.source.principal == extensions["customer"] == "0000000000000007"
    assert (
        extensions["class"],
        extensions["plan"],
        extensions["units"],
        extensions["wait_ms"],
    ) == ("put", "team", "1", "1500")
    assert attributes.request.time.seconds > 1_600_000_000
    await until(authz_rig.is_idle)


@pytest.mark.parametrize(
    ("answer", "reply"),
    [
        (deny(403), "ERR failed"),
        (deny(401), "ERR failed"),
        (deny(429), "BUSY"),
        (deny(429, retry_after=1), "BUSY 1000"),
        (deny(503, retry_after=7), "BUSY 1000"),  # the settings allow a second at most
    ],
)
def test_a_denied_request_reaches_no_endpoint_and_takes_no_units(answer, reply):
    @authz_rig_test
    async def check(open_):
        authz_rig = await open_(await Authoriser(lambda request: answer).start())
        caller = await authz_rig.caller()
        caller.call("bill")
        assert error((await caller.replied())[0]) == reply
        await until(authz_rig.is_idle)
        assert authz_rig.host.commands == []
        assert authz_rig.rig.driver.gateway.quota_counters.customers == {}

    check()


@pytest.mark.parametrize("mode", [mode for mode in MODES if mode not in ("answer", "delay")])
@pytest.mark.parametrize("fail", ["open", "closed"])
def test_each_fault_of_an_authoriser_gives_one_reply_by_the_fail_mode(mode, fail):
    @authz_rig_test
    async def check(open_):
        authoriser = await Authoriser(behaviour=Behaviour({mode: 1.0})).start()
        authz_rig = await open_(authoriser, rules=FailureRules(fail), max_timeout_us=150 * MS)
        caller = await authz_rig.caller()
        caller.call("bill", wait=3000)
        (answer,) = await caller.replied()
        if fail == "open":
            assert answer == b"ok"
        elif answer != b"ok":  # in mode "twice" gRPC may accept the first of two messages
            assert error(answer) == "BUSY"
            assert authz_rig.host.commands == []
        else:
            assert mode == "twice"
        await asyncio.sleep(0.1)
        assert len(caller.replies) == 1
        assert len(authz_rig.host.commands) <= 1
        await until(authz_rig.is_idle)

    check()


@authz_rig_test
async def test_a_check_times_out_when_the_authoriser_never_opens_the_flow_control_window(open_):
    authoriser = await Authoriser(behaviour=Behaviour(window_shut=True)).start()
    authz_rig = await open_(authoriser, max_timeout_us=150 * MS)
    caller = await authz_rig.caller()
    caller.call(wait=3000)
    assert error((await caller.replied())[0]) == "BUSY"
    await until(authz_rig.is_idle)


@authz_rig_test
async def test_an_authoriser_that_is_slow_to_accept_a_connection_is_asked(open_):
    """The connection was given up after 100 ms, and the check failed as if no authoriser was there."""
    accept = server._Connection.connection_made

    def accept_late(connection: server._Connection, transport: asyncio.Transport) -> None:
        # The authoriser's machine is busy.
        time.sleep(0.3)
        accept(connection, transport)

    with mock.patch.object(server._Connection, "connection_made", accept_late):
        authz_rig = await open_(await Authoriser().start())
        caller = await authz_rig.caller()
        caller.call(wait=4000)
        assert await caller.replied() == [b"ok"]


@authz_rig_test
async def test_a_reply_after_the_requests_own_deadline_sends_nothing(open_):
    """The request's deadline passes while its check is in flight; the late OK must not send it."""
    authoriser = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.6, 0.6))).start()
    authz_rig = await open_(authoriser, share=0.9, max_timeout_us=5000 * MS)
    authz_rig.filter.client.checks.settings = CheckSettings(
        time_share=0.9, min_timeout_us=2000 * MS, max_timeout_us=2000 * MS, breaker=NEVER_OPENING
    )
    authz_rig.rig.driver.filter_chain.time_share = 5.0  # so that the filters' timeout is not first
    caller = await authz_rig.caller()
    caller.call("bill", wait=300)
    assert error((await caller.replied())[0]) == "ERR failed"
    await asyncio.sleep(0.6)
    assert authz_rig.host.commands == []
    assert len(caller.replies) == 1
    await until(authz_rig.is_idle)


@authz_rig_test
async def test_a_client_that_disconnects_cancels_its_check(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"silent": 1.0})).start()
    authz_rig = await open_(authoriser)
    caller = await authz_rig.caller()
    caller.call(wait=3000)
    await until(lambda: authoriser.asked)
    caller.transport.close()
    await until(lambda: authoriser.called_off == 1)
    await until(authz_rig.is_idle)
    assert authz_rig.host.commands == []


@authz_rig_test
async def test_an_authoriser_restart_with_200_checks_in_flight_gives_each_request_one_reply(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.5))).start()
    authz_rig = await open_(authoriser, coalesce=False, max_in_flight=500)
    callers = [await authz_rig.caller() for _ in range(200)]
    for number, caller in enumerate(callers):
        caller.call(wait=4000, number=b"n%d" % number)
    await until(lambda: len(authoriser.asked) == 200)
    await authoriser.restart(0.2)
    for caller in callers:
        await caller.replied()
    await until(authz_rig.is_idle)
    assert all(len(caller.replies) == 1 for caller in callers)
    authoriser.behaviour.chances.clear()

    async def served() -> bool:
        caller = await authz_rig.caller()
        caller.call(wait=2000, number=b"again")
        return (await caller.replied()) == [b"ok"]

    async with asyncio.timeout(15):
        while not await served():
            await asyncio.sleep(0.1)


@authz_rig_test
async def test_draining_waits_for_checks_in_flight(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.3))).start()
    authz_rig = await open_(authoriser)
    caller = await authz_rig.caller()
    caller.call(wait=3000)
    await until(lambda: authoriser.asked)
    await authz_rig.rig.clients.shutdown.drain(0)
    assert await caller.replied() == [b"ok"]


@authz_rig_test
async def test_requests_with_equal_keys_share_a_check_and_its_reply_is_cached(open_):
    authoriser = await Authoriser(
        lambda r: allow(cache_ms=60_000), behaviour=Behaviour({"delay": 1.0})
    ).start()
    authz_rig = await open_(authoriser)
    callers = [await authz_rig.caller() for _ in range(6)]
    for number, caller in enumerate(callers[:5]):
        caller.call(number=b"n%d" % number)
    for caller in callers[:5]:
        assert await caller.replied() == [b"ok"]
    callers[5].call(number=b"n5")
    assert await callers[5].replied() == [b"ok"]
    assert len(authoriser.asked) == 1
    assert dict(authz_rig.filter.client.checks.counts) == {
        "asked": 1,
        "joined": 4,
        "cached": 1,
        "allow": 6,
    }


@authz_rig_test
async def test_an_authoriser_changes_a_plan_only_where_the_rules_allow_it(open_):
    names = RequestNames(NAMES.classes, ("team", "small"), NAMES.idempotent)
    for rules, plan in (
        (FailureRules(allowed_plans={"team": ("small",)}), 1),
        (FailureRules(), 0),
    ):
        authz_rig = await open_(
            await Authoriser(lambda r: allow(plan="small")).start(), rules=rules, names=names
        )
        plans = authz_rig.rig.config.settings.plans
        settings = dataclasses.replace(authz_rig.rig.config.settings, plans=(*plans, *plans))
        driver = authz_rig.rig.driver
        entries = tuple(e.entry for e in driver.gateway.endpoints.by_id.values())
        driver.gateway = Gateway(settings, 1, driver.clock())
        driver.handle_by_policy = driver.gateway.handle
        driver.filter_chain.plan_count = len(settings.plans)
        complete = EndpointListReceived(EndpointListKind.COMPLETE, 1, entries)
        driver.gateway.handle(driver.clock(), complete)
        caller = await authz_rig.caller()
        caller.call()
        assert await caller.replied() == [b"ok"]
        (account,) = authz_rig.rig.driver.gateway.quota_counters.customers.values()
        assert account.plan == plan


@authz_rig_test
async def test_the_fail_mode_depends_on_class_and_plan(open_):
    rules = FailureRules(
        "closed", {("read", ""): "open", ("read", "team"): "closed", ("bill", ""): "open"}
    )
    stopped = await Authoriser().start()
    stopped.stop()
    authz_rig = await open_(stopped, rules=rules)
    for kind, answer in (("read", "BUSY"), ("bill", b"ok"), ("put", "BUSY")):
        caller = await authz_rig.caller()
        caller.call(kind, number=b"x" + kind.encode())
        (got,) = await caller.replied()
        assert (got if got == b"ok" else error(got)) == answer


@authz_rig_test
async def test_any_mix_of_faults_gives_each_request_one_reply_and_leaves_no_state(open_):
    mix = {mode: 0.06 for mode in MODES if mode != "answer"}
    authorisers = [
        await Authoriser(seed=f"mix{n}", behaviour=Behaviour(dict(mix), (0.0, 0.3))).start()
        for n in (1, 2)
    ]
    breaker = BreakerSettings(max_consecutive_failures=50, failure_share=0.95, open_us=20 * MS)
    authz_rig = await open_(
        *authorisers,
        max_timeout_us=120 * MS,
        hedge_after_us=40 * MS,
        breaker=breaker,
        coalesce=False,
    )
    callers = [await authz_rig.caller() for _ in range(25)]
    for round_number in range(12):
        for index, caller in enumerate(callers):
            caller.call("bill", wait=2000, number=b"t%d-%d" % (round_number, index))
        for caller in callers:
            await caller.replied(round_number + 1)
    await asyncio.sleep(0.3)
    assert all(len(caller.replies) == 12 for caller in callers)
    served = sum(reply == b"ok" for caller in callers for reply in caller.replies)
    assert served == len(authz_rig.host.commands)  # each served request reached the endpoint once
    assert 0 < served < 300
    await until(authz_rig.is_idle)
