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
class LeaseStatement:
    """A gateway's statement of the leases that it holds, each as (name, fencing token, us until its expiry)."""

    asked: int
    answered: int
    gateway: str
    life: str
    held: tuple[tuple[str, int, int], ...]
    given: int = 0  # how many leases it has given back so far


@dataclass(frozen=True, slots=True)
class ProcessPause:
    """A gateway's process did not run: it was stopped by a signal, or waited for a core."""

    gateway: str
    begin: int
    end: int


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A task's call as the receiver got it."""

    at: int
    task: str
    turn: int
    number: int
    holder: str  # NAME/LIFE
    accepted: bool


@dataclass(frozen=True, slots=True)
class HeldSpan:
    """A span in which a gateway certainly held a lease."""

    lease: str
    gateway: str
    life: str
    number: int
    begin: int
    end: int


@dataclass(slots=True)
class Observations:
    """All observations of one run."""

    stated: list[LeaseStatement] = field(default_factory=list)
    still: list[ProcessPause] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)
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


def find_held_spans(seen: Observations) -> list[HeldSpan]:
    """Spans in which a gateway certainly held a lease, derived from pairs of successive statements."""
    by_life: dict[tuple[str, str], list[LeaseStatement]] = defaultdict(list)
    for statement in seen.stated:
        by_life[statement.gateway, statement.life].append(statement)
    found = []
    for (gateway, life), statements in by_life.items():
        statements.sort(key=lambda statement: statement.answered)
        for index, statement in enumerate(statements):
            following = statements[index + 1] if index + 1 < len(statements) else None
            if following is None:
                continue
            still_held = {(lease, number) for lease, number, _ in following.held}
            for lease, number, left in statement.held:
                end = statement.answered
                if (lease, number) in still_held:
                    end = following.asked
                elif following.given == statement.given:
                    end = min(statement.asked + left, following.asked)
                if end > statement.answered:
                    found.append(HeldSpan(lease, gateway, life, number, statement.answered, end))
    return found


def find_overlaps(spans: Iterable[HeldSpan]) -> list[tuple[HeldSpan, HeldSpan]]:
    """Overlapping spans of one lease in two processes; only the first overlap of any two processes."""
    by_lease: dict[str, list[HeldSpan]] = defaultdict(list)
    for span in spans:
        by_lease[span.lease].append(span)
    found, reported = [], set()
    for lease_spans in by_lease.values():
        lease_spans.sort(key=lambda span: span.begin)
        open_spans: list[HeldSpan] = []
        for span in lease_spans:
            open_spans = [earlier for earlier in open_spans if earlier.end > span.begin]
            for earlier in open_spans:
                pair = (earlier.lease, earlier.gateway, earlier.life, span.gateway, span.life)
                if (earlier.gateway, earlier.life) != (
                    span.gateway,
                    span.life,
                ) and pair not in reported:
                    reported.add(pair)
                    found.append((earlier, span))
            open_spans.append(span)
    return found


def judge(seen: Observations) -> Verdict:
    """Check all rules."""
    spans = find_held_spans(seen)
    findings: list[Finding] = []

    def add_finding(rule: str, at: int, what: str) -> None:
        during = "; ".join(
            words for begin, end, words in seen.faults if begin <= at <= end + 2 * SECOND_US
        )
        findings.append(Finding(rule, at, what, during))

    for a, b in find_overlaps(spans):
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


def _check_calls(
    seen: Observations, tenures: dict[str, list[tuple[int, int, str]]], add_finding
) -> int:
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


def _check_service(seen: Observations, add_finding) -> None:
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
