"""The ledger's file and its faults: torn WAL, flipped bits, a second process, other schemas."""

from __future__ import annotations

import dataclasses
import random
import shutil
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from saffrongw.admin import cli
from saffrongw.ledger import store as store_module
from saffrongw.ledger.entries import ExecutionStatus, build_entries
from saffrongw.ledger.events import EntryKey
from saffrongw.ledger.reader import LedgerReader
from saffrongw.ledger.schema import DATABASE_NAME, LedgerStoreError
from saffrongw.ledger.store import LedgerStore
from tests.ledger.events_of_requests import US_PER_S, intent, store_with_entries

WAL = f"{DATABASE_NAME}-wal"
SHARED_MEMORY = f"{DATABASE_NAME}-shm"
UNBOUNDED = 1 << 40
EntryFields = dict[EntryKey, dict[str, Any]]


def test_incarnations_are_counted_and_open_entries_of_older_ones_classified(tmp_path):
    store_with_entries(tmp_path, 9).close()
    store = LedgerStore(tmp_path)
    assert store.open() == 6
    assert store.incarnation == 2
    store.close()
    third = LedgerStore(tmp_path)
    assert third.open() == 0
    third.close()
    entries = LedgerReader(tmp_path).entries()
    assert [entries[1, number].status for number in (1, 2, 3)] == [
        ExecutionStatus.ANSWERED,
        ExecutionStatus.NEVER_SENT,
        ExecutionStatus.MAY_HAVE_RUN,
    ]


def test_five_thousand_open_entries_are_classified_at_start(tmp_path):
    store = LedgerStore(tmp_path)
    store.open()
    store.commit([intent(1, number) for number in range(5000)])
    store.close()
    second = LedgerStore(tmp_path)
    assert second.open() == 5000
    second.close()


def test_one_client_id_in_two_incarnations_is_two_entries_even_if_the_clock_goes_back(tmp_path):
    for incarnation, at_us in ((1, 100 * US_PER_S), (2, 50 * US_PER_S)):
        store = LedgerStore(tmp_path)
        store.open()
        store.commit([intent(incarnation, 1, at_us=at_us)])
        store.close()
    entries = LedgerReader(tmp_path).entries()
    assert list(entries) == [(1, 1), (2, 1)]
    assert entries[1, 1].client_request_id == entries[2, 1].client_request_id


def test_only_the_owner_has_access_to_the_files(tmp_path):
    folder = tmp_path / "ledger"
    store_with_entries(folder, 1).close()
    assert {path.name: path.stat().st_mode & 0o777 for path in folder.iterdir()} == {
        "ledger.sqlite": 0o600,
        "ledger.lock": 0o600,
    }
    assert folder.stat().st_mode & 0o777 == 0o700


def test_a_second_process_and_an_unknown_schema_are_errors_and_change_nothing(tmp_path):
    store = store_with_entries(tmp_path, 3)
    with pytest.raises(LedgerStoreError, match="another process holds"):
        LedgerStore(tmp_path).open()
    store.close()
    path = tmp_path / DATABASE_NAME
    with sqlite3.connect(path) as db:
        db.execute("PRAGMA user_version=9")
    db.close()
    before = path.read_bytes()
    with pytest.raises(
        LedgerStoreError, match="its schema is 9, this program knows 1; it was left as it is"
    ):
        LedgerStore(tmp_path).open()
    assert path.read_bytes() == before
    with pytest.raises(LedgerStoreError, match="its schema is 9"):
        LedgerReader(tmp_path)


def killed_store(tmp_path: Path) -> tuple[Path, EntryFields]:
    """Return a folder with a WAL as a killed gateway leaves it, and the entries that it wrote."""
    source = tmp_path / "source"
    store = store_with_entries(source, 30)
    with LedgerReader(source) as reader:
        written = {key: dataclasses.asdict(entry) for key, entry in reader.entries().items()}
    killed = tmp_path / "killed"
    shutil.copytree(source, killed)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    return killed, written


def check_entries(folder: Path, written: EntryFields) -> tuple[int, bool]:
    """Return how many entries are read as they were written, and whether damage is reported.

    Fails if an entry or an event is read that was never written.
    """
    try:
        with LedgerReader(folder) as reader:
            entries = reader.entries()
            is_reported = bool(reader.verify())
    except LedgerStoreError:
        return 0, True
    intact_count = 0
    for key, entry in entries.items():
        assert key in written, f"never written: {key}"
        found, expected = dataclasses.asdict(entry), written[key]
        if found == expected:
            intact_count += 1
        else:
            # Events may be missing, but none may differ.
            assert entry.customer in (0, 7)
            assert set(found["attempts"]) <= set(expected["attempts"])
            assert found["answer"] in ("", expected["answer"])
    return intact_count, is_reported


