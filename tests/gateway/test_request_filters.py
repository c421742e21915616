"""Filters and observers over sockets: one final reply, and no quota spent without an attempt."""

from __future__ import annotations

import asyncio

import pytest
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint
from loopback_rig import Rig

from saffrongw.gateway.extensions import (
    Abort,
    Continue,
    Ending,
    Extensions,
    FilterError,
    Observer,
    Reject,
    apply_verdict,
)
from saffrongw.gateway.filtering_driver import FilteringDriver
from saffrongw.gateway.request_types import RequestTerms

TERMS = RequestTerms(7, 0, 0, 2_000_000, 1.0, 2, 0, False)


class ScriptedFilter:
    """A filter whose verdicts come from a script, and which records its calls."""

    name, fallback = "scripted", Abort()

    def __init__(self, script) -> None:
        self.script, self.seen, self.ended = script, [], []

    def on_request(self, request):
        self.seen.append(request)
        return self.script(request)

    def on_end(self, request, ending):
        self.ended.append((request.number, ending))


class RecordingObserver(Observer):
    """An observer that records its notifications."""

    def __init__(self) -> None:
        self.events = []

    def event_received(self, now_us, event):
        self.events.append(event.topic)

    def actions_decided(self, now_us, event, actions):
        self.events += [type(action).__name__ for action in actions]

    def attempt_started(self, attempt):
        self.events.append("began")

    def attempt_ended(self, attempt, outcome):
        self.events.append(outcome.value)

    def answered(self, request, reply):
        self.events.append(reply)


async def rig_of(*filters, observers=(), time_share=0.4, **changes) -> tuple[Rig, FakeEndpoint]:
    endpoint = await FakeEndpoint("a").listen()
    extensions = Extensions(tuple(filters), tuple(observers), time_share)
    return Rig(
        endpoint, driver=lambda *given: FilteringDriver(*given, extensions), **changes
    ), endpoint


@asyncio_test
async def test_filter_that_continues_at_once_changes_nothing():
    request_filter = ScriptedFilter(lambda request: Continue())
    rig, endpoint = await rig_of(request_filter)
    caller = await rig.caller()
    caller.call("put", number=b"id5")
    assert await caller.replied() == [b"ok"]
    (seen,) = request_filter.seen
    assert (seen.client_id, seen.terms.customer, seen.body_bytes) == (b"id5", 7, 4)
    assert request_filter.ended == [(1, Ending.ANSWERED)]
    assert len(endpoint.commands) == 1
    await until(lambda: not rig.driver.requests and not rig.driver.filter_chain.runs)


@pytest.mark.parametrize(
    ("verdict", "reply"),
    [
        (Reject(), "BUSY"),
        (Reject(250_000), "BUSY 250"),
        (Reject(1 << 50), "BUSY 1000"),
        (Abort(), "ERR failed"),
    ],
)
def test_rejecting_or_aborting_filter_spends_no_quota(verdict, reply):
    @asyncio_test
    async def check():
        rig, endpoint = await rig_of(ScriptedFilter(lambda request: verdict))
        caller = await rig.caller()
        caller.call()
        assert error((await caller.replied())[0]) == reply
        assert endpoint.commands == []
        assert rig.driver.gateway.quota_counters.customers == {}
        assert rig.driver.requests == {} == rig.driver.filter_chain.runs

    check()


@asyncio_test
async def test_awaited_verdict_continues_with_remaining_time():
    async def later(request):
        await asyncio.sleep(0.2)
        return Continue()

    rig, endpoint = await rig_of(ScriptedFilter(later))
    caller = await rig.caller()
    caller.call(wait=1500)
    await asyncio.sleep(0.05)
    assert len(rig.driver.requests) == 1  # registered before its first filter ended
    assert rig.driver.gateway.lifecycle.requests == {}
    assert await caller.replied() == [b"ok"]
    terms = dict(pair.split(b"=") for pair in endpoint.commands[0][3].split(b","))
    assert int(terms[b"d"]) < 1300


@asyncio_test
async def test_hanging_filter_gets_fallback_within_time_share():
    async def never(request):
        await asyncio.Event().wait()

    request_filter = ScriptedFilter(never)
    request_filter.fallback = Reject()
    rig, endpoint = await rig_of(request_filter, time_share=0.1)
    caller = await rig.caller()
    caller.call(wait=2000)
    assert error((await caller.replied())[0]) == "BUSY"
    assert endpoint.commands == []
    assert request_filter.ended == [(1, Ending.ANSWERED)]
    assert rig.driver.faults.counts["scripted"] == 1


@asyncio_test
async def test_hanging_filter_with_continue_fallback_is_passed():
    async def never(request):
        await asyncio.Event().wait()

    request_filter = ScriptedFilter(never)
    request_filter.fallback = Continue()
    rig, _ = await rig_of(request_filter, request_filter, time_share=0.1)
    caller = await rig.caller()
    caller.call(wait=2000)
    assert await caller.replied() == [b"ok"]
    assert rig.driver.faults.counts["scripted"] == 2


