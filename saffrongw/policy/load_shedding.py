"""Load shedding: a bounded queue of requests that decides which to start and which to reject.

The gateway's admission queue calls it with requests and times (in microseconds) and carries out
what it returns. Only requests that could not be started at once are queued, so that the queue is
empty without an overload.

Requests are shed in this order: those beyond their quota (which the policy decides before they are
queued), those that can no longer be answered in time, those of the lowest priority, and those of
the customer with the most requests in the queue. Weighted fair queueing divides the capacity among
the plans, with their price times their recent demand as the weight: a cheap plan within its quota
is never starved by an expensive one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain

from .durations import MS_US, SECOND_US
from .settings import Plan, RequestClass

# The longest wait in the queue, as a fraction of the request's latency objective.
MAX_WAIT_OBJECTIVE_FRACTION = 0.15
# Bounds of the queue's capacity in requests: a short burst must fit, and memory is limited.
MIN_CAPACITY = 256
MAX_CAPACITY = 4_096
# Requests that one customer may always have in the queue, whatever its fair share.
MIN_CUSTOMER_CAPACITY = 4
# The moving average of the rate at which queued requests are started, which sets the capacity:
# weight of the newest interval, and the shortest interval.
RATE_SAMPLE_WEIGHT = 0.2
RATE_INTERVAL_US = 20 * MS_US
# Fraction of a plan's recent demand that remains after each such interval.
DEMAND_DECAY = 0.8
# Retry-After of rejected requests: the minimum, and the fraction of the time that the overload has
# lasted so far.
MIN_RETRY_AFTER_US = 100 * MS_US
RETRY_AFTER_FRACTION = 0.5
# The lowest price that counts in a plan's weight: a free plan would otherwise have the weight 0.
MIN_PRICE = 1e-6


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue; it expires at ``deadline_us``, and ``tag`` is the caller's own."""

    customer: int
    plan: int
    kind: int
    deadline_us: int
    tag: object
    queued_at_us: int = 0
    # Whether it was started, rejected, or abandoned by its client.
    is_done: bool = False


class _Lane:
    """The queued requests of one plan and priority: round robin by customer, oldest first."""

    __slots__ = ("count", "flows")

    def __init__(self) -> None:
        # Each customer's queue, in round-robin order.
        self.flows: dict[int, deque[QueuedRequest]] = {}
        self.count = 0

    def append(self, request: QueuedRequest) -> None:
        """Queue a request after the others of its customer."""
        flow = self.flows.get(request.customer)
        if flow is None:
            self.flows[request.customer] = deque((request,))
        else:
            flow.append(request)
        self.count += 1

    def pop_next(self) -> QueuedRequest:
        """Remove and return the next request; its customer moves to the end of the round robin."""
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
        """Return the newest request of the customer at the end of the round robin."""
        return self.flows[next(reversed(self.flows))][-1]


def _any_queued(lanes: Sequence[_Lane]) -> bool:
    return any(lane.count for lane in lanes)


