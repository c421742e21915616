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
from saffrongw.certs.certificate_store import CHALLENGE_FOR, LostLease, Proof, Store, StoreError
from saffrongw.certs.documents import Account, CertNote, DocumentError, OrderNote
from saffrongw.certs.lease import Lease
from saffrongw.certs.messages import Window
from saffrongw.certs.renewal import Failures

DAY = 86_400.0
ID = "gw.example"


class World:
    def __init__(self, tmp_path):
        self.now = NOW
        self.store = Store(tmp_path / "state", lambda: self.now)
        self.store.open()
        term, _ = self.store.take_duty("a")
        self.duty = ("a", term)

    def install(self, **changes):
        self.store.install(ID, issued(**changes), KEY, CertNote(names=(ID,)), self.duty)


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


def all_files(folder):
    return [p for p in folder.rglob("*") if p.is_file()]


def test_nobody_else_can_read_anything(world):
    os.umask(0)
    try:
        world.install()
        world.store.account("https://ca.example/dir", world.duty)
        world.store.pending_key("other", "ecdsa-p256", world.duty)
    finally:
        os.umask(0o022)
    for path in all_files(world.store.folder):
        assert path.stat().st_mode & 0o077 == 0, path
    for path in [world.store.folder, *(p for p in world.store.folder.rglob("*") if p.is_dir())]:
        assert path.stat().st_mode & 0o077 == 0, path


def test_a_folder_that_others_can_read_or_of_another_program_is_refused(tmp_path):
    (tmp_path / "open").mkdir(mode=0o755)
    with pytest.raises(StoreError, match="0700"):
        Store(tmp_path / "open").open()
    (tmp_path / "other").mkdir(mode=0o700)
    (tmp_path / "other" / "schema").write_text("saffrongw certs 2\n")
    with pytest.raises(StoreError, match="left as it is"):
        Store(tmp_path / "other").open()
    assert (tmp_path / "other" / "schema").read_text() == "saffrongw certs 2\n"


def test_notes_come_back_as_they_were(world):
    note = CertNote(
        (ID,),
        OrderNote("https://ca.example/dir", (ID,), NOW, "https://ca.example/order/1", "x.y"),
        Failures("rate limit", 3, NOW + 5, NOW, NOW, "too many", 1, True),
        Window(NOW, NOW + DAY, NOW + 60),
        True,
    )
    world.store.amend(ID, lambda _: note, world.duty)
    assert world.store.note(ID) == note
    assert world.store.note("unknown") == CertNote()


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
    (world.store.folder / "certs" / ID / "note.json").write_bytes(text)
    with pytest.raises(DocumentError, match=r"note\.json"):
        world.store.note(ID)
    assert world.store.pair(ID).facts.end == NOW + DAY


def test_who_lost_the_lease_writes_nothing(world):
    before = CertNote(names=("before",))
    world.store.amend(ID, lambda _: before, world.duty)
    world.now += 60
    assert world.store.take_duty("b")[0] == 2
    for write in (
        lambda: world.store.amend(ID, lambda _: CertNote(), world.duty),
        lambda: world.store.pending_key(ID, "ecdsa-p256", world.duty),
        lambda: world.store.install(ID, issued(), KEY, CertNote(), world.duty),
        lambda: world.store.publish(Proof(ID, "http-01", "token1234", "x", NOW), world.duty),
        lambda: world.store.account("https://new.example/dir", world.duty),
        lambda: world.store.lose_account("https://ca.example/dir", world.duty),
    ):
        with pytest.raises(LostLease):
            write()
    assert world.store.note(ID) == before
    assert world.store.pair(ID) is None


def test_the_lease_of_one_that_died_is_taken_and_one_that_stopped_gives_it_up(world):
    assert world.store.take_duty("b") == (0, NOW + 32)
    world.store.drop_duty("b")  # not its own
    assert world.store.take_duty("b")[0] == 0
    world.store.drop_duty("a")
    assert world.store.take_duty("b")[0] == 2


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
    (world.store.folder / "lease.json").write_bytes(text)
    assert world.store.take_duty("b")[0] == 1


def test_a_lease_from_the_future_blocks_for_one_span(world):
    (world.store.folder / "lease.json").write_text(
        json.dumps({"holder": "z", "term": 9, "until": NOW + 365 * DAY})
    )
    assert world.store.take_duty("b")[0] == 0
    assert world.store.lease() == Lease("z", 9, NOW + 34)
    world.now += 37
    assert world.store.take_duty("b")[0] == 10


def test_what_serves_is_the_current_one_and_where_that_is_spoilt_the_one_before(world):
    world.install(end=NOW + DAY)
    first = world.store.pair(ID)
    world.install(end=NOW + 2 * DAY)
    assert world.store.pair(ID).facts.end == NOW + 2 * DAY
    world.store.pair(ID).cert.write_bytes(b"spoilt")
    assert world.store.pair(ID) == first
    world.now = NOW + 3 * DAY  # both are over: the one that can be read serves on
    assert world.store.pair(ID) == first


def test_a_clock_that_goes_back_leaves_it_in_service(world):
    world.install(start=NOW - 3600)
    world.now = NOW - DAY
    assert world.store.pair(ID) is not None


def test_few_versions_are_kept(world):
    for day in range(1, 8):
        world.install(end=NOW + day * DAY)
    folder = world.store.folder / "certs" / ID
    assert sum(1 for p in folder.iterdir() if p.is_dir()) == 3
    assert world.store.pair(ID).facts.end == NOW + 7 * DAY


