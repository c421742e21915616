"""Parses the gateway's JSON configuration and discovery's endpoint lists into typed values.

All JSON keys of ``LB_CONFIG`` and of endpoint lists are mapped to the code's names here only; the
keys under ``settings`` that the policy needs are mapped by ``policy.settings_schema``.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
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
US_PER_MS = 1_000
US_PER_S = 1e6
BYTES_PER_MB = 1 << 20
# Where the configuration has no limit: the smallest installation.
DEFAULT_MEMORY_MB = 192
MAX_TIME_US = (1 << 63) - 1
PORT_COUNT = 65_536

# Exceptions raised by indexing and converting values of untrusted JSON.
_PARSE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)


class ConfigError(ValueError):
    """A value of the configuration or of an endpoint list is missing or malformed.

    ``key`` is the dotted path of the key, empty for a value outside a JSON object; ``message``
    consists of the key and the reason. ``str`` and ``repr`` are those of the underlying error,
    because ``saffrongw check`` prints the former and start-up prints the latter: that output is an
    interface.
    """

    def __init__(self, key: str, reason: str) -> None:
        """Store the key and the reason."""
        super().__init__(reason)
        self.key = key
        self.reason = reason

    @property
    def message(self) -> str:
        """The key and the reason."""
        return f"{self.key}: {self.reason}" if self.key else self.reason

    def __repr__(self) -> str:
        """Return the ``repr`` of the underlying error, which start-up prints."""
        return repr(self.__cause__ or ValueError(self.reason))


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """An endpoint of a list: the entry for the policy, and the address to connect to."""

    entry: EndpointEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A complete endpoint list, or the changes since an earlier version."""

    version: int
    is_complete: bool
    endpoints: tuple[DiscoveredEndpoint, ...]
    # Entries that were skipped because they could not be parsed.
    malformed_count: int = 0


@dataclass(frozen=True, slots=True)
class Config:
    """The gateway's configuration; ``known`` is the endpoint list cached by an earlier run."""

    listen: Address
    discovery: Address
    # Address of the operators' HTTP server; None if it is disabled.
    admin: Address | None
    seed: int
    sockets: int
    memory_bytes: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known: EndpointList
    settings: Settings
    classes: dict[bytes, int]
    plans: dict[bytes, int]
    zones: tuple[str, ...]
    max_units: float
    idle_close_s: float
    connect_timeout_s: float

    @property
    def class_names(self) -> tuple[str, ...]:
        """Names of the request classes in the order of their indexes."""
        return _names_by_index(self.classes)

    @property
    def plan_names(self) -> tuple[str, ...]:
        """Names of the plans in the order of their indexes."""
        return _names_by_index(self.plans)


