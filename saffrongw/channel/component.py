"""The component that ``[channel]`` switches on: one socket for the datagrams of all subsystems."""

from __future__ import annotations

import secrets
import stat
from collections.abc import Callable
from pathlib import Path

from saffrongw.gateway.config import parse_address
from saffrongw.gateway.driver import Driver

from .signed_datagram import DatagramCodec, InvalidKeyError, SharedKey
from .socket import DatagramChannel
from .table import ChannelTable

# A key file is read as hexadecimal only if it has at least this many characters.
MIN_HEX_CHARACTERS = 32
INCARNATION_BITS = 62
# Keys of [channel] that a reload can't change.
FIXED_KEYS = ("name", "listen")


class ChannelTableError(ValueError):
    """A ``[channel]`` table can't take effect; the message names the key or the file."""


def read_keys(paths: tuple[str, ...]) -> list[SharedKey]:
    """Read the key files in their order.

    Raise ``ChannelTableError`` naming a file that can't be used.
    """
    keys = [_read_key(path) for path in paths]
    if len({key.key_id for key in keys}) < len(keys):
        raise ChannelTableError("channel.keys: two files hold the same key")
    return keys


def _read_key(path: str) -> SharedKey:
    """Read a key: hexadecimal text of at least 32 digits, or raw bytes."""
    file = Path(path)
    try:
        mode = file.stat().st_mode
        raw = file.read_bytes().strip()
    except OSError as error:
        raise ChannelTableError(f"channel.keys: {path}: {error.strerror}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ChannelTableError(f"channel.keys: {path}: others can read it; its mode must be 0600")
    try:
        secret = bytes.fromhex(raw.decode()) if len(raw) >= MIN_HEX_CHARACTERS else raw
    except ValueError:
        secret = raw
    try:
        return SharedKey(secret)
    except InvalidKeyError as error:
        raise ChannelTableError(f"channel.keys: {path}: {error}") from None


class ChannelComponent:
    """Starts and stops the datagram channel, and reloads its keys."""

    def __init__(self, table: ChannelTable) -> None:
        """Read the keys; raise ``ChannelTableError`` if one can't be used."""
        self.table = table
        self.incarnation = secrets.randbits(INCARNATION_BITS) + 1
        codec = DatagramCodec(table.name, self.incarnation, read_keys(table.keys))
        self.channel = DatagramChannel(codec, parse_address(table.listen))

    async def start(self, driver: Driver) -> None:
        """Bind the socket; raise ``OSError`` naming the address if that fails."""
        await self.channel.open(driver.is_successor)

    async def stop(self) -> None:
        """Close the socket."""
        await self.channel.close()

    def prepare_reload(self, new: ChannelTable) -> Callable[[], None]:
        """Check a reload of the keys, and return the function that applies it.

        Raise ``ChannelTableError`` for a change that needs a restart.
        """
        for name in FIXED_KEYS:
            if getattr(new, name) != getattr(self.table, name):
                raise ChannelTableError(f"channel.{name} can't change in service")
        keys = read_keys(new.keys)

        def commit() -> None:
            self.table = new
            self.channel.codec.rotate_keys(keys)

        return commit

    def metrics(self) -> list[tuple[str, int]]:
        """Return the metrics for /admin/stats: counters since the start, and known gateways."""
        channel = self.channel
        return [
            *((f"channel.{name}", count) for name, count in channel.counters.items()),
            *((f"channel.{name}", count) for name, count in channel.codec.counters.items()),
            ("channel.known", len(channel.incarnations)),
        ]
