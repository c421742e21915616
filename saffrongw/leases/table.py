"""The ``[leases]`` table of the operator file: keys, units, defaults and bounds.

Field names are keys of the operator file and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

from saffrongw.channel.table import GATEWAY_NAME_PATTERN
from toml_schema import ADDRESS, key

from .candidates import shard_of
from .spec import MAX_TASKS_PER_LEASE, TaskSpec
from .timing import MAX_CLOCK_DRIFT, SECOND_US, Timing
from .voter_set import VoterSet

TASK_NAME_PATTERN = r"[A-Za-z0-9_.\-]{1,64}"
URL_PATTERN = r"http://[A-Za-z0-9.\-]{1,253}:[0-9]{1,5}/[!-~]{0,500}"
VOTER_COUNTS = (1, 3, 5, 7)
MAX_TASKS = 4_096
MAX_SET_NUMBER = 1_000_000


@dataclass(frozen=True, slots=True)
class VoterTable:
    """``[[leases.voter]]``: a gateway that is a voter."""

    name: str = key(form=GATEWAY_NAME_PATTERN)
    address: str = key(form=ADDRESS, about="HOST:PORT of its channel")


@dataclass(frozen=True, slots=True)
class FormerTable:
    """``[[leases.former]]``: a voter set that was in force before; listed until it is sealed."""

    set: int = key(minimum=1, maximum=MAX_SET_NUMBER)
    voters: tuple[str, ...] = key(
        form=rf"{GATEWAY_NAME_PATTERN}={ADDRESS}", about="NAME=HOST:PORT, all of them"
    )

    def __post_init__(self) -> None:
        """Check the bounds; raise ``ValueError`` naming what is wrong."""
        if not self.voters or len(self.addresses) < len(self.voters):
            raise ValueError("voters is empty, or lists a voter twice")

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses by voter name."""
        return dict(one.split("=", 1) for one in self.voters)


@dataclass(frozen=True, slots=True)
class TaskTable:
    """``[[leases.task]]``: a periodic HTTP call that one gateway of the fleet makes."""

    name: str = key(form=TASK_NAME_PATTERN)
    every_s: float = key(minimum=0.1, maximum=31 * 86_400.0, about="a turn in each so many seconds")
    call: str = key(form=URL_PATTERN, about="where it is posted to")
    once: str = key("at-least", choices=("at-least", "at-most"), about="a turn")
    needs_s: float = key(5.0, minimum=0.01, maximum=3_600, about="how long a call may take")
    jitter: float = key(
        0.1, minimum=0.0, maximum=1.0, about="part of every_s over which tasks are spread"
    )
    retry: bool = key(True, about="within its turn, where it is at-least")
    on_loss: str = key(
        "abandon",
        choices=("abandon", "finish"),
        about="what becomes of a call when the lease is lost",
    )

    @property
    def spec(self) -> TaskSpec:
        """Return the task's specification for the schedule."""
        return TaskSpec(
            self.name,
            period_us=int(self.every_s * SECOND_US),
            delivery=self.once,
            max_call_us=int(self.needs_s * SECOND_US),
            jitter=self.jitter,
            retry=self.retry,
            on_loss=self.on_loss,
        )


@dataclass(frozen=True, slots=True)
class LeasesTable:
    """``[leases]``: the voters, and the tasks that one gateway of the fleet runs."""

    voter: tuple[VoterTable, ...] = key(about="the same on every gateway")
    set: int = key(
        1,
        minimum=1,
        maximum=MAX_SET_NUMBER,
        about="number of this set of voters; higher with each change",
    )
    former: tuple[FormerTable, ...] = key(())
    span_s: float = key(10.0, minimum=0.5, maximum=300, about="how long a lease lasts unrenewed")
    drift: float = key(
        0.01, minimum=0.0, maximum=MAX_CLOCK_DRIFT, about="part by which clocks' rates may be off"
    )
    shards: int = key(16, minimum=1, maximum=1_024, about="leases that all tasks are spread over")
    stand: bool = key(True, about="this gateway does tasks")
    state_dir: str = key("", about="a folder of its own on a disk that lasts; empty: none")
    in_flight: int = key(16, minimum=1, maximum=1_000, about="calls of tasks at once")
    task: tuple[TaskTable, ...] = key(())

    def __post_init__(self) -> None:
        """Check the bounds; raise ``ValueError`` naming what is wrong."""
        self._check_voters()
        self._check_tasks()

    def _check_voters(self) -> None:
        names = {one.name for one in self.voter}
        if len(self.voter) not in VOTER_COUNTS:
            raise ValueError("there are 1, 3, 5 or 7 voters")
        addresses = {one.address for one in self.voter}
        if min(len(names), len(addresses)) < len(self.voter):
            raise ValueError("two voters have the same name or address")
        if any(one.set >= self.set for one in self.former):
            raise ValueError("a former set has a lower number than this one")
        if self.set > 1 and not self.former:
            raise ValueError(
                "set is above 1: name the sets before it as [[leases.former]], or number this one 1"
            )

    def _check_tasks(self) -> None:
        if len(self.task) > MAX_TASKS:
            raise ValueError(f"{MAX_TASKS} tasks at most")
        if len({one.name for one in self.task}) < len(self.task):
            raise ValueError("two tasks have the same name")
        held_s = self.timing.holder_duration_us / SECOND_US
        for one in self.task:
            if one.needs_s >= held_s * 2 / 3:
                raise ValueError(
                    f"task {one.name}: needs_s is {one.needs_s}, but a lease of {self.span_s} s "
                    f"guarantees a call only {held_s * 2 / 3:.2f} s"
                )
        largest = max((len(specs) for specs in self.by_lease().values()), default=0)
        if largest > MAX_TASKS_PER_LEASE:
            raise ValueError(
                f"one shard has {largest} tasks, the limit is {MAX_TASKS_PER_LEASE}: raise shards"
            )

    @property
    def timing(self) -> Timing:
        """Return the durations of a lease."""
        return Timing(int(self.span_s * SECOND_US), self.drift)

    @property
    def voter_set(self) -> VoterSet:
        """Return the voter set that is in force."""
        return VoterSet(self.set, tuple(one.name for one in self.voter))

    @property
    def former_sets(self) -> tuple[VoterSet, ...]:
        """Return the voter sets that were in force before."""
        return tuple(VoterSet(one.set, tuple(one.addresses)) for one in self.former)

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses of all voters, including those of former sets."""
        former = {name: address for one in self.former for name, address in one.addresses.items()}
        return former | {one.name: one.address for one in self.voter}

    def by_lease(self) -> dict[str, list[TaskSpec]]:
        """Return the tasks by the lease under which they run."""
        return _specs_by_lease(self.task, self.shards)


@lru_cache(maxsize=4)
def _specs_by_lease(tasks: tuple[TaskTable, ...], shards: int) -> dict[str, list[TaskSpec]]:
    """Return the tasks by lease.

    Cached, as hashing thousands of tasks over hundreds of shards is slow.
    """
    by_lease: dict[str, list[TaskSpec]] = {}
    for task in tasks:
        by_lease.setdefault(shard_of(task.name, shards), []).append(task.spec)
    return by_lease
