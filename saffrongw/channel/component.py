"""The part that ``[channel]`` switches on: one socket for all that gateways tell each other beside the platform's."""

from __future__ import annotations

import os
import secrets
import stat
from collections.abc import Callable
from pathlib import Path

from saffrongw.gateway.config import parse_address
from saffrongw.gateway.driver import Driver

from .signed_datagram import DatagramCodec, InvalidKeyError, Key
from .socket import Channel
from .table import ChannelTable


def read_keys(paths: tuple[str, ...]) -> list[Key]:
    """The keys in their order; ``ValueError`` names the file that can't be used. Text of 32 and more hex digits, or
    bytes as they are."""
    found = []
    for path in paths:
        try:
            mode = os.stat(path).st_mode
            raw = Path(path).read_bytes().strip()
        except OSError as wrong:
            raise ValueError(f"channel.keys: {path}: {wrong.strerror}") from None
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            raise ValueError(f"channel.keys: {path}: others can read it; its mode must be 0600")
        try:
            secret = bytes.fromhex(raw.decode()) if len(raw) >= 32 else raw
        except (ValueError, UnicodeDecodeError):
            secret = raw
        try:
            found.append(Key(secret))
        except InvalidKeyError as wrong:
            raise ValueError(f"channel.keys: {path}: {wrong}") from None
    if len({key.id for key in found}) < len(found):
        raise ValueError("channel.keys: two files hold the same key")
    return found


class ChannelComponent:
    """Service and figures."""

    def __init__(self, table: ChannelTable) -> None:
        self.table = table
        self.life = secrets.randbits(62) + 1
        self.channel = Channel(
            DatagramCodec(table.name, self.life, read_keys(table.keys)), parse_address(table.listen)
        )

    async def start(self, driver: Driver) -> None:
        """Hear from now on."""
        await self.channel.open(driver.is_successor)

    async def stop(self) -> None:
        """The end."""
        self.channel.close()

    def change(self, new: ChannelTable) -> Callable[[], None]:
        """Other keys; a name or an address waits for the next start (``ValueError``)."""
        for name in ("name", "listen"):
            if getattr(new, name) != getattr(self.table, name):
                raise ValueError(f"channel.{name} can't change in service")
        keys = read_keys(new.keys)

        def put_in_force() -> None:
            self.table = new
            self.channel.envelope.turn_keys(keys)

        return put_in_force

    def figures(self) -> list[tuple[str, int]]:
        """Counts since the start."""
        channel = self.channel
        return [
            *((f"channel.{name}", count) for name, count in channel.counts.items()),
            *((f"channel.{name}", count) for name, count in channel.envelope.counts.items()),
            ("channel.known", len(channel.lives)),
        ]
