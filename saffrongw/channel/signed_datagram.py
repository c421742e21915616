"""One form for all datagrams of the channel: who sent it, in which life, to which life of whom, and proof of it. Pure.

    2 bytes "sg", 1 byte version, 4 bytes id of the key, a MessagePack array, 16 bytes HMAC-SHA256 of all before

The array: sender, its life, receiver, its life, a number that counts up, kind, payload. A life is drawn at random at
each start. What names an earlier life of the receiver, or none, is not taken: its sender is told the life that runs,
and sends again. So nothing recorded before a start counts after it, and within a life each number counts once. A
datagram that proves nothing changes no state but a counter.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

MAGIC, VERSION = b"sg", 1
HEAD, TAG = 7, 16  # bytes
LARGEST = 8_192  # bytes of a datagram
PAYLOAD_MOST = LARGEST - 512
NAME_MOST = 64
LIVES_MOST = 4_096  # senders' lives whose numbers are remembered
WINDOW = 256  # numbers behind the highest that may still come
KEY_LEAST = 16  # bytes
HELLO = 0  # the kind that only tells a life


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """What is signed."""

    sender: str
    life: int
    to: str
    to_life: int
    number: int
    kind: int
    payload: bytes


class InvalidKeyError(ValueError):
    """A key that can't be used."""


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret, and how it is named."""

    secret: bytes

    def __post_init__(self) -> None:
        if len(self.secret) < KEY_LEAST:
            raise InvalidKeyError(f"a key has at least {KEY_LEAST} bytes")

    @property
    def id(self) -> bytes:
        """Four bytes by which the receiver finds it."""
        return hashlib.sha256(b"id" + self.secret).digest()[:4]


@dataclass(slots=True)
class Window:
    """Which numbers of one life have come."""

    highest: int = 0
    seen: int = 0  # bit n: highest - n has come

    def take(self, number: int) -> bool:
        """Whether this one is new; it is not from then on."""
        ahead = number - self.highest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = number
            return True
        if -ahead >= WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True


@dataclass(frozen=True, slots=True)
class Opened:
    """A letter that is proved, for this life of ours, and new."""

    letter: Datagram


@dataclass(frozen=True, slots=True)
class Unknown:
    """A proved letter that does not name this life of ours: its sender is to be told."""

    letter: Datagram


_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Datagram).decode


class DatagramCodec:
    """Packs and opens for one life of one gateway."""

    def __init__(self, name: str, life: int, keys: Sequence[Key]) -> None:
        if not 0 < len(name) <= NAME_MOST:
            raise ValueError(f"a name has 1 to {NAME_MOST} characters")
        self.name, self.life = name, life
        self.number = 0
        self.windows: OrderedDict[tuple[str, int], Window] = OrderedDict()
        self.counts = {"foreign": 0, "forged": 0, "repeated": 0, "other_life": 0, "misdirected": 0}
        self.turn_keys(keys)

    def turn_keys(self, keys: Sequence[Key]) -> None:
        """The first signs, all are believed."""
        if not keys:
            raise InvalidKeyError("there is no key")
        self.signing = keys[0]
        self.by_id = {key.id: key for key in keys}

    def pack(self, to: str, to_life: int, kind: int, payload: bytes) -> bytes:
        """A datagram; ``ValueError`` where the payload is too long."""
        if len(payload) > PAYLOAD_MOST:
            raise ValueError(f"a payload of {len(payload)} bytes; {PAYLOAD_MOST} at most")
        self.number += 1
        body = _encode(Datagram(self.name, self.life, to, to_life, self.number, kind, payload))
        head = MAGIC + bytes((VERSION,)) + self.signing.id + body
        return head + hmac.digest(self.signing.secret, head, "sha256")[:TAG]

    def open(self, data: bytes) -> Opened | Unknown | None:
        """What it says; None where nothing of it is to be believed."""
        if not HEAD + TAG < len(data) <= LARGEST or data[:2] != MAGIC or data[2] != VERSION:
            self.counts["foreign"] += 1
            return None
        key = self.by_id.get(data[3:HEAD])
        if key is None or not hmac.compare_digest(
            hmac.digest(key.secret, data[:-TAG], "sha256")[:TAG], data[-TAG:]
        ):
            self.counts["forged"] += 1
            return None
        try:
            letter = _decode(data[HEAD:-TAG])
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.counts["foreign"] += 1
            return None
        if (
            letter.to != self.name
            or letter.sender == self.name
            or not 0 < len(letter.sender) <= NAME_MOST
        ):
            self.counts["misdirected"] += 1
            return None
        if letter.to_life != self.life:
            self.counts["other_life"] += 1
            return Unknown(letter)
        window = self.windows.get((letter.sender, letter.life))
        if window is None:
            window = self.windows[letter.sender, letter.life] = Window()
            if len(self.windows) > LIVES_MOST:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end((letter.sender, letter.life))
        if not window.take(letter.number):
            self.counts["repeated"] += 1
            return None
        return Opened(letter)
