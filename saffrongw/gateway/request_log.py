"""A log of each request's way through this process, for the analysis of incidents.

It is off unless ``FILE_VARIABLE`` names a file; all processes with this environment append to it.
A line has the time (Unix time in microseconds, which never jumps), the process's id, an event, and
names with values::

    1767000000000000 4711 received connection=3 id=5c0f6e1a class=1 body_bytes=60000

Requests have the ids that clients gave them; the customer is not logged.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from io import FileIO
from pathlib import Path
from typing import TYPE_CHECKING

from ..policy.events import AttemptOutcome
from .reasons import CloseReason, RejectionReason
from .request_types import BUSY_PREFIX, SERVED_PREFIX, FinalReply

if TYPE_CHECKING:
    from .request_types import ClientRequest, UpstreamAttempt

log = logging.getLogger(__name__)

FILE_VARIABLE = "SAFFRONGW_REQUEST_LOG"
# The log ends once the file has this size: a file may count as memory.
MAX_FILE_BYTES = 64 << 20


def reply_name(reply: FinalReply) -> str:
    """Return how a final reply is named in the log."""
    if not isinstance(reply, bytes):
        return "streamed"
    if reply.startswith(SERVED_PREFIX):
        return "served"
    return "busy" if reply.startswith(BUSY_PREFIX) else "failed"


def _text(name: bytes | None) -> str:
    return (name or b"-").decode(errors="replace")


class RequestLog:
    """Appends events of requests and client connections to a file.

    A line that can't be written is reported once, and ends the log: it never disturbs requests.
    """

    def __init__(self, file: FileIO, clock: Callable[[], int]) -> None:
        """Write to this unbuffered file; ``clock`` returns the time in microseconds."""
        self._file: FileIO | None = file
        self._clock = clock

    @classmethod
    def from_environment(cls, clock: Callable[[], int]) -> RequestLog | None:
        """Return the log that the environment asks for; None if there is none.

        A file that can't be opened is reported, and means no log.
        """
        name = os.environ.get(FILE_VARIABLE)
        if not name:
            return None
        try:
            return cls(FileIO(Path(name), "a"), clock)
        except OSError as error:
            log.warning("request_log: unavailable: cause=%s", error)
            return None

    def close(self) -> None:
        """End the log."""
        file, self._file = self._file, None
        if file:
            file.close()

    # -- client connections -----------------------------------------------------------------------

    def received(self, connection: int, parts: tuple[bytes, ...], kind: int) -> None:
        """Log that a request was taken from the input of its connection, in this order."""
        body_bytes = len(b"".join(parts[5:]))
        self._write(
            f"received connection={connection} id={_text(parts[2])} class={kind}"
            f" body_bytes={body_bytes}"
        )

    def rejected(self, connection: int, request_id: bytes | None, reason: RejectionReason) -> None:
        """Log that a request was rejected before the policy saw it."""
        self._write(
            f"rejected connection={connection} id={_text(request_id)} reason={reason.value}"
        )

    def repeated(self, connection: int, request_id: bytes) -> None:
        """Log that a request failed because one with its id may have run."""
        self._write(f"repeated connection={connection} id={_text(request_id)}")

    def written(self, connection: int, request_id: bytes | None) -> None:
        """Log that a reply, or the start of a streamed one, was written to its connection."""
        self._write(f"written connection={connection} id={_text(request_id)}")

    def closed(self, connection: int, reason: CloseReason, unanswered: int) -> None:
        """Log the end of a client connection with this number of replies that were not written."""
        self._write(f"closed connection={connection} reason={reason.value} unanswered={unanswered}")

    # -- requests ---------------------------------------------------------------------------------

    def started(self, request: ClientRequest) -> None:
        """Log that a request was passed to the policy, with the time that is left to it."""
        left_us = request.deadline_us - self._clock()
        self._write(f"started id={_text(request.parts[2])} left_us={left_us}")

    def attempt_started(self, attempt: UpstreamAttempt) -> None:
        """Log an attempt; those with a number above 0 are retries or hedges."""
        self._write(f"attempt {self._attempt(attempt)}")

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: AttemptOutcome) -> None:
        """Log the outcome of an attempt, which is the reason of a retry that follows."""
        sent = int(attempt.is_fully_sent)
        self._write(f"outcome {self._attempt(attempt)} outcome={outcome.name.lower()} sent={sent}")

    def ended(self, request: ClientRequest, reply: FinalReply) -> None:
        """Log the final reply of a request, and who decided it."""
        self._write(
            f"ended id={_text(request.parts[2])} reply={reply_name(reply)}"
            f" by={request.ended_by.value} may_have_run={int(request.may_have_run)}"
        )

    def abandoned(self, request: ClientRequest) -> None:
        """Log that the client of a request has left."""
        self._write(f"abandoned id={_text(request.parts[2])}")

    @staticmethod
    def _attempt(attempt: UpstreamAttempt) -> str:
        request_id, endpoint_id = attempt.request.parts[2], attempt.endpoint_id
        return f"id={_text(request_id)} number={attempt.index} endpoint={_text(endpoint_id)}"

    def _write(self, event: str) -> None:
        file = self._file
        if file is None:
            return
        line = f"{self._clock()} {os.getpid()} {event}\n".encode()
        try:
            file.write(line)
            is_full = file.tell() >= MAX_FILE_BYTES
        except OSError as error:
            log.warning("request_log: ended: cause=%s", error)
            self.close()
            return
        if is_full:
            log.warning("request_log: ended: cause=the file has its largest size")
            self.close()
