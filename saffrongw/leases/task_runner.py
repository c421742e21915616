"""Runs the calls of tasks, a bounded number at once, and stores the last result of each task."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from .claim import FencingToken
from .table import TaskTable
from .task_client import CallResult, post
from .task_schedule import CallOutcome, TaskCall
from .timing import SECOND_US

log = logging.getLogger(__name__)

# Queue length from which further calls are counted in ``leases.queue_full``; they are still queued.
MAX_QUEUED_CALLS = 4_096
MAX_RESULTS = 4_096


@dataclass(frozen=True, slots=True)
class TurnResult:
    """How this gateway's last call of a task ended."""

    turn: int
    result: CallResult


class TaskRunner:
    """The running and the queued calls; ``on_end`` gets None for a cancelled call's result."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        holder: str,
        token: Callable[[str], FencingToken | None],
        on_end: Callable[[TaskCall, CallResult | None], None],
    ) -> None:
        """Run calls on an event loop; ``configure`` sets the tasks."""
        self.loop = loop
        # Name and incarnation of this gateway, which receivers see in a header of each call.
        self.holder = holder
        self.token = token
        self.on_end = on_end
        self.tasks: dict[str, TaskTable] = {}
        self.max_in_flight = 0
        self.running: dict[str, asyncio.Task[CallResult]] = {}
        self.queue: deque[TaskCall] = deque()
        self.results: dict[str, TurnResult] = {}
        self.queue_full_count = 0

    def configure(self, tasks: Iterable[TaskTable], max_in_flight: int) -> None:
        """Set the tasks and the maximum number of running calls."""
        self.tasks = {task.name: task for task in tasks}
        self.max_in_flight = max_in_flight

    def enqueue(self, call: TaskCall) -> None:
        """Queue a call; calls beyond ``MAX_QUEUED_CALLS`` are also counted."""
        if len(self.queue) >= MAX_QUEUED_CALLS:
            self.queue_full_count += 1
        self.queue.append(call)

    def cancel(self, task: str) -> None:
        """Drop the queued calls of a task and cancel the running one."""
        self.queue = deque(call for call in self.queue if call.task != task)
        if running := self.running.get(task):
            running.cancel()

    def cancel_abandonable(self) -> None:
        """Cancel the running calls that must not outlive their lease."""
        for name, running in list(self.running.items()):
            table = self.tasks.get(name)
            if table is None or table.on_loss == "abandon":
                running.cancel()

    async def close(self) -> None:
        """Cancel all running calls and wait until they have ended."""
        for running in self.running.values():
            running.cancel()
        await asyncio.gather(*self.running.values(), return_exceptions=True)

    def start_next(self) -> None:
        """Start queued calls while there is capacity."""
        while self.queue and len(self.running) < self.max_in_flight:
            call = self.queue.popleft()
            if call.task in self.running:
                # A cancelled call of the task is still ending.
                self.queue.append(call)
                return
            running = self.loop.create_task(self._call(call))
            self.running[call.task] = running
            running.add_done_callback(partial(self._ended, call))

    async def _call(self, call: TaskCall) -> CallResult:
        table, token = self.tasks.get(call.task), self.token(call.lease)
        if table is None or token is None or token.number != call.fencing_token:
            detail = "the lease was lost before the call began"
            return CallResult(CallOutcome.LATE, detail=detail)
        timeout_s = table.needs_s
        if table.on_loss == "abandon":
            timeout_s = min(timeout_s, token.remaining_us() / SECOND_US)
        return await post(table.call, call, self.holder, token, timeout_s)

    def _ended(self, call: TaskCall, done: asyncio.Task[CallResult]) -> None:
        self.running.pop(call.task, None)
        result = None
        if not done.cancelled():
            result = self._result_of(call, done)
            self.results[call.task] = TurnResult(call.turn, result)
            while len(self.results) > MAX_RESULTS:
                del self.results[next(iter(self.results))]
        self.on_end(call, result)

    @staticmethod
    def _result_of(call: TaskCall, done: asyncio.Task[CallResult]) -> CallResult:
        if error := done.exception():
            text = "leases: task_call_raised: task=%s turn=%d"
            log.error(text, call.task, call.turn, exc_info=error)
            return CallResult(CallOutcome.UNKNOWN, detail=repr(error))
        return done.result()
