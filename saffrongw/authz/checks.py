"""Decides which checks are sent, shared, answered from the cache, hedged or cancelled.

This is the whole state of the checking client. It follows the sans-I/O pattern: events and the time
(microseconds) go in, effects come out, and ``request_filter.py`` carries them out. Each request
that arrives gets exactly one ``CompleteRequest``, unless it ends first.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .breaker import US_PER_MS, AuthoriserEndpoint, BreakerSettings, choose_endpoint

MAX_LIFETIME_US = 3600 * 1_000_000  # for which a reply is cached, whatever it states


class ReplyKind(Enum):
    """What an authoriser decided, or that there is no usable reply."""

    ALLOW = "allow"
    DENY = "deny"  # a retry would be denied as well
    RETRY_LATER = "later"  # denied, but a retry may be allowed
    UNAVAILABLE = "unreached"  # no usable reply: the operators' fail mode decides


@dataclass(frozen=True, slots=True)
class CheckReply:
    """A reply to a check.

    The times are 0, and the plan is empty, where the authoriser states none. ``plan`` names the
    plan that the request is to be put under.
    """

    kind: ReplyKind
    retry_after_us: int = 0
    lifetime_us: int = 0
    plan: str = ""


UNAVAILABLE = CheckReply(ReplyKind.UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """The operators' limits for checks."""

    time_share: float = 0.25  # of a request's remaining time that its check may take
    max_timeout_us: int = 500 * US_PER_MS
    min_timeout_us: int = 5 * US_PER_MS
    max_in_flight: int = 256  # checks; beyond it the fail mode decides without a check
    max_cache_entries: int = 10_000  # 0: no cache
    max_cache_lifetime_us: int = 60_000 * US_PER_MS  # bounds the lifetime that a reply states
    coalesce: bool = True  # requests with equal cache keys share a check in flight
    hedge_after_us: int = 0  # 0: never
    breaker: BreakerSettings = field(default_factory=BreakerSettings)


@dataclass(frozen=True, slots=True)
class SendCheck:
    """Effect: send a check to an authoriser, with this timeout."""

    check_id: int
    endpoint_index: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class CancelCheck:
    """Effect: cancel a check whose reply is no longer needed."""

    check_id: int


