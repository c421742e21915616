"""All decisions of a gateway; its types, events and actions are in ``orchidlane/interface.py``.

A request's life: arrived -> admitted by its customer's counts -> sent to the server that should answer
soonest -> outcome -> perhaps another attempt -> exactly one final answer. Every send passes ``_send``, every
answer of ours ``_end``. Quotas are grow-only counts by gateway, spread by gossip; see docs/design.md.
"""

from __future__ import annotations

import random
from itertools import islice

from . import interface as api
from . import messages
from .interface import Effect, Group, ListKind, Outcome, Phase
from .state import Account, Attempt, Host, Memory, Request

MS, SECOND = 1_000, 1_000_000  # microseconds

# Gossip
INTAKE_SHARE = 0.8  # of the intake that every gateway may send: the rest is for jitter
INTERVAL = 300 * MS  # between two gossip turns: what is pressing does not wait for them
FAN = 12  # gateways told at once: the rest of a larger set is told by them, each has a part of it
NEWS_MOST = 3  # counts in a row; older ones are within its total
LOOK_AT, IDLE_LOOKS = 32, 3  # customers looked at for one message / for being idle, to bound the work
LATE_MOST = 5 * SECOND  # a message that took longer, or comes from so far ahead, is not believed
CLOSE, REOPEN = 0.25, 0.6  # of the burst: with less room a customer is refused, until so much is back
ANSWER_WITHIN = 200 * MS  # a keeper not heard for so long is asked to answer as soon; else the next is told
KEEPER_STRIDE = 2_654_435_761  # spreads customers over the gateways of their sets
KEEPERS = 3  # gateways of a set that are tried
HEAR = 0.1  # weight of the newest answer or silence in the part of the fleet that is unheard
UNHEARD_LEAST = 0.25  # below it silence is what loss and restarts explain

# Servers
BASE = 2.0  # requests a server is taken to hold besides those known: keeps first guesses level
START_OF_AIM = 0.25  # of the aim that an idle server is first thought to need
LEARN = 0.15  # weight of the newest answer time
FORGET = 3 * SECOND  # after this a slow server's mark has faded to a third: gentle return
SLOW_MOST = 8.0  # times the idle answer time that one answer may count for
FAIL_WEIGHT = 3.0  # an attempt that failed makes a server look this much slower
CHOICES = 12  # servers compared for one request
SPREAD = 0.1  # random part of a comparison, against herding of gateways
COLD_CARE = 0.9  # of the fair share of a cold server's least capacity that is used

# Attempts
LEAVE, HOLD = 30 * MS, 20 * MS  # a held request ends before its time is up / between looks for a server
REPEAT_BUDGET, REPEAT_MOST = 0.05, 5.0  # further attempts earned by each request, saved up: no retry storms
SHED = 0.15  # of the aim beyond the usual time: slower, a request is refused
SOON = 0.15  # of the aim: who is sent to come back later than that spends quota on an answer that is late
TURN, ASKED = 0, 1 << 40  # tokens of timers: gossip, answers due; a request's has its id + 1