@asyncio_test
async def test_filter_that_swallows_cancellation_cannot_delay_final_reply():
    async def stubborn(request):
        while True:
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                if closing:
                    raise

    closing = []
    rig, _ = await rig_of(ScriptedFilter(stubborn), time_share=0.1)
    caller = await rig.caller()
    caller.call(wait=400)
    assert (
        error((await caller.replied())[0]) == "ERR failed"
    )  # sent by the request's own deadline timer
    assert rig.driver.requests == {} == rig.driver.filter_chain.runs
    closing.append(True)


@pytest.mark.parametrize(
    "wrong",
    [
        None,
        "pass",
        Reject(-1),
        Reject(1.5),
        Continue({"customer": 1}),
        Continue({"timeout_us": 1 << 40}),
    ],
)
def test_malformed_verdict_becomes_fallback_and_is_counted(wrong):
    @asyncio_test
    async def check():
        rig, _ = await rig_of(ScriptedFilter(lambda request: wrong))
        caller = await rig.caller()
        caller.call()
        assert error((await caller.replied())[0]) == "ERR failed"
        assert rig.driver.faults.counts["scripted"] == 1

    check()


@asyncio_test
async def test_filter_without_usable_fallback_rejects():
    def broken(request):
        raise RuntimeError("broken")

    request_filter = ScriptedFilter(broken)
    request_filter.fallback = "nothing"
    rig, _ = await rig_of(request_filter)
    caller = await rig.caller()
    caller.call()
    assert error((await caller.replied())[0]) == "BUSY"


@asyncio_test
async def test_client_disconnect_ends_filter_once_and_nothing_is_sent():
    cancelled = []

    async def never(request):
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.append(True)

    request_filter = ScriptedFilter(never)
    rig, endpoint = await rig_of(request_filter)
    caller = await rig.caller()
    caller.call()
    await until(lambda: request_filter.seen)
    caller.transport.close()
    await until(lambda: cancelled)
    assert request_filter.ended == [(1, Ending.CLIENT_DISCONNECTED)]
    assert rig.driver.requests == {} == rig.driver.filter_chain.runs
    assert endpoint.commands == []


@asyncio_test
async def test_draining_waits_for_request_in_filter():
    release = asyncio.Event()

    async def held(request):
        await release.wait()
        return Continue()

    rig, _ = await rig_of(ScriptedFilter(held))
    caller = await rig.caller()
    caller.call()
    await until(lambda: rig.driver.requests)
    drained = asyncio.ensure_future(rig.clients.shutdown.drain(0))
    await asyncio.sleep(0.1)
    assert not drained.done()
    release.set()
    assert await caller.replied() == [b"ok"]
    await drained


@asyncio_test
async def test_observers_are_notified_in_order_and_cannot_raise_into_request_path():
    class Broken(Observer):
        name = "broken"

        def __getattribute__(self, name):
            if name in ("event_received", "answered", "attempt_started"):
                raise RuntimeError(name)
            return super().__getattribute__(name)

    recorder = RecordingObserver()
    rig, _ = await rig_of(observers=(Broken(), recorder))
    caller = await rig.caller()
    recorder.events.clear()
    caller.call()
    assert await caller.replied() == [b"ok"]
    await until(lambda: "attempt_ended" in recorder.events)
    seen = [
        item for item in recorder.events if item not in ("timer_fired", "SetTimer", "SendGossip")
    ]
    assert seen == [
        "request_arrived",
        "SendAttempt",
        "began",
        "served",
        b"$2\r\nok\r\n",
        "attempt_ended",
    ]
    assert rig.driver.faults.counts["broken"] >= 3


def test_filter_may_only_narrow_terms():
    assert (
        apply_verdict(Continue({"plan": 1, "timeout_us": 500_000}), TERMS, 2).timeout_us == 500_000
    )
    for changes in (
        {"plan": 2},
        {"plan": -1},
        {"timeout_us": 0},
        {"timeout_us": 3_000_000},
        {"units": 0},
        {"plan": True},
    ):
        with pytest.raises(FilterError):
            apply_verdict(Continue(changes), TERMS, 2)


def test_shortened_timeout_is_binding():
    @asyncio_test
    async def check():
        rig, endpoint = await rig_of(
            ScriptedFilter(lambda request: Continue({"timeout_us": 200_000}))
        )
        endpoint.script = lambda command: None
        caller = await rig.caller()
        caller.call(wait=30_000)
        assert error((await caller.replied())[0]) in ("BUSY", "ERR failed")
        sent = [event for event in endpoint.commands if event]
        assert int(dict(p.split(b"=") for p in sent[0][3].split(b","))[b"d"]) <= 200

    check()


def test_plain_driver_does_not_refer_to_extensions():
    """A gateway without extensions has no overhead: no attribute, loop or call in the plain driver."""
    import inspect

    from saffrongw.gateway import driver

    text = inspect.getsource(driver)
    assert "observer" not in text.lower()
    assert "filter" not in text.lower()
    assert "stage" not in text.lower()
