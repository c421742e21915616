"""The new process's side of a hot restart: receives sockets, state and connections."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial

from ...policy import state_transfer
from ..config import Address, DiscoveredEndpoint, EndpointList
from .channel import ANSWER_TIMEOUT_S, HandOverChannel, connect_to_running_process, socket_path
from .messages import (
    MalformedMessageError,
    Message,
    MessageKind,
    decode_bytes,
    decode_endpoint,
    decode_length,
    decode_remembered,
    decode_rows,
    decode_upstream,
    decode_waited_us,
)
from .parts import GatewayParts
from .waiting import wait_for_first

log = logging.getLogger(__name__)

# Maximum length of a partial command: no client can have sent a longer one.
MAX_PARTIAL_COMMAND_BYTES = 8 << 20


class _IncomingClient:
    """A client's connection whose partial command has not arrived in full."""

    def __init__(self, sock: socket.socket, expected_bytes: int, waited_us: int) -> None:
        self.sock = sock
        self.expected_bytes = expected_bytes
        self.waited_us = waited_us
        self.partial_command = bytearray()


class SuccessorHandOver:
    """Receives sockets, endpoints, state and connections; knows when this process must serve."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Start receiving; messages that need the gateway's parts are kept until ``attach``."""
        self.loop = loop
        self.listener: socket.socket | None = None
        self.gossip_socket: socket.socket | None = None
        self.endpoints: list[DiscoveredEndpoint] = []
        self.pending_state_rows: list[list] = []
        self.pending_admin_messages: list[Message] = []
        self.greeted = asyncio.Event()
        self.take_over = asyncio.Event()
        self.is_running_process_lost = False
        self.is_replaced = False
        self.parts: GatewayParts | None = None
        self.incoming_client: _IncomingClient | None = None
        # Adoptions of connections that arrived before this process listens.
        self.pending_adoptions: list[Callable[[], None]] = []
        self.is_serving = False
        self._receivers: dict[str, Callable[[Message, list[socket.socket]], None]] = {
            MessageKind.SOCKETS: self._receive_sockets,
            MessageKind.ENDPOINTS: self._receive_endpoints,
            MessageKind.STATE_ROWS: self._receive_state_rows,
            MessageKind.RECENT_REQUESTS: self._receive_recent_requests,
            MessageKind.GREETED: lambda _message, _sockets: self.greeted.set(),
            MessageKind.GO: lambda _message, _sockets: self.take_over.set(),
            MessageKind.REPLACED: self._receive_replaced,
            MessageKind.CLIENT: self._receive_client,
            MessageKind.PARTIAL_COMMAND: self._receive_partial_command,
            MessageKind.UPSTREAM: self._receive_upstream,
        }
        self.channel = HandOverChannel(loop, sock, self._receive, self._on_running_process_lost)

    @classmethod
    async def connect(
        cls, loop: asyncio.AbstractEventLoop, listen: Address
    ) -> SuccessorHandOver | None:
        """Connect to the process that serves an address; None if none answers in time."""
        sock = await connect_to_running_process(loop, socket_path(listen))
        if sock is None:
            return None
        hand_over = cls(loop, sock)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await hand_over.greeted.wait()
        except TimeoutError:
            log.warning(
                "hot_restart: running process did not answer: timeout_s=%s", ANSWER_TIMEOUT_S
            )
        if hand_over.is_running_process_lost or not hand_over.greeted.is_set():
            hand_over.close()
            return None
        return hand_over

    def _on_running_process_lost(self) -> None:
        """Stop all waiting: no other process serves any more."""
        self.is_running_process_lost = True
        self.greeted.set()
        self.take_over.set()

    @property
    def must_serve(self) -> bool:
        """Whether this process has to serve, even if asked to stop: no other process does."""
        return self.take_over.is_set() and not self.is_replaced

    @property
    def endpoint_list(self) -> EndpointList | None:
        """The running process's endpoint list; None if it has none."""
        return EndpointList(0, True, tuple(self.endpoints)) if self.endpoints else None

    def attach(self, parts: GatewayParts) -> None:
        """Apply the messages received so far, and all later ones, to the gateway's parts."""
        self.parts = parts
        rows, self.pending_state_rows = self.pending_state_rows, []
        self._adopt_state(parts, rows)
        for message in self.pending_admin_messages:
            parts.admin.relay.receive_from_predecessor(message)
        parts.admin.relay.send_to_predecessor = self.channel.send
        self.channel.send(MessageKind.READY)

    async def wait_for_take_over(self, stop: asyncio.Event) -> None:
        """Wait until this process has to serve, or is asked to stop."""
        await wait_for_first(self.take_over.wait(), stop.wait())

    def serve(self) -> None:
        """Serve the connections that arrived before this process listened, and all later ones."""
        self.is_serving = True
        adoptions, self.pending_adoptions = self.pending_adoptions, []
        for adopt in adoptions:
            adopt()

    def close(self) -> None:
        """Close the channel, and the received sockets unless this process serves."""
        self.channel.close()
        for sock in (self.listener, self.gossip_socket):
            if sock and not self.is_serving:
                sock.close()

    def _receive(self, message: Message, sockets: list[socket.socket]) -> None:
        receive = self._receivers.get(message[0])
        if receive:
            receive(message, sockets)
        elif self.parts:
            self.parts.admin.relay.receive_from_predecessor(message)
        else:
            self.pending_admin_messages.append(message)

    def _receive_sockets(self, _message: Message, sockets: list[socket.socket]) -> None:
        if not sockets:
            raise MalformedMessageError("no listening socket was sent")
        self.listener = sockets[0]
        self.gossip_socket = sockets[1] if len(sockets) > 1 else None

    def _receive_endpoints(self, message: Message, _sockets: list[socket.socket]) -> None:
        self.endpoints += [decode_endpoint(row) for row in decode_rows(message)]

    def _receive_state_rows(self, message: Message, _sockets: list[socket.socket]) -> None:
        rows = decode_rows(message)
        if self.parts:
            self._adopt_state(self.parts, rows)
        else:
            self.pending_state_rows += rows

    def _receive_recent_requests(self, message: Message, _sockets: list[socket.socket]) -> None:
        recent_requests = self._require_parts().driver.recent_requests
        for row in decode_rows(message):
            recent_requests.restore(decode_remembered(row))

    def _receive_replaced(self, _message: Message, _sockets: list[socket.socket]) -> None:
        log.warning("hot_restart: replaced by another successor: action=end")
        self.is_replaced = True

    def _receive_client(self, message: Message, sockets: list[socket.socket]) -> None:
        length, waited_us = decode_length(message), decode_waited_us(message)
        self.incoming_client = _IncomingClient(_one_socket(sockets), length, waited_us)
        self._adopt_complete_client()

    def _receive_partial_command(self, message: Message, _sockets: list[socket.socket]) -> None:
        if self.incoming_client is None:
            raise MalformedMessageError("a partial command without its connection")
        self.incoming_client.partial_command.extend(decode_bytes(message))
        self._adopt_complete_client()

    def _adopt_complete_client(self) -> None:
        """Adopt the client's connection once its partial command has arrived in full."""
        client = self.incoming_client
        if client is None:
            return
        if client.expected_bytes > MAX_PARTIAL_COMMAND_BYTES:
            self.incoming_client = None
            raise MalformedMessageError(
                f"a partial command of {client.expected_bytes} bytes is too long"
            )
        if len(client.partial_command) >= client.expected_bytes:
            self.incoming_client = None
            clients = self._require_parts().clients
            self._adopt_when_serving(
                partial(clients.adopt, client.sock, bytes(client.partial_command), client.waited_us)
            )

    def _receive_upstream(self, message: Message, sockets: list[socket.socket]) -> None:
        sock = _one_socket(sockets)
        offer = decode_upstream(message)
        cluster = self._require_parts().cluster
        self._adopt_when_serving(
            partial(cluster.adopt, offer.endpoint_id, offer.started_at_us, sock)
        )

    def _require_parts(self) -> GatewayParts:
        if self.parts is None:
            raise MalformedMessageError("a connection arrived before the gateway was attached")
        return self.parts

    def _adopt_when_serving(self, adopt: Callable[[], None]) -> None:
        """Adopt a connection now, or once this process listens."""
        if self.is_serving:
            adopt()
        else:
            self.pending_adoptions.append(adopt)

    @staticmethod
    def _adopt_state(parts: GatewayParts, rows: list[list]) -> None:
        """Apply state rows; a malformed one is logged and skipped."""
        gateway = parts.driver.gateway
        for row in rows:
            try:
                state_transfer.adopt(gateway, parts.driver.clock(), row)
            except state_transfer.MalformedRowError as error:
                log.warning("hot_restart: state row left out: cause=%s", error)


def _one_socket(sockets: list[socket.socket]) -> socket.socket:
    """Return the only socket of a packet."""
    if len(sockets) != 1:
        raise MalformedMessageError(f"expected one socket, received {len(sockets)}")
    return sockets[0]
