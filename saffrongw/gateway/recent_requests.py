"""The ids of recent requests that may have run, although their class forbids running them twice.

By the platform's protocol ids are unique, and a client sends a request again only where the gateway
has closed its connection unread. A client that sends one again for another reason, such as after a
time limit of its own, is told that the request has failed, which promises nothing. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from ..policy.settings import Idempotency, RequestClass
from .request_types import ClientRequest

# Ids that are remembered at most, about 5 MB; the oldest is forgotten first.
MAX_REMEMBERED = 16_384
# How long an id is remembered, in longest deadlines: a client waits no longer than one of them, and
# so does an endpoint that has not begun yet.
REMEMBERED_DEADLINES = 2


class RememberedRequest(NamedTuple):
    """A request that may have run, and for how much longer that is remembered."""

    customer: bytes
    request_id: bytes
    time_left_us: int


class RecentRequests:
    """Remembers requests by customer and id, for a bounded time and number."""

    def __init__(self, classes: tuple[RequestClass, ...], clock: Callable[[], int]) -> None:
        """Start empty; ``classes`` are those of the settings, ``clock`` returns the time in us."""
        self.clock = clock
        self.memory_us = REMEMBERED_DEADLINES * max(each.deadline_us for each in classes)
        self._unrepeatable = frozenset(
            kind
            for kind, each in enumerate(classes)
            if each.idempotency is not Idempotency.IDEMPOTENT
        )
        # By customer and id: when it is forgotten. The one that is forgotten first comes first.
        self._forgotten_at_us: OrderedDict[tuple[bytes, bytes], int] = OrderedDict()

    @property
    def count(self) -> int:
        """How many requests are remembered."""
        return len(self._forgotten_at_us)

    def request_ended(self, request: ClientRequest) -> None:
        """Remember a request if it may have run and its class forbids running it again."""
        if request.event.kind in self._unrepeatable and request.may_have_run:
            now_us = self.clock()
            self._remember(request.parts[1], request.parts[2], now_us + self.memory_us)
            self._forget(now_us)

    def restore(self, remembered: RememberedRequest) -> None:
        """Remember a request of the predecessor process."""
        now_us = self.clock()
        time_left_us = max(0, min(remembered.time_left_us, self.memory_us))
        self._remember(remembered.customer, remembered.request_id, now_us + time_left_us)
        self._forget(now_us)

    def _remember(self, customer: bytes, request_id: bytes, forgotten_at_us: int) -> None:
        key = (customer, request_id)
        self._forgotten_at_us[key] = max(forgotten_at_us, self._forgotten_at_us.get(key, 0))
        self._forgotten_at_us.move_to_end(key)

    def may_not_run(self, kind: int, customer: bytes, request_id: bytes) -> bool:
        """Whether a request has come before, may have run, and may not run twice."""
        if kind not in self._unrepeatable:
            return False
        forgotten_at_us = self._forgotten_at_us.get((customer, request_id))
        return forgotten_at_us is not None and forgotten_at_us > self.clock()

    def rows(self, open_requests: Iterable[ClientRequest]) -> Iterator[RememberedRequest]:
        """Yield what the successor process has to remember, with the requests in flight here."""
        now_us = self.clock()
        for (customer, request_id), forgotten_at_us in self._forgotten_at_us.items():
            if forgotten_at_us > now_us:
                yield RememberedRequest(customer, request_id, forgotten_at_us - now_us)
        for request in open_requests:
            if request.event.kind in self._unrepeatable and request.attempts:
                _, customer, request_id = request.parts[:3]
                yield RememberedRequest(customer, request_id, self.memory_us)

    def _forget(self, now_us: int) -> None:
        forgotten_at_us = self._forgotten_at_us
        while forgotten_at_us:
            key = next(iter(forgotten_at_us))
            if len(forgotten_at_us) <= MAX_REMEMBERED and forgotten_at_us[key] > now_us:
                break
            del forgotten_at_us[key]
