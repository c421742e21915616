"""Which checks are asked, joined, answered from the cache or given up.

The whole state of the asking side.

Pure, after the sans-I/O pattern: events and the time (us) go in, effects come out; ``stage.py``
carries them out. Each request that enters gets exactly one ``Settle``, unless it leaves first.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .breaker import MS, AuthoriserEndpoint, BreakerSettings, choose_endpoint

MAX_LIFETIME_US = 3600 * 1_000_000  # us; no answer is believed for longer


class ReplyKind(Enum):
    """What an authoriser said, or that it said nothing."""

    ALLOW = "allow"
    DENY = "deny"  # trying again is of no use
    LATER = "later"  # trying again is harmless and useful
    UNREACHED = "unreached"  # no usable answer: what then holds is the operators' to say


@dataclass(frozen=True, slots=True)
class CheckReply:
    """An answer; lifetime and retry_after in us, 0 says nothing.

    Plan is a plan's name to narrow to, or none.
    """

    kind: ReplyKind
    retry_after: int = 0
    lifetime: int = 0
    plan: str = ""


UNREACHED = CheckReply(ReplyKind.UNREACHED)


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """The operators' figures; spans in us."""

    time_share: float = 0.25  # of a request's time that its check may take
    max_timeout_us: int = 500 * MS
    min_timeout_us: int = 5 * MS
    in_flight: int = 256  # checks out at once; beyond it requests are settled at once
    cache_entries: int = 10_000  # 0: none
    max_cached_us: int = 60_000 * MS  # of a lifetime that an answer states
    coalesce: bool = True
    hedge_after_us: int = 0  # 0: never
    breaker: BreakerSettings = field(default_factory=BreakerSettings)


@dataclass(frozen=True, slots=True)
class SendCheck:
    """Effect: send a check to an authoriser, to be given up after ``timeout_us``."""

    flight: int
    endpoint: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class CancelCheck:
    """Effect: stop waiting for a check; nobody is interested any more."""

    flight: int


