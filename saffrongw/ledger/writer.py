"""The ledger's one thread: batches of what waits, one commit for each, callbacks on the loop when it is on the disk.

No timer delays a lone request: the thread commits what there is as soon as it is free. What comes meanwhile makes the
next batch.
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

from .entries import Event
from .store import Store, StoreError, now_us

log = logging.getLogger(__name__)

BATCH_MOST = 512
AGAIN = 1.0  # seconds between two tries to open a store that failed
LATER_MOST = 20_000  # records that may follow and wait for a disk that is away
LOOK = 1.0  # seconds between two looks into the inbox
TRIM_EVERY, TRIM_NEXT = (
    60.0,
    1.0,
)  # seconds between two looks for what to forget, while there was some
Done = Callable[[bool], None]


class Writer:
    """``intend`` and ``follow`` from the loop; the store belongs to the thread."""

    def __init__(
        self, folder: Path, loop: asyncio.AbstractEventLoop, queue_most: int, keep: float, most: int
    ) -> None:
        self.store, self.loop, self.queue_most = Store(folder), loop, queue_most
        self.keep, self.most = keep, most  # seconds / bytes
        self.waiting: queue.SimpleQueue[tuple[Event, Done | None] | None] = queue.SimpleQueue()
        self.later: deque[Event] = deque(maxlen=LATER_MOST)
        self.pending = 0  # intents whose callbacks have not run yet; on the loop only
        self.up = False
        self.why = ""
        self.tried = threading.Event()  # the store was opened, or could not be
        self.life = 0
        self.commits = self.written = 0
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self._run, name="ledger", daemon=True)

    def start(self) -> None:
        """Begin; ``up`` tells when it can be written to."""
        self.thread.start()

    @property
    def ready(self) -> bool:
        """Whether an intent may be handed in now."""
        return self.up and self.pending < self.queue_most

    def intend(self, event: Event, done: Done) -> bool:
        """An intent: ``done`` hears on the loop whether it is on the disk. False: it was not taken."""
        if not self.ready:
            return False
        self.pending += 1
        self.waiting.put((event, done))
        return True

    def follow(self, event: Event) -> None:
        """A record that nobody waits for."""
        self.waiting.put((event, None))

    def stop(self, within: float = 2.0) -> None:
        """Write what waits, then end."""
        self.ending.set()
        self.waiting.put(None)
        self.thread.join(within)

    # -- the thread -------------------------------------------------------------------------------------------------

    def _run(self) -> None:
        trimmed = looked = time.monotonic()
        while not self.ending.is_set() or not self.waiting.empty():
            if not self.up and not self._open():
                # While the store is away nothing is held.
                self._failed(self._at_hand(self.waiting.qsize()))
                if self.ending.wait(AGAIN):
                    break
                continue
            batch = self._batch()
            if batch:
                self._commit(batch)
            if self.up and time.monotonic() - looked > LOOK:
                looked = time.monotonic()
                try:
                    self.store.take_inbox()
                except Exception as wrong:
                    self._down(wrong)
            if self.up and time.monotonic() - trimmed > TRIM_EVERY:
                trimmed = time.monotonic()
                try:
                    if self.store.trim(now_us() - int(self.keep * 1e6), self.most):
                        trimmed -= TRIM_EVERY - TRIM_NEXT  # there is more to forget: sooner again
                except Exception as wrong:
                    self._down(wrong)
        self.up = False
        self.store.close()

    def _open(self) -> bool:
        try:
            self.store.open()
        except StoreError as wrong:
            if str(wrong) != self.why:  # once for each cause
                log.error("ledger: unsafe requests are refused: %s", wrong)
            self.why = str(wrong)
            self.tried.set()
            return False
        if self.life:
            log.warning("ledger: open again, life %d", self.store.life)
        self.life = self.store.life
        self.up, self.why = True, ""
        self.tried.set()
        return True

    def _batch(self) -> list[tuple[Event, Done | None]]:
        try:
            first = self.waiting.get(timeout=LOOK)
        except queue.Empty:
            return []
        return ([] if first is None else [first]) + self._at_hand(BATCH_MOST - 1)

    def _at_hand(self, most: int) -> list[tuple[Event, Done | None]]:
        """Up to so many of what waits, without waiting."""
        found = []
        while len(found) < most:
            try:
                item = self.waiting.get_nowait()
            except queue.Empty:
                break
            if item is not None:
                found.append(item)
        return found

    def _commit(self, batch: list[tuple[Event, Done | None]]) -> None:
        late = [self.later.popleft() for _ in range(min(len(self.later), BATCH_MOST))]
        try:
            self.store.commit([*late, *(event for event, _ in batch)])
        except Exception as wrong:  # a disk that fails in any way: nothing of the batch counts
            self.later.extendleft(reversed(late))
            self._down(wrong)
            self._failed(batch)
            return
        self.commits += 1
        self.written += len(late) + len(batch)
        self._tell(batch, True)

    def _tell(self, batch: list[tuple[Event, Done | None]], good: bool) -> None:
        dones = [done for _, done in batch if done]
        if dones:
            with contextlib.suppress(RuntimeError):  # the loop has ended
                self.loop.call_soon_threadsafe(self._told, dones, good)

    def _told(self, dones: list[Done], good: bool) -> None:
        self.pending -= len(dones)
        for done in dones:
            try:
                done(good)
            except Exception:
                log.exception("ledger: a callback failed")

    def _down(self, wrong: Exception) -> None:
        self.up, self.why = False, str(wrong)
        self.store.close()
        log.error("ledger: unsafe requests are refused: %s", wrong)

    def _failed(self, batch: list[tuple[Event, Done | None]]) -> None:
        """What was not written: intents hear so, what may follow is kept for later."""
        self.later.extend(event for event, done in batch if done is None)
        self._tell(batch, False)
