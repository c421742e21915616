"""The TCP and UDP relays: forwarding, the effect of each fault, and clean-up."""

from __future__ import annotations

import asyncio
import socket

import pytest
from async_testing import asyncio_test, until

from testbed.model.clock import Clock, Heartbeat
from testbed.net.relay import TcpFault, TcpRelay, UdpRelay, Way, reset


class Peer(asyncio.Protocol):
    """One end of a connection: keeps the received pieces and the error at its end; answers with ``echo``, if set."""

    def __init__(self, echo: bytes | None = None) -> None:
        self.echo, self.pieces, self.ended, self.error = echo, [], False, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.pieces.append(data)
        if self.echo is not None:
            self.transport.write(self.echo)

    def connection_lost(self, error) -> None:
        self.ended, self.error = True, error

    @property
    def got(self) -> bytes:
        return b"".join(self.pieces)


class Wire:
    """A relay in front of a target that keeps its peers."""

    async def open(self, echo: bytes | None = None) -> Wire:
        self.loop, self.peers = asyncio.get_running_loop(), []

        def peer() -> Peer:
            self.peers.append(Peer(echo))
            return self.peers[-1]

        self.server = await self.loop.create_server(peer, "127.0.0.1", 0)
        self.relay = TcpRelay(Clock(), lambda: self.server.sockets[0].getsockname(), "seed")
        return self

    async def call(self) -> Peer:
        async with asyncio.timeout(0.5):
            _, caller = await self.loop.create_connection(Peer, *self.relay.address)
        return caller


@asyncio_test
async def test_bytes_and_closes_are_relayed_in_both_directions():
    wire = await Wire().open(echo=b"back")
    caller = await wire.call()
    caller.transport.write(b"there")
    await until(lambda: caller.got == b"back")
    assert wire.peers[0].got == b"there"
    caller.transport.close()
    await until(lambda: wire.peers[0].ended)
    await until(lambda: not wire.relay.sessions and not wire.relay.by_port)


@asyncio_test
async def test_the_relay_records_the_arrival_time_of_each_byte():
    wire = await Wire().open()
    caller = await wire.call()
    caller.transport.write(b"ab")
    await until(lambda: wire.peers and wire.peers[0].got == b"ab")
    between = wire.relay.clock()
    await asyncio.sleep(0.01)
    caller.transport.write(b"cd")
    await until(lambda: wire.peers[0].got == b"abcd")
    (session,) = wire.relay.sessions
    assert session.port == wire.peers[0].transport.get_extra_info("peername")[1]
    assert session.arrived_at(0) == session.arrived_at(1) <= between < session.arrived_at(2)
    assert session.arrived_at(4) is None


@asyncio_test
async def test_the_refuse_fault_refuses_connections_and_keeps_the_port():
    wire = await Wire().open()
    caller = await wire.call()
    wire.relay.set(TcpFault("refuse"))
    await until(lambda: caller.ended)
    with pytest.raises(ConnectionRefusedError):
        await wire.call()
    wire.relay.set(None)
    await wire.call()


@asyncio_test
async def test_a_retired_address_stays_reserved_until_the_relay_is_closed():
    """A freed port could be taken by a host of another run, whose values were then served by gateways of this run."""
    wire = await Wire().open()
    caller = await wire.call()
    wire.relay.retire()
    await until(lambda: caller.ended)
    with pytest.raises(ConnectionRefusedError):
        await wire.call()
    # Without SO_REUSEPORT, a port in use cannot be bound.
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(wire.relay.address)
    wire.relay.close()
    with socket.socket() as other:
        # The closed connection may still be in TIME_WAIT.
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind(wire.relay.address)


@asyncio_test
async def test_the_silent_fault_blocks_bytes_and_connections_and_ends_with_resets():
    wire = await Wire().open(echo=b"back")
    caller = await wire.call()
    caller.transport.write(b"x")
    await until(lambda: caller.got == b"back")
    wire.relay.set(TcpFault("silent"))
    caller.transport.write(b"y")
    with pytest.raises(TimeoutError):
        await wire.call()
    assert not caller.ended
    assert wire.peers[0].got == b"x"
    wire.relay.set(None)
    await until(lambda: caller.ended)
    again = await wire.call()
    again.transport.write(b"z")
    await until(lambda: again.got == b"back")
    assert wire.peers[0].got == b"x"  # bytes sent during the fault are lost


@asyncio_test
async def test_reset_before_resets_before_the_last_byte_of_the_request():
    wire = await Wire().open(echo=b"back")
    wire.relay.set(TcpFault("reset_before"))
    caller = await wire.call()
    caller.transport.write(b"request")
    await until(lambda: caller.ended)
    assert caller.got == b""
    assert wire.peers[0].got in (b"", b"req")


@asyncio_test
async def test_reset_after_resets_after_the_whole_request_and_before_the_answer():
    wire = await Wire().open(echo=b"back")
    wire.relay.set(TcpFault("reset_after"))
    caller = await wire.call()
    caller.transport.write(b"request")
    await until(lambda: caller.ended)
    assert wire.peers[0].got == b"request"
    assert caller.got == b""


