"""The ledger's database: SQLite in WAL mode with ``synchronous=FULL``, rows that are only ever added, each with a
checksum of its own. Used by the writer's thread, and read-only by the command line.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import sqlite3
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

from .entries import (
    DamageError,
    Entry,
    Event,
    Kind,
    Meaning,
    checksum,
    entries_of,
    read,
    recover,
)

SCHEMA = 1
INBOX, INBOX_FILES, INBOX_LINES = (
    "inbox",
    4,
    10_000,
)  # folder; files at once / lines of a file that are taken
LOOK_AT = 500  # entries that one ``trim`` looks at
FILE, LOCK = "ledger.sqlite", "ledger.lock"
TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
CREATE TABLE events (
    seq INTEGER PRIMARY KEY, life INTEGER NOT NULL, number INTEGER NOT NULL, kind TEXT NOT NULL, at INTEGER NOT NULL,
    data TEXT NOT NULL, sum BLOB NOT NULL
);
CREATE INDEX events_of ON events (life, number);
"""
COLUMNS = "seq, life, number, kind, at, data, sum"


class StoreError(Exception):
    """The ledger can't be used now; it says why."""


def now_us() -> int:
    """Unix time in microseconds."""
    return time.time_ns() // 1000


class Store:
    """The database of one gateway, open for writing by one process at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.path = folder, folder / FILE
        self.lock: int | None = None
        self.db: sqlite3.Connection | None = None
        self.life = 0
        self.trimmed: tuple[int, int] = (0, -1)  # the entry that ``trim`` looked at last

    def open(self) -> int:
        """Open or make it and begin a new life; how many entries of older lives were classed.

        ``StoreError`` names what is wrong: a second process, an unknown schema, a damaged file, a disk that fails.
        """
        with self._closing_on_failure():
            self._take_lock()
            new = not self.path.exists() or not self.path.stat().st_size
            if new:
                os.close(os.open(self.path, os.O_CREAT | os.O_RDWR, 0o600))
            self.db = sqlite3.connect(
                self.path, isolation_level=None, timeout=1.0, check_same_thread=False
            )
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            self.db.execute("PRAGMA wal_autocheckpoint=2000")
            self._begin_schema()
            return self._begin_life()

    @contextlib.contextmanager
    def _closing_on_failure(self) -> Iterator[None]:
        """Whatever fails leaves as ``StoreError``, and the store closed: it must be opened anew."""
        try:
            yield
        except StoreError:
            self.close()
            raise
        except DamageError as wrong:
            self.close()
            raise StoreError(f"{self.path}: damaged: {wrong}") from None
        except (OSError, sqlite3.Error) as wrong:
            self.close()
            raise StoreError(f"{self.path}: {wrong}") from None

    def _take_lock(self) -> None:
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        if self.lock is None:
            self.lock = os.open(self.folder / LOCK, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreError(f"{self.folder}: another process holds this ledger") from None

    def _begin_schema(self) -> None:
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        if version == 0 and not self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
            self.db.executescript(f"BEGIN; {TABLES} PRAGMA user_version={SCHEMA}; COMMIT;")
        elif version != SCHEMA:
            raise StoreError(
                f"{self.path}: its schema is {version}, this program knows {SCHEMA}; it was left as it is"
            )

    def _begin_life(self) -> int:
        """One transaction: a crash within it leaves all as it was."""
        db = self.db
        db.execute("BEGIN IMMEDIATE")
        row = db.execute("SELECT value FROM meta WHERE name='life'").fetchone()
        self.life = (row[0] if row else 0) + 1
        events = recover(self.open_entries().values(), self.life, now_us())
        self._insert(events)
        db.execute("INSERT OR REPLACE INTO meta VALUES ('life', ?)", (self.life,))
        db.execute("COMMIT")
        return len(events)

    def _insert(self, events: Iterable[Event]) -> None:
        rows = []
        for e in events:
            text = e.text()
            rows.append(
                (
                    e.life,
                    e.number,
                    e.kind.value,
                    e.at,
                    text,
                    checksum(e.life, e.number, e.kind.value, e.at, text),
                )
            )
        self.db.executemany(
            "INSERT INTO events (life, number, kind, at, data, sum) VALUES (?, ?, ?, ?, ?, ?)", rows
        )

    def commit(self, events: Iterable[Event]) -> None:
        """Write a batch; when this returns it is on the disk. ``StoreError``: none of it counts, and the store must
        be opened anew: what a failed fsync left in caches is not to be trusted."""
        with self._closing_on_failure():
            self.db.execute("BEGIN IMMEDIATE")
            self._insert(events)
            self.db.execute("COMMIT")

    # -- reading --------------------------------------------------------------------------------------------------

    def rows(self, where: str = "", values: tuple = ()) -> Iterator[Event]:
        """Events in their order; ``DamageError`` at the first that is not what was written."""
        for row in self.db.execute(f"SELECT {COLUMNS} FROM events {where} ORDER BY seq", values):
            yield read(*row)

    def open_entries(self) -> dict[tuple[int, int], Entry]:
        """Entries of the last life without a final answer. Those of lives before it are classed: each life begins with
        that, in one transaction."""
        row = self.db.execute("SELECT value FROM meta WHERE name='life'").fetchone()
        closed = "SELECT number FROM events WHERE life=? AND kind IN ('answer', 'classed')"
        life = row[0] if row else 0
        return entries_of(self.rows(f"WHERE life=? AND number NOT IN ({closed})", (life, life)))

    # -- what a command line found out, while a gateway is in service --------------------------------------------

    def take_inbox(self) -> int:
        """Files that ``Reader.hand_in`` left: each event that still fits its entry is written; how many were.

        A file is renamed to ``.done`` once what it holds is on the disk, or to ``.bad`` where it can't be read.
        """
        written = 0
        for path in sorted((self.folder / INBOX).glob("*.jsonl"))[:INBOX_FILES]:
            try:
                events = [
                    self._fitting(json.loads(line))
                    for line in path.read_text().splitlines()[:INBOX_LINES]
                ]
            except (OSError, ValueError, KeyError, TypeError, AttributeError):
                path.rename(path.with_suffix(".bad"))
                continue
            good = [event for event in events if event is not None]
            if good:
                self.commit(good)
            written += len(good)
            path.rename(path.with_suffix(".done"))
        return written

    def _fitting(self, raw: dict) -> Event | None:
        """An event for an entry that may have run, at a host to which it was sent; None where that has changed."""
        key = int(raw["life"]), int(raw["number"])
        entry = entries_of(self.rows("WHERE life=? AND number=?", key)).get(key)
        hosts = {one.host for one in entry.tries.values()} if entry else set()
        if entry is None or entry.meaning is not Meaning.MAY_HAVE_RUN or raw["host"] not in hosts:
            return None
        return Event(
            *key, Kind.IMPORTED, now_us(), {"host": str(raw["host"]), "issued": int(raw["issued"])}
        )

    # -- bounds ---------------------------------------------------------------------------------------------------

    def size(self) -> int:
        """Bytes in use."""
        page, count, free = (
            self.db.execute(f"PRAGMA {name}").fetchone()[0]
            for name in ("page_size", "page_count", "freelist_count")
        )
        return page * (count - free)

    def trim(self, before: int, most: int) -> int:
        """Look at the next ``LOOK_AT`` entries and forget the settled ones that began before a time, or all settled
        ones while the file holds more than so many bytes; how many were forgotten.

        What may have run stays until a host's list has settled it. The work is bounded: intents wait meanwhile.
        """
        with self._closing_on_failure():
            large = self.size() > most
            keys = self.db.execute(
                "SELECT DISTINCT life, number FROM events WHERE (life, number) > (?, ?) ORDER BY life, number LIMIT ?",
                (*self.trimmed, LOOK_AT),
            ).fetchall()
            self.trimmed = tuple(keys[-1]) if len(keys) == LOOK_AT else (0, -1)
            gone = []
            for key in keys:
                (entry,) = entries_of(self.rows("WHERE life=? AND number=?", tuple(key))).values()
                if entry.settled and (large or entry.taken < before):
                    gone.append(key)
            if gone:
                self.db.execute("BEGIN IMMEDIATE")
                self.db.executemany("DELETE FROM events WHERE life=? AND number=?", gone)
                self.db.execute("COMMIT")
        return len(gone)

    def compact(self, before: int, most: int) -> int:
        """Forget all that ``trim`` may, and give the room back to the disk; how many entries went."""
        gone, rounds = (
            0,
            2 + self.db.execute("SELECT count(*) FROM events").fetchone()[0] // LOOK_AT,
        )
        for _ in range(rounds):
            gone += self.trim(before, most)
        with self._closing_on_failure():
            self.db.execute("VACUUM")
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        return gone

    def close(self) -> None:
        """Let go of the database and of the lock."""
        db, self.db = self.db, None
        if db is not None:
            with contextlib.suppress(sqlite3.Error):
                db.close()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


class Reader:
    """The same, read-only, beside a gateway in service."""

    def __init__(self, folder: Path) -> None:
        path = folder / FILE
        if not path.exists():
            raise StoreError(f"{path}: there is no ledger")
        try:
            self.db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=2.0)
            version = self.db.execute("PRAGMA user_version").fetchone()[0]
        except sqlite3.Error as wrong:
            raise StoreError(f"{path}: {wrong}") from None
        if version != SCHEMA:
            raise StoreError(f"{path}: its schema is {version}, this program knows {SCHEMA}")
        self.path, self.damage = path, []

    def events(self) -> Iterator[Event]:
        """Every row that is what was written; the others are named in ``damage``."""
        try:
            for row in self.db.execute(f"SELECT {COLUMNS} FROM events ORDER BY seq"):
                try:
                    yield read(*row)
                except DamageError as wrong:
                    self.damage.append(str(wrong))
        except (sqlite3.Error, OverflowError, UnicodeDecodeError) as wrong:
            self.damage.append(f"the file: {wrong}")

    def entries(self) -> dict[tuple[int, int], Entry]:
        """All entries; one of which a row is damaged says less, never more."""
        return entries_of(self.events())

    def verify(self) -> list[str]:
        """All that is wrong with the file."""
        list(self.events())
        try:
            found = [row[0] for row in self.db.execute("PRAGMA integrity_check(20)")]
        except sqlite3.Error as wrong:
            found = [str(wrong)]
        return self.damage + [f"the file: {text}" for text in found if text != "ok"]

    def hand_in(self, events: Iterable[Event], within: float) -> bool:
        """Leave events to the gateway that holds the ledger; whether it has written them within so many seconds."""
        inbox = self.path.parent / INBOX
        inbox.mkdir(mode=0o700, exist_ok=True)
        path = inbox / f"{now_us()}-{os.getpid()}.jsonl"
        lines = [json.dumps({"life": e.life, "number": e.number, **e.data}) for e in events]
        part = path.with_suffix(".part")
        with os.fdopen(os.open(part, os.O_CREAT | os.O_WRONLY | os.O_EXCL, 0o600), "w") as file:
            file.write("\n".join(lines) + "\n")
        part.rename(path)
        done, end = path.with_suffix(".done"), time.monotonic() + within
        while time.monotonic() < end:
            if done.exists():
                done.unlink()
                return True
            time.sleep(0.05)
        return False

    def backup(self, path: Path) -> None:
        """A copy of one moment, while the gateway goes on."""
        os.close(os.open(path, os.O_CREAT | os.O_RDWR | os.O_EXCL, 0o600))
        other = sqlite3.connect(path)
        with other:
            self.db.backup(other)
        other.close()
