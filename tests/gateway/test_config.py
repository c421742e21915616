"""Parsing of the configuration and of endpoint lists; errors name the key."""

from __future__ import annotations

import json
from typing import Any

import pytest
from fake_endpoint import FakeEndpoint
from loopback_rig import SITE

from saffrongw.gateway.config import (
    ConfigError,
    EndpointList,
    parse_address,
    parse_config,
    parse_endpoint_list,
)
from saffrongw.policy.settings_schema import SettingsError

ZONES = ("hall-a", "hall-b")


def entry(name: str, **changes: Any) -> dict[str, Any]:
    """Return an entry of an endpoint list, as discovery sends it."""
    endpoint = FakeEndpoint(name)
    endpoint.port = 7
    return endpoint.line(**changes)


def configuration() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "01",
        "limits": {"sockets": 64},
        "settings": SITE,
    }


def changed(path: str, value: Any) -> str:
    """Return a valid configuration with one value replaced; None removes the key."""
    raw = json.loads(json.dumps(configuration()))
    *parents, key = path.split(".")
    table = raw
    for parent in parents:
        table = table[parent]
    if value is None:
        del table[key]
    else:
        table[key] = value
    return json.dumps(raw)


def test_malformed_entries_are_skipped_and_counted_and_the_others_are_used():
    malformed = [7, None, {}, entry("x", health="ASLEEP"), entry("x", block="b")]
    malformed += [entry("x", dial="nowhere"), entry("x", born_ms=-1)]
    malformed += [entry("x", born_ms=float("inf")), entry("x", born_ms=10**30)]
    good = entry("a", site="hall-b", born_ms=12)
    listed = parse_endpoint_list({"seq": 1, "whole": True, "hosts": [*malformed, good]}, ZONES)
    assert listed.malformed_count == len(malformed)
    (endpoint,) = listed.endpoints
    assert endpoint.entry.endpoint_id == b"a"
    assert endpoint.entry.zone == 1
    assert endpoint.entry.started_at_us == 12_000
    assert endpoint.address == ("127.0.0.1", 7)


@pytest.mark.parametrize("key", ["hosts", "seq", "whole"])
def test_an_endpoint_list_without_a_key_is_an_error_that_names_it(key):
    raw = {"seq": 1, "whole": True, "hosts": []}
    del raw[key]
    with pytest.raises(ConfigError) as caught:
        parse_endpoint_list(raw, ZONES)
    assert caught.value.key == key
    assert caught.value.message == f"{key}: the key {key!r} is missing"


@pytest.mark.parametrize("text", ["nowhere", ":1", "a:", "a:65536", "a:b", "a:-1"])
def test_a_malformed_address_is_an_error(text):
    with pytest.raises(ConfigError) as caught:
        parse_address(text)
    assert str(caught.value) == f"not an address: {text!r}"
    assert repr(caught.value) == repr(ValueError(f"not an address: {text!r}"))


@pytest.mark.parametrize(
    ("path", "value", "key", "reason", "printed"),
    [
        ("listen", None, "listen", "the key 'listen' is missing", "KeyError('listen')"),
        ("listen", "x", "listen", "not an address: 'x'", "ValueError(\"not an address: 'x'\")"),
        (
            "listen",
            7,
            "listen",
            "'int' object has no attribute 'rpartition'",
            "AttributeError(\"'int' object has no attribute 'rpartition'\")",
        ),
        ("seed", "zz", "seed", None, None),
        ("limits", {}, "limits.sockets", "the key 'sockets' is missing", "KeyError('sockets')"),
        ("peers", ["x"], "peers", "not an address: 'x'", "ValueError(\"not an address: 'x'\")"),
        ("known", {"seq": 1}, "known.hosts", "the key 'hosts' is missing", "KeyError('hosts')"),
        ("settings.zones", None, "settings.zones", None, "KeyError('zones')"),
        ("settings.permissions", None, "settings.permissions", None, "KeyError('permissions')"),
    ],
)
def test_an_invalid_value_is_an_error_that_names_its_key_and_prints_as_its_cause(
    path, value, key, reason, printed
):
    with pytest.raises(ConfigError) as caught:
        parse_config(changed(path, value))
    assert caught.value.key == key
    assert caught.value.message == f"{key}: {caught.value.reason}"
    if reason is not None:
        assert str(caught.value) == reason
    if printed is not None:
        assert repr(caught.value) == printed


def test_invalid_json_is_an_error():
    with pytest.raises(ConfigError, match="Expecting value") as caught:
        parse_config("nothing")
    assert repr(caught.value).startswith("JSONDecodeError(")


def test_invalid_policy_settings_raise_the_policys_own_error():
    with pytest.raises(SettingsError, match="rules"):
        parse_config(changed("settings.rules", None))


def test_without_a_known_list_the_endpoint_list_is_empty():
    assert parse_config(changed("known", {})).known == EndpointList(0, True, ())
