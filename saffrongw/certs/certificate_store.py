"""The folder that all gateways of one site share: certificates, keys, accounts, orders, challenges, the lease.

    lock                        held (flock) for each change
    lease.json                  who orders; see lease.py
    news                        grows with each change of what serves: gateways look at it once a second
    authorities/DIGEST/         account.json, account.key (account.next while the key changes)
    certs/ID/                   note.json, pending.key, current (the name of a version), FINGERPRINT/{cert.pem,key.pem}
    challenges/                 TOKEN.json, gone by their age

Plain files, and not a database: several machines may mount it, each key has its own mode, and the tools that operators
know can read them. A file is written whole or not at all: to a name of its own, synced, renamed, the folder synced.
Nothing here is called on the event loop; one folder may be used by several processes at once.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import hashlib
import json
import os
import re
import secrets
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from saffrongw.gateway.extensions import LeaderGuard

from . import chain, documents
from .documents import Account, CertNote, DocumentError
from .jose import AccountKey
from .lease import Keep, Lease, Take, Terms, Wait, capped, decide, held
from .messages import AcmeError, Kind

SCHEMA = b"saffrongw certs 1\n"
CHALLENGE_FOR = 2 * 3_600.0  # seconds after which one that nobody took down is gone
VERSIONS_KEPT = 3  # of each certificate: the current one and those before it
LOCK_WITHIN, LOCK_LOOK = 10.0, 0.02  # seconds to wait for the lock / between two tries
BY_DUTY = "fleet:"  # before the holder's name in the file, where a lease of the whole fleet stands behind it
DUTY_LOOK = 0.5  # seconds between two looks at whether that is ours
FILE_MOST = 256 * 1024  # bytes of any file here
_ID = re.compile(r"[a-z0-9*_][a-z0-9.\-*_]{0,120}")
_TOKEN = re.compile(r"[A-Za-z0-9_\-]{8,256}")


class StoreError(AcmeError):
    """The folder can't be used as it is: what, and why."""

    def __init__(self, detail: str) -> None:
        super().__init__(Kind.LOCAL, detail)


class LostLease(StoreError):
    """Another gateway orders by now; what this one was about to write is not written."""


@dataclass(frozen=True, slots=True)
class Pair:
    """A certificate in service: where its files lie, and what it says."""

    id: str
    cert: Path
    key: Path
    facts: chain.Facts


@dataclass(frozen=True, slots=True)
class Proof:
    """A challenge that somebody may come to check."""

    name: str
    type: str
    token: str
    authorisation: str
    until: float


def _told(wrong: OSError, what: object) -> StoreError:
    """The cause in an operator's words."""
    words = {
        errno.ENOSPC: "the disk is full",
        errno.EDQUOT: "the disk quota is used up",
        errno.EROFS: "the disk is read-only",
        errno.EACCES: "permission denied",
    }
    return StoreError(f"{what}: {words.get(wrong.errno, wrong.strerror or wrong)}")


