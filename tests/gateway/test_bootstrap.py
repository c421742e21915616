"""The program as a process: reload and shutdown; and the rate limit of its log."""

from __future__ import annotations

import asyncio
import json
import logging
import signal

from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint, value
from program_rig import started

from saffrongw.gateway.logging_setup import MAX_LINES_PER_WINDOW, RateLimitedLogFilter


@asyncio_test
async def test_sighup_reloads_file_without_closing_connections(tmp_path):
    """Without a handler SIGHUP would end the program; an invalid file must change nothing."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    process, connect, file = await started(endpoint, tmp_path)
    caller = await connect()
    caller.call(wait=10_000)
    await until(lambda: endpoint.commands)
    text = json.loads(file.read_text())
    polls = []

    class Agent(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            polls.append(data)

    server = await asyncio.get_running_loop().create_server(Agent, "127.0.0.1", 0)
    for wrong in (
        "{",
        "[]",
        json.dumps(text | {"settings": {}}),
        json.dumps(text | {"discovery": 7}),
    ):
        file.write_text(wrong)
        process.send_signal(signal.SIGHUP)
        caller.ask(b"PING")
        await asyncio.sleep(0.05)
    file.write_text(
        json.dumps(text | {"discovery": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"})
    )
    process.send_signal(signal.SIGHUP)
    await until(lambda: polls)
    endpoint.connections[0].transport.write(value(b"ok"))
    assert (await caller.replied(5)) == [b"ok"] + [b"PONG"] * 4
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 10) == 0


@asyncio_test
async def test_sigterm_finishes_requests_in_flight_and_serves_new_connections_for_a_while(tmp_path):
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    process, connect, _ = await started(endpoint, tmp_path)
    holder, idle, stuck = await connect(), await connect(), await connect()
    idle.ask(b"PING")
    await idle.replied()
    stuck.transport.write(b"*1\r\n$4\r\nPI")  # an incomplete command must not hold up the exit
    holder.call(wait=10_000, number=b"held")
    await until(lambda: endpoint.commands)
    fresh = (
        await connect()
    )  # idle so far, but about to send: closing it at SIGTERM would reset its request
    process.send_signal(signal.SIGTERM)
    await until(lambda: idle.closed)
    fresh.call(wait=10_000, number=b"fresh")
    late = await connect()
    late.call(wait=10_000, number=b"late")
    await until(lambda: len(endpoint.commands) == 3)
    for connection in endpoint.connections:
        connection.transport.write(value(b"ok"))
    assert await holder.replied() == await late.replied() == await fresh.replied() == [b"ok"]
    assert await asyncio.wait_for(process.wait(), 10) == 0
    assert holder.closed and late.closed


def test_log_is_rate_limited_and_counts_omitted_lines():
    bounded = RateLimitedLogFilter()
    lines = [
        logging.makeLogRecord({"msg": "text", "created": 100.0 + index / 1000})
        for index in range(200)
    ]
    assert sum(bounded.filter(line) for line in lines) == MAX_LINES_PER_WINDOW
    later = logging.makeLogRecord({"msg": "text", "created": 200.0})
    assert bounded.filter(later)
    assert later.msg == f"({200 - MAX_LINES_PER_WINDOW} lines left out before) text"
