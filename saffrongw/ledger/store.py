"""The ledger's database, open for writing: SQLite in WAL mode with ``synchronous=FULL``.

Rows are never changed: they are added, each with its own checksum, and deleted with all rows of
their entry. The writer's thread uses the store, or the command line while no gateway runs.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import sqlite3
from collections.abc import Iterable, Iterator
from pathlib import Path

from . import schema
from .entries import Entry, build_entries, classify_open
from .events import DamagedRowError, EntryKey, Event, EventRow, parse_row, to_columns
from .inbox import Inbox
from .schema import DATABASE_NAME, LOCK_NAME, SCHEMA_VERSION, LedgerStoreError, now_us

# Entries that one ``trim`` examines, during which intents wait.
MAX_ENTRIES_PER_TRIM = 500
# Size of the WAL, in pages, at which SQLite moves it into the database.
WAL_CHECKPOINT_PAGES = 2_000
BUSY_TIMEOUT_S = 1.0
BEFORE_FIRST_KEY = EntryKey(0, -1)


class LedgerStore:
    """The database of one gateway; a lock file lets one process at a time write to it."""

    def __init__(self, folder: Path) -> None:
        """Use this folder; ``open`` opens the database."""
        self.folder = folder
        self.path = folder / DATABASE_NAME
        self.inbox = Inbox(folder)
        self.lock: int | None = None
        self.db: sqlite3.Connection | None = None
        self.incarnation = 0
        # The entry that ``trim`` examined last.
        self.last_trimmed_key = BEFORE_FIRST_KEY

    @property
    def _database(self) -> sqlite3.Connection:
        if self.db is None:
            raise LedgerStoreError(f"{self.path}: it is closed")
        return self.db

    # -- opening and closing --

    def open(self) -> int:
        """Open or create the database and begin an incarnation.

        Returns how many entries of older incarnations were classified. Raises ``LedgerStoreError``
        where another process has the lock, the schema is unknown, the file is damaged or the disk
        fails.
        """
        with self._closing_on_failure():
            self._take_lock()
            if not self.path.exists() or not self.path.stat().st_size:
                os.close(os.open(self.path, os.O_CREAT | os.O_RDWR, 0o600))
            self.db = sqlite3.connect(
                self.path, isolation_level=None, timeout=BUSY_TIMEOUT_S, check_same_thread=False
            )
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            self.db.execute(f"PRAGMA wal_autocheckpoint={WAL_CHECKPOINT_PAGES}")
            self._create_or_check_schema()
            return self._begin_incarnation()

    def close(self) -> None:
        """Close the database and release the lock."""
        db = self.db
        self.db = None
        if db is not None:
            with contextlib.suppress(sqlite3.Error):
                db.close()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    @contextlib.contextmanager
    def _closing_on_failure(self) -> Iterator[None]:
        """Close the store on any failure, and raise it as ``LedgerStoreError``."""
        try:
            yield
        except LedgerStoreError:
            self.close()
            raise
        except DamagedRowError as error:
            self.close()
            raise LedgerStoreError(f"{self.path}: damaged: {error}") from None
        except (OSError, sqlite3.Error) as error:
            self.close()
            raise LedgerStoreError(f"{self.path}: {error}") from None

    def _take_lock(self) -> None:
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        if self.lock is None:
            flags = os.O_CREAT | os.O_RDWR | os.O_CLOEXEC
            self.lock = os.open(self.folder / LOCK_NAME, flags, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise LedgerStoreError(f"{self.folder}: another process holds this ledger") from None

    def _create_or_check_schema(self) -> None:
        db = self._database
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version == 0 and not db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
            set_version = f"PRAGMA user_version={SCHEMA_VERSION}"
            db.executescript(f"BEGIN; {schema.CREATE_TABLES} {set_version}; COMMIT;")
        elif version != SCHEMA_VERSION:
            raise LedgerStoreError(
                f"{self.path}: its schema is {version}, this program knows {SCHEMA_VERSION}; "
                "it was left as it is"
            )

    def _begin_incarnation(self) -> int:
        """Begin the next incarnation, and classify the entries that the last one left open.

        Both are one transaction, so a crash in between changes nothing. Returns the number of
        entries.
        """
        db = self._database
        db.execute("BEGIN IMMEDIATE")
        self.incarnation = self._last_incarnation() + 1
        events = classify_open(self.open_entries().values(), self.incarnation, now_us())
        self._insert(events)
        db.execute(schema.REPLACE_INCARNATION, (self.incarnation,))
        db.execute("COMMIT")
        return len(events)

    def _last_incarnation(self) -> int:
        row = self._database.execute(schema.SELECT_INCARNATION).fetchone()
        return row[0] if row else 0

    # -- writing --

    def _insert(self, events: Iterable[Event]) -> None:
        self._database.executemany(schema.INSERT_EVENT, [to_columns(event) for event in events])

    def commit(self, events: Iterable[Event]) -> None:
        """Write a batch; it is durable when this returns.

        ``LedgerStoreError`` means that no event of the batch counts as written. The store is closed
        then and must be reopened, because cached pages can't be trusted after a failed fsync.
        """
        with self._closing_on_failure():
            self._database.execute("BEGIN IMMEDIATE")
            self._insert(events)
            self._database.execute("COMMIT")

    def process_inbox(self) -> int:
        """Commit the events of the inbox that still fit their entries; return their number."""
        return self.inbox.process(self._entry, self.commit)

    # -- reading --

    def events(self, where: str = "", values: tuple[int, ...] = ()) -> Iterator[Event]:
        """Yield events in the order of writing; raise ``DamagedRowError`` at a damaged row."""
        query = f"{schema.SELECT_EVENTS} {where} ORDER BY seq"
        for row in self._database.execute(query, values):
            yield parse_row(EventRow._make(row))

    def open_entries(self) -> dict[EntryKey, Entry]:
        """Return the entries of the last incarnation without a final answer.

        Older incarnations have none that are open: each incarnation begins by classifying those of
        the one before, in one transaction.
        """
        last = self._last_incarnation()
        return build_entries(self.events(schema.WHERE_OPEN, (last, last)))

    def _entry(self, key: EntryKey) -> Entry | None:
        return build_entries(self.events(schema.WHERE_ENTRY, key)).get(key)

    # -- bounds --

    def size(self) -> int:
        """Return the bytes in use."""
        page_size, page_count, free_pages = (
            self._database.execute(f"PRAGMA {name}").fetchone()[0]
            for name in ("page_size", "page_count", "freelist_count")
        )
        return page_size * (page_count - free_pages)

    def trim(self, before_us: int, max_bytes: int) -> int:
        """Examine a limited number of entries and delete settled ones; return how many.

        Deletes settled entries of requests received before ``before_us``, or all settled ones while
        the database is larger than ``max_bytes``. Entries that may have run stay until an
        endpoint's list has settled them.
        """
        with self._closing_on_failure():
            is_too_large = self.size() > max_bytes
            keys = self._next_keys()
            deleted = []
            for key in keys:
                (entry,) = build_entries(self.events(schema.WHERE_ENTRY, key)).values()
                if entry.is_settled and (is_too_large or entry.received_at_us < before_us):
                    deleted.append(key)
            if deleted:
                self._database.execute("BEGIN IMMEDIATE")
                self._database.executemany(schema.DELETE_ENTRY, deleted)
                self._database.execute("COMMIT")
        return len(deleted)

    def _next_keys(self) -> list[EntryKey]:
        """Return the keys to examine next; after the last entry it starts over at the first."""
        rows = self._database.execute(
            schema.SELECT_KEYS_AFTER, (*self.last_trimmed_key, MAX_ENTRIES_PER_TRIM)
        )
        keys = [EntryKey._make(row) for row in rows]
        self.last_trimmed_key = keys[-1] if len(keys) == MAX_ENTRIES_PER_TRIM else BEFORE_FIRST_KEY
        return keys

    def compact(self, before_us: int, max_bytes: int) -> int:
        """Delete all entries that ``trim`` may delete, and shrink the file.

        Returns how many entries were deleted.
        """
        event_count = self._database.execute(schema.COUNT_EVENTS).fetchone()[0]
        rounds = 2 + event_count // MAX_ENTRIES_PER_TRIM
        deleted_count = sum(self.trim(before_us, max_bytes) for _ in range(rounds))
        with self._closing_on_failure():
            self._database.execute("VACUUM")
            self._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        return deleted_count
