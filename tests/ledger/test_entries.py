"""The truth table of execution statuses, and the classification by recovery."""

from __future__ import annotations

import pytest

from saffrongw.ledger.entries import (
    Entry,
    ExecutionStatus,
    RecordedAttempt,
    build_entries,
    classify_open,
)
from saffrongw.ledger.events import EventKind
from tests.ledger.events_of_requests import answer, intent


@pytest.mark.parametrize(
    ("outcomes", "final_answer", "status"),
    [
        ([], "", ExecutionStatus.NEVER_SENT),
        ([""], "", ExecutionStatus.MAY_HAVE_RUN),
        (["not connected"], "", ExecutionStatus.NEVER_SENT),
        (["full"], "refused", ExecutionStatus.NEVER_SENT),
        (["never sent"], "", ExecutionStatus.NEVER_SENT),
        (["timed out"], "failed", ExecutionStatus.MAY_HAVE_RUN),
        (["broken"], "", ExecutionStatus.MAY_HAVE_RUN),
        (["error"], "failed", ExecutionStatus.MAY_HAVE_RUN),
        (["cancelled"], "", ExecutionStatus.MAY_HAVE_RUN),
        (["served"], "", ExecutionStatus.RAN),
        (["served"], "served", ExecutionStatus.ANSWERED),
        ([""], "served", ExecutionStatus.ANSWERED),
        (["full", ""], "", ExecutionStatus.MAY_HAVE_RUN),
        (["not connected", "served"], "", ExecutionStatus.RAN),
        (["full", "not connected"], "refused", ExecutionStatus.NEVER_SENT),
    ],
)
def test_status_follows_the_truth_table(outcomes, final_answer, status):
    attempts = {
        ordinal: RecordedAttempt(ordinal, "h", 0, 1, 0, outcome)
        for ordinal, outcome in enumerate(outcomes)
    }
    assert Entry(1, 1, attempts=attempts, answer=final_answer).status is status


def test_recovery_classifies_open_entries_of_older_incarnations_once():
    entries = build_entries([intent(1, 1), intent(1, 2), answer(1, 2), intent(2, 3)])
    events = classify_open(entries.values(), 2, 99)
    assert [(*event.key, event.kind, event.classification) for event in events] == [
        (1, 1, EventKind.CLASSIFIED, "may have run")
    ]
    for event in events:
        entries[event.key].apply(event)
    assert classify_open(entries.values(), 3, 99) == classify_open([entries[2, 3]], 3, 99)
