"""Simulated hosts, discovery agents and clients over sockets, without a gateway."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller

from testbed import __main__ as cli
from testbed.checker.record import (
    Answered,
    Attempt,
    Closed,
    Effect,
    Extra,
    HostEvent,
    Log,
    Made,
    Sent,
    Turned,
    Unreached,
)
from testbed.model.arrivals import Arrival, Customer, Try
from testbed.model.clock import Clock
from testbed.model.registry import Agent, Change, Line
from testbed.model.scenario import Class, Clients, Hosts, Plan, Scenario
from testbed.net.clients import ClientSide
from testbed.net.discovery import AgentServer
from testbed.net.endpoints import SPOILS, Fleet
from testbed.net.relay import TcpFault

FAST = Scenario(
    "fast",
    gateways=2,
    cls=(
        Class("read", 1.0, (5.0, 5.0)),
        Class("put", 1.0, (5.0, 5.0), effect="keyed", group="cell", window_ms=5000),
        Class("bill", 1.0, (5.0, 5.0), effect="unsafe"),
    ),
    plan=(Plan("team", 1, 1.0, 5.0),),
    hosts=Hosts(count=1, error_share=0.0, speed=(1.0, 1.0)),
)


async def fleet_of(scenario=FAST) -> tuple[Fleet, Log]:
    log = Log()
    return Fleet(scenario, Clock(), log, TcpFault("refuse")), log


async def caller_to(host, gateway=0) -> Caller:
    _, caller = await asyncio.get_running_loop().create_connection(
        Caller, *host.relays[gateway].address
    )
    return caller


def ask(caller, kind="read", number=b"id1", key=b"k1", body=b"BODY") -> None:
    terms = b"c=%b,t=team,d=900,units=1,spread=2,first=0" % kind.encode()
    if kind == "read":
        caller.ask(b"CALL.GET", b"0000000000000001", number, terms)
    else:
        more = b",k=" + key if kind == "put" else b""
        caller.ask(b"CALL.POST", b"0000000000000001", number, terms + more, body)


@asyncio_test
async def test_a_host_serves_a_request_and_records_attempt_effect_and_value():
    fleet, log = await fleet_of()
    host = await fleet.add(0, cold=False)
    caller = await caller_to(host, gateway=1)
    ask(caller, "bill", b"id7")
    ((value, use, report),) = await caller.replied()
    assert use is None
    assert b"util=" in report
    (attempt,) = log.of(Attempt)
    assert (attempt.request, attempt.gateway, attempt.host, attempt.cls) == (
        "id7",
        1,
        host.name,
        "bill",
    )
    assert 0 < attempt.began <= attempt.at
    assert [e.request for e in log.of(Effect)] == ["id7"]
    assert [(m.request, m.value.encode()) for m in log.of(Made)] == [("id7", value)]
    fleet.close()


@asyncio_test
async def test_a_keyed_repeat_in_the_rack_gets_the_first_value_and_runs_once():
    fleet, log = await fleet_of()
    one, two, far = [await fleet.add(rack, cold=False) for rack in (0, 0, 1)]
    callers = [await caller_to(host) for host in (one, two, far)]
    for number, caller in enumerate(callers):
        ask(caller, "put", b"id%d" % number)
    values = [(await caller.replied())[0][0] for caller in callers]
    assert values[0] == values[1] != values[2]
    assert sorted(e.host for e in log.of(Effect)) == sorted([one.name, far.name])
    assert {m.request for m in log.of(Made)} == {"id0", "id1", "id2"}
    fleet.close()


@asyncio_test
async def test_full_and_draining_hosts_answer_busy():
    scenario = Scenario(
        "full",
        gateways=1,
        cls=FAST.cls,
        plan=FAST.plan,
        hosts=Hosts(slots=1, queue=0, error_share=0),
    )
    fleet, log = await fleet_of(scenario)
    host = await fleet.add(0, cold=False)
    callers = [await caller_to(host) for _ in range(2)]
    for number, caller in enumerate(callers):
        ask(caller, number=b"id%d" % number)
    replies = [(await caller.replied())[0] for caller in callers]
    assert sum(isinstance(reply, hiredis.ReplyError) for reply in replies) == 1
    host.draining = True
    ask(callers[0], number=b"id3")
    assert str((await callers[0].replied(2))[1]) == "BUSY"
    assert len(list(log.of(Turned))) == 2
    fleet.close()


@asyncio_test
async def test_a_frozen_host_accepts_connections_and_answers_only_after_thawing():
    fleet, log = await fleet_of()
    host = await fleet.add(0, cold=False)
    first = await caller_to(host)
    ask(first)
    await first.replied()
    host.freeze()
    second = await caller_to(host)
    ask(first, number=b"id2")
    ask(second, number=b"id3")
    await asyncio.sleep(0.1)
    assert len(list(log.of(Attempt))) == 1
    frozen = fleet.clock()
    host.thaw()
    await first.replied(2)
    await second.replied()
    # The bytes reached the relay while the host was frozen; attempts are recorded with that time.
    assert all(a.began < frozen for a in log.of(Attempt))
    fleet.close()


@asyncio_test
async def test_a_stopped_host_resets_and_refuses_connections_and_restarts_in_a_new_life():
    fleet, log = await fleet_of()
    host = await fleet.add(0, cold=False)
    caller = await caller_to(host)
    host.stop()
    await until(lambda: caller.closed)
    with pytest.raises(ConnectionRefusedError):
        await caller_to(host)
    await host.start(cold=True)
    caller = await caller_to(host)
    ask(caller)
    await caller.replied()
    assert [a.life for a in log.of(Attempt)] == [2]
    assert [e.what for e in log.of(HostEvent)] == ["up", "down", "up"]
    fleet.close()


@asyncio_test
async def test_a_cold_host_crashes_under_too_much_load():
    slow = (Class("read", 1.0, (500.0, 500.0)),)
    scenario = Scenario(
        "cold", gateways=1, cls=slow, plan=FAST.plan, hosts=Hosts(fall_s=1.0, error_share=0.0)
    )
    fleet, log = await fleet_of(scenario)
    host = await fleet.add(0, cold=True)
    caller = await caller_to(host)
    for number in range(6):
        ask(caller, number=b"id%d" % number)
    await until(lambda: caller.closed)
    assert [e.what for e in log.of(HostEvent)] == ["up", "fell"]
    fleet.close()


@asyncio_test
async def test_truncated_and_malformed_commands_are_recorded():
    fleet, log = await fleet_of()
    host = await fleet.add(0, cold=False)
    caller = await caller_to(host)
    caller.ask(
        b"CALL.GET", b"0000000000000001", b"id1", b"c=read,t=team,d=0,units=1,spread=2,first=0"
    )
    assert str((await caller.replied())[0]) == "SYNTAX"
    caller.transport.write(b"*4\r\n$8\r\nCALL.G")
    await asyncio.sleep(0.05)
    caller.transport.close()
    await until(lambda: any(a.at < 0 for a in log.of(Attempt)))
    assert [e.what for e in log.of(HostEvent)] == ["up", "syntax"]
    fleet.close()


@asyncio_test
async def test_every_kind_of_spoilt_answer_occurs_and_only_intact_values_are_recorded_as_made():
    fleet, log = await fleet_of()
    host = await fleet.add(0, cold=False)
    host.spoil = 1.0
    for number in range(80):
        transport, _ = await asyncio.get_running_loop().create_connection(
            asyncio.Protocol, *host.relays[0].address
        )
        transport.write(hiredis.pack_command((b"CALL.GET", b"%016x" % 1, b"id%d" % number, TERMS)))
        await asyncio.sleep(0.002)
    await until(lambda: sum(fleet.spoilt.values()) == 80)
    assert set(fleet.spoilt) == set(SPOILS)
    assert len(list(log.of(Made))) == fleet.spoilt["doubled"] + fleet.spoilt["report"]
    fleet.close()


TERMS = b"c=read,t=team,d=900,units=1,spread=2,first=0"


# -- discovery agent -----------------------------------------------------------------------------------------


async def fetch(address, target: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"GET {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
    return reader, writer


async def answer(reader) -> dict:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
    return json.loads(await reader.readexactly(length))


@asyncio_test
async def test_an_agent_answers_lists_and_watches_and_is_silent_while_silenced():
    agent, answers = Agent(), []
    agent.receive(Change(1, Line("a", "z", 1)))
    server = AgentServer(agent, lambda line: "127.0.0.1:1", lambda *given: answers.append(given))
    await server.listen()
    path = "/registry/instances"
    reader, writer = await fetch(server.address, path)
    first = await answer(reader)
    assert (first["seq"], first["whole"], first["hosts"][0]["dial"]) == (1, True, "127.0.0.1:1")
    writer.write(f"GET {path}?index=1&wait=20000 HTTP/1.1\r\nhost: x\r\n\r\n".encode())
    await asyncio.sleep(0.05)
    agent.receive(Change(2, Line("b", "z", 1)))
    server.changed()
    assert [h["host"] for h in (await answer(reader))["hosts"]] == ["b"]
    writer.write(f"GET {path}?index=2&wait=30 HTTP/1.1\r\nhost: x\r\n\r\n".encode())
    assert (await answer(reader))["hosts"] == []
    server.silence(True)
    quiet, _ = await fetch(server.address, path)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await answer(quiet)
    server.silence(False)
    assert len((await answer(quiet))["hosts"]) == 2
    assert len(answers) == 4
    server.close()


# -- clients -----------------------------------------------------------------------------------------------------


class Scripted(asyncio.Protocol):
    """A gateway whose script gives the reply to each request: None aborts, empty bytes leave it unanswered."""

    def __init__(self, script, seen) -> None:
        self.script, self.seen, self.reader = script, seen, hiredis.Reader()

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data) -> None:
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            self.seen.append(command)
            reply = self.script(len(self.seen))
            if reply is None:
                self.transport.abort()
            elif reply:
                self.transport.write(reply)


async def clients_of(script, **changes) -> tuple[ClientSide, Log, list]:
    loop, log, seen = asyncio.get_running_loop(), Log(), []
    server = await loop.create_server(lambda: Scripted(script, seen), "127.0.0.1", 0)
    scenario = Scenario("c", gateways=1, cls=FAST.cls, plan=FAST.plan, clients=Clients(**changes))
    clients = ClientSide(scenario, Clock(), log, [server.sockets[0].getsockname()])
    return clients, log, seen


def arrival(intent=1, cls=2, tries=1, wait=300_000, pause=10_000, leaves=0, heeds=True) -> Arrival:
    customer = Customer(1, FAST.plan[0], 0, 1, 1.0, heeds)
    return Arrival(0, intent, customer, cls, "key", (Try(0, pause, wait, leaves),) * tries)


@asyncio_test
async def test_a_client_reuses_its_connection_after_an_answer():
    clients, log, seen = await clients_of(lambda n: b"$2\r\nok\r\n")
    for intent in (1, 2):
        clients.start(arrival(intent))
        await clients.finish(5)
    assert [a.kind for a in log.of(Answered)] == ["served", "served"]
    assert [s.reused for s in log.of(Sent)] == [False, True]
    assert clients.counts["served"] == 2
    assert seen[0][2] != seen[1][2]


@asyncio_test
async def test_a_client_retries_with_a_new_id_and_heeds_the_retry_delay_if_it_is_configured_to():
    for heeds, least in ((True, 0.15), (False, 0.0)):
        clients, log, seen = await clients_of(
            lambda n: b"-BUSY 200\r\n" if n == 1 else b"$2\r\nok\r\n"
        )
        clients.start(arrival(tries=2, heeds=heeds))
        await clients.finish(5)
        first, second = log.of(Sent)
        assert second.at - first.at >= least * 1e6
        assert second.request != first.request
        assert b",r=1" in seen[1][3]
        assert b",r=1" not in seen[0][3]


@asyncio_test
async def test_a_request_that_crossed_the_close_of_a_reused_connection_is_resent_once():
    clients, log, seen = await clients_of(lambda n: b"$2\r\nok\r\n" if n != 2 else None)
    clients.start(arrival(1))
    await clients.finish(5)
    clients.start(arrival(2))
    await clients.finish(5)
    assert [a.kind for a in log.of(Answered)] == ["served", "served"]
    assert seen[1][2] == seen[2][2]  # the same request id
    assert [(c.by, c.reused) for c in log.of(Closed)] == [("gateway", True)]


@asyncio_test
async def test_a_client_gives_up_on_a_silent_gateway_and_records_bytes_after_an_answer():
    clients, log, _ = await clients_of(lambda n: b"" if n == 1 else b"$2\r\nok\r\n+more\r\n")
    clients.start(arrival(1, wait=50_000))
    await clients.finish(5)
    clients.start(arrival(2))
    await clients.finish(5)
    assert [c.by for c in log.of(Closed)] == ["gave_up"]
    assert len(list(log.of(Extra))) == 1


@asyncio_test
async def test_a_client_that_leaves_closes_its_connection_and_does_not_retry():
    clients, log, seen = await clients_of(lambda n: b"")
    clients.start(arrival(leaves=30_000, tries=3))
    await clients.finish(5)
    assert [c.by for c in log.of(Closed)] == ["left"]
    assert len(seen) == 1


@asyncio_test
async def test_an_unreachable_gateway_is_recorded_as_unreached_and_not_as_sent():
    scenario = Scenario("c", gateways=1, cls=FAST.cls, plan=FAST.plan)
    clients = ClientSide(scenario, Clock(), log := Log(), [("127.0.0.1", 1)])
    clients.start(arrival())
    await clients.finish(5)
    assert len(list(log.of(Unreached))) == 1
    assert list(log.of(Sent)) == []


# -- command line -----------------------------------------------------------------------------------------------


def test_an_invalid_scenario_gives_a_one_line_error_and_status_2(tmp_path, capsys):
    (tmp_path / "bad.toml").write_text('name = "x"\nsed = 3\n')
    assert cli.main(["check", str(tmp_path / "bad.toml")]) == 2
    said = capsys.readouterr().err
    assert "bad.toml:2: sed: unknown key; did you mean 'seed'?" in said
    assert said.count("\n") == 1
    assert cli.main(["run", "no-such-day"]) == 2
    assert cli.main(["run", str(tmp_path / "none.toml")]) == 2


def test_the_list_command_shows_scenarios_and_their_faults(capsys):
    assert cli.main(["list"]) == 0
    said = capsys.readouterr().out
    assert "one-way-partition" in said
    assert "host_freezes" in said


def test_the_report_has_text_json_and_a_self_contained_page(tmp_path):
    from testbed.checker import report
    from testbed.checker.record import Began, Fault, Finished
    from testbed.checker.rules import judge

    day = Scenario("page", about="<b>", plan=FAST.plan, cls=FAST.cls, length_s=2)
    log = Log(
        [
            Began(0),
            Sent(1000, "r1", 1, 0, 0, 1, False, 1, "team", "read", 1.0, 900_000, "", 0, 1),
            Fault(500_000, "kill", 900_000, "n1 <script>"),
            Answered(20_000, "r1", 0, 1, "served", "x<y"),
            Finished(2_000_000),
        ]
    )
    verdict = judge(day, log)
    assert verdict.outcome == "broken"
    path = report.write(tmp_path, day, log, verdict)
    page = path.read_text()
    assert "<script" not in page
    assert "http" not in page.replace("http://www.w3.org", "")
    assert "kill: n1 &lt;script&gt;" in page
    assert "served with a value that no host made for it" in page
    assert Counter(page)["<"] == Counter(page)[">"]
    raw = json.loads((tmp_path / "verdict.json").read_text())
    assert (raw["outcome"], raw["counts"]) == ("broken", {"answer": 1})
    assert "answer at 0.020 s" in (tmp_path / "report.txt").read_text()
