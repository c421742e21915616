"""Framing of RESP2 in both directions, exact and bounded: only what the protocol names is taken.

hiredis is not used to read: it allocates what a header claims (``*100000000`` takes 800 MB), waits for 3 GB,
accepts RESP3 and raises MemoryError or TypeError on some of it.
"""

from __future__ import annotations

import re
from typing import NamedTuple

VALUE_MOST = 64 * 1024  # bytes in one value that is taken whole
LONG_MOST = 4 << 20  # bytes in one that a host gives and that is passed on as it comes
WORD_MOST = 1024  # bytes in any other part of a command or an answer
LINE_MOST = 512  # bytes in an error line
WORDS_MOST = 5  # parts of a command; only the fifth holds a value

_COUNT = re.compile(rb"\*([1-9])\r\n")
_LENGTH = re.compile(rb"\$(0|[1-9][0-9]{0,6})\r\n")
_LENGTH_OR_NULL = re.compile(rb"\$(-1|0|[1-9][0-9]{0,6})\r\n")
_COUNT_BEGUN = re.compile(rb"(\*([1-9]\r?)?)?")
_LENGTH_BEGUN = re.compile(rb"(\$((-|-1|0|[1-9][0-9]{0,6})\r?)?)?")
_LONG = re.compile(rb"\*3\r\n\$([1-9][0-9]{4,6})\r\n")
_SERVED = re.compile(rb"\*3\r\n\$(0|[1-9][0-9]{0,4})\r\n")
_REST = re.compile(rb"\r\n\$-1\r\n\$([1-9][0-9]{0,3})\r\n([a-z0-9_=.,]{1,1000})\r\n")
_HEADER_MOST = 10  # bytes of the longest header that these take


class MalformedMessageError(Exception):
    """Bytes that no whole message of the protocol can begin with: where the next one starts is lost."""


class _Buffer:
    """Bytes that have come and were not yet taken."""

    __slots__ = ("at", "data")

    def __init__(self) -> None:
        self.data, self.at = b"", 0

    def feed(self, data: bytes) -> None:
        """More bytes; what was taken is let go."""
        self.data, self.at = (self.data[self.at :] + data if self.at < len(self.data) else data), 0

    def __len__(self) -> int:
        return len(self.data) - self.at

    def _header(self, form: re.Pattern, begun: re.Pattern, at: int) -> re.Match | None:
        """A header at this place; None where it is not whole yet."""
        if found := form.match(self.data, at):
            return found
        if begun.fullmatch(self.data[at : at + _HEADER_MOST]):
            return None
        raise MalformedMessageError(
            f"not a header of the protocol: {self.data[at : at + 2 * _HEADER_MOST]!r}"
        )

    def _bulk(self, at: int, most: int, null: bool = False) -> tuple[bytes | None, int] | None:
        """A bulk string and where it ends; None where it is not whole yet."""
        found = self._header(_LENGTH_OR_NULL if null else _LENGTH, _LENGTH_BEGUN, at)
        if found is None:
            return None
        length, start = int(found[1]), found.end()
        if length < 0:
            return None, start
        if length > most:
            raise MalformedMessageError("a value is too long")
        end = start + length
        tail = self.data[end : end + 2]
        if not b"\r\n".startswith(tail):
            raise MalformedMessageError("a length does not fit")
        return (self.data[start:end], end + 2) if len(tail) == 2 else None


class CommandReader(_Buffer):
    """Commands as clients send them: arrays of up to five bulk strings."""

    __slots__ = ()

    def next(self) -> list[bytes] | None:
        """The next whole command; None where there is none yet."""
        head = self._header(_COUNT, _COUNT_BEGUN, self.at)
        if head is None:
            return None
        words, at, number = [], head.end(), int(head[1])
        if number > WORDS_MOST:
            raise MalformedMessageError("wrong number of values")
        for place in range(1, number + 1):
            bulk = self._bulk(at, VALUE_MOST if place == WORDS_MOST else WORD_MOST)
            if bulk is None:
                return None
            words.append(bulk[0])
            at = bulk[1]
        self.at = at
        return words


class Reply(NamedTuple):
    """What a host answered: a line, or a value with the figures on use and the load report."""

    line: bytes | None = None
    value: bytes = b""
    report: bytes | None = None


class ReplyReader(_Buffer):
    """A host's answers, one at a time."""

    __slots__ = ()

    def _usual(self) -> Reply | None:
        """A served answer in its usual form (a value, no figures on use, a report) in two steps; else None."""
        data = self.data
        head = _SERVED.match(data, self.at)
        if head is None or (length := int(head[1])) > VALUE_MOST:
            return None
        end = head.end() + length
        rest = _REST.match(data, end)
        if rest is None or len(rest[2]) != int(rest[1]):
            return None
        self.at = rest.end()
        return Reply(None, data[head.end() : end], rest[2])

    def long(self) -> int | None:
        """How long the value is, where the next answer begins with a long one; its head is taken, and it comes next."""
        found = _LONG.match(self.data, self.at)
        if found is None or int(found[1]) <= VALUE_MOST:
            return None
        if int(found[1]) > LONG_MOST:
            raise MalformedMessageError("a value is too long")
        self.at = found.end()
        return int(found[1])

    def part(self, most: int) -> bytes:
        """So many bytes of a long value, as far as they have come."""
        data = self.data[self.at : self.at + most]
        self.at += len(data)
        return data

    def end_of_long(self) -> bool | None:
        """Whether what follows a long value ends it; None: it has not come yet."""
        tail = self.data[self.at : self.at + 2]
        return None if len(tail) < 2 and b"\r\n".startswith(tail) else tail == b"\r\n"

    def rest_of_long(self) -> bool:
        """Take all that stands behind a long value, if it is whole: its end, the figures on use and the report."""
        at = self.at + 2
        for _ in range(2):
            bulk = self._bulk(at, WORD_MOST, null=True)
            if bulk is None:
                return False
            at = bulk[1]
        self.at = at
        return True

    def next(self) -> Reply | None:
        """The next answer, if it is whole."""
        if (usual := self._usual()) is not None:
            return usual
        kind = self.data[self.at : self.at + 1]
        if kind in (b"-", b"+"):
            end = self.data.find(b"\r\n", self.at, self.at + LINE_MOST)
            if end < 0:
                if len(self) >= LINE_MOST:
                    raise MalformedMessageError("a line is too long")
                return None
            line, self.at = self.data[self.at : end], end + 2
            return Reply(line)
        head = self._header(_COUNT, _COUNT_BEGUN, self.at)
        if head is None:
            return None
        if head[1] != b"3":
            raise MalformedMessageError("an answer has three parts")
        at, parts = head.end(), []
        for place in range(3):
            bulk = self._bulk(at, WORD_MOST if place else VALUE_MOST, null=place > 0)
            if bulk is None:
                return None
            parts.append(bulk[0])
            at = bulk[1]
        self.at = at
        return Reply(None, parts[0], parts[2])
