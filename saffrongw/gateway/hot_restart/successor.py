"""Both sides of an upgrade in service: what the running gateway gives, and how its successor takes it up."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Coroutine

from ...policy import state_transfer
from ...policy.events import EndpointEntry, EndpointId, EndpointState
from ..admin_http.handlers import AdminHandlers
from ..config import DiscoveredEndpoint, EndpointList
from ..downstream.listener import ClientConnections
from ..driver import Driver
from ..gossip_transport import GossipTransport
from ..upstream.cluster import UpstreamCluster
from .channel import (
    ANSWER_WITHIN,
    HandOverChannel,
    RunningProcess,
    find_running_process,
    packed,
    path_for,
)

log = logging.getLogger(__name__)

AT_ONCE = 256  # packets that wait before more is said
CHUNK = 4 * 1024  # bytes of a command in one packet, which may hold six times as many in JSON
BEGUN_MOST = 8 << 20  # bytes of a command that was begun, over all that are still to come


class PredecessorHandOver:
    """The running gateway's side."""

    def __init__(
        self,
        driver: Driver,
        hosts: UpstreamCluster,
        clients: ClientConnections,
        operations: AdminHandlers,
        peers: GossipTransport | None,
        accept_for: float,
    ) -> None:
        self.driver, self.hosts, self.clients = driver, hosts, clients
        self.operations, self.peers, self.accept_for = operations, peers, accept_for
        path = path_for(clients.config.listen)
        self.incumbent = (
            RunningProcess(driver.loop, path, self._greet, operations.told) if path else None
        )

    def listen(self) -> None:
        """Be found by a successor from now on."""
        if self.incumbent:
            self.incumbent.listen()
            self.operations.tell = self._tell

    def close(self) -> None:
        """Not found any more."""
        if self.incumbent:
            self.incumbent.close()

    @property
    def has_heir(self) -> bool:
        """Whether a successor can serve."""
        return self.incumbent is not None and self.incumbent.ready

    def _tell(self, *message) -> None:
        if self.incumbent.channel:
            self.incumbent.channel.tell(*message)

    def _greet(self, channel: HandOverChannel) -> None:
        """All that a successor needs to get ready, while nothing changes hands yet."""
        fds = [self.clients.acceptor.listener.fileno()]
        if self.peers:
            fds.append(self.peers.sock.fileno())
        channel.tell("sockets", len(fds), fds=tuple(fds))
        gateway = self.driver.gateway
        for rows in packed(_listed(gateway.endpoints.by_id.values(), self.hosts)):
            channel.tell("listed", rows)
        for rows in packed(state_transfer.exclusions(gateway)):
            channel.tell("rows", rows)
        channel.tell("quiesced", self.clients.shutdown.is_draining)
        channel.tell("greeted")

    async def hand_over(self) -> None:
        """The successor serves from now on; here what is held is finished. Without one it is an ordinary end."""
        incumbent, channel = self.incumbent, self.incumbent.channel
        self.clients.shutdown.start_countdown()
        incumbent.stop_listening()
        if self.peers:
            self.peers.close()
        if await self._say_go(channel):
            self.hosts.hand_over(self._give_host)
            self.clients.shutdown.hand_over(self._give_client)
            await either(self.clients.shutdown.finish(), incumbent.lost.wait())
        if not incumbent.lost.is_set():
            await _sent(channel)
            return
        log.warning("takeover: the successor was lost")
        self.driver.gateway.handed_over, self.hosts.give_to_successor = False, None
        self.clients.shutdown.take_back()
        await self.clients.shutdown.drain(self.accept_for)

    async def _say_go(self, channel: HandOverChannel) -> bool:
        """All counts, and then the word; False where nobody takes them."""
        for rows in packed(state_transfer.export(self.driver.gateway)):
            channel.tell("rows", rows)
            if len(channel.waiting) >= AT_ONCE and not await _sent(
                channel
            ):  # more than the queue holds
                break
        if not channel.tell("go") or not channel.open:
            channel.end()
        return channel.open

    def _give_client(self, fd: int, begun: bytes) -> bool:
        channel = self.incumbent.channel
        if channel is None or not channel.tell("client", len(begun), fds=(fd,)):
            # The successor was lost: closed in order, at least.
            self.clients.shutdown.is_draining = True
            return False
        for at in range(0, len(begun), CHUNK):
            channel.tell("begun", begun[at : at + CHUNK].decode("latin-1"))
        return True

    def _give_host(self, server: EndpointId, born: int, fd: int) -> bool:
        channel = self.incumbent.channel
        return channel is not None and channel.tell(
            "host", state_transfer.endpoint_id_to_text(server), born, fds=(fd,)
        )


async def _sent(channel: HandOverChannel) -> bool:
    """Whether all is on its way. Guards the end: a successor that stands still takes nothing, for ever."""
    try:
        async with asyncio.timeout(ANSWER_WITHIN):
            await channel.sent()
    except TimeoutError:
        channel.end()
    return channel.open


async def either(*ways: Coroutine) -> None:
    """Wait for the first of them."""
    waits = [asyncio.ensure_future(way) for way in ways]
    done, late = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in late:
        wait.cancel()
    for wait in done:
        wait.result()  # what went wrong there


