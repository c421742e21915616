"""Unfavourable interleavings of events at the program's start and end, over real connections."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys

from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint
from program_rig import configured, started

from testbed.runner.processes import die_with_parent


@asyncio_test
async def test_process_ends_in_time_with_busy_client_and_hanging_endpoint(tmp_path):
    """SIGKILL comes 3.7 s after SIGTERM; by then all requests have replies and the process exited."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    process, connect, _ = await started(endpoint, tmp_path)
    caller = await connect()
    caller.call("bill", wait=60_000, number=b"held")
    await until(lambda: endpoint.commands)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)  # reloads while draining
    process.send_signal(signal.SIGTERM)
    sent = 0
    while not caller.closed and sent < 2_000:
        caller.call(wait=60_000, number=b"more%d" % sent)
        sent += 1
        await asyncio.sleep(0.02)
    assert await asyncio.wait_for(process.wait(), 10) == 0
    assert len(caller.replies) <= 1 + sent
    assert error(caller.replies[0]) == "ERR failed"
    replies = [error(reply) for reply in caller.replies]
    assert replies.count("BUSY") > 50 and set(replies) <= {"BUSY", "ERR failed"}
    assert replies[-1] == "BUSY"  # late requests were rejected at once


def has_reader(pipe) -> bool:
    """Return whether a process has the pipe open for reading."""
    try:
        os.close(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
    except OSError:
        return False
    return True


@asyncio_test
async def test_sighup_between_reading_file_and_starting_discovery_is_handled(tmp_path):
    """The file is a pipe, so the test knows when the program has read it; no handler is set by then."""
    endpoint = await FakeEndpoint("a").listen()
    file, port = configured(tmp_path)
    text = json.loads(file.read_text())
    file.unlink()
    os.mkfifo(file)
    polls = []

    class Agent(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            polls.append(data)

    loop = asyncio.get_running_loop()
    server = await loop.create_server(Agent, "127.0.0.1", 0)
    # So many endpoints that the program is still processing them when the signal arrives.
    known = {"seq": 1, "whole": True, "hosts": [endpoint.line(host=f"s{n}") for n in range(20_000)]}
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "saffrongw"),
        env=os.environ | {"LB_CONFIG": str(file)},
        preexec_fn=die_with_parent,
    )
    await asyncio.to_thread(file.write_text, json.dumps(text | {"known": known}))
    await until(lambda: not has_reader(file))
    process.send_signal(signal.SIGHUP)
    new_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    rewrite = asyncio.create_task(
        asyncio.to_thread(
            file.write_text, json.dumps(text | {"known": known, "discovery": new_address})
        )
    )
    try:
        await until(lambda: polls)
    finally:
        if not rewrite.done():  # the program did not read the file again: unblock the writer
            os.close(os.open(file, os.O_RDONLY | os.O_NONBLOCK))
        process.terminate()
        await process.wait()
        await rewrite
    assert port
