"""Stores the site's accounts with certificate authorities: keys, URLs and contacts.

Each authority has a directory named by a digest of its URL: ``account.key`` (PEM),
``account.json``, and ``account.next`` while the account's key is being changed. Retired keys are
renamed, never deleted.
"""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable
from pathlib import Path

from . import documents
from .documents import Account, DocumentError
from .jose import AccountKey
from .ordering_lease import OrderingLease, OrderingTerm
from .shared_folder import SharedFolder, StoreError


class AccountStore:
    """Reads and writes the accounts in a shared folder."""

    def __init__(
        self, folder: SharedFolder, lease: OrderingLease, now: Callable[[], float]
    ) -> None:
        """Use the accounts of a shared folder; ``now`` returns Unix seconds."""
        self.folder, self.lease, self.now = folder, lease, now

    def load(self, directory: str, term: OrderingTerm | None) -> tuple[AccountKey, Account | None]:
        """Return the account's key, created if there is none, and the account if it is known.

        ``directory`` is the URL of the authority's directory.
        """
        account_directory = self._account_directory(directory)
        pem = self.folder.read(account_directory / "account.key")
        if pem is None:
            pem = self._create_key(account_directory, term)
        try:
            key = AccountKey.of(pem)
        except ValueError as error:
            raise StoreError(f"{account_directory / 'account.key'}: {error}") from None
        return key, self._read_account(account_directory)

    def _create_key(self, account_directory: Path, term: OrderingTerm | None) -> bytes:
        with self.lease.guarded(term):
            self.folder.make_directory(account_directory)
            pem = self.folder.read(account_directory / "account.key")
            if pem is None:  # another process may have created it meanwhile
                pem = AccountKey.new().pem
                self.folder.write(account_directory / "account.key", pem)
            return pem

    def _read_account(self, account_directory: Path) -> Account | None:
        raw = self.folder.read(account_directory / "account.json")
        if raw is None:
            return None
        try:
            return documents.account(raw, str(account_directory / "account.json"))
        except DocumentError:
            return None  # registering again with the same key returns the same account

    def save(self, account: Account, term: OrderingTerm | None) -> None:
        """Store an account as it is registered with the authority."""
        with self.lease.guarded(term):
            path = self._account_directory(account.directory) / "account.json"
            self.folder.write(path, documents.dump(account))

    def retire_key(self, directory: str, term: OrderingTerm | None) -> None:
        """Rename the key because the authority no longer knows the account.

        The next ``load`` creates a new key.
        """
        account_directory = self._account_directory(directory)
        with self.lease.guarded(term):
            self.folder.remove(account_directory / "account.json")
            retired = account_directory / f"account.key.gone-{int(self.now())}"
            with contextlib.suppress(FileNotFoundError):
                self.folder.rename(account_directory / "account.key", retired)

    def next_key(self, directory: str) -> AccountKey | None:
        """Return the new key of an interrupted key change, if there is one."""
        pem = self.folder.read(self._account_directory(directory) / "account.next")
        return AccountKey.of(pem) if pem else None

    def begin_key_change(self, directory: str, key: AccountKey) -> None:
        """Store the new key durably before the authority is asked to accept it."""
        with self.lease.guarded(None):
            self.folder.write(self._account_directory(directory) / "account.next", key.pem)

    def end_key_change(self, directory: str) -> None:
        """Make the new key the account's key."""
        account_directory = self._account_directory(directory)
        with self.lease.guarded(None):
            try:
                self.folder.rename(
                    account_directory / "account.next", account_directory / "account.key"
                )
            except FileNotFoundError as error:
                raise StoreError(f"{account_directory}: {error.strerror}") from None

    def _account_directory(self, directory: str) -> Path:
        digest = hashlib.sha256(directory.encode()).hexdigest()[:16]
        return self.folder.path / "authorities" / digest
