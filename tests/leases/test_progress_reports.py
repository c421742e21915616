"""Reports of task progress: one at a time, each sent again until a majority has stored it."""

from __future__ import annotations

from saffrongw.leases.messages import Outgoing, ProgressStored, ReportProgress, TaskProgress
from saffrongw.leases.progress_reports import ProgressConfirmed, ProgressReports
from saffrongw.leases.timing import Timing

TIMING = Timing()
VOTERS = ("v0", "v1", "v2")
LEASE = "s0/1"
FIRST, SECOND = (TaskProgress(b"task", turn, 5, 3) for turn in (7, 8))


def test_a_report_is_resent_to_voters_without_an_answer_until_a_majority_has_stored_it():
    reports = ProgressReports(TIMING)
    reports.add(0, LEASE, (FIRST,))
    message = ReportProgress(LEASE, 1, (FIRST,))
    assert reports.due(0, VOTERS) == [Outgoing(voter, message) for voter in VOTERS]
    assert reports.stored(1, "v0", ProgressStored(LEASE, 1), 2) is None
    resend_at = TIMING.resend_after_us
    assert reports.due(resend_at - 1, VOTERS) == []
    assert [one.receiver for one in reports.due(resend_at, VOTERS)] == ["v1", "v2"]
    confirmed = reports.stored(resend_at, "v1", ProgressStored(LEASE, 1), 2)
    assert confirmed == ProgressConfirmed(LEASE, (FIRST,))
    assert not reports.pending


def test_progress_reported_while_a_report_is_pending_is_sent_next():
    reports = ProgressReports(TIMING)
    reports.add(0, LEASE, (FIRST,))
    reports.add(0, LEASE, (SECOND,))
    assert {one.message.progress for one in reports.due(0, VOTERS)} == {(FIRST,)}
    for voter in VOTERS[:2]:
        reports.stored(1, voter, ProgressStored(LEASE, 1), 2)
    assert {one.message for one in reports.due(1, VOTERS)} == {ReportProgress(LEASE, 2, (SECOND,))}


def test_an_answer_to_an_earlier_report_does_not_count():
    reports = ProgressReports(TIMING)
    reports.add(0, LEASE, (FIRST,))
    for voter in VOTERS:
        assert reports.stored(1, voter, ProgressStored(LEASE, 9), 2) is None
    assert LEASE in reports.pending


def test_a_report_without_a_majority_is_dropped_after_the_duration_of_a_lease():
    reports = ProgressReports(TIMING)
    reports.add(0, LEASE, (FIRST,))
    assert reports.due(TIMING.duration_us, VOTERS) == []
    assert not reports.pending
