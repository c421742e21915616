"""Bounds and spans of polls, and the two constraints from which they follow. All in seconds.

Two constraints bind every span.

*The notification deadline* goes first: a change counts as notified at a certain moment whether or
not the gateway received it, and from ``drain_grace_s`` later on no new request may go to an
endpoint that drains. Where lists are pushed (``pushed``), discovery's address is an agent on the
gateway's own machine that answers at once, at no cost, and what it has counts as notified in that
moment. So a poll is always in flight, or is again soon: with R for the random delay before a new
connection and P for the answer timeout,

    P + R  =  grace / 2 + grace / 4  <  grace,

also while the agent is silent, as it may be back at any moment.

A watch (a long poll) of ``watch_s`` seconds that falls silent delivers nothing until ``watch_s`` is
over; what it misses counts as notified ``WATCH_NOTIFICATION_DEADLINE_S`` after that, or
``NOTIFICATION_DEADLINE_S`` after it fell silent, if that is later. Detected, delayed and answered:

    watch_s + WATCH_MARGIN_S + R + answer  <=  watch_s + WATCH_NOTIFICATION_DEADLINE_S + grace.

Where lists are polled, the service is remote and one for all gateways, what happens counts as
notified ``NOTIFICATION_DEADLINE_S`` later, and the spans below are cut where they would pass that.
After a silence and after a connection that failed:

    MAX_ANSWER_TIMEOUT_S + MAX_SPAN_AFTER_SILENCE_S + answer  <=  NOTIFICATION_DEADLINE_S + grace,
    CONNECT_TIMEOUT_S + MAX_RETRY_SPAN_S + answer             <=  NOTIFICATION_DEADLINE_S + grace.

The same deadline holds after a rejection (503). A service that rejects all polls for that long
can't notify in time; one that has capacity again is polled within ``MAX_RETRY_SPAN_S`` at the
latest.

*The load on the service* comes second. With G gateways, a poll that costs the service c seconds of
its worker, and polls drawn evenly over a span S, the worker is busy for G c / S of the time. Every
span here is that equation solved for S,

    S = load_factor * G * c / TARGET_UTILISATION,

with c = ``FULL_FETCH_COST_S`` or ``DELTA_COST_S``: estimates for a service that nobody has measured
yet. ``load_factor`` (1 to ``MAX_LOAD_FACTOR``) corrects them by what is observed of polls that
don't watch: an answer that took longer than ``SLOW_ANSWER_S`` doubles it, and so does an answer
that did not come in time; an answer quicker than ``QUICK_ANSWER_S``, to any poll, halves it. A
rejection leaves it as it is. So spans grow with the fleet and with the slowness of the service, up
to what the notification deadline leaves; for three gateways all of them are negligible.

- *First poll.* Only changes since the list that is known already, since that is cheap. The queue
  that all gateways make by polling in one moment, G c, does no harm while it is shorter than the
  service lets polls wait: a gateway delays by a draw of what it is longer (``first_poll_span``). So
  one that starts alone among 200 polls within 0.7 s, among 100 at once.
- *After a lost connection*: backoff, a draw of S for changes, doubled with each failure up to S for
  full fetches; twice that for a gateway that has served no client yet.
- *After a rejection* (503): a draw of half of what the notification deadline leaves since the list
  was last known to be current, so that there are several attempts before it binds, or of half of
  the time since it expired; of S for changes or a second at the least; after ``Retry-After`` at the
  earliest.
- *Watches* last long enough for answers without changes to use ``WATCH_UTILISATION`` of the worker
  at most.
- *One full fetch* some time after a start that only polled for changes, in case a registry began to
  count anew and has passed the version that this gateway knew.
"""

from __future__ import annotations

# Time of the service's worker that a poll is assumed to cost.
FULL_FETCH_COST_S = 0.025
DELTA_COST_S = 0.005
# Shares of the worker's time: for polls of gateways that start, and for watches without changes.
TARGET_UTILISATION = 0.8
WATCH_UTILISATION = 0.1
# Queue at the service that a start of all gateways may make.
MAX_START_QUEUE_S = 0.5
MAX_LOAD_FACTOR = 8.0
# Until a change counts as notified: since it happened, and since the end of a silent watch.
NOTIFICATION_DEADLINE_S = 6.0
WATCH_NOTIFICATION_DEADLINE_S = 2.0
# Bound of the answer timeout, however large the fleet: the next poll has to be answered before the
# deadline too.
MAX_ANSWER_TIMEOUT_S = 4.5
# Bound of the span between two attempts: connecting needs its time as well.
MAX_RETRY_SPAN_S = 4.0
# The same after a silence: what was missed counts as notified soon after.
MAX_SPAN_AFTER_SILENCE_S = 0.25
# How late an answer may be after a watch's time: a part of ``WATCH_NOTIFICATION_DEADLINE_S``.
WATCH_MARGIN_S = 0.75
# Time for the event loop to read once more before a poll whose answer may lie unread is abandoned.
FINAL_READ_S = 0.01
# Answer timeout of a small fleet. A poll that is abandoned sooner is behind all others in the
# service's queue when it is sent again.
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Answers that took longer, or less, tell of the service's load.
SLOW_ANSWER_S = 0.5
QUICK_ANSWER_S = 0.1
# Backoff after a lost connection, however small the fleet: span of the first draw, and the least
# bound that doubling ends at.
MIN_BACKOFF_S = 0.05
MIN_BACKOFF_BOUND_S = 1.0
# Span of the draw after a rejection, however small the fleet.
MIN_REJECTION_SPAN_S = 1.0
# Doublings of the backoff that are counted; it is bounded long before.
MAX_DOUBLINGS = 16
# ``Retry-After`` that is honoured.
MAX_RETRY_AFTER_S = 120.0
# Length of a watch: a silent agent is detected only after that.
MIN_WATCH_S = 2.0
MAX_WATCH_S = 30.0
# From the start to the one full fetch, and the least span of the draw that is added.
FULL_FETCH_DELAY_S = 60.0
# A gateway without clients waits so many times as long.
NO_CLIENTS_FACTOR = 2.0
