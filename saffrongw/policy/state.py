"""What a gateway remembers, as plain records. Nothing here decides anything: ``rules.py`` does."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from .actions import Action
from .events import (
    AdmissionCheckArrived,
    EndpointEntry,
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    ExclusionChanged,
    RequestArrived,
)
from .settings import DeduplicationScope, Plan, RequestClass


@dataclass(slots=True)
class Account:
    """One customer: counts by rank as (start, value), the limit."""

    customer: int
    key: tuple[int, int, int]  # plan, first gateway and size of its set, as told
    limit: float
    risen: int
    counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    spent: float = 0.0  # the sum of the counts, those of earlier lives too
    total: float = 0.0  # all units known to be spent: the counts, and what tellers knew besides
    news: tuple[int, ...] = ()  # ranks whose counts changed last, the latest at the end
    fresh: bool = True  # no other gateway has told of it yet
    out: int = 0
    others: tuple[int, ...] = ()  # when others' latest approvals became known
    spread: int = 0  # when its set was last told
    ceiling: float = 0.0  # units that its ceiling lets us send
    asked: float = 0.0  # rights asked for and not yet given
    given_at: int = 0  # ms: when those that came last were sent
    waiting: dict[int, float] = field(
        default_factory=dict
    )  # requests that wait for rights: their units
    owed: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # as their keeper: rank -> since when, rights
    used: int = 0  # when it was last let in
    part: float | None = (
        None  # of its use that was ours, while the others were heard; None: not known
    )
    closed: bool = False  # it was fast and spent nearly all: refused until a good part is back

    @property
    def plan(self) -> int:
        """Its plan's number."""
        return self.key[0]

    @property
    def first(self) -> int:
        """The first gateway of its set."""
        return self.key[1]

    @property
    def size(self) -> int:
        """How many gateways its set has."""
        return self.key[2]

    @property
    def room(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.total


@dataclass(slots=True, eq=False)
class Known:
    """What requests met lately, at one server or at all."""

    seen: int  # when it last taught us something
    slow: float = 1.0
    fails: float = 0.0

    def marks(self, now: int, fade_over: int, prior: float = 1.0) -> tuple[float, float]:
        """How slow it is and how often it failed, each faded by the time since it taught us something."""
        fade = math.exp((self.seen - now) / fade_over)
        return prior + (self.slow - prior) * fade, self.fails * fade

    def fade(self, now: int, fade_over: int) -> None:
        """Bring the marks up to now."""
        if now != self.seen:
            fade = math.exp((self.seen - now) / fade_over)
            self.slow, self.fails, self.seen = 1 + (self.slow - 1) * fade, self.fails * fade, now


@dataclass(slots=True, eq=False)
class Host(Known):
    """A server: what discovery says and what requests met."""

    entry: EndpointEntry = field(kw_only=True)
    out: int = 0
    active: int = 0  # last answer, or when the first of those out was sent
    typical: float = 2.0  # load that its answer times were met under
    busy: float = 1.0  # part of its cores in use, by its last report
    told: int = 0  # when that came

    def shares(self, deduplication_scope: DeduplicationScope) -> int:
        """What two servers have in common that drop each other's repeats."""
        return {
            DeduplicationScope.ALL: 0,
            DeduplicationScope.ZONE: self.entry.zone,
            DeduplicationScope.CELL: self.entry.cell,
        }[deduplication_scope]


class Pool:
    """Servers in a list to draw from; adding and removing one costs the same at any size."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.places: dict[EndpointId, int] = {}

    def add(self, host: Host) -> None:
        """Put a server in, once."""
        if host.entry.endpoint_id not in self.places:
            self.places[host.entry.endpoint_id] = len(self.hosts)
            self.hosts.append(host)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Take a server out; the last one fills its place."""
        place = self.places.pop(endpoint_id, None)
        if place is not None:
            last = self.hosts.pop()
            if place < len(self.hosts):
                self.hosts[place] = last
                self.places[last.entry.endpoint_id] = place


@dataclass(slots=True)
class Attempt:
    """One send; ran means that it may have run."""

    host: Host
    sent: int
    load: float
    out: bool = True
    ran: bool = True


@dataclass(slots=True)
class Request:
    """A request that is owed an answer."""

    event: RequestArrived | AdmissionCheckArrived
    cls: RequestClass
    until: int
    lot: float = 0.0  # drawn anew for each attempt: which cold server it may try
    account: Account | None = None  # known once it is admitted
    attempts: list[Attempt] = field(default_factory=list)
    short: bool = False  # nothing but its customer's ceiling keeps it, as of the last look
    waited: bool = False  # for rights of its customer's ceiling: only once

    @property
    def out(self) -> list[Attempt]:
        """Those of its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.out]

    def back_in(self, plans: tuple[Plan, ...], reopen: float, most: float) -> int:
        """How long until its customer's quota holds enough to let it in; 0: not known, or more than most."""
        if (account := self.account) is None or not (plan := plans[account.plan]).rate:
            return 0
        enough = reopen * plan.burst if account.closed else self.event.units
        span = int(max(0.0, enough - account.room) / plan.rate * 1_000_000)
        return span if span <= most else 0


class Memory:
    """All that a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers, in the order of their next look
        self.changed: dict[int, None] = {}  # customers whose counts changed since they were told
        self.heard: dict[int, int] = {}  # rank -> when it was last heard
        self.mute: dict[int, int] = {}  # rank -> answers in a row that it owed and did not give
        self.due: dict[
            int, dict[int, int]
        ] = {}  # keeper's rank -> customers, which of their keepers it is
        self.pushing = False  # a timer for what is due is set
        self.spent_last: dict[
            int, None
        ] = {}  # customers whose quota is nearly spent, the latest last
        self.asked: deque[tuple[int, int, list]] = (
            deque()
        )  # when, rank, customers and which of their keepers
        self.owing: dict[int, None] = {}  # customers to whose gateways rights are owed
        self.hosts: dict[EndpointId, Host] = {}
        self.met = Known(0)  # by all servers together
        self.zones_met: dict[int, Known] = {}  # by those of one zone
        self.warm, self.cold = Pool(), Pool()
        self.cells: dict[int, Pool] = {}
        self.zones: dict[int, Pool] = {}
        self.warming: deque[Host] = (
            deque()
        )  # servers in the order of their listing, until they are warm
        self.excluded: dict[EndpointId, dict[str, int]] = {}  # source -> since when
        self.returned: dict[
            EndpointId, tuple[int, int]
        ] = {}  # excluded from / until: taken to start at its end
        self.untried: dict[EndpointId, None] = {}  # put back and not sent to since
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Attempt, Request]] = {}
        self.actions: list[Action] = []

    def begin(self, request: Request, attempt: Attempt) -> None:
        """Count one more attempt in."""
        attempt.host.out += 1
        request.account.out += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def ended(self, request: int, number: int) -> tuple[Attempt, int]:
        """Count an attempt out; it and its request's class."""
        attempt, of = self.attempts.pop((request, number))
        attempt.out = False
        attempt.host.out -= 1
        of.account.out -= 1
        return attempt, of.event.kind

    def apply_list(self, event: EndpointListReceived, now: int) -> list[Host]:
        """Bring the servers up to date with discovery; those that are ready and new or started anew."""
        if event.kind is not EndpointListKind.DELTA:
            told = {entry.endpoint_id for entry in event.entries}
            for endpoint_id in [s for s in self.hosts if s not in told]:
                self._forget(self.hosts[endpoint_id])
        fresh = []
        for entry in event.entries:
            host = self.hosts.get(entry.endpoint_id)
            if entry.state is EndpointState.REMOVED:
                if host is not None:
                    self._forget(host)
                continue
            if (
                entry.started_at_us > now
            ):  # guards against a start to come, which would keep the server cold for good
                entry = replace(entry, started_at_us=now)
            if (span := self.returned.get(entry.endpoint_id)) and entry.started_at_us < span[0]:
                entry = replace(
                    entry, started_at_us=span[1]
                )  # the list is late: it was restarted meanwhile
            anew = host is None or entry.started_at_us > host.entry.started_at_us
            was_ready = host is not None and host.entry.state is EndpointState.READY
            if host is not None and (anew or entry.state is not EndpointState.READY):
                self._take_out(host)
            if host is None or anew:
                host = self.hosts[entry.endpoint_id] = Host(now, entry=entry)
            host.entry = entry
            self.zones_met.setdefault(entry.zone, Known(0))
            if entry.endpoint_id in self.excluded:
                continue
            if entry.state is EndpointState.READY and (anew or not was_ready):
                self.cells.setdefault(entry.cell, Pool()).add(host)
                self.zones.setdefault(entry.zone, Pool()).add(host)
                fresh.append(host)
        return fresh

    def exclude(self, event: ExclusionChanged, now: int, remember: int) -> Host | None:
        """Take a server out for a source, or no longer; the server, where that puts it back.

        ``remember`` (us): for how long a server put back is taken to have started then, for want of news.
        """
        for endpoint_id in [s for s, span in self.returned.items() if now - span[1] >= remember]:
            del self.returned[endpoint_id]
        host, sources = self.hosts.get(event.endpoint_id), self.excluded.get(event.endpoint_id)
        if event.excluded:
            if sources is None:
                self.excluded[event.endpoint_id] = {event.source: event.since or now}
                self.untried.pop(event.endpoint_id, None)
                if host:
                    self._take_out(host)
            else:
                sources.setdefault(event.source, event.since or now)
            return None
        if sources is None or event.source not in sources:
            return None
        since = sources.pop(event.source)
        if sources:
            return None
        del self.excluded[event.endpoint_id]
        self.returned[event.endpoint_id] = since, now
        if host is None or host.entry.state is not EndpointState.READY:
            return None
        self.warming = deque(other for other in self.warming if other is not host)
        started_at_us = host.entry.started_at_us if host.entry.started_at_us >= since else now
        entry = replace(host.entry, started_at_us=started_at_us)
        back = self.hosts[event.endpoint_id] = Host(now, entry=entry)
        self.cells.setdefault(entry.cell, Pool()).add(back)
        self.zones.setdefault(entry.zone, Pool()).add(back)
        self.untried[event.endpoint_id] = None
        return back

    def _forget(self, host: Host) -> None:
        """A server that is gone: what is still out at it keeps its record until it ends."""
        self._take_out(host)
        self.untried.pop(host.entry.endpoint_id, None)
        host.entry = replace(host.entry, state=EndpointState.REMOVED)
        del self.hosts[host.entry.endpoint_id]
        self.warming = deque(other for other in self.warming if other is not host)

    def warm_first(self) -> None:
        """The server that was listed first joins the warm ones, if it still runs."""
        host = self.warming.popleft()
        known = (
            self.hosts.get(host.entry.endpoint_id) is host
            and host.entry.endpoint_id not in self.excluded
        )
        if known and host.entry.state is EndpointState.READY:
            self.cold.remove(host.entry.endpoint_id)
            self.warm.add(host)

    def near(self, host: Host, deduplication_scope: DeduplicationScope) -> list[Host]:
        """The servers that share the group with this one, those that are cold too."""
        if deduplication_scope is DeduplicationScope.ALL:
            return self.warm.hosts
        pools = self.cells if deduplication_scope is DeduplicationScope.CELL else self.zones
        pool = pools.get(host.shares(deduplication_scope))
        return pool.hosts if pool else []

    def _take_out(self, host: Host) -> None:
        self.warm.remove(host.entry.endpoint_id)
        self.cold.remove(host.entry.endpoint_id)
        for pools, place in ((self.cells, host.entry.cell), (self.zones, host.entry.zone)):
            if pool := pools.get(place):
                pool.remove(host.entry.endpoint_id)
                if not pool.hosts:  # cells are ever new where servers are replaced
                    del pools[place]
