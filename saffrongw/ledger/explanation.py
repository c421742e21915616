"""Describes an entry of the ledger in sentences: what is known, what is not, and why. Pure."""

from __future__ import annotations

from collections.abc import Callable

from .entries import NOT_RUN_OUTCOMES, SERVED, Entry, ExecutionStatus, RecordedAttempt

# Turns a time in microseconds into text.
TimeFormat = Callable[[int], str]


def explain(entry: Entry, time_text: TimeFormat) -> str:
    """Return a description of an entry, which says whether the request ran."""
    sentences = [_request(entry, time_text)]
    sentences += [_attempt(attempt, time_text) for attempt in entry.attempts.values()]
    if entry.imported_from:
        sentences.append(f"The list of {entry.imported_from} says that it was issued.")
    if entry.answer and entry.answer != SERVED:
        result = "was refused" if entry.answer == "refused" else "failed"
        sentences.append(f"The client was told that it {result}.")
    sentences.append(_conclusion(entry, time_text))
    return " ".join(sentences)


def _request(entry: Entry, time_text: TimeFormat) -> str:
    return (
        f"Request {entry.client_request_id} of customer {entry.customer:016x} "
        f"({entry.plan}, {entry.request_class}) was taken at {time_text(entry.received_at_us)} "
        f"in life {entry.incarnation}."
    )


def _attempt(attempt: RecordedAttempt, time_text: TimeFormat) -> str:
    text = (
        f"Attempt {attempt.ordinal + 1} to {attempt.endpoint} was written down "
        f"at {time_text(attempt.intended_at_us)}"
    )
    if not attempt.outcome:
        return (
            f"{text}; the gateway ended before it knew more, "
            "so it may have been sent and may have run."
        )
    text += f" and ended {attempt.outcome} at {time_text(attempt.ended_at_us)}"
    if attempt.outcome in NOT_RUN_OUTCOMES:
        text += ", so it did not run"
    elif attempt.outcome != SERVED:
        text += ", so it may have run"
    return f"{text}."


def _conclusion(entry: Entry, time_text: TimeFormat) -> str:
    match entry.status:
        case ExecutionStatus.ANSWERED:
            answered_at = time_text(entry.answered_at_us)
            return f"Its good answer was given to the client at {answered_at}: it ran, once."
        case ExecutionStatus.RAN:
            return (
                "A good answer was seen: it ran, once. "
                "Whether the client got the answer is not known."
            )
        case ExecutionStatus.NEVER_SENT:
            return "Nothing of it ran: it is safe to ask again."
        case ExecutionStatus.MAY_HAVE_RUN:
            return (
                "Whether it ran is not known here: "
                "import the host's list of issued reports to tell."
            )
