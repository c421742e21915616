"""The command line: valid and invalid input, exit statuses, and that no optional module is imported."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from loopback_rig import SITE

from saffrongw.admin import cli

ROOT = Path(__file__).parent.parent.parent


def configuration() -> dict:
    return {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "01"} | {
        "limits": {"sockets": 64},
        "settings": SITE,
    }


def test_check_accepts_the_operator_file_of_the_repository(capsys):
    assert cli.main(["check", str(ROOT / "deploy" / "operator.toml")]) == 0
    assert capsys.readouterr().out.endswith("good\n")


def test_check_accepts_a_valid_configuration(tmp_path):
    (tmp_path / "c.json").write_text(json.dumps(configuration()))
    assert cli.main(["check", str(tmp_path / "c.json")]) == 0


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        (
            "o.toml",
            "[stages]\ntime_shar = 1\n",
            "o.toml:2: stages.time_shar: unknown key; did you mean",
        ),
        (
            "o.toml",
            "[stages]\ntime_share = 2\n",
            "o.toml:2: stages.time_share: 2 is out of range (0.01 to 0.9)",
        ),
        ("o.toml", "[hooks]\n", "o.toml:1: hooks: unknown key"),
        ("c.json", "{", "c.json: Expecting"),
        ("c.json", "{}", "c.json: the key 'settings' is missing"),
        ("c.json", json.dumps(configuration() | {"listen": "x"}), "c.json: not an address: 'x'"),
        (
            "c.json",
            json.dumps(configuration() | {"known": {"seq": 1, "whole": True, "hosts": [{}]}}),
            "c.json: known.hosts: 1 entries make no sense",
        ),
        ("c.yaml", "", "c.yaml: neither an operator file (.toml)"),
    ],
)
def test_check_reports_a_malformed_file_in_one_line_with_status_2(
    tmp_path, capsys, name, text, expected
):
    (tmp_path / name).write_text(text)
    assert cli.main(["check", str(tmp_path / name)]) == 2
    stderr = capsys.readouterr().err
    assert expected in stderr
    assert stderr.count("\n") == 1


def run(*words: str, **variables: str) -> subprocess.CompletedProcess:
    environment = {
        name: text
        for name, text in os.environ.items()
        if name not in ("LB_CONFIG", "SAFFRONGW_OPERATOR")
    }
    return subprocess.run(
        [sys.executable, *words],
        cwd=ROOT,
        env=environment | variables,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_serve_without_a_configuration_names_the_variable_and_exits_with_status_2():
    completed = run("-m", "saffrongw.admin.cli", "serve")
    assert completed.returncode == 2
    assert "LB_CONFIG" in completed.stderr
    assert "Traceback" not in completed.stderr


def test_a_malformed_operator_file_fails_the_start_with_status_2(tmp_path):
    (tmp_path / "o.toml").write_text("x = 1\n")
    completed = run("-m", "saffrongw", SAFFRONGW_OPERATOR=str(tmp_path / "o.toml"))
    assert completed.returncode == 2
    assert "o.toml:1: x: unknown key" in completed.stderr


def test_a_gateway_without_an_operator_file_imports_no_optional_module():
    code = (
        "import sys, saffrongw.__main__, saffrongw.gateway.bootstrap as p\n"
        "print([m for m in sys.modules if m.startswith(('saffrongw.operator', 'saffrongw.admin', 'toml_schema',"
        " 'tomllib', 'saffrongw.gateway.filter_chain', 'saffrongw.gateway.filtering_driver',"
        " 'saffrongw.gateway.observers', 'saffrongw.gateway.extension_faults', 'testbed', 'sqlite3', 'grpc'))])"
    )
    assert run("-c", code).stdout.strip() == "[]"


def test_version_prints_the_project_and_its_version():
    assert run("-m", "saffrongw.admin.cli", "version").stdout.startswith("saffrongw 0.")
