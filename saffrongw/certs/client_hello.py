"""Parser of the TLS ClientHello (TLS 1.0 to 1.3). No I/O.

It is parsed before the handshake to choose the certificate: a validation by an authority (the ALPN
protocol ``acme-tls/1``, RFC 8737) gets a different one than a client that asks for the same name.
Formats: RFC 8446, 4.1.2 and 5.1; RFC 6066, 3; RFC 7301.
"""

from __future__ import annotations

from dataclasses import dataclass

RECORD_HEAD_BYTES, HANDSHAKE_HEAD_BYTES = 5, 4
MAX_RECORD_BYTES = 16_384
# Of a complete ClientHello; clients usually send a few hundred to 2,000 bytes.
MAX_HELLO_BYTES = 16_384
# Record type, message type and extension types (RFC 8446, RFC 6066, RFC 7301).
HANDSHAKE, CLIENT_HELLO = 22, 1
SERVER_NAME, ALPN = 0, 16
ACME_PROTOCOL = b"acme-tls/1"


class ClientHelloError(ValueError):
    """The bytes are not a ClientHello."""


@dataclass(frozen=True, slots=True)
class ClientHello:
    """The server name in lower case (None if the client sent none) and the ALPN protocols."""

    name: str | None = None
    protocols: tuple[bytes, ...] = ()

    @property
    def is_validation(self) -> bool:
        """Whether an authority validates the name (RFC 8737)."""
        return self.protocols == (ACME_PROTOCOL,)


class _Reader:
    """A cursor over bytes that checks every length against the remaining bytes."""

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
        """Return a reader of a block preceded by its length, which takes this many bytes."""
        length = self.number(size)
        if self.at + length > self.end:
            raise ClientHelloError("a length points beyond the end")
        self.at += length
        return _Reader(self.data, self.at - length, self.at)

    @property
    def remaining(self) -> int:
        return self.end - self.at


def parse_client_hello(data: bytes) -> ClientHello | int:
    """Return the ClientHello at the start of ``data``, or how many bytes it needs at least.

    Raises ``ClientHelloError`` as soon as the bytes cannot be the start of one.
    """
    body, at, need = b"", 0, HANDSHAKE_HEAD_BYTES
    while True:
        if len(data) < at + RECORD_HEAD_BYTES:
            _check_head(data[at:])
            return at + RECORD_HEAD_BYTES
        _check_head(data[at : at + RECORD_HEAD_BYTES])
        length = int.from_bytes(data[at + 3 : at + RECORD_HEAD_BYTES])
        if not 0 < length <= MAX_RECORD_BYTES:
            raise ClientHelloError(f"a record of {length} bytes")
        body += data[at + RECORD_HEAD_BYTES : at + RECORD_HEAD_BYTES + length]
        if body and body[0] != CLIENT_HELLO:
            raise ClientHelloError(f"a handshake that begins with message {body[0]}")
        if len(body) >= HANDSHAKE_HEAD_BYTES:
            need = HANDSHAKE_HEAD_BYTES + int.from_bytes(body[1:HANDSHAKE_HEAD_BYTES])
            if need > MAX_HELLO_BYTES:
                raise ClientHelloError(f"a hello of {need} bytes")
            if len(body) >= need:
                return _parse(_Reader(body, HANDSHAKE_HEAD_BYTES, need))
        at += RECORD_HEAD_BYTES + length
        if len(data) < at:
            return at


def _check_head(head: bytes) -> None:
    if (head and head[0] != HANDSHAKE) or (len(head) > 1 and head[1] != 3):
        raise ClientHelloError("no TLS")


def _parse(hello: _Reader) -> ClientHello:
    hello.take(2 + 32)  # version, random
    hello.block(1)  # session
    if hello.block(2).remaining < 2:
        raise ClientHelloError("no cipher is offered")
    if not hello.block(1).remaining:
        raise ClientHelloError("no compression is offered, not even none")
    name: str | None = None
    protocols: tuple[bytes, ...] = ()
    seen: set[int] = set()
    if hello.remaining:
        extensions = hello.block(2)
        while extensions.remaining:
            kind, content = extensions.number(2), extensions.block(2)
            if kind in seen:
                raise ClientHelloError(f"the extension {kind} stands twice")
            seen.add(kind)
            if kind == SERVER_NAME:
                name = _name(content)
            elif kind == ALPN:
                protocols = _protocols(content)
    if hello.remaining:
        raise ClientHelloError("bytes behind the extensions")
    return ClientHello(name, protocols)


def _name(content: _Reader) -> str | None:
    names = content.block(2)
    if content.remaining or not names.remaining:
        raise ClientHelloError("a list of names that makes no sense")
    found = None
    while names.remaining:
        kind, raw = names.number(1), names.block(2)
        if kind == 0 and found is None:
            try:
                found = raw.take(raw.remaining).decode("ascii").lower()
            except UnicodeDecodeError:
                raise ClientHelloError("a name that is not ASCII") from None
            if not found or len(found) > 253 or "\0" in found:
                raise ClientHelloError("a name that can't be one")
    return found


def _protocols(content: _Reader) -> tuple[bytes, ...]:
    names, found = content.block(2), []
    if content.remaining or not names.remaining:
        raise ClientHelloError("a list of protocols that makes no sense")
    while names.remaining:
        one = names.block(1)
        if not one.remaining:
            raise ClientHelloError("a protocol without a name")
        found.append(one.take(one.remaining))
    return tuple(found)
