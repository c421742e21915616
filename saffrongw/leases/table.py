"""``[leases]`` of the operator file: its keys, units, defaults and bounds."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

from saffrongw.channel.table import GATEWAY
from toml_schema import ADDRESS, key

from .candidates import shard_of
from .spec import NOTES_MOST, LeaseSpec
from .timing import DRIFT_MOST, SECOND, Timing
from .voter_set import VoterSet

TASK = r"[A-Za-z0-9_.\-]{1,64}"
URL = r"http://[A-Za-z0-9.\-]{1,253}:[0-9]{1,5}/[!-~]{0,500}"
VOTERS = (1, 3, 5, 7)
TASKS_MOST = 4_096


@dataclass(frozen=True, slots=True)
class VoterTable:
    """``[[leases.voter]]``: one of those that grant."""

    name: str = key(form=GATEWAY)
    address: str = key(form=ADDRESS, about="HOST:PORT of its channel")


@dataclass(frozen=True, slots=True)
class FormerTable:
    """``[[leases.former]]``: a set of voters that this one follows; it stays here until it is sealed."""

    set: int = key(least=1, most=1_000_000)
    voters: tuple[str, ...] = key(form=rf"{GATEWAY}={ADDRESS}", about="NAME=HOST:PORT, all of them")

    def __post_init__(self) -> None:
        if not self.voters or len(self.addresses) < len(self.voters):
            raise ValueError("voters is empty, or one stands twice")

    @property
    def addresses(self) -> dict[str, str]:
        """By name."""
        return dict(one.split("=", 1) for one in self.voters)


@dataclass(frozen=True, slots=True)
class TaskTable:
    """``[[leases.task]]``: an HTTP call that one gateway of the fleet makes."""

    name: str = key(form=TASK)
    every_s: float = key(least=0.1, most=31 * 86_400.0, about="a turn in each so many seconds")
    call: str = key(form=URL, about="where it is posted to")
    once: str = key("at-least", choices=("at-least", "at-most"), about="a turn")
    needs_s: float = key(5.0, least=0.01, most=3_600, about="how long a call may take")
    jitter: float = key(
        0.1, least=0.0, most=1.0, about="part of every_s over which tasks are spread"
    )
    retry: bool = key(True, about="within its turn, where it is at-least")
    on_loss: str = key(
        "abandon",
        choices=("abandon", "finish"),
        about="what becomes of a call when the lease is lost",
    )

    @property
    def spec(self) -> LeaseSpec:
        """For the decisions."""
        every, needs = int(self.every_s * SECOND), int(self.needs_s * SECOND)
        return LeaseSpec(self.name, every, self.once, needs, self.jitter, self.retry, self.on_loss)


@dataclass(frozen=True, slots=True)
class LeasesTable:
    """``[leases]``: tasks that one gateway of the fleet does."""

    voter: tuple[VoterTable, ...] = key(about="the same on every gateway")
    set: int = key(
        1, least=1, most=1_000_000, about="number of this set of voters; higher with each change"
    )
    former: tuple[FormerTable, ...] = key(())
    span_s: float = key(10.0, least=0.5, most=300, about="how long a lease lasts unrenewed")
    drift: float = key(
        0.01, least=0.0, most=DRIFT_MOST, about="part by which clocks' rates may be off"
    )
    shards: int = key(16, least=1, most=1_024, about="leases that all tasks are spread over")
    stand: bool = key(True, about="this gateway does tasks")
    state_dir: str = key("", about="a folder of its own on a disk that lasts; empty: none")
    in_flight: int = key(16, least=1, most=1_000, about="calls of tasks at once")
    task: tuple[TaskTable, ...] = key(())

    def __post_init__(self) -> None:
        names = [one.name for one in self.voter]
        if len(names) not in VOTERS:
            raise ValueError("there are 1, 3, 5 or 7 voters")
        if len(set(names)) < len(names) or len({one.address for one in self.voter}) < len(names):
            raise ValueError("a voter's name or address stands twice")
        if any(one.set >= self.set for one in self.former):
            raise ValueError("a former set has a lower number than this one")
        if self.set > 1 and not self.former:
            raise ValueError(
                "set is above 1: name the sets before it as [[leases.former]], or number this one 1"
            )
        if len(self.task) > TASKS_MOST:
            raise ValueError(f"{TASKS_MOST} tasks at most")
        tasks = [one.name for one in self.task]
        if len(set(tasks)) < len(tasks):
            raise ValueError("a task stands twice")
        held = self.timing.held / SECOND
        for one in self.task:
            if one.needs_s >= held * 2 / 3:
                raise ValueError(
                    f"task {one.name}: needs_s is {one.needs_s}; of a lease of {self.span_s} s "
                    f"{held * 2 / 3:.2f} s are left for sure"
                )
        fullest = max((len(some) for some in self.by_lease().values()), default=0)
        if fullest > NOTES_MOST:
            raise ValueError(f"one shard has {fullest} tasks, {NOTES_MOST} at most: raise shards")

    @property
    def timing(self) -> Timing:
        """For the decisions."""
        return Timing(int(self.span_s * SECOND), self.drift)

    @property
    def own(self) -> VoterSet:
        """The set in force."""
        return VoterSet(self.set, tuple(one.name for one in self.voter))

    @property
    def formers(self) -> tuple[VoterSet, ...]:
        """Those before it."""
        return tuple(VoterSet(one.set, tuple(one.addresses)) for one in self.former)

    @property
    def addresses(self) -> dict[str, str]:
        """Of all voters, those of former sets too."""
        found = {name: at for one in self.former for name, at in one.addresses.items()}
        return found | {one.name: one.address for one in self.voter}

    def by_lease(self) -> dict[str, list[LeaseSpec]]:
        """Tasks by the lease under which they are done."""
        return _spread(self.task, self.shards)


@lru_cache(maxsize=4)
def _spread(tasks: tuple[TaskTable, ...], shards: int) -> dict[str, list[LeaseSpec]]:
    """Worked out once for each table: thousands of tasks over hundreds of shards take a while."""
    found: dict[str, list[LeaseSpec]] = {}
    for one in tasks:
        found.setdefault(shard_of(one.name, shards), []).append(one.spec)
    return found
