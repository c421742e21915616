"""A task's call: one HTTP POST by h11, with the token asked again just before its first byte leaves."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from urllib.parse import urlsplit

import h11

from .messages import LARGEST
from .proposer import Token
from .task_schedule import Call, Outcome

BODY_MOST = 64 * 1024  # bytes of an answer that are read
OLDER = (409, 412)  # a receiver's word for a number below one that it has seen


@dataclass(frozen=True, slots=True)
class Ended:
    """How it went; ``seen``: the highest number that the receiver says it has seen, 0 where it doesn't."""

    outcome: Outcome
    seen: int = 0
    detail: str = ""


async def post(url: str, call: Call, holder: str, token: Token, within: float) -> Ended:
    """One try, within so many seconds. Whether it had an effect is UNKNOWN from its first byte to a whole answer."""
    parts = urlsplit(url)
    sent = False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
            http = h11.Connection(h11.CLIENT)
            target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
            headers = [
                ("Host", parts.netloc),
                ("Fencing-Token", str(call.number)),
                ("Task", call.task),
                ("Holder", holder),
                ("Turn", str(call.turn)),
                ("Content-Length", "0"),
                ("Connection", "close"),
            ]
            data = http.send(h11.Request(method="POST", target=target, headers=headers))
            data += http.send(h11.EndOfMessage())
            if (
                not token.valid()
            ):  # connecting may have taken long, and so may this process have stood still
                return Ended(Outcome.LATE, detail="the lease ran out before the call was sent")
            sent = True
            writer.write(data)
            return await _answer(http, reader)
    except TimeoutError:
        return Ended(
            Outcome.UNKNOWN if sent else Outcome.FAILED, detail=f"no answer within {within:.2f} s"
        )
    except OSError as wrong:
        return Ended(Outcome.UNKNOWN if sent else Outcome.FAILED, detail=str(wrong))
    except h11.RemoteProtocolError as wrong:
        return Ended(Outcome.UNKNOWN, detail=f"not HTTP: {wrong}")
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()


async def _answer(http: h11.Connection, reader: asyncio.StreamReader) -> Ended:
    status, seen, read = 0, 0, 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(4_096))
        elif isinstance(event, h11.Response):
            status = event.status_code
            told = dict(event.headers).get(b"fencing-token", b"")
            seen = int(told) if told.isdigit() and len(told) < 20 else 0
            if seen >= LARGEST:
                seen = 0
        elif isinstance(event, h11.Data):
            read += len(event.data)
            if read > BODY_MOST:
                break
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return Ended(Outcome.UNKNOWN, detail="the connection ended before an answer")
    if 200 <= status < 300:
        return Ended(Outcome.DONE)
    if status in OLDER:
        return Ended(
            Outcome.OUTRUN, seen, f"status {status}: the receiver has seen a higher number"
        )
    return Ended(Outcome.FAILED, detail=f"status {status}")
