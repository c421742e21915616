"""Gateways that obtain, renew and replace certificates, with the stand-in authority on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import pytest
from acme_rig import DAY, NAME, FastClock, Member, table_of
from async_testing import asyncio_test, until
from test_order_flow import MALFORMED_REPLIES

from saffrongw.certs.renewal import Alarm
from saffrongw.certs.table import AuthorityTable, CertTable, RenewalTable
from testbed.acme_server.server import AuthorityServer
from testbed.runner.processes import free_port

PACE = 2_000.0  # speed of the clock, relative to real time, in tests that cover days
SLOW = {"lease_seconds": 3_600.0, "renewal": RenewalTable(order_minutes=240.0)}


class Deployment:
    """An authority and the gateways of one site."""

    def __init__(self, tmp_path, pace: float = 1.0, **settings) -> None:
        self.clock = FastClock(pace)
        self.authority = AuthorityServer(self.clock.now, **settings)
        self.folder, self.members = tmp_path, []

    async def open(self, gateways: int = 1, **changes) -> Deployment:
        await self.authority.listen()
        self.table = table_of(self.folder, self.authority, **changes)
        for number in range(gateways):
            await self.join(number)
        return self

    async def join(self, number: int) -> Member:
        port, http = free_port(), self.table.http_listen and f"127.0.0.1:{free_port()}"
        table = dataclasses.replace(self.table, listen=f"127.0.0.1:{port}", http_listen=http)
        self.authority.tls.append(("127.0.0.1", port))
        if http:
            self.authority.http.append(("127.0.0.1", int(http.rpartition(":")[2])))
        member = await Member(table, self.clock, number).start()
        self.members.append(member)
        return member

    @property
    def first(self) -> Member:
        return self.members[0]

    @property
    def counts(self):
        return self.authority.authority.counts

    @property
    def faults(self):
        return self.authority.authority.faults

    def pair(self):
        return self.first.part.renewal.loaded.pairs.get(NAME)

    def row(self):
        return next(row for row in self.first.part.rows() if row.id == NAME)

    async def close(self) -> None:
        for member in self.members:
            await member.stop()
        await self.authority.close()


@asyncio_test
async def test_a_first_certificate_is_obtained_by_tls_alpn_01_and_served(tmp_path):
    deployment = await Deployment(tmp_path).open()
    await deployment.first.serves()
    caller = await deployment.first.caller()
    caller.ask(b"PING")
    caller.call()
    assert await caller.replied(2) == [b"PONG", b"ok"]
    assert deployment.counts["orders"] == deployment.counts["issued"] == 1
    figures = dict(deployment.first.part.figures())
    assert figures["certs.count"] == figures["certs.obtained"] == 1
    assert 24 * 89 <= figures["certs.hours_left_least"] <= 24 * 90
    await deployment.close()


@asyncio_test
async def test_any_gateway_answers_http_01_and_only_one_orders(tmp_path):
    """Three gateways share a folder: validations reach each in turn, one orders, all serve the certificate."""
    certificate = CertTable((NAME, "b.example", "c.example"), challenge="http-01")
    deployment = await Deployment(tmp_path).open(3, http_listen="x:1", certificate=(certificate,))
    for member in deployment.members:
        await member.serves()
    assert deployment.counts["orders"] == 1
    assert deployment.counts["checks passed"] == 3
    answered = [member.part.responder.answered for member in deployment.members]
    assert sum(answered) == 3 and max(answered) < 3
    shown = {await member.shown("c.example") for member in deployment.members}
    assert len(shown) == 1
    assert sum(bool(member.part.renewal.term) for member in deployment.members) == 1
    await deployment.close()


@asyncio_test
async def test_another_gateway_resumes_the_order_of_a_dead_one(tmp_path):
    """The first is interrupted while the authority validates; the second resumes the same order."""
    deployment = Deployment(tmp_path)
    await deployment.authority.listen()
    deployment.faults.pending = True
    await deployment.open(1, lease_seconds=2.0, clock_skew=0.1)
    await until(lambda: deployment.counts["POST challenge"] == 1)
    for task in [
        *deployment.first.part.renewal.tasks,
        *deployment.first.part.renewal.running.values(),
    ]:
        task.cancel()  # the lease is not released
    second = await deployment.join(1)
    await until(lambda: second.part.renewal.term == 2, 30)
    deployment.faults.pending = False
    for one in deployment.authority.authority.authorisations.values():
        one.challenges[2].status = one.status = "valid"
    await second.serves()
    assert deployment.counts["orders"] == 1
    assert deployment.counts["accounts"] == 1
    await second.stop()
    await deployment.authority.close()


@asyncio_test
async def test_a_gateway_that_lost_the_lease_unnoticed_is_fenced_off(tmp_path):
    """Another holder takes the lease during an order: writes under the old term are rejected, and a valid
    pair serves in the end.
    """
    deployment = Deployment(tmp_path)
    await deployment.authority.listen()
    deployment.authority.delay = 0.05
    await deployment.open(1, lease_seconds=2.0, clock_skew=0.1)
    renewal = deployment.first.part.renewal
    await until(lambda: deployment.counts["POST authz"] >= 1)
    site = renewal.site
    taken = dataclasses.replace(
        site.lease.current(), holder="other", term=7, until=deployment.clock.now() + 3
    )
    site.folder.write(
        site.folder.path / "lease.json", json.dumps(dataclasses.asdict(taken)).encode()
    )
    await until(lambda: renewal.orders.counts["obtained"] == 1, 30)
    assert site.lease.current().term == 8  # taken again after the other holder's lease expired
    assert site.certificates.pair(NAME) is not None
    assert deployment.counts["orders"] <= 2
    await deployment.close()


@asyncio_test
async def test_a_renewal_weeks_before_the_expiry_drops_no_connection(tmp_path):
    deployment = await Deployment(tmp_path, PACE).open(**SLOW)
    await deployment.first.serves()
    old, caller = deployment.pair(), await deployment.first.caller()
    deployment.clock.ahead += 50 * DAY
    await asyncio.sleep(0.2)
    assert deployment.counts["issued"] == 1
    deployment.clock.ahead += 13 * DAY
    await until(
        lambda: deployment.pair() and deployment.pair().facts.serial != old.facts.serial, 20
    )
    spare = old.facts.end - deployment.clock.now()
    assert spare > 20 * DAY
    caller.call()
    assert await caller.replied(1) == [b"ok"]
    assert deployment.counts["replaces"] == 1
    await deployment.close()


@asyncio_test
async def test_the_old_certificate_serves_during_an_outage_and_is_renewed_after_it(
    tmp_path,
):
    deployment = await Deployment(tmp_path, 100.0).open(**SLOW)
    await deployment.first.serves()
    old = deployment.pair()
    shown = await deployment.first.shown()
    deployment.clock.ahead += 58 * DAY
    await deployment.authority.away()
    alarms = set()
    while deployment.clock.now() < old.facts.end - DAY:
        deployment.clock.ahead += DAY
        await asyncio.sleep(0.02)
        alarms.add(deployment.row().alarm)
    assert await deployment.first.shown() == shown
    deployment.clock.ahead += old.facts.end - deployment.clock.now() - 50
    assert await deployment.first.shown() == shown  # in its last minute
    deployment.clock.ahead += 3_600
    assert await deployment.first.shown() == shown  # and after its expiry: clients decide
    await until(lambda: deployment.row().alarm is Alarm.ENDED)
    assert {Alarm.NOTICE, Alarm.WARNING} <= alarms
    await until(lambda: deployment.row().failures.kind == "authority away")
    back = deployment.clock.now()
    await deployment.authority.listen()
    await until(lambda: deployment.pair().facts.serial != old.facts.serial, 30)
    assert deployment.clock.now() - back < 600
    assert deployment.row().alarm is Alarm.NONE
    await deployment.close()


@pytest.mark.parametrize("fault", ["wrong_key", "wrong_name", "not_yet", "expired", "broken_chain"])
def test_an_unusable_certificate_is_never_installed(tmp_path, fault):
    @asyncio_test
    async def run():
        deployment = await Deployment(tmp_path, PACE).open(**SLOW)
        await deployment.first.serves()
        shown = await deployment.first.shown()
        setattr(deployment.faults, fault, True)
        deployment.clock.ahead += 62 * DAY
        await until(
            lambda: deployment.first.part.renewal.orders.counts["failed: unusable answer"] >= 2, 30
        )
        assert await deployment.first.shown() == shown
        assert deployment.row().failures.kind == "unusable answer"
        setattr(deployment.faults, fault, False)
        await until(lambda: deployment.first.part.renewal.orders.counts["obtained"] == 2, 30)
        assert await deployment.first.shown() != shown
        await deployment.close()

    run()


@asyncio_test
async def test_a_deactivated_account_is_replaced_and_its_key_retired(tmp_path):
    deployment = await Deployment(tmp_path, PACE).open(**SLOW)
    await deployment.first.serves()
    for account in deployment.authority.authority.accounts.values():
        account.status = "deactivated"
    deployment.clock.ahead += 62 * DAY
    await until(lambda: deployment.first.part.renewal.orders.counts["obtained"] == 2, 30)
    assert deployment.counts["accounts"] == 2
    assert (
        len(list(deployment.first.part.renewal.site.folder.path.rglob("account.key.gone-*"))) == 1
    )
    await deployment.close()


@asyncio_test
async def test_the_second_authority_is_tried_when_the_first_fails(tmp_path):
    deployment = Deployment(tmp_path, PACE)
    other = await AuthorityServer(deployment.clock.now).listen()
    (tmp_path / "other").mkdir()
    await deployment.authority.listen()
    own = deployment.authority
    authorities = tuple(
        AuthorityTable(one.directory, ca=str(one.write_ca(folder)))
        for one, folder in ((own, tmp_path), (other, tmp_path / "other"))
    )
    deployment.faults.rate_limited = 86_400.0
    other.tls = own.tls
    await deployment.open(authority=authorities, **SLOW)
    await deployment.first.serves()
    assert other.authority.counts["issued"] == 1
    assert deployment.counts["issued"] == 0
    await deployment.close()
    await other.close()


@asyncio_test
async def test_a_lost_certificate_is_ordered_again(tmp_path):
    deployment = await Deployment(tmp_path).open()
    await deployment.first.serves()
    await deployment.first.stop()
    for path in deployment.first.part.renewal.site.folder.path.rglob("cert.pem"):
        path.unlink()
    deployment.members.clear()
    deployment.authority.tls.clear()
    member = await deployment.join(5)
    await member.serves()
    assert deployment.counts["issued"] == 2
    await deployment.close()


@asyncio_test
async def test_a_valid_table_change_is_applied_and_an_invalid_one_is_not(tmp_path):
    deployment = await Deployment(tmp_path).open()
    member = deployment.first
    await member.serves()
    more = dataclasses.replace(
        member.table, certificate=(CertTable((NAME, "new.example")), CertTable(("x.example",)))
    )
    for wrong in (
        dataclasses.replace(more, listen="127.0.0.1:1"),
        dataclasses.replace(
            more, tls=dataclasses.replace(more.tls, clients="required", client_ca="/none.pem")
        ),
    ):
        with pytest.raises((OSError, ValueError)):
            member.part.change(wrong)
    assert member.part.renewal.table is member.table
    member.part.change(more)()
    await until(
        lambda: (
            {"new.example", "x.example"}
            <= set(member.part.renewal.loaded.contexts_by_name.contexts)
        ),
        20,
    )
    assert await member.shown("new.example") == await member.shown(NAME)
    await deployment.close()


@asyncio_test
async def test_failures_of_all_kinds_leave_a_bounded_number_of_files(tmp_path):
    deployment = await Deployment(tmp_path, PACE).open(**SLOW)
    await deployment.first.serves()
    deployment.clock.ahead += 62 * DAY
    faults = [
        {"status": 500},
        {"problem": "serverInternal"},
        {"rate_limited": 60.0},
        {"pending": True},
    ]
    for fault in faults:
        for name, value in fault.items():
            setattr(deployment.faults, name, value)
        before = sum(
            n
            for k, n in deployment.first.part.renewal.orders.counts.items()
            if k.startswith("failed")
        )
        deployment.first.part.renewal.site.certificates.request_renewal(NAME)
        await until(
            lambda before=before: (
                sum(
                    n
                    for k, n in deployment.first.part.renewal.orders.counts.items()
                    if k.startswith("failed")
                )
                > before
            ),
            30,
        ) if "pending" not in fault else await asyncio.sleep(0.3)
        type(deployment.faults).__init__(deployment.faults)
    await until(lambda: deployment.first.part.renewal.orders.counts["obtained"] == 2, 30)
    files = [p for p in deployment.first.part.renewal.site.folder.path.rglob("*") if p.is_file()]
    assert len(files) < 25
    await deployment.close()


@asyncio_test
async def test_malformed_replies_cause_a_backoff_and_the_old_certificate_serves(tmp_path):
    """Each malformed reply, over HTTPS: the old certificate serves, and the next attempt is later."""
    deployment = await Deployment(tmp_path, 20.0).open(**SLOW)
    await deployment.first.serves()
    renewal, shown = deployment.first.part.renewal, await deployment.first.shown()
    for name, spoil in MALFORMED_REPLIES:
        before = renewal.orders.counts["orders"]
        deployment.authority.authority.faults.spoil = lambda at, reply, name=name, spoil=spoil: (
            spoil(reply) if at == name and reply.status < 300 else reply
        )
        renewal.orders.sessions.clear()
        for path in renewal.site.folder.path.rglob("account.json"):
            path.unlink()  # so that the account is requested again
        renewal.site.certificates.request_renewal(NAME)
        renewal.wake.set()
        await until(
            lambda before=before: renewal.orders.counts["orders"] > before and not renewal.running
        )
        failures = renewal.site.certificates.note(NAME).failures
        assert failures.count >= 1, name
        assert failures.next_at > failures.at
    assert await deployment.first.shown() == shown
    assert renewal.orders.counts["obtained"] == 1
    deployment.authority.authority.faults.spoil = None
    renewal.site.certificates.request_renewal(NAME)
    renewal.wake.set()
    await until(lambda: renewal.orders.counts["obtained"] == 2)
    await deployment.close()


@asyncio_test
async def test_a_renewal_request_during_a_window_request_is_not_lost(tmp_path):
    """Storing the renewal window once overwrote a note that had changed during the request."""
    deployment = Deployment(tmp_path)
    deployment.authority.delay = 0.2
    await deployment.open()
    renewal = deployment.first.part.renewal
    await until(lambda: renewal.orders.counts["obtained"] == 1, 30)
    await until(lambda: NAME in renewal.running)  # the renewal window request
    renewal.site.certificates.request_renewal(NAME)
    await until(lambda: renewal.orders.counts["obtained"] == 2, 30)
    await deployment.close()
