"""The shared folder: whole or not at all, for its owner alone, one orderer's word at a time, and a disk that fails."""

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


class World:
    def __init__(self, tmp_path):
        self.now = NOW
        self.site = CertificateSite(tmp_path / "state", lambda: self.now)
        self.site.folder.open()
        term, _ = self.site.lease.acquire("a")
        self.term = OrderingTerm("a", term)

    def install(self, **changes):
        self.site.certificates.install(ID, issued(**changes), KEY, CertNote(names=(ID,)), self.term)


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


def all_files(folder):
    return [p for p in folder.rglob("*") if p.is_file()]


def test_nobody_else_can_read_anything(world):
    os.umask(0)
    try:
        world.install()
        world.site.accounts.load("https://ca.example/dir", world.term)
        world.site.certificates.pending_key("other", "ecdsa-p256", world.term)
    finally:
        os.umask(0o022)
    for path in all_files(world.site.folder.path):
        assert path.stat().st_mode & 0o077 == 0, path
    for path in [
        world.site.folder.path,
        *(p for p in world.site.folder.path.rglob("*") if p.is_dir()),
    ]:
        assert path.stat().st_mode & 0o077 == 0, path


def test_a_folder_that_others_can_read_or_of_another_program_is_refused(tmp_path):
    (tmp_path / "open").mkdir(mode=0o755)
    with pytest.raises(StoreError, match="0700"):
        CertificateSite(tmp_path / "open").folder.open()
    (tmp_path / "other").mkdir(mode=0o700)
    (tmp_path / "other" / "schema").write_text("saffrongw certs 2\n")
    with pytest.raises(StoreError, match="left as it is"):
        CertificateSite(tmp_path / "other").folder.open()
    assert (tmp_path / "other" / "schema").read_text() == "saffrongw certs 2\n"


def test_notes_come_back_as_they_were(world):
    note = CertNote(
        (ID,),
        OrderNote("https://ca.example/dir", (ID,), NOW, "https://ca.example/order/1", "x.y"),
        Failures("rate limit", 3, NOW + 5, NOW, NOW, "too many", 1, True),
        RenewalWindow(NOW, NOW + DAY, NOW + 60),
        True,
    )
    world.site.certificates.amend(ID, lambda _: note, world.term)
    assert world.site.certificates.note(ID) == note
    assert world.site.certificates.note("unknown") == CertNote()


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
def test_a_note_that_makes_no_sense_is_told_and_the_certificate_still_serves(world, text):
    world.install()
    (world.site.folder.path / "certs" / ID / "note.json").write_bytes(text)
    with pytest.raises(DocumentError, match=r"note\.json"):
        world.site.certificates.note(ID)
    assert world.site.certificates.pair(ID).facts.end == NOW + DAY


def test_who_lost_the_lease_writes_nothing(world):
    before = CertNote(names=("before",))
    world.site.certificates.amend(ID, lambda _: before, world.term)
    world.now += 60
    assert world.site.lease.acquire("b")[0] == 2
    for write in (
        lambda: world.site.certificates.amend(ID, lambda _: CertNote(), world.term),
        lambda: world.site.certificates.pending_key(ID, "ecdsa-p256", world.term),
        lambda: world.site.certificates.install(ID, issued(), KEY, CertNote(), world.term),
        lambda: world.site.challenges.publish(
            ChallengeProof(ID, "http-01", "token1234", "x", NOW), world.term
        ),
        lambda: world.site.accounts.load("https://new.example/dir", world.term),
        lambda: world.site.accounts.retire_key("https://ca.example/dir", world.term),
    ):
        with pytest.raises(LostLeaseError):
            write()
    assert world.site.certificates.note(ID) == before
    assert world.site.certificates.pair(ID) is None


def test_the_lease_of_one_that_died_is_taken_and_one_that_stopped_gives_it_up(world):
    assert world.site.lease.acquire("b") == (0, NOW + 32)
    world.site.lease.release("b")  # not its own
    assert world.site.lease.acquire("b")[0] == 0
    world.site.lease.release("a")
    assert world.site.lease.acquire("b")[0] == 2


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
def test_a_lease_that_makes_no_sense_blocks_nobody(world, text):
    (world.site.folder.path / "lease.json").write_bytes(text)
    assert world.site.lease.acquire("b")[0] == 1


def test_a_lease_from_the_future_blocks_for_one_span(world):
    (world.site.folder.path / "lease.json").write_text(
        json.dumps({"holder": "z", "term": 9, "until": NOW + 365 * DAY})
    )
    assert world.site.lease.acquire("b")[0] == 0
    assert world.site.lease.current() == LeaseRecord("z", 9, NOW + 34)
    world.now += 37
    assert world.site.lease.acquire("b")[0] == 10


def test_what_serves_is_the_current_one_and_where_that_is_spoilt_the_one_before(world):
    world.install(end=NOW + DAY)
    first = world.site.certificates.pair(ID)
    world.install(end=NOW + 2 * DAY)
    assert world.site.certificates.pair(ID).facts.end == NOW + 2 * DAY
    world.site.certificates.pair(ID).cert.write_bytes(b"spoilt")
    assert world.site.certificates.pair(ID) == first
    world.now = NOW + 3 * DAY  # both are over: the one that can be read serves on
    assert world.site.certificates.pair(ID) == first


def test_a_clock_that_goes_back_leaves_it_in_service(world):
    world.install(start=NOW - 3600)
    world.now = NOW - DAY
    assert world.site.certificates.pair(ID) is not None


def test_few_versions_are_kept(world):
    for day in range(1, 8):
        world.install(end=NOW + day * DAY)
    folder = world.site.folder.path / "certs" / ID
    assert sum(1 for p in folder.iterdir() if p.is_dir()) == 3
    assert world.site.certificates.pair(ID).facts.end == NOW + 7 * DAY