def test_installed_again_nothing_changes(world):
    pem = issued()
    for _ in range(2):
        world.store.install(ID, pem, KEY, CertNote(), world.duty)
    assert sum(1 for p in (world.store.folder / "certs" / ID).iterdir() if p.is_dir()) == 1


def test_cut_off_at_every_write_of_an_installation_one_pair_serves(world):
    class Cut(BaseException):
        pass

    world.install(end=NOW + DAY)
    key = chain.new_key("ecdsa-p256")
    new = issued(key, end=NOW + 2 * DAY)
    steps: list[str] = []
    world.store.step = steps.append
    world.store.install("other", new, key, CertNote(), world.duty)
    ends = set()
    for at in range(len(steps)):
        counted = []

        def step(name, counted=counted, at=at):
            counted.append(name)
            if len(counted) == at + 1:
                raise Cut

        world.store.step = step
        with pytest.raises(Cut):
            world.store.install(ID, new, key, CertNote(), world.duty)
        world.store.step = lambda name: None
        pair = world.store.pair(ID)
        chain.check(*world.store.files(pair), (), NOW)
        ends.add(pair.facts.end)
        world.install(end=NOW + DAY)
    assert ends == {NOW + DAY, NOW + 2 * DAY}


@pytest.mark.parametrize(
    ("number", "words"),
    [(errno.ENOSPC, "disk is full"), (errno.EROFS, "read-only"), (errno.EDQUOT, "quota")],
)
def test_a_disk_that_takes_nothing_is_told_and_what_serves_stays(world, monkeypatch, number, words):
    world.install()
    before = world.store.pair(ID)

    def fails(fd):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(StoreError, match=words):
        world.install(end=NOW + 2 * DAY)
    monkeypatch.undo()
    assert world.store.pair(ID) == before
    assert not [p for p in all_files(world.store.folder) if p.name.startswith(".")]


def test_a_really_full_disk(tmp_path):
    """In a process of its own, whose files may not grow beyond what the old pair took."""
    code = (
        "import resource, signal, sys\n"
        "sys.path[:0] = ['tests/certs']\n"
        "from pathlib import Path\n"
        "from test_certificate_store import World, ID, NOW, DAY\n"
        "from saffrongw.certs.certificate_store import StoreError\n"
        "world = World(Path(sys.argv[1]))\n"
        "world.install()\n"
        "signal.signal(signal.SIGXFSZ, signal.SIG_IGN)\n"
        "resource.setrlimit(resource.RLIMIT_FSIZE, (100, 100))\n"
        "try:\n"
        "    world.install(end=NOW + 2 * DAY)\n"
        "except StoreError as wrong:\n"
        "    print('told', wrong)\n"
        "print(world.store.pair(ID).facts.end == NOW + DAY)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.startswith("told"), done.stderr
    assert done.stdout.endswith("True\n")


def test_challenges_are_found_by_token_and_by_name_and_go_by_hand_or_age(world):
    first = Proof(ID, "tls-alpn-01", "token-one", "token-one.x", NOW + CHALLENGE_FOR)
    second = replace(first, token="token-two", authorisation="token-two.x")
    world.store.publish(first, world.duty)
    world.store.publish(second, world.duty)
    assert world.store.proof("token-one") == first
    assert world.store.proof_for(ID) == second
    assert world.store.proof("../lease") is None
    world.store.withdraw(("token-one",))
    assert world.store.proof("token-one") is None and world.store.proof_for(ID) == second
    world.now += 2 * CHALLENGE_FOR
    world.store.withdraw(())
    assert list((world.store.folder / "challenges").iterdir()) == []


@pytest.mark.parametrize("id", ["", "../x", "a/b", ".", "-x", "x" * 200, "A B"])
def test_no_name_leads_out_of_the_folder(world, id):
    with pytest.raises(StoreError, match="can't name"):
        world.store.amend(id, lambda _: CertNote(), world.duty)


def test_an_accounts_key_is_made_once_and_set_aside_when_it_is_gone(world):
    place = "https://ca.example/dir"
    key, account = world.store.account(place, world.duty)
    assert account is None
    again, _ = world.store.account(place, None)
    assert again.thumbprint == key.thumbprint
    world.store.keep_account(Account(place, "https://ca.example/account/1"), world.duty)
    assert world.store.account(place, None)[1].url.endswith("/1")
    world.store.lose_account(place, world.duty)
    assert world.store.account(place, world.duty)[0].thumbprint != key.thumbprint
    assert len(list((world.store.folder / "authorities").rglob("account.key.gone-*"))) == 1


def test_two_processes_take_the_lock_in_turn(world):
    code = (
        "import sys, time\n"
        "from pathlib import Path\n"
        "from saffrongw.certs.certificate_store import Store\n"
        "store = Store(Path(sys.argv[1]))\n"
        "with store._locked():\n"
        "    print('held', flush=True)\n"
        "    sys.stdin.readline()\n"
    )
    other = subprocess.Popen(
        [sys.executable, "-c", code, str(world.store.folder)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert other.stdout.readline() == "held\n"
        import saffrongw.certs.certificate_store as module

        within, module.LOCK_WITHIN = module.LOCK_WITHIN, 0.1
        try:
            with pytest.raises(StoreError, match="locked"):
                world.store.amend(ID, lambda _: CertNote(), world.duty)
        finally:
            module.LOCK_WITHIN = within
        other.kill()  # a holder that dies lets go
        other.wait()
        world.store.amend(ID, lambda _: CertNote(), world.duty)
    finally:
        other.kill()
        other.wait()


def test_documents_of_accounts_are_checked():
    with pytest.raises(DocumentError, match="missing"):
        documents.account(b'{"schema": 1, "url": "x"}', "account.json")
