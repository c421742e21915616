"""The schedule of the tasks under held leases: when and how often each one runs.

No I/O: time is passed in, actions are returned. A task runs in turns: turn ``k`` is due at Unix
time ``k * period + offset``, the same on every gateway. The holder reports the progress of the last
turn to the voters, and the next holder receives it with its grant. A task has one of two
guarantees:

``at-least``: a turn runs unless its end is known, so a turn whose end was not reported runs again.
``at-most``: a turn starts only after a majority of the voters has stored its start, and never
twice. If the memory of a voter in the granting majority began only after the turn was due, the turn
may have started and been forgotten, so it is skipped.

The wall clock only says which turn is due. If a gateway's wall clock is behind the last known turn,
the gateway continues from that turn and counts periods on its monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from .messages import TaskProgress, TurnState
from .spec import TaskSpec
from .timing import SECOND_US

# Difference between gateways' wall clocks up to which ``at-most`` is guaranteed.
MAX_WALL_CLOCK_SKEW_US = 2 * SECOND_US
MIN_RETRY_WAIT_US = SECOND_US // 2
MAX_RETRY_WAIT_US = 60 * SECOND_US


class CallOutcome(Enum):
    """How a task's call ended; the values are names in /admin/leases and /admin/stats."""

    DONE = "done"
    # It had no effect, or the receiver answered that it failed.
    FAILED = "failed"
    # It may have had an effect.
    UNKNOWN = "unknown"
    # The receiver has seen a higher fencing token.
    FENCED_OFF = "outrun"
    # Too little of the lease was left to start it.
    LATE = "late"


