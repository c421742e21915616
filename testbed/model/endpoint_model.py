"""A model of one simulated host: processor-shared cores, slots, a queue, a cold start during which it can crash under
load, delayed load reports, and racks that deduplicate keyed requests. Does no I/O: the caller passes in the time.

Times in microseconds, work in seconds of one core at nominal speed.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from .scenario import Hosts

SECOND = 1_000_000
SPEED_UPDATE_US = 50_000  # us between updates of a warming host's speed
MAX_REMEMBERED_KEYS = 100_000  # most keys that a rack remembers; the oldest are evicted first


class Acceptance(Enum):
    """What a host does with a complete command."""

    STARTED = "works"
    QUEUED = "waits"
    REFUSED = "turns away"
    REPEAT = "repeat"  # its key is known to the rack: it gets the answer of the first request


@dataclass(slots=True, eq=False)
class Job:
    """One command at a host."""

    request: str
    cls: str
    key: str  # "" where the class is not keyed
    window: int
    work: float
    tag: object = None  # the caller's own data
    started: int = 0
    finish: float = 0.0  # on the host's virtual clock
    running: bool = False
    gone: bool = False  # its connection is closed
    followers: list[Job] = field(default_factory=list)  # repeats that get its answer


@dataclass(slots=True)
class Seen:
    """A key that a rack remembers."""

    at: int
    job: Job
    value: str | None = None


class Rack:
    """The keys that the hosts of a rack share to deduplicate keyed requests within their window."""

    def __init__(self) -> None:
        self.seen: OrderedDict[str, Seen] = OrderedDict()

    def find(self, key: str, now: int, window: int) -> Seen | None:
        """Returns the entry of a key, or None once its window is over."""
        found = self.seen.get(key)
        if found and now - found.at >= window:
            del self.seen[key]
            return None
        return found

    def remember(self, key: str, now: int, job: Job) -> None:
        """Remembers a keyed job that was accepted."""
        self.seen[key] = Seen(now, job)
        self.seen.move_to_end(key)
        while len(self.seen) > MAX_REMEMBERED_KEYS:
            self.seen.popitem(last=False)


class HostModel:
    """The state of one life of one host."""

    def __init__(self, figures: Hosts, rack: Rack, seed: str, cold: bool, now: int) -> None:
        self.figures, self.rack, self.random = figures, rack, random.Random(seed)
        self.speed = self.random.uniform(*figures.speed)
        self.born, self.cold = now, cold
        self.now = now
        self.virtual = 0.0  # seconds of work that a job running since the start has received
        self.working: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] = deque()
        self.started_jobs: list[Job] = []  # since the last ``take_started_jobs``
        self.orders = 0
        # (time, work) of the commands within the last ``fall_s``.
        self.offered_work: deque[tuple[int, float]] = deque()
        self.crashed = False
        self.busy_area = 0.0
        self.period = int(self.random.uniform(*figures.report_period_ms) * 1000)
        self.reported_at, self.report = now, "util=0,latency_ms=1,inflight=0"
        self.latency = 0.0

    # -- capacity -------------------------------------------------------------------------------------------

    def ramp(self, now: int) -> float:
        """The share of its full capacity that the host has reached; rises linearly from a cold start."""
        if not self.cold or self.figures.cold_s <= 0:
            return 1.0
        return min(
            1.0,
            self.figures.cold_from
            + (1 - self.figures.cold_from) * (now - self.born) / (self.figures.cold_s * SECOND),
        )

    def capacity(self, now: int) -> float:
        """Seconds of work that the host can do in a second."""
        return self.figures.cores * self.speed * self.ramp(now)

    def _rate(self, now: int) -> float:
        """Seconds of work that each running job receives in a second."""
        number = len(self.working)
        if not number:
            return 0.0
        crowd = max(0.0, number / self.figures.cores - 2)
        return (
            min(1.0, self.figures.cores / number)
            * self.speed
            * self.ramp(now)
            / (1 + self.figures.thrash * crowd)
        )

    # -- time -----------------------------------------------------------------------------------------------

    def due(self) -> int | None:
        """When to call ``advance`` again at the latest; None while no job runs."""
        if not self.working:
            return None
        left = max(0.0, self.working[0][0] - self.virtual)
        at = self.now + int(left / max(1e-9, self._rate(self.now)) * SECOND) + 1
        return min(at, self.now + SPEED_UPDATE_US) if self.ramp(self.now) < 1 else at

    def advance(self, now: int) -> list[Job]:
        """Advances to ``now`` and returns the jobs that finished, in order."""
        done: list[Job] = []
        while self.now < now:
            until = min(now, self.due() or now)
            until = max(until, min(now, self.now + 1))
            span = (until - self.now) / SECOND
            self.busy_area += span * min(1.0, len(self.working) / self.figures.cores)
            self.virtual += span * self._rate(self.now)
            self.now = until
            while self.working and self.working[0][0] <= self.virtual + 1e-9:
                done.append(heapq.heappop(self.working)[2])
                self._start_waiting_jobs()
        self._report(now)
        return done

    def _start_waiting_jobs(self) -> None:
        while self.waiting and len(self.working) < self.figures.slots:
            self._start_job(self.waiting.popleft())

    def _start_job(self, job: Job) -> None:
        job.running, job.started, job.finish = True, self.now, self.virtual + job.work
        self.orders += 1
        heapq.heappush(self.working, (job.finish, self.orders, job))
        self.started_jobs.append(job)

    def take_started_jobs(self) -> list[Job]:
        """Returns the jobs started since the last call."""
        started_jobs, self.started_jobs = self.started_jobs, []
        return started_jobs

    # -- commands -------------------------------------------------------------------------------------------

    def arrive(self, now: int, job: Job, draining: bool) -> tuple[Acceptance, str | None]:
        """Handles a complete command. The second item is the value, if it repeats a finished job."""
        self._track_offered_work(now, job.work)
        if job.key and (seen := self.rack.find(job.key, now, job.window)):
            if seen.value is not None:
                return Acceptance.REPEAT, seen.value
            if not seen.job.gone or seen.job.running:
                seen.job.followers.append(job)
                return Acceptance.REPEAT, None
        if draining or (
            len(self.working) >= self.figures.slots and len(self.waiting) >= self.figures.queue
        ):
            return Acceptance.REFUSED, None
        if job.key:
            self.rack.remember(job.key, now, job)
        if len(self.working) < self.figures.slots:
            self._start_job(job)
            return Acceptance.STARTED, None
        self.waiting.append(job)
        return Acceptance.QUEUED, None

    def cancel(self, job: Job) -> bool:
        """Handles the end of a job's connection; True if the job was still queued and was dropped."""
        job.gone = True
        if self.figures.drops_cancelled and job in self.waiting and not job.followers:
            self.waiting.remove(job)
            if job.key and (seen := self.rack.seen.get(job.key)) and seen.job is job:
                del self.rack.seen[job.key]
            return True
        return False

    def record_value(self, job: Job, now: int, value: str) -> None:
        """Records the value of a finished job, which later repeats of its key get as well."""
        latency_ms = (now - job.started) / 1000
        self.latency += 0.2 * (latency_ms - self.latency) if self.latency else latency_ms
        if job.key and (seen := self.rack.seen.get(job.key)) and seen.job is job:
            seen.value = value

    # -- falling over, reports ------------------------------------------------------------------------------

    def _track_offered_work(self, now: int, work: float) -> None:
        """Adds a command's work, refused or not, to the recent offered work; too much of it crashes a cold host."""
        span = int(self.figures.fall_s * SECOND)
        self.offered_work.append((now, work))
        while self.offered_work[0][0] <= now - span:
            self.offered_work.popleft()
        if not self.cold or self.ramp(now) >= 1:
            return
        budget = self.figures.fall_multiple * self.capacity(now) * self.figures.fall_s
        if sum(work for _, work in self.offered_work) > budget:
            self.crashed = True

    def _report(self, now: int) -> None:
        """Refreshes the load report once its period has passed."""
        if now - self.reported_at < self.period:
            return
        span = max(1, now - self.reported_at) / SECOND
        util = min(1.0, max(0.0, self.busy_area / span + self.random.gauss(0, 0.03)))
        held = len(self.working) + len(self.waiting)
        self.report = f"util={util:.2f},latency_ms={max(0.0, self.latency):.1f},inflight={held}"
        self.reported_at, self.busy_area = now, 0.0
