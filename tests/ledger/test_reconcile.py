"""Reconciliation of an endpoint's list of issued reports with the entries."""

from __future__ import annotations

import pytest

from saffrongw.ledger.entries import ExecutionStatus, build_entries
from saffrongw.ledger.events import EventKind
from saffrongw.ledger.reconcile import IssuedListError, parse_issued, reconcile
from tests.ledger.events_of_requests import answer, intent, outcome

HEADER = "customer,request,host,issued_ms"


def test_a_list_settles_what_may_have_run_and_contradictions_are_named():
    events = [intent(1, number) for number in (1, 2, 3, 4, 5)]
    events += [outcome(1, 2, "not connected"), outcome(1, 3, "served"), answer(1, 3)]
    entries = build_entries(events)
    lines = [
        HEADER,
        "7,id1,h1,5",
        "7,id2,h1,5",
        "7,id3,h1,5",
        "7,id4,h1,5",
        "7,id4,h2,6",
        "7,id5,h9,5",
        "8,id1,h1,5",
    ]
    result = reconcile(entries, parse_issued(lines, "list"), 99)
    assert [(event.request_number, event.kind, event.endpoint) for event in result.settled] == [
        (1, EventKind.IMPORTED, "h1")
    ]
    assert result.known_count == 1
    text = "\n".join(result.contradictions)
    customer = "customer 0000000000000007"
    assert f"request id2 of {customer} was issued by h1 (line 3) and was never sent" in text
    assert f"request id4 of {customer} was issued 2 times: h1 (line 5), h2 (line 6)" in text
    assert (
        f"request id5 of {customer} was issued by h9 (line 7), to which entry 1-5 sent nothing"
        in text
    )
    assert (
        "request id1 of customer 0000000000000008 was issued by h1 (line 8) and stands in no entry"
        in text
    )
    entries[1, 1].apply(result.settled[0])
    assert entries[1, 1].status is ExecutionStatus.RAN
    assert entries[1, 1].is_settled


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([], "l:1: the header must be customer,request,host,issued_ms"),
        (["a,b"], "l:1: the header must be"),
        ([HEADER, "7,id1,h1"], "l:2: 4 columns are needed, not 3"),
        ([HEADER, "7,id1,h1,5", "x,id1,h1,5"], "l:3: customer is no hex number"),
    ],
)
def test_a_malformed_list_is_an_error_that_names_the_line(lines, expected):
    with pytest.raises(IssuedListError) as caught:
        parse_issued(lines, "l")
    assert expected in str(caught.value)
