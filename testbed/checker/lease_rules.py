"""Checks the lease rules, above all *one holder*: at most one gateway holds a lease at a time.

The input is what gateways stated when they were polled, which calls a task receiver got, and which faults were injected
into the processes, all timed by one clock. The implementation of leases is not used.

If a gateway states at two moments that it holds a lease under the same fencing token, it held the lease in between. If
it gave back no lease between two statements, it held the leases of the first one until their stated expiry, whether its
process ran or was stopped. Two gateways whose spans overlap held the lease at once. All times are in us.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

SECOND_US = 1_000_000
CALL_GRACE_US = (
    150_000  # from a gateway's last check of its token until the receiver has read the call
)
RESUMED_CALL_GRACE_US = (
    1_500_000  # calls that began before a process stopped may arrive this long after it resumes
)


@dataclass(frozen=True, slots=True)
class Stated:
    """A gateway's statement of the leases that it holds, each as (name, fencing token, us until its expiry)."""

    asked: int
    answered: int
    gateway: str
    life: str
    held: tuple[tuple[str, int, int], ...]
    given: int = 0  # how many leases it has given back so far


@dataclass(frozen=True, slots=True)
class Still:
    """A gateway's process did not run: it was stopped by a signal, or waited for a core."""

    gateway: str
    begin: int
    end: int


@dataclass(frozen=True, slots=True)
class Calling:
    """A task's call as the receiver got it."""

    at: int
    task: str
    turn: int
    number: int
    holder: str  # NAME/LIFE
    accepted: bool


@dataclass(frozen=True, slots=True)
class Span:
    """A span in which a gateway certainly held a lease."""

    lease: str
    gateway: str
    life: str
    number: int
    begin: int
    end: int


@dataclass(slots=True)
class Seen:
    """All observations of one run."""

    stated: list[Stated] = field(default_factory=list)
    still: list[Still] = field(default_factory=list)
    calls: list[Calling] = field(default_factory=list)
    lease_of: dict[str, str] = field(default_factory=dict)  # task -> lease
    faults: list[tuple[int, int, str]] = field(default_factory=list)  # begin, end, description
    late: list[tuple[int, int]] = field(default_factory=list)  # spans in which the testbed stalled
    quiet_from: int = 0
    finished: int = 0


@dataclass(frozen=True, slots=True)
class Finding:
    """One breach of a rule, with the faults that were active or had just ended."""

    rule: str
    at: int
    what: str
    during: str = ""


@dataclass(slots=True)
class Verdict:
    """The findings of one run, and counts of what was observed."""

    findings: list[Finding]
    spans: int
    tenures: int
    calls: int
    older_arrived: int  # calls with an older token that arrived after a newer one was accepted; accepting one is a breach
    repeated: int

    def rules(self) -> set[str]:
        """The rules with findings."""
        return {one.rule for one in self.findings}


def surely_held(seen: Seen) -> list[Span]:
    """Spans in which a gateway certainly held a lease, derived from pairs of successive statements."""
    by_life: dict[tuple[str, str], list[Stated]] = defaultdict(list)
    for one in seen.stated:
        by_life[one.gateway, one.life].append(one)
    found = []
    for (gateway, life), some in by_life.items():
        some.sort(key=lambda one: one.answered)
        for place, one in enumerate(some):
            after = some[place + 1] if place + 1 < len(some) else None
            if after is None:
                continue
            again = {(lease, number) for lease, number, _ in after.held}
            for lease, number, left in one.held:
                end = one.answered
                if (lease, number) in again:
                    end = after.asked
                elif after.given == one.given:
                    end = min(one.asked + left, after.asked)
                if end > one.answered:
                    found.append(Span(lease, gateway, life, number, one.answered, end))
    return found


