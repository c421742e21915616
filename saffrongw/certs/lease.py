"""Decisions of a lease that lies in a shared file: who of many does something that only one may do.

No I/O, no clock. The lease lies where all can read it and where one write at a time succeeds
(``shared_folder.py`` holds a lock meanwhile). It names its holder, a term that grows with each
taking, and its end in Unix seconds. Clocks may differ by ``skew``: the holder acts until its end
less the skew, others take it after its end plus the skew. A holder that was stopped and goes on
later is recognised by its term: a write under an older term than the lease's is rejected.
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
    """How long a lease is granted for, and by how much clocks may differ; both in seconds."""

    span: float = 30.0
    skew: float = 2.0

    def __post_init__(self) -> None:
        """Reject a skew under which two holders could overlap."""
        if not 0 <= 3 * self.skew < self.span:
            raise ValueError("clocks may differ by less than a third of a lease")


@dataclass(frozen=True, slots=True)
class TakeLease:
    """Write this lease: it is ours from then on, newly taken or renewed."""

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
    """Decide what ``holder`` does about the lease that was found.

    A lease whose end lies further ahead than a whole span and twice the skew was written by a wrong
    clock; it counts as just granted, so that it cannot block the others for ever.
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
    """Shorten a lease that ends later than a right clock could have granted."""
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
