"""[authz] in a real process: enabled, malformed, and reloaded by SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, error
from fake_endpoint import FakeEndpoint
from loopback_rig import SITE
from program_rig import configured

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
def test_check_reports_a_malformed_table_in_one_line_with_status_2(
    tmp_path, capsys, text, expected
):
    (tmp_path / "o.toml").write_text(text)
    assert cli.main(["check", str(tmp_path / "o.toml")]) == 2
    stderr = capsys.readouterr().err
    assert expected in stderr
    assert stderr.count("\n") == 1


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
def test_a_table_that_does_not_fit_the_configuration_fails_the_start(tmp_path, more, expected):
    path, _ = configured(tmp_path)
    operator = tmp_path / "o.toml"
    operator.write_text('[authz]\nauthorisers = ["127.0.0.1:1"]\n' + more)
    completed = subprocess.run(
        [sys.executable, "-m", "saffrongw"],
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path), "SAFFRONGW_OPERATOR": str(operator)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode in (1, 2)
    assert expected in completed.stderr
    assert "Traceback" not in completed.stderr


def test_an_operator_file_without_the_table_imports_neither_grpc_nor_the_package():
    config = {
        "listen": "a:1",
        "discovery": "a:1",
        "seed": "1",
        "limits": {"sockets": 9},
        "settings": SITE,
    }
    code = (
        "import sys\nfrom saffrongw.admin import cli\nfrom saffrongw import operator, extension_registry\n"
        "from saffrongw.gateway.config import parse_config\n"
        f"extension_registry.build_extensions(operator.OperatorFile(), parse_config({json.dumps(config)!r}))\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('grpc', 'google') or m.startswith('saffrongw.authz')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.stdout.strip() == "[]", completed.stderr


async def connected(port: int) -> Caller:
    """Return a client's connection, once the gateway listens."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(20):
        while True:
            try:
                return (await loop.create_connection(Caller, "127.0.0.1", port))[1]
            except OSError:
                await asyncio.sleep(0.05)


async def call_until_rejected(caller: Caller) -> None:
    """Send requests one after another until one is not served."""
    async with asyncio.timeout(10):
        while caller.replies[-1] == b"ok":
            number = len(caller.replies) + 1
            caller.call(number=b"n%d" % number)
            await caller.replied(number)
            await asyncio.sleep(0.05)


@asyncio_test
async def test_a_process_checks_requests_and_changes_its_authoriser_on_sighup(tmp_path):
    host = await FakeEndpoint("a").listen()
    lines = [host.line(host=name) for name in "abcdef"]
    path, port = configured(tmp_path, known={"seq": 1, "whole": True, "hosts": lines})
    first, second = await Authoriser().start(), await Authoriser(lambda _: deny()).start()
    operator, log = tmp_path / "o.toml", tmp_path / "log"
    operator.write_text(f'[authz]\nauthorisers = ["{first.address}"]\n')
    with log.open("w") as stderr:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "saffrongw",
            cwd=ROOT,
            env=os.environ | {"LB_CONFIG": str(path), "SAFFRONGW_OPERATOR": str(operator)},
            stderr=stderr,
        )
    try:
        caller = await connected(port)
        caller.call(number=b"one")
        assert await caller.replied() == [b"ok"]
        assert len(first.asked) == 1
        operator.write_text("[authz]\nauthorisers = 3\n")
        process.send_signal(signal.SIGHUP)
        await until(lambda: "operator_file: reload failed" in log.read_text())
        caller.call(number=b"two")
        assert await caller.replied(2) == [b"ok"] * 2
        operator.write_text(f'[authz]\nauthorisers = ["{second.address}"]\n')
        process.send_signal(signal.SIGHUP)
        await call_until_rejected(caller)
        assert error(caller.replies[-1]) == "ERR failed"
        assert len(second.asked) == 1
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
        first.stop()
        second.stop()