class Gateway(Memory):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.s, self.random, self.now, self.filled = settings, random.Random(seed), now, now
        self.rank, self.alone = settings.rank, not settings.may_tell_peers
        self.usual = [START_OF_AIM * c.aim for c in settings.classes]
        self.budget, self.unheard = REPEAT_MOST, 0.0
        self.allowance = self.per_second = INTAKE_SHARE * settings.peer_intake

    def start(self) -> list[api.Action]:
        """The first actions, once the gateway is up."""
        return [api.SetTimer(INTERVAL, TURN)] + [api.AskList()] * self.s.asks_for_list

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now, self.actions = now, []
        if method := getattr(self, f"_{event.topic}", None):  # streams, probes, counter: nothing to do
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: api.RequestArrived) -> None:
        request = Request(event, self.s.classes[event.kind], self.now + event.time_left, self.random.random())
        self.requests[event.request] = request
        self.budget = min(REPEAT_MOST, max(0.0, self.budget) + REPEAT_BUDGET)
        self._advance(request)
        self._drop_idle()

    def _advance(self, request: Request) -> None:
        """The next step of a request that is owed an answer."""
        last_call = request.until - LEAVE
        if self.now >= last_call or len(request.attempts) >= self.s.max_attempts:
            return self._end(request)
        first = not request.attempts
        if first and not self._admits(request):
            return self._end(request)
        host = self._choose(request)
        if host is None:
            span = min(HOLD, last_call - self.now)
            return self.actions.append(api.SetTimer(span, request.event.request + 1))
        if first and self._expected(host, request.event.kind) > self._patience(request):
            return self._end(request)
        return self._send(request, host)

    def _admits(self, request: Request) -> bool:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        event = request.event  # the entry is looked up anew: a held request may outlive an idle one
        account = self._account(event.customer, event.plan, event.set_first, event.set_size, trusted=True)
        plan, request.account = self.s.plans[account.plan], account
        self._lift(account)
        if plan.ceiling_rate and account.ceiling < event.units:
            self._tell_keeper(account, 0)
            return False
        if plan.open:  # what others approved lately is taken to be out for as long as usual
            others = sum(self.now - at < self.usual[event.kind] for at in account.others)
            if account.out + others >= plan.open:
                return False
        room = account.room
        if account.fresh and self.rank in account.counts:  # unheard: a share, at least one request
            room = min(room, plan.burst / account.size - account.counts[self.rank][1])
        return not plan.rate or (not account.closed and room >= event.units)

    def _patience(self, request: Request) -> float:
        """The longest expected answer time at which a request is let in: it must still be in time."""
        usual = self.usual[request.event.kind]
        return usual + SHED * max(0.0, min(request.cls.aim, request.event.time_left) - usual)

    def _choose(self, request: Request) -> Host | None:
        """The server that should answer soonest among those that the rules allow for this request."""
        if cold := self._cold_one(request):
            return cold
        ran = [a for a in request.attempts if a.ran]
        pool = self.near(ran[0].host, request.cls.group) if ran else self.warm.hosts
        some = pool if len(pool) <= CHOICES else self.random.sample(pool, CHOICES)
        usable = [host for host in some if self._is_warm(host) and self._may_send(request, host)]
        return min(usable, key=lambda host: self._cost(request, host), default=None)

    def _cost(self, request: Request, host: Host) -> float:
        cost = self._expected(host, request.event.kind) * (1 + SPREAD * self.random.random())
        cost *= 1 + FAIL_WEIGHT * self.zones_met[host.entry.zone].marks(self.now, FORGET)[1]
        return cost * (1 + FAIL_WEIGHT * any(a.host is host for a in request.attempts))

    def _may_send(self, request: Request, host: Host) -> bool:
        """Rules 2 and 3 for one send."""
        if host.entry.phase is not Phase.READY:
            return False
        ran = [a for a in request.attempts if a.ran]
        cls = request.cls
        if not ran or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE or self.now >= ran[0].sent + cls.window - LEAVE:
            return False
        return host.shares(cls.group) == ran[0].host.shares(cls.group)

    def _is_warm(self, host: Host) -> bool:
        return not host.entry.launched or self.now - host.entry.launched >= self.s.warm_within

    def _cold_one(self, request: Request) -> Host | None:
        """Rule 4: each attempt draws one of all servers; a cold one serves as often as it can."""
        while self.warming and self._is_warm(self.warming[0]):
            self.warm_first()
        cold = self.cold.hosts
        number, chance = divmod(request.lot * (len(cold) + len(self.warm.hosts)), 1)
        if number >= len(cold):
            return None
        host = cold[int(number)]
        age = max(0, self.now - host.entry.launched) / self.s.warm_within
        ramp = self.s.cold_from + (1 - self.s.cold_from) * age
        return host if chance < COLD_CARE * ramp and self._may_send(request, host) else None

    def _send(self, request: Request, host: Host) -> None:
        """Every send passes here."""
        if not request.attempts:
            self._spend(request.account, request.event.units)
        if not host.out:
            host.active = self.now
        self.begin(request, Attempt(host, self.now, host.out + BASE))
        request.lot = self.random.random()
        self.actions.append(api.Send(request.event.request, host.entry.server, request.until))

    # -- what becomes of it -------------------------------------------------------------------------------

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        if (event.request, event.attempt) not in self.attempts:
            return
        attempt, kind = self.ended(event.request, event.attempt)
        self._learn(attempt, kind, event)
        attempt.ran = event.outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)
        request = self.requests.get(event.request)
        if request and event.answered:
            self._drop(request)
        elif request:  # A budget for repeats: failures must not multiply the load. What never ran is free.
            self.budget -= attempt.ran
            repeat = self.budget >= 0 and request.cls.effect is not Effect.UNSAFE
            (self._advance if repeat or not attempt.ran else self._end)(request)

    def _end(self, request: Request) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        cls = request.cls
        ran, number = any(a.ran for a in request.attempts), request.event.request
        repeats = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
        wait = request.back_in(self.s.plans, REOPEN, min(SOON * cls.aim, self.s.max_retry_after))
        self.actions.append(api.Refuse(number, wait) if repeats or not ran else api.Fail(number))
        self._drop(request)

    def _drop(self, request: Request) -> None:
        """Nothing more is owed: forget the request and call off what is still out."""
        self.requests.pop(request.event.request, None)
        if self.s.may_cancel and request.out:
            self.actions.append(api.Cancel(request.event.request, len(request.attempts) - 1))

    def _client_gone(self, event: api.ClientGone) -> None:
        if request := self.requests.get(event.request):
            self._drop(request)

    def _timer_fired(self, event: api.TimerFired) -> None:
        request = self.requests.get(event.token - 1)
        if event.token == TURN:
            self._turn()
        elif event.token == ASKED:
            self._answer_due()
        elif request and not request.out:
            self._advance(request)

    # -- servers ------------------------------------------------------------------------------------------

    def _server_listed(self, event: api.ServerListed) -> None:
        for host in self.apply_list(event, self.now) if event.kind is not ListKind.FAILED else ():
            (self.warm if self._is_warm(host) else self.cold).add(host)
            self.warming.append(host)

    def _expected(self, host: Host, kind: int) -> float:
        """The expected answer time: what requests met there, how the load changed, how long it is quiet."""
        fleet, _ = self.met.marks(self.now, FORGET)
        slow, fails = host.marks(self.now, FORGET, fleet)  # not met lately: like all the others
        time = self.usual[kind] * slow * (1 + FAIL_WEIGHT * fails) * (host.out + BASE) / host.typical
        if host.out:  # guards against a stalling or dead server: it answers nobody
            time = max(time, self.now - host.active)
        return time

    def _learn(self, attempt: Attempt, kind: int, event: api.AttemptEnded) -> None:
        """Each outcome tells of its server; a mark fades unless renewed, so that traffic returns gently."""
        host, zone = attempt.host, self.zones_met[attempt.host.entry.zone]
        for known in (host, zone, self.met):
            known.fade(self.now, FORGET)
        if event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            host.active = self.now
        if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            # Guards against a jam of all servers, where a gateway meets each of them too seldom to learn.
            for known in (host, self.met):
                known.slow += LEARN * (min(SLOW_MOST, event.took / self.usual[kind]) - known.slow)
            host.typical += LEARN * (attempt.load - host.typical)
            # Capped, so that in a jam an idle server still seems worth a try and the end of it is noticed.
            most = START_OF_AIM * self.s.classes[kind].aim
            self.usual[kind] = min(most, self.usual[kind] + LEARN / 5 * (event.took - self.usual[kind]))
        for known in (host, zone):  # in a cut each server of the zone would else be tried in turn
            if event.outcome is Outcome.SERVED:
                known.fails /= 2
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
                known.fails = min(known.fails + 1, 1 / LEARN)  # soon forgiven

    # -- counts -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        account, key = self.accounts.get(customer), (plan, first, max(1, min(size, self.s.gateways)))
        if account is None:
            account = Account(customer, key, self.s.plans[plan].burst, self.now)
            self.accounts[customer] = account
            self.idle_queue.append(customer)
        elif trusted:  # a request goes before a peer
            account.key = key
        return account

    def _lift(self, account: Account) -> None:
        """Raise the limit by the time gone; room stays within the burst."""
        plan, span, account.risen = self.s.plans[account.plan], self.now - account.risen, self.now
        part = self._ceiling_part(account)
        gained = plan.ceiling_rate * part * span / SECOND
        account.ceiling = min(plan.ceiling_burst * part, account.ceiling + gained)
        unheard = 1.0 if self.alone else self.unheard
        share = 1 - unheard * (account.size - 1) / account.size if unheard >= UNHEARD_LEAST else 1.0
        burst = plan.burst * share  # what unheard gateways may spend is left to them
        # Debt: what went beyond the quota took nothing from the true store, so the limit never lies below.
        limit = max(account.total, account.limit + plan.rate * share * span / SECOND)
        account.limit = min(limit, account.total + burst)
        account.closed = account.room < (REOPEN if account.closed else CLOSE) * burst

    def _ceiling_part(self, account: Account) -> float:
        """Rule 5: each gateway alone fills its part of the ceiling's store, from nothing at its start. Half
        is the first keeper's, who gives of it what others want: it takes that off before it tells them."""
        return (1 + account.size * (self._keeper(account) == self.rank)) / (2 * account.size)

    def _spend(self, account: Account, units: float) -> None:
        start, value = account.counts.get(self.rank, (self.now // MS // messages.TICK, 0.0))
        account.total += self._count(account, self.rank, start, value + units)
        account.ceiling -= units if self.s.plans[account.plan].ceiling_rate else 0.0
        if account.size > 1 and not self.alone:
            self.changed[account.customer] = None
            self._tell_keeper(account, 0)

    def _count(self, account: Account, rank: int, start: int, value: float) -> float:
        """Newer start, then larger value; what was spent in an earlier life stays spent. The growth."""
        known = account.counts.get(rank, (-1, 0.0))
        if (start, value) <= known:
            return 0.0
        account.counts[rank] = start, value
        account.news = (*(r for r in account.news if r != rank), rank)[-NEWS_MOST:]
        growth = value - known[1] if start == known[0] else value
        account.spent += growth
        return growth

    # -- gossip -------------------------------------------------------------------------------------------

    def _keeper(self, account: Account, number: int = 0) -> int:
        return self._member(account, (account.customer * KEEPER_STRIDE >> 16) + number)

    def _member(self, account: Account, place: int) -> int:
        return (account.first + place % account.size) % self.s.gateways

    def _tell_keeper(self, account: Account, number: int) -> None:
        """Every approval is told to one gateway of the set, which adds them up; the next one stands in."""
        rank = self._keeper(account, number)
        if number >= min(KEEPERS, account.size):
            account.fresh = False  # nobody answers: the part of those unheard is left to them instead
            return
        if rank != self.rank:
            self._lift(account)
            most = self.s.plans[account.plan].ceiling_burst * self._ceiling_part(account)
            account.asked = max(0.0, most - account.ceiling)
            asks = account.fresh or account.asked or self.now - self.heard.get(rank, 0) > ANSWER_WITHIN
            row = self._row(account, 0, account.asked)
            self._tell(rank, [row], account.customer, number if asks else None, keep=True)
        elif account.fresh:
            self._tell_keeper(account, number + 1)
        else:
            self._keep(account)

    def _answer_due(self) -> None:
        """Guards against cuts and dead keepers: no answer in time is told to the next keeper."""
        at, rank, customer, number = self.asked.popleft()
        if self.now - at > 2 * ANSWER_WITHIN:  # we stood still ourselves: nothing is known of the other
            return
        silent = self.heard.get(rank, -1) < at
        self.unheard += HEAR * (silent - self.unheard)
        if silent and number >= 0 and (account := self.accounts.get(customer)):
            self._tell_keeper(account, number + 1)

    def _keep(self, account: Account) -> None:
        """A customer was fast, its room is low: its set is told at once, and again if some miss it."""
        plan = self.s.plans[account.plan]
        if account.closed and plan.rate * (self.now - account.spread) > CLOSE * plan.burst * SECOND:
            account.spread = self.now
            self._hand_on(account, account.size - 1)

    def _hand_on(self, account: Account, reach: int) -> None:
        """Tell the next so many of the set: a few of them, each handing on to a part of the rest."""
        place = self._place(self.rank, account.first)
        step = -(-reach // FAN)
        done, part = 0, 1 + self.random.randrange(step) if reach else 0
        while done < reach:
            part = min(part, reach - done)
            self._tell(self._member(account, place + 1 + done), [self._row(account, part - 1)])
            done, part = done + part, step

    def _turn(self) -> None:
        """The pending changes that concern one random peer, those of the fastest customers first."""
        self.actions.append(api.SetTimer(INTERVAL, TURN))
        if not self.changed:
            return
        account = self.accounts[next(iter(self.changed))]
        place = self._place(self.rank, account.first)
        rank = self._member(account, place + 1 + self.random.randrange(account.size - 1))
        looked = [self.accounts[customer] for customer in islice(self.changed, LOOK_AT)]
        shared = [a for a in looked if self._place(rank, a.first) < a.size]
        shared.sort(key=lambda a: a.room / (self.s.plans[a.plan].burst or 1.0))
        rows = messages.fit(self._row(a, 0) for a in shared)
        if self._tell(rank, rows, number=-1):
            for told in shared[: len(rows)]:
                del self.changed[told.customer]

    def _place(self, rank: int, first: int) -> int:
        return (rank - first) % self.s.gateways

    def _tell(self, rank: int, rows: list[bytes], customer=0, number: int | None = None, keep=False) -> bool:
        """Every message passes here: all that one gateway sends stays below what one takes in."""
        gained = self.per_second * (self.now - self.filled) / SECOND
        self.allowance, self.filled = min(self.per_second, self.allowance + gained), self.now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        if number is not None:
            self.asked.append((self.now, rank, customer, number))
            self.actions.append(api.SetTimer(ANSWER_WITHIN, ASKED))
        body = messages.pack(self.now // MS, number is not None, keep, rows)
        self.actions.append(api.TellPeer(rank, body))
        return True

    def _row(self, account: Account, reach: int, rights: float = 0.0) -> bytes:
        self._lift(account)
        counts = tuple((rank, *account.counts[rank]) for rank in account.news)
        row = messages.Row(account.customer, *account.key, reach, account.room, account.total, rights, counts)
        return messages.pack_row(row, self.now // MS, self.s.gateways)

    def _peer_message(self, event: api.PeerMessage) -> None:
        message = messages.unpack(event.body, self.now // MS, self.s.gateways, len(self.s.plans))
        age = self.now - message.sent * MS if message else LATE_MOST
        if self.alone or not 0 <= event.sender < self.s.gateways or abs(age) >= LATE_MOST:
            return
        self.heard[event.sender] = self.now
        merged = []
        for row in message.rows:
            if self._place(self.rank, row.set_first) < row.set_size:
                account = self._merge(row, event.sender, max(0, age), message.keep)
                merged.append((account, row.rights if message.keep else 0.0))
                self._hand_on(account, min(row.reach, account.size - 1))
                if message.keep:
                    self._keep(account)
        if message.ask:
            rows = (self._row(account, 0, self._give(account, wanted)) for account, wanted in merged)
            self._tell(event.sender, messages.fit(rows))

    def _give(self, account: Account, wanted: float) -> float:
        """Rights of a ceiling, off our part before they are told, so that loss is safe."""
        given = min(account.ceiling, wanted) if self._keeper(account) == self.rank else 0.0
        account.ceiling -= given
        return given

    def _merge(self, row: messages.Row, sender: int, age: int, keep: bool) -> Account:
        """Newer start, then larger value; the larger limit."""
        account = self._account(row.customer, row.plan, row.set_first, row.set_size, trusted=False)
        account.fresh, plan = False, self.s.plans[account.plan]
        self._lift(account)
        told, given = 0.0, 0.0 if keep else min(row.rights, account.asked)
        account.ceiling, account.asked = account.ceiling + given, account.asked - given
        for rank, start, value in row.counts:
            if rank != self.rank:  # our own count is ours; an earlier life's is within the total
                grown = self._count(account, rank, start, value)
                told += grown * (rank == sender and keep)
                if grown:
                    account.others = (*account.others, self.now)[-max(1, plan.open) :]
        if told:  # what is spread reaches all without
            self.changed[account.customer] = None
        # The total tells of counts that did not fit or were lost, so that a gateway that missed them knows.
        account.total = max(account.total + told, account.spent, row.total)
        account.limit = max(account.limit, row.total + row.room + plan.rate * age / SECOND)
        self._lift(account)
        return account

    def _drop_idle(self) -> None:
        """Full and idle accounts say nothing: forgotten a few at a time, one-off customers cost no memory."""
        for _ in range(min(IDLE_LOOKS, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            self._lift(account := self.accounts[customer])
            plan = self.s.plans[account.plan]
            full = account.ceiling >= plan.ceiling_burst / account.size and account.room >= plan.burst
            if account.out or account.fresh or not full:
                self.idle_queue.append(customer)
                continue
            del self.accounts[customer]
            self.changed.pop(customer, None)
