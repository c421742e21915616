"""Events that the command line submits to the gateway."""

from __future__ import annotations

from tests.ledger.events_of_requests import store_with_entries


def test_events_of_the_inbox_are_rechecked_and_malformed_files_are_set_aside(tmp_path):
    store = store_with_entries(tmp_path, 6)
    inbox = tmp_path / "inbox"
    inbox.mkdir()
    answered = '{"life": 1, "number": 1, "host": "h1", "issued": 5}\n'
    other_endpoint = '{"life": 1, "number": 3, "host": "h9", "issued": 5}\n'
    valid = '{"life": 1, "number": 3, "host": "h1", "issued": 5}\n'
    for name, text in (("1", answered), ("2", other_endpoint), ("3", "rubbish\n"), ("4", valid)):
        (inbox / f"{name}.jsonl").write_text(text)
    assert store.process_inbox() == 1
    assert sorted(path.name for path in inbox.iterdir()) == ["1.done", "2.done", "3.bad", "4.done"]
    store.close()
