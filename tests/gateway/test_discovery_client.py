"""The discovery client against agents on loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable
from typing import Any

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint

from saffrongw.gateway.config import Address, EndpointList
from saffrongw.gateway.discovery.client import (
    MAX_BODY_BYTES,
    DiscoveryClient,
    DiscoveryConnection,
    retry_after_seconds,
)
from saffrongw.gateway.discovery.poll_schedule import PollSchedule
from saffrongw.gateway.discovery.poll_timing import NOTIFICATION_DEADLINE_S

ZONES = ("hall-a", "hall-b")
PATH = "/registry/instances"


def entry(name: str, **changes: Any) -> dict[str, Any]:
    """Return an entry of an endpoint list, as discovery sends it."""
    endpoint = FakeEndpoint(name)
    endpoint.port = 7
    return endpoint.line(**changes)


COMPLETE = {"seq": 5, "whole": True, "hosts": [entry("a")]}
DRAINING = {"seq": 6, "whole": False, "hosts": [entry("a", health="DRAINING")]}


class ScriptedAgent(asyncio.Protocol):
    """A discovery agent that records targets and sends the next of ``answers`` (None: none)."""

    def __init__(self, answers: list[Any]) -> None:
        self.answers = answers
        self.targets: list[str] = []
        self.connections = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.connections += 1

    def data_received(self, data: bytes) -> None:
        self.targets.append(data.split()[1].decode())
        answer = self.answers.pop(0) if self.answers else None
        if answer == 503:
            self.transport.write(b"HTTP/1.1 503 No Room\r\nContent-Length: 0\r\n\r\n")
            return
        if answer is not None:
            body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )


class EndlessAgent(ScriptedAgent):
    """An agent whose answer on the first connection does not end."""

    def data_received(self, data: bytes) -> None:
        if self.connections > 1:
            super().data_received(data)
            return
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
        self.transport.write(head + b" " * (2 * MAX_BODY_BYTES))


class ManualAgent(asyncio.Protocol):
    """One connection of an agent that answers only when the test says so."""

    def __init__(self, agents: list[ManualAgent]) -> None:
        self.agents = agents
        self.targets: list[str] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.agents.append(self)

    def data_received(self, data: bytes) -> None:
        self.targets.append(data.split()[1].decode())

    def answer(
        self,
        listed: dict[str, Any],
        head: bytes = b"HTTP/1.1 200 OK\r\n",
        has_length: bool = True,
    ) -> None:
        """Send one answer."""
        body = json.dumps(listed).encode()
        if has_length:
            head += b"Content-Length: %d\r\n" % len(body)
        self.transport.write(head + b"\r\n" + body)


def schedule_of(**options: Any) -> PollSchedule:
    return PollSchedule(2, random.Random(1), **options)


async def listen(protocol: Callable[[], asyncio.Protocol]) -> Address:
    """Serve on a free port of this machine; return the address."""
    server = await asyncio.get_running_loop().create_server(protocol, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[:2]


def client_of(
    address: Address, notify: Callable[[EndpointList], None], **options: Any
) -> DiscoveryClient:
    """Return a client that has started to poll."""
    client = DiscoveryClient(
        asyncio.get_running_loop(), address, ZONES, notify, schedule_of(**options)
    )
    client.start()
    return client


async def scripted(answers: list[Any], **options: Any) -> tuple[ScriptedAgent, list[EndpointList]]:
    """Start a scripted agent and a client of it; return the agent and the lists received."""
    agent = ScriptedAgent(answers)
    received: list[EndpointList] = []
    client_of(await listen(lambda: agent), received.append, **options)
    return agent, received


async def manual(
    notify: Callable[[EndpointList], None] | None = None, **options: Any
) -> tuple[list[ManualAgent], list[EndpointList], DiscoveryClient]:
    """Start manual agents and a client; return the agents' connections, the lists, the client."""
    agents: list[ManualAgent] = []
    received: list[EndpointList] = []
    address = await listen(lambda: ManualAgent(agents))
    client = client_of(address, notify or received.append, **options)
    await until(lambda: agents and agents[0].targets)
    return agents, received, client


@asyncio_test
async def test_watches_continue_from_the_received_version_on_one_connection():
    agent, received = await scripted([COMPLETE, DRAINING])
    await until(lambda: len(agent.targets) == 3)
    assert agent.targets[0] == PATH
    assert [target.split("?")[1].split("&")[0] for target in agent.targets[1:]] == [
        "index=5",
        "index=6",
    ]
    assert [(listed.version, listed.is_complete) for listed in received] == [(5, True), (6, False)]
    assert agent.connections == 1


