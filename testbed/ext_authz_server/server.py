"""A test authorisation server: Envoy's ext_authz Check over HTTP/2, with faults that a gRPC library can't produce.

It uses ``h2`` for the frames and ``xds-protos`` for the messages, and shares no code with the gateway.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from envoy.service.auth.v3 import external_auth_pb2 as published

from ..net.relay import LOCAL, text_of
from ..runner.processes import free_port

PATH = "/envoy.service.auth.v3.Authorization/Check"
MODES = (
    "answer",  # the decision, at once
    "delay",  # the decision, later
    "hang",  # response headers, then nothing
    "silent",  # no response at all
    "half",  # part of a message, then nothing
    "reset",  # RST_STREAM
    "goaway",  # GOAWAY, then the connection is closed
    "twice",  # two messages in one response
    "metadata",  # 1 MB of response headers
    "status",  # a grpc-status that does not exist
    "lies",  # a response that is both allowed and denied
    "noise",  # bytes that don't decode as a message
)
MAX_STREAMS = 2000  # concurrent checks on a connection; clients queue further ones
RESPONSE_HEADERS = [(":status", "200"), ("content-type", "application/grpc")]


@dataclass(slots=True)
class ReceivedCheck:
    """One received check."""

    at: float
    request: published.CheckRequest
    mode: str
    answered: bool = False

    @property
    def id(self) -> str:
        """The id of the request that the check is for."""
        return self.request.attributes.request.http.id


@dataclass(slots=True)
class Behaviour:
    """The chance of each fault mode (the remaining checks are answered) and the delay range in seconds."""

    chances: dict[str, float] = field(default_factory=dict)
    delay: tuple[float, float] = (0.05, 0.05)
    window_shut: bool = False  # flow-control windows of 0: clients can't send a body


def allow(cache_ms: float = 0, plan: str = "") -> published.CheckResponse:
    """A response that allows the request."""
    response = published.CheckResponse()
    response.status.code = 0
    response.ok_response.SetInParent()
    metadata = (
        response.dynamic_metadata.get_or_create_struct("saffrongw") if cache_ms or plan else None
    )
    if metadata is not None:
        if cache_ms:
            metadata["cache_ms"] = cache_ms
        if plan:
            metadata["plan"] = plan
    return response


def deny(
    status: int = 403, retry_after: int | None = None, cache_ms: float = 0
) -> published.CheckResponse:
    """A response that denies the request; ``retry_after`` is in seconds."""
    response = published.CheckResponse()
    response.status.code = 8 if status == 429 else 7
    response.denied_response.status.code = status
    if retry_after is not None:
        option = response.denied_response.headers.add()
        option.header.key, option.header.value = "retry-after", str(retry_after)
    if cache_ms:
        response.dynamic_metadata.get_or_create_struct("saffrongw")["cache_ms"] = cache_ms
    return response


def framed(body: bytes) -> bytes:
    """Frames a message with gRPC's prefix: an uncompressed flag and the length."""
    return b"\x00" + len(body).to_bytes(4, "big") + body


class _Connection(asyncio.Protocol):
    def __init__(self, server: Authoriser) -> None:
        self.server = server
        config = h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        self.http = h2.connection.H2Connection(config)
        # Huffman coding of 1 MB of headers in Python would block the event loop that all test servers share.
        self.http.encoder.encode = functools.partial(self.http.encoder.encode, huffman=False)
        self.bodies: dict[int, bytearray] = {}
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.server.connections.add(self)
        self.server.connected += 1
        self.http.initiate_connection()
        self.http.update_settings({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS})
        if self.server.behaviour.window_shut:
            self.http.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
        self.flush()

    def flush(self) -> None:
        """Writes the pending output of the HTTP/2 state machine."""
        if (
            self.transport
            and not self.transport.is_closing()
            and (data := self.http.data_to_send())
        ):
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            events = self.http.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.transport.abort()
            return
        for event in events:
            if isinstance(event, h2.events.RequestReceived):
                self.bodies[event.stream_id] = bytearray()
                if dict(event.headers).get(":path") != PATH:
                    self.server.unexpected_paths += 1
            elif isinstance(event, h2.events.DataReceived):
                self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                if event.stream_id in self.bodies:
                    self.bodies[event.stream_id] += event.data
            elif isinstance(event, h2.events.StreamReset):
                self.bodies.pop(event.stream_id, None)
                self.server.called_off += 1
            if isinstance(event, h2.events.StreamEnded) and event.stream_id in self.bodies:
                self.server.receive_check(
                    self, event.stream_id, bytes(self.bodies.pop(event.stream_id))
                )
        self.flush()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)

    def reply(self, stream: int, body: bytes, status: str = "0", copies: int = 1) -> bool:
        """Sends a complete response; returns False if the stream has already ended."""
        try:
            self.http.send_headers(stream, RESPONSE_HEADERS)
            self.http.send_data(stream, framed(body) * copies)
            self.http.send_headers(stream, [("grpc-status", status)], end_stream=True)
        except h2.exceptions.ProtocolError:
            return False
        self.flush()
        return True


