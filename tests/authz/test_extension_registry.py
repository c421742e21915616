"""The operator file's table in a real process: switched on, wrong, and changed in service by SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import SITE, Caller, FakeHost, asyncio_test, configured, error, until

from saffrongw.admin import cli
from testbed.ext_authz_server.server import Authoriser, deny

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[authz]\n", "o.toml:1: authz: the key 'authorisers' is missing"),
        ("[authz]\nauthorisers = []\n", "o.toml:1: authz: authorisers is empty"),
        (
            '[authz]\nauthorisers = ["x"]\n',
            "o.toml:2: authz.authorisers[0]: 'x' does not have the form",
        ),
        ('[authz]\nauthorisers = ["a:1", "a:1"]\n', "an authoriser stands twice"),
        (
            '[authz]\nauthorisers = ["a:1"]\nfail = "maybe"\n',
            "o.toml:3: authz.fail: 'maybe' is not one of",
        ),
        (
            '[authz]\nauthorisers = ["a:1"]\n[authz.tls]\ncert = "x"\n',
            "o.toml:3: authz.tls: cert and key stand",
        ),
        (
            '[authz]\nauthorisers = ["a:1"]\n[[authz.fail_for]]\nmode = "open"\n',
            "class, plan or both are needed",
        ),
    ],
)
def test_a_wrong_table_gets_one_line_and_status_2(tmp_path, capsys, text, expected):
    (tmp_path / "o.toml").write_text(text)
    assert cli.main(["check", str(tmp_path / "o.toml")]) == 2
    said = capsys.readouterr().err
    assert expected in said
    assert said.count("\n") == 1


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        (
            '[[authz.fail_for]]\nclass = "gold"\nmode = "open"\n',
            "authz.fail_for[0].class: 'gold' is no class",
        ),
        ('[[authz.narrow]]\nplan = "team"\nto = ["gold"]\n', "authz.narrow[0]: 'gold' is no plan"),
        ('[authz.tls]\nca = "/none/ca.pem"\n', "can't serve"),
    ],
)
def test_what_the_configuration_does_not_have_ends_the_start(tmp_path, more, expected):
    path, _ = configured(tmp_path)
    operator = tmp_path / "o.toml"
    operator.write_text('[authz]\nauthorisers = ["127.0.0.1:1"]\n' + more)
    done = subprocess.run(
        [sys.executable, "-m", "saffrongw"],
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path), "SAFFRONGW_OPERATOR": str(operator)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode in (1, 2)
    assert expected in done.stderr
    assert "Traceback" not in done.stderr


def test_an_operator_file_without_the_table_loads_no_library():
    text = {
        "listen": "a:1",
        "discovery": "a:1",
        "seed": "1",
        "limits": {"sockets": 9},
        "settings": SITE,
    }
    code = (
        "import sys\nfrom saffrongw.admin import cli\nfrom saffrongw import operator, extension_registry\n"
        "from saffrongw.gateway.config import parse_config\n"
        f"extension_registry.build_extensions(operator.OperatorFile(), parse_config({json.dumps(text)!r}))\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('grpc', 'google') or m.startswith('saffrongw.authz')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.stdout.strip() == "[]", done.stderr


@asyncio_test
async def test_a_process_asks_and_changes_its_authoriser_on_sighup(tmp_path):
    host = await FakeHost("a").listen()
    lines = [host.line(host=name) for name in "abcdef"]
    path, port = configured(tmp_path, known={"seq": 1, "whole": True, "hosts": lines})
    first, second = await Authoriser().start(), await Authoriser(lambda request: deny()).start()
    operator = tmp_path / "o.toml"
    operator.write_text(f'[authz]\nauthorisers = ["{first.address}"]\n')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffrongw",
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path), "SAFFRONGW_OPERATOR": str(operator)},
        stderr=(log := (tmp_path / "log").open("w")),
    )
    try:
        loop, caller = asyncio.get_running_loop(), None
        async with asyncio.timeout(20):
            while caller is None:
                try:
                    _, caller = await loop.create_connection(Caller, "127.0.0.1", port)
                except OSError:
                    await asyncio.sleep(0.05)
        caller.call(number=b"one")
        assert await caller.replied() == [b"ok"]
        assert len(first.asked) == 1
        operator.write_text("[authz]\nauthorisers = 3\n")
        process.send_signal(signal.SIGHUP)
        await until(lambda: "operator_file: reload failed" in (tmp_path / "log").read_text())
        caller.call(number=b"two")
        assert await caller.replied(2) == [b"ok"] * 2
        operator.write_text(f'[authz]\nauthorisers = ["{second.address}"]\n')
        process.send_signal(signal.SIGHUP)
        number = 2

        async def denied() -> bool:
            nonlocal number
            number += 1
            caller.call(number=b"n%d" % number)
            return (await caller.replied(number))[-1] != b"ok"

        async with asyncio.timeout(10):
            while not await denied():
                await asyncio.sleep(0.05)
        assert error(caller.replies[-1]) == "ERR failed"
        assert len(second.asked) == 1
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            assert await process.wait() == 0
    finally:
        log.close()
        if process.returncode is None:
            process.kill()
        first.stop(), second.stop()
