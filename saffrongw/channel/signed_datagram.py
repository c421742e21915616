"""The wire format of the channel's datagrams, which authenticates their senders. No I/O.

    2 bytes "sg", 1 byte version, 4 bytes key id, a MessagePack array,
    16 bytes HMAC-SHA256 of all before

The array: sender, its incarnation, receiver, its incarnation, a sequence number, kind, payload. An
incarnation is a random number, drawn at each start. A datagram for another incarnation of the
receiver, or for none, is not accepted; the receiver answers with its current incarnation, and the
sender sends again. So no datagram recorded before a start is accepted after it, and within an
incarnation each sequence number is accepted once. A datagram that is not authenticated changes no
state but a counter.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

MAGIC = b"sg"
VERSION = 1
HEADER_BYTES = 7
SIGNATURE_BYTES = 16
KEY_ID_BYTES = 4
MAX_DATAGRAM_BYTES = 8_192
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - 512
MAX_NAME_CHARACTERS = 64
MIN_KEY_BYTES = 16
# Incarnations of senders whose sequence numbers are remembered.
MAX_INCARNATIONS = 4_096
# Sequence numbers this far below the highest one, or further, are rejected.
REPLAY_WINDOW = 256
# The kind of a datagram that only announces the sender's incarnation.
HELLO_KIND = 0


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """The signed content of a datagram; the order of the fields is the wire format."""

    sender: str
    incarnation: int
    receiver: str
    receiver_incarnation: int
    sequence_number: int
    kind: int
    payload: bytes


class InvalidKeyError(ValueError):
    """A shared key can't be used; the message says why."""


class DatagramError(ValueError):
    """A datagram can't be packed: its name or payload is too long."""


@dataclass(frozen=True, slots=True)
class SharedKey:
    """A secret that all gateways share, and its id on the wire."""

    secret: bytes

    def __post_init__(self) -> None:
        """Check the bounds; raise ``ValueError`` naming what is wrong."""
        if len(self.secret) < MIN_KEY_BYTES:
            raise InvalidKeyError(f"a key has at least {MIN_KEY_BYTES} bytes")

    @property
    def key_id(self) -> bytes:
        """Return the id by which a receiver finds the key."""
        return hashlib.sha256(b"id" + self.secret).digest()[:KEY_ID_BYTES]

    def sign(self, data: bytes) -> bytes:
        """Return the signature of data."""
        return hmac.digest(self.secret, data, "sha256")[:SIGNATURE_BYTES]


@dataclass(slots=True)
class ReplayWindow:
    """The sequence numbers of one incarnation that have arrived."""

    highest: int = 0
    # Bit n: the number ``highest - n`` has arrived.
    arrived: int = 0

    def accept(self, sequence_number: int) -> bool:
        """Return whether this number is new, and mark it as arrived."""
        ahead = sequence_number - self.highest
        if ahead > 0:
            mask = (1 << REPLAY_WINDOW) - 1
            self.arrived = ((self.arrived << ahead) | 1) & mask if ahead < REPLAY_WINDOW else 1
            self.highest = sequence_number
            return True
        if -ahead >= REPLAY_WINDOW or self.arrived >> -ahead & 1:
            return False
        self.arrived |= 1 << -ahead
        return True


@dataclass(frozen=True, slots=True)
class Accepted:
    """An authenticated datagram for this incarnation that is not a replay."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """An authenticated datagram for another incarnation.

    Its sender has to be sent the current one.
    """

    datagram: Datagram


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Datagram).decode


class DatagramCodec:
    """Packs and authenticates the datagrams of one incarnation of a gateway."""

    def __init__(self, name: str, incarnation: int, keys: Sequence[SharedKey]) -> None:
        """Set the gateway's name and incarnation; ``rotate_keys`` explains the keys."""
        if not 0 < len(name) <= MAX_NAME_CHARACTERS:
            raise DatagramError(f"a name has 1 to {MAX_NAME_CHARACTERS} characters")
        self.name = name
        self.incarnation = incarnation
        self.last_sequence_number = 0
        self.windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        # The keys are names in /admin/stats.
        self.counters = {
            "foreign": 0,
            "forged": 0,
            "repeated": 0,
            "other_life": 0,
            "misdirected": 0,
        }
        self.rotate_keys(keys)

    def rotate_keys(self, keys: Sequence[SharedKey]) -> None:
        """Replace the keys: the first one signs, and signatures by any of them are accepted."""
        if not keys:
            raise InvalidKeyError("there is no key")
        self.signing_key = keys[0]
        self.keys_by_id = {key.key_id: key for key in keys}

    def pack(self, receiver: str, receiver_incarnation: int, kind: int, payload: bytes) -> bytes:
        """Return a signed datagram; raise ``DatagramError`` if the payload is too long."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise DatagramError(
                f"a payload of {len(payload)} bytes for {receiver}; {MAX_PAYLOAD_BYTES} at most"
            )
        self.last_sequence_number += 1
        body = _encode(
            Datagram(
                self.name,
                self.incarnation,
                receiver,
                receiver_incarnation,
                self.last_sequence_number,
                kind,
                payload,
            )
        )
        signed = MAGIC + bytes((VERSION,)) + self.signing_key.key_id + body
        return signed + self.signing_key.sign(signed)

    def open(self, data: bytes) -> Accepted | OtherIncarnation | None:
        """Authenticate and decode a datagram; return None if it is rejected."""
        datagram = self._authenticated(data)
        if datagram is None:
            return None
        if not self._is_for_us(datagram):
            self.counters["misdirected"] += 1
            return None
        if datagram.receiver_incarnation != self.incarnation:
            self.counters["other_life"] += 1
            return OtherIncarnation(datagram)
        window = self._window(datagram.sender, datagram.incarnation)
        if not window.accept(datagram.sequence_number):
            self.counters["repeated"] += 1
            return None
        return Accepted(datagram)

    def _authenticated(self, data: bytes) -> Datagram | None:
        has_size = HEADER_BYTES + SIGNATURE_BYTES < len(data) <= MAX_DATAGRAM_BYTES
        if not has_size or data[:2] != MAGIC or data[2] != VERSION:
            self.counters["foreign"] += 1
            return None
        signed, signature = data[:-SIGNATURE_BYTES], data[-SIGNATURE_BYTES:]
        key = self.keys_by_id.get(data[3:HEADER_BYTES])
        if key is None or not hmac.compare_digest(key.sign(signed), signature):
            self.counters["forged"] += 1
            return None
        try:
            return _decode(signed[HEADER_BYTES:])
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.counters["foreign"] += 1
            return None

    def _is_for_us(self, datagram: Datagram) -> bool:
        if datagram.receiver != self.name or datagram.sender == self.name:
            return False
        return 0 < len(datagram.sender) <= MAX_NAME_CHARACTERS

    def _window(self, sender: str, incarnation: int) -> ReplayWindow:
        window = self.windows.get((sender, incarnation))
        if window is not None:
            self.windows.move_to_end((sender, incarnation))
            return window
        window = self.windows[sender, incarnation] = ReplayWindow()
        if len(self.windows) > MAX_INCARNATIONS:
            self.windows.popitem(last=False)
        return window
