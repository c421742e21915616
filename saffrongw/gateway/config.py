"""The configuration: JSON to typed values; the settings go through the module's own parser."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..policy.events import EndpointEntry, EndpointState
from ..policy.settings import Settings
from ..policy.settings_schema import parse_settings

Address = tuple[str, int]

ENDPOINT_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
MS = 1_000  # microseconds


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One line of discovery's list: what the module is told, and where to connect."""

    entry: EndpointEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list of hosts, or what changed in it."""

    version: int
    whole: bool
    hosts: tuple[DiscoveredEndpoint, ...]
    odd: int = 0  # entries that made no sense and were left out


@dataclass(frozen=True, slots=True)
class Config:
    """All that the gateway is told at its start."""

    listen: Address
    discovery: Address
    admin: Address | None  # where operators call
    seed: int
    sockets: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known: EndpointList
    settings: Settings
    classes: dict[bytes, int]
    plans: dict[bytes, int]
    zones: tuple[str, ...]
    units_most: float
    idle_close: float  # seconds
    connect_timeout: float  # seconds

    @property
    def class_names(self) -> tuple[str, ...]:
        """Names of the classes, by their numbers."""
        return _by_number(self.classes)

    @property
    def plan_names(self) -> tuple[str, ...]:
        """Names of the plans, by their numbers."""
        return _by_number(self.plans)


def _by_number(numbers: dict[bytes, int]) -> tuple[str, ...]:
    return tuple(name.decode() for name, _ in sorted(numbers.items(), key=lambda item: item[1]))


def parse_address(text: str) -> Address:
    """``HOST:PORT`` as a pair."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def parse_endpoint_list(raw: dict[str, Any], zones: tuple[str, ...]) -> EndpointList:
    """Discovery's form of a list; an odd entry is left out and counted, the others stand."""
    hosts, odd = [], 0
    for line in raw["hosts"]:
        try:
            site, born = line["site"], int(line["born_ms"]) * MS
            if not 0 <= born < 1 << 63:
                raise ValueError("not a time")
            entry = EndpointEntry(
                endpoint_id=str(line["host"]).encode(),
                state=ENDPOINT_STATES[line["health"]],
                zone=zones.index(site) if site in zones else len(zones),
                cell=int(line["block"]),
                started_at_us=born,
                size=float(line["share"]),
            )
            hosts.append(DiscoveredEndpoint(entry, parse_address(line["dial"])))
        except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError):
            odd += 1
    return EndpointList(int(raw["seq"]), bool(raw["whole"]), tuple(hosts), odd)


def parse_config(text: str) -> Config:
    """The whole configuration."""
    raw = json.loads(text)
    settings = raw["settings"]
    zones = tuple(settings["zones"])
    peers = raw.get("peers") or ()
    may = settings["permissions"]
    return Config(
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        admin=parse_address(raw["admin"]) if raw.get("admin") else None,
        seed=int(raw["seed"], 16),
        sockets=int(raw["limits"]["sockets"]),
        peer_listen=parse_address(raw["peer_listen"]) if peers and raw.get("peer_listen") else None,
        peers=tuple(parse_address(peer) for peer in peers),
        known=parse_endpoint_list(
            raw.get("known") or {"seq": 0, "whole": True, "hosts": ()}, zones
        ),
        settings=parse_settings(json.dumps(settings).encode()),
        classes={c["name"].encode(): i for i, c in enumerate(settings["classes"])},
        plans={p["name"].encode(): i for i, p in enumerate(settings["packages"])},
        zones=zones,
        units_most=float(settings["familyInfo"].get("unitsTop") or 1),
        idle_close=may["idleClose"] / 1e6,
        connect_timeout=may["connectTimeout"] / 1e6,
    )