@asyncio_test
async def test_silence_and_malformed_answers_lead_to_another_full_fetch():
    agent, received = await scripted(
        [None, b"junk", b"[]", {"seq": 5}, COMPLETE], answer_timeout_s=0.1
    )
    await until(lambda: received)
    assert agent.targets[:5] == [PATH] * 5


@asyncio_test
async def test_a_watch_that_was_rejected_twice_receives_a_drain_before_it_takes_effect():
    """The service sends the list and then rejects the watch, while an endpoint begins to drain."""
    agent, received = await scripted([COMPLETE, 503, 503, DRAINING], notification_deadline_s=10.0)
    started_at_s = time.monotonic()
    await until(lambda: len(received) == 2, within=60)
    assert received[1].version == 6
    assert agent.connections == 3
    assert time.monotonic() - started_at_s <= NOTIFICATION_DEADLINE_S + 1.0


@asyncio_test
async def test_a_moved_client_polls_the_new_agent_and_ignores_the_old_one():
    """Without ``move`` the client would stay with an agent that is about to shut down."""
    received: list[EndpointList] = []
    agents = [ScriptedAgent([{"seq": 5, "whole": True, "hosts": [entry(name)]}]) for name in "ab"]
    addresses = [await listen(lambda agent=agent: agent) for agent in agents]
    client = client_of(addresses[0], received.append)
    await until(lambda: len(agents[0].targets) == 2)
    client.move(addresses[1])
    agents[0].transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    await until(lambda: len(agents[1].targets) == 2)
    assert [listed.endpoints[0].entry.endpoint_id for listed in received] == [b"a", b"b"]
    # The same address: nothing to do.
    client.move(addresses[1])
    await asyncio.sleep(0.05)
    assert agents[1].connections == 1
    assert agents[0].connections == 1


@asyncio_test
async def test_a_client_in_backoff_moves_at_once():
    received: list[EndpointList] = []
    agent = ScriptedAgent([{"seq": 5, "whole": True, "hosts": []}])
    address = await listen(lambda: agent)
    client = client_of(("127.0.0.1", 1), received.append)
    await until(lambda: client.schedule.failures)
    client.move(address)
    await until(lambda: received)
    await asyncio.sleep(0.2)
    assert agent.connections == 1


@asyncio_test
async def test_an_answer_without_end_is_cut_off():
    received: list[EndpointList] = []
    agent = EndlessAgent([COMPLETE])
    client_of(await listen(lambda: agent), received.append, answer_timeout_s=60.0)
    await until(lambda: received)
    assert agent.connections == 2


@asyncio_test
async def test_after_a_rejection_the_client_polls_from_the_version_it_knows():
    agent, _ = await scripted([503, COMPLETE, 503, 503, DRAINING], notification_deadline_s=0.02)
    await until(lambda: len(agent.targets) == 6)
    assert [target.partition("?index=")[2].partition("&")[0] for target in agent.targets[:6]] == [
        *("", "", "5", "5", "5", "6")
    ]


@asyncio_test
async def test_a_registry_that_restarts_its_versions_is_fully_fetched():
    restarted = {"seq": 1, "whole": False, "hosts": []}
    agent, _ = await scripted([COMPLETE, 503, restarted, COMPLETE], notification_deadline_s=0.02)
    await until(lambda: len(agent.targets) == 5)
    assert [("index" in target) for target in agent.targets] == [False, True, True, False, True]


@asyncio_test
async def test_a_silent_watch_is_replaced_by_a_poll_that_receives_what_it_missed():
    """The watch's connection stays open and silent until the end of the test."""
    agents, received, _client = await manual(watch_s=0.05, pushed=True)
    agents[0].answer(COMPLETE)
    await until(lambda: len(agents) == 2 and agents[1].targets)
    assert agents[1].targets == [f"{PATH}?index=5&wait=0"]
    agents[1].answer(DRAINING)
    await until(lambda: len(received) == 2)
    assert received[1].endpoints[0].entry.state.name == "DRAINING"


