"""All decisions of a gateway; their types are in ``events.py`` and ``actions.py``.

A request's life: arrived -> admitted by its customer's counts -> sent to the server that should answer
soonest -> outcome -> perhaps another attempt -> exactly one final answer. Every send passes ``_send``, every
answer of ours ``_end``. Quotas are grow-only counts by gateway, spread by gossip; see docs/design.md.
"""

from __future__ import annotations

import math

from .actions import (
    Action,
    AdmitRequest,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    SubscribeEndpointList,
)
from .counts import (
    ASKED,
    INTERVAL,
    MS,
    OWED,
    PUSH,
    REOPEN,
    RIGHTS_WITHIN,
    SECOND,
    TURN,
    UNHEARD_LEAST,
    Counts,
)
from .events import (
    AdmissionCheckArrived,
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    ExclusionChanged,
    RequestArrived,
    TimerFired,
)
from .settings import DeduplicationScope, Idempotency, Settings
from .state import Attempt, Host, Request

# Servers
BASE = 2.0  # requests a server is taken to hold besides those known: keeps first guesses level
START_OF_AIM = 0.25  # of the aim that an idle server is first thought to need
LEARN = 0.15  # weight of the newest answer time
# After this a slow server's mark has faded to a third: gentle return. A gateway that meets each server more
# rarely remembers it until about the next time, or it would meet every bad one as if for the first.
FORGET, FORGET_MOST = 3 * SECOND, 10 * SECOND
SLOW_MOST = 8.0  # times the idle answer time that one answer may count for
TELLING = (
    0.4  # weight of a server's own mark in the choice: a single slow answer must not leave it idle
)
FAIL_WEIGHT = 3.0  # an attempt that failed makes a server look this much slower
FAULT = (
    0.1  # of that for one that was answered or broken: any server may now and then spoil one answer
)
AVOIDED = 2.0  # faded failures in a row from which a server counts as avoided: it looks seven times slower
CHOICES = 12  # servers compared for one request
SPREAD = 0.1  # random part of a comparison, against herding of gateways
COLD_CARE = 0.9  # of the fair share of a cold server's least capacity that is used
COLD_USE = 0.8  # use of its cores that a cold server is brought to
COLD_MORE = 3.0  # times that share at most
TOLD = 2 * SECOND  # a report that is older tells nothing

# Attempts
LEAVE, HOLD = (
    30 * MS,
    20 * MS,
)  # a held request ends before its time is up / between looks for a server
MUTE = 2  # silences in a row (one where many are silent) after which a keeper is not waited for until heard
HELD_MOST = 0.45  # of its time that a request waits for a server: who waits longer has no time left elsewhere
REPEAT_BUDGET, REPEAT_MOST = (
    0.05,
    5.0,
)  # further attempts earned by each request, saved up: no retry storms
SHED = 0.25  # of the aim beyond the usual time: slower, a request is refused
SOON = 0.15  # of the aim: who is sent to come back later than that spends quota on an answer that is late


