"""The description of an entry in sentences."""

from __future__ import annotations

from saffrongw.ledger.entries import build_entries
from saffrongw.ledger.explanation import explain
from tests.ledger.events_of_requests import US_PER_S, intent, outcome


def test_an_explanation_names_what_is_known_and_what_is_not():
    events = [intent(1, 1), outcome(1, 1, "full"), intent(1, 1, 1, "h2", is_first=False)]
    text = explain(build_entries(events)[1, 1], lambda at_us: f"{at_us // US_PER_S} s")
    first_attempt = "Attempt 1 to h1 was written down at 10 s and ended full at 11 s"
    assert f"{first_attempt}, so it did not run." in text
    assert "Attempt 2 to h2" in text
    assert "may have been sent and may have run" in text
    assert text.endswith("import the host's list of issued reports to tell.")
