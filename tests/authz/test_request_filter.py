"""The gateway with an authoriser that fails below the level of gRPC.

Every request gets exactly one reply, and none is sent upstream after a denial.
"""

from __future__ import annotations

import asyncio
import dataclasses
import ssl
from pathlib import Path

import pytest
import trustme
from async_testing import asyncio_test, until
from client_rig import Caller, error
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.authz.attributes import RequestNames
from saffrongw.authz.breaker import BreakerSettings, BreakerState
from saffrongw.authz.channel import AuthzChannel, TlsFiles
from saffrongw.authz.checks import CheckSettings
from saffrongw.authz.request_filter import AuthzFilter, FailureRules
from saffrongw.gateway.extensions import Extensions
from saffrongw.gateway.filtering_driver import FilteringDriver
from saffrongw.policy.events import EndpointListKind, EndpointListReceived
from saffrongw.policy.gateway import Gateway
from testbed.ext_authz_server.server import MODES, Authoriser, Behaviour, allow, deny

NAMES = RequestNames(("read", "put", "bill"), ("team",), (True, False, False))
MS = 1_000
NEVER_OPENING = BreakerSettings(
    max_consecutive_failures=1000, min_outcomes=1000
)  # a breaker that never opens in these tests


class AuthzRig:
    """A gateway with the filter, one endpoint and authorisers."""

    async def open(
        self, *authorisers: Authoriser, rules=None, tls=None, share=0.6, names=NAMES, **settings
    ) -> AuthzRig:
        self.authorisers, self.host = authorisers, await FakeEndpoint("a").listen()
        settings = {
            "breaker": NEVER_OPENING,
            "time_share": 0.5,
            "max_timeout_us": 2000 * MS,
        } | settings
        self.filter = AuthzFilter(
            CheckSettings(**settings),
            rules or FailureRules(),
            names,
            lambda: [AuthzChannel(a.address, tls) for a in authorisers],
            "saffrongw",
            1,
        )
        extensions = Extensions((self.filter,), (), (self.filter,), share)
        self.rig = Rig(
            self.host, driver=lambda *given: FilteringDriver(*given, extensions), sockets=600
        )
        await self.filter.start(self.rig.driver)
        return self

    async def caller(self) -> Caller:
        return await self.rig.caller()

    async def close(self) -> None:
        await self.filter.stop()
        for authoriser in self.authorisers:
            authoriser.stop()

    def is_idle(self) -> bool:
        """Return whether no state of any request or check is left."""
        client, checks = self.filter.client, self.filter.client.checks
        state = (
            checks.checks_in_flight,
            checks.check_ids_by_request,
            checks.check_ids_by_key,
            client.pending_requests,
            client.check_tasks,
        )
        state += (client.messages, client.hedge_timers, self.filter.clients_by_request)
        return (
            not any(state)
            and not self.rig.driver.requests
            and not self.rig.driver.filter_chain.runs
        )


def authz_rig_test(function):
    """Decorate a test that gets a function to open rigs, which are closed at its end."""

    async def run() -> None:
        authz_rigs: list[AuthzRig] = []

        async def open_(*authorisers, **changes) -> AuthzRig:
            authz_rigs.append(AuthzRig())
            return await authz_rigs[-1].open(*authorisers, **changes)

        try:
            await function(open_)
        finally:
            for authz_rig in authz_rigs:
                await authz_rig.close()

    run.__name__ = function.__name__
    return asyncio_test(run)


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


@authz_rig_test
async def test_settings_and_authorisers_change_in_service_and_checks_in_flight_use_the_old_ones(
    open_,
):
    old = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.3))).start()
    new = await Authoriser(lambda request: deny()).start()
    authz_rig = await open_(old)
    before, after = await authz_rig.caller(), await authz_rig.caller()
    before.call(wait=4000, number=b"one")
    await until(lambda: old.asked)
    authz_rig.filter.reconfigure(
        CheckSettings(breaker=NEVER_OPENING),
        FailureRules("open"),
        lambda: [AuthzChannel(new.address)],
    )
    after.call(wait=4000, number=b"two")
    assert error((await after.replied())[0]) == "ERR failed"
    assert await before.replied() == [b"ok"]
    assert (len(old.asked), len(new.asked)) == (1, 1)
    await until(lambda: not old.connections)
    new.stop()


