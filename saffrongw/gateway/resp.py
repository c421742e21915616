"""Framing of RESP2 commands and replies, strict and with size limits.

hiredis is not used to parse: it allocates as much as a header claims (``*100000000`` takes 800 MB),
waits for values of 3 GB, accepts RESP3, and raises MemoryError or TypeError on some input.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

# Longest value that is buffered completely.
MAX_VALUE_BYTES = 64 * 1024

# Longest value of an endpoint that is streamed.
MAX_STREAMED_VALUE_BYTES = 4 << 20

# Longest other part of a command or a reply.
MAX_WORD_BYTES = 1024

# Longest status or error line of an endpoint.
MAX_LINE_BYTES = 512

# Parts of a command; only the fifth one may be as long as a value.
MAX_COMMAND_WORDS = 5

# A body of at least this size that arrives in pieces is collected at its final size.
MIN_COLLECTED_BODY_BYTES = 4 * 1024

# Longest header that the patterns below accept.
MAX_HEADER_BYTES = 10

_COUNT = re.compile(rb"\*([1-9])\r\n")
_LENGTH = re.compile(rb"\$(0|[1-9][0-9]{0,6})\r\n")
_LENGTH_OR_NULL = re.compile(rb"\$(-1|0|[1-9][0-9]{0,6})\r\n")
_COUNT_PREFIX = re.compile(rb"(\*([1-9]\r?)?)?")
_LENGTH_PREFIX = re.compile(rb"(\$((-|-1|0|[1-9][0-9]{0,6})\r?)?)?")
_STREAMED_REPLY = re.compile(rb"\*3\r\n\$([1-9][0-9]{4,6})\r\n")
_SERVED_REPLY = re.compile(rb"\*3\r\n\$(0|[1-9][0-9]{0,4})\r\n")
_REPLY_TAIL = re.compile(rb"\r\n\$-1\r\n\$([1-9][0-9]{0,3})\r\n([a-z0-9_=.,]{1,1000})\r\n")


class MalformedMessageError(Exception):
    """The received bytes are not the start of a valid message.

    Where the next message starts is unknown, so the connection can't be used any more.
    """


class _Buffer:
    """Bytes that have arrived; those before ``position`` are consumed."""

    __slots__ = ("data", "position")

    def __init__(self) -> None:
        self.data = b""
        self.position = 0

    def feed(self, data: bytes) -> None:
        """Append bytes, and discard those that are consumed."""
        if self.position < len(self.data):
            data = self.data[self.position :] + data
        self.data = data
        self.position = 0

    def __len__(self) -> int:
        return len(self.data) - self.position

    def _header(
        self, pattern: re.Pattern[bytes], prefix: re.Pattern[bytes], start: int
    ) -> re.Match[bytes] | None:
        """Match a header at this position; None if it is not complete yet."""
        if found := pattern.match(self.data, start):
            return found
        if prefix.fullmatch(self.data[start : start + MAX_HEADER_BYTES]):
            return None
        shown = self.data[start : start + 2 * MAX_HEADER_BYTES]
        raise MalformedMessageError(f"not a header of the protocol: {shown!r}")

    def _bulk(
        self, start: int, max_bytes: int, nullable: bool = False
    ) -> tuple[bytes | None, int] | None:
        """Return a bulk string and its end; None if it is not complete yet."""
        pattern = _LENGTH_OR_NULL if nullable else _LENGTH
        found = self._header(pattern, _LENGTH_PREFIX, start)
        if found is None:
            return None
        length, body = int(found[1]), found.end()
        if length < 0:
            return None, body
        if length > max_bytes:
            raise MalformedMessageError("a value is too long")
        end = body + length
        terminator = self.data[end : end + 2]
        if not b"\r\n".startswith(terminator):
            raise MalformedMessageError("a length does not fit")
        return (self.data[body:end], end + 2) if len(terminator) == 2 else None


class PartialBody:
    """The body of a command, while it arrives in pieces; collected, or only counted."""

    __slots__ = ("behind", "collected", "head", "last_bytes", "length", "received_bytes", "words")

    def __init__(self, head: bytes, words: list[bytes], length: int, is_kept: bool) -> None:
        """Start a body of ``length`` bytes after ``head``, the bytes of the words before it."""
        self.head = head
        self.words = words
        self.length = length
        self.received_bytes = 0
        # Of its final size from the start: growing buffers would fragment the heap.
        self.collected = bytearray(length + 2) if is_kept else None
        self.last_bytes = b""
        # What has arrived behind the command.
        self.behind = b""

    @property
    def missing_bytes(self) -> int:
        """How much of the body and its terminator has not arrived."""
        return self.length + 2 - self.received_bytes

    @property
    def arrived_bytes(self) -> int:
        """How much of the command, and behind it, has arrived."""
        return len(self.head) + self.received_bytes + len(self.behind)

    def feed(self, data: bytes) -> None:
        """Take what belongs to the body, and keep the rest."""
        part = data[: self.missing_bytes]
        end = self.received_bytes + len(part)
        if self.collected is not None:
            self.collected[self.received_bytes : end] = part
        self.last_bytes = (self.last_bytes + part[-2:])[-2:]
        self.received_bytes = end
        self.behind += data[len(part) :]

    def command(self) -> list[bytes]:
        """Return the words of the complete command; its body is empty if it was not kept."""
        if self.last_bytes != b"\r\n":
            raise MalformedMessageError("a length does not fit")
        body = b"" if self.collected is None else bytes(memoryview(self.collected)[: self.length])
        return [*self.words, body]

    def arrived(self) -> bytes:
        """Return what has arrived of the command, if its body is kept, and behind it."""
        body = bytes(memoryview(self.collected or b"")[: self.received_bytes])
        return self.head + body + self.behind


class CommandReader(_Buffer):
    """Reads commands as clients send them: arrays of up to five bulk strings.

    ``may_keep_body`` is asked, with its length, once for each large body that arrives in pieces; a
    body that may not be kept is read and dropped, so that the next command is found.

    ``data`` at ``position`` is always where the next command starts: while a body is collected, it
    is empty, so that nobody reads the commands behind the body first.
    """

    __slots__ = ("body", "is_body_dropped", "may_keep_body")

    def __init__(self, may_keep_body: Callable[[int], bool] = lambda _length: True) -> None:
        """Start without data."""
        super().__init__()
        self.may_keep_body = may_keep_body
        self.body: PartialBody | None = None
        # Whether the body of the command that was returned last was dropped.
        self.is_body_dropped = False

    def feed(self, data: bytes) -> None:
        """Append bytes, and discard those that are consumed."""
        if self.body:
            self.body.feed(data)
        else:
            super().feed(data)

    def __len__(self) -> int:
        """How many bytes have arrived and are not processed."""
        return self.body.arrived_bytes if self.body else super().__len__()

    @property
    def is_dropping(self) -> bool:
        """Whether the body that arrives is dropped."""
        return self.body is not None and self.body.collected is None

    def unprocessed(self) -> bytes:
        """Return what has arrived and is not processed; not while a body is dropped."""
        return self.body.arrived() if self.body else self.data[self.position :]

    def release_consumed(self) -> None:
        """Free the memory of what is consumed."""
        if self.position and self.position == len(self.data):
            self.data, self.position = b"", 0

    def clear(self) -> None:
        """Free what has arrived: nothing more is read from the connection."""
        self.data, self.position, self.body = b"", 0, None

    def next(self) -> list[bytes] | None:
        """Return the next command; None if it is not complete yet."""
        if self.body is None:
            command = self._next_complete()
            if command is not None or self.body is None:
                self.is_body_dropped = False
                return command
        if self.body.missing_bytes:
            return None
        body, self.body = self.body, None
        self.data, self.position = body.behind, 0
        self.is_body_dropped = body.collected is None
        return body.command()

    def _next_complete(self) -> list[bytes] | None:
        """Return the next command if it is complete; a large body begins to be collected."""
        header = self._header(_COUNT, _COUNT_PREFIX, self.position)
        if header is None:
            return None
        count = int(header[1])
        if count > MAX_COMMAND_WORDS:
            raise MalformedMessageError("wrong number of values")
        words: list[bytes] = []
        position = header.end()
        for number in range(1, count + 1):
            is_body = number == MAX_COMMAND_WORDS
            bulk = self._bulk(position, MAX_VALUE_BYTES if is_body else MAX_WORD_BYTES)
            if bulk is None:
                if is_body:
                    self._begin_body(position, words)
                return None
            word, position = bulk
            # Never None: null is not accepted here.
            words.append(word or b"")
        self.position = position
        return words

    def _begin_body(self, position: int, words: list[bytes]) -> None:
        """Collect a large body whose header is at this position, if the header is complete."""
        header = _LENGTH.match(self.data, position)
        if header is None or (length := int(header[1])) < MIN_COLLECTED_BODY_BYTES:
            return
        head, rest = self.data[self.position : header.end()], self.data[header.end() :]
        self.body = PartialBody(head, words, length, self.may_keep_body(length))
        self.body.feed(rest)
        self.data, self.position = b"", 0


class Reply(NamedTuple):
    """An endpoint's reply: a line, or a value with a load report."""

    line: bytes | None = None
    value: bytes = b""
    report: bytes | None = None


