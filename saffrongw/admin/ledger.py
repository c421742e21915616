"""``saffrongw ledger``: shows a ledger as text or JSON lines, and maintains it.

Most commands also work while a gateway uses the ledger. Only this module knows the keys of the JSON
lines.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from saffrongw.admin import columns, input_error
from saffrongw.ledger.entries import Entry, ExecutionStatus, RecordedAttempt
from saffrongw.ledger.explanation import explain
from saffrongw.ledger.reader import LedgerReader
from saffrongw.ledger.reconcile import IssuedListError, parse_issued, reconcile
from saffrongw.ledger.schema import LedgerStoreError, now_us
from saffrongw.ledger.store import LedgerStore

# How long an import waits until a running gateway has processed its events.
SUBMIT_TIMEOUT_S = 10.0
US_PER_S = 1e6
US_PER_DAY = 86_400e6
BYTES_PER_MB_SHIFT = 20
MAX_DAMAGE_LINES = 20
# Length of a time to the millisecond, as the table shows it.
TABLE_TIME_CHARS = 23
TABLE_HEADER = (
    "entry",
    "taken",
    "customer",
    "request",
    "plan",
    "class",
    "attempts",
    "answer",
    "meaning",
)


def time_text(at_us: int) -> str:
    """Return a time in readable form."""
    if not at_us:
        return "an unknown time"
    return datetime.fromtimestamp(at_us / US_PER_S, UTC).strftime("%Y-%m-%d %H:%M:%S.%f UTC")


def attempt_json(attempt: RecordedAttempt) -> dict[str, Any]:
    """Return an attempt in types that JSON has."""
    return {
        "host": attempt.endpoint,
        "born": attempt.endpoint_started_at_us,
        "intended": attempt.intended_at_us,
        "whole": attempt.fully_sent_at_us,
        "outcome": attempt.outcome,
        "ended": attempt.ended_at_us,
    }


def entry_json(entry: Entry) -> dict[str, Any]:
    """Return an entry in types that JSON has, without its recorded body."""
    return {
        "life": entry.incarnation,
        "number": entry.request_number,
        "plan": entry.plan,
        "cls": entry.request_class,
        "body_bytes": entry.body_bytes,
        "digest": entry.digest,
        "taken": entry.received_at_us,
        "answer": entry.answer,
        "answered": entry.answered_at_us,
        "imported": entry.imported_from,
        "id": entry.name,
        "customer": f"{entry.customer:016x}",
        "request": entry.client_request_id,
        "meaning": entry.status.value,
        "settled": entry.is_settled,
        "attempts": [attempt_json(attempt) for attempt in entry.attempts.values()],
    }


def table_row(entry: Entry) -> tuple[str, ...]:
    """Return an entry as a row of the table."""
    return (
        entry.name,
        time_text(entry.received_at_us)[:TABLE_TIME_CHARS],
        f"{entry.customer:016x}",
        entry.client_request_id,
        entry.plan,
        entry.request_class,
        str(len(entry.attempts)),
        entry.answer or "-",
        entry.status.value + ("" if entry.is_settled else " (open)"),
    )


def table(entries: list[Entry]) -> str:
    """Return entries as a table."""
    return columns([TABLE_HEADER, *(table_row(entry) for entry in entries)])


def run(options: argparse.Namespace) -> int:
    """Carry out one command; return its exit status."""
    try:
        match options.what:
            case "import":
                return _import(options.state, options.file)
            case "compact":
                return _compact(options)
        with LedgerReader(options.state) as reader:
            return _read(options, reader)
    except (LedgerStoreError, IssuedListError) as error:
        return input_error(error)
    except OSError as error:
        return input_error(f"{error.filename or ''}: {error.strerror or error}")


def _read(options: argparse.Namespace, reader: LedgerReader) -> int:
    match options.what:
        case "verify":
            return _verify(reader)
        case "backup":
            reader.backup(options.file)
            print(f"{options.file}: written")
            return 0
    entries = list(reader.entries().values())
    for text in reader.damage[:MAX_DAMAGE_LINES]:
        print(f"saffrongw: {reader.path}: {text}", file=sys.stderr)
    if options.what == "explain":
        return _explain(entries, options.id)
    selected = _selected(entries, options)
    if options.json or options.what == "export":
        for entry in selected:
            print(json.dumps(entry_json(entry)))
    else:
        _print_table(selected)
    return 0


def _verify(reader: LedgerReader) -> int:
    damage = reader.verify()
    print("\n".join(damage) if damage else f"{reader.path}: good")
    return 1 if damage else 0


def _explain(entries: list[Entry], name: str) -> int:
    selected = [entry for entry in entries if name in (entry.name, entry.client_request_id)]
    if not selected:
        return input_error(f"no entry is called {name!r}")
    print("\n".join(explain(entry, time_text) for entry in selected))
    return 0


def _selected(entries: list[Entry], options: argparse.Namespace) -> list[Entry]:
    """Return the entries that a command prints."""
    match options.what:
        case "find":
            return [entry for entry in entries if _matches(entry, options.text.lower())]
        case "open":
            open_status = ExecutionStatus.MAY_HAVE_RUN
            return [entry for entry in entries if entry.status is open_status]
        case "show":
            return entries[-max(0, options.number) :] if options.number else []
    return entries


def _matches(entry: Entry, text: str) -> bool:
    """Return whether a lower-case text is an entry's customer or client request id."""
    return text in (
        entry.client_request_id.lower(),
        f"{entry.customer:016x}",
        f"{entry.customer:x}",
    )


def _print_table(entries: list[Entry]) -> None:
    print(table(entries))
    counts = Counter(entry.status.value for entry in entries)
    by_status = "".join(f", {count} {status}" for status, count in sorted(counts.items()))
    print(f"\n{len(entries)} entries{by_status}")


def _compact(options: argparse.Namespace) -> int:
    # Raises where there is no ledger; LedgerStore would create one.
    with LedgerReader(options.state):
        pass
    store = LedgerStore(options.state)
    store.open()
    try:
        bytes_before = store.size()
        before_us = now_us() - int(options.keep_days * US_PER_DAY)
        deleted_count = store.compact(before_us, options.most_mb << BYTES_PER_MB_SHIFT)
        print(
            f"{deleted_count} entries forgotten, {bytes_before} bytes before, {store.size()} after"
        )
    finally:
        store.close()
    return 0


def _import(state: Path, file: Path) -> int:
    with file.open(newline="") as lines:
        issued = parse_issued(lines, str(file))
    with LedgerReader(state) as reader:
        result = reconcile(reader.entries(), issued, now_us())
        if result.settled:
            store = LedgerStore(state)
            try:
                store.open()
            except LedgerStoreError:
                # Usually a gateway has the ledger open, and it writes the submitted events. After
                # any other failure ``submit`` times out, and the original error is raised.
                if not reader.submit(result.settled, SUBMIT_TIMEOUT_S):
                    raise
            else:
                store.commit(result.settled)
                store.close()
    print(
        f"{len(issued)} lines: {len(result.settled)} entries settled as issued, "
        f"{result.known_count} were known"
    )
    for text in result.contradictions:
        print(f"contradiction: {text}")
    return 1 if result.contradictions else 0
