"""The gateway with an authoriser that misbehaves below the level of gRPC: one answer each, no send after a denial."""

from __future__ import annotations

import asyncio
import dataclasses
import ssl
from pathlib import Path

import pytest
import trustme
from conftest import Caller, FakeHost, Rig, asyncio_test, error, until

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
PATIENT = BreakerSettings(
    max_consecutive_failures=1000, min_outcomes=1000
)  # a breaker that does not open in these tests


class World:
    """A gateway, a host and authorisers."""

    async def open(
        self, *authorisers: Authoriser, rules=None, tls=None, share=0.6, names=NAMES, **figures
    ) -> World:
        self.authorisers, self.host = authorisers, await FakeHost("a").listen()
        figures = {"breaker": PATIENT, "time_share": 0.5, "max_timeout_us": 2000 * MS} | figures
        self.stage = AuthzFilter(
            CheckSettings(**figures),
            rules or FailureRules(),
            names,
            lambda: [AuthzChannel(a.address, tls) for a in authorisers],
            "saffrongw",
            1,
        )
        plugs = Extensions((self.stage,), (), (self.stage,), share)
        self.rig = Rig(self.host, driver=lambda *given: FilteringDriver(*given, plugs), sockets=600)
        await self.stage.start(self.rig.driver)
        return self

    async def caller(self) -> Caller:
        return await self.rig.caller()

    async def close(self) -> None:
        await self.stage.stop()
        for authoriser in self.authorisers:
            authoriser.stop()

    def empty(self) -> bool:
        asker, checks = self.stage.client, self.stage.client.checks
        kept = (checks.flights, checks.of, checks.joinable, asker.waiting, asker.out)
        kept += (asker.messages, asker.timers, self.stage.clients_by_request)
        return (
            not any(kept) and not self.rig.driver.requests and not self.rig.driver.filter_chain.runs
        )


def world_test(function):
    """A test that gets ``open`` and whose worlds are closed."""

    async def run() -> None:
        worlds: list[World] = []

        async def open_(*authorisers, **changes) -> World:
            worlds.append(World())
            return await worlds[-1].open(*authorisers, **changes)

        try:
            await function(open_)
        finally:
            for world in worlds:
                await world.close()

    run.__name__ = function.__name__
    return asyncio_test(run)


@world_test
async def test_a_request_that_is_allowed_is_served_and_the_authoriser_was_told_its_terms(open_):
    authoriser = await Authoriser().start()
    world = await open_(authoriser)
    caller = await world.caller()
    caller.call("put", wait=1500, number=b"id7")
    assert await caller.replied() == [b"ok"]
    (asked,) = authoriser.asked
    attributes = asked.request.attributes
    http, more = attributes.request.http, dict(attributes.context_extensions)
    assert (http.id, http.method, http.path, http.size) == ("id7", "POST", "/put", 4)
    assert attributes.source.principal == more["customer"] == "0000000000000007"
    assert (more["class"], more["plan"], more["units"], more["wait_ms"]) == (
        "put",
        "team",
        "1",
        "1500",
    )
    assert attributes.request.time.seconds > 1_600_000_000
    await until(world.empty)


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
def test_a_denial_leaves_no_trace_at_hosts_and_takes_no_units(answer, reply):
    @world_test
    async def check(open_):
        world = await open_(await Authoriser(lambda request: answer).start())
        caller = await world.caller()
        caller.call("bill")
        assert error((await caller.replied())[0]) == reply
        await until(world.empty)
        assert world.host.commands == []
        assert world.rig.driver.gateway.quota_counters.customers == {}

    check()


@pytest.mark.parametrize("mode", [mode for mode in MODES if mode not in ("answer", "delay")])
@pytest.mark.parametrize("fail", ["open", "closed"])
def test_each_fault_of_an_authoriser_gives_one_answer_by_the_fail_mode(mode, fail):
    @world_test
    async def check(open_):
        authoriser = await Authoriser(behaviour=Behaviour({mode: 1.0})).start()
        world = await open_(authoriser, rules=FailureRules(fail), max_timeout_us=150 * MS)
        caller = await world.caller()
        caller.call("bill", wait=3000)
        (answer,) = await caller.replied()
        if fail == "open":
            assert answer == b"ok"
        elif answer != b"ok":  # a library may take the first of two messages
            assert error(answer) == "BUSY"
            assert world.host.commands == []
        else:
            assert mode == "twice"
        await asyncio.sleep(0.1)
        assert len(caller.replies) == 1
        assert len(world.host.commands) <= 1
        await until(world.empty)

    check()


