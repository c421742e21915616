"""The running process's side of a hot restart: prepares a successor, then hands over to it."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from ...policy import state_transfer
from ...policy.events import EndpointId
from ..gossip_transport import GossipTransport
from .channel import HandOverChannel, SuccessorListener, socket_path
from .messages import (
    PARTIAL_COMMAND_CHUNK_BYTES,
    MessageKind,
    encode_bytes,
    encode_endpoint,
    encode_remembered,
    pack_rows,
)
from .parts import GatewayParts
from .waiting import wait_for_first

log = logging.getLogger(__name__)

# Queued packets at which the sender of state rows pauses, well below the queue's limit.
MAX_UNSENT_PACKETS = 256


class PredecessorHandOver:
    """Lets a successor connect, keeps it informed, and hands over to it when this process ends."""

    def __init__(
        self, parts: GatewayParts, gossip: GossipTransport | None, accept_period_s: float
    ) -> None:
        """``accept_period_s`` is how long connections are still accepted in a drain."""
        self.parts = parts
        self.gossip = gossip
        self.accept_period_s = accept_period_s
        self.successor_listener: SuccessorListener | None = None
        if path := socket_path(parts.clients.config.listen):
            self.successor_listener = SuccessorListener(
                parts.driver.loop, path, self._greet, parts.admin.relay.receive_from_successor
            )

    def listen(self) -> None:
        """Let a successor connect from now on."""
        if self.successor_listener:
            self.successor_listener.listen()
            self.parts.admin.relay.send_to_successor = self._send_to_successor

    def close(self) -> None:
        """Let no successor connect any more, and disconnect the current one."""
        if self.successor_listener:
            self.successor_listener.close()

    async def stop(self) -> None:
        """End serving: hand over to a successor that is ready, else drain."""
        if (
            self.successor_listener
            and self.successor_listener.is_successor_ready
            and self.successor_listener.channel
        ):
            await self._hand_over(self.successor_listener, self.successor_listener.channel)
        else:
            await self.parts.clients.shutdown.drain(self.accept_period_s)

    def _send_to_successor(self, *message: object) -> None:
        if self.successor_listener and self.successor_listener.channel:
            self.successor_listener.channel.send(*message)

    def _greet(self, channel: HandOverChannel) -> None:
        """Send all that a successor needs to prepare; it does not serve yet."""
        parts = self.parts
        acceptor = parts.clients.acceptor
        # Successors can connect only once this process listens.
        assert acceptor is not None
        fds = [acceptor.listener.fileno()]
        if self.gossip:
            fds.append(self.gossip.sock.fileno())
        channel.send(MessageKind.SOCKETS, len(fds), fds=tuple(fds))
        for rows in pack_rows(self._endpoint_rows()):
            channel.send(MessageKind.ENDPOINTS, rows)
        for rows in pack_rows(state_transfer.exclusions(parts.driver.gateway)):
            channel.send(MessageKind.STATE_ROWS, rows)
        channel.send(MessageKind.QUIESCED, parts.clients.shutdown.is_draining)
        channel.send(MessageKind.GREETED)

    def _endpoint_rows(self) -> Iterator[list]:
        """Encode the endpoint list: discovery's entries, with address and start from the pools."""
        for endpoint in self.parts.driver.gateway.endpoints.by_id.values():
            if pool := self.parts.cluster.pools.get(endpoint.entry.endpoint_id):
                yield encode_endpoint(endpoint.entry, pool.started_at_us, pool.address)

    async def _hand_over(
        self, successor_listener: SuccessorListener, channel: HandOverChannel
    ) -> None:
        """Let the successor serve, and finish the requests in flight here.

        If the successor is lost meanwhile, this process drains as it would without one.
        """
        clients, cluster = self.parts.clients, self.parts.cluster
        clients.shutdown.start_countdown()
        successor_listener.stop_listening()
        if self.gossip:
            self.gossip.close()
        if await self._send_state(channel):
            channel.on_room = clients.shutdown.settle_all
            cluster.hand_over(self._give_upstream)
            clients.shutdown.hand_over(self._give_client)
            await wait_for_first(
                clients.shutdown.finish(), successor_listener.successor_lost.wait()
            )
        if not successor_listener.successor_lost.is_set():
            await channel.flush()
            return
        log.warning("hot_restart: successor lost: action=drain")
        self.parts.driver.gateway.handed_over = False
        cluster.give_to_successor = None
        clients.shutdown.take_back()
        await clients.shutdown.drain(self.accept_period_s)

    async def _send_state(self, channel: HandOverChannel) -> bool:
        """Send the state of policy and driver, then ``GO``; return False if the successor is lost.

        The policy admits no request from the first row on, so all that may run is known then.
        """
        driver = self.parts.driver
        state_rows = pack_rows(state_transfer.export(driver.gateway))
        recent = driver.recent_requests.rows(driver.requests.values())
        recent_rows = pack_rows(encode_remembered(each) for each in recent)
        messages = [(MessageKind.STATE_ROWS, rows) for rows in state_rows]
        messages += [(MessageKind.RECENT_REQUESTS, rows) for rows in recent_rows]
        for message in messages:
            channel.send(*message)
            if len(channel.send_queue) >= MAX_UNSENT_PACKETS and not await channel.flush():
                break
        if not channel.send(MessageKind.GO) or not channel.is_open:
            channel.abort()
        return channel.is_open

    def _give_client(self, fd: int, unprocessed: bytes, waited_us: int) -> bool:
        """Send a client's connection and what it has sent; return whether that worked.

        Where the channel is full, the client waits here until there is room (``on_room``).
        """
        channel = self.successor_listener.channel if self.successor_listener else None
        if channel is None or not channel.is_open:
            # The successor can't take over, so drain: connections are at least closed in order.
            self.parts.clients.shutdown.is_draining = True
            return False
        return channel.send_connection(_client_messages(unprocessed, waited_us), fd)

    def _give_upstream(self, endpoint_id: EndpointId, started_at_us: int, fd: int) -> bool:
        """Send an idle connection to an endpoint; return whether that worked."""
        channel = self.successor_listener.channel if self.successor_listener else None
        endpoint = state_transfer.endpoint_id_to_text(endpoint_id)
        return channel is not None and channel.send(
            MessageKind.UPSTREAM, endpoint, started_at_us, fds=(fd,)
        )


def _client_messages(unprocessed: bytes, waited_us: int) -> Iterator[tuple[object, ...]]:
    """Yield the message for a client's connection, then those with what the client has sent."""
    length = len(unprocessed)
    yield MessageKind.CLIENT, length, waited_us
    for start in range(0, length, PARTIAL_COMMAND_CHUNK_BYTES):
        chunk = unprocessed[start : start + PARTIAL_COMMAND_CHUNK_BYTES]
        yield MessageKind.PARTIAL_COMMAND, encode_bytes(chunk)