@dataclass(frozen=True, slots=True)
class TaskCall:
    """Action: call the task's receiver now, under this fencing token."""

    task: str
    lease: str
    turn: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class SendReport:
    """Action: report progress; ``progress_confirmed`` is called when a majority has stored it."""

    lease: str
    progress: tuple[TaskProgress, ...]


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Action: cancel a running call, as its lease is lost."""

    task: str


ScheduleAction = TaskCall | SendReport | CancelCall


class TaskPhase(Enum):
    """What a task under a held lease waits for; the values are shown by /admin/leases."""

    WAITING = "waiting"
    # For a majority to store the start of a turn.
    RECORDING_START = "noting"
    RUNNING = "running"
    # For a majority to store how a turn ended.
    RECORDING_END = "ending"


@dataclass(slots=True)
class ScheduledTask:
    """One task under a lease that this gateway holds."""

    spec: TaskSpec
    lease: str
    fencing_token: int
    # Since when the voters' memory is complete, in Unix us; 0 once a turn has ended under this
    # grant.
    memory_since_us: int
    last_progress: TaskProgress | None
    phase: TaskPhase = TaskPhase.WAITING
    turn: int = 0
    # When to check it again, by this gateway's clock.
    next_check_us: int = 0
    attempts: int = 0
    unconfirmed: TaskProgress | None = None
    clock_behind: bool = False


class TaskSchedule:
    """All tasks of the leases that this gateway holds."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.tasks: dict[str, ScheduledTask] = {}
        # Tasks whose running call may finish after their lease was lost.
        self.finishing: dict[str, ScheduledTask] = {}
        # Names in /admin/stats.
        names = (
            "begun",
            "done",
            "failed",
            "unknown",
            "outrun",
            "late",
            "missed",
            "left_out",
            "clock_behind",
        )
        self.counters = dict.fromkeys(names, 0)

    # -- leases ------------------------------------------------------------------------------------

    def lease_gained(
        self,
        now: int,
        lease: str,
        fencing_token: int,
        specs: Iterable[TaskSpec],
        progress: dict[bytes, TaskProgress],
        memory_since_us: int,
    ) -> None:
        """Schedule the tasks of a lease that was gained."""
        for spec in specs:
            self.finishing.pop(spec.name, None)
            self.tasks[spec.name] = ScheduledTask(
                spec,
                lease,
                fencing_token,
                memory_since_us,
                progress.get(spec.task_id),
                next_check_us=now,
            )

    def lease_lost(self, lease: str) -> list[ScheduleAction]:
        """Remove the tasks of a lost lease; running calls are cancelled or may finish."""
        actions: list[ScheduleAction] = []
        for name in [name for name, task in self.tasks.items() if task.lease == lease]:
            task = self.tasks.pop(name)
            if task.phase is not TaskPhase.RUNNING:
                continue
            if task.spec.on_loss == "abandon":
                actions.append(CancelCall(name))
            else:
                self.finishing[name] = task
        return actions

    def replace_specs(self, now: int, specs: dict[str, list[TaskSpec]]) -> list[ScheduleAction]:
        """Replace the tasks, given by lease.

        A running call ends under its former specification.
        """
        actions: list[ScheduleAction] = []
        new_specs = {
            spec.name: (lease, spec) for lease, lease_specs in specs.items() for spec in lease_specs
        }
        for name, task in list(self.tasks.items()):
            lease, spec = new_specs.get(name, (None, task.spec))
            if lease != task.lease:
                if task.phase is TaskPhase.RUNNING:
                    actions.append(CancelCall(name))
                del self.tasks[name]
            elif spec != task.spec:
                task.spec = spec
                if task.phase is TaskPhase.WAITING:
                    task.next_check_us = now
        return actions

    def idle(self, lease: str) -> bool:
        """Return whether no task is in the middle of a turn, so that the lease may be released."""
        return all(
            task.phase is TaskPhase.WAITING for task in self.tasks.values() if task.lease == lease
        )

    # -- time --------------------------------------------------------------------------------------

    def next_at(self) -> int | None:
        """Return when ``due`` has to be called next; None if no task is waiting."""
        waiting = (
            task.next_check_us for task in self.tasks.values() if task.phase is TaskPhase.WAITING
        )
        return min(waiting, default=None)

    def due(self, now: int, wall: int, remaining_us: Callable[[str], int]) -> list[ScheduleAction]:
        """Start the due turns; ``remaining_us`` returns how much longer a lease is held."""
        actions: list[ScheduleAction] = []
        for task in self.tasks.values():
            if task.phase is TaskPhase.WAITING and task.next_check_us <= now:
                actions += self._check(now, wall, task, remaining_us(task.lease))
        return actions

    def _check(
        self, now: int, wall: int, task: ScheduledTask, remaining_us: int
    ) -> list[ScheduleAction]:
        spec = task.spec
        turn = self._turn_to_run(now, wall, task)
        if turn is None:
            return []
        if self._may_be_forgotten(task, turn):
            self.counters["left_out"] += 1
            task.next_check_us = now + max(1, spec.due_at(turn + 1) - wall)
            return []
        if remaining_us <= spec.max_call_us:
            self.counters["late"] += 1
            task.next_check_us = now + MIN_RETRY_WAIT_US
            return []
        last = task.last_progress
        if last is not None and turn > last.turn + 1:
            self.counters["missed"] += turn - last.turn - 1
        if task.turn != turn:
            task.attempts = 0
        task.turn = turn
        if spec.delivery == "at-most":
            return [self._report(task, TaskPhase.RECORDING_START, TurnState.STARTED)]
        return [self._run(task)]

    def _turn_to_run(self, now: int, wall: int, task: ScheduledTask) -> int | None:
        """Return the turn to run now, or None after setting when to check again."""
        spec, last = task.spec, task.last_progress
        turn = spec.turn_at(wall)
        task.clock_behind = False
        if last is None or last.turn < turn:
            return turn
        if last.turn == turn:
            if spec.delivery == "at-least" and last.state == TurnState.STARTED:
                # The turn has started, and its end is not known.
                return turn
            task.next_check_us = now + max(1, spec.due_at(turn + 1) - wall)
            return None
        # Our clock is behind that of the gateway that ran the last turn: continue from that turn.
        task.clock_behind = True
        self.counters["clock_behind"] += 1
        if task.turn != last.turn + 1:
            task.turn, task.next_check_us = last.turn + 1, now + spec.period_us
            return None
        return task.turn

    @staticmethod
    def _may_be_forgotten(task: ScheduledTask, turn: int) -> bool:
        """Return whether an at-most turn may have started before the voters' memory began."""
        if task.spec.delivery != "at-most" or not task.memory_since_us or task.clock_behind:
            return False
        return task.spec.due_at(turn) < task.memory_since_us + MAX_WALL_CLOCK_SKEW_US

    def _report(self, task: ScheduledTask, phase: TaskPhase, state: TurnState) -> SendReport:
        task.phase = phase
        task.unconfirmed = TaskProgress(
            task.spec.task_id, task.turn, task.fencing_token, int(state)
        )
        return SendReport(task.lease, (task.unconfirmed,))

    def _run(self, task: ScheduledTask) -> TaskCall:
        task.phase = TaskPhase.RUNNING
        task.attempts += 1
        self.counters["begun"] += 1
        return TaskCall(task.spec.name, task.lease, task.turn, task.fencing_token)

    # -- results -----------------------------------------------------------------------------------

    def progress_confirmed(
        self,
        now: int,
        lease: str,
        confirmed: Iterable[TaskProgress],
        remaining_us: Callable[[str], int],
    ) -> list[ScheduleAction]:
        """Continue the tasks whose progress a majority has stored."""
        actions: list[ScheduleAction] = []
        stored = set(confirmed)
        for task in self.tasks.values():
            if task.lease != lease or task.unconfirmed not in stored:
                continue
            task.last_progress, task.unconfirmed = task.unconfirmed, None
            if task.phase is TaskPhase.RECORDING_START:
                if remaining_us(lease) > task.spec.max_call_us:
                    actions.append(self._run(task))
                    continue
                # The start is stored, so an at-most turn is not tried again.
                self.counters["late"] += 1
            task.phase, task.next_check_us = TaskPhase.WAITING, now
        return actions

    def call_finished(
        self, now: int, wall: int, name: str, turn: int, outcome: CallOutcome
    ) -> list[ScheduleAction]:
        """Handle the end of a call: schedule a retry, or report how the turn ended."""
        self.counters[outcome.value] += 1
        task = self.tasks.get(name)
        if task is None or task.phase is not TaskPhase.RUNNING or task.turn != turn:
            return self._finished_without_lease(name, turn, outcome)
        if outcome is CallOutcome.DONE:
            task.memory_since_us = 0
            return [self._report(task, TaskPhase.RECORDING_END, TurnState.DONE)]
        if self._may_retry(wall, task, outcome):
            task.phase, task.next_check_us = TaskPhase.WAITING, now + self._retry_wait_us(task)
            return []
        task.memory_since_us = 0
        return [self._report(task, TaskPhase.RECORDING_END, TurnState.FAILED)]

    def _finished_without_lease(
        self, name: str, turn: int, outcome: CallOutcome
    ) -> list[ScheduleAction]:
        """Report a call that finished after its lease was lost, for the new holder to learn of."""
        task = self.finishing.pop(name, None)
        if task is None or outcome is not CallOutcome.DONE:
            return []
        progress = TaskProgress(task.spec.task_id, turn, task.fencing_token, int(TurnState.DONE))
        return [SendReport(task.lease, (progress,))]

    @staticmethod
    def _may_retry(wall: int, task: ScheduledTask, outcome: CallOutcome) -> bool:
        spec = task.spec
        turn_over = wall >= spec.due_at(task.turn + 1) and not task.clock_behind
        retried = spec.delivery == "at-least" and spec.retry
        return retried and not turn_over and outcome is not CallOutcome.FENCED_OFF

    @staticmethod
    def _retry_wait_us(task: ScheduledTask) -> int:
        backoff_us = MIN_RETRY_WAIT_US * 2 ** min(task.attempts, 20)
        quarter_us = max(MIN_RETRY_WAIT_US, task.spec.period_us // 4)
        return min(MAX_RETRY_WAIT_US, backoff_us, quarter_us)