class LoadShedder:
    """Owns all requests of one gateway that wait to be started."""

    def __init__(self, classes: Sequence[RequestClass], plans: Sequence[Plan]) -> None:
        """Start with an empty queue."""
        self.max_wait_us = [
            int(MAX_WAIT_OBJECTIVE_FRACTION * request_class.latency_objective_us)
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
        # Weighted fair queueing: each started request adds 1 / weight to its plan's virtual time;
        # the plan with the lowest virtual time is next.
        self._virtual_time = [0.0] * len(plans)
        # Each plan's recently queued or rejected requests, decaying: a factor of its weight.
        self._demand = [0.0] * len(plans)
        self.count = 0
        # Moving average of the requests started per second; start and count of its newest interval.
        self._start_rate = 0.0
        self._interval_start_us = 0
        self._started_in_interval = 0
        # 0 while the queue is empty.
        self.overloaded_since_us = 0

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return self.count

    @property
    def capacity(self) -> int:
        """The requests that are started within the shortest ``max_wait_us`` at the present rate."""
        started_in_time = self._start_rate * min(self.max_wait_us) / SECOND_US
        return int(min(MAX_CAPACITY, max(MIN_CAPACITY, started_in_time)))

    def offer(self, now_us: int, request: QueuedRequest) -> QueuedRequest | None:
        """Queue a request; return the request to reject for it: itself, another one, or none."""
        if not self.overloaded_since_us:
            self.overloaded_since_us = self._interval_start_us = now_us
            self._started_in_interval = 0
        self._demand[request.plan] += 1
        if self.exceeds_fair_share(request.customer):
            request.is_done = True
            return request
        # Known fault: if the request that is dropped below belongs to the same customer, this count
        # is one too high, because it is read before the drop.
        customer_count = self.count_by_customer.get(request.customer, 0) + 1
        rejected = None
        if self.count >= self.capacity:
            rejected = self._select_victim(request)
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
            self._advance_idle_virtual_time(request.plan)
        lanes[self._priority[request.kind]].append(request)
        self.by_arrival[request.kind].append(request)
        self.count += 1

    def _advance_idle_virtual_time(self, plan: int) -> None:
        # The virtual time of a plan without requests does not advance. When the plan queues again,
        # it must not be served ahead of all others until it has caught up.
        waiting = [
            virtual_time
            for virtual_time, lanes in zip(self._virtual_time, self.lanes, strict=True)
            if _any_queued(lanes)
        ]
        if waiting:
            self._virtual_time[plan] = max(self._virtual_time[plan], min(waiting))

    def exceeds_fair_share(self, customer: int) -> bool:
        """Return whether a customer already has its fair share of the queue.

        The share is twice an even part of the capacity, so that no customer can fill the queue.
        """
        own = self.count_by_customer.get(customer, 0)
        return (
            own >= MIN_CUSTOMER_CAPACITY
            and own * (len(self.count_by_customer) + 1) >= 2 * self.capacity
        )

    def _select_victim(self, new: QueuedRequest) -> QueuedRequest:
        """Return the request to shed: the lowest priority of the plan furthest above its weight."""
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
        """Remove a request that is rejected or whose client disconnected, unless it is done."""
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
        """Remove and return the requests that have waited too long or passed their deadline."""
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
        """Remove and return the next request to start.

        Weighted fair queueing chooses the plan; within a plan the highest priority goes first, and
        within a priority customers are served round robin.
        """
        if not self.count:
            self._end_overload()
            return None
        plan = min(
            (index for index, lanes in enumerate(self.lanes) if _any_queued(lanes)),
            key=lambda index: self._virtual_time[index],
        )
        lane = next(lane for lane in self.lanes[plan] if lane.count)
        request = lane.pop_next()
        self._mark_done(request)
        self._virtual_time[plan] += 1 / self._weight(plan)
        self._started_in_interval += 1
        self._update_rate(now_us)
        if not self.count:
            self._end_overload()
        return request

    def _update_rate(self, now_us: int) -> None:
        span_us = now_us - self._interval_start_us
        if span_us >= RATE_INTERVAL_US:
            rate = self._started_in_interval * SECOND_US / span_us
            self._start_rate += RATE_SAMPLE_WEIGHT * (rate - self._start_rate)
            self._started_in_interval, self._interval_start_us = 0, now_us
            self._demand = [DEMAND_DECAY * demand for demand in self._demand]

    def _end_overload(self) -> None:
        self.overloaded_since_us = 0
        # Without this the virtual times would grow without bound.
        lowest = min(self._virtual_time)
        self._virtual_time = [virtual_time - lowest for virtual_time in self._virtual_time]

    def retry_after_us(self, now_us: int, max_us: int) -> int:
        """Return the Retry-After of rejected requests: it grows with the length of the overload."""
        since_us = self.overloaded_since_us
        lasted_us = now_us - since_us if since_us else 0
        return min(max_us, int(max(MIN_RETRY_AFTER_US, RETRY_AFTER_FRACTION * lasted_us)))
