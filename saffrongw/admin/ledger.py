"""``saffrongw ledger``: what a ledger says, for people and as JSON lines. Reads beside a gateway in service."""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path

from saffrongw.admin import columns, unusable
from saffrongw.ledger.entries import Entry, Meaning, explain
from saffrongw.ledger.reconcile import ListError, parse, reconcile
from saffrongw.ledger.store import Reader, Store, StoreError, now_us

HAND_IN_WITHIN = 10.0  # seconds for a gateway in service to take what an import found


def when(at: int) -> str:
    """A time as people read it."""
    if not at:
        return "an unknown time"
    return datetime.fromtimestamp(at / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%S.%f UTC")


def as_json(entry: Entry) -> dict:
    """One entry in plain types; a body that was kept is not shown in listings."""
    tries = [
        {
            "host": t.host,
            "born": t.born,
            "intended": t.intended,
            "whole": t.whole,
            "outcome": t.outcome,
            "ended": t.ended,
        }
        for t in entry.tries.values()
    ]
    names = (
        "life",
        "number",
        "plan",
        "cls",
        "body_bytes",
        "digest",
        "taken",
        "answer",
        "answered",
        "imported",
    )
    found = {name: getattr(entry, name) for name in names}
    return found | {
        "id": entry.name,
        "customer": f"{entry.customer:016x}",
        "request": entry.client_id,
        "meaning": entry.meaning.value,
        "settled": entry.settled,
        "attempts": tries,
    }


def table(entries: list[Entry]) -> str:
    """Entries as a table."""
    rows = [
        ("entry", "taken", "customer", "request", "plan", "class", "attempts", "answer", "meaning")
    ]
    for e in entries:
        row = (
            e.name,
            when(e.taken)[:23],
            f"{e.customer:016x}",
            e.client_id,
            e.plan,
            e.cls,
            str(len(e.tries)),
        )
        rows.append((*row, e.answer or "-", e.meaning.value + ("" if e.settled else " (open)")))
    return columns(rows)


def run(given: argparse.Namespace) -> int:
    """One command; its exit status."""
    try:
        if given.what == "import":
            return _import(given.state, given.file)
        if given.what == "compact":
            return _compact(given)
        return _read(given, Reader(given.state))
    except (StoreError, ListError) as wrong:
        return unusable(wrong)
    except OSError as wrong:
        return unusable(f"{wrong.filename or ''}: {wrong.strerror or wrong}")


def _read(given: argparse.Namespace, reader: Reader) -> int:
    if given.what == "verify":
        damage = reader.verify()
        print("\n".join(damage) if damage else f"{reader.path}: good")
        return 1 if damage else 0
    if given.what == "backup":
        reader.backup(given.file)
        print(f"{given.file}: written")
        return 0
    entries = list(reader.entries().values())
    for text in reader.damage[:20]:
        print(f"saffrongw: {reader.path}: {text}", file=sys.stderr)
    if given.what == "explain":
        chosen = [e for e in entries if given.id in (e.name, e.client_id)]
        if not chosen:
            return unusable(f"no entry is called {given.id!r}")
        print("\n".join(explain(entry, when) for entry in chosen))
        return 0
    if given.what == "find":
        text = given.text.lower()
        entries = [
            e
            for e in entries
            if text in (e.client_id.lower(), f"{e.customer:016x}", f"{e.customer:x}")
        ]
    elif given.what == "open":
        entries = [e for e in entries if e.meaning is Meaning.MAY_HAVE_RUN]
    elif given.what == "show":
        entries = entries[-max(0, given.number) :] if given.number else []
    if given.json or given.what == "export":
        for entry in entries:
            print(json.dumps(as_json(entry)))
        return 0
    print(table(entries))
    counts = Counter(e.meaning.value for e in entries)
    print(
        f"\n{len(entries)} entries"
        + "".join(f", {count} {name}" for name, count in sorted(counts.items()))
    )
    return 0


def _compact(given: argparse.Namespace) -> int:
    Reader(given.state)  # says plainly where there is none
    store = Store(given.state)
    store.open()
    try:
        before = store.size()
        gone = store.compact(now_us() - int(given.keep_days * 86_400e6), given.most_mb << 20)
        print(f"{gone} entries forgotten, {before} bytes before, {store.size()} after")
    finally:
        store.close()
    return 0


def _import(state: Path, file: Path) -> int:
    with file.open(newline="") as lines:
        issued = parse(lines, str(file))
    reader = Reader(state)
    result = reconcile(reader.entries(), issued, now_us())
    if result.settled:
        store = Store(state)
        try:
            store.open()
        except StoreError:  # a gateway holds it, or what ``hand_in`` would meet too
            if not reader.hand_in(result.settled, HAND_IN_WITHIN):
                raise
        else:
            store.commit(result.settled)
            store.close()
    print(
        f"{len(issued)} lines: {len(result.settled)} entries settled as issued, {result.known} were known"
    )
    for text in result.contradictions:
        print(f"contradiction: {text}")
    return 1 if result.contradictions else 0
