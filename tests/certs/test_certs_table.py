"""The ``[certs]`` table in a real process, SIGHUP, the command line, and no imports without the table."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time

import pytest
from acme_rig import NAME
from async_testing import asyncio_test, until
from test_chain import csr
from test_order_kills import DAY, ROOT, Site

from saffrongw.admin import cli
from saffrongw.certs import chain
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote
from saffrongw.certs.renewal import Failures
from testbed.acme_server.issuer import Issuer

HEAD = '[certs]\nlisten = "a:1"\nstate_dir = "/s"\n'
CERT = '[[certs.certificate]]\nnames = ["a.example"]\n'
AUTHORITY = '[[certs.authority]]\ndirectory = "https://ca.example/dir"\n'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('[certs]\nstate_dir = "/s"\n', "o.toml:1: certs: the key 'listen' is missing"),
        (
            '[certs]\nlisten = "x"\nstate_dir = "/s"\n',
            "o.toml:2: certs.listen: 'x' does not have the form",
        ),
        (HEAD + CERT, "there is no [[certs.authority]]"),
        (
            HEAD + AUTHORITY + "[[certs.certificate]]\nnames = []\n",
            "o.toml:6: certs.certificate[0]: names is empty",
        ),
        (
            HEAD + AUTHORITY + '[[certs.certificate]]\nnames = ["*.a.example"]\n',
            "does not have the form",
        ),
        (
            HEAD + AUTHORITY + '[[certs.certificate]]\nnames = ["A.example"]\n',
            "does not have the form",
        ),
        (HEAD + AUTHORITY + '[[certs.certificate]]\nnames = ["a..b"]\n', "does not have the form"),
        (HEAD + AUTHORITY + '[[certs.certificate]]\nnames = ["a", "a"]\n', "a name stands twice"),
        (HEAD + AUTHORITY + CERT + CERT, "two certificates begin with the same name"),
        (HEAD + AUTHORITY + AUTHORITY + CERT, "an authority stands twice"),
        (HEAD + AUTHORITY + CERT + 'key = "dsa"\n', "'dsa' is not one of ecdsa-p256"),
        (HEAD + AUTHORITY + CERT + 'challenge = "http-01"\n', "http-01 needs http_listen"),
        (HEAD + '[[certs.authority]]\ndirectory = "http://ca"\n', "does not have the form https"),
        (HEAD + AUTHORITY + 'external_id = "x"\n', "external_id and external_key stand together"),
        (HEAD + "clock_skew = 20\n", "less than a third of lease_seconds"),
        (HEAD + '[certs.tls]\nclients = "required"\n', "client_ca is needed"),
        (HEAD + "[certs.renewal]\nlead = 0.1\n", "must fall in this order"),
        (HEAD + 'lisen = "a:1"\n', "did you mean 'listen'?"),
        (HEAD + AUTHORITY + 'default = "x"\n' + CERT, "unknown key"),
    ],
)
def test_an_invalid_table_prints_one_line_and_exits_with_2(tmp_path, capsys, text, expected):
    (tmp_path / "o.toml").write_text(text)
    assert cli.main(["check", str(tmp_path / "o.toml")]) == 2
    said = capsys.readouterr().err
    assert expected in said
    assert said.count("\n") == 1


def test_the_package_is_not_loaded_without_the_table():
    code = (
        "import sys\n"
        "from saffrongw.operator import load\n"
        "load('deploy/operator.toml')\n"
        "import saffrongw.extension_registry\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('cryptography', 'joserfc', 'ssl', 'sqlite3')"
        " or (m.startswith('saffrongw.certs') and m not in ('saffrongw.certs', 'saffrongw.certs.table'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.stdout.strip() in ("[]", "['ssl']"), (
        done.stderr
    )  # the event loop's library may import ssl


async def run_certs_command(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffrongw.admin.cli",
        "certs",
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await asyncio.wait_for(process.communicate(), 30)
    return process.returncode, out.decode(), err.decode()


@asyncio_test
async def test_all_operator_commands_with_a_running_gateway(tmp_path):
    """list, show, renew, revoke, rollover, import, and SIGHUP with invalid and valid files."""
    site = await Site(tmp_path).open()
    process = await site.start()
    first = await site.shown()
    operator = ("--operator", str(site.operator))

    code, out, _ = await run_certs_command(*operator, "list")
    assert code == 0 and NAME in out and "Stand-in Intermediate" in out and "none" in out
    code, out, _ = await run_certs_command(*operator, "--json", "list")
    assert json.loads(out)["days_left"] > 89
    code, out, _ = await run_certs_command(*operator, "show", NAME)
    assert code == 0 and "chain of 2" in out and "fingerprint" in out

    assert (await run_certs_command(*operator, "renew", NAME))[0] == 0
    second = await site.shown(first)
    assert (await run_certs_command(*operator, "rollover"))[0] == 0
    code, out, err = await run_certs_command(
        *operator, "revoke", NAME, "--reason", "key-compromise"
    )
    assert code == 0, err
    third = await site.shown(second)
    assert list(site.server.authority.revoked.values()) == [1]
    assert site.server.authority.counts["key changes"] == 1

    key, issuer, now = chain.new_key("rsa-2048"), Issuer(time.time()), time.time()
    own = issuer.chain(issuer.sign(csr(key), [NAME], now - 60, now + 400 * DAY))
    (tmp_path / "own.pem").write_bytes(own)
    (tmp_path / "own.key").write_bytes(key)
    files = ("--cert", str(tmp_path / "own.pem"), "--key", str(tmp_path / "own.key"))
    assert (await run_certs_command(*operator, "import", *files))[0] == 0
    assert await site.shown(third) == chain.der_of(own)
    (tmp_path / "other.key").write_bytes(chain.new_key("ecdsa-p256"))
    code, _, err = await run_certs_command(
        *operator, "import", *files[:3], str(tmp_path / "other.key")
    )
    assert code == 2 and "another key" in err

    good = site.operator.read_text()
    site.operator.write_text(good.replace("[[certs.certificate]]", "[[certs.certificat]]"))
    process.send_signal(signal.SIGHUP)
    await until(lambda: "did you mean 'certificate'" in site.log())
    site.operator.write_text(good.replace('state_dir = "', 'state_dir = "/elsewhere'))
    process.send_signal(signal.SIGHUP)
    await until(lambda: "certs.state_dir can't change in service" in site.log())
    more = f'[[certs.certificate]]\nnames = ["b.example", "{NAME}"]\n'
    site.operator.write_text(good + more)
    process.send_signal(signal.SIGHUP)
    await until(lambda: (site.state / "certs" / "b.example" / "current").exists(), 20)
    await site.end(process)
    await site.server.close()


def test_the_list_is_sorted_by_urgency_and_alarms_set_the_exit_status(tmp_path, capsys):
    site, key, now = CertificateSite(tmp_path / "state"), chain.new_key("ecdsa-p256"), time.time()
    site.folder.open()
    issuer = Issuer(now)
    for name, left in (("late.example", 2), ("fine.example", 80), ("over.example", -1)):
        pem = issuer.chain(issuer.sign(csr(key), [name], now - 60 * DAY, now + left * DAY))
        note = CertNote(
            names=(name,), failures=Failures("authority away", 9, now + 60, now, now, "no answer")
        )
        site.certificates.install(name, pem, key, note, None)
    assert cli.main(["certs", "--state", str(tmp_path / "state"), "list"]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines[1:4]] == [
        "over.example",
        "late.example",
        "fine.example",
    ]
    assert (
        "ended" in lines[1] and "critical" in lines[2] and "authority away: no answer" in lines[2]
    )


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        (("list",), "no such folder"),
        (("show", "x.example"), "no such folder"),
        (("import", "--cert", "/none", "--key", "/none"), "can't be read"),
    ],
)
def test_a_failed_command_prints_one_line_and_exits_with_2(tmp_path, capsys, words, expected):
    assert cli.main(["certs", "--state", str(tmp_path / "none"), *words]) == 2
    said = capsys.readouterr().err
    assert expected in said and said.count("\n") == 1


def test_commands_with_an_unknown_name_exit_with_2(tmp_path, capsys):
    site = CertificateSite(tmp_path / "state")
    site.folder.open()
    for words in (("show", "x.example"), ("renew", "x.example"), ("revoke", "x.example")):
        assert cli.main(["certs", "--state", str(tmp_path / "state"), *words]) == 2
    assert capsys.readouterr().err.count("\n") == 3
