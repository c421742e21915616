"""Renewal decisions: when and from which authority a certificate is ordered, backoffs and alarms.

No I/O, no clock. All times are Unix seconds of a clock that may be wrong: stored times are clamped
against ``now`` whenever they are read, so that a clock jump causes no more than one early or late
check.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

from .messages import FailureKind, RenewalWindow

MINUTE, HOUR, DAY = 60.0, 3_600.0, 86_400.0


@dataclass(frozen=True, slots=True)
class Backoff:
    """An exponential backoff in seconds, and after how many failures the authority is changed."""

    initial_s: float
    max_s: float
    failures_before_next_authority: int
    factor: float = 2.0


# Retrying an unreachable authority costs nothing; its maximum of an hour bounds how long after the
# authority's recovery a renewal starts. Public authorities limit failed validations to a few an
# hour. A rejected request is rejected again until somebody changes something.
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
# Largest random share added to a backoff, so that certificates that failed together do not retry
# together.
JITTER = 0.25
# Largest backoff as a share of the remaining lifetime; a Retry-After may exceed it.
MAX_BACKOFF_SHARE = 0.1
# Lower bound, in seconds, of that limit, which shrinks to zero as the certificate expires.
MIN_BACKOFF_LIMIT_S = 30.0
# Largest backoff in seconds while there is no certificate at all.
MAX_BACKOFF_WITHOUT_CERTIFICATE_S = 10 * MINUTE
# Renewals become due earlier by up to this share of the lifetime, so that certificates issued
# together are not renewed together.
RENEWAL_SPREAD = 0.1


@dataclass(frozen=True, slots=True)
class Failures:
    """Failures since the last success, as kept in ``note.json``.

    ``count`` is the number of consecutive failures of this kind; ``authority`` is the index of the
    authority that is tried next; ``forced`` says that ``next_at`` is the authority's Retry-After.
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
    """Remaining shares of the lifetime at which a renewal is due or an alarm is raised."""

    lead: float = 1 / 3
    notice: float = 0.25
    warning: float = 0.12
    critical: float = 0.04


@dataclass(frozen=True, slots=True)
class CertificateState:
    """The input of all decisions about one certificate.

    ``start`` and ``end`` are None if there is no certificate yet. ``draw``, 0 to 1, is its position
    within renewal windows and ``RENEWAL_SPREAD``. ``wanted`` says that an operator asked for a
    renewal now, or that its names changed.
    """

    start: float | None = None
    end: float | None = None
    window: RenewalWindow | None = None
    failures: Failures = NO_FAILURES
    draw: float = 0.0
    wanted: bool = False


def due_at(state: CertificateState, rules: RenewalRules) -> float:
    """Return when the renewal is due, failures aside; 0 if there is no certificate.

    An authority's window replaces the rule, but the renewal begins no later than half the lead time
    before the end: a window on the last day or after the expiry must not be followed.
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
    """Return when the next attempt begins, including the backoff after failures."""
    due = due_at(state, rules)
    failures = state.failures
    if not failures:
        return due
    # A ``next_at`` stored while the clock was ahead would stop all attempts until then, so it is
    # limited to the longest backoff from now.
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
    """Return the failures to store after one more.

    The backoff depends on the kind and the count, and is limited as the expiry nears. After
    ``failures_before_next_authority`` failures the next authority is tried.
    """
    before = state.failures
    count = before.count + 1 if before.kind == kind.value else 1
    backoff = BACKOFFS[kind]
    wait_s = min(backoff.initial_s * backoff.factor ** min(count - 1, 40), backoff.max_s)
    limit_s = (
        MAX_BACKOFF_WITHOUT_CERTIFICATE_S
        if state.end is None
        else max(MIN_BACKOFF_LIMIT_S, MAX_BACKOFF_SHARE * (state.end - now))
    )
    wait_s = min(wait_s, limit_s)
    wait_s *= 1 + JITTER * draw
    authority, forced = before.authority, retry_after > wait_s
    if authorities > 1 and count % backoff.failures_before_next_authority == 0:
        # The backoff and the Retry-After of this authority do not apply to the next one.
        authority, wait_s, forced = (
            (authority + 1) % authorities,
            min(wait_s, MINUTE * (1 + draw)),
            False,
        )
    elif forced:
        wait_s = retry_after
    since = before.since if before and before.since <= now else now
    return Failures(
        kind.value, count, now + wait_s, since, now, detail, authority % max(1, authorities), forced
    )


def alarm(now: float, state: CertificateState, rules: RenewalRules) -> Alarm:
    """Return how urgent a state is, by the remaining share of the lifetime."""
    if state.start is None or state.end is None:
        return Alarm.CRITICAL if state.failures else Alarm.NOTICE
    remaining_s, lifetime_s = state.end - now, max(1.0, state.end - state.start)
    if remaining_s <= 0:
        return Alarm.ENDED
    remaining_share = remaining_s / lifetime_s
    if remaining_share <= rules.critical:
        return Alarm.CRITICAL
    if remaining_share <= rules.warning:
        return Alarm.WARNING
    return Alarm.NOTICE if remaining_share <= rules.notice else Alarm.NONE


def window_question_at(now: float, state: CertificateState) -> float:
    """Return when to ask the authority for the renewal window.

    This is now if no window is known or if the clock went back.
    """
    window = state.window
    if window is None or window.ask_at > now + DAY + HOUR:
        return now
    return window.ask_at


def window_failed(now: float, state: CertificateState) -> CertificateState:
    """Return the state after a failed request for the renewal window.

    The known window stays and is requested again in an hour.
    """
    window = state.window
    return replace(state, window=replace(window, ask_at=now + HOUR) if window else None)
