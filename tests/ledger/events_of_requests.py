"""Events of test requests, and stores with such events."""

from __future__ import annotations

from pathlib import Path

from saffrongw.ledger import events
from saffrongw.ledger.events import EntryKey, Event, RecordedRequest
from saffrongw.ledger.store import LedgerStore

US_PER_S = 1_000_000


def intent(
    incarnation: int,
    number: int,
    ordinal: int = 0,
    endpoint: str = "h1",
    at_us: int = 10 * US_PER_S,
    is_first: bool = True,
) -> Event:
    request = RecordedRequest(7, f"id{number}", "team", "bill", 4, "d", None, at_us)
    key = EntryKey(incarnation, number)
    return events.intent(key, at_us, ordinal, endpoint, 0, request if is_first else None)


def outcome(incarnation: int, number: int, text: str, ordinal: int = 0) -> Event:
    return events.outcome(EntryKey(incarnation, number), 11 * US_PER_S, ordinal, text)


def answer(incarnation: int, number: int, text: str = "served") -> Event:
    return events.answer(EntryKey(incarnation, number), 12 * US_PER_S, text)


def store_with_entries(folder: Path, count: int) -> LedgerStore:
    """Return a store in its first incarnation.

    A third of its entries may have run, a third is answered, a third was never sent.
    """
    store = LedgerStore(folder)
    store.open()
    for number in range(1, count + 1):
        following = [
            [],
            [outcome(1, number, "served"), answer(1, number)],
            [outcome(1, number, "not connected")],
        ][number % 3]
        store.commit([intent(1, number), *following])
    return store
