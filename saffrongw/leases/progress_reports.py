"""Reports of task progress on their way to the voters.

No I/O; times are us of this gateway's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages import Outgoing, ProgressStored, ReportProgress, TaskProgress
from .spec import MAX_TASKS_PER_LEASE
from .timing import Timing


@dataclass(frozen=True, slots=True)
class ProgressConfirmed:
    """A majority of the voters has stored this progress."""

    lease: str
    progress: tuple[TaskProgress, ...]


@dataclass(slots=True)
class PendingReport:
    """The progress of one lease's tasks that no majority of the voters has stored yet."""

    request_id: int
    progress: tuple[TaskProgress, ...]
    next_send_us: int
    deadline_us: int
    stored_by: set[str] = field(default_factory=set)
    # Progress reported in the meantime, to be sent after this report.
    queued: tuple[TaskProgress, ...] = ()


class ProgressReports:
    """At most one pending report for each lease.

    A report is sent again until a majority has stored it or its deadline has passed.
    """

    def __init__(self, timing: Timing) -> None:
        """Start with nothing to report."""
        self.timing = timing
        self.pending: dict[str, PendingReport] = {}
        self.last_request_id = 0

    def add(self, now: int, lease: str, progress: tuple[TaskProgress, ...]) -> None:
        """Report progress; while another report of this lease is pending, queue it."""
        report = self.pending.get(lease)
        if report is not None:
            report.queued = (*report.queued, *progress)[-MAX_TASKS_PER_LEASE:]
            return
        self.last_request_id += 1
        self.pending[lease] = PendingReport(
            self.last_request_id, progress, now, now + self.timing.duration_us
        )

    def next_times(self) -> list[int]:
        """Return when ``due`` has to be called next, for each report."""
        return [report.next_send_us for report in self.pending.values()]

    def due(self, now: int, voters: Iterable[str]) -> list[Outgoing]:
        """Send the reports that are due, and drop those past their deadline."""
        outgoing: list[Outgoing] = []
        for lease, report in list(self.pending.items()):
            if report.next_send_us > now:
                continue
            if now >= report.deadline_us:
                self._finish(now, lease, report)
                continue
            report.next_send_us = now + self.timing.resend_after_us
            message = ReportProgress(lease, report.request_id, report.progress)
            outgoing += [
                Outgoing(voter, message) for voter in voters if voter not in report.stored_by
            ]
        return outgoing

    def stored(
        self, now: int, voter: str, message: ProgressStored, majority: int
    ) -> ProgressConfirmed | None:
        """Record a voter's answer; return the confirmation when it completes a majority."""
        report = self.pending.get(message.lease)
        if report is None or report.request_id != message.request_id:
            return None
        report.stored_by.add(voter)
        if len(report.stored_by) < majority:
            return None
        self._finish(now, message.lease, report)
        return ProgressConfirmed(message.lease, report.progress)

    def _finish(self, now: int, lease: str, report: PendingReport) -> None:
        del self.pending[lease]
        if report.queued:
            self.add(now, lease, report.queued)