@asyncio_test
async def test_a_silent_agent_is_polled_repeatedly_on_new_connections():
    """A poll must be in flight when it returns: repeated silence must not lengthen the delay."""
    agents, received, client = await manual(pushed=True, drain_grace_s=0.1)
    await until(lambda: len(agents) >= 6 and agents[-1].targets)
    assert client.schedule.span_after_loss() <= 0.1 / 4
    # The agent returns, and answers on the connection that is open then.
    while not received:
        agents[-1].answer(COMPLETE)
        await asyncio.sleep(0.005)
    assert received[0].version == 5


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 OK\r\nConnection: close\r\n", b"HTTP/1.0 200 OK\r\n"]
)
@pytest.mark.parametrize("has_length", [True, False])
@asyncio_test
async def test_a_complete_answer_counts_though_the_agent_closes_behind_it(head, has_length):
    agents, received, _client = await manual()
    agents[0].answer(COMPLETE, head, has_length)
    if not has_length:
        # Only the end of the connection says where the list ends.
        agents[0].transport.close()
    await until(lambda: len(agents) == 2 and agents[1].targets)
    assert [listed.version for listed in received] == [5]
    # The next connection continues the watch.
    assert agents[1].targets == [f"{PATH}?index=5&wait=2000"]
    agents[1].answer(DRAINING, head, has_length)
    if not has_length:
        agents[1].transport.close()
    await until(lambda: len(received) == 2)


@asyncio_test
async def test_an_answer_that_could_not_be_applied_is_refetched():
    """If its version were recorded before it is applied, the change would never be fetched again."""
    received: list[EndpointList] = []

    def notify(listed: EndpointList) -> None:
        received.append(listed)
        if len(received) == 2:
            raise ValueError("injected failure")

    agents, _, _client = await manual(notify)
    agents[0].answer(COMPLETE)
    await until(lambda: len(agents[0].targets) == 2)
    agents[0].answer(DRAINING)
    await until(lambda: len(agents) == 2 and agents[1].targets)
    assert agents[1].targets == [f"{PATH}?index=5&wait=0"]
    agents[1].answer(DRAINING)
    await until(lambda: len(received) == 3)
    assert received[2] == received[1]


@asyncio_test
async def test_a_connection_established_as_its_timeout_ends_carries_the_watch_or_is_replaced(
    monkeypatch,
):
    """Cancelled then, it was closed by the loop without a callback: the client waited for ever."""
    is_first = [True]
    made = DiscoveryConnection.connection_made

    def slow(connection: DiscoveryConnection, transport: asyncio.Transport) -> None:
        made(connection, transport)
        if is_first:
            is_first.clear()
            # The timeout is due before the loop reports that the connection is established.
            time.sleep(1.1)

    monkeypatch.setattr(DiscoveryConnection, "connection_made", slow)
    agents, received, _client = await manual(answer_timeout_s=0.5)
    while not received:
        agents[-1].answer(COMPLETE)
        await asyncio.sleep(0.02)
    await until(lambda: len(agents[-1].targets) >= 1)


@pytest.mark.parametrize(
    "order", list(itertools.permutations(("answer", "move", "timeout", "end")))
)
@asyncio_test
async def test_in_any_order_within_one_turn_the_client_continues_with_the_new_agent(order):
    """An answer, a reload that names another agent, a timeout and a lost connection."""
    _, received, client = await manual()
    others: list[ManualAgent] = []
    address = await listen(lambda: ManualAgent(others))
    connection = client.connection
    body = json.dumps(COMPLETE).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def time_out() -> None:
        client.schedule.timeout_at = client.loop.time()
        client.schedule.is_final_read = True
        client._advance()

    steps = {
        "answer": lambda: connection.data_received(answer),
        "move": lambda: client.move(address),
        "timeout": time_out,
        "end": lambda: (connection.connection_lost(None), connection.transport.abort()),
    }
    for name in order:
        steps[name]()
    await until(lambda: others and others[-1].targets)
    assert others[-1].targets[0].startswith(PATH)
    newer = {"seq": 9, "whole": True, "hosts": [entry("b")]}
    while not any(listed.version == 9 for listed in received):
        others[-1].answer(newer)
        await asyncio.sleep(0.01)
    # The old connection is ignored.
    connection.data_received(answer)
    assert received[-1].version == 9


@pytest.mark.parametrize(
    ("value", "expected_s"),
    [(b" 7 ", 7.0), (b"12345678", 123456.0), (b"Wed, 02 Dec 2026 10:00:00 GMT", 0.0), (b"-1", 0.0)],
)
def test_retry_after_is_read_in_seconds_and_a_date_is_ignored(value, expected_s):
    assert retry_after_seconds([(b"date", b"5"), (b"retry-after", value)]) == expected_s
