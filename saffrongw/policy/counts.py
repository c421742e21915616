"""The counts of customers' quotas and ceilings, and the gossip that spreads them; see docs/design.md.

The policy's second half: ``rules.py`` asks it whether a customer has room and tells it what was spent.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from . import gossip_codec
from .actions import SendGossip, SetTimer
from .events import GossipReceived
from .settings import Settings
from .state import Account, Memory

MS, SECOND = 1_000, 1_000_000  # microseconds

INTAKE_SHARE = 0.8  # of the intake that every gateway may send: the rest is for jitter
RESERVE, URGENT = 4, 1  # messages kept for answers / those of them that even urgent questions leave
INTERVAL = 300 * MS  # between two gossip turns: what is pressing does not wait for them
FAN = 12  # gateways told at once: the rest of a larger set is told by them, each has a part of it
MORE_MOST = (
    6  # rows told besides, where a message has room: more cost time on both sides and help little
)
NEWS_MOST = 3  # counts in a row; older ones are within its total
LOOK_AT, IDLE_LOOKS = (
    32,
    3,
)  # customers looked at for one message / for being idle, to bound the work
LATE_MOST = 5 * SECOND  # a message that took longer, or comes from so far ahead, is not believed
CLOSE, REOPEN = (
    0.25,
    0.6,
)  # of the burst: with less room a customer is refused, until so much is back
ANSWER_WITHIN = (
    200 * MS
)  # a keeper not heard for so long is asked to answer as soon; else the next is told
# Rights of a ceiling: a request waits so long for them / a keeper owes them so long / later, they are void
RIGHTS_WITHIN, RIGHTS_OWED, RIGHTS_LATE = 200 * MS, 150 * MS, 200 * MS
RIGHTS_SPARE = 0.5  # of a keeper's part that is left for those with requests that wait
KEEPER_STRIDE = 2_654_435_761  # spreads customers over the gateways of their sets
SPREAD_ABOVE = 0.5  # of the messages of a second that stay for approvals and answers
KEEPERS = 3  # gateways of a set that are tried
HEAR = 0.1  # weight of the newest answer or silence in the part of the fleet that is unheard
EVEN = 0.2  # of a quota that is shared out evenly when nobody is heard; the rest as its use was
UNHEARD_LEAST = 0.25  # below it silence is what loss and restarts explain
KEEP_IDLE = (
    10 * SECOND
)  # a customer with a ceiling is remembered so long: a new one's part starts empty
# Tokens of timers: gossip, answers due, messages to keepers, rights that are owed; a request's: its id + 1
TURN, ASKED, PUSH, OWED = 0, 1 << 40, 2 << 40, 3 << 40


class Counts(Memory):
    """What a gateway knows of its customers' use, and what it tells the others."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__()
        self.s, self.random, self.now, self.filled = settings, random.Random(seed), now, now
        self.node_index, self.alone = settings.node_index, not settings.may_send_gossip
        self.started = now  # since when all that this gateway sent is known to it
        self.unheard = 0.0
        self.allowance = self.per_second = INTAKE_SHARE * settings.gossip_intake

    # -- counts -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        account, key = (
            self.accounts.get(customer),
            (plan, first, max(1, min(size, self.s.node_count))),
        )
        if account is None:
            # One that is new has had nothing of its ceiling here since the start: its part fills since then.
            account = Account(customer, key, self.s.plans[plan].burst, self.started, used=self.now)
            account.fresh = key[2] > 1 and not self.alone  # else there is nobody to tell of it
            self.accounts[customer] = account
            self.idle_queue.append(customer)
        elif trusted:  # a request goes before a peer
            account.key = key
        return account

    def _lift(self, account: Account) -> None:
        """Raise the limit by the time gone; room stays within the burst."""
        plan, span, account.risen = self.s.plans[account.key[0]], self.now - account.risen, self.now
        if plan.ceiling_rate:
            gained = plan.ceiling_rate * self._ceiling_part(account) * span / SECOND
            # Rights may lie above, but only until those who wait for them are sent on.
            account.ceiling = max(
                account.ceiling, min(self._ceiling_most(account), account.ceiling + gained)
            )
        if self.unheard < UNHEARD_LEAST and not self.alone:
            own = account.counts.get(self.node_index, (0, 0.0))[1]
            if own < account.total:  # somebody has told of others
                account.part = own / account.total
        share, total = self._share(account), account.total
        burst = plan.burst * share
        # Debt: what went beyond the quota took nothing from the true store, so the limit never lies below.
        limit = max(total, account.limit + plan.rate * share * span / SECOND)
        account.limit = limit = min(limit, total + burst)
        was, account.closed = (
            account.closed,
            limit - total < (REOPEN if account.closed else CLOSE) * burst,
        )
        if account.closed and not was:
            self.spent_last[account.customer] = None
        elif was and not account.closed:
            self.spent_last.pop(account.customer, None)

    def beyond(self, now: int, customer: int, plan: int, units: float) -> bool:
        """Whether a request would certainly be refused for its quota; nothing is counted or changed."""
        account = self.accounts.get(customer)
        if account is None or not (rate := self.s.plans[plan].rate):
            return False
        share = self._share(account)  # a closed one opens again at a part of what is ours to grant
        room = account.room + rate * share * (now - account.risen) / SECOND
        return room < (REOPEN * share * self.s.plans[plan].burst if account.closed else units)

    def _share(self, account: Account) -> float:
        """The part of the quota that is ours to grant: what unheard gateways may spend is left to them.

        With nobody heard each has the part of the use that was its own while it heard the others, and an even
        part of the rest: all together grant the quota, and where a customer's requests come they find room.
        """
        unheard, size = 1.0 if self.alone else self.unheard, account.key[2]
        if unheard < UNHEARD_LEAST:
            return 1.0
        part = 1 / size if account.part is None else (1 - EVEN) * account.part + EVEN / size
        return 1 - unheard * (1 - part)

    def _ceiling_part(self, account: Account) -> float:
        """Rule 5: each gateway alone fills its part of the ceiling's store, from nothing at its start. Half
        is the first keeper's, who gives of it what others want: it takes that off before it tells them."""
        return (1 + account.size * (self._keeper(account) == self.node_index)) / (2 * account.size)

    def _ceiling_most(self, account: Account) -> float:
        """What our part of the ceiling's store holds when it is full."""
        return self.s.plans[account.plan].ceiling_burst * self._ceiling_part(account)

    def _spend(self, account: Account, units: float) -> None:
        account.used = self.now
        start, value = account.counts.get(
            self.node_index, (self.now // MS // gossip_codec.TICK, 0.0)
        )
        account.total += self._count(account, self.node_index, start, value + units)
        account.ceiling -= units if self.s.plans[account.plan].ceiling_rate else 0.0
        if account.size > 1 and not self.alone:
            self.changed[account.customer] = None
            self._tell_keeper(account, 0)

    def _count(self, account: Account, node_index: int, start: int, value: float) -> float:
        """Newer start, then larger value; what was spent in an earlier life stays spent. The growth."""
        known = account.counts.get(node_index, (-1, 0.0))
        if (start, value) <= known:
            return 0.0
        account.counts[node_index] = start, value
        account.news = (*(r for r in account.news if r != node_index), node_index)[-NEWS_MOST:]
        growth = value - known[1] if start == known[0] else value
        account.spent += growth
        return growth

    # -- gossip -------------------------------------------------------------------------------------------

    def _keeper(self, account: Account, number: int = 0) -> int:
        return self._member(account, (account.customer * KEEPER_STRIDE >> 16) + number)

    def _member(self, account: Account, place: int) -> int:
        return (account.first + place % account.size) % self.s.node_count

    def _tell_keeper(self, account: Account, number: int) -> None:
        """Every approval is told to one gateway of the set, which adds them up; the next one stands in."""
        node_index = self._keeper(account, number)
        if number >= min(KEEPERS, account.size):
            account.fresh = (
                False  # nobody answers: the part of those unheard is left to them instead
            )
            return
        if node_index != self.node_index:
            self.due.setdefault(node_index, {})[account.customer] = number
            self._push(node_index)
        elif account.fresh:
            self._tell_keeper(account, number + 1)
        else:
            self._keep(account)

    def _push(self, node_index: int) -> None:
        """All that is due to a keeper, as far as one message holds it: an approval leaves at once while there
        are messages left to send; when they come faster, they share one. Some are left for answers."""
        due = self.due[node_index]
        urgent = any((a := self.accounts.get(customer)) and a.waiting for customer in due)
        if self._allowed() < (URGENT if urgent else RESERVE) + 1:
            if not self.pushing:
                self.pushing = True
                wait = (RESERVE + 1 - self.allowance) / self.per_second
                self.actions.append(SetTimer(int(wait * SECOND) + MS, PUSH))
            return
        accounts = [self.accounts[customer] for customer in due if customer in self.accounts]
        asks = self.now - self.heard.get(node_index, 0) > ANSWER_WITHIN
        rows = gossip_codec.fit(self._row_for_keeper(account) for account in accounts)
        told = [(account.customer, due.pop(account.customer)) for account in accounts[: len(rows)]]
        asks |= any(account.fresh or account.asked for account in accounts[: len(rows)])
        if len(rows) == len(accounts):
            del self.due[node_index]
        if rows:
            self._tell(node_index, rows, told if asks else None, keep=True)

    def _push_due(self) -> None:
        """There are messages to send again: the keeper that most is due to comes first."""
        self.pushing = False
        for node_index in sorted(self.due, key=lambda node_index: -len(self.due[node_index])):
            self._push(node_index)

    def _row_for_keeper(self, account: Account) -> bytes:
        self._lift(account)
        lacks = max(
            0.0, (sum(account.waiting.values()) or self._ceiling_most(account)) - account.ceiling
        )
        account.asked = (
            math.ceil(lacks * gossip_codec.SCALE) / gossip_codec.SCALE
        )  # what travels is rounded down
        return self._row(account, 0, account.asked)

    def _answer_due(self) -> None:
        """Guards against cuts and dead keepers: no answer in time is told to the next keeper."""
        at, node_index, told = self.asked.popleft()
        if (
            self.now - at > 2 * ANSWER_WITHIN
        ):  # we stood still ourselves: nothing is known of the other
            return
        if silent := self.heard.get(node_index, -1) < at:
            self.mute[node_index] = self.mute.get(node_index, 0) + 1
        self.unheard += HEAR * (silent - self.unheard)
        for customer, number in told if silent else ():
            if account := self.accounts.get(customer):
                self._tell_keeper(account, number + 1)

    def _keep(self, account: Account) -> None:
        """A customer was fast, its room is low: its set is told at once, and again if some miss it."""
        plan = self.s.plans[account.plan]
        if account.closed and plan.rate * (self.now - account.spread) > CLOSE * plan.burst * SECOND:
            account.spread = self.now
            self._hand_on(account, account.size - 1)

    def _hand_on(self, account: Account, reach: int) -> None:
        """Tell the next so many of the set: a few of them, each handing on to a part of the rest."""
        place = self._place(self.node_index, account.first)
        step = -(-reach // FAN)
        done, part = 0, 1 + self.random.randrange(step) if reach else 0
        # In large sets this would take every message there is, and approvals and answers would wait for it.
        while done < reach and self._allowed() > SPREAD_ABOVE * self.per_second:
            part = min(part, reach - done)
            node_index = self._member(account, place + 1 + done)
            self._tell_and_more(node_index, [self._row(account, part - 1)], (account.customer,))
            done, part = done + part, step

    def _tell_and_more(
        self, node_index: int, rows: Iterable[bytes], about: Collection[int]
    ) -> None:
        """Rows about some customers, and in the room that is left about others whose quota is nearly spent.

        In a large fleet nobody can send a message about each of them to all that might let it in.
        """
        more = islice(self._rows_of_spent(node_index, about), MORE_MOST)
        self._tell(node_index, gossip_codec.fit(chain(rows, more)))

    def _rows_of_spent(self, node_index: int, but: Collection[int]) -> Iterator[bytes]:
        """Those that concern a gateway, the latest first."""
        for customer in list(islice(reversed(self.spent_last), LOOK_AT)):
            account = self.accounts[customer]
            if customer not in but and self._place(node_index, account.first) < account.size:
                yield self._row(account, 0)

    def _turn(self) -> None:
        """The pending changes that concern one random peer, those of the fastest customers first."""
        self.actions.append(SetTimer(INTERVAL, TURN))
        self._drop_idle()
        for customer in [c for c in islice(self.changed, LOOK_AT) if self.accounts[c].size < 2]:
            del self.changed[customer]  # a request may have told that its set is smaller by now
        if not self.changed:
            return
        account = self.accounts[next(iter(self.changed))]
        place = self._place(self.node_index, account.first)
        node_index = self._member(account, place + 1 + self.random.randrange(account.size - 1))
        looked = [self.accounts[customer] for customer in islice(self.changed, LOOK_AT)]
        shared = [a for a in looked if self._place(node_index, a.first) < a.size]
        shared.sort(key=lambda a: a.room / (self.s.plans[a.plan].burst or 1.0))
        rows = gossip_codec.fit(self._row(a, 0) for a in shared)
        if self._tell(node_index, rows, []):
            for told in shared[: len(rows)]:
                del self.changed[told.customer]

    def _place(self, node_index: int, first: int) -> int:
        return (node_index - first) % self.s.node_count

    def _allowed(self) -> float:
        """How many messages may be sent now: all that one gateway sends stays below what one takes in."""
        gained = self.per_second * (self.now - self.filled) / SECOND
        self.allowance, self.filled = min(self.per_second, self.allowance + gained), self.now
        return self.allowance

    def _tell(
        self, node_index: int, rows: list[bytes], told: list | None = None, keep: bool = False
    ) -> bool:
        """Every message passes here; told is not None where an answer is asked for."""
        if self._allowed() < 1:
            return False
        self.allowance -= 1
        if told is not None:
            self.asked.append((self.now, node_index, told))
            self.actions.append(SetTimer(ANSWER_WITHIN, ASKED))
        body = gossip_codec.pack(self.now // MS, told is not None, keep, rows)
        self.actions.append(SendGossip(node_index, body))
        return True

    def _row(self, account: Account, reach: int, rights: float = 0.0) -> bytes:
        self._lift(account)
        counts = tuple((node_index, *account.counts[node_index]) for node_index in account.news)
        row = gossip_codec.Row(
            account.customer, *account.key, reach, account.room, account.total, rights, counts
        )
        return gossip_codec.pack_row(row, self.now // MS, self.s.node_count)

    def _gossip_received(self, event: GossipReceived) -> None:
        message = gossip_codec.unpack(
            event.body, self.now // MS, self.s.node_count, len(self.s.plans)
        )
        age = self.now - message.sent * MS if message else LATE_MOST
        if self.alone or not 0 <= event.sender < self.s.node_count or abs(age) >= LATE_MOST:
            return
        self.heard[event.sender] = self.now
        self.mute.pop(event.sender, None)
        merged = []
        for row in message.rows:
            if self._place(self.node_index, row.replica_set_first) < row.replica_set_size:
                known = self.accounts.get(row.customer)
                spent = known and known.counts.get(event.sender)
                account = self._merge(row, event.sender, max(0, age), message.keep, message.sent)
                waits = (
                    account.counts.get(event.sender) == spent
                )  # it asks, and has not sent anything on
                merged.append((account, row.rights if message.keep else 0.0, waits))
                self._hand_on(account, min(row.reach, account.size - 1))
                if message.keep:
                    self._keep(account)
                else:
                    self._rights_told(account)
        if message.ask and self._allowed() >= 1:
            rows = (self._row(a, 0, self._give(a, event.sender, *wants)) for a, *wants in merged)
            self._tell_and_more(event.sender, rows, [account.customer for account, *_ in merged])

    def _give(self, account: Account, node_index: int, wanted: float, waits: bool) -> float:
        """Rights of a ceiling, off our part before they are told, so that loss is safe. Who has requests that
        wait gets all that it needs or, soon after, from what refills; parts are topped up from the spare."""
        if not wanted or self._keeper(account) != self.node_index:
            return 0.0
        most = self._ceiling_most(account)
        wanted = min(wanted, most)  # more than that is never there at once
        given = max(0.0, min(wanted, account.ceiling - RIGHTS_SPARE * most * (not waits)))
        if waits and (given < wanted or account.owed):
            if not self.owing:
                self.actions.append(SetTimer(self._owed_in(account, wanted), OWED))
            since, _ = account.owed.get(node_index, (self.now, wanted))
            account.owed[node_index] = since, wanted
            self.owing[account.customer] = None
            return 0.0
        account.ceiling -= given
        return given

    def _owed_in(self, account: Account, wanted: float) -> int:
        """When a keeper's part should hold so much."""
        rate = self.s.plans[account.plan].ceiling_rate * self._ceiling_part(account)
        return 5 * MS + int(max(0.0, wanted - account.ceiling) / rate * SECOND)

    def _pay_owed(self) -> None:
        """Those who wait longest first; who waits no longer gets none."""
        soonest = RIGHTS_OWED
        for customer in list(self.owing):
            account = self.accounts.get(customer)
            if account is None:
                del self.owing[customer]
                continue
            self._lift(account)
            for node_index, (at, wanted) in list(account.owed.items()):
                if self.now - at < RIGHTS_OWED:
                    if account.ceiling < wanted or self._allowed() < 1:
                        soonest = min(soonest, self._owed_in(account, wanted))
                        break
                    account.ceiling -= wanted
                    self._tell(node_index, [self._row(account, 0, wanted)])
                del account.owed[node_index]
            if not account.owed:
                del self.owing[customer]
        if self.owing:
            self.actions.append(SetTimer(soonest, OWED))

    def _rights_told(self, account: Account) -> None:
        """Requests that wait for them are sent on first; what is left above our part is void."""
        for number in list(account.waiting):
            self._resume(number)
        if self.s.plans[account.plan].ceiling_rate:
            account.ceiling = min(account.ceiling, self._ceiling_most(account))

    def _resume(self, request: int) -> None:
        """Look again at a request that waited; those who keep requests say how."""

    def _merge(
        self, row: gossip_codec.Row, sender: int, age: int, keep: bool, sent: int
    ) -> Account:
        """Newer start, then larger value; the larger limit. ``sent`` (ms) tells a repeated gift of rights."""
        account = self._account(
            row.customer, row.plan, row.replica_set_first, row.replica_set_size, trusted=False
        )
        account.fresh, plan = False, self.s.plans[account.plan]
        self._lift(account)
        told, given = 0.0, 0.0
        if row.rights and not keep and age <= RIGHTS_LATE and sent > account.given_at:
            given = min(row.rights, account.asked)
            account.given_at = sent if given else account.given_at
        account.ceiling, account.asked = account.ceiling + given, account.asked - given
        for node_index, start, value in row.counts:
            if (
                node_index != self.node_index
            ):  # our own count is ours; an earlier life's is within the total
                grown = self._count(account, node_index, start, value)
                told += grown * (node_index == sender and keep)
                if grown:
                    account.others = (*account.others, self.now)[-max(1, plan.concurrency_limit) :]
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
            account = self.accounts[customer]
            plan, share = self.s.plans[account.key[0]], self._share(account)
            gained = plan.rate * (self.now - account.risen) / SECOND
            if (
                account.out
                or account.waiting
                or account.limit - account.total + gained < plan.burst * share
            ):
                self.idle_queue.append(
                    customer
                )  # most often: it is in use, or its quota not yet full
                continue
            self._lift(account)
            # Where no other gateway has told of it, its room here is not all that was spent: in the time that
            # fills a quota anew, what is forgotten can't grant more than the quota itself.
            rest = (
                plan.burst / plan.rate * SECOND
                if plan.rate and (account.fresh or share < 1)
                else 0.0
            )
            rest = max(rest, KEEP_IDLE if plan.ceiling_rate else 0.0)
            full = account.room >= plan.burst * share and self.now - account.used >= rest
            full = full and account.ceiling >= self._ceiling_most(account)
            if not full:
                self.idle_queue.append(customer)
                continue
            del self.accounts[customer]
            self.changed.pop(customer, None)