class Store:
    """One site's folder.

    ``duty`` says who may order where a lease of the whole fleet does; else the file's own lease does.
    ``step`` is called with a name before and after each change that others see: tests stop there.
    """

    def __init__(
        self,
        folder: Path,
        now: Callable[[], float] = time.time,
        terms: Terms | None = None,
        step: Callable[[str], None] | None = None,
        duty: LeaderGuard | None = None,
    ) -> None:
        self.folder, self.now, self.terms, self.duty = folder, now, terms or Terms(), duty
        self.step = step or (lambda name: None)

    # -- files ----------------------------------------------------------------------------------------------------

    def open(self) -> None:
        """Make the folder where there is none; one of another program is refused and left as it is."""
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            for name in ("authorities", "certs", "challenges"):
                (self.folder / name).mkdir(mode=0o700, exist_ok=True)
            mark = self.folder / "schema"
            if not mark.exists():
                self._write(mark, SCHEMA)
            elif (found := mark.read_bytes()[:100]) != SCHEMA:
                raise StoreError(
                    f"{mark}: {found!r:.60} is not {SCHEMA.decode().strip()!r}; it was left as it is"
                )
            if self.folder.stat().st_mode & 0o077:
                raise StoreError(f"{self.folder}: others may look into it (mode 0700 is needed)")
        except OSError as wrong:
            raise _told(wrong, self.folder) from None

    def _write(self, path: Path, data: bytes) -> None:
        """Whole or not at all, readable by nobody else, durable when this returns."""
        part = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
        try:
            fd = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            try:
                with os.fdopen(fd, "wb") as file:
                    file.write(data)
                    file.flush()
                    os.fsync(file.fileno())
                self.step(f"write {path.name}")
                os.rename(part, path)
                self.step(f"wrote {path.name}")
            except BaseException:
                with contextlib.suppress(OSError):
                    part.unlink()
                raise
            self._sync(path.parent)
        except OSError as wrong:
            raise _told(wrong, path) from None

    @staticmethod
    def _sync(folder: Path) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _read(self, path: Path) -> bytes | None:
        """None: there is none."""
        try:
            with path.open("rb") as file:
                found = file.read(FILE_MOST + 1)
        except (FileNotFoundError, NotADirectoryError):
            return None
        except OSError as wrong:
            raise _told(wrong, path) from None
        if len(found) > FILE_MOST:
            raise StoreError(f"{path}: longer than {FILE_MOST} bytes")
        return found

    def _remove(self, path: Path) -> None:
        try:
            path.unlink(missing_ok=True)
        except OSError as wrong:
            raise _told(wrong, path) from None

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """One change at a time, over all processes; a holder that dies lets go."""
        try:
            fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as wrong:
            raise _told(wrong, self.folder / "lock") from None
        try:
            end = time.monotonic() + LOCK_WITHIN
            while True:
                try:
                    fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if time.monotonic() > end:
                        raise StoreError(
                            f"{self.folder}: locked for {LOCK_WITHIN:g} s by another process"
                        ) from None
                    time.sleep(LOCK_LOOK)
                except OSError as wrong:
                    raise _told(wrong, self.folder / "lock") from None
            yield
        finally:
            os.close(fd)

    # -- the lease ------------------------------------------------------------------------------------------------

    def lease(self) -> Lease | None:
        """As it was written; one that makes no sense counts as none, so that it can't block the duty."""
        raw = self._read(self.folder / "lease.json")
        if raw is None:
            return None
        try:
            found = json.loads(raw)
            lease = Lease(str(found["holder"]), int(found["term"]), float(found["until"]))
            return lease if 0 < lease.term < 1 << 53 and lease.until == lease.until else None
        except (ValueError, KeyError, TypeError, OverflowError):
            return None

    def take_duty(self, me: str) -> tuple[int, float]:
        """(term, look again at): the term under which we may order now, 0 where another does.

        With a duty over the whole fleet its number is the term, and what was written before us stands in its way only
        by a higher term. The file says so to gateways that go by it alone, until all of them have the duty.
        """
        if self.duty is not None:
            return self._take_under_duty(me, self.duty)
        with self._locked():
            now, found = self.now(), self.lease()
            if found is not None and (cut := capped(now, found, self.terms)) != found:
                found = cut
                self._write(self.folder / "lease.json", json.dumps(asdict(found)).encode())
            what = decide(now, me, found, self.terms)
            if isinstance(what, Take):
                self._write(self.folder / "lease.json", json.dumps(asdict(what.lease)).encode())
                return what.lease.term, what.lease.until - self.terms.span / 2
            if isinstance(what, Keep):
                return found.term, what.until
            assert isinstance(what, Wait)
            return 0, what.until

    def _take_under_duty(self, me: str, duty: LeaderGuard) -> tuple[int, float]:
        number, again_at = duty.number(), self.terms.span / 2
        again = self.now() + DUTY_LOOK
        if not number:
            return 0, again
        with self._locked():
            now, found = self.now(), self.lease()
            if found is not None and found.term > number:
                duty.above(found.term)
                return 0, again
            if found is not None and not found.holder.startswith(BY_DUTY):
                ends = capped(now, found, self.terms).until + self.terms.skew
                if ends > now:
                    return 0, min(again, ends)  # one that goes by the file alone has it yet
            mine = Lease(BY_DUTY + me, number, now + self.terms.span)
            if (
                found is None
                or (found.holder, found.term) != (mine.holder, number)
                or found.until < now + again_at
            ):
                self._write(self.folder / "lease.json", json.dumps(asdict(mine)).encode())
        return number, again

    def _holds(self, duty: tuple[str, int]) -> bool:
        """Whether a write under this term may be done right now; under the lock."""
        found = self.lease()
        if self.duty is None:
            return held(self.now(), *duty, found, self.terms)
        ours = found is not None and (found.holder, found.term) == (BY_DUTY + duty[0], duty[1])
        return ours and self.duty.valid(duty[1])

    def drop_duty(self, me: str) -> None:
        """Another may take it at once."""
        with self._locked():
            found = self.lease()
            if found and found.holder in (me, BY_DUTY + me):
                over = Lease(found.holder, found.term, self.now() - self.terms.skew)
                self._write(self.folder / "lease.json", json.dumps(asdict(over)).encode())

    @contextlib.contextmanager
    def _under(self, duty: tuple[str, int] | None) -> Iterator[None]:
        """The lock, and the term checked under it. None: by an operator's hand."""
        with self._locked():
            if duty is not None and not self._holds(duty):
                raise LostLease("another gateway orders by now")
            yield

    # -- accounts -------------------------------------------------------------------------------------------------

    def _authority(self, directory: str) -> Path:
        return self.folder / "authorities" / hashlib.sha256(directory.encode()).hexdigest()[:16]

    def account(
        self, directory: str, duty: tuple[str, int] | None
    ) -> tuple[AccountKey, Account | None]:
        """The key, made and written where there is none, and the account if there is one."""
        place = self._authority(directory)
        pem = self._read(place / "account.key")
        if pem is None:
            with self._under(duty):
                try:
                    place.mkdir(mode=0o700, exist_ok=True)
                except OSError as wrong:
                    raise _told(wrong, place) from None
                pem = self._read(place / "account.key")
                if pem is None:
                    pem = AccountKey.new().pem
                    self._write(place / "account.key", pem)
        try:
            key = AccountKey.of(pem)
        except ValueError as wrong:
            raise StoreError(f"{place / 'account.key'}: {wrong}") from None
        raw = self._read(place / "account.json")
        if raw is None:
            return key, None
        try:
            return key, documents.account(raw, str(place / "account.json"))
        except DocumentError:
            return key, None  # asked for again with the same key: the same account comes back

    def keep_account(self, account: Account, duty: tuple[str, int] | None) -> None:
        """Note what the authority said."""
        with self._under(duty):
            self._write(
                self._authority(account.directory) / "account.json", documents.dump(account)
            )

    def lose_account(self, directory: str, duty: tuple[str, int] | None) -> None:
        """The authority knows it no more: the key is set aside, never deleted, and a new one begins."""
        place = self._authority(directory)
        with self._under(duty):
            self._remove(place / "account.json")
            try:
                (place / "account.key").rename(place / f"account.key.gone-{int(self.now())}")
                self._sync(place)
            except FileNotFoundError:
                pass
            except OSError as wrong:
                raise _told(wrong, place) from None

    def next_key(self, directory: str) -> AccountKey | None:
        """A key that was about to take over, if a change was cut off."""
        pem = self._read(self._authority(directory) / "account.next")
        return AccountKey.of(pem) if pem else None

    def begin_key_change(self, directory: str, key: AccountKey) -> None:
        """Durable before the authority hears of it."""
        with self._under(None):
            self._write(self._authority(directory) / "account.next", key.pem)

    def end_key_change(self, directory: str) -> None:
        """The new key is the account's."""
        place = self._authority(directory)
        with self._under(None):
            try:
                (place / "account.next").rename(place / "account.key")
                self._sync(place)
            except OSError as wrong:
                raise _told(wrong, place) from None

    # -- certificates ---------------------------------------------------------------------------------------------

    def _cert(self, id: str) -> Path:
        if not _ID.fullmatch(id):
            raise StoreError(f"{id!r:.60} can't name a certificate")
        return self.folder / "certs" / id

    def ids(self) -> list[str]:
        """All certificates that there is something of."""
        try:
            return sorted(
                p.name
                for p in (self.folder / "certs").iterdir()
                if _ID.fullmatch(p.name) and p.is_dir()
            )
        except OSError as wrong:
            raise _told(wrong, self.folder / "certs") from None

    def note(self, id: str) -> CertNote:
        """What is kept of it; ``DocumentError`` where that makes no sense."""
        path = self._cert(id) / "note.json"
        raw = self._read(path)
        return CertNote() if raw is None else documents.cert(raw, str(path))

    def amend(
        self, id: str, change: Callable[[CertNote], CertNote], duty: tuple[str, int] | None
    ) -> None:
        """Change what is kept of it, durable before the next step. Read and written under one lock, so that what an
        operator and an order write at the same time both hold. One that makes no sense begins anew."""
        with self._under(duty):
            try:
                note = self.note(id)
            except DocumentError:
                note = CertNote()
            self._folder(id)
            self._write(self._cert(id) / "note.json", documents.dump(change(note)))

    def _folder(self, id: str) -> None:
        try:
            self._cert(id).mkdir(mode=0o700, exist_ok=True)
        except OSError as wrong:
            raise _told(wrong, self._cert(id)) from None

    def pending_key(self, id: str, kind: str, duty: tuple[str, int] | None) -> bytes:
        """The key that is being certified: the one that was begun with, or a new one, written before it is used."""
        path = self._cert(id) / "pending.key"
        found = self._read(path)
        if found is not None:
            try:
                chain.load_key(found)
                return found
            except chain.ChainError:
                pass  # of a disk that lost it: a new one
        made = chain.new_key(kind)
        with self._under(duty):
            self._folder(id)
            self._write(path, made)
        return made

    def drop_pending(self, id: str, duty: tuple[str, int] | None) -> None:
        """The authority does not want that key, or it has become the key in service."""
        with self._under(duty):
            self._remove(self._cert(id) / "pending.key")

    def install(
        self, id: str, cert: bytes, key: bytes, note: CertNote, duty: tuple[str, int] | None
    ) -> None:
        """In service from now on, with its key. Cut off anywhere, either the old pair serves or the new one; done
        again with the same certificate nothing changes."""
        facts = chain.facts_of(chain.parse(cert))
        with self._under(duty):
            self._folder(id)
            place = self._cert(id) / facts.fingerprint[:32]
            try:
                place.mkdir(mode=0o700, exist_ok=True)
            except OSError as wrong:
                raise _told(wrong, place) from None
            self._write(place / "key.pem", key)
            self._write(place / "cert.pem", cert)
            self._sync(place.parent)
            self._write(self._cert(id) / "current", place.name.encode())
            self._write(self._cert(id) / "note.json", documents.dump(note))
            self._remove(self._cert(id) / "pending.key")
            self._prune(id)
            self._tell()

    def tidy(self, id: str, duty: tuple[str, int] | None) -> None:
        """A crash right after a certificate came in service leaves the note of its order, and its key a second time:
        else the next renewal would begin by taking up an order that is done."""
        pending, pair = self._read(self._cert(id) / "pending.key"), self.pair(id)
        if pending is None or pair is None or self._read(pair.key) != pending:
            return
        with self._under(duty):
            note = replace(self.note(id), order=None, failures=documents.NONE, wanted=False)
            self._write(self._cert(id) / "note.json", documents.dump(note))
            self._remove(self._cert(id) / "pending.key")
            self._tell()

    def _prune(self, id: str) -> None:
        """Versions beyond those that are kept; the current one stays in any case."""
        place, current = self._cert(id), self.current(id)
        versions = [p for p in place.iterdir() if p.is_dir() and p.name != current]
        versions.sort(key=lambda p: p.stat().st_mtime, reverse=True)
        for old in versions[VERSIONS_KEPT - 1 :]:
            for file in old.iterdir():
                file.unlink()
            old.rmdir()

    def current(self, id: str) -> str:
        """The version in service; empty: none."""
        found = (self._read(self._cert(id) / "current") or b"").decode("ascii", "replace").strip()
        return found if re.fullmatch(r"[0-9a-f]{32}", found) else ""

    def pair(self, id: str, names: tuple[str, ...] = ()) -> Pair | None:
        """What may serve: the current version, or where it can't be used the newest kept one that can. None: there is
        none. An expired one may, as the last."""
        place, current = self._cert(id), self.current(id)
        try:
            versions = [p for p in place.iterdir() if p.is_dir()] if place.exists() else []
            versions.sort(key=lambda p: (p.name == current, p.stat().st_mtime), reverse=True)
        except OSError as wrong:
            raise _told(wrong, place) from None
        for any_time in (False, True):
            for version in versions:
                cert, key = self._read(version / "cert.pem"), self._read(version / "key.pem")
                if cert is None or key is None:
                    continue
                try:
                    facts = chain.check(cert, key, names, self.now(), any_time)
                except chain.ChainError:
                    continue
                return Pair(id, version / "cert.pem", version / "key.pem", facts)
        return None

    def files(self, pair: Pair) -> tuple[bytes, bytes]:
        """Certificate and key."""
        return self._read(pair.cert) or b"", self._read(pair.key) or b""

    # -- challenges -----------------------------------------------------------------------------------------------

    def _challenge(self, name: str) -> Path:
        """By its token, or for checks by TLS by ``name-`` and a digest: they come with the name alone."""
        return self.folder / "challenges" / f"{name}.json"

    @staticmethod
    def _by_name(name: str) -> str:
        return "name-" + hashlib.sha256(name.encode()).hexdigest()[:32]

    def publish(self, proof: Proof, duty: tuple[str, int] | None) -> None:
        """Any gateway can answer it from now on."""
        if not _TOKEN.fullmatch(proof.token):
            raise StoreError(f"{proof.token!r:.60} can't be a token")
        with self._under(duty):
            raw = json.dumps(asdict(proof)).encode()
            self._write(self._challenge(proof.token), raw)
            if proof.type == "tls-alpn-01":
                self._write(self._challenge(self._by_name(proof.name)), raw)

    def withdraw(self, tokens: tuple[str, ...]) -> None:
        """They are over; so are those that are too old."""
        for token in tokens:
            found = self.proof(token)
            if found is None:
                continue
            self._remove(self._challenge(token))
            other = self.proof_for(found.name)
            if other and other.token == token:
                self._remove(self._challenge(self._by_name(found.name)))
        now = self.now()
        with contextlib.suppress(OSError):
            for path in (self.folder / "challenges").iterdir():
                one = self.proof(path.stem)
                old = (
                    time.time() - path.stat().st_mtime > CHALLENGE_FOR
                )  # parts of files that were cut off
                if (one.until < now) if one else old:
                    path.unlink()

    def proof(self, token: str) -> Proof | None:
        """By its token."""
        if not _TOKEN.fullmatch(token):
            return None
        raw = self._read(self._challenge(token))
        try:
            found = json.loads(raw or b"null")
            texts = (str(found[key]) for key in ("name", "type", "token", "authorisation"))
            return Proof(*texts, float(found["until"]))
        except (ValueError, KeyError, TypeError):
            return None

    def proof_for(self, name: str) -> Proof | None:
        """The one that a check of this name by TLS asks for."""
        return self.proof(self._by_name(name))

    # -- news -----------------------------------------------------------------------------------------------------

    def _tell(self) -> None:
        self._write(self.folder / "news", secrets.token_hex(8).encode())

    def news(self) -> bytes:
        """Other bytes than before: what serves may have changed."""
        return self._read(self.folder / "news") or b""

    def want(self, id: str) -> None:
        """An operator wants it renewed now."""
        self.amend(
            id,
            lambda note: replace(
                note, wanted=True, failures=replace(note.failures, next_at=0.0, forced=False)
            ),
            None,
        )
