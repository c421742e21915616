"""The channel between the running process and its successor, and how they find each other.

The running process listens on a Unix socket in ``$TMPDIR``. A successor connects and receives at
once the listening socket (both processes share one kernel queue, so that no connection is reset
when one of them stops accepting), the gossip socket, the endpoint list and the operators'
exclusions. Then it waits. On SIGTERM the running process stops accepting and sends its state and
``GO``, then its idle client and upstream connections. If the successor is lost before that, the
running process goes on without it; if the running process is lost, its successor serves at once.

The messages are defined in ``messages.py``. Each packet is one message with its file descriptors.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from .messages import (
    MAX_PACKET_BYTES,
    MAX_PACKET_FDS,
    MalformedMessageError,
    Message,
    MessageKind,
    decode,
    encode,
)

log = logging.getLogger(__name__)

# Packets that wait to be sent.
MAX_QUEUED_PACKETS = 4_096
# With so much waiting, no connection is queued: operators' calls still find room, and soon arrive.
MAX_QUEUED_PACKETS_FOR_CONNECTIONS = MAX_QUEUED_PACKETS // 2
MAX_QUEUED_BYTES_FOR_CONNECTIONS = 4 << 20
# Time for the running process to greet its successor, and for a stalled peer to read.
ANSWER_TIMEOUT_S = 1.0
SEND_POLL_INTERVAL_S = 0.002
LISTEN_BACKLOG = 4
# Only the owner may connect.
SOCKET_UMASK = 0o177
# ``struct ucred``: process, user and group id.
_PEER_CREDENTIALS = struct.Struct("3i")


def socket_path(listen: tuple[str, int]) -> Path | None:
    """Return the path of the Unix socket for a listening address; None without ``$TMPDIR``."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / f"saffrongw-{listen[0]}-{listen[1]}.sock" if folder else None


@contextlib.contextmanager
def short_address(path: Path) -> Iterator[str]:
    """Yield a short alias of a socket's path: the kernel allows 108 bytes, paths may be longer."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def _do_nothing() -> None:
    """Ignore that the queue has room again: nobody waits for it."""


def _is_same_user(sock: socket.socket) -> bool:
    """Whether the peer runs as this user: others must not get descriptors and quota counters."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
    _, user_id, _ = _PEER_CREDENTIALS.unpack(raw)
    return user_id == os.geteuid()


class _QueuedPacket(NamedTuple):
    """A packet that waits to be sent, with duplicates of its descriptors that the queue owns."""

    data: bytes
    fds: list[int]

    def close(self) -> None:
        """Close the duplicates."""
        for fd in self.fds:
            os.close(fd)


