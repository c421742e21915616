"""The lease under which one gateway of a site orders certificates, kept in the shared folder.

The decisions are made by ``lease.py``; this module reads and writes ``lease.json`` under the
folder's lock. If there is a fleet-wide lease (``LeaderGuard``), its fencing token is the term, and
the file only keeps gateways that do not use the fleet-wide lease from ordering.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable, Iterator
from dataclasses import asdict
from typing import NamedTuple

from saffrongw.gateway.extensions import LeaderGuard

from .lease import HoldLease, LeaseRecord, LeaseTerms, TakeLease, clamp_to_clock, decide, is_held
from .shared_folder import SharedFolder, StoreError

# Prefix of the holder's name in the file if it orders under a fleet-wide lease.
FLEET_PREFIX = "fleet:"
# Seconds between two checks of whether this process holds the fleet-wide lease.
FLEET_POLL_S = 0.5
MAX_TERM = 1 << 53


class LostLeaseError(StoreError):
    """The ordering lease was lost, so the intended write was not made."""


class OrderingTerm(NamedTuple):
    """The holder and term of the lease; every write checks that the term is still in force."""

    holder: str
    term: int


class Acquisition(NamedTuple):
    """The outcome of an attempt to take the lease.

    ``term`` is 0 if another gateway holds it; ``retry_at`` (Unix seconds) is when to try or renew
    again.
    """

    term: int
    retry_at: float


class OrderingLease:
    """Takes, renews, checks and releases the lease of one shared folder."""

    def __init__(
        self,
        folder: SharedFolder,
        now: Callable[[], float],
        terms: LeaseTerms,
        leader_guard: LeaderGuard | None = None,
    ) -> None:
        """Use the lease file of a shared folder; ``now`` returns Unix seconds."""
        self.folder, self.now, self.terms = folder, now, terms
        self.leader_guard = leader_guard
        self.path = folder.path / "lease.json"

    def current(self) -> LeaseRecord | None:
        """Return the lease as written.

        A malformed one counts as none, so that it cannot block ordering.
        """
        raw = self.folder.read(self.path)
        if raw is None:
            return None
        try:
            found = json.loads(raw)
            lease = LeaseRecord(str(found["holder"]), int(found["term"]), float(found["until"]))
        except (ValueError, KeyError, TypeError, OverflowError):
            return None
        is_number = lease.until == lease.until  # excludes NaN
        return lease if 0 < lease.term < MAX_TERM and is_number else None

    def acquire(self, holder: str) -> Acquisition:
        """Take or renew the lease if it is free or ours.

        Under a fleet-wide lease, its fencing token is the term. The lease is then not taken if the
        file has a higher term, or an unexpired lease of a gateway that uses the file alone. The
        file is written for such gateways, until all of them use the fleet-wide lease.
        """
        if self.leader_guard is not None:
            return self._acquire_under_fleet_lease(holder, self.leader_guard)
        with self.folder.locked():
            now, found = self.now(), self.current()
            clamped = found and clamp_to_clock(now, found, self.terms)
            if clamped is not None and clamped != found:
                found = clamped
                self._write(found)
            decision = decide(now, holder, found, self.terms)
            if isinstance(decision, TakeLease):
                self._write(decision.lease)
                return Acquisition(decision.lease.term, decision.lease.until - self.terms.span / 2)
            if isinstance(decision, HoldLease):
                assert found is not None
                return Acquisition(found.term, decision.until)
            return Acquisition(0, decision.until)

    def _acquire_under_fleet_lease(self, holder: str, guard: LeaderGuard) -> Acquisition:
        term = guard.fencing_token()
        retry_at = self.now() + FLEET_POLL_S
        if not term:
            return Acquisition(0, retry_at)
        with self.folder.locked():
            now, found = self.now(), self.current()
            if found is not None and found.term > term:
                guard.raise_above(found.term)
                return Acquisition(0, retry_at)
            if found is not None and not found.holder.startswith(FLEET_PREFIX):
                ends_at = clamp_to_clock(now, found, self.terms).until + self.terms.skew
                if ends_at > now:  # held by a gateway that uses the file alone
                    return Acquisition(0, min(retry_at, ends_at))
            self._write_if_due(
                now, found, LeaseRecord(FLEET_PREFIX + holder, term, now + self.terms.span)
            )
        return Acquisition(term, retry_at)

    def _write_if_due(self, now: float, found: LeaseRecord | None, ours: LeaseRecord) -> None:
        is_ours = found is not None and (found.holder, found.term) == (ours.holder, ours.term)
        if found is None or not is_ours or found.until < now + self.terms.span / 2:
            self._write(ours)

    def release(self, holder: str) -> None:
        """End our lease, so that another gateway can take it at once."""
        with self.folder.locked():
            found = self.current()
            if found and found.holder in (holder, FLEET_PREFIX + holder):
                self._write(LeaseRecord(found.holder, found.term, self.now() - self.terms.skew))

    @contextlib.contextmanager
    def guarded(self, term: OrderingTerm | None) -> Iterator[None]:
        """Hold the folder's lock and check under it that the term is still in force.

        Raises ``LostLeaseError`` if it is not. A term of None is not checked: an operator makes the
        change.
        """
        with self.folder.locked():
            if term is not None and not self._is_in_force(term):
                raise LostLeaseError("another gateway orders by now")
            yield

    def _is_in_force(self, term: OrderingTerm) -> bool:
        found = self.current()
        if self.leader_guard is None:
            return is_held(self.now(), term.holder, term.term, found, self.terms)
        is_ours = found is not None and (found.holder, found.term) == (
            FLEET_PREFIX + term.holder,
            term.term,
        )
        return is_ours and self.leader_guard.is_valid(term.term)

    def _write(self, lease: LeaseRecord) -> None:
        self.folder.write(self.path, json.dumps(asdict(lease)).encode())