def test_installed_again_nothing_changes(world):
    pem = issued()
    for _ in range(2):
        world.site.certificates.install(ID, pem, KEY, CertNote(), world.term)
    assert sum(1 for p in (world.site.folder.path / "certs" / ID).iterdir() if p.is_dir()) == 1


def test_cut_off_at_every_write_of_an_installation_one_pair_serves(world):
    class Cut(BaseException):
        pass

    world.install(end=NOW + DAY)
    key = chain.new_key("ecdsa-p256")
    new = issued(key, end=NOW + 2 * DAY)
    steps: list[str] = []
    world.site.folder.on_step = steps.append
    world.site.certificates.install("other", new, key, CertNote(), world.term)
    ends = set()
    for at in range(len(steps)):
        counted = []

        def step(name, counted=counted, at=at):
            counted.append(name)
            if len(counted) == at + 1:
                raise Cut

        world.site.folder.on_step = step
        with pytest.raises(Cut):
            world.site.certificates.install(ID, new, key, CertNote(), world.term)
        world.site.folder.on_step = lambda name: None
        pair = world.site.certificates.pair(ID)
        chain.check_pair(*world.site.certificates.files(pair), (), NOW)
        ends.add(pair.facts.end)
        world.install(end=NOW + DAY)
    assert ends == {NOW + DAY, NOW + 2 * DAY}


@pytest.mark.parametrize(
    ("number", "words"),
    [(errno.ENOSPC, "disk is full"), (errno.EROFS, "read-only"), (errno.EDQUOT, "quota")],
)
def test_a_disk_that_takes_nothing_is_told_and_what_serves_stays(world, monkeypatch, number, words):
    world.install()
    before = world.site.certificates.pair(ID)

    def fails(fd):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(StoreError, match=words):
        world.install(end=NOW + 2 * DAY)
    monkeypatch.undo()
    assert world.site.certificates.pair(ID) == before
    assert not [p for p in all_files(world.site.folder.path) if p.name.startswith(".")]


def test_a_really_full_disk(tmp_path):
    """In a process of its own, whose files may not grow beyond what the old pair took."""
    code = (
        "import resource, signal, sys\n"
        "sys.path[:0] = ['tests/certs']\n"
        "from pathlib import Path\n"
        "from test_certificate_store import World, ID, NOW, DAY\n"
        "from saffrongw.certs.shared_folder import StoreError\n"
        "world = World(Path(sys.argv[1]))\n"
        "world.install()\n"
        "signal.signal(signal.SIGXFSZ, signal.SIG_IGN)\n"
        "resource.setrlimit(resource.RLIMIT_FSIZE, (100, 100))\n"
        "try:\n"
        "    world.install(end=NOW + 2 * DAY)\n"
        "except StoreError as wrong:\n"
        "    print('told', wrong)\n"
        "print(world.site.certificates.pair(ID).facts.end == NOW + DAY)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.startswith("told"), done.stderr
    assert done.stdout.endswith("True\n")


def test_challenges_are_found_by_token_and_by_name_and_go_by_hand_or_age(world):
    first = ChallengeProof(
        ID, "tls-alpn-01", "token-one", "token-one.x", NOW + CHALLENGE_LIFETIME_S
    )
    second = replace(first, token="token-two", authorisation="token-two.x")
    world.site.challenges.publish(first, world.term)
    world.site.challenges.publish(second, world.term)
    assert world.site.challenges.by_token("token-one") == first
    assert world.site.challenges.by_name(ID) == second
    assert world.site.challenges.by_token("../lease") is None
    world.site.challenges.withdraw(("token-one",))
    assert (
        world.site.challenges.by_token("token-one") is None
        and world.site.challenges.by_name(ID) == second
    )
    world.now += 2 * CHALLENGE_LIFETIME_S
    world.site.challenges.withdraw(())
    assert list((world.site.folder.path / "challenges").iterdir()) == []


@pytest.mark.parametrize("id", ["", "../x", "a/b", ".", "-x", "x" * 200, "A B"])
def test_no_name_leads_out_of_the_folder(world, id):
    with pytest.raises(StoreError, match="can't name"):
        world.site.certificates.amend(id, lambda _: CertNote(), world.term)


def test_an_accounts_key_is_made_once_and_set_aside_when_it_is_gone(world):
    place = "https://ca.example/dir"
    key, account = world.site.accounts.load(place, world.term)
    assert account is None
    again, _ = world.site.accounts.load(place, None)
    assert again.thumbprint == key.thumbprint
    world.site.accounts.save(Account(place, "https://ca.example/account/1"), world.term)
    assert world.site.accounts.load(place, None)[1].url.endswith("/1")
    world.site.accounts.retire_key(place, world.term)
    assert world.site.accounts.load(place, world.term)[0].thumbprint != key.thumbprint
    assert len(list((world.site.folder.path / "authorities").rglob("account.key.gone-*"))) == 1


def test_two_processes_take_the_lock_in_turn(world):
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
        [sys.executable, "-c", code, str(world.site.folder.path)],
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
                world.site.certificates.amend(ID, lambda _: CertNote(), world.term)
        finally:
            module.LOCK_TIMEOUT_S = within
        other.kill()  # a holder that dies lets go
        other.wait()
        world.site.certificates.amend(ID, lambda _: CertNote(), world.term)
    finally:
        other.kill()
        other.wait()


def test_documents_of_accounts_are_checked():
    with pytest.raises(DocumentError, match="missing"):
        documents.account(b'{"schema": 1, "url": "x"}', "account.json")
