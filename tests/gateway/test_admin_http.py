"""The operators' HTTP address over sockets: bounded callers, exclusion, draining, metrics."""

from __future__ import annotations

import asyncio
import contextlib

import h11
from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.admin_http import server as admin_server
from saffrongw.gateway.admin_http.handlers import AdminHandlers
from saffrongw.gateway.admin_http.server import MAX_CONNECTIONS, AdminServer


class AdminRig:
    """A gateway on loopback sockets with its operators' address, and calls to it."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.handlers = AdminHandlers(rig.driver, rig.clients, rig.config)
        self.handlers.is_serving = True
        self.server = AdminServer(rig.loop, self.handlers)
        self.server.listen(("127.0.0.1", 0))
        self.address = self.server.acceptor.listener.getsockname()

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

    async def metrics(self) -> dict[str, int]:
        status, text = await self("GET", "stats")
        assert status == 200
        pairs = [line.split("=") for line in text.decode().splitlines()]
        assert all(name.startswith("svc.") for name, _ in pairs)
        return {name.removeprefix("svc."): int(number) for name, number in pairs}


@asyncio_test
async def test_health_answers_200_only_while_the_process_can_serve():
    admin = AdminRig(Rig(await FakeEndpoint("a").listen()))
    admin.handlers.is_serving = False
    assert (await admin("GET", "health"))[0] == 503
    admin.handlers.is_serving = True
    assert (await admin("GET", "health"))[0] == 200


@asyncio_test
async def test_malformed_calls_are_answered_with_a_4xx_status():
    admin = AdminRig(Rig(await FakeEndpoint("a").listen()))
    assert (await admin("GET", "cordon", b"a"))[0] == 405
    assert (await admin("POST", "health"))[0] == 405
    assert (await admin("GET", "nothing"))[0] == 404
    for body in (b"", b"\xff", b"a b", b"x" * 200):
        assert (await admin("POST", "cordon", body))[0] == 400
    assert (await admin("POST", "cordon", b"x" * 300))[0] == 413
    assert (await admin.raw(b"PING\r\n\r\n")).startswith(b"HTTP/1.1 400")
    assert (
        await admin.raw(b"GET /admin/health HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 9000)
    ).startswith(b"HTTP/1.1 431")
    assert (await admin("GET", "health"))[0] == 200


@asyncio_test
async def test_callers_with_an_incomplete_call_or_none_do_not_block_others(monkeypatch):
    admin = AdminRig(Rig(await FakeEndpoint("a").listen()))
    silent = [await asyncio.open_connection(*admin.address[:2]) for _ in range(MAX_CONNECTIONS + 8)]
    for number, (_, writer) in enumerate(silent):
        if number % 2:
            writer.write(b"POST /admin/cordon HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\na")
    assert (await admin("GET", "health"))[0] == 200
    assert len(admin.server.connections) <= MAX_CONNECTIONS
    for reader, writer in silent:
        with contextlib.suppress(ConnectionResetError):
            # Closed by the server, with no answer to an incomplete call.
            assert await reader.read() == b""
        writer.close()
    await until(lambda: not admin.server.connections and not admin.server.incomplete)


@asyncio_test
async def test_a_call_in_single_bytes_and_one_with_expect_100_continue_are_answered(monkeypatch):
    monkeypatch.setattr(admin_server, "CALL_TIMEOUT_S", 30.0)
    admin = AdminRig(Rig(await FakeEndpoint("a").listen()))
    reader, writer = await asyncio.open_connection(*admin.address[:2])
    for byte in b"POST /admin/cordon HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na\n":
        writer.write(bytes((byte,)))
        await asyncio.sleep(0)
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    assert list(admin.rig.driver.gateway.exclusions.sources) == [b"a"]
    reader, writer = await asyncio.open_connection(*admin.address[:2])
    writer.write(
        b"POST /admin/uncordon HTTP/1.1\r\nhost: x\r\n"
        b"expect: 100-continue\r\ncontent-length: 1\r\n\r\n"
    )
    assert (await reader.readline()).startswith(b"HTTP/1.1 100")
    writer.write(b"a")
    assert b"HTTP/1.1 200" in await reader.read()


@asyncio_test
async def test_an_excluded_endpoint_gets_no_request_until_it_is_readmitted():
    endpoints = [await FakeEndpoint(name).listen() for name in "ab"]
    rig = Rig(*endpoints)
    admin, caller = AdminRig(rig), await rig.caller()

    async def send(first: int, count: int) -> None:
        for number in range(first, first + count):
            caller.call(number=b"%d" % number)
            await caller.replied(number + 1)

    await send(0, 20)
    # The load balancer uses either of two idle endpoints: the one that was used is excluded.
    if not endpoints[0].commands:
        endpoints.reverse()
    used = endpoints[0].name.encode()
    assert (await admin("POST", "cordon", b"nobody"))[0] == 404
    assert (await admin("POST", "uncordon", b"nobody"))[0] == 404
    assert (await admin("POST", "cordon", used))[0] == 200
    assert (await admin("POST", "cordon", used))[0] == 200
    # Exclusion closes its idle connections.
    await until(lambda: not endpoints[0].connections)
    endpoints[0].commands.clear()
    rig.update_endpoints(endpoints[0].line(health="DELETED"))
    # It is not listed any more, and still excluded.
    assert (await admin("POST", "cordon", used))[0] == 200
    rig.update_endpoints(endpoints[0].line())
    await send(20, 20)
    assert not endpoints[0].commands
    assert (await admin.metrics())["hosts_down"] == 1
    assert (await admin("POST", "uncordon", used))[0] == 200
    await send(40, 1)
    # Once readmitted, it gets the next request.
    assert len(endpoints[0].commands) == 1
    assert (await admin.metrics())["hosts_down"] == 0


@asyncio_test
async def test_draining_fails_ping_serves_new_requests_and_closes_idle_connections():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    admin = AdminRig(rig)
    idle, busy = await rig.caller(), await rig.caller()
    idle.ask(b"PING")
    assert await idle.replied() == [b"PONG"]
    busy.call()
    await until(lambda: len(endpoint.commands) == 1)
    assert (await admin("POST", "quiesce"))[0] == 200
    await until(lambda: idle.closed)
    late = await rig.caller()
    late.ask(b"PING")
    assert error((await late.replied())[0]) == "ERR draining"
    await until(lambda: late.closed)
    late = await rig.caller()
    late.call(number=b"late")
    await until(lambda: len(endpoint.commands) == 2)
    for connection in endpoint.connections:
        connection.transport.write(value(b"x"))
    assert await late.replied() == await busy.replied() == [b"x"]
    await until(lambda: late.closed and busy.closed)
    assert (await admin("POST", "resume"))[0] == 200
    again = await rig.caller()
    again.ask(b"PING")
    assert await again.replied() == [b"PONG"]
    await asyncio.sleep(0.05)
    assert not again.closed


@asyncio_test
async def test_extensions_are_told_of_draining_that_another_process_was_called_to_start_or_end():
    """A gateway quiesced during a hot restart kept its leases in the process that was not called."""
    rig = Rig(await FakeEndpoint("a").listen())
    admin = AdminRig(rig)
    notified: list[bool] = []
    admin.handlers.draining_listeners = (notified.append,)
    # A predecessor that does not drain says so to each new successor.
    admin.handlers.relay.receive_from_predecessor(["quiesced", False])
    assert notified == []
    admin.handlers.relay.receive_from_predecessor(["quiesced", True])
    assert notified == [True]
    admin.handlers.relay.receive_from_successor(["quiesced", False])
    assert notified == [True, False]
    assert not rig.clients.shutdown.is_draining


@asyncio_test
async def test_resume_does_not_undo_the_draining_of_a_process_that_is_ending():
    """Clients stayed connected to a process until it ended, and its leases were acquired again."""
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None
    rig = Rig(endpoint)
    admin = AdminRig(rig)
    notified: list[bool] = []
    admin.handlers.draining_listeners = (notified.append,)
    busy = await rig.caller()
    busy.call()
    await until(lambda: endpoint.commands)
    drained = rig.loop.create_task(rig.clients.shutdown.drain(0.0))
    await until(lambda: rig.clients.shutdown.is_draining)
    assert (await admin("POST", "resume"))[0] == 200
    assert notified == []
    busy.ask(b"PING")
    endpoint.connections[0].transport.write(value(b"x"))
    replies = await busy.replied(2)
    assert (replies[0], error(replies[1])) == (b"x", "ERR draining")
    await drained


@asyncio_test
async def test_stats_count_answers_by_class_attempts_and_requests_in_flight():
    endpoint = await FakeEndpoint("a").listen()
    replies = [value(b"1"), value(b"2"), b"-ERR failed\r\n", b"-ERR failed\r\n"]
    endpoint.script = lambda command: None if command[2] == b"open" else replies.pop(0)
    rig = Rig(endpoint)
    admin, caller = AdminRig(rig), await rig.caller()
    before = await admin.metrics()
    assert set(before.values()) == {0, 1}  # one endpoint is listed
    caller.call("read", number=b"1")
    caller.call("put", number=b"2")
    await caller.replied(2)
    caller.call("bill", number=b"3")
    await caller.replied(3)
    caller.call("read", number=b"open")
    await until(lambda: len(endpoint.commands) == 4)
    now = await admin.metrics()
    assert [now[f"success.{name}"] for name in ("read", "put", "bill")] == [1, 1, 0]
    assert [now[f"failure.{name}"] for name in ("read", "put", "bill")] == [0, 0, 1]
    assert (now["backend_calls"], now["inflight"], now["hosts_listed"]) == (4, 1, 1)
    # The customer's quota is used up from here on.
    quota = rig.driver.gateway.quota_counters.customers[7]
    quota.limit = quota.spent_units = 1e9
    other = await rig.caller()
    other.call("bill", number=b"refused")
    assert error((await other.replied())[0]).startswith("BUSY")
    assert (await admin.metrics())["busy.bill"] == 1
