"""When a certificate is ordered, from which authority, after which pause, and when somebody is woken. No I/O, no clock.

All times are Unix seconds of a clock that may be wrong: what is kept is clamped against ``now`` whenever it is read,
so that a clock which jumped ahead or back costs one early or late look and never a silence.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

from .messages import FailureKind, RenewalWindow

MINUTE, HOUR, DAY = 60.0, 3_600.0, 86_400.0


@dataclass(frozen=True, slots=True)
class Backoff:
    """First pause, factor, most; in seconds. ``elsewhere``: failures after which the next authority is asked."""

    initial_s: float
    max_s: float
    failures_before_next_authority: int
    factor: float = 2.0


# Why these: an authority that is away costs nothing to ask again, so an hour is the most, and that bounds how soon a
# renewal follows its return. Validations that failed count against limits of a few an hour with public authorities.
# What was rejected will be rejected again until somebody changes something.
BACKOFFS = {
    FailureKind.AWAY: Backoff(MINUTE, HOUR, 3),
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
# The largest share of the remaining lifetime that a backoff may take, unless the authority named one.
MAX_BACKOFF_SHARE = 0.1
# Seconds that a backoff may take in any case, also once the certificate has expired.
MIN_BACKOFF_LIMIT_S = 30.0
# Seconds between attempts while there is no certificate at all.
MAX_BACKOFF_WITHOUT_CERTIFICATE_S = 10 * MINUTE
# Share of a lifetime over which certificates with one lifetime spread their renewals before they are due.
RENEWAL_SPREAD = 0.1


@dataclass(frozen=True, slots=True)
class Failures:
    """What went wrong since the last success: how often in a row by its kind, at which authority, what was said."""

    kind: str = ""
    count: int = 0
    next_at: float = 0.0
    since: float = 0.0
    at: float = 0.0  # when the last one was
    detail: str = ""
    authority: int = 0  # the place in the list that is asked next
    forced: bool = False  # the pause is the authority's own word

    def __bool__(self) -> bool:
        return self.count > 0


NO_FAILURES = Failures()


class Alarm(IntEnum):
    """How urgent it is."""

    NONE = 0
    NOTICE = 1
    WARNING = 2
    CRITICAL = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class RenewalRules:
    """``lead``: part of the life that is left when a renewal is due. Alarms: parts of the life left, and no renewal."""

    lead: float = 1 / 3
    notice: float = 0.25
    warning: float = 0.12
    critical: float = 0.04


@dataclass(frozen=True, slots=True)
class CertificateState:
    """What is known of one certificate: its validity (None: there is none), its window, what failed, who it is."""

    start: float | None = None
    end: float | None = None
    window: RenewalWindow | None = None
    failures: Failures = NO_FAILURES
    draw: float = 0.0  # 0 to 1, its own: where in spreads and windows it lies
    wanted: bool = False  # an operator asked for it now, or its names changed


def due_at(state: CertificateState, rules: RenewalRules) -> float:
    """When its renewal begins, if nothing failed. Without a certificate: at once.

    An authority's window counts where there is one, but never beyond half of what the rule would leave: a window that
    begins after the certificate ends, or on its last day, would be followed into the ground.
    """
    if state.wanted or state.start is None or state.end is None:
        return 0.0
    life = max(0.0, state.end - state.start)
    rule = state.end - rules.lead * life - RENEWAL_SPREAD * life * state.draw
    if state.window is None:
        return rule
    chosen = state.window.start + state.draw * (state.window.end - state.window.start)
    return min(chosen, state.end - rules.lead * life / 2)


def next_attempt_at(now: float, state: CertificateState, rules: RenewalRules) -> float:
    """When to begin, what failed taken into account."""
    due = due_at(state, rules)
    failures = state.failures
    if not failures:
        return due
    # A clock that was ahead when it was written must not silence us; one pause of the longest kind is the bound.
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
    """What is kept of a failure: the pause grows by kind, shrinks as the end nears, another authority takes over."""
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
    """How urgent its state is: by the part of its life that is left, where its renewal should have happened."""
    if state.start is None or state.end is None:
        return Alarm.CRITICAL if state.failures else Alarm.NOTICE
    left, life = state.end - now, max(1.0, state.end - state.start)
    if left <= 0:
        return Alarm.ENDED
    part = left / life
    if part <= rules.critical:
        return Alarm.CRITICAL
    if part <= rules.warning:
        return Alarm.WARNING
    return Alarm.NOTICE if part <= rules.notice else Alarm.NONE


def window_question_at(now: float, state: CertificateState) -> float:
    """When the authority's window is asked for (again); at once where none is known or the clock went back."""
    window = state.window
    if window is None or window.ask_at > now + DAY + HOUR:
        return now
    return window.ask_at


def window_failed(now: float, state: CertificateState) -> CertificateState:
    """Asking failed: what was known stays, and the next question comes in an hour."""
    window = state.window
    return replace(state, window=replace(window, ask_at=now + HOUR) if window else None)