@world_test
async def test_a_window_that_is_never_opened_ends_by_the_checks_deadline(open_):
    authoriser = await Authoriser(behaviour=Behaviour(window_shut=True)).start()
    world = await open_(authoriser, max_timeout_us=150 * MS)
    caller = await world.caller()
    caller.call(wait=3000)
    assert error((await caller.replied())[0]) == "BUSY"
    await until(world.empty)


@world_test
async def test_an_answer_after_the_requests_own_end_sends_nothing(open_):
    """The guard of the request ends it while its check is out; the late OK must not send it."""
    authoriser = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.6, 0.6))).start()
    world = await open_(authoriser, share=0.9, max_timeout_us=5000 * MS)
    world.stage.client.checks.settings = CheckSettings(
        time_share=0.9, min_timeout_us=2000 * MS, max_timeout_us=2000 * MS, breaker=PATIENT
    )
    world.rig.driver.filter_chain.time_share = 5.0  # no share that would end it before
    caller = await world.caller()
    caller.call("bill", wait=300)
    assert error((await caller.replied())[0]) == "ERR failed"
    await asyncio.sleep(0.6)
    assert world.host.commands == []
    assert len(caller.replies) == 1
    await until(world.empty)


@world_test
async def test_a_client_that_leaves_calls_its_check_off(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"silent": 1.0})).start()
    world = await open_(authoriser)
    caller = await world.caller()
    caller.call(wait=3000)
    await until(lambda: authoriser.asked)
    caller.transport.close()
    await until(lambda: authoriser.called_off == 1)
    await until(world.empty)
    assert world.host.commands == []


@world_test
async def test_a_restart_with_hundreds_of_checks_out_answers_each_request_once(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.5))).start()
    world = await open_(authoriser, coalesce=False, in_flight=500)
    callers = [await world.caller() for _ in range(200)]
    for number, caller in enumerate(callers):
        caller.call(wait=4000, number=b"n%d" % number)
    await until(lambda: len(authoriser.asked) == 200)
    await authoriser.restart(0.2)
    for caller in callers:
        await caller.replied()
    await until(world.empty)
    assert all(len(caller.replies) == 1 for caller in callers)
    authoriser.behaviour.chances.clear()

    async def served() -> bool:
        caller = await world.caller()
        caller.call(wait=2000, number=b"again")
        return (await caller.replied()) == [b"ok"]

    async with asyncio.timeout(15):
        while not await served():
            await asyncio.sleep(0.1)


@world_test
async def test_draining_with_checks_out_answers_them(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.3))).start()
    world = await open_(authoriser)
    caller = await world.caller()
    caller.call(wait=3000)
    await until(lambda: authoriser.asked)
    await world.rig.clients.shutdown.drain(0)
    assert await caller.replied() == [b"ok"]


@world_test
async def test_equal_checks_are_asked_once_and_kept_as_long_as_the_answer_says(open_):
    authoriser = await Authoriser(
        lambda r: allow(cache_ms=60_000), behaviour=Behaviour({"delay": 1.0})
    ).start()
    world = await open_(authoriser)
    callers = [await world.caller() for _ in range(6)]
    for number, caller in enumerate(callers[:5]):
        caller.call(number=b"n%d" % number)
    for caller in callers[:5]:
        assert await caller.replied() == [b"ok"]
    callers[5].call(number=b"n5")
    assert await callers[5].replied() == [b"ok"]
    assert len(authoriser.asked) == 1
    assert dict(world.stage.client.checks.counts) == {
        "asked": 1,
        "joined": 4,
        "cached": 1,
        "allow": 6,
    }


@world_test
async def test_an_open_breaker_costs_no_time_and_closes_when_the_authoriser_is_back(open_):
    authoriser = await Authoriser(behaviour=Behaviour({"silent": 1.0})).start()
    breaker = BreakerSettings(max_consecutive_failures=3, open_us=200 * MS, successes=1)
    world = await open_(
        authoriser,
        rules=FailureRules("open"),
        max_timeout_us=50 * MS,
        breaker=breaker,
        coalesce=False,
    )
    caller = await world.caller()
    for number in range(3):
        caller.call(wait=2000, number=b"n%d" % number)
        await caller.replied(number + 1)
    assert world.stage.client.checks.endpoints[0].breaker.state is BreakerState.OPEN
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
        return world.stage.client.checks.endpoints[0].breaker.state

    async with asyncio.timeout(10):
        while await ask() is not BreakerState.CLOSED:
            await asyncio.sleep(0.02)