@asyncio_test
async def test_the_split_fault_sends_bytes_separately():
    wire = await Wire().open()
    wire.relay.set(TcpFault("split"))
    caller = await wire.call()
    caller.transport.write(b"0123456789")
    await until(lambda: wire.peers and wire.peers[0].got == b"0123456789")
    assert len(wire.peers[0].pieces) > 3


@asyncio_test
async def test_ending_the_throttle_fault_loses_and_reorders_no_bytes():
    wire = await Wire().open()
    wire.relay.set(TcpFault("throttle", bytes_per_s=2000))
    caller = await wire.call()
    text = bytes(range(256)) * 4
    caller.transport.write(text)
    await until(lambda: wire.peers and 0 < len(wire.peers[0].got) < len(text))
    wire.relay.set(None)
    caller.transport.write(b"end")
    await until(lambda: wire.peers[0].got == text + b"end")


@asyncio_test
async def test_the_delay_fault_delays_bytes():
    wire = await Wire().open()
    wire.relay.set(TcpFault("delay", delay=0.2))
    caller = await wire.call()
    began = wire.loop.time()
    caller.transport.write(b"x")
    await until(lambda: wire.peers and wire.peers[0].got)
    assert wire.loop.time() - began >= 0.19


@asyncio_test
async def test_a_relay_without_a_target_resets_connections():
    relay = TcpRelay(Clock(), lambda: None, "seed")
    _, caller = await asyncio.get_running_loop().create_connection(Peer, *relay.address)
    await until(lambda: caller.ended)


@asyncio_test
async def test_reset_ends_the_connection():
    wire = await Wire().open()
    caller = await wire.call()
    caller.transport.write(b"x")
    await until(lambda: wire.peers and wire.peers[0].got)
    reset(wire.peers[0].transport)
    await until(lambda: caller.ended)


class Net:
    """Three sockets behind a UDP relay."""

    async def open(self, **way) -> Net:
        self.socks = []
        for _ in range(3):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", 0))
            self.socks.append(sock)
        self.relay = UdpRelay(
            [s.getsockname() for s in self.socks], "seed", Way(**({"delay": (0, 0)} | way))
        )
        await self.relay.open()
        return self

    def send(self, a: int, b: int | None, body: bytes) -> None:
        self.socks[a].sendto(body, self.relay.address(a, b))

    def take(self, b: int) -> list[tuple[bytes, tuple]]:
        found = []
        while True:
            try:
                found.append(self.socks[b].recvfrom(2048))
            except BlockingIOError:
                return found


@asyncio_test
async def test_a_datagram_arrives_from_the_address_under_which_its_receiver_knows_the_sender():
    net = await Net().open()
    net.send(0, 1, b"hello")
    await until(lambda: net.relay.counts["passed"] == 1)
    await asyncio.sleep(0.02)
    assert net.take(1) == [(b"hello", net.relay.address(1, 0))]
    assert net.take(2) == []


@asyncio_test
async def test_the_shared_address_reaches_all_peers():
    net = await Net().open()
    net.send(0, None, b"all")
    await until(lambda: net.relay.counts["passed"] == 2)
    await asyncio.sleep(0.02)
    assert [len(net.take(n)) for n in range(3)] == [0, 1, 1]


@asyncio_test
async def test_a_cut_of_one_direction_leaves_the_other_open():
    net = await Net().open()
    net.relay.ways[0, 1].cut = True
    net.send(0, 1, b"lost")
    net.send(1, 0, b"comes")
    await until(lambda: net.relay.counts["cut"] == 1 and net.relay.counts["passed"] == 1)
    await asyncio.sleep(0.02)
    assert net.take(1) == []
    assert net.take(0)[0][0] == b"comes"


@asyncio_test
async def test_datagrams_are_lost_duplicated_and_reordered_by_chance():
    net = await Net().open(loss=0.3, double=0.3, reorder=0.3, delay=(0.001, 0.003))
    for number in range(200):
        net.send(0, 1, b"%d" % number)
        await asyncio.sleep(0)
    await until(
        lambda: (
            net.relay.counts["lost"] + net.relay.counts["passed"] - net.relay.counts["doubled"]
            == 200
        )
    )
    await asyncio.sleep(0.05)
    came = [int(body) for body, _ in net.take(1)]
    assert 0 < net.relay.counts["lost"] < 200
    assert len(came) != len(set(came))
    assert came != sorted(came)


@asyncio_test
async def test_datagrams_of_unknown_senders_are_dropped_and_long_ones_counted():
    net = await Net().open()
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger.sendto(b"x", net.relay.address(0, 1))
    net.send(0, 1, b"y" * 300)
    await until(lambda: net.relay.counts["passed"] == 1)
    assert net.relay.counts["long"] == 1


@asyncio_test
async def test_the_heartbeat_reports_that_this_process_was_blocked():
    import time

    noted = []
    clock = Clock()
    heart = asyncio.ensure_future(Heartbeat(clock, lambda at, end: noted.append(end - at)).run())
    await asyncio.sleep(0.05)
    time.sleep(0.2)
    await until(lambda: noted)
    heart.cancel()
    assert max(noted) >= 190_000
