"""The ledger's writer thread, which commits events in batches.

It calls back on the event loop once they are durable. No timer fills a batch: the thread commits
what is queued as soon as it is idle, and the events that arrive meanwhile are the next batch.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import queue
import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from .events import Event
from .schema import LedgerStoreError, now_us
from .store import LedgerStore

log = logging.getLogger(__name__)

# Events in one transaction.
MAX_BATCH = 512
# Between two attempts to open a store that failed.
REOPEN_INTERVAL_S = 1.0
# Events without a callback that are kept in memory while the store is unavailable.
MAX_DEFERRED = 20_000
# Between two looks into the inbox; also the longest wait for an event.
INBOX_INTERVAL_S = 1.0
# Between two trims; the shorter one after a trim that deleted entries.
TRIM_INTERVAL_S = 60.0
TRIM_MORE_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 2.0
US_PER_S = 1e6

# Called on the event loop with whether an event is durable.
DurableCallback = Callable[[bool], None]


class QueuedEvent(NamedTuple):
    """An event in the thread's queue; intents have a callback."""

    event: Event
    callback: DurableCallback | None


class LedgerWriter:
    """Queues events from the event loop for the thread, which alone uses the store.

    ``write_intent`` and ``record`` must be called on the event loop.
    """

    def __init__(
        self,
        folder: Path,
        loop: asyncio.AbstractEventLoop,
        max_pending: int,
        retention_s: float,
        max_bytes: int,
    ) -> None:
        """Prepare the thread; ``start`` starts it.

        ``max_pending`` bounds the intents that wait for the disk. Settled entries are deleted after
        ``retention_s``, and sooner while the file is larger than ``max_bytes``.
        """
        self.store = LedgerStore(folder)
        self.loop = loop
        self.max_pending = max_pending
        self.retention_s = retention_s
        self.max_bytes = max_bytes
        # None wakes the thread up to stop.
        self.queue: queue.SimpleQueue[QueuedEvent | None] = queue.SimpleQueue()
        # Events without a callback that could not be written yet; used by the thread alone.
        self.deferred: deque[Event] = deque(maxlen=MAX_DEFERRED)
        # Intents whose callbacks have not run yet; used on the event loop alone.
        self.pending = 0
        self.is_open = False
        # Why the store was last unavailable; empty while it is open.
        self.cause = ""
        # Set after the first attempt to open the store, successful or not.
        self.first_open_done = threading.Event()
        self.incarnation = 0
        self.commits = 0
        self.written = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, name="ledger", daemon=True)

    # -- on the event loop --

    def start(self) -> None:
        """Start the thread; ``is_open`` is set once the store can be written to."""
        self.thread.start()

    @property
    def is_ready(self) -> bool:
        """Whether an intent would be accepted now."""
        return self.is_open and self.pending < self.max_pending

    def write_intent(self, event: Event, callback: DurableCallback) -> bool:
        """Queue an intent, and call back when it is durable or failed.

        Returns False, without a callback, where the intent is not accepted.
        """
        if not self.is_ready:
            return False
        self.pending += 1
        self.queue.put(QueuedEvent(event, callback))
        return True

    def record(self, event: Event) -> None:
        """Queue an event without a callback."""
        self.queue.put(QueuedEvent(event, None))

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Write the queued events and stop the thread."""
        self.stopping.set()
        self.queue.put(None)
        self.thread.join(timeout_s)

    def _notify(self, callbacks: list[DurableCallback], is_durable: bool) -> None:
        self.pending -= len(callbacks)
        for callback in callbacks:
            try:
                callback(is_durable)
            except Exception:
                log.exception("ledger: callback failed")

    # -- in the thread --

    def _run(self) -> None:
        trimmed_at = inbox_at = time.monotonic()
        while not self.stopping.is_set() or not self.queue.empty():
            if not self.is_open and not self._open():
                # Intents must fail at once while the store is unavailable, not wait for it.
                self._fail(self._queued(self.queue.qsize()))
                if self.stopping.wait(REOPEN_INTERVAL_S):
                    break
                continue
            batch = self._next_batch()
            if batch:
                self._commit(batch)
            if self.is_open and time.monotonic() - inbox_at > INBOX_INTERVAL_S:
                inbox_at = time.monotonic()
                self._run_step(self._process_inbox)
            if self.is_open and time.monotonic() - trimmed_at > TRIM_INTERVAL_S:
                trimmed_at = time.monotonic()
                if self._run_step(self._trim):
                    # There may be more to delete, so the next trim comes sooner.
                    trimmed_at -= TRIM_INTERVAL_S - TRIM_MORE_INTERVAL_S
        self.is_open = False
        self.store.close()

    def _open(self) -> bool:
        try:
            self.store.open()
        except LedgerStoreError as error:
            # Logged once for each cause.
            if str(error) != self.cause:
                self._log_unavailable(error)
            self.cause = str(error)
            self.first_open_done.set()
            return False
        if self.incarnation:
            log.warning("ledger: reopened: incarnation=%d", self.store.incarnation)
        self.incarnation = self.store.incarnation
        self.is_open = True
        self.cause = ""
        self.first_open_done.set()
        return True

    def _run_step(self, step: Callable[[], bool]) -> bool:
        """Run a step that uses the store; a failure closes the store, not the thread."""
        try:
            return step()
        except Exception as error:  # noqa: BLE001  a disk may fail in any way
            self._close_failed(error)
            return False

    def _close_failed(self, error: Exception) -> None:
        self.is_open = False
        self.cause = str(error)
        self.store.close()
        self._log_unavailable(error)

    def _log_unavailable(self, error: Exception) -> None:
        log.error("ledger: unavailable, non-idempotent requests rejected: cause=%s", error)

    def _process_inbox(self) -> bool:
        return self.store.process_inbox() > 0

    def _trim(self) -> bool:
        before_us = now_us() - int(self.retention_s * US_PER_S)
        return self.store.trim(before_us, self.max_bytes) > 0

    def _next_batch(self) -> list[QueuedEvent]:
        """Wait for an event, up to ``INBOX_INTERVAL_S``; return it and those queued behind it."""
        try:
            first = self.queue.get(timeout=INBOX_INTERVAL_S)
        except queue.Empty:
            return []
        return ([] if first is None else [first]) + self._queued(MAX_BATCH - 1)

    def _queued(self, max_count: int) -> list[QueuedEvent]:
        """Return queued events without waiting."""
        found: list[QueuedEvent] = []
        while len(found) < max_count:
            try:
                queued = self.queue.get_nowait()
            except queue.Empty:
                break
            if queued is not None:
                found.append(queued)
        return found

    def _commit(self, batch: list[QueuedEvent]) -> None:
        """Write the deferred events and then a batch; if that fails, none of them is written."""
        deferred_count = min(len(self.deferred), MAX_BATCH)
        deferred = [self.deferred.popleft() for _ in range(deferred_count)]
        events = [*deferred, *(queued.event for queued in batch)]

        def write() -> bool:
            self.store.commit(events)
            return True

        if not self._run_step(write):
            self.deferred.extendleft(reversed(deferred))
            self._fail(batch)
            return
        self.commits += 1
        self.written += len(events)
        self._call_back(batch, True)

    def _fail(self, batch: list[QueuedEvent]) -> None:
        """Report the intents as not durable, and defer the events without a callback."""
        self.deferred.extend(queued.event for queued in batch if queued.callback is None)
        self._call_back(batch, False)

    def _call_back(self, batch: list[QueuedEvent], is_durable: bool) -> None:
        callbacks = [queued.callback for queued in batch if queued.callback]
        if callbacks:
            # The event loop may be closed already.
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(self._notify, callbacks, is_durable)
