"""A discovery agent: HTTP/1.1 with long polls, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

MAX_WAIT_S = 60.0


class Agent:
    """One gateway's agent; it knows the newest entry of each host and its version."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        """Start with these entries, all of version 1."""
        self.seq = 1
        self.entries = {entry["host"]: (1, entry) for entry in entries}
        self.changed = asyncio.Condition()
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def listen(self) -> None:
        """Answer from now on, at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for _, entry in self.entries.values() if entry["health"] != "DELETED"]
        return {"seq": self.seq, "whole": True, "hosts": listed}

    async def change(self, host: str, **changes: object) -> None:
        """Change the entry of a host, and tell those who watch."""
        self.seq += 1
        self.entries[host] = self.seq, self.entries[host][1] | changes
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ", 2)[1].decode()
                body = json.dumps(await self._answer(target)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the run.
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(target).query)
        if "index" not in query:
            return self.whole()
        index, wait_s = int(query["index"][0]), int(query.get("wait", ["0"])[0]) / 1_000
        if self.seq <= index:
            try:
                async with asyncio.timeout(min(MAX_WAIT_S, wait_s)), self.changed:
                    await self.changed.wait_for(lambda: self.seq > index)
            except TimeoutError:
                pass
        news = [entry for version, entry in self.entries.values() if version > index]
        return {"seq": self.seq, "whole": False, "hosts": news}

    def close(self) -> None:
        """Stop answering."""
        self.server.close()
