"""Decisions about a lease in a shared file, which lets one process at a time do some work.

No I/O, no clock. All processes can read the file, and a lock serialises the writes
(``shared_folder.py``). The lease names its holder, its end in Unix seconds, and a term that grows
each time that it is taken. Clocks may differ by ``skew``: the holder stops acting at the end minus
the skew, and others take the lease at the end plus the skew. A holder that was suspended and
resumes after losing the lease is fenced off by the term: a write under an older term is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The holder, the term (from 1) and the end in Unix seconds."""

    holder: str
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The duration of a lease and the largest difference between clocks; both in seconds."""

    span: float = 30.0
    skew: float = 2.0

    def __post_init__(self) -> None:
        """Reject a skew under which two holders could overlap."""
        if not 0 <= 3 * self.skew < self.span:
            raise ValueError("clocks may differ by less than a third of a lease")


@dataclass(frozen=True, slots=True)
class TakeLease:
    """Write this lease to take or renew it; it is ours once it is written."""

    lease: LeaseRecord


@dataclass(frozen=True, slots=True)
class HoldLease:
    """The lease is ours and lasts long enough; check again at this time (Unix seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class WaitForLease:
    """Another holds the lease; check again at this time (Unix seconds)."""

    until: float


LeaseDecision = TakeLease | HoldLease | WaitForLease


def decide(now: float, holder: str, found: LeaseRecord | None, terms: LeaseTerms) -> LeaseDecision:
    """Decide whether ``holder`` takes, keeps or waits for the lease that was found.

    A lease that ends later than a whole span and twice the skew from now was written by a wrong
    clock; it is treated as just granted, so that it cannot block the others for ever.
    """
    if found is None:
        return TakeLease(LeaseRecord(holder, 1, now + terms.span))
    if found.holder == holder and found.until - terms.skew > now:
        if found.until - now > terms.span / 2:
            return HoldLease(min(found.until, now + terms.span) - terms.span / 2)
        return TakeLease(LeaseRecord(holder, found.term, now + terms.span))
    if found.until + terms.skew <= now:
        return TakeLease(LeaseRecord(holder, found.term + 1, now + terms.span))
    return WaitForLease(min(found.until + terms.skew, now + terms.span + 2 * terms.skew))


def clamp_to_clock(now: float, found: LeaseRecord, terms: LeaseTerms) -> LeaseRecord:
    """Shorten a lease that ends later than a correct clock could have set."""
    latest = now + terms.span + 2 * terms.skew
    return found if found.until <= latest else LeaseRecord(found.holder, found.term, latest)


def is_held(
    now: float, holder: str, term: int, found: LeaseRecord | None, terms: LeaseTerms
) -> bool:
    """Tell whether ``holder`` may write under this term right now; checked before every write."""
    return (
        found is not None
        and found.holder == holder
        and found.term == term
        and now < found.until - terms.skew
    )
