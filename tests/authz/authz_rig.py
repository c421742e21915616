"""A gateway with the authorisation filter, an endpoint and authorisers."""

from __future__ import annotations

from async_testing import asyncio_test
from client_rig import Caller
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.authz.attributes import RequestNames
from saffrongw.authz.breaker import BreakerSettings
from saffrongw.authz.channel import AuthzChannel
from saffrongw.authz.checks import CheckSettings
from saffrongw.authz.request_filter import AuthzFilter, FailureRules
from saffrongw.gateway.extensions import Extensions
from saffrongw.gateway.filtering_driver import FilteringDriver
from testbed.ext_authz_server.server import Authoriser

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
