"""Judges a run by the five rules, quotas and service, from the records alone: nothing here knows how gateways decide.

A finding says which rule, when, which request, which gateway and host, and on what evidence. Where the stand-ins or
the machine stood still so long that the finding could be their own lateness, it is uncertain, and a run whose only
findings are uncertain is inconclusive: it says neither that the gateway kept the rules nor that it broke them.

All spans in microseconds.
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
ON_SOCKETS = 50_000  # us by which each limit of the rules is longer on sockets
DRAIN_GRACE = SECOND
AFTER_STOP = 300_000  # us after SIGCONT within which a gateway may still be catching up
CEILING_MORE = 0.15  # seconds of the ceiling's rate by which its slack is wider on sockets
PRESS_SHARE = 2 / 3  # of the work on a host that fell, from gateways that were told of its start
FINDINGS_MOST = 200  # kept of one rule; the rest is counted
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
    """One thing that a gateway should not have done."""

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
    """Service to one plan or class: first tries, their worth, what became of them."""

    offered: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    worth_inside: float = 0.0  # of what was asked inside the quota
    worth_served: float = 0.0
    latencies: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Use:
    """What was sent on for one customer."""

    customer: int
    plan: str
    gateways: tuple[int, ...]
    asked: int = 0
    sent: float = 0.0
    beyond: float = 0.0
    allowed_beyond: float = 0.0
    ceiling_low: float | None = None  # the least that its ceiling's store held
    curve: list[tuple[int, float]] = field(default_factory=list)  # (when, units sent on by then)


@dataclass(slots=True)
class Verdict:
    """The outcome of one run."""

    outcome: str  # passed, broken, inconclusive
    findings: list[Finding]
    counts: dict[str, int]  # findings by rule, those beyond the kept ones too
    service: float
    plans: dict[str, Tally]
    classes: dict[str, Tally]
    uses: list[Use]
    late: int  # us that the stand-ins stood still
    starved: int  # us that gateways waited for a core
    totals: dict[str, int]

    def rules(self, certain: bool = True) -> set[str]:
        """The rules that were broken."""
        return {f.rule for f in self.findings if f.certain or not certain}

    def as_json(self) -> dict[str, Any]:
        """All but the curves, in plain types."""
        raw = asdict(self)
        for tally in (*raw["plans"].values(), *raw["classes"].values()):
            tally["latency_ms"] = percentiles(tally.pop("latencies"))
        for use in raw["uses"]:
            use.pop("curve")
        return raw


def percentiles(latencies: list[int]) -> dict[str, float]:
    """p50, p90 and p99 in ms of latencies in us; nothing where there are none."""
    if not latencies:
        return {}
    ordered = sorted(latencies)
    return {
        f"p{p}": ordered[min(len(ordered) - 1, len(ordered) * p // 100)] / 1000
        for p in (50, 90, 99)
    }


@dataclass(frozen=True, slots=True)
class Overdraft:
    """Units sent beyond a ceiling and its slack: the first time, or the first that lateness can't explain.

    The first overdraft is small, so that a machine that held up a gateway at that moment could
    explain it. A later one is compared with the lateness of the whole run until then.
    """

    attempt: Attempt
    units: float
    sent: float
    certain: bool


class _Spans:
    """Spans of time with an amount each, asked for what falls into another span."""

    def __init__(self, spans: Iterable[tuple[int, int, int]]) -> None:
        self.spans = sorted(spans)
        self.ends = [until for _, until, _ in self.spans]

    def within(self, begin: int, end: int) -> int:
        """The whole amount of the spans that touch this one: lateness is never shared out to its favour."""
        total = 0
        for at, until, amount in self.spans[bisect.bisect_left(self.ends, begin) :]:
            if at > end:
                break
            total += amount if until >= begin else 0
        return total


class Checker:
    """One judgement of one run."""

    def __init__(self, scenario: Scenario, log: Log) -> None:
        # What comes after the end is the stand-ins going away, not a gateway's doing.
        end = log.finished
        if end is not None:
            log = Log(r for r in log.records if r.at <= end or isinstance(r, GatewayEvent))
        self.s, self.log = scenario, log
        self.findings: list[Finding] = []
        self.counts: dict[str, int] = defaultdict(int)
        self.plans = {plan.name: plan for plan in scenario.plan}
        self.classes = {cls.name: cls for cls in scenario.cls}
        self.begin = log.began
        self.end = max((r.at for r in log.records), default=0) if end is None else end
        self.late = _Spans((r.at, r.until, r.until - r.at) for r in log.of(Late))
        by_gateway: dict[int, list[tuple[int, int, int]]] = defaultdict(list)
        for r in log.of(Starved):
            by_gateway[r.gateway].append((r.at, r.until, r.delay))
        self.stops = self._stops()
        self.starved = {gateway: _Spans(spans) for gateway, spans in by_gateway.items()}
        self.lives = self._lives()
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in log.of(Attempt):
            if attempt.at >= 0:
                self.attempts[attempt.request].append(attempt)
        for attempts in self.attempts.values():
            attempts.sort(key=lambda a: a.began)
        self.turned = {(r.request, r.host, r.conn) for r in log.of(Turned)}
        self.sents: dict[str, list[Sent]] = defaultdict(list)
        for sent in log.of(Sent):
            self.sents[sent.request].append(sent)

    # -- what excuses -----------------------------------------------------------------------------------------

    def _stops(self) -> dict[int, list[tuple[int, int]]]:
        """Spans in which gateways were stopped by a signal: what they miss then is not their fault."""
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

    def _stood(self, gateway: int, begin: int, at: int) -> bool:
        """Whether a gateway was stopped within a span and had no time since to make up for it."""
        return any(
            a <= at and c >= begin and at <= c + AFTER_STOP for a, c in self.stops.get(gateway, ())
        )

    def _lives(self) -> dict[int, list[tuple[int, int, str]]]:
        """From start to end of each life of each gateway, and how it ended: kill, term or crash."""
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
            elif r.what == "kill":  # one that had to follow SIGTERM excuses nothing
                how[r.gateway] = "kill" if how.get(r.gateway) != "term" else "term"
                ended[r.gateway] = r.at
            elif r.what == "exit" and r.gateway in since:
                at = ended.pop(r.gateway, r.at) if how[r.gateway] == "kill" else r.at
                found[r.gateway].append((since.pop(r.gateway), at, how[r.gateway]))
        for gateway, at in since.items():
            found[gateway].append((at, self.end + 3600 * SECOND, "runs"))
        return found

    def _killed(self, gateway: int, begin: int, end: int) -> bool:
        """Whether a life that was there at the begin ended by SIGKILL, or crashed (its own finding), by the end."""
        return any(
            start <= begin and at <= end and how in ("kill", "crash")
            for start, at, how in self.lives.get(gateway, ())
            if at >= begin - ON_SOCKETS
        )

    def _excuse(self, gateway: int, begin: int, end: int) -> int:
        """So many us within a span may be the machine's fault."""
        starved = self.starved.get(gateway)
        return self.late.within(begin, end) + (starved.within(begin, end) if starved else 0)

    @staticmethod
    def _sure(excuse: int, over: int) -> bool:
        """Whether what is over a limit can't be the machine's lateness."""
        return not excuse or excuse < over

    def _find(self, rule: str, at: int, what: str, certain: bool = True, **more: Any) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= FINDINGS_MOST:
            self.findings.append(Finding(rule, at, what, certain=certain, **more))

    # -- the rules --------------------------------------------------------------------------------------------

    def judge(self) -> Verdict:
        """All rules, then service."""
        self._answers()
        self._effects()
        self._drains()
        self._cold()
        self._denials()
        uses = self._uses()
        self._running()
        service, plans, classes, totals = self._service()
        if service < self.s.expect.service:
            late = self._excuse(-1, self.begin, self.end) + sum(
                spans.within(self.begin, self.end) for spans in self.starved.values()
            )
            self._find(
                "service",
                self.end,
                f"service {service:.3f}, at least {self.s.expect.service:g} is expected",
                late < SECOND,
                evidence=f"the machine stood still for {late / SECOND:.2f} s in all",
            )
        self.findings.sort(key=lambda f: (not f.certain, f.at))
        outcome = "passed"
        if self.findings:
            outcome = "broken" if any(f.certain for f in self.findings) else "inconclusive"
        late = sum(amount for _, _, amount in self.late.spans)
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

    def _answers(self) -> None:
        """Rule 1."""
        made: dict[str, dict[str, int]] = defaultdict(dict)
        for r in self.log.of(Made):
            made[r.request].setdefault(r.value, r.at)
        answers: dict[str, list[Answered]] = defaultdict(list)
        for r in self.log.of(Answered):
            answers[r.request].append(r)
            self._answer(r, made.get(r.request, {}))
        closed = {(r.request, r.conn): r for r in self.log.of(Closed)}
        for request, sents in self.sents.items():
            for sent in sents:
                if (end := closed.get((request, sent.conn))) is not None:
                    self._closed(sent, end)
            if len(answers.get(request, ())) > 1:
                second = answers[request][1]
                self._find(
                    "answer",
                    second.at,
                    "more than one final answer",
                    request=request,
                    gateway=second.gateway,
                )
        for r in self.log.of(Extra):
            self._find(
                "answer",
                r.at,
                "bytes behind a final answer",
                request=r.request,
                gateway=r.gateway,
                evidence=r.data,
            )

    def _answer(self, r: Answered, made: dict[str, int]) -> None:
        sent = next((s for s in self.sents.get(r.request, ()) if s.conn == r.conn), None)
        where = {"request": r.request, "gateway": r.gateway}
        if sent is None:
            self._find("answer", r.at, "an answer to a request that was not sent there", **where)
            return
        over = r.at - sent.at - sent.wait - ON_SOCKETS
        if over > 0 and not self._stood(r.gateway, sent.at, r.at):
            excuse = self._excuse(r.gateway, sent.at, r.at)
            evidence = (
                f"sent at {sent.at}, waits {sent.wait} us; the machine may account for {excuse} us"
            )
            what = f"answered {over + ON_SOCKETS} us after its time was up"
            self._find("answer", r.at, what, self._sure(excuse, over), evidence=evidence, **where)
        if r.kind == "garbled":
            self._find("answer", r.at, "an answer that can't be read", **where)
        elif r.kind == "served" and made.get(r.value, r.at + 1) > r.at:
            evidence = f"served {r.value!r}; made for it: {', '.join(made) or 'nothing'}"
            self._find(
                "answer",
                r.at,
                "served with a value that no host made for it",
                evidence=evidence,
                **where,
            )
        for attempt in self.attempts.get(r.request, ()):
            if attempt.gateway == r.gateway and attempt.began > r.at + ON_SOCKETS:
                over = attempt.began - r.at - ON_SOCKETS
                self._find(
                    "answer",
                    attempt.began,
                    f"sent on {attempt.began - r.at} us after its final answer",
                    self._sure(self._excuse(r.gateway, r.at, attempt.began), over),
                    host=attempt.host,
                    **where,
                )

    def _closed(self, sent: Sent, end: Closed) -> None:
        """A connection that ended with a request on it."""
        where = {"request": sent.request, "gateway": sent.gateway}
        if end.by == "left":
            return
        if self._killed(sent.gateway, sent.at, end.at + ON_SOCKETS):
            return  # what it held when it was killed is the client's to retry
        # Those of the same request after it was sent once more belong to that.
        until = min(
            [s.at for s in self.sents[sent.request] if s.at > sent.at], default=end.at + ON_SOCKETS
        )
        began = [a for a in self.attempts.get(sent.request, ()) if sent.at <= a.began < until]
        evidence = f"sent at {sent.at} on connection {sent.conn}, " + (
            f"{len(began)} attempts of it came to hosts" if began else "no host saw it"
        )
        if end.by == "gave_up":
            if not any(
                start <= sent.at and at >= end.at
                for start, at, _ in self.lives.get(sent.gateway, ())
            ):
                return  # it was not there, or ended meanwhile: its connection's end is what counts
            if self._stood(sent.gateway, sent.at, sent.at + sent.wait):
                return
            excuse = self._excuse(sent.gateway, sent.at, end.at)
            over = end.at - sent.at - sent.wait - ON_SOCKETS
            self._find(
                "answer",
                end.at,
                "no answer",
                self._sure(excuse, over),
                evidence=f"{evidence}; the machine may account for {excuse} us",
                **where,
            )
        elif end.part:
            self._find("answer", end.at, "closed within an answer", evidence=evidence, **where)
        elif end.reused and not began:
            return  # a close between requests that crossed this one: the client sends it once more
        else:
            self._find("answer", end.at, "closed without an answer", evidence=evidence, **where)

    def _may_have_run(self, attempt: Attempt) -> bool:
        return (attempt.request, attempt.host, attempt.conn) not in self.turned

    def _effects(self) -> None:
        """Rule 2."""
        for attempts in self.attempts.values():
            cls = self.classes[attempts[0].cls]
            if cls.effect == "safe":
                continue
            for place, attempt in enumerate(attempts[1:], 1):
                before = [a for a in attempts[:place] if self._may_have_run(a)]
                if before:
                    self._again(cls, before[0], attempt)
        effects: dict[str, list[Effect]] = defaultdict(list)
        for r in self.log.of(Effect):
            effects[r.request].append(r)
        for request, seen in effects.items():
            if len(seen) > 1 and self.classes[seen[0].cls].effect != "safe":
                self._find(
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
                for a in self.attempts.get(r.request, ())
                if self._may_have_run(a) and a.began <= r.at
            ]
            if r.kind != "refused" or not attempts:
                continue
            cls = self.classes[attempts[0].cls]
            if cls.effect == "unsafe" or (cls.effect == "keyed" and cls.group != "all"):
                self._find(
                    "effect",
                    r.at,
                    "refused, which says that trying again is harmless, though it may have run",
                    request=r.request,
                    gateway=r.gateway,
                    host=attempts[0].host,
                    evidence=f"came whole to {attempts[0].host} at {attempts[0].at}",
                )

    def _again(self, cls: Any, before: Attempt, attempt: Attempt) -> None:
        where = {"request": attempt.request, "gateway": attempt.gateway, "host": attempt.host}
        evidence = f"came whole to {before.host} (rack {before.rack}) at {before.at}, which did not turn it away"
        if cls.effect == "unsafe":
            what = "an unsafe request was sent again though it may have run"
            self._find("effect", attempt.began, what, evidence=evidence, **where)
        elif cls.group == "cell" and attempt.rack != before.rack:
            what = f"a keyed request that may have run was sent to rack {attempt.rack}"
            self._find("effect", attempt.began, what, evidence=evidence, **where)
        else:
            over = attempt.began - before.began - cls.window_ms * 1000 - ON_SOCKETS
            if over >= 0:
                what = f"a keyed request was sent again {over + ON_SOCKETS} us after the window had closed"
                certain = self._sure(
                    self._excuse(attempt.gateway, before.began, attempt.began), over
                )
                self._find("effect", attempt.began, what, certain, evidence=evidence, **where)

    def _drains(self) -> None:
        """Rule 3: by what discovery wrote to each gateway; older news than those heard undo nothing."""
        # For each gateway and host: when it was told what, as (at, usable); None where a new life knows nothing yet.
        told: dict[tuple[int, str], list[tuple[int, bool | None]]] = defaultdict(list)
        heard: dict[int, dict[str, int]] = defaultdict(
            dict
        )  # by gateway: host -> the version that was heard last
        for r in self.log.records:
            if isinstance(r, GatewayEvent) and r.what == "start":
                for host in heard.pop(r.gateway, ()):
                    told[r.gateway, host].append((r.at, None))
            if not isinstance(r, Told):
                continue
            lines = {host: health == "SERVING" for host, health, _ in r.hosts}
            if r.whole:
                lines |= {host: False for host in heard[r.gateway] if host not in lines}
            for host, usable in lines.items():
                if r.seq >= heard[r.gateway].get(host, -1):
                    told[r.gateway, host].append((r.at, usable))
                    heard[r.gateway][host] = r.seq
        limit = DRAIN_GRACE + ON_SOCKETS
        for attempt in self.log.of(Attempt):
            news = told.get((attempt.gateway, attempt.host), [])
            place = bisect.bisect_right(news, attempt.began, key=lambda entry: entry[0]) - 1
            if place < 0 or news[place][1] is None:
                if attempt.gateway >= 0 and attempt.request:
                    what = "sent to a host that discovery had not named to it"
                    where = {"gateway": attempt.gateway, "host": attempt.host}
                    self._find("drain", attempt.began, what, request=attempt.request, **where)
                continue
            since = None
            while place >= 0 and news[place][1] is False:
                since = news[place][0]
                place -= 1
            stood = since is not None and self._stood(attempt.gateway, since, attempt.began)
            if since is not None and attempt.began > since + limit and not stood:
                over = attempt.began - since - limit
                self._find(
                    "drain",
                    attempt.began,
                    f"sent to a host {(attempt.began - since) / SECOND:.2f} s after hearing that it drains or is gone",
                    self._sure(self._excuse(attempt.gateway, since, attempt.began), over),
                    request=attempt.request,
                    gateway=attempt.gateway,
                    host=attempt.host,
                    evidence=f"told at {since}",
                )

    def _cold(self) -> None:
        """Rule 4, from the work that came to each life of a host that started cold."""
        f = self.s.hosts
        span = int(f.fall_s * SECOND)
        cold: dict[tuple[str, int], int] = {}
        for r in self.log.of(HostEvent):
            if r.what == "up" and "cold" in r.detail:
                cold[r.host, r.life] = r.at
        told: dict[str, list[tuple[int, int]]] = defaultdict(list)  # host -> (when, gateway)
        for r in self.log.of(Told):
            for host, _, born in r.hosts:
                if born:
                    told[host].append((r.at, r.gateway))
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
                knew = {g for at, g in told[host] if at <= attempt.at}
                theirs = sum(a.work for a in window if a.gateway in knew)
                if theirs < PRESS_SHARE * work:
                    continue
                late = self.late.within(attempt.at - span, attempt.at)
                self._find(
                    "cold",
                    attempt.at,
                    f"a cold host got {work:.2f} s of work in {f.fall_s:g} s, {budget:.2f} s push it over",
                    late < span // 10,
                    gateway=attempt.gateway,
                    host=host,
                    request=attempt.request,
                    evidence=f"started at {born}, {100 * theirs / work:.0f}% from gateways told of its start",
                )
                break

    def _denials(self) -> None:
        """Where an authoriser that is not reached lets nothing on, a customer that is denied gets nothing on at all."""
        if not self.s.authoriser.count or self.s.authoriser.fail != "closed":
            return
        for attempts in self.attempts.values():
            first = attempts[0]
            if drawn.denied(self.s, first.customer):
                what = f"sent on for customer {first.customer}, whom the authorisers deny"
                where = {"request": first.request, "gateway": first.gateway, "host": first.host}
                self._find("denial", first.began, what, **where)

    def _uses(self) -> list[Use]:
        """Rule 5 and quotas: each request's first attempt that came whole takes its units."""
        uses = {
            c.number: Use(
                c.number,
                c.plan.name,
                tuple((c.first + i) % self.s.gateways for i in range(c.spread)),
            )
            for c in drawn.customers_of(self.s)
        }
        for sents in self.sents.values():
            if sents[0].customer in uses:
                uses[sents[0].customer].asked += 1
        by_customer: dict[int, list[Attempt]] = defaultdict(list)
        for attempts in self.attempts.values():
            by_customer[attempts[0].customer].append(min(attempts, key=lambda a: a.at))
        for number, firsts in by_customer.items():
            if number not in uses:
                self._find(
                    "form",
                    firsts[0].at,
                    f"a host got a request of customer {number}, who asked nothing",
                )
                continue
            firsts.sort(key=lambda a: a.at)
            self._use(uses[number], self.plans[uses[number].plan], firsts)
        return list(uses.values())

    def _use(self, use: Use, plan: Plan, firsts: list[Attempt]) -> None:
        store, at = plan.burst, self.begin
        top = plan.burst * plan.ceiling
        ceiling, low = top, slack(plan) + CEILING_MORE * plan.rate * plan.ceiling
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
                    late = self.late.within(since, attempt.at) / SECOND
                    certain = -ceiling - low > plan.rate * plan.ceiling * late
                    if certain or not overdraft:
                        overdraft = Overdraft(attempt, -ceiling, use.sent, certain)
        if overdraft:
            attempt = overdraft.attempt
            self._find(
                "ceiling",
                attempt.at,
                f"customer {use.customer}: {overdraft.units:.1f} units over the ceiling, {low:.1f} are its slack",
                overdraft.certain,
                request=attempt.request,
                gateway=attempt.gateway,
                evidence=f"{overdraft.sent:.0f} units were sent on in {(attempt.at - self.begin) / SECOND:.1f} s",
            )
        length = (self.end - self.begin) / SECOND
        # Stated: a part of all that the quota holds, a burst for each life that started anew, two requests.
        use.allowed_beyond = (
            self.s.expect.quota_slack * (plan.burst + plan.rate * length) + plan.burst * lives + 2
        )
        if use.beyond > use.allowed_beyond:
            late = self.late.within(self.begin, self.end) / SECOND
            self._find(
                "quota",
                firsts[-1].at,
                f"customer {use.customer} on {plan.name}: {use.beyond:.0f} units beyond its quota, "
                f"{use.allowed_beyond:.1f} are the stated slack",
                use.beyond - use.allowed_beyond > plan.rate * late,
                evidence=f"{use.sent:.0f} units sent on of {use.asked} asked, quota {plan.rate:g} a second",
            )

    def _running(self) -> None:
        told_to_end: set[int] = set()  # SIGTERM was sent, and it has not ended yet
        for r in self.log.of(GatewayEvent):
            if r.what == "exit" and r.detail.startswith("crashed"):
                self._find(
                    "running",
                    r.at,
                    "a gateway ended by itself",
                    gateway=r.gateway,
                    evidence=r.detail,
                )
            elif r.what == "kill" and r.gateway in told_to_end:
                self._find("running", r.at, "a gateway did not end on SIGTERM", gateway=r.gateway)
            if r.what == "term":
                told_to_end.add(r.gateway)
            elif r.what in ("exit", "start"):
                told_to_end.discard(r.gateway)
        for r in self.log.of(HostEvent):
            if r.what == "syntax":
                self._find(
                    "form",
                    r.at,
                    "a command that is not of the protocol",
                    host=r.host,
                    evidence=r.detail,
                )

    # -- service ----------------------------------------------------------------------------------------------

    def _service(self) -> tuple[float, dict[str, Tally], dict[str, Tally], dict[str, int]]:
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
        for arrival in drawn.draw(self.s):
            cls, plan = self.s.cls[arrival.cls], arrival.customer.plan
            at = self.begin + arrival.at
            store, before = stores.get(arrival.customer.number, (plan.burst, self.begin))
            store = min(plan.burst, store + plan.rate * (at - before) / SECOND)
            inside = store >= 1 and not drawn.denied(self.s, arrival.customer.number)
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
        # What is served beyond quotas makes up for nothing: no plan counts above what it asked for inside.
        got = sum(min(t.worth_served, t.worth_inside) for t in plans.values())
        totals = {
            "offered": sum(t.offered for t in plans.values()),
            "tries": sum(len(s) for s in self.sents.values()),
            "served": sum(t.served for t in plans.values()),
            "refused": sum(t.refused for t in plans.values()),
            "failed": sum(t.failed for t in plans.values()),
            "attempts": sum(len(a) for a in self.attempts.values()),
        }
        return (got / inside if inside else 1.0), plans, classes, totals


def judge(scenario: Scenario, log: Log) -> Verdict:
    """The verdict on a run."""
    return Checker(scenario, log).judge()
