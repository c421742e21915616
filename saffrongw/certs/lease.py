"""Who of many does a duty that only one may do: a lease with a term, by values alone. No I/O, no clock.

The lease lies where all can read it and where one write at a time succeeds (``store.py`` holds a lock meanwhile). It
names its holder, a **term** that grows with each taking, and its end in Unix seconds. Clocks may differ by ``skew``:
the holder acts until its end less the skew, others take it after its end plus the skew. A holder that was stopped
and goes on later is found out by its term: a write with an older term than the lease's is refused.

It knows nothing of certificates: any periodic duty with a shared place to write to can use it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Lease:
    """Who holds it; the term, from 1; until when, in Unix seconds."""

    holder: str
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class Terms:
    """Seconds: how long a lease is given for, and by how much clocks may differ."""

    span: float = 30.0
    skew: float = 2.0

    def __post_init__(self) -> None:
        if not 0 <= 3 * self.skew < self.span:
            raise ValueError("clocks may differ by less than a third of a lease")


@dataclass(frozen=True, slots=True)
class Take:
    """Write this lease: it is ours from then on (new, or longer)."""

    lease: Lease


@dataclass(frozen=True, slots=True)
class Keep:
    """It is ours and long enough; look again at that time."""

    until: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Another holds it; look again at that time."""

    until: float


def decide(now: float, me: str, found: Lease | None, terms: Terms) -> Take | Keep | Wait:
    """What to do about the lease that was found.

    One whose end lies further ahead than a whole span and twice the skew was written by a clock that is wrong: it
    counts from the look on as if just given, so that it can't block the duty for ever (``capped`` says so).
    """
    if found is None:
        return Take(Lease(me, 1, now + terms.span))
    if found.holder == me and found.until - terms.skew > now:
        if found.until - now > terms.span / 2:
            return Keep(min(found.until, now + terms.span) - terms.span / 2)
        return Take(Lease(me, found.term, now + terms.span))
    if found.until + terms.skew <= now:
        return Take(Lease(me, found.term + 1, now + terms.span))
    return Wait(min(found.until + terms.skew, now + terms.span + 2 * terms.skew))


def capped(now: float, found: Lease, terms: Terms) -> Lease:
    """The lease as it may stand at most: one from the future is cut to what a right clock could have given."""
    most = now + terms.span + 2 * terms.skew
    return found if found.until <= most else Lease(found.holder, found.term, most)


def held(now: float, me: str, term: int, found: Lease | None, terms: Terms) -> bool:
    """Whether the duty may be done under this term right now; asked before every write."""
    return (
        found is not None
        and found.holder == me
        and found.term == term
        and now < found.until - terms.skew
    )
