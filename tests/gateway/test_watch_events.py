"""Discovery's watch and the datagrams between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
import time

import pytest
from conftest import FakeHost, Rig, asyncio_test, until

from saffrongw.gateway.config import parse_endpoint_list
from saffrongw.gateway.discovery.client import BODY_MOST, DiscoveryClient, Exchange
from saffrongw.gateway.discovery.poll_schedule import TOLD_AFTER, PollSchedule
from saffrongw.gateway.gossip_transport import GossipTransport
from saffrongw.policy import gossip_codec

ZONES = ("hall-a", "hall-b")


def line(name: str, **changes) -> dict:
    host = FakeHost(name)
    host.port = 7
    return host.line(**changes)


class Agent(asyncio.Protocol):
    """A discovery agent: keeps what it was asked, answers with the next of ``answers`` (None: silence)."""

    def __init__(self, answers: list) -> None:
        self.answers, self.asked, self.connections = answers, [], 0

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.connections += 1

    def data_received(self, data: bytes) -> None:
        self.asked.append(data.split()[1].decode())
        answer = self.answers.pop(0) if self.answers else None
        if answer == 503:
            self.transport.write(b"HTTP/1.1 503 No Room\r\nContent-Length: 0\r\n\r\n")
            return
        if answer is not None:
            body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )


def asking(**changes) -> PollSchedule:
    return PollSchedule(2, random.Random(1), **changes)


async def watched(answers: list, **changes) -> tuple[Agent, list]:
    loop, told, agent = asyncio.get_running_loop(), [], Agent(answers)
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    DiscoveryClient(
        loop, server.sockets[0].getsockname()[:2], ZONES, told.append, asking(**changes)
    ).start()
    return agent, told


@asyncio_test
async def test_the_watch_calls_again_from_the_version_told_on_one_connection():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    change = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}
    agent, told = await watched([whole, change])
    await until(lambda: len(agent.asked) == 3)
    assert agent.asked[0] == "/registry/instances"
    assert [asked.split("?")[1].split("&")[0] for asked in agent.asked[1:]] == [
        "index=5",
        "index=6",
    ]
    assert [(listed.version, listed.whole) for listed in told] == [(5, True), (6, False)]
    assert agent.connections == 1


@asyncio_test
async def test_a_silent_agent_and_answers_that_make_no_sense_lead_to_the_whole_list_anew():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    agent, told = await watched([None, b"junk", b"[]", {"seq": 5}, whole], answer_within=0.1)
    await until(lambda: told)
    assert agent.asked[:5] == ["/registry/instances"] * 5


@asyncio_test
async def test_a_watch_that_was_turned_away_twice_hears_of_a_drain_before_it_binds():
    """As it is told the list, the service has no room for its watch, and then a host drains."""
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    drain = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}
    agent, told = await watched([whole, 503, 503, drain], ask_within=10.0)
    began = time.monotonic()
    await until(lambda: len(told) == 2, within=60)
    assert told[1].version == 6 and agent.connections == 3
    assert time.monotonic() - began <= TOLD_AFTER + 1.0


def test_an_odd_entry_is_left_out_and_the_others_stand():
    odd = [7, None, {}, line("x", health="ASLEEP"), line("x", block="b"), line("x", dial="nowhere")]
    odd += [line("x", born_ms=-1), line("x", born_ms=float("inf")), line("x", born_ms=10**30)]
    listed = parse_endpoint_list(
        {"seq": 1, "whole": True, "hosts": [*odd, line("a", site="hall-b", born_ms=12)]}, ZONES
    )
    assert listed.odd == len(odd)
    (host,) = listed.hosts
    assert (host.entry.endpoint_id, host.entry.zone, host.entry.started_at_us) == (b"a", 1, 12_000)
    assert host.address == ("127.0.0.1", 7)


@asyncio_test
async def test_datagrams_count_by_their_source_and_junk_is_dropped():
    rig = Rig(await FakeHost("a").listen())
    peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (peer, stranger):
        sock.bind(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: GossipTransport(rig.driver, (("127.0.0.1", 1), peer.getsockname()), 0),
        local_addr=("127.0.0.1", 0),
    )
    own = transport.get_extra_info("sockname")
    row = gossip_codec.GossipRow(9, 0, 0, 2, 0, 50.0, 50.0, 0.0, ())
    good = gossip_codec.pack_message(
        rig.driver.clock() // 1000, True, True, [gossip_codec.pack_row(row, 0, 2)]
    )
    stranger.sendto(good, own)
    peer.sendto(b"x" * 300, own)
    peer.sendto(b"\xff" * 40, own)
    peer.sendto(b"", own)
    peer.sendto(good, own)
    await until(lambda: 9 in rig.driver.gateway.quota_counters.customers)
    assert list(rig.driver.gateway.reachability.last_received_us) == [1]
    peer.setblocking(False)
    reply = await loop.sock_recv(peer, 512)
    assert len(reply) <= gossip_codec.MAX_MESSAGE_BYTES
    stranger.setblocking(False)
    try:
        stranger.recv(512)
    except BlockingIOError:
        pass
    else:
        raise AssertionError("a stranger was answered")
    transport.close()


@asyncio_test
async def test_the_watch_moves_to_another_agent_and_no_longer_hears_the_old_one():
    """A reload: without move() the watch would stay with an agent that is about to close."""
    loop, told = asyncio.get_running_loop(), []
    agents = [Agent([{"seq": 5, "whole": True, "hosts": [line(name)]}]) for name in "ab"]
    servers = [
        await loop.create_server(lambda agent=agent: agent, "127.0.0.1", 0) for agent in agents
    ]
    addresses = [server.sockets[0].getsockname()[:2] for server in servers]
    watch = DiscoveryClient(loop, addresses[0], ZONES, told.append, asking())
    watch.start()
    await until(lambda: len(agents[0].asked) == 2)
    watch.move(addresses[1])
    agents[0].transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    await until(lambda: len(agents[1].asked) == 2)
    assert [listed.hosts[0].entry.endpoint_id for listed in told] == [b"a", b"b"]
    watch.move(addresses[1])  # the same address: nothing to do
    await asyncio.sleep(0.05)
    assert agents[1].connections == 1 and agents[0].connections == 1


@asyncio_test
async def test_the_watch_moves_while_it_backs_off_from_an_agent_that_is_down():
    loop, told, agent = (
        asyncio.get_running_loop(),
        [],
        Agent([{"seq": 5, "whole": True, "hosts": []}]),
    )
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    watch = DiscoveryClient(loop, ("127.0.0.1", 1), ZONES, told.append, asking())
    watch.start()
    await until(lambda: watch.asking.failures)
    watch.move(server.sockets[0].getsockname()[:2])
    await until(lambda: told)
    await asyncio.sleep(0.2)
    assert agent.connections == 1


@asyncio_test
async def test_an_answer_without_end_is_cut_off():
    loop, told = asyncio.get_running_loop(), []

    class Endless(Agent):
        def data_received(self, data: bytes) -> None:
            if self.connections > 1:
                return super().data_received(data)
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b" " * (2 * BODY_MOST)
            )

    agent = Endless([{"seq": 5, "whole": True, "hosts": [line("a")]}])
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    watch = DiscoveryClient(
        loop, server.sockets[0].getsockname()[:2], ZONES, told.append, asking(answer_within=60.0)
    )
    watch.start()
    await until(lambda: told)
    assert agent.connections == 2


@asyncio_test
async def test_turned_away_the_watch_goes_on_from_the_version_it_knows():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    change = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}
    agent, _told = await watched([503, whole, 503, 503, change], ask_within=0.02)
    await until(lambda: len(agent.asked) == 6)
    assert [asked.partition("?index=")[2].partition("&")[0] for asked in agent.asked[:6]] == [
        *("", "", "5", "5", "5", "6")
    ]


@asyncio_test
async def test_a_registry_that_counts_anew_is_asked_for_its_whole_list():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    agent, _ = await watched(
        [whole, 503, {"seq": 1, "whole": False, "hosts": []}, whole], ask_within=0.02
    )
    await until(lambda: len(agent.asked) == 5)
    assert [("index" in asked) for asked in agent.asked] == [False, True, True, False, True]


class Held(asyncio.Protocol):
    """An agent whose connections are seen one by one and answer only when the test says so."""

    def __init__(self, agents: list) -> None:
        self.agents, self.asked = agents, []

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.agents.append(self)

    def data_received(self, data: bytes) -> None:
        self.asked.append(data.split()[1].decode())

    def answer(
        self, listed: dict, head: bytes = b"HTTP/1.1 200 OK\r\n", length: bool = True
    ) -> None:
        """One answer."""
        body = json.dumps(listed).encode()
        head += b"Content-Length: %d\r\n" % len(body) if length else b""
        self.transport.write(head + b"\r\n" + body)


async def held(told=None, **changes) -> tuple[list[Held], list, DiscoveryClient]:
    loop, agents, heard = asyncio.get_running_loop(), [], []
    server = await loop.create_server(lambda: Held(agents), "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    watch = DiscoveryClient(loop, address, ZONES, told or heard.append, asking(**changes))
    watch.start()
    await until(lambda: agents and agents[0].asked)
    return agents, heard, watch


FIRST = {"seq": 5, "whole": True, "hosts": [line("a")]}
DRAINS = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}


@asyncio_test
async def test_a_watch_that_falls_silent_is_opened_anew_and_what_it_missed_is_heard():
    """Its connection stays open and says nothing to the end of the test."""
    agents, heard, _watch = await held(wait=0.05, pushed=True)
    agents[0].answer(FIRST)
    await until(lambda: len(agents) == 2 and agents[1].asked)
    assert agents[1].asked == ["/registry/instances?index=5&wait=0"]
    agents[1].answer(DRAINS)
    await until(lambda: len(heard) == 2)
    assert heard[1].hosts[0].entry.state.name == "DRAINING"


@asyncio_test
async def test_an_agent_that_is_silent_is_asked_again_and_again_each_time_on_a_new_connection():
    """At its return a call must be out: after three silences it is asked as soon as after the first."""
    agents, heard, watch = await held(pushed=True, grace=0.1)
    await until(lambda: len(agents) >= 6 and agents[-1].asked)
    assert watch.asking.after_loss() <= 0.1 / 4
    while not heard:  # back: whatever connection is open then is answered
        agents[-1].answer(FIRST)
        await asyncio.sleep(0.005)
    assert heard[0].version == 5


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 OK\r\nConnection: close\r\n", b"HTTP/1.0 200 OK\r\n"]
)
@pytest.mark.parametrize("length", [True, False])
@asyncio_test
async def test_a_list_that_came_whole_counts_though_the_agent_closes_behind_it(head, length):
    agents, heard, _watch = await held()
    agents[0].answer(FIRST, head, length)
    if not length:  # only its end says where the list ends
        agents[0].transport.close()
    await until(lambda: len(agents) == 2 and agents[1].asked)
    assert [listed.version for listed in heard] == [5]
    assert agents[1].asked == ["/registry/instances?index=5&wait=2000"]  # the watch goes on
    agents[1].answer(DRAINS, head, length)
    if not length:
        agents[1].transport.close()
    await until(lambda: len(heard) == 2)


@asyncio_test
async def test_what_could_not_be_taken_in_is_asked_for_again():
    """Counted as known before, the change would never be asked for again."""
    heard = []

    def told(listed) -> None:
        heard.append(listed)
        if len(heard) == 2:
            raise ValueError("made up")

    agents, _, _watch = await held(told)
    agents[0].answer(FIRST)
    await until(lambda: len(agents[0].asked) == 2)
    agents[0].answer(DRAINS)
    await until(lambda: len(agents) == 2 and agents[1].asked)
    assert agents[1].asked == ["/registry/instances?index=5&wait=0"]
    agents[1].answer(DRAINS)
    await until(lambda: len(heard) == 3)
    assert heard[2] == heard[1]


@asyncio_test
async def test_a_connection_that_comes_up_as_its_time_is_over_carries_the_watch_or_is_replaced(
    monkeypatch,
):
    """The loop closes one that is cancelled then without a word: the watch waited for it for ever."""
    late = [True]
    made = Exchange.connection_made

    def slow(exchange, transport) -> None:
        made(exchange, transport)
        if late:
            late.clear()
            time.sleep(1.1)  # the time-out is due before the loop goes on to say that it is up

    monkeypatch.setattr(Exchange, "connection_made", slow)
    agents, heard, _watch = await held(answer_within=0.5)
    while not heard:
        agents[-1].answer(FIRST)
        await asyncio.sleep(0.02)
    await until(lambda: len(agents[-1].asked) >= 1)


@pytest.mark.parametrize("order", list(itertools.permutations(("answer", "move", "late", "end"))))
@asyncio_test
async def test_in_any_order_within_one_turn_the_watch_goes_on_and_hears_the_new_agent(order):
    """An answer, a reload that names another agent, a time-out and a lost connection."""
    _, heard, watch = await held()
    others: list[Held] = []
    server = await watch.loop.create_server(lambda: Held(others), "127.0.0.1", 0)
    exchange = watch.exchange
    body = json.dumps(FIRST).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def late() -> None:
        watch.asking.silent_at, watch.asking.last_look = watch.loop.time(), True
        watch._look()

    steps = {
        "answer": lambda: exchange.data_received(answer),
        "move": lambda: watch.move(server.sockets[0].getsockname()[:2]),
        "late": late,
        "end": lambda: (exchange.connection_lost(None), exchange.transport.abort()),
    }
    for name in order:
        steps[name]()
    await until(lambda: others and others[-1].asked)
    assert others[-1].asked[0].startswith("/registry/instances")
    newer = {"seq": 9, "whole": True, "hosts": [line("b")]}
    while not any(listed.version == 9 for listed in heard):
        others[-1].answer(newer)
        await asyncio.sleep(0.01)
    exchange.data_received(answer)  # the old one is heard no more
    assert heard[-1].version == 9
