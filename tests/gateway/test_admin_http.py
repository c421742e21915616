"""The operators' address over sockets: calls answered whatever others do, hosts out and back, drain, figures."""

from __future__ import annotations

import asyncio
import contextlib

import h11
from conftest import FakeHost, Rig, asyncio_test, error, until, value

from saffrongw.gateway.admin_http import server
from saffrongw.gateway.admin_http.handlers import AdminHandlers
from saffrongw.gateway.admin_http.server import OPEN_MOST, AdminServer


class Operators:
    """A rig with the operators' address, and calls to it."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.operations = AdminHandlers(rig.driver, rig.clients, rig.config)
        self.operations.serving = True
        self.calls = AdminServer(rig.loop, self.operations)
        self.calls.listen(("127.0.0.1", 0))
        self.address = self.calls.acceptor.listener.getsockname()

    async def raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*self.address[:2])
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def __call__(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        http = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method=method,
            target="/admin/" + path,
            headers=[("host", "x"), ("content-length", str(len(body)))],
        )
        sent = http.send(head) + (http.send(h11.Data(data=body)) if body else b"")
        http.receive_data(await self.raw(sent + http.send(h11.EndOfMessage())))
        http.receive_data(b"")
        response, text = http.next_event(), b""
        while isinstance(event := http.next_event(), h11.Data):
            text += event.data
        return response.status_code, text

    async def figures(self) -> dict[str, int]:
        status, text = await self("GET", "stats")
        assert status == 200
        pairs = [line.split("=") for line in text.decode().splitlines()]
        assert all(name.startswith("svc.") for name, _ in pairs)
        return {name.removeprefix("svc."): int(number) for name, number in pairs}


@asyncio_test
async def test_health_says_yes_once_it_can_serve():
    server = Operators(Rig(await FakeHost("a").listen()))
    server.operations.serving = False
    assert (await server("GET", "health"))[0] == 503
    server.operations.serving = True
    assert (await server("GET", "health"))[0] == 200


@asyncio_test
async def test_calls_that_make_no_sense_are_answered_no():
    server = Operators(Rig(await FakeHost("a").listen()))
    assert (await server("GET", "cordon", b"a"))[0] == 405
    assert (await server("POST", "health"))[0] == 405
    assert (await server("GET", "nothing"))[0] == 404
    for body in (b"", b"\xff", b"a b", b"x" * 200):
        assert (await server("POST", "cordon", body))[0] == 400
    assert (await server("POST", "cordon", b"x" * 300))[0] == 413
    assert (await server.raw(b"PING\r\n\r\n")).startswith(b"HTTP/1.1 400")
    assert (
        await server.raw(b"GET /admin/health HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 9000)
    ).startswith(b"HTTP/1.1 431")
    assert (await server("GET", "health"))[0] == 200


@asyncio_test
async def test_callers_with_half_a_call_or_nothing_hold_nobody_up(monkeypatch):
    server = Operators(Rig(await FakeHost("a").listen()))
    silent = [await asyncio.open_connection(*server.address[:2]) for _ in range(OPEN_MOST + 8)]
    for number, (_, writer) in enumerate(silent):
        if number % 2:
            writer.write(b"POST /admin/cordon HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\na")
    assert (await server("GET", "health"))[0] == 200
    assert len(server.calls.open) <= OPEN_MOST
    for reader, writer in silent:
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""  # closed by us, with no answer to half a call
        writer.close()
    await until(lambda: not server.calls.open and not server.calls.unheard)


@asyncio_test
async def test_a_call_in_single_bytes_and_one_that_waits_for_leave_to_go_on(monkeypatch):
    monkeypatch.setattr(server, "CALL_WITHIN", 30.0)
    calls = Operators(Rig(await FakeHost("a").listen()))
    reader, writer = await asyncio.open_connection(*calls.address[:2])
    for byte in b"POST /admin/cordon HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na\n":
        writer.write(bytes((byte,)))
        await asyncio.sleep(0)
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    assert list(calls.rig.driver.gateway.exclusions.sources) == [b"a"]
    reader, writer = await asyncio.open_connection(*calls.address[:2])
    head = b"POST /admin/uncordon HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n"
    writer.write(head)
    assert (await reader.readline()).startswith(b"HTTP/1.1 100")
    writer.write(b"a")
    assert b"HTTP/1.1 200" in await reader.read()


@asyncio_test
async def test_a_host_is_taken_out_and_put_back_by_hand():
    hosts = [await FakeHost(name).listen() for name in "ab"]
    rig = Rig(*hosts)
    server, caller = Operators(rig), await rig.caller()

    async def ask(first: int, count: int) -> None:
        for number in range(first, first + count):
            caller.call(number=b"%d" % number)
            await caller.replied(number + 1)

    await ask(0, 20)
    if not hosts[
        0
    ].commands:  # idle ones are all the same to the choice: the one that was used is meant
        hosts.reverse()
    used = hosts[0].name.encode()
    assert (await server("POST", "cordon", b"nobody"))[0] == 404
    assert (await server("POST", "uncordon", b"nobody"))[0] == 404
    assert (await server("POST", "cordon", used))[0] == 200
    assert (await server("POST", "cordon", used))[0] == 200
    await until(lambda: not hosts[0].connections)  # it is about to be restarted
    hosts[0].commands.clear()
    rig.told(hosts[0].line(health="DELETED"))
    assert (await server("POST", "cordon", used))[0] == 200  # gone, and still out
    rig.told(hosts[0].line())
    await ask(20, 20)
    assert not hosts[0].commands
    assert (await server.figures())["hosts_down"] == 1
    assert (await server("POST", "uncordon", used))[0] == 200
    await ask(40, 1)
    assert len(hosts[0].commands) == 1  # at once
    assert (await server.figures())["hosts_down"] == 0


@asyncio_test
async def test_a_drain_by_call_says_no_serves_what_comes_and_closes_what_is_idle():
    host = await FakeHost("a").listen()
    host.script = lambda command: None
    rig = Rig(host)
    server = Operators(rig)
    idle, busy = await rig.caller(), await rig.caller()
    idle.ask(b"PING")
    assert await idle.replied() == [b"PONG"]
    busy.call()
    await until(lambda: len(host.commands) == 1)
    assert (await server("POST", "quiesce"))[0] == 200
    await until(lambda: idle.closed)
    late = await rig.caller()
    late.ask(b"PING")
    assert error((await late.replied())[0]) == "ERR draining"
    await until(lambda: late.closed)
    late = await rig.caller()
    late.call(number=b"late")
    await until(lambda: len(host.commands) == 2)
    for connection in host.connections:
        connection.transport.write(value(b"x"))
    assert await late.replied() == await busy.replied() == [b"x"]
    await until(lambda: late.closed and busy.closed)
    assert (await server("POST", "resume"))[0] == 200
    again = await rig.caller()
    again.ask(b"PING")
    assert await again.replied() == [b"PONG"]
    await asyncio.sleep(0.05)
    assert not again.closed


@asyncio_test
async def test_figures_count_answers_by_class_attempts_and_what_is_open():
    host = await FakeHost("a").listen()
    replies = [value(b"1"), value(b"2"), b"-ERR failed\r\n", b"-ERR failed\r\n"]
    host.script = lambda command: None if command[2] == b"open" else replies.pop(0)
    rig = Rig(host)
    server, caller = Operators(rig), await rig.caller()
    before = await server.figures()
    assert set(before.values()) == {0, 1}  # one host is listed
    caller.call("read", number=b"1")
    caller.call("put", number=b"2")
    await caller.replied(2)
    caller.call("bill", number=b"3")
    await caller.replied(3)
    caller.call("read", number=b"open")
    await until(lambda: len(host.commands) == 4)
    now = await server.figures()
    assert [now[f"success.{name}"] for name in ("read", "put", "bill")] == [1, 1, 0]
    assert [now[f"failure.{name}"] for name in ("read", "put", "bill")] == [0, 0, 1]
    assert (now["backend_calls"], now["inflight"], now["hosts_listed"]) == (4, 1, 1)
    # The customer's quota is used up from here on.
    quota = rig.driver.gateway.quota_counters.customers[7]
    quota.limit = quota.spent_units = 1e9
    other = await rig.caller()
    other.call("bill", number=b"refused")
    assert error((await other.replied())[0]).startswith("BUSY")
    assert (await server.figures())["busy.bill"] == 1