@world_test
async def test_one_of_two_authorisers_that_is_away_is_left_alone(open_):
    here, away = await Authoriser().start(), await Authoriser().start()
    away.stop()
    breaker = BreakerSettings(max_consecutive_failures=2, open_us=60_000 * MS)
    world = await open_(here, away, breaker=breaker, coalesce=False)
    caller = await world.caller()
    endpoints = world.stage.client.checks.endpoints
    for number in range(30):
        # How fast a dead one fails is measured by chance: here it is always the one that seems faster.
        endpoints[0].latency, endpoints[1].latency = 1e9, 1.0
        caller.call(wait=2000, number=b"n%d" % number)
        await caller.replied(number + 1)
    assert [reply == b"ok" for reply in caller.replies] == [False] * 2 + [True] * 28
    assert len(here.asked) == 28
    assert world.stage.client.checks.endpoints[1].breaker.state is BreakerState.OPEN


@world_test
async def test_a_hedged_check_is_answered_by_the_faster_one(open_):
    slow = await Authoriser(behaviour=Behaviour({"silent": 1.0})).start()
    fast = await Authoriser().start()
    world = await open_(slow, fast, hedge_after_us=30 * MS)
    world.stage.client.checks.endpoints[1].latency = 1e9  # the slow one is asked first
    caller = await world.caller()
    caller.call(wait=4000)
    assert await caller.replied() == [b"ok"]
    assert (len(slow.asked), len(fast.asked)) == (1, 1)
    await until(lambda: slow.called_off == 1)
    await until(world.empty)


@world_test
async def test_an_authoriser_narrows_a_plan_only_where_it_may(open_):
    names = RequestNames(NAMES.classes, ("team", "small"), NAMES.safe)
    for rules, plan in (
        (FailureRules(may_narrow_plan={"team": ("small",)}), 1),
        (FailureRules(), 0),
    ):
        world = await open_(
            await Authoriser(lambda r: allow(plan="small")).start(), rules=rules, names=names
        )
        package = world.rig.config.settings.plans
        settings = dataclasses.replace(world.rig.config.settings, plans=(*package, *package))
        driver = world.rig.driver
        entries = tuple(e.entry for e in driver.gateway.endpoints.by_id.values())
        driver.gateway = Gateway(settings, 1, driver.clock())
        driver.handle_by_policy = driver.gateway.handle
        driver.filter_chain.plan_count = len(settings.plans)
        complete = EndpointListReceived(EndpointListKind.COMPLETE, 1, entries)
        driver.gateway.handle(driver.clock(), complete)
        caller = await world.caller()
        caller.call()
        assert await caller.replied() == [b"ok"]
        (account,) = world.rig.driver.gateway.quota_counters.customers.values()
        assert account.plan == plan


@world_test
async def test_the_fail_mode_goes_by_class_and_plan(open_):
    rules = FailureRules(
        "closed", {("read", ""): "open", ("read", "team"): "closed", ("bill", ""): "open"}
    )
    gone = await Authoriser().start()
    gone.stop()
    world = await open_(gone, rules=rules)
    for kind, answer in (("read", "BUSY"), ("bill", b"ok"), ("put", "BUSY")):
        caller = await world.caller()
        caller.call(kind, number=b"x" + kind.encode())
        (got,) = await caller.replied()
        assert (got if got == b"ok" else error(got)) == answer


@world_test
async def test_any_mix_of_faults_leaves_one_answer_each_and_nothing_behind(open_):
    mix = {mode: 0.06 for mode in MODES if mode != "answer"}
    authorisers = [
        await Authoriser(seed=f"mix{n}", behaviour=Behaviour(dict(mix), (0.0, 0.3))).start()
        for n in (1, 2)
    ]
    breaker = BreakerSettings(max_consecutive_failures=50, failure_share=0.95, open_us=20 * MS)
    world = await open_(
        *authorisers,
        max_timeout_us=120 * MS,
        hedge_after_us=40 * MS,
        breaker=breaker,
        coalesce=False,
    )
    callers = [await world.caller() for _ in range(25)]
    for turn in range(12):
        for place, caller in enumerate(callers):
            caller.call("bill", wait=2000, number=b"t%d-%d" % (turn, place))
        for caller in callers:
            await caller.replied(turn + 1)
    await asyncio.sleep(0.3)
    assert all(len(caller.replies) == 12 for caller in callers)
    served = sum(reply == b"ok" for caller in callers for reply in caller.replies)
    assert served == len(world.host.commands)  # no send without its answer, none twice
    assert 0 < served < 300
    await until(world.empty)