@dataclass(frozen=True, slots=True)
class ScheduleHedge:
    """Effect: call ``send_hedge`` for this check after the delay."""

    check_id: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Effect: a request has its reply."""

    request: int
    reply: CheckReply
    source: str  # asked, joined, cached, full or open


CheckEffect = SendCheck | CancelCheck | ScheduleHedge | CompleteRequest


@dataclass(slots=True)
class _CheckInFlight:
    """A check that was sent and has not ended; ``requests`` maps request numbers to sources."""

    key: Hashable
    endpoint_index: int
    sent_at_us: int
    deadline_us: int
    is_trial: bool
    requests: dict[int, str]
    paired_check_id: int = 0  # the other check of a hedged pair; 0: not hedged


class CheckScheduler:
    """All checks of one gateway."""

    def __init__(self, settings: CheckSettings, addresses: Sequence[str], seed: int) -> None:
        """Start without checks; ``addresses`` are those of the authorisers."""
        self.settings, self.generator = settings, random.Random(seed)
        self.endpoints = [
            AuthoriserEndpoint(address, settings.breaker, seed + n)
            for n, address in enumerate(addresses)
        ]
        self.checks_in_flight: dict[int, _CheckInFlight] = {}
        self.check_ids_by_key: dict[Hashable, int] = {}  # checks that further requests may share
        self.check_ids_by_request: dict[int, int] = {}
        self.cache: OrderedDict[Hashable, tuple[int, int, CheckReply]] = (
            OrderedDict()
        )  # (stored at, expires at, reply), least recently used first
        self.last_check_id = 0
        self.counts: Counter[str] = Counter()

    # -- requests ----------------------------------------------------------------------------------

    def request_arrived(
        self, now: int, request: int, key: Hashable, remaining_us: int
    ) -> list[CheckEffect]:
        """Complete a request from the cache or by the limits, share a check, or send one.

        ``remaining_us`` is the time until the request's own deadline.
        """
        if (cached := self._cached_reply(now, key)) is not None:
            return [self._complete(request, cached, "cached")]
        timeout_us = max(
            self.settings.min_timeout_us,
            min(self.settings.max_timeout_us, int(self.settings.time_share * remaining_us)),
        )
        if self.settings.coalesce and (check_id := self.check_ids_by_key.get(key)):
            check = self.checks_in_flight[check_id]
            if check.deadline_us <= now + timeout_us:  # it ends within this request's share of time
                check.requests[request] = "joined"
                self.check_ids_by_request[request] = check_id
                return []
        if len(self.checks_in_flight) >= self.settings.max_in_flight:
            return [self._complete(request, UNAVAILABLE, "full")]
        endpoint = choose_endpoint(self.endpoints, now, self.generator)
        if endpoint is None:
            return [self._complete(request, UNAVAILABLE, "open")]
        check_id = self._start_check(now, key, endpoint, timeout_us, {request: "asked"})
        self.check_ids_by_request[request] = check_id
        effects: list[CheckEffect] = [
            SendCheck(check_id, self.checks_in_flight[check_id].endpoint_index, timeout_us)
        ]
        if (
            self.settings.hedge_after_us
            and self.settings.hedge_after_us < timeout_us
            and len(self.endpoints) > 1
        ):
            effects.append(ScheduleHedge(check_id, self.settings.hedge_after_us))
        return effects

    def request_ended(self, request: int) -> list[CheckEffect]:
        """Handle the end of a request before its reply: client disconnected, or timed out.

        Cancels its check, and the hedge of that check, unless other requests share them.
        """
        check_id = self.check_ids_by_request.pop(request, None)
        if check_id is None:
            return []
        check = self.checks_in_flight.get(check_id)
        if check is None:
            return []
        check.requests.pop(request, None)
        if check.requests:
            return []
        effects: list[CheckEffect] = []
        for each in (check_id, check.paired_check_id):
            if removed := self._remove_check(each):
                self.endpoints[removed.endpoint_index].check_cancelled(removed.is_trial)
                effects.append(CancelCheck(each))
        self.counts["cancelled"] += 1
        return effects

    # -- checks ------------------------------------------------------------------------------------

    def send_hedge(self, now: int, check_id: int) -> list[CheckEffect]:
        """Send the same check to another authoriser, where there is one and the limits allow it."""
        check = self.checks_in_flight.get(check_id)
        if (
            check is None
            or check.paired_check_id
            or len(self.checks_in_flight) >= self.settings.max_in_flight
            or check.deadline_us <= now
        ):
            return []
        other = choose_endpoint(
            self.endpoints, now, self.generator, exclude=self.endpoints[check.endpoint_index]
        )
        if other is None:
            return []
        hedge_id = self._start_check(
            now, check.key, other, check.deadline_us - now, check.requests, can_be_shared=False
        )
        check.paired_check_id, self.checks_in_flight[hedge_id].paired_check_id = hedge_id, check_id
        self.counts["hedged"] += 1
        return [
            SendCheck(
                hedge_id,
                self.checks_in_flight[hedge_id].endpoint_index,
                check.deadline_us - now,
            )
        ]

    def reply_received(self, now: int, check_id: int, reply: CheckReply) -> list[CheckEffect]:
        """Complete a check's requests by a usable reply; ignore it if the check has ended."""
        check = self._remove_check(check_id)
        if check is None:
            self.counts["late reply"] += 1
            return []
        self.endpoints[check.endpoint_index].check_ended(
            now, now - check.sent_at_us, False, check.is_trial
        )
        self._store_reply(now, check.key, reply)
        effects: list[CheckEffect] = []
        if paired := self._remove_check(check.paired_check_id):
            self.endpoints[paired.endpoint_index].check_cancelled(paired.is_trial)
            effects.append(CancelCheck(check.paired_check_id))
        return effects + self._complete_all(check, reply)

    def check_failed(self, now: int, check_id: int, reason: str) -> list[CheckEffect]:
        """Handle a check that timed out, failed or got no usable reply.

        Its requests are completed as unavailable, unless the other check of a hedged pair is still
        in flight.
        """
        check = self._remove_check(check_id)
        if check is None:
            return []
        self.counts[f"failed: {reason}"] += 1
        self.endpoints[check.endpoint_index].check_ended(
            now, now - check.sent_at_us, True, check.is_trial
        )
        if paired := self.checks_in_flight.get(check.paired_check_id):
            paired.paired_check_id = 0
            for request in check.requests:
                self.check_ids_by_request[request] = check.paired_check_id
            if self.check_ids_by_key.get(check.key) is None:
                self.check_ids_by_key[check.key] = check.paired_check_id
            return []
        return self._complete_all(check, UNAVAILABLE)

    def cancel_all(self) -> list[CheckEffect]:
        """Cancel every check, before this client closes; complete its requests as unavailable."""
        effects: list[CheckEffect] = []
        # The checks of a hedged pair share one dict of requests, so those are completed once.
        for check_id in list(self.checks_in_flight):
            if check := self._remove_check(check_id):
                effects += [CancelCheck(check_id), *self._complete_all(check, UNAVAILABLE)]
        return effects

    # -- helpers -----------------------------------------------------------------------------------

    def _start_check(
        self,
        now: int,
        key: Hashable,
        endpoint: AuthoriserEndpoint,
        timeout_us: int,
        requests: dict[int, str],
        can_be_shared: bool = True,
    ) -> int:
        self.last_check_id += 1
        is_trial = endpoint.check_started()
        endpoint_index = self.endpoints.index(endpoint)
        self.checks_in_flight[self.last_check_id] = _CheckInFlight(
            key, endpoint_index, now, now + timeout_us, is_trial, requests
        )
        if can_be_shared and self.settings.coalesce:
            self.check_ids_by_key[key] = self.last_check_id
        return self.last_check_id

    def _remove_check(self, check_id: int) -> _CheckInFlight | None:
        check = self.checks_in_flight.pop(check_id, None)
        if check and self.check_ids_by_key.get(check.key) == check_id:
            del self.check_ids_by_key[check.key]
        return check

    def _complete(self, request: int, reply: CheckReply, source: str) -> CompleteRequest:
        self.counts[source] += 1
        self.counts[reply.kind.value] += 1
        return CompleteRequest(request, reply, source)

    def _complete_all(self, check: _CheckInFlight, reply: CheckReply) -> list[CheckEffect]:
        completed: list[CheckEffect] = []
        for request, source in check.requests.items():
            self.check_ids_by_request.pop(request, None)
            completed.append(self._complete(request, reply, source))
        check.requests.clear()
        return completed

    def _cached_reply(self, now: int, key: Hashable) -> CheckReply | None:
        found = self.cache.get(key)
        if found is None:
            return None
        stored_at_us, expires_at_us, reply = found
        if now >= expires_at_us:
            del self.cache[key]
            return None
        self.cache.move_to_end(key)
        if reply.retry_after_us:  # counts from when the reply was received
            return CheckReply(
                reply.kind,
                max(0, stored_at_us + reply.retry_after_us - now),
                reply.lifetime_us,
                reply.plan,
            )
        return reply

    def _store_reply(self, now: int, key: Hashable, reply: CheckReply) -> None:
        lifetime_us = min(reply.lifetime_us, self.settings.max_cache_lifetime_us, MAX_LIFETIME_US)
        if lifetime_us <= 0 or not self.settings.max_cache_entries:
            return
        self.cache[key] = now, now + lifetime_us, reply
        self.cache.move_to_end(key)
        while len(self.cache) > self.settings.max_cache_entries:
            self.cache.popitem(last=False)