class ReplyReader(_Buffer):
    """Reads an endpoint's replies, one at a time."""

    __slots__ = ()

    def next(self) -> Reply | None:
        """Return the next reply; None if it is not complete yet."""
        if (common := self._common_reply()) is not None:
            return common
        if self.data[self.position : self.position + 1] in (b"-", b"+"):
            return self._line()
        header = self._header(_COUNT, _COUNT_PREFIX, self.position)
        if header is None:
            return None
        if header[1] != b"3":
            raise MalformedMessageError("an answer has three parts")
        position = header.end()
        parts: list[bytes | None] = []
        for index in range(3):
            limit = MAX_WORD_BYTES if index else MAX_VALUE_BYTES
            bulk = self._bulk(position, limit, nullable=index > 0)
            if bulk is None:
                return None
            part, position = bulk
            parts.append(part)
        self.position = position
        return Reply(None, parts[0] or b"", parts[2])

    def _common_reply(self) -> Reply | None:
        """Fast path for the common served reply: a value, a null usage, and a load report."""
        data = self.data
        header = _SERVED_REPLY.match(data, self.position)
        if header is None or (length := int(header[1])) > MAX_VALUE_BYTES:
            return None
        end = header.end() + length
        tail = _REPLY_TAIL.match(data, end)
        if tail is None or len(tail[2]) != int(tail[1]):
            return None
        self.position = tail.end()
        return Reply(None, data[header.end() : end], tail[2])

    def _line(self) -> Reply | None:
        end = self.data.find(b"\r\n", self.position, self.position + MAX_LINE_BYTES)
        if end < 0:
            if len(self) >= MAX_LINE_BYTES:
                raise MalformedMessageError("a line is too long")
            return None
        line, self.position = self.data[self.position : end], end + 2
        return Reply(line)

    # -- streamed values --------------------------------------------------------------------------

    def take_streamed_header(self) -> int | None:
        """Consume the header of a value that is to be streamed, and return the value's length.

        Returns None if the next reply is not one to be streamed.
        """
        found = _STREAMED_REPLY.match(self.data, self.position)
        if found is None:
            return None
        length = int(found[1])
        if length <= MAX_VALUE_BYTES:
            return None
        if length > MAX_STREAMED_VALUE_BYTES:
            raise MalformedMessageError("a value is too long")
        self.position = found.end()
        return length

    def take_bytes(self, max_bytes: int) -> bytes:
        """Consume up to ``max_bytes`` of a streamed value, as many as have arrived."""
        data = self.data[self.position : self.position + max_bytes]
        self.position += len(data)
        return data

    def is_at_value_end(self) -> bool | None:
        """Whether a streamed value is followed by its terminator; None if it has not arrived."""
        terminator = self.data[self.position : self.position + 2]
        if len(terminator) < 2 and b"\r\n".startswith(terminator):
            return None
        return terminator == b"\r\n"

    def take_streamed_tail(self) -> bool:
        """Consume a streamed value's end, usage and report; False if they are not complete."""
        position = self.position + 2
        for _ in range(2):
            bulk = self._bulk(position, MAX_WORD_BYTES, nullable=True)
            if bulk is None:
                return False
            position = bulk[1]
        self.position = position
        return True
