"""A host's own list of issued reports against the ledger's entries. Pure; the form of the CSV is on the page."""

from __future__ import annotations

import csv
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .entries import Entry, Event, Kind, Meaning

COLUMNS = ("customer", "request", "host", "issued_ms")
LINES_MOST = 1_000_000


class ListError(Exception):
    """A list that can't be used; it names the line and the cause."""


@dataclass(frozen=True, slots=True)
class Issued:
    """One line of a host's list."""

    line: int
    customer: int
    request: str
    host: str
    at: int  # us


@dataclass(frozen=True, slots=True)
class Result:
    """What a list settles, and what contradicts the ledger."""

    settled: tuple[Event, ...]
    known: int  # lines of entries that were known to have run
    contradictions: tuple[str, ...]


def parse(lines: Iterable[str], name: str) -> list[Issued]:
    """The lines of a CSV with a header; ``ListError`` names file, line and cause."""
    rows = csv.reader(lines)
    header = next(rows, None)
    if header is None or tuple(h.strip() for h in header) != COLUMNS:
        raise ListError(f"{name}:1: the header must be {','.join(COLUMNS)}")
    found = []
    for number, row in enumerate(rows, 2):
        if not row:
            continue
        if number > LINES_MOST:
            raise ListError(f"{name}:{number}: more than {LINES_MOST} lines")
        if len(row) != len(COLUMNS):
            raise ListError(f"{name}:{number}: {len(COLUMNS)} columns are needed, not {len(row)}")
        customer, request, host, at = (cell.strip() for cell in row)
        try:
            found.append(Issued(number, int(customer, 16), request, host, int(at) * 1000))
        except ValueError:
            raise ListError(
                f"{name}:{number}: customer is no hex number, or issued_ms is no number"
            ) from None
    return found


def reconcile(
    entries: Mapping[tuple[int, int], Entry], issued: Iterable[Issued], now: int
) -> Result:
    """What the list says of the entries. One that contradicts them settles nothing."""
    by_request: dict[tuple[int, str], list[Entry]] = defaultdict(list)
    for entry in entries.values():
        by_request[entry.customer, entry.client_id].append(entry)
    by_line: dict[tuple[int, str], list[Issued]] = defaultdict(list)
    for one in issued:
        by_line[one.customer, one.request].append(one)
    settled, known, wrong = [], 0, []
    for key, lines in by_line.items():
        what = f"request {key[1]} of customer {key[0]:016x}"
        found = by_request.get(key, [])
        if len(lines) > 1:
            where = ", ".join(f"{one.host} (line {one.line})" for one in lines)
            wrong.append(f"{what} was issued {len(lines)} times: {where}")
            continue
        (line,) = lines
        if not found:
            wrong.append(
                f"{what} was issued by {line.host} (line {line.line}) and stands in no entry"
            )
            continue
        open_ = [e for e in found if e.meaning is Meaning.MAY_HAVE_RUN]
        ran = [e for e in found if e.meaning in (Meaning.RAN, Meaning.ANSWERED)]
        if ran:
            known += 1
        elif len(open_) > 1:
            names = ", ".join(e.name for e in open_)
            wrong.append(f"{what} was issued once and may have run in more than one entry: {names}")
        elif not open_:
            wrong.append(
                f"{what} was issued by {line.host} (line {line.line}) and was never sent by its entry"
            )
        elif line.host not in {t.host for t in open_[0].tries.values()}:
            wrong.append(
                f"{what} was issued by {line.host} (line {line.line}), to which entry {open_[0].name} sent nothing"
            )
        else:
            data = {"host": line.host, "issued": line.at}
            settled.append(Event(open_[0].life, open_[0].number, Kind.IMPORTED, now, data))
    return Result(tuple(settled), known, tuple(wrong))
