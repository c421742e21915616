"""The shared folder: atomic changes, file modes, writes under the lease only, and disk errors."""

from __future__ import annotations

import errno
import json
import os
import subprocess
import sys
from dataclasses import replace

import pytest
from test_chain import KEY, NOW, issued

from saffrongw.certs import chain, documents
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.challenge_store import CHALLENGE_LIFETIME_S, ChallengeProof
from saffrongw.certs.documents import Account, CertNote, DocumentError, OrderNote
from saffrongw.certs.lease import LeaseRecord
from saffrongw.certs.messages import RenewalWindow
from saffrongw.certs.ordering_lease import LostLeaseError, OrderingTerm
from saffrongw.certs.renewal import Failures
from saffrongw.certs.shared_folder import StoreError

DAY = 86_400.0
ID = "gw.example"


class StoreFixture:
    def __init__(self, tmp_path):
        self.now = NOW
        self.site = CertificateSite(tmp_path / "state", lambda: self.now)
        self.site.folder.open()
        term, _ = self.site.lease.acquire("a")
        self.term = OrderingTerm("a", term)

    def install(self, **changes):
        self.site.certificates.install(ID, issued(**changes), KEY, CertNote(names=(ID,)), self.term)


@pytest.fixture
def stores(tmp_path):
    return StoreFixture(tmp_path)


def all_files(folder):
    return [p for p in folder.rglob("*") if p.is_file()]


def test_only_the_owner_can_read_the_folder(stores):
    os.umask(0)
    try:
        stores.install()
        stores.site.accounts.load("https://ca.example/dir", stores.term)
        stores.site.certificates.pending_key("other", "ecdsa-p256", stores.term)
    finally:
        os.umask(0o022)
    for path in all_files(stores.site.folder.path):
        assert path.stat().st_mode & 0o077 == 0, path
    for path in [
        stores.site.folder.path,
        *(p for p in stores.site.folder.path.rglob("*") if p.is_dir()),
    ]:
        assert path.stat().st_mode & 0o077 == 0, path


def test_a_folder_readable_by_others_or_of_another_schema_is_rejected(tmp_path):
    (tmp_path / "open").mkdir(mode=0o755)
    with pytest.raises(StoreError, match="0700"):
        CertificateSite(tmp_path / "open").folder.open()
    (tmp_path / "other").mkdir(mode=0o700)
    (tmp_path / "other" / "schema").write_text("saffrongw certs 2\n")
    with pytest.raises(StoreError, match="left as it is"):
        CertificateSite(tmp_path / "other").folder.open()
    assert (tmp_path / "other" / "schema").read_text() == "saffrongw certs 2\n"


def test_a_note_is_read_as_it_was_written(stores):
    note = CertNote(
        (ID,),
        OrderNote("https://ca.example/dir", (ID,), NOW, "https://ca.example/order/1", "x.y"),
        Failures("rate limit", 3, NOW + 5, NOW, NOW, "too many", 1, True),
        RenewalWindow(NOW, NOW + DAY, NOW + 60),
        True,
    )
    stores.site.certificates.amend(ID, lambda _: note, stores.term)
    assert stores.site.certificates.note(ID) == note
    assert stores.site.certificates.note("unknown") == CertNote()


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b'{"schema": 2}',
        b'{"schema": 1, "order": 7}',
        b'{"schema": 1, "order": {"names": 7}}',
        b'{"schema": 1, "failures": {"kind": "fell over", "count": 1}}',
        b'{"schema": 1, "failures": {"count": true}}',
        b'{"schema": 1, "window": {"start": "x"}}',
        b'{"schema": 1, "names": [1]}',
        b'{"schema": 1, "wanted": 1}',
        b"[" * 100_000,
    ],
)
def test_a_malformed_note_raises_and_the_certificate_still_serves(stores, text):
    stores.install()
    (stores.site.folder.path / "certs" / ID / "note.json").write_bytes(text)
    with pytest.raises(DocumentError, match=r"note\.json"):
        stores.site.certificates.note(ID)
    assert stores.site.certificates.pair(ID).facts.end == NOW + DAY


def test_no_write_succeeds_after_the_lease_is_lost(stores):
    before = CertNote(names=("before",))
    stores.site.certificates.amend(ID, lambda _: before, stores.term)
    stores.now += 60
    assert stores.site.lease.acquire("b")[0] == 2
    for write in (
        lambda: stores.site.certificates.amend(ID, lambda _: CertNote(), stores.term),
        lambda: stores.site.certificates.pending_key(ID, "ecdsa-p256", stores.term),
        lambda: stores.site.certificates.install(ID, issued(), KEY, CertNote(), stores.term),
        lambda: stores.site.challenges.publish(
            ChallengeProof(ID, "http-01", "token1234", "x", NOW), stores.term
        ),
        lambda: stores.site.accounts.load("https://new.example/dir", stores.term),
        lambda: stores.site.accounts.retire_key("https://ca.example/dir", stores.term),
    ):
        with pytest.raises(LostLeaseError):
            write()
    assert stores.site.certificates.note(ID) == before
    assert stores.site.certificates.pair(ID) is None


