"""The commands that endpoints receive, and their load reports, over loopback sockets."""

from __future__ import annotations

from async_testing import asyncio_test
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.upstream.codec import parse_report


@asyncio_test
async def test_endpoint_gets_command_unchanged_but_for_remaining_timeout():
    endpoint = await FakeEndpoint("a").listen()
    caller = await Rig(endpoint).caller()
    caller.call("put", wait=1500, number=b"id9", more=",r=1")
    assert await caller.replied() == [b"ok"]
    command, customer, number, terms, body = endpoint.commands[0]
    assert (command, customer, number, body) == (b"CALL.POST", b"0000000000000007", b"id9", b"BODY")
    sent = dict(pair.split(b"=") for pair in terms.split(b","))
    assert 0 < int(sent.pop(b"d")) < 1500
    plain = b"c=put,t=team,units=1,spread=2,first=0,r=1,k=key7"
    assert sent == dict(pair.split(b"=") for pair in plain.split(b","))


@asyncio_test
async def test_malformed_load_report_is_ignored_and_reply_is_served():
    endpoint = await FakeEndpoint("a").listen()
    for report in (
        b"util=nan,latency_ms=9",
        b"util=-1,latency_ms=9",
        b"util=1_0,latency_ms=9",
        b"\xff\r\n",
    ):
        endpoint.script = lambda command, report=report: value(b"ok", report)
        caller = await Rig(endpoint).caller()
        caller.call()
        assert await caller.replied() == [b"ok"]
    names = (b"util", b"latency_ms")
    assert parse_report(b"latency_ms=9.5,util=0.1,more=1", names) == (0.1, 9.5)
    for malformed in (
        None,
        b"",
        b"util=inf,latency_ms=1",
        b"util=1",
        b"util=1,latency_ms= 2",
        b"util=1e9,latency_ms=2",
    ):
        assert parse_report(malformed, names) == ()
