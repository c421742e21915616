"""A gateway that answers checks is upgraded: the server moves to the new process."""

from __future__ import annotations

import contextlib

import grpclib
from async_testing import asyncio_test, until
from envoy.service.auth.v3 import external_auth_pb2 as published
from fake_endpoint import FakeEndpoint, value
from grpclib.client import Channel, UnaryUnaryMethod
from test_server import question

from saffrongw.authz.attributes import METHOD
from testbed.runner.processes import free_port
from tests.faults.hot_restart_rig import GatewayProcess, SharedSite, hold_slow_requests

OK, DENIED = 0, 8
# How a check ends that nobody answers; the client's library raises the last one where its connection
# is lost before the request is written.
UNANSWERED = (
    OSError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    AttributeError,
)
LONG_WAIT_MS = 60_000


class Authorised:
    """A site whose gateway answers checks, and a client that checks."""

    def __init__(self, tmp_path, monkeypatch, *hosts: FakeEndpoint) -> None:
        self.listen_port = free_port()
        operator = tmp_path / "operator.toml"
        operator.write_text(f'[authz_server]\nlisten = "127.0.0.1:{self.listen_port}"\n')
        monkeypatch.setenv("SAFFRONGW_OPERATOR", str(operator))
        self.site = SharedSite(tmp_path, *hosts)

    async def check(self) -> int | None:
        """The status of one check on a new connection; None where nobody answers."""
        channel = Channel("127.0.0.1", self.listen_port)
        method = UnaryUnaryMethod(channel, METHOD, published.CheckRequest, published.CheckResponse)
        with contextlib.closing(channel):
            try:
                return (await method(question(), timeout=5)).status.code
            except UNANSWERED:
                return None

    async def checked(self) -> int:
        """The status of the first check that is answered."""
        while (status := await self.check()) is None:
            pass
        return status

    async def gateway(self) -> GatewayProcess:
        return await self.site.gateway()


def test_checks_are_answered_by_the_running_process_and_then_by_its_successor(
    tmp_path, monkeypatch
):
    """Guards against a new process that ended because the address was in use (review, case 9)."""

    @asyncio_test
    async def run() -> None:
        rig = Authorised(tmp_path, monkeypatch, await FakeEndpoint("a").listen())
        old = await rig.gateway()
        assert await rig.checked() == OK
        for _ in range(2):
            new = await rig.gateway()
            assert await rig.check() == OK
            assert await old.end() == 0
            assert await rig.checked() == OK
            assert new.process.returncode is None
            old = new
        assert await old.end() == 0

    run()


def test_an_old_process_that_still_has_requests_denies_no_checks(tmp_path, monkeypatch):
    """Guards against checks decided by the old process, which has given its quotas away."""

    @asyncio_test
    async def run() -> None:
        host = await FakeEndpoint("a").listen()
        held = hold_slow_requests(host)
        rig = Authorised(tmp_path, monkeypatch, host)
        old = await rig.gateway()
        busy = await rig.site.caller()
        busy.call(wait=LONG_WAIT_MS, number=b"slow")
        await until(lambda: held)
        new = await rig.gateway()
        old.process.terminate()
        statuses = []
        while statuses.count(OK) < 20:
            statuses.append(await rig.check())
        assert DENIED not in statuses
        assert old.process.returncode is None
        held[0].transport.write(value(b"slow"))
        assert await busy.replied() == [b"slow"]
        assert await old.wait_end() == 0
        assert await new.end() == 0

    run()


def test_a_successor_whose_predecessor_is_killed_answers_checks(tmp_path, monkeypatch):
    @asyncio_test
    async def run() -> None:
        rig = Authorised(tmp_path, monkeypatch, await FakeEndpoint("a").listen())
        old = await rig.gateway()
        new = await rig.gateway()
        old.process.kill()
        await old.wait_end()
        assert await rig.checked() == OK
        assert await new.end() == 0

    run()
