"""The stored format is compatible in both directions with older versions.

SQL, rows and checksums are literals of an older version here, independent of names in the code.
"""

from __future__ import annotations

import dataclasses
import json
import sqlite3
from pathlib import Path

from saffrongw.ledger import events
from saffrongw.ledger.entries import ExecutionStatus
from saffrongw.ledger.events import EntryKey, RecordedRequest
from saffrongw.ledger.reader import LedgerReader
from saffrongw.ledger.store import LedgerStore

CREATE_META = "CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL)"
CREATE_EVENTS = (
    "CREATE TABLE events (\n"
    "    seq INTEGER PRIMARY KEY, life INTEGER NOT NULL, number INTEGER NOT NULL, "
    "kind TEXT NOT NULL, at INTEGER NOT NULL,\n"
    "    data TEXT NOT NULL, sum BLOB NOT NULL\n"
    ")"
)
CREATE_INDEX = "CREATE INDEX events_of ON events (life, number)"
# Rows of incarnation 1, as the older version wrote them.
OLD_ROWS = [
    (
        1,
        1,
        "intent",
        10,
        '{"body":"424f4459","born":5,"bytes":4,"class":"bill","customer":7,"digest":"d1","host":"h1","id":"id1","ordinal":0,"plan":"team","taken":9}',
        "873edd4111797a2a",
    ),
    (1, 1, "whole", 11, '{"ordinal":0}', "b14802379481bd6c"),
    (1, 1, "outcome", 12, '{"ordinal":0,"outcome":"served"}', "23af93270da3d760"),
    (1, 1, "answer", 13, '{"answer":"served"}', "69af4817a5bec628"),
    (
        1,
        2,
        "intent",
        10,
        '{"born":0,"bytes":4,"class":"bill","customer":7,"digest":"d1","host":"h2","id":"id2","ordinal":0,"plan":"team","taken":9}',
        "9ec7b5787e24de46",
    ),
    (1, 2, "outcome", 12, '{"ordinal":0,"outcome":"full"}', "7d7fdf415019276f"),
    (1, 2, "intent", 14, '{"born":0,"host":"h3","ordinal":1}', "b73939ccb4155099"),
    (
        1,
        3,
        "intent",
        10,
        '{"born":5,"bytes":4,"class":"bill","customer":7,"digest":"d1","host":"h1","id":"id3","ordinal":0,"plan":"team","taken":9}',
        "25571c4076297f1a",
    ),
    (1, 3, "outcome", 12, '{"ordinal":0,"outcome":"not connected"}', "00c2fda61a8ffd1d"),
    (1, 3, "classed", 15, '{"by":2,"meaning":"never sent"}', "d0c814a9af730abe"),
    (
        1,
        4,
        "intent",
        10,
        '{"born":5,"bytes":4,"class":"bill","customer":7,"digest":"d1","host":"h4","id":"id4","ordinal":0,"plan":"team","taken":9}',
        "727a156e0ced543e",
    ),
    (1, 4, "imported", 16, '{"host":"h4","issued":12000}', "f499c8df616534e6"),
]