class Authoriser:
    """A listener that answers checks, with faults drawn from a seed."""

    def __init__(
        self,
        decide: Callable[[published.CheckRequest], published.CheckResponse] = lambda request: (
            allow()
        ),
        seed: str = "authoriser",
        behaviour: Behaviour | None = None,
    ) -> None:
        self.decide, self.random = decide, random.Random(seed)
        self.behaviour = behaviour or Behaviour()
        self.loop = asyncio.get_running_loop()
        self.asked: list[ReceivedCheck] = []
        self.counts: Counter[str] = Counter()
        self.connections: set[_Connection] = set()
        self.connected = self.called_off = self.unexpected_paths = 0
        self.server: asyncio.Server | None = None
        self.port = 0
        self.ssl = None

    @property
    def address(self) -> str:
        """The address of the listener."""
        return text_of((LOCAL, self.port))

    async def start(self) -> Authoriser:
        """Listens; after ``stop`` on the same port, which the kernel gives to no outgoing connection."""
        self.port = self.port or free_port()
        self.server = await self.loop.create_server(
            lambda: _Connection(self), LOCAL, self.port, ssl=self.ssl
        )
        return self

    def stop(self) -> None:
        """Stops as if killed: connections are aborted, new ones refused."""
        if self.server:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()

    async def restart(self, after: float) -> None:
        """Sends GOAWAY on all connections, stops, and starts again ``after`` seconds later."""
        for connection in list(self.connections):
            connection.http.close_connection()
            connection.flush()
        self.stop()
        await asyncio.sleep(after)
        await self.start()

    def _draw_mode(self) -> str:
        draw = self.random.random()
        for mode, chance in self.behaviour.chances.items():
            if draw < chance:
                return mode
            draw -= chance
        return "answer"

    def receive_check(self, connection: _Connection, stream: int, data: bytes) -> None:
        """Handles a complete check request."""
        request = published.CheckRequest()
        request.ParseFromString(data[5:])
        asked = ReceivedCheck(self.loop.time(), request, self._draw_mode())
        self.asked.append(asked)
        self.counts[asked.mode] += 1
        if asked.mode == "delay":
            wait = self.random.uniform(*self.behaviour.delay)
            self.loop.call_later(wait, self._answer, connection, stream, asked)
        else:
            self._answer(connection, stream, asked)

    def _answer(self, connection: _Connection, stream: int, asked: ReceivedCheck) -> None:
        http, mode = connection.http, asked.mode
        if connection.transport.is_closing():
            return
        body = self.decide(asked.request).SerializeToString()
        try:
            if mode in ("answer", "delay"):
                asked.answered = connection.reply(stream, body)
            elif mode == "hang":
                http.send_headers(stream, RESPONSE_HEADERS)
            elif mode == "half":
                http.send_headers(stream, RESPONSE_HEADERS)
                http.send_data(stream, framed(body + b"\x00" * 64)[:20])
            elif mode == "reset":
                http.reset_stream(stream, h2.errors.ErrorCodes.INTERNAL_ERROR)
            elif mode == "goaway":
                http.close_connection()
                connection.flush()
                connection.transport.close()
            elif mode == "twice":
                connection.reply(stream, body, copies=2)
            elif mode == "metadata":
                many = [(f"x-{n}", "y" * 4000) for n in range(256)]
                http.send_headers(stream, [*RESPONSE_HEADERS, *many])
                http.send_data(stream, framed(body))
                http.send_headers(stream, [("grpc-status", "0")], end_stream=True)
            elif mode == "status":
                connection.reply(stream, body, status="57")
            elif mode == "lies":
                lie = deny()
                lie.status.code = 0
                connection.reply(stream, lie.SerializeToString())
            elif mode == "noise":
                connection.reply(stream, b"\xff\xff\xff\xff\x07noise")
        except h2.exceptions.ProtocolError:
            return
        connection.flush()
