"""Certificate orders under a lease: the shared folder rejects writes under an older token."""

from __future__ import annotations

import pytest
from async_testing import asyncio_test

from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote
from saffrongw.certs.lease import LeaseTerms
from saffrongw.certs.ordering_lease import LostLeaseError, OrderingTerm
from testbed.acme_server.server import AuthorityServer
from testbed.model.lease_day import LeaseDay
from testbed.runner.lease_world import LeaseWorld
from testbed.runner.processes import free_port

NAME = "gw.example"


class FakeLeaderGuard:
    """A leader guard whose fencing token the test sets; 0: it is not the leader."""

    def __init__(self) -> None:
        self.now, self.required_above = 0, 0

    def fencing_token(self) -> int:
        return self.now

    def is_valid(self, number: int) -> bool:
        return number > 0 and number == self.now

    def raise_above(self, number: int) -> None:
        self.required_above = number


class Folder:
    """A shared folder of two gateways with leader guards and one with the folder's own lease."""

    def __init__(self, tmp_path) -> None:
        self.now = 1_700_000_000.0
        self.guards = {"a": FakeLeaderGuard(), "b": FakeLeaderGuard()}
        terms, clock = LeaseTerms(30.0, 2.0), lambda: self.now
        self.stores = {
            name: CertificateSite(tmp_path / "s", clock, terms, None, guard)
            for name, guard in self.guards.items()
        }
        self.plain = CertificateSite(tmp_path / "s", clock, terms)
        self.plain.folder.open()

    def hold(self, name: str, number: int) -> int:
        for guard in self.guards.values():
            guard.now = 0
        self.guards[name].now = number
        return self.stores[name].lease.acquire(name)[0]

    def write(self, name: str, number: int) -> None:
        self.stores[name].certificates.amend(NAME, lambda note: note, OrderingTerm(name, number))


@pytest.fixture
def folder(tmp_path) -> Folder:
    return Folder(tmp_path)


def test_only_the_lease_holder_may_order(folder):
    assert folder.hold("a", 700) == 700
    assert folder.stores["b"].lease.acquire("b")[0] == 0
    folder.write("a", 700)
    with pytest.raises(LostLeaseError):
        folder.write("b", 700)


def test_a_paused_leader_writes_nothing_once_its_lease_or_token_is_over(folder):
    folder.hold("a", 700)
    folder.guards["a"].now = 0
    with pytest.raises(LostLeaseError):
        folder.write("a", 700)
    # A leader that was paused between its check and the write still believes in its lease: the
    # folder rejects it, as it has seen a higher token.
    folder.hold("b", 701)
    folder.guards["a"].now = 700
    with pytest.raises(LostLeaseError):
        folder.write("a", 700)
    folder.write("b", 701)


def test_an_older_token_requires_a_higher_one(folder):
    folder.hold("a", 700)
    assert folder.hold("b", 650) == 0
    assert folder.guards["b"].required_above == 700
    assert folder.hold("b", 701) == 701


def test_leader_guards_and_the_folders_own_lease_exclude_each_other(folder):
    assert folder.plain.lease.acquire("p") == (1, folder.now + 15)
    assert folder.hold("a", 700) == 0  # the folder's own lease is still held
    folder.now += 32.5
    assert folder.hold("a", 700) == 700
    assert folder.plain.lease.acquire("p")[0] == 0
    with pytest.raises(LostLeaseError):
        folder.plain.certificates.amend(NAME, lambda _: CertNote(), OrderingTerm("p", 1))
    folder.now += 10
    folder.stores["a"].lease.release("a")
    # The folder's own lease gets the next number, and a later leader's token must be above it.
    assert folder.plain.lease.acquire("p")[0] == 701
    folder.now += 40
    assert folder.hold("b", 700) == 0
    assert folder.guards["b"].required_above == 701


class CertWorld(LeaseWorld):
    """Gateways with [leases] and [certs] that share a certificate folder."""

    def __init__(self, *given) -> None:
        super().__init__(*given)
        self.tls = [free_port() for _ in self.gateways]
        self.authority = AuthorityServer()

    async def open(self) -> None:
        await self.authority.listen()
        self.authority.tls = [("127.0.0.1", port) for port in self.tls]
        self.folder.mkdir(exist_ok=True)
        self.ca = self.authority.write_ca(self.folder)
        await super().open()

    def operator_text(self, number: int) -> str:
        return super().operator_text(number) + (
            f'[certs]\nlisten = "127.0.0.1:{self.tls[number]}"\nstate_dir = "{self.folder / "state"}"\n'
            f'[[certs.certificate]]\nnames = ["{NAME}"]\n'
            f'[[certs.authority]]\ndirectory = "{self.authority.directory}"\nca = "{self.ca}"\n'
        )


def test_real_gateways_order_one_certificate_under_their_lease(tmp_path):
    @asyncio_test
    async def run():
        world = CertWorld(LeaseDay(21, 3, 3, tasks=1, length_s=9.0), tmp_path)
        try:
            seen = await world.run()
            stats = [await world.call(n, "GET", "/admin/stats") for n in range(3)]
            state = await world.state(0)
        finally:
            await world.close()
            await world.authority.close()
        assert world.authority.authority.counts["orders"] == 1
        assert sum(b"svc.certs.holds_duty=1" in text for text in stats) == 1
        named = [row for row in state["leases"] if row["lease"].startswith("certs:")]
        assert len(named) == 1
        assert named[0]["holder"]
        lease = CertificateSite(tmp_path / "state").lease.current()
        assert lease.term == named[0]["number"]
        assert lease.holder.startswith("fleet:")
        assert not world.crashes()
        assert seen.stated

    run()
