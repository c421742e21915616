"""A new version of the program takes over from the running one, without a request that meets a closed door.

The running process listens on a Unix socket in ``$TMPDIR``. Its successor gets there, first: the listener itself
(one queue of the kernel, so that nothing is reset when one of the two stops accepting), the peers' socket, the list
of hosts and what is taken out by hand. It waits. On SIGTERM the old one stops accepting, hands over its counts and
says go; then the clients' connections and those to hosts follow, each as it falls idle. A successor that is lost
before is forgotten, and the old one goes on; an old one that is lost is succeeded at once.

Messages are packets of at most ``PACKET_MOST`` bytes: a JSON list, its kind first, and descriptors beside it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path

log = logging.getLogger(__name__)

PACKET_MOST = 32 * 1024  # bytes of a packet
FDS_MOST = 2  # descriptors in one
ROWS = 24  # rows of the decisions in one packet, as far as they fit
QUEUED_MOST = 4_096  # packets that wait to be sent
ANSWER_WITHIN = 1.0  # seconds for the running process to greet its successor
_CREDENTIALS = struct.Struct("3i")


def path_for(listen: tuple[str, int]) -> Path | None:
    """Where the process that serves an address is found; None without a place of its own."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / f"saffrongw-{listen[0]}-{listen[1]}.sock" if folder else None


@contextlib.contextmanager
def address_of(path: Path) -> Iterator[str]:
    """A name for the path that the kernel takes: it has room for a hundred bytes, and $TMPDIR may be longer."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def _same_user(sock: socket.socket) -> bool:
    """Guards descriptors and counts: only a process of the same user gets them."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return _CREDENTIALS.unpack(raw)[1] == os.geteuid()


class HandOverChannel:
    """Packets to and from the other process; each call of ``told`` owns the sockets that it gets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        told: Callable[[list, list[socket.socket]], None],
        lost: Callable[[], None],
    ) -> None:
        self.loop, self.sock, self.told, self.lost = loop, sock, told, lost
        self.waiting: deque[tuple[bytes, list[int]]] = deque()
        self.open = True
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def tell(self, *message, fds: tuple[int, ...] = ()) -> bool:
        """Send one packet; its descriptors stay the caller's. False where nobody will get it."""
        packet = json.dumps(message, separators=(",", ":")).encode()
        if not self.open or len(packet) > PACKET_MOST or len(self.waiting) >= QUEUED_MOST:
            return False
        try:
            copies = [os.dup(fd) for fd in fds]
        except OSError as wrong:
            log.warning("takeover: %s", wrong)
            return False
        self.waiting.append((packet, copies))
        if len(self.waiting) == 1:
            self._write()
        return True

    def _write(self) -> None:
        while self.waiting:
            packet, fds = self.waiting[0]
            try:
                if fds:
                    socket.send_fds(self.sock, [packet], fds)
                else:
                    self.sock.send(packet)
            except BlockingIOError:
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError:
                self.end()
                return
            self.waiting.popleft()
            for fd in fds:
                os.close(fd)
        self.loop.remove_writer(self.sock)

    def _read(self) -> None:
        while self.open:
            try:
                packet, fds, flags, _ = socket.recv_fds(self.sock, PACKET_MOST + 1, FDS_MOST)
            except BlockingIOError:
                return
            except OSError:
                packet, fds, flags = b"", [], 0
            if not packet:
                return self.end()
            sockets = [socket.socket(fileno=fd) for fd in fds]
            try:
                if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                    raise ValueError("a packet is cut off")
                message = json.loads(packet)
                if not isinstance(message, list) or not message or not isinstance(message[0], str):
                    raise ValueError("no message")
                self.told(message, sockets)
            except (ValueError, LookupError, TypeError, RecursionError) as wrong:
                for sock in sockets:
                    sock.close()
                log.warning("takeover: %.200r", wrong)

    def end(self) -> None:
        """Give it up, and say so to its owner."""
        if self.open:
            self.close()
            self.lost()

    def close(self) -> None:
        """Say and hear nothing more; what is not sent is given up."""
        if self.open:
            self.open = False
            self.loop.remove_reader(self.sock)
            self.loop.remove_writer(self.sock)
            self.sock.close()
            for _, fds in self.waiting:
                for fd in fds:
                    os.close(fd)
            self.waiting.clear()

    async def sent(self) -> None:
        """Wait until all is on its way."""
        while self.open and self.waiting:
            await asyncio.sleep(0.002)


class RunningProcess:
    """The running process's side: the Unix socket, and at most one successor."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: Path,
        greet: Callable[[HandOverChannel], None],
        told: Callable[[list], None],
    ) -> None:
        self.loop, self.path, self.greet, self.told = loop, path, greet, told
        self.listener: socket.socket | None = None
        self.channel: HandOverChannel | None = None
        self.ready = False  # the successor can serve
        self.lost = asyncio.Event()  # it came, and has gone
        self.inode = 0  # of our file

    def listen(self) -> None:
        """Be found from now on. What a process that was killed has left there is taken away."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self.path.unlink(missing_ok=True)
            old = os.umask(0o177)
            try:
                with address_of(self.path) as address:
                    listener.bind(address)
            finally:
                os.umask(old)
            self.inode = self.path.stat().st_ino
            listener.listen(4)
        except OSError as wrong:
            log.warning("no takeover: %s", wrong)
            listener.close()
            return
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        if not _same_user(sock):
            sock.close()
            return
        if self.channel:  # a second one: the first was given up, and must not serve as well
            self.channel.tell("replaced")
            self.channel.close()
        self.ready = False
        self.lost.clear()
        self.channel = HandOverChannel(self.loop, sock, self._hear, self._lost)
        self.greet(self.channel)

    def _hear(self, message: list, sockets: list[socket.socket]) -> None:
        for sock in sockets:  # a successor has nothing to give
            sock.close()
        if message[0] == "ready":
            self.ready = True
        else:
            self.told(message)

    def _lost(self) -> None:
        self.channel, self.ready = None, False
        self.lost.set()

    def stop_listening(self) -> None:
        """The successor will be found instead; one that could not wait for us may be there already."""
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
            with contextlib.suppress(OSError):
                if self.path.stat().st_ino == self.inode:
                    self.path.unlink()

    def close(self) -> None:
        """Not found any more, and the successor is left alone."""
        self.stop_listening()
        if self.channel:
            self.channel.close()
            self.channel = None


async def find_running_process(
    loop: asyncio.AbstractEventLoop, path: Path | None
) -> socket.socket | None:
    """A connection to the process that serves this address; None where there is none, or it does not answer."""
    if path is None or not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(ANSWER_WITHIN):
            with address_of(path) as address:
                await loop.sock_connect(sock, address)
        if _same_user(sock):
            return sock
        log.warning("takeover: the process at %s is another user's", path)
    except OSError:  # it was killed and has left its file
        pass
    sock.close()
    return None


def packed(rows) -> list[list]:
    """Rows in lists that each fit a packet; one that alone is too long is left out and logged."""
    found, part, size = [], [], 0
    for row in rows:
        length = len(json.dumps(row, separators=(",", ":"))) + 1
        if length > PACKET_MOST - 64:
            log.warning("takeover: a row of %d bytes is left out", length)
            continue
        if part and (len(part) >= ROWS or size + length > PACKET_MOST - 64):
            found.append(part)
            part, size = [], 0
        part.append(row)
        size += length
    return [*found, part] if part else found
