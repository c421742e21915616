"""Load shedding: which requests are begun and which rejected while they come too fast.

Requests and times (us) go in, the requests to reject or to begin come out; the gateway's admission
queue carries it out. It is asked only about what could not be begun at once: usually nothing waits.

What is given up first: requests beyond their quota (asked of the policy before they are queued),
those that can't be answered in time any more, the lowest priority, the customer with most requests
in the queue. Plans take turns by price and weight of what they ask, so that a cheap one inside its
quota is never starved by an expensive one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain

from .durations import MS_US, SECOND_US
from .settings import Plan, RequestClass

# Part of its latency objective that a request may wait to be begun.
MAX_WAIT_OBJECTIVE_PART = 0.15
# Requests that may wait in any case: a burst is no overload. And no more in any case: memory.
MIN_CAPACITY = 256
MAX_CAPACITY = 4_096
# Requests that one customer may have in the queue in any case.
MIN_CUSTOMER_CAPACITY = 4
# Weight of the newest interval in the rate at which queued requests are begun, and its length.
RATE_SAMPLE_WEIGHT = 0.2
RATE_INTERVAL_US = 20 * MS_US
# Part of the recent demand that is left after each interval.
DEMAND_DECAY = 0.8
# When rejected clients may retry: at first, and as a part of how long the overload has lasted.
MIN_RETRY_AFTER_US = 100 * MS_US
RETRY_AFTER_PART = 0.5
# A plan counts as having at least this price.
MIN_PRICE = 1e-6


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits until ``deadline_us`` at most; ``tag`` is the caller's own."""

    customer: int
    plan: int
    kind: int
    deadline_us: int
    tag: object
    queued_at_us: int = 0
    # Begun, rejected, or its client has left.
    is_done: bool = False


