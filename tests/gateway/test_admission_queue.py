"""Overload: requests are queued or rejected, and each gets one reply, in order."""

from __future__ import annotations

import asyncio
import random

import hiredis
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway.downstream.graceful_shutdown import UNFINISHED_COMMAND_GRACE_S
from saffrongw.gateway.request_parser import RequestFormat, parse_request
from saffrongw.gateway.resp import CommandReader, MalformedMessageError


class OverloadedRig(Rig):
    """A gateway that queues every request instead of starting it as it is read."""

    def __init__(self, *endpoints: FakeEndpoint) -> None:
        super().__init__(*endpoints, sockets=900)  # enough for all requests that may be in flight
        self.clients.admission_queue.may_start = lambda: (
            type(self.clients.admission_queue).may_start(self.clients.admission_queue) and False
        )


def command(number: bytes, kind=b"read", wait=2000, customer=7, more=b"", body=b"BODY") -> bytes:
    terms = b"c=%b,t=team,d=%d%b,units=1,spread=2,first=0" % (kind, wait, more)
    words = (b"%016x" % customer, number, terms)
    if kind == b"read":
        return hiredis.pack_command((b"CALL.GET", *words))
    return hiredis.pack_command((b"CALL.POST", *words, body))


@asyncio_test
async def test_requests_not_started_as_read_are_queued_and_served():
    rig = OverloadedRig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    caller.transport.write(b"".join(command(b"n%d" % n, customer=n) for n in range(50)))
    assert await caller.replied(50) == [b"ok"] * 50
    assert (
        not rig.clients.open_request_ids
        and not rig.driver.requests
        and not rig.clients.admission_queue.is_overloaded
    )


@asyncio_test
async def test_requests_exceeding_queue_capacity_are_rejected_in_order_without_residue():
    endpoint = await FakeEndpoint("a").listen()
    rig = OverloadedRig(endpoint)
    callers = [await rig.caller() for _ in range(4)]
    for index, caller in enumerate(callers):
        caller.transport.write(
            b"".join(command(b"%d-%d" % (index, n), customer=n) for n in range(500))
        )
    for caller in callers:
        await caller.replied(500)
    served = [reply for caller in callers for reply in caller.replies if reply == b"ok"]
    refused = [r for caller in callers for r in caller.replies if r != b"ok"]
    assert len(served) == len(endpoint.commands) >= 64
    assert refused and all(error(reply).startswith("BUSY ") for reply in refused)
    assert len({bytes(c[2]) for c in endpoint.commands}) == len(endpoint.commands)
    assert (
        not rig.clients.open_request_ids
        and not rig.driver.requests
        and not rig.clients.admission_queue.is_overloaded
    )


@asyncio_test
async def test_rejection_waits_for_pending_reply_before_it():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = OverloadedRig(endpoint)
    first, flood = await rig.caller(), await rig.caller()
    first.transport.write(command(b"held", wait=1500, customer=1))
    await until(lambda: endpoint.commands)
    many = [command(b"f%d" % n, customer=n) for n in range(2000)]
    flood.transport.write(b"".join(many))
    first.transport.write(b"".join(command(b"g%d" % n, customer=1) for n in range(200)))
    await until(lambda: len(first.replies) == 201, within=20)
    assert error(first.replies[0]) == "ERR failed" or error(first.replies[0]).startswith("BUSY")
    await until(lambda: len(flood.replies) == 2000, within=20)


@asyncio_test
async def test_client_disconnect_removes_its_queued_requests():
    rig = OverloadedRig(await FakeEndpoint("a").listen())
    caller, other = await rig.caller(), await rig.caller()
    rig.clients.admission_queue.is_run_scheduled = True  # the queue never runs: requests stay in it
    caller.transport.write(b"".join(command(b"n%d" % n, customer=n) for n in range(60)))
    await until(lambda: rig.clients.admission_queue.is_overloaded)
    caller.transport.abort()
    await until(lambda: not rig.clients.admission_queue.is_overloaded)
    rig.clients.admission_queue.is_run_scheduled = False
    other.transport.write(command(b"other", customer=99))
    assert await other.replied() == [b"ok"]
    await until(lambda: not rig.clients.open_request_ids and not rig.driver.requests)
    assert (
        not rig.clients.admission_queue.is_overloaded
        and not rig.clients.admission_queue.shedder.count_by_customer
    )


@asyncio_test
async def test_malformed_command_in_flood_closes_connection_after_pending_replies(
    monkeypatch,
):
    rig = OverloadedRig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    flood = [command(b"n%d" % n, customer=n) for n in range(300)]
    caller.transport.write(b"".join(flood) + command(b"bad", kind=b"nonsense"))
    await until(lambda: caller.closed)
    assert len(caller.replies) == 301
    assert error(caller.replies[-1]).startswith("ERR")


