"""Settings, authorisers and TLS files that change while checks are in flight."""

from __future__ import annotations

import ssl
from pathlib import Path

import pytest
import trustme
from async_testing import until
from authz_rig import NEVER_OPENING, authz_rig_test
from client_rig import error

from saffrongw.authz.channel import AuthzChannel, TlsFiles
from saffrongw.authz.checks import CheckSettings
from saffrongw.authz.request_filter import FailureRules
from testbed.ext_authz_server.server import Authoriser, Behaviour, deny


@authz_rig_test
async def test_settings_and_authorisers_change_in_service_and_checks_in_flight_use_the_old_ones(
    open_,
):
    old = await Authoriser(behaviour=Behaviour({"delay": 1.0}, (0.3, 0.3))).start()
    new = await Authoriser(lambda request: deny()).start()
    authz_rig = await open_(old)
    before, after = await authz_rig.caller(), await authz_rig.caller()
    before.call(wait=4000, number=b"one")
    await until(lambda: old.asked)
    authz_rig.filter.reconfigure(
        CheckSettings(breaker=NEVER_OPENING),
        FailureRules("open"),
        lambda: [AuthzChannel(new.address)],
    )
    after.call(wait=4000, number=b"two")
    assert error((await after.replied())[0]) == "ERR failed"
    assert await before.replied() == [b"ok"]
    assert (len(old.asked), len(new.asked)) == (1, 1)
    await until(lambda: not old.connections)
    new.stop()


@authz_rig_test
async def test_a_change_with_an_unreadable_tls_file_has_no_effect(open_):
    authz_rig = await open_(await Authoriser().start())
    client = authz_rig.filter.client
    with pytest.raises(OSError, match="none"):
        authz_rig.filter.reconfigure(
            CheckSettings(),
            FailureRules("open"),
            lambda: [AuthzChannel("127.0.0.1:1", TlsFiles(ca="/none.pem"))],
        )
    assert authz_rig.filter.client is client
    assert authz_rig.filter.rules.default_mode == "closed"
    caller = await authz_rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


@authz_rig_test
async def test_an_aborted_change_keeps_the_old_client_and_closes_the_new_channels(open_):
    authz_rig = await open_(await Authoriser().start())
    client = authz_rig.filter.client
    channel = AuthzChannel("127.0.0.1:1")
    prepared = authz_rig.filter.prepare(CheckSettings(), FailureRules("open"), lambda: [channel])
    prepared.abort()
    await until(lambda: not authz_rig.filter.background_tasks)
    assert authz_rig.filter.client is client
    assert authz_rig.filter.rules.default_mode == "closed"
    caller = await authz_rig.caller()
    caller.call()
    assert await caller.replied() == [b"ok"]


# -- TLS -------------------------------------------------------------------------------------------------


class Authority:
    """A certificate authority and the folder of its files."""

    def __init__(self, folder: Path) -> None:
        self.ca, self.folder = trustme.CA(), folder
        self.ca_file = folder / "ca.pem"
        self.ca.cert_pem.write_to_path(self.ca_file)

    def issue(self, name: str) -> tuple[str, str]:
        """Issue certificate and key for a name; the files are replaced atomically."""
        issued = self.ca.issue_cert(name)
        cert, key = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        issued.cert_chain_pems[0].write_to_path(cert.with_suffix(".new"))
        issued.private_key_pem.write_to_path(key.with_suffix(".newkey"))
        cert.with_suffix(".new").replace(cert)
        key.with_suffix(".newkey").replace(key)
        return str(cert), str(key)

    def server(self, name: str, clients: Authority | None = None) -> ssl.SSLContext:
        """Return a server's TLS context; with ``clients`` it requires their certificates."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(*self.issue(name))
        context.set_alpn_protocols(["h2"])
        if clients:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(clients.ca_file)
        return context


def test_mutual_tls_with_files_that_change_in_service(tmp_path):
    @authz_rig_test
    async def check(open_):
        own = Authority(tmp_path)
        authoriser = Authoriser()
        authoriser.ssl = own.server("authoriser.test", own)
        await authoriser.start()
        cert, key = own.issue("gateway.test")
        tls = TlsFiles(str(own.ca_file), cert, key, "authoriser.test")
        authz_rig = await open_(authoriser, tls=tls, coalesce=False)
        caller = await authz_rig.caller()
        caller.call(wait=4000, number=b"one")
        assert await caller.replied() == [b"ok"]
        own.issue("gateway.test")  # a renewed certificate
        channel = authz_rig.filter.client.channels[0]
        channel.tls_files_checked_s, before = -10.0, channel.channel
        caller.call(wait=4000, number=b"two")
        assert await caller.replied(2) == [b"ok"] * 2
        assert channel.channel is not before
        Path(cert).unlink()  # a missing file keeps the old channel
        channel.tls_files_checked_s, before = -10.0, channel.channel
        caller.call(wait=4000, number=b"three")
        assert await caller.replied(3) == [b"ok"] * 3
        assert channel.channel is before

    check()


def test_an_authoriser_without_a_valid_certificate_for_its_name_gets_no_checks(tmp_path):
    @authz_rig_test
    async def check(open_):
        (tmp_path / "own").mkdir(), (tmp_path / "other").mkdir()
        own, other = Authority(tmp_path / "own"), Authority(tmp_path / "other")
        for context in (other.server("authoriser.test"), own.server("else.test")):
            authoriser = Authoriser()
            authoriser.ssl = context
            await authoriser.start()
            authz_rig = await open_(
                authoriser, tls=TlsFiles(str(own.ca_file), server_name="authoriser.test")
            )
            caller = await authz_rig.caller()
            caller.call(wait=1000)
            assert error((await caller.replied())[0]) == "BUSY"
            assert authoriser.asked == []

    check()