def test_a_wal_torn_at_every_byte_of_its_last_4_kib_is_read_up_to_its_last_commit(tmp_path):
    killed, written = killed_store(tmp_path)
    wal = killed / WAL
    wal_bytes = wal.read_bytes()
    database_bytes = (killed / DATABASE_NAME).read_bytes()
    intact_counts = set()
    for cut in range(1, 4097):
        for name in (SHARED_MEMORY, DATABASE_NAME, WAL):
            (killed / name).unlink(missing_ok=True)
        (killed / DATABASE_NAME).write_bytes(database_bytes)
        wal.write_bytes(wal_bytes[:-cut])
        intact_count, is_reported = check_entries(killed, written)
        # A kill may leave a torn end, so it is no damage: every earlier commit is complete.
        assert not is_reported
        intact_counts.add(intact_count)
    assert max(intact_counts) <= 30
    # The last 4 KiB hold one or two commits.
    assert min(intact_counts) >= 28


def test_flipped_bits_are_reported_or_harmless_and_create_no_entries(tmp_path):
    killed, written = killed_store(tmp_path)
    for name in (WAL, SHARED_MEMORY):
        (killed / name).unlink()
    # The source was closed after a checkpoint, so its database holds all events.
    undamaged = (tmp_path / "source" / DATABASE_NAME).read_bytes()
    (killed / DATABASE_NAME).write_bytes(undamaged)
    assert check_entries(killed, written) == (30, False)
    generator = random.Random(5)
    reported_count = 0
    incomplete_count = 0
    for _ in range(300):
        damaged = bytearray(undamaged)
        position = generator.randrange(len(damaged))
        damaged[position] ^= 1 << generator.randrange(8)
        for name in (WAL, SHARED_MEMORY):
            (killed / name).unlink(missing_ok=True)
        (killed / DATABASE_NAME).write_bytes(damaged)
        intact_count, is_reported = check_entries(killed, written)
        reported_count += is_reported
        incomplete_count += intact_count < 30
        # Missing entries are always reported.
        assert is_reported or intact_count == 30
    assert reported_count > 20
    assert incomplete_count > 5


def test_a_wal_without_its_database_gives_no_entries(tmp_path):
    killed, _ = killed_store(tmp_path)
    (killed / DATABASE_NAME).unlink()
    with pytest.raises(LedgerStoreError, match="there is no ledger"):
        LedgerReader(killed)
    store = LedgerStore(killed)
    store.open()
    assert store.open_entries() == {}
    store.close()


def test_a_damaged_file_is_not_written_to(tmp_path):
    store_with_entries(tmp_path, 30).close()
    path = tmp_path / DATABASE_NAME
    damaged = bytearray(path.read_bytes())
    position = damaged.find(b'"id":"id24"')
    damaged[position + 7] ^= 1
    path.write_bytes(damaged)
    with pytest.raises(LedgerStoreError, match="damaged: row"):
        LedgerStore(tmp_path).open()
    assert any("checksum" in text for text in LedgerReader(tmp_path).verify())
    assert cli.main(["ledger", "--state", str(tmp_path), "verify"]) == 1


def test_trimming_never_deletes_an_unsettled_entry(tmp_path):
    store = store_with_entries(tmp_path, 30)
    assert store.trim(before_us=0, max_bytes=UNBOUNDED) == 0
    # Deletes the answered entries; those never sent are not classified yet.
    assert store.trim(before_us=99 * US_PER_S, max_bytes=UNBOUNDED) == 10
    store.close()
    store.open()
    # The file is larger than its limit; opening the store has classified those never sent.
    assert store.trim(before_us=0, max_bytes=1) == 10
    remaining = build_entries(store.events())
    assert [entry.status for entry in remaining.values()] == [ExecutionStatus.MAY_HAVE_RUN] * 10
    assert store.trim(before_us=99 * US_PER_S, max_bytes=1) == 0
    store.close()


def test_trimming_examines_a_few_entries_at_a_time_and_reaches_all(tmp_path, monkeypatch):
    monkeypatch.setattr(store_module, "MAX_ENTRIES_PER_TRIM", 7)
    store = store_with_entries(tmp_path, 30)
    before_us = 99 * US_PER_S
    assert sum(store.trim(before_us, UNBOUNDED) for _ in range(5)) == 10
    assert store.trim(before_us, UNBOUNDED) == 0
    assert len(build_entries(store.events())) == 20
    store.close()


def test_a_start_reads_only_the_last_incarnation(tmp_path):
    """A start that read all incarnations would take longer with every one.

    Each incarnation classifies the open entries of the one before it, so older ones have none.
    """
    for incarnation in (1, 2, 3):
        store = LedgerStore(tmp_path)
        assert store.open() == (1 if incarnation > 1 else 0)
        store.commit([intent(incarnation, 1)])
        store.close()
    # Damage in an older incarnation: verify reports it, a start does not read it.
    with sqlite3.connect(tmp_path / DATABASE_NAME) as db:
        db.execute("UPDATE events SET sum=x'00' WHERE life=1")
    db.close()
    store = LedgerStore(tmp_path)
    assert store.open() == 1
    store.close()
    assert len(LedgerReader(tmp_path).verify()) == 2