def _names_by_index(indexes: dict[bytes, int]) -> tuple[str, ...]:
    ordered = sorted(indexes.items(), key=lambda item: item[1])
    return tuple(name.decode() for name, _ in ordered)


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``; raises ``ConfigError`` for any other text."""
    with _parsing_key(""):
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) < PORT_COUNT:
            raise ConfigError("", f"not an address: {text!r}")
        return host, int(port)


def _reason(error: Exception) -> str:
    if isinstance(error, ConfigError):
        return error.reason
    if isinstance(error, KeyError):
        return f"the key {error.args[0]!r} is missing"
    return str(error)


@contextmanager
def _parsing_key(key: str) -> Iterator[None]:
    """Convert parse errors in the block to ``ConfigError`` for this key and the path below it."""
    try:
        yield
    except _PARSE_ERRORS as error:
        inner = error.key if isinstance(error, ConfigError) else ""
        path = ".".join(part for part in (key, inner) if part)
        cause = error.__cause__ if isinstance(error, ConfigError) else error
        raise ConfigError(path, _reason(error)) from cause


def _address(raw: dict[str, Any], key: str) -> Address:
    with _parsing_key(key):
        return parse_address(raw[key])


def _optional_address(raw: dict[str, Any], key: str) -> Address | None:
    return _address(raw, key) if raw.get(key) else None


def _endpoint(raw: dict[str, Any], zones: tuple[str, ...]) -> DiscoveredEndpoint:
    """Parse one entry of a list.

    All zones that are not in the settings share the index after the last configured zone.
    """
    with _parsing_key("hosts"):
        zone, started_at_us = raw["site"], int(raw["born_ms"]) * US_PER_MS
        if not 0 <= started_at_us <= MAX_TIME_US:
            raise ConfigError("born_ms", "out of range")
        entry = EndpointEntry(
            endpoint_id=str(raw["host"]).encode(),
            state=ENDPOINT_STATES[raw["health"]],
            zone=zones.index(zone) if zone in zones else len(zones),
            cell=int(raw["block"]),
            started_at_us=started_at_us,
            size=float(raw["share"]),
        )
        return DiscoveredEndpoint(entry, parse_address(raw["dial"]))


def parse_endpoint_list(raw: dict[str, Any], zones: tuple[str, ...]) -> EndpointList:
    """Parse an endpoint list as discovery sends it; raises ``ConfigError`` if it is malformed.

    A malformed entry is skipped and counted; the other entries are used.
    """
    endpoints = []
    malformed_count = 0
    with _parsing_key("hosts"):
        entries = iter(raw["hosts"])
    for entry in entries:
        try:
            endpoints.append(_endpoint(entry, zones))
        except ConfigError:
            malformed_count += 1
    with _parsing_key("seq"):
        version = int(raw["seq"])
    with _parsing_key("whole"):
        is_complete = bool(raw["whole"])
    return EndpointList(version, is_complete, tuple(endpoints), malformed_count)


def _known_endpoints(raw: dict[str, Any], zones: tuple[str, ...]) -> EndpointList:
    known = raw.get("known")
    if not known:
        return EndpointList(0, True, ())
    with _parsing_key("known"):
        return parse_endpoint_list(known, zones)


def _indexes_by_name(settings: dict[str, Any], key: str) -> dict[bytes, int]:
    with _parsing_key(f"settings.{key}"):
        return {item["name"].encode(): index for index, item in enumerate(settings[key])}


def _seconds(permissions: dict[str, Any], key: str) -> float:
    with _parsing_key(f"settings.permissions.{key}"):
        return permissions[key] / US_PER_S


def _seed(raw: dict[str, Any]) -> int:
    with _parsing_key("seed"):
        return int(raw["seed"], 16)


def _sockets(raw: dict[str, Any]) -> int:
    with _parsing_key("limits.sockets"):
        return int(raw["limits"]["sockets"])


def _memory_bytes(raw: dict[str, Any]) -> int:
    with _parsing_key("limits.memory_mb"):
        memory_mb = float(raw["limits"].get("memory_mb", DEFAULT_MEMORY_MB))
        if not 0 < memory_mb < float("inf"):
            raise ConfigError("", "must be a positive number")
        return int(memory_mb * BYTES_PER_MB)


def _peers(peers: Iterable[str]) -> tuple[Address, ...]:
    with _parsing_key("peers"):
        return tuple(parse_address(peer) for peer in peers)


def _policy_settings(settings: dict[str, Any]) -> Settings:
    with _parsing_key("settings"):
        return parse_settings(json.dumps(settings).encode())


def _max_units(settings: dict[str, Any]) -> float:
    with _parsing_key("settings.familyInfo.unitsTop"):
        return float(settings["familyInfo"].get("unitsTop") or 1)


def parse_config(text: str) -> Config:
    """Parse the configuration.

    Raises ``ConfigError``, or ``SettingsError`` if the policy's settings are invalid.
    """
    with _parsing_key(""):
        raw = json.loads(text)
        settings = raw["settings"]
    with _parsing_key("settings.zones"):
        zones = tuple(settings["zones"])
    with _parsing_key("peers"):
        peers = raw.get("peers") or ()
    with _parsing_key("settings.permissions"):
        permissions = settings["permissions"]
    # Fields are evaluated in this order; of several errors the first one is reported.
    return Config(
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        admin=_optional_address(raw, "admin"),
        seed=_seed(raw),
        sockets=_sockets(raw),
        memory_bytes=_memory_bytes(raw),
        peer_listen=_optional_address(raw, "peer_listen") if peers else None,
        peers=_peers(peers),
        known=_known_endpoints(raw, zones),
        settings=_policy_settings(settings),
        classes=_indexes_by_name(settings, "classes"),
        plans=_indexes_by_name(settings, "packages"),
        zones=zones,
        max_units=_max_units(settings),
        idle_close_s=_seconds(permissions, "idleClose"),
        connect_timeout_s=_seconds(permissions, "connectTimeout"),
    )
