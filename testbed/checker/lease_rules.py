"""The rule *one holder*, judged from outside: what gateways stated when they were asked, what a receiver was called
for, and what was done to the processes, all by the machine's one clock. Nothing here knows how leases are granted.

A gateway that says at two moments that it holds a lease under one number holds it in between. One that has given
nothing back between two statements held what it stated first to the end that it stated, whether it ran or stood
still. Where two such spans of two gateways overlap there were two holders. All times in us.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

SECOND = 1_000_000
GRACE = 150_000  # between the last look at a token and the moment at which its call is read here
STALL = 1_500_000  # after a process stood still, what it began before it may still come


@dataclass(frozen=True, slots=True)
class Stated:
    """A gateway's answer: asked and answered when, which leases it holds (name, number, us left)."""

    asked: int
    answered: int
    gateway: str
    life: str
    held: tuple[tuple[str, int, int], ...]
    given: int = 0  # how many it has given back by then


@dataclass(frozen=True, slots=True)
class Still:
    """A gateway's process did not run: stopped by a signal, or kept from a core."""

    gateway: str
    begin: int
    end: int


@dataclass(frozen=True, slots=True)
class Calling:
    """A call as the receiver saw it."""

    at: int
    task: str
    turn: int
    number: int
    holder: str  # NAME/LIFE
    accepted: bool


@dataclass(frozen=True, slots=True)
class Span:
    """Surely held."""

    lease: str
    gateway: str
    life: str
    number: int
    begin: int
    end: int


@dataclass(slots=True)
class Seen:
    """All that was seen of one run."""

    stated: list[Stated] = field(default_factory=list)
    still: list[Still] = field(default_factory=list)
    calls: list[Calling] = field(default_factory=list)
    lease_of: dict[str, str] = field(default_factory=dict)  # task -> lease
    faults: list[tuple[int, int, str]] = field(default_factory=list)  # begin, end, words
    late: list[tuple[int, int]] = field(default_factory=list)  # this side stood still
    quiet_from: int = 0
    finished: int = 0


@dataclass(frozen=True, slots=True)
class Finding:
    """One breach, with the faults that were on."""

    rule: str
    at: int
    what: str
    during: str = ""


@dataclass(slots=True)
class Verdict:
    """What came of one run, with counts of what was tried."""

    findings: list[Finding]
    spans: int
    tenures: int
    calls: int
    older_arrived: (
        int  # calls with an older number that came after a newer one: refused, or a breach
    )
    repeated: int

    def rules(self) -> set[str]:
        """Those that were broken."""
        return {one.rule for one in self.findings}


def surely_held(seen: Seen) -> list[Span]:
    """Spans in which a gateway held a lease, whatever happened in between."""
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
    """Pairs of one lease and two lives that overlap; the first one of each two lives."""
    by_lease: dict[str, list[Span]] = defaultdict(list)
    for span in spans:
        by_lease[span.lease].append(span)
    found, told = [], set()
    for some in by_lease.values():
        some.sort(key=lambda span: span.begin)
        running: list[Span] = []
        for span in some:
            running = [one for one in running if one.end > span.begin]
            for one in running:
                pair = (one.lease, one.gateway, one.life, span.gateway, span.life)
                if (one.gateway, one.life) != (span.gateway, span.life) and pair not in told:
                    told.add(pair)
                    found.append((one, span))
            running.append(span)
    return found


def judge(seen: Seen) -> Verdict:
    """All rules."""
    spans = surely_held(seen)
    findings: list[Finding] = []

    def tell(rule: str, at: int, what: str) -> None:
        during = "; ".join(
            words for begin, end, words in seen.faults if begin <= at <= end + 2 * SECOND
        )
        findings.append(Finding(rule, at, what, during))

    for a, b in overlaps(spans):
        tell(
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
            if after[1] <= before[1] and after[0] - before[0] > SECOND:
                tell(
                    "numbers",
                    after[0],
                    f"{lease}: {after[2]} under {after[1]} after {before[2]} under {before[1]}",
                )
    older = _calls(seen, tenures, tell)
    turns = defaultdict(int)
    for call in seen.calls:
        if call.accepted:
            turns[call.task, call.turn] += 1
    _service(seen, tell)
    return Verdict(
        findings,
        len(spans),
        sum(map(len, tenures.values())),
        len(seen.calls),
        older,
        sum(n - 1 for n in turns.values()),
    )


def _calls(seen: Seen, tenures: dict[str, list[tuple[int, int, str]]], tell) -> int:
    highest: dict[str, int] = {}
    older = 0
    for call in sorted(seen.calls, key=lambda call: call.at):
        if call.number < highest.get(call.task, 0):
            older += 1
            if call.accepted:
                tell(
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
            if one[1] > call.number and one[0] < call.at - GRACE
        ]
        name = call.holder.partition("/")[0]
        excused = any(s.gateway == name and s.begin <= call.at <= s.end + STALL for s in seen.still)
        excused = excused or any(
            begin - GRACE <= call.at <= end + GRACE for begin, end in seen.late
        )
        if newer and not excused:
            tell(
                "call outside",
                call.at,
                f"{call.task}: called by {name} under {call.number}; {newer[0][2]} had {lease} under {newer[0][1]}",
            )
    return older


def _service(seen: Seen, tell) -> None:
    """At the end of a quiet span each task's lease is held again."""
    if not seen.finished:
        return
    held = {
        lease
        for one in seen.stated
        if one.answered > seen.finished - SECOND
        for lease, _, _ in one.held
    }
    for lease in sorted(set(seen.lease_of.values()) - held):
        tell("service", seen.finished, f"{lease}: nobody holds it, long after the last fault")