def overlaps(spans: Iterable[Span]) -> list[tuple[Span, Span]]:
    """Overlapping spans of one lease in two processes; only the first overlap of any two processes."""
    by_lease: dict[str, list[Span]] = defaultdict(list)
    for span in spans:
        by_lease[span.lease].append(span)
    found, reported = [], set()
    for some in by_lease.values():
        some.sort(key=lambda span: span.begin)
        running: list[Span] = []
        for span in some:
            running = [one for one in running if one.end > span.begin]
            for one in running:
                pair = (one.lease, one.gateway, one.life, span.gateway, span.life)
                if (one.gateway, one.life) != (span.gateway, span.life) and pair not in reported:
                    reported.add(pair)
                    found.append((one, span))
            running.append(span)
    return found


def judge(seen: Seen) -> Verdict:
    """Check all rules."""
    spans = surely_held(seen)
    findings: list[Finding] = []

    def add_finding(rule: str, at: int, what: str) -> None:
        during = "; ".join(
            words for begin, end, words in seen.faults if begin <= at <= end + 2 * SECOND_US
        )
        findings.append(Finding(rule, at, what, during))

    for a, b in overlaps(spans):
        add_finding(
            "one holder",
            b.begin,
            f"{a.lease}: {a.gateway} under {a.number} until {a.end}, and {b.gateway} under {b.number} from {b.begin}",
        )
    first: dict[tuple[str, str, str, int], int] = {}
    for one in seen.stated:
        for lease, number, _ in one.held:
            key = (lease, one.gateway, one.life, number)
            first[key] = min(first.get(key, one.answered), one.answered)
    tenures: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    for (lease, gateway, _, number), at in first.items():
        tenures[lease].append((at, number, gateway))
    for lease, some in tenures.items():
        some.sort()
        for before, after in pairwise(some):
            if after[1] <= before[1] and after[0] - before[0] > SECOND_US:
                add_finding(
                    "numbers",
                    after[0],
                    f"{lease}: {after[2]} under {after[1]} after {before[2]} under {before[1]}",
                )
    older = _check_calls(seen, tenures, add_finding)
    turns = defaultdict(int)
    for call in seen.calls:
        if call.accepted:
            turns[call.task, call.turn] += 1
    _check_service(seen, add_finding)
    return Verdict(
        findings,
        len(spans),
        sum(map(len, tenures.values())),
        len(seen.calls),
        older,
        sum(n - 1 for n in turns.values()),
    )


def _check_calls(seen: Seen, tenures: dict[str, list[tuple[int, int, str]]], add_finding) -> int:
    highest: dict[str, int] = {}
    older = 0
    for call in sorted(seen.calls, key=lambda call: call.at):
        if call.number < highest.get(call.task, 0):
            older += 1
            if call.accepted:
                add_finding(
                    "older number",
                    call.at,
                    f"{call.task}: {call.number} of {call.holder} was accepted after a newer",
                )
        if call.accepted:
            highest[call.task] = max(call.number, highest.get(call.task, 0))
        lease = seen.lease_of.get(call.task, "")
        newer = [
            one
            for one in tenures.get(lease, ())
            if one[1] > call.number and one[0] < call.at - CALL_GRACE_US
        ]
        name = call.holder.partition("/")[0]
        excused = any(
            s.gateway == name and s.begin <= call.at <= s.end + RESUMED_CALL_GRACE_US
            for s in seen.still
        )
        excused = excused or any(
            begin - CALL_GRACE_US <= call.at <= end + CALL_GRACE_US for begin, end in seen.late
        )
        if newer and not excused:
            add_finding(
                "call outside",
                call.at,
                f"{call.task}: called by {name} under {call.number}; {newer[0][2]} had {lease} under {newer[0][1]}",
            )
    return older


def _check_service(seen: Seen, add_finding) -> None:
    """Check that each task's lease is held again at the end of a span without faults."""
    if not seen.finished:
        return
    held = {
        lease
        for one in seen.stated
        if one.answered > seen.finished - SECOND_US
        for lease, _, _ in one.held
    }
    for lease in sorted(set(seen.lease_of.values()) - held):
        add_finding(
            "service", seen.finished, f"{lease}: nobody holds it, long after the last fault"
        )
