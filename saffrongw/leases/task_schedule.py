"""When the tasks of held leases are done, and how often. Pure: times passed in, what is to be done handed out.

A task has turns: turn ``k`` is due at Unix time ``k * every + offset``, the same on every gateway. What became of the
last turn is told to the voters and comes with the next grant. Two promises:

``at-least``: a turn that nobody is known to have finished is done, so one whose end was not heard is done again.
``at-most``: a turn is begun only after a majority of the voters has noted that it is, and never twice. Where a voter
that was asked has a memory younger than the turn, the turn may have been begun and forgotten: it is left out.

The wall clock says which turn it is and nothing else. On a gateway whose clock is behind the last turn that is known,
turns go on from there by its own clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from .messages import Note, State
from .spec import SECOND, LeaseSpec

SKEW = 2 * SECOND  # by which wall clocks may differ without harm to ``at-most``
RETRY_LEAST, RETRY_MOST = SECOND // 2, 60 * SECOND


class Outcome(Enum):
    """How a call of a task ended."""

    DONE = "done"
    FAILED = "failed"  # refused or wrong: it had no effect, or the receiver says so
    UNKNOWN = "unknown"  # it may have had one
    OUTRUN = "outrun"  # the receiver has seen a higher number
    LATE = "late"  # too little was left of the lease when it was to begin


@dataclass(frozen=True, slots=True)
class Call:
    """Do it now, under this number."""

    task: str
    lease: str
    turn: int
    number: int


@dataclass(frozen=True, slots=True)
class Say:
    """Tell the voters; ``confirmed`` is told when a majority has noted it."""

    lease: str
    notes: tuple[Note, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """The lease under a call is lost."""

    task: str


Do = Call | Say | Cancel


class Phase(Enum):
    """What a task that is ours waits for."""

    WAITING = 0
    NOTING = 1  # that a turn begins
    RUNNING = 2
    ENDING = 3  # that its end is noted


@dataclass(slots=True)
class Task:
    """One task under a lease that we hold."""

    spec: LeaseSpec
    lease: str
    number: int
    known_from: int
    last: Note | None
    phase: Phase = Phase.WAITING
    turn: int = 0
    at: int = 0  # our clock: when to look again
    tries: int = 0
    note: Note | None = None
    behind: bool = False


class TaskSchedule:
    """All tasks of the leases that this gateway holds."""

    def __init__(self) -> None:
        self.tasks: dict[str, Task] = {}
        self.strays: dict[str, Task] = {}  # calls that are let finish though their lease is lost
        self.last: dict[str, tuple[int, str]] = {}  # by task: turn and end that we saw ourselves
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
        self.counts = dict.fromkeys(names, 0)

    # -- leases ----------------------------------------------------------------------------------------------------

    def gained(
        self,
        now: int,
        wall: int,
        lease: str,
        number: int,
        specs: Iterable[LeaseSpec],
        notes: dict[bytes, Note],
        known_from: int,
    ) -> None:
        """A lease is ours, with these tasks."""
        for spec in specs:
            self.strays.pop(spec.name, None)
            self.tasks[spec.name] = Task(
                spec, lease, number, known_from, notes.get(spec.id), at=now
            )

    def lost(self, lease: str) -> list[Do]:
        """It is ours no more."""
        todo: list[Do] = []
        for name in [name for name, task in self.tasks.items() if task.lease == lease]:
            task = self.tasks.pop(name)
            if task.phase is Phase.RUNNING:
                if task.spec.on_loss == "abandon":
                    todo.append(Cancel(name))
                else:
                    self.strays[name] = task
        return todo

    def change(self, now: int, specs: dict[str, list[LeaseSpec]]) -> list[Do]:
        """Other tasks, by lease; what is running ends by the old form."""
        todo: list[Do] = []
        wanted = {spec.name: (lease, spec) for lease, some in specs.items() for spec in some}
        for name, task in list(self.tasks.items()):
            found = wanted.pop(name, None)
            if found is None or found[0] != task.lease:
                if task.phase is Phase.RUNNING:
                    todo.append(Cancel(name))
                del self.tasks[name]
            elif found[1] != task.spec:
                task.spec = found[1]
                if task.phase is Phase.WAITING:
                    task.at = now
        return todo

    def idle(self, lease: str) -> bool:
        """Whether nothing is in the middle under it: it may be given back."""
        return all(t.phase is Phase.WAITING for t in self.tasks.values() if t.lease == lease)

    # -- time ------------------------------------------------------------------------------------------------------

    def next_at(self) -> int | None:
        """When ``due`` has something to do."""
        return min((t.at for t in self.tasks.values() if t.phase is Phase.WAITING), default=None)

    def due(self, now: int, wall: int, left: Callable[[str], int]) -> list[Do]:
        """Turns whose time has come; ``left`` tells how many us are left of a lease."""
        todo: list[Do] = []
        for task in self.tasks.values():
            if task.phase is Phase.WAITING and task.at <= now:
                todo += self._look(now, wall, task, left(task.lease))
        return todo

    def _look(self, now: int, wall: int, task: Task, left: int) -> list[Do]:
        spec, last = task.spec, task.last
        turn = spec.turn_at(wall)
        task.behind = False
        if last is not None and last.turn >= turn:
            if last.turn > turn:
                # Our clock is behind whoever did that one: turns go on from there, by our own clock.
                task.behind = True
                self.counts["clock_behind"] += 1
                if task.turn != last.turn + 1:
                    task.turn, task.at = last.turn + 1, now + spec.every
                    return []
                turn = task.turn
            elif not self._once_more(last, spec):
                task.at = now + max(1, spec.due_at(turn + 1) - wall)
                return []
        # ``known_from`` is 0 once a turn has gone by under this grant.
        young = task.known_from and spec.due_at(turn) < task.known_from + SKEW
        if spec.once == "at-most" and young and not task.behind:
            self.counts["left_out"] += 1
            task.at = now + max(1, spec.due_at(turn + 1) - wall)
            return []
        if left <= spec.needs:
            self.counts["late"] += 1
            task.at = now + RETRY_LEAST
            return []
        if last is not None and turn > last.turn + 1:
            self.counts["missed"] += turn - last.turn - 1
        if task.turn != turn:
            task.tries = 0
        task.turn = turn
        if spec.once == "at-most":
            return self._say(task, Phase.NOTING, State.BEGUN)
        return [self._run(task)]

    @staticmethod
    def _once_more(last: Note, spec: LeaseSpec) -> bool:
        """A turn that began and whose end is not known."""
        return spec.once == "at-least" and last.state == State.BEGUN

    def _say(self, task: Task, phase: Phase, state: State) -> list[Do]:
        task.phase = phase
        task.note = Note(task.spec.id, task.turn, task.number, int(state))
        return [Say(task.lease, (task.note,))]

    def _run(self, task: Task) -> Call:
        task.phase = Phase.RUNNING
        task.tries += 1
        self.counts["begun"] += 1
        return Call(task.spec.name, task.lease, task.turn, task.number)

    # -- what came of it -------------------------------------------------------------------------------------------

    def confirmed(
        self, now: int, lease: str, notes: Iterable[Note], left: Callable[[str], int]
    ) -> list[Do]:
        """A majority has noted this."""
        todo: list[Do] = []
        told = set(notes)
        for task in self.tasks.values():
            if task.lease != lease or task.note not in told:
                continue
            task.last, task.note = task.note, None
            if task.phase is Phase.NOTING:
                if left(lease) > task.spec.needs:
                    todo.append(self._run(task))
                    continue
                self.counts["late"] += 1  # noted as begun and not done: at most once
            task.phase, task.at = Phase.WAITING, now
        return todo

    def finished(self, now: int, wall: int, name: str, turn: int, outcome: Outcome) -> list[Do]:
        """A call has ended."""
        self.counts[outcome.value] += 1
        self.last[name] = (turn, outcome.value)
        while len(self.last) > 4_096:
            del self.last[next(iter(self.last))]
        task = self.tasks.get(name)
        if task is None or task.phase is not Phase.RUNNING or task.turn != turn:
            stray = self.strays.pop(name, None)
            if (
                stray and outcome is Outcome.DONE
            ):  # let finish, and it did: whoever holds the lease now may hear of it
                return [
                    Say(stray.lease, (Note(stray.spec.id, turn, stray.number, int(State.DONE)),))
                ]
            return []
        spec = task.spec
        if outcome is Outcome.DONE:
            task.known_from = 0
            return self._say(task, Phase.ENDING, State.DONE)
        over = wall >= spec.due_at(turn + 1) and not task.behind
        if spec.once == "at-least" and spec.retry and not over and outcome is not Outcome.OUTRUN:
            wait = min(
                RETRY_MOST,
                RETRY_LEAST * 2 ** min(task.tries, 20),
                max(RETRY_LEAST, spec.every // 4),
            )
            task.phase, task.at = Phase.WAITING, now + wait
            return []
        task.known_from = 0
        return self._say(task, Phase.ENDING, State.FAILED)
