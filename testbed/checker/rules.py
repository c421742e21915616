"""Checks a run against the rules, quotas and the expected service, using only the records of what was seen from outside.

A finding names the rule, the time, the request, the gateway, the host and the evidence. It is uncertain if a delay of
the testbed or of the machine could explain it. A run with only uncertain findings is inconclusive: it shows neither
that the gateways kept the rules nor that they broke them.

All times and durations are in microseconds unless a name says otherwise.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from ..model import arrivals as drawn
from ..model.scenario import Plan, Scenario, slack
from .record import (
    Answered,
    Attempt,
    Closed,
    Effect,
    Extra,
    GatewayEvent,
    HostEvent,
    Late,
    Log,
    Made,
    Sent,
    Starved,
    Told,
    Turned,
)

SECOND = 1_000_000
SOCKET_ALLOWANCE_US = 50_000  # added to each time limit of the rules when run over real sockets
DRAIN_GRACE_US = SECOND
RESUME_GRACE_US = 300_000  # after SIGCONT, a gateway may still be late with what it missed
CEILING_EXTRA_SLACK_S = 0.15  # added to a ceiling's slack over real sockets, in seconds of its rate
# A cold host's overload counts only if gateways that knew of its start sent at least this share of the work.
MIN_INFORMED_WORK_SHARE = 2 / 3
MAX_FINDINGS_PER_RULE = 200  # further findings are only counted
RULES = {
    "answer": "exactly one final answer in time",
    "effect": "no effect twice",
    "drain": "nothing new to a host later than 1 s after hearing that it drains or is gone",
    "cold": "no cold host pushed over",
    "ceiling": "ceilings hold over all gateways together",
    "quota": "quotas hold over all gateways together, within the stated slack",
    "denial": "nothing is sent on for a customer that the authorisers deny",
    "running": "no gateway ends unless told to",
    "form": "hosts get only commands of the protocol's form",
    "service": "the scenario's own share of service",
}


@dataclass(frozen=True, slots=True)
class Finding:
    """One breach of a rule."""

    rule: str
    at: int
    what: str
    request: str = ""
    gateway: int = -1
    host: str = ""
    evidence: str = ""
    certain: bool = True


@dataclass(slots=True)
class Tally:
    """Service to one plan or class. A request counts once, however often its client retried it."""

    offered: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    worth_inside: float = 0.0  # worth of the requests that were within the customer's quota
    worth_served: float = 0.0
    latencies: list[int] = field(default_factory=list)


@dataclass(slots=True)
class CustomerUsage:
    """Units that the gateways sent to hosts for one customer, compared with its quota and ceiling."""

    customer: int
    plan: str
    gateways: tuple[int, ...]
    asked: int = 0
    sent: float = 0.0
    beyond: float = 0.0
    allowed_beyond: float = 0.0
    ceiling_low: float | None = None  # lowest level of the ceiling's token bucket
    curve: list[tuple[int, float]] = field(default_factory=list)  # (time, units sent so far)


@dataclass(slots=True)
class Verdict:
    """The outcome of one run."""

    outcome: str  # passed, broken, inconclusive
    findings: list[Finding]
    counts: dict[str, int]  # findings by rule, including those that were not kept
    service: float
    plans: dict[str, Tally]
    classes: dict[str, Tally]
    uses: list[CustomerUsage]
    late: int  # us for which the testbed itself was stalled
    starved: int  # us for which gateways waited for a core
    totals: dict[str, int]

    def rules(self, certain: bool = True) -> set[str]:
        """The rules with certain findings, or with any finding if ``certain`` is false."""
        return {f.rule for f in self.findings if f.certain or not certain}

    def as_json(self) -> dict[str, Any]:
        """The verdict in plain types, without the usage curves and with percentiles in place of latencies."""
        raw = asdict(self)
        for tally in (*raw["plans"].values(), *raw["classes"].values()):
            tally["latency_ms"] = percentiles(tally.pop("latencies"))
        for use in raw["uses"]:
            use.pop("curve")
        return raw


def percentiles(latencies: list[int]) -> dict[str, float]:
    """p50, p90 and p99 in ms of latencies in us; empty if there are no latencies."""
    if not latencies:
        return {}
    ordered = sorted(latencies)
    return {
        f"p{p}": ordered[min(len(ordered) - 1, len(ordered) * p // 100)] / 1000
        for p in (50, 90, 99)
    }


@dataclass(frozen=True, slots=True)
class Overdraft:
    """Units sent beyond a ceiling and its slack: the first overdraft that delays can't explain, else the first one.

    The first overdraft of a run is small, so a short delay of the machine can explain it. Later
    ones are larger and are compared with all delays of the run up to that moment.
    """

    attempt: Attempt
    units: float
    sent: float
    certain: bool


class _DelaySpans:
    """Time spans in which the machine delayed something, each with the length of that delay."""

    def __init__(self, spans: Iterable[tuple[int, int, int]]) -> None:
        self.spans = sorted(spans)
        self.ends = [until for _, until, _ in self.spans]

    def within(self, begin: int, end: int) -> int:
        """The total delay of all spans that overlap [begin, end], each counted in full.

        A span that overlaps only in part counts in full, never in proportion.
        """
        total = 0
        for at, until, amount in self.spans[bisect.bisect_left(self.ends, begin) :]:
            if at > end:
                break
            total += amount if until >= begin else 0
        return total


class Checker:
    """Checks the log of one run against all rules."""

    def __init__(self, scenario: Scenario, log: Log) -> None:
        # Later records show the testbed closing its connections, for which no gateway is responsible.
        end = log.finished
        if end is not None:
            log = Log(r for r in log.records if r.at <= end or isinstance(r, GatewayEvent))
        self.scenario, self.log = scenario, log
        self.findings: list[Finding] = []
        self.counts: dict[str, int] = defaultdict(int)
        self.plans = {plan.name: plan for plan in scenario.plan}
        self.classes = {cls.name: cls for cls in scenario.cls}
        self.begin = log.began
        self.end = max((r.at for r in log.records), default=0) if end is None else end
        self.late_spans = _DelaySpans((r.at, r.until, r.until - r.at) for r in log.of(Late))
        by_gateway: dict[int, list[tuple[int, int, int]]] = defaultdict(list)
        for r in log.of(Starved):
            by_gateway[r.gateway].append((r.at, r.until, r.delay))
        self.stops = self._find_stops()
        self.starved_spans = {gateway: _DelaySpans(spans) for gateway, spans in by_gateway.items()}
        self.lives = self._find_lives()
        self.attempts_by_request: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in log.of(Attempt):
            if attempt.at >= 0:
                self.attempts_by_request[attempt.request].append(attempt)
        for attempts in self.attempts_by_request.values():
            attempts.sort(key=lambda a: a.began)
        self.turned_away = {(r.request, r.host, r.conn) for r in log.of(Turned)}
        self.sent_by_request: dict[str, list[Sent]] = defaultdict(list)
        for sent in log.of(Sent):
            self.sent_by_request[sent.request].append(sent)

    # -- accepted explanations: stopped, killed or delayed -----------------------------------------------------

    def _find_stops(self) -> dict[int, list[tuple[int, int]]]:
        """Spans in which gateways were stopped by SIGSTOP; deadlines that they missed then are excused."""
        since: dict[int, int] = {}
        found: dict[int, list[tuple[int, int]]] = defaultdict(list)
        for r in self.log.of(GatewayEvent):
            if r.what == "stop":
                since[r.gateway] = r.at
            elif r.what == "cont" and r.gateway in since:
                found[r.gateway].append((since.pop(r.gateway), r.at))
        for gateway, at in since.items():
            found[gateway].append((at, self.end))
        return found

    def _was_stopped(self, gateway: int, begin: int, at: int) -> bool:
        """Whether a gateway was stopped after ``begin`` and ``at`` is within the stop or its grace after SIGCONT."""
        return any(
            a <= at and c >= begin and at <= c + RESUME_GRACE_US
            for a, c in self.stops.get(gateway, ())
        )

    def _find_lives(self) -> dict[int, list[tuple[int, int, str]]]:
        """By gateway, each process as (start, end, how it ended): kill, term, crash, or runs if it never ended."""
        found: dict[int, list[tuple[int, int, str]]] = defaultdict(list)
        since: dict[int, int] = {}
        how: dict[int, str] = {}
        ended: dict[int, int] = {}
        for r in self.log.of(GatewayEvent):
            if r.what == "start":
                since[r.gateway], how[r.gateway] = r.at, "crash"
                ended.pop(r.gateway, None)
            elif r.what == "term":
                how[r.gateway] = "term"
            elif r.what == "kill":  # after a SIGTERM that had no effect, SIGKILL excuses nothing
                how[r.gateway] = "kill" if how.get(r.gateway) != "term" else "term"
                ended[r.gateway] = r.at
            elif r.what == "exit" and r.gateway in since:
                at = ended.pop(r.gateway, r.at) if how[r.gateway] == "kill" else r.at
                found[r.gateway].append((since.pop(r.gateway), at, how[r.gateway]))
        for gateway, at in since.items():
            found[gateway].append((at, self.end + 3600 * SECOND, "runs"))
        return found

    def _was_killed(self, gateway: int, begin: int, end: int) -> bool:
        """Whether a process that ran at ``begin`` was killed or had crashed by ``end``.

        A crash is reported by a finding of its own.
        """
        return any(
            start <= begin and at <= end and how in ("kill", "crash")
            for start, at, how in self.lives.get(gateway, ())
            if at >= begin - SOCKET_ALLOWANCE_US
        )

    def _machine_delay_us(self, gateway: int, begin: int, end: int) -> int:
        """How much delay in a span may be due to the machine: stalls of the testbed, and waits for a core."""
        starved = self.starved_spans.get(gateway)
        return self.late_spans.within(begin, end) + (starved.within(begin, end) if starved else 0)

    @staticmethod
    def _exceeds_delay(delay_us: int, excess_us: int) -> bool:
        """Whether a limit was exceeded by more than the machine's delay."""
        return not delay_us or delay_us < excess_us

    def _add_finding(
        self, rule: str, at: int, what: str, certain: bool = True, **more: Any
    ) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_FINDINGS_PER_RULE:
            self.findings.append(Finding(rule, at, what, certain=certain, **more))

    # -- the rules --------------------------------------------------------------------------------------------

    def judge(self) -> Verdict:
        """Check every rule, then compute the service."""
        self._check_answers()
        self._check_effects()
        self._check_drains()
        self._check_cold_hosts()
        self._check_denials()
        uses = self._check_usage()
        self._check_exits_and_commands()
        service, plans, classes, totals = self._compute_service()
        if service < self.scenario.expect.service:
            late = self._machine_delay_us(-1, self.begin, self.end) + sum(
                spans.within(self.begin, self.end) for spans in self.starved_spans.values()
            )
            self._add_finding(
                "service",
                self.end,
                f"service {service:.3f}, at least {self.scenario.expect.service:g} is expected",
                late < SECOND,
                evidence=f"the machine stood still for {late / SECOND:.2f} s in all",
            )
        self.findings.sort(key=lambda f: (not f.certain, f.at))
        outcome = "passed"
        if self.findings:
            outcome = "broken" if any(f.certain for f in self.findings) else "inconclusive"
        late = sum(amount for _, _, amount in self.late_spans.spans)
        starved = sum(r.delay for r in self.log.of(Starved))
        return Verdict(
            outcome,
            self.findings,
            dict(self.counts),
            service,
            plans,
            classes,
            uses,
            late,
            starved,
            totals,
        )

    def _check_answers(self) -> None:
        """The rule "answer": each request gets one final answer in time."""
        made: dict[str, dict[str, int]] = defaultdict(dict)
        for r in self.log.of(Made):
            made[r.request].setdefault(r.value, r.at)
        answers: dict[str, list[Answered]] = defaultdict(list)
        for r in self.log.of(Answered):
            answers[r.request].append(r)
            self._check_answer(r, made.get(r.request, {}))
        closed = {(r.request, r.conn): r for r in self.log.of(Closed)}
        for request, sents in self.sent_by_request.items():
            for sent in sents:
                if (end := closed.get((request, sent.conn))) is not None:
                    self._check_closed(sent, end)
            if len(answers.get(request, ())) > 1:
                second = answers[request][1]
                self._add_finding(
                    "answer",
                    second.at,
                    "more than one final answer",
                    request=request,
                    gateway=second.gateway,
                )
        for r in self.log.of(Extra):
            self._add_finding(
                "answer",
                r.at,
                "bytes behind a final answer",
                request=r.request,
                gateway=r.gateway,
                evidence=r.data,
            )

    def _check_answer(self, r: Answered, made: dict[str, int]) -> None:
        sent = next((s for s in self.sent_by_request.get(r.request, ()) if s.conn == r.conn), None)
        where = {"request": r.request, "gateway": r.gateway}
        if sent is None:
            self._add_finding(
                "answer", r.at, "an answer to a request that was not sent there", **where
            )
            return
        excess_us = r.at - sent.at - sent.wait - SOCKET_ALLOWANCE_US
        if excess_us > 0 and not self._was_stopped(r.gateway, sent.at, r.at):
            delay_us = self._machine_delay_us(r.gateway, sent.at, r.at)
            evidence = f"sent at {sent.at}, waits {sent.wait} us; the machine may account for {delay_us} us"
            what = f"answered {excess_us + SOCKET_ALLOWANCE_US} us after its time was up"
            self._add_finding(
                "answer",
                r.at,
                what,
                self._exceeds_delay(delay_us, excess_us),
                evidence=evidence,
                **where,
            )
        if r.kind == "garbled":
            self._add_finding("answer", r.at, "an answer that can't be read", **where)
        elif r.kind == "served" and made.get(r.value, r.at + 1) > r.at:
            evidence = f"served {r.value!r}; made for it: {', '.join(made) or 'nothing'}"
            self._add_finding(
                "answer",
                r.at,
                "served with a value that no host made for it",
                evidence=evidence,
                **where,
            )
        for attempt in self.attempts_by_request.get(r.request, ()):
            if attempt.gateway == r.gateway and attempt.began > r.at + SOCKET_ALLOWANCE_US:
                excess_us = attempt.began - r.at - SOCKET_ALLOWANCE_US
                self._add_finding(
                    "answer",
                    attempt.began,
                    f"sent on {attempt.began - r.at} us after its final answer",
                    self._exceeds_delay(
                        self._machine_delay_us(r.gateway, r.at, attempt.began), excess_us
                    ),
                    host=attempt.host,
                    **where,
                )

    def _check_closed(self, sent: Sent, end: Closed) -> None:
        """Check a connection that ended with an unanswered request on it."""
        where = {"request": sent.request, "gateway": sent.gateway}
        if end.by == "left":
            return
        if self._was_killed(sent.gateway, sent.at, end.at + SOCKET_ALLOWANCE_US):
            return  # clients retry the requests that a killed gateway held
        # Attempts after the client sent the same request again belong to that later try.
        until = min(
            [s.at for s in self.sent_by_request[sent.request] if s.at > sent.at],
            default=end.at + SOCKET_ALLOWANCE_US,
        )
        began = [
            a for a in self.attempts_by_request.get(sent.request, ()) if sent.at <= a.began < until
        ]
        evidence = f"sent at {sent.at} on connection {sent.conn}, " + (
            f"{len(began)} attempts of it came to hosts" if began else "no host saw it"
        )
        if end.by == "gave_up":
            if not any(
                start <= sent.at and at >= end.at
                for start, at, _ in self.lives.get(sent.gateway, ())
            ):
                return  # the gateway did not run throughout: the end of its connection is checked instead
            if self._was_stopped(sent.gateway, sent.at, sent.at + sent.wait):
                return
            delay_us = self._machine_delay_us(sent.gateway, sent.at, end.at)
            excess_us = end.at - sent.at - sent.wait - SOCKET_ALLOWANCE_US
            self._add_finding(
                "answer",
                end.at,
                "no answer",
                self._exceeds_delay(delay_us, excess_us),
                evidence=f"{evidence}; the machine may account for {delay_us} us",
                **where,
            )
        elif end.part:
            self._add_finding(
                "answer", end.at, "closed within an answer", evidence=evidence, **where
            )
        elif end.reused and not began:
            return  # the gateway closed an idle connection as the request was sent; the client retries
        else:
            self._add_finding(
                "answer", end.at, "closed without an answer", evidence=evidence, **where
            )

    def _may_have_run(self, attempt: Attempt) -> bool:
        return (attempt.request, attempt.host, attempt.conn) not in self.turned_away

    def _check_effects(self) -> None:
        """The rule "effect": requests that are not safe to repeat run at most once."""
        for attempts in self.attempts_by_request.values():
            cls = self.classes[attempts[0].cls]
            if cls.effect == "safe":
                continue
            for place, attempt in enumerate(attempts[1:], 1):
                before = [a for a in attempts[:place] if self._may_have_run(a)]
                if before:
                    self._check_repeat(cls, before[0], attempt)
        effects: dict[str, list[Effect]] = defaultdict(list)
        for r in self.log.of(Effect):
            effects[r.request].append(r)
        for request, seen in effects.items():
            if len(seen) > 1 and self.classes[seen[0].cls].effect != "safe":
                self._add_finding(
                    "effect",
                    seen[1].at,
                    f"took effect {len(seen)} times",
                    request=request,
                    host=seen[1].host,
                    evidence=", ".join(f"{e.host} life {e.life} at {e.at}" for e in seen),
                )
        for r in self.log.of(Answered):
            attempts = [
                a
                for a in self.attempts_by_request.get(r.request, ())
                if self._may_have_run(a) and a.began <= r.at
            ]
            if r.kind != "refused" or not attempts:
                continue
            cls = self.classes[attempts[0].cls]
            if cls.effect == "unsafe" or (cls.effect == "keyed" and cls.group != "all"):
                self._add_finding(
                    "effect",
                    r.at,
                    "refused, which says that trying again is harmless, though it may have run",
                    request=r.request,
                    gateway=r.gateway,
                    host=attempts[0].host,
                    evidence=f"came whole to {attempts[0].host} at {attempts[0].at}",
                )

    def _check_repeat(self, cls: Any, before: Attempt, attempt: Attempt) -> None:
        where = {"request": attempt.request, "gateway": attempt.gateway, "host": attempt.host}
        evidence = f"came whole to {before.host} (rack {before.rack}) at {before.at}, which did not turn it away"
        if cls.effect == "unsafe":
            what = "an unsafe request was sent again though it may have run"
            self._add_finding("effect", attempt.began, what, evidence=evidence, **where)
        elif cls.group == "cell" and attempt.rack != before.rack:
            what = f"a keyed request that may have run was sent to rack {attempt.rack}"
            self._add_finding("effect", attempt.began, what, evidence=evidence, **where)
        else:
            excess_us = attempt.began - before.began - cls.window_ms * 1000 - SOCKET_ALLOWANCE_US
            if excess_us >= 0:
                what = f"a keyed request was sent again {excess_us + SOCKET_ALLOWANCE_US} us after the window had closed"
                certain = self._exceeds_delay(
                    self._machine_delay_us(attempt.gateway, before.began, attempt.began), excess_us
                )
                self._add_finding(
                    "effect", attempt.began, what, certain, evidence=evidence, **where
                )

    def _check_drains(self) -> None:
        """The rule "drain", by what discovery wrote to each gateway; a lower version than the last one is ignored."""
        # By gateway and host: (time, whether the host is usable), with None when a restarted gateway knows no host.
        updates: dict[tuple[int, str], list[tuple[int, bool | None]]] = defaultdict(list)
        latest_version: dict[int, dict[str, int]] = defaultdict(
            dict
        )  # by gateway: host -> latest version of its entry
        for r in self.log.records:
            if isinstance(r, GatewayEvent) and r.what == "start":
                for host in latest_version.pop(r.gateway, ()):
                    updates[r.gateway, host].append((r.at, None))
            if not isinstance(r, Told):
                continue
            lines = {host: health == "SERVING" for host, health, _ in r.hosts}
            if r.whole:
                lines |= {host: False for host in latest_version[r.gateway] if host not in lines}
            for host, usable in lines.items():
                if r.seq >= latest_version[r.gateway].get(host, -1):
                    updates[r.gateway, host].append((r.at, usable))
                    latest_version[r.gateway][host] = r.seq
        limit = DRAIN_GRACE_US + SOCKET_ALLOWANCE_US
        for attempt in self.log.of(Attempt):
            host_updates = updates.get((attempt.gateway, attempt.host), [])
            index = bisect.bisect_right(host_updates, attempt.began, key=lambda entry: entry[0]) - 1
            if index < 0 or host_updates[index][1] is None:
                if attempt.gateway >= 0 and attempt.request:
                    what = "sent to a host that discovery had not named to it"
                    where = {"gateway": attempt.gateway, "host": attempt.host}
                    self._add_finding(
                        "drain", attempt.began, what, request=attempt.request, **where
                    )
                continue
            since = None
            while index >= 0 and host_updates[index][1] is False:
                since = host_updates[index][0]
                index -= 1
            was_stopped = since is not None and self._was_stopped(
                attempt.gateway, since, attempt.began
            )
            if since is not None and attempt.began > since + limit and not was_stopped:
                excess_us = attempt.began - since - limit
                self._add_finding(
                    "drain",
                    attempt.began,
                    f"sent to a host {(attempt.began - since) / SECOND:.2f} s after hearing that it drains or is gone",
                    self._exceeds_delay(
                        self._machine_delay_us(attempt.gateway, since, attempt.began), excess_us
                    ),
                    request=attempt.request,
                    gateway=attempt.gateway,
                    host=attempt.host,
                    evidence=f"told at {since}",
                )

    def _check_cold_hosts(self) -> None:
        """The rule "cold": the work that hosts got while cold, by host and process."""
        f = self.scenario.hosts
        span = int(f.fall_s * SECOND)
        cold: dict[tuple[str, int], int] = {}
        for r in self.log.of(HostEvent):
            if r.what == "up" and "cold" in r.detail:
                cold[r.host, r.life] = r.at
        start_reports: dict[str, list[tuple[int, int]]] = defaultdict(
            list
        )  # host -> (time, gateway)
        for r in self.log.of(Told):
            for host, _, born in r.hosts:
                if born:
                    start_reports[host].append((r.at, r.gateway))
        by_life: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
        for attempt in self.log.of(Attempt):
            if attempt.at >= 0 and (attempt.host, attempt.life) in cold:
                by_life[attempt.host, attempt.life].append(attempt)
        for (host, life), attempts in by_life.items():
            attempts.sort(key=lambda a: a.at)
            born, first, work = cold[host, life], 0, 0.0
            for attempt in attempts:
                if attempt.at > born + int(f.cold_s * SECOND):
                    break
                work += attempt.work
                while attempts[first].at <= attempt.at - span:
                    work -= attempts[first].work
                    first += 1
                budget = f.fall_multiple * attempt.capacity * f.fall_s
                if work <= budget:
                    continue
                window = [a for a in attempts[first:] if a.at <= attempt.at]
                informed_gateways = {g for at, g in start_reports[host] if at <= attempt.at}
                informed_work = sum(a.work for a in window if a.gateway in informed_gateways)
                if informed_work < MIN_INFORMED_WORK_SHARE * work:
                    continue
                late = self.late_spans.within(attempt.at - span, attempt.at)
                self._add_finding(
                    "cold",
                    attempt.at,
                    f"a cold host got {work:.2f} s of work in {f.fall_s:g} s, {budget:.2f} s push it over",
                    late < span // 10,
                    gateway=attempt.gateway,
                    host=host,
                    request=attempt.request,
                    evidence=f"started at {born}, {100 * informed_work / work:.0f}% from gateways told of its start",
                )
                break

    def _check_denials(self) -> None:
        """The rule "denial": with fail-closed authorisation, no request of a denied customer reaches a host."""
        if not self.scenario.authoriser.count or self.scenario.authoriser.fail != "closed":
            return
        for attempts in self.attempts_by_request.values():
            first = attempts[0]
            if drawn.denied(self.scenario, first.customer):
                what = f"sent on for customer {first.customer}, whom the authorisers deny"
                where = {"request": first.request, "gateway": first.gateway, "host": first.host}
                self._add_finding("denial", first.began, what, **where)

    def _check_usage(self) -> list[CustomerUsage]:
        """The rules "ceiling" and "quota": each request is charged once, at its first attempt that arrived whole."""
        uses = {
            c.number: CustomerUsage(
                c.number,
                c.plan.name,
                tuple((c.first + i) % self.scenario.gateways for i in range(c.spread)),
            )
            for c in drawn.customers_of(self.scenario)
        }
        for sents in self.sent_by_request.values():
            if sents[0].customer in uses:
                uses[sents[0].customer].asked += 1
        by_customer: dict[int, list[Attempt]] = defaultdict(list)
        for attempts in self.attempts_by_request.values():
            by_customer[attempts[0].customer].append(min(attempts, key=lambda a: a.at))
        for number, firsts in by_customer.items():
            if number not in uses:
                self._add_finding(
                    "form",
                    firsts[0].at,
                    f"a host got a request of customer {number}, who asked nothing",
                )
                continue
            firsts.sort(key=lambda a: a.at)
            self._check_customer_usage(uses[number], self.plans[uses[number].plan], firsts)
        return list(uses.values())

    def _check_customer_usage(self, use: CustomerUsage, plan: Plan, firsts: list[Attempt]) -> None:
        store, at = plan.burst, self.begin
        top = plan.burst * plan.ceiling
        ceiling, low = top, slack(plan) + CEILING_EXTRA_SLACK_S * plan.rate * plan.ceiling
        lives = sum(max(0, len(self.lives.get(g, ())) - 1) for g in use.gateways)
        overdraft: Overdraft | None = None
        for attempt in firsts:
            span, at = max(0, attempt.at - at) / SECOND, max(at, attempt.at)
            store = min(plan.burst, store + plan.rate * span)
            use.sent += attempt.units
            use.curve.append((attempt.at, use.sent))
            if store >= attempt.units:
                store -= attempt.units
            else:
                use.beyond += attempt.units
            if plan.ceiling:
                ceiling = min(top, ceiling + plan.rate * plan.ceiling * span) - attempt.units
                use.ceiling_low = (
                    ceiling if use.ceiling_low is None else min(ceiling, use.ceiling_low)
                )
                if ceiling < -low - 1e-9 and not (overdraft and overdraft.certain):
                    since = self.begin if overdraft else attempt.at - 5 * SECOND
                    late = self.late_spans.within(since, attempt.at) / SECOND
                    certain = -ceiling - low > plan.rate * plan.ceiling * late
                    if certain or not overdraft:
                        overdraft = Overdraft(attempt, -ceiling, use.sent, certain)
        if overdraft:
            attempt = overdraft.attempt
            self._add_finding(
                "ceiling",
                attempt.at,
                f"customer {use.customer}: {overdraft.units:.1f} units over the ceiling, {low:.1f} are its slack",
                overdraft.certain,
                request=attempt.request,
                gateway=attempt.gateway,
                evidence=f"{overdraft.sent:.0f} units were sent on in {(attempt.at - self.begin) / SECOND:.1f} s",
            )
        length = (self.end - self.begin) / SECOND
        # The stated slack: a share of the quota, a burst for each restart of a gateway, and two requests.
        use.allowed_beyond = (
            self.scenario.expect.quota_slack * (plan.burst + plan.rate * length)
            + plan.burst * lives
            + 2
        )
        if use.beyond > use.allowed_beyond:
            late = self.late_spans.within(self.begin, self.end) / SECOND
            self._add_finding(
                "quota",
                firsts[-1].at,
                f"customer {use.customer} on {plan.name}: {use.beyond:.0f} units beyond its quota, "
                f"{use.allowed_beyond:.1f} are the stated slack",
                use.beyond - use.allowed_beyond > plan.rate * late,
                evidence=f"{use.sent:.0f} units sent on of {use.asked} asked, quota {plan.rate:g} a second",
            )

    def _check_exits_and_commands(self) -> None:
        terminating: set[int] = set()  # gateways that got SIGTERM and have not ended yet
        for r in self.log.of(GatewayEvent):
            if r.what == "exit" and r.detail.startswith("crashed"):
                self._add_finding(
                    "running",
                    r.at,
                    "a gateway ended by itself",
                    gateway=r.gateway,
                    evidence=r.detail,
                )
            elif r.what == "kill" and r.gateway in terminating:
                self._add_finding(
                    "running", r.at, "a gateway did not end on SIGTERM", gateway=r.gateway
                )
            if r.what == "term":
                terminating.add(r.gateway)
            elif r.what in ("exit", "start"):
                terminating.discard(r.gateway)
        for r in self.log.of(HostEvent):
            if r.what == "syntax":
                self._add_finding(
                    "form",
                    r.at,
                    "a command that is not of the protocol",
                    host=r.host,
                    evidence=r.detail,
                )

    # -- service ----------------------------------------------------------------------------------------------

    def _compute_service(self) -> tuple[float, dict[str, Tally], dict[str, Tally], dict[str, int]]:
        plans = {name: Tally() for name in self.plans}
        classes = {name: Tally() for name in self.classes}
        served: dict[int, int] = {}
        last: dict[int, str] = {}
        firsts: dict[int, int] = {}
        for sent in self.log.of(Sent):
            firsts.setdefault(sent.intent, sent.at)
        for r in self.log.of(Answered):
            intent = int(r.request[:8], 16) if len(r.request) == 16 else -1
            last[intent] = r.kind
            if r.kind == "served":
                served.setdefault(intent, r.at)
        stores: dict[int, tuple[float, int]] = {}
        for arrival in drawn.draw(self.scenario):
            cls, plan = self.scenario.cls[arrival.cls], arrival.customer.plan
            at = self.begin + arrival.at
            store, before = stores.get(arrival.customer.number, (plan.burst, self.begin))
            store = min(plan.burst, store + plan.rate * (at - before) / SECOND)
            inside = store >= 1 and not drawn.denied(self.scenario, arrival.customer.number)
            stores[arrival.customer.number] = (store - inside, at)
            worth = cls.worth * plan.price
            answered = served.get(arrival.intent)
            took = answered - firsts.get(arrival.intent, at) if answered is not None else None
            earned = 0.0
            if took is not None:
                earned = worth if took <= cls.aim_ms * 1000 else worth * cls.late_worth
            for tally in (plans[plan.name], classes[cls.name]):
                tally.offered += 1
                tally.worth_inside += worth * inside
                tally.worth_served += earned
                if took is not None:
                    tally.served += 1
                    tally.in_time += took <= cls.aim_ms * 1000
                    tally.latencies.append(took)
                elif last.get(arrival.intent) == "refused":
                    tally.refused += 1
                else:
                    tally.failed += 1
        inside = sum(t.worth_inside for t in plans.values())
        # Requests served beyond one plan's quotas must not make up for another plan's failures.
        got = sum(min(t.worth_served, t.worth_inside) for t in plans.values())
        totals = {
            "offered": sum(t.offered for t in plans.values()),
            "tries": sum(len(s) for s in self.sent_by_request.values()),
            "served": sum(t.served for t in plans.values()),
            "refused": sum(t.refused for t in plans.values()),
            "failed": sum(t.failed for t in plans.values()),
            "attempts": sum(len(a) for a in self.attempts_by_request.values()),
        }
        return (got / inside if inside else 1.0), plans, classes, totals


def judge(scenario: Scenario, log: Log) -> Verdict:
    """Check the log of a run of a scenario."""
    return Checker(scenario, log).judge()