def write_old_ledger(folder: Path) -> None:
    """Write a ledger with the SQL of the older version."""
    folder.mkdir(mode=0o700)
    db = sqlite3.connect(folder / "ledger.sqlite", isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    for statement in (CREATE_META, CREATE_EVENTS, CREATE_INDEX, "PRAGMA user_version=1"):
        db.execute(statement)
    db.execute("INSERT OR REPLACE INTO meta VALUES ('life', 1)")
    db.executemany(
        "INSERT INTO events (life, number, kind, at, data, sum) VALUES (?, ?, ?, ?, ?, ?)",
        [(*columns, bytes.fromhex(checksum)) for *columns, checksum in OLD_ROWS],
    )
    db.close()


def stored_rows(folder: Path) -> list[tuple]:
    """Return the rows with the SQL of the older version."""
    db = sqlite3.connect(folder / "ledger.sqlite")
    rows = db.execute(
        "SELECT life, number, kind, at, data, hex(sum) FROM events ORDER BY seq"
    ).fetchall()
    db.close()
    return [(*row[:5], row[5].lower()) for row in rows]


def test_a_new_ledger_has_the_schema_of_older_ones(tmp_path):
    store = LedgerStore(tmp_path)
    store.open()
    store.close()
    db = sqlite3.connect(tmp_path / "ledger.sqlite")
    found = db.execute("SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY rowid")
    assert [sql for (sql,) in found] == [CREATE_META, CREATE_EVENTS, CREATE_INDEX]
    assert db.execute("PRAGMA user_version").fetchone() == (1,)
    assert db.execute("PRAGMA journal_mode").fetchone() == ("wal",)
    assert db.execute("SELECT name, value FROM meta").fetchall() == [("life", 1)]
    db.close()


def test_a_ledger_of_an_older_version_is_read_and_continued(tmp_path):
    folder = tmp_path / "old"
    write_old_ledger(folder)
    with LedgerReader(folder) as reader:
        assert reader.verify() == []
        entries = reader.entries()
    assert {key: entry.status for key, entry in entries.items()} == {
        (1, 1): ExecutionStatus.ANSWERED,
        (1, 2): ExecutionStatus.MAY_HAVE_RUN,
        (1, 3): ExecutionStatus.NEVER_SENT,
        (1, 4): ExecutionStatus.RAN,
    }
    first = entries[1, 1]
    assert (first.customer, first.client_request_id, first.plan) == (7, "id1", "team")
    assert (first.request_class, first.body_bytes, first.body_hex) == ("bill", 4, "424f4459")
    assert (first.digest, first.received_at_us, first.answered_at_us) == ("d1", 9, 13)
    assert dataclasses.asdict(first.attempts[0]) == {
        "ordinal": 0,
        "endpoint": "h1",
        "endpoint_started_at_us": 5,
        "intended_at_us": 10,
        "fully_sent_at_us": 11,
        "outcome": "served",
        "ended_at_us": 12,
    }
    assert entries[1, 3].classification == "never sent"
    assert entries[1, 4].imported_from == "h4"
    store = LedgerStore(folder)
    assert store.open() == 2
    assert store.incarnation == 2
    store.close()
    added = stored_rows(folder)[len(OLD_ROWS) :]
    assert [(*row[:3], json.loads(row[4])) for row in added] == [
        (1, 2, "classed", {"by": 2, "meaning": "may have run"}),
        (1, 4, "classed", {"by": 2, "meaning": "ran"}),
    ]


def test_events_are_stored_as_the_older_version_stored_them(tmp_path):
    store = LedgerStore(tmp_path)
    store.open()
    keys = {number: EntryKey(1, number) for number in (1, 2, 3, 4)}
    first = RecordedRequest(7, "id1", "team", "bill", 4, "d1", "424f4459", 9)
    others = {
        number: RecordedRequest(7, f"id{number}", "team", "bill", 4, "d1", None, 9)
        for number in (2, 3, 4)
    }
    store.commit(
        [
            events.intent(keys[1], 10, 0, "h1", 5, first),
            events.fully_sent(keys[1], 11, 0),
            events.outcome(keys[1], 12, 0, "served"),
            events.answer(keys[1], 13, "served"),
            events.intent(keys[2], 10, 0, "h2", 0, others[2]),
            events.outcome(keys[2], 12, 0, "full"),
            events.intent(keys[2], 14, 1, "h3", 0),
            events.intent(keys[3], 10, 0, "h1", 5, others[3]),
            events.outcome(keys[3], 12, 0, "not connected"),
            events.classified(keys[3], 15, "never sent", 2),
            events.intent(keys[4], 10, 0, "h4", 5, others[4]),
            events.imported(keys[4], 16, "h4", 12_000),
        ]
    )
    store.close()
    assert stored_rows(tmp_path) == OLD_ROWS


def test_an_inbox_line_is_what_the_older_version_reads():
    event = events.imported(EntryKey(1, 3), 99, "h1", 5)
    line = events.to_inbox_line(event)
    assert line == '{"life": 1, "number": 3, "host": "h1", "issued": 5}'
    assert events.InboxLine(json.loads(line)).to_event(99) == event
