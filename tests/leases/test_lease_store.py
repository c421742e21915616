"""The store of reserved tokens: released versions can read its file, and it reads theirs."""

from __future__ import annotations

import sqlite3

import pytest

from saffrongw.leases.store import LeaseStore

SCHEMA = "CREATE TABLE numbers (id INTEGER PRIMARY KEY, reserved INTEGER)"


def test_a_new_store_has_the_schema_and_row_of_released_versions(tmp_path):
    store = LeaseStore(tmp_path)
    store.open()
    store.reserve(5_000)
    store.close()
    db = sqlite3.connect(tmp_path / "leases.sqlite")
    assert db.execute("SELECT sql FROM sqlite_master").fetchall() == [(SCHEMA,)]
    assert db.execute("PRAGMA user_version").fetchone() == (1,)
    assert db.execute("SELECT * FROM numbers").fetchall() == [(1, 5_000)]
    db.close()


def test_a_store_of_a_released_version_is_read(tmp_path):
    db = sqlite3.connect(tmp_path / "leases.sqlite")
    db.executescript(f"{SCHEMA}; PRAGMA user_version=1; INSERT INTO numbers VALUES (1, 7000)")
    db.close()
    store = LeaseStore(tmp_path)
    assert store.open() == 7_000
    store.close()


def test_reserved_tokens_survive_a_restart_and_a_corrupt_store_is_named(tmp_path):
    store = LeaseStore(tmp_path / "n0")
    assert store.open() == 0
    assert store.reserve(5_000) == 5_000
    assert store.reserve(4_000) == 4_000
    store.close()
    reopened = LeaseStore(tmp_path / "n0")
    assert reopened.open() == 5_000
    reopened.db.execute("PRAGMA user_version=9")
    reopened.close()
    with pytest.raises(OSError, match="schema 9"):
        LeaseStore(tmp_path / "n0").open()
    (tmp_path / "bad").mkdir()
    (tmp_path / "bad" / "leases.sqlite").write_bytes(b"no database" * 500)
    with pytest.raises(OSError, match="not a database"):
        LeaseStore(tmp_path / "bad").open()
