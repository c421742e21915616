"""The ledger's files and tables: names and SQL that must not change, as older versions use them."""

from __future__ import annotations

import time

SCHEMA_VERSION = 1
DATABASE_NAME = "ledger.sqlite"
LOCK_NAME = "ledger.lock"
INBOX_NAME = "inbox"

# SQLite stores the text of these statements, so they keep the line breaks of older versions.
CREATE_TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
CREATE TABLE events (
    seq INTEGER PRIMARY KEY, life INTEGER NOT NULL, number INTEGER NOT NULL, kind TEXT NOT NULL, \
at INTEGER NOT NULL,
    data TEXT NOT NULL, sum BLOB NOT NULL
);
CREATE INDEX events_of ON events (life, number);
"""
SELECT_EVENTS = "SELECT seq, life, number, kind, at, data, sum FROM events"
INSERT_EVENT = "INSERT INTO events (life, number, kind, at, data, sum) VALUES (?, ?, ?, ?, ?, ?)"
COUNT_EVENTS = "SELECT count(*) FROM events"
DELETE_ENTRY = "DELETE FROM events WHERE life=? AND number=?"
WHERE_ENTRY = "WHERE life=? AND number=?"
# Entries of an incarnation that have neither a final answer nor a classification.
WHERE_OPEN = (
    "WHERE life=? AND number NOT IN"
    " (SELECT number FROM events WHERE life=? AND kind IN ('answer', 'classed'))"
)
SELECT_KEYS_AFTER = (
    "SELECT DISTINCT life, number FROM events WHERE (life, number) > (?, ?)"
    " ORDER BY life, number LIMIT ?"
)
SELECT_INCARNATION = "SELECT value FROM meta WHERE name='life'"
REPLACE_INCARNATION = "INSERT OR REPLACE INTO meta VALUES ('life', ?)"


class LedgerStoreError(Exception):
    """The ledger can't be opened, read or written; the message names the file and the cause."""


def now_us() -> int:
    """Return Unix time in microseconds."""
    return time.time_ns() // 1000
