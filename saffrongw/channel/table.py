"""The ``[channel]`` table of the operator file; field names are its keys."""

from __future__ import annotations

from dataclasses import dataclass

from toml_schema import ADDRESS, key

GATEWAY_NAME_PATTERN = r"[A-Za-z0-9_.\-]{1,64}"
MAX_KEYS = 8


@dataclass(frozen=True, slots=True)
class ChannelTable:
    """``[channel]``: signed datagrams between gateways, on an address separate from gossip."""

    name: str = key(form=GATEWAY_NAME_PATTERN, about="of this gateway: no two have the same")
    listen: str = key(form=ADDRESS, about="HOST:PORT, UDP")
    keys: tuple[str, ...] = key(
        about="files of shared secrets, mode 0600: the first one signs, all are believed"
    )

    def __post_init__(self) -> None:
        """Check the bounds; raise ``ValueError`` naming what is wrong."""
        if not self.keys:
            raise ValueError("keys is empty")
        if len(self.keys) > MAX_KEYS:
            raise ValueError(f"{MAX_KEYS} keys at most")