@world_test
async def test_figures_and_authorisers_change_in_service_and_what_is_out_ends_by_the_old_ones(
    open_,
):
    old = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.3))).start()
    new = await Authoriser(lambda request: deny()).start()
    world = await open_(old)
    before, after = await world.caller(), await world.caller()
    before.call(wait=4000, number=b"one")
    await until(lambda: old.asked)
    world.stage.change(
        CheckSettings(breaker=PATIENT), FailureRules("open"), lambda: [AuthzChannel(new.address)]
    )
    after.call(wait=4000, number=b"two")
    assert error((await after.replied())[0]) == "ERR failed"
    assert await before.replied() == [b"ok"]
    assert (len(old.asked), len(new.asked)) == (1, 1)
    await until(lambda: not old.connections)
    new.stop()


@world_test
async def test_a_change_that_cannot_be_made_changes_nothing(open_):
    world = await open_(await Authoriser().start())
    asker = world.stage.client
    with pytest.raises(OSError, match="none"):
        world.stage.change(
            CheckSettings(),
            FailureRules("open"),
            lambda: [AuthzChannel("127.0.0.1:1", TlsFiles(ca="/none.pem"))],
        )
    assert world.stage.client is asker
    assert world.stage.rules.fail == "closed"
    caller = await world.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


@world_test
async def test_an_aborted_change_leaves_the_old_checks_and_closes_the_new_channels(open_):
    world = await open_(await Authoriser().start())
    asker = world.stage.client
    channel = AuthzChannel("127.0.0.1:1")
    prepared = world.stage.prepare(CheckSettings(), FailureRules("open"), lambda: [channel])
    prepared.abort()
    await until(lambda: not world.stage.retiring)
    assert world.stage.client is asker
    assert world.stage.rules.fail == "closed"
    caller = await world.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


# -- TLS -------------------------------------------------------------------------------------------------


class Authority:
    """A certificate authority and the files that it wrote."""

    def __init__(self, folder: Path) -> None:
        self.ca, self.folder = trustme.CA(), folder
        self.ca_file = folder / "ca.pem"
        self.ca.cert_pem.write_to_path(self.ca_file)

    def issue(self, name: str) -> tuple[str, str]:
        """Certificate and key for a name, in place of older ones, whole or not at all."""
        issued = self.ca.issue_cert(name)
        cert, key = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        issued.cert_chain_pems[0].write_to_path(cert.with_suffix(".new"))
        issued.private_key_pem.write_to_path(key.with_suffix(".newkey"))
        cert.with_suffix(".new").replace(cert)
        key.with_suffix(".newkey").replace(key)
        return str(cert), str(key)

    def server(self, name: str, clients: Authority | None = None) -> ssl.SSLContext:
        """A server's context that asks clients for certificates."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(*self.issue(name))
        context.set_alpn_protocols(["h2"])
        if clients:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(clients.ca_file)
        return context


def test_mutual_tls_and_files_that_change_in_service(tmp_path):
    @world_test
    async def check(open_):
        own = Authority(tmp_path)
        authoriser = Authoriser()
        authoriser.ssl = own.server("authoriser.test", own)
        await authoriser.start()
        cert, key = own.issue("gateway.test")
        tls = TlsFiles(str(own.ca_file), cert, key, "authoriser.test")
        world = await open_(authoriser, tls=tls, coalesce=False)
        caller = await world.caller()
        caller.call(wait=4000, number=b"one")
        assert await caller.replied() == [b"ok"]
        own.issue("gateway.test")  # a renewed certificate
        channel = world.stage.client.channels[0]
        channel.looked, before = -10.0, channel.channel
        caller.call(wait=4000, number=b"two")
        assert await caller.replied(2) == [b"ok"] * 2
        assert channel.channel is not before
        Path(cert).unlink()  # a file that is gone changes nothing
        channel.looked, before = -10.0, channel.channel
        caller.call(wait=4000, number=b"three")
        assert await caller.replied(3) == [b"ok"] * 3
        assert channel.channel is before

    check()


def test_an_authoriser_that_cannot_prove_its_name_is_not_believed(tmp_path):
    @world_test
    async def check(open_):
        (tmp_path / "own").mkdir(), (tmp_path / "other").mkdir()
        own, other = Authority(tmp_path / "own"), Authority(tmp_path / "other")
        for context in (other.server("authoriser.test"), own.server("else.test")):
            authoriser = Authoriser()
            authoriser.ssl = context
            await authoriser.start()
            world = await open_(
                authoriser, tls=TlsFiles(str(own.ca_file), server_name="authoriser.test")
            )
            caller = await world.caller()
            caller.call(wait=1000)
            assert error((await caller.replied())[0]) == "BUSY"
            assert authoriser.asked == []

    check()
