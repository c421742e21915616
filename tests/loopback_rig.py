"""The gateway on loopback sockets, within the test's process."""

from __future__ import annotations

import asyncio
import json

from client_rig import Caller
from fake_endpoint import FakeEndpoint

from saffrongw.gateway import config
from saffrongw.gateway.downstream.listener import ClientConnections
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.upstream.cluster import UpstreamCluster

SECOND_US = 1_000_000

# Settings of the gateway; the values have no meaning beyond the tests.
SITE = {
    "balancers": 2,
    "rank": 0,
    "locality": 0,
    "discovery": "pushed",
    "zones": ["hall-a", "hall-b"],
    "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "classes": [
        {
            "name": name,
            "effect": idempotency,
            "group": deduplication_scope,
            "target": 500_000,
            "deadline": 3_000_000,
        }
        | {"dedupWindow": 5_000_000, "credit": 1.0, "lateWorth": 0.0}
        for name, idempotency, deduplication_scope in (
            ("read", "repeatable", "all"),
            ("put", "by_key", "cell"),
            ("bill", "once", "all"),
        )
    ],
    "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1},
    "loadReport": {"how": "inline", "names": ["util", "latency_ms"]},
    "packages": [
        {
            "name": "team",
            "perSecond": 100.0,
            "peakUnits": 100.0,
            "open": 0,
            "pays": 1.0,
            "beyondEarns": 0.0,
        }
        | {"overrunCost": 1.0, "hardRate": 0.0, "capDepth": 0.0, "capSlack": 0.0}
    ],
    "permissions": {
        "peers": True,
        "probes": True,
        "cancel": True,
        "secondCopies": True,
        "retryAfter": True,
    }
    | {
        "maxAttempts": 4,
        "maxRetryAfter": 1_000_000,
        "idleClose": 30_000_000,
        "connectTimeout": 250_000,
    },
    "rules": {
        "askWithin": 10_000_000,
        "coldFrom": 0.25,
        "warmWithin": 10_000_000,
        "fallMultiple": 3.0,
    }
    | {"overloadFor": 3_000_000, "drainGrace": 1_000_000},
}


class Rig:
    """A gateway whose parts are connected as in the program, with these endpoints in its list."""

    def __init__(
        self, *hosts: FakeEndpoint, lines=None, sockets=64, driver=Driver, **changes
    ) -> None:
        self.loop = asyncio.get_running_loop()
        known = {"seq": 1, "whole": True, "hosts": lines or [host.line() for host in hosts]}
        site = SITE | changes
        text = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "01"}
        text |= {"limits": {"sockets": sockets}, "known": known, "settings": site}
        self.config = config.parse_config(json.dumps(text))
        self.driver = driver(self.config.settings, self.config.seed, self.loop)
        # With only one or two endpoints the policy would reject most of the tests' requests.
        self.driver.gateway.admission.max_expected_latency_us = lambda request: float("inf")
        self.cluster = UpstreamCluster(
            self.driver,
            self.config.settings.load_report_fields,
            sockets,
            self.config.idle_close_s,
            self.config.connect_timeout_s,
        )
        self.driver.connect_upstream(self.cluster)
        self.driver.start(self.config.known)
        self.clients = ClientConnections(self.driver, self.config, sockets)
        self.is_listening = False
        # On a busy machine, requests must not be shed because they were queued too long.
        self.clients.admission_queue.shedder.max_wait_us = [3_600 * SECOND_US] * len(
            self.config.settings.classes
        )

    async def listen(self) -> None:
        """Accept clients, unless it does already."""
        if not self.is_listening:
            self.is_listening = True
            await self.clients.listen()

    async def caller(self) -> Caller:
        """Connect a client."""
        await self.listen()
        port = self.clients.acceptor.listener.getsockname()[1]
        _, caller = await self.loop.create_connection(Caller, "127.0.0.1", port)
        return caller

    def update_endpoints(self, *lines: dict, whole=False) -> None:
        """Deliver an endpoint list as from discovery: a delta, or with ``whole`` a complete list."""
        raw = {"seq": 2, "whole": whole, "hosts": list(lines)}
        self.driver.endpoint_list_received(config.parse_endpoint_list(raw, self.config.zones))
