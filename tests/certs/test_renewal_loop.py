"""Gateways that obtain, renew and swap their certificates, against the stand-in authority on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import pytest
from acme_rig import DAY, NAME, FastClock, Member, table_of
from conftest import asyncio_test, until
from test_order_flow import SPOILT

from saffrongw.certs.renewal import Alarm
from saffrongw.certs.table import AuthorityTable, CertTable, RenewalTable
from testbed.acme_server.server import AuthorityServer
from testbed.runner.processes import free_port

PACE = 2_000.0  # the clock of tests that live through days, times real time
SLOW = {"lease_seconds": 3_600.0, "renewal": RenewalTable(order_minutes=240.0)}


class World:
    """An authority and the gateways of one site."""

    def __init__(self, tmp_path, pace: float = 1.0, **settings) -> None:
        self.clock = FastClock(pace)
        self.authority = AuthorityServer(self.clock.now, **settings)
        self.folder, self.members = tmp_path, []

    async def open(self, gateways: int = 1, **changes) -> World:
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
async def test_a_first_certificate_is_obtained_by_tls_and_serves(tmp_path):
    world = await World(tmp_path).open()
    await world.first.serves()
    caller = await world.first.caller()
    caller.ask(b"PING")
    caller.call()
    assert await caller.replied(2) == [b"PONG", b"ok"]
    assert world.counts["orders"] == world.counts["issued"] == 1
    figures = dict(world.first.part.figures())
    assert figures["certs.count"] == figures["certs.obtained"] == 1
    assert 24 * 89 <= figures["certs.hours_left_least"] <= 24 * 90
    await world.close()


@asyncio_test
async def test_by_http_through_whichever_gateway_is_asked_and_only_one_orders(tmp_path):
    """Three gateways, one folder: checks go to each in turn, one order in all, and all serve what came of it."""
    certificate = CertTable((NAME, "b.example", "c.example"), challenge="http-01")
    world = await World(tmp_path).open(3, http_listen="x:1", certificate=(certificate,))
    for member in world.members:
        await member.serves()
    assert world.counts["orders"] == 1
    assert world.counts["checks passed"] == 3
    answered = [member.part.responder.answered for member in world.members]
    assert sum(answered) == 3 and max(answered) < 3
    shown = {await member.shown("c.example") for member in world.members}
    assert len(shown) == 1
    assert sum(bool(member.part.renewal.term) for member in world.members) == 1
    await world.close()


@asyncio_test
async def test_another_takes_over_the_order_of_a_gateway_that_died_in_the_middle(tmp_path):
    """The first one is cut off while the authority still checks; the second goes on with the same order."""
    world = World(tmp_path)
    await world.authority.listen()
    world.faults.pending = True
    await world.open(1, lease_seconds=2.0, clock_skew=0.1)
    await until(lambda: world.counts["POST challenge"] == 1)
    for task in [*world.first.part.renewal.tasks, *world.first.part.renewal.running.values()]:
        task.cancel()  # and the lease is not given back
    second = await world.join(1)
    await until(lambda: second.part.renewal.term == 2, 30)
    world.faults.pending = False
    for one in world.authority.authority.authorisations.values():
        one.challenges[2].status = one.status = "valid"
    await second.serves()
    assert world.counts["orders"] == 1
    assert world.counts["accounts"] == 1
    await second.stop()
    await world.authority.close()


@asyncio_test
async def test_two_that_both_think_they_order_leave_one_word(tmp_path):
    """One stands still past its lease and goes on: what it writes then is refused, and what serves is whole."""
    world = World(tmp_path)
    await world.authority.listen()
    world.authority.delay = 0.05
    await world.open(1, lease_seconds=2.0, clock_skew=0.1)
    renewal = world.first.part.renewal
    await until(lambda: world.counts["POST authz"] >= 1)
    site = renewal.site
    taken = dataclasses.replace(
        site.lease.current(), holder="other", term=7, until=world.clock.now() + 3
    )
    site.folder.write(
        site.folder.path / "lease.json", json.dumps(dataclasses.asdict(taken)).encode()
    )
    await until(lambda: renewal.orders.counts["obtained"] == 1, 30)
    assert site.lease.current().term == 8  # taken again, after the other's end
    assert site.certificates.pair(NAME) is not None
    assert world.counts["orders"] <= 2
    await world.close()


@asyncio_test
async def test_a_renewal_is_done_weeks_before_the_end_and_drops_no_connection(tmp_path):
    world = await World(tmp_path, PACE).open(**SLOW)
    await world.first.serves()
    old, caller = world.pair(), await world.first.caller()
    world.clock.ahead += 50 * DAY
    await asyncio.sleep(0.2)
    assert world.counts["issued"] == 1
    world.clock.ahead += 13 * DAY
    await until(lambda: world.pair() and world.pair().facts.serial != old.facts.serial, 20)
    spare = old.facts.end - world.clock.now()
    assert spare > 20 * DAY
    caller.call()
    assert await caller.replied(1) == [b"ok"]
    assert world.counts["replaces"] == 1
    await world.close()


@asyncio_test
async def test_away_for_the_whole_window_the_old_one_serves_to_its_end_and_renewal_follows_the_return(
    tmp_path,
):
    world = await World(tmp_path, 100.0).open(**SLOW)
    await world.first.serves()
    old = world.pair()
    shown = await world.first.shown()
    world.clock.ahead += 58 * DAY
    await world.authority.away()
    alarms = set()
    while world.clock.now() < old.facts.end - DAY:
        world.clock.ahead += DAY
        await asyncio.sleep(0.02)
        alarms.add(world.row().alarm)
    assert await world.first.shown() == shown
    world.clock.ahead += old.facts.end - world.clock.now() - 50
    assert await world.first.shown() == shown  # its last minute
    world.clock.ahead += 3_600
    assert await world.first.shown() == shown  # and beyond: clients decide
    await until(lambda: world.row().alarm is Alarm.ENDED)
    assert {Alarm.NOTICE, Alarm.WARNING} <= alarms
    await until(lambda: world.row().failures.kind == "authority away")
    back = world.clock.now()
    await world.authority.listen()
    await until(lambda: world.pair().facts.serial != old.facts.serial, 30)
    assert world.clock.now() - back < 600
    assert world.row().alarm is Alarm.NONE
    await world.close()


@pytest.mark.parametrize("fault", ["wrong_key", "wrong_name", "not_yet", "expired", "broken_chain"])
def test_an_unusable_certificate_is_never_put_in_service(tmp_path, fault):
    @asyncio_test
    async def run():
        world = await World(tmp_path, PACE).open(**SLOW)
        await world.first.serves()
        shown = await world.first.shown()
        setattr(world.faults, fault, True)
        world.clock.ahead += 62 * DAY
        await until(
            lambda: world.first.part.renewal.orders.counts["failed: unusable answer"] >= 2, 30
        )
        assert await world.first.shown() == shown
        assert world.row().failures.kind == "unusable answer"
        setattr(world.faults, fault, False)
        await until(lambda: world.first.part.renewal.orders.counts["obtained"] == 2, 30)
        assert await world.first.shown() != shown
        await world.close()

    run()


@asyncio_test
async def test_a_deactivated_account_is_replaced_and_its_key_kept(tmp_path):
    world = await World(tmp_path, PACE).open(**SLOW)
    await world.first.serves()
    for account in world.authority.authority.accounts.values():
        account.status = "deactivated"
    world.clock.ahead += 62 * DAY
    await until(lambda: world.first.part.renewal.orders.counts["obtained"] == 2, 30)
    assert world.counts["accounts"] == 2
    assert len(list(world.first.part.renewal.site.folder.path.rglob("account.key.gone-*"))) == 1
    await world.close()


@asyncio_test
async def test_a_second_authority_is_asked_where_the_first_one_fails(tmp_path):
    world = World(tmp_path, PACE)
    other = await AuthorityServer(world.clock.now).listen()
    (tmp_path / "other").mkdir()
    await world.authority.listen()
    own = world.authority
    authorities = tuple(
        AuthorityTable(one.directory, ca=str(one.write_ca(folder)))
        for one, folder in ((own, tmp_path), (other, tmp_path / "other"))
    )
    world.faults.rate_limited = 86_400.0
    other.tls = own.tls
    await world.open(authority=authorities, **SLOW)
    await world.first.serves()
    assert other.authority.counts["issued"] == 1
    assert world.counts["issued"] == 0
    await world.close()
    await other.close()


@asyncio_test
async def test_the_certificate_lost_and_the_key_kept_is_ordered_anew(tmp_path):
    world = await World(tmp_path).open()
    await world.first.serves()
    await world.first.stop()
    for path in world.first.part.renewal.site.folder.path.rglob("cert.pem"):
        path.unlink()
    world.members.clear()
    world.authority.tls.clear()
    member = await world.join(5)
    await member.serves()
    assert world.counts["issued"] == 2
    await world.close()


@asyncio_test
async def test_a_changed_table_takes_effect_and_a_wrong_one_not_at_all(tmp_path):
    world = await World(tmp_path).open()
    member = world.first
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
    await world.close()


@asyncio_test
async def test_hours_of_an_authority_that_fails_in_every_way_cost_bounded_room(tmp_path):
    world = await World(tmp_path, PACE).open(**SLOW)
    await world.first.serves()
    world.clock.ahead += 62 * DAY
    faults = [
        {"status": 500},
        {"problem": "serverInternal"},
        {"rate_limited": 60.0},
        {"pending": True},
    ]
    for fault in faults:
        for name, value in fault.items():
            setattr(world.faults, name, value)
        before = sum(
            n for k, n in world.first.part.renewal.orders.counts.items() if k.startswith("failed")
        )
        world.first.part.renewal.site.certificates.request_renewal(NAME)
        await until(
            lambda before=before: (
                sum(
                    n
                    for k, n in world.first.part.renewal.orders.counts.items()
                    if k.startswith("failed")
                )
                > before
            ),
            30,
        ) if "pending" not in fault else await asyncio.sleep(0.3)
        type(world.faults).__init__(world.faults)
    await until(lambda: world.first.part.renewal.orders.counts["obtained"] == 2, 30)
    files = [p for p in world.first.part.renewal.site.folder.path.rglob("*") if p.is_file()]
    assert len(files) < 25
    await world.close()


@asyncio_test
async def test_spoilt_answers_leave_the_old_certificate_in_service_and_are_paused_after(tmp_path):
    """Each of them through the whole agent over HTTPS: what is shown stays, and the next try lies ahead."""
    world = await World(tmp_path, 20.0).open(**SLOW)
    await world.first.serves()
    renewal, shown = world.first.part.renewal, await world.first.shown()
    for name, spoil in SPOILT:
        before = renewal.orders.counts["orders"]
        world.authority.authority.faults.spoil = lambda at, reply, name=name, spoil=spoil: (
            spoil(reply) if at == name and reply.status < 300 else reply
        )
        renewal.orders.sessions.clear()
        for path in renewal.site.folder.path.rglob("account.json"):
            path.unlink()  # else the account is not asked for again
        renewal.site.certificates.request_renewal(NAME)
        renewal.wake.set()
        await until(
            lambda before=before: renewal.orders.counts["orders"] > before and not renewal.running
        )
        failures = renewal.site.certificates.note(NAME).failures
        assert failures.count >= 1, name
        assert failures.next_at > failures.at
    assert await world.first.shown() == shown
    assert renewal.orders.counts["obtained"] == 1
    world.authority.authority.faults.spoil = None
    renewal.site.certificates.request_renewal(NAME)
    renewal.wake.set()
    await until(lambda: renewal.orders.counts["obtained"] == 2)
    await world.close()


@asyncio_test
async def test_what_an_operator_asks_for_while_the_window_is_asked_for_is_not_lost(tmp_path):
    """The answer about the window once wrote back the note as it had been before."""
    world = World(tmp_path)
    world.authority.delay = 0.2
    await world.open()
    renewal = world.first.part.renewal
    await until(lambda: renewal.orders.counts["obtained"] == 1, 30)
    await until(lambda: NAME in renewal.running)  # the window
    renewal.site.certificates.request_renewal(NAME)
    await until(lambda: renewal.orders.counts["obtained"] == 2, 30)
    await world.close()