def _listed(hosts, pools: UpstreamCluster):
    """The list of hosts as rows: as discovery tells it, and where to connect."""
    for host in hosts:
        entry, pool = host.entry, pools.pools.get(host.entry.endpoint_id)
        if pool:
            place = [
                state_transfer.endpoint_id_to_text(entry.endpoint_id),
                entry.state.value,
                entry.zone,
                entry.cell,
            ]
            yield [*place, pool.started_at_us, entry.size, *pool.address]


class SuccessorHandOver:
    """The successor's side."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.listener: socket.socket | None = None
        self.peers: socket.socket | None = None
        self.hosts: list[DiscoveredEndpoint] = []
        self.rows: list[list] = []  # until the decisions are there to take them
        self.notes: list[list] = []  # and what operators asked of the other process
        self.greeted, self.go = asyncio.Event(), asyncio.Event()
        self.lost = self.replaced = False
        self.parts: tuple[Driver, UpstreamCluster, ClientConnections, AdminHandlers] | None = None
        self.begun: tuple[socket.socket, int, bytearray] | None = (
            None  # a client's connection still to come
        )
        self.adopted: list[tuple] = []  # connections that came before this process listens
        self.serving = False
        self.channel = HandOverChannel(loop, sock, self._told, self._lost)

    @classmethod
    async def of(
        cls, loop: asyncio.AbstractEventLoop, listen: tuple[str, int]
    ) -> SuccessorHandOver | None:
        """What the running process gives; None where there is none that answers."""
        sock = await find_running_process(loop, path_for(listen))
        if sock is None:
            return None
        found = cls(loop, sock)
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                await found.greeted.wait()
        except TimeoutError:
            log.warning("takeover: the running process did not answer")
        if found.lost or not found.greeted.is_set():
            found.close()
            return None
        return found

    def _lost(self) -> None:
        self.lost = True
        self.greeted.set()
        self.go.set()  # it is gone: nobody else serves

    @property
    def falls_to_us(self) -> bool:
        """Whether this process is the one to serve, even where it is told to end: nobody else does."""
        return self.go.is_set() and not self.replaced

    @property
    def listed(self) -> EndpointList | None:
        """The list as the running process has it."""
        return EndpointList(0, True, tuple(self.hosts)) if self.hosts else None

    def attach(
        self,
        driver: Driver,
        hosts: UpstreamCluster,
        clients: ClientConnections,
        operations: AdminHandlers,
    ) -> None:
        """The parts are there: take over what was told so far, and all that follows."""
        self.parts = driver, hosts, clients, operations
        rows, self.rows = self.rows, []
        self._adopt(rows)
        for note in self.notes:
            operations.told(note)
        operations.tell = self.channel.tell
        self.channel.tell("ready")

    def serve(self) -> None:
        """This process listens: connections that came before are served."""
        self.serving = True
        adopted, self.adopted = self.adopted, []
        for method, *args in adopted:
            method(*args)

    def close(self) -> None:
        """Nothing more is taken; where it never came to serve, the running process goes on."""
        self.channel.close()
        for sock in (self.listener, self.peers):
            if sock and not self.serving:
                sock.close()

    def _told(self, message: list, sockets: list[socket.socket]) -> None:
        kind = message[0]
        if kind == "sockets":
            self.listener, *rest = sockets
            self.peers = rest[0] if rest else None
        elif kind == "listed":
            self.hosts += [_entry(row) for row in message[1]]
        elif kind == "rows":
            if self.parts:
                self._adopt(message[1])
            else:
                self.rows += message[1]
        elif kind == "greeted":
            self.greeted.set()
        elif kind == "go":
            self.go.set()
        elif kind == "replaced":
            log.warning("takeover: another successor has come, this one ends")
            self.replaced = True
        elif kind == "client":
            (sock,) = sockets
            self.begun = sock, int(message[1]), bytearray()
            self._client()
        elif kind == "begun":
            self.begun[2].extend(message[1].encode("latin-1"))
            self._client()
        elif kind == "host":
            (sock,) = sockets
            self._when_serving(
                self.parts[1].adopt, state_transfer.endpoint_id_from_text(message[1]), int(message[2]), sock
            )
        elif self.parts:
            self.parts[3].told(message)
        else:
            self.notes.append(message)

    def _client(self) -> None:
        sock, length, begun = self.begun
        if length > BEGUN_MOST:
            self.begun = None
            raise ValueError("a command that was begun is too long")
        if len(begun) >= length:
            self.begun = None
            self._when_serving(self.parts[2].adopt, sock, bytes(begun))

    def _when_serving(self, method, *args) -> None:
        if self.serving:
            method(*args)
        else:
            self.adopted.append((method, *args))

    def _adopt(self, rows: list) -> None:
        driver = self.parts[0]
        for row in rows:
            try:
                state_transfer.adopt(driver.gateway, driver.clock(), row)
            except state_transfer.MalformedRowError as odd:  # the others stand
                log.warning("takeover: a row is left out: %s", odd)


def _entry(row: list) -> DiscoveredEndpoint:
    server, phase, zone, cell, born, size, host, port = row
    entry = EndpointEntry(
        state_transfer.endpoint_id_from_text(str(server)),
        EndpointState(phase),
        int(zone),
        int(cell),
        int(born),
        float(size),
    )
    return DiscoveredEndpoint(entry, (str(host), int(port)))