class Gateway(Counts):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.usual = [START_OF_AIM * c.latency_objective_us for c in settings.classes]
        self.learnt = [0] * len(settings.classes)  # answers that the usual times were learnt of
        self.budget = REPEAT_MOST
        self.forget, self.learnt_at, self.between = FORGET, now, 0.0  # us; between two outcomes
        names = settings.load_report_fields
        self.util = names.index("util") if "util" in names else None
        self.handed_over = False  # a successor has the counts: no first send any more

    def start(self, since: int | None = None) -> list[Action]:
        """The first actions, once the gateway is up.

        ``since`` (us): from when on no earlier life of it sends; parts of ceilings fill from then.
        """
        self.started = min(self.started, since if since is not None else self.started)
        return [SetTimer(INTERVAL, TURN)] + [SubscribeEndpointList()] * self.s.polls_endpoint_list

    def handle(self, now: int, event: Event) -> list[Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now, self.actions = now, []
        if method := getattr(
            self, f"_{event.topic}", None
        ):  # streams, probes, counter: nothing to do
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: RequestArrived) -> None:
        request = Request(
            event, self.s.classes[event.kind], self.now + event.time_left_us, self.random.random()
        )
        self.requests[event.request] = request
        self.budget = min(REPEAT_MOST, max(0.0, self.budget) + REPEAT_BUDGET)
        self._advance(request)
        self._drop_idle()

    def _admission_check_arrived(self, event: AdmissionCheckArrived) -> None:
        """Who sends on by itself: what is let in takes its units exactly as a first send of ours does."""
        request = Request(event, self.s.classes[event.kind], self.now)
        if not self.handed_over and self._admits(request):
            self._spend(request.account, event.units)
            self.actions.append(AdmitRequest(event.request))
        else:  # it asks for other people, and heeds what it is told: no limit as for our own clients
            wait = request.back_in(self.s.plans, REOPEN, self.s.max_retry_after_us)
            self.actions.append(RejectRequest(event.request, wait))
        self._drop_idle()

    def _advance(self, request: Request) -> None:
        """The next step of a request that is owed an answer."""
        last_call = request.until - LEAVE
        if not request.attempts or not any(attempt.ran for attempt in request.attempts):
            last_call = min(
                last_call, request.until - int((1 - HELD_MOST) * request.event.time_left_us)
            )
        if self.now >= last_call or len(request.attempts) >= self.s.max_attempts:
            return self._end(request)
        first = not request.attempts
        if first and (self.handed_over or not self._admits(request)):
            return None if self._waits(request) else self._end(request)
        host = self._choose(request)
        if host is None:
            span = min(HOLD, last_call - self.now)
            return self.actions.append(SetTimer(span, request.event.request + 1))
        # Guards against refusing all for failures that only answers make good: idle, none counts.
        if first and self._expected(host, request.event.kind, failed=host.out > 0) > self._patience(
            request
        ):
            return self._end(request)
        return self._send(request, host)

    def _admits(self, request: Request) -> bool:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        event = request.event  # the entry is looked up anew: a held request may outlive an idle one
        account = self._account(
            event.customer,
            event.plan,
            event.replica_set_first,
            event.replica_set_size,
            trusted=True,
        )
        plan, request.account = self.s.plans[account.plan], account
        self._lift(account)
        if (
            plan.concurrency_limit
        ):  # what others approved lately is taken to be out for as long as usual
            others = sum(self.now - at < self.usual[event.kind] for at in account.others)
            if account.out + others >= plan.concurrency_limit:
                return False
        room = account.room
        if (
            account.fresh and self.node_index in account.counts
        ):  # unheard: a share, at least one request
            room = min(room, plan.burst / account.size - account.counts[self.node_index][1])
        if plan.rate and (account.closed or room < event.units):
            if (
                self.unheard >= UNHEARD_LEAST
            ):  # else nothing is told, and nobody learns that a cut is over
                self._tell_keeper(account, 0)
            return False
        request.short = plan.ceiling_rate > 0 and account.ceiling < event.units
        return not request.short

    def _waits(self, request: Request) -> bool:
        """Only the ceiling's part here is short: its keeper is asked for rights, which are a message away."""
        if not request.short or self.handed_over:
            return False
        account, number, units = request.account, request.event.request, request.event.units
        plan, keeper = self.s.plans[account.plan], self._keeper(account)
        if not request.waited:
            account.waiting[number] = units
            self._tell_keeper(account, 0)
        span = RIGHTS_WITHIN
        if (
            keeper == self.node_index or self.alone
        ):  # nobody is asked: only what refills in time counts
            rate = plan.ceiling_rate * self._ceiling_part(account)
            span = int((units - account.ceiling) / rate * SECOND) + MS
        most = min(RIGHTS_WITHIN, request.until - LEAVE - self.now)
        patience = MUTE if self.unheard < UNHEARD_LEAST else 1
        if request.waited or self.mute.get(keeper, 0) >= patience or span > most:
            account.waiting.pop(number, None)
            return False
        request.waited = True
        self.actions.append(SetTimer(span, number + 1))
        return True

    def _resume(self, request: int) -> None:
        """Rights came for a customer with requests that wait."""
        waiting = self.requests[request]
        if waiting.account.ceiling >= waiting.event.units:
            self._advance(waiting)

    def _patience(self, request: Request) -> float:
        """The longest expected answer time at which a request is let in: it must still be in time."""
        usual = self.usual[request.event.kind]
        return usual + SHED * max(
            0.0, min(request.cls.latency_objective_us, request.event.time_left_us) - usual
        )

    def _choose(self, request: Request) -> Host | None:
        """The server that should answer soonest among those that the rules allow for this request."""
        if cold := self._cold_one(request):
            return cold
        ran = [a for a in request.attempts if a.ran]
        pool = self.near(ran[0].host, request.cls.deduplication_scope) if ran else self.warm.hosts
        some = pool if len(pool) <= CHOICES else self.random.sample(pool, CHOICES)
        if request.attempts:  # a first one finds all that are in the pool of warm servers usable
            some = [host for host in some if self._is_warm(host) and self._may_send(request, host)]
        return self._soonest(some, request.event.kind, [a.host for a in request.attempts])

    def _soonest(self, hosts: list[Host], kind: int, tried: list[Host]) -> Host | None:
        """The one with the least cost: what ``_expected`` says, with a random part, failures of its zone, and
        a mark for having been tried. Written out in one loop, as it is most of what a request costs."""
        now, lot, usual = self.now, self.random.random, self.usual[kind]
        fleet, _ = self.met.marks(now, FORGET)
        zones, best, least = {}, None, math.inf
        for host in hosts:
            fade = math.exp((host.seen - now) / self.forget)
            cost = (
                usual
                * (fleet + (host.slow - fleet) * fade * TELLING)
                * (host.out + BASE)
                / host.typical
            )
            if host.fails:
                cost *= 1 + FAIL_WEIGHT * host.fails * fade
            if host.out and now - host.active > cost:
                cost = now - host.active
            if (zone := zones.get(host.entry.zone)) is None:
                fails = self.zones_met[host.entry.zone].marks(now, FORGET)[1]
                zone = zones[host.entry.zone] = 1 + FAIL_WEIGHT * fails
            cost *= zone * (1 + SPREAD * lot())
            if tried and host in tried:
                cost *= 1 + FAIL_WEIGHT
            if cost < least:
                best, least = host, cost
        return best

    def _may_send(self, request: Request, host: Host) -> bool:
        """Rules 2 and 3 for one send."""
        if host.entry.state is not EndpointState.READY or host.entry.endpoint_id in self.excluded:
            return False
        ran = [a for a in request.attempts if a.ran]
        cls = request.cls
        if not ran or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        late = LEAVE + self.s.connect_timeout_us  # a connection may have to come up first
        if (
            cls.idempotency is Idempotency.NON_IDEMPOTENT
            or self.now >= ran[0].sent + cls.deduplication_window_us - late
        ):
            return False
        return host.shares(cls.deduplication_scope) == ran[0].host.shares(cls.deduplication_scope)

    def _is_warm(self, host: Host) -> bool:
        return (
            not host.entry.started_at_us
            or self.now - host.entry.started_at_us >= self.s.slow_start_duration_us
        )

    def _cold_one(self, request: Request) -> Host | None:
        """Rule 4: each attempt draws one of all servers; a cold one serves as often as it can."""
        while self.warming and self._is_warm(self.warming[0]):
            self.warm_first()
        if self.untried and (back := self._put_back(request)):
            return back
        cold = self.cold.hosts
        number, chance = divmod(request.lot * (len(cold) + len(self.warm.hosts)), 1)
        if number >= len(cold):
            return None
        host = cold[int(number)]
        age = max(0, self.now - host.entry.started_at_us) / self.s.slow_start_duration_us
        ramp = self.s.slow_start_weight + (1 - self.s.slow_start_weight) * age
        care = COLD_CARE * ramp  # of all that is sent, as if no more came than all servers can do
        if self.now - host.told < TOLD:
            care *= min(COLD_MORE, max(1.0, COLD_USE / max(0.05, host.busy)))
        return host if chance < care and self._may_send(request, host) else None

    def _put_back(self, request: Request) -> Host | None:
        """Who was taken out by hand and put back is sent one request soon: the lot alone may take seconds."""
        for endpoint_id in list(self.untried):
            host = self.hosts.get(endpoint_id)
            if host is None or host.entry.state is not EndpointState.READY:
                del self.untried[endpoint_id]
            elif self._may_send(request, host):
                return host
        return None

    def _send(self, request: Request, host: Host) -> None:
        """Every send passes here."""
        self.untried.pop(host.entry.endpoint_id, None)
        if not request.attempts:
            request.account.waiting.pop(request.event.request, None)
            self._spend(request.account, request.event.units)
        if not host.out:
            host.active = self.now
        self.begin(request, Attempt(host, self.now, host.out + BASE))
        request.lot = self.random.random()
        self.actions.append(
            SendAttempt(request.event.request, host.entry.endpoint_id, request.until)
        )

    # -- what becomes of it -------------------------------------------------------------------------------

    def _attempt_ended(self, event: AttemptEnded) -> None:
        if (event.request, event.attempt) not in self.attempts:
            return
        attempt, kind = self.ended(event.request, event.attempt)
        self._learn(attempt, kind, event)
        attempt.ran = event.outcome not in (
            AttemptOutcome.OVERLOADED,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.NOT_SENT,
        )
        request = self.requests.get(event.request)
        if request and event.is_answered:
            self._drop(request)
        elif (
            request
        ):  # A budget for repeats: failures must not multiply the load. What never ran is free.
            self.budget -= attempt.ran
            repeat = self.budget >= 0 and request.cls.idempotency is not Idempotency.NON_IDEMPOTENT
            (self._advance if repeat or not attempt.ran else self._end)(request)

    def _end(self, request: Request) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        cls = request.cls
        ran, number = any(a.ran for a in request.attempts), request.event.request
        repeats = cls.idempotency is Idempotency.IDEMPOTENT or (
            cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            and cls.deduplication_scope is DeduplicationScope.ALL
        )
        wait = request.back_in(
            self.s.plans, REOPEN, min(SOON * cls.latency_objective_us, self.s.max_retry_after_us)
        )
        self.actions.append(
            RejectRequest(number, wait) if repeats or not ran else FailRequest(number)
        )
        self._drop(request)

    def _drop(self, request: Request) -> None:
        """Nothing more is owed: forget the request and call off what is still out."""
        self.requests.pop(request.event.request, None)
        if request.account:
            request.account.waiting.pop(request.event.request, None)
        if self.s.may_cancel and request.out:
            self.actions.append(CancelAttempt(request.event.request, len(request.attempts) - 1))

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        if request := self.requests.get(event.request):
            self._drop(request)

    def _timer_fired(self, event: TimerFired) -> None:
        request = self.requests.get(event.token - 1)
        if event.token == TURN:
            self._turn()
        elif event.token == ASKED:
            self._answer_due()
        elif event.token == PUSH:
            self._push_due()
        elif event.token == OWED:
            self._pay_owed()
        elif request and not request.out:
            self._advance(request)

    # -- servers ------------------------------------------------------------------------------------------

    def _endpoint_list_received(self, event: EndpointListReceived) -> None:
        for host in (
            self.apply_list(event, self.now) if event.kind is not EndpointListKind.FAILED else ()
        ):
            (self.warm if self._is_warm(host) else self.cold).add(host)
            self.warming.append(host)

    def _exclusion_changed(self, event: ExclusionChanged) -> None:
        """Rule 3 by hand: nothing new to a server that an operator takes out; back, it is cold (rule 4)."""
        if back := self.exclude(event, self.now, self.s.slow_start_duration_us):
            (self.warm if self._is_warm(back) else self.cold).add(back)
            self.warming.append(back)

    def avoided(self, now: int) -> int:
        """How many of the listed servers are out of choice now: by hand, by discovery, or as they fail."""
        return sum(
            endpoint_id in self.excluded
            or host.entry.state is not EndpointState.READY
            or host.marks(now, self.forget)[1] >= AVOIDED
            for endpoint_id, host in self.hosts.items()
        )

    def _expected(self, host: Host, kind: int, failed: bool = True) -> float:
        """The expected answer time: what requests met there, how the load changed, how long it is quiet."""
        fleet, _ = self.met.marks(self.now, FORGET)
        slow, fails = host.marks(
            self.now, self.forget, fleet
        )  # not met lately: like all the others
        time = (
            self.usual[kind]
            * slow
            * (1 + FAIL_WEIGHT * fails * failed)
            * (host.out + BASE)
            / host.typical
        )
        if host.out:  # guards against a stalling or dead server: it answers nobody
            time = max(time, self.now - host.active)
        return time

    def _learn(self, attempt: Attempt, kind: int, event: AttemptEnded) -> None:
        """Each outcome tells of its server; a mark fades unless renewed, so that traffic returns gently."""
        host, zone = attempt.host, self.zones_met[attempt.host.entry.zone]
        self.between += LEARN * (min(FORGET_MOST, self.now - self.learnt_at) - self.between)
        self.learnt_at = self.now
        self.forget = int(min(FORGET_MOST, max(FORGET, self.between * len(self.hosts))))
        host.fade(self.now, self.forget)
        zone.fade(self.now, FORGET)
        self.met.fade(self.now, FORGET)
        if event.outcome in (
            AttemptOutcome.SERVED,
            AttemptOutcome.ERROR,
            AttemptOutcome.OVERLOADED,
        ):
            host.active = self.now
        if event.report and self.util is not None:
            host.busy, host.told = event.report[self.util], self.now
        if event.outcome in (AttemptOutcome.SERVED, AttemptOutcome.TIMED_OUT):
            # Guards against a jam of all servers, where a gateway meets each of them too seldom to learn.
            for known in (host, self.met):
                known.slow += LEARN * (
                    min(SLOW_MOST, event.duration_us / self.usual[kind]) - known.slow
                )
            host.typical += LEARN * (attempt.load - host.typical)
            # Capped, so that in a jam an idle server still seems worth a try and the end of it is noticed.
            most = START_OF_AIM * self.s.classes[kind].latency_objective_us
            # The first guess is one sample: a gateway that has just started would else refuse a burst for it.
            self.learnt[kind] += 1
            weight = max(LEARN / 5, 1 / (1 + self.learnt[kind]))
            self.usual[kind] = min(
                most, self.usual[kind] + weight * (event.duration_us - self.usual[kind])
            )
        for known in (host, zone):  # in a cut each server of the zone would else be tried in turn
            if event.outcome is AttemptOutcome.SERVED:
                known.fails /= 2
            elif event.outcome not in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
                step = (
                    FAULT
                    if event.outcome in (AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_LOST)
                    else 1.0
                )
                known.fails = min(known.fails + step, 1 / LEARN)  # soon forgiven
