"""Discovery's watch and the datagrams between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import random
import socket

from conftest import FakeHost, Rig, asyncio_test, until

from orchidlane import messages
from saffrongw.gateway.asking import Asking
from saffrongw.gateway.config import parse_hosts
from saffrongw.gateway.discovery import BODY_MOST, Watch
from saffrongw.gateway.peers import Peers

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
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def asking(**changes) -> Asking:
    return Asking(2, random.Random(1), **changes)


async def watched(answers: list, **changes) -> tuple[Agent, list]:
    loop, told, agent = asyncio.get_running_loop(), [], Agent(answers)
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    Watch(loop, server.sockets[0].getsockname()[:2], ZONES, told.append, asking(**changes)).start()
    return agent, told


@asyncio_test
async def test_the_watch_calls_again_from_the_version_told_on_one_connection():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    change = {"seq": 6, "whole": False, "hosts": [line("a", health="DRAINING")]}
    agent, told = await watched([whole, change])
    await until(lambda: len(agent.asked) == 3)
    assert agent.asked[0] == "/registry/instances"
    assert [asked.split("?")[1].split("&")[0] for asked in agent.asked[1:]] == ["index=5", "index=6"]
    assert [(listed.version, listed.whole) for listed in told] == [(5, True), (6, False)]
    assert agent.connections == 1


@asyncio_test
async def test_a_silent_agent_and_answers_that_make_no_sense_lead_to_the_whole_list_anew():
    whole = {"seq": 5, "whole": True, "hosts": [line("a")]}
    agent, told = await watched([None, b"junk", b"[]", {"seq": 5}, whole], answer_within=0.1)
    await until(lambda: told)
    assert agent.asked[:5] == ["/registry/instances"] * 5


def test_an_odd_entry_is_left_out_and_the_others_stand():
    odd = [7, None, {}, line("x", health="ASLEEP"), line("x", block="b"), line("x", dial="nowhere")]
    odd += [line("x", born_ms=-1), line("x", born_ms=float("inf")), line("x", born_ms=10**30)]
    listed = parse_hosts(
        {"seq": 1, "whole": True, "hosts": [*odd, line("a", site="hall-b", born_ms=12)]}, ZONES
    )
    assert listed.odd == len(odd)
    (host,) = listed.hosts
    assert (host.entry.server, host.entry.zone, host.entry.launched) == (b"a", 1, 12_000)
    assert host.address == ("127.0.0.1", 7)


@asyncio_test
async def test_datagrams_count_by_their_source_and_junk_is_dropped():
    rig = Rig(await FakeHost("a").listen())
    peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (peer, stranger):
        sock.bind(("127.0.0.1", 0))
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Peers(rig.driver, (("127.0.0.1", 1), peer.getsockname()), 0), local_addr=("127.0.0.1", 0)
    )
    own = transport.get_extra_info("sockname")
    row = messages.Row(9, 0, 0, 2, 0, 50.0, 50.0, 0.0, ())
    good = messages.pack(rig.driver.clock() // 1000, True, True, [messages.pack_row(row, 0, 2)])
    stranger.sendto(good, own)
    peer.sendto(b"x" * 300, own)
    peer.sendto(b"\xff" * 40, own)
    peer.sendto(b"", own)
    peer.sendto(good, own)
    await until(lambda: 9 in rig.driver.gateway.accounts)
    assert list(rig.driver.gateway.heard) == [1]
    peer.setblocking(False)
    reply = await loop.sock_recv(peer, 512)
    assert len(reply) <= messages.SIZE_MOST
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
    servers = [await loop.create_server(lambda agent=agent: agent, "127.0.0.1", 0) for agent in agents]
    addresses = [server.sockets[0].getsockname()[:2] for server in servers]
    watch = Watch(loop, addresses[0], ZONES, told.append, asking())
    watch.start()
    await until(lambda: len(agents[0].asked) == 2)
    watch.move(addresses[1])
    agents[0].transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    await until(lambda: len(agents[1].asked) == 2)
    assert [listed.hosts[0].entry.server for listed in told] == [b"a", b"b"]
    watch.move(addresses[1])  # the same address: nothing to do
    await asyncio.sleep(0.05)
    assert agents[1].connections == 1 and agents[0].connections == 1


@asyncio_test
async def test_the_watch_moves_while_it_backs_off_from_an_agent_that_is_down():
    loop, told, agent = asyncio.get_running_loop(), [], Agent([{"seq": 5, "whole": True, "hosts": []}])
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    watch = Watch(loop, ("127.0.0.1", 1), ZONES, told.append, asking())
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
    watch = Watch(loop, server.sockets[0].getsockname()[:2], ZONES, told.append, asking(answer_within=60.0))
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
    agent, _ = await watched([whole, 503, {"seq": 1, "whole": False, "hosts": []}, whole], ask_within=0.02)
    await until(lambda: len(agent.asked) == 5)
    assert [("index" in asked) for asked in agent.asked] == [False, True, True, False, True]
