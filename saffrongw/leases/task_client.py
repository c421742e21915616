"""The HTTP call of a task.

It is one POST over h11; the fencing token is checked just before the first byte is sent.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from urllib.parse import SplitResult, urlsplit

import h11

from .claim import FencingToken
from .messages import NUMBER_LIMIT
from .task_schedule import CallOutcome, TaskCall

MAX_RESPONSE_BYTES = 64 * 1024
READ_BYTES = 4_096
MAX_TOKEN_DIGITS = 19
# The statuses with which a receiver rejects a fencing token below one that it has seen.
FENCED_OFF_STATUSES = (409, 412)


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended; ``seen_token`` is the highest token the receiver says it has seen, or 0."""

    outcome: CallOutcome
    seen_token: int = 0
    detail: str = ""


async def post(
    url: str, call: TaskCall, holder: str, token: FencingToken, timeout_s: float
) -> CallResult:
    """Make one call.

    A call that ends after its first byte was sent and before a complete answer arrived is UNKNOWN:
    it may have had an effect.
    """
    parts = urlsplit(url)
    sent = False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
            http = h11.Connection(h11.CLIENT)
            data = _request_bytes(http, parts, call, holder)
            if not token.valid():
                # The lease may have expired while connecting, or while this process was paused.
                detail = "the lease ran out before the call was sent"
                return CallResult(CallOutcome.LATE, detail=detail)
            sent = True
            writer.write(data)
            return await _read_result(http, reader)
    except TimeoutError:
        outcome = CallOutcome.UNKNOWN if sent else CallOutcome.FAILED
        return CallResult(outcome, detail=f"no answer within {timeout_s:.2f} s")
    except OSError as error:
        return CallResult(CallOutcome.UNKNOWN if sent else CallOutcome.FAILED, detail=str(error))
    except h11.RemoteProtocolError as error:
        return CallResult(CallOutcome.UNKNOWN, detail=f"not HTTP: {error}")
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()


def _request_bytes(http: h11.Connection, parts: SplitResult, call: TaskCall, holder: str) -> bytes:
    target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    headers = [
        ("Host", parts.netloc),
        ("Fencing-Token", str(call.fencing_token)),
        ("Task", call.task),
        ("Holder", holder),
        ("Turn", str(call.turn)),
        ("Content-Length", "0"),
        ("Connection", "close"),
    ]
    head = http.send(h11.Request(method="POST", target=target, headers=headers)) or b""
    return head + (http.send(h11.EndOfMessage()) or b"")


async def _read_result(http: h11.Connection, reader: asyncio.StreamReader) -> CallResult:
    response: h11.Response | None = None
    body_bytes = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            body_bytes += len(event.data)
            if body_bytes > MAX_RESPONSE_BYTES:
                break
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            detail = "the connection ended before an answer"
            return CallResult(CallOutcome.UNKNOWN, detail=detail)
    return _result_of(response)


def _result_of(response: h11.Response | None) -> CallResult:
    status = response.status_code if response is not None else 0
    if 200 <= status < 300:
        return CallResult(CallOutcome.DONE)
    if status in FENCED_OFF_STATUSES:
        detail = f"status {status}: the receiver has seen a higher number"
        return CallResult(CallOutcome.FENCED_OFF, _seen_token(response), detail)
    return CallResult(CallOutcome.FAILED, detail=f"status {status}")


def _seen_token(response: h11.Response | None) -> int:
    """Return the token that the receiver names in its answer; 0 if malformed or out of range."""
    text = dict(response.headers).get(b"fencing-token", b"") if response is not None else b""
    token = int(text) if text.isdigit() and len(text) <= MAX_TOKEN_DIGITS else 0
    return token if token < NUMBER_LIMIT else 0
