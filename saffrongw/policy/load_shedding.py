"""Who is served first, and who is refused, while requests come faster than they can be begun.

Pure: requests and the time (us) go in, those to refuse or to begin come out; ``Intake`` of the gateway
carries it out. It is asked only about what could not be begun at once: usually nothing waits here.

The order, from what is given up first: beyond quota (asked of the counts before a request is put in), what
can't be answered in time any more, the lowest worth, the customer that has most waiting. Plans take turns by
price and weight of what they ask, so that a cheap one inside its quota is never starved by a dear one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from .settings import Plan, RequestClass

MS = 1_000
WAIT_PART = 0.15  # of its aim that a request may wait to be begun
ROOM_LEAST = 256  # requests that may wait in any case: a burst is no overload
ROOM_MOST = 4_096  # and in no case more: what waits costs memory
FLOW_LEAST = 4  # that one customer may have waiting in any case
SMOOTH = 0.2  # weight of the newest span in the rate at which waiting requests are begun
BACK_LEAST, BACK_PART = (
    100 * MS,
    0.5,
)  # how long those refused stay away: at first / of the time that it lasts


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that is not begun; ``until`` (us) is when its client gives up, ``tag`` the caller's own."""

    customer: int
    plan: int
    kind: int
    until: int
    tag: object
    since: int = 0
    gone: bool = False  # begun, refused, or its client has left


class _Lane:
    """Those of one plan and worth that wait: customers in turn, the oldest of each first."""

    __slots__ = ("count", "flows")

    def __init__(self) -> None:
        self.flows: dict[int, deque[Waiting]] = {}  # in the order of their turns
        self.count = 0

    def put(self, one: Waiting) -> None:
        """Behind what its customer has waiting."""
        flow = self.flows.get(one.customer)
        if flow is None:
            self.flows[one.customer] = deque((one,))
        else:
            flow.append(one)
        self.count += 1

    def first(self) -> Waiting:
        """The one whose turn it is; its customer's next turn comes after all the others'."""
        customer, flow = next(iter(self.flows.items()))
        one = flow.popleft()
        del self.flows[customer]
        if flow:
            self.flows[customer] = flow
        self.count -= 1
        return one

    def remove(self, one: Waiting) -> None:
        """It waits no longer."""
        flow = self.flows[one.customer]
        flow.remove(one)
        if not flow:
            del self.flows[one.customer]
        self.count -= 1

    def last(self) -> Waiting:
        """The newest of the customer whose turn comes last."""
        return self.flows[next(reversed(self.flows))][-1]


