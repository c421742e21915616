"""``[channel]`` of the operator file."""

from __future__ import annotations

from dataclasses import dataclass

from toml_schema import ADDRESS, key

GATEWAY = r"[A-Za-z0-9_.\-]{1,64}"


@dataclass(frozen=True, slots=True)
class ChannelTable:
    """``[channel]``: datagrams between gateways, beside the peers' address."""

    name: str = key(form=GATEWAY, about="of this gateway: no two have the same")
    listen: str = key(form=ADDRESS, about="HOST:PORT, UDP")
    keys: tuple[str, ...] = key(
        about="files of shared secrets, mode 0600: the first one signs, all are believed"
    )

    def __post_init__(self) -> None:
        if not self.keys:
            raise ValueError("keys is empty")
        if len(self.keys) > 8:
            raise ValueError("8 keys at most")