def test_only_the_holder_can_release_the_lease(stores):
    assert stores.site.lease.acquire("b") == (0, NOW + 32)
    stores.site.lease.release("b")  # "b" does not hold it
    assert stores.site.lease.acquire("b")[0] == 0
    stores.site.lease.release("a")
    assert stores.site.lease.acquire("b")[0] == 2


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b'{"holder": "z"}',
        b'{"holder":"z","term":"x","until":1}',
        b'{"holder":"z","term":1,"until":NaN}',
    ],
)
def test_a_malformed_lease_counts_as_none(stores, text):
    (stores.site.folder.path / "lease.json").write_bytes(text)
    assert stores.site.lease.acquire("b")[0] == 1


def test_a_lease_far_in_the_future_blocks_for_one_span(stores):
    (stores.site.folder.path / "lease.json").write_text(
        json.dumps({"holder": "z", "term": 9, "until": NOW + 365 * DAY})
    )
    assert stores.site.lease.acquire("b")[0] == 0
    assert stores.site.lease.current() == LeaseRecord("z", 9, NOW + 34)
    stores.now += 37
    assert stores.site.lease.acquire("b")[0] == 10


def test_a_damaged_current_version_is_replaced_by_the_previous_one(stores):
    stores.install(end=NOW + DAY)
    first = stores.site.certificates.pair(ID)
    stores.install(end=NOW + 2 * DAY)
    assert stores.site.certificates.pair(ID).facts.end == NOW + 2 * DAY
    stores.site.certificates.pair(ID).cert.write_bytes(b"spoilt")
    assert stores.site.certificates.pair(ID) == first
    stores.now = NOW + 3 * DAY  # both have expired: the one that can be read still serves
    assert stores.site.certificates.pair(ID) == first


def test_a_certificate_stays_in_service_when_the_clock_goes_back(stores):
    stores.install(start=NOW - 3600)
    stores.now = NOW - DAY
    assert stores.site.certificates.pair(ID) is not None


def test_old_versions_are_pruned(stores):
    for day in range(1, 8):
        stores.install(end=NOW + day * DAY)
    folder = stores.site.folder.path / "certs" / ID
    assert sum(1 for p in folder.iterdir() if p.is_dir()) == 3
    assert stores.site.certificates.pair(ID).facts.end == NOW + 7 * DAY


def test_installing_a_certificate_again_adds_no_version(stores):
    pem = issued()
    for _ in range(2):
        stores.site.certificates.install(ID, pem, KEY, CertNote(), stores.term)
    assert sum(1 for p in (stores.site.folder.path / "certs" / ID).iterdir() if p.is_dir()) == 1


def test_one_pair_serves_after_an_interruption_at_any_write_of_an_installation(stores):
    class Interrupted(BaseException):
        pass

    stores.install(end=NOW + DAY)
    key = chain.new_key("ecdsa-p256")
    new = issued(key, end=NOW + 2 * DAY)
    steps: list[str] = []
    stores.site.folder.on_step = steps.append
    stores.site.certificates.install("other", new, key, CertNote(), stores.term)
    ends = set()
    for at in range(len(steps)):
        counted = []

        def step(name, counted=counted, at=at):
            counted.append(name)
            if len(counted) == at + 1:
                raise Interrupted

        stores.site.folder.on_step = step
        with pytest.raises(Interrupted):
            stores.site.certificates.install(ID, new, key, CertNote(), stores.term)
        stores.site.folder.on_step = lambda name: None
        pair = stores.site.certificates.pair(ID)
        chain.check_pair(*stores.site.certificates.files(pair), (), NOW)
        ends.add(pair.facts.end)
        stores.install(end=NOW + DAY)
    assert ends == {NOW + DAY, NOW + 2 * DAY}


@pytest.mark.parametrize(
    ("number", "words"),
    [(errno.ENOSPC, "disk is full"), (errno.EROFS, "read-only"), (errno.EDQUOT, "quota")],
)
def test_a_failed_write_is_reported_and_the_old_pair_serves(stores, monkeypatch, number, words):
    stores.install()
    before = stores.site.certificates.pair(ID)

    def fails(fd):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(StoreError, match=words):
        stores.install(end=NOW + 2 * DAY)
    monkeypatch.undo()
    assert stores.site.certificates.pair(ID) == before
    assert not [p for p in all_files(stores.site.folder.path) if p.name.startswith(".")]


