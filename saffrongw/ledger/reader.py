"""Reads the ledger's database without a lock, also while a gateway writes to it."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import closing
from pathlib import Path
from typing import Self

from . import schema
from .entries import Entry, build_entries
from .events import DamagedRowError, EntryKey, Event, EventRow, parse_row
from .inbox import Inbox
from .schema import DATABASE_NAME, SCHEMA_VERSION, LedgerStoreError

BUSY_TIMEOUT_S = 2.0
# Faults of the database file that ``verify`` lists.
MAX_INTEGRITY_FAULTS = 20


class LedgerReader:
    """The entries of one gateway's ledger; ``damage`` names the rows that can't be read."""

    def __init__(self, folder: Path) -> None:
        """Open the database; raise ``LedgerStoreError`` where it is missing or can't be read."""
        path = folder / DATABASE_NAME
        if not path.exists():
            raise LedgerStoreError(f"{path}: there is no ledger")
        try:
            self.db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=BUSY_TIMEOUT_S)
            version = self.db.execute("PRAGMA user_version").fetchone()[0]
        except sqlite3.Error as error:
            raise LedgerStoreError(f"{path}: {error}") from None
        if version != SCHEMA_VERSION:
            raise LedgerStoreError(
                f"{path}: its schema is {version}, this program knows {SCHEMA_VERSION}"
            )
        self.path = path
        self.inbox = Inbox(folder)
        self.damage: list[str] = []

    def __enter__(self) -> Self:
        """Return the reader, which closes at the end of the block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the database."""
        self.close()

    def close(self) -> None:
        """Close the database."""
        self.db.close()

    def events(self) -> Iterator[Event]:
        """Yield the events of all undamaged rows; name the others in ``damage``."""
        try:
            for row in self.db.execute(f"{schema.SELECT_EVENTS} ORDER BY seq"):
                try:
                    yield parse_row(EventRow._make(row))
                except DamagedRowError as error:
                    self.damage.append(str(error))
        except (sqlite3.Error, OverflowError, UnicodeDecodeError) as error:
            self.damage.append(f"the file: {error}")

    def entries(self) -> dict[EntryKey, Entry]:
        """Return all entries; those with damaged rows lack the events of these rows."""
        return build_entries(self.events())

    def verify(self) -> list[str]:
        """Return the damage of rows and of the database file."""
        for _ in self.events():
            pass
        try:
            rows = self.db.execute(f"PRAGMA integrity_check({MAX_INTEGRITY_FAULTS})")
            found = [row[0] for row in rows]
        except sqlite3.Error as error:
            found = [str(error)]
        return self.damage + [f"the file: {text}" for text in found if text != "ok"]

    def submit(self, events: Iterable[Event], timeout_s: float) -> bool:
        """Submit events to the gateway with the ledger open; return whether it processed them."""
        return self.inbox.submit(events, timeout_s)

    def backup(self, path: Path) -> None:
        """Write a consistent copy to a new file, also while a gateway writes to the ledger."""
        os.close(os.open(path, os.O_CREAT | os.O_RDWR | os.O_EXCL, 0o600))
        with closing(sqlite3.connect(path)) as target, target:
            self.db.backup(target)