class Shedder:
    """All requests of one gateway that wait to be begun."""

    def __init__(self, classes: Sequence[RequestClass], plans: Sequence[Plan]) -> None:
        self.most_wait = [int(WAIT_PART * c.latency_objective_us) for c in classes]
        worths = sorted({c.priority_weight for c in classes}, reverse=True)
        self.level = [
            worths.index(c.priority_weight) for c in classes
        ]  # by class; 0: what is worth most
        self.price = [max(1e-6, plan.price) for plan in plans]
        self.lanes = [[_Lane() for _ in worths] for _ in plans]
        self.ages: list[deque[Waiting]] = [deque() for _ in classes]  # each in the order of arrival
        self.of: dict[int, int] = {}  # customer -> how many it has waiting
        self.served = [0.0] * len(
            plans
        )  # what each plan has been given, by its price: the least is next
        self.asked = [0.0] * len(plans)  # how much each asked lately: its weight
        self.count = 0
        self.rate = 0.0  # begun a second, smoothed
        self.begun, self.looked = 0, 0  # since the last look at the rate
        self.pressed_since = 0  # 0: nothing waits

    def __len__(self) -> int:
        return self.count

    @property
    def room(self) -> int:
        """How many may wait: what is begun within the shortest wait, at the present rate."""
        return int(min(ROOM_MOST, max(ROOM_LEAST, self.rate * min(self.most_wait) / 1e6)))

    def offer(self, now: int, one: Waiting) -> Waiting | None:
        """Let one more wait. The one that is to be refused instead: itself, another, or none."""
        if not self.pressed_since:
            self.pressed_since = self.looked = now
            self.begun = 0
        self.asked[one.plan] += 1
        if self.too_many(one.customer):
            one.gone = True
            return one
        room, own = self.room, self.of.get(one.customer, 0)
        refused = None
        if self.count >= room:
            refused = self._worst(one)
            if refused is one:
                one.gone = True
                return one
            self.drop(refused)
        one.since = now
        if not self.lanes[one.plan][self.level[one.kind]].count:
            # Who has not asked for a while has not saved up turns by it.
            busy = [
                given
                for given, lanes in zip(self.served, self.lanes, strict=True)
                if self._any(lanes)
            ]
            if busy and not self._any(self.lanes[one.plan]):
                self.served[one.plan] = max(self.served[one.plan], min(busy))
        self.lanes[one.plan][self.level[one.kind]].put(one)
        self.ages[one.kind].append(one)
        self.of[one.customer] = own + 1
        self.count += 1
        return refused

    @staticmethod
    def _any(lanes: Sequence[_Lane]) -> bool:
        return any(lane.count for lane in lanes)

    def too_many(self, customer: int) -> bool:
        """Guards against one customer taking all the room: its part is at most twice that of the others."""
        own = self.of.get(customer, 0)
        return own >= FLOW_LEAST and own * (len(self.of) + 1) >= 2 * self.room

    def _worst(self, new: Waiting) -> Waiting:
        """What gives way: of the plan with most waiting for its weight, the lowest worth."""
        waiting = [sum(lane.count for lane in lanes) for lanes in self.lanes]
        waiting[new.plan] += 1
        plan = max(
            range(len(waiting)), key=lambda p: waiting[p] / (self.price[p] * (1 + self.asked[p]))
        )
        for level in range(len(self.lanes[plan]) - 1, -1, -1):
            if plan == new.plan and level == self.level[new.kind]:
                return new
            if (lane := self.lanes[plan][level]).count:
                return lane.last()
        return new

    def drop(self, one: Waiting) -> None:
        """It waits no longer: refused, or its client has left. Nothing where it does not wait."""
        if not one.gone:
            self.lanes[one.plan][self.level[one.kind]].remove(one)
            self._out(one)

    def _out(self, one: Waiting) -> None:
        one.gone = True
        self.count -= 1
        left = self.of[one.customer] - 1
        if left:
            self.of[one.customer] = left
        else:
            del self.of[one.customer]
        for ages in self.ages:  # what has gone from the front is forgotten
            while ages and ages[0].gone:
                ages.popleft()

    def expired(self, now: int) -> list[Waiting]:
        """Those that have waited so long that they are given up; they are out."""
        found = []
        for kind, ages in enumerate(self.ages):
            limit = now - self.most_wait[kind]
            while ages and (ages[0].gone or ages[0].since <= limit or ages[0].until <= now):
                one = ages.popleft()
                if not one.gone:
                    self.drop(one)
                    found.append(one)
        return found

    def clear(self) -> list[Waiting]:
        """All that wait; they are out."""
        found = [
            one
            for lanes in self.lanes
            for lane in lanes
            for flow in lane.flows.values()
            for one in flow
        ]
        for one in found:
            self.drop(one)
        return found

    def take(self, now: int) -> Waiting | None:
        """The next to be begun: plans by turns, in each the highest worth, in that customers by turns."""
        if not self.count:
            self._relax(now)
            return None
        plan = min(
            (p for p, lanes in enumerate(self.lanes) if self._any(lanes)),
            key=lambda p: self.served[p],
        )
        lane = next(lane for lane in self.lanes[plan] if lane.count)
        one = lane.first()
        self._out(one)
        self.served[plan] += 1 / (self.price[plan] * (1 + self.asked[plan]))
        self.begun += 1
        if now - self.looked >= 20 * MS:
            self.rate += SMOOTH * (self.begun * 1e6 / (now - self.looked) - self.rate)
            self.begun, self.looked = 0, now
            for p, asked in enumerate(self.asked):
                self.asked[p] = 0.8 * asked
        if not self.count:
            self._relax(now)
        return one

    def _relax(self, now: int) -> None:
        self.pressed_since = 0
        least = min(self.served)
        self.served = [given - least for given in self.served]  # it does not grow for ever

    def back_in(self, now: int, most: int) -> int:
        """How long those refused now should stay away (us): longer, the longer it lasts."""
        lasted = now - self.pressed_since if self.pressed_since else 0
        return min(most, int(max(BACK_LEAST, BACK_PART * lasted)))