def test_a_file_size_limit_leaves_the_old_pair_in_service(tmp_path):
    """A separate process with a limit on file sizes, which the new pair exceeds, simulates a full disk."""
    code = (
        "import resource, signal, sys\n"
        "sys.path[:0] = ['tests/certs']\n"
        "from pathlib import Path\n"
        "from test_certificate_store import StoreFixture, ID, NOW, DAY\n"
        "from saffrongw.certs.shared_folder import StoreError\n"
        "stores = StoreFixture(Path(sys.argv[1]))\n"
        "stores.install()\n"
        "signal.signal(signal.SIGXFSZ, signal.SIG_IGN)\n"
        "resource.setrlimit(resource.RLIMIT_FSIZE, (100, 100))\n"
        "try:\n"
        "    stores.install(end=NOW + 2 * DAY)\n"
        "except StoreError as wrong:\n"
        "    print('told', wrong)\n"
        "print(stores.site.certificates.pair(ID).facts.end == NOW + DAY)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.startswith("told"), done.stderr
    assert done.stdout.endswith("True\n")


def test_challenges_are_found_by_token_and_name_until_withdrawn_or_expired(stores):
    first = ChallengeProof(
        ID, "tls-alpn-01", "token-one", "token-one.x", NOW + CHALLENGE_LIFETIME_S
    )
    second = replace(first, token="token-two", authorisation="token-two.x")
    stores.site.challenges.publish(first, stores.term)
    stores.site.challenges.publish(second, stores.term)
    assert stores.site.challenges.by_token("token-one") == first
    assert stores.site.challenges.by_name(ID) == second
    assert stores.site.challenges.by_token("../lease") is None
    stores.site.challenges.withdraw(("token-one",))
    assert (
        stores.site.challenges.by_token("token-one") is None
        and stores.site.challenges.by_name(ID) == second
    )
    stores.now += 2 * CHALLENGE_LIFETIME_S
    stores.site.challenges.withdraw(())
    assert list((stores.site.folder.path / "challenges").iterdir()) == []


@pytest.mark.parametrize("id", ["", "../x", "a/b", ".", "-x", "x" * 200, "A B"])
def test_identifiers_that_leave_the_folder_are_rejected(stores, id):
    with pytest.raises(StoreError, match="can't name"):
        stores.site.certificates.amend(id, lambda _: CertNote(), stores.term)


def test_an_account_key_is_created_once_and_renamed_when_retired(stores):
    place = "https://ca.example/dir"
    key, account = stores.site.accounts.load(place, stores.term)
    assert account is None
    again, _ = stores.site.accounts.load(place, None)
    assert again.thumbprint == key.thumbprint
    stores.site.accounts.save(Account(place, "https://ca.example/account/1"), stores.term)
    assert stores.site.accounts.load(place, None)[1].url.endswith("/1")
    stores.site.accounts.retire_key(place, stores.term)
    assert stores.site.accounts.load(place, stores.term)[0].thumbprint != key.thumbprint
    assert len(list((stores.site.folder.path / "authorities").rglob("account.key.gone-*"))) == 1


def test_the_lock_excludes_other_processes_and_is_released_on_death(stores):
    code = (
        "import sys, time\n"
        "from pathlib import Path\n"
        "from saffrongw.certs.certificate_store import CertificateSite\n"
        "site = CertificateSite(Path(sys.argv[1]))\n"
        "with site.folder.locked():\n"
        "    print('held', flush=True)\n"
        "    sys.stdin.readline()\n"
    )
    other = subprocess.Popen(
        [sys.executable, "-c", code, str(stores.site.folder.path)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert other.stdout.readline() == "held\n"
        import saffrongw.certs.shared_folder as module

        within, module.LOCK_TIMEOUT_S = module.LOCK_TIMEOUT_S, 0.1
        try:
            with pytest.raises(StoreError, match="locked"):
                stores.site.certificates.amend(ID, lambda _: CertNote(), stores.term)
        finally:
            module.LOCK_TIMEOUT_S = within
        other.kill()  # the lock is released when its holder dies
        other.wait()
        stores.site.certificates.amend(ID, lambda _: CertNote(), stores.term)
    finally:
        other.kill()
        other.wait()


def test_account_documents_are_validated():
    with pytest.raises(DocumentError, match="missing"):
        documents.account(b'{"schema": 1, "url": "x"}', "account.json")
