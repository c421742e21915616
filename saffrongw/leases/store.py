"""Numbers that hold over every loss of memory, where a disk lasts: one row, written well ahead.

``reserved`` says that any number up to it may have been given. After a start numbers begin above it. One thread writes;
a voter grants no number beyond what the disk has confirmed.
"""

from __future__ import annotations

import sqlite3
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

SCHEMA = 1
BLOCK = 3_600_000  # numbers reserved at once: an hour of them, as they begin at ms of Unix time


class LeaseStore:
    """The database in ``state_dir``. Its methods run on one thread of their own (``pool``)."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "leases.sqlite"
        self.folder = folder
        self.pool = ThreadPoolExecutor(1, "leases")
        self.db: sqlite3.Connection | None = None

    def open(self) -> int:
        """What was reserved before; 0: nothing. ``OSError`` with a plain cause where it can't be used."""
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.db = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
            self.path.chmod(0o600)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            version = self.db.execute("PRAGMA user_version").fetchone()[0]
            if version == 0:
                self.db.execute(
                    "CREATE TABLE IF NOT EXISTS numbers (id INTEGER PRIMARY KEY, reserved INTEGER)"
                )
                self.db.execute(f"PRAGMA user_version={SCHEMA}")
            elif version != SCHEMA:
                raise OSError(f"{self.path}: schema {version} is not known here ({SCHEMA} is)")
            row = self.db.execute("SELECT reserved FROM numbers WHERE id = 1").fetchone()
            return int(row[0]) if row else 0
        except sqlite3.Error as wrong:
            raise OSError(f"{self.path}: {wrong}") from None

    def reserve(self, up_to: int) -> int:
        """Have the disk confirm numbers up to here; what it vouches for. ``OSError`` where it doesn't."""
        try:
            self.db.execute(
                "INSERT INTO numbers VALUES (1, ?) ON CONFLICT (id) DO UPDATE SET reserved = max(reserved, ?)",
                (up_to, up_to),
            )
            return up_to
        except sqlite3.Error as wrong:
            raise OSError(f"{self.path}: {wrong}") from None

    def close(self) -> None:
        """The end."""
        if self.db:
            self.db.close()
