"""Encodes requests for endpoints, and decodes their replies and load reports."""

from __future__ import annotations

import re

import hiredis

from ...policy.events import AttemptOutcome
from ..request_types import US_PER_MS, UpstreamAttempt
from ..resp import MalformedMessageError, Reply

# Texts of load reports whose decoded form is cached.
MAX_CACHED_REPORTS = 256

# The outcomes of the error lines that endpoints may reply with.
_OUTCOME_BY_LINE = {b"-ERR failed": AttemptOutcome.ERROR, b"-BUSY": AttemptOutcome.OVERLOADED}

_FIELD = rb"[a-z0-9_]{1,32}=[0-9]{1,12}(\.[0-9]{1,9})?"
_REPORT = re.compile(_FIELD + rb"(," + _FIELD + rb"){0,15}")

# An attempt's outcome, the reply for the client if it was served, and the load report's fields. A
# plain tuple is the cheapest, and one is made for each attempt.
DecodedReply = tuple[AttemptOutcome, bytes | None, tuple[float, ...]]


def pack_request(attempt: UpstreamAttempt, now_us: int) -> bytes:
    """Encode the client's command, with the attempt's remaining time as its timeout."""
    command, customer, request_id, before, after, *body = attempt.request.parts
    timeout_ms = max(1, (attempt.deadline_us - now_us) // US_PER_MS)
    terms = before + b"%d" % timeout_ms + after
    words = (command, customer, request_id, terms, *body)
    # The type stubs of hiredis declare a tuple of one element.
    return hiredis.pack_command(words)  # type: ignore[arg-type]


def parse_report(text: bytes | None, field_names: tuple[bytes, ...]) -> tuple[float, ...]:
    """Decode a load report such as ``inflight=7,util=0.61`` to values in the order of the names.

    Empty if it is malformed or lacks a field. Only plain numbers are accepted: ``float()`` would
    also take ``nan``, ``inf``, ``1_0`` and blanks.
    """
    if not text or not field_names or not _REPORT.fullmatch(text):
        return ()
    values = dict(pair.split(b"=") for pair in text.split(b","))
    if any(name not in values for name in field_names):
        return ()
    return tuple(float(values[name]) for name in field_names)


class ReplyDecoder:
    """Decodes replies, with a cache of decoded load reports.

    Endpoints refresh their reports a few times a second, and send the same text with every reply
    until then.
    """

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        """Decode load reports into these fields."""
        self.report_fields = tuple(name.encode() for name in report_fields)
        self.reports: dict[bytes | None, tuple[float, ...]] = {}

    def decode(self, reply: Reply) -> DecodedReply:
        """Decode a reply; any that deviates from the protocol raises ``MalformedMessageError``."""
        if (line := reply.line) is None:
            value, report = reply.value, self._report(reply.report)
            return AttemptOutcome.SERVED, b"$%d\r\n%b\r\n" % (len(value), value), report
        for known, outcome in _OUTCOME_BY_LINE.items():
            if line == known:
                return outcome, None, ()
            if line.startswith(known + b" "):
                if report := parse_report(line[len(known) + 1 :], self.report_fields):
                    return outcome, None, report
                break
        raise MalformedMessageError("an unknown line")

    def _report(self, text: bytes | None) -> tuple[float, ...]:
        cached = self.reports.get(text)
        if cached is None:
            cached = parse_report(text, self.report_fields)
            if len(self.reports) >= MAX_CACHED_REPORTS:
                self.reports.clear()
            self.reports[text] = cached
        return cached
