"""The folder that all gateways of one site share: atomic, durable files and one lock.

    lock                        held (flock) during each change
    lease.json                  the ordering lease (``ordering_lease.py``)
    news                        changes whenever a certificate is installed
    authorities/DIGEST/         account.json, account.key, account.next (``account_store.py``)
    certs/ID/                   note.json, pending.key, current and versions
                                (``certificate_store.py``)
    challenges/                 TOKEN.json (``challenge_store.py``)

These are plain files rather than a database: several machines may mount the folder, each key has
its own mode, and operators can read them with standard tools. All functions block, so none may be
called on the event loop; several processes may use one folder at once.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import secrets
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from .messages import AcmeError, FailureKind

SCHEMA = b"saffrongw certs 1\n"
# How long to wait for the lock, and between two attempts to take it.
LOCK_TIMEOUT_S = 10.0
LOCK_RETRY_S = 0.02
MAX_FILE_BYTES = 256 * 1024

_OS_ERROR_TEXTS = {
    errno.ENOSPC: "the disk is full",
    errno.EDQUOT: "the disk quota is used up",
    errno.EROFS: "the disk is read-only",
    errno.EACCES: "permission denied",
}


class StoreError(AcmeError):
    """The shared folder cannot be used; the message names the file and the cause."""

    def __init__(self, detail: str) -> None:
        """Create a failure of kind LOCAL with this detail."""
        super().__init__(FailureKind.LOCAL, detail)


def store_error(error: OSError, path: Path) -> StoreError:
    """Convert an operating-system error to a ``StoreError`` with a message for operators."""
    text = _OS_ERROR_TEXTS.get(error.errno or 0, error.strerror or error)
    return StoreError(f"{path}: {text}")


class SharedFolder:
    """Reads, atomically replaces and locks the files of one site's folder.

    ``on_step`` is called with a name before and after each change that other processes can see;
    tests interrupt the process there.
    """

    def __init__(self, path: Path, on_step: Callable[[str], None] | None = None) -> None:
        """Use this path; ``open`` creates it."""
        self.path = path
        self.on_step: Callable[[str], None] = on_step or (lambda _name: None)

    def open(self) -> None:
        """Create the folder if there is none.

        Raises ``StoreError`` if it belongs to another program (it is left unchanged), if other
        users can read it, or if it cannot be created.
        """
        try:
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
            for name in ("authorities", "certs", "challenges"):
                (self.path / name).mkdir(mode=0o700, exist_ok=True)
            self._check_schema(self.path / "schema")
            if self.path.stat().st_mode & 0o077:
                raise StoreError(f"{self.path}: others may look into it (mode 0700 is needed)")
        except OSError as error:
            raise store_error(error, self.path) from None

    def _check_schema(self, schema_file: Path) -> None:
        if not schema_file.exists():
            self.write(schema_file, SCHEMA)
            return
        found = schema_file.read_bytes()[:100]
        if found != SCHEMA:
            expected = SCHEMA.decode().strip()
            raise StoreError(
                f"{schema_file}: {found!r:.60} is not {expected!r}; it was left as it is"
            )

    def make_directory(self, path: Path) -> None:
        """Create one directory inside the folder, readable by the owner alone."""
        try:
            path.mkdir(mode=0o700, exist_ok=True)
        except OSError as error:
            raise store_error(error, path) from None

    def write(self, path: Path, data: bytes) -> None:
        """Replace a file atomically and durably; only the owner can read it."""
        temporary = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
        try:
            descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            try:
                with os.fdopen(descriptor, "wb") as file:
                    file.write(data)
                    file.flush()
                    os.fsync(file.fileno())
                self.on_step(f"write {path.name}")
                temporary.rename(path)
                self.on_step(f"wrote {path.name}")
            except BaseException:
                with contextlib.suppress(OSError):
                    temporary.unlink()
                raise
            self.sync(path.parent)
        except OSError as error:
            raise store_error(error, path) from None

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file durably; ``FileNotFoundError`` if there is none."""
        try:
            source.rename(target)
            self.sync(target.parent)
        except FileNotFoundError:
            raise
        except OSError as error:
            raise store_error(error, source.parent) from None

    @staticmethod
    def sync(directory: Path) -> None:
        """Make renames inside a directory durable (fsync)."""
        descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: Path) -> bytes | None:
        """Return a file's contents, or None if there is no such file."""
        try:
            with path.open("rb") as file:
                found = file.read(MAX_FILE_BYTES + 1)
        except (FileNotFoundError, NotADirectoryError):
            return None
        except OSError as error:
            raise store_error(error, path) from None
        if len(found) > MAX_FILE_BYTES:
            raise StoreError(f"{path}: longer than {MAX_FILE_BYTES} bytes")
        return found

    def remove(self, path: Path) -> None:
        """Delete a file if it exists."""
        try:
            path.unlink(missing_ok=True)
        except OSError as error:
            raise store_error(error, path) from None

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the lock that serialises changes by all processes.

        It is released if its holder dies.
        """
        lock_file = self.path / "lock"
        try:
            descriptor = os.open(lock_file, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise store_error(error, lock_file) from None
        try:
            self._take_lock(descriptor, lock_file)
            yield
        finally:
            os.close(descriptor)

    def _take_lock(self, descriptor: int, lock_file: Path) -> None:
        deadline = time.monotonic() + LOCK_TIMEOUT_S
        while True:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if time.monotonic() > deadline:
                    raise StoreError(
                        f"{self.path}: locked for {LOCK_TIMEOUT_S:g} s by another process"
                    ) from None
                time.sleep(LOCK_RETRY_S)
            except OSError as error:
                raise store_error(error, lock_file) from None
            else:
                return
