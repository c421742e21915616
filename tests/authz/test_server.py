"""The gateway as an authoriser, checked with another gRPC library and the published messages."""

from __future__ import annotations

import contextlib

import grpclib
import pytest
from async_testing import asyncio_test
from authz_rig import NAMES, AuthzRig
from client_rig import error
from envoy.service.auth.v3 import external_auth_pb2 as published
from fake_endpoint import FakeEndpoint
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Server
from loopback_rig import SITE, Rig

from saffrongw.authz.attributes import METHOD, ContextExtensionNames
from saffrongw.authz.server import AuthzServer
from saffrongw.gateway.extensions import Extensions
from saffrongw.gateway.filtering_driver import FilteringDriver


def question(**changes) -> published.CheckRequest:
    request = published.CheckRequest()
    fields = {
        "customer": "0000000000000009",
        "plan": "team",
        "class": "read",
        "spread": "1",
    } | changes
    for name, value in fields.items():
        if value is not None:
            request.attributes.context_extensions[name] = value
    return request


@contextlib.asynccontextmanager
async def served(in_flight=100, **changes):
    """Run a gateway that answers checks; yield its rig, the server and a function to send a check."""
    host = await FakeEndpoint("a").listen()
    server = AuthzServer("127.0.0.1:0", NAMES, ContextExtensionNames(), 2, 1.0, in_flight)
    rig = Rig(
        host,
        driver=lambda *given: FilteringDriver(*given, Extensions((), (), (server,))),
        **changes,
    )
    await server.start(rig.driver)
    channel = Channel("127.0.0.1", server.port)
    method = UnaryUnaryMethod(channel, METHOD, published.CheckRequest, published.CheckResponse)

    async def ask(**fields):
        return await method(question(**fields), timeout=5)

    try:
        yield rig, server, ask
    finally:
        channel.close()
        await server.stop()


def plan(rate: float, burst: float, hard=0.0) -> dict:
    package = SITE["packages"][0] | {"perSecond": rate, "peakUnits": burst}
    return {
        "packages": [
            package | {"hardRate": hard, "capDepth": 3.0 if hard else 0.0, "capSlack": 1.0}
        ]
    }


@asyncio_test
async def test_checks_are_admitted_up_to_the_quota_and_then_rejected():
    async with served(**plan(0.5, 4.0)) as (_, server, ask):
        answers = [await ask() for _ in range(6)]
        assert [a.status.code for a in answers] == [0, 0, 0, 0, 8, 8]
        assert answers[0].WhichOneof("http_response") == "ok_response"
        assert answers[4].denied_response.status.code == 429
        assert dict(server.counts) == {"admitted": 4, "rejected": 2}


@asyncio_test
async def test_a_rejection_states_a_retry_after_time_within_the_settings_limit():
    async with served(**plan(4.0, 2.0)) as (_, _, ask):
        answers = [await ask() for _ in range(4)]
        rejected = [a for a in answers if a.status.code == 8]
        assert rejected
        headers = {o.header.key: o.header.value for o in rejected[0].denied_response.headers}
        assert headers == {"retry-after": "1"}
        assert rejected[0].status.details[0].type_url.endswith("google.rpc.RetryInfo")


@asyncio_test
async def test_clients_and_other_proxies_share_one_quota():
    async with served(**plan(0.01, 6.0)) as (rig, _, ask):
        caller = await rig.caller()
        for number in range(3):
            terms = b"c=read,t=team,d=900,units=1,spread=1,first=0"
            caller.ask(b"CALL.GET", b"0000000000000009", b"n%d" % number, terms)
            await caller.replied(number + 1)
        answers = [(await ask()).status.code for _ in range(4)]
        assert answers == [0, 0, 8, 8]
        caller.ask(b"CALL.GET", b"0000000000000009", b"last", terms)
        assert error((await caller.replied(4))[3]).startswith("BUSY")


@asyncio_test
async def test_customers_have_separate_quotas():
    async with served(**plan(0.01, 2.0)) as (_, _, ask):
        for customer in ("0000000000000001", "0000000000000002"):
            codes = [(await ask(customer=customer)).status.code for _ in range(3)]
            assert codes == [0, 0, 8]


@pytest.mark.parametrize(
    ("fields", "why"),
    [
        ({"customer": "9"}, "customer"),
        ({"customer": "ffffffffffffffff"}, "customer"),
        ({"customer": None}, "customer"),
        ({"plan": "gold"}, "plan is no plan"),
        ({"class": None}, "class is no class"),
        ({"units": "nan"}, "units is no number"),
        ({"units": "1e9"}, "units is no number"),
        ({"units": "0"}, "units is out of range"),
        ({"units": "1.1.1"}, "units is no number"),
        ({"spread": "0"}, "out of range"),
        ({"spread": "-1"}, "spread is no number"),
        ({"first": "2"}, "out of range"),
    ],
)
def test_a_malformed_check_is_an_error_that_names_the_field_and_takes_no_units(fields, why):
    @asyncio_test
    async def check():
        async with served() as (rig, server, ask):
            with pytest.raises(grpclib.GRPCError) as raised:
                await ask(**fields)
            assert raised.value.status is grpclib.Status.INVALID_ARGUMENT
            assert why in raised.value.message
            assert rig.driver.gateway.quota_counters.customers == {}
            assert server.counts["bad"] == 1

    check()


@asyncio_test
async def test_an_exception_in_the_policy_gives_unavailable_and_does_not_admit():
    async with served() as (rig, _, ask):
        rig.driver.gateway.admission.admits = lambda request: 1 / 0
        with pytest.raises(grpclib.GRPCError) as raised:
            await ask()
        assert raised.value.status is grpclib.Status.UNAVAILABLE
        assert rig.driver.admission_checks == {}


@asyncio_test
async def test_a_port_in_use_raises_os_error():
    async with served() as (rig, server, _):
        second = AuthzServer(f"127.0.0.1:{server.port}", NAMES, ContextExtensionNames(), 2, 1.0, 10)
        with pytest.raises(OSError, match="can't listen on"):
            await second.start(rig.driver)


@asyncio_test
async def test_the_filter_works_with_a_server_of_another_grpc_library():
    received = []

    async def check(stream) -> None:
        request = await stream.recv_message()
        received.append(request)
        response = published.CheckResponse()
        response.ok_response.SetInParent()
        await stream.send_message(response)

    class Service:
        def __mapping__(self):
            return {
                METHOD: Handler(
                    check, Cardinality.UNARY_UNARY, published.CheckRequest, published.CheckResponse
                )
            }

    server = Server([Service()])
    await server.start("127.0.0.1", 0)

    class Listening:
        address = f"127.0.0.1:{server._server.sockets[0].getsockname()[1]}"

        @staticmethod
        def stop() -> None:
            server.close()

    authz_rig = await AuthzRig().open(Listening)
    caller = await authz_rig.caller()
    caller.call("bill", number=b"id1")
    assert await caller.replied() == [b"ok"]
    assert received[0].attributes.request.http.path == "/bill"
    await authz_rig.close()
    await server.wait_closed()


@asyncio_test
async def test_a_stopped_server_accepts_no_more_checks():
    async with served() as (_, server, ask):
        await ask()
        await server.stop()
        with pytest.raises(
            (grpclib.GRPCError, OSError, TimeoutError, grpclib.exceptions.StreamTerminatedError)
        ):
            await ask()
