"""Read the gateway's JSON configuration and discovery's endpoint lists into typed values.

All JSON keys of ``LB_CONFIG`` and of endpoint lists are mapped to the code's names here and nowhere
else; the keys under ``settings`` that the policy needs go through ``policy.settings_schema``.
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
MAX_TIME_US = (1 << 63) - 1
PORT_COUNT = 65_536

# What indexing and converting values of foreign JSON raises.
_MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)


class ConfigError(ValueError):
    """A value of the configuration or of an endpoint list is missing or malformed.

    ``key`` names the key with a dotted path and is empty for a value outside a JSON object;
    ``message`` names the key and the reason. ``str`` and ``repr`` stay those of the reason, because
    ``saffrongw check`` prints the one and start-up prints the other: that output is an interface.
    """

    def __init__(self, key: str, reason: str) -> None:
        """Keep the key and the reason."""
        super().__init__(reason)
        self.key = key
        self.reason = reason

    @property
    def message(self) -> str:
        """The key and the reason."""
        return f"{self.key}: {self.reason}" if self.key else self.reason

    def __repr__(self) -> str:
        """Return the form of the underlying error, which start-up prints."""
        return repr(self.__cause__ or ValueError(self.reason))


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """An endpoint of a list: what the policy is notified of, and the address to connect to."""

    entry: EndpointEntry
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A complete endpoint list, or the changes since an earlier version."""

    version: int
    is_complete: bool
    endpoints: tuple[DiscoveredEndpoint, ...]
    # Entries that were left out because they could not be parsed.
    malformed_count: int = 0


@dataclass(frozen=True, slots=True)
class Config:
    """The gateway's configuration; ``known`` is the endpoint list of an earlier run."""

    listen: Address
    discovery: Address
    # Address of the operators' HTTP server; none where it is off.
    admin: Address | None
    seed: int
    sockets: int
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
        """Names of the request classes in the order of their numbers."""
        return _names_by_number(self.classes)

    @property
    def plan_names(self) -> tuple[str, ...]:
        """Names of the plans in the order of their numbers."""
        return _names_by_number(self.plans)


def _names_by_number(numbers: dict[bytes, int]) -> tuple[str, ...]:
    ordered = sorted(numbers.items(), key=lambda item: item[1])
    return tuple(name.decode() for name, _ in ordered)


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``; raises ``ConfigError`` where it is none."""
    with _reading(""):
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
def _reading(key: str) -> Iterator[None]:
    """Raise what goes wrong within as ``ConfigError`` of this key, with an inner key appended."""
    try:
        yield
    except _MALFORMED as error:
        inner = error.key if isinstance(error, ConfigError) else ""
        path = ".".join(part for part in (key, inner) if part)
        cause = error.__cause__ if isinstance(error, ConfigError) else error
        raise ConfigError(path, _reason(error)) from cause


def _address(raw: dict[str, Any], key: str) -> Address:
    with _reading(key):
        return parse_address(raw[key])


def _optional_address(raw: dict[str, Any], key: str) -> Address | None:
    return _address(raw, key) if raw.get(key) else None


def _endpoint(raw: dict[str, Any], zones: tuple[str, ...]) -> DiscoveredEndpoint:
    """Parse one entry of a list.

    A zone that the settings don't name gets the number behind the last one.
    """
    with _reading("hosts"):
        zone, started_at_us = raw["site"], int(raw["born_ms"]) * US_PER_MS
        if not 0 <= started_at_us <= MAX_TIME_US:
            raise ConfigError("born_ms", "not a time")
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
    """Parse discovery's form of an endpoint list; raises ``ConfigError`` where it is none.

    A malformed entry is left out and counted; the others stand.
    """
    endpoints = []
    malformed_count = 0
    with _reading("hosts"):
        entries = iter(raw["hosts"])
    for entry in entries:
        try:
            endpoints.append(_endpoint(entry, zones))
        except ConfigError:
            malformed_count += 1
    with _reading("seq"):
        version = int(raw["seq"])
    with _reading("whole"):
        is_complete = bool(raw["whole"])
    return EndpointList(version, is_complete, tuple(endpoints), malformed_count)


def _known_endpoints(raw: dict[str, Any], zones: tuple[str, ...]) -> EndpointList:
    known = raw.get("known")
    if not known:
        return EndpointList(0, True, ())
    with _reading("known"):
        return parse_endpoint_list(known, zones)


def _numbers(settings: dict[str, Any], key: str) -> dict[bytes, int]:
    with _reading(f"settings.{key}"):
        return {item["name"].encode(): number for number, item in enumerate(settings[key])}


def _seconds(permissions: dict[str, Any], key: str) -> float:
    with _reading(f"settings.permissions.{key}"):
        return permissions[key] / US_PER_S


def _seed(raw: dict[str, Any]) -> int:
    with _reading("seed"):
        return int(raw["seed"], 16)


def _sockets(raw: dict[str, Any]) -> int:
    with _reading("limits.sockets"):
        return int(raw["limits"]["sockets"])


def _peers(peers: Iterable[str]) -> tuple[Address, ...]:
    with _reading("peers"):
        return tuple(parse_address(peer) for peer in peers)


def _policy_settings(settings: dict[str, Any]) -> Settings:
    with _reading("settings"):
        return parse_settings(json.dumps(settings).encode())


def _max_units(settings: dict[str, Any]) -> float:
    with _reading("settings.familyInfo.unitsTop"):
        return float(settings["familyInfo"].get("unitsTop") or 1)


def parse_config(text: str) -> Config:
    """Parse the configuration.

    Raises ``ConfigError``, or ``SettingsError`` where the policy's settings are wrong.
    """
    with _reading(""):
        raw = json.loads(text)
        settings = raw["settings"]
    with _reading("settings.zones"):
        zones = tuple(settings["zones"])
    with _reading("peers"):
        peers = raw.get("peers") or ()
    with _reading("settings.permissions"):
        permissions = settings["permissions"]
    # Evaluated in this order: of several errors the first one is reported.
    return Config(
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        admin=_optional_address(raw, "admin"),
        seed=_seed(raw),
        sockets=_sockets(raw),
        peer_listen=_optional_address(raw, "peer_listen") if peers else None,
        peers=_peers(peers),
        known=_known_endpoints(raw, zones),
        settings=_policy_settings(settings),
        classes=_numbers(settings, "classes"),
        plans=_numbers(settings, "packages"),
        zones=zones,
        max_units=_max_units(settings),
        idle_close_s=_seconds(permissions, "idleClose"),
        connect_timeout_s=_seconds(permissions, "connectTimeout"),
    )
