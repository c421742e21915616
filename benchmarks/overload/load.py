"""The load: what clients ask, when, and what they made of the answers. Values in, values out; no sockets.

A request's clock begins when it was due to be written, not when the client got round to it, so a client that was held
up itself hides nothing (coordinated omission).
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

# Class, command, share of the requests, terms of its own; plan and its share. Worth after the operators' page.
CLASSES = (("sheet-read", 0.43, 3.0), ("test-upload", 0.34, 3.0), ("report-issue", 0.23, 5.0))
PLANS = (("basico", 0.56, 1.2), ("amplio", 0.44, 1.6))
BODY = b"B" * 32


@dataclass(frozen=True, slots=True)
class Shape:
    """How much is asked: (seconds, requests a second) in turn; the rest is how it is spread.

    ``heavy`` is the share of one customer in all requests; wait in ms.
    """

    steps: tuple[tuple[float, float], ...]
    customers: int = 400
    heavy: float = 0.0
    wait: int = 2000

    @property
    def length(self) -> float:
        """Seconds that it lasts."""
        return sum(seconds for seconds, _ in self.steps)


@dataclass(frozen=True, slots=True)
class Due:
    """One request: due at so many seconds from the start, its bytes, its place in the tally (plan, class)."""

    at: float
    wire: bytes
    group: tuple[int, int]


def bulk(*words: bytes) -> bytes:
    """A RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def arrivals(shape: Shape, part: int, parts: int, seed: int) -> list[Due]:
    """One of ``parts`` independent Poisson streams that together make the load; sorted by time."""
    lots, found, began = random.Random(seed * 1000 + part), [], 0.0
    class_shares, plan_shares = [c[1] for c in CLASSES], [p[1] for p in PLANS]
    for seconds, rate in shape.steps:
        at = began
        while rate and (at := at + lots.expovariate(rate / parts)) < began + seconds:
            kind = lots.choices(range(len(CLASSES)), class_shares)[0]
            if lots.random() < shape.heavy:
                customer, plan = 1, 0
            else:
                customer = lots.randrange(2, shape.customers + 2)
                plan = 1 if customer % 100 < 100 * plan_shares[1] else 0
            number = b"%d-%d" % (part, len(found))
            terms = b"c=%b,t=%b,d=%d" % (
                CLASSES[kind][0].encode(),
                PLANS[plan][0].encode(),
                shape.wait,
            )
            terms += b",k=%b" % number if kind == 1 else b""
            words = (b"%016x" % customer, number, terms + b",units=1,spread=1,first=0")
            wire = bulk(b"CALL.GET", *words) if kind == 0 else bulk(b"CALL.POST", *words, BODY)
            found.append(Due(at, wire, (plan, kind)))
        began += seconds
    return found


@dataclass(slots=True)
class Tally:
    """What became of requests, and how long served ones took (ms); by second of arrival and by group."""

    counts: Counter = field(default_factory=Counter)
    groups: dict[str, Counter] = field(default_factory=dict)
    times: list[float] = field(default_factory=list)
    refusals: list[float] = field(default_factory=list)
    seconds: dict[int, Counter] = field(default_factory=dict)

    def add(self, due: Due, what: str, took: float = 0.0, wait: float = 2000.0) -> None:
        """One request: served, refused, failed, unanswered or held (never taken by the kernel); ms."""
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

    def plain(self) -> dict:
        """As JSON takes it."""
        return {
            "counts": self.counts,
            "groups": self.groups,
            "times": [round(t, 2) for t in self.times],
            "refusals": [round(t, 2) for t in self.refusals],
            "seconds": {str(k): v for k, v in self.seconds.items()},
        }


def merged(parts: list[dict]) -> dict:
    """The tallies of several client processes as one."""
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
    """Nearest rank of sorted values; NaN of none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")
