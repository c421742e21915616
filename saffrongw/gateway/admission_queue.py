"""Begins what clients ask, at once while this turn of the loop has time for it; the rest waits for its turn.

Bytes are read and framed as they come, so nothing grows old unseen in the kernel. A turn that would take long is cut:
what it could not begin goes to ``LoadShedder``, which says what is begun next and what is refused. Answers of hosts come in
between: they belong to requests in hand, which go first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from ..policy.load_shedding import LoadShedder, QueuedRequest
from .driver import Driver, RequestTerms, busy_reply

AT_ONCE = 0.004  # seconds of a turn in which requests are begun as they are read
WORK = 0.010  # seconds of a turn for requests that wait, whatever reading took of it

Begin = Callable[[], None]
Refuse = Callable[[bytes], None]


class AdmissionQueue:
    """Between the clients' connections and the driver."""

    def __init__(self, driver: Driver, loop: asyncio.AbstractEventLoop) -> None:
        self.driver, self.loop = driver, loop
        settings = driver.gateway.settings
        self.shedder = LoadShedder(settings.classes, settings.plans)
        self.most_back = settings.max_retry_after_us
        self.turning = False  # within a turn of the loop, whose end has been asked for
        self.began = 0.0
        self.refusal = self._answer(0)  # what is shed in this turn is answered
        # Until the next turn: customers (16 digits) and groups (``CLASS,t=PLAN``) that are certain to be refused.
        self.shut: set[bytes] = set()

    def at_once(self) -> bool:
        """Whether one more request may be begun now."""
        now = monotonic()
        if not self.turning:
            # Not by ``loop.time()``: each timer that is set moves it on within the turn.
            self.turning, self.began = True, now
            self.loop.call_soon(self._turn)
        return now - self.began < AT_ONCE and not self.shedder.count

    @property
    def pressed(self) -> bool:
        """Whether requests wait."""
        return self.shedder.count > 0

    def wait(
        self, terms: RequestTerms, group: bytes, customer: bytes, begin: Begin, refuse: Refuse
    ) -> QueuedRequest | None:
        """Let a request wait; None where it was refused at once."""
        now = self.driver.clock()
        if self.driver.gateway.exceeds_quota(now, terms.customer, terms.plan, terms.units):
            self.shut.add(customer)
            refuse(self._refusal(now))
            return None
        one = QueuedRequest(terms.customer, terms.plan, terms.kind, now + terms.wait, (begin, refuse))
        refused = self.shedder.offer(now, one)
        if refused is None:
            return one
        refused.tag[1](self._refusal(now))
        if refused is not one:
            return one
        self.shut.add(customer if self.shedder.exceeds_fair_share(terms.customer) else group)
        return None

    def refuse_all(self) -> None:
        """Nothing is begun any more: what waits is refused."""
        refusal = busy_reply(0)
        for one in self.shedder.clear():
            one.tag[1](refusal)

    def _refusal(self, now: int) -> bytes:
        """Of what is shed: nothing was sent, so that trying again is harmless."""
        self.refusal = self._answer(now)
        return self.refusal

    def _answer(self, now: int) -> bytes:
        return busy_reply(self.shedder.retry_after_us(now, self.most_back))

    def _turn(self) -> None:
        """All that came in this turn has been read: begin what waits, for a while."""
        self.turning = False
        self.shut.clear()
        shedder = self.shedder
        if not shedder.count:
            return
        # Those longest here are given up only after a turn that they had a part in: a process that was stopped for a
        # while would else refuse all that came meanwhile.
        end = monotonic() + WORK
        try:
            while (one := shedder.take(self.driver.clock())) is not None:
                one.tag[0]()
                if monotonic() >= end:
                    break
            now = self.driver.clock()
            for one in shedder.pop_expired(now):
                one.tag[1](self._refusal(now))
        finally:  # also where one of them raised: the others must not wait for ever
            if shedder.count:
                self.turning, self.began = True, monotonic()
                self.loop.call_soon(self._turn)