class _Lane:
    """The queued requests of one plan and priority: customers by turns, each one's oldest first."""

    __slots__ = ("count", "flows")

    def __init__(self) -> None:
        # By customer, in the order of their turns.
        self.flows: dict[int, deque[QueuedRequest]] = {}
        self.count = 0

    def append(self, request: QueuedRequest) -> None:
        """Queue a request behind the others of its customer."""
        flow = self.flows.get(request.customer)
        if flow is None:
            self.flows[request.customer] = deque((request,))
        else:
            flow.append(request)
        self.count += 1

    def pop_next(self) -> QueuedRequest:
        """Remove the request whose turn it is; its customer's next turn comes after all others'."""
        customer, flow = next(iter(self.flows.items()))
        request = flow.popleft()
        del self.flows[customer]
        if flow:
            self.flows[customer] = flow
        self.count -= 1
        return request

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request of this lane."""
        flow = self.flows[request.customer]
        flow.remove(request)
        if not flow:
            del self.flows[request.customer]
        self.count -= 1

    def last(self) -> QueuedRequest:
        """Return the newest request of the customer whose turn comes last."""
        return self.flows[next(reversed(self.flows))][-1]


def _any_queued(lanes: Sequence[_Lane]) -> bool:
    return any(lane.count for lane in lanes)


class LoadShedder:
    """Owns all requests of one gateway that wait to be begun."""

    def __init__(self, classes: Sequence[RequestClass], plans: Sequence[Plan]) -> None:
        """Start with an empty queue."""
        self.max_wait_us = [
            int(MAX_WAIT_OBJECTIVE_PART * request_class.latency_objective_us)
            for request_class in classes
        ]
        weights = sorted({request_class.priority_weight for request_class in classes}, reverse=True)
        # By class; 0 is the highest priority.
        self._priority = [weights.index(request_class.priority_weight) for request_class in classes]
        self._price = [max(MIN_PRICE, plan.price) for plan in plans]
        # By plan and priority.
        self.lanes = [[_Lane() for _ in weights] for _ in plans]
        # By class, in the order of arrival.
        self.by_arrival: list[deque[QueuedRequest]] = [deque() for _ in classes]
        self.count_by_customer: dict[int, int] = {}
        # What each plan has been given, by its price and demand: the plan with the least is next.
        self._service = [0.0] * len(plans)
        # How much each plan asked for lately: its weight.
        self._demand = [0.0] * len(plans)
        self.count = 0
        # Requests begun a second, smoothed; since when they are counted, and how many so far.
        self._begin_rate = 0.0
        self._interval_start_us = 0
        self._begun_in_interval = 0
        # 0: nothing waits.
        self.overloaded_since_us = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self.count

    @property
    def capacity(self) -> int:
        """How many may wait: what is begun within the shortest wait, at the present rate."""
        begun_in_time = self._begin_rate * min(self.max_wait_us) / SECOND_US
        return int(min(MAX_CAPACITY, max(MIN_CAPACITY, begun_in_time)))

    def offer(self, now_us: int, request: QueuedRequest) -> QueuedRequest | None:
        """Queue a request; return the one to reject instead: itself, another, or none."""
        if not self.overloaded_since_us:
            self.overloaded_since_us = self._interval_start_us = now_us
            self._begun_in_interval = 0
        self._demand[request.plan] += 1
        if self.exceeds_fair_share(request.customer):
            request.is_done = True
            return request
        # Read before another request is dropped, as it always was: where that one is of the same
        # customer, the customer's count stays one too high.
        customer_count = self.count_by_customer.get(request.customer, 0) + 1
        rejected = None
        if self.count >= self.capacity:
            rejected = self._lowest_priority_for(request)
            if rejected is request:
                request.is_done = True
                return request
            self.drop(rejected)
        request.queued_at_us = now_us
        self._enqueue(request)
        self.count_by_customer[request.customer] = customer_count
        return rejected

    def _enqueue(self, request: QueuedRequest) -> None:
        lanes = self.lanes[request.plan]
        if not _any_queued(lanes):
            self._forfeit_saved_service(request.plan)
        lanes[self._priority[request.kind]].append(request)
        self.by_arrival[request.kind].append(request)
        self.count += 1

    def _forfeit_saved_service(self, plan: int) -> None:
        # A plan that has not asked for a while has not saved up turns by it.
        waiting = [
            service
            for service, lanes in zip(self._service, self.lanes, strict=True)
            if _any_queued(lanes)
        ]
        if waiting:
            self._service[plan] = max(self._service[plan], min(waiting))

    def exceeds_fair_share(self, customer: int) -> bool:
        """Tell whether a customer has all that it may have in the queue.

        That is twice the part of the others, so that one customer can't take the whole capacity.
        """
        own = self.count_by_customer.get(customer, 0)
        return (
            own >= MIN_CUSTOMER_CAPACITY
            and own * (len(self.count_by_customer) + 1) >= 2 * self.capacity
        )

    def _lowest_priority_for(self, new: QueuedRequest) -> QueuedRequest:
        """Return what gives way: the lowest priority of the plan that exceeds its weight most."""
        waiting = [sum(lane.count for lane in lanes) for lanes in self.lanes]
        waiting[new.plan] += 1
        plan = max(range(len(waiting)), key=lambda index: waiting[index] / self._weight(index))
        for priority in range(len(self.lanes[plan]) - 1, -1, -1):
            if plan == new.plan and priority == self._priority[new.kind]:
                return new
            if (lane := self.lanes[plan][priority]).count:
                return lane.last()
        return new

    def _weight(self, plan: int) -> float:
        return self._price[plan] * (1 + self._demand[plan])

    def drop(self, request: QueuedRequest) -> None:
        """Remove a request that is rejected or whose client has left, unless it is done already."""
        if not request.is_done:
            self.lanes[request.plan][self._priority[request.kind]].remove(request)
            self._mark_done(request)

    def _mark_done(self, request: QueuedRequest) -> None:
        request.is_done = True
        self.count -= 1
        left = self.count_by_customer[request.customer] - 1
        if left:
            self.count_by_customer[request.customer] = left
        else:
            del self.count_by_customer[request.customer]
        for requests in self.by_arrival:
            while requests and requests[0].is_done:
                requests.popleft()

    def pop_expired(self, now_us: int) -> list[QueuedRequest]:
        """Remove and return the requests that have waited too long."""
        expired = []
        for kind, requests in enumerate(self.by_arrival):
            limit_us = now_us - self.max_wait_us[kind]
            while requests and (
                requests[0].is_done
                or requests[0].queued_at_us <= limit_us
                or requests[0].deadline_us <= now_us
            ):
                request = requests.popleft()
                if not request.is_done:
                    self.drop(request)
                    expired.append(request)
        return expired

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        flows = [flow for lanes in self.lanes for lane in lanes for flow in lane.flows.values()]
        queued = list(chain.from_iterable(flows))
        for request in queued:
            self.drop(request)
        return queued

    def take(self, now_us: int) -> QueuedRequest | None:
        """Remove and return the next request to begin.

        Plans take turns; in each the highest priority goes first, and in that customers by turns.
        """
        if not self.count:
            self._end_overload()
            return None
        plan = min(
            (index for index, lanes in enumerate(self.lanes) if _any_queued(lanes)),
            key=lambda index: self._service[index],
        )
        lane = next(lane for lane in self.lanes[plan] if lane.count)
        request = lane.pop_next()
        self._mark_done(request)
        self._service[plan] += 1 / self._weight(plan)
        self._begun_in_interval += 1
        self._update_rate(now_us)
        if not self.count:
            self._end_overload()
        return request

    def _update_rate(self, now_us: int) -> None:
        span_us = now_us - self._interval_start_us
        if span_us >= RATE_INTERVAL_US:
            rate = self._begun_in_interval * SECOND_US / span_us
            self._begin_rate += RATE_SAMPLE_WEIGHT * (rate - self._begin_rate)
            self._begun_in_interval, self._interval_start_us = 0, now_us
            self._demand = [DEMAND_DECAY * demand for demand in self._demand]

    def _end_overload(self) -> None:
        self.overloaded_since_us = 0
        # The service would otherwise grow for ever.
        lowest = min(self._service)
        self._service = [service - lowest for service in self._service]

    def retry_after_us(self, now_us: int, max_us: int) -> int:
        """Return when clients that are rejected now may retry: later, the longer it lasts."""
        since_us = self.overloaded_since_us
        lasted_us = now_us - since_us if since_us else 0
        return min(max_us, int(max(MIN_RETRY_AFTER_US, RETRY_AFTER_PART * lasted_us)))
