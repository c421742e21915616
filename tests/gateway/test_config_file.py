"""The configuration file: errors that start-up prints, and the changes that a reload applies."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from loopback_rig import SITE

from saffrongw.gateway import bootstrap
from saffrongw.gateway.config_file import (
    ConfigFileError,
    ConfigReloader,
    read_config,
    read_effective_config,
)
from saffrongw.gateway.metrics import Metrics

TEXT = {"listen": "h:1", "discovery": "h:2", "seed": "1", "limits": {"sockets": 9}}


class FakeDiscovery:
    """Records the address to which it was moved."""

    def __init__(self) -> None:
        self.address = ("h", 2)

    def move(self, address) -> None:
        self.address = address


def write(path: Path, **changes) -> Path:
    path.write_text(json.dumps(TEXT | {"settings": SITE} | changes))
    return path


@pytest.mark.parametrize(
    ("changes", "printed"),
    [
        ({"listen": "x"}, "ValueError(\"not an address: 'x'\")"),
        ({"limits": {}}, "KeyError('sockets')"),
        ({"settings": SITE | {"rules": {}}}, "WireError(\"settings lack the key 'askWithin'\")"),
    ],
)
def test_start_up_prints_errors_of_a_malformed_file_in_the_stable_form(
    tmp_path, capsys, changes, printed
):
    assert bootstrap.run(str(write(tmp_path / "c.json", **changes))) == 1
    assert capsys.readouterr().err == f"saffrongw: no usable configuration: {printed}\n"


def test_a_malformed_file_raises_an_error_that_names_it(tmp_path):
    path = write(tmp_path / "c.json", listen="x")
    with pytest.raises(ConfigFileError, match=r"c\.json: not an address: 'x'"):
        read_config(path)


def test_the_environment_sets_the_admin_address_only_if_the_file_has_none(tmp_path, monkeypatch):
    monkeypatch.setenv("LB_ADMIN", "h:3")
    assert read_effective_config(write(tmp_path / "a.json")).admin == ("h", 3)
    assert read_effective_config(write(tmp_path / "b.json", admin="h:4")).admin == ("h", 4)


def test_a_reload_moves_discovery_and_keeps_the_rest_until_a_restart(tmp_path, caplog):
    path = write(tmp_path / "c.json")
    discovery, metrics = FakeDiscovery(), Metrics(3)
    reloader = ConfigReloader(path, read_config(path), discovery, metrics)
    write(path, discovery="h:9", listen="h:5")
    reloader.reload()
    assert discovery.address == reloader.config.discovery == ("h", 9)
    assert reloader.config.listen == ("h", 1)
    assert (metrics.reloads, metrics.reloads_failed) == (1, 0)
    assert "config: change waits for restart: effective=discovery" in caplog.text


def test_a_reload_of_a_malformed_file_keeps_the_configuration_and_is_counted(tmp_path, caplog):
    path = write(tmp_path / "c.json")
    discovery, metrics = FakeDiscovery(), Metrics(3)
    reloader = ConfigReloader(path, read_config(path), discovery, metrics)
    path.write_text("{")
    reloader.reload()
    assert discovery.address == ("h", 2)
    assert (metrics.reloads, metrics.reloads_failed) == (0, 1)
    assert "config: reload failed: action=keep cause=JSONDecodeError(" in caplog.text
