"""Generation of the load and statistics of its outcomes; pure functions and data without sockets.

Latency is measured from the scheduled time of a request, not from the time at which the client sent it, so that a
delayed client does not hide latency (coordinated omission).
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

# Name, share of the requests, and worth of each class; name, share and price of each plan. The worth and
# the price are those of the operators' settings.
CLASSES = (("sheet-read", 0.43, 3.0), ("test-upload", 0.34, 3.0), ("report-issue", 0.23, 5.0))
PLANS = (("basico", 0.56, 1.2), ("amplio", 0.44, 1.6))
BODY = b"B" * 32


@dataclass(frozen=True, slots=True)
class LoadShape:
    """The shape of a load: ``steps`` are successive (seconds, requests a second); the rest is its distribution.

    ``heavy`` is the share of one customer in all requests; ``wait`` is the deadline in ms.
    """

    steps: tuple[tuple[float, float], ...]
    customers: int = 400
    heavy: float = 0.0
    wait: int = 2000

    @property
    def length(self) -> float:
        """Return the duration in seconds."""
        return sum(seconds for seconds, _ in self.steps)


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """A request: its scheduled time in seconds from the start, its bytes, and its group (plan, class)."""

    at: float
    wire: bytes
    group: tuple[int, int]


def encode_command(*words: bytes) -> bytes:
    """Encode a RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def arrivals(shape: LoadShape, part: int, parts: int, seed: int) -> list[ScheduledRequest]:
    """Return one of ``parts`` independent Poisson streams that together form the load, sorted by time."""
    rng, requests, began = random.Random(seed * 1000 + part), [], 0.0
    class_shares, plan_shares = [c[1] for c in CLASSES], [p[1] for p in PLANS]
    for seconds, rate in shape.steps:
        at = began
        while rate and (at := at + rng.expovariate(rate / parts)) < began + seconds:
            kind = rng.choices(range(len(CLASSES)), class_shares)[0]
            if rng.random() < shape.heavy:
                customer, plan = 1, 0
            else:
                customer = rng.randrange(2, shape.customers + 2)
                plan = 1 if customer % 100 < 100 * plan_shares[1] else 0
            number = b"%d-%d" % (part, len(requests))
            terms = b"c=%b,t=%b,d=%d" % (
                CLASSES[kind][0].encode(),
                PLANS[plan][0].encode(),
                shape.wait,
            )
            terms += b",k=%b" % number if kind == 1 else b""
            words = (b"%016x" % customer, number, terms + b",units=1,spread=1,first=0")
            wire = (
                encode_command(b"CALL.GET", *words)
                if kind == 0
                else encode_command(b"CALL.POST", *words, BODY)
            )
            requests.append(ScheduledRequest(at, wire, (plan, kind)))
        began += seconds
    return requests


@dataclass(slots=True)
class Tally:
    """Outcomes of requests by group and by second of arrival, and latencies (ms) of served and refused ones."""

    counts: Counter = field(default_factory=Counter)
    groups: dict[str, Counter] = field(default_factory=dict)
    times: list[float] = field(default_factory=list)
    refusals: list[float] = field(default_factory=list)
    seconds: dict[int, Counter] = field(default_factory=dict)

    def add(
        self, due: ScheduledRequest, what: str, took: float = 0.0, wait: float = 2000.0
    ) -> None:
        """Record a request as served, refused, failed, unanswered or held (never sent); times in ms."""
        late = what in ("served", "refused", "failed") and took > wait
        for counter in (
            self.counts,
            self.groups.setdefault(f"{due.group[0]}/{due.group[1]}", Counter()),
            self.seconds.setdefault(int(due.at), Counter()),
        ):
            counter["asked"] += 1
            counter[what] += 1
            counter["late"] += late
            counter["good"] += what == "served" and not late
        if what == "served":
            self.times.append(took)
        elif what == "refused":
            self.refusals.append(took)

    def to_json(self) -> dict:
        """Return the tally as values that JSON can encode."""
        return {
            "counts": self.counts,
            "groups": self.groups,
            "times": [round(t, 2) for t in self.times],
            "refusals": [round(t, 2) for t in self.refusals],
            "seconds": {str(k): v for k, v in self.seconds.items()},
        }


def merge_tallies(parts: list[dict]) -> dict:
    """Merge the tallies of several client processes."""
    whole = {"counts": Counter(), "groups": {}, "times": [], "refusals": [], "seconds": {}}
    for part in parts:
        whole["counts"].update(part["counts"])
        for name in ("groups", "seconds"):
            for key, counter in part[name].items():
                whole[name].setdefault(key, Counter()).update(counter)
        whole["times"] += part["times"]
        whole["refusals"] += part["refusals"]
    whole["times"].sort()
    whole["refusals"].sort()
    return whole


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of sorted values by nearest rank; NaN if there are none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")
