"""Renewal decisions.

When a certificate is ordered, from which authority, after which backoff, and alarms.

No I/O, no clock. All times are Unix seconds of a clock that may be wrong: kept times are clamped
against ``now`` whenever they are read, so that a clock that jumped costs one early or late check
and nothing more.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

from .messages import FailureKind, RenewalWindow

MINUTE, HOUR, DAY = 60.0, 3_600.0, 86_400.0


@dataclass(frozen=True, slots=True)
class Backoff:
    """An exponential backoff in seconds, and when the next authority is tried instead."""

    initial_s: float
    max_s: float
    failures_before_next_authority: int
    factor: float = 2.0


# Asking an unreachable authority again costs nothing, so an hour is the maximum; it bounds how soon
# a renewal follows its return. Failed validations count against limits of a few an hour with public
# authorities. What was rejected will be rejected again until somebody changes something.
BACKOFFS = {
    FailureKind.UNREACHABLE: Backoff(MINUTE, HOUR, 3),
    FailureKind.RATE: Backoff(HOUR, DAY, 1),
    FailureKind.CHALLENGE: Backoff(10 * MINUTE, 12 * HOUR, 6),
    FailureKind.ACCOUNT: Backoff(MINUTE, 6 * HOUR, 2, 4.0),
    FailureKind.ORDER: Backoff(MINUTE, 6 * HOUR, 4),
    FailureKind.REJECTED: Backoff(HOUR, DAY, 2),
    FailureKind.UNUSABLE: Backoff(10 * MINUTE, 12 * HOUR, 2),
    FailureKind.LOCAL: Backoff(10.0, 10 * MINUTE, 1_000_000),
}
# Random part of a backoff, so that many names that failed together do not come back together.
JITTER = 0.25
# The largest share of the remaining lifetime that a backoff may take, unless the authority named
# one.
MAX_BACKOFF_SHARE = 0.1
# Seconds that a backoff may take in any case, also once the certificate has expired.
MIN_BACKOFF_LIMIT_S = 30.0
# Seconds between attempts while there is no certificate at all.
MAX_BACKOFF_WITHOUT_CERTIFICATE_S = 10 * MINUTE
# Share of a lifetime over which certificates with one lifetime spread their renewals before they
# are due.
RENEWAL_SPREAD = 0.1


@dataclass(frozen=True, slots=True)
class Failures:
    """Failures since the last success, as kept in ``note.json``.

    ``count`` failures of one kind in a row; ``authority`` is the index that is tried next;
    ``forced`` says that ``next_at`` is the authority's own Retry-After.
    """

    kind: str = ""
    count: int = 0
    next_at: float = 0.0
    since: float = 0.0
    at: float = 0.0
    detail: str = ""
    authority: int = 0
    forced: bool = False

    def __bool__(self) -> bool:
        """Tell whether anything has failed since the last success."""
        return self.count > 0


NO_FAILURES = Failures()


class Alarm(IntEnum):
    """How urgent the state of a certificate is."""

    NONE = 0
    NOTICE = 1
    WARNING = 2
    CRITICAL = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class RenewalRules:
    """Shares of the lifetime left at which a renewal is due, or an alarm is raised."""

    lead: float = 1 / 3
    notice: float = 0.25
    warning: float = 0.12
    critical: float = 0.04


@dataclass(frozen=True, slots=True)
class CertificateState:
    """What decides about one certificate; without one, ``start`` and ``end`` are None.

    ``draw``, 0 to 1, is its position in spreads and windows. ``wanted`` says that an operator asked
    for a renewal now, or that its names changed.
    """

    start: float | None = None
    end: float | None = None
    window: RenewalWindow | None = None
    failures: Failures = NO_FAILURES
    draw: float = 0.0
    wanted: bool = False


def due_at(state: CertificateState, rules: RenewalRules) -> float:
    """Return when the renewal begins if nothing failed; without a certificate at once.

    An authority's window counts, but never beyond half of the lead time: a window that begins after
    the certificate expires, or on its last day, must not be followed.
    """
    if state.wanted or state.start is None or state.end is None:
        return 0.0
    lifetime_s = max(0.0, state.end - state.start)
    rule = state.end - rules.lead * lifetime_s - RENEWAL_SPREAD * lifetime_s * state.draw
    if state.window is None:
        return rule
    chosen = state.window.start + state.draw * (state.window.end - state.window.start)
    return min(chosen, state.end - rules.lead * lifetime_s / 2)


def next_attempt_at(now: float, state: CertificateState, rules: RenewalRules) -> float:
    """Return when to begin, with failures and their backoff taken into account."""
    due = due_at(state, rules)
    failures = state.failures
    if not failures:
        return due
    # A clock that was ahead when it was written must not silence us; one pause of the longest kind
    # is the bound.
    longest = BACKOFFS[FailureKind(failures.kind)].max_s * (1 + JITTER)
    until = failures.next_at if failures.forced else min(failures.next_at, now + longest)
    if failures.forced:
        until = min(until, now + 30 * DAY)
    return max(due, until)


def next_failures(
    now: float,
    state: CertificateState,
    kind: FailureKind,
    detail: str,
    retry_after: float,
    draw: float,
    authorities: int,
) -> Failures:
    """Return the failures to keep after one more.

    The backoff grows by kind and shrinks as the expiry nears; after some failures the next
    authority is tried.
    """
    before = state.failures
    count = before.count + 1 if before.kind == kind.value else 1
    pause = BACKOFFS[kind]
    wait = min(pause.initial_s * pause.factor ** min(count - 1, 40), pause.max_s)
    near = (
        MAX_BACKOFF_WITHOUT_CERTIFICATE_S
        if state.end is None
        else max(MIN_BACKOFF_LIMIT_S, MAX_BACKOFF_SHARE * (state.end - now))
    )
    wait = min(wait, near)
    wait *= 1 + JITTER * draw
    authority, forced = before.authority, retry_after > wait
    if authorities > 1 and count % pause.failures_before_next_authority == 0:
        # The other one has not asked us to wait, and what failed here need not fail there.
        authority, wait, forced = (
            (authority + 1) % authorities,
            min(wait, MINUTE * (1 + draw)),
            False,
        )
    elif forced:
        wait = retry_after
    since = before.since if before and before.since <= now else now
    return Failures(
        kind.value, count, now + wait, since, now, detail, authority % max(1, authorities), forced
    )


def alarm(now: float, state: CertificateState, rules: RenewalRules) -> Alarm:
    """Return how urgent a state is, by the share of the lifetime that is left."""
    if state.start is None or state.end is None:
        return Alarm.CRITICAL if state.failures else Alarm.NOTICE
    left, lifetime_s = state.end - now, max(1.0, state.end - state.start)
    if left <= 0:
        return Alarm.ENDED
    part = left / lifetime_s
    if part <= rules.critical:
        return Alarm.CRITICAL
    if part <= rules.warning:
        return Alarm.WARNING
    return Alarm.NOTICE if part <= rules.notice else Alarm.NONE


def window_question_at(now: float, state: CertificateState) -> float:
    """Return when the authority is asked for the window.

    At once if none is known or the clock went back.
    """
    window = state.window
    if window is None or window.ask_at > now + DAY + HOUR:
        return now
    return window.ask_at


def window_failed(now: float, state: CertificateState) -> CertificateState:
    """Return the state after a failed question.

    The known window stays, the next question comes in an hour.
    """
    window = state.window
    return replace(state, window=replace(window, ask_at=now + HOUR) if window else None)
