"""The store of reserved fencing tokens, for gateways with a persistent disk.

Its one row is written well ahead of use: any token up to ``reserved`` may have been granted, so
tokens begin above it after a start. An acceptor grants no token above the value on disk.
"""

from __future__ import annotations

import sqlite3
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

SCHEMA_VERSION = 1
# Tokens reserved by one write: an hour of them, as tokens begin at Unix time in milliseconds.
RESERVED_TOKENS_PER_BLOCK = 3_600_000


class LeaseStoreError(OSError):
    """The store can't be read or written; the message names the file and the cause."""


class LeaseStore:
    """The SQLite database in ``state_dir``. Its methods must run on its own thread, ``pool``."""

    def __init__(self, folder: Path) -> None:
        """Set the folder of the database; ``open`` creates both."""
        self.path = folder / "leases.sqlite"
        self.folder = folder
        self.pool = ThreadPoolExecutor(1, "leases")
        self.db: sqlite3.Connection | None = None

    def open(self) -> int:
        """Open or create the database, and return the highest reserved token, or 0.

        Raises ``LeaseStoreError`` for a corrupt file or an unknown schema, ``OSError`` for an
        unusable folder.
        """
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.db = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
            self.path.chmod(0o600)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            self._create_schema(self.db)
        except sqlite3.Error as error:
            raise LeaseStoreError(f"{self.path}: {error}") from None
        return self.reserved()

    def reserved(self) -> int:
        """Return the highest token that any process has reserved, or 0.

        Raise ``LeaseStoreError`` on failure.
        """
        try:
            row = self._open_db().execute("SELECT reserved FROM numbers WHERE id = 1").fetchone()
        except sqlite3.Error as error:
            raise LeaseStoreError(f"{self.path}: {error}") from None
        return int(row[0]) if row else 0

    def _open_db(self) -> sqlite3.Connection:
        if self.db is None:
            raise LeaseStoreError(f"{self.path}: not open")
        return self.db

    def _create_schema(self, db: sqlite3.Connection) -> None:
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version == 0:
            db.execute(
                "CREATE TABLE IF NOT EXISTS numbers (id INTEGER PRIMARY KEY, reserved INTEGER)"
            )
            db.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        elif version != SCHEMA_VERSION:
            raise LeaseStoreError(
                f"{self.path}: schema {version} is not known here ({SCHEMA_VERSION} is)"
            )

    def reserve(self, up_to: int) -> int:
        """Store that tokens up to ``up_to`` may be granted, and return ``up_to``.

        Raise ``LeaseStoreError`` on failure.
        """
        db = self._open_db()
        try:
            db.execute(
                "INSERT INTO numbers VALUES (1, ?) ON CONFLICT (id)"
                " DO UPDATE SET reserved = max(reserved, ?)",
                (up_to, up_to),
            )
        except sqlite3.Error as error:
            raise LeaseStoreError(f"{self.path}: {error}") from None
        return up_to

    def close(self) -> None:
        """Close the database."""
        if self.db:
            self.db.close()