@authz_rig_test
async def test_a_change_with_an_unreadable_tls_file_has_no_effect(open_):
    authz_rig = await open_(await Authoriser().start())
    client = authz_rig.filter.client
    with pytest.raises(OSError, match="none"):
        authz_rig.filter.reconfigure(
            CheckSettings(),
            FailureRules("open"),
            lambda: [AuthzChannel("127.0.0.1:1", TlsFiles(ca="/none.pem"))],
        )
    assert authz_rig.filter.client is client
    assert authz_rig.filter.rules.default_mode == "closed"
    caller = await authz_rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


@authz_rig_test
async def test_an_aborted_change_keeps_the_old_client_and_closes_the_new_channels(open_):
    authz_rig = await open_(await Authoriser().start())
    client = authz_rig.filter.client
    channel = AuthzChannel("127.0.0.1:1")
    prepared = authz_rig.filter.prepare(CheckSettings(), FailureRules("open"), lambda: [channel])
    prepared.abort()
    await until(lambda: not authz_rig.filter.background_tasks)
    assert authz_rig.filter.client is client
    assert authz_rig.filter.rules.default_mode == "closed"
    caller = await authz_rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


# -- TLS -------------------------------------------------------------------------------------------------


class Authority:
    """A certificate authority and the folder of its files."""

    def __init__(self, folder: Path) -> None:
        self.ca, self.folder = trustme.CA(), folder
        self.ca_file = folder / "ca.pem"
        self.ca.cert_pem.write_to_path(self.ca_file)

    def issue(self, name: str) -> tuple[str, str]:
        """Issue certificate and key for a name; the files are replaced atomically."""
        issued = self.ca.issue_cert(name)
        cert, key = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        issued.cert_chain_pems[0].write_to_path(cert.with_suffix(".new"))
        issued.private_key_pem.write_to_path(key.with_suffix(".newkey"))
        cert.with_suffix(".new").replace(cert)
        key.with_suffix(".newkey").replace(key)
        return str(cert), str(key)

    def server(self, name: str, clients: Authority | None = None) -> ssl.SSLContext:
        """Return a server's TLS context; with ``clients`` it requires their certificates."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(*self.issue(name))
        context.set_alpn_protocols(["h2"])
        if clients:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(clients.ca_file)
        return context


def test_mutual_tls_with_files_that_change_in_service(tmp_path):
    @authz_rig_test
    async def check(open_):
        own = Authority(tmp_path)
        authoriser = Authoriser()
        authoriser.ssl = own.server("authoriser.test", own)
        await authoriser.start()
        cert, key = own.issue("gateway.test")
        tls = TlsFiles(str(own.ca_file), cert, key, "authoriser.test")
        authz_rig = await open_(authoriser, tls=tls, coalesce=False)
        caller = await authz_rig.caller()
        caller.call(wait=4000, number=b"one")
        assert await caller.replied() == [b"ok"]
        own.issue("gateway.test")  # a renewed certificate
        channel = authz_rig.filter.client.channels[0]
        channel.tls_files_checked_s, before = -10.0, channel.channel
        caller.call(wait=4000, number=b"two")
        assert await caller.replied(2) == [b"ok"] * 2
        assert channel.channel is not before
        Path(cert).unlink()  # a missing file keeps the old channel
        channel.tls_files_checked_s, before = -10.0, channel.channel
        caller.call(wait=4000, number=b"three")
        assert await caller.replied(3) == [b"ok"] * 3
        assert channel.channel is before

    check()


def test_an_authoriser_without_a_valid_certificate_for_its_name_gets_no_checks(tmp_path):
    @authz_rig_test
    async def check(open_):
        (tmp_path / "own").mkdir(), (tmp_path / "other").mkdir()
        own, other = Authority(tmp_path / "own"), Authority(tmp_path / "other")
        for context in (other.server("authoriser.test"), own.server("else.test")):
            authoriser = Authoriser()
            authoriser.ssl = context
            await authoriser.start()
            authz_rig = await open_(
                authoriser, tls=TlsFiles(str(own.ca_file), server_name="authoriser.test")
            )
            caller = await authz_rig.caller()
            caller.call(wait=1000)
            assert error((await caller.replied())[0]) == "BUSY"
            assert authoriser.asked == []

    check()
