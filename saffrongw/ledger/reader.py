"""The ledger's database, read-only, beside a gateway in service."""

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
# Faults of the file that ``verify`` lists.
MAX_INTEGRITY_FAULTS = 20


class LedgerReader:
    """The entries of one gateway's ledger; ``damage`` names what could not be read."""

    def __init__(self, folder: Path) -> None:
        """Open the database; raises ``LedgerStoreError`` where there is none that can be read."""
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
        """Return the reader, which is closed at the end of the block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the database."""
        self.close()

    def close(self) -> None:
        """Close the database."""
        self.db.close()

    def events(self) -> Iterator[Event]:
        """Yield every row that is what was written; the others are named in ``damage``."""
        try:
            for row in self.db.execute(f"{schema.SELECT_EVENTS} ORDER BY seq"):
                try:
                    yield parse_row(EventRow._make(row))
                except DamagedRowError as error:
                    self.damage.append(str(error))
        except (sqlite3.Error, OverflowError, UnicodeDecodeError) as error:
            self.damage.append(f"the file: {error}")

    def entries(self) -> dict[EntryKey, Entry]:
        """Return all entries; one of which a row is damaged says less, never more."""
        return build_entries(self.events())

    def verify(self) -> list[str]:
        """Return all that is wrong with the file."""
        for _ in self.events():
            pass
        try:
            rows = self.db.execute(f"PRAGMA integrity_check({MAX_INTEGRITY_FAULTS})")
            found = [row[0] for row in rows]
        except sqlite3.Error as error:
            found = [str(error)]
        return self.damage + [f"the file: {text}" for text in found if text != "ok"]

    def hand_in(self, events: Iterable[Event], timeout_s: float) -> bool:
        """Leave events to the gateway that holds the ledger; return whether it has written them."""
        return self.inbox.leave(events, timeout_s)

    def backup(self, path: Path) -> None:
        """Write a copy of one moment, while the gateway goes on."""
        os.close(os.open(path, os.O_CREAT | os.O_RDWR | os.O_EXCL, 0o600))
        with closing(sqlite3.connect(path)) as target, target:
            self.db.backup(target)
