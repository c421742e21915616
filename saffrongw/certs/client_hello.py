"""What a client asks for before any key is used: the ClientHello of TLS 1.0 to 1.3, read from plain bytes.

It is read ahead of the handshake because what it says decides who answers: a check by an authority (the protocol
``acme-tls/1``, RFC 8737) gets another certificate than a client of the same name. Formats: RFC 8446, 4.1.2 and 5.1;
RFC 6066, 3; RFC 7301. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

RECORD_HEAD, HANDSHAKE_HEAD = 5, 4  # bytes
RECORD_MOST = 16_384  # bytes in a record
MAX_HELLO_BYTES = (
    16_384  # bytes of a whole hello; what clients send has a few hundred to two thousand
)
HANDSHAKE, CLIENT_HELLO = 22, 1
SERVER_NAME, ALPN = 0, 16
ACME_PROTOCOL = b"acme-tls/1"


class ClientHelloError(ValueError):
    """Bytes that are no ClientHello."""


@dataclass(frozen=True, slots=True)
class ClientHello:
    """The name a client asks for, in lower case (none: it asked for none), and the protocols it offers."""

    name: str | None = None
    protocols: tuple[bytes, ...] = ()

    @property
    def is_check(self) -> bool:
        """Whether an authority checks that the name is ours."""
        return self.protocols == (ACME_PROTOCOL,)


class _Reader:
    """Bytes with a place; every length is checked against what there is."""

    __slots__ = ("at", "data", "end")

    def __init__(self, data: bytes, at: int = 0, end: int | None = None) -> None:
        self.data, self.at, self.end = data, at, len(data) if end is None else end

    def number(self, size: int) -> int:
        return int.from_bytes(self.take(size))

    def take(self, size: int) -> bytes:
        if self.at + size > self.end:
            raise ClientHelloError("a length points beyond the end")
        self.at += size
        return self.data[self.at - size : self.at]

    def block(self, size: int) -> _Reader:
        """What follows a length of so many bytes."""
        length = self.number(size)
        if self.at + length > self.end:
            raise ClientHelloError("a length points beyond the end")
        self.at += length
        return _Reader(self.data, self.at - length, self.at)

    @property
    def left(self) -> int:
        return self.end - self.at


def parse_client_hello(data: bytes) -> ClientHello | int:
    """The hello that ``data`` begins with; or how many bytes are needed at least before it can be told."""
    body, at, need = b"", 0, HANDSHAKE_HEAD
    while True:
        if len(data) < at + RECORD_HEAD:
            _check_head(data[at:])
            return at + RECORD_HEAD
        _check_head(data[at : at + RECORD_HEAD])
        length = int.from_bytes(data[at + 3 : at + RECORD_HEAD])
        if not 0 < length <= RECORD_MOST:
            raise ClientHelloError(f"a record of {length} bytes")
        body += data[at + RECORD_HEAD : at + RECORD_HEAD + length]
        if body and body[0] != CLIENT_HELLO:
            raise ClientHelloError(f"a handshake that begins with message {body[0]}")
        if len(body) >= HANDSHAKE_HEAD:
            need = HANDSHAKE_HEAD + int.from_bytes(body[1:HANDSHAKE_HEAD])
            if need > MAX_HELLO_BYTES:
                raise ClientHelloError(f"a hello of {need} bytes")
            if len(body) >= need:
                return _parse(_Reader(body, HANDSHAKE_HEAD, need))
        at += RECORD_HEAD + length
        if len(data) < at:
            return at


def _check_head(head: bytes) -> None:
    if (head and head[0] != HANDSHAKE) or (len(head) > 1 and head[1] != 3):
        raise ClientHelloError("no TLS")


def _parse(hello: _Reader) -> ClientHello:
    hello.take(2 + 32)  # version, random
    hello.block(1)  # session
    if hello.block(2).left < 2:
        raise ClientHelloError("no cipher is offered")
    if not hello.block(1).left:
        raise ClientHelloError("no compression is offered, not even none")
    name, protocols, seen = None, (), set()
    if hello.left:
        extensions = hello.block(2)
        while extensions.left:
            kind, content = extensions.number(2), extensions.block(2)
            if kind in seen:
                raise ClientHelloError(f"the extension {kind} stands twice")
            seen.add(kind)
            if kind == SERVER_NAME:
                name = _name(content)
            elif kind == ALPN:
                protocols = _protocols(content)
    if hello.left:
        raise ClientHelloError("bytes behind the extensions")
    return ClientHello(name, protocols)


def _name(content: _Reader) -> str | None:
    names = content.block(2)
    if content.left or not names.left:
        raise ClientHelloError("a list of names that makes no sense")
    found = None
    while names.left:
        kind, raw = names.number(1), names.block(2)
        if kind == 0 and found is None:
            try:
                found = raw.take(raw.left).decode("ascii").lower()
            except UnicodeDecodeError:
                raise ClientHelloError("a name that is not ASCII") from None
            if not found or len(found) > 253 or "\0" in found:
                raise ClientHelloError("a name that can't be one")
    return found


def _protocols(content: _Reader) -> tuple[bytes, ...]:
    names, found = content.block(2), []
    if content.left or not names.left:
        raise ClientHelloError("a list of protocols that makes no sense")
    while names.left:
        one = names.block(1)
        if not one.left:
            raise ClientHelloError("a protocol without a name")
        found.append(one.take(one.left))
    return tuple(found)