@asyncio_test
async def test_fault_in_starting_one_request_does_not_block_queued_ones():
    rig = OverloadedRig(await FakeEndpoint("a").listen())
    plain, faults = rig.driver.request_arrived, []

    def arrived(terms, parts, answer):
        if parts[2] == b"n3":
            faults.append(parts)
            raise RuntimeError("planted")
        return plain(terms, parts, answer)

    rig.driver.request_arrived = arrived
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    caller, other = await rig.caller(), await rig.caller()
    caller.transport.write(b"".join(command(b"n%d" % n, customer=n) for n in range(4)))
    other.transport.write(b"".join(command(b"o%d" % n, customer=10 + n) for n in range(20)))
    assert await other.replied(20) == [b"ok"] * 20
    assert faults and not rig.clients.admission_queue.is_overloaded


@asyncio_test
async def test_id_of_queued_request_is_an_error():
    rig = OverloadedRig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    caller.transport.write(command(b"same") * 2)
    await until(lambda: caller.closed)
    assert caller.replies[0] == b"ok"
    assert "is open" in error(caller.replies[1])


@asyncio_test
async def test_drain_ends_only_after_queued_requests_have_replies():
    rig = OverloadedRig(await FakeEndpoint("a").listen())
    caller = await rig.caller()
    rig.clients.admission_queue.is_run_scheduled = True  # the queue never runs: requests stay in it
    caller.transport.write(b"".join(command(b"n%d" % n, customer=n) for n in range(40)))
    await until(lambda: len(rig.clients.admission_queue.shedder) == 40)
    draining = rig.loop.create_task(rig.clients.shutdown.drain(0.0))
    done, _ = await asyncio.wait([draining], timeout=UNFINISHED_COMMAND_GRACE_S + 0.5)
    assert not done
    rig.clients.admission_queue._run_queue()
    await draining
    await until(lambda: caller.closed)
    assert len(caller.replies) == 40


FORMS = [
    command(b"id1"),
    command(b"id1", more=b",k=key"),
    command(b"id-2", b"put", more=b",k=key_7"),
    command(b"id-2", b"put"),
    command(b"id3", b"bill", body=b""),
    command(b"id3", b"bill", body=b"\r\n$1\r\n" * 40),
    command(b"id4", wait=0),
    command(b"id4", wait=9_999_999),
    command(b"id5", customer=1 << 33),
    command(b"id5", customer=(1 << 33) - 1),
    command(b"id6").replace(b"units=1", b"units=0"),
    command(b"id6").replace(b"units=1", b"units=9"),
    command(b"id6").replace(b"spread=2", b"spread=3"),
    command(b"id6").replace(b"first=0", b"first=2"),
    command(b"id7").replace(b"$3\r\nid7", b"$4\r\nid7"),
    command(b"id8").replace(b"CALL.GET", b"CALL.PUT"),
    command(b"id8").replace(b"t=team", b"t=none"),
    hiredis.pack_command(
        (b"CALL.GET", b"0" * 15 + b"7", b"id9", b"t=team,c=read,first=0,d=5,units=1.5,spread=1")
    ),
    hiredis.pack_command(
        (b"CALL.GET", b"0" * 15 + b"7", b"id9", b"c=read,t=team,d=5,units=1,spread=1,first=0,r=1")
    ),
]


@asyncio_test
async def test_common_form_and_skim_agree_with_full_parser_or_match_nothing():
    """The inputs are complete commands, their prefixes, and commands with one byte changed."""
    rig, rng, matched = Rig(await FakeEndpoint("a").listen()), random.Random(5), 0
    form, config = RequestFormat(rig.config), rig.config
    malformed = []
    for raw in FORMS:
        malformed += [raw[:n] for n in range(len(raw))]
        for _ in range(150):
            at = rng.randrange(len(raw))
            malformed.append(raw[:at] + bytes((rng.choice(b"0159$*\r\n,=ckx"),)) + raw[at + 1 :])
    for raw in FORMS + malformed:
        reader = CommandReader()
        reader.feed(raw)
        try:
            words = reader.next()
            expected = words and parse_request(words, config)
        except MalformedMessageError:
            expected = None
        found, skimmed = form.read(raw, 0), form.skim(raw, 0)
        if found is not None:
            matched += 1
            assert expected is not None and (reader.position, *expected) == found
        if expected is not None and skimmed is not None:
            group = b",t=".join(
                (
                    config.class_names[expected[0].kind].encode(),
                    config.plan_names[expected[0].plan].encode(),
                )
            )
            assert skimmed == (reader.position, expected[1][1], group)
    assert matched > 100
