"""Clients: RESP2 over TCP as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass

import hiredis

# A client knows at the latest half a second after its request's time that no answer will come.
PATIENCE_S = 0.5


def new_id() -> str:
    """Return a request's id."""
    return os.urandom(8).hex()


def command(
    kind: str, request: str, wait_ms: int, customer: int, first: int = 0, body: bytes = b""
) -> bytes:
    """Encode one request of a customer whose set is two gateways, from number ``first``."""
    key = f",k={request}" if kind == "test-upload" else ""
    terms = f"c={kind},t=basico,d={wait_ms}{key},units=1,spread=2,first={first}".encode()
    name = b"CALL.GET" if kind == "sheet-read" else b"CALL.POST"
    words = [name, f"{customer:016x}".encode(), request.encode(), terms]
    if name == b"CALL.POST":
        words.append(body or b"BODY")
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


@dataclass(slots=True)
class Outcome:
    """How a request ended for its client."""

    request: str
    # served, refused, failed, closed (the connection ended first) or silent.
    kind: str
    value: bytes = b""
    took_s: float = 0.0


async def ask(
    address: tuple[str, int], kind: str, wait_ms: int, customer: int, request: str = ""
) -> Outcome:
    """Send one request on a new connection, and wait for its answer."""
    request = request or new_id()
    loop = asyncio.get_running_loop()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return Outcome(request, "closed")
    writer.write(command(kind, request, wait_ms, customer))
    sent_s = loop.time()
    parser = hiredis.Reader()
    outcome = Outcome(request, "silent")
    try:
        async with asyncio.timeout(wait_ms / 1_000 + PATIENCE_S):
            while (reply := parser.gets()) is False:
                data = await reader.read(1 << 16)
                if not data:
                    outcome.kind = "closed"
                    return outcome
                parser.feed(data)
        outcome.kind, outcome.value = classify(reply)
    except TimeoutError:
        pass
    except (ConnectionError, hiredis.ProtocolError):
        outcome.kind = "closed"
    finally:
        outcome.took_s = loop.time() - sent_s
        writer.close()
    return outcome


def classify(reply: object) -> tuple[str, bytes]:
    """Return the kind of an answer, and its value."""
    if isinstance(reply, bytes):
        return "served", reply
    if isinstance(reply, hiredis.ReplyError):
        return ("refused" if str(reply).startswith("BUSY") else "failed"), str(reply).encode()
    return "failed", b""
