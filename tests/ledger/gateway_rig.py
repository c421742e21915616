"""Runs a gateway with a ledger and one upstream endpoint in this process."""

from __future__ import annotations

import threading
from pathlib import Path

import pytest
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway.extensions import Extensions
from saffrongw.gateway.filtering_driver import FilteringDriver
from saffrongw.ledger.request_filter import LedgerFilter
from saffrongw.ledger.store import LedgerStore

CLASS_NAMES = ("read", "put", "bill")
PLAN_NAMES = ("team",)
NON_IDEMPOTENT = frozenset({2})
RETENTION_S = 1e6
MAX_BYTES = 1 << 30


class LedgerRig:
    """A gateway with a ledger and one endpoint."""

    host: FakeEndpoint
    ledger: LedgerFilter
    rig: Rig

    async def open(
        self,
        folder: Path,
        max_pending: int = 100,
        request_classes: frozenset[int] = NON_IDEMPOTENT,
        with_bodies: bool = False,
    ) -> LedgerRig:
        """Start the endpoint and the gateway, and open the ledger."""
        self.host = await FakeEndpoint("a").listen()
        self.ledger = LedgerFilter(
            folder,
            request_classes,
            CLASS_NAMES,
            PLAN_NAMES,
            max_pending,
            RETENTION_S,
            MAX_BYTES,
            with_bodies,
        )
        extensions = Extensions((self.ledger,), (self.ledger,), (self.ledger,))
        self.rig = Rig(
            self.host, driver=lambda *given: FilteringDriver(*given, extensions), sockets=600
        )
        await self.ledger.start(self.rig.driver)
        return self


def block_commits(monkeypatch: pytest.MonkeyPatch) -> threading.Event:
    """Block all commits until the returned event is set, as a slow disk does."""
    release = threading.Event()
    commit = LedgerStore.commit

    def blocked(store: LedgerStore, events: list) -> None:
        release.wait(30)
        commit(store, events)

    monkeypatch.setattr(LedgerStore, "commit", blocked)
    return release
