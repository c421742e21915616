"""Bounds and spans of polls, and the two constraints from which they follow. All in seconds.

A span is the range of a random delay. Two constraints apply to each of them.

*The notification deadline* takes precedence: a change counts as notified at a certain moment
whether or not the gateway received it, and from ``drain_grace_s`` after that moment no new request
may go to a draining endpoint. If lists are pushed (``pushed``), the discovery address is an agent
on the gateway's own machine. It answers at once and at no cost, and a change counts as notified as
soon as the agent has it. So a poll must always be in flight, or be sent again soon: with R for the
random delay before a new connection and P for the answer timeout,

    P + R  =  grace / 2 + grace / 4  <  grace,

also while the agent does not answer, because it may return at any moment.

A watch (a long poll) of ``watch_s`` seconds that goes silent is detected only when ``watch_s`` is
over. The changes that it missed count as notified ``WATCH_NOTIFICATION_DEADLINE_S`` after that, or
``NOTIFICATION_DEADLINE_S`` after the silence began, whichever is later. Within the grace after that
moment the silence has to be detected, R to pass, and the next poll to be answered:

    watch_s + WATCH_MARGIN_S + R + answer  <=  watch_s + WATCH_NOTIFICATION_DEADLINE_S + grace.

If lists are polled, one remote service serves all gateways, and a change counts as notified
``NOTIFICATION_DEADLINE_S`` after it happened. The spans below are limited to meet that deadline.
After a poll without an answer, and after a failed connection:

    MAX_ANSWER_TIMEOUT_S + MAX_SPAN_AFTER_SILENCE_S + answer  <=  NOTIFICATION_DEADLINE_S + grace,
    CONNECT_TIMEOUT_S + MAX_RETRY_SPAN_S + answer             <=  NOTIFICATION_DEADLINE_S + grace.

The same deadline applies after a rejection (503). If the service rejects all polls for that long,
the deadline can't be met; once the service has capacity again, it is polled within
``MAX_RETRY_SPAN_S``.

*The load on the service* comes second. If each of G gateways sends one poll, at a random time in a
span S, and a poll takes c seconds of the service's worker, the worker is busy for G c / S of the
time. Every span here is that equation solved for S,

    S = load_factor * G * c / TARGET_UTILISATION,

with c = ``FULL_FETCH_COST_S`` or ``DELTA_COST_S``, which are estimates. ``load_factor`` (1 to
``MAX_LOAD_FACTOR``) corrects them by the observed answers to polls that don't watch: an answer
slower than ``SLOW_ANSWER_S`` doubles it, and so does an answer that does not arrive in time; an
answer to any poll that is faster than ``QUICK_ANSWER_S`` halves it. A rejection does not change it.
So spans grow with the fleet and with the slowness of the service, up to the limits that the
notification deadline sets; for three gateways all of them are negligible.

- *The first poll* asks only for changes since the known list, which is cheap. If all gateways poll
  at the same moment, the queue at the service is G c long. That does no harm while it is shorter
  than the service lets polls wait, so the random delay covers only the excess
  (``first_poll_span``). A gateway that starts alone in a fleet of 200 polls within 0.7 s, in a
  fleet of 100 at once.
- *After a lost connection* there is a backoff: its span is S for changes, doubled with each failure
  up to S for full fetches; twice that for a gateway that has served no client yet.
- *After a rejection* (503) the span is half of the time that is left until changes since the list
  was last known to be current take effect, so that several attempts are made before, or half of
  the time since then; at least S for changes, and at least a second. The delay starts after
  ``Retry-After``.
- *Watches* last so long that answers without changes use at most ``WATCH_UTILISATION`` of the
  worker's time.
- *One full fetch* follows some time after a start that only polled for changes, in case the
  registry restarted its version count and has passed the version that this gateway knew.
"""

from __future__ import annotations

# Estimated time of the service's worker for one poll.
FULL_FETCH_COST_S = 0.025
DELTA_COST_S = 0.005
# Shares of the worker's time: for first polls and retries, and for watches without changes.
TARGET_UTILISATION = 0.8
WATCH_UTILISATION = 0.1
# Queue at the service, in time of its worker, that a start of all gateways may cause.
MAX_START_QUEUE_S = 0.5
MAX_LOAD_FACTOR = 8.0
# Time until a change counts as notified: after it happened, and after the end of a silent watch.
NOTIFICATION_DEADLINE_S = 6.0
WATCH_NOTIFICATION_DEADLINE_S = 2.0
# Maximum answer timeout, however large the fleet: after it, the next poll has to be answered before
# the notification deadline.
MAX_ANSWER_TIMEOUT_S = 4.5
# Maximum span between two attempts, as connecting takes up to ``CONNECT_TIMEOUT_S`` more.
MAX_RETRY_SPAN_S = 4.0
# Maximum span after a silent connection: what was missed counts as notified soon after.
MAX_SPAN_AFTER_SILENCE_S = 0.25
# How long after the end of a watch its answer is due: a part of ``WATCH_NOTIFICATION_DEADLINE_S``.
WATCH_MARGIN_S = 0.75
# Time for the event loop to read once more before a poll is abandoned: its answer may be unread.
FINAL_READ_S = 0.01
# Answer timeout in a small fleet. A poll that is abandoned too early is sent again at the end of
# the service's queue.
ANSWER_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Slower answers raise the load factor, quicker ones lower it.
SLOW_ANSWER_S = 0.5
QUICK_ANSWER_S = 0.1
# Backoff after a lost connection, however small the fleet: minimum of the first span, and of the
# span at which doubling ends.
MIN_BACKOFF_S = 0.05
MIN_BACKOFF_BOUND_S = 1.0
# Minimum span after a rejection, however small the fleet.
MIN_REJECTION_SPAN_S = 1.0
# Doublings of the backoff that are counted; it reaches its maximum long before.
MAX_DOUBLINGS = 16
# Longest ``Retry-After`` that is honoured.
MAX_RETRY_AFTER_S = 120.0
# Length of a watch: a silent agent is detected only after that.
MIN_WATCH_S = 2.0
MAX_WATCH_S = 30.0
# Time from the start to the one full fetch, and the minimum span of the delay that is added.
FULL_FETCH_DELAY_S = 60.0
# Factor of the backoff for a gateway that has served no client yet.
NO_CLIENTS_FACTOR = 2.0