class HandOverChannel:
    """Sends packets to the other process and receives its packets.

    ``on_message`` owns the sockets that it receives unless it raises ``MalformedMessageError``.
    ``on_lost`` is called once, when the other process has ended or can't be reached. ``on_room`` is
    called when the queue becomes empty after ``send_connection`` has failed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Message, list[socket.socket]], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Receive from now on."""
        self.loop = loop
        self.sock = sock
        self.on_message = on_message
        self.on_lost = on_lost
        self.on_room: Callable[[], object] = _do_nothing
        self.send_queue: deque[_QueuedPacket] = deque()
        self.queued_bytes = 0
        self.is_open = True
        # ``send_connection`` has failed since the queue was last empty.
        self.is_room_awaited = False
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def send(self, *message: object, fds: tuple[int, ...] = ()) -> bool:
        """Queue one packet; return whether that worked. The caller still owns the descriptors."""
        packet = encode(message)
        is_full = len(self.send_queue) >= MAX_QUEUED_PACKETS
        if not self.is_open or len(packet) > MAX_PACKET_BYTES or is_full:
            return False
        return self._queue([packet], fds)

    def send_connection(self, messages: Iterable[Iterable[object]], fd: int) -> bool:
        """Queue a connection and the messages that belong to it: all of them, or none.

        The descriptor goes with the first message. Return whether that worked.
        """
        if not self.is_open:
            return False
        is_full = (
            len(self.send_queue) >= MAX_QUEUED_PACKETS_FOR_CONNECTIONS
            or self.queued_bytes >= MAX_QUEUED_BYTES_FOR_CONNECTIONS
        )
        is_queued = not is_full and self._queue([encode(message) for message in messages], (fd,))
        self.is_room_awaited |= not is_queued
        return is_queued

    def _queue(self, packets: list[bytes], fds: tuple[int, ...]) -> bool:
        """Queue packets, the first with duplicates of these descriptors, if there are any left."""
        try:
            duplicates = [os.dup(fd) for fd in fds]
        except OSError as error:
            if not self.is_room_awaited:
                log.warning("hot_restart: descriptor not duplicated: cause=%s", error)
            return False
        was_empty = not self.send_queue
        for packet in packets:
            self.send_queue.append(_QueuedPacket(packet, duplicates))
            self.queued_bytes += len(packet)
            duplicates = []
        if was_empty:
            self._write()
        return True

    def _write(self) -> None:
        while self.send_queue:
            packet = self.send_queue[0]
            try:
                if packet.fds:
                    socket.send_fds(self.sock, [packet.data], packet.fds)
                else:
                    self.sock.send(packet.data)
            except BlockingIOError:
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError:
                self.abort()
                return
            self.send_queue.popleft()
            self.queued_bytes -= len(packet.data)
            packet.close()
        self.loop.remove_writer(self.sock)
        if self.is_room_awaited:
            self.is_room_awaited = False
            self.loop.call_soon(self.on_room)

    def _read(self) -> None:
        while self.is_open:
            try:
                packet, fds, flags, _ = socket.recv_fds(
                    self.sock, MAX_PACKET_BYTES + 1, MAX_PACKET_FDS
                )
            except BlockingIOError:
                return
            except OSError:
                packet, fds, flags = b"", [], 0
            if not packet:
                self.abort()
                return
            self._receive(packet, [socket.socket(fileno=fd) for fd in fds], flags)

    def _receive(self, packet: bytes, sockets: list[socket.socket], flags: int) -> None:
        try:
            if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                raise MalformedMessageError("the packet is truncated")
            self.on_message(decode(packet), sockets)
        except MalformedMessageError as error:
            for sock in sockets:
                sock.close()
            log.warning("hot_restart: malformed message: cause=%.200s", error)

    def abort(self) -> None:
        """Close and notify the owner that the other process is lost."""
        if self.is_open:
            self.close()
            self.on_lost()

    def close(self) -> None:
        """Send and receive nothing more; packets that wait are discarded."""
        if not self.is_open:
            return
        self.is_open = False
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        for packet in self.send_queue:
            packet.close()
        self.send_queue.clear()
        self.queued_bytes = 0

    async def wait_sent(self) -> None:
        """Wait until the send queue is empty or the channel is closed."""
        while self.is_open and self.send_queue:
            await asyncio.sleep(SEND_POLL_INTERVAL_S)

    async def flush(self) -> bool:
        """Return whether all packets were sent in time; if not, the channel is aborted."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self.wait_sent()
        except TimeoutError:
            self.abort()
        return self.is_open


class SuccessorListener:
    """The Unix socket of the running process, and the channel to at most one successor."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: Path,
        on_connect: Callable[[HandOverChannel], None],
        on_message: Callable[[Message], None],
    ) -> None:
        """Prepare; nothing is bound before ``listen``."""
        self.loop = loop
        self.path = path
        self.on_connect = on_connect
        self.on_message = on_message
        self.listener: socket.socket | None = None
        self.channel: HandOverChannel | None = None
        self.is_successor_ready = False
        # Set when a connected successor was lost.
        self.successor_lost = asyncio.Event()
        # Inode of the socket's file: another process may have replaced that file by its own.
        self.inode = 0

    def listen(self) -> None:
        """Let a successor connect; a socket file left by a killed process is replaced."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._bind(listener)
        except OSError as error:
            log.warning("hot_restart: unavailable: path=%s cause=%s", self.path, error)
            listener.close()
            return
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener, self._accept, listener)

    def _bind(self, listener: socket.socket) -> None:
        self.path.unlink(missing_ok=True)
        previous_umask = os.umask(SOCKET_UMASK)
        try:
            with short_address(self.path) as address:
                listener.bind(address)
        finally:
            os.umask(previous_umask)
        self.inode = self.path.stat().st_ino
        listener.listen(LISTEN_BACKLOG)

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        if not _is_same_user(sock):
            sock.close()
            return
        # The supervisor has given up an earlier successor, which must not serve as well.
        if self.channel:
            self.channel.send(MessageKind.REPLACED)
            self.channel.close()
        self.is_successor_ready = False
        self.successor_lost.clear()
        self.channel = HandOverChannel(self.loop, sock, self._receive, self._on_successor_lost)
        self.on_connect(self.channel)

    def _receive(self, message: Message, sockets: list[socket.socket]) -> None:
        # A successor sends no sockets.
        for sock in sockets:
            sock.close()
        if message[0] == MessageKind.READY:
            self.is_successor_ready = True
        else:
            self.on_message(message)

    def _on_successor_lost(self) -> None:
        self.channel = None
        self.is_successor_ready = False
        self.successor_lost.set()

    def stop_listening(self) -> None:
        """Remove the socket, unless a successor that did not wait has replaced it by its own."""
        if self.listener is None:
            return
        self.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = None
        with contextlib.suppress(OSError):
            if self.path.stat().st_ino == self.inode:
                self.path.unlink()

    def close(self) -> None:
        """Stop listening and close the channel to the successor."""
        self.stop_listening()
        if self.channel:
            self.channel.close()
            self.channel = None


async def connect_to_running_process(
    loop: asyncio.AbstractEventLoop, path: Path | None
) -> socket.socket | None:
    """Connect to the process that listens on this socket; None if none answers in time."""
    if path is None or not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    # If a killed process has left its socket file, the connection is refused.
    with contextlib.suppress(OSError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            with short_address(path) as address:
                await loop.sock_connect(sock, address)
        if _is_same_user(sock):
            return sock
        log.warning("hot_restart: socket of another user: path=%s", path)
    sock.close()
    return None
