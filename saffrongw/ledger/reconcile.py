"""Compares an endpoint's own list of issued reports with the ledger's entries. Pure.

``docs/operate/ledger.md`` describes the CSV format. The texts of contradictions are shown to
operators.
"""

from __future__ import annotations

import csv
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from . import events
from .entries import Entry, ExecutionStatus
from .events import EntryKey, Event

COLUMNS = ("customer", "request", "host", "issued_ms")
MAX_LINES = 1_000_000
US_PER_MS = 1_000


class IssuedListError(Exception):
    """A list of issued reports is malformed; the message names file, line and cause."""


class RequestKey(NamedTuple):
    """Identifies a request in a list and in the ledger."""

    customer: int
    client_request_id: str

    def __str__(self) -> str:
        """Return the request's name in contradictions."""
        return f"request {self.client_request_id} of customer {self.customer:016x}"


@dataclass(frozen=True, slots=True)
class IssuedReport:
    """One line of an endpoint's list."""

    line: int
    request: RequestKey
    endpoint: str
    issued_at_us: int


@dataclass(frozen=True, slots=True)
class Reconciliation:
    """The events by which a list settles entries, and what contradicts the ledger."""

    settled: tuple[Event, ...]
    # Requests in the list that the ledger already had as run.
    known_count: int
    contradictions: tuple[str, ...]


def parse_issued(lines: Iterable[str], file_name: str) -> list[IssuedReport]:
    """Parse the lines of a CSV file; raise ``IssuedListError`` where they are malformed."""
    rows = csv.reader(lines)
    header = next(rows, None)
    if header is None or tuple(cell.strip() for cell in header) != COLUMNS:
        raise IssuedListError(f"{file_name}:1: the header must be {','.join(COLUMNS)}")
    reports = []
    for line, row in enumerate(rows, 2):
        if not row:
            continue
        if line > MAX_LINES:
            raise IssuedListError(f"{file_name}:{line}: more than {MAX_LINES} lines")
        if len(row) != len(COLUMNS):
            raise IssuedListError(
                f"{file_name}:{line}: {len(COLUMNS)} columns are needed, not {len(row)}"
            )
        reports.append(_report(row, line, file_name))
    return reports


def _report(row: list[str], line: int, file_name: str) -> IssuedReport:
    customer, request_id, endpoint, issued_ms = (cell.strip() for cell in row)
    try:
        request = RequestKey(int(customer, 16), request_id)
        return IssuedReport(line, request, endpoint, int(issued_ms) * US_PER_MS)
    except ValueError:
        raise IssuedListError(
            f"{file_name}:{line}: customer is no hex number, or issued_ms is no number"
        ) from None


@dataclass(slots=True)
class _Findings:
    """Collects the result while the requests of a list are compared one by one."""

    now_us: int
    settled: list[Event] = field(default_factory=list)
    known_count: int = 0
    contradictions: list[str] = field(default_factory=list)

    def check(self, reports: list[IssuedReport], entries: list[Entry]) -> None:
        """Compare all reports of one request with all of its entries."""
        report = reports[0]
        request = report.request
        issued = f"{request} was issued by {report.endpoint} (line {report.line})"
        may_have_run = _with_status(entries, ExecutionStatus.MAY_HAVE_RUN)
        if len(reports) > 1:
            where = ", ".join(f"{one.endpoint} (line {one.line})" for one in reports)
            self._contradict(f"{request} was issued {len(reports)} times: {where}")
        elif not entries:
            self._contradict(f"{issued} and stands in no entry")
        elif _with_status(entries, ExecutionStatus.RAN, ExecutionStatus.ANSWERED):
            self.known_count += 1
        elif len(may_have_run) > 1:
            names = ", ".join(entry.name for entry in may_have_run)
            self._contradict(
                f"{request} was issued once and may have run in more than one entry: {names}"
            )
        elif not may_have_run:
            self._contradict(f"{issued} and was never sent by its entry")
        else:
            self._settle(may_have_run[0], report, issued)

    def _settle(self, entry: Entry, report: IssuedReport, issued: str) -> None:
        """Settle an entry that may have run, if it has an attempt to the endpoint that lists it."""
        if report.endpoint not in {attempt.endpoint for attempt in entry.attempts.values()}:
            self._contradict(f"{issued}, to which entry {entry.name} sent nothing")
            return
        self.settled.append(
            events.imported(entry.key, self.now_us, report.endpoint, report.issued_at_us)
        )

    def _contradict(self, text: str) -> None:
        self.contradictions.append(text)


def _with_status(entries: list[Entry], *statuses: ExecutionStatus) -> list[Entry]:
    return [entry for entry in entries if entry.status in statuses]


def reconcile(
    entries: Mapping[EntryKey, Entry], issued: Iterable[IssuedReport], now_us: int
) -> Reconciliation:
    """Compare a list with the entries; a line that contradicts them settles nothing."""
    entries_by_request: dict[RequestKey, list[Entry]] = defaultdict(list)
    for entry in entries.values():
        key = RequestKey(entry.customer, entry.client_request_id)
        entries_by_request[key].append(entry)
    reports_by_request: dict[RequestKey, list[IssuedReport]] = defaultdict(list)
    for report in issued:
        reports_by_request[report.request].append(report)
    findings = _Findings(now_us)
    for request, reports in reports_by_request.items():
        findings.check(reports, entries_by_request.get(request, []))
    return Reconciliation(
        tuple(findings.settled), findings.known_count, tuple(findings.contradictions)
    )