@dataclass(frozen=True, slots=True)
class ScheduleHedge:
    """Effect: call ``hedge`` with this flight after so many us."""

    flight: int
    after: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Effect: a request has its reply."""

    request: int
    reply: CheckReply
    source: str  # asked, joined, cached, full, open


CheckEffect = SendCheck | CancelCheck | ScheduleHedge | CompleteRequest


@dataclass(slots=True)
class _CheckInFlight:
    """One check that is out."""

    key: Hashable
    endpoint: int
    sent: int
    due: int
    trial: bool
    requests: dict[int, str]
    twin: int = 0  # the other one of a hedged pair


class CheckScheduler:
    """All checks of one gateway."""

    def __init__(self, figures: CheckSettings, names: Sequence[str], seed: int) -> None:
        """Start without checks; ``names`` are the authorisers' addresses."""
        self.settings, self.generator = figures, random.Random(seed)
        self.endpoints = [
            AuthoriserEndpoint(name, figures.breaker, seed + n) for n, name in enumerate(names)
        ]
        self.flights: dict[int, _CheckInFlight] = {}
        self.joinable: dict[Hashable, int] = {}
        self.of: dict[int, int] = {}  # request -> its flight
        self.cache: OrderedDict[Hashable, tuple[int, int, CheckReply]] = (
            OrderedDict()
        )  # kept, until, reply
        self.last = 0
        self.counts: Counter[str] = Counter()

    # -- requests ----------------------------------------------------------------------------------

    def enter(self, now: int, request: int, key: Hashable, left: int) -> list[CheckEffect]:
        """A request wants to know; left is its own time in us."""
        if (cached := self._cached(now, key)) is not None:
            return [self._settle(request, cached, "cached")]
        within = max(
            self.settings.min_timeout_us,
            min(self.settings.max_timeout_us, int(self.settings.time_share * left)),
        )
        if self.settings.coalesce and (number := self.joinable.get(key)):
            flight = self.flights[number]
            if flight.due <= now + within:  # what it joins ends within its own time
                flight.requests[request] = "joined"
                self.of[request] = number
                return []
        if len(self.flights) >= self.settings.in_flight:
            return [self._settle(request, UNREACHED, "full")]
        endpoint = choose_endpoint(self.endpoints, now, self.generator)
        if endpoint is None:
            return [self._settle(request, UNREACHED, "open")]
        number = self._launch(now, key, endpoint, within, {request: "asked"})
        self.of[request] = number
        effects: list[CheckEffect] = [SendCheck(number, self.flights[number].endpoint, within)]
        if (
            self.settings.hedge_after_us
            and self.settings.hedge_after_us < within
            and len(self.endpoints) > 1
        ):
            effects.append(ScheduleHedge(number, self.settings.hedge_after_us))
        return effects

    def leave(self, request: int) -> list[CheckEffect]:
        """The request has ended without us: client gone, or its time is up.

        A check nobody waits for is called off.
        """
        number = self.of.pop(request, None)
        if number is None:
            return []
        flight = self.flights.get(number)
        if flight is None:
            return []
        flight.requests.pop(request, None)
        if flight.requests:
            return []
        effects: list[CheckEffect] = []
        for each in (number, flight.twin):
            if removed := self._land(each):
                self.endpoints[removed.endpoint].abandon(removed.trial)
                effects.append(CancelCheck(each))
        self.counts["called off"] += 1
        return effects

    # -- checks ------------------------------------------------------------------------------------

    def hedge(self, now: int, number: int) -> list[CheckEffect]:
        """The time for a second check of the same has come; it goes to another authoriser."""
        flight = self.flights.get(number)
        if (
            flight is None
            or flight.twin
            or len(self.flights) >= self.settings.in_flight
            or flight.due <= now
        ):
            return []
        other = choose_endpoint(
            self.endpoints, now, self.generator, but=self.endpoints[flight.endpoint]
        )
        if other is None:
            return []
        twin = self._launch(now, flight.key, other, flight.due - now, flight.requests, join=False)
        flight.twin, self.flights[twin].twin = twin, number
        self.counts["hedged"] += 1
        return [SendCheck(twin, self.flights[twin].endpoint, flight.due - now)]

    def answered(self, now: int, number: int, reply: CheckReply) -> list[CheckEffect]:
        """A usable answer. One that comes to a check that is over changes nothing."""
        flight = self._land(number)
        if flight is None:
            self.counts["answer too late"] += 1
            return []
        self.endpoints[flight.endpoint].end(now, now - flight.sent, False, flight.trial)
        self._store_reply(now, flight.key, reply)
        effects: list[CheckEffect] = []
        if twin := self._land(flight.twin):
            self.endpoints[twin.endpoint].abandon(twin.trial)
            effects.append(CancelCheck(flight.twin))
        return effects + self._settle_all(flight, reply)

    def failed(self, now: int, number: int, why: str) -> list[CheckEffect]:
        """No answer in time, or none that is usable.

        Its requests are settled, unless a twin is still out.
        """
        flight = self._land(number)
        if flight is None:
            return []
        self.counts[f"failed: {why}"] += 1
        self.endpoints[flight.endpoint].end(now, now - flight.sent, True, flight.trial)
        if twin := self.flights.get(flight.twin):
            twin.twin = 0
            for request in flight.requests:
                self.of[request] = flight.twin
            if self.joinable.get(flight.key) is None:
                self.joinable[flight.key] = flight.twin
            return []
        return self._settle_all(flight, UNREACHED)

    def drop(self) -> list[CheckEffect]:
        """The end, or new figures: all that is out is called off, and what waits is settled."""
        effects: list[CheckEffect] = []
        # A hedged pair shares its requests: they are settled once.
        for number in list(self.flights):
            if flight := self._land(number):
                effects += [CancelCheck(number), *self._settle_all(flight, UNREACHED)]
        return effects

    # -- parts -------------------------------------------------------------------------------------

    def _launch(
        self,
        now: int,
        key: Hashable,
        endpoint: AuthoriserEndpoint,
        within: int,
        requests: dict[int, str],
        join: bool = True,
    ) -> int:
        self.last += 1
        trial = endpoint.begin()
        index = self.endpoints.index(endpoint)
        self.flights[self.last] = _CheckInFlight(key, index, now, now + within, trial, requests)
        if join and self.settings.coalesce:
            self.joinable[key] = self.last
        return self.last

    def _land(self, number: int) -> _CheckInFlight | None:
        flight = self.flights.pop(number, None)
        if flight and self.joinable.get(flight.key) == number:
            del self.joinable[flight.key]
        return flight

    def _settle(self, request: int, reply: CheckReply, source: str) -> CompleteRequest:
        self.counts[source] += 1
        self.counts[reply.kind.value] += 1
        return CompleteRequest(request, reply, source)

    def _settle_all(self, flight: _CheckInFlight, reply: CheckReply) -> list[CheckEffect]:
        settled: list[CheckEffect] = []
        for request, source in flight.requests.items():
            self.of.pop(request, None)
            settled.append(self._settle(request, reply, source))
        flight.requests.clear()
        return settled

    def _cached(self, now: int, key: Hashable) -> CheckReply | None:
        found = self.cache.get(key)
        if found is None:
            return None
        stored_at_us, until, reply = found
        if now >= until:
            del self.cache[key]
            return None
        self.cache.move_to_end(key)
        if reply.retry_after:  # it told when: what is left of that
            return CheckReply(
                reply.kind,
                max(0, stored_at_us + reply.retry_after - now),
                reply.lifetime,
                reply.plan,
            )
        return reply

    def _store_reply(self, now: int, key: Hashable, reply: CheckReply) -> None:
        lifetime = min(reply.lifetime, self.settings.max_cached_us, MAX_LIFETIME_US)
        if lifetime <= 0 or not self.settings.cache_entries:
            return
        self.cache[key] = now, now + lifetime, reply
        self.cache.move_to_end(key)
        while len(self.cache) > self.settings.cache_entries:
            self.cache.popitem(last=False)
