"""When a gateway asks its source of lists, for what, and how long it waits for the answer. Pure: time in seconds.

Two clocks bind it.

*The told clock* goes first: a change counts as told at a certain moment whether or not it was heard, and from
``grace`` later on nothing new may go to a host that drains. Where lists are pushed (``pushed``), discovery's address
is an agent on the gateway's own machine that answers at once, at no cost, and what it has counts as told in that
moment. So a call is always out, or is again soon: with R for a draw before a new connection and P for how long an
answer is waited for,

    P + R  =  grace / 2 + grace / 4  <  grace        (also while the agent is silent: it may be back at any moment).

A watch of ``wait`` seconds that falls silent tells nothing until ``wait`` is over; what it misses counts
``TOLD_AFTER_WAIT`` after that, or ``TOLD_AFTER`` after it fell silent, if that is later. Noticed, drawn and answered:

    wait + WATCH_PATIENCE + R + answer  <=  wait + TOLD_AFTER_WAIT + grace.

Where lists are asked for, the service is far away and one for all, what happens counts as told ``TOLD_AFTER`` later,
and the spans below are cut where they would pass that. After a silence and after a connection that failed:

    PATIENCE_MOST + AGAIN_WITHIN + answer  <=  TOLD_AFTER + grace,
    1 + APART_MOST + answer                <=  TOLD_AFTER + grace.

The same clock holds after a refusal. A service that takes nobody for so long can't be heard in time; one that has room
again is asked within ``APART_MOST`` at the latest.

*The load that it makes* there. With G gateways, a call that costs the service c seconds of its worker, and calls drawn
evenly over a span S, the worker is busy for G c / S of the time. Every span here is that turned round,

    S = pace * G * c / USE,

with c = ``WHOLE`` or ``CHANGES``: guesses for a service that nobody knows yet. ``pace`` (1 to ``PACE_MOST``) is what
the service says of them: a refusal or a silence doubles it, an answer that took long too, a quick one halves it. So it
is as long as the fleet is large and as the service is slow, up to what the told clock leaves, and for three gateways
all spans are a blink.

- *First call.* Only what is newer than the list that is known already, since that is the cheap one. The queue that all
  make by asking in one moment, G c, does no harm while it is shorter than the service lets calls wait: a gateway waits
  a draw of what it is longer (``first``). So one that starts alone among 200 asks within 0.7 s, among 100 at once.
- *Calls again* after a lost connection: a draw of S for changes, doubled with each failure up to S for whole lists;
  twice that for who has served no client yet.
- *Calls again* after a refusal (503): a draw of half of what the told clock leaves since the list was last known to be
  current, so that there are several tries before it binds, or of half of the time since it ran out; of S for changes
  or a second at the least; after ``Retry-After`` at the earliest.
- *Watches* last long enough for the answers without news to use ``WATCH_USE`` of the worker at most.
- *One whole list* some time after a start that only asked for changes, for the case that a registry began to count anew
  and has passed the number that this gateway knew.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

WHOLE, CHANGES = 0.025, 0.005  # seconds of the service's worker that a call is taken to cost
USE, WATCH_USE = (
    0.8,
    0.1,
)  # of the worker's time: by calls of gateways that start / by watches without news
QUEUE = 0.5  # seconds of queue at the service that a start of all may make
PACE_MOST = 8.0
# Seconds until what happens counts as told: since then / since a silent watch's time was over.
TOLD_AFTER, TOLD_AFTER_WAIT = 6.0, 2.0
# Seconds that a call is waited for, however large the fleet: the next one has to be answered in time too.
PATIENCE_MOST = 4.5
# Seconds between two tries, but for a service that has no room: connecting has its time as well.
APART_MOST = 4.0
AGAIN_WITHIN = (
    0.25  # seconds between a silence and the next call: what was missed is nearly told by then
)
WATCH_PATIENCE = (
    0.75  # seconds that an answer may be late after a watch's time: a part of ``TOLD_AFTER_WAIT``
)
ONE_TURN = 0.01  # seconds in which the loop reads once more, before an answer that may lie unread is given up
# Seconds that a service may take for an answer before it is asked anew: a call that is given up sooner is behind all
# others in its queue when it comes again.
ANSWER_WITHIN = 2.0
SLOW, QUICK = 0.5, 0.1  # seconds: an answer that took longer, or less, tells of the service's load
BACK_OFF, BACK_OFF_LEAST = (
    0.05,
    1.0,
)  # seconds: span of the first draw / of the last one, however small the fleet
RETRY_AFTER_MOST = 120.0  # seconds that a service may ask for
WAIT, WAIT_MOST = 2.0, 30.0  # seconds that a watch lasts: a silent agent is noticed only after that
CONFIRM = 60.0  # seconds after the start, and as long a draw besides, until the whole list is asked for once
NEW = 2.0  # times as long waits who has no clients yet


@dataclass(frozen=True, slots=True)
class PollRequest:
    """One question: what is newer than a version (None: the whole list), waiting for it; its answer is due within."""

    version: int | None
    wait: float
    within: float


class PollSchedule:
    """One gateway's watch: what it knows, what is out, when it does the next thing.

    It is told what happens (``connected``, ``answered``, ``refused``, ``lost``) and asked for what to do when
    ``next_at`` has come: connect, or give the connection up.
    """

    def __init__(
        self,
        gateways: int,
        draw: random.Random,
        version: int | None = None,
        ask_within: float = 0.0,
        wait: float | None = None,
        answer_within: float = ANSWER_WITHIN,
        has_clients: Callable[[], bool] = lambda: True,
        pushed: bool = False,
        grace: float = 1.0,
    ) -> None:
        """``pushed``: by an agent of our own machine; ``grace``: seconds from hearing of a drain until it binds."""
        self.gateways, self.random, self.ask_within = max(1, gateways), draw, ask_within
        self.pushed, self.grace = pushed, grace
        self.answer_within, self.has_clients = answer_within, has_clients
        self.wait = (
            wait if wait is not None else min(WAIT_MOST, max(WAIT, self.load(CHANGES) / WATCH_USE))
        )
        self.version = version  # of the list that was heard last; None: there is none
        self.pace = 1.0
        self.failures = 0  # in a row
        self.out: PollRequest | None = None
        self.asked_at = 0.0
        self.connecting = False
        self.next_call: PollRequest | None = (
            None  # for the next connection, where the last one was closed in good order
        )
        self.last_look = False  # what is out is late; it may have been answered in this very turn
        self.gave_up = False  # the connection that is to be lost next was silent
        self.connect_at: float | None = None
        self.silent_at: float | None = None  # the answer that is out is not waited for any longer
        self.current_at = 0.0  # when the list was last known to be current
        self.confirm_at: float | None = None

    @property
    def told_after(self) -> float:
        """Seconds after which a change counts as told to who did not hear of it, where lists are asked for."""
        return min(TOLD_AFTER, self.ask_within) if self.ask_within else TOLD_AFTER

    # -- spans ------------------------------------------------------------------------------------------------

    def load(self, cost: float) -> float:
        """Seconds that a call of every gateway keeps the service's worker busy; an agent of our own has no other."""
        return 0.0 if self.pushed else self.gateways * cost

    @property
    def connect_within(self) -> float:
        """Seconds in which a connection has to come up."""
        return min(1.0, self.grace / 2) if self.pushed else 1.0

    def _apart(self, span: float) -> float:
        """A span between two tries, as far as the told clock leaves it."""
        return min(span, self.grace / 4 if self.pushed else APART_MOST)

    def first(self) -> float:
        """Over which the first calls are drawn."""
        load = self.load(WHOLE if self.version is None else CHANGES)
        span = max(0.0, load - QUEUE) / USE
        if self.version is None:  # with nothing known nothing wrong can be sent
            return span
        return self._apart(span)

    def after_loss(self) -> float:
        """Over which the next try is drawn when a connection, or the service, has failed."""
        least, most = (self.pace * self.load(cost) / USE for cost in (CHANGES, WHOLE))
        least, most = max(BACK_OFF, least), max(BACK_OFF_LEAST, most)
        span = self._apart(min(most, least * 2 ** min(16, self.failures)) * self._newcomer())
        return (
            min(span, AGAIN_WITHIN) if self.gave_up else span
        )  # a silence has used up most of its time

    def after_refusal(self, now: float) -> float:
        """Over which the next try is drawn when the service has no room; what it turns away costs it too."""
        least = max(BACK_OFF_LEAST, self.pace * self.load(CHANGES) / USE)
        left = self.current_at + self.told_after + self.grace - now
        return self._apart(max(least, abs(left) / 2))

    def _newcomer(self) -> float:
        return 1.0 if self.has_clients() else NEW

    def _draw(self, span: float) -> float:
        return span * (1 - self.random.random())

    # -- what happens -----------------------------------------------------------------------------------------

    def begin(self, now: float, at_once: bool = False) -> None:
        """Start, or start anew elsewhere."""
        self.failures = 0
        self.pace, self.current_at = 1.0, now
        self._over()
        self.gave_up, self.next_call = False, None
        self.connect_at = now if at_once else now + self._draw(self.first())
        self.confirm_at = now + CONFIRM + self._draw(max(CONFIRM, self.load(WHOLE) / WATCH_USE))

    def move(self, now: float) -> None:
        """Another service: what the old one counted means nothing there."""
        self.version = None
        self.begin(now, at_once=True)

    def next_at(self) -> float | None:
        """When ``due`` is to be called, at the latest."""
        times = [at for at in (self.connect_at, self.silent_at) if at is not None]
        return min(times) if times else None

    def due(self, now: float) -> str:
        """What to do now: ``connect``, ``abort`` (a silent connection; ``lost`` is to follow) or nothing."""
        if self.silent_at is not None and now >= self.silent_at:
            if (
                not self.last_look
            ):  # guards an answer that came while the process stood still: it is read first
                self.last_look, self.silent_at = True, now + ONE_TURN
                return ""
            self.silent_at, self.gave_up = None, True
            return "abort"
        if self.connect_at is not None and now >= self.connect_at:
            self.connect_at, self.connecting = None, True
            return "connect"
        return ""

    def connected(self, now: float) -> PollRequest:
        """A new connection: what changed since is not known; no waiting before the first answer."""
        self.connecting = False
        call, self.next_call = self.next_call, None
        return self._ask(now, call or PollRequest(self.version, 0.0, self._patience()))

    def answered(self, now: float, version: int, closes: bool = False) -> PollRequest | None:
        """An answer has come and was taken in; the next call, which is to go out at once.

        None where the service ``closes`` the connection behind its answer, as HTTP allows: the call goes out on the
        next one, at once, and waits as it would have here.
        """
        if self.out is not None:
            took = now - self.asked_at
            if not self.out.wait and took > SLOW:
                self.pace = min(PACE_MOST, 2 * self.pace)
            elif took < QUICK:
                self.pace = max(1.0, self.pace / 2)
        self.failures, self.current_at = 0, now
        whole = self.out is None or self.out.version is None
        if whole:
            self.confirm_at = None
        anew = not whole and version < (
            self.version or 0
        )  # a registry that counts from the beginning
        self.version = None if anew else version
        if anew or (self.confirm_at is not None and now >= self.confirm_at):
            call = PollRequest(None, 0.0, self._patience())
        else:
            call = PollRequest(version, self.wait, self.wait + WATCH_PATIENCE)
        if not closes:
            return self._ask(now, call)
        self._over()
        self.next_call, self.connect_at = call, now
        return None

    def refused(self, now: float, retry_after: float = 0.0) -> None:
        """The service has no room (503); the connection is to be closed."""
        self._over()
        self.next_call = None
        span = self.after_refusal(now)
        self.connect_at = now + min(RETRY_AFTER_MOST, max(0.0, retry_after)) + self._draw(span)

    def lost(self, now: float) -> None:
        """The connection ended, never came up, or was given up."""
        if self.connect_at is not None and not self.connecting:  # refused, or closed in good order
            return
        at_work = (
            self.out is not None and not self.out.wait
        )  # a watch's silence tells nothing of its load
        if self.out is not None and self.out.wait and not self.gave_up:
            self.current_at = now  # a watch that was heard to break had told all up to then
        self._over()
        self.next_call = None
        if self.gave_up and at_work:
            self.pace = min(PACE_MOST, 2 * self.pace)
        span = self.after_loss()
        self.gave_up = False
        self.failures += 1
        self.connect_at = now + self._draw(span)

    def _patience(self) -> float:
        """For an answer that need not wait. Giving a call up makes its work vain: the queue of the whole fleet, and a
        slow service, are waited for, as far as the told clock leaves it; an agent of our own machine has neither."""
        if self.pushed:
            return min(self.answer_within, self.grace / 2)
        return min(PATIENCE_MOST, max(self.answer_within * self.pace, self.load(WHOLE)))

    def _ask(self, now: float, call: PollRequest) -> PollRequest:
        self.out, self.asked_at, self.silent_at, self.last_look = (
            call,
            now,
            now + call.within,
            False,
        )
        return call

    def _over(self) -> None:
        self.out, self.silent_at, self.connecting, self.last_look = None, None, False, False
