"""Real gateways killed at every step of an order: after a restart, a valid certificate serves and no key is lost."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

import pytest
from acme_rig import NAME, trusting
from async_testing import asyncio_test
from program_rig import configured
from test_chain import csr

from saffrongw.certs import chain
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote
from testbed.acme_server.issuer import Issuer
from testbed.acme_server.server import AuthorityServer
from testbed.runner.processes import die_with_parent, free_port

ROOT = Path(__file__).parent.parent.parent
STEPS = (
    64  # more than a first order has; a run with fewer steps obtains its certificate without a kill
)
DAY = 86_400.0


class Site:
    """One gateway process with its folder and its authority."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.tls = folder, free_port()
        self.config, _ = configured(folder)
        self.state = folder / "state"
        self.lives = 0

    async def open(self) -> Site:
        self.server = await AuthorityServer().listen()
        self.server.tls = [("127.0.0.1", self.tls)]
        self.operator = self.folder / "operator.toml"
        self.operator.write_text(
            f'[certs]\nlisten = "127.0.0.1:{self.tls}"\nstate_dir = "{self.state}"\n'
            "lease_seconds = 1.0\nclock_skew = 0.05\n"
            f'[[certs.certificate]]\nnames = ["{NAME}"]\n'
            f'[[certs.authority]]\ndirectory = "{self.server.directory}"\nca = "{self.server.write_ca(self.folder)}"\n'
        )
        return self

    async def start(self, kill_at: int = 0) -> asyncio.subprocess.Process:
        self.lives += 1
        run = ["-m", "tests.certs.kill_points", str(kill_at)] if kill_at else ["-m", "saffrongw"]
        with (self.folder / "log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *run,
                cwd=ROOT,
                env=os.environ
                | {"LB_CONFIG": str(self.config), "SAFFRONGW_OPERATOR": str(self.operator)},
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )

    def served_certificate(self) -> bytes | None:
        """Return the certificate that a client receives, or None."""
        try:
            sock = socket.create_connection(("127.0.0.1", self.tls), timeout=2)
            with trusting().wrap_socket(sock, server_hostname=NAME) as tls:
                return tls.getpeercert(binary_form=True)
        except OSError:
            return None

    async def shown(self, other_than: bytes | None = None) -> bytes:
        async with asyncio.timeout(40):
            while (found := await asyncio.to_thread(self.served_certificate)) in (None, other_than):
                await asyncio.sleep(0.05)
            return found

    def log(self) -> str:
        return (self.folder / "log").read_text()

    async def end(self, process: asyncio.subprocess.Process) -> None:
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 20) == 0
        assert "Traceback" not in self.log()

    def check(self) -> None:
        """Check the folder: a valid pair, no unfinished order or pending key, only owner access, one account."""
        site = CertificateSite(self.state)
        pair = site.certificates.pair(NAME)
        chain.check_pair(*site.certificates.files(pair), (NAME,), time.time())
        assert site.certificates.note(NAME).order is None
        assert not (self.state / "certs" / NAME / "pending.key").exists()
        assert not list(self.state.rglob("account.key.gone-*"))
        for path in self.state.rglob("*"):
            assert path.stat().st_mode & 0o077 == 0, path
        assert self.server.authority.counts["accounts"] == 1


async def kill_and_restart(folder: Path, step: int, prepare=None) -> None:
    """Run a gateway that is killed at a step, then one that obtains the certificate."""
    folder.mkdir()
    site = await Site(folder).open()
    old = prepare(site) if prepare else None
    process = await site.start(step)
    renewed = asyncio.ensure_future(site.shown(old))
    ended = asyncio.ensure_future(process.wait())
    await asyncio.wait((renewed, ended), return_when=asyncio.FIRST_COMPLETED)
    renewed.cancel()
    if process.returncode is None:
        process.kill()
        await ended
    assert step > 40 or "killed at" in site.log()
    again = await site.start()
    if old:
        assert await site.shown() is not None  # the old certificate serves at once
    await site.shown(old)
    async with asyncio.timeout(20):  # the pending key is removed after the certificate serves
        while (site.state / "certs" / NAME / "pending.key").exists():
            await asyncio.sleep(0.05)
    await site.end(again)
    site.check()
    assert site.server.authority.counts["orders"] <= 2
    await site.server.close()


@pytest.mark.parametrize("batch", range(0, STEPS, 8))
def test_a_gateway_killed_at_any_step_of_a_first_order_recovers(tmp_path, batch):
    @asyncio_test
    async def run():
        await asyncio.gather(
            *(kill_and_restart(tmp_path / str(step), step) for step in range(batch + 1, batch + 9))
        )

    run()


def install_due_certificate(site: Site) -> bytes:
    """Install a certificate that is due for renewal; return it as DER."""
    folder, key, now = CertificateSite(site.state), chain.new_key("ecdsa-p256"), time.time()
    folder.folder.open()
    issuer = Issuer(now)
    old = issuer.chain(issuer.sign(csr(key), [NAME], now - 80 * DAY, now + 10 * DAY))
    folder.certificates.install(NAME, old, key, CertNote(names=(NAME,)), None)
    return chain.der_of(old)


@pytest.mark.parametrize("batch", (2, 18, 34))
def test_after_a_kill_during_a_renewal_the_old_certificate_serves_until_the_new_one(
    tmp_path, batch
):
    @asyncio_test
    async def run():
        steps = range(batch, batch + 16, 2)
        await asyncio.gather(
            *(
                kill_and_restart(tmp_path / str(step), step, install_due_certificate)
                for step in steps
            )
        )

    run()
